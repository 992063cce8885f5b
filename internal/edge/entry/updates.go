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
	// vmListInterval is the polling interval of the platform's VM list.
	vmListInterval = time.Second
	vmListTimeout  = 2 * time.Second
)

// document adapts a catalogue document to spread.Doc.
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

func (dcm document) Rebase(stored document) document {
	return document{
		doc: catlg.Rebase(dcm.doc, stored.doc),
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

// activeCatalogue is the catalogue that look-ups and routing currently use.
type activeCatalogue struct {
	cat   *catlg.Catalogue
	since time.Time
	// blocks is reused by the next catalogue if its client blocks are the same.
	blocks *lookup.Table
}

// followUpdates activates each new catalogue and applies changes of the membership until the process stops.
func (prc *Process) followUpdates() {
	docs, stopDocs := prc.spread.Subscribe()
	defer stopDocs()
	members, stopMembers := prc.members.Subscribe()
	defer stopMembers()
	prc.activateCatalogue()
	for {
		select {
		case <-prc.done:
			return
		case <-docs:
			prc.activateCatalogue()
		case <-members:
			for _, mbr := range prc.members.Members() {
				prc.operations.RecordDeparture(mbr)
			}
			prc.refreshLookups()
			prc.engine.MembersChanged()
			prc.pool.MembersChanged()
			prc.prober.SetFleetSize(len(prc.members.Members()))
			prc.prober.SetTargets(prc.engine.Targets())
		}
	}
}

func (prc *Process) activateCatalogue() {
	dcm, ok := prc.spread.Current()
	if !ok {
		return
	}
	old := prc.active.Load()
	if old.cat != nil && old.cat.Document().Digest() == dcm.doc.Digest() {
		return
	}
	cat := catlg.NewCatalogue(dcm.doc)
	blocks := old.blocks
	if old.cat == nil || !sameClientBlocks(old.cat, cat) {
		table, err := clientBlockTable(cat)
		if err != nil {
			prc.cfg.Log.Error("client blocks not usable; the earlier ones stay", zap.Error(err))
		} else {
			blocks = table
		}
	}
	prc.active.Store(&activeCatalogue{
		cat:    cat,
		since:  prc.cfg.Clock.Now(),
		blocks: blocks,
	})
	// Look-ups get the regions before the engine admits requests; otherwise the caller regions of these requests would be
	// rejected as invalid.
	prc.refreshLookups()
	prc.engine.SetCatalogue(cat)
	prc.prober.SetTargets(prc.engine.Targets())
	if old.cat == nil {
		close(prc.catalogueReady)
	}
	prc.metrics.Scope().Gauge("catalogue-version").Update(float64(cat.Version()))
	prc.cfg.Log.Info("catalogue in force", zap.Uint64("version", cat.Version()), zap.Int("targets", len(cat.Targets())))
}

func sameClientBlocks(one, two *catlg.Catalogue) bool {
	return slices.EqualFunc(one.Clients(), two.Clients(), func(cl1, cl2 cardamompass.ClientBlocks) bool {
		return cl1.Region == cl2.Region && slices.Equal(cl1.Prefixes, cl2.Prefixes)
	})
}

func clientBlockTable(cat *catlg.Catalogue) (tbl *lookup.Table, err error) {
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

// refreshLookups rebuilds the view of the look-up resolver from the current members and the active catalogue.
func (prc *Process) refreshLookups() {
	cur := prc.active.Load()
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

// pollVMList reads the platform's VM list periodically. The list is only a hint: a listed entry VM is probed before it
// is used, and a target that is listed as leaving, or that has disappeared from the list, gets no new requests.
func (prc *Process) pollVMList() {
	for {
		tmr := prc.cfg.Clock.NewTimer(vmListInterval)
		select {
		case <-prc.done:
			tmr.Stop()
			return
		case <-tmr.C():
		}
		ctx, cancel := context.WithTimeout(context.Background(), vmListTimeout)
		vms, _, err := prc.cfg.VMs.List(ctx)
		cancel()
		if err != nil {
			prc.cfg.Log.Warn("VM list not read", zap.Error(err))
			continue
		}
		prc.applyVMList(vms)
	}
}

func (prc *Process) applyVMList(vms []cardamompass.ListedVM) {
	cur := prc.active.Load()
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
		prc.listedTargets[lvm.Name] = true
		if lvm.Leaving {
			prc.tracker.MarkLeaving(cardamompass.TargetID(lvm.Name), health.SignalVMList, now)
		}
	}
	for name := range prc.listedTargets {
		if !seen[name] {
			prc.tracker.MarkLeaving(cardamompass.TargetID(name), health.SignalVMList, now)
		}
	}
	prc.members.ProbeListed(entries)
}
