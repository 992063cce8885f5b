package send_test

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"cardamompass/internal/edge/send"
	"cardamompass/internal/stand/ptarg"
)

const (
	// ownFields are the fields by which a target marks a response as its own.
	ownFields = "Request-Id: {id}\r\nResponse-Seal: seal-{id}\r\n"
	ownBody   = "Content-Length: 5\r\n\r\nhello"
)

// Guards against handing on a response whose head breaks the grammar of HTTP, against taking the bytes behind such a head for the
// response, and against believing what it says about the request.
func TestMalformedHead(t *testing.T) {
	tests := []struct {
		name     string
		text     string
		keepOpen bool
	}{
		{name: "status 000 without a body", text: "HTTP/1.1 000 None\r\n" + ownFields + "Content-Length: 0\r\n\r\n", keepOpen: true},
		{name: "status 000 with a response behind it", text: "HTTP/1.1 000 None\r\n" + ownFields + "\r\nHTTP/1.1 200 OK\r\n" + ownFields + ownBody},
		{name: "status 000 that denies the run", text: "HTTP/1.1 000 None\r\n" + ownFields + "Not-Executed: 1\r\n" + ownBody},
		{name: "status 101 that was not asked for", text: "HTTP/1.1 101 Switch\r\nUpgrade: x\r\n\r\nHTTP/1.1 200 OK\r\n" + ownFields + ownBody},
		{name: "status 099", text: "HTTP/1.1 099 Low\r\n" + ownFields + "Content-Length: 0\r\n\r\n", keepOpen: true},
		{name: "status with a sign", text: "HTTP/1.1 +20 OK\r\n" + ownFields + "Content-Length: 0\r\n\r\n", keepOpen: true},
		{name: "status -00", text: "HTTP/1.1 -00 OK\r\n" + ownFields + "Content-Length: 0\r\n\r\n", keepOpen: true},
		{name: "status 600", text: "HTTP/1.1 600 High\r\n" + ownFields + ownBody, keepOpen: true},
		{name: "status 999", text: "HTTP/1.1 999 High\r\n" + ownFields + ownBody, keepOpen: true},
		{name: "status of two digits", text: "HTTP/1.1 20 OK\r\n" + ownFields + ownBody},
		{name: "status that is no number", text: "HTTP/1.1 OK! OK\r\n" + ownFields + ownBody},
		{name: "blank within a name", text: "HTTP/1.1 200 OK\r\n" + ownFields + "Bad Name: x\r\n" + ownBody, keepOpen: true},
		{name: "blank in the name of a refusal", text: "HTTP/1.1 503 Full\r\n" + ownFields + "Not-Executed: 1\r\nBad Name: x\r\n" + ownBody},
		{name: "blank in the name of an error", text: "HTTP/1.1 500 Error\r\n" + ownFields + "Bad Name: x\r\n" + ownBody},
		{
			name: "blank in the name of an interim response",
			text: "HTTP/1.1 103 Early Hints\r\nBad Name: x\r\n\r\nHTTP/1.1 200 OK\r\n" + ownFields + ownBody,
		},
		{name: "blank behind Content-Length", text: "HTTP/1.1 200 OK\r\n" + ownFields + "Content-Length : 5\r\n\r\nhello and more"},
		{name: "blank behind Transfer-Encoding", text: "HTTP/1.1 200 OK\r\n" + ownFields + "Transfer-Encoding : chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"},
		{name: "blank behind Content-Encoding", text: "HTTP/1.1 200 OK\r\n" + ownFields + "Content-Encoding : gzip\r\n" + ownBody},
		{name: "blank before the first name", text: "HTTP/1.1 200 OK\r\n Bad-Name: x\r\n" + ownFields + ownBody},
		{name: "blank before a later name", text: "HTTP/1.1 200 OK\r\n" + ownFields + "X-A: 1\r\n Bad-Name: x\r\n" + ownBody},
		{name: "tab before a later name", text: "HTTP/1.1 200 OK\r\n" + ownFields + "X-A: 1\r\n\tBad-Name: x\r\n" + ownBody},
		{
			name: "blank before Transfer-Encoding",
			text: "HTTP/1.1 200 OK\r\n" + ownFields + "X-A: 1\r\n Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
		},
		{
			name: "blank before a name behind an interim response",
			text: "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n" + ownFields + "X-A: 1\r\n Bad-Name: x\r\n" + ownBody,
		},
		{name: "NUL in a name", text: "HTTP/1.1 200 OK\r\n" + ownFields + "Bad\x00Name: x\r\n" + ownBody},
		{name: "control byte in a name", text: "HTTP/1.1 200 OK\r\n" + ownFields + "Bad\x01Name: x\r\n" + ownBody},
		{name: "control byte before a name", text: "HTTP/1.1 200 OK\r\n" + ownFields + "\x1bBad-Name: x\r\n" + ownBody},
		{name: "tab in a name", text: "HTTP/1.1 200 OK\r\n" + ownFields + "Bad\tName: x\r\n" + ownBody},
		{name: "tab behind Content-Length", text: "HTTP/1.1 200 OK\r\n" + ownFields + "Content-Length\t: 5\r\n\r\nhello and more"},
		{name: "carriage return in a name", text: "HTTP/1.1 200 OK\r\n" + ownFields + "Bad\rName: x\r\n" + ownBody},
		{name: "DEL in a name", text: "HTTP/1.1 200 OK\r\n" + ownFields + "Bad\x7fName: x\r\n" + ownBody},
		{name: "empty name", text: "HTTP/1.1 200 OK\r\n" + ownFields + ": x\r\n" + ownBody},
		{name: "line without a colon", text: "HTTP/1.1 200 OK\r\n" + ownFields + "Bad-Name\r\n" + ownBody},
		{name: "control byte in a value", text: "HTTP/1.1 200 OK\r\n" + ownFields + "X-A: \x01\r\n" + ownBody},
		{name: "carriage return in a value", text: "HTTP/1.1 200 OK\r\n" + ownFields + "X-A: 1\rX-B: 2\r\n" + ownBody},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			snd := newSender(t)
			tgt, ins := newTarget(t)
			tgt.SetRaw(ptarg.RawResponse{
				Text:     tst.text,
				KeepOpen: tst.keepOpen,
			})
			msg := message("r-1")
			msg.Deadline = time.Now().Add(2 * time.Second)
			rep, err := snd.Do(t.Context(), ins, msg)
			var fai *send.Failure
			if !errors.As(err, &fai) || fai.Kind != send.KindInvalidResponse || fai.NotRun {
				t.Fatalf("reply %+v with body %q, error %v", rep, rep.Body, err)
			}
			if snd.IdleCount() != 0 {
				t.Error("the connection is kept")
			}
			tgt.SetFault(ptarg.FaultNone)
			if rep, err = snd.Do(t.Context(), ins, message("r-2")); err != nil || string(rep.Body) != ptarg.Body("r-2") {
				t.Fatalf("next request: reply %+v, error %v", rep, err)
			}
		})
	}
}

// Guards against rejecting a response that is unusual but valid.
func TestUnusualHead(t *testing.T) {
	tests := []struct {
		name string
		text string
		body string
	}{
		{name: "interim response", text: "HTTP/1.1 103 Early Hints\r\nX-A: 1\r\n\r\nHTTP/1.1 200 OK\r\n" + ownFields + ownBody, body: "hello"},
		{name: "no reason", text: "HTTP/1.1 200\r\n" + ownFields + ownBody, body: "hello"},
		{name: "all characters of a token", text: "HTTP/1.1 200 OK\r\n" + ownFields + "!#$%&'*+-.^_`|~09azAZ: x\r\n" + ownBody, body: "hello"},
		{name: "empty value", text: "HTTP/1.1 200 OK\r\n" + ownFields + "X-A:\r\n" + ownBody, body: "hello"},
		{name: "bare line feeds", text: "HTTP/1.1 200 OK\nRequest-Id: {id}\nResponse-Seal: s\nContent-Length: 5\n\nhello", body: "hello"},
		{
			name: "lines with blanks in the body",
			text: "HTTP/1.1 200 OK\r\n" + ownFields + "Content-Length: 14\r\n\r\n hello\r\n hello",
			body: " hello\r\n hello",
		},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			snd := newSender(t)
			tgt, ins := newTarget(t)
			tgt.SetRaw(ptarg.RawResponse{
				Text: tst.text,
			})
			rep, err := snd.Do(t.Context(), ins, message("r-1"))
			if err != nil || rep.Status != http.StatusOK || string(rep.Body) != tst.body {
				t.Errorf("reply %+v with body %q, error %v", rep, rep.Body, err)
			}
		})
	}
}
