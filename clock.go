package cardamompass

import (
	"context"
	"time"
)

// Clock tells the time and makes timers. Tests replace it, so that no verdict depends on a sleep.
// Implementations are safe for concurrent use.
type Clock interface {
	// Now returns the current time with a monotonic reading where the platform has one.
	Now() time.Time
	// NewTimer returns a timer that fires once after d.
	NewTimer(d time.Duration) Timer
}

// Timer is a one-shot timer of a Clock.
type Timer interface {
	// C returns the channel on which the time is delivered.
	C() <-chan time.Time
	// Stop prevents the timer from firing and reports whether it was still pending.
	Stop() bool
}

// Sleep waits for d on a clock or for the end of ctx, whichever comes first, and returns the error of ctx in the second case.
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

// SystemClock is the Clock of the operating system.
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
