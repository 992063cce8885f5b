package pipe_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"
	"go.uber.org/goleak"
	"go.uber.org/zap"

	"cardamompass"
	"cardamompass/internal/edge/intake"
	"cardamompass/internal/edge/pipe"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// patience is how long a test waits for what must happen, quiet how long for what must not.
const (
	patience = 5 * time.Second
	quiet    = 150 * time.Millisecond
)

// site is a server behind an intake and a Pipe. Its handler names each request that it gets in begun and waits for release of its path.
type site struct {
	tb      testing.TB
	pipe    *pipe.Pipe
	intake  *intake.Intake
	scope   tally.TestScope
	server  *http.Server
	address string
	begun   chan string // method and path
	ended   chan string // the same, of requests whose context has ended

	mu       sync.Mutex
	released map[string]chan struct{}
}

var limits = cardamompass.CallerLimits{
	MaxHeaderBytes: 10000,
	HeaderTimeout:  time.Minute,
	IdleTimeout:    time.Minute,
}

// newSite starts a site. Without hnd, the handler is that of the site. Requests with a path below /read/ may run beside others.
func newSite(tb testing.TB, hnd http.Handler, cfg pipe.Config) (sit *site) {
	tb.Helper()
	sit = &site{
		tb:       tb,
		scope:    tally.NewTestScope("", nil),
		begun:    make(chan string, 1000),
		ended:    make(chan string, 1000),
		released: make(map[string]chan struct{}),
	}
	if hnd == nil {
		hnd = http.HandlerFunc(sit.serve)
	}
	cfg.Handler, cfg.Scope, cfg.Clock, cfg.Log = hnd, sit.scope, cardamompass.SystemClock{}, zap.NewNop()
	if cfg.Beside == nil {
		cfg.Beside = func(req *http.Request) bool { return strings.HasPrefix(req.URL.Path, "/read/") }
	}
	pip, stop := pipe.New(cfg)
	sit.pipe = pip
	sit.intake = intake.New(intake.Config{
		Limits: limits,
		Log:    zap.NewNop(),
	})
	lsn, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	sit.address = lsn.Addr().String()
	sit.server = &http.Server{
		Handler:     pip,
		ConnContext: pipe.ConnContext,
		ErrorLog:    zap.NewStdLog(zap.NewNop()),
	}
	if cfg.MaxRequests == unwrapped {
		sit.server.Handler, sit.server.ConnContext = hnd, nil
	}
	var serving sync.WaitGroup
	serving.Go(func() {
		if err := sit.intake.Serve(sit.server, lsn); !errors.Is(err, http.ErrServerClosed) {
			tb.Error(err)
		}
	})
	tb.Cleanup(func() {
		sit.server.Close()
		stop()
		serving.Wait()
	})
	return sit
}

// serve answers with the method, the path and the body of the request. One whose path contains "slow" waits until it is released.
func (sit *site) serve(wrt http.ResponseWriter, req *http.Request) {
	name := req.Method + " " + req.URL.Path
	body, err := io.ReadAll(req.Body)
	sit.begun <- name
	if strings.Contains(req.URL.Path, "slow") {
		select {
		case <-sit.gate(req.URL.Path):
		case <-req.Context().Done():
			sit.ended <- name
		}
	}
	if strings.Contains(req.URL.Path, "abort") {
		panic(http.ErrAbortHandler)
	}
	if strings.Contains(req.URL.Path, "last") {
		wrt.Header().Set("Connection", "close")
	}
	if err != nil {
		wrt.WriteHeader(http.StatusBadRequest)
	}
	_, _ = fmt.Fprintf(wrt, "%s %s", name, body)
}

func (sit *site) gate(path string) (chn chan struct{}) {
	sit.mu.Lock()
	defer sit.mu.Unlock()
	if sit.released[path] == nil {
		sit.released[path] = make(chan struct{})
	}
	return sit.released[path]
}

func (sit *site) release(path string) { close(sit.gate(path)) }

// expect waits for values of chn in any order.
func (sit *site) expect(chn chan string, names ...string) {
	sit.tb.Helper()
	missing := make(map[string]int)
	for _, name := range names {
		missing[name]++
	}
	for range names {
		select {
		case name := <-chn:
			if missing[name]--; missing[name] < 0 {
				sit.tb.Fatalf("got %q, want %q", name, names)
			}
		case <-time.After(patience):
			sit.tb.Fatalf("missing: %v", missing)
		}
	}
}

func (sit *site) expectNone(chn chan string) {
	sit.tb.Helper()
	select {
	case name := <-chn:
		sit.tb.Fatalf("unexpected: %s", name)
	case <-time.After(quiet):
	}
}

// eventually waits until ok returns true.
func eventually(tb testing.TB, what string, ok func() bool) {
	tb.Helper()
	for end := time.Now().Add(patience); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			tb.Fatalf("not within %v: %s", patience, what)
		}
	}
}

func (sit *site) counter(name string) (count int64) {
	for _, ctr := range sit.scope.Snapshot().Counters() {
		if ctr.Name() == name {
			count += ctr.Value()
		}
	}
	return count
}

// caller is a connection of a caller.
type caller struct {
	*net.TCPConn
	tb  testing.TB
	rdr *bufio.Reader
}

func (sit *site) dial() (cal *caller) {
	sit.tb.Helper()
	con, err := net.Dial("tcp", sit.address)
	if err != nil {
		sit.tb.Fatal(err)
	}
	sit.tb.Cleanup(func() { con.Close() })
	_ = con.SetDeadline(time.Now().Add(2 * patience))
	return &caller{
		TCPConn: con.(*net.TCPConn),
		tb:      sit.tb,
		rdr:     bufio.NewReader(con),
	}
}

func (cal *caller) send(text string) {
	cal.tb.Helper()
	if _, err := io.WriteString(cal, text); err != nil {
		cal.tb.Fatal(err)
	}
}

// get returns a request without body.
func get(path string) (text string) { return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n" }

func post(path, body string) (text string) {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
}

// takeOver sends two requests, the first of which is slow, and waits until both run.
func (sit *site) takeOver() (cal *caller) {
	sit.tb.Helper()
	cal = sit.dial()
	cal.send(get("/read/slow-0") + get("/read/0"))
	sit.expect(sit.begun, "GET /read/slow-0", "GET /read/0")
	return cal
}

// answer reads a response and returns its status and body.
func (cal *caller) answer() (status int, body string, closes bool) {
	cal.tb.Helper()
	rsp, err := http.ReadResponse(cal.rdr, nil)
	if err != nil {
		cal.tb.Fatalf("no response: %v", err)
	}
	defer rsp.Body.Close()
	data, err := io.ReadAll(rsp.Body)
	if err != nil {
		cal.tb.Fatal(err)
	}
	return rsp.StatusCode, string(data), rsp.Close
}

func (cal *caller) expect(bodies ...string) {
	cal.tb.Helper()
	for _, want := range bodies {
		if status, body, _ := cal.answer(); body != want || status != http.StatusOK {
			cal.tb.Fatalf("status %d, body %q, want %q", status, body, want)
		}
	}
}

func (cal *caller) expectEnd() {
	cal.tb.Helper()
	if rest, err := io.ReadAll(cal.rdr); len(rest) > 0 || err != nil {
		cal.tb.Fatalf("got %q, error %v, want the end of the connection", rest, err)
	}
}

// Guards against responses out of order and against requests that wait for others without need, whether they arrive in one piece or
// while the first runs.
func TestOrder(t *testing.T) {
	for _, pieces := range []bool{false, true} {
		t.Run(fmt.Sprintf("in pieces: %v", pieces), func(t *testing.T) {
			sit := newSite(t, nil, pipe.Config{})
			cal := sit.dial()
			texts := []string{get("/read/slow-0"), get("/read/1"), get("/read/slow-2"), get("/read/3")}
			if pieces {
				cal.send(texts[0])
				sit.expect(sit.begun, "GET /read/slow-0")
				for _, chr := range strings.Join(texts[1:], "") {
					cal.send(string(chr))
				}
			} else {
				cal.send(strings.Join(texts, ""))
				sit.expect(sit.begun, "GET /read/slow-0")
			}
			sit.expect(sit.begun, "GET /read/1", "GET /read/slow-2", "GET /read/3")
			sit.release("/read/slow-2")
			sit.release("/read/slow-0")
			cal.expect("GET /read/slow-0 ", "GET /read/1 ", "GET /read/slow-2 ", "GET /read/3 ")
			cal.send(get("/read/4"))
			cal.expect("GET /read/4 ")
			if sit.counter("pipelined-connections") != 1 || sit.counter("requests-ahead") < 3 {
				t.Errorf("counters: %v", sit.scope.Snapshot().Counters())
			}
			cal.Close()
			eventually(t, "the connection ends", func() bool { return sit.pipe.Stats() == pipe.Stats{} })
		})
	}
}

// Guards against a connection that is taken over although its caller never pipelines.
func TestOneAtATime(t *testing.T) {
	sit := newSite(t, nil, pipe.Config{})
	cal := sit.dial()
	for num := range 200 {
		switch num % 3 {
		case 0:
			cal.send(post("/read/p", "text"))
			cal.expect("POST /read/p text")
		default:
			cal.send(get("/read/a"))
			cal.expect("GET /read/a ")
		}
	}
	if count := sit.counter("pipelined-connections"); count != 0 {
		t.Fatalf("%d connections taken over", count)
	}
}

// Guards against requests that run beside one that must run alone, and against bodies that are taken for requests.
func TestBarrier(t *testing.T) {
	bodies := map[string]string{
		"length":  post("/read/slow-b", get("/read/x")),
		"chunked": "POST /read/slow-b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1b\r\n" + get("/read/x")[:27] + "\r\n0\r\n\r\n",
		"none":    get("/write/slow-b"),
	}
	for name, text := range bodies {
		t.Run(name, func(t *testing.T) {
			sit := newSite(t, nil, pipe.Config{})
			cal := sit.takeOver()
			cal.send(text + get("/read/1") + get("/read/2"))
			sit.expectNone(sit.begun)
			sit.release("/read/slow-0")
			begin := <-sit.begun
			sit.expectNone(sit.begun)
			path := strings.Fields(begin)[1]
			sit.release(path)
			sit.expect(sit.begun, "GET /read/1", "GET /read/2")
			cal.expect("GET /read/slow-0 ", "GET /read/0 ")
			if _, body, _ := cal.answer(); !strings.HasPrefix(body, begin) {
				t.Fatalf("got %q", body)
			}
			cal.expect("GET /read/1 ", "GET /read/2 ")
		})
	}
}

// Guards against more requests in progress than the bounds permit, against requests that are lost at a bound, and against connections that
// wait for ever.
func TestBounds(t *testing.T) {
	const count = 12
	configs := map[string]struct {
		pipe.Config
		running int // of the requests of two connections
	}{
		"requests of a connection": {pipe.Config{MaxRequests: 3}, 6},
		"bytes of a connection":    {pipe.Config{MaxBytes: 2 * len(get("/read/slow-00"))}, 6},
		"requests of the VM":       {pipe.Config{MaxVMRequests: 3}, 5},
		"bytes of the VM":          {pipe.Config{MaxVMBytes: 2 * len(get("/read/slow-00"))}, 4},
	}
	for name, cfg := range configs {
		t.Run(name, func(t *testing.T) {
			sit := newSite(t, nil, cfg.Config)
			callers := []*caller{sit.dial(), sit.dial()}
			for _, cal := range callers {
				for num := range count {
					cal.send(get(fmt.Sprintf("/read/slow-%02d", num)))
				}
			}
			eventually(t, "requests run", func() bool { return len(sit.begun) >= cfg.running })
			time.Sleep(quiet)
			if running := len(sit.begun); running > cfg.running+1 || sit.counter("pipeline-pauses") == 0 {
				t.Fatalf("%d requests run, want %d; %d pauses", running, cfg.running, sit.counter("pipeline-pauses"))
			}
			for num := range count {
				sit.release(fmt.Sprintf("/read/slow-%02d", num))
			}
			for _, cal := range callers {
				for num := range count {
					cal.expect(fmt.Sprintf("GET /read/slow-%02d ", num))
				}
			}
			// A caller may have a response before its request is removed.
			eventually(t, "no request counts as ahead", func() bool { return sit.pipe.Stats().Ahead == 0 })
		})
	}
}

// Guards against requests that are dispatched behind a response that closes the connection, and against requests before it that are not
// answered as a whole.
func TestClosingResponses(t *testing.T) {
	tests := []struct {
		name, text string
		begun      []string
		bodies     []string
	}{
		{
			"the caller asks for it", "GET /read/1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n" + get("/read/2"),
			[]string{"GET /read/1"},
			[]string{"GET /read/1 "},
		},
		{
			"HTTP/1.0", get("/read/1") + "GET /read/2 HTTP/1.0\r\n\r\n" + get("/read/3"),
			[]string{"GET /read/1"},
			[]string{"GET /read/1 ", "GET /read/2 "},
		},
		{
			"malformed", get("/read/1") + "GARBAGE\r\n\r\n" + get("/read/2"),
			[]string{"GET /read/1"},
			[]string{"GET /read/1 ", "400 Bad Request"},
		},
		{
			"long header", get("/read/1") + "GET /read/2 HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 20000) + "\r\n\r\n",
			[]string{"GET /read/1"},
			[]string{"GET /read/1 ", "431 Request Header Fields Too Large"},
		},
		{
			"two kinds of length", get("/read/1") + "POST /read/2 HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n" +
				"0\r\n\r\n" + get("/read/3"),
			[]string{"GET /read/1"},
			[]string{"GET /read/1 ", "POST /read/2 "},
		},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			sit := newSite(t, nil, pipe.Config{})
			cal := sit.takeOver()
			cal.send(tst.text)
			sit.expect(sit.begun, tst.begun...)
			sit.expectNone(sit.begun)
			sit.release("/read/slow-0")
			cal.expect("GET /read/slow-0 ", "GET /read/0 ")
			for num, want := range tst.bodies {
				_, body, closes := cal.answer()
				if last := num == len(tst.bodies)-1; body != want || closes != last {
					t.Fatalf("body %q, want %q; the connection closes: %v", body, want, closes)
				}
			}
			cal.expectEnd()
		})
	}
}

// Guards against requests that lose their responses because the handler closes the connection after an earlier one, as during a planned
// stop.
func TestHandlerCloses(t *testing.T) {
	sit := newSite(t, nil, pipe.Config{})
	cal := sit.dial()
	cal.send(get("/read/slow-last") + get("/read/1") + get("/read/slow-2"))
	sit.expect(sit.begun, "GET /read/slow-last", "GET /read/1", "GET /read/slow-2")
	sit.release("/read/slow-last")
	for _, want := range []string{"GET /read/slow-last ", "GET /read/1 "} {
		if _, body, closes := cal.answer(); body != want || closes {
			t.Fatalf("body %q, want %q; the connection closes: %v", body, want, closes)
		}
	}
	cal.send(get("/read/3"))
	sit.expectNone(sit.begun)
	sit.release("/read/slow-2")
	if _, body, closes := cal.answer(); body != "GET /read/slow-2 " || !closes {
		t.Fatalf("body %q, the connection closes: %v", body, closes)
	}
	cal.expectEnd()
}

// Guards against requests that go on after their caller has disconnected: while the loop reads, while it pauses with requests unread, and
// while a request runs alone.
func TestDisconnect(t *testing.T) {
	ends := map[string]func(cal *caller){
		"close": func(cal *caller) { cal.CloseWrite() },
		"reset": func(cal *caller) {
			_ = cal.SetLinger(0)
			cal.Close()
		},
	}
	for name, end := range ends {
		for _, kind := range []string{"reading", "paused", "alone"} {
			t.Run(name+" "+kind, func(t *testing.T) {
				sit := newSite(t, nil, pipe.Config{
					MaxRequests: 3,
				})
				cal := sit.dial()
				cal.send(get("/read/slow-0"))
				sit.expect(sit.begun, "GET /read/slow-0")
				running := []string{"GET /read/slow-0"}
				switch kind {
				case "alone":
					cal.send(get("/write/slow"))
					sit.release("/read/slow-0")
					running = []string{"GET /write/slow"}
				case "paused":
					cal.send(get("/read/slow-1") + get("/read/slow-2") + strings.Repeat(get("/read/x"), 500))
					running = append(running, "GET /read/slow-1", "GET /read/slow-2")
				default:
					cal.send(get("/read/slow-1"))
					running = append(running, "GET /read/slow-1")
				}
				if kind == "alone" {
					sit.expect(sit.begun, running...)
				} else {
					sit.expect(sit.begun, running[1:]...)
				}
				begin := time.Now()
				end(cal)
				sit.expect(sit.ended, running...)
				if ela := time.Since(begin); ela > 400*time.Millisecond {
					t.Errorf("cancelled after %v", ela)
				}
				sit.expectNone(sit.begun)
				eventually(t, "the connection ends", func() bool { return sit.pipe.Stats() == pipe.Stats{} })
			})
		}
	}
}

// Guards against a panic that leaves a caller waiting, or that lets later responses take the place of a missing one.
func TestAbort(t *testing.T) {
	sit := newSite(t, nil, pipe.Config{})
	cal := sit.takeOver()
	cal.send(get("/read/abort") + get("/read/slow-1"))
	sit.expect(sit.begun, "GET /read/abort", "GET /read/slow-1")
	sit.release("/read/slow-0")
	cal.expect("GET /read/slow-0 ", "GET /read/0 ")
	sit.expect(sit.ended, "GET /read/slow-1")
	if rest, _ := io.ReadAll(cal.rdr); len(rest) > 0 {
		t.Fatalf("got %q", rest)
	}
	first := sit.dial()
	first.send(get("/read/slow-abort") + get("/read/1"))
	sit.expect(sit.begun, "GET /read/slow-abort", "GET /read/1")
	sit.release("/read/slow-abort")
	if rest, _ := io.ReadAll(first.rdr); len(rest) > 0 {
		t.Fatalf("got %q", rest)
	}
}

// Guards against a shutdown that cuts requests off, that waits for idle connections, or that returns before the last response.
func TestShutdown(t *testing.T) {
	sit := newSite(t, nil, pipe.Config{})
	idle := sit.takeOver()
	sit.release("/read/slow-0")
	idle.expect("GET /read/slow-0 ", "GET /read/0 ")
	busy := sit.dial()
	busy.send(get("/read/slow-1") + get("/read/1"))
	sit.expect(sit.begun, "GET /read/slow-1", "GET /read/1")
	ended := make(chan error, 1)
	go func() { ended <- sit.pipe.Shutdown(context.Background()) }()
	idle.expectEnd()
	busy.send(get("/read/2"))
	sit.expectNone(sit.begun)
	select {
	case err := <-ended:
		t.Fatalf("shutdown ended before the requests, error %v", err)
	default:
	}
	sit.release("/read/slow-1")
	busy.expect("GET /read/slow-1 ")
	if _, body, closes := busy.answer(); body != "GET /read/1 " || !closes {
		t.Fatalf("body %q, the connection closes: %v", body, closes)
	}
	busy.Close()
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
	late := sit.dial()
	late.send(get("/read/slow-3") + get("/read/3"))
	sit.expect(sit.begun, "GET /read/slow-3")
	sit.release("/read/slow-3")
	late.expect("GET /read/slow-3 ", "GET /read/3 ")
}
