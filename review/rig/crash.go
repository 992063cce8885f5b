//go:build review

package main

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"
)

const (
	// crashLimitRetries is the number of retries that may still reach endpoints once a request has crashed three of them.
	crashLimitRetries = 3
	// greyShare and greyTime are the dose of srv_grey; the largest in mbmu-rain-grown are 0.55 and 8.5 s.
	greyShare = 0.45
	greyTime  = 6500 * time.Millisecond
)

// crashSettings are the endpoints of the cases with a request that crashes endpoints.
var crashSettings = endpointSettings{
	slots: 6,
	work:  40 * time.Millisecond,
	down:  2 * time.Second,
}

// crashGrey lets endpoints fail part of their requests while a request comes again and again that crashes each endpoint which runs it.
func crashGrey(ctx context.Context, rec *record, trouble bool) (ver verdict, err error) {
	const contents, length = 6, 40 * time.Second
	sit, err := newSite(ctx, rec, grownSite, 12, crashSettings)
	if err != nil {
		return ver, err
	}
	defer sit.close()
	cls := newClients(sit)
	ctx, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	var running group
	running.Go(func() { cls.follow(ctx) })
	pause(ctx, time.Second)
	running.Go(func() { cls.load(ctx, 40) })
	if trouble {
		rec.add("endpoints fail %v of their requests for %v", greyShare, greyTime)
		for _, edp := range sit.endpoints {
			edp.setGrey(greyShare)
		}
	}
	running.Go(func() {
		pause(ctx, greyTime)
		rec.add("endpoints fail no requests any more")
		for _, edp := range sit.endpoints {
			edp.setGrey(0)
		}
	})
	for num := range contents {
		running.Go(func() {
			pause(ctx, time.Duration(num)*700*time.Millisecond)
			for ctx.Err() == nil {
				cls.send(context.WithoutCancel(ctx), fmt.Sprintf("%s%d", poison, num))
				pause(ctx, 1200*time.Millisecond)
			}
		})
	}
	running.Wait()
	return judgeCrashes(sit, cls), nil
}

// judgeCrashes counts for each request that crashes endpoints the retries which reached one, although they were sent later than
// stableWindow after it had crashed the third.
func judgeCrashes(sit *site, cls *clients) (ver verdict) {
	all := sit.allArrivals()
	slices.SortFunc(all, func(one, two arrival) int { return one.at.Compare(two.at) })
	crashes := make(map[string]int)
	third := make(map[string]time.Time)
	retries := make(map[string]map[string]bool)
	for _, arr := range all {
		if !strings.HasPrefix(arr.path, poison) {
			continue
		}
		if arr.crashed {
			crashes[arr.path]++
			if crashes[arr.path] == 3 {
				third[arr.path] = arr.at
			}
		}
		res, ok := cls.result(arr.id)
		if tim := third[arr.path]; ok && !tim.IsZero() && res.at.Sub(tim) > sit.bds.stableWindow {
			if retries[arr.path] == nil {
				retries[arr.path] = make(map[string]bool)
			}
			retries[arr.path][arr.id] = true
		}
	}
	for path, count := range crashes {
		sit.rec.add("%s crashed %d endpoints, the third at %.3f s; %d later retries reached endpoints", path, count,
			sit.rec.seconds(third[path]), len(retries[path]))
		if num := len(retries[path]); num > crashLimitRetries {
			ver.broken = append(ver.broken, fmt.Sprintf("BUDGET: %s reached endpoints in %d retries sent later than %v after it had crashed the third"+
				" (%d crashes in all); at most %d may", path, num, sit.bds.stableWindow, count, crashLimitRetries))
		}
	}
	bad, sum := cls.unserved(func(path string) bool { return strings.HasPrefix(path, poison) })
	ver.summary = fmt.Sprintf("crashes by request: %v; of %d other requests %d were not served", crashes, sum, bad)
	return ver
}
