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
		// net/http keeps some connections for 0.5 s after it has closed its side.
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = sit.server.Shutdown(ctx)
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

func (sit *site) dial() (cal *caller) { return sit.dialFor(sit.tb) }

// dialFor is dial in another test than that of the site.
func (sit *site) dialFor(tb testing.TB) (cal *caller) {
	tb.Helper()
	con, err := net.Dial("tcp", sit.address)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { con.Close() })
	_ = con.SetDeadline(time.Now().Add(2 * patience))
	return &caller{
		TCPConn: con.(*net.TCPConn),
		tb:      tb,
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
