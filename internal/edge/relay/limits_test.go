package relay_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"cardamompass"
	"cardamompass/internal/edge/relay"
)

// Guards against reporting a request as not run when it may have run, and against reporting an unknown outcome when it certainly
// did not run.
func TestNotRun(t *testing.T) {
	lsn, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	refusing := cardamompass.Target{
		ID:      "raw-1",
		Address: lsn.Addr().String(),
	}
	lsn.Close()
	const shed = "Cardamompass-Shed: true\r\nCardamompass-State: draining\r\nContent-Length: 0\r\n\r\n"
	shedding, _ := rawTarget(t, respondWith("HTTP/1.1 503 Busy\r\nCardamompass-Request-Id: {id}\r\n"+shed))
	foreign, _ := rawTarget(t, respondWith("HTTP/1.1 503 Busy\r\n"+shed))
	arrived := make(chan struct{})
	stalled, _ := rawTarget(t, func(con *net.TCPConn, _ string) bool {
		close(arrived)
		con.Read(make([]byte, 1))
		return false
	})
	stalled.Connections = 1
	var drained []cardamompass.TargetID
	rly := newRelay(t, relay.Config{
		Draining: func(tid cardamompass.TargetID) { drained = append(drained, tid) },
	})
	busy, release := context.WithCancel(t.Context())
	first := make(chan error)
	go func() {
		_, err := rly.Do(busy, attempt(stalled, "a-0"))
		first <- err
	}()
	<-arrived
	waiting := attempt(stalled, "a-1")
	waiting.Request.Deadline = time.Now().Add(50 * time.Millisecond)
	expired := attempt(shedding, "a-1")
	expired.Request.Deadline = time.Now().Add(-time.Second)
	tests := []struct {
		name   string
		atm    relay.Attempt
		notRun bool
	}{
		{name: "connection refused", atm: attempt(refusing, "a-1"), notRun: true},
		{name: "shed by the target", atm: attempt(shedding, "a-1"), notRun: true},
		{name: "shed in a response to another request", atm: attempt(foreign, "a-1")},
		{name: "no free connection before the deadline", atm: waiting, notRun: true},
		{name: "deadline passed before", atm: expired, notRun: true},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			_, err := rly.Do(t.Context(), tst.atm)
			var nre *cardamompass.NotRunError
			if errors.As(err, &nre) != tst.notRun || err == nil {
				t.Fatalf("error %v, want not-run %v", err, tst.notRun)
			}
		})
	}
	if len(drained) != 2 {
		t.Errorf("draining reported for %v, want once for each response", drained)
	}
	release()
	var uoe *cardamompass.UnknownOutcomeError
	if err := <-first; err == nil || errors.As(err, &uoe) && uoe.Broken {
		t.Errorf("cancelled attempt: %v", err)
	}
	if res := rly.Probe(t.Context(), refusing); res != relay.ProbeRefused {
		t.Errorf("probe of a closed port: %v", res)
	}
	if res := rly.Probe(t.Context(), shedding); res != relay.ProbeAccepted {
		t.Errorf("probe of an open port: %v", res)
	}
}

// Guards against a refusal whose body has no end, which kept its request until the deadline instead of letting another target run it.
func TestEndlessShed(t *testing.T) {
	tgt, _ := rawTarget(t, func(con *net.TCPConn, id string) bool {
		respondWith("HTTP/1.1 503 Busy\r\nCardamompass-Request-Id: {id}\r\nCardamompass-Shed: true\r\nTransfer-Encoding: chunked\r\n\r\n")(con, id)
		for {
			if _, err := con.Write([]byte("10\r\n0123456789abcdef\r\n")); err != nil {
				return false
			}
		}
	})
	rly := newRelay(t, relay.Config{})
	atm := attempt(tgt, "a-1")
	atm.Request.Deadline = time.Now().Add(time.Minute)
	_, err := rly.Do(t.Context(), atm)
	var nre *cardamompass.NotRunError
	if !errors.As(err, &nre) || time.Now().After(atm.Request.Deadline.Add(-30*time.Second)) {
		t.Fatalf("error %v", err)
	}
}

// Guards against net/http sending a request again on another connection when an idle connection breaks, which it does for requests
// without a body.
func TestNoResend(t *testing.T) {
	for _, key := range []string{"Idempotency-Key", "X-Other"} {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			t.Run(method+" "+key, func(t *testing.T) {
				tgt, runs := rawTarget(t, func(con *net.TCPConn, id string) bool {
					if id == "a-0" {
						return respondOwn(con, id, wholeBody)
					}
					return false
				})
				rly := newRelay(t, relay.Config{})
				for idx := range 2 {
					atm := attempt(tgt, fmt.Sprint("a-", idx))
					atm.Request.Method, atm.Request.Body = method, nil
					atm.Request.Header = http.Header{
						key: []string{"1"},
					}
					_, err := rly.Do(t.Context(), atm)
					var uoe *cardamompass.UnknownOutcomeError
					if idx == 1 && (!errors.As(err, &uoe) || !uoe.Broken) {
						t.Errorf("error %v, want an unknown outcome", err)
					}
				}
				if runs.Load() != 2 {
					t.Errorf("the target got %d requests, want 2", runs.Load())
				}
			})
		}
	}
}

// Guards against a truncated long response that ends like a complete one, and against a resumption that mixes two versions of the
// content.
func TestLongAnswers(t *testing.T) {
	partialResponse := func(tag, total string) string {
		return "HTTP/1.1 206 Partial\r\nETag: " + tag + "\r\nContent-Range: bytes 2-4/" + total +
			"\r\nContent-Length: 3\r\nCardamompass-Request-Id: a-1-resume-1\r\n\r\nllo"
	}
	tests := []struct {
		name   string
		tag    string
		resume string
		want   string
	}{
		{name: "resumed", tag: `"v1"`, resume: partialResponse(`"v1"`, "5"), want: "hello"},
		{name: "weak validator", tag: `W/"v1"`, resume: partialResponse(`W/"v1"`, "5")},
		{name: "no validator", tag: "", resume: partialResponse("", "5")},
		{name: "content changed", tag: `"v1"`, resume: partialResponse(`"v2"`, "5")},
		{name: "other length", tag: `"v1"`, resume: partialResponse(`"v1"`, "6")},
		{name: "complete content again", tag: `"v1"`, resume: "HTTP/1.1 200 OK\r\nETag: \"v1\"\r\n" +
			"Cardamompass-Request-Id: a-1-resume-1\r\n" + wholeBody},
		{name: "always interrupted", tag: `"v1"`, resume: ""},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			tgt, runs := rawTarget(t, func(con *net.TCPConn, id string) bool {
				if id == "a-1" {
					return respondAndClose(con, id, "ETag: "+tst.tag+"\r\nContent-Length: 5\r\n\r\nhe")
				}
				io.WriteString(con, tst.resume)
				return false
			})
			rly := newRelay(t, relay.Config{})
			atm := attempt(tgt, "a-1")
			atm.Class, atm.Request.Method, atm.Request.Idempotent = cardamompass.ClassLong, http.MethodGet, true
			paced := 0
			atm.Pace = func(_ context.Context, bytes int) error { paced += bytes; return nil }
			ans, err := rly.Do(t.Context(), atm)
			if err != nil {
				t.Fatal(err)
			}
			defer ans.Body.Close()
			body, err := io.ReadAll(ans.Body)
			if (err == nil) != (tst.want != "") || (err == nil && string(body) != tst.want) || errors.Is(err, io.EOF) {
				t.Fatalf("body %q, error %v, want %q", body, err, tst.want)
			}
			if runs.Load() > 4 || paced != len(body) {
				t.Errorf("%d requests, want at most 3 resumptions; %d of %d bytes paced", runs.Load(), paced, len(body))
			}
		})
	}
}

// BenchmarkDo compares Do with a direct call of http.Client.
func BenchmarkDo(b *testing.B) {
	srv := httptest.NewServer(http.HandlerFunc(func(wrt http.ResponseWriter, req *http.Request) {
		io.Copy(io.Discard, req.Body)
		wrt.Header().Set(cardamompass.HeaderRequestID, req.Header.Get(cardamompass.HeaderRequestID))
		wrt.Write(make([]byte, 1000))
	}))
	defer srv.Close()
	b.Run("client", func(b *testing.B) {
		clt := srv.Client()
		b.ReportAllocs()
		for b.Loop() {
			ctx, cancel := context.WithTimeout(b.Context(), 10*time.Second)
			req, _ := http.NewRequestWithContext(ctx, http.MethodPost, srv.URL+"/refund", nil)
			rsp, err := clt.Do(req)
			if err != nil {
				b.Fatal(err)
			}
			io.ReadAll(rsp.Body)
			rsp.Body.Close()
			cancel()
		}
	})
	b.Run("relay", func(b *testing.B) {
		rly := newRelay(b, relay.Config{})
		tgt := cardamompass.Target{
			ID:      "t",
			Address: srv.Listener.Addr().String(),
		}
		b.ReportAllocs()
		for b.Loop() {
			atm := attempt(tgt, "a-1")
			atm.Request.Body = nil
			ans, err := rly.Do(b.Context(), atm)
			if err != nil {
				b.Fatal(err)
			}
			ans.Body.Close()
		}
	})
}
