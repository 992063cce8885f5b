package place_test

import (
	"testing"
	"time"

	"cardamompass"
	"cardamompass/internal/fleet/view"
	"cardamompass/internal/steer/place"
)

// Guards against the state of an earlier start of an instance that counts for the one which has the same id: objects that count as warm
// there, failures, loads that other VMs have seen, and outcomes of requests that were sent to the earlier start.
func TestEarlierStart(t *testing.T) {
	const object = 9
	instances := func(millis int64) (vew *view.View) {
		flt := newFleet(1).with("a-1", 6)
		for num := range flt.changes {
			if ins := flt.changes[num].Instance; ins != nil {
				ins.StartMillis = millis
			}
		}
		return flt.view()
	}
	answered := func(id cardamompass.InstanceID, millis int64) (out place.Outcome) {
		return place.Outcome{
			Instance:     id,
			StartMillis:  millis,
			AffinityHash: object,
		}
	}
	tests := []struct {
		name string
		do   func(bal *place.Balancer, id cardamompass.InstanceID) // before the instance has started again
		late func(bal *place.Balancer, id cardamompass.InstanceID) // after it
	}{
		{
			name: "warm object",
			do:   func(bal *place.Balancer, id cardamompass.InstanceID) { bal.RecordOutcome(answered(id, 100), start) },
		},
		{
			name: "late answer",
			late: func(bal *place.Balancer, id cardamompass.InstanceID) { bal.RecordOutcome(answered(id, 100), start) },
		},
		{
			name: "late failures",
			late: func(bal *place.Balancer, id cardamompass.InstanceID) {
				for range 4 {
					bal.RecordOutcome(place.Outcome{Instance: id, StartMillis: 100, Result: place.ResultFailed}, start)
				}
			},
		},
		{
			name: "unreachable before",
			late: func(bal *place.Balancer, id cardamompass.InstanceID) {
				bal.RecordOutcome(place.Outcome{Instance: id, StartMillis: 100, Result: place.ResultUnreachable}, start)
			},
		},
		{
			name: "late load of another VM",
			late: func(bal *place.Balancer, id cardamompass.InstanceID) {
				bal.RecordPeerLoad(id, cardamompass.Load{Running: 6, Waiting: 15, Slots: 6, Slowness: 8}, 50*time.Millisecond, start.Add(10*time.Millisecond))
			},
		},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			untouched, bal := newBoard(1), newBoard(1)
			for _, brd := range []*place.Balancer{untouched, bal} {
				brd.Sync(instances(100), start)
			}
			first, _ := bal.Choose(query(object, start))
			id := first.Instance.ID
			if tst.do != nil {
				tst.do(bal, id)
			}
			for _, brd := range []*place.Balancer{untouched, bal} {
				brd.Sync(instances(200), start)
			}
			if tst.late != nil {
				tst.late(bal, id)
			}
			want, _ := untouched.Choose(query(object, start))
			got, ok := bal.Choose(query(object, start))
			if !ok || got.Instance.ID != id || got.Warm || got.Expected != want.Expected || got.Load != want.Load {
				t.Fatalf("choice %+v, want %+v", got, want)
			}
		})
	}
}

// Guards against a request that ends after its instance has started again and whose place is taken from the requests there.
func TestRequestsInFlightAtEarlierStart(t *testing.T) {
	const requests = 3
	bal := newBoard(1)
	flt := newFleet(1).with("a-1", 1)
	ins := flt.changes[len(flt.changes)-1].Instance
	for _, millis := range []int64{100, 200} {
		ins.StartMillis = millis
		bal.Sync(flt.view(), start)
		for range requests {
			bal.RecordSent(ins.ID, start)
		}
	}
	for range requests {
		bal.RecordOutcome(place.Outcome{Instance: ins.ID, StartMillis: 100, Result: place.ResultFailed}, start)
	}
	if chc, ok := bal.Choose(query(9, start)); !ok || chc.Load != requests {
		t.Fatalf("%+v, want a load of %d", chc, requests)
	}
}
