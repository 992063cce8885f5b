package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// headerLimit raises the limit of the header in the configuration, and then sends requests that keep to the new limit.
func headerLimit(ply *play) (broken bool, err error) {
	const low, high, used = 16384, 65536, 40000
	flt, err := newFleet(ply.rec, ply.root, 3, 0)
	if err != nil {
		return false, err
	}
	defer flt.close()
	first := low
	if !ply.trouble {
		first = high // the limit is the later one from the beginning
	}
	routes := []routeConfig{
		{prefix: "/lookup/", kind: "idempotent", timeout: 1.5, attempts: 2, sticky: true},
		{prefix: "/rent/", kind: "non_idempotent", timeout: 2, attempts: 2, sticky: true},
	}
	flt.configure(1, first, routes...)
	for num := range 6 {
		if _, err = flt.newEndpoint(endpointConfig{
			service: service,
			zone:    zones[num%len(zones)],
			slots:   6,
			work:    100 * time.Millisecond,
		}); err != nil {
			return false, err
		}
	}
	if err = flt.startAll(); err != nil {
		return false, err
	}
	time.Sleep(stableWindow + time.Second)
	if ply.trouble {
		flt.configure(2, high, routes...)
	}
	changed := time.Now()
	time.Sleep(configApply + 8*time.Second)
	users := newClients(flt, zones[0])
	stop := make(chan struct{})
	var running sync.WaitGroup
	begin := time.Now()
	running.Go(func() {
		users.load(20, stop, func(num int) request {
			return request{
				path:     fmt.Sprintf("/rent/%d", num),
				body:     fmt.Sprintf("rental %d", num),
				deadline: 4 * time.Second,
				retries:  1,
				header:   map[string]string{"Session": strings.Repeat("s", used)},
			}
		})
	})
	time.Sleep(10 * time.Second)
	close(stop)
	running.Wait()
	statuses := make(map[int]int)
	denied, all := 0, 0
	for _, atm := range users.all() {
		all++
		statuses[atm.status]++
		if atm.own && atm.status >= 300 && atm.status < 500 && atm.status != 408 && atm.status != 421 && atm.status != http.StatusTooManyRequests {
			denied++
		}
	}
	ply.rec.say("%d attempts with %d bytes of header, the first %.1f s after the acknowledgement; by status: %v",
		all, used, begin.Sub(changed).Seconds(), statuses)
	ply.rec.say("denied: %d (allowed: %d)", denied, 5+all/500)
	if all == 0 {
		return false, fmt.Errorf("nothing was sent")
	}
	return denied > 5+all/500, nil
}
