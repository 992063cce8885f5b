package cardamompass

import (
	"context"
	"time"
)

// Clock returns the current time and creates timers. Tests replace it, so that no result depends on real time.
// Implementations are safe for concurrent use.
type Clock interface {
	// Now returns the current time, with a monotonic clock reading where the platform has one.
	Now() time.Time
	// NewTimer returns a timer that fires once after d.
	NewTimer(d time.Duration) Timer
}

// Timer is a one-shot timer of a Clock.
type Timer interface {
	// C returns the channel on which the time is delivered when the timer fires.
	C() <-chan time.Time
	// Stop prevents the timer from firing and reports whether it was still pending.
	Stop() bool
}

// Sleep pauses for d on clk. It returns early with ctx.Err() if ctx is done first.
func Sleep(ctx context.Context, clk Clock, d time.Duration) (err error) {
	tmr := clk.NewTimer(d)
	defer tmr.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-tmr.C():
		return nil
	}
}

// SystemClock is a Clock that uses the time package.
type SystemClock struct{}

var _ Clock = SystemClock{}

// Now implements Clock.
func (SystemClock) Now() time.Time { return time.Now() }

// NewTimer implements Clock.
func (SystemClock) NewTimer(d time.Duration) Timer {
	return systemTimer{
		tmr: time.NewTimer(d),
	}
}

type systemTimer struct {
	tmr *time.Timer
}

func (stm systemTimer) C() <-chan time.Time { return stm.tmr.C }

func (stm systemTimer) Stop() bool { return stm.tmr.Stop() }
