package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// crashCase is a request that crashes the endpoints that run it and comes again at an interval.
type crashCase struct {
	sameID   bool
	restart  time.Duration
	interval time.Duration
	length   time.Duration
	// copies is the number of attempts at each interval; all but the first are repeats of a client that does not wait.
	copies              int
	sticky              bool
	machines, endpoints int
}

func crashSameID(ply *play) (broken bool, err error) {
	return ply.crash(crashCase{
		sameID:    true,
		restart:   2 * time.Second,
		interval:  4 * time.Second,
		length:    60 * time.Second,
		copies:    1,
		sticky:    true,
		machines:  3,
		endpoints: 12,
	})
}

func crashExpires(ply *play) (broken bool, err error) {
	return ply.crash(crashCase{
		restart:   2 * time.Second,
		interval:  2 * time.Second,
		length:    80 * time.Second,
		copies:    4,
		machines:  3,
		endpoints: 12,
	})
}

// crashPath is the path of the request that crashes endpoints.
const crashPath = "/rent/bad"

func (ply *play) crash(cse crashCase) (broken bool, err error) {
	rec := ply.rec
	flt, err := newFleet(rec, ply.root, cse.machines, 0)
	if err != nil {
		return false, err
	}
	defer flt.close()
	flt.configure(1, 16384,
		routeConfig{prefix: "/lookup/", kind: "idempotent", timeout: 1.5, attempts: 2, sticky: true},
		routeConfig{prefix: "/rent/", kind: "non_idempotent", timeout: 2, attempts: 2, sticky: cse.sticky})
	crashes := func(req *http.Request) bool { return ply.trouble && req.URL.Path == crashPath }
	for num := range cse.endpoints {
		if _, err = flt.newEndpoint(endpointConfig{
			service: service,
			zone:    zones[num%len(zones)],
			slots:   6,
			work:    300 * time.Millisecond,
			restart: cse.restart,
			sameID:  cse.sameID,
			crashes: crashes,
		}); err != nil {
			return false, err
		}
	}
	if err = flt.startAll(); err != nil {
		return false, err
	}
	time.Sleep(stableWindow + time.Second)
	stop := make(chan struct{})
	var running sync.WaitGroup
	users := newClients(flt, zones[0])
	running.Go(func() {
		users.load(40, stop, func(num int) request {
			rqt := request{
				path:       fmt.Sprintf("/lookup/%d", num),
				idempotent: num%2 == 0,
				key:        fmt.Sprint(rand.IntN(38)),
				deadline:   3 * time.Second,
				retries:    1,
			}
			if !rqt.idempotent {
				rqt.path, rqt.body, rqt.deadline = fmt.Sprintf("/rent/%d", num), fmt.Sprintf("rental %d", num), 4*time.Second
			}
			return rqt
		})
	})
	sender := newClients(flt, zones[0])
	for end := time.Now().Add(cse.length); time.Now().Before(end); time.Sleep(cse.interval) {
		for range cse.copies {
			running.Go(func() {
				sender.send(request{
					name:     "crash-",
					path:     crashPath,
					key:      "bad",
					body:     "a rental that crashes its endpoint",
					deadline: 4 * time.Second,
				})
			})
		}
	}
	close(stop)
	running.Wait()
	return ply.judgeCrash(flt, users, sender)
}

// judgeCrash checks BUDGET: a request that crashes the endpoints that run it reaches endpoints in no more than three retries that
// were sent later than the stable window after it has crashed the third.
func (ply *play) judgeCrash(flt *fleet, users, sender *clients) (broken bool, err error) {
	runs, arrivals := flt.snapshot()
	var crashed []time.Time
	crashedBy := make(map[string]int)
	for _, rnn := range runs {
		if rnn.path == crashPath && rnn.ended == "crashed" {
			crashed = append(crashed, rnn.at)
			crashedBy[rnn.endpoint]++
		}
	}
	slices.SortFunc(crashed, time.Time.Compare)
	late, sent := 0, len(sender.all())
	if len(crashed) >= 3 {
		for _, atm := range sender.all() {
			if atm.at.After(crashed[2].Add(stableWindow)) && len(arrivals[atm.id]) > 0 {
				late++
				ply.rec.add("%s was sent %.1f s after the third crash and reached %s", atm.id, atm.at.Sub(crashed[2]).Seconds(), arrivals[atm.id][0].endpoint)
			}
		}
	}
	lost, served := 0, 0
	for _, rnn := range runs {
		if rnn.path != crashPath && strings.HasPrefix(rnn.path, "/rent/") && rnn.ended == "crashed" {
			lost++
		}
	}
	for _, atm := range users.all() {
		if atm.status == http.StatusOK && atm.whole {
			served++
		}
	}
	ply.rec.say("%d attempts with the content were sent, %d crashes at %d ids", sent, len(crashed), len(crashedBy))
	ply.rec.say("retries sent later than %v after the third crash that reached endpoints: %d (allowed: 3)", stableWindow, late)
	ply.rec.say("other users' rentals that ran at an endpoint when it crashed: %d; other users' requests served: %d", lost, served)
	if served == 0 {
		return false, fmt.Errorf("no request of the other users was served")
	}
	return late > 3, nil
}
