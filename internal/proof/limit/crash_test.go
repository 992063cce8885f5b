package limit_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"cardamompass"
	"cardamompass/internal/load/caller"
	"cardamompass/internal/stand/demo"
	"cardamompass/internal/stand/fault"
	"cardamompass/internal/stand/procs"
	"cardamompass/internal/stand/target"
)

const (
	// blockTime is the time of a block in these tests.
	blockTime = 8 * time.Second
	// refusedReason is part of the reason for which blocked content is refused.
	refusedReason = "content crashed two targets"
	// rounds is how often the content is sent through all entry VMs.
	rounds = 2
)

// crashSite starts a site with eight short targets in gulf. Targets are reached directly, because a proxy would accept
// connections to a crashed one.
func crashSite(tst *testing.T) (sit *procs.Site) {
	tst.Helper()
	cfg := siteConfig(tst)
	cfg.PeerProxies = true
	cfg.Settings = map[string]any{
		"guard": map[string]any{"block-time": blockTime.String()},
	}
	for num := range 6 {
		cfg.Targets = append(cfg.Targets, cardamompass.Target{
			ID:            cardamompass.TargetID(fmt.Sprintf("more-%d", num)),
			Service:       demo.Short,
			Region:        "gulf",
			FailureDomain: "a",
			Slots:         6,
			Connections:   330,
		})
	}
	sit = procs.ForTest(tst, cfg)
	settle(tst, sit)
	return sit
}

// crashes returns the number of crashes of all targets.
func crashes(tst *testing.T, sit *procs.Site) (count int) {
	tst.Helper()
	for _, tgt := range sit.Targets {
		runs, err := tgt.Runs()
		must(tst, err)
		count += runs.Crashes
	}
	return count
}

// resend sends the crashing content with new ids through all entry VMs in turn, each time after the last outcome, until
// the rounds are over. It returns the last sending.
func resend(tst *testing.T, sit *procs.Site, clr *caller.Caller, first int) (last sending) {
	tst.Helper()
	for num := range rounds * len(sit.VMs) {
		vmp := sit.VMs[(first+num)%len(sit.VMs)]
		last = send(context.Background(), clr, vmp, crashRequest(num))
		if last.err != nil {
			tst.Errorf("sending %d through %s: %v", num, vmp.Place.ID, last.err)
		}
		tst.Logf("sending %d through %s: %s %s; %d crashes", num, vmp.Place.ID, last.rsp.Outcome, last.rsp.Reason, crashes(tst, sit))
		if last.rsp.Outcome == cardamompass.OutcomeAnswered {
			tst.Errorf("sending %d was answered", num)
		}
	}
	return last
}

func crashRequest(num int) caller.Request {
	return caller.Request{
		ID:         cardamompass.RequestID(fmt.Sprintf("crash-%d", num)),
		Service:    demo.Short,
		Method:     http.MethodPost,
		Path:       "/poison",
		Body:       []byte(target.DefaultCrashMarker),
		Idempotent: true,
		Timeout:    4 * time.Second,
	}
}

// TestCrashes guards against content that crashes more than two targets of the fleet when its caller re-sends it through
// every entry VM, against harm to the requests near it, and against a block that does not end.
func TestCrashes(tst *testing.T) {
	rnd := newRandom(tst)
	sit := crashSite(tst)
	near := startLoad(tst, loadConfig{
		Name:    "near",
		VMs:     sit.VMs,
		Region:  "gulf",
		Service: demo.Short,
		Callers: 14,
		Timeout: 4 * time.Second,
		Header: map[string]string{
			target.HeaderServiceTime: "60",
		},
		Pause:  20 * time.Millisecond,
		Random: rnd,
	})
	pass(time.Second)
	clr, cleanup := caller.New(caller.Config{
		Region: "gulf",
	})
	defer cleanup()
	last := resend(tst, sit, clr, rnd.IntN(len(sit.VMs)))
	if got := crashes(tst, sit); got < 1 || got > 2 {
		tst.Errorf("the content crashed %d targets, want 1 or 2", got)
	}
	if last.rsp.Outcome != cardamompass.OutcomeNotRun || !strings.Contains(last.rsp.Reason, refusedReason) {
		tst.Errorf("the last sending ended as %s: %s", last.rsp.Outcome, last.rsp.Reason)
	}
	pass(time.Second)
	checkNear(tst, sit, near)
	checkBlockEnds(tst, sit, clr)
}

// checkNear checks the requests that ran beside the crashing content.
func checkNear(tst *testing.T, sit *procs.Site, lod *load) {
	tst.Helper()
	lod.cancel()
	runs, err := sit.RunsByOperation()
	must(tst, err)
	counts := make(map[cardamompass.Outcome]int)
	again := 0
	for _, snd := range lod.stop() {
		if snd.err != nil && strings.Contains(snd.err.Error(), context.Canceled.Error()) {
			continue // given up at the end of the load
		}
		counts[snd.rsp.Outcome]++
		if runs[snd.operation] > 1 {
			again++
		}
		// A request that reached no target may be refused, when all retries of its entry VM are used up.
		refused := snd.rsp.Outcome == cardamompass.OutcomeNotRun && runs[snd.operation] == 0 &&
			!strings.Contains(snd.rsp.Reason, refusedReason)
		if snd.err != nil || snd.rsp.Outcome != cardamompass.OutcomeAnswered && !refused {
			tst.Errorf("%s through %s: %s %s, error %v, ran %d times",
				snd.operation, snd.vm, snd.rsp.Outcome, snd.rsp.Reason, snd.err, runs[snd.operation])
		}
	}
	tst.Logf("requests near the content: %v, %d ran more than once", counts, again)
}

// checkBlockEnds makes the content harmless and waits until it is answered again.
func checkBlockEnds(tst *testing.T, sit *procs.Site, clr *caller.Caller) {
	tst.Helper()
	for _, tgt := range sit.Targets {
		must(tst, tgt.SetBehaviour(map[string]any{"crash-marker": "no body holds this"}))
	}
	num := 1000
	must(tst, procs.Await(time.Minute, func() (missing string) {
		num++
		snd := send(context.Background(), clr, sit.VMs[num%len(sit.VMs)], crashRequest(num))
		if snd.rsp.Outcome != cardamompass.OutcomeAnswered {
			return "the content is still refused: " + snd.rsp.Reason
		}
		return ""
	}))
}

// TestCrashesUnreachablePeer guards against more crashes than two for each group of entry VMs that can tell each other: one
// entry VM gets no reports, so that the bound is four.
func TestCrashesUnreachablePeer(tst *testing.T) {
	rnd := newRandom(tst)
	sit := crashSite(tst)
	sit.VMs[rnd.IntN(len(sit.VMs))].PeerProxy.Drop(fault.Up)
	clr, cleanup := caller.New(caller.Config{
		Region: "gulf",
	})
	defer cleanup()
	last := resend(tst, sit, clr, rnd.IntN(len(sit.VMs)))
	if got := crashes(tst, sit); got < 1 || got > 4 {
		tst.Errorf("the content crashed %d targets, want 1 to 4", got)
	}
	if last.rsp.Outcome != cardamompass.OutcomeNotRun || !strings.Contains(last.rsp.Reason, refusedReason) {
		tst.Errorf("the last sending ended as %s: %s", last.rsp.Outcome, last.rsp.Reason)
	}
}
