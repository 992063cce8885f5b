//go:build review

package main

import (
	"fmt"
	"syscall"
	"time"
)

// stopTries is how often each machine is started and stopped.
const stopTries = 4

// stopAfter is the time from the start of a machine to its stop.
const stopAfter = 1500 * time.Millisecond

// stop plays a planned stop of machines that have been started while the store does not answer.
func stop(rec *record, trouble bool) (verdict int, err error) {
	sit, err := newSite(rec)
	if err != nil {
		return 2, err
	}
	defer sit.close()
	sit.sto.put("op/config", config(3, route("look", "/look/", "idempotent", "core", 1.5)))
	for num := range 6 {
		if _, err = sit.addEndpoint(fmt.Sprintf("i-%02d", num), "core", zones[num], 20*time.Millisecond); err != nil {
			return 2, err
		}
	}
	for range 7 {
		if _, err = sit.addMachine(); err != nil {
			return 2, err
		}
	}
	hung, stops := 0, 0
	for try := range stopTries {
		if trouble {
			sit.sto.leave()
			rec.say("round %d: the store is down", try+1)
		}
		for _, mch := range sit.machines {
			if err = mch.start(); err != nil {
				return 2, err
			}
		}
		time.Sleep(stopAfter)
		for _, mch := range sit.machines {
			_ = mch.cmd.Process.Signal(syscall.SIGTERM)
		}
		end := time.Now().Add(grace)
		time.Sleep(time.Until(end))
		for _, mch := range sit.machines {
			stops++
			if mch.running() {
				hung++
				rec.say("%s still runs %s after SIGTERM; look-ups and requests get no connection: %t", mch.name, grace, !mch.accepts())
				_ = mch.cmd.Process.Kill()
				<-mch.ended
			}
		}
		sit.sto.comeBack(nil)
	}
	rec.say("%d of %d stops had not ended after %s", hung, stops, grace)
	if hung > 0 {
		return 1, nil
	}
	return 0, nil
}

// accepts reports whether the machine answers on its address for clients.
func (mch *machine) accepts() (ok bool) { return answers("http://"+mch.ip+":8161/") > 0 }
