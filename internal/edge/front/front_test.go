package front_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"cardamompass"
	"cardamompass/internal/edge/front"
	"cardamompass/internal/edge/send"
	"cardamompass/internal/fleet/view"
	"cardamompass/internal/obs/metric"
	"cardamompass/internal/stand/ptarg"
	"cardamompass/internal/steer/place"
	"cardamompass/platform"
)

// site is a Front with stand-in targets behind it.
type site struct {
	t        *testing.T
	targets  []*ptarg.Target
	stops    []func()
	front    *front.Front
	server   *httptest.Server
	mu       sync.Mutex
	vew      *view.View
	balancer *place.Balancer
	crashes  []cardamompass.Crash
}

const service = cardamompass.ServiceName("svc")

func routes() (tbl *cardamompass.RoutingTable) {
	route := func(prefix string, idempotent bool, parts ...cardamompass.WeightedService) (rte cardamompass.Route) {
		return cardamompass.Route{
			Name:             prefix,
			Host:             "h.example",
			Prefix:           prefix,
			Idempotent:       idempotent,
			Timeout:          400 * time.Millisecond,
			LatencyObjective: 2 * time.Second, // no second copies unless a test wants them
			WeightedServices: parts,
			MaxTargets:       2,
			Sticky:           true,
		}
	}
	one := cardamompass.WeightedService{Service: service, Weight: 1}
	hedged := route("/hedged/", true, one)
	hedged.LatencyObjective = 50 * time.Millisecond
	return &cardamompass.RoutingTable{
		Version: 1,
		Routes: []cardamompass.Route{
			route("/read/", true, one),
			route("/read/deep/", false, one),
			route("/write/", false, one),
			route("/split/", true, cardamompass.WeightedService{Service: service, Weight: 3}, cardamompass.WeightedService{Service: "none", Weight: 1}),
			hedged,
		},
		Limits: cardamompass.CallerLimits{
			MaxBodyBytes: 1 << 20,
		},
	}
}

func newSite(t *testing.T, targets int) (sit *site) {
	t.Helper()
	sit = &site{
		t:        t,
		balancer: place.New(place.Config{Self: "vm-1", Region: "r"}),
	}
	snd, stopSender := send.New(send.Config{
		Protocol: platform.Protocol{},
		Clock:    cardamompass.SystemClock{},
		Dial:     send.Dialer(time.Second),
	})
	mtr, stopMetrics := metric.New(metric.Config{})
	frt, stopFront := front.New(front.Config{
		Settings: cardamompass.VMSettings{RetryBudgetPercent: 20, RetryBudgetSlack: 56, RetryBudgetWindow: 10 * time.Second},
		Protocol: platform.Protocol{},
		Clock:    cardamompass.SystemClock{},
		Log:      zap.NewNop(),
		Scope:    mtr.Scope(),
		Balancer: sit.balancer,
		Sender:   snd,
		View:     sit.view,
		Age:      func() time.Duration { return 0 },
		Stated:   func(cardamompass.InstanceID, cardamompass.Load) {},
		Crashed:  sit.crashed,
		Dial:     send.Dialer(time.Second),
	})
	sit.front = frt
	sit.server = httptest.NewServer(frt)
	t.Cleanup(func() {
		sit.server.Close()
		stopFront()
		stopSender()
		stopMetrics()
	})
	chs := []cardamompass.Change{{Table: routes()}}
	for num := range targets {
		id := fmt.Sprintf("i-%d", num)
		tgt, stop, err := ptarg.New(ptarg.Config{
			ID:      id,
			Address: "127.0.0.1:0",
			Slots:   6,
		})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(stop)
		sit.targets = append(sit.targets, tgt)
		sit.stops = append(sit.stops, stop)
		chs = append(chs, cardamompass.Change{
			Instance: &cardamompass.Instance{
				ID:      cardamompass.InstanceID(id),
				Service: service,
				Region:  "r",
				Address: tgt.Address(),
				Slots:   6,
			},
		})
	}
	sit.apply(chs...)
	return sit
}

func (sit *site) view() (vew *view.View) {
	sit.mu.Lock()
	defer sit.mu.Unlock()
	return sit.vew
}

func (sit *site) apply(chs ...cardamompass.Change) {
	sit.mu.Lock()
	defer sit.mu.Unlock()
	if sit.vew == nil {
		sit.vew = view.Empty()
	}
	sit.vew = sit.vew.WithChanges(chs, 1, view.Outage{}, time.Now())
	sit.balancer.Sync(sit.vew, time.Now())
}

func (sit *site) crashed(crs cardamompass.Crash) {
	sit.mu.Lock()
	sit.crashes = append(sit.crashes, crs)
	sit.mu.Unlock()
	sit.apply(cardamompass.Change{Crash: &crs})
}

func (sit *site) set(flt ptarg.Fault) {
	for _, tgt := range sit.targets {
		tgt.Set(flt)
	}
}

func (sit *site) runs() (count int) {
	for _, tgt := range sit.targets {
		count += len(tgt.Runs())
	}
	return count
}

func (sit *site) request(ctx context.Context, path, id string) (req *http.Request) {
	sit.t.Helper()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, sit.server.URL+path, strings.NewReader("body of "+id))
	if err != nil {
		sit.t.Fatal(err)
	}
	req.Host = "H.example:80"
	req.Header.Set("Request-Id", id)
	req.Header.Set("Timeout-Ms", "3000")
	req.AddCookie(&http.Cookie{Name: "Affinity-Key", Value: "17"})
	return req
}

func (sit *site) send(path, id string) (status int, hdr http.Header, body string) {
	sit.t.Helper()
	rsp, err := http.DefaultClient.Do(sit.request(sit.t.Context(), path, id))
	if err != nil {
		sit.t.Fatal(err)
	}
	defer rsp.Body.Close()
	data, err := io.ReadAll(rsp.Body)
	if err != nil {
		sit.t.Fatal(err)
	}
	return rsp.StatusCode, rsp.Header, string(data)
}

// Guards against a second run of work that may run only once, and against a refusal of work that ran.
func TestNonIdempotentRequest(t *testing.T) {
	tests := []struct {
		fault  ptarg.Fault
		status int
		runs   int
	}{
		{ptarg.FaultNone, 200, 1},
		{ptarg.FaultReset, 502, 1},
		{ptarg.FaultCut, 502, 1},
		{ptarg.FaultGarbage, 502, 1},
		{ptarg.FaultUnframed, 200, 1},
		{ptarg.FaultCompressed, 502, 1},
		{ptarg.FaultUnsigned, 502, 1},
		{ptarg.FaultFalse503, 502, 1},
		{ptarg.FaultError, 500, 1},
		{ptarg.FaultShed, 503, 0},
		{ptarg.FaultSilent, 504, 1},
	}
	for _, tst := range tests {
		t.Run(string(tst.fault)+" ", func(t *testing.T) {
			sit := newSite(t, 3)
			sit.set(tst.fault)
			status, hdr, body := sit.send("/write/a", "r-1")
			if status != tst.status || sit.runs() != tst.runs {
				t.Fatalf("status %d after %d runs, want %d after %d", status, sit.runs(), tst.status, tst.runs)
			}
			if sealed := hdr.Get("Response-Seal") != ""; sealed != (status == 200 || status == 500) {
				t.Errorf("signature %q on status %d", hdr.Get("Response-Seal"), status)
			}
			if status == 503 && hdr.Get("Retry-After") == "" {
				t.Error("a refusal does not say when to come back")
			}
			if status == 200 && body != ptarg.Body("r-1") {
				t.Errorf("body %q", body)
			}
		})
	}
}

// Guards against a failure that a second target could have answered, and against more targets than the route allows.
func TestIdempotentRequest(t *testing.T) {
	tests := []struct {
		fault  ptarg.Fault
		others ptarg.Fault
		status int
		runs   int
	}{
		{ptarg.FaultReset, ptarg.FaultNone, 200, 2},
		{ptarg.FaultGarbage, ptarg.FaultNone, 200, 2},
		{ptarg.FaultError, ptarg.FaultNone, 200, 2},
		{ptarg.FaultShed, ptarg.FaultNone, 200, 1},
		{ptarg.FaultReset, ptarg.FaultReset, 502, 2},
		{ptarg.FaultError, ptarg.FaultError, 500, 2},
		{ptarg.FaultFalse503, ptarg.FaultFalse503, 502, 2},
	}
	for _, tst := range tests {
		t.Run(string(tst.fault)+" then "+string(tst.others), func(t *testing.T) {
			sit := newSite(t, 4)
			status, _, _ := sit.send("/read/a", "r-0")
			if status != 200 {
				t.Fatalf("status %d", status)
			}
			sit.set(tst.others)
			for _, tgt := range sit.targets {
				if len(tgt.Runs()) > 0 {
					tgt.Set(tst.fault) // the target of this object
				}
			}
			status, _, _ = sit.send("/read/a", "r-1")
			if status != tst.status || sit.runs()-1 != tst.runs {
				t.Fatalf("status %d after %d runs, want %d after %d", status, sit.runs()-1, tst.status, tst.runs)
			}
		})
	}
}

// Guards against a budget of repeats that is used up by requests for which there is no second target.
func TestRepeatsWithoutATargetCostNothing(t *testing.T) {
	sit := newSite(t, 2)
	second, _ := sit.view().Instance("i-1")
	sit.apply(cardamompass.Change{InstanceRemoved: "i-1"})
	sit.set(ptarg.FaultError)
	const more = 40 // above the 28 repeats that may be taken at once
	for num := range more {
		sit.send("/read/a", fmt.Sprintf("r-%d", num))
	}
	if sit.runs() != more {
		t.Fatalf("%d runs of %d requests with one target", sit.runs(), more)
	}
	sit.apply(cardamompass.Change{Instance: &second})
	if sit.send("/read/a", "r-last"); sit.runs() != more+2 {
		t.Fatalf("%d runs of the last request, want 2", sit.runs()-more)
	}
}

// Guards against a refusal or a failure while another target could run a request that reached nobody.
func TestTargetThatIsNotThere(t *testing.T) {
	for _, path := range []string{"/read/a", "/write/a"} {
		t.Run(path, func(t *testing.T) {
			sit := newSite(t, 3)
			if status, _, _ := sit.send(path, "r-0"); status != 200 {
				t.Fatalf("status %d", status)
			}
			for num, tgt := range sit.targets {
				if len(tgt.Runs()) > 0 {
					sit.stops[num]()
				}
			}
			if status, _, body := sit.send(path, "r-1"); status != 200 || body != ptarg.Body("r-1") {
				t.Fatalf("status %d", status)
			}
		})
	}
}

// Guards against a VM without a table that tells callers that their route does not exist.
func TestAnswersWithoutATarget(t *testing.T) {
	sit := newSite(t, 1)
	if status, _, _ := sit.send("/nowhere/a", "r-1"); status != 404 {
		t.Errorf("unknown route: status %d", status)
	}
	if status, hdr, _ := sit.send("/split/a", "r-2"); status != 200 {
		t.Errorf("first part: status %d, %v", status, hdr)
	}
	sit.mu.Lock()
	sit.vew = view.Empty()
	sit.mu.Unlock()
	if status, hdr, _ := sit.send("/read/a", "r-3"); status != 503 || hdr.Get("Retry-After") == "" {
		t.Errorf("no table: status %d", status)
	}
}

// Guards against a route with a shorter prefix that takes the requests of a longer one, here with other rules for repeats.
func TestLongestPrefixWins(t *testing.T) {
	sit := newSite(t, 3)
	sit.set(ptarg.FaultReset)
	if status, _, _ := sit.send("/read/deep/a", "r-1"); status != 502 || sit.runs() != 1 {
		t.Fatalf("status %d after %d runs", status, sit.runs())
	}
}

// Guards against parts of a route that do not get their share of the requests.
func TestSplitFollowsWeights(t *testing.T) {
	sit := newSite(t, 2)
	refused := 0
	for num := range 40 {
		if status, _, _ := sit.send("/split/a", fmt.Sprint("r-", num)); status == 503 {
			refused++
		}
	}
	if refused != 10 {
		t.Fatalf("%d of 40 requests went to the part with a quarter of the weight", refused)
	}
}

// Guards against callers that wait longer than their route allows.
func TestRouteTimeout(t *testing.T) {
	sit := newSite(t, 2)
	sit.set(ptarg.FaultSilent)
	begin := time.Now()
	status, _, _ := sit.send("/write/a", "r-1")
	if ela := time.Since(begin); status != 504 || ela < 400*time.Millisecond || ela > 900*time.Millisecond {
		t.Fatalf("status %d after %v, want 504 within half a second of 400 ms", status, ela)
	}
}

// Guards against a silent target that makes its callers late although another one could answer.
func TestSecondCopyOfASlowRequest(t *testing.T) {
	sit := newSite(t, 3)
	if status, _, _ := sit.send("/hedged/a", "r-0"); status != 200 {
		t.Fatalf("status %d", status)
	}
	for _, tgt := range sit.targets {
		if len(tgt.Runs()) > 0 {
			tgt.Set(ptarg.FaultSilent)
		}
	}
	if status, _, _ := sit.send("/hedged/a", "r-1"); status != 200 || sit.runs() != 3 {
		t.Fatalf("status %d after %d runs", status, sit.runs()-1)
	}
}

// Guards against work that goes on for callers that have left, and against cutting work that may run only once.
func TestCallerLeaves(t *testing.T) {
	for _, tst := range []struct {
		path string
		cut  bool
	}{{"/read/a", true}, {"/write/a", false}} {
		t.Run(tst.path, func(t *testing.T) {
			sit := newSite(t, 1)
			sit.set(ptarg.FaultSilent)
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan struct{})
			go func() {
				defer close(done)
				rsp, err := http.DefaultClient.Do(sit.request(ctx, tst.path, "r-1"))
				if err == nil {
					rsp.Body.Close()
				}
			}()
			for sit.runs() == 0 {
				time.Sleep(time.Millisecond)
			}
			cancel()
			<-done
			begin := time.Now()
			for sit.front.Active() > 0 {
				time.Sleep(time.Millisecond)
			}
			if early := time.Since(begin) < 200*time.Millisecond; early != tst.cut {
				t.Fatalf("the request ended %v after its caller had left; its time is 400 ms", time.Since(begin))
			}
		})
	}
}

// Guards against a request that crashes one target after the other because its caller comes again and again.
func TestContentThatCrashesTargets(t *testing.T) {
	sit := newSite(t, 1)
	for num := range 3 {
		sit.apply(cardamompass.Change{Instance: &cardamompass.Instance{
			ID:      cardamompass.InstanceID(fmt.Sprint("crashed-", num)),
			Service: "other",
		}})
	}
	sit.targets[0].Set(ptarg.FaultReset)
	sit.send("/write/a", "r-1")
	sit.front.Wait()
	if len(sit.crashes) > 0 {
		t.Fatal("a target that listens counts as crashed")
	}
	content := sit.front.Fingerprint(sit.request(t.Context(), "/write/a", "r-1"), []byte("body of r-1"))
	for num := range 3 {
		sit.crashed(cardamompass.Crash{
			Fingerprint: content,
			Instance:    cardamompass.InstanceID(fmt.Sprint("crashed-", num)),
		})
	}
	runs := sit.runs()
	sit.targets[0].Set(ptarg.FaultNone)
	if status, _, _ := sit.send("/write/a", "r-1"); status != 503 || sit.runs() != runs {
		t.Fatalf("status %d, %d more runs", status, sit.runs()-runs)
	}
	if status, _, _ := sit.send("/write/b", "r-2"); status != 200 {
		t.Fatalf("another content: status %d", status)
	}
}

// Guards against new requests that keep a VM from stopping, and against connections that callers keep to a VM that stops.
func TestStop(t *testing.T) {
	sit := newSite(t, 1)
	sit.front.Stop()
	rsp, err := http.DefaultClient.Do(sit.request(t.Context(), "/read/a", "r-1"))
	if err != nil || rsp.StatusCode != http.StatusOK || !rsp.Close {
		t.Fatalf("answer %+v, error %v", rsp, err)
	}
	rsp.Body.Close()
	sit.front.Refuse()
	if status, hdr, _ := sit.send("/read/a", "r-2"); status != 503 || hdr.Get("Retry-After") == "" {
		t.Fatalf("status %d", status)
	}
}
