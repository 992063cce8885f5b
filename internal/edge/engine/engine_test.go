package engine_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"cardamompass"
	"cardamompass/internal/conf/catlg"
	"cardamompass/internal/edge/dump"
	"cardamompass/internal/edge/engine"
	"cardamompass/internal/edge/relay"
	"cardamompass/internal/fleet/share"
	"cardamompass/internal/plat/kvhttp"
	"cardamompass/internal/stand/ctrl"
	"cardamompass/internal/stand/kvsrv"
	"cardamompass/internal/stand/target"
	"cardamompass/internal/steer/guard"
	"cardamompass/internal/steer/health"
)

// singleMember is a membership with one VM.
type singleMember struct{ mbr cardamompass.Member }

func (aln singleMember) Self() cardamompass.Member { return aln.mbr }

func (aln singleMember) Members() []cardamompass.Member { return []cardamompass.Member{aln.mbr} }

// fixture is an engine with simulated targets in one region.
type fixture struct {
	eng     *engine.Engine
	targets []*target.Target
	recent  *dump.DecisionLog
	guard   *guard.Guard
	class   cardamompass.Class
}

func newFixture(t *testing.T, class cardamompass.Class, slots ...int) *fixture {
	t.Helper()
	fxt := &fixture{
		recent: dump.NewDecisionLog(16),
		class:  class,
	}
	doc := catlg.Empty()
	put := func(ent catlg.Entry, err error) {
		if err != nil {
			t.Fatal(err)
		}
		doc = doc.WithEntry(ent)
	}
	put(catlg.NewEntry("region/gulf", "o", cardamompass.RegionInfo{
		Name:           "gulf",
		FailureDomains: []cardamompass.FailureDomain{"a"},
	}))
	put(catlg.NewEntry("service/svc", "o", cardamompass.Service{
		Name:         "svc",
		Class:        class,
		MaxTimeout:   10 * time.Second,
		MaxBodyBytes: 1 << 10,
		QueueLength:  16,
	}))
	for num, count := range slots {
		tgt, stop, err := target.New(target.Config{
			Address: "127.0.0.1:0",
			Slots:   count,
			Behaviour: target.Behaviour{
				WhenFull: target.Shed,
			},
		})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(stop)
		fxt.targets = append(fxt.targets, tgt)
		tid := cardamompass.TargetID(fmt.Sprint("t", num))
		put(catlg.NewEntry(catlg.TargetEntry(tid), "o", cardamompass.Target{
			ID:            tid,
			Service:       "svc",
			Region:        "gulf",
			FailureDomain: "a",
			Address:       tgt.Address(),
			Slots:         count,
			Connections:   100,
		}))
	}
	fxt.guard = guard.New(guard.Config{Self: "vm-1", Incarnation: 1})
	fxt.eng = newEngine(t, fxt.recent, fxt.guard)
	fxt.eng.SetCatalogue(catlg.NewCatalogue(doc))
	return fxt
}

func newEngine(t *testing.T, recent *dump.DecisionLog, grd *guard.Guard) *engine.Engine {
	t.Helper()
	self := cardamompass.VM{
		ID:          "vm-1",
		Incarnation: 1,
		Region:      "gulf",
	}
	members := singleMember{
		mbr: cardamompass.Member{
			VM: self,
		},
	}
	srv, stop, err := kvsrv.New(kvsrv.Config{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	address, stop, err := ctrl.Serve("127.0.0.1:0", srv)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	sto, stop, err := kvhttp.New(kvhttp.Config{
		Address: address,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	pol := share.New(share.Config{
		Owner: share.Owner{
			VM:          self.ID,
			Incarnation: self.Incarnation,
		},
		Store:    sto,
		Members:  members,
		Clock:    cardamompass.SystemClock{},
		Log:      zap.NewNop(),
		LeaseTTL: time.Hour,
		LoanTTL:  time.Second,
	})
	t.Cleanup(pol.Start())
	rly, stop, err := relay.New(relay.Config{
		Clock: cardamompass.SystemClock{},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	eng, stop := engine.New(engine.Config{
		Self:         self,
		Clock:        cardamompass.SystemClock{},
		Log:          zap.NewNop(),
		Scope:        tally.NoopScope,
		Relay:        rly,
		Tracker:      health.New(health.Config{Self: self.ID}),
		Guard:        grd,
		Pool:         pol,
		Report:       func(context.Context, guard.Report) {},
		Recent:       recent,
		Members:      members,
		HedgePercent: 3,
		RetryPercent: 10,
	})
	t.Cleanup(stop)
	return eng
}

func (fxt *fixture) execute(
	t *testing.T, rid string, idempotent bool, timeout time.Duration, header http.Header,
) (cardamompass.Response, error) {
	t.Helper()
	return fxt.eng.Execute(t.Context(), cardamompass.Request{
		ID:           cardamompass.RequestID(rid),
		Service:      "svc",
		Method:       http.MethodPost,
		Path:         "/" + rid,
		Header:       header,
		Idempotent:   idempotent,
		CallerRegion: "gulf",
		Deadline:     time.Now().Add(timeout),
	})
}

func (fxt *fixture) runs() (total int) {
	for _, tgt := range fxt.targets {
		total += tgt.Runs().Total
	}
	return total
}

// Guards against a second attempt of a non-idempotent request that may have run, and against failing an idempotent request because
// each target failed once.
func TestAttempts(t *testing.T) {
	tests := []struct {
		name       string
		fault      target.Fault
		idempotent bool
		want       cardamompass.Outcome
		runs       int
	}{
		{name: "non-idempotent, truncated response", fault: target.FaultTruncated, want: cardamompass.OutcomeUnknown, runs: 1},
		{name: "non-idempotent, wrong response id", fault: target.FaultWrongID, want: cardamompass.OutcomeUnknown, runs: 1},
		{name: "idempotent, truncated response", fault: target.FaultTruncated, idempotent: true, want: cardamompass.OutcomeAnswered, runs: 3},
		{name: "idempotent, wrong response id", fault: target.FaultWrongID, idempotent: true, want: cardamompass.OutcomeAnswered, runs: 3},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			fxt := newFixture(t, cardamompass.ClassShort, 2, 2)
			for _, tgt := range fxt.targets {
				tgt.InjectFaults(tst.fault, 1)
			}
			ans, err := fxt.execute(t, "r", tst.idempotent, 5*time.Second, nil)
			if got := engine.OutcomeOf(err); got != tst.want {
				t.Fatalf("outcome %s (%v), want %s", got, err, tst.want)
			}
			if err == nil {
				_ = ans.Body.Close()
			}
			if fxt.runs() != tst.runs {
				t.Fatalf("ran %d times, want %d", fxt.runs(), tst.runs)
			}
		})
	}
}

// Guards against content that crashes targets and is no suspect any more because a target had an error before it ran the content.
func TestErrorClearsNoSuspect(t *testing.T) {
	fxt := newFixture(t, cardamompass.ClassShort, 2)
	key := guard.KeyOf(&cardamompass.Request{
		Service: "svc",
		Method:  http.MethodPost,
		Path:    "/r",
	})
	now := time.Now()
	fxt.guard.Admit(key, "other", now)
	fxt.guard.Crashed("other", now, now)
	fxt.targets[0].InjectFaults(target.FaultError, 1)
	for _, suspects := range []int{1, 0} { // after an error and after a proper response
		ans, err := fxt.execute(t, "r", true, 5*time.Second, nil)
		if err != nil {
			t.Fatal(err)
		}
		_ = ans.Body.Close()
		if ents := fxt.guard.Entries(time.Now()); len(ents) != suspects {
			t.Errorf("after status %d: suspects %+v, want %d", ans.Status, ents, suspects)
		}
	}
}

// Guards against failing a non-idempotent request, or reporting its outcome as unknown, because the first target shed it.
func TestShedOperationRunsElsewhere(t *testing.T) {
	fxt := newFixture(t, cardamompass.ClassShort, 1, 1)
	fxt.targets[0].SetDraining(true)
	for num := range 4 {
		ans, err := fxt.execute(t, fmt.Sprint("r", num), false, 5*time.Second, nil)
		if err != nil {
			t.Fatalf("request %d: %v", num, err)
		}
		_ = ans.Body.Close()
	}
	if ran := fxt.targets[1].Runs().Total; ran != 4 {
		t.Fatalf("the serving target ran %d requests, want 4", ran)
	}
}

// Guards against releasing a slot while a long response is still being read, and against a slot that is never released.
func TestLongAnswerHoldsItsSlot(t *testing.T) {
	fxt := newFixture(t, cardamompass.ClassLong, 1)
	header := http.Header{
		target.HeaderResponseBytes: {fmt.Sprint(4 << 20)},
	}
	first, err := fxt.execute(t, "first", true, 9*time.Second, header)
	if err != nil {
		t.Fatal(err)
	}
	_, err = fxt.execute(t, "second", true, 100*time.Millisecond, nil)
	if got := engine.OutcomeOf(err); got != cardamompass.OutcomeNotRun {
		t.Fatalf("second request while the slot is held: outcome %s (%v), want not-run", got, err)
	}
	if size, err := io.Copy(io.Discard, first.Body); err != nil || size != 4<<20 {
		t.Fatalf("read %d bytes: %v", size, err)
	}
	_ = first.Body.Close()
	ans, err := fxt.execute(t, "third", true, 5*time.Second, nil)
	if err != nil {
		t.Fatalf("request after the slot is free: %v", err)
	}
	_ = ans.Body.Close()
}

// Guards against a failed request without a record of its routing decision.
func TestDecisionIsKept(t *testing.T) {
	fxt := newFixture(t, cardamompass.ClassShort, 1)
	fxt.targets[0].SetDraining(true)
	_, err := fxt.execute(t, "r", true, 200*time.Millisecond, nil)
	var nrn *cardamompass.NotRunError
	if !errors.As(err, &nrn) {
		t.Fatalf("got %v, want a NotRunError", err)
	}
	found := fxt.recent.Find("r")
	if len(found) != 1 || found[0].Outcome != cardamompass.OutcomeNotRun || found[0].Reason == "" {
		t.Fatalf("decisions %+v", found)
	}
}
