package share

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// burstTime is the time whose units a rate may pass at once.
	burstTime = 100 * time.Millisecond
	// usedPercent is the part of a rate's units that is passed continuously; the rest is kept for bursts.
	usedPercent = 90
	// demandTime is the time for which a refused or delayed use counts as demand.
	demandTime = time.Second
	// growthPercent is how much more than its recent use a VM asks for when it has too little.
	growthPercent = 150
)

// cell is the state of one resource in one incarnation.
type cell struct {
	mtx sync.Mutex
	res Resource
	// units is what this incarnation certainly owns; basis is the capacity in the ledger when it was confirmed.
	units int64
	basis int64
	// doubt is set while a write of the ledger at revision doubtRevision may still take effect.
	doubt         bool
	doubtRevision int64
	lent          lentBook
	borrowed      borrowedBook
	// ended are lenders that may still deduct slots of which this VM uses none.
	ended   map[party]bool
	inUse   int64
	buckets buckets
	use     meter
	shortAt time.Time
	missed  int64
}

func newCell(res Resource, now time.Time) *cell {
	return &cell{
		res:      res,
		lent:     newLentBook(),
		borrowed: make(borrowedBook),
		ended:    make(map[party]bool),
		buckets:  newBuckets(),
		use:      newMeter(now),
	}
}

// own returns the units that are owned, in force and not lent. It may be negative for a moment after the capacity fell.
func (cel *cell) own(now, leaseEnds time.Time) int64 {
	if !now.Add(cel.res.MaxRunTime).Before(leaseEnds) {
		return 0
	}
	return scale(cel.units, cel.res.Capacity, cel.basis) - cel.lent.total(now)
}

// usable returns the units that may be used now.
func (cel *cell) usable(now, leaseEnds time.Time) int64 {
	return max(0, cel.own(now, leaseEnds)+cel.borrowed.total(cel.res.Capacity, now))
}

// spare returns the units that this VM does not need itself. The part of a rate that long work may not use is not lent: short
// work that comes later would wait for the end of a loan that serves long work elsewhere.
func (cel *cell) spare(now, leaseEnds time.Time) int64 {
	used := cel.inUse
	if cel.res.Kind == KindRate {
		used = max(cel.use.perSecond(now)*100/usedPercent, cel.reserve())
	}
	return max(0, cel.own(now, leaseEnds)-used)
}

// reserve returns the units of a rate that are kept for short work.
func (cel *cell) reserve() int64 {
	if cel.res.LongPercent == 0 {
		return 0
	}
	return scale(cel.units, cel.res.Capacity, cel.basis) * int64(100-cel.res.LongPercent) / 100
}

// short reports whether a use was refused or delayed within the last second.
func (cel *cell) short(now time.Time) bool {
	return !cel.shortAt.IsZero() && now.Sub(cel.shortAt) < demandTime
}

// wants returns the units that this VM would use if it had them.
func (cel *cell) wants(now, leaseEnds time.Time) int64 {
	if !cel.short(now) {
		return 0
	}
	usable := cel.usable(now, leaseEnds)
	if cel.res.Kind == KindSlots {
		return min(cel.res.Capacity, cel.inUse+cel.missed)
	}
	grown := max(cel.use.perSecond(now), usable, cel.res.minUnits()) * growthPercent / 100
	return min(cel.res.Capacity, grown)
}

// answerBorrow decides how many units a borrower may use from now on, in place of what it has borrowed before.
func (cel *cell) answerBorrow(pty party, want int64, now, leaseEnds time.Time) int64 {
	have := cel.lent.scaledTo(pty, cel.res.Capacity, now)
	if cel.short(now) {
		lacking := max(0, cel.wants(now, leaseEnds)-cel.usable(now, leaseEnds))
		want = min(want, max(0, have-lacking))
	}
	offer := cel.offer(want, have, now, leaseEnds)
	if offer < cel.res.minUnits() {
		return 0
	}
	return offer
}

// offer returns how many units to lend to a borrower that has some already: half of the spare ones at most. A small part of a
// rate that is not used is lent as a whole, since its half is too little to be lent and so is the remainder.
func (cel *cell) offer(want, have int64, now, leaseEnds time.Time) int64 {
	spare := cel.spare(now, leaseEnds)
	offer := min(want, have+(spare+1)/2)
	small := cel.res.Kind == KindRate && spare < 2*cel.res.minUnits() && cel.use.perSecond(now) == 0
	if small && want > have {
		return have + spare
	}
	return offer
}

// tryRate takes num units of a rate, from the part of the long class as well if long is set.
func (cel *cell) tryRate(num int, long bool, now, leaseEnds time.Time) bool {
	usable := cel.usable(now, leaseEnds)
	cel.buckets.set(usable, cel.res.LongPercent, now)
	if usable == 0 || !cel.buckets.take(num, long, now) {
		cel.shortAt = now
		return false
	}
	cel.use.add(int64(num), now)
	return true
}

// trySlot takes one slot.
func (cel *cell) trySlot(now, leaseEnds time.Time) bool {
	if cel.inUse >= cel.usable(now, leaseEnds) {
		cel.lack(now)
		return false
	}
	cel.inUse++
	return true
}

// lack records that a slot was wanted and not to be had.
func (cel *cell) lack(now time.Time) {
	if !cel.short(now) {
		cel.missed = 0
	}
	cel.missed++
	cel.shortAt = now
}

// buckets are the token buckets of a rate: one for all work and one for work of the long class. They start empty, so
// that units which move between VMs don't bring a second burst with them.
type buckets struct {
	all   *rate.Limiter
	long  *rate.Limiter
	units int64
}

func newBuckets() buckets {
	return buckets{
		all:  rate.NewLimiter(0, 0),
		long: rate.NewLimiter(0, 0),
	}
}

func (bkt *buckets) set(units int64, longPercent int, now time.Time) {
	if units == bkt.units {
		return
	}
	bkt.units = units
	setBucket(bkt.all, units*usedPercent/100, now)
	if longPercent == 0 {
		longPercent = 100
	}
	setBucket(bkt.long, units*usedPercent*int64(longPercent)/(100*100), now)
}

func setBucket(lim *rate.Limiter, perSecond int64, now time.Time) {
	lim.SetLimitAt(now, rate.Limit(perSecond))
	burst := 0
	if perSecond > 0 {
		burst = int(max(1, perSecond*int64(burstTime)/int64(time.Second)))
	}
	lim.SetBurstAt(now, burst)
}

func (bkt *buckets) take(num int, long bool, now time.Time) bool {
	if !long {
		return bkt.all.AllowN(now, num)
	}
	if bkt.all.TokensAt(now) < float64(num) || !bkt.long.AllowN(now, num) {
		return false
	}
	return bkt.all.AllowN(now, num)
}

// largest returns the largest use that can pass at once.
func (bkt *buckets) largest(long bool) int {
	if long {
		return min(bkt.long.Burst(), bkt.all.Burst())
	}
	return bkt.all.Burst()
}

// meter measures a use in units a second over the last one to two windows.
type meter struct {
	start   time.Time
	current int64
	last    int64
}

const meterWindow = 500 * time.Millisecond

func newMeter(now time.Time) meter {
	return meter{
		start: now,
	}
}

func (mtr *meter) roll(now time.Time) {
	switch past := now.Sub(mtr.start); {
	case past >= 2*meterWindow:
		mtr.last, mtr.current, mtr.start = 0, 0, now
	case past >= meterWindow:
		mtr.last, mtr.current, mtr.start = mtr.current, 0, mtr.start.Add(meterWindow)
	}
}

func (mtr *meter) add(num int64, now time.Time) {
	mtr.roll(now)
	mtr.current += num
}

func (mtr *meter) perSecond(now time.Time) int64 {
	mtr.roll(now)
	return max(mtr.last, mtr.current) * int64(time.Second/meterWindow)
}
