// Package hedge decides when a request that is slow at its first target is also sent to a second one, and limits the extra requests.
//
// Two rules share one implementation. Without a limit, a hedge starts so early that it can still be answered within the objective of the
// route, and only the retry budget bounds it. With a limit of some percent of the requests, it starts once the first attempt has taken
// longer than all but that percent of the attempts on the route, and it needs a token of the limit as well as one of the retry budget.
//
// The package is pure: it reads no clock and sends nothing.
package hedge

import "time"

const (
	// MaxPercent is the highest limit. It is that of the retry budget on the users' platform, which bounds hedges in any case.
	MaxPercent = 20
	// latencyFactor is the expected latency of a hedge relative to the median. A hedge that starts that long before the objective can
	// still be answered within it.
	latencyFactor = 1.2
	// CallerTransferTime is the time that a response takes from this VM to the caller.
	CallerTransferTime = 15 * time.Millisecond
	// minDelayFactor is the shortest delay relative to the median latency. A shorter delay would hedge requests that take their usual
	// time.
	minDelayFactor = 1.25
	// MinTime is the least remaining time with which a request is sent once more.
	MinTime = 50 * time.Millisecond
	// busyLoad is the mean load of the targets of a service, relative to their slots, from which no hedges are sent. Above it, with
	// three slots for each target, an arriving request finds all of them busy about every other time, so that a hedge delays another
	// request as often as not. In the model test, 0.5 gives up most of the gain at a load of 0.8, and 0.9 makes the median of all requests 5% longer at a limit of 20%.
	busyLoad = 0.7
	// refusalTime is how long no hedges are sent to a service after a request for it waited or was refused. A refused caller is told to
	// return after 100 ms or more, and the capacity that frees up belongs to it.
	refusalTime = time.Second
)

// Reason says why a request is hedged or not.
type Reason uint8

const (
	// Allowed allows the hedge.
	Allowed Reason = iota
	// NotIdempotent rejects the hedge of a request that must run at most once.
	NotIdempotent
	// MaxTargets rejects the hedge of a request that was sent to as many targets as its route allows.
	MaxTargets
	// LimitUsed rejects a hedge while the limit is used up.
	LimitUsed
	// Waited rejects a hedge if this request, or another one for the service within the last second, waited or was refused.
	Waited
	// Busy rejects a hedge while the targets of the service are busy.
	Busy
	// OverShare rejects the hedge of a team that is over its share.
	OverShare
	// NoTime rejects a hedge that can't be answered before the deadline.
	NoTime
	// NoTarget rejects a hedge for which no target has capacity.
	NoTarget
	// NoBudget rejects a hedge because the retry budget is used up.
	NoBudget
)

// String returns the kebab-case name of the reason.
func (rsn Reason) String() (name string) {
	switch rsn {
	case Allowed:
		return "allowed"
	case NotIdempotent:
		return "not-idempotent"
	case MaxTargets:
		return "max-targets"
	case LimitUsed:
		return "limit"
	case Waited:
		return "waited"
	case Busy:
		return "busy"
	case OverShare:
		return "over-share"
	case NoTime:
		return "no-time"
	case NoTarget:
		return "no-target"
	case NoBudget:
		return "budget"
	default:
		return "invalid"
	}
}

// DelayInput is the input of Delay.
type DelayInput struct {
	// Percent is the limit in percent of the requests; 0 if there is none.
	Percent int
	// Objective is the latency objective of the route, Median the estimate of its median latency that hedges without a limit use.
	Objective time.Duration
	Median    time.Duration
	// Waited is how long the request has waited for a target; so much of the objective has passed when it is sent.
	Waited time.Duration
	// Estimate is that of the route for Percent.
	Estimate Estimate
}

// Delay returns the time after which the first attempt is hedged.
//
// Without a limit, or while too little is known about the route, it is the last moment from which a hedge can be answered within the
// objective. With a limit of p percent it is the quantile 1 - p/100 of the latencies: as p percent of the attempts take longer, it is the
// earliest moment at which the limit is enough for each request that is then still running.
func Delay(inp DelayInput) (dur time.Duration) {
	if inp.Percent > 0 && inp.Estimate.Quantile > 0 {
		return max(inp.Estimate.Quantile, time.Duration(minDelayFactor*float64(inp.Estimate.Usual)))
	}
	latest := inp.Objective - inp.Waited - time.Duration(latencyFactor*float64(inp.Median)) - CallerTransferTime
	return max(latest, time.Duration(minDelayFactor*float64(inp.Median)))
}

// Input is the input of the decision about a hedge, at the time at which Delay has passed.
type Input struct {
	// Percent is the limit in percent of the requests; 0 if there is none.
	Percent    int
	Idempotent bool
	// Tried is the number of targets to which the request was sent, MaxTargets the number that its route allows.
	Tried      int
	MaxTargets int
	// Left is the time until the deadline.
	Left time.Duration

	// The following matter only with a limit.

	// LimitAllows is the result of Limit.Allows.
	LimitAllows bool
	// Waited is set when the request waited for a target or was refused by one, or when others for the service wait. LastRefusal is when a
	// request for the service last waited or was refused.
	Waited      bool
	LastRefusal time.Time
	// Load returns the mean load of the targets of the service, relative to their slots. It is called only if it matters.
	Load func() float64
	// OverShare is set when the team of the request is over its share.
	OverShare bool
	// Usual is the median latency of the route; 0 if unknown.
	Usual time.Duration
	Now   time.Time
}

// Decide returns whether a request may be hedged, regardless of the targets and of the retry budget.
func Decide(inp Input) (rsn Reason) {
	switch {
	case !inp.Idempotent:
		return NotIdempotent
	case inp.Tried >= inp.MaxTargets:
		return MaxTargets
	case inp.Left < MinTime:
		return NoTime
	case inp.Percent == 0:
		return Allowed
	case !inp.LimitAllows:
		return LimitUsed
	case inp.Waited || inp.Now.Sub(inp.LastRefusal) < refusalTime:
		return Waited
	case inp.Load() >= busyLoad:
		return Busy
	case inp.OverShare:
		return OverShare
	case inp.Left < inp.Usual:
		return NoTime
	default:
		return Allowed
	}
}
