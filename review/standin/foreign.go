package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// foreignEntry lets endpoints leave one after the other. Another writer then writes an entry without a start time under the key of the
// one that has left.
func foreignEntry(ply *play) (broken bool, err error) {
	const (
		count   = 12
		leaving = 5
		serve   = drainBound + 2*time.Second // how long an endpoint serves after its entry is removed
	)
	flt, err := newFleet(ply.rec, ply.root, 3, 0)
	if err != nil {
		return false, err
	}
	defer flt.close()
	flt.configure(1, 16384,
		routeConfig{prefix: "/lookup/", kind: "idempotent", timeout: 1.5, attempts: 2, sticky: true},
		routeConfig{prefix: "/rent/", kind: "non_idempotent", timeout: 2, attempts: 2, sticky: true})
	for num := range count {
		if _, err = flt.newEndpoint(endpointConfig{
			service: service,
			zone:    zones[num%len(zones)],
			slots:   6,
			work:    700 * time.Millisecond,
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
	var users []*clients
	for _, zne := range zones[:3] {
		cls := newClients(flt, zne)
		users = append(users, cls)
		running.Go(func() {
			cls.load(15, stop, func(num int) request {
				rqt := request{
					path:     fmt.Sprintf("/rent/%d", num),
					body:     fmt.Sprintf("rental %d", num),
					key:      fmt.Sprint(rand.IntN(200)),
					deadline: 4 * time.Second,
					retries:  1,
				}
				if num%2 == 0 {
					rqt.path, rqt.body, rqt.idempotent, rqt.deadline = fmt.Sprintf("/lookup/%d", num), "", true, 3*time.Second
				}
				return rqt
			})
		})
	}
	time.Sleep(2 * time.Second)
	left := make(map[string]time.Time) // by id of the endpoint
	for num := range leaving {
		edp := flt.endpoints[num]
		left[edp.id] = edp.leave(serve)
		if ply.trouble {
			time.Sleep(time.Duration(1000+rand.IntN(2500)) * time.Millisecond)
			edp.foreign()
		}
		time.Sleep(5 * time.Second)
		flt.sto.delete("servers/" + edp.id) // three heartbeat intervals of silence
	}
	time.Sleep(2 * time.Second)
	close(stop)
	running.Wait()
	runs, arrivals := flt.snapshot()
	ends := make(map[string]string) // of runs, by the ids of the request and the endpoint
	for _, rnn := range runs {
		ends[rnn.id+" "+rnn.endpoint] = rnn.ended
	}
	late, lost, served := 0, 0, 0
	for id, list := range arrivals {
		for _, arr := range list {
			at, ok := left[arr.endpoint]
			if !ok || arr.at.Before(at.Add(drainBound)) {
				continue
			}
			late++
			if ends[id+" "+arr.endpoint] == "crashed" {
				lost++
			}
			ply.rec.add("%s reached %s %.3f s after the removal of its entry: %s", id, arr.endpoint, arr.at.Sub(at).Seconds(), ends[id+" "+arr.endpoint])
		}
	}
	for _, cls := range users {
		for _, atm := range cls.all() {
			if atm.whole {
				served++
			}
		}
	}
	ply.rec.say("%d endpoints left; %d requests reached them later than %v after the acknowledgement, %d of these were lost when they ended; %d requests were served",
		len(left), late, drainBound, lost, served)
	if served == 0 {
		return false, fmt.Errorf("no request was served")
	}
	return late > 0, nil
}

// foreign writes an entry of another writer under the key of the endpoint. It lacks the start time.
func (edp *endpoint) foreign() {
	edp.mu.Lock()
	defer edp.mu.Unlock()
	edp.flt.sto.put("servers/"+edp.id, edp.entry(0, false))
	edp.flt.rec.add("another writer writes an entry of %s without born", edp.id)
}
