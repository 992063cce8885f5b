package front_test

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"cardamompass"
	"cardamompass/internal/edge/front"
	"cardamompass/internal/stand/ptarg"
	"cardamompass/internal/steer/place"
)

// waitPaths are an idempotent route and one that is not, both with enough time to wait.
var waitPaths = []string{"/wait/a", "/patient/a"}

// newWaitFixture returns a fixture in which requests may wait and 25 requests have just ended, so that room is expected soon.
func newWaitFixture(t *testing.T) (fxt *fixture) {
	fxt = newFixture(t, 2)
	fxt.waiting.Store(true)
	for num := range 25 {
		for _, path := range waitPaths {
			if status, _, _ := fxt.send(path, fmt.Sprint("r-warm-", num, path[1:5])); status != http.StatusOK {
				t.Fatalf("status %d", status)
			}
		}
	}
	return fxt
}

// fill takes all room at the targets, release gives it back without a response to any request.
func (fxt *fixture) fill() {
	for num := range fxt.targets {
		for range 12 {
			fxt.balancer.RecordSent(cardamompass.InstanceID(fmt.Sprint("i-", num)), time.Now())
		}
	}
}

func (fxt *fixture) release() {
	for num := range fxt.targets {
		fxt.releaseTarget(num)
	}
}

func (fxt *fixture) releaseTarget(num int) {
	for range 12 {
		fxt.balancer.RecordOutcome(place.Outcome{
			Instance: cardamompass.InstanceID(fmt.Sprint("i-", num)), Result: place.ResultDropped,
		}, time.Now())
	}
}

// start sends a request and returns the channel of its status, 0 if it got none. The request waits when start returns.
func (fxt *fixture) start(ctx context.Context, path, id string) (status chan int) {
	fxt.t.Helper()
	active := fxt.front.Active()
	status = make(chan int, 1)
	req := fxt.request(ctx, path, id)
	go func() {
		rsp, err := http.DefaultClient.Do(req)
		if err != nil {
			status <- 0
			return
		}
		rsp.Body.Close()
		status <- rsp.StatusCode
	}()
	for fxt.front.Active() == active {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(30 * time.Millisecond)
	if len(status) > 0 || fxt.front.Active() != active+1 {
		fxt.t.Fatalf("%s does not wait: status %d", path, <-status)
	}
	return status
}

// Guards against requests that are refused although room appears soon, that run more than once, or that wait although there is room.
func TestWaitsForRoom(t *testing.T) {
	fxt := newWaitFixture(t)
	runs := fxt.runs()
	fxt.fill()
	var statuses []chan int
	for num := range 4 {
		statuses = append(statuses, fxt.start(t.Context(), waitPaths[num%2], fmt.Sprint("r-", num)))
	}
	if fxt.runs() != runs {
		t.Fatal("a request was sent to a full target")
	}
	fxt.release()
	fxt.room <- struct{}{}
	for num, status := range statuses {
		if got := <-status; got != http.StatusOK {
			t.Errorf("request %d: status %d", num, got)
		}
	}
	if fxt.runs() != runs+4 {
		t.Fatalf("%d runs of 4 requests", fxt.runs()-runs)
	}
	var wtg sync.WaitGroup
	for num := range 12 {
		wtg.Go(func() {
			if status, _, _ := fxt.send(waitPaths[num%2], fmt.Sprint("r-more-", num)); status != http.StatusOK {
				t.Errorf("status %d after the wait: a place was not given back", status)
			}
		})
	}
	wtg.Wait()
}

// Guards against a deployment without teams that is served differently from before.
func TestNoWaitUnlessEnabled(t *testing.T) {
	fxt := newWaitFixture(t)
	fxt.waiting.Store(false)
	fxt.fill()
	for _, path := range waitPaths {
		begin := time.Now()
		status, hdr, _ := fxt.send(path, "r-off"+path[1:5])
		if status != http.StatusServiceUnavailable || hdr.Get("Retry-After") != "0.100" || time.Since(begin) > 300*time.Millisecond {
			t.Errorf("%s: status %d, Retry-After %q", path, status, hdr.Get("Retry-After"))
		}
	}
}

// Guards against a request without a rate that counts as one of the smallest team: a team without a limit, and requests of public routes.
func TestWeight(t *testing.T) {
	small, large, unlimited := &cardamompass.Team{Rate: 10}, &cardamompass.Team{Rate: 90}, &cardamompass.Team{}
	tbl := &cardamompass.RoutingTable{
		Teams: map[cardamompass.TeamName]*cardamompass.Team{
			"small": small, "large": large, "unlimited": unlimited, "other": {Rate: 1000, Priority: 1},
		},
	}
	for _, tst := range []struct {
		team     *cardamompass.Team
		priority int
		want     float64
	}{
		{small, 0, 10}, {large, 0, 90}, {unlimited, 0, 50}, {nil, 0, 50}, {nil, 1, 1000}, {nil, 2, 0},
	} {
		if got := front.Weight(tbl, tst.team, tst.priority); got != tst.want {
			t.Errorf("weight %v of %+v at priority %d, want %v", got, tst.team, tst.priority, tst.want)
		}
	}
}

// Guards against requests that still wait when the VM ends, or that are refused with a status that leaves open whether they ran.
func TestStopRefusesWaitingRequests(t *testing.T) {
	fxt := newWaitFixture(t)
	runs := fxt.runs()
	fxt.fill()
	fxt.front.Drain()
	statuses := []chan int{fxt.start(t.Context(), waitPaths[0], "r-1"), fxt.start(t.Context(), waitPaths[1], "r-2")}
	fxt.front.Refuse()
	fxt.release()
	for num, status := range statuses {
		select {
		case got := <-status:
			if got != http.StatusServiceUnavailable {
				t.Errorf("request %d: status %d", num, got)
			}
		case <-time.After(400 * time.Millisecond):
			t.Errorf("request %d still waits", num)
		}
	}
	if fxt.runs() != runs {
		t.Error("a refused request ran")
	}
}

// Guards against requests that are sent after their callers have left, also those that are not idempotent.
func TestCallerLeavesWhileWaiting(t *testing.T) {
	for _, path := range waitPaths {
		t.Run(path, func(t *testing.T) {
			fxt := newWaitFixture(t)
			runs := fxt.runs()
			fxt.fill()
			ctx, cancel := context.WithCancel(t.Context())
			status := fxt.start(ctx, path, "r-1")
			cancel()
			<-status
			for begin := time.Now(); fxt.front.Active() > 0; time.Sleep(time.Millisecond) {
				if time.Since(begin) > 500*time.Millisecond {
					t.Fatal("the request still waits")
				}
			}
			fxt.release()
			time.Sleep(50 * time.Millisecond)
			if fxt.runs() != runs {
				t.Fatal("the request of a caller that had left ran")
			}
		})
	}
}

// Guards against a request that is sent where its team must not be served, or after its key was revoked, since the table changed during
// the wait.
func TestTeamChangesDuringWait(t *testing.T) {
	for _, tst := range []struct {
		name   string
		change func(tbl *cardamompass.RoutingTable)
		key    string
		status int
	}{
		{"revoked", func(*cardamompass.RoutingTable) {}, "two", http.StatusUnauthorized},
		{"region", func(tbl *cardamompass.RoutingTable) {
			tbl.Teams["one"].HomeRegions = []cardamompass.Region{"elsewhere"}
		}, "one", http.StatusServiceUnavailable},
	} {
		t.Run(tst.name, func(t *testing.T) {
			fxt := newWaitFixture(t)
			fxt.apply(teamTable(2, "one"))
			runs := fxt.runs()
			fxt.fill()
			status := make(chan int, 1)
			go func() { status <- fxt.sendKey("/patient/a", "r-1", "one") }()
			fxt.awaitWaiting(1)
			chg := teamTable(3, tst.key)
			tst.change(chg.Table)
			fxt.apply(chg)
			fxt.release()
			if got := <-status; got != tst.status || fxt.runs() != runs {
				t.Fatalf("status %d after %d runs, want %d", got, fxt.runs()-runs, tst.status)
			}
			if load := fxt.balancer.MeanLoad(service, &chg.Table.Routes[0], time.Now()); load > 0 {
				t.Errorf("mean load %v: a place was not given back", load)
			}
		})
	}
}

// awaitWaiting returns when a number of requests are active and have had time to begin to wait.
func (fxt *fixture) awaitWaiting(count int) {
	for fxt.front.Active() < count {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(30 * time.Millisecond)
}

// Guards against a request that waits on although no target can have room for it any more.
func TestTargetsLeaveDuringWait(t *testing.T) {
	fxt := newWaitFixture(t)
	fxt.fill()
	status := fxt.start(t.Context(), waitPaths[1], "r-1")
	for num := range fxt.targets {
		ins := fxt.instance(num)
		ins.Leaving = true
		fxt.apply(cardamompass.Change{Instance: &ins})
	}
	select {
	case got := <-status:
		if got != http.StatusServiceUnavailable {
			t.Errorf("status %d", got)
		}
	case <-time.After(500 * time.Millisecond): // it may wait for 1.5 s
		t.Error("the request still waits")
	}
}

// instance returns a target as the view has it.
func (fxt *fixture) instance(num int) (ins cardamompass.Instance) {
	ins, ok := fxt.view().Instance(cardamompass.InstanceID(fmt.Sprint("i-", num)))
	if !ok {
		fxt.t.Fatal("no such target")
	}
	return ins
}

// Guards against a hedge directly after the retry of a request that has waited, because its time passed during the wait.
func TestNoHedgeAtOnceAfterWait(t *testing.T) {
	fxt := newFixture(t, 3)
	fxt.waiting.Store(true)
	tbl := routes()
	tbl.Version = 2
	for num := range tbl.Routes {
		tbl.Routes[num].MaxTargets, tbl.Routes[num].LatencyObjective = 3, 400*time.Millisecond
	}
	fxt.apply(cardamompass.Change{Table: tbl})
	for num := range 30 { // the estimate of the median falls to 80 ms, so that the hedge is due after 289 ms
		if status, _, _ := fxt.send("/wait/a", fmt.Sprint("r-warm-", num)); status != http.StatusOK {
			t.Fatalf("status %d", status)
		}
	}
	fxt.fill()
	for num, tgt := range fxt.targets {
		if len(tgt.Runs()) > 0 {
			tgt.SetFault(ptarg.FaultShed)
			fxt.releaseTarget(num)
		}
	}
	runs := fxt.runs()
	status := fxt.start(t.Context(), "/wait/a", "r-1")
	time.Sleep(350 * time.Millisecond)
	fxt.release()
	fxt.room <- struct{}{}
	if got := <-status; got != http.StatusOK || fxt.runs() != runs+1 {
		t.Fatalf("status %d after %d runs, want 1", got, fxt.runs()-runs)
	}
}

// Guards against a request that waits until its deadline when no room appears.
func TestWaitEnds(t *testing.T) {
	fxt := newWaitFixture(t)
	fxt.fill()
	begin := time.Now()
	status, hdr, _ := fxt.send("/patient/a", "r-1") // has 3 s
	after, err := strconv.ParseFloat(hdr.Get("Retry-After"), 64)
	if ela := time.Since(begin); status != http.StatusServiceUnavailable || ela > 2500*time.Millisecond {
		t.Errorf("status %d after %v", status, ela)
	}
	if err != nil || after < 0.1 || after > 1 {
		t.Errorf("Retry-After %q", hdr.Get("Retry-After"))
	}
}
