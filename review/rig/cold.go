//go:build review

package main

import (
	"context"
	"fmt"
	"slices"
	"time"

	"cardamompass/internal/stand/pstore"
)

// coldLoad is the rate of requests, 28 for each endpoint: at the peak of a burst an endpoint of kiosk-core gets 10.6 a second on average
// times 1.55 for the wave and 1.7 for the burst.
const coldLoad = 6 * 28

// coldAgain makes endpoints cold, one after the other, while requests come at a steady rate.
func coldAgain(ctx context.Context, rec *record, trouble bool) (ver verdict, err error) {
	sit, err := newSite(ctx, rec, smallSite, 6, endpointSettings{
		slots:     6,
		work:      160 * time.Millisecond,
		down:      2 * time.Second,
		coldCrash: 21,
	})
	if err != nil {
		return ver, err
	}
	defer sit.close()
	cls := newClients(sit)
	ctx, cancel := context.WithTimeout(ctx, 42*time.Second)
	defer cancel()
	var running group
	running.Go(func() { cls.follow(ctx) })
	pause(ctx, time.Second)
	running.Go(func() { cls.load(ctx, coldLoad) })
	pause(ctx, 4*time.Second)
	for num := range 6 {
		if trouble {
			sit.endpoints[num%len(sit.endpoints)].becomeCold()
		}
		pause(ctx, 6*time.Second)
	}
	running.Wait()
	return judgeCold(sit, cls), nil
}

const (
	// outageTime is the longest time for which the store of mbmu-rain answers nobody.
	outageTime = 4500 * time.Millisecond
	// restartTime is how long an endpoint is away after a crash.
	restartTime = 1500 * time.Millisecond
)

// coldRestart lets an endpoint crash and start again under its id while the store answers nobody.
func coldRestart(ctx context.Context, rec *record, trouble bool) (ver verdict, err error) {
	sit, err := newSite(ctx, rec, smallSite, 6, endpointSettings{
		slots:     6,
		work:      160 * time.Millisecond,
		down:      restartTime,
		sameID:    true,
		coldCrash: 21,
	})
	if err != nil {
		return ver, err
	}
	defer sit.close()
	cls := newClients(sit)
	ctx, cancel := context.WithTimeout(ctx, 32*time.Second)
	defer cancel()
	var running group
	running.Go(func() { cls.follow(ctx) })
	pause(ctx, time.Second)
	running.Go(func() { cls.load(ctx, coldLoad) })
	pause(ctx, 4*time.Second)
	for num := range 2 {
		if trouble {
			rec.add("the store answers nobody for %v", outageTime)
			sit.store.SetFaults(pstore.Faults{
				NoReply: true,
			})
			pause(ctx, 500*time.Millisecond)
			sit.endpoints[num].crash("it is killed")
			pause(ctx, outageTime-500*time.Millisecond)
			sit.store.SetFaults(pstore.Faults{})
			rec.add("the store answers again")
		}
		pause(ctx, 8*time.Second)
	}
	running.Wait()
	return judgeCold(sit, cls), nil
}

// judgeCold looks for a second in which a cold endpoint got more requests than the bound: requests that were sent and arrived in it.
func judgeCold(sit *site, cls *clients) (ver verdict) {
	bound := sit.bds.coldPerS*coldOverage + float64(sit.bds.coldSlack)
	byEndpoint := make(map[string][]arrival)
	for _, arr := range sit.allArrivals() {
		if arr.cold {
			byEndpoint[arr.endpoint] = append(byEndpoint[arr.endpoint], arr)
		}
	}
	most := 0
	for id, list := range byEndpoint {
		slices.SortFunc(list, func(one, two arrival) int { return one.at.Compare(two.at) })
		worst := 0
		var when time.Time
		for _, first := range list {
			res, _ := cls.result(first.id)
			begin := res.at // the second begins when the first of its requests was sent
			count := 0
			for _, arr := range list {
				oth, ok := cls.result(arr.id)
				if ok && !oth.at.Before(begin) && arr.at.Sub(begin) < time.Second {
					count++
				}
			}
			if count > worst {
				worst, when = count, begin
			}
		}
		sit.rec.add("cold endpoint %s got at most %d requests in a second, from %.3f s", id, worst, sit.rec.seconds(when))
		most = max(most, worst)
		if float64(worst) > bound {
			ver.broken = append(ver.broken, fmt.Sprintf("FAILBACK: cold endpoint %s got %d requests in one second; the bound is %v", id, worst, bound))
		}
	}
	bad, sum := cls.unserved(func(string) bool { return false })
	ver.summary = fmt.Sprintf("most requests in a second at a cold endpoint: %d, bound %v; of %d requests %d were not served", most, bound, sum, bad)
	return ver
}
