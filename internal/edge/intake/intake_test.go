package intake_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/goleak"
	"go.uber.org/zap"

	"cardamompass"
	"cardamompass/internal/edge/intake"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// long is a limit that no test reaches, short one that each test waits for.
const (
	long  = time.Minute
	short = 500 * time.Millisecond
)

var limits = cardamompass.CallerLimits{
	MaxHeaderBytes: 10000,
	HeaderTimeout:  long,
	IdleTimeout:    long,
}

// site is a server behind an Intake.
type site struct {
	*intake.Intake
	t       *testing.T
	address string
}

func newSite(t *testing.T, hnd http.HandlerFunc, lim cardamompass.CallerLimits) (sit *site) {
	t.Helper()
	lsn, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	sit = &site{
		Intake: intake.New(intake.Config{
			Limits: lim,
			Log:    zap.NewNop(),
		}),
		t:       t,
		address: lsn.Addr().String(),
	}
	srv := &http.Server{
		Handler: hnd,
	}
	var serving sync.WaitGroup
	serving.Go(func() {
		if err := sit.Serve(srv, lsn); !errors.Is(err, http.ErrServerClosed) {
			t.Error(err)
		}
	})
	t.Cleanup(func() {
		srv.Close()
		serving.Wait()
	})
	return sit
}

func answer(wrt http.ResponseWriter, req *http.Request) {
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		wrt.WriteHeader(http.StatusBadRequest)
	}
}

// caller is a connection of a caller.
type caller struct {
	net.Conn
	t   *testing.T
	rdr *bufio.Reader
}

func (sit *site) dial() (cal *caller) {
	sit.t.Helper()
	con, err := net.Dial("tcp", sit.address)
	if err != nil {
		sit.t.Fatal(err)
	}
	sit.t.Cleanup(func() { con.Close() })
	return &caller{
		Conn: con,
		t:    sit.t,
		rdr:  bufio.NewReader(con),
	}
}

func (cal *caller) write(text string) {
	cal.t.Helper()
	if _, err := io.WriteString(cal, text); err != nil {
		cal.t.Fatal(err)
	}
}

// status returns the status of the next response, 0 if the connection has ended.
func (cal *caller) status() (status int) {
	cal.t.Helper()
	rsp, err := http.ReadResponse(cal.rdr, nil)
	if err != nil {
		return 0
	}
	defer rsp.Body.Close()
	if _, err = io.Copy(io.Discard, rsp.Body); err != nil {
		cal.t.Fatal(err)
	}
	return rsp.StatusCode
}

func request(header, body int) (text string) {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\nX: %s\r\n\r\n%s", body, strings.Repeat("x", header), strings.Repeat("b", body))
}

// Guards against headers within the limit that are refused, alone, after one another and with long bodies, and against headers beyond
// the limit that reach a handler or are not answered.
func TestHeaderLimit(t *testing.T) {
	tests := []struct {
		name   string
		header int
		body   int
		status int
	}{
		{"short", 1, 0, 200},
		{"at the limit", 9900, 0, 200},
		{"long body", 9900, 1 << 20, 200},
		{"too long", 15000, 0, 431},
		{"too long by far", 10 << 20, 0, 431},
		{"too long with a body", 15000, 1 << 19, 431},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			cal := newSite(t, answer, limits).dial()
			for range 3 {
				writing := make(chan struct{})
				go func() {
					defer close(writing)
					_, _ = io.WriteString(cal, request(tst.header, tst.body)) // fails if the server has refused the header
				}()
				status := cal.status()
				<-writing
				if status != tst.status {
					t.Fatalf("status %d, want %d", status, tst.status)
				}
				if status != http.StatusOK {
					break
				}
			}
		})
	}
}

// Guards against a changed limit of the header that does not apply to open connections: one that waits for its first request, one that
// is idle and one on which a part of a header has arrived.
func TestHeaderLimitChanges(t *testing.T) {
	sit := newSite(t, answer, limits)
	unused, idle, partial := sit.dial(), sit.dial(), sit.dial()
	idle.write(request(1, 0))
	if status := idle.status(); status != http.StatusOK {
		t.Fatalf("status %d", status)
	}
	text := request(40000, 10)
	partial.write(text[:5000])
	lim := limits
	lim.MaxHeaderBytes = 50000
	sit.SetLimits(lim)
	partial.write(text[5000:])
	unused.write(text)
	idle.write(text)
	for name, cal := range map[string]*caller{"unused": unused, "idle": idle, "partial": partial} {
		if status := cal.status(); status != http.StatusOK {
			t.Errorf("%s connection after the limit was raised: status %d", name, status)
		}
	}
	sit.SetLimits(limits)
	for name, cal := range map[string]*caller{"unused": unused, "idle": idle, "partial": partial} {
		cal.write(text[:30000])
		if status := cal.status(); status != http.StatusRequestHeaderFieldsTooLarge {
			t.Errorf("%s connection after the limit was lowered: status %d", name, status)
		}
	}
}

// Guards against time limits that don't apply, that apply to requests in progress, or that stay as they were when the phase began.
func TestTimeLimits(t *testing.T) {
	header, idle := limits, limits
	header.HeaderTimeout = short
	idle.IdleTimeout = short
	const part, rest = "GET / HTTP/1.1\r\nHost: h\r\n", "\r\n"
	tests := []struct {
		name   string
		first  cardamompass.CallerLimits
		then   cardamompass.CallerLimits
		used   bool   // the connection has served a request before
		part   string // sent before the change
		rest   string // sent long after it
		status int    // of the response to part and rest
	}{
		{"nothing arrives", header, header, false, "", part + rest, 0},
		{"a header arrives in part", header, header, false, part, rest, 0},
		{"the second header arrives in part", header, header, true, part, rest, 0},
		{"idle", idle, idle, true, "", part + rest, 0},
		{"header timeout raised", header, limits, false, part, rest, 200},
		{"header timeout lowered", limits, header, false, part, rest, 0},
		{"idle timeout raised", idle, limits, true, "", part + rest, 200},
		{"idle timeout lowered", limits, idle, true, "", part + rest, 0},
		{"header timeout does not apply to a body", header, header, false, request(1, 4)[:len(request(1, 4))-2], "bb", 200},
		{"idle timeout does not apply to a header", idle, idle, false, part, rest, 200},
		{"idle timeout does not apply to a second header", idle, idle, true, part, rest, 200},
		{"header timeout does not apply to an idle connection", header, header, true, "", part + rest, 200},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			t.Parallel()
			sit := newSite(t, answer, tst.first)
			cal := sit.dial()
			if tst.used {
				cal.write(request(1, 0))
				if status := cal.status(); status != http.StatusOK {
					t.Fatalf("first request: status %d", status)
				}
			}
			cal.write(tst.part)
			sit.SetLimits(tst.then)
			time.Sleep(3 * short)
			_, _ = io.WriteString(cal, tst.rest) // fails if the server has closed the connection
			if status := cal.status(); status != tst.status {
				t.Fatalf("status %d, want %d", status, tst.status)
			}
		})
	}
}

// Guards against a request that is cut off or cancelled because limits apply while its handler runs, also if it has arrived together
// with the one before.
func TestHandlerIsNotLimited(t *testing.T) {
	lim := limits
	lim.HeaderTimeout, lim.IdleTimeout = short, short
	cancelled := make(chan bool, 2)
	sit := newSite(t, func(_ http.ResponseWriter, req *http.Request) {
		select {
		case <-req.Context().Done():
			cancelled <- true
		case <-time.After(3 * short):
			cancelled <- false
		}
	}, lim)
	cal := sit.dial()
	cal.write(request(1, 0) + request(1, 0))
	for range 2 {
		if status := cal.status(); status != http.StatusOK || <-cancelled {
			t.Fatalf("status %d, or the request was cancelled", status)
		}
	}
}
