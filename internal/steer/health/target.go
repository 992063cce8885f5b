package health

import (
	"time"

	"cardamompass"
	"cardamompass/internal/steer/route"
)

const (
	// failureThreshold is the number of consecutive failures after which a target counts as failing. A single broken
	// connection is common when a target restarts a worker.
	failureThreshold = 3
	// failingTTL is the time for which a failing target gets no requests, unless a probe or request succeeds before. After
	// it, requests are sent to the target again even when its health endpoint does not respond.
	failingTTL = 5 * time.Second
	// loadTTL is the age at which a load report expires.
	loadTTL = 5 * time.Second
	// maxSlowTime bounds the time for which a target counts as slow after late requests.
	maxSlowTime = 4 * time.Second
	// slowTimeGrowth is the factor by which each consecutive late request lengthens that time. A single late request keeps
	// about one request away from its target; a target that stays slow is soon tried only every few seconds.
	slowTimeGrowth = 4
)

// target is the state of one target. It is guarded by the lock of its group.
type target struct {
	cfg  cardamompass.Target
	rank uint64
	grp  *group
	fls  flights

	sgs          signals
	failures     int
	failingUntil time.Time
	avoided      bool
	coldSince    time.Time
	reportedCold bool

	late      int
	slowUntil time.Time

	loadAt      time.Time
	usableSlots int
	overloaded  bool
}

// updateAvoided updates whether the target is avoided. A target that becomes usable again starts cold, since other VMs
// restore it at about the same time.
func (tgt *target) updateAvoided(now time.Time) (avoided bool) {
	avoided = tgt.sgs.leaving(now) || now.Before(tgt.failingUntil)
	if tgt.avoided && !avoided {
		tgt.coldSince = now
	}
	tgt.avoided = avoided
	return avoided
}

func (tgt *target) state(now time.Time) (tst route.TargetState) {
	tgt.updateAvoided(now)
	tst = route.TargetState{
		ID:            tgt.cfg.ID,
		Region:        tgt.cfg.Region,
		FailureDomain: tgt.cfg.FailureDomain,
		Rank:          tgt.rank,
		Slots:         tgt.cfg.Slots,
		UsableSlots:   tgt.cfg.Slots,
		InFlight:      tgt.fls.count,
		OldestStart:   tgt.fls.oldest(),
		Slow:          now.Before(tgt.slowUntil),
		Leaving:       tgt.sgs.leaving(now),
		Failing:       now.Before(tgt.failingUntil),
		ColdSince:     tgt.coldSince,
	}
	if !tgt.loadAt.IsZero() && now.Sub(tgt.loadAt) < loadTTL {
		tst.UsableSlots = min(tgt.cfg.Slots, tgt.usableSlots)
		tst.Overloaded = tgt.overloaded
	}
	return tst
}

func (tgt *target) succeeded(now time.Time) {
	if tgt.failures >= failureThreshold {
		tgt.failingUntil = time.Time{}
		tgt.updateAvoided(now)
	}
	tgt.failures = 0
}

func (tgt *target) failed(now time.Time) {
	tgt.failures++
	if tgt.failures >= failureThreshold {
		tgt.failingUntil = now.Add(failingTTL)
		tgt.updateAvoided(now)
	}
}

// markDown records that the target refuses connections. It gets no requests for failingTTL, unless a probe or request
// succeeds before.
func (tgt *target) markDown(now time.Time) {
	tgt.failures = max(tgt.failures, failureThreshold)
	tgt.failingUntil = now.Add(failingTTL)
	tgt.updateAvoided(now)
}

// updateSlow marks the target as slow after a request that was late or whose hedge was answered first; age is the time that
// the request took. A request that was answered in time resets the count of consecutive late requests.
func (tgt *target) updateSlow(res Result, age, usual time.Duration, now time.Time) {
	late := usual > 0 && age > route.StragglerFactor*usual
	switch {
	case late && (res == Answered || res == Cancelled), res == HedgeLost:
	case res == Answered:
		tgt.late = 0
		return
	default:
		return
	}
	slowFor := max(age, time.Millisecond)
	for range tgt.late {
		slowFor = min(slowFor*slowTimeGrowth, maxSlowTime)
	}
	tgt.late++
	tgt.slowUntil = now.Add(min(slowFor, maxSlowTime))
}

// setLoad records a load report. A report can only reduce the use of a target: slots above the catalogue's count are
// ignored, and at least one slot stays usable whatever the target reports.
func (tgt *target) setLoad(inFlight, slots int, now time.Time) {
	tgt.loadAt = now
	tgt.usableSlots = max(1, slots)
	tgt.overloaded = inFlight > max(1, slots)
}

// setProbed records the state that the health endpoint reported, serving or cold.
func (tgt *target) setProbed(cold bool, now time.Time) {
	tgt.sgs = tgt.sgs.withServing(now)
	tgt.succeeded(now)
	if cold && !tgt.reportedCold {
		tgt.coldSince = now
	}
	tgt.reportedCold = cold
}
