package target_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"cardamompass"
	"cardamompass/internal/stand/ctrl"
	"cardamompass/internal/stand/target"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type fixture struct {
	t   *testing.T
	tgt *target.Target
	clk *ctrl.ManualClock
	htc *http.Client
}

// start starts a target with a manual clock, so that service times end only when the test advances the clock.
func start(t *testing.T, cfg target.Config) fixture {
	t.Helper()
	clk := ctrl.NewManualClock(time.Unix(1000, 0))
	cfg.Address, cfg.Clock, cfg.ConnCost = "127.0.0.1:0", clk, -1
	tgt, cleanup, err := target.New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	trn := &http.Transport{}
	t.Cleanup(cleanup)
	t.Cleanup(trn.CloseIdleConnections)
	return fixture{
		t:   t,
		tgt: tgt,
		clk: clk,
		htc: &http.Client{
			Transport: trn,
		},
	}
}

type response struct {
	status int
	header http.Header
	body   string
	err    error
}

// send sends a GET of path with pairs of a header name and a value.
func (fix fixture) send(ctx context.Context, path string, pairs ...string) (rsp response) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+fix.tgt.Address()+path, nil)
	if err != nil {
		return response{err: err}
	}
	for idx := 0; idx < len(pairs); idx += 2 {
		req.Header.Set(pairs[idx], pairs[idx+1])
	}
	hrs, err := fix.htc.Do(req)
	if err != nil {
		return response{err: err}
	}
	defer hrs.Body.Close()
	dat, err := io.ReadAll(hrs.Body)
	return response{hrs.StatusCode, hrs.Header, string(dat), err}
}

func (fix fixture) async(ctx context.Context, path string, pairs ...string) <-chan response {
	res := make(chan response, 1)
	go func() { res <- fix.send(ctx, path, pairs...) }()
	return res
}

func (fix fixture) state() string {
	var bdy map[string]string
	_ = json.Unmarshal([]byte(fix.send(context.Background(), "/healthz").body), &bdy)
	return bdy["state"]
}

// until waits until another goroutine has made a condition true.
func (fix fixture) until(cond func(target.Runs) bool) {
	fix.t.Helper()
	for range 10000 {
		if cond(fix.tgt.Runs()) {
			return
		}
		time.Sleep(time.Millisecond)
	}
	fix.t.Fatalf("condition not reached: %+v", fix.tgt.Runs())
}

// Guards against equal content for different requests, and against resumed responses that differ from the original.
func TestContentAndRange(t *testing.T) {
	ctx := context.Background()
	fix := start(t, target.Config{Slots: 1})
	key := target.ContentKey("GET", "/map?v=1", nil)
	want := string(target.Content(key, 5000))
	rsp := fix.send(ctx, "/map?v=1", "Stand-Answer-Bytes", "5000", cardamompass.HeaderRequestID, "a-1")
	if rsp.body != want || rsp.header.Get(cardamompass.HeaderRequestID) != "a-1" {
		t.Fatalf("full response: %d bytes, %v, %v", len(rsp.body), rsp.header, rsp.err)
	}
	if other := fix.send(ctx, "/map?v=2", "Stand-Answer-Bytes", "5000"); other.body == want {
		t.Fatal("two requests have the same content")
	}
	tag := rsp.header.Get("Etag")
	rsp = fix.send(ctx, "/map?v=1", "Stand-Answer-Bytes", "5000", "Range", "bytes=1234-", "If-Range", tag)
	if rsp.status != http.StatusPartialContent || rsp.body != want[1234:] {
		t.Fatalf("resumed response: status %d, %d bytes", rsp.status, len(rsp.body))
	}
	rsp = fix.send(ctx, "/map?v=1", "Stand-Answer-Bytes", "5000", "Range", "bytes=1234-", "If-Range", `"x"`)
	if rsp.status != http.StatusOK || rsp.body != want {
		t.Fatalf("resumed response with another tag: status %d, %d bytes", rsp.status, len(rsp.body))
	}
}

// Guards against an injected fault that does not appear on the wire.
func TestAnswerFaults(t *testing.T) {
	tests := []struct {
		flt target.Fault
		// id is the echoed id; bodies, extra and half describe the bytes up to the end of the connection.
		id     string
		bodies int
		extra  bool
		half   bool
	}{
		{flt: "", id: "b", bodies: 1},
		{flt: target.FaultWrongID, id: "a", bodies: 1},
		{flt: target.FaultNoID, id: "", bodies: 1},
		{flt: target.FaultTruncated, id: "b", half: true},
		{flt: target.FaultDuplicated, id: "b", bodies: 2},
		{flt: target.FaultTooLong, id: "b", bodies: 1, extra: true},
	}
	for _, tst := range tests {
		t.Run("fault "+string(tst.flt), func(t *testing.T) {
			fix := start(t, target.Config{Slots: 1})
			fix.send(context.Background(), "/x", cardamompass.HeaderRequestID, "a")
			if tst.flt != "" {
				fix.tgt.InjectFaults(tst.flt, 1)
			}
			con, err := net.Dial("tcp", fix.tgt.Address())
			if err != nil {
				t.Fatal(err)
			}
			defer con.Close()
			_, _ = io.WriteString(con, "GET /x HTTP/1.1\r\nHost: t\r\nConnection: close\r\n"+
				cardamompass.HeaderRequestID+": b\r\n\r\n")
			// Closing the write direction before the response would cancel the request.
			raw := make([]byte, 1)
			if _, err = io.ReadFull(con, raw); err != nil {
				t.Fatal(err)
			}
			_ = con.(*net.TCPConn).CloseWrite()
			rst, _ := io.ReadAll(con)
			raw = append(raw, rst...)
			bdy := target.Content(target.ContentKey("GET", "/x", nil), 64)
			if got := bytes.Count(raw, bdy); got != tst.bodies {
				t.Errorf("%d complete bodies, want %d: %q", got, tst.bodies, raw)
			}
			if got := bytes.HasSuffix(raw, bdy[:32]); got != tst.half {
				t.Errorf("ends after half of the body: %v, want %v", got, tst.half)
			}
			if got := bytes.Contains(raw, append(bdy, "surplus"...)); got != tst.extra {
				t.Errorf("surplus bytes: %v, want %v", got, tst.extra)
			}
			if got := strings.Contains(string(raw), cardamompass.HeaderRequestID+": "+tst.id+"\r\n"); got != (tst.id != "") {
				t.Errorf("id %q is not echoed: %q", tst.id, raw)
			}
		})
	}
}

// Guards against a late response that holds its slot.
func TestLateAnswer(t *testing.T) {
	ctx := context.Background()
	fix := start(t, target.Config{Slots: 1})
	res := fix.async(ctx, "/x", "Stand-Answer-Fault", "late")
	fix.clk.AwaitTimers(1)
	if rsp := fix.send(ctx, "/y"); rsp.status != http.StatusOK {
		t.Fatalf("request during a late response: %+v", rsp)
	}
	select {
	case rsp := <-res:
		t.Fatalf("response before its delay is over: %+v", rsp)
	default:
	}
	fix.clk.Advance(time.Second)
	if rsp := <-res; rsp.status != http.StatusOK {
		t.Fatalf("late response: %+v", rsp)
	}
}

// Guards against a target that runs more than its slots, or that counts shed requests as runs.
func TestSlots(t *testing.T) {
	ctx := context.Background()
	for _, wfl := range []target.WhenFull{target.Queue, target.Shed} {
		t.Run(string(wfl), func(t *testing.T) {
			fix := start(t, target.Config{
				Slots: 2,
				Behaviour: target.Behaviour{
					ServiceMS: 1000,
					WhenFull:  wfl,
				},
			})
			one, two := fix.async(ctx, "/1"), fix.async(ctx, "/2")
			fix.until(func(run target.Runs) bool { return run.Running == 2 })
			thr := fix.async(ctx, "/3", "Stand-Service-Ms", "0", "Stand-Operation", "op-3")
			fix.until(func(run target.Runs) bool { return run.MaxPresent == 3 })
			if wfl == target.Shed {
				if rsp := <-thr; rsp.status != 503 || rsp.header.Get(cardamompass.HeaderShed) != "true" {
					t.Fatalf("request beyond the slots: %+v", rsp)
				}
			}
			fix.clk.AwaitTimers(2)
			fix.clk.Advance(time.Second)
			if rsp := <-one; rsp.status != 200 || (<-two).status != 200 {
				t.Fatal("a request with a slot got no response")
			}
			want := 0
			if wfl == target.Queue {
				want = 1
				if rsp := <-thr; rsp.status != 200 {
					t.Fatalf("queued request: %+v", rsp)
				}
			}
			if run := fix.tgt.Runs(); run.MaxRunning != 2 || run.ByOperation["op-3"] != want {
				t.Fatalf("record: %+v", run)
			}
		})
	}
}

// Guards against a drain that aborts running requests or accepts new ones, and against health reports that ignore the
// configured lag or state.
func TestDrainAndReports(t *testing.T) {
	ctx := context.Background()
	fix := start(t, target.Config{
		Slots: 1,
		Behaviour: target.Behaviour{
			HealthLagMS: 5000,
		},
	})
	run := fix.async(ctx, "/1", "Stand-Service-Ms", "1000")
	fix.clk.AwaitTimers(1)
	fix.tgt.SetDraining(true)
	rsp := fix.send(ctx, "/2")
	if rsp.header.Get(cardamompass.HeaderShed) != "true" || rsp.header.Get(cardamompass.HeaderState) != "draining" {
		t.Fatalf("new request during a drain: %+v", rsp)
	}
	fix.clk.Advance(time.Second)
	if rsp = <-run; rsp.status != 200 || rsp.header.Get(cardamompass.HeaderState) != "draining" {
		t.Fatalf("running request during a drain: %+v", rsp)
	}
	if sta := fix.state(); sta != "serving" {
		t.Fatalf("/healthz with a lag returned %q", sta)
	}
	fix.clk.Advance(5 * time.Second)
	if sta := fix.state(); sta != "draining" {
		t.Fatalf("/healthz returned %q", sta)
	}
	fix.tgt.SetBehaviour(target.Behaviour{
		HealthState: "cold",
	})
	if sta := fix.state(); sta != "cold" {
		t.Fatalf("/healthz with a set state returned %q", sta)
	}
}

// Guards against requests that keep running after their caller disconnected or their deadline passed.
func TestCancelAndDeadline(t *testing.T) {
	fix := start(t, target.Config{Slots: 1})
	ctx, cancel := context.WithCancel(context.Background())
	res := fix.async(ctx, "/1", "Stand-Service-Ms", "60000")
	fix.clk.AwaitTimers(1)
	cancel()
	<-res
	fix.until(func(run target.Runs) bool { return run.Cancelled == 1 && run.Running == 0 })
	res = fix.async(context.Background(), "/2", "Stand-Service-Ms", "60000", cardamompass.HeaderTimeout, "100")
	fix.clk.AwaitTimers(2)
	fix.clk.Advance(time.Second)
	if rsp := <-res; rsp.status != http.StatusGatewayTimeout {
		t.Fatalf("request beyond its deadline: %+v", rsp)
	}
}

// Guards against a crash that sends a response, keeps other connections or the port open, or loses the record of runs.
func TestCrashAndRestart(t *testing.T) {
	ctx := context.Background()
	fix := start(t, target.Config{
		Slots: 2,
		Behaviour: target.Behaviour{
			RestartMS: 5000,
		},
		ColdFor:    time.Minute,
		ColdFactor: 2,
	})
	oth := fix.async(ctx, "/1", "Stand-Service-Ms", "60000")
	fix.clk.AwaitTimers(1)
	if rsp := fix.send(ctx, "/2", "Stand-Crash", "true"); rsp.err == nil {
		t.Fatalf("request that crashes the target: %+v", rsp)
	}
	if rsp := <-oth; rsp.err == nil {
		t.Fatalf("request running during the crash: %+v", rsp)
	}
	if con, err := net.Dial("tcp", fix.tgt.Address()); err == nil {
		con.Close()
		t.Fatal("the port still accepts connections after the crash")
	}
	fix.until(func(run target.Runs) bool { return run.Running == 0 })
	fix.clk.Advance(5 * time.Second)
	fix.until(func(target.Runs) bool { return fix.state() == "cold" })
	fix.clk.Advance(time.Minute)
	if sta := fix.state(); sta != "serving" {
		t.Fatalf("/healthz returned %q", sta)
	}
	if run := fix.tgt.Runs(); run.Crashes != 1 || run.ByContent[target.ContentKey("GET", "/2", nil)] != 1 {
		t.Fatalf("record: %+v", run)
	}
}
