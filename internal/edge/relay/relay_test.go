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

// script answers one request on a raw connection. It returns false to close the connection.
type script func(con *net.TCPConn, id string) (more bool)

// rawTarget serves connections with scr. runs counts the requests whose header arrived.
func rawTarget(t testing.TB, scr script) (tgt cardamompass.Target, runs *atomic.Int64) {
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
					if !scr(con.(*net.TCPConn), req.Header.Get(cardamompass.HeaderRequestID)) {
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

func say(con *net.TCPConn, id, rest string) bool { return reply(own+rest)(con, id) }

// reply answers each request with text.
func reply(text string) script {
	return func(con *net.TCPConn, id string) bool {
		_, err := io.WriteString(con, strings.ReplaceAll(text, "{id}", id))
		return err == nil
	}
}

func cut(con *net.TCPConn, id, rest string) bool {
	say(con, id, rest)
	return false
}

const own = "HTTP/1.1 200 OK\r\nCardamompass-Request-Id: {id}\r\n"

const whole = "Content-Length: 5\r\n\r\nhello"

// Guards against an answer that is not the attempt's own, or not whole, being handed on, and against an outcome that
// claims more than is certain.
func TestBadAnswers(t *testing.T) {
	const chunked = own + "Transfer-Encoding: chunked\r\n\r\n"
	tests := []struct {
		name   string
		reply  string
		end    bool // the target closes the connection after the reply
		reset  bool
		broken bool
	}{
		{name: "late answer to an earlier request", reply: strings.Replace(own, "{id}", "a-0", 1) + whole},
		{name: "crossed answer", reply: strings.Replace(own, "{id}", "{id}x", 1) + whole},
		{name: "echo missing", reply: "HTTP/1.1 200 OK\r\n" + whole},
		{name: "echo twice", reply: own + cardamompass.HeaderRequestID + ": {id}\r\n" + whole},
		{name: "truncated body", reply: own + whole[:len(whole)-1], end: true, broken: true},
		{name: "truncated header", reply: own + "Content-Le", end: true, broken: true},
		{name: "end told by the connection only", reply: own + "\r\nhello", end: true},
		{name: "doubled", reply: own + whole + own + whole},
		{name: "longer than declared", reply: own + whole + "!"},
		{name: "two lengths", reply: own + "Content-Length: 4\r\n" + whole},
		{name: "declared over the bound", reply: own + "Content-Length: 2000\r\n\r\n" + strings.Repeat("x", 2000)},
		{name: "chunked over the bound", reply: chunked + "7d0\r\n" + strings.Repeat("x", 2000) + "\r\n0\r\n\r\n"},
		{name: "broken chunk size", reply: chunked + "zz\r\nhello\r\n0\r\n\r\n"},
		{name: "chunk longer than its size", reply: chunked + "4\r\nhello\r\n0\r\n\r\n"},
		{name: "last chunk missing", reply: chunked + "5\r\nhello\r\n", end: true, broken: true},
		{name: "header flood", reply: own + strings.Repeat("X-Flood: "+strings.Repeat("y", 1000)+"\r\n", 100) + whole},
		{name: "switches the protocol", reply: "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n" +
			"Cardamompass-Request-Id: {id}\r\n\r\n"},
		{name: "no answer, connection closed", end: true, broken: true},
		{name: "reset after the request bytes", end: true, reset: true, broken: true},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			tgt, runs := rawTarget(t, func(con *net.TCPConn, id string) bool {
				reply(tst.reply)(con, id)
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
				t.Fatalf("answer %+v, error %v, want an unknown outcome", ans, err)
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

// Guards against a whole answer being refused, or reaching the caller changed.
func TestWholeAnswers(t *testing.T) {
	tests := []struct {
		name  string
		first string
		rest  string
	}{
		{name: "declared length", rest: whole},
		{name: "chunked", rest: "Transfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n"},
		{name: "early hints first", first: "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n", rest: whole},
		{name: "hop-by-hop headers", rest: "Connection: X-Hop, keep-alive\r\nX-Hop: 1\r\nKeep-Alive: timeout=5\r\n" + whole},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			tgt, _ := rawTarget(t, reply(tst.first+own+"X-End: 1\r\n"+tst.rest))
			rly := newRelay(t, relay.Config{})
			for idx := range 3 {
				ans, err := rly.Do(t.Context(), attempt(tgt, fmt.Sprint("a-", idx)))
				if err != nil {
					t.Fatal(err)
				}
				body, err := io.ReadAll(ans.Body)
				if string(body) != "hello" || err != nil || ans.Length != 5 || ans.Status != http.StatusOK {
					t.Fatalf("body %q, error %v, answer %+v", body, err, ans)
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
