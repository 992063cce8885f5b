package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// configGrows makes the configuration grow by many routes, three times, and then adds one route at a time. Each added route is
// requested from each machine when it must be in force there.
func configGrows(ply *play) (broken bool, err error) {
	const (
		linkMbps = 11.0
		grow     = 1400            // routes
		apply    = 3 * time.Second // configApplyS of the deployment with such links
		added    = 16
	)
	flt, err := newFleet(ply.rec, ply.root, 3, linkMbps)
	if err != nil {
		return false, err
	}
	defer flt.close()
	routes := []routeConfig{{prefix: "/lookup/", kind: "idempotent", timeout: 1.5, attempts: 2, sticky: true}}
	flt.configure(1, 16384, routes...)
	for num := range 6 {
		if _, err = flt.newEndpoint(endpointConfig{
			service: service,
			zone:    zones[num%len(zones)],
			slots:   6,
			work:    20 * time.Millisecond,
		}); err != nil {
			return false, err
		}
	}
	if err = flt.startAll(); err != nil {
		return false, err
	}
	time.Sleep(stableWindow + time.Second)
	version := 1
	for step := range 3 {
		if ply.trouble {
			for num := range grow {
				routes = append(routes, routeConfig{prefix: fmt.Sprintf("/depot-lahore-north-%d-%04d/", step, num), kind: "idempotent", timeout: 1.5, attempts: 2})
			}
		}
		version++
		flt.configure(version, 16384, routes...)
		time.Sleep(3500 * time.Millisecond)
	}
	users := newClients(flt, zones[0])
	var asking sync.WaitGroup
	for num := range added {
		prefix := fmt.Sprintf("/added%d/", num)
		routes = append(routes, routeConfig{prefix: prefix, kind: "idempotent", timeout: 1.5, attempts: 2})
		version++
		acked := flt.configure(version, 16384, routes...)
		asking.Go(func() {
			time.Sleep(time.Until(acked.Add(apply + 500*time.Millisecond)))
			for _, mch := range flt.machines {
				atm, _ := users.try(request{
					path:       prefix + "x",
					idempotent: true,
				}, mch.front, 3*time.Second)
				ply.rec.add("route %s at %s, %.1f s after its acknowledgement: status %d", prefix, mch.name, atm.at.Sub(acked).Seconds(), atm.status)
			}
		})
		time.Sleep(time.Duration(2500+rand.IntN(1500)) * time.Millisecond)
	}
	asking.Wait()
	refused, served := 0, 0
	for _, atm := range users.all() {
		switch atm.status {
		case http.StatusNotFound:
			refused++
		case http.StatusOK:
			served++
		}
	}
	ply.rec.say("%d routes were added, the configuration has %d bytes; %d requests on them were served, %d refused with 404 later than %v after the acknowledgement",
		added, flt.sto.size("op/config"), served, refused, apply)
	return refused > 0, nil
}
