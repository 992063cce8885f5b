package place_test

import (
	"testing"
	"time"

	"cardamompass"
	"cardamompass/internal/steer/place"
)

// hedgeQuery is a query for a hedge beside an attempt at the first target of an object, which was sent 300 ms before now.
func hedgeQuery(bal *place.Balancer, object uint64, now time.Time) (qry place.Query, first place.Choice) {
	qry = query(object, now)
	first, _ = bal.Choose(qry)
	qry.Hedge = true
	qry.Tried = []cardamompass.InstanceID{first.Instance.ID}
	qry.First = &place.FirstAttempt{
		FailureDomain: first.Instance.FailureDomain,
		Sent:          now.Add(-300 * time.Millisecond),
	}
	return qry, first
}

// report records a result of each target of a failure domain, with a load.
func report(bal *place.Balancer, dom cardamompass.FailureDomain, running int, res place.Result, now time.Time) {
	for _, tgt := range bal.Dump(now).Targets {
		if tgt.Domain == dom {
			bal.RecordSent(tgt.Instance, now)
			bal.RecordOutcome(place.Outcome{
				Instance: tgt.Instance,
				Result:   res,
				Load:     &cardamompass.Load{Running: running, Slots: 6, Slowness: 1},
			}, now)
		}
	}
}

// Guards against hedges that meet the fault of the first attempt, because the preferred targets of an object are in one failure domain or
// the only target with capacity is in a failing one, and against hedges at loaded targets.
func TestHedgePrefersAnotherDomain(t *testing.T) {
	now := start.Add(10 * time.Second)
	for object := range uint64(100) {
		bal := newBoard(1)
		bal.Sync(newFleet(1).with("a-1", 6).with("a-2", 2).view(), start)
		qry, first := hedgeQuery(bal, object, now)
		chc, ok := bal.Choose(qry)
		if !ok || chc.Instance.FailureDomain == first.Instance.FailureDomain {
			t.Fatalf("object %d: hedge in %s beside %s", object, chc.Instance.FailureDomain, first.Instance.FailureDomain)
		}
		other := chc.Instance.FailureDomain
		report(bal, other, 3, place.ResultAnswered, now)
		if chc, ok = bal.Choose(qry); ok {
			t.Fatalf("object %d: hedge at %s, whose domain has reported nothing since the first attempt", object, chc.Instance.ID)
		}
		report(bal, first.Instance.FailureDomain, 0, place.ResultAnswered, now)
		if chc, ok = bal.Choose(qry); !ok || chc.Instance.FailureDomain == other || chc.Instance.ID == first.Instance.ID {
			t.Fatalf("object %d: %+v, want a target of the domain of the first", object, chc)
		}
		report(bal, first.Instance.FailureDomain, 0, place.ResultFailed, now)
		if chc, ok = bal.Choose(qry); ok || chc.Rejected.SameDomain != 1 {
			t.Fatalf("object %d: hedge at %s, whose domain fails", object, chc.Instance.ID)
		}
	}
}

// Guards against a mean load that leaves out targets, or counts those that a route can't use.
func TestMeanLoad(t *testing.T) {
	bal := newBoard(1)
	bal.Sync(newFleet(1).with("a-1", 2).with("b-1", 2).view(), start)
	report(bal, "a-1", 6, place.ResultAnswered, start)
	all, home := &cardamompass.Route{}, &cardamompass.Route{HomeRegions: []cardamompass.Region{"a"}}
	if one, two := bal.MeanLoad(service, all, start), bal.MeanLoad(service, home, start); one != 0.5 || two != 1 {
		t.Fatalf("load %v, and %v in region a; want 0.5 and 1", one, two)
	}
	if load := bal.MeanLoad("none", all, start); load != 0 {
		t.Fatalf("load %v without targets", load)
	}
}
