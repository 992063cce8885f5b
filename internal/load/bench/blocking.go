package bench

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"cardamompass"
	"cardamompass/internal/conf/catlg"
	"cardamompass/internal/load/caller"
	"cardamompass/internal/stand/demo"
	"cardamompass/internal/stand/target"
	"cardamompass/internal/steer/route"
)

const (
	checkTargets    = 35
	downloadTargets = 12
	blockingSlots   = 3
	checkMS         = 20
	// checkRate uses 30% of the slots of the short service.
	checkRate = 0.3 * checkTargets * blockingSlots * 1000 / checkMS
	// downloadMS is a hundred times the length of a check.
	downloadMS    = 100 * checkMS
	downloadBytes = 1 << 20
	// downloaders keep more downloads under way than the long service has slots.
	downloaders     = 48
	downloadTimeout = 20 * time.Second
	// linkKbit is less than the 75 Mbit/s that the downloads of all slots of delta make.
	linkKbit = 60_000
	// warmTime is the time until gulf's downloads may use all of delta's slots, see route.RampUp.
	warmTime = route.RampUp + time.Second
)

func blocking() Scenario {
	return Scenario{
		Name: "blocking",
		Scale: "35 targets of 3 slots (short, gulf) and 12 of 3 slots (long, half in gulf, half in delta) as in the design; checks " +
			"10 to 30 ms, 1,575/s, every third from delta; 48 downloaders in gulf, 2 s and 1 MiB each; links of 60 instead " +
			"of 4,000 Mbit/s",
		run: runBlocking,
	}
}

func blockingSite(naive bool) (sit *Site, cleanup func(), err error) {
	downloadGroup := group{
		service: demo.Long,
		region:  gulf,
		count:   downloadTargets / 2,
		slots:   blockingSlots,
		bhv: target.Behaviour{
			ServiceMS:     downloadMS,
			ResponseBytes: downloadBytes,
		},
	}
	far := downloadGroup
	far.region = delta
	return newSite(siteConfig{
		vms: append(places(gulf, 4), places(delta, 3)...),
		groups: []group{
			{
				service: demo.Short,
				region:  gulf,
				count:   checkTargets,
				slots:   blockingSlots,
				bhv: target.Behaviour{
					ServiceMS: checkMS,
				},
			},
			downloadGroup,
			far,
		},
		naive: naive,
		edit:  limitLinks,
	})
}

func limitLinks(cfg *demo.Config) (err error) {
	for _, ends := range [][2]cardamompass.Region{{gulf, delta}, {delta, gulf}} {
		ent, err := catlg.NewEntry(catlg.LinkEntry(ends[0], ends[1]), "operations-team", cardamompass.Link{
			From:          ends[0],
			To:            ends[1],
			KbitPerSecond: linkKbit,
			LongPercent:   80,
		})
		if err != nil {
			return err
		}
		cfg.Document = cfg.Document.WithEntry(ent)
	}
	return nil
}

// blockingResult is what one version did in the three phases.
type blockingResult struct {
	checks, mixed   *Recorder
	alone, together float64 // downloads in Mbit/s
}

func runBlocking(ctx context.Context, cfg Config, plt *plots) (pts []Point, err error) {
	current, err := blockingOn(ctx, cfg, false)
	if err != nil {
		return nil, err
	}
	naive, err := blockingOn(ctx, cfg, true)
	if err != nil {
		return nil, err
	}
	plt.add("naive", naive.mixed)
	plt.add("current", current.mixed)
	plt.add("current, no downloads", current.checks)
	return []Point{
		both("checks p50 with downloads", "ms", naive.mixed.Quantile(50), current.mixed.Quantile(50)),
		both("checks p99 without downloads", "ms", naive.checks.Quantile(99), current.checks.Quantile(99)),
		both("checks p99 with downloads", "ms", naive.mixed.Quantile(99), current.mixed.Quantile(99)),
		both("checks p99 with / without downloads", "ratio", naive.mixed.Quantile(99)/naive.checks.Quantile(99),
			current.mixed.Quantile(99)/current.checks.Quantile(99)).atMost(1.2),
		both("checks answered with downloads", "%", naive.mixed.success(0, 0), current.mixed.success(0, 0)),
		both("downloads alone", "Mbit/s", naive.alone, current.alone),
		both("downloads with checks", "Mbit/s", naive.together, current.together),
		both("downloads with / without checks", "ratio", naive.together/max(1e-9, naive.alone),
			current.together/max(1e-9, current.alone)).atLeast(0.9),
	}, nil
}

func blockingOn(ctx context.Context, cfg Config, naive bool) (res blockingResult, err error) {
	sit, cleanup, err := blockingSite(naive)
	if err != nil {
		return res, err
	}
	defer cleanup()
	checks := load{
		rate:     checkRate,
		duration: time.Second,
		seed:     cfg.Seed,
		send: sit.sender(ask{
			service: demo.Short,
			region: func(num int) cardamompass.Region {
				if num%3 == 0 {
					return delta
				}
				return gulf
			},
			prefix:    "check-",
			timeout:   requestTimeout,
			serviceMS: checkMS,
			seed:      cfg.Seed,
		}),
	}
	dls := sit.startDownloads(ctx, cfg.Seed)
	defer dls.stop()
	warm := warmTime
	if naive {
		warm = downloadMS * time.Millisecond
	}
	if !sleepUntil(ctx, time.Now().Add(warm)) {
		return res, ctx.Err()
	}
	checks.run(ctx)
	// Downloads take two seconds, so the time measured is a whole number of their lengths.
	span := max(cfg.Duration, 2*downloadMS*time.Millisecond)
	res.alone = dls.rate(ctx, span)
	checks.seed, checks.duration = cfg.Seed+1, span
	var wtg sync.WaitGroup
	wtg.Go(func() { res.mixed = checks.run(ctx) })
	res.together = dls.rate(ctx, span)
	wtg.Wait()
	dls.stop()
	checks.seed = cfg.Seed + 2
	res.checks = checks.run(ctx)
	if !naive {
		err = sit.writeState(cfg.State)
	}
	return res, err
}

// downloads is a closed loop of long requests.
type downloads struct {
	sit    *Site
	bytes  atomic.Int64
	cancel context.CancelFunc
	wtg    sync.WaitGroup
}

func (sit *Site) startDownloads(ctx context.Context, seed uint64) (dls *downloads) {
	ctx, cancel := context.WithCancel(ctx)
	dls = &downloads{
		sit:    sit,
		cancel: cancel,
	}
	for num := range downloaders {
		dls.wtg.Go(func() { dls.loop(ctx, num, rand.New(rand.NewPCG(seed, uint64(num)))) })
	}
	return dls
}

func (dls *downloads) stop() {
	dls.cancel()
	dls.wtg.Wait()
}

// loop downloads one pack after the other, the first one after a random part of a download's length.
func (dls *downloads) loop(ctx context.Context, num int, rng *rand.Rand) {
	clrs := dls.sit.callers[gulf]
	clr := clrs[num%len(clrs)]
	first := time.Duration(rng.Float64() * downloadMS * float64(time.Millisecond))
	for turn, next := 0, time.Now().Add(first); sleepUntil(ctx, next); turn++ {
		rsp, err := clr.Do(ctx, caller.Request{
			ID:         cardamompass.RequestID("dl-" + strconv.Itoa(num) + "-" + strconv.Itoa(turn)),
			Service:    demo.Long,
			Method:     http.MethodGet,
			Path:       "/maps/" + strconv.Itoa(num) + "-" + strconv.Itoa(turn),
			Idempotent: true,
			Timeout:    downloadTimeout,
		})
		next = time.Now()
		if outcomeOf(rsp, err).OK {
			dls.bytes.Add(int64(len(rsp.Body)))
		} else {
			next = next.Add(100 * time.Millisecond)
		}
	}
}

// rate returns the Mbit/s of whole downloads that end during span.
func (dls *downloads) rate(ctx context.Context, span time.Duration) (mbit float64) {
	before, began := dls.bytes.Load(), time.Now()
	sleepUntil(ctx, began.Add(span))
	return float64(dls.bytes.Load()-before) * 8 / 1e6 / time.Since(began).Seconds()
}
