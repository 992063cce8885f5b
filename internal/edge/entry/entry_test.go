package entry_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"cardamompass"
	"cardamompass/internal/conf/config"
	"cardamompass/internal/edge/entry"
	"cardamompass/internal/stand/demo"
)

var errDown = errors.New("store is down")

// downStore is a store that fails every call.
type downStore struct{}

func (downStore) Get(context.Context, string) (val cardamompass.Value, err error) {
	return val, errDown
}

func (downStore) Put(context.Context, string, []byte, int64) (val cardamompass.Value, err error) {
	return val, errDown
}

func (downStore) Watch(context.Context, string, int64, time.Duration) (val cardamompass.Value, err error) {
	return val, errDown
}

func (downStore) Grant(context.Context, time.Duration) (lse cardamompass.Lease, err error) {
	return lse, errDown
}

func (downStore) Renew(context.Context, cardamompass.LeaseID) (lse cardamompass.Lease, err error) {
	return lse, errDown
}

func (downStore) Inspect(context.Context, cardamompass.LeaseID) (lse cardamompass.Lease, err error) {
	return lse, errDown
}

func (downStore) Revoke(context.Context, cardamompass.LeaseID) error { return errDown }

func startWithoutStore(t testing.TB) (address string) {
	t.Helper()
	set, err := config.Parse("test", []byte(`{
		"vm-id": "vm-1", "region": "gulf", "failure-domain": "a",
		"caller-address": "127.0.0.1:0", "peer-address": "127.0.0.1:0", "operator-address": "127.0.0.1:0",
		"store-address": "127.0.0.1:1", "peer-key": "a-key-for-this-test-only",
	}`))
	if err != nil {
		t.Fatal(err)
	}
	prc, cleanup, err := entry.New(entry.Config{
		Settings: set,
		Store:    downStore{},
		Clock:    cardamompass.SystemClock{},
		Log:      zap.NewNop(),
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cleanup)
	return prc.VM().CallerAddress
}

func requestOutcome(
	t *testing.T, method, address string, headers map[string]string, body string,
) (oct cardamompass.Outcome, reason string) {
	t.Helper()
	rqs, err := http.NewRequest(method, "http://"+address, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for name, value := range headers {
		rqs.Header.Set(name, value)
	}
	res, err := http.DefaultClient.Do(rqs)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatal(err)
	}
	oct = cardamompass.Outcome(res.Header.Get(cardamompass.HeaderOutcome))
	if oct == cardamompass.OutcomeAnswered {
		return oct, ""
	}
	var rfs entry.Refusal
	if err := json.Unmarshal(data, &rfs); err != nil || rfs.Outcome != oct {
		t.Fatalf("refusal %q with outcome header %q: %v", data, oct, err)
	}
	return oct, rfs.Reason
}

// Guards against reporting "not run" for an operation of which an earlier attempt may have run through another VM: a VM
// without a catalogue can't tell.
func TestWithoutCatalogue(t *testing.T) {
	address := startWithoutStore(t)
	tests := []struct {
		name       string
		method     string
		idempotent string
		attempt    string
		want       cardamompass.Outcome
	}{
		{name: "idempotent", method: "GET", want: cardamompass.OutcomeNotRun},
		{name: "first attempt of an operation", method: "POST", idempotent: "false", attempt: "1", want: cardamompass.OutcomeNotRun},
		{name: "second attempt of an operation", method: "POST", idempotent: "false", attempt: "2", want: cardamompass.OutcomeUnknown},
		{name: "uncounted attempt of an operation", method: "POST", idempotent: "false", want: cardamompass.OutcomeUnknown},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			headers := map[string]string{
				cardamompass.HeaderRequestID: "r-1",
				cardamompass.HeaderTicket:    "vm-2/1/1",
			}
			if tst.idempotent != "" {
				headers[cardamompass.HeaderIdempotent] = tst.idempotent
			}
			if tst.attempt != "" {
				headers[cardamompass.HeaderAttempt] = tst.attempt
			}
			got, reason := requestOutcome(t, tst.method, address+"/v1/services/kiosk-core/x", headers, "")
			if got != tst.want {
				t.Fatalf("outcome %s (%s), want %s", got, reason, tst.want)
			}
		})
	}
}

// Guards against invalid input that is misinterpreted, run, or refused without a reason.
func TestBadInput(t *testing.T) {
	cfg, err := demo.Small(zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	cfg.VMs = cfg.VMs[:1]
	sit, cleanup, err := demo.New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	defer cleanup()
	address := sit.VMs[0].VM().CallerAddress
	const service = "/v1/services/kiosk-core/x"
	tests := []struct {
		name    string
		path    string
		headers map[string]string
		body    string
		want    string
	}{
		{name: "unknown path", path: "/v2/x", want: "path"},
		{name: "unknown service", path: "/v1/services/nowhere/x", want: "not in the catalogue"},
		{
			name: "no request id", path: service,
			headers: map[string]string{cardamompass.HeaderRequestID: ""}, want: cardamompass.HeaderRequestID,
		},
		{
			name: "long request id", path: service,
			headers: map[string]string{cardamompass.HeaderRequestID: strings.Repeat("x", 129)}, want: cardamompass.HeaderRequestID,
		},
		{
			name: "unclear idempotence", path: service,
			headers: map[string]string{cardamompass.HeaderIdempotent: "maybe"}, want: cardamompass.HeaderIdempotent,
		},
		{name: "timeout with unit", path: service, headers: map[string]string{cardamompass.HeaderTimeout: "5s"}, want: "5000 ms"},
		{name: "timeout too long", path: service, headers: map[string]string{cardamompass.HeaderTimeout: "5001"}, want: "5000 ms"},
		{name: "attempt zero", path: service, headers: map[string]string{cardamompass.HeaderAttempt: "0"}, want: cardamompass.HeaderAttempt},
		{name: "unknown region", path: service, headers: map[string]string{cardamompass.HeaderCallerRegion: "mars"}, want: "mars"},
		{
			name: "malformed ticket", path: service,
			headers: map[string]string{cardamompass.HeaderIdempotent: "false", cardamompass.HeaderTicket: "x"}, want: cardamompass.HeaderTicket,
		},
		{name: "large body", path: service, body: strings.Repeat("x", 65<<10), want: "65536 bytes"},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			headers := map[string]string{
				cardamompass.HeaderRequestID:  "r-1",
				cardamompass.HeaderIdempotent: "true",
			}
			for name, value := range tst.headers {
				headers[name] = value
			}
			got, reason := requestOutcome(t, http.MethodPost, address+tst.path, headers, tst.body)
			if got != cardamompass.OutcomeInvalid || !strings.Contains(reason, tst.want) {
				t.Fatalf("outcome %s, reason %q, want %q in it", got, reason, tst.want)
			}
		})
	}
	for id, tgt := range sit.Targets {
		if runs := tgt.Runs().Total; runs != 0 {
			t.Errorf("target %s ran %d requests", id, runs)
		}
	}
}

// Guards against a crash or a hang of the process on input that is not HTTP or is truncated.
func TestBrokenFraming(t *testing.T) {
	address := startWithoutStore(t)
	for _, data := range []string{
		"\x00\x01\x02\r\n\r\n",
		"GET / HTTP/1.1\r\nHost",
		"POST /v1/services/kiosk-core/x HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
		"POST /v1/services/kiosk-core/x HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nabc",
		"GET / HTTP/1.1\r\nHost: x\r\nX: " + strings.Repeat("y", 64<<10) + "\r\n\r\n",
	} {
		con, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := con.Write([]byte(data)); err != nil {
			t.Fatal(err)
		}
		_ = con.(*net.TCPConn).CloseWrite()
		response, _ := io.ReadAll(con)
		_ = con.Close()
		if bytes.HasPrefix(response, []byte("HTTP/1.1 200")) {
			t.Errorf("%.40q was answered with %.80q", data, response)
		}
	}
	if got, _ := requestOutcome(t, http.MethodGet, address+"/v1/lookup?service=kiosk-core", nil, ""); got != cardamompass.OutcomeNotRun {
		t.Errorf("the VM answers look-ups with %q afterwards", got)
	}
}
