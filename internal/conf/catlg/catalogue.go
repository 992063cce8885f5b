package catlg

import (
	"slices"

	"cardamompass"
)

type serviceRegion struct {
	svc cardamompass.ServiceName
	reg cardamompass.Region
}

// Catalogue indexes the entries of a document that are not deleted, by type and name, for use in steering. It is immutable
// and safe for concurrent use. Callers must not modify the slices that it returns.
type Catalogue struct {
	doc      *Document
	regions  []cardamompass.RegionInfo
	services []cardamompass.Service
	links    []cardamompass.Link
	shifts   []cardamompass.ShiftLimit
	clients  []cardamompass.ClientBlocks
	targets  map[serviceRegion][]cardamompass.Target
}

// NewCatalogue returns the catalogue of doc. It does not check references between entries: a VM may hold entries whose
// referenced entries have not arrived yet.
func NewCatalogue(doc *Document) (cat *Catalogue) {
	cat = &Catalogue{
		doc:     doc,
		targets: map[serviceRegion][]cardamompass.Target{},
	}
	for _, ent := range doc.Entries() {
		switch spc := ent.spec.(type) {
		case cardamompass.RegionInfo:
			cat.regions = append(cat.regions, spc)
		case cardamompass.Service:
			cat.services = append(cat.services, spc)
		case cardamompass.Target:
			key := serviceRegion{
				svc: spc.Service,
				reg: spc.Region,
			}
			cat.targets[key] = append(cat.targets[key], spc)
		case cardamompass.Link:
			cat.links = append(cat.links, spc)
		case cardamompass.ShiftLimit:
			cat.shifts = append(cat.shifts, spc)
		case cardamompass.ClientBlocks:
			cat.clients = append(cat.clients, spc)
		}
	}
	return cat
}

// Version returns the document's version.
func (cat *Catalogue) Version() uint64 { return cat.doc.Version() }

// Document returns the document that the catalogue indexes.
func (cat *Catalogue) Document() *Document { return cat.doc }

func lookupSpec[S Spec](doc *Document, nam EntryName) (spec S, ok bool) {
	ent, ok := doc.ents[nam]
	if !ok {
		return spec, false
	}
	return SpecOf[S](ent)
}

// Region returns a region.
func (cat *Catalogue) Region(reg cardamompass.Region) (inf cardamompass.RegionInfo, ok bool) {
	return lookupSpec[cardamompass.RegionInfo](cat.doc, RegionEntry(reg))
}

// Regions returns all regions in the order of their names.
func (cat *Catalogue) Regions() []cardamompass.RegionInfo { return cat.regions }

// Service returns a service.
func (cat *Catalogue) Service(nam cardamompass.ServiceName) (svc cardamompass.Service, ok bool) {
	return lookupSpec[cardamompass.Service](cat.doc, ServiceEntry(nam))
}

// Services returns all services in the order of their names.
func (cat *Catalogue) Services() []cardamompass.Service { return cat.services }

// Target returns a target.
func (cat *Catalogue) Target(tid cardamompass.TargetID) (tgt cardamompass.Target, ok bool) {
	return lookupSpec[cardamompass.Target](cat.doc, TargetEntry(tid))
}

// TargetsOf returns the targets of a service in a region in the order of their ids.
func (cat *Catalogue) TargetsOf(svc cardamompass.ServiceName, reg cardamompass.Region) []cardamompass.Target {
	return cat.targets[serviceRegion{
		svc: svc,
		reg: reg,
	}]
}

// Targets returns all targets in the order of their ids.
func (cat *Catalogue) Targets() (tgts []cardamompass.Target) {
	for _, lst := range cat.targets {
		tgts = append(tgts, lst...)
	}
	slices.SortFunc(tgts, func(one, two cardamompass.Target) int {
		if one.ID < two.ID {
			return -1
		}
		return 1
	})
	return tgts
}

// Link returns the link from one region to another.
func (cat *Catalogue) Link(from, to cardamompass.Region) (lnk cardamompass.Link, ok bool) {
	return lookupSpec[cardamompass.Link](cat.doc, LinkEntry(from, to))
}

// Links returns all links in the order of their names.
func (cat *Catalogue) Links() []cardamompass.Link { return cat.links }

// Shift returns the cap on a service's requests from callers of one region to targets of another.
func (cat *Catalogue) Shift(svc cardamompass.ServiceName, from, to cardamompass.Region) (sft cardamompass.ShiftLimit, ok bool) {
	return lookupSpec[cardamompass.ShiftLimit](cat.doc, ShiftEntry(svc, from, to))
}

// Shifts returns all shift limits in the order of their names.
func (cat *Catalogue) Shifts() []cardamompass.ShiftLimit { return cat.shifts }

// Clients returns all client blocks in the order of their entries' names.
func (cat *Catalogue) Clients() []cardamompass.ClientBlocks { return cat.clients }
