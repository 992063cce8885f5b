package place_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"cardamompass"
	"cardamompass/internal/fleet/view"
	"cardamompass/internal/steer/place"
)

// onlyTarget returns a view with one instance, started at millis.
func onlyTarget(millis int64, leaving bool) (vew *view.View) {
	return view.Empty().WithListing([]cardamompass.Change{{
		Instance: &cardamompass.Instance{
			ID:            "i-1",
			Service:       service,
			Region:        "a",
			FailureDomain: "a-1",
			Address:       "10.0.0.1:1",
			Slots:         6,
			Leaving:       leaving,
			StartMillis:   millis,
		},
	}}, cardamompass.Position{Revision: 1}, view.Outage{}, start)
}

// Guards against requests to a target that has stated that it is leaving or that it wants none, and against one that is left out
// although it has started again or its time has passed.
func TestStanding(t *testing.T) {
	leaving := place.Outcome{Instance: "i-1", StartMillis: 100, Leaving: true}
	backoff := place.Outcome{Instance: "i-1", StartMillis: 100, Result: place.ResultShed, Backoff: 3 * time.Second}
	tests := []struct {
		name string
		do   func(bal *place.Balancer)
		at   time.Duration
		ok   bool
	}{
		{"nothing", func(*place.Balancer) {}, 0, true},
		{"leaving", func(bal *place.Balancer) { bal.RecordOutcome(leaving, start) }, time.Hour, false},
		{"leaving, entry removed and back", func(bal *place.Balancer) {
			bal.RecordOutcome(leaving, start)
			bal.Sync(view.Empty(), start)
			bal.Sync(onlyTarget(100, false), start)
		}, time.Minute, false},
		{"leaving stated while the entry is away", func(bal *place.Balancer) {
			bal.Sync(view.Empty(), start)
			bal.RecordOutcome(leaving, start)
			bal.Sync(onlyTarget(100, false), start)
		}, time.Minute, false},
		{"leaving, started again", func(bal *place.Balancer) {
			bal.RecordOutcome(leaving, start)
			bal.Sync(onlyTarget(200, false), start)
		}, 0, true},
		{"stated by the earlier start after the new one", func(bal *place.Balancer) {
			bal.Sync(onlyTarget(200, false), start)
			bal.RecordOutcome(leaving, start)
		}, 0, true},
		{"hint", func(bal *place.Balancer) { bal.RecordPeerLeaving("i-1", 100, start) }, 5 * time.Second, false},
		{"hint that is old", func(bal *place.Balancer) { bal.RecordPeerLeaving("i-1", 100, start) }, 11 * time.Second, true},
		{"hint about an earlier start", func(bal *place.Balancer) { bal.RecordPeerLeaving("i-1", 99, start) }, 0, true},
		{"hint, entry draining and then ready", func(bal *place.Balancer) {
			bal.RecordPeerLeaving("i-1", 100, start)
			bal.Sync(onlyTarget(100, true), start)
			bal.Sync(onlyTarget(100, false), start)
		}, time.Second, true},
		{"backs off", func(bal *place.Balancer) { bal.RecordOutcome(backoff, start) }, 2999 * time.Millisecond, false},
		{"back-off has passed", func(bal *place.Balancer) { bal.RecordOutcome(backoff, start) }, 3001 * time.Millisecond, true},
		{"shorter back-off after a longer one", func(bal *place.Balancer) {
			bal.RecordOutcome(backoff, start)
			bal.RecordOutcome(place.Outcome{Instance: "i-1", StartMillis: 100, Backoff: time.Second}, start.Add(time.Second))
		}, 2500 * time.Millisecond, false},
		{"backs off, started again", func(bal *place.Balancer) {
			bal.RecordOutcome(backoff, start)
			bal.Sync(onlyTarget(200, false), start)
		}, time.Second, true},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			bal := newBoard(1)
			bal.Sync(onlyTarget(100, false), start)
			tst.do(bal)
			chc, ok := bal.Choose(query(1, start.Add(tst.at)))
			if ok != tst.ok {
				t.Fatalf("choice %+v, %v", chc, ok)
			}
		})
	}
}

// Guards against a request that is sent by a slow VM long after its target was chosen.
func TestMaySend(t *testing.T) {
	bal := newBoard(1)
	bal.Sync(onlyTarget(100, false), start)
	chc, _ := bal.Choose(query(1, start))
	if !bal.MaySend(chc.Instance, start) {
		t.Fatal("withheld without a reason")
	}
	bal.RecordOutcome(place.Outcome{Instance: "i-1", StartMillis: 100, Backoff: time.Second}, start)
	if bal.MaySend(chc.Instance, start) || !bal.MaySend(chc.Instance, start.Add(2*time.Second)) {
		t.Fatal("sent in the back-off, or withheld after it")
	}
	bal.Sync(onlyTarget(200, false), start)
	if bal.MaySend(chc.Instance, start.Add(2*time.Second)) {
		t.Fatal("sent to a start that has ended")
	}
}

// Guards against a wait that is not the time until the first target wants requests, and against one while another target is only full.
func TestWaitForBackoff(t *testing.T) {
	bal := newBoard(1)
	bal.Sync(newFleet(1).with("a-1", 4).view(), start)
	for num, dur := range []time.Duration{4 * time.Second, 2 * time.Second, 3 * time.Second} {
		bal.RecordOutcome(place.Outcome{
			Instance: cardamompass.InstanceID(fmt.Sprintf("i-%03d", num+1)),
			Backoff:  dur,
		}, start)
	}
	reportLoad(bal, "i-004", 100)
	if chc, ok := bal.Choose(query(1, start)); ok || chc.Wait != 0 || chc.Rejected.Backoff != 3 {
		t.Fatalf("choice %+v, %v", chc, ok)
	}
	bal.RecordOutcome(place.Outcome{Instance: "i-004", Leaving: true}, start)
	if chc, ok := bal.Choose(query(1, start.Add(time.Second))); ok || chc.Wait != time.Second || chc.Rejected.Leaving != 1 {
		t.Fatalf("choice %+v, %v", chc, ok)
	}
}

// Guards against any sequence of responses, registrations, restarts and hints that brings a leaving target back or sends a request
// within a back-off.
func TestStandingProperty(t *testing.T) {
	seed := uint64(time.Now().UnixNano())
	t.Logf("seed %d", seed)
	params := gopter.DefaultTestParametersWithSeed(int64(seed >> 1))
	params.MinSuccessfulTests = 300
	props := gopter.NewProperties(params)
	props.Property("a start that leaves or backs off gets no request", prop.ForAll(
		func(events []int) (ok bool) {
			rnd := rand.New(rand.NewPCG(seed, uint64(len(events))))
			bal := newBoard(1)
			now, millis := start, int64(100)
			left := make(map[int64]bool)
			until := make(map[int64]time.Time)
			bal.Sync(onlyTarget(millis, false), now)
			for _, evt := range events {
				now = now.Add(time.Duration(rnd.IntN(700)) * time.Millisecond)
				stated := millis - int64(rnd.IntN(2)) // this start or the one before
				switch evt {
				case 0:
					bal.RecordOutcome(place.Outcome{Instance: "i-1", StartMillis: stated, Leaving: true}, now)
					left[stated] = true
				case 1:
					dur := time.Duration(rnd.IntN(3000)) * time.Millisecond
					bal.RecordOutcome(place.Outcome{Instance: "i-1", StartMillis: stated, Backoff: dur}, now)
					if end := now.Add(dur); end.After(until[stated]) {
						until[stated] = end
					}
				case 2:
					bal.Sync(onlyTarget(millis, rnd.IntN(2) == 0), now)
				case 3:
					bal.Sync(view.Empty(), now)
				case 4:
					millis++
					bal.Sync(onlyTarget(millis, false), now)
				case 5:
					bal.RecordPeerLeaving("i-1", stated, now)
				case 6:
					bal.RecordOutcome(place.Outcome{Instance: "i-1", StartMillis: stated}, now)
				case 7:
					bal.RecordSent("i-1", now)
				}
				chc, chosen := bal.Choose(query(1, now))
				sent := chosen || bal.MaySend(chc.Instance, now)
				start := chc.Instance.StartMillis
				if sent && (left[start] || now.Before(until[start])) {
					return false
				}
			}
			return true
		},
		gen.SliceOf(gen.IntRange(0, 7)),
	))
	props.TestingRun(t)
}
