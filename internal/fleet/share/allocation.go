package share

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// burstTime is the length of a burst: a rate may pass the units of this time at once.
	burstTime = 100 * time.Millisecond
	// continuousPercent is the percentage of a rate's units that may be passed continuously; the rest is left for bursts.
	continuousPercent = 90
	// unmetDemandTime is how long a refused or delayed use counts as unmet demand.
	unmetDemandTime = time.Second
	// growthPercent is the demand of a VM with unmet demand, in percent of its recent use.
	growthPercent = 150
)

// allocation is the state of one resource in one incarnation of a VM.
type allocation struct {
	mtx sync.Mutex
	res Resource
	// units is what this incarnation certainly owns; ledgerCapacity is the capacity in the ledger when that was confirmed.
	units          int64
	ledgerCapacity int64
	// uncertainWrite is set while a write of the ledger at uncertainRevision may still take effect.
	uncertainWrite    bool
	uncertainRevision int64
	lent              grants
	borrowed          loans
	// unreturned holds the lenders that may still deduct slots of loans that this VM no longer uses.
	unreturned map[vmIncarnation]bool
	inUse      int64
	buckets    buckets
	usage      meter
	unmetAt    time.Time
	unmetSlots int64
}

func newAllocation(res Resource, now time.Time) *allocation {
	return &allocation{
		res:        res,
		lent:       newGrants(),
		borrowed:   make(loans),
		unreturned: make(map[vmIncarnation]bool),
		buckets:    newBuckets(),
		usage:      newMeter(now),
	}
}

// owned returns the units that are owned under a live lease and not lent. It may be negative for a short time after the
// capacity was lowered.
func (alc *allocation) owned(now, leaseEnds time.Time) int64 {
	if !now.Add(alc.res.MaxRunTime).Before(leaseEnds) {
		return 0
	}
	return scale(alc.units, alc.res.Capacity, alc.ledgerCapacity) - alc.lent.total(now)
}

// usable returns the units that may be used now, owned and borrowed.
func (alc *allocation) usable(now, leaseEnds time.Time) int64 {
	return max(0, alc.owned(now, leaseEnds)+alc.borrowed.total(alc.res.Capacity, now))
}

// surplus returns the owned units that this VM does not need itself. The units of a rate that are reserved for the short
// class are not lent: later short work would have to wait until a loan that serves long work elsewhere has ended.
func (alc *allocation) surplus(now, leaseEnds time.Time) int64 {
	used := alc.inUse
	if alc.res.Kind == KindRate {
		used = max(alc.usage.perSecond(now)*100/continuousPercent, alc.shortReserve())
	}
	return max(0, alc.owned(now, leaseEnds)-used)
}

// shortReserve returns the units of a rate that are reserved for the short class.
func (alc *allocation) shortReserve() int64 {
	if alc.res.LongPercent == 0 {
		return 0
	}
	return scale(alc.units, alc.res.Capacity, alc.ledgerCapacity) * int64(100-alc.res.LongPercent) / 100
}

// hasUnmetDemand reports whether a use was refused or delayed within the last unmetDemandTime.
func (alc *allocation) hasUnmetDemand(now time.Time) bool {
	return !alc.unmetAt.IsZero() && now.Sub(alc.unmetAt) < unmetDemandTime
}

// demand returns the units that this VM would use if it had them, 0 without unmet demand.
func (alc *allocation) demand(now, leaseEnds time.Time) int64 {
	if !alc.hasUnmetDemand(now) {
		return 0
	}
	usable := alc.usable(now, leaseEnds)
	if alc.res.Kind == KindSlots {
		return min(alc.res.Capacity, alc.inUse+alc.unmetSlots)
	}
	grown := max(alc.usage.perSecond(now), usable, alc.res.minUnits()) * growthPercent / 100
	return min(alc.res.Capacity, grown)
}

// loanUnits returns the units that a borrower may use from now on, in place of what it has borrowed before.
func (alc *allocation) loanUnits(vmi vmIncarnation, want int64, now, leaseEnds time.Time) int64 {
	have := alc.lent.scaledTo(vmi, alc.res.Capacity, now)
	if alc.hasUnmetDemand(now) {
		deficit := max(0, alc.demand(now, leaseEnds)-alc.usable(now, leaseEnds))
		want = min(want, max(0, have-deficit))
	}
	offer := alc.offer(want, have, now, leaseEnds)
	if offer < alc.res.minUnits() {
		return 0
	}
	return offer
}

// offer returns how many units to lend to a borrower that already has some: in addition at most half of the surplus. A small
// surplus of an unused rate is lent as a whole, since each half would be below the smallest loan.
func (alc *allocation) offer(want, have int64, now, leaseEnds time.Time) int64 {
	surplus := alc.surplus(now, leaseEnds)
	offer := min(want, have+(surplus+1)/2)
	small := alc.res.Kind == KindRate && surplus < 2*alc.res.minUnits() && alc.usage.perSecond(now) == 0
	if small && want > have {
		return have + surplus
	}
	return offer
}

// tryRate takes num units of a rate. They also count against the limit of the long class if long is set.
func (alc *allocation) tryRate(num int, long bool, now, leaseEnds time.Time) bool {
	usable := alc.usable(now, leaseEnds)
	alc.buckets.set(usable, alc.res.LongPercent, now)
	if usable == 0 || !alc.buckets.take(num, long, now) {
		alc.unmetAt = now
		return false
	}
	alc.usage.add(int64(num), now)
	return true
}

// trySlot takes one slot.
func (alc *allocation) trySlot(now, leaseEnds time.Time) bool {
	if alc.inUse >= alc.usable(now, leaseEnds) {
		alc.recordUnmet(now)
		return false
	}
	alc.inUse++
	return true
}

// recordUnmet records a request for a slot when none was free.
func (alc *allocation) recordUnmet(now time.Time) {
	if !alc.hasUnmetDemand(now) {
		alc.unmetSlots = 0
	}
	alc.unmetSlots++
	alc.unmetAt = now
}

// buckets are the token buckets of a rate: one for all work and one for the long class. They start empty, so that units
// that move from one VM to another do not allow a second burst.
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
	setBucket(bkt.all, units*continuousPercent/100, now)
	if longPercent == 0 {
		longPercent = 100
	}
	setBucket(bkt.long, units*continuousPercent*int64(longPercent)/(100*100), now)
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

// maxBurst returns the largest number of units that can be taken at once.
func (bkt *buckets) maxBurst(long bool) int {
	if long {
		return min(bkt.long.Burst(), bkt.all.Burst())
	}
	return bkt.all.Burst()
}

// meter measures use in units per second over the last one to two windows.
type meter struct {
	start    time.Time
	current  int64
	previous int64
}

const meterWindow = 500 * time.Millisecond

func newMeter(now time.Time) meter {
	return meter{
		start: now,
	}
}

func (mtr *meter) advance(now time.Time) {
	switch past := now.Sub(mtr.start); {
	case past >= 2*meterWindow:
		mtr.previous, mtr.current, mtr.start = 0, 0, now
	case past >= meterWindow:
		mtr.previous, mtr.current, mtr.start = mtr.current, 0, mtr.start.Add(meterWindow)
	}
}

func (mtr *meter) add(num int64, now time.Time) {
	mtr.advance(now)
	mtr.current += num
}

func (mtr *meter) perSecond(now time.Time) int64 {
	mtr.advance(now)
	return max(mtr.previous, mtr.current) * int64(time.Second/meterWindow)
}
