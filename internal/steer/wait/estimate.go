package wait

import (
	"math"
	"slices"
	"time"
)

const (
	// rateWindow is the time over which the ends of requests are counted. A VM of the smallest size has about 10 a second for each
	// service, so that a shorter window would hold too few.
	rateWindow = 2 * time.Second
	// rateStep is the resolution of the window.
	rateStep = 100 * time.Millisecond
	// minRate is the assumed rate of room per second of a VM that has seen no request end, because it has just started or because
	// everything hangs. It lets a single request wait for a second.
	minRate = 1.0
	// minShare is the part of the room that the lowest priority gets at least, through the turn of the oldest request.
	minShare = 1.0 / oldestTurn
	// biasGain is the weight of one wait in the correction factor of the estimate; maxBias bounds it in both directions. One wait changes
	// it by at most maxBiasRatio to the power of biasGain.
	biasGain     = 0.1
	maxBias      = 4.0
	maxBiasRatio = 3.0
	// biasDecay is the time constant with which the correction is forgotten. Without it, a factor that was learned at the end of a burst
	// would refuse the requests of a later one, and no wait would correct it.
	biasDecay = 30 * time.Second
	// minCompared is the shortest estimate or wait that the correction factor distinguishes.
	minCompared = 10 * time.Millisecond
)

// roomRate counts the requests that ended within rateWindow, in steps.
type roomRate struct {
	counts [int(rateWindow / rateStep)]int
	step   int64 // number of the newest step since the Unix epoch
	// first is the first end since the start or since a window without any.
	first time.Time
}

// total returns the number of ends within the window.
func (rat *roomRate) total() (sum int) {
	for _, cnt := range rat.counts {
		sum += cnt
	}
	return sum
}

// advance clears the steps that have left the window.
func (rat *roomRate) advance(now time.Time) {
	step := now.UnixNano() / int64(rateStep)
	if step-rat.step >= int64(len(rat.counts)) {
		clear(rat.counts[:])
		rat.step = step
	}
	for rat.step < step {
		rat.step++
		rat.counts[rat.step%int64(len(rat.counts))] = 0
	}
}

func (rat *roomRate) add(now time.Time) {
	rat.advance(now)
	if rat.total() == 0 {
		rat.first = now
	}
	rat.counts[rat.step%int64(len(rat.counts))]++
}

// perSecond returns the rate at which requests ended.
func (rat *roomRate) perSecond(now time.Time) (rate float64) {
	rat.advance(now)
	// After the start or a pause, the ends are divided by the time since the first one, though not by less than a quarter of the window.
	span := min(rateWindow, max(rateWindow/4, now.Sub(rat.first)))
	return max(minRate, float64(rat.total())/span.Seconds())
}

// Ended records that a request of this VM to the service ended and gave up its room. In an overload each VM's requests end at the rate at
// which it can start new ones, which is its part of the common room, so that VMs need not tell each other.
func (que *Queue) Ended(now time.Time) { que.room.add(now) }

// Rate returns the room that becomes free for this VM per second.
func (que *Queue) Rate(now time.Time) (perSecond float64) { return que.room.perSecond(now) }

// shareOf returns the part of the room that is left for a priority by the higher ones.
func (que *Queue) shareOf(priority int, now time.Time) (part float64) {
	higher, total := 0.0, 0.0
	for key, flw := range que.flows {
		use := flw.usage(now)
		total += use
		if key.Priority < priority {
			higher += use
		}
	}
	if total == 0 {
		return 1
	}
	return max(minShare, 1-higher/total)
}

// timeFor returns the estimated time until room has appeared for a number of requests of a priority.
func (que *Queue) timeFor(count float64, priority int, now time.Time) (dur time.Duration) {
	perSecond := que.room.perSecond(now) * que.shareOf(priority, now)
	return time.Duration(que.correction(now) * count / perSecond * float64(time.Second))
}

// correction returns the factor by which the estimate is multiplied. It tends to 1 while no wait ends.
func (que *Queue) correction(now time.Time) (factor float64) {
	return math.Pow(que.bias, math.Exp(-now.Sub(que.biasAt).Seconds()/biasDecay.Seconds()))
}

// estimate returns the time until room appears for a new request: the number of requests before it in the order, and itself, divided by
// the rate of room for its priority, times the correction factor.
func (que *Queue) estimate(req Request, now time.Time) (dur time.Duration) {
	ahead := que.ahead(req, now, func(key Flow, flw *flow) int { return flw.waiting })
	if req.Returned {
		ahead -= que.newOf(req.Flow)
	}
	return que.timeFor(ahead+1, req.Flow.Priority, now)
}

// newOf returns the number of waiting requests of a flow that were not told to return. They come after those that were.
func (que *Queue) newOf(key Flow) (count float64) {
	for _, itm := range que.items {
		if itm.req.Flow == key && !itm.req.Returned {
			count++
		}
	}
	return count
}

// ahead returns how many requests come before one more of a flow if count requests of each flow are there. Of another team of the same
// priority that is as many as make the levels equal.
func (que *Queue) ahead(req Request, now time.Time, count func(key Flow, flw *flow) int) (num float64) {
	own := que.flow(req.Flow)
	mine := float64(count(req.Flow, own))
	level := own.level(now) + mine/own.weight
	for key, flw := range que.flows {
		cnt := float64(count(key, flw))
		switch {
		case key == req.Flow || key.Priority < req.Flow.Priority:
			num += cnt
		case key.Priority == req.Flow.Priority:
			num += min(cnt, max(0, (level-flw.level(now))*flw.weight))
		}
	}
	return num
}

// learn compares a wait that has ended with its estimate. A request that gave up has waited at least as long as it did; it counts only
// if that is longer than the estimate.
func (que *Queue) learn(itm *Item, now time.Time, gaveUp bool) {
	actual := max(minCompared, now.Sub(itm.arrived))
	ratio := float64(actual) / float64(max(minCompared, itm.estimate))
	if gaveUp && ratio < 1 {
		return
	}
	ratio = min(maxBiasRatio, max(1/maxBiasRatio, ratio))
	que.bias, que.biasAt = min(maxBias, max(1/maxBias, que.correction(now)*math.Pow(ratio, biasGain))), now
}

const (
	// minReturn is the shortest Retry-After: the time in which a place at a full target usually becomes free.
	minReturn = 100 * time.Millisecond
	// maxReturn bounds Retry-After. An estimate for a later time says little, since bursts last 3 to 7 s.
	maxReturn = 5 * time.Second
	// returnFraction is the part of its time left that a caller waits before it returns, at most.
	returnFraction = 1.0 / 3
	// objectiveFraction is the part of the time left until the objective after which a caller returns, at most. One that returns later is
	// answered late if at all, and its request takes the room of one that could be in time.
	objectiveFraction = 0.25
	// promiseEarly and promiseLapse are how long before and after its due time a promise can be taken up.
	promiseEarly = 20 * time.Millisecond
	promiseLapse = 500 * time.Millisecond
	// maxPromises bounds the outstanding promises of a flow; further ones are given but not recorded.
	maxPromises = 1024
)

// promise is a Retry-After that was given to a caller.
type promise struct {
	due time.Time
}

// refusal returns the refusal of a request and records its Retry-After as a promise.
//
// Retry-After is the time until room has appeared for those that wait, those that were told to return and this one, each counted as far
// as it comes before this one in the order. Without the second, all callers that are refused in a burst would return at once and be
// refused again, and callers retry only once. It is never so late that the response can't be within the objective. A promise lapses after its due time: callers may give up or return to another VM.
func (que *Queue) refusal(itm *Item, rsn Reason, now time.Time) (ref Refusal) {
	ref = Refusal{
		Reason:     rsn,
		RetryAfter: minReturn,
	}
	if rsn == ReasonStopped {
		return ref // the caller returns to another VM
	}
	req := itm.req
	que.lapse(now)
	before := que.ahead(req, now, func(_ Flow, flw *flow) int { return flw.waiting + len(flw.promises) })
	ref.RetryAfter = min(maxReturn, que.timeFor(before+1, req.Flow.Priority, now))
	if left := req.Objective.Sub(now); left > 0 {
		ref.RetryAfter = min(ref.RetryAfter, max(minReturn, time.Duration(objectiveFraction*float64(left))))
	}
	ref.RetryAfter = min(ref.RetryAfter, time.Duration(returnFraction*float64(req.CallerDeadline.Sub(now))))
	ref.RetryAfter = max(minReturn, ref.RetryAfter).Round(time.Millisecond)
	flw := que.flow(req.Flow)
	que.stats.Given++
	if len(flw.promises) >= maxPromises {
		return ref
	}
	due := now.Add(ref.RetryAfter)
	pos, _ := slices.BinarySearchFunc(flw.promises, due, func(prm promise, at time.Time) int { return prm.due.Compare(at) })
	flw.promises = slices.Insert(flw.promises, pos, promise{
		due: due,
	})
	return ref
}

// lapse forgets the promises that were not taken up.
func (que *Queue) lapse(now time.Time) {
	for _, flw := range que.flows {
		num := 0
		for num < len(flw.promises) && now.Sub(flw.promises[num].due) > promiseLapse {
			num++
		}
		flw.promises = flw.promises[num:]
		que.stats.Lapsed += num
	}
}

// Arrive records the first attempt of a request and reports whether it counts as that of a caller that was told to return.
//
// A returning caller can't be recognised: each attempt has a new id and may come to any VM. A request therefore takes up the oldest
// promise to its team and priority that is due. A new caller of the same team may take it in place of the one to which it was given;
// the number of requests that are preferred is that of the promises, and no other team loses by it. A caller that returns to another
// VM counts as new there, unless a promise of that VM is due to which nobody has returned: the callers that move to and away from a VM
// are about equally many.
func (que *Queue) Arrive(key Flow, now time.Time) (returned bool) {
	que.lapse(now)
	que.shortage.decay(now)
	que.shortage.arrived++
	flw := que.flow(key)
	if len(flw.promises) == 0 || flw.promises[0].due.After(now.Add(promiseEarly)) {
		return false
	}
	flw.promises = flw.promises[1:]
	return true
}
