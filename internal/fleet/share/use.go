package share

import (
	"context"
	"time"

	"cardamompass"
)

// pollInterval is the time after which a delayed use is tried again.
const pollInterval = 2 * time.Millisecond

// Rate is this VM's use of a resource of kind KindRate. A nil Rate refuses everything: what the catalogue does not
// name has no cap and is not allowed.
type Rate struct {
	pol *Pool
	cel *cell
}

// Allow takes num units at once if they can be had without waiting. Units of a refused use are not taken.
func (rte *Rate) Allow(num int, class cardamompass.Class) bool {
	if rte == nil {
		return false
	}
	now := rte.pol.cfg.Clock.Now()
	rte.cel.mtx.Lock()
	defer rte.cel.mtx.Unlock()
	return rte.cel.tryRate(num, class == cardamompass.ClassLong, now, rte.pol.leaseEnds())
}

// Available reports whether one unit could be had now, without taking it.
func (rte *Rate) Available() bool {
	if rte == nil {
		return false
	}
	now := rte.pol.cfg.Clock.Now()
	rte.cel.mtx.Lock()
	defer rte.cel.mtx.Unlock()
	usable := rte.cel.usable(now, rte.pol.leaseEnds())
	rte.cel.buckets.set(usable, rte.cel.res.LongPercent, now)
	if usable == 0 || rte.cel.buckets.all.TokensAt(now) < 1 {
		rte.cel.shortAt = now
		return false
	}
	return true
}

// Wait takes num units, in pieces and waiting as needed. It returns the error of ctx when that ends first; the pieces
// taken until then stay used.
func (rte *Rate) Wait(ctx context.Context, num int, class cardamompass.Class) (err error) {
	if rte == nil {
		return &cardamompass.NotRunError{
			Reason: "no link in the catalogue",
		}
	}
	long := class == cardamompass.ClassLong
	for num > 0 {
		if piece := rte.piece(num, long); piece > 0 {
			num -= piece
			continue
		}
		if err := cardamompass.Sleep(ctx, rte.pol.cfg.Clock, pollInterval); err != nil {
			return err
		}
	}
	return nil
}

// piece takes as many of num units as can pass at once and returns how many it took.
func (rte *Rate) piece(num int, long bool) int {
	now := rte.pol.cfg.Clock.Now()
	cel := rte.cel
	cel.mtx.Lock()
	defer cel.mtx.Unlock()
	cel.buckets.set(cel.usable(now, rte.pol.leaseEnds()), cel.res.LongPercent, now)
	size := min(num, max(1, cel.buckets.largest(long)))
	if !cel.tryRate(size, long, now, rte.pol.leaseEnds()) {
		return 0
	}
	return size
}

// Slots is this VM's use of a resource of kind KindSlots. A nil Slots has no room.
type Slots struct {
	pol *Pool
	cel *cell
}

// TryAcquire takes one slot if there is room. The caller must call release once.
func (slt *Slots) TryAcquire() (release func(), ok bool) {
	if slt == nil {
		return nil, false
	}
	now := slt.pol.cfg.Clock.Now()
	slt.cel.mtx.Lock()
	defer slt.cel.mtx.Unlock()
	if !slt.cel.trySlot(now, slt.pol.leaseEnds()) {
		return nil, false
	}
	return slt.release, true
}

func (slt *Slots) release() {
	slt.cel.mtx.Lock()
	defer slt.cel.mtx.Unlock()
	slt.cel.inUse--
}

// RecordUnmet records that a slot was wanted while there was none, so that the VM borrows.
func (slt *Slots) RecordUnmet() {
	if slt == nil {
		return
	}
	now := slt.pol.cfg.Clock.Now()
	slt.cel.mtx.Lock()
	defer slt.cel.mtx.Unlock()
	slt.cel.lack(now)
}

// Available returns the number of slots that could be taken now and the number that may be in use altogether.
func (slt *Slots) Available() (free, usable int64) {
	if slt == nil {
		return 0, 0
	}
	now := slt.pol.cfg.Clock.Now()
	slt.cel.mtx.Lock()
	defer slt.cel.mtx.Unlock()
	usable = slt.cel.usable(now, slt.pol.leaseEnds())
	return max(0, usable-slt.cel.inUse), usable
}
