package front_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"cardamompass/internal/conf/steer"
	"cardamompass/internal/steer/place"
)

// Guards against a request that takes room on arrival although another one has waited for it.
func TestArrivalDoesNotOvertake(t *testing.T) {
	fxt := newWaitFixture(t)
	for round := range 30 {
		for num := range 16 { // keeps the limits at the usual ones
			if status, _, _ := fxt.send(waitPaths[0], fmt.Sprint("r-", round, "-", num)); status != http.StatusOK {
				t.Fatalf("status %d", status)
			}
		}
		fxt.fill()
		first := fxt.start(t.Context(), waitPaths[0], fmt.Sprint("r-first-", round))
		time.Sleep(time.Duration(round) * time.Millisecond)
		fxt.balancer.RecordOutcome(place.Outcome{Instance: "i-0", Result: place.ResultDropped}, time.Now())
		fxt.front.EndAttempt(service)
		if status, _, _ := fxt.send(waitPaths[0], fmt.Sprint("r-second-", round)); status != http.StatusOK {
			t.Fatalf("status %d", status)
		}
		if status := <-first; status != http.StatusOK {
			t.Fatalf("status %d", status)
		}
		fxt.balancer.RecordSent("i-0", time.Now())
		fxt.release()
		runs := fxt.targets[0].Runs()
		if last := runs[len(runs)-1].ID; last != fmt.Sprint("r-second-", round) {
			t.Fatalf("round %d: %s ran last", round, last)
		}
	}
}

// Guards against places at targets that are taken and never given back when callers leave, keys are revoked and quotas end while requests
// wait, and against requests that run twice.
func TestPlacesAreGivenBack(t *testing.T) {
	fxt := newFixture(t, 2)
	fxt.waiting.Store(true)
	fxt.steering.Store(&steer.Settings{HedgeLimitPercent: 20})
	fxt.apply(teamTable(2, "one"))
	fxt.quota.left = 150
	stop := make(chan struct{})
	var wtg, changes sync.WaitGroup
	changes.Go(func() {
		for version := uint64(3); ; version++ {
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
			}
			fxt.fill()
			fxt.apply(teamTable(version, []string{"one", "one", "two"}[version%3]))
			time.Sleep(20 * time.Millisecond)
			fxt.release()
		}
	})
	for num := range 300 {
		wtg.Go(func() {
			time.Sleep(time.Duration(num) * 2 * time.Millisecond)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			req := fxt.request(ctx, waitPaths[num%2], fmt.Sprint("r-", num))
			req.Header.Set("Credential", secret+"one")
			if num%3 == 0 {
				time.AfterFunc(time.Duration(rand.IntN(60))*time.Millisecond, cancel)
			}
			if rsp, err := http.DefaultClient.Do(req); err == nil {
				rsp.Body.Close()
			}
		})
	}
	wtg.Wait()
	close(stop)
	changes.Wait()
	for end := time.Now().Add(2 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		inFlight := 0
		for _, tgt := range fxt.balancer.Dump(time.Now()).Targets {
			inFlight += tgt.InFlight
		}
		if inFlight == 0 && fxt.front.Active() == 0 {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("%d places are taken, %d requests active", inFlight, fxt.front.Active())
		}
	}
	runs := make(map[string]int)
	for _, tgt := range fxt.targets {
		for _, run := range tgt.Runs() {
			runs[run.ID]++
		}
	}
	for num := 1; num < 300; num += 2 { // those that are not idempotent
		if id := fmt.Sprint("r-", num); runs[id] > 1 {
			t.Errorf("%s ran %d times", id, runs[id])
		}
	}
	if len(runs) < 50 {
		t.Errorf("%d requests ran, too few to tell", len(runs))
	}
}
