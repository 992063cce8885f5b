package limit_test

import (
	"context"
	"flag"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"cardamompass"
	"cardamompass/internal/conf/catlg"
	"cardamompass/internal/stand/demo"
	"cardamompass/internal/stand/procs"
)

var seedFlag = flag.Uint64("seed", 0, "seed of the random choices; 0 takes a new one")

func TestMain(mmm *testing.M) { os.Exit(procs.Main(mmm)) }

// newRandom returns the random numbers of a test and prints their seed.
func newRandom(tst *testing.T) (rnd *rand.Rand) {
	tst.Helper()
	seed := *seedFlag
	if seed == 0 {
		seed = rand.Uint64()
	}
	tst.Logf("repeat with -run %s -seed %d", tst.Name(), seed)
	return rand.New(rand.NewPCG(seed, 0))
}

// places are the seven entry VMs of the first user.
func places() []procs.Place {
	return []procs.Place{
		{ID: "vm-1", Region: "gulf", FailureDomain: "a"},
		{ID: "vm-2", Region: "gulf", FailureDomain: "b"},
		{ID: "vm-3", Region: "gulf", FailureDomain: "a"},
		{ID: "vm-4", Region: "delta", FailureDomain: "a"},
		{ID: "vm-5", Region: "delta", FailureDomain: "b"},
		{ID: "vm-6", Region: "piedmont", FailureDomain: "a"},
		{ID: "vm-7", Region: "piedmont", FailureDomain: "b"},
	}
}

// siteConfig is the configuration of the demo's site with seven entry VMs. Callers of gulf may shift to delta only.
func siteConfig(tst *testing.T, entries ...catlg.Entry) (cfg procs.Config) {
	tst.Helper()
	sml, err := demo.Small(nil)
	must(tst, err)
	entries = append(entries, newEntry(tst, catlg.RegionEntry("gulf"), cardamompass.RegionInfo{
		Name:            "gulf",
		FailureDomains:  []cardamompass.FailureDomain{"a", "b"},
		FallbackRegions: []cardamompass.Region{"delta"},
	}))
	return procs.Config{
		Dir:      tst.TempDir(),
		VMs:      places(),
		Document: sml.Document.WithEntry(entries...),
		Targets:  sml.Targets,
	}
}

func newEntry[S catlg.Spec](tst *testing.T, name catlg.EntryName, spec S) (ent catlg.Entry) {
	tst.Helper()
	ent, err := catlg.NewEntry(name, "operations-team", spec)
	must(tst, err)
	return ent
}

// shiftEntry caps the shift of a service from gulf to delta.
func shiftEntry(tst *testing.T, svc cardamompass.ServiceName, perSecond int64) catlg.Entry {
	tst.Helper()
	return newEntry(tst, catlg.ShiftEntry(svc, "gulf", "delta"), cardamompass.ShiftLimit{
		Service:           svc,
		From:              "gulf",
		To:                "delta",
		RequestsPerSecond: perSecond,
	})
}

// linkEntry caps the link between two regions.
func linkEntry(tst *testing.T, from, to cardamompass.Region, kbit int64) catlg.Entry {
	tst.Helper()
	return newEntry(tst, catlg.LinkEntry(from, to), cardamompass.Link{
		From:          from,
		To:            to,
		KbitPerSecond: kbit,
		LongPercent:   80,
	})
}

// vmsOf returns the entry VMs of some regions.
func vmsOf(sit *procs.Site, regions ...cardamompass.Region) (vms []*procs.VM) {
	for _, vmp := range sit.VMs {
		if slices.Contains(regions, vmp.Place.Region) {
			vms = append(vms, vmp)
		}
	}
	return vms
}

// edit puts one entry into the catalogue and waits until it is in force at the given entry VMs.
func edit(tst *testing.T, sit *procs.Site, ent catlg.Entry, vms []*procs.VM) {
	tst.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	base, _, err := sit.Editor.Get(ctx)
	must(tst, err)
	acc, err := sit.Editor.Put(ctx, catlg.Edit{
		Base:   base,
		Edited: base.WithEntry(ent),
	})
	must(tst, err)
	must(tst, procs.Await(time.Minute, func() (missing string) {
		for _, vmp := range vms {
			sta, err := vmp.State()
			if err != nil {
				return err.Error()
			}
			if sta.Catalogue.Version < acc.Version {
				return string(vmp.Place.ID) + " has an older catalogue"
			}
		}
		return ""
	}))
}

// targetsOf returns the targets of the short service in a region.
func targetsOf(sit *procs.Site, reg cardamompass.Region) (tgts []*procs.Target) {
	for _, tgt := range sit.Targets {
		if tgt.Target.Service == demo.Short && tgt.Target.Region == reg {
			tgts = append(tgts, tgt)
		}
	}
	return tgts
}

func must(tst *testing.T, err error) {
	tst.Helper()
	if err != nil {
		tst.Fatal(err)
	}
}

// pass lets a phase of a test last for d. No verdict depends on how much happens in it.
func pass(d time.Duration) { time.Sleep(d) }
