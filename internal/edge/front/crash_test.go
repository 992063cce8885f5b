package front_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"cardamompass"
)

// crashBound is the time after a crash within which it must be known.
const crashBound = 2 * time.Second

// crashingTarget is a target that writes a part of an answer some time after it has read a request, and then crashes. It takes no notice of
// callers that close their connections.
type crashingTarget struct {
	lsn net.Listener

	mu    sync.Mutex
	conns []net.Conn
	read  chan struct{} // has an element for each request that was read
}

func newCrashingTarget(t *testing.T, work time.Duration, part string) (tgt *crashingTarget) {
	t.Helper()
	lsn, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	tgt = &crashingTarget{
		lsn:  lsn,
		read: make(chan struct{}, 100),
	}
	t.Cleanup(tgt.crash)
	go func() {
		for {
			con, err := lsn.Accept()
			if err != nil {
				return
			}
			tgt.mu.Lock()
			tgt.conns = append(tgt.conns, con)
			tgt.mu.Unlock()
			go tgt.serve(con, work, part)
		}
	}()
	return tgt
}

func (tgt *crashingTarget) serve(con net.Conn, work time.Duration, part string) {
	if _, err := http.ReadRequest(bufio.NewReader(con)); err != nil {
		return
	}
	tgt.read <- struct{}{}
	time.Sleep(work)
	_, _ = con.Write([]byte(part))
	tgt.crash()
}

func (tgt *crashingTarget) crash() {
	_ = tgt.lsn.Close()
	tgt.mu.Lock()
	defer tgt.mu.Unlock()
	for _, con := range tgt.conns {
		_ = con.Close()
	}
}

// add registers a target as the only one of the service.
func (fxt *fixture) add(tgt *crashingTarget, leaving bool) {
	fxt.apply(cardamompass.Change{
		Instance: &cardamompass.Instance{
			ID:            "i-1",
			Service:       service,
			Region:        "r",
			FailureDomain: "d-1",
			Address:       tgt.lsn.Addr().String(),
			Slots:         6,
			StartMillis:   100,
			Leaving:       leaving,
		},
	})
}

// knownCrashes waits until a crash is known or the bound has passed and returns the number of them.
func (fxt *fixture) knownCrashes(bound time.Duration) (count int) {
	for end := time.Now().Add(bound); count == 0 && time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		fxt.mu.Lock()
		count = len(fxt.crashes)
		fxt.mu.Unlock()
	}
	return count
}

// Guards against content that crashes its targets again and again because they crash at another moment than before their answer. This broke
// BUDGET in review/12.
func TestCrashAtAnyMoment(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nResponse-Seal: s\r\nContent-Length: 100\r\n"
	tests := []struct {
		name string
		part string
	}{
		{"before the answer", ""},
		{"in the status line", "HTTP/1.1 2"},
		{"in the header", head},
		{"before the body", head + "\r\n"},
		{"in the body", head + "\r\nhalf of it"},
		{"in a body without a length", "HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nResponse-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"},
		{"behind an interim response", "HTTP/1.1 100 Continue\r\n\r\n"},
		{"after bytes that are no answer", "no answer\r\n\r\n"},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			t.Parallel()
			fxt := newFixture(t, 0)
			fxt.add(newCrashingTarget(t, 20*time.Millisecond, tst.part), false)
			if status, _, _ := fxt.send("/read/a", "r-1"); status != http.StatusBadGateway {
				t.Errorf("status %d", status)
			}
			if count := fxt.knownCrashes(crashBound); count != 1 {
				t.Errorf("%d crashes are known", count)
			}
		})
	}
}

// Guards against content that crashes its targets again and again because its caller leaves before they crash, or because they do so after
// the deadline. This broke BUDGET in review/13.
func TestCrashOfAbandonedRequest(t *testing.T) {
	tests := []struct {
		name string
		// leaves is when the caller leaves, work when the target crashes; the route has a timeout of 400 ms.
		leaves, work time.Duration
		part         string
	}{
		{"at once", 50 * time.Millisecond, 60 * time.Millisecond, ""},
		{"some time later", 50 * time.Millisecond, 350 * time.Millisecond, ""},
		{"in its answer", 50 * time.Millisecond, 350 * time.Millisecond, "HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\n"},
		{"after the deadline", time.Second, 600 * time.Millisecond, ""},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			t.Parallel()
			fxt := newFixture(t, 0)
			fxt.add(newCrashingTarget(t, tst.work, tst.part), false)
			ctx, cancel := context.WithTimeout(t.Context(), tst.leaves)
			defer cancel()
			if rsp, err := http.DefaultClient.Do(fxt.request(ctx, "/read/a", "r-1")); err == nil {
				rsp.Body.Close()
			}
			if count := fxt.knownCrashes(tst.work + crashBound); count != 1 {
				t.Errorf("%d crashes are known", count)
			}
		})
	}
}

// Guards against content that is suspected although its target has not crashed: it serves on, or has ended as planned.
func TestAbandonedRequestWithoutCrash(t *testing.T) {
	for _, planned := range []bool{false, true} {
		fxt := newFixture(t, 0)
		tgt := newCrashingTarget(t, time.Minute, "")
		fxt.add(tgt, false)
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			<-tgt.read
			cancel()
		}()
		if rsp, err := http.DefaultClient.Do(fxt.request(ctx, "/read/a", "r-1")); err == nil {
			rsp.Body.Close()
		}
		if planned {
			fxt.add(tgt, true)
			time.Sleep(100 * time.Millisecond) // a check that has begun before ends
			tgt.crash()
		}
		if count := fxt.knownCrashes(time.Second); count != 0 {
			t.Errorf("planned %v: %d crashes are known", planned, count)
		}
	}
}
