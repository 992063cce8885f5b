package limit_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"cardamompass"
	"cardamompass/internal/stand/demo"
	"cardamompass/internal/stand/kvsrv"
	"cardamompass/internal/stand/procs"
	"cardamompass/internal/stand/target"
)

const (
	// shiftCap and lowCap are requests a second, before and after the edit in a storm.
	shiftCap = 200
	lowCap   = 100
	// linkKbit is the cap of a link from delta, in kbit/s.
	linkKbit = 160_000
	// linkBytes is the same in bytes a second.
	linkBytes = linkKbit * 1000 / 8
	// shortWait is the timeout of the short requests of a storm. Waits in a queue widen the spans, so it is short.
	shortWait = 150 * time.Millisecond
)

// storm is the shift of all callers of gulf to delta.
type storm struct {
	sit   *procs.Site
	rnd   *rand.Rand
	short *load
	long  *load
	meter *byteMeter
	// lowered is the time from which the lower cap is in force.
	lowered time.Time
}

// stormSite starts a site whose targets in delta have so many slots that only the caps limit the shift: perSecond requests a second
// from gulf to delta, and kbit on the link from delta to another region.
func stormSite(tst *testing.T, perSecond, kbit int64, to cardamompass.Region) (sit *procs.Site) {
	tst.Helper()
	cfg := siteConfig(tst, shiftEntry(tst, demo.Short, perSecond), linkEntry(tst, "delta", to, kbit))
	cfg.Settings = map[string]any{
		"lookup-max-age": "500ms", // shortens the planned stop
	}
	cfg.StoreProxies, cfg.PeerProxies, cfg.TargetProxies = true, true, true
	for num := range cfg.Targets {
		cfg.Targets[num].Slots = 32
	}
	return procs.ForTest(tst, cfg)
}

// leaveGulf takes the targets of gulf away: one crashes, one drains, of each service.
func leaveGulf(tst *testing.T, sit *procs.Site) {
	tst.Helper()
	for _, tgt := range sit.Targets {
		switch {
		case tgt.Target.Region != "gulf":
		case tgt.Target.FailureDomain == "a":
			tgt.Proxy.Refuse()
			must(tst, tgt.Crash())
		default:
			must(tst, tgt.SetDraining(true))
		}
	}
}

// startStorm starts the shift. Long requests use only the entry VMs of the given regions.
func startStorm(tst *testing.T, sit *procs.Site, rnd *rand.Rand, regions ...cardamompass.Region) (stm *storm) {
	tst.Helper()
	return &storm{
		sit:   sit,
		rnd:   rnd,
		meter: newByteMeter(tst, sit),
		short: startShort(tst, sit, rnd, shortWait),
		long:  startLong(tst, sit, rnd, regions...),
	}
}

func startShort(tst *testing.T, sit *procs.Site, rnd *rand.Rand, wait time.Duration) (lod *load) {
	tst.Helper()
	return startLoad(tst, loadConfig{
		Name:    "short",
		VMs:     sit.VMs,
		Region:  "gulf",
		Service: demo.Short,
		Callers: 70,
		Timeout: wait,
		Random:  rnd,
	})
}

func startLong(tst *testing.T, sit *procs.Site, rnd *rand.Rand, regions ...cardamompass.Region) (lod *load) {
	tst.Helper()
	return startLoad(tst, loadConfig{
		Name:    "long",
		VMs:     vmsOf(sit, regions...),
		Region:  "gulf",
		Service: demo.Long,
		Callers: 12,
		Timeout: 20 * time.Second,
		Header: map[string]string{
			target.HeaderResponseBytes: "4194304",
			target.HeaderServiceTime:   "5",
		},
		Random: rnd,
	})
}

// faults injects the faults one after the other, on random entry VMs, and lowers the cap between them.
func (stm *storm) faults(tst *testing.T) {
	tst.Helper()
	sit := stm.sit
	order := stm.rnd.Perm(len(sit.VMs))
	vm := func(num int) *procs.VM { return sit.VMs[order[num]] }
	pass(3 * time.Second)
	must(tst, vm(0).Kill())
	pass(time.Second)
	vm(1).PeerProxy.Cut()
	vm(2).PeerProxy.Drop(0)
	must(tst, vm(3).Freeze())
	pass(3500 * time.Millisecond) // longer than a loan
	must(tst, vm(3).Resume())
	pass(time.Second)
	must(tst, vm(1).PeerProxy.Heal())
	must(tst, vm(2).PeerProxy.Heal())
	must(tst, vm(4).Kill())
	var left []*procs.VM
	for _, vmp := range sit.VMs {
		if vmp.Running() {
			left = append(left, vmp)
		}
	}
	edit(tst, sit, shiftEntry(tst, demo.Short, lowCap), left)
	stm.lowered = time.Now()
	pass(2 * time.Second)
	must(tst, sit.Store.SetFaults(kvsrv.Faults{
		Outage: true,
	}))
	vm(5).PeerProxy.Drop(1)
	pass(4 * time.Second)
	must(tst, sit.Store.SetFaults(kvsrv.Faults{}))
	must(tst, vm(5).PeerProxy.Heal())
	pass(3 * time.Second)
}

// TestCaps guards against shifted requests above their cap when entry VMs die, pause or lose each other or the
// store, and when the cap is lowered meanwhile; against a cap that can't be used where the demand is; and against units that
// a planned stop keeps.
func TestCaps(tst *testing.T) {
	rnd := newRandom(tst)
	sit := stormSite(tst, shiftCap, linkKbit, "gulf")
	settle(tst, sit)
	leaveGulf(tst, sit)
	awaitAvoided(tst, sit, "gulf")
	checkDemand(tst, sit, rnd)
	stm := startStorm(tst, sit, rnd, "gulf", "delta", "piedmont")
	stm.faults(tst)
	sent := stm.short.stop()
	stm.long.stop()
	spans := spansOf(tst, sent, targetsOf(sit, "delta"))
	if len(since(spans, stm.lowered)) == 0 {
		tst.Error("no request shifted after the faults")
	}
	if overCap(tst, "whole storm", spans, shiftCap) {
		tst.Error("the shift cap was passed")
	}
	if overCap(tst, "after the edit", since(spans, stm.lowered), lowCap) {
		tst.Error("the lowered shift cap was passed")
	}
	checkStop(tst, sit)
}

// TestLinkCap guards against bytes above the cap of a link, those of long answers included, under the same faults. Answers from
// delta through the entry VMs of piedmont cross the link to piedmont and the one from there, and not the one to gulf, so each link
// has a run of its own in which all long answers cross it.
func TestLinkCap(tst *testing.T) {
	tests := []struct {
		name string
		// to is the region at the end of the link, through are the regions of the entry VMs whose callers' answers cross it.
		to      cardamompass.Region
		through []cardamompass.Region
	}{
		{"to the callers' region", "gulf", []cardamompass.Region{"gulf", "delta"}},
		{"to a region between", "piedmont", []cardamompass.Region{"piedmont"}},
	}
	for _, tcs := range tests {
		tst.Run(tcs.name, func(tst *testing.T) {
			rnd := newRandom(tst)
			sit := stormSite(tst, shiftCap, linkKbit, tcs.to)
			settle(tst, sit)
			leaveGulf(tst, sit)
			awaitAvoided(tst, sit, "gulf")
			stm := startStorm(tst, sit, rnd, tcs.through...)
			stm.faults(tst)
			stm.short.stop()
			stm.long.stop()
			if stm.meter.over(tst) {
				tst.Error("the link cap was passed")
			}
			if most := stm.meter.most(time.Second); most < linkBytes/4 {
				tst.Errorf("at most %d bytes within 1 s, too few to judge a cap of %d a second", most, linkBytes)
			}
		})
	}
}

// TestCapsCheckFails guards against checks that can't fail: the product is told ten times the caps that are checked. Short and long
// requests come one after the other, since both at once don't exceed the shift cap on a slow machine.
func TestCapsCheckFails(tst *testing.T) {
	rnd := newRandom(tst)
	sit := stormSite(tst, 10*shiftCap, 10*linkKbit, "gulf")
	leaveGulf(tst, sit)
	short := startShort(tst, sit, rnd, demandWait)
	pass(7 * time.Second)
	if !overCap(tst, "ten times the cap", spansOf(tst, short.stop(), targetsOf(sit, "delta")), shiftCap) {
		tst.Error("the check of the shift cap found nothing")
	}
	meter := newByteMeter(tst, sit)
	long := startLong(tst, sit, rnd, "gulf", "delta")
	pass(7 * time.Second)
	long.stop()
	if !meter.over(tst) {
		tst.Error("the check of the link cap found nothing")
	}
}
