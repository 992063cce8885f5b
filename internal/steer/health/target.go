package health

import (
	"time"

	"cardamompass"
	"cardamompass/internal/steer/route"
)

const (
	// failuresToAvoid is the number of consecutive failures after which a target counts as failing. A single broken
	// connection is common when a target restarts a worker.
	failuresToAvoid = 3
	// failingLife is the time for which a failing target gets no work, unless a probe or request succeeds before. After
	// it, requests try the target again even when its health endpoint is silent.
	failingLife = 5 * time.Second
	// loadLife is the age at which a load report is forgotten.
	loadLife = 5 * time.Second
	// maxSlowHold bounds the time for which a target counts as slow after late requests.
	maxSlowHold = 4 * time.Second
	// slowGrowth is the factor by which each further late request in a row lengthens that time. A single late request
	// costs its target about one request, a target that stays slow is soon tried only every few seconds.
	slowGrowth = 4
)

// target is the state of one target. It is guarded by the lock of its group.
type target struct {
	cfg  cardamompass.Target
	rank uint64
	grp  *group
	fls  flights

	sgs          signs
	failures     int
	failingUntil time.Time
	avoided      bool
	coldSince    time.Time
	saysCold     bool

	late      int
	slowUntil time.Time

	loadAt      time.Time
	usableSlots int
	overloaded  bool
}

// refresh notes when the target has become usable again. It then starts cold, since other VMs restore it at about the
// same time.
func (tgt *target) refresh(now time.Time) (avoided bool) {
	avoided = tgt.sgs.leaving(now) || now.Before(tgt.failingUntil)
	if tgt.avoided && !avoided {
		tgt.coldSince = now
	}
	tgt.avoided = avoided
	return avoided
}

func (tgt *target) state(now time.Time) (tst route.TargetState) {
	tgt.refresh(now)
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
	if !tgt.loadAt.IsZero() && now.Sub(tgt.loadAt) < loadLife {
		tst.UsableSlots = min(tgt.cfg.Slots, tgt.usableSlots)
		tst.Overloaded = tgt.overloaded
	}
	return tst
}

func (tgt *target) succeeded(now time.Time) {
	if tgt.failures >= failuresToAvoid {
		tgt.failingUntil = time.Time{}
		tgt.refresh(now)
	}
	tgt.failures = 0
}

func (tgt *target) failed(now time.Time) {
	tgt.failures++
	if tgt.failures >= failuresToAvoid {
		tgt.failingUntil = now.Add(failingLife)
		tgt.refresh(now)
	}
}

// down notes that the target refuses connections. It gets no work for failingLife, unless a probe or request succeeds
// before.
func (tgt *target) down(now time.Time) {
	tgt.failures = max(tgt.failures, failuresToAvoid)
	tgt.failingUntil = now.Add(failingLife)
	tgt.refresh(now)
}

// judge marks the target as slow when a request on it took age and the service's usual latency is known.
func (tgt *target) judge(res Result, age, usual time.Duration, now time.Time) {
	late := usual > 0 && age > route.StragglerFactor*usual
	switch {
	case late && (res == Answered || res == Cancelled), res == HedgeLost:
	case res == Answered:
		tgt.late = 0
		return
	default:
		return
	}
	hold := max(age, time.Millisecond)
	for range tgt.late {
		hold = min(hold*slowGrowth, maxSlowHold)
	}
	tgt.late++
	tgt.slowUntil = now.Add(min(hold, maxSlowHold))
}

// setLoad takes over a load report. It only makes decisions more careful: reported slots above the catalogue's count
// do not, and a target is never written off on its own word.
func (tgt *target) setLoad(inFlight, slots int, now time.Time) {
	tgt.loadAt = now
	tgt.usableSlots = max(1, slots)
	tgt.overloaded = inFlight > max(1, slots)
}

// setProbed takes over the state that the health endpoint names.
func (tgt *target) setProbed(cold bool, now time.Time) {
	tgt.sgs = tgt.sgs.withServing(now)
	tgt.succeeded(now)
	if cold && !tgt.saysCold {
		tgt.coldSince = now
	}
	tgt.saysCold = cold
}
