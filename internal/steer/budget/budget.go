// Package budget limits the extra requests that retries and hedges add.
//
// A budget is a token bucket that starts with half of a small minimum and holds no more than that. Each request adds
// a percentage of a token, and time adds the other half of the minimum in each window, so that a VM with little
// traffic may still retry. It guarantees for any interval that is no longer than the window, wherever it starts:
//
//	extra requests <= minimum + percentage of the requests in the interval
//
// Credit is not saved beyond half of the minimum: a long time without failures does not allow a burst of retries when
// the targets are in trouble. State is an immutable value for decisions and tests; Budget is safe for concurrent use.
package budget

import (
	"sync"
	"time"
)

// tokenParts is the number of parts of a token. Integer parts keep the bound exact.
const tokenParts = int64(time.Second)

// Config describes a budget.
type Config struct {
	// Percent is the number of extra requests for each 100 requests.
	Percent int
	// Minimum is the number of extra requests for each window that are allowed beside the percentage; at least 2.
	Minimum int
	// Window is the longest interval for which the bound holds.
	Window time.Duration
}

// RetryConfig returns the budget of retries: 10% of requests.
func RetryConfig() (cfg Config) {
	return Config{
		Percent: 10,
		Minimum: 10,
		Window:  10 * time.Second,
	}
}

// HedgeConfig returns the budget of hedges: 3% of requests.
func HedgeConfig() (cfg Config) {
	return Config{
		Percent: 3,
		Minimum: 10,
		Window:  10 * time.Second,
	}
}

// State is the state of a budget. It is immutable: a With method returns a changed copy.
type State struct {
	cfg   Config
	parts int64
	at    time.Time
}

// Start returns the state of a budget at its first use.
func Start(cfg Config, now time.Time) (sta State) {
	cfg.Minimum = max(2, cfg.Minimum)
	if cfg.Window <= 0 {
		cfg.Window = 10 * time.Second
	}
	return State{
		cfg:   cfg,
		parts: half(cfg),
		at:    now,
	}
}

// half returns half of the minimum, in whole tokens so that a full bucket always allows one extra request.
func half(cfg Config) (parts int64) { return int64(cfg.Minimum/2) * tokenParts }

// WithRequest returns the state after one request.
func (sta State) WithRequest(now time.Time) (next State) {
	next = sta.withTime(now)
	next.parts = min(half(sta.cfg), next.parts+tokenParts*int64(sta.cfg.Percent)/100)
	return next
}

// WithExtra returns the state after one extra request and whether the budget allows it. The state is still the one to
// keep when it does not.
func (sta State) WithExtra(now time.Time) (next State, ok bool) {
	next = sta.withTime(now)
	if next.parts < tokenParts {
		return next, false
	}
	next.parts -= tokenParts
	return next, true
}

// Tokens returns the number of extra requests that are allowed at once.
func (sta State) Tokens() (count int) { return int(sta.parts / tokenParts) }

// withTime adds the tokens for the time since the last event. Events that arrive out of order add none.
func (sta State) withTime(now time.Time) (next State) {
	ela := now.Sub(sta.at)
	if ela <= 0 {
		return sta
	}
	sta.at = now
	// A bucket is full after one window, and more time would overflow the product.
	ela = min(ela, sta.cfg.Window)
	add := float64(half(sta.cfg)) * (float64(ela) / float64(sta.cfg.Window))
	sta.parts = min(half(sta.cfg), sta.parts+int64(add))
	return sta
}

// Budget is a State that many goroutines share.
type Budget struct {
	mut sync.Mutex
	sta State
}

// New returns a budget.
func New(cfg Config, now time.Time) (bud *Budget) {
	return &Budget{
		sta: Start(cfg, now),
	}
}

// Request counts one request. Retries and hedges are not counted as requests.
func (bud *Budget) Request(now time.Time) {
	bud.mut.Lock()
	defer bud.mut.Unlock()
	bud.sta = bud.sta.WithRequest(now)
}

// TakeExtra takes one extra request from the budget and reports whether it was allowed.
func (bud *Budget) TakeExtra(now time.Time) (ok bool) {
	bud.mut.Lock()
	defer bud.mut.Unlock()
	bud.sta, ok = bud.sta.WithExtra(now)
	return ok
}

// State returns the current state.
func (bud *Budget) State() (sta State) {
	bud.mut.Lock()
	defer bud.mut.Unlock()
	return bud.sta
}

// SetMinimum changes the number of extra requests that are allowed beside the percentage. Tokens beyond the new bound are lost; none are
// added.
func (bud *Budget) SetMinimum(minimum int, now time.Time) {
	bud.mut.Lock()
	defer bud.mut.Unlock()
	bud.sta = bud.sta.WithMinimum(minimum, now)
}

// WithMinimum returns the state with another minimum, at least 2.
func (sta State) WithMinimum(minimum int, now time.Time) (next State) {
	minimum = max(2, minimum)
	if minimum == sta.cfg.Minimum {
		return sta
	}
	next = sta.withTime(now)
	next.cfg.Minimum = minimum
	next.parts = min(next.parts, half(next.cfg))
	return next
}
