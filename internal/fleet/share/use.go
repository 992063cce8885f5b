package share

import (
	"context"
	"time"

	"cardamompass"
)

// pollInterval is the time between two attempts of a delayed use.
const pollInterval = 2 * time.Millisecond

// Rate gives access to this VM's units of a resource of kind KindRate. A nil Rate refuses everything: a resource that the
// catalogue does not define may not be used.
type Rate struct {
	pol *Pool
	alc *allocation
}

// Allow takes num units if all of them are available now, and none otherwise.
func (rte *Rate) Allow(num int, class cardamompass.Class) bool {
	if rte == nil {
		return false
	}
	now := rte.pol.cfg.Clock.Now()
	rte.alc.mtx.Lock()
	defer rte.alc.mtx.Unlock()
	return rte.alc.tryRate(num, class == cardamompass.ClassLong, now, rte.pol.leaseEnds())
}

// Available reports whether one unit could be taken now, without taking it.
func (rte *Rate) Available() bool {
	if rte == nil {
		return false
	}
	now := rte.pol.cfg.Clock.Now()
	rte.alc.mtx.Lock()
	defer rte.alc.mtx.Unlock()
	usable := rte.alc.usable(now, rte.pol.leaseEnds())
	rte.alc.buckets.set(usable, rte.alc.res.LongPercent, now)
	if usable == 0 || rte.alc.buckets.all.TokensAt(now) < 1 {
		rte.alc.unmetAt = now
		return false
	}
	return true
}

// Wait takes num units in chunks and waits for them as needed. It returns the error of ctx when that ends first; the chunks
// taken until then stay consumed.
func (rte *Rate) Wait(ctx context.Context, num int, class cardamompass.Class) (err error) {
	if rte == nil {
		return &cardamompass.NotRunError{
			Reason: "no link in the catalogue",
		}
	}
	long := class == cardamompass.ClassLong
	for num > 0 {
		if chunk := rte.takeUpTo(num, long); chunk > 0 {
			num -= chunk
			continue
		}
		if err := cardamompass.Sleep(ctx, rte.pol.cfg.Clock, pollInterval); err != nil {
			return err
		}
	}
	return nil
}

// takeUpTo takes one chunk of at most num units and returns its size, 0 if it is not available now.
func (rte *Rate) takeUpTo(num int, long bool) int {
	now := rte.pol.cfg.Clock.Now()
	alc := rte.alc
	alc.mtx.Lock()
	defer alc.mtx.Unlock()
	alc.buckets.set(alc.usable(now, rte.pol.leaseEnds()), alc.res.LongPercent, now)
	size := min(num, max(1, alc.buckets.maxBurst(long)))
	if !alc.tryRate(size, long, now, rte.pol.leaseEnds()) {
		return 0
	}
	return size
}

// Slots gives access to this VM's units of a resource of kind KindSlots. A nil Slots has no slot.
type Slots struct {
	pol *Pool
	alc *allocation
}

// TryAcquire takes one slot if one is free. The caller must call release once.
func (slt *Slots) TryAcquire() (release func(), ok bool) {
	if slt == nil {
		return nil, false
	}
	now := slt.pol.cfg.Clock.Now()
	slt.alc.mtx.Lock()
	defer slt.alc.mtx.Unlock()
	if !slt.alc.trySlot(now, slt.pol.leaseEnds()) {
		return nil, false
	}
	return slt.release, true
}

func (slt *Slots) release() {
	slt.alc.mtx.Lock()
	defer slt.alc.mtx.Unlock()
	slt.alc.inUse--
}

// RecordUnmet records a request for a slot when none was free, so that the VM borrows.
func (slt *Slots) RecordUnmet() {
	if slt == nil {
		return
	}
	now := slt.pol.cfg.Clock.Now()
	slt.alc.mtx.Lock()
	defer slt.alc.mtx.Unlock()
	slt.alc.recordUnmet(now)
}

// Available returns the number of slots that could be taken now and the total number that may be in use.
func (slt *Slots) Available() (free, usable int64) {
	if slt == nil {
		return 0, 0
	}
	now := slt.pol.cfg.Clock.Now()
	slt.alc.mtx.Lock()
	defer slt.alc.mtx.Unlock()
	usable = slt.alc.usable(now, slt.pol.leaseEnds())
	return max(0, usable-slt.alc.inUse), usable
}
