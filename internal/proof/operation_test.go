package proof_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"cardamompass"
	"cardamompass/internal/edge/lookup"
	"cardamompass/internal/load/caller"
	"cardamompass/internal/stand/demo"
	"cardamompass/internal/stand/procs"
)

const (
	// operators is the number of callers that send operations at the same time.
	operators = 24
	// maxSendings bounds the sendings of one operation.
	maxSendings = 6
)

// ended is an operation whose caller sends it no more.
type ended struct {
	id string
	// last is the outcome of the last sending, empty if it got no answer.
	last cardamompass.Outcome
	// sendings counts the sendings.
	sendings int
}

// operator is a caller that sends operations through all entry VMs.
type operator struct {
	sit *procs.Site
	clr *caller.Caller
	rnd *rand.Rand
	// naive takes a new ticket for each sending.
	naive bool
	fls   *failures
}

// run sends operations one after the other until ctx ends.
func (opr *operator) run(ctx context.Context, name string) (list []ended) {
	for seq := 0; ctx.Err() == nil; seq++ {
		if end, ok := opr.send(ctx, fmt.Sprintf("%s-%d", name, seq)); ok {
			list = append(list, end)
		}
	}
	return list
}

// send sends one operation until it is answered, or until its caller accepts a refusal or gives up.
func (opr *operator) send(ctx context.Context, id string) (end ended, ok bool) {
	// Each operation has a look-up of its own: a ticket of a home that died gives unknown outcomes only.
	ticket := opr.newTicket(ctx)
	if ticket == "" {
		return end, false
	}
	end.id = id
	req := operation(id)
	for end.sendings < maxSendings {
		if opr.naive && end.sendings > 0 {
			ticket = opr.newTicket(ctx)
		}
		end.sendings++
		req.Timeout = time.Duration(150+opr.rnd.IntN(850)) * time.Millisecond
		vmp := opr.sit.VMs[opr.rnd.IntN(len(opr.sit.VMs))]
		// A sending is not cut short by the end of the test, so that the last outcome is one.
		rsp, err := opr.clr.SendTo(context.Background(), lookup.VMRecord{
			ID:      vmp.Place.ID,
			Address: vmp.CallerAddress,
		}, req, ticket, end.sendings)
		end.last = rsp.Outcome
		switch {
		case err != nil:
		case rsp.Outcome == cardamompass.OutcomeAnswered:
			if rsp.Status < 500 { // a target answers 504 when the deadline passed while the request ran
				opr.fls.add(whole(req, rsp, nil))
			}
			return end, true
		case rsp.Outcome == cardamompass.OutcomeInvalid:
			opr.fls.add(errors.Errorf("%s: invalid: %s", id, rsp.Reason))
			return end, true
		case rsp.Outcome == cardamompass.OutcomeNotRun && opr.rnd.IntN(2) == 0:
			return end, true
		}
		time.Sleep(time.Duration(opr.rnd.IntN(100)) * time.Millisecond)
	}
	return end, true
}

// newTicket asks one random entry VM. It returns an empty text when that gives no answer.
func (opr *operator) newTicket(ctx context.Context) string {
	clr, stop := opr.sit.Caller("gulf", opr.sit.VMs[opr.rnd.IntN(len(opr.sit.VMs))])
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	lkp, err := clr.Lookup(ctx, demo.Short)
	if err != nil {
		pause(ctx, 20*time.Millisecond)
		return ""
	}
	return lkp.Ticket
}

// violations returns what breaks the guarantees: operations that ran twice, refusals that are not true, and answers
// without a run.
func violations(list []ended, runs map[string]int) (texts []string) {
	for _, end := range list {
		num := runs[end.id]
		switch {
		case num > 1:
			texts = append(texts, fmt.Sprintf("%s ran %d times", end.id, num))
		case num > 0 && end.last == cardamompass.OutcomeNotRun:
			texts = append(texts, fmt.Sprintf("%s ran, its last outcome after %d sendings was not-run", end.id, end.sendings))
		case num == 0 && end.last == cardamompass.OutcomeAnswered:
			texts = append(texts, fmt.Sprintf("%s was answered and did not run", end.id))
		}
	}
	return texts
}

// operations runs operators under faults and returns how their operations ended and how often each ran.
func operations(tst *testing.T, seed uint64, naive bool) (list []ended, runs map[string]int) {
	tst.Helper()
	cfg := site(tst, []procs.Place{
		place("gulf", "a", 1), place("gulf", "b", 1), place("delta", "a", 1), place("delta", "b", 1), place("piedmont", "a", 1),
	})
	cfg.StoreProxies, cfg.PeerProxies, cfg.TargetProxies = true, true, true
	sit := procs.ForTest(tst, cfg)
	ctx, cancel := context.WithTimeout(context.Background(), *chaosFlag)
	defer cancel()
	var (
		fls failures
		mut sync.Mutex
		wgr sync.WaitGroup
	)
	for num := range operators {
		clr, stop := sit.Caller("gulf")
		defer stop()
		opr := &operator{
			sit:   sit,
			clr:   clr,
			rnd:   stream(seed, 100+num),
			naive: naive,
			fls:   &fls,
		}
		wgr.Go(func() {
			mine := opr.run(ctx, fmt.Sprintf("op-%d", num))
			mut.Lock()
			defer mut.Unlock()
			list = append(list, mine...)
		})
	}
	pause(ctx, time.Second) // some operations run without faults, whatever the seed
	cha := &chaos{
		sit:  sit,
		seed: seed,
		done: make(map[string]int),
	}
	must(tst, cha.run(ctx))
	wgr.Wait()
	must(tst, recovered(sit))
	must(tst, settle(sit))
	if !naive {
		fls.report(tst)
	}
	runs, err := sit.RunsByOperation()
	must(tst, err)
	tst.Logf("faults made: %v", cha.done)
	return list, runs
}

// recovered guards against faults that leave lasting damage: once they are lifted, every entry VM gets requests answered.
func recovered(sit *procs.Site) (err error) {
	if err = sit.AwaitReady(); err != nil {
		return err
	}
	return procs.Await(giveUp, func() string {
		for _, vmp := range sit.VMs {
			clr, stop := sit.Caller(vmp.Place.Region)
			defer stop()
			req := shortRequest("recovered")
			rsp, err := clr.SendTo(context.Background(), lookup.VMRecord{
				ID:      vmp.Place.ID,
				Address: vmp.CallerAddress,
			}, req, "", 1)
			if err = whole(req, rsp, err); err != nil {
				return err.Error()
			}
		}
		return ""
	})
}

// settle waits until nothing runs at the targets, and ends all entry VMs, so that nothing can run any more.
func settle(sit *procs.Site) (err error) {
	err = procs.Await(giveUp, func() string {
		for _, tgt := range sit.Targets {
			if run, err := tgt.Runs(); err != nil || run.Running > 0 {
				return string(tgt.Target.ID) + " still runs requests"
			}
		}
		return ""
	})
	for _, vmp := range sit.VMs {
		if kerr := vmp.Kill(); kerr != nil {
			return kerr
		}
	}
	return err
}

// logOutcomes logs how operations ended.
func logOutcomes(tst *testing.T, list []ended, runs map[string]int) (answered int) {
	tst.Helper()
	counts := make(map[cardamompass.Outcome]int)
	again, ran := 0, 0
	for _, end := range list {
		counts[end.last]++
		if end.sendings > 1 {
			again++
		}
		ran += min(1, runs[end.id])
	}
	tst.Logf("%d operations, %d sent more than once, %d ran; last outcomes %v, %d without an answer",
		len(list), again, ran, counts, counts[""])
	return counts[cardamompass.OutcomeAnswered]
}

// TestOperations guards against operations that run twice and against refusals that are not true, while entry VMs are
// killed and paused, links between them are cut one way, targets' answers are lost, late or faulty, and the store is down.
func TestOperations(tst *testing.T) {
	list, runs := operations(tst, newSeed(tst), false)
	for _, text := range violations(list, runs) {
		tst.Error(text)
	}
	if logOutcomes(tst, list, runs) == 0 {
		tst.Error("no operation was answered: the test shows nothing")
	}
}

// TestOperationsNaive guards against a check of TestOperations that can't fail: it must find callers that take a new
// ticket for each sending.
func TestOperationsNaive(tst *testing.T) {
	list, runs := operations(tst, newSeed(tst), true)
	found := violations(list, runs)
	logOutcomes(tst, list, runs)
	if len(found) == 0 {
		tst.Fatal("the check found no violation by callers that take a new ticket for each sending")
	}
	tst.Logf("%d violations, the first: %s", len(found), found[0])
}
