package bench

import (
	"context"
	"sync"
	"time"

	"cardamompass"
	"cardamompass/internal/conf/catlg"
	"cardamompass/internal/stand/demo"
	"cardamompass/internal/stand/kvsrv"
	"cardamompass/internal/stand/target"
)

const (
	stormMS    = 50
	stormSlots = 6
	// Rates of short requests a second, in all and of gulf callers alone.
	stormRate     = 600
	stormGulfPart = 0.4
	stormGulfRate = stormGulfPart * stormRate
	// stormCap is the shift cap from gulf to each other region. It is low enough that gulf's traffic does not fit.
	stormCap = 120
	// Phases of the run: steady until stormBegins, faults until stormEnds, then recovery.
	stormBegins   = 4 * time.Second
	stormEnds     = 14 * time.Second
	stormRecovers = 10 * time.Second
	// stormSettles is the time after the begin of the faults in which VMs and targets are still being found dead.
	stormSettles = 2 * time.Second
)

// stormVictims are the entry VMs that end without a planned stop.
var stormVictims = []cardamompass.VMID{"gulf-a-1", "delta-a-1"}

func storm() Scenario {
	return Scenario{
		Name: "storm",
		Scale: "7 entry VMs in 3 regions, 20 targets of 6 slots (7 gulf, 7 delta, 6 piedmont); service time 25 to 75 ms; 600 requests/s, " +
			"40% from gulf; shift caps of 120 requests/s; at 4 s gulf's targets and two entry VMs fail and the store goes out, " +
			"at 14 s targets and store are back and two entry VMs start; fixed length of 24 s",
		run: runStorm,
	}
}

func stormSite(naive bool) (sit *Site, cleanup func(), err error) {
	scf := siteConfig{
		vms:   append(append(places(gulf, 3), places(delta, 2)...), places(piedmont, 2)...),
		naive: naive,
		edit:  limitShifts,
	}
	for reg, count := range map[cardamompass.Region]int{gulf: 7, delta: 7, piedmont: 6} {
		scf.groups = append(scf.groups, group{
			service: demo.Short,
			region:  reg,
			count:   count,
			slots:   stormSlots,
			bhv: target.Behaviour{
				ServiceMS: stormMS,
			},
		})
	}
	return newSite(scf)
}

func limitShifts(cfg *demo.Config) (err error) {
	for _, reg := range []cardamompass.Region{delta, piedmont} {
		ent, err := catlg.NewEntry(catlg.ShiftEntry(demo.Short, gulf, reg), "operations-team", cardamompass.ShiftLimit{
			Service:           demo.Short,
			From:              gulf,
			To:                reg,
			RequestsPerSecond: stormCap,
		})
		if err != nil {
			return err
		}
		cfg.Document = cfg.Document.WithEntry(ent)
	}
	return nil
}

// stormResult is what one version did.
type stormResult struct {
	rcd         *Recorder
	shifted     int     // most requests of gulf callers in another region in any second
	overSlots   int     // most requests present at a target beyond its slots
	retries     float64 // percent
	resends     float64 // percent
	recoverySec float64
}

// allowed returns the percentage of requests that the remaining capacity allows: all but those of gulf callers that fit under
// neither cap. A tenth of a cap is kept for bursts, and the units of the two ended VMs stay with them while their leases last.
func allowed() float64 {
	const usable = 0.9 * 5 / 7 * 2 * stormCap
	return 100 * (stormRate - stormGulfRate + min(stormGulfRate, usable)) / stormRate
}

func runStorm(ctx context.Context, cfg Config, plt *plots) (pts []Point, err error) {
	current, err := stormOn(ctx, cfg, false)
	if err != nil {
		return nil, err
	}
	naive, err := stormOn(ctx, cfg, true)
	if err != nil {
		return nil, err
	}
	plt.add("naive", naive.rcd)
	plt.add("current", current.rcd)
	from, until := int((stormBegins+stormSettles)/time.Second), int((stormEnds-requestTimeout)/time.Second)
	// Later requests wait in the queues until the faults end and are answered then.
	during := func(rcd *Recorder) float64 { return rcd.success(from, until) }
	steady := func(rcd *Recorder) float64 { return rcd.success(1, int(stormBegins/time.Second)) }
	return []Point{
		both("gulf requests in another region in any second", "requests", float64(naive.shifted), float64(current.shifted)).
			atMost(stormCap),
		both("requests at a target over its slots", "requests", float64(naive.overSlots), float64(current.overSlots)).atMost(0),
		both("answered before the faults", "%", steady(naive.rcd), steady(current.rcd)),
		both("answered in the first 2 s of the faults", "%", naive.rcd.success(4, from), current.rcd.success(4, from)),
		both("answered during the faults", "%", during(naive.rcd), during(current.rcd)),
		both("answered / allowed by the remaining capacity", "%", 100*during(naive.rcd)/allowed(), 100*during(current.rcd)/allowed()).
			atLeast(99),
		both("recovery to 95% of steady after the faults", "s", naive.recoverySec, current.recoverySec).atMost(10),
		only("retries by entry VMs", "%", current.retries).atMost(10),
		both("re-sends by callers", "%", naive.resends, current.resends),
		both("p99 over the whole run", "ms", naive.rcd.Quantile(99), current.rcd.Quantile(99)),
	}, nil
}

func stormOn(ctx context.Context, cfg Config, naive bool) (res stormResult, err error) {
	sit, cleanup, err := stormSite(naive)
	if err != nil {
		return res, err
	}
	defer cleanup()
	lod := load{
		rate:     stormRate,
		duration: stormEnds + stormRecovers,
		seed:     cfg.Seed,
		send: sit.sender(ask{
			service:   demo.Short,
			region:    stormRegion,
			prefix:    "storm-",
			timeout:   requestTimeout,
			serviceMS: stormMS,
			seed:      cfg.Seed,
		}),
	}
	wctx, stop := context.WithCancel(ctx)
	defer stop()
	var wtg sync.WaitGroup
	var ferr error
	wtg.Go(func() { res.shifted = sit.watchShifted(wctx) })
	wtg.Go(func() { ferr = sit.runFaults(wctx, time.Now()) })
	res.rcd = lod.run(ctx)
	stop()
	wtg.Wait()
	res.overSlots, res.retries = sit.overSlots(), sit.retries()
	res.resends = 100 * (float64(res.rcd.sendings)/float64(max(1, res.rcd.Sent())) - 1)
	res.recoverySec = res.rcd.recovery()
	if !naive && ferr == nil {
		ferr = sit.writeState(cfg.State)
	}
	return res, ferr
}

// stormRegion gives each request the region of its caller in a fixed mix: 4 of 10 gulf, 3 delta, 3 piedmont.
func stormRegion(num int) cardamompass.Region {
	switch num % 10 {
	case 0, 3, 5, 8:
		return gulf
	case 1, 4, 7:
		return delta
	default:
		return piedmont
	}
}

// runFaults makes all faults of the storm and ends them.
func (sit *Site) runFaults(ctx context.Context, began time.Time) (err error) {
	if !sleepUntil(ctx, began.Add(stormBegins)) {
		return nil
	}
	sit.Store.SetFaults(kvsrv.Faults{
		Outage: true,
	})
	for _, vid := range stormVictims {
		sit.KillVM(vid)
	}
	for _, tgt := range sit.regionTargets(gulf) {
		tgt.Crash()
	}
	if !sleepUntil(ctx, began.Add(stormEnds)) {
		return nil
	}
	sit.Store.SetFaults(kvsrv.Faults{})
	for _, tgt := range sit.regionTargets(gulf) {
		if err := tgt.Restart(); err != nil {
			return err
		}
	}
	for _, vid := range stormVictims {
		reg := cardamompass.Region(vid[:len(vid)-len("-a-1")])
		if err := sit.StartVM(vid, places(reg, 1)[0]); err != nil {
			return err
		}
	}
	return nil
}

func (sit *Site) regionTargets(reg cardamompass.Region) (tgts map[cardamompass.TargetID]*target.Target) {
	tgts = make(map[cardamompass.TargetID]*target.Target)
	for _, spec := range sit.specs {
		if spec.Region == reg {
			tgts[spec.ID] = sit.Targets[spec.ID]
		}
	}
	return tgts
}

// watchShifted returns the most requests of gulf callers that one other region's targets ran in any second, until ctx ends.
func (sit *Site) watchShifted(ctx context.Context) (most int) {
	type sample struct {
		at  time.Time
		sum int
	}
	for samples := make(map[cardamompass.Region][]sample); sleepUntil(ctx, time.Now().Add(50*time.Millisecond)); {
		for _, reg := range []cardamompass.Region{delta, piedmont} {
			smp := sample{
				at: time.Now(),
			}
			for _, tgt := range sit.regionTargets(reg) {
				smp.sum += tgt.Runs().ByOperation[string(gulf)]
			}
			kept := append(samples[reg], smp)
			for smp.at.Sub(kept[0].at) > time.Second {
				kept = kept[1:]
			}
			samples[reg] = kept
			most = max(most, smp.sum-kept[0].sum)
		}
	}
	return most
}

// overSlots returns the most requests that were present at a target beyond its slots.
func (sit *Site) overSlots() (most int) {
	for _, spec := range sit.specs {
		most = max(most, sit.Targets[spec.ID].Runs().MaxPresent-spec.Slots)
	}
	return most
}

// retries returns the percentage of attempts after a failed one, of all recent decisions of the entry VMs.
func (sit *Site) retries() float64 {
	decisions, repeats := 0, 0
	for _, prc := range sit.VMs {
		for _, dec := range prc.Decisions("") {
			decisions++
			attempts := 0
			for _, att := range dec.Attempts {
				if !att.Hedge {
					attempts++
				}
			}
			repeats += max(0, attempts-1)
		}
	}
	return 100 * float64(repeats) / float64(max(1, decisions))
}

// recovery returns the seconds from the end of the faults until the end of the first second from which on 95% of the steady
// figure are answered, the whole rest if that never happens.
func (rcd *Recorder) recovery() (seconds float64) {
	ends := int(stormEnds / time.Second)
	steady := rcd.success(1, int(stormBegins/time.Second))
	for sec := len(rcd.seconds) - 1; sec >= ends; sec-- {
		if rcd.success(sec, sec+1) < 0.95*steady {
			return float64(sec + 1 - ends)
		}
	}
	return 0
}
