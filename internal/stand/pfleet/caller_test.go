package pfleet_test

import (
	"context"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cardamompass/internal/stand/pfleet"
)

// Guards against a load that falls below its rate on a busy machine, so that a check that counts responses fails although none is
// missing. TestEntriesThatLapse got 631 of 800 requests to count.
func TestRateBesideLoad(t *testing.T) {
	const rate, seconds = 100, 1
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	var busy sync.WaitGroup
	var stop atomic.Bool
	for range 6 {
		busy.Go(func() {
			for !stop.Load() { //nolint:revive // keeps the processor busy
			}
		})
	}
	defer busy.Wait()
	defer stop.Store(true)
	cls, cleanup := pfleet.NewCallers(&pfleet.Fleet{})
	defer cleanup()
	ctx, cancel := context.WithTimeout(t.Context(), seconds*time.Second)
	defer cancel()
	cls.Run(ctx, rate, func(bool) string { return "/" })
	if sent := len(cls.Results()); sent < rate*seconds*7/8 {
		t.Fatalf("%d requests in %d s, want about %d", sent, seconds, rate*seconds)
	}
}
