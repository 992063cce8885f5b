package engine

import (
	"maps"
	"slices"
	"sync"
	"time"

	"cardamompass"
	"cardamompass/internal/conf/catlg"
)

// plan is the state derived from the active catalogue.
type plan struct {
	cat      *catlg.Catalogue
	services map[cardamompass.ServiceName]*service
	// targets are those that this VM uses, each with the number of connections that this VM may keep to it.
	targets map[cardamompass.TargetID]cardamompass.Target
}

// fallbackRegions returns the other regions that may serve callers of reg, in order of preference.
func (pln *plan) fallbackRegions(reg cardamompass.Region) []cardamompass.Region {
	inf, _ := pln.cat.Region(reg)
	return inf.FallbackRegions
}

// shiftStarts records for each region since when requests of a service have been shifting to it without a pause longer than
// shiftIdleTime.
type shiftStarts struct {
	mtx     sync.Mutex
	periods map[cardamompass.Region]shiftPeriod
}

type shiftPeriod struct {
	since time.Time
	last  time.Time
}

// shiftIdleTime is the time without shifted requests after which a region counts as cold again.
const shiftIdleTime = time.Minute

func newShiftStarts() *shiftStarts {
	return &shiftStarts{
		periods: make(map[cardamompass.Region]shiftPeriod),
	}
}

// recordShift records that a request would shift to reg at now and returns since when such requests have been arriving. The ramp
// starts with the first request that would shift, even if it is not admitted, because a quarter of a small share may not admit any
// request at first.
func (sht *shiftStarts) recordShift(reg cardamompass.Region, now time.Time) (since time.Time) {
	sht.mtx.Lock()
	defer sht.mtx.Unlock()
	per, ok := sht.periods[reg]
	if !ok || now.Sub(per.last) > shiftIdleTime {
		per.since = now
	}
	per.last = now
	sht.periods[reg] = per
	return per.since
}

// target returns a target that this VM uses.
func (pln *plan) target(tid cardamompass.TargetID) (tgt cardamompass.Target, ok bool) {
	tgt, ok = pln.targets[tid]
	return tgt, ok
}

// list returns the targets that this VM uses, sorted by id.
func (pln *plan) list() (list []cardamompass.Target) {
	for _, tid := range slices.Sorted(maps.Keys(pln.targets)) {
		list = append(list, pln.targets[tid])
	}
	return list
}
