package budget

import (
	"time"

	"cardamompass"
)

const (
	// MinHedgeDelay bounds the delay from below, so that timer and scheduling delays of a busy VM do not cause hedges of
	// requests that take well under a millisecond.
	MinHedgeDelay = 2 * time.Millisecond
	// MaxHedgeDelay bounds the delay from above, so that a p95 measured during an incident does not disable hedges.
	MaxHedgeDelay = time.Second
	// hedgeFactor is the minimum delay as a multiple of the usual latency. In a narrow distribution the p95 is close to the
	// usual latency, and hedges after that time would spend the budget on requests that are not late.
	hedgeFactor = 2
)

// HedgeDelay returns the time after which a request may be hedged, given the 95th percentile and the usual value of the
// service's recent latency. It is MaxHedgeDelay while these are unknown.
func HedgeDelay(p95, usual time.Duration) (dly time.Duration) {
	if p95 <= 0 {
		return MaxHedgeDelay
	}
	dly = max(p95, hedgeFactor*usual, MinHedgeDelay)
	return min(dly, MaxHedgeDelay)
}

// HedgeReason says why a request may or may not be hedged.
type HedgeReason uint8

const (
	// HedgeAllowed allows the hedge, if the budget has a token.
	HedgeAllowed HedgeReason = iota
	// HedgeNotIdempotent rejects the hedge of a request that must run at most once.
	HedgeNotIdempotent
	// HedgeNotShort rejects the hedge of a long request.
	HedgeNotShort
	// HedgeTooEarly rejects a hedge before the hedge delay.
	HedgeTooEarly
	// HedgeNoCapacity rejects a hedge for which no region has free capacity.
	HedgeNoCapacity
	// HedgeNoTime rejects a hedge that cannot finish before the deadline.
	HedgeNoTime
	// HedgeNoBudget rejects a hedge because the budget is exhausted.
	HedgeNoBudget
)

// String returns the kebab-case name of the reason.
func (rsn HedgeReason) String() (name string) {
	switch rsn {
	case HedgeAllowed:
		return "allowed"
	case HedgeNotIdempotent:
		return "not-idempotent"
	case HedgeNotShort:
		return "not-short"
	case HedgeTooEarly:
		return "too-early"
	case HedgeNoCapacity:
		return "no-room"
	case HedgeNoTime:
		return "no-time"
	case HedgeNoBudget:
		return "no-budget"
	default:
		return "invalid"
	}
}

// MarshalText implements encoding.TextMarshaler for the state dump.
func (rsn HedgeReason) MarshalText() (text []byte, err error) { return []byte(rsn.String()), nil }

// HedgeInput is the input of the decision about a hedge.
type HedgeInput struct {
	Idempotent bool
	Class      cardamompass.Class
	// Age is the time since the first attempt began, Delay the result of HedgeDelay.
	Age   time.Duration
	Delay time.Duration
	// Left is the time until the deadline, Usual the usual latency of the service.
	Left  time.Duration
	Usual time.Duration
	// HasCapacity is set when there is a candidate for the hedge in a region with free capacity.
	HasCapacity bool
}

// DecideHedge returns whether the request may be hedged, regardless of the budget.
func DecideHedge(inp HedgeInput) (rsn HedgeReason) {
	switch {
	case !inp.Idempotent:
		return HedgeNotIdempotent
	case inp.Class != cardamompass.ClassShort:
		return HedgeNotShort
	case inp.Age < inp.Delay:
		return HedgeTooEarly
	case inp.Left < inp.Usual:
		return HedgeNoTime
	case !inp.HasCapacity:
		return HedgeNoCapacity
	default:
		return HedgeAllowed
	}
}

// TryHedge decides about a hedge and charges it to the budget. The budget is charged only if DecideHedge allows the hedge.
func (bud *Budget) TryHedge(inp HedgeInput, now time.Time) (rsn HedgeReason) {
	rsn = DecideHedge(inp)
	if rsn == HedgeAllowed && !bud.TakeExtra(now) {
		return HedgeNoBudget
	}
	return rsn
}
