package bench

import (
	"context"
	"fmt"
	"sync"
	"time"

	"cardamompass"
	"cardamompass/internal/conf/catlg"
	"cardamompass/internal/stand/demo"
	"cardamompass/internal/stand/target"
)

const (
	timesMS      = 20
	timesTargets = 20
	timesSlots   = 6
	timesRate    = 800
	// quietTime is the time without new work after which a target counts as left alone. At this load each target gets a
	// request every 25 ms.
	quietTime = 500 * time.Millisecond
	// deadTime bounds the measurement of a dead target: requests try it again 5 s after they found it failing.
	deadTime = 2 * time.Second
	// stepTimeout bounds one try.
	stepTimeout = 10 * time.Second
)

func times() Scenario {
	return Scenario{
		Name: "times",
		Scale: "20 targets of 6 slots, 7 entry VMs, service time 10 to 30 ms, 800 requests/s (13% of the slots); each row is the median " +
			"over all tries of one run",
		run: runTimes,
	}
}

// timesResult holds the times of all tries of one version, in milliseconds.
type timesResult struct {
	drain, edit, dead []float64
	rcd               *Recorder
}

func runTimes(ctx context.Context, cfg Config, _ *plots) (pts []Point, err error) {
	current, err := timesOn(ctx, cfg, false)
	if err != nil {
		return nil, err
	}
	naive, err := timesOn(ctx, cfg, true)
	if err != nil {
		return nil, err
	}
	for _, row := range []struct {
		name           string
		naive, current []float64
		limit          float64
	}{
		{name: "drain until no new work", naive: naive.drain, current: current.drain, limit: 3000},
		{name: "edit until in force at all entry VMs", naive: naive.edit, current: current.edit, limit: 1000},
		{name: "dead target until left alone", current: current.dead},
	} {
		pts = append(pts, triple(row.name, row.naive, row.current, row.limit)...)
	}
	return append(pts,
		both("tries of each", "", float64(len(naive.edit)), float64(len(current.edit))),
		both("answered during all tries", "%", naive.rcd.success(0, 0), current.rcd.success(0, 0))), nil
}

// triple returns median, lowest and highest value of the tries. The naive ones are left out when there are none: the baseline
// records no attempts, so that the last request to a dead target is not known.
func triple(name string, naive, current []float64, limit float64) (pts []Point) {
	one, two := summarize(naive), summarize(current)
	for _, row := range []struct {
		name string
		of   func(sum *Summary) *float64
	}{
		{name: ", median", of: func(sum *Summary) *float64 { return &sum.Median }},
		{name: ", lowest", of: func(sum *Summary) *float64 { return &sum.Low }},
		{name: ", highest", of: func(sum *Summary) *float64 { return &sum.High }},
	} {
		pnt := Point{
			Measure: name + row.name,
			Unit:    "ms",
			Current: row.of(two),
		}
		if one != nil {
			pnt.Naive = row.of(one)
		}
		pts = append(pts, pnt)
	}
	if limit > 0 {
		last := len(pts) - 1
		pts[last] = pts[last].atMost(limit)
	}
	return pts
}

func timesOn(ctx context.Context, cfg Config, naive bool) (res timesResult, err error) {
	sit, cleanup, err := newSite(siteConfig{
		vms: places(gulf, 7),
		groups: []group{{
			service: demo.Short,
			region:  gulf,
			count:   timesTargets,
			slots:   timesSlots,
			bhv: target.Behaviour{
				ServiceMS: timesMS,
			},
		}},
		naive: naive,
	})
	if err != nil {
		return res, err
	}
	defer cleanup()
	lctx, stop := context.WithCancel(ctx)
	var wtg sync.WaitGroup
	wtg.Go(func() {
		res.rcd = load{
			rate:     timesRate,
			duration: time.Hour,
			seed:     cfg.Seed,
			send: sit.sender(ask{
				service:   demo.Short,
				region:    fromGulf,
				prefix:    "times-",
				timeout:   requestTimeout,
				serviceMS: timesMS,
				seed:      cfg.Seed,
			}),
		}.run(lctx)
	})
	err = sit.measureTimes(ctx, cfg.Tries, &res)
	stop()
	wtg.Wait()
	return res, err
}

func (sit *Site) measureTimes(ctx context.Context, tries int, res *timesResult) (err error) {
	sleepUntil(ctx, time.Now().Add(time.Second))
	for num := range tries {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		took, err := sit.timeEdit(ctx, num)
		if err != nil {
			return err
		}
		res.edit = append(res.edit, millis(took))
		// Drains and crashes alternate between targets, so that each has recovered before its next turn.
		drained, dead := sit.specs[2*num%timesTargets].ID, sit.specs[(2*num+1)%timesTargets].ID
		res.drain = append(res.drain, millis(sit.timeDrain(ctx, sit.Targets[drained])))
		took, err = sit.timeDead(ctx, dead)
		if err != nil {
			return err
		}
		res.dead = append(res.dead, millis(took))
	}
	return nil
}

func millis(dur time.Duration) float64 { return float64(dur) / float64(time.Millisecond) }

// timeDrain drains a target and returns the time until the last new request reached it.
func (sit *Site) timeDrain(ctx context.Context, tgt *target.Target) (took time.Duration) {
	tgt.SetDraining(true)
	defer tgt.SetDraining(false)
	began := time.Now()
	last, count := began, -1
	for time.Since(last) < quietTime && time.Since(began) < stepTimeout {
		rns := tgt.Runs()
		if sum := rns.Total + rns.Shed; sum != count {
			if count >= 0 {
				last = time.Now()
			}
			count = sum
		}
		if !sleepUntil(ctx, time.Now().Add(2*time.Millisecond)) {
			break
		}
	}
	return last.Sub(began)
}

// timeEdit puts an edit and returns the time from its acceptance until all entry VMs have it in force.
func (sit *Site) timeEdit(ctx context.Context, num int) (took time.Duration, err error) {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	doc, _, err := sit.Editor.Get(ctx)
	if err != nil {
		return 0, err
	}
	ent, _ := doc.Entry(catlg.ServiceEntry(demo.Short))
	acc, err := sit.Editor.Put(ctx, catlg.Edit{
		Base:   doc,
		Edited: doc.WithEntry(ent.WithOwner(fmt.Sprint("kiosk-team-", num))),
	})
	if err != nil {
		return 0, err
	}
	accepted := time.Now()
	for _, prc := range sit.VMs {
		for prc.State().Catalogue.Version < acc.Version {
			if !sleepUntil(ctx, time.Now().Add(time.Millisecond)) {
				return 0, ctx.Err()
			}
		}
	}
	return time.Since(accepted), nil
}

// timeDead crashes a target and returns the time until the last request that tried it was decided about, within 2 s.
func (sit *Site) timeDead(ctx context.Context, tid cardamompass.TargetID) (took time.Duration, err error) {
	tgt := sit.Targets[tid]
	began := time.Now()
	tgt.Crash()
	sleepUntil(ctx, began.Add(deadTime))
	last := began
	for _, prc := range sit.VMs {
		for _, dec := range prc.Decisions("") {
			for _, att := range dec.Attempts {
				if att.Target == tid && dec.At.After(last) {
					last = dec.At
				}
			}
		}
	}
	return last.Sub(began), tgt.Restart()
}
