//go:build review

package main

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"
)

// Times of the case crash.
const (
	crashFrom  = 3 * time.Second
	crashEach  = 4 * time.Second
	crashTo    = 75 * time.Second
	crashWork  = 200 * time.Millisecond
	leaveEach  = 1500 * time.Millisecond
	leaveWork  = 500 * time.Millisecond
	leaveAfter = 200 * time.Millisecond
	backAfter  = 2 * time.Second
	coldTime   = 3 * time.Second
	lateLimit  = 3 // retries
	crashCount = 3 // crashes before retries count
)

// crashSite is a site whose endpoints crash while they answer a request for crashPath, and are back after some seconds.
type crashSite struct {
	*site
	trouble bool
	// leaves is set if the client leaves before the endpoint crashes, which then has not begun its answer.
	leaves bool

	mu      sync.Mutex
	next    int
	crashes []time.Time
}

const crashPath = "/pull/firmware-7"

func (sit *crashSite) add(zone string, cold bool) (err error) {
	sit.mu.Lock()
	defer sit.mu.Unlock()
	sit.next++
	enp, err := newEndpoint(sit.rec, fmt.Sprintf("i-%02d", sit.next), "core", zone, sit.network+"201", slots, crashWork)
	if err != nil {
		return err
	}
	if cold {
		enp.coldUntil = time.Now().Add(coldTime)
	}
	enp.crashes = func(req *http.Request) (ok bool) { return sit.trouble && req.URL.Path == crashPath }
	enp.crashEarly = sit.leaves || os.Getenv("CRASH") == "early"
	if sit.leaves {
		enp.work, enp.keeps = leaveWork, sit.next%4 == 0
	}
	enp.onCrash = func(string) { go sit.comeBack(enp) }
	sit.servers = append(sit.servers, enp)
	enp.register(sit.sto)
	return nil
}

// comeBack starts an endpoint in place of one that has crashed, under a new id. The old entry goes after three heartbeat intervals.
func (sit *crashSite) comeBack(old *endpoint) {
	sit.mu.Lock()
	sit.crashes = append(sit.crashes, time.Now())
	sit.mu.Unlock()
	time.AfterFunc(3*heartbeat, func() { sit.sto.remove("servers/" + old.id) })
	time.Sleep(backAfter)
	if err := sit.add(old.zone, true); err != nil {
		sit.rec.say("endpoint not back: %v", err)
	}
}

// crash plays a request that crashes the endpoints that run it, while they send their answers. Its client sends it again and again.
func crash(rec *record, trouble bool) (verdict int, err error) { return playCrash(rec, trouble, false) }

// leave plays a request that crashes the endpoints that run it, whose client leaves before that and sends it again.
func leave(rec *record, trouble bool) (verdict int, err error) { return playCrash(rec, trouble, true) }

func playCrash(rec *record, trouble, leaves bool) (verdict int, err error) {
	plain, err := newSite(rec)
	if err != nil {
		return 2, err
	}
	defer plain.close()
	sit := &crashSite{
		site:    plain,
		trouble: trouble,
		leaves:  leaves,
	}
	sit.sto.put("op/config", config(3, route("pull", "/pull/", "download", "core", 2), route("book", "/book/", "non_idempotent", "core", 2)))
	for num := range 24 {
		if err = sit.add(zones[num%6], false); err != nil {
			return 2, err
		}
	}
	if err = sit.startMachines(7); err != nil {
		return 2, err
	}
	time.Sleep(3 * time.Second)
	begin := time.Now()
	rec.say("traffic begins")
	others := startClients(sit.site, http.MethodPost, "/book/", 2, 150*time.Millisecond, crashTo)
	culprit, each := &clients{
		sit: sit.site,
	}, crashEach
	if leaves {
		culprit.leave, each = leaveAfter, leaveEach
	}
	clt := &http.Client{Transport: &http.Transport{}}
	for num := 0; ; num++ {
		at := crashFrom + time.Duration(num)*each
		if at > crashTo {
			break
		}
		time.Sleep(time.Until(begin.Add(at)))
		culprit.send(clt, sit.machines[num%len(sit.machines)], http.MethodGet, fmt.Sprintf("c-%03d", num), crashPath)
	}
	others.wait()
	return sit.judge(culprit, others)
}

// judge counts the retries that reach endpoints although they were sent later than the stable window after the third crash.
func (sit *crashSite) judge(culprit, others *clients) (verdict int, err error) {
	sit.mu.Lock()
	crashes := append([]time.Time(nil), sit.crashes...)
	sit.mu.Unlock()
	reach, late := 0, 0
	for _, snd := range culprit.sent {
		ran := len(sit.rec.runsOf(snd.id)) > 0
		if ran {
			reach++
		}
		if ran && len(crashes) >= crashCount && snd.at.After(crashes[crashCount-1].Add(stableWindow)) {
			late++
		}
	}
	lost, refused := 0, 0
	for _, snd := range others.sent {
		switch ran := len(sit.rec.runsOf(snd.id)) > 0; {
		case snd.status != http.StatusOK && ran:
			lost++
		case snd.status != http.StatusOK:
			refused++
		}
	}
	sit.rec.say("%d endpoints have crashed; %d of %d attempts of the client reach endpoints, %d of them sent later than %s after the third crash (allowed: %d)",
		len(crashes), reach, len(culprit.sent), late, stableWindow, lateLimit)
	sit.rec.say("%d of %d requests of others, which are not idempotent, ran and were not answered with success; %d more were not run", lost, len(others.sent), refused)
	switch {
	case reach == 0 || lost+refused == len(others.sent):
		return statusFailed, errors.New("nothing was served")
	case late > lateLimit:
		return statusBroken, nil
	default:
		return statusHeld, nil
	}
}
