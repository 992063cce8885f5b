//go:build review

package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"
)

// Times of the case restore after the begin of traffic.
const (
	copyAt    = 2 * time.Second
	firstAt   = 3 * time.Second
	secondAt  = 4 * time.Second
	awayAt    = 5 * time.Second
	awayFor   = time.Second
	moveAt    = 5300 * time.Millisecond
	restoreTo = 30 * time.Second
)

// operator is a stand-in of the operator. It writes the newest configuration again if the store has lost it.
type operator struct {
	rec    *record
	sto    *store
	era    int64
	newest map[string]any
}

// write writes a configuration, again and again until the store takes it, and returns the time of the acknowledgement.
func (opr *operator) write(cfg map[string]any) (acked time.Time) {
	for ; ; time.Sleep(100 * time.Millisecond) {
		if opr.newest != nil { // the answer states whether the store has come back from a copy
			era, rev, ok := opr.sto.put("op/config", opr.newest)
			if !ok {
				continue
			}
			if era != opr.era {
				opr.rec.say("operator writes version %s again, era %d, store at revision %d", opr.newest["version"], era, rev)
				opr.era = era
			}
		}
		era, rev, ok := opr.sto.put("op/config", cfg)
		if ok {
			opr.era, opr.newest = era, cfg
			opr.rec.say("version %s is acknowledged, store at revision %d", cfg["version"], rev)
			return time.Now()
		}
	}
}

// restore plays the drill: the store is away for a second and comes back from a copy that is three seconds old. Meanwhile the operator wants
// to move a route to another service.
func restore(rec *record, trouble bool) (verdict int, err error) {
	sit, err := newSite(rec)
	if err != nil {
		return 2, err
	}
	defer sit.close()
	sit.sto.resets = os.Getenv("AWAY") == "reset"
	opr := &operator{
		rec: rec,
		sto: sit.sto,
		era: 1,
	}
	one := []map[string]any{
		route("look", "/look/", "idempotent", "core", 1.5), route("book", "/book/", "non_idempotent", "core", 2), route("pull", "/pull/", "download", "files", 2),
	}
	two := append([]map[string]any{route("more", "/more/", "idempotent", "core", 1.5)}, one...)
	three := append([]map[string]any{route("rest", "/rest/", "idempotent", "core", 1.5)}, two...)
	four := append([]map[string]any{}, three...)
	four[2] = route("look", "/look/", "idempotent", "files", 1.5)
	opr.write(config(3, one...))
	for num := range 6 {
		for _, svc := range []string{"core", "files"} {
			if _, err = sit.addEndpoint(fmt.Sprintf("i-%s-%d", svc, num), svc, zones[num], 20*time.Millisecond); err != nil {
				return 2, err
			}
		}
	}
	if err = sit.startMachines(7); err != nil {
		return 2, err
	}
	time.Sleep(3 * time.Second)
	begin := time.Now()
	rec.say("traffic begins")
	until := func(after time.Duration) { time.Sleep(time.Until(begin.Add(after))) }
	clt := startClients(sit, http.MethodGet, "/look/1", 1, 150*time.Millisecond, restoreTo)

	until(copyAt)
	saved := sit.sto.copyNow()
	rec.say("the copy is made at revision %d", saved.rev)
	until(firstAt)
	opr.write(config(5, two...))
	until(secondAt)
	opr.write(config(6, three...))
	var back time.Time
	var drill sync.WaitGroup
	drill.Go(func() {
		until(awayAt)
		back = time.Now()
		if !trouble {
			return
		}
		rec.say("the store goes away at revision %d", sit.sto.revision())
		sit.sto.leave()
		time.Sleep(awayFor)
		sit.sto.comeBack(&saved)
		back = time.Now()
		rec.say("the store is back from the copy at revision %d", saved.rev)
	})
	until(moveAt)
	acked := opr.write(config(8, four...))
	drill.Wait()
	// Far beyond the bounds: the machines are in touch again, and the time that an unstable store adds has passed as well.
	judged := later(acked.Add(configApply), back.Add(stableWindow)).Add(stretchMax)
	clt.wait()
	return judgeVersions(clt, judged)
}

func later(one, two time.Time) time.Time {
	if one.After(two) {
		return one
	}
	return two
}

// judgeVersions counts the requests sent after a time that an endpoint of the service core has run, to which only older versions send them.
func judgeVersions(cls *clients, from time.Time) (verdict int, err error) {
	old, all := make(map[string]int), make(map[string]int)
	for _, snd := range cls.sent {
		if snd.at.Before(from) {
			continue
		}
		for _, run := range cls.sit.rec.runsOf(snd.id) {
			all[snd.machine]++
			if run.service == "core" {
				old[snd.machine]++
				verdict = 1
			}
		}
	}
	cls.sit.rec.say("judged are requests sent later than %.3f", from.Sub(cls.sit.rec.begin).Seconds())
	for _, mch := range cls.sit.machines {
		cls.sit.rec.say("%s: %d requests run, %d of them by the service of the older versions", mch.name, all[mch.name], old[mch.name])
		if all[mch.name] == 0 {
			return statusFailed, fmt.Errorf("%s served nothing, so that its version is not known", mch.name)
		}
	}
	return verdict, nil
}
