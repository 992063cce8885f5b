package wait_test

import (
	"testing"
	"time"
)

// Guards against a rate that divides the ends since a pause by the time of the whole window, so that the first requests of a burst are
// refused as late.
func TestRateAfterPause(t *testing.T) {
	que := newBusy(roomy)
	at := begin.Add(time.Minute)
	for range 50 {
		que.Ended(at)
		at = at.Add(10 * time.Millisecond)
	}
	if rate := que.Rate(at); rate < 90 || rate > 110 {
		t.Fatalf("rate %.0f half a second after a pause, want 100", rate)
	}
}
