package kvhttp_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"cardamompass"
	"cardamompass/internal/plat/kvhttp"
	"cardamompass/internal/plat/stall"
	"cardamompass/internal/stand/ctrl"
	"cardamompass/internal/stand/kvsrv"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func client(t *testing.T, address string, timeout time.Duration) *kvhttp.Store {
	t.Helper()
	kst, cleanup, err := kvhttp.New(kvhttp.Config{
		Address: address,
		Timeout: timeout,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cleanup)
	return kst
}

func serve(t *testing.T, hnd http.Handler) (address string) {
	t.Helper()
	adr, stop, err := ctrl.Serve("127.0.0.1:0", hnd)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	return adr
}

func store(t *testing.T, clk cardamompass.Clock) (*kvsrv.Server, *kvhttp.Store) {
	t.Helper()
	srv, cleanup, err := kvsrv.New(kvsrv.Config{
		Clock: clk,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cleanup)
	return srv, client(t, serve(t, srv), 10*time.Second)
}

// kind returns a name for the type of err in the error contract of cardamompass.Store.
func kind(err error) string {
	var (
		nfe *cardamompass.NotFoundError
		cfe *cardamompass.ConflictError
		wue *cardamompass.WriteUnknownError
		ine *cardamompass.InvalidError
	)
	switch {
	case err == nil:
		return "none"
	case errors.As(err, &wue):
		return "unknown"
	case errors.As(err, &nfe):
		return "not-found"
	case errors.As(err, &cfe):
		return "conflict"
	case errors.As(err, &ine):
		return "invalid"
	default:
		return "plain"
	}
}

// Guards against mapping a response to the wrong error, in particular against treating an unknown outcome as certain.
func TestErrorContract(t *testing.T) {
	ctx := context.Background()
	raw := func(status int, bdy string) http.HandlerFunc {
		return func(rsw http.ResponseWriter, _ *http.Request) {
			rsw.WriteHeader(status)
			_, _ = rsw.Write([]byte(bdy))
		}
	}
	tests := []struct {
		name       string
		hnd        http.HandlerFunc
		put, renew string
		get        string
	}{
		{"connection closed without a response", func(http.ResponseWriter, *http.Request) { ctrl.Abort() }, "unknown", "unknown", "plain"},
		{"response is not JSON", raw(200, "<html>"), "unknown", "unknown", "plain"},
		{"response for another key", raw(200, `{"key":"other","revision":9}`), "unknown", "unknown", "plain"},
		{"response without revision", raw(200, `{"key":"k"}`), "unknown", "unknown", "plain"},
		{"response too long", raw(200, strings.Repeat(" ", 3<<20)), "unknown", "unknown", "plain"},
		{"server failed", raw(500, `{"error":"internal"}`), "unknown", "unknown", "plain"},
		{"redirect", raw(307, ""), "unknown", "unknown", "plain"},
		{"404 of another server", raw(404, "no such page"), "unknown", "unknown", "plain"},
		{"404 of the store", raw(404, `{"error":"not-found"}`), "not-found", "not-found", "not-found"},
		{"412 without revision", raw(412, `{"error":"conflict"}`), "unknown", "unknown", "plain"},
		{"412 of the store", raw(412, `{"error":"conflict","revision":7}`), "conflict", "conflict", "conflict"},
		{"rate limited", raw(429, ""), "plain", "plain", "plain"},
		{"too large", raw(413, ""), "plain", "plain", "plain"},
		{"truncated", func(rsw http.ResponseWriter, _ *http.Request) {
			rsw.Header().Set("Content-Length", "100")
			_, _ = rsw.Write([]byte(`{"key":"k","revision":1}`))
			_ = http.NewResponseController(rsw).Flush()
			ctrl.Abort()
		}, "unknown", "unknown", "plain"},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			kst := client(t, serve(t, tst.hnd), 10*time.Second)
			_, err := kst.Put(ctx, "k", []byte("v"), 0)
			if kind(err) != tst.put {
				t.Errorf("Put: %v is %s, want %s", err, kind(err), tst.put)
			}
			_, err = kst.Renew(ctx, "l")
			if kind(err) != tst.renew {
				t.Errorf("Renew: %v is %s, want %s", err, kind(err), tst.renew)
			}
			_, err = kst.Get(ctx, "k")
			if kind(err) != tst.get {
				t.Errorf("Get: %v is %s, want %s", err, kind(err), tst.get)
			}
		})
	}
}

// Guards against reporting an unknown outcome for a write that was not sent, against reporting a write without a response as
// failed, and against a call that never ends.
func TestUnknownOutcome(t *testing.T) {
	got := make(chan struct{}, 1)
	hts := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, req *http.Request) {
		got <- struct{}{}
		<-req.Context().Done() // a server that never responds
	}))
	defer hts.Close()
	adr := hts.Listener.Addr().String()
	kst := client(t, adr, 10*time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-got
		cancel()
	}()
	if err := kst.Revoke(ctx, "l"); kind(err) != "unknown" {
		t.Errorf("write that was cancelled after it was sent: %v", err)
	}
	if _, err := kst.Put(ctx, "k", nil, 0); kind(err) != "plain" {
		t.Errorf("write with a cancelled context: %v", err)
	}
	ctx = context.Background()
	if _, err := client(t, adr, time.Millisecond).Get(ctx, "k"); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("call without a response: %v", err)
	}
	if _, err := kst.Put(ctx, "k", make([]byte, cardamompass.MaxValueBytes+1), 0); kind(err) != "invalid" {
		t.Errorf("write of a value that is too large: %v", err)
	}
	hts.Close()
	if _, err := client(t, adr, 10*time.Second).Put(ctx, "k", nil, 0); kind(err) != "plain" {
		t.Errorf("write to a closed port: %v", err)
	}
}

// Guards against keys that are split or resolved as paths, and against values that are changed by their encoding.
func TestKeysAndValues(t *testing.T) {
	ctx := context.Background()
	_, kst := store(t, nil)
	big := make([]byte, cardamompass.MaxValueBytes)
	for idx := range big {
		big[idx] = byte(idx * 7)
	}
	for _, key := range []string{"a", "a/b", "/", "..", "a/../b", "a b?c=%2F#d", "ä", "link/gulf/delta"} {
		if _, err := kst.Get(ctx, key); kind(err) != "not-found" {
			t.Errorf("%q before its write: %v", key, err)
		}
		want := big
		if key != "a/b" {
			want = big[:300] // one value of the largest size is enough
		}
		val, err := kst.Put(ctx, key, want, 0)
		if err != nil {
			t.Fatalf("%q: %v", key, err)
		}
		got, err := kst.Get(ctx, key)
		if err != nil || got.Key != key || got.Revision != val.Revision || string(got.Data) != string(want) {
			t.Errorf("%q: wrong value after its write: %v", key, err)
		}
	}
}

// Guards against a watch that misses a write, and against a watch that returns before its wait has ended.
func TestWatch(t *testing.T) {
	ctx := context.Background()
	clk := ctrl.NewManualClock(time.Unix(1000, 0))
	srv, kst := store(t, clk)
	type result struct {
		val cardamompass.Value
		err error
	}
	res := make(chan result, 1)
	watch := func(after int64) {
		go func() {
			val, err := kst.Watch(ctx, "k", after, time.Second)
			res <- result{val, err}
		}()
		clk.AwaitTimers(1)
	}
	watch(0)
	val, err := kst.Put(ctx, "k", []byte("v"), 0)
	if err != nil {
		t.Fatal(err)
	}
	if got := <-res; got.err != nil || got.val.Revision != val.Revision || string(got.val.Data) != "v" {
		t.Fatalf("watch of a new key: %+v", got)
	}
	watch(val.Revision)
	clk.Advance(time.Second)
	if got := <-res; got.err != nil || got.val.Revision != val.Revision {
		t.Fatalf("watch after its wait: %+v", got)
	}
	watch(val.Revision)
	srv.SetFaults(kvsrv.Faults{
		Outage: true,
	})
	if got := <-res; kind(got.err) != "plain" {
		t.Fatalf("watch during an outage: %+v", got)
	}
	if got := srv.Counts()[kvsrv.KindWatch]; got < 3 {
		t.Fatalf("%d watches were counted, want 3 or more", got)
	}
}

// Guards against a value that can never be read on a slow link, because each response is given up after a fixed time, and against one
// that stalls and is waited for.
func TestSlowResponse(t *testing.T) {
	const (
		timeout = 800 * time.Millisecond
		parts   = 20
	)
	part := strings.Repeat("QUJD", 1000)
	handler := func(stallAfter int) http.HandlerFunc {
		return func(wrt http.ResponseWriter, req *http.Request) {
			_, _ = io.WriteString(wrt, `{"key":"doc","revision":7,"value":"`) // errors show in the result of the call
			for num := range parts {
				if num == stallAfter {
					<-req.Context().Done()
					return
				}
				_, _ = io.WriteString(wrt, part)
				_ = http.NewResponseController(wrt).Flush()
				time.Sleep(timeout / 8)
			}
			_, _ = io.WriteString(wrt, `"}`)
		}
	}
	slow := client(t, serve(t, handler(parts)), timeout)
	if val, err := slow.Get(t.Context(), "doc"); err != nil || val.Revision != 7 || len(val.Data) != parts*3000 {
		t.Errorf("slow response: %d bytes, error %v", len(val.Data), err)
	}
	if val, err := slow.Watch(t.Context(), "doc", 6, time.Second); err != nil || val.Revision != 7 {
		t.Errorf("slow response to a watch: revision %d, error %v", val.Revision, err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	if _, err := client(t, serve(t, handler(parts/2)), timeout).Get(ctx, "doc"); !errors.Is(err, stall.ErrStalled) {
		t.Errorf("response that stalls: error %v", err)
	}
}
