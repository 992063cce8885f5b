package front_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"regexp"
	"sync"
	"testing"
	"time"

	"cardamompass/internal/conf/steer"
	"cardamompass/internal/edge/front"
	"cardamompass/internal/stand/ptarg"
	"cardamompass/internal/steer/budget"
	"cardamompass/internal/steer/hedge"
)

// hedges returns the number of hedges with a result according to the metrics page. It waits until they are reported, at most 5 s.
func (fxt *fixture) hedges(result string) (count string) {
	fxt.t.Helper()
	line := regexp.MustCompile(`hedges\{result="` + result + `"\} (\d+)`)
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		rec := httptest.NewRecorder()
		fxt.metrics.Handler().ServeHTTP(rec, httptest.NewRequest(http.MethodGet, "/metrics", nil))
		page, _ := io.ReadAll(rec.Body)
		if mat := line.FindSubmatch(page); mat != nil && string(mat[1]) != "0" {
			return string(mat[1])
		}
	}
	return "0"
}

// silence makes the first target of the object silent and returns it.
func (fxt *fixture) silence(path string, requests int) (first *ptarg.Target) {
	fxt.t.Helper()
	for num := range requests {
		if status, _, _ := fxt.send(path, fmt.Sprintf("r-%d", num)); status != 200 {
			fxt.t.Fatalf("status %d", status)
		}
	}
	for _, tgt := range fxt.targets {
		if len(tgt.Runs()) > 0 {
			tgt.SetFault(ptarg.FaultNoResponse)
			first = tgt
		}
	}
	return first
}

// Guards against a cancelled attempt that counts as a failure of its target, that keeps a connection or that runs on, and against a hedge
// that is not counted.
func TestCancelledAttempt(t *testing.T) {
	fxt := newFixture(t, 3)
	fxt.steering.Store(&steer.Settings{HedgeLimitPercent: 20})
	first := fxt.silence("/hedged/a", 10)
	if status, _, _ := fxt.send("/hedged/a", "r-last"); status != 200 || fxt.runs() != 12 {
		t.Fatalf("status %d after %d runs", status, fxt.runs()-10)
	}
	for end := time.Now().Add(200 * time.Millisecond); first.Running() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the cancelled attempt still runs 200 ms after the response")
		}
	}
	for end := time.Now().Add(time.Second); ; time.Sleep(time.Millisecond) {
		inFlight, failures := 0, 0.0
		for _, tgt := range fxt.balancer.Dump(time.Now()).Targets {
			inFlight, failures = inFlight+tgt.InFlight, failures+tgt.Failures+tgt.AvoidFor
		}
		if failures > 0 {
			t.Fatal("the cancelled attempt counts as a failure")
		}
		if inFlight == 0 {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("%d attempts are in flight", inFlight)
		}
	}
	if idle := fxt.sender.IdleCount(); idle != 1 {
		t.Errorf("%d idle connections, want that of the second target only", idle)
	}
	if won := fxt.hedges("won"); won != "1" {
		t.Errorf("%s hedges won, want 1", won)
	}
	if share, ok := fxt.front.HedgeShare(); !ok || share < 0.08 || share > 0.1 {
		t.Errorf("share %v, want 1 of 11", share)
	}
}

// Guards against hedges that the limit or the route does not allow, and against reasons that operators don't see.
func TestHedgeNotSent(t *testing.T) {
	for _, tst := range []struct {
		name, path string
		percent    int
		requests   int
		reason     string
	}{
		{"limit", "/hedged/a", 10, 5, "limit"},
		{"not idempotent", "/late/a", 20, 10, "not-idempotent"},
		{"too little known", "/read/a", 20, 10, ""}, // the hedge is due at 1.25 of the initial median, after the timeout
	} {
		t.Run(tst.name, func(t *testing.T) {
			fxt := newFixture(t, 3)
			fxt.steering.Store(&steer.Settings{HedgeLimitPercent: tst.percent})
			fxt.silence(tst.path, tst.requests)
			if status, _, _ := fxt.send(tst.path, "r-last"); status != 504 || fxt.runs() != tst.requests+1 {
				t.Fatalf("status %d after %d runs", status, fxt.runs()-tst.requests)
			}
			if tst.reason != "" && fxt.hedges(tst.reason) != "1" {
				t.Errorf("no hedge counted as %s", tst.reason)
			}
		})
	}
}

// Guards against a hedge that takes the capacity that a refused request returns for, also if the queue of waiting requests refused it.
func TestNoHedgeAfterRefusal(t *testing.T) {
	for _, waiting := range []bool{false, true} {
		t.Run(fmt.Sprint(waiting), func(t *testing.T) {
			fxt := newFixture(t, 3)
			fxt.waiting.Store(waiting)
			fxt.steering.Store(&steer.Settings{HedgeLimitPercent: 20})
			fxt.silence("/hedged/a", 10)
			if status, _, _ := fxt.send("/away/a", "r-away"); status != 503 {
				t.Fatalf("status %d", status)
			}
			if status, _, _ := fxt.send("/hedged/a", "r-last"); status != 504 || fxt.hedges("waited") != "1" {
				t.Fatalf("status %d, %s hedges rejected as waited", status, fxt.hedges("waited"))
			}
		})
	}
}

// Guards against a hedge of a request that has waited for room itself.
func TestNoHedgeAfterWait(t *testing.T) {
	fxt := newWaitFixture(t)
	fxt.steering.Store(&steer.Settings{HedgeLimitPercent: 20})
	fxt.silence("/hedged/a", 10)
	fxt.fill()
	status := fxt.start(t.Context(), "/hedged/a", "r-last")
	fxt.release()
	fxt.room <- struct{}{}
	if got := <-status; got != 504 || fxt.hedges("waited") != "1" {
		t.Fatalf("status %d, %s hedges rejected as waited", got, fxt.hedges("waited"))
	}
}

// Guards against a hedge of a team that has had more than its share of scarce room.
func TestNoHedgeOverShare(t *testing.T) {
	fxt := newFixture(t, 3)
	fxt.waiting.Store(true)
	fxt.apply(teamTable(2, "one"))
	fxt.steering.Store(&steer.Settings{HedgeLimitPercent: 20})
	for num := range 30 {
		if status := fxt.sendKey("/hedged/a", fmt.Sprint("r-team-", num), "one"); status != 200 {
			t.Fatalf("status %d", status)
		}
	}
	for num := range 5 {
		if status := fxt.sendKey("/open/a", fmt.Sprint("r-open-", num), ""); status != 200 {
			t.Fatalf("status %d", status)
		}
	}
	for _, tgt := range fxt.targets {
		if len(tgt.Runs()) > 0 {
			tgt.SetFault(ptarg.FaultNoResponse)
		}
	}
	fxt.fill()
	var wtg sync.WaitGroup
	for num := range 40 {
		wtg.Go(func() {
			if status := fxt.sendKey("/read/a", fmt.Sprint("r-short-", num), "one"); status != 503 {
				t.Errorf("status %d while targets are full", status)
			}
		})
	}
	wtg.Wait()
	fxt.release()
	time.Sleep(1050 * time.Millisecond) // a refusal prevents hedges for 1 s
	if status := fxt.sendKey("/hedged/a", "r-last", "one"); status != 504 || fxt.hedges("over-share") != "1" {
		t.Fatalf("status %d, %s hedges rejected as over-share", status, fxt.hedges("over-share"))
	}
}

// Guards against hedges above the retry budget, and against a rejected hedge that uses up a token of the other limit.
func TestHedgeNeedsBothTokens(t *testing.T) {
	now := time.Now()
	small := budget.New(budget.Config{Minimum: 6}, now) // 3 tokens at once
	if taken, rsn, share := front.TakeHedges(100, 20, small, now); taken != 3 || rsn != hedge.NoBudget || share != 0.03 {
		t.Errorf("%d hedges, then %v; share %v", taken, rsn, share)
	}
	large := budget.New(budget.Config{Minimum: 100}, now) // 50 tokens at once
	if taken, rsn, share := front.TakeHedges(100, 20, large, now); taken != 20 || rsn != hedge.LimitUsed || share != 0.2 {
		t.Errorf("%d hedges, then %v; share %v", taken, rsn, share)
	}
	if left := large.State().Tokens(); left != 30 {
		t.Errorf("%d tokens of the retry budget are left, want 30", left)
	}
}
