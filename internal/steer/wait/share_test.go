package wait_test

import (
	"testing"

	"cardamompass/internal/steer/wait"
)

// Guards against a team that is not known to be over its share while room is short, and one that counts as over it while there is room.
func TestOverShare(t *testing.T) {
	que := newBusy(roomy)
	flood, steady := wait.Flow{Team: "flood"}, wait.Flow{Team: "steady"}
	for range 30 {
		que.Arrive(flood, begin)
		que.Started(request(flood), begin)
	}
	for range 5 {
		que.Arrive(steady, begin)
		que.Started(request(steady), begin)
	}
	if que.OverShare(flood, begin) {
		t.Fatal("over its share although all found room")
	}
	for range 30 {
		que.Arrive(flood, begin)
		que.Add(request(flood), begin)
	}
	if !que.OverShare(flood, begin) || que.OverShare(steady, begin) {
		t.Fatalf("over their shares: flood %v, steady %v", que.OverShare(flood, begin), que.OverShare(steady, begin))
	}
}
