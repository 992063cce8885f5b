package kvsrv_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"cardamompass"
	"cardamompass/internal/plat/kvhttp"
	"cardamompass/internal/stand/ctrl"
	"cardamompass/internal/stand/kvsrv"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type fixture struct {
	srv *kvsrv.Server
	kst *kvhttp.Store
	clk *ctrl.ManualClock
	adr string
}

func start(t *testing.T, flt kvsrv.Faults) fixture {
	t.Helper()
	clk := ctrl.NewManualClock(time.Unix(1000, 0))
	srv, cleanup, err := kvsrv.New(kvsrv.Config{
		Clock:  clk,
		Faults: flt,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cleanup)
	adr, stop, err := ctrl.Serve("127.0.0.1:0", srv)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	kst, done, err := kvhttp.New(kvhttp.Config{
		Address: adr,
		Timeout: 10 * time.Second,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(done)
	return fixture{
		srv: srv,
		kst: kst,
		clk: clk,
		adr: adr,
	}
}

// Guards against a lost reply whose write did not take effect, and against lost replies beyond the configured number or
// prefix.
func TestLostAnswers(t *testing.T) {
	ctx := context.Background()
	tests := []struct {
		name string
		flt  kvsrv.Faults
		lost []bool
	}{
		{"none", kvsrv.Faults{}, []bool{false, false, false}},
		{"next one", kvsrv.Faults{LoseNext: 1}, []bool{true, false, false}},
		{"prefix", kvsrv.Faults{LosePrefix: "b/"}, []bool{false, true, true}},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			fix := start(t, tst.flt)
			for idx, key := range []string{"a/1", "b/1", "b/2"} {
				_, err := fix.kst.Put(ctx, key, []byte("v"), 0)
				var wue *cardamompass.WriteUnknownError
				if errors.As(err, &wue) != tst.lost[idx] || (err != nil) != tst.lost[idx] {
					t.Errorf("put %s: %v", key, err)
				}
				if val, err := fix.kst.Get(ctx, key); err != nil || string(val.Data) != "v" {
					t.Errorf("%s after its put: %v", key, err)
				}
			}
		})
	}
}

// Guards against a compare-and-swap that ignores the revision, and against a restored store that keeps later writes.
func TestSwapAndRestore(t *testing.T) {
	ctx := context.Background()
	fix := start(t, kvsrv.Faults{})
	old, err := fix.kst.Put(ctx, "k", []byte("old"), 0)
	if err != nil {
		t.Fatal(err)
	}
	snp := fix.srv.Snapshot()
	if _, err = fix.kst.Put(ctx, "k", []byte("new"), old.Revision); err != nil {
		t.Fatal(err)
	}
	var cfe *cardamompass.ConflictError
	if _, err = fix.kst.Put(ctx, "k", []byte("late"), old.Revision); !errors.As(err, &cfe) || cfe.Have <= old.Revision {
		t.Fatalf("write with an old revision: %v", err)
	}
	fix.srv.Restore(snp)
	if val, err := fix.kst.Get(ctx, "k"); err != nil || string(val.Data) != "old" || val.Revision != old.Revision {
		t.Fatalf("after the restore: %+v, %v", val, err)
	}
}

// Guards against leases that outlive their TTL, are revived after it, or do not follow the injected clock.
func TestLease(t *testing.T) {
	ctx := context.Background()
	fix := start(t, kvsrv.Faults{})
	lse, err := fix.kst.Grant(ctx, time.Minute)
	if err != nil || lse.Remaining != time.Minute {
		t.Fatalf("grant: %+v, %v", lse, err)
	}
	fix.clk.Advance(50 * time.Second)
	if lse, err = fix.kst.Inspect(ctx, lse.ID); err != nil || lse.Remaining != 10*time.Second {
		t.Fatalf("inspect: %+v, %v", lse, err)
	}
	if lse, err = fix.kst.Renew(ctx, lse.ID); err != nil || lse.Remaining != time.Minute {
		t.Fatalf("renew: %+v, %v", lse, err)
	}
	fix.clk.Advance(time.Minute)
	var nfe *cardamompass.NotFoundError
	if _, err = fix.kst.Renew(ctx, lse.ID); !errors.As(err, &nfe) {
		t.Fatalf("renewal of an expired lease: %v", err)
	}
	if lse, err = fix.kst.Grant(ctx, time.Minute); err != nil {
		t.Fatal(err)
	}
	if err = fix.kst.Revoke(ctx, lse.ID); err != nil {
		t.Fatal(err)
	}
	if _, err = fix.kst.Inspect(ctx, lse.ID); !errors.As(err, &nfe) {
		t.Fatalf("inspection of a revoked lease: %v", err)
	}
}

// Guards against a slow write that is cancelled because its caller disconnected.
func TestSlowWriteTakesEffect(t *testing.T) {
	fix := start(t, kvsrv.Faults{
		SlowMS: 1000,
	})
	ctx, cancel := context.WithCancel(context.Background())
	res := make(chan error, 1)
	go func() {
		_, err := fix.kst.Put(ctx, "k", []byte("v"), 0)
		res <- err
	}()
	fix.clk.AwaitTimers(1)
	cancel()
	var wue *cardamompass.WriteUnknownError
	if err := <-res; !errors.As(err, &wue) {
		t.Fatalf("put whose caller disconnected: %v", err)
	}
	fix.clk.Advance(time.Second)
	fix.srv.SetFaults(kvsrv.Faults{})
	val, err := fix.kst.Watch(context.Background(), "k", 0, time.Second)
	if err != nil || string(val.Data) != "v" {
		t.Fatalf("after the put: %+v, %v", val, err)
	}
}

// Guards against rate limits and value sizes that are not enforced, and against faults that cannot be set over HTTP.
func TestLimitsOverHTTP(t *testing.T) {
	fix := start(t, kvsrv.Faults{})
	call := func(method, path, body string) int {
		req, err := http.NewRequest(method, "http://"+fix.adr+path, strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		req.Close = true
		req.Header.Set("If-Match", "0")
		rsp, err := http.DefaultClient.Do(req)
		if err != nil {
			return 0
		}
		defer rsp.Body.Close()
		_, _ = io.Copy(io.Discard, rsp.Body)
		return rsp.StatusCode
	}
	// 1,398,104 characters of base64 are 1,048,578 bytes, two more than allowed.
	big := `{"value":"` + strings.Repeat("A", 1398104) + `"}`
	tests := []struct {
		name, method, path, body string
		want                     int
	}{
		{"value too large", "PUT", "/v1/kv/k", big, 413},
		{"set a limit", "PUT", "/control/faults", `{"writes-per-second":1}`, 200},
		{"within the limit", "PUT", "/v1/kv/k", `{"value":"AAAA"}`, 200},
		{"beyond the limit", "PUT", "/v1/kv/l", `{"value":"AAAA"}`, 429},
		{"reads are not limited", "GET", "/v1/kv/k", "", 200},
		{"set an outage", "PUT", "/control/faults", `{"outage":true}`, 200},
		{"read in an outage", "GET", "/v1/kv/k", "", 0},
		{"end the outage", "PUT", "/control/faults", `{}`, 200},
		{"refused write had no effect", "GET", "/v1/kv/l", "", 404},
	}
	for _, tst := range tests {
		if got := call(tst.method, tst.path, tst.body); got != tst.want {
			t.Errorf("%s: status %d, want %d", tst.name, got, tst.want)
		}
	}
	if got := fix.srv.Counts()[kvsrv.KindLimited]; got != 1 {
		t.Errorf("%d calls were limited, want 1", got)
	}
}
