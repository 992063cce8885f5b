package relay_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"cardamompass"
	"cardamompass/internal/edge/relay"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// responder responds to one request on a raw connection. It returns false to close the connection.
type responder func(con *net.TCPConn, id string) (more bool)

// rawTarget serves connections with rsp. runs counts the requests that were received.
func rawTarget(t testing.TB, rsp responder) (tgt cardamompass.Target, runs *atomic.Int64) {
	t.Helper()
	lsn, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	runs = new(atomic.Int64)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			con, err := lsn.Accept()
			if err != nil {
				return
			}
			go func() {
				defer con.Close()
				buf := bufio.NewReader(con)
				for {
					req, err := http.ReadRequest(buf)
					if err != nil {
						return
					}
					io.Copy(io.Discard, req.Body)
					runs.Add(1)
					if !rsp(con.(*net.TCPConn), req.Header.Get(cardamompass.HeaderRequestID)) {
						return
					}
				}
			}()
		}
	}()
	t.Cleanup(func() {
		lsn.Close()
		<-done
	})
	return cardamompass.Target{
		ID:      "raw-1",
		Address: lsn.Addr().String(),
	}, runs
}

func newRelay(t testing.TB, cfg relay.Config) *relay.Relay {
	t.Helper()
	cfg.Clock = cardamompass.SystemClock{}
	rly, cleanup, err := relay.New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cleanup)
	return rly
}

func attempt(tgt cardamompass.Target, id string) relay.Attempt {
	return relay.Attempt{
		Request: cardamompass.Request{
			Method:   http.MethodPost,
			Path:     "/refund",
			Body:     []byte("amount=3"),
			Deadline: time.Now().Add(10 * time.Second),
		},
		Target:    tgt,
		AttemptID: id,
		Class:     cardamompass.ClassShort,
	}
}

// respondOwn writes a response that echoes the attempt's id.
func respondOwn(con *net.TCPConn, id, rest string) bool { return respondWith(ownHeader+rest)(con, id) }

// respondWith returns a responder that writes text, with {id} replaced by the attempt's id.
func respondWith(text string) responder {
	return func(con *net.TCPConn, id string) bool {
		_, err := io.WriteString(con, strings.ReplaceAll(text, "{id}", id))
		return err == nil
	}
}

// respondAndClose is respondOwn for a connection that is then closed.
func respondAndClose(con *net.TCPConn, id, rest string) bool {
	respondOwn(con, id, rest)
	return false
}

const ownHeader = "HTTP/1.1 200 OK\r\nCardamompass-Request-Id: {id}\r\n"

const wholeBody = "Content-Length: 5\r\n\r\nhello"

// Guards against returning a response that is incomplete or belongs to another attempt, and against an error that claims more than
// is certain.
func TestBadAnswers(t *testing.T) {
	const chunked = ownHeader + "Transfer-Encoding: chunked\r\n\r\n"
	tests := []struct {
		name   string
		reply  string
		end    bool // the target closes the connection after the reply
		reset  bool
		broken bool
	}{
		{name: "late response to an earlier request", reply: strings.Replace(ownHeader, "{id}", "a-0", 1) + wholeBody},
		{name: "response to another request", reply: strings.Replace(ownHeader, "{id}", "{id}x", 1) + wholeBody},
		{name: "echo missing", reply: "HTTP/1.1 200 OK\r\n" + wholeBody},
		{name: "echo twice", reply: ownHeader + cardamompass.HeaderRequestID + ": {id}\r\n" + wholeBody},
		{name: "truncated body", reply: ownHeader + wholeBody[:len(wholeBody)-1], end: true, broken: true},
		{name: "truncated header", reply: ownHeader + "Content-Le", end: true, broken: true},
		{name: "end marked only by the close of the connection", reply: ownHeader + "\r\nhello", end: true},
		{name: "doubled", reply: ownHeader + wholeBody + ownHeader + wholeBody},
		{name: "longer than declared", reply: ownHeader + wholeBody + "!"},
		{name: "two lengths", reply: ownHeader + "Content-Length: 4\r\n" + wholeBody},
		{name: "declared over the bound", reply: ownHeader + "Content-Length: 2000\r\n\r\n" + strings.Repeat("x", 2000)},
		{name: "chunked over the bound", reply: chunked + "7d0\r\n" + strings.Repeat("x", 2000) + "\r\n0\r\n\r\n"},
		{name: "broken chunk size", reply: chunked + "zz\r\nhello\r\n0\r\n\r\n"},
		{name: "chunk longer than its size", reply: chunked + "4\r\nhello\r\n0\r\n\r\n"},
		{name: "last chunk missing", reply: chunked + "5\r\nhello\r\n", end: true, broken: true},
		{name: "header flood", reply: ownHeader + strings.Repeat("X-Flood: "+strings.Repeat("y", 1000)+"\r\n", 100) + wholeBody},
		{name: "switches the protocol", reply: "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n" +
			"Cardamompass-Request-Id: {id}\r\n\r\n"},
		{name: "status 000", reply: strings.Replace(ownHeader, "200 OK", "000 None", 1) + wholeBody},
		{name: "status 099", reply: strings.Replace(ownHeader, "200 OK", "099 Low", 1) + wholeBody},
		{name: "status 600", reply: strings.Replace(ownHeader, "200 OK", "600 High", 1) + wholeBody},
		{name: "blank within a name", reply: ownHeader + "Bad Name: x\r\n" + wholeBody},
		{
			name:  "blank in the name of a shed response",
			reply: strings.Replace(ownHeader, "200 OK", "503 Full", 1) + cardamompass.HeaderShed + ": true\r\nBad Name: x\r\n" + wholeBody,
		},
		{name: "blank in the name of an interim response", reply: "HTTP/1.1 103 Early Hints\r\nBad Name: x\r\n\r\n" + ownHeader + wholeBody},
		{name: "blank behind Content-Length", reply: ownHeader + "Content-Length : 5\r\n\r\nhello", end: true},
		{name: "blank behind Transfer-Encoding", reply: ownHeader + "Transfer-Encoding : chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", end: true},
		{name: "blank behind Content-Encoding", reply: ownHeader + "Content-Encoding : gzip\r\n" + wholeBody},
		{name: "blank before the first name", reply: "HTTP/1.1 200 OK\r\n Bad-Name: x\r\n" + strings.TrimPrefix(ownHeader, "HTTP/1.1 200 OK\r\n") + wholeBody},
		{name: "blank before a later name", reply: ownHeader + "X-A: 1\r\n Bad-Name: x\r\n" + wholeBody},
		{name: "blank before Content-Encoding", reply: ownHeader + "X-A: 1\r\n Content-Encoding: gzip\r\n" + wholeBody},
		{name: "control byte in a name", reply: ownHeader + "Bad\x01Name: x\r\n" + wholeBody},
		{name: "tab in a name", reply: ownHeader + "Bad\tName: x\r\n" + wholeBody},
		{name: "control byte in a value", reply: ownHeader + "X-A: \x01\r\n" + wholeBody},
		{name: "no response, connection closed", end: true, broken: true},
		{name: "reset after the request bytes", end: true, reset: true, broken: true},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			tgt, runs := rawTarget(t, func(con *net.TCPConn, id string) bool {
				respondWith(tst.reply)(con, id)
				if tst.reset {
					con.SetLinger(0)
				}
				return !tst.end
			})
			rly := newRelay(t, relay.Config{
				MaxShortBytes: 1000,
			})
			ans, err := rly.Do(t.Context(), attempt(tgt, "a-1"))
			var uoe *cardamompass.UnknownOutcomeError
			if !errors.As(err, &uoe) {
				t.Fatalf("response %+v, error %v, want an unknown outcome", ans, err)
			}
			if uoe.Broken != tst.broken {
				t.Errorf("Broken = %v, want %v: %v", uoe.Broken, tst.broken, err)
			}
			if runs.Load() != 1 {
				t.Errorf("the target got the request %d times", runs.Load())
			}
		})
	}
}

// Guards against rejecting a complete response, and against returning it changed.
func TestWholeAnswers(t *testing.T) {
	tests := []struct {
		name  string
		first string
		rest  string
	}{
		{name: "declared length", rest: wholeBody},
		{name: "chunked", rest: "Transfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n"},
		{name: "early hints first", first: "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n", rest: wholeBody},
		{name: "hop-by-hop headers", rest: "Connection: X-Hop, keep-alive\r\nX-Hop: 1\r\nKeep-Alive: timeout=5\r\n" + wholeBody},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			tgt, _ := rawTarget(t, respondWith(tst.first+ownHeader+"X-End: 1\r\n"+tst.rest))
			rly := newRelay(t, relay.Config{})
			for idx := range 3 {
				ans, err := rly.Do(t.Context(), attempt(tgt, fmt.Sprint("a-", idx)))
				if err != nil {
					t.Fatal(err)
				}
				body, err := io.ReadAll(ans.Body)
				if string(body) != "hello" || err != nil || ans.Length != 5 || ans.Status != http.StatusOK {
					t.Fatalf("body %q, error %v, response %+v", body, err, ans)
				}
				for name := range ans.Header {
					if name != "X-End" && name != "Content-Length" {
						t.Errorf("header %s reached the caller", name)
					}
				}
			}
		})
	}
}
