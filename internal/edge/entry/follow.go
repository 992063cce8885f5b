package entry

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"cardamompass"
	"cardamompass/internal/conf/catlg"
	"cardamompass/internal/edge/lookup"
	"cardamompass/internal/fleet/spread"
	"cardamompass/internal/steer/health"
)

const (
	// listInterval is the time between two reads of the platform's VM list.
	listInterval = time.Second
	listTimeout  = 2 * time.Second
)

// document makes a catalogue document a spread.Doc.
type document struct{ doc *catlg.Document }

func (dcm document) Merge(oth document) document {
	return document{
		doc: catlg.Merge(dcm.doc, oth.doc),
	}
}

func (dcm document) Digest() uint64 { return dcm.doc.Digest() }

func (dcm document) Version() int64 { return int64(dcm.doc.Version()) }

func (dcm document) Delta(since int64) document {
	return document{
		doc: dcm.doc.Since(uint64(since)),
	}
}

func (dcm document) Adopt(stored document) document {
	return document{
		doc: catlg.Adopt(dcm.doc, stored.doc),
	}
}

func documentCodec() spread.Codec[document] {
	return spread.Codec[document]{
		Encode: func(dcm document) ([]byte, error) { return catlg.Marshal(dcm.doc) },
		Decode: func(data []byte) (dcm document, err error) {
			dcm.doc, err = catlg.Parse(data)
			return dcm, err
		},
	}
}

// inForce is the catalogue in force.
type inForce struct {
	cat   *catlg.Catalogue
	since time.Time
	// blocks is kept while the client blocks of the catalogue stay the same.
	blocks *lookup.Table
}

// follow puts each catalogue in force and keeps look-ups in step with the membership.
func (prc *Process) follow() {
	docs, stopDocs := prc.spread.Subscribe()
	defer stopDocs()
	members, stopMembers := prc.members.Subscribe()
	defer stopMembers()
	prc.putInForce()
	for {
		select {
		case <-prc.done:
			return
		case <-docs:
			prc.putInForce()
		case <-members:
			for _, mbr := range prc.members.Members() {
				prc.opers.RecordDeparture(mbr)
			}
			prc.refreshLookups()
			prc.engine.MembersChanged()
			prc.pool.MembersChanged()
			prc.prober.SetFleetSize(len(prc.members.Members()))
			prc.prober.SetTargets(prc.engine.Targets())
		}
	}
}

func (prc *Process) putInForce() {
	dcm, ok := prc.spread.Current()
	if !ok {
		return
	}
	old := prc.inForce.Load()
	if old.cat != nil && old.cat.Document().Digest() == dcm.doc.Digest() {
		return
	}
	cat := catlg.NewCatalogue(dcm.doc)
	blocks := old.blocks
	if old.cat == nil || !sameBlocks(old.cat, cat) {
		table, err := blockTable(cat)
		if err != nil {
			prc.cfg.Log.Error("client blocks not usable; the earlier ones stay", zap.Error(err))
		} else {
			blocks = table
		}
	}
	prc.inForce.Store(&inForce{
		cat:    cat,
		since:  prc.cfg.Clock.Now(),
		blocks: blocks,
	})
	// Look-ups know the regions before the engine admits requests, which would otherwise be refused as invalid.
	prc.refreshLookups()
	prc.engine.SetCatalogue(cat)
	prc.prober.SetTargets(prc.engine.Targets())
	if old.cat == nil {
		close(prc.ready)
	}
	prc.metrics.Scope().Gauge("catalogue-version").Update(float64(cat.Version()))
	prc.cfg.Log.Info("catalogue in force", zap.Uint64("version", cat.Version()), zap.Int("targets", len(cat.Targets())))
}

func sameBlocks(one, two *catlg.Catalogue) bool {
	return slices.EqualFunc(one.Clients(), two.Clients(), func(cl1, cl2 cardamompass.ClientBlocks) bool {
		return cl1.Region == cl2.Region && slices.Equal(cl1.Prefixes, cl2.Prefixes)
	})
}

func blockTable(cat *catlg.Catalogue) (tbl *lookup.Table, err error) {
	var blocks []lookup.Block
	for _, cls := range cat.Clients() {
		for _, pfx := range cls.Prefixes {
			blocks = append(blocks, lookup.Block{
				Prefix: pfx,
				Region: cls.Region,
			})
		}
	}
	return lookup.NewTable(blocks)
}

// refreshLookups makes look-ups answer from the members and the catalogue of now.
func (prc *Process) refreshLookups() {
	cur := prc.inForce.Load()
	if cur.cat == nil {
		return
	}
	view := lookup.View{
		Members:          prc.members.Members(),
		Regions:          make(map[cardamompass.Region]cardamompass.RegionInfo),
		Services:         make(map[cardamompass.ServiceName]bool),
		Blocks:           cur.blocks,
		CatalogueVersion: int64(cur.cat.Version()),
	}
	for _, reg := range cur.cat.Regions() {
		view.Regions[reg.Name] = reg
	}
	for _, svc := range cur.cat.Services() {
		view.Services[svc.Name] = true
	}
	prc.lookups.SetView(view)
}

// followList reads the platform's VM list. It is a hint only: a listed entry VM is probed, a target that is listed as
// leaving, or that was listed and is not any more, gets no new work.
func (prc *Process) followList() {
	for {
		tmr := prc.cfg.Clock.NewTimer(listInterval)
		select {
		case <-prc.done:
			tmr.Stop()
			return
		case <-tmr.C():
		}
		ctx, cancel := context.WithTimeout(context.Background(), listTimeout)
		vms, _, err := prc.cfg.VMs.List(ctx)
		cancel()
		if err != nil {
			prc.cfg.Log.Warn("VM list not read", zap.Error(err))
			continue
		}
		prc.useList(vms)
	}
}

func (prc *Process) useList(vms []cardamompass.ListedVM) {
	cur := prc.inForce.Load()
	if cur.cat == nil {
		return
	}
	now := prc.cfg.Clock.Now()
	var entries []cardamompass.ListedVM
	seen := make(map[string]bool, len(vms))
	for _, lvm := range vms {
		if _, ok := cur.cat.Target(cardamompass.TargetID(lvm.Name)); !ok {
			entries = append(entries, lvm)
			continue
		}
		seen[lvm.Name] = true
		prc.listed[lvm.Name] = true
		if lvm.Leaving {
			prc.tracker.MarkLeaving(cardamompass.TargetID(lvm.Name), health.SignalVMList, now)
		}
	}
	for name := range prc.listed {
		if !seen[name] {
			prc.tracker.MarkLeaving(cardamompass.TargetID(name), health.SignalVMList, now)
		}
	}
	prc.members.ProbeListed(entries)
}
