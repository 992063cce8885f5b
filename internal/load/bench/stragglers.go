package bench

import (
	"context"
	"slices"
	"sync"
	"time"

	"cardamompass"
	"cardamompass/internal/stand/demo"
	"cardamompass/internal/stand/target"
)

const (
	stragglerTargets = 20
	stragglerSlots   = 6
	stragglerMS      = 50
	// stragglerLoad is the share of the capacity of targets that are not slow.
	stragglerLoad   = 0.7
	slowTargets     = 2
	slowFactor      = 10
	slowPhase       = 2 * time.Second
	loadReportLagMS = 2000
)

func stragglers() Scenario {
	return Scenario{
		Name: "stragglers",
		Scale: "20 targets of 6 slots, 7 entry VMs in one region as in the design; service time 25 to 75 ms, " +
			"70% of the slots used (1,680 requests/s); 2 targets ten times slower, others every 2 s; load reports 2 s late",
		run: runStragglers,
	}
}

func stragglerSite(naive bool) (sit *Site, cleanup func(), err error) {
	return newSite(siteConfig{
		vms: places(gulf, 7),
		groups: []group{{
			service: demo.Short,
			region:  gulf,
			count:   stragglerTargets,
			slots:   stragglerSlots,
			bhv: target.Behaviour{
				ServiceMS: stragglerMS,
				LoadLagMS: loadReportLagMS,
			},
		}},
		naive: naive,
	})
}

func runStragglers(ctx context.Context, cfg Config, plt *plots) (pts []Point, err error) {
	calm, _, err := stragglerLoadOn(ctx, cfg, false, false)
	if err != nil {
		return nil, err
	}
	current, extra, err := stragglerLoadOn(ctx, cfg, false, true)
	if err != nil {
		return nil, err
	}
	naive, naiveExtra, err := stragglerLoadOn(ctx, cfg, true, true)
	if err != nil {
		return nil, err
	}
	plt.add("naive", naive)
	plt.add("current", current)
	plt.add("current, no stragglers", calm)
	p99 := current.Quantile(99)
	return []Point{
		both("p50 with stragglers", "ms", naive.Quantile(50), current.Quantile(50)),
		both("p99 with stragglers", "ms", naive.Quantile(99), p99),
		both("p99.9 with stragglers", "ms", naive.Quantile(99.9), current.Quantile(99.9)),
		only("p99 without stragglers", "ms", calm.Quantile(99)),
		only("p99 with / without stragglers", "ratio", p99/calm.Quantile(99)).atMost(1.5),
		only("p99 current / naive", "ratio", p99/naive.Quantile(99)).atMost(0.25),
		both("extra requests at targets", "%", naiveExtra, extra).atMost(3),
		both("answered", "%", naive.success(0, 0), current.success(0, 0)),
	}, nil
}

// stragglerLoadOn runs one load on a new site and returns its requests and the percentage of extra ones at the targets.
func stragglerLoadOn(ctx context.Context, cfg Config, naive, slow bool) (rcd *Recorder, extra float64, err error) {
	sit, cleanup, err := stragglerSite(naive)
	if err != nil {
		return nil, 0, err
	}
	defer cleanup()
	rate := stragglerLoad * stragglerTargets * stragglerSlots * 1000 / stragglerMS
	lod := load{
		rate:     rate,
		duration: time.Second,
		seed:     cfg.Seed + 1000,
		send: sit.sender(ask{
			service:   demo.Short,
			region:    fromGulf,
			prefix:    "warm-",
			timeout:   requestTimeout,
			serviceMS: stragglerMS,
			seed:      cfg.Seed + 1000,
		}),
	}
	lod.run(ctx)
	sit.arrived()
	mctx, stop := context.WithCancel(ctx)
	var wtg sync.WaitGroup
	if slow {
		wtg.Go(func() { sit.moveStragglers(mctx, cfg.Seed) })
	}
	lod.duration, lod.seed = cfg.Duration, cfg.Seed
	lod.send = sit.sender(ask{
		service:   demo.Short,
		region:    fromGulf,
		prefix:    "req-",
		timeout:   requestTimeout,
		serviceMS: stragglerMS,
		seed:      cfg.Seed,
	})
	rcd = lod.run(ctx)
	stop()
	wtg.Wait()
	if !naive {
		if err := sit.writeState(cfg.State); err != nil {
			return nil, 0, err
		}
	}
	return rcd, 100 * (float64(sit.arrived())/float64(max(1, rcd.Sent())) - 1), ctx.Err()
}

// moveStragglers makes other targets slow in each phase.
func (sit *Site) moveStragglers(ctx context.Context, seed uint64) {
	var ids []cardamompass.TargetID
	for tid := range sit.Targets {
		ids = append(ids, tid)
	}
	slices.Sort(ids)
	rng := newRand(seed)
	for next := time.Now(); ; next = next.Add(slowPhase) {
		if !sleepUntil(ctx, next) {
			return
		}
		rng.Shuffle(len(ids), func(one, two int) { ids[one], ids[two] = ids[two], ids[one] })
		for num, tid := range ids {
			bhv := sit.Targets[tid].Behaviour()
			bhv.SlowFactor = 1
			if num < slowTargets {
				bhv.SlowFactor = slowFactor
			}
			sit.Targets[tid].SetBehaviour(bhv)
		}
	}
}
