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

const operationCount, maxAttempts = 6, 5

// injectFault injects a crash, a pause, a cut link in one direction or a planned stop at a random VM.
func (sim *simulation) injectFault() {
	idx := sim.randomInt("victim", 3)
	sim.mu.Lock()
	nod := sim.current[idx]
	sim.mu.Unlock()
	switch sim.randomInt("fault", 4) {
	case 0:
		sim.crash(idx, nod)
	case 1:
		sim.mu.Lock()
		nod.pausedUntil = time.Now().Add(time.Duration(sim.randomInt("pause", 8000)) * time.Millisecond)
		sim.mu.Unlock()
	case 2:
		peer := fmt.Sprint("peer-", sim.randomInt("peer", 3))
		sim.mu.Lock()
		sim.blockedLinks[nod.vm.PeerAddress+peer] = !sim.blockedLinks[nod.vm.PeerAddress+peer]
		sim.mu.Unlock()
	case 3:
		sim.leave(idx, nod)
	}
}

// crash ends the process of a VM and starts its next incarnation after a random delay.
func (sim *simulation) crash(idx int, nod *node) {
	sim.mu.Lock()
	nod.dead = true
	sim.members[idx].State = cardamompass.StateDead
	sim.mu.Unlock()
	nod.cleanup()
	sim.randomDelay("restart")
	sim.start(idx)
}

// leave performs a planned stop with a handover to another VM, and restarts the VM.
func (sim *simulation) leave(idx int, nod *node) {
	next := (idx + 1) % 3
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	sim.mu.Lock()
	successor := sim.current[next].vm
	sim.members[idx].State = cardamompass.StateLeaving
	sim.mu.Unlock()
	nod.svc.TransferRecords(ctx, successor, time.Second)
	sim.mu.Lock()
	sim.members[idx].State = cardamompass.StateLeft
	sim.members[idx].Successor = successor.ID
	for _, other := range sim.current {
		other.svc.RecordDeparture(sim.members[idx])
	}
	sim.mu.Unlock()
	time.Sleep(time.Duration(sim.randomInt("left", 10_000)) * time.Millisecond)
	sim.crash(idx, nod)
}

// callUntilAnswered retries an operation until it is answered. Attempts overlap, since the caller may time out early.
func (sim *simulation) callUntilAnswered(num int) {
	rid := fmt.Sprint("op-", num)
	sim.randomDelay(rid)
	sim.mu.Lock()
	home := sim.current[sim.randomInt(rid+"home", 3)]
	issuer := sim.current[sim.randomInt(rid+"issuer", 3)]
	sim.mu.Unlock()
	req := cardamompass.Request{
		ID:     cardamompass.RequestID(rid),
		Ticket: oper.Issue(home.vm, issuer.clk.Now()).String(),
		Method: "POST",
		Path:   "/refund",
	}
	counts := sim.randomBool(rid+"counts", 70)
	for idx := range maxAttempts {
		if counts {
			req.Attempt = idx + 1
		}
		if sim.send(req, rid) {
			return
		}
		if sim.randomBool(rid+"late", 5) {
			time.Sleep(11 * time.Minute)
		}
	}
}

// send makes one attempt through a random VM. It reports whether the caller got an answer.
func (sim *simulation) send(req cardamompass.Request, rid string) (done bool) {
	sim.mu.Lock()
	entry := sim.current[sim.randomInt(rid+"entry", 3)]
	sim.attempts[rid] = append(sim.attempts[rid], time.Now())
	sim.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(sim.randomInt(rid+"patience", 4000)+1)*time.Millisecond)
	defer cancel()
	req.Deadline = entry.clk.Now().Add(4 * time.Second)
	result := make(chan error, 1)
	go func() {
		sim.randomDelay(rid + "there")
		if sim.waitWhilePaused(entry) {
			result <- sim.run(entry, ctx, req)
		}
	}()
	select {
	case err := <-result:
		var nre *cardamompass.NotRunError
		if !sim.waitWhilePaused(entry) {
			return false
		}
		if errors.As(err, &nre) {
			sim.mu.Lock()
			sim.notRun[rid] = append(sim.notRun[rid], time.Now())
			sim.mu.Unlock()
			sim.randomDelay(rid + "back")
		}
		return err == nil
	case <-ctx.Done():
		return false
	}
}

// run uses the service, or the naive version, which retries once on any error and reports not-run after two failures.
func (sim *simulation) run(entry *node, ctx context.Context, req cardamompass.Request) (err error) { //nolint:revive // test
	if !sim.naive {
		_, err = entry.svc.Run(ctx, req, sim.executeAtTarget(entry))
		return err
	}
	for range 2 {
		if _, err = sim.executeAtTarget(entry)(ctx, req); err == nil {
			return nil
		}
	}
	return &cardamompass.NotRunError{
		Reason: err.Error(),
	}
}

// runScenario runs one scenario. It counts the operations that ran more than once, the false not-run outcomes and the
// operations that ran.
func runScenario(t *testing.T, seed int64, naive bool) (twice, falseNotRun, executed int) {
	synctest.Test(t, func(*testing.T) {
		sim := &simulation{
			seed:         seed,
			naive:        naive,
			current:      make([]*node, 3),
			members:      make([]cardamompass.Member, 3),
			blockedLinks: map[string]bool{},
			executions:   map[string][]time.Time{},
			attempts:     map[string][]time.Time{},
			notRun:       map[string][]time.Time{},
		}
		for idx := range 3 {
			sim.start(idx)
		}
		var wgr sync.WaitGroup
		for num := range operationCount {
			wgr.Go(func() { sim.callUntilAnswered(num) })
		}
		wgr.Go(func() {
			for range 6 {
				sim.randomDelay("fault")
				sim.injectFault()
			}
		})
		wgr.Wait()
		time.Sleep(time.Minute)
		for _, nod := range sim.all {
			nod.cleanup()
		}
		time.Sleep(time.Minute)
		twice, falseNotRun, executed = sim.violations()
	})
	return twice, falseNotRun, executed
}

// violations counts the operations that ran, those that ran more than once, and the false not-run outcomes: the operation
// ran before the outcome, or after it without a further attempt of the caller in between.
func (sim *simulation) violations() (twice, falseNotRun, executed int) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for rid, runs := range sim.executions {
		executed++
		if len(runs) > 1 {
			twice++
		}
		for _, reported := range sim.notRun[rid] {
			if slices.ContainsFunc(runs, func(ran time.Time) bool { return !sim.sentBetween(rid, reported, ran) }) {
				falseNotRun++
			}
		}
	}
	return twice, falseNotRun, executed
}

// sentBetween reports whether the caller retried the operation after it got a not-run outcome and before the operation ran.
func (sim *simulation) sentBetween(rid string, reported, ran time.Time) bool {
	return slices.ContainsFunc(sim.attempts[rid], func(sent time.Time) bool { return sent.After(reported) && !sent.After(ran) })
}

// Guards against an operation that runs twice and against a false not-run outcome, under crashes, pauses, links cut in one
// direction, late messages, handovers and clock skew. The naive version must fail both checks on the same seeds.
func TestAtMostOnce(t *testing.T) {
	t.Logf("repeat with -seed=%d", *seedFlag)
	prm := gopter.DefaultTestParametersWithSeed(*seedFlag)
	prm.MinSuccessfulTests = 300
	prm.MaxShrinkCount = 0
	var ran, naiveTwice, naiveFalseNotRun int
	prs := gopter.NewProperties(prm)
	prs.Property("each operation runs at most once and each not-run is true", prop.ForAll(func(scenario int64) string {
		twice, falseNotRun, executed := runScenario(t, scenario, false)
		ran += executed
		ntw, nfn, _ := runScenario(t, scenario, true)
		naiveTwice += ntw
		naiveFalseNotRun += nfn
		if twice+falseNotRun > 0 {
			return fmt.Sprintf("scenario %d: %d ran twice, %d false not-run outcomes", scenario, twice, falseNotRun)
		}
		return ""
	}, gen.Int64()))
	prs.TestingRun(t)
	t.Logf("operations that ran: %d; naive: %d ran twice, %d false not-run outcomes", ran, naiveTwice, naiveFalseNotRun)
	if naiveTwice == 0 || naiveFalseNotRun == 0 || ran == 0 {
		t.Error("the check did not find the faults of the naive version, or nothing ran")
	}
}
