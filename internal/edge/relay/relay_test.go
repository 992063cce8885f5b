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
			ID:       cardamompass.RequestID(id),
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

func say(con net.Conn, id, rest string) bool {
	_, err := fmt.Fprintf(con, "HTTP/1.1 200 OK\r\nCardamompass-Request-Id: %s\r\n%s", id, rest)
	return err == nil
}

func cut(con *net.TCPConn, id, rest string) bool {
	say(con, id, rest)
	return false
}

const whole = "Content-Length: 5\r\n\r\nhello"

// Guards against an answer that is not the attempt's own, or not whole, being handed on, and against an outcome that
// claims more than is certain.
func TestBadAnswers(t *testing.T) {
	tests := []struct {
		name   string
		scr    script
		broken bool
	}{
		{name: "late answer to an earlier request", scr: func(con *net.TCPConn, _ string) bool { return say(con, "a-0", whole) }},
		{name: "crossed answer", scr: func(con *net.TCPConn, id string) bool { return say(con, id+"x", whole) }},
		{name: "echo missing", scr: func(con *net.TCPConn, _ string) bool {
			_, err := io.WriteString(con, "HTTP/1.1 200 OK\r\n"+whole)
			return err == nil
		}},
		{name: "echo twice", scr: func(con *net.TCPConn, id string) bool {
			return say(con, id, cardamompass.HeaderRequestID+": "+id+"\r\n"+whole)
		}},
		{name: "truncated body", broken: true, scr: func(con *net.TCPConn, id string) bool { return cut(con, id, whole[:len(whole)-1]) }},
		{name: "truncated header", broken: true, scr: func(con *net.TCPConn, id string) bool { return cut(con, id, "Content-Le") }},
		{name: "end told by the connection only", scr: func(con *net.TCPConn, id string) bool { return cut(con, id, "\r\nhello") }},
		{name: "doubled", scr: func(con *net.TCPConn, id string) bool {
			one := "HTTP/1.1 200 OK\r\nCardamompass-Request-Id: " + id + "\r\n" + whole
			_, err := io.WriteString(con, one+one)
			return err == nil
		}},
		{name: "longer than declared", scr: func(con *net.TCPConn, id string) bool { return say(con, id, whole+"!") }},
		{name: "two lengths", scr: func(con *net.TCPConn, id string) bool { return say(con, id, "Content-Length: 4\r\n"+whole) }},
		{name: "declared over the bound", scr: func(con *net.TCPConn, id string) bool {
			return say(con, id, "Content-Length: 2000\r\n\r\n"+strings.Repeat("x", 2000))
		}},
		{name: "chunked over the bound", scr: func(con *net.TCPConn, id string) bool {
			return say(con, id, "Transfer-Encoding: chunked\r\n\r\n7d0\r\n"+strings.Repeat("x", 2000)+"\r\n0\r\n\r\n")
		}},
		{name: "broken chunk size", scr: func(con *net.TCPConn, id string) bool {
			return say(con, id, "Transfer-Encoding: chunked\r\n\r\nzz\r\nhello\r\n0\r\n\r\n")
		}},
		{name: "last chunk missing", broken: true, scr: func(con *net.TCPConn, id string) bool {
			return cut(con, id, "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n")
		}},
		{name: "header flood", scr: func(con *net.TCPConn, id string) bool {
			return say(con, id, strings.Repeat("X-Flood: "+strings.Repeat("y", 1000)+"\r\n", 100)+whole)
		}},
		{name: "switches the protocol", scr: func(con *net.TCPConn, id string) bool {
			_, err := fmt.Fprintf(con, "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n"+
				"Cardamompass-Request-Id: %s\r\n\r\n", id)
			return err == nil
		}},
		{name: "no answer, connection closed", broken: true, scr: func(*net.TCPConn, string) bool { return false }},
		{name: "reset after the request bytes", broken: true, scr: func(con *net.TCPConn, _ string) bool {
			con.SetLinger(0)
			return false
		}},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			tgt, runs := rawTarget(t, tst.scr)
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
			tgt, _ := rawTarget(t, func(con *net.TCPConn, id string) bool {
				io.WriteString(con, tst.first)
				return say(con, id, "X-End: 1\r\n"+tst.rest)
			})
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
