package ctrl

import (
	"sync"
	"time"

	"cardamompass"
)

// ManualClock is a cardamompass.Clock that moves only by Advance. It is safe for concurrent use.
type ManualClock struct {
	mut sync.Mutex
	now time.Time
	tms map[*manualTimer]struct{}
	// chg is closed and replaced when the set of pending timers changes.
	chg chan struct{}
}

var _ cardamompass.Clock = (*ManualClock)(nil)

// NewManualClock returns a clock that is set to now.
func NewManualClock(now time.Time) *ManualClock {
	return &ManualClock{
		now: now,
		tms: map[*manualTimer]struct{}{},
		chg: make(chan struct{}),
	}
}

// Now implements cardamompass.Clock.
func (clk *ManualClock) Now() time.Time {
	clk.mut.Lock()
	defer clk.mut.Unlock()
	return clk.now
}

// NewTimer implements cardamompass.Clock.
func (clk *ManualClock) NewTimer(dur time.Duration) cardamompass.Timer {
	clk.mut.Lock()
	defer clk.mut.Unlock()
	tmr := &manualTimer{
		clk: clk,
		due: clk.now.Add(dur),
		chn: make(chan time.Time, 1),
	}
	clk.tms[tmr] = struct{}{}
	clk.fire()
	return tmr
}

// Advance moves the clock and fires the timers that are due.
func (clk *ManualClock) Advance(dur time.Duration) {
	clk.mut.Lock()
	defer clk.mut.Unlock()
	clk.now = clk.now.Add(dur)
	clk.fire()
}

// AwaitTimers waits until num timers are pending, so that a test can advance the clock past them.
func (clk *ManualClock) AwaitTimers(num int) {
	for {
		clk.mut.Lock()
		hav, chg := len(clk.tms), clk.chg
		clk.mut.Unlock()
		if hav >= num {
			return
		}
		<-chg
	}
}

// fire fires the timers that are due. The caller holds the mutex.
func (clk *ManualClock) fire() {
	for tmr := range clk.tms {
		if !tmr.due.After(clk.now) {
			tmr.chn <- clk.now
			delete(clk.tms, tmr)
		}
	}
	close(clk.chg)
	clk.chg = make(chan struct{})
}

type manualTimer struct {
	clk *ManualClock
	due time.Time
	chn chan time.Time
}

// C implements cardamompass.Timer.
func (tmr *manualTimer) C() <-chan time.Time { return tmr.chn }

// Stop implements cardamompass.Timer.
func (tmr *manualTimer) Stop() bool {
	tmr.clk.mut.Lock()
	defer tmr.clk.mut.Unlock()
	_, pnd := tmr.clk.tms[tmr]
	delete(tmr.clk.tms, tmr)
	return pnd
}
