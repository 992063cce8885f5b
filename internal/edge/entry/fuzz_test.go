package entry_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"cardamompass"
	"cardamompass/internal/edge/entry"
	"cardamompass/internal/stand/demo"
)

// exchangeTimeout is the time after which an exchange counts as hung. The longest timeout of the demo's short service is 5 s.
const exchangeTimeout = 30 * time.Second

// requestSeeds are look-ups, requests and malformed input.
var requestSeeds = []string{
	"GET /v1/lookup?service=kiosk-core&region=gulf HTTP/1.1\r\nHost: x\r\n\r\n",
	"GET /v1/lookup?service=kiosk-core&client=192.0.2.1 HTTP/1.0\r\n\r\n",
	"GET /v1/lookup?service=nowhere&client=::1&region=%zz HTTP/1.1\r\nHost: x\r\n\r\n",
	"GET /v1/lookup?client=1;2 HTTP/1.1\r\nHost: x\r\n\r\nGET /v1/lookup HTTP/1.1\r\nHost: x\r\n\r\n",
	"POST /v1/lookup HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{}",
	"GET /v1/operations?request-id=r-1&ticket=gulf-a-1/1/1 HTTP/1.1\r\nHost: x\r\n\r\n",
	"GET /v1/operations?request-id=r%201&ticket=a/b HTTP/1.1\r\nHost: x\r\n\r\n",
	"GET /v1/services/kiosk-core/stock/7?a=b HTTP/1.1\r\nHost: x\r\nCardamompass-Request-Id: r-2\r\nCardamompass-Timeout-Ms: 500\r\n\r\n",
	"HEAD /v1/services/kiosk-core/a%2Fb HTTP/1.1\r\nHost: x\r\nCardamompass-Request-Id: r-3\r\n\r\n",
	"POST /v1/services/kiosk-core/rentals HTTP/1.1\r\nHost: x\r\nCardamompass-Request-Id: r-4\r\nCardamompass-Idempotent: false\r\n" +
		"Cardamompass-Attempt: 1\r\nCardamompass-Ticket: gulf-a-1/1/1\r\nContent-Length: 3\r\n\r\nabc",
	"PUT /v1/services/kiosk-core/x HTTP/1.1\r\nHost: x\r\nCardamompass-Request-Id: r-5\r\nCardamompass-Idempotent: true\r\n" +
		"Cardamompass-Caller-Region: delta\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n0\r\nTrailer: z\r\n\r\n",
	"POST /v1/services/kiosk-core/x HTTP/1.1\r\nHost: x\r\nCardamompass-Request-Id: r-6\r\nCardamompass-Idempotent: true\r\n" +
		"Expect: 100-continue\r\nContent-Length: 5\r\n\r\n12345",
	"GET /v1/services/manuals-dl/map HTTP/1.1\r\nHost: x\r\nCardamompass-Request-Id: r-7\r\nRange: bytes=0-1\r\nConnection: close\r\n\r\n",
	"GET /v1/services// HTTP/1.1\r\nHost: x\r\n\r\n",
	"GET /v1/services/%00/../x HTTP/1.1\r\nHost: x\r\n\r\n",
	"GET http://y/v1/services/kiosk-core HTTP/1.1\r\nHost: x\r\nCardamompass-Request-Id: r 8\r\nCardamompass-Timeout-Ms: -1\r\n\r\n",
	"CONNECT kiosk-core:80 HTTP/1.1\r\nHost: x\r\n\r\n",
	"OPTIONS * HTTP/1.1\r\nHost: x\r\n\r\n",
	"POST /v1/services/kiosk-core/x HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	"POST /v1/services/kiosk-core/x HTTP/1.1\r\nHost: x\r\nContent-Length: -1\r\n\r\n",
	"GET / HTTP/9.9\r\nHost: x\r\n\r\n",
	"HEAD / HTTP/2.0\r\nHost: x\r\n\r\n",
	"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
	"\x16\x03\x01\x00\x05hello",
	"GET / HTTP/1.1\r\nHost",
	"",
}

// startWithLogs starts an entry VM with its platform and captures its logs, which include the errors of the HTTP servers.
func startWithLogs(t testing.TB) (address string, logs *observer.ObservedLogs) {
	t.Helper()
	core, logs := observer.New(zapcore.InfoLevel)
	cfg, err := demo.Small(zap.New(core))
	if err != nil {
		t.Fatal(err)
	}
	cfg.VMs = cfg.VMs[:1]
	sit, cleanup, err := demo.New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cleanup)
	return sit.VMs[0].VM().CallerAddress, logs
}

// exchange sends raw bytes on a new connection, closes its write side, and returns all bytes up to the end of the connection.
func exchange(t testing.TB, address string, data []byte) (response []byte) {
	t.Helper()
	con, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = con.Close() }()
	if err = con.SetDeadline(time.Now().Add(exchangeTimeout)); err != nil {
		t.Fatal(err)
	}
	// The server may close the connection before all data is written; the response that it sent before still counts.
	if _, err = con.Write(data); err == nil {
		_ = con.(*net.TCPConn).CloseWrite()
	}
	response, err = io.ReadAll(con)
	var nerr net.Error
	if errors.As(err, &nerr) && nerr.Timeout() {
		t.Fatalf("no end of the connection within %s", exchangeTimeout)
	}
	return response
}

// requestMethods returns the methods of the requests in data up to the first that cannot be parsed. They are needed to
// parse the responses, since a response to HEAD has no body.
func requestMethods(data []byte) (list []string) {
	rdr := bufio.NewReader(bytes.NewReader(data))
	for {
		rqs, err := http.ReadRequest(rdr)
		if err != nil {
			return list
		}
		list = append(list, rqs.Method)
		if _, err = io.Copy(io.Discard, rqs.Body); err != nil {
			return list
		}
	}
}

// checkResponses describes the first fault in the responses to data; it returns "" if there is none.
func checkResponses(data, response []byte) (fault string) {
	rdr := bufio.NewReader(bytes.NewReader(response))
	sent := requestMethods(data)
	for num := 0; ; {
		if _, err := rdr.Peek(1); err != nil {
			return ""
		}
		rqs := &http.Request{
			Method: http.MethodGet,
		}
		if num < len(sent) {
			rqs.Method = sent[num]
		}
		res, err := http.ReadResponse(rdr, rqs)
		if err != nil {
			return "is not HTTP: " + err.Error()
		}
		body, err := io.ReadAll(res.Body)
		if err != nil {
			return "" // the connection was closed before the declared end of the response
		}
		if res.StatusCode == http.StatusContinue {
			continue
		}
		num++
		if fault = checkResponse(rqs.Method, res, body); fault != "" {
			return fault
		}
		if res.Close && res.Header.Get(cardamompass.HeaderOutcome) == "" {
			return "" // net/http sends a body with its own error responses to HEAD too, and then closes the connection
		}
	}
}

// checkResponse describes the fault of one response; it returns "" if there is none.
func checkResponse(method string, res *http.Response, body []byte) (fault string) {
	status := map[cardamompass.Outcome]int{
		cardamompass.OutcomeNotRun:  http.StatusServiceUnavailable,
		cardamompass.OutcomeUnknown: http.StatusBadGateway,
		cardamompass.OutcomeInvalid: http.StatusBadRequest,
	}
	oct := cardamompass.Outcome(res.Header.Get(cardamompass.HeaderOutcome))
	want, refused := status[oct]
	switch {
	case oct == cardamompass.OutcomeAnswered:
		return ""
	case refused && res.StatusCode != want:
		return "has outcome " + string(oct) + " and status " + res.Status
	case refused && method == http.MethodHead:
		return ""
	case refused:
		var rfs entry.Refusal
		if err := json.Unmarshal(body, &rfs); err != nil || rfs.Outcome != oct || rfs.Reason == "" {
			return "is a refusal without reason: " + string(body)
		}
		return ""
	case oct != "":
		return "has outcome " + string(oct)
	case res.StatusCode == http.StatusOK && json.Valid(body) && res.Header.Get("Content-Type") == "application/json":
		return "" // a look-up or the status of an operation
	case res.Close && res.StatusCode >= http.StatusBadRequest:
		return "" // net/http rejects requests that it cannot parse, and closes the connection
	case res.StatusCode == http.StatusOK && method == http.MethodOptions && len(body) == 0:
		return "" // net/http answers "OPTIONS *" itself
	case res.StatusCode == http.StatusMethodNotAllowed:
		return "" // see TestWrongMethod
	}
	return "has status " + res.Status + " and no outcome"
}

// Guards against caller input that causes a panic in the process or a handler, hangs, or gets a response from which a
// caller cannot determine the outcome.
func FuzzRequests(f *testing.F) {
	for _, seed := range requestSeeds {
		f.Add([]byte(seed))
	}
	address, logs := startWithLogs(f)
	f.Fuzz(func(t *testing.T, data []byte) {
		response := exchange(t, address, data)
		if fault := checkResponses(data, response); fault != "" {
			t.Errorf("the response %s\n%q", fault, response)
		}
		for _, ent := range logs.TakeAll() {
			if strings.Contains(ent.Message, "panic") {
				t.Errorf("log: %s", ent.Message)
			}
		}
	})
}

// Guards against a response without outcome and reason to a look-up with a wrong method.
func TestWrongMethod(t *testing.T) {
	address, _ := startWithLogs(t)
	for _, path := range []string{"/v1/lookup?service=kiosk-core", "/v1/operations"} {
		response := exchange(t, address, []byte("POST "+path+" HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"))
		if !bytes.Contains(response, []byte(cardamompass.HeaderOutcome+": invalid")) {
			t.Errorf("POST %s: %q", path, response)
		}
	}
}

// Guards against a checkResponses that accepts faulty responses, since FuzzRequests relies on it.
func TestCheckResponses(t *testing.T) {
	tests := []struct {
		name      string
		sent      string
		response  string
		wantFault bool
	}{
		{name: "no response", response: ""},
		{name: "not HTTP", response: "hello\r\n\r\n", wantFault: true},
		{name: "no outcome", response: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", wantFault: true},
		{
			name:     "unknown outcome",
			response: "HTTP/1.1 200 OK\r\nCardamompass-Outcome: maybe\r\nContent-Length: 0\r\n\r\n", wantFault: true,
		},
		{
			name:     "status of another outcome",
			response: "HTTP/1.1 502 x\r\nCardamompass-Outcome: not-run\r\nContent-Length: 0\r\n\r\n", wantFault: true,
		},
		{
			name:     "refusal without reason",
			response: "HTTP/1.1 400 x\r\nCardamompass-Outcome: invalid\r\nContent-Length: 2\r\n\r\n{}", wantFault: true,
		},
		{name: "error on a connection that stays open", response: "HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n", wantFault: true},
		{name: "second response without outcome", response: "HTTP/1.1 200 OK\r\nCardamompass-Outcome: answered\r\nContent-Length: 0\r\n\r\n" +
			"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx", wantFault: true},
		{name: "cut response", response: "HTTP/1.1 200 OK\r\nCardamompass-Outcome: answered\r\nContent-Length: 9\r\n\r\nx"},
		{
			name: "response to HEAD", sent: "HEAD / HTTP/1.1\r\nHost: x\r\n\r\n",
			response: "HTTP/1.1 400 x\r\nCardamompass-Outcome: invalid\r\nContent-Length: 9\r\n\r\n",
		},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			if fault := checkResponses([]byte(tst.sent), []byte(tst.response)); (fault != "") != tst.wantFault {
				t.Errorf("fault %q", fault)
			}
		})
	}
}
