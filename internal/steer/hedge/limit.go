package hedge

import "time"

const (
	// Window is the time over which the limit holds.
	Window = 10 * time.Second
	// step is the resolution of the windows.
	step = 100 * time.Millisecond
	// windowSteps is the number of steps in Window.
	windowSteps = int(Window / step)
	// burstSteps is the number of steps, 2 s, whose requests bound the tokens in stock. Without that bound, a VM that sends no hedges
	// during a burst of requests, because the targets are busy, would send those of 10 s at once when the burst ends.
	burstSteps = 20
	// tokenCost is the cost of a hedge in credit, of which each request earns as much as the limit has percent.
	tokenCost = 100
)

// Limit is this VM's part of the limit on hedges. The parts of all VMs together keep the limit, because each VM spends only what its own
// requests have earned: a VM with few requests gets no minimum, which would add up over hundreds of VMs. No state is shared, so that lost
// links and restarts can't raise the sum.
//
// For each VM, for any time at which it sends a hedge:
//
//	hedges in the last 10 s, this one included <= percent of the requests in the last 10 s
//
// and for any interval, if the VM earns at least a token within 2 s:
//
//	hedges in the interval <= percent of the requests in the interval and in the 2 s before it
//
// With fewer requests, the 10 s before the interval take the place of the 2 s.
//
// The zero value has no tokens and no requests. It is not safe for concurrent use.
type Limit struct {
	// counts is a ring of steps. The step at index current started at since.
	counts  [windowSteps + 1]count
	current int
	since   time.Time
	// total holds the hedges of all steps of the ring, which cover at least Window, and the requests of the last windowSteps, which cover
	// no more than it. recent is the number of requests of the last burstSteps.
	total  count
	recent int
	// credit is the stock of tokens; a token is tokenCost.
	credit int
}

type count struct{ requests, hedges int }

// Request counts a request that is sent for the first time. percent is the limit.
func (lim *Limit) Request(percent int, now time.Time) {
	lim.advance(now)
	lim.counts[lim.current].requests++
	lim.total.requests++
	lim.recent++
	lim.credit += percent
	lim.cap(percent)
}

// Allows reports whether a hedge is allowed now.
func (lim *Limit) Allows(percent int, now time.Time) (ok bool) {
	lim.advance(now)
	lim.cap(percent)
	return lim.credit >= tokenCost && tokenCost*(lim.total.hedges+1) <= percent*lim.total.requests
}

// Take takes a token for a hedge and reports whether it is allowed.
func (lim *Limit) Take(percent int, now time.Time) (ok bool) {
	if !lim.Allows(percent, now) {
		return false
	}
	lim.credit -= tokenCost
	lim.counts[lim.current].hedges++
	lim.total.hedges++
	return true
}

// Return returns the token of a hedge that was not sent. It must be called without delay after Take.
func (lim *Limit) Return(now time.Time) {
	lim.advance(now)
	lim.credit += tokenCost
	if lim.counts[lim.current].hedges > 0 { // otherwise a step began since Take, and the hedge stays counted
		lim.counts[lim.current].hedges--
		lim.total.hedges--
	}
}

// Share returns the number of hedges relative to the number of requests in the last 10 s.
func (lim *Limit) Share(now time.Time) (share float64) {
	lim.advance(now)
	if lim.total.requests == 0 {
		return 0
	}
	return float64(lim.total.hedges) / float64(lim.total.requests)
}

// cap bounds the stock to what the requests of the last burstSteps earn, or to one token if that is less than one.
func (lim *Limit) cap(percent int) { lim.credit = min(lim.credit, max(tokenCost, percent*lim.recent)) }

// advance starts the steps up to now. A time before the current step counts in the current step.
func (lim *Limit) advance(now time.Time) {
	ela := now.Sub(lim.since)
	if lim.since.IsZero() || ela >= Window+step {
		*lim = Limit{
			since:  now,
			credit: lim.credit,
		}
		return
	}
	for ; ela >= step; ela -= step {
		lim.recent -= lim.counts[lim.before(burstSteps-1)].requests
		lim.total.requests -= lim.counts[lim.before(windowSteps-1)].requests
		lim.current = lim.before(windowSteps)
		lim.total.hedges -= lim.counts[lim.current].hedges
		lim.counts[lim.current] = count{}
		lim.since = lim.since.Add(step)
	}
}

// before returns the index of the step that is a number of steps before the current one.
func (lim *Limit) before(steps int) (num int) {
	return (lim.current - steps + len(lim.counts)) % len(lim.counts)
}
