// Package budget limits the extra requests of retries and hedges.
//
// A budget is a token bucket whose capacity is half of a small minimum. It starts full. Each request adds a percentage
// of a token, and time adds the other half of the minimum in each window, so that a VM with little traffic may still
// retry. The following holds for any interval that is no longer than the window, wherever it starts:
//
//	extra requests <= minimum + percentage of the requests in the interval
//
// Tokens above the capacity are discarded: a long time without failures does not allow a burst of retries when targets
// fail. State is an immutable value for decisions and tests; Budget is safe for concurrent use.
package budget

import (
	"sync"
	"time"
)

// tokenScale is the number of integer units of a token. Integer arithmetic keeps the bound exact.
const tokenScale = int64(time.Second)

// Config describes a budget.
type Config struct {
	// Percent is the number of extra requests for each 100 requests.
	Percent int
	// Minimum is the number of extra requests in each window that are allowed in addition to the percentage; at least 2.
	Minimum int
	// Window is the longest interval for which the bound holds.
	Window time.Duration
}

func (cfg Config) withDefaults() (out Config) {
	cfg.Minimum = max(2, cfg.Minimum)
	if cfg.Window <= 0 {
		cfg.Window = 10 * time.Second
	}
	return cfg
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
	cfg          Config
	scaledTokens int64
	updatedAt    time.Time
}

// Start returns the initial state of a budget.
func Start(cfg Config, now time.Time) (sta State) {
	cfg = cfg.withDefaults()
	return State{
		cfg:          cfg,
		scaledTokens: capacity(cfg),
		updatedAt:    now,
	}
}

// capacity returns half of the minimum, rounded down to whole tokens, so that a full bucket always allows one extra request.
func capacity(cfg Config) (parts int64) { return int64(cfg.Minimum/2) * tokenScale }

// WithRequest returns the state after one request.
func (sta State) WithRequest(now time.Time) (next State) {
	next = sta.withRefill(now)
	next.scaledTokens = min(capacity(sta.cfg), next.scaledTokens+tokenScale*int64(sta.cfg.Percent)/100)
	return next
}

// WithExtra returns the state after one extra request and whether the budget allows it. The returned state must be kept
// in either case.
func (sta State) WithExtra(now time.Time) (next State, ok bool) {
	next = sta.withRefill(now)
	if next.scaledTokens < tokenScale {
		return next, false
	}
	next.scaledTokens -= tokenScale
	return next, true
}

// Tokens returns the number of extra requests that are allowed immediately.
func (sta State) Tokens() (count int) { return int(sta.scaledTokens / tokenScale) }

// withRefill returns the state with the tokens for the time since the last event. Events that arrive out of order add none.
func (sta State) withRefill(now time.Time) (next State) {
	ela := now.Sub(sta.updatedAt)
	if ela <= 0 {
		return sta
	}
	sta.updatedAt = now
	// The bucket is full after one window, and more time would overflow the product.
	ela = min(ela, sta.cfg.Window)
	add := float64(capacity(sta.cfg)) * (float64(ela) / float64(sta.cfg.Window))
	sta.scaledTokens = min(capacity(sta.cfg), sta.scaledTokens+int64(add))
	return sta
}

// Budget is a State that is safe for concurrent use.
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

// SetConfig changes the configuration of the budget. Tokens above the new capacity are discarded; none are added.
func (bud *Budget) SetConfig(cfg Config, now time.Time) {
	bud.mut.Lock()
	defer bud.mut.Unlock()
	bud.sta = bud.sta.WithConfig(cfg, now)
}

// WithConfig returns the state with another configuration.
func (sta State) WithConfig(cfg Config, now time.Time) (next State) {
	cfg = cfg.withDefaults()
	if cfg == sta.cfg {
		return sta
	}
	next = sta.withRefill(now)
	next.cfg = cfg
	next.scaledTokens = min(next.scaledTokens, capacity(cfg))
	return next
}
