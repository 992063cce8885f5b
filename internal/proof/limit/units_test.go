package limit_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"cardamompass"
	"cardamompass/internal/fleet/share"
	"cardamompass/internal/stand/demo"
	"cardamompass/internal/stand/procs"
)

const (
	// demandTime is the time after which a demand on few entry VMs gets most of a cap.
	demandTime = 2 * time.Second
	// demandWait is the timeout of the requests of a demand. It is some times the wait for a unit of the cap, 60 callers at 180
	// requests a second, so that a slow machine doesn't turn the demand into timeouts: with 150 ms, 193 of 400 requests
	// shifted on two cores, and 253 of 403 a second were refused.
	demandWait = time.Second
)

// ledgers returns the ledgers in the store by the names of their resources.
func ledgers(sit *procs.Site) (leds map[string]share.Ledger, err error) {
	snp, err := sit.Store.Snapshot()
	if err != nil {
		return nil, err
	}
	leds = make(map[string]share.Ledger)
	for key, val := range snp.Values {
		name, ok := strings.CutPrefix(key, "share/")
		if !ok {
			continue
		}
		led, err := share.ParseLedger(val.Data)
		if err != nil {
			return nil, err
		}
		leds[name] = led
	}
	return leds, nil
}

// partOf returns an owner's part of a ledger by weight.
func partOf(led share.Ledger, ent share.Entry) int64 {
	var weights int64
	for _, oth := range led.Entries {
		weights += oth.Weight
	}
	return led.Capacity * ent.Weight / weights
}

// short reports whether an owner has less than half of its part by weight.
func short(led share.Ledger, ent share.Entry) bool {
	part := partOf(led, ent)
	return ent.Units < min(part, max(1, part/2))
}

// settle waits until every entry VM owns a good part of each resource. The first entry VM of a new site owns everything
// at first.
func settle(tst *testing.T, sit *procs.Site) {
	tst.Helper()
	began := time.Now()
	must(tst, procs.Await(2*time.Minute, func() (missing string) {
		leds, err := ledgers(sit)
		if err != nil {
			return err.Error()
		}
		sta, err := sit.VMs[0].State()
		if err != nil {
			return err.Error()
		}
		if len(leds) < len(sta.Shares.Resources) {
			return "resources without a ledger"
		}
		for name, led := range leds {
			if len(led.Entries) < len(sit.VMs) || slices.ContainsFunc(led.Entries, func(ent share.Entry) bool { return short(led, ent) }) {
				return fmt.Sprintf("%s is divided unevenly: %+v", name, led.Entries)
			}
		}
		return ""
	}))
	tst.Logf("the units were divided %v after the site was ready", time.Since(began).Round(time.Second))
}

// awaitAvoided waits until no entry VM uses a target of the region any more.
func awaitAvoided(tst *testing.T, sit *procs.Site, reg cardamompass.Region) {
	tst.Helper()
	must(tst, procs.Await(time.Minute, func() (missing string) {
		for _, vmp := range sit.VMs {
			sta, err := vmp.State()
			if err != nil {
				return err.Error()
			}
			for _, svc := range sta.Services {
				for _, tgt := range svc.Targets {
					if tgt.Region == reg && !tgt.Leaving && !tgt.Failing {
						return fmt.Sprintf("%s uses %s", vmp.Place.ID, tgt.ID)
					}
				}
			}
		}
		return ""
	}))
}

// checkDemand checks that a demand above the cap on two entry VMs gets four fifths of it after demandTime.
func checkDemand(tst *testing.T, sit *procs.Site, rnd *rand.Rand) {
	tst.Helper()
	order := rnd.Perm(len(sit.VMs))
	began := time.Now()
	var lods []*load
	// The callers of an entry VM stay with it: callers that choose anew would all wait at the one with fewer units.
	for _, num := range order[:2] {
		lods = append(lods, startLoad(tst, loadConfig{
			Name:    "demand-" + string(sit.VMs[num].Place.ID),
			VMs:     []*procs.VM{sit.VMs[num]},
			Region:  "gulf",
			Service: demo.Short,
			Callers: 30,
			Timeout: demandWait,
			Random:  rnd,
		}))
	}
	pass(demandTime + 3*time.Second)
	var sent []sending
	for _, lod := range lods {
		sent = append(sent, lod.stop()...)
	}
	spans := spansOf(tst, sent, targetsOf(sit, "delta"))
	for second := range 5 {
		tst.Logf("demand on %s and %s: %d runs in second %d", sit.VMs[order[0]].Place.ID, sit.VMs[order[1]].Place.ID,
			ran(spans, began.Add(time.Duration(second)*time.Second), time.Second), second)
	}
	if got := ran(spans, began.Add(demandTime), 2*time.Second); got < 2*shiftCap*4/5 {
		tst.Errorf("%d requests shifted within 2 s, want at least four fifths of %d", got, 2*shiftCap)
	}
	if overCap(tst, "demand on two VMs", spans, shiftCap) {
		tst.Error("the shift cap was passed")
	}
}

// checkStop checks that the units of an entry VM that stops as planned are divided among the others in the end.
func checkStop(tst *testing.T, sit *procs.Site) {
	tst.Helper()
	stopped := sit.VMs[slices.IndexFunc(sit.VMs, (*procs.VM).Running)]
	must(tst, stopped.Stop())
	name := share.ShiftName(demo.Short, "gulf", "delta")
	must(tst, procs.Await(time.Minute, func() (missing string) {
		leds, err := ledgers(sit)
		if err != nil {
			return err.Error()
		}
		led := leds[name]
		for _, ent := range led.Entries {
			if ent.VM == stopped.Place.ID {
				return fmt.Sprintf("%s still owns %d units", ent.VM, ent.Units)
			}
		}
		// The entries of entry VMs that died stay as they are until their leases lapse. Who had more than its part keeps it.
		for _, ent := range led.Entries {
			part := partOf(led, ent)
			if sit.VM(ent.VM).Running() && ent.Units < part && led.Sum() < led.Capacity {
				return fmt.Sprintf("%s owns %d units, want %d", ent.VM, ent.Units, part)
			}
		}
		return ""
	}))
}
