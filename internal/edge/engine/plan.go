package engine

import (
	"maps"
	"slices"
	"sync"
	"time"

	"cardamompass"
	"cardamompass/internal/conf/catlg"
)

// plan is what follows from the catalogue in force.
type plan struct {
	cat      *catlg.Catalogue
	services map[cardamompass.ServiceName]*service
	// targets are those that this VM uses, each with the number of connections that this VM may keep to it.
	targets map[cardamompass.TargetID]cardamompass.Target
}

// near returns the regions that may serve callers of reg, in order of preference, reg itself left out.
func (pln *plan) near(reg cardamompass.Region) []cardamompass.Region {
	inf, _ := pln.cat.Region(reg)
	return inf.FallbackRegions
}

// shiftTimes remembers since when a service's requests shift to a region without a longer pause.
type shiftTimes struct {
	mtx  sync.Mutex
	runs map[cardamompass.Region]shiftRun
}

type shiftRun struct {
	since time.Time
	last  time.Time
}

// shiftPause is the time after which a region that got no shifted request counts as cold again.
const shiftPause = time.Minute

func newShiftTimes() *shiftTimes {
	return &shiftTimes{
		runs: make(map[cardamompass.Region]shiftRun),
	}
}

// wanted records that a request would shift to reg now and returns since when such requests come. The ramp starts with the
// first wish, because a quarter of a small share may not admit any request at first.
func (sht *shiftTimes) wanted(reg cardamompass.Region, now time.Time) (since time.Time) {
	sht.mtx.Lock()
	defer sht.mtx.Unlock()
	run, ok := sht.runs[reg]
	if !ok || now.Sub(run.last) > shiftPause {
		run.since = now
	}
	run.last = now
	sht.runs[reg] = run
	return run.since
}

// target returns a target that this VM uses.
func (pln *plan) target(tid cardamompass.TargetID) (tgt cardamompass.Target, ok bool) {
	tgt, ok = pln.targets[tid]
	return tgt, ok
}

// list returns the targets in use in the order of their ids.
func (pln *plan) list() (list []cardamompass.Target) {
	for _, tid := range slices.Sorted(maps.Keys(pln.targets)) {
		list = append(list, pln.targets[tid])
	}
	return list
}
