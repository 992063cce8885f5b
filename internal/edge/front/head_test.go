package front_test

import (
	"net/http"
	"testing"

	"cardamompass/internal/stand/ptarg"
)

// Guards against answers to callers that are not the target's: those of a target whose response has a malformed head.
func TestMalformedHead(t *testing.T) {
	const (
		fields = "Request-Id: {id}\r\nResponse-Seal: seal-{id}\r\n"
		body   = "Content-Length: 5\r\n\r\nhello"
	)
	tests := []struct {
		name     string
		text     string
		keepOpen bool
	}{
		{name: "status 000 without a body", text: "HTTP/1.1 000 None\r\n" + fields + "Content-Length: 0\r\n\r\n", keepOpen: true},
		{name: "status 000 with a response behind it", text: "HTTP/1.1 000 None\r\n" + fields + "\r\nHTTP/1.1 200 OK\r\n" + fields + body},
		{name: "status 600", text: "HTTP/1.1 600 High\r\n" + fields + body},
		{name: "blank within a name", text: "HTTP/1.1 200 OK\r\n" + fields + "Bad Name: x\r\n" + body},
		{name: "blank behind Transfer-Encoding", text: "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding : chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"},
		{name: "blank behind Content-Encoding", text: "HTTP/1.1 200 OK\r\n" + fields + "Content-Encoding : gzip\r\n" + body},
		{name: "blank behind Content-Length", text: "HTTP/1.1 200 OK\r\n" + fields + "Content-Length : 5\r\n\r\nhello", keepOpen: true},
		{name: "blank in the name of a refusal", text: "HTTP/1.1 503 Full\r\n" + fields + "Not-Executed: 1\r\nBad Name: x\r\n" + body},
		{name: "blank before a later name", text: "HTTP/1.1 200 OK\r\n" + fields + "X-A: 1\r\n Bad-Name: x\r\n" + body},
		{
			name: "blank before Transfer-Encoding",
			text: "HTTP/1.1 200 OK\r\n" + fields + "X-A: 1\r\n Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
		},
		{name: "control byte in a name", text: "HTTP/1.1 200 OK\r\n" + fields + "Bad\x01Name: x\r\n" + body},
	}
	for _, tst := range tests {
		raw := ptarg.RawResponse{
			Text:     tst.text,
			KeepOpen: tst.keepOpen,
		}
		t.Run(tst.name, func(t *testing.T) {
			fxt := newFixture(t, 3)
			for _, tgt := range fxt.targets {
				tgt.SetRaw(raw)
			}
			status, hdr, body := fxt.send("/write/a", "r-1")
			if status != http.StatusBadGateway || hdr.Get("Response-Seal") != "" || fxt.runs() != 1 {
				t.Errorf("not idempotent: status %d, header %v, body %q after %d runs", status, hdr, body, fxt.runs())
			}
		})
		t.Run(tst.name+", idempotent", func(t *testing.T) {
			fxt := newFixture(t, 3)
			if status, _, _ := fxt.send("/read/a", "r-0"); status != http.StatusOK {
				t.Fatalf("status %d", status)
			}
			for _, tgt := range fxt.targets {
				if len(tgt.Runs()) > 0 {
					tgt.SetRaw(raw) // the target of this object
				}
			}
			status, _, body := fxt.send("/read/a", "r-1")
			if status != http.StatusOK || body != ptarg.Body("r-1") || fxt.runs()-1 != 2 {
				t.Errorf("status %d, body %q after %d runs", status, body, fxt.runs()-1)
			}
		})
	}
}
