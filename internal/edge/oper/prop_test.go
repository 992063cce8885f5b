package oper_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"go.uber.org/goleak"

	"cardamompass"
	"cardamompass/internal/edge/oper"
)

var seedFlag = flag.Int64("seed", time.Now().UnixNano(), "seed of the property test")

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const operations, sendings = 6, 5

// fault lets one thing go wrong.
func (wld *world) fault() {
	idx := wld.number("victim", 3)
	wld.mu.Lock()
	nod := wld.nodes[idx]
	wld.mu.Unlock()
	switch wld.number("fault", 4) {
	case 0:
		wld.crash(idx, nod)
	case 1:
		wld.mu.Lock()
		nod.resume = time.Now().Add(time.Duration(wld.number("pause", 8000)) * time.Millisecond)
		wld.mu.Unlock()
	case 2:
		peer := fmt.Sprint("peer-", wld.number("peer", 3))
		wld.mu.Lock()
		wld.blocked[nod.vm.PeerAddress+peer] = !wld.blocked[nod.vm.PeerAddress+peer]
		wld.mu.Unlock()
	case 3:
		wld.leave(idx, nod)
	}
}

// crash ends the run of a VM and starts the next one. The membership may learn of it late.
func (wld *world) crash(idx int, nod *node) {
	wld.mu.Lock()
	nod.dead = true
	wld.members[idx].State = cardamompass.StateDead
	wld.mu.Unlock()
	nod.cleanup()
	wld.delay("restart")
	wld.start(idx)
}

// leave is a planned stop with a handover to another VM.
func (wld *world) leave(idx int, nod *node) {
	next := (idx + 1) % 3
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	wld.mu.Lock()
	successor := wld.nodes[next].vm
	wld.members[idx].State = cardamompass.StateLeaving
	wld.mu.Unlock()
	nod.svc.TransferRecords(ctx, successor, time.Second)
	wld.mu.Lock()
	wld.members[idx].State = cardamompass.StateLeft
	wld.members[idx].Successor = successor.ID
	for _, other := range wld.nodes {
		other.svc.RecordDeparture(wld.members[idx])
	}
	wld.mu.Unlock()
	time.Sleep(time.Duration(wld.number("left", 10_000)) * time.Millisecond)
	wld.crash(idx, nod)
}

// call sends an operation again and again until it gets an answer. Sendings overlap: a caller gives up early at times.
func (wld *world) call(num int) {
	rid := fmt.Sprint("op-", num)
	wld.delay(rid)
	wld.mu.Lock()
	home := wld.nodes[wld.number(rid+"home", 3)]
	issuer := wld.nodes[wld.number(rid+"issuer", 3)]
	wld.mu.Unlock()
	req := cardamompass.Request{
		ID:     cardamompass.RequestID(rid),
		Ticket: oper.Issue(home.vm, issuer.clk.Now()).String(),
		Method: "POST",
		Path:   "/refund",
	}
	counts := wld.chance(rid+"counts", 70)
	for idx := range sendings {
		if counts {
			req.Attempt = idx + 1
		}
		if wld.send(req, rid) {
			return
		}
		if wld.chance(rid+"late", 5) {
			time.Sleep(11 * time.Minute)
		}
	}
}

// send is one sending through a random VM. It reports whether the caller is done.
func (wld *world) send(req cardamompass.Request, rid string) (done bool) {
	wld.mu.Lock()
	entry := wld.nodes[wld.number(rid+"entry", 3)]
	wld.sent[rid] = append(wld.sent[rid], time.Now())
	wld.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(wld.number(rid+"patience", 4000)+1)*time.Millisecond)
	defer cancel()
	req.Deadline = entry.clk.Now().Add(4 * time.Second)
	result := make(chan error, 1)
	go func() {
		wld.delay(rid + "there")
		if wld.awake(entry) {
			result <- wld.run(entry, ctx, req)
		}
	}()
	select {
	case err := <-result:
		var nre *cardamompass.NotRunError
		if !wld.awake(entry) {
			return false
		}
		if errors.As(err, &nre) {
			wld.mu.Lock()
			wld.notRun[rid] = append(wld.notRun[rid], time.Now())
			wld.mu.Unlock()
			wld.delay(rid + "back")
		}
		return err == nil
	case <-ctx.Done():
		return false
	}
}

// run uses the service, or the naive version: it retries once on any error, and reports what failed twice as not run.
func (wld *world) run(entry *node, ctx context.Context, req cardamompass.Request) (err error) { //nolint:revive // test
	if !wld.naive {
		_, err = entry.svc.Run(ctx, req, wld.execute(entry))
		return err
	}
	for range 2 {
		if _, err = wld.execute(entry)(ctx, req); err == nil {
			return nil
		}
	}
	return &cardamompass.NotRunError{
		Reason: err.Error(),
	}
}

// play runs one scenario and counts the violations of at-most-once and of the truth of not-run.
func play(t *testing.T, seed int64, naive bool) (twice, untrue, answered int) {
	synctest.Test(t, func(*testing.T) {
		wld := &world{
			seed:    seed,
			naive:   naive,
			nodes:   make([]*node, 3),
			members: make([]cardamompass.Member, 3),
			blocked: map[string]bool{},
			arrived: map[string][]time.Time{},
			sent:    map[string][]time.Time{},
			notRun:  map[string][]time.Time{},
		}
		for idx := range 3 {
			wld.start(idx)
		}
		var wgr sync.WaitGroup
		for num := range operations {
			wgr.Go(func() { wld.call(num) })
		}
		wgr.Go(func() {
			for range 6 {
				wld.delay("fault")
				wld.fault()
			}
		})
		wgr.Wait()
		time.Sleep(time.Minute)
		for _, nod := range wld.all {
			nod.cleanup()
		}
		time.Sleep(time.Minute)
		twice, untrue, answered = wld.verdict()
	})
	return twice, untrue, answered
}

// verdict counts operations that ran twice and not-runs that were not true: the operation ran before, or afterwards
// although the caller did not send it again in between.
func (wld *world) verdict() (twice, untrue, answered int) {
	wld.mu.Lock()
	defer wld.mu.Unlock()
	for rid, runs := range wld.arrived {
		answered++
		if len(runs) > 1 {
			twice++
		}
		for _, told := range wld.notRun[rid] {
			if slices.ContainsFunc(runs, func(ran time.Time) bool { return !wld.sentBetween(rid, told, ran) }) {
				untrue++
			}
		}
	}
	return twice, untrue, answered
}

// sentBetween reports whether the caller sent the operation again after it was told not-run and before it ran.
func (wld *world) sentBetween(rid string, told, ran time.Time) bool {
	return slices.ContainsFunc(wld.sent[rid], func(sent time.Time) bool { return sent.After(told) && !sent.After(ran) })
}

// Guards against an operation that runs twice and a not-run that is not true, under crash, pause, one-way cut, late
// messages, handover and clock skew. The naive version must fail both checks on the same seeds.
func TestAtMostOnce(t *testing.T) {
	t.Logf("repeat with -seed=%d", *seedFlag)
	prm := gopter.DefaultTestParametersWithSeed(*seedFlag)
	prm.MinSuccessfulTests = 300
	prm.MaxShrinkCount = 0
	var ran, naiveTwice, naiveUntrue int
	prs := gopter.NewProperties(prm)
	prs.Property("each operation runs at most once and each not-run is true", prop.ForAll(func(scenario int64) string {
		twice, untrue, arrived := play(t, scenario, false)
		ran += arrived
		ntw, nun, _ := play(t, scenario, true)
		naiveTwice += ntw
		naiveUntrue += nun
		if twice+untrue > 0 {
			return fmt.Sprintf("scenario %d: %d ran twice, %d untrue not-runs", scenario, twice, untrue)
		}
		return ""
	}, gen.Int64()))
	prs.TestingRun(t)
	t.Logf("operations that ran: %d; naive: %d ran twice, %d untrue not-runs", ran, naiveTwice, naiveUntrue)
	if naiveTwice == 0 || naiveUntrue == 0 || ran == 0 {
		t.Error("the check did not find the faults of the naive version, or nothing ran")
	}
}
