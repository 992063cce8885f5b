package health_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"go.uber.org/goleak"
)

// Guards against sending work to a target whose health endpoint sends responses with malformed heads, or parts of responses, on the word
// of their bodies.
func TestProbeOfMalformedHead(t *testing.T) {
	const body = "Content-Length: 19\r\n\r\n" + `{"state":"serving"}`
	tests := []struct {
		name string
		text string
		used bool
	}{
		{name: "valid", text: "HTTP/1.1 200 OK\r\n" + body, used: true},
		{name: "status 000", text: "HTTP/1.1 000 None\r\n" + body},
		{name: "status 600", text: "HTTP/1.1 600 High\r\n" + body},
		{name: "blank in a name", text: "HTTP/1.1 200 OK\r\nBad Name: x\r\n" + body},
		{name: "valid without a length", text: "HTTP/1.1 200 OK\r\n\r\n" + `{"state":"serving"}`, used: true},
		{name: "part of a body", text: "HTTP/1.1 200 OK\r\nContent-Length: 30\r\n\r\n" + `{"state":"serving"}`},
		{name: "part of a body without a length", text: "HTTP/1.1 200 OK\r\n\r\n" + `{"state":"serving"`},
		{name: "control byte in a name", text: "HTTP/1.1 200 OK\r\nBad\x01Name: x\r\n" + body},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			defer goleak.VerifyNone(t)
			probes, done := make(chan struct{}), make(chan struct{})
			srv := httptest.NewServer(http.HandlerFunc(func(rsp http.ResponseWriter, req *http.Request) {
				con, _, err := http.NewResponseController(rsp).Hijack()
				if err != nil {
					t.Error(err)
					return
				}
				defer con.Close()
				_, _ = io.WriteString(con, tst.text)
				if req.URL.Path == "/healthz" {
					select {
					case probes <- struct{}{}:
					case <-done:
					}
				}
			}))
			defer srv.Close()
			trk := newTracker(1, nil)
			stop := probeOften(trk, srv)
			for range 5 { // the last one begins when the results of the others are recorded
				<-probes
			}
			stop()
			close(done)
			if used := len(decide(trk, 6, time.Now()).Candidates) > 0; used != tst.used {
				t.Errorf("used: %v", used)
			}
		})
	}
}
