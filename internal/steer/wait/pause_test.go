package wait_test

import (
	"testing"
	"time"

	"cardamompass/internal/steer/wait"
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

// Guards against a correction factor that is learned in a burst and makes the estimates of a later one wrong.
func TestCorrectionIsForgotten(t *testing.T) {
	que := newBusy(roomy)
	for range 100 {
		itm := add(t, que, request(wait.Flow{}))
		que.Pass(itm.Request().Deadline, func(*wait.Item) bool { return true }) // after 10 s in place of 10 ms
	}
	at := begin.Add(5 * time.Minute)
	for num := range 200 {
		que.Ended(at.Add(time.Duration(num-199) * 10 * time.Millisecond))
	}
	req := request(wait.Flow{})
	req.Objective, req.Deadline = at.Add(5*time.Second), at.Add(10*time.Second)
	itm, _, _ := que.Add(req, at)
	if itm == nil || itm.Estimate() > 12*time.Millisecond {
		t.Fatalf("estimate %v at 100 per second, five minutes after a burst", itm.Estimate())
	}
}

// Guards against a team that is estimated as if it had the least weight until its first request finds room.
func TestWeightOfNewTeam(t *testing.T) {
	que := newBusy(roomy)
	old, other := request(wait.Flow{Team: "old"}), request(wait.Flow{Team: "new"})
	old.Weight, other.Weight = 50, 50
	que.Started(old, begin)
	for range 40 {
		add(t, que, old)
	}
	add(t, que, other)
	if itm := add(t, que, other); itm.Estimate() > 50*time.Millisecond {
		t.Fatalf("estimate %v at 100 per second behind one request of the team, want about 20 ms", itm.Estimate())
	}
}
