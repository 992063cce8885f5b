package oper_test

import (
	"bytes"
	"context"
	"encoding/gob"
	"errors"
	"fmt"
	"io"
	"net"
	"net/rpc"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"cardamompass"
	"cardamompass/internal/edge/oper"
)

// manualClock is a clock that the test advances.
type manualClock struct {
	cardamompass.SystemClock
	now time.Time
}

func (clk *manualClock) Now() time.Time { return clk.now }

var (
	homeVM = cardamompass.VM{
		ID:          "home",
		Incarnation: 7,
	}
	nextVM = cardamompass.VM{
		ID:          "next",
		Incarnation: 8,
	}
)

func newTable(t *testing.T, self cardamompass.VM, records int) (tab *oper.Table, clk *manualClock) {
	t.Helper()
	clk = &manualClock{
		now: time.Unix(1_700_000_000, 0),
	}
	tab, err := oper.NewTable(oper.TableConfig{
		Self:             self,
		Clock:            clk,
		MaxRecords:       records,
		MaxResponseBytes: 2 << 20,
	})
	if err != nil {
		t.Fatal(err)
	}
	return tab, clk
}

func operation(clk *manualClock, rid string, age time.Duration) oper.Operation {
	return oper.Operation{
		Ticket:  oper.Issue(homeVM, clk.now.Add(-age)),
		Request: cardamompass.RequestID(rid),
	}
}

// begin returns the state that an attempt finds, "run" if it has to run the operation, or "invalid".
func begin(tab *oper.Table, opn oper.Operation, hsh oper.Hash, attempt int) string {
	run, pnd, err := tab.Begin(opn, hsh, attempt)
	if run || err != nil {
		return map[bool]string{true: "run", false: "invalid"}[run]
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return pnd.Wait(ctx).State.String()
}

// Guards against a wrong decision about the next attempt of an operation, and against a refusal that reports not-run
// without being certain.
func TestTable(t *testing.T) {
	type step func(*oper.Table, *manualClock, oper.Operation)
	// finish begins attempts with the given counts, finishes the operation with oct and advances the clock.
	finish := func(oct oper.Outcome, pass time.Duration, attempts ...int) step {
		return func(tab *oper.Table, clk *manualClock, opn oper.Operation) {
			for _, attempt := range attempts {
				begin(tab, opn, oper.Hash{}, attempt)
			}
			tab.Finish(opn, oct)
			clk.now = clk.now.Add(pass)
		}
	}
	answered, notRun := oper.Outcome{State: oper.StateAnswered}, oper.Outcome{State: oper.StateNotRun}
	large := oper.Outcome{State: oper.StateAnswered, Body: make([]byte, oper.MaxRecordResponseBytes+1)}
	tests := []struct {
		name    string
		before  step
		age     time.Duration
		attempt int
		hash    oper.Hash
		want    string
	}{
		{name: "new", attempt: 1, want: "run"},
		{name: "new, attempts not counted", want: "run"},
		{name: "oldest ticket", age: 5 * time.Minute, want: "run"},
		{name: "expired ticket", age: 5*time.Minute + time.Second, attempt: 1, want: "unknown"},
		{name: "earliest ticket", age: -30 * time.Second, want: "run"},
		{name: "early ticket, first attempt", age: -31 * time.Second, attempt: 1, want: "not-run"},
		{name: "early ticket, second attempt", age: -31 * time.Second, attempt: 2, want: "unknown"},
		{name: "early ticket, not counted", age: -31 * time.Second, want: "unknown"},
		{name: "running", before: func(tab *oper.Table, _ *manualClock, opn oper.Operation) {
			begin(tab, opn, oper.Hash{}, 1)
		}, attempt: 2, want: "unknown"},
		{name: "answered", before: finish(answered, 0, 1), attempt: 2, want: "answered"},
		{name: "unknown", before: finish(oper.Outcome{State: oper.StateUnknown}, 0, 1), attempt: 2, want: "unknown"},
		{name: "different content", before: finish(answered, 0, 1), attempt: 2, hash: oper.Hash{1}, want: "invalid"},
		{name: "not run, retried", before: finish(notRun, 0, 1), attempt: 2, want: "run"},
		{name: "not run, late copy", before: finish(notRun, 0, 1), attempt: 1, want: "not-run"},
		{name: "not run, not counted", before: finish(notRun, 0, 1), want: "not-run"},
		{name: "not run, late copy of a waiting attempt", before: finish(notRun, 0, 1, 3), attempt: 2, want: "not-run"},
		{name: "table full, first attempt", before: func(tab *oper.Table, clk *manualClock, _ oper.Operation) {
			begin(tab, operation(clk, "x", 0), oper.Hash{}, 1)
			begin(tab, operation(clk, "y", 0), oper.Hash{}, 1)
		}, attempt: 1, want: "not-run"},
		{name: "end of retention", before: finish(answered, oper.Retention-1, 1), want: "answered"},
		{name: "dropped after retention", before: finish(answered, oper.Retention, 1), attempt: 1, want: "unknown"},
		{name: "response over the size limit", before: finish(large, 0, 1), attempt: 2, want: "ran"},
		{name: "closed by a planned stop", before: func(tab *oper.Table, _ *manualClock, _ oper.Operation) {
			tab.Export(context.Background())
		}, attempt: 2, want: "not-run"},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			tab, clk := newTable(t, homeVM, 2)
			opn := operation(clk, "op", tst.age)
			if tst.before != nil {
				tst.before(tab, clk, opn)
			}
			if got := begin(tab, opn, tst.hash, tst.attempt); got != tst.want {
				t.Fatalf("got %s, want %s", got, tst.want)
			}
		})
	}
}

// Guards against a successor that answers not-run while records are missing, against chunks over the size limit, and
// against an import that is not idempotent.
func TestHandover(t *testing.T) {
	tab, clk := newTable(t, homeVM, 1000)
	for idx := range 100 {
		opn := operation(clk, fmt.Sprint("op-", idx), 0)
		begin(tab, opn, oper.Hash{}, 1)
		tab.Finish(opn, oper.Outcome{
			State: oper.StateAnswered,
			Body:  bytes.Repeat([]byte("b"), idx*600),
		})
	}
	open := operation(clk, "open", 0)
	begin(tab, open, oper.Hash{}, 1)
	over, cancel := context.WithCancel(t.Context())
	cancel()
	chs := tab.Export(over)
	next, _ := newTable(t, nextVM, 1000)
	absent := operation(clk, "absent", 0)
	if got := next.Status(absent).State; got != oper.StateUnknown {
		t.Errorf("before the handover: %v, want unknown", got)
	}
	for idx, chk := range chs {
		var buf bytes.Buffer
		if err := gob.NewEncoder(&buf).Encode(chk); err != nil || buf.Len() > oper.MaxChunkBytes {
			t.Fatalf("chunk %d has %d bytes, error %v", idx, buf.Len(), err)
		}
		if got := next.Status(absent).State; got != oper.StateUnknown {
			t.Errorf("after %d of %d chunks: %v, want unknown", idx, len(chs), got)
		}
		for range 2 {
			if err := next.Import(chk); err != nil {
				t.Fatal(err)
			}
		}
	}
	sts := next.Stats()
	if len(chs) < 2 || sts.Records != 101 || sts.ResponseBytes != (99*100-54*55)/2*600 || sts.Complete != 1 || sts.Partial != 0 {
		t.Errorf("%d chunks, %+v", len(chs), sts)
	}
	for opn, want := range map[oper.Operation]oper.State{
		absent:                                oper.StateNotRun,
		open:                                  oper.StateUnknown,
		operation(clk, "op-54", 0):            oper.StateRan, // its response was dropped because of MaxResponseBytes
		operation(clk, "op-55", 0):            oper.StateAnswered,
		operation(clk, "old", 10*time.Minute): oper.StateUnknown,
	} {
		if got := next.Status(opn).State; got != want {
			t.Errorf("%s: %v, want %v", opn.Request, got, want)
		}
	}
	if err := tab.Import(chs[0]); err == nil {
		t.Error("the home imported its own records")
	}
}

// Guards against a run that ends when its caller disconnects, so that a retry would not find the outcome.
func TestRunOutlivesCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := &simulation{
			current: make([]*node, 1),
			members: make([]cardamompass.Member, 1),
		}
		nod := sim.start(0)
		defer nod.cleanup()
		req := cardamompass.Request{
			ID:       "op",
			Ticket:   oper.Issue(nod.vm, nod.clk.Now()).String(),
			Deadline: nod.clk.Now().Add(10 * time.Second),
		}
		runs := 0
		execute := func(context.Context, cardamompass.Request) (cardamompass.Response, error) {
			runs++
			time.Sleep(2 * time.Second)
			return cardamompass.Response{
				Body: io.NopCloser(strings.NewReader("done")),
			}, nil
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		var uoe *cardamompass.UnknownOutcomeError
		if _, err := nod.svc.Run(ctx, req, execute); !errors.As(err, &uoe) {
			t.Errorf("error %v, want unknown", err)
		}
		rsp, err := nod.svc.Run(t.Context(), req, execute)
		if err != nil || runs != 1 {
			t.Fatalf("error %v after %d runs", err, runs)
		}
		if body, _ := io.ReadAll(rsp.Body); string(body) != "done" {
			t.Errorf("body %q", body)
		}
	})
}

// rpcCaller is a PeerCaller over net/rpc.
type rpcCaller struct{ clt *rpc.Client }

func (cal rpcCaller) Call(_ context.Context, _, method string, args, reply any) error {
	return cal.clt.Call(method, args, reply)
}

// Guards against methods that net/rpc does not accept, and against an outcome that changes in transit between two VMs.
func TestForwardOverRPC(t *testing.T) {
	clientEnd, serverEnd := net.Pipe()
	srv, clt := rpc.NewServer(), rpc.NewClient(clientEnd)
	defer clt.Close()
	gone := cardamompass.VM{
		ID:          "gone",
		Incarnation: 9,
	}
	services := map[cardamompass.VMID]*oper.Service{}
	for _, self := range []cardamompass.VM{homeVM, nextVM} {
		tab, clk := newTable(t, self, 10)
		svc, cleanup, err := oper.New(oper.Config{
			Table: tab,
			Membership: peerNetwork{
				sim: &simulation{
					members: []cardamompass.Member{{VM: homeVM}, {VM: nextVM}, {VM: gone}},
				},
			},
			Peers: rpcCaller{clt: clt},
			Clock: clk,
			Execute: func(_ context.Context, req cardamompass.Request) (rsp cardamompass.Response, err error) {
				if req.ID == "shed" {
					return rsp, &cardamompass.NotRunError{Reason: "shed"}
				}
				return cardamompass.Response{Status: 201, Body: io.NopCloser(bytes.NewReader(req.Body))}, nil
			},
		})
		if err != nil {
			t.Fatal(err)
		}
		defer cleanup()
		services[self.ID] = svc
	}
	if err := srv.RegisterName("Oper", services[homeVM.ID]); err != nil {
		t.Fatal(err)
	}
	go srv.ServeConn(serverEnd)
	req := cardamompass.Request{
		ID:     "op",
		Ticket: oper.Issue(homeVM, time.Unix(1_700_000_000, 0)).String(),
		Body:   []byte("whole"),
	}
	rsp, err := services[nextVM.ID].Run(t.Context(), req, nil)
	if err != nil {
		t.Fatal(err)
	}
	if body, _ := io.ReadAll(rsp.Body); string(body) != "whole" || rsp.Status != 201 {
		t.Errorf("response %+v, body %q", rsp, body)
	}
	req.ID = "shed"
	var nre *cardamompass.NotRunError
	if _, err = services[nextVM.ID].Run(t.Context(), req, nil); !errors.As(err, &nre) {
		t.Errorf("error %v, want not-run", err)
	}
	req.ID, req.Body = "op", nil
	var ive *cardamompass.InvalidError
	if _, err = services[nextVM.ID].Run(t.Context(), req, nil); !errors.As(err, &ive) {
		t.Errorf("error %v, want invalid", err)
	}
	gone.Incarnation--
	services[homeVM.ID].Handover(&oper.Chunk{
		Home:        gone.ID,
		Incarnation: gone.Incarnation,
		Count:       1,
		HomeMs:      1_700_000_000_000,
	}, new(oper.HandoverReply))
	services[nextVM.ID].RecordDeparture(cardamompass.Member{
		VM: gone,
	}.WithState(cardamompass.StateLeft).WithSuccessor(homeVM.ID))
	req.Ticket = oper.Issue(gone, time.Unix(1_700_000_000, 0)).String()
	if _, err = services[nextVM.ID].Run(t.Context(), req, nil); !errors.As(err, &nre) {
		t.Errorf("home that left and restarted: error %v, want its successor's not-run", err)
	}
}
