package front_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cardamompass"
	"cardamompass/internal/conf/steer"
	"cardamompass/internal/edge/buffer"
	"cardamompass/internal/edge/front"
	"cardamompass/internal/edge/send"
	"cardamompass/internal/fleet/view"
	"cardamompass/internal/obs/logkv"
	"cardamompass/internal/obs/metric"
	"cardamompass/internal/stand/ptarg"
	"cardamompass/internal/steer/place"
	"cardamompass/platform"
)

// fixture is a Front with simulated targets.
type fixture struct {
	t        *testing.T
	targets  []*ptarg.Target
	stops    []func()
	front    *front.Front
	server   *httptest.Server
	mu       sync.Mutex
	vew      *view.View
	balancer *place.Balancer
	bodies   *buffer.Pool
	crashes  []cardamompass.Crash
	// onDial is called before each connection to a target is opened. Optional.
	onDial func()
	// writeBuffer is the size of the send buffers of connections to targets in bytes; 0 leaves it to the operating system.
	writeBuffer int
	logs        logBuffer
	metrics     *metric.Metrics
	// steering is what the front reads; the zero value is the default.
	steering atomic.Pointer[steer.Settings]
	sender   *send.Sender
	quota    *fixedQuota
	waiting  atomic.Bool   // whether requests may wait for room
	room     chan struct{} // see front.Config
}

// logBuffer holds the lines of a log. It is safe for concurrent use.
type logBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (buf *logBuffer) Write(line []byte) (num int, err error) {
	buf.mu.Lock()
	defer buf.mu.Unlock()
	return buf.text.Write(line)
}

func (buf *logBuffer) String() (text string) {
	buf.mu.Lock()
	defer buf.mu.Unlock()
	return buf.text.String()
}

const (
	service = cardamompass.ServiceName("svc")
	// bodyMemory is the memory for bodies of requests, maxBody the limit of one, in bytes.
	bodyMemory = 4 << 20
	maxBody    = 1 << 20
)

func routes() (tbl *cardamompass.RoutingTable) {
	route := func(prefix string, idempotent bool, services ...cardamompass.WeightedService) (rte cardamompass.Route) {
		return cardamompass.Route{
			Name:             prefix,
			Host:             "h.example",
			Prefix:           prefix,
			Idempotent:       idempotent,
			Timeout:          400 * time.Millisecond,
			LatencyObjective: 2 * time.Second, // long enough that nothing is hedged
			WeightedServices: services,
			MaxTargets:       2,
			Sticky:           true,
		}
	}
	one := cardamompass.WeightedService{Service: service, Weight: 1}
	hedged := route("/hedged/", true, one)
	hedged.LatencyObjective = 50 * time.Millisecond
	late := route("/late/", false, one)
	late.LatencyObjective = 50 * time.Millisecond
	away := route("/away/", true, one)
	away.HomeRegions = []cardamompass.Region{"x"}
	patient := route("/patient/", false, one)
	patient.Timeout = 10 * time.Second
	waits := route("/wait/", true, one)
	waits.Timeout = 10 * time.Second
	return &cardamompass.RoutingTable{
		Version: 1,
		Routes: []cardamompass.Route{
			route("/read/", true, one),
			route("/read/deep/", false, one),
			route("/write/", false, one),
			route("/split/", true, cardamompass.WeightedService{Service: service, Weight: 3},
				cardamompass.WeightedService{Service: "none", Weight: 1}),
			hedged,
			late,
			away,
			patient,
			waits,
		},
		Limits: cardamompass.CallerLimits{
			MaxBodyBytes: maxBody,
		},
	}
}

func newFixture(t *testing.T, targets int) (fxt *fixture) {
	t.Helper()
	fxt = &fixture{
		t:        t,
		balancer: place.New(place.Config{Self: "vm-1", Region: "r"}),
		bodies:   buffer.New(buffer.Config{Limit: bodyMemory}),
		room:     make(chan struct{}, 1),
		quota:    &fixedQuota{left: 1 << 30},
	}
	lgr, _, err := logkv.New(logkv.Config{
		Writer:           &fxt.logs,
		RepeatsPerSecond: 1 << 30,
	})
	if err != nil {
		t.Fatal(err)
	}
	snd, stopSender := send.New(send.Config{
		Protocol: platform.Protocol{},
		Clock:    cardamompass.SystemClock{},
		Dial:     fxt.dialTarget,
		Log:      lgr.Logger,
	})
	fxt.steering.Store(&steer.Settings{})
	mtr, stopMetrics := metric.New(metric.Config{})
	fxt.metrics, fxt.sender = mtr, snd
	frt, stopFront := front.New(front.Config{
		Settings: func() cardamompass.VMSettings {
			return cardamompass.VMSettings{RetryBudgetPercent: 20, RetryBudgetSlack: 56, RetryBudgetWindow: 10 * time.Second}
		},
		Steering: func() steer.Settings { return *fxt.steering.Load() },
		Quota:    fxt.quota,
		Protocol: platform.Protocol{},
		Clock:    cardamompass.SystemClock{},
		Log:      lgr.Logger,
		Scope:    mtr.Scope(),
		Balancer: fxt.balancer,
		Sender:   snd,
		View:     fxt.view,
		StoreAge: func() time.Duration { return 0 },
		OnLoad:   func(cardamompass.InstanceID, cardamompass.Load) {},
		OnCrash:  fxt.crashed,
		Dial:     send.Dialer(time.Second),
		Bodies:   fxt.bodies,
		Waiting:  fxt.waiting.Load,
		Room:     fxt.room,
	})
	fxt.front = frt
	fxt.server = httptest.NewServer(frt)
	t.Cleanup(func() {
		fxt.server.Close()
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
		fxt.targets = append(fxt.targets, tgt)
		fxt.stops = append(fxt.stops, stop)
		chs = append(chs, cardamompass.Change{
			Instance: &cardamompass.Instance{
				ID:            cardamompass.InstanceID(id),
				Service:       service,
				Region:        "r",
				FailureDomain: cardamompass.FailureDomain(fmt.Sprintf("d-%d", num)),
				Address:       tgt.Address(),
				Slots:         6,
			},
		})
	}
	fxt.apply(chs...)
	return fxt
}

func (fxt *fixture) dialTarget(ctx context.Context, network, address string) (con net.Conn, err error) {
	if fxt.onDial != nil {
		fxt.onDial()
	}
	con, err = send.Dialer(time.Second)(ctx, network, address)
	if tcp, ok := con.(*net.TCPConn); ok && fxt.writeBuffer > 0 {
		err = tcp.SetWriteBuffer(fxt.writeBuffer)
	}
	return con, err
}

func (fxt *fixture) view() (vew *view.View) {
	fxt.mu.Lock()
	defer fxt.mu.Unlock()
	return fxt.vew
}

func (fxt *fixture) apply(chs ...cardamompass.Change) {
	fxt.mu.Lock()
	defer fxt.mu.Unlock()
	if fxt.vew == nil {
		fxt.vew = view.Empty()
	}
	fxt.vew = fxt.vew.WithChanges(chs, 1, view.Outage{}, time.Now())
	fxt.balancer.Sync(fxt.vew, time.Now())
}

func (fxt *fixture) crashed(crs cardamompass.Crash) {
	fxt.mu.Lock()
	fxt.crashes = append(fxt.crashes, crs)
	fxt.mu.Unlock()
	fxt.apply(cardamompass.Change{Crash: &crs})
}

func (fxt *fixture) set(flt ptarg.Fault) {
	for _, tgt := range fxt.targets {
		tgt.SetFault(flt)
	}
}

func (fxt *fixture) runs() (count int) {
	for _, tgt := range fxt.targets {
		count += len(tgt.Runs())
	}
	return count
}

func (fxt *fixture) request(ctx context.Context, path, id string) (req *http.Request) {
	fxt.t.Helper()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, fxt.server.URL+path, strings.NewReader("body of "+id))
	if err != nil {
		fxt.t.Fatal(err)
	}
	req.Host = "H.example:80"
	req.Header.Set("Request-Id", id)
	req.Header.Set("Timeout-Ms", "3000")
	req.AddCookie(&http.Cookie{Name: "Affinity-Key", Value: "17"})
	return req
}

func (fxt *fixture) send(path, id string) (status int, hdr http.Header, body string) {
	fxt.t.Helper()
	rsp, err := http.DefaultClient.Do(fxt.request(fxt.t.Context(), path, id))
	if err != nil {
		fxt.t.Fatal(err)
	}
	defer rsp.Body.Close()
	data, err := io.ReadAll(rsp.Body)
	if err != nil {
		fxt.t.Fatal(err)
	}
	return rsp.StatusCode, rsp.Header, string(data)
}

// Guards against running a non-idempotent request twice, and against refusing as not run a request that ran.
func TestNonIdempotentRequest(t *testing.T) {
	tests := []struct {
		fault  ptarg.Fault
		status int
		runs   int
	}{
		{ptarg.FaultNone, 200, 1},
		{ptarg.FaultReset, 502, 1},
		{ptarg.FaultTruncated, 502, 1},
		{ptarg.FaultGarbage, 502, 1},
		{ptarg.FaultUnframed, 200, 1},
		{ptarg.FaultCompressed, 502, 1},
		{ptarg.FaultUnsigned, 502, 1},
		{ptarg.FaultFalse503, 502, 1},
		{ptarg.FaultError, 500, 1},
		{ptarg.FaultShed, 503, 0},
		{ptarg.FaultNoResponse, 504, 1},
	}
	for _, tst := range tests {
		t.Run(string(tst.fault)+" ", func(t *testing.T) {
			fxt := newFixture(t, 3)
			fxt.set(tst.fault)
			status, hdr, body := fxt.send("/write/a", "r-1")
			if status != tst.status || fxt.runs() != tst.runs {
				t.Fatalf("status %d after %d runs, want %d after %d", status, fxt.runs(), tst.status, tst.runs)
			}
			if sealed := hdr.Get("Response-Seal") != ""; sealed != (status == 200 || status == 500) {
				t.Errorf("signature %q with status %d", hdr.Get("Response-Seal"), status)
			}
			if status == 503 && hdr.Get("Retry-After") == "" {
				t.Error("a refusal has no Retry-After header")
			}
			if status == 200 && body != ptarg.Body("r-1") {
				t.Errorf("body %q", body)
			}
		})
	}
}

// Guards against a failure of a request that a second target could have answered, and against more targets than the route allows.
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
			fxt := newFixture(t, 4)
			status, _, _ := fxt.send("/read/a", "r-0")
			if status != 200 {
				t.Fatalf("status %d", status)
			}
			fxt.set(tst.others)
			for _, tgt := range fxt.targets {
				if len(tgt.Runs()) > 0 {
					tgt.SetFault(tst.fault) // the target of this object
				}
			}
			status, _, _ = fxt.send("/read/a", "r-1")
			if status != tst.status || fxt.runs()-1 != tst.runs {
				t.Fatalf("status %d after %d runs, want %d after %d", status, fxt.runs()-1, tst.status, tst.runs)
			}
		})
	}
}

// Guards against a retry budget that is used up by requests for which there is no second target.
func TestRepeatsWithoutATargetCostNothing(t *testing.T) {
	fxt := newFixture(t, 2)
	second, _ := fxt.view().Instance("i-1")
	fxt.apply(cardamompass.Change{InstanceRemoved: "i-1"})
	fxt.set(ptarg.FaultError)
	const more = 40 // above the 28 retries that the budget allows at once
	for num := range more {
		fxt.send("/read/a", fmt.Sprintf("r-%d", num))
	}
	if fxt.runs() != more {
		t.Fatalf("%d runs of %d requests with one target", fxt.runs(), more)
	}
	fxt.apply(cardamompass.Change{Instance: &second})
	if fxt.send("/read/a", "r-last"); fxt.runs() != more+2 {
		t.Fatalf("%d runs of the last request, want 2", fxt.runs()-more)
	}
}

// Guards against failing or refusing a request that reached no target although another target could run it.
func TestUnreachableTarget(t *testing.T) {
	for _, path := range []string{"/read/a", "/write/a"} {
		t.Run(path, func(t *testing.T) {
			fxt := newFixture(t, 3)
			if status, _, _ := fxt.send(path, "r-0"); status != 200 {
				t.Fatalf("status %d", status)
			}
			for num, tgt := range fxt.targets {
				if len(tgt.Runs()) > 0 {
					fxt.stops[num]()
				}
			}
			if status, _, body := fxt.send(path, "r-1"); status != 200 || body != ptarg.Body("r-1") {
				t.Fatalf("status %d", status)
			}
		})
	}
}

// Guards against a VM that answers 404 while it has no routing table yet.
func TestResponsesWithoutTarget(t *testing.T) {
	fxt := newFixture(t, 1)
	if status, _, _ := fxt.send("/nowhere/a", "r-1"); status != 404 {
		t.Errorf("unknown route: status %d", status)
	}
	if status, hdr, _ := fxt.send("/split/a", "r-2"); status != 200 {
		t.Errorf("first service: status %d, %v", status, hdr)
	}
	fxt.mu.Lock()
	fxt.vew = view.Empty()
	fxt.mu.Unlock()
	if status, hdr, _ := fxt.send("/read/a", "r-3"); status != 503 || hdr.Get("Retry-After") == "" {
		t.Errorf("no table: status %d", status)
	}
}

// Guards against a route with a shorter prefix that takes the requests of a longer one, here one that is not idempotent.
func TestLongestPrefixWins(t *testing.T) {
	fxt := newFixture(t, 3)
	fxt.set(ptarg.FaultReset)
	if status, _, _ := fxt.send("/read/deep/a", "r-1"); status != 502 || fxt.runs() != 1 {
		t.Fatalf("status %d after %d runs", status, fxt.runs())
	}
}

// Guards against services of a route that do not get their share of the requests.
func TestSplitFollowsWeights(t *testing.T) {
	fxt := newFixture(t, 2)
	refused := 0
	for num := range 40 {
		if status, _, _ := fxt.send("/split/a", fmt.Sprint("r-", num)); status == 503 {
			refused++
		}
	}
	if refused != 10 {
		t.Fatalf("%d of 40 requests went to the service with a quarter of the weight, want 10", refused)
	}
}

// Guards against callers that wait longer than their route allows.
func TestRouteTimeout(t *testing.T) {
	fxt := newFixture(t, 2)
	fxt.set(ptarg.FaultNoResponse)
	begin := time.Now()
	status, _, _ := fxt.send("/write/a", "r-1")
	if ela := time.Since(begin); status != 504 || ela < 400*time.Millisecond || ela > 900*time.Millisecond {
		t.Fatalf("status %d after %v, want 504 within half a second of 400 ms", status, ela)
	}
}

// Guards against a late response when the first target is silent and another one could answer.
func TestHedgeOfSlowRequest(t *testing.T) {
	fxt := newFixture(t, 3)
	if status, _, _ := fxt.send("/hedged/a", "r-0"); status != 200 {
		t.Fatalf("status %d", status)
	}
	for _, tgt := range fxt.targets {
		if len(tgt.Runs()) > 0 {
			tgt.SetFault(ptarg.FaultNoResponse)
		}
	}
	if status, _, _ := fxt.send("/hedged/a", "r-1"); status != 200 || fxt.runs() != 3 {
		t.Fatalf("status %d after %d runs", status, fxt.runs()-1)
	}
}

// Guards against requests that keep running after their callers have disconnected, and against cancelling a non-idempotent request.
func TestCallerDisconnects(t *testing.T) {
	for _, tst := range []struct {
		path      string
		cancelled bool
	}{{"/read/a", true}, {"/write/a", false}} {
		t.Run(tst.path, func(t *testing.T) {
			fxt := newFixture(t, 1)
			fxt.set(ptarg.FaultNoResponse)
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan struct{})
			go func() {
				defer close(done)
				rsp, err := http.DefaultClient.Do(fxt.request(ctx, tst.path, "r-1"))
				if err == nil {
					rsp.Body.Close()
				}
			}()
			for fxt.runs() == 0 {
				time.Sleep(time.Millisecond)
			}
			cancel()
			<-done
			begin := time.Now()
			for fxt.front.Active() > 0 {
				time.Sleep(time.Millisecond)
			}
			if early := time.Since(begin) < 200*time.Millisecond; early != tst.cancelled {
				t.Fatalf("the request ended %v after its caller had disconnected; its timeout is 400 ms", time.Since(begin))
			}
		})
	}
}

// Guards against a request that crashes one target after the other because its caller sends it again and again.
func TestContentThatCrashesTargets(t *testing.T) {
	fxt := newFixture(t, 1)
	for num := range 3 {
		fxt.apply(cardamompass.Change{Instance: &cardamompass.Instance{
			ID:      cardamompass.InstanceID(fmt.Sprint("crashed-", num)),
			Service: "other",
		}})
	}
	fxt.targets[0].SetFault(ptarg.FaultReset)
	fxt.send("/write/a", "r-1")
	fxt.front.WaitCrashChecks()
	if len(fxt.crashes) > 0 {
		t.Fatal("a target that still listens was reported as crashed")
	}
	content := fxt.front.Fingerprint(fxt.request(t.Context(), "/write/a", "r-1"), []byte("body of r-1"))
	for num := range 3 {
		fxt.crashed(cardamompass.Crash{
			Fingerprint: content,
			Instance:    cardamompass.InstanceID(fmt.Sprint("crashed-", num)),
		})
	}
	runs := fxt.runs()
	fxt.targets[0].SetFault(ptarg.FaultNone)
	if status, _, _ := fxt.send("/write/a", "r-1"); status != 503 || fxt.runs() != runs {
		t.Fatalf("status %d, %d more runs", status, fxt.runs()-runs)
	}
	if status, _, _ := fxt.send("/write/b", "r-2"); status != 200 {
		t.Fatalf("request with other content: status %d", status)
	}
}

// Guards against a request that crashes the same target again and again, because the target comes back under its id: review/2 broke BUDGET
// with 12 late retries.
func TestContentThatCrashesOneTargetAgain(t *testing.T) {
	fxt := newFixture(t, 1)
	ins, _ := fxt.view().Instance("i-0")
	tgt := fxt.targets[0]
	tgt.SetFault(ptarg.FaultCrash)
	for num := range 3 {
		ins.StartMillis = int64(1000 + num)
		fxt.apply(cardamompass.Change{Instance: &ins})
		if status, _, _ := fxt.send("/write/a", "r-1"); status != 502 {
			t.Fatalf("crash %d: status %d", num+1, status)
		}
		fxt.front.WaitCrashChecks()
		if err := tgt.Restart(); err != nil {
			t.Fatal(err)
		}
	}
	ins.StartMillis = 2000
	fxt.apply(cardamompass.Change{Instance: &ins})
	tgt.SetFault(ptarg.FaultNone)
	if status, hdr, _ := fxt.send("/write/a", "r-1"); status != 503 || hdr.Get("Retry-After") == "" || fxt.runs() != 3 {
		t.Errorf("after 3 crashes: status %d, %d runs", status, fxt.runs())
	}
	if status, _, _ := fxt.send("/write/b", "r-2"); status != 200 {
		t.Errorf("request with other content: status %d", status)
	}
}

// Guards against content that crashes targets and is never refused again because a target in trouble answered it once without running it:
// review/9 broke BUDGET with up to 21 late retries.
func TestErrorDoesNotClearContent(t *testing.T) {
	for _, flt := range []ptarg.Fault{ptarg.FaultError, ptarg.FaultFalse503, ptarg.FaultShed} {
		t.Run(string(flt), func(t *testing.T) {
			fxt := newFixture(t, 1)
			content := fxt.reportCrashes("/write/a", 0, 2)
			fxt.set(flt)
			fxt.send("/write/a", "r-1")
			fxt.set(ptarg.FaultNone)
			runs := fxt.runs()
			fxt.crashed(cardamompass.Crash{
				Fingerprint: content,
				Instance:    "crashed-2",
			})
			if status, _, _ := fxt.send("/write/a", "r-1"); status != 503 || fxt.runs() != runs {
				t.Errorf("after 3 crashes: status %d, %d more runs", status, fxt.runs()-runs)
			}
		})
	}
}

// Guards against an answer that clears content of crashes that come later: a content may crash only some of its runs.
func TestAnswerClearsEarlierCrashes(t *testing.T) {
	fxt := newFixture(t, 1)
	fxt.reportCrashes("/write/a", 0, 2)
	for _, want := range []int{200, 503} {
		if status, _, _ := fxt.send("/write/a", "r-1"); status != want {
			t.Fatalf("status %d, want %d", status, want)
		}
		fxt.reportCrashes("/write/a", 2, 5)
	}
}

// Guards against a second attempt of a request that is known to crash targets since its first one.
func TestRetryOfContentThatCrashes(t *testing.T) {
	fxt := newFixture(t, 2)
	fxt.set(ptarg.FaultReset)
	fxt.onDial = func() {
		fxt.onDial = nil
		fxt.reportCrashes("/read/a", 0, 3)
	}
	if status, _, _ := fxt.send("/read/a", "r-1"); status != 502 || fxt.runs() != 1 {
		t.Fatalf("status %d, %d runs", status, fxt.runs())
	}
}

// reportCrashes reports the crashes with the numbers from to until of the content of request r-1 to a path, and returns its fingerprint.
func (fxt *fixture) reportCrashes(path string, from, until int) (content string) {
	fxt.t.Helper()
	content = fxt.front.Fingerprint(fxt.request(fxt.t.Context(), path, "r-1"), []byte("body of r-1"))
	for num := from; num < until; num++ {
		fxt.crashed(cardamompass.Crash{
			Fingerprint: content,
			Instance:    cardamompass.InstanceID(fmt.Sprint("crashed-", num)),
		})
	}
	return content
}

// Guards against new requests that keep a VM from stopping, and against callers that stay connected to a VM that stops.
func TestStop(t *testing.T) {
	fxt := newFixture(t, 1)
	fxt.front.Drain()
	rsp, err := http.DefaultClient.Do(fxt.request(t.Context(), "/read/a", "r-1"))
	if err != nil || rsp.StatusCode != http.StatusOK || !rsp.Close {
		t.Fatalf("response %+v, error %v", rsp, err)
	}
	rsp.Body.Close()
	fxt.front.Refuse()
	if status, hdr, _ := fxt.send("/read/a", "r-2"); status != 503 || hdr.Get("Retry-After") == "" {
		t.Fatalf("status %d", status)
	}
}
