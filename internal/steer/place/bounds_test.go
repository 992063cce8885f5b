package place_test

import (
	"testing"
	"time"

	"cardamompass/internal/steer/place"
)

// Guards against bounds that stay as they were when the Balancer was made.
func TestChangedBounds(t *testing.T) {
	bal := newBoard(0)
	flt := newFleet(1).with("a-1", 1)
	bal.Sync(flt.view(), start.Add(-time.Minute)) // not a VM that has just started
	ins := flt.changes[len(flt.changes)-1].Instance
	for _, tst := range []struct {
		bounds place.Bounds
		want   int // requests in a second: the rate of 7 times the overage plus the slack, less one
	}{
		{place.Bounds{ColdOverage: 1.5, ColdSlack: 5}, 14},
		{place.Bounds{ColdOverage: 1, ColdSlack: 1}, 7},
		{place.Bounds{ColdOverage: 2, ColdSlack: 5}, 18},
	} {
		bal.SetBounds(tst.bounds)
		ins.StartMillis++
		ins.ColdFor = time.Minute
		bal.Sync(flt.view(), start)
		count := 0
		for ; count < 100; count++ {
			chc, ok := bal.Choose(query(9, start))
			if !ok {
				break
			}
			bal.RecordSent(chc.Instance.ID, start)
			bal.RecordOutcome(place.Outcome{Instance: ins.ID, StartMillis: ins.StartMillis}, start)
		}
		if count != tst.want {
			t.Errorf("%d requests to a cold instance with %+v, want %d", count, tst.bounds, tst.want)
		}
	}
}
