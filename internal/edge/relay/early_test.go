package relay_test

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"cardamompass"
	"cardamompass/internal/edge/relay"
)

// uploadSize is more than the socket buffers of both sides hold.
const uploadSize = 16 << 20

// earlyTarget is a target that calls rsp when it has read the head of a request. The connection is closed at the end of the test.
func earlyTarget(t *testing.T, rsp responder) (tgt cardamompass.Target) {
	t.Helper()
	lsn, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	var serving sync.WaitGroup
	serving.Go(func() {
		for {
			con, err := lsn.AcceptTCP()
			if err != nil {
				return
			}
			t.Cleanup(func() { con.Close() })
			serving.Go(func() {
				req, err := http.ReadRequest(bufio.NewReader(con))
				if err == nil {
					rsp(con, req.Header.Get(cardamompass.HeaderRequestID))
				}
			})
		}
	})
	t.Cleanup(func() {
		lsn.Close()
		serving.Wait()
	})
	return cardamompass.Target{
		ID:      "raw-1",
		Address: lsn.Addr().String(),
	}
}

func upload(tgt cardamompass.Target, cls cardamompass.Class) (atm relay.Attempt) {
	atm = attempt(tgt, "a-1")
	atm.Request.Body, atm.Class = bytes.Repeat([]byte("x"), uploadSize), cls
	return atm
}

// Guards against returning the part of a response that arrived before a reset as the whole, when the reset was reported to the write of
// the request.
func TestPartOfEarlyResponse(t *testing.T) {
	const attempts = 20 // a read or a write of the connection gets the report of the reset
	tests := []struct {
		name  string
		reply string
	}{
		{name: "without a length", reply: ownHeader + "\r\nhel"},
		{name: "with a length", reply: ownHeader + wholeBody[:len(wholeBody)-2]},
		{name: "chunked", reply: ownHeader + "Transfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n"},
	}
	for _, tst := range tests {
		for _, cls := range []cardamompass.Class{cardamompass.ClassShort, cardamompass.ClassLong} {
			t.Run(tst.name+" "+string(cls), func(t *testing.T) {
				tgt := earlyTarget(t, func(con *net.TCPConn, id string) bool {
					respondWith(tst.reply)(con, id)
					_ = con.SetLinger(0)
					return con.Close() == nil
				})
				rly := newRelay(t, relay.Config{})
				for range attempts {
					ans, err := rly.Do(t.Context(), upload(tgt, cls))
					if err == nil {
						_, err = io.ReadAll(ans.Body)
						ans.Body.Close()
					}
					var uoe *cardamompass.UnknownOutcomeError
					if !errors.As(err, &uoe) {
						t.Fatalf("response %+v, error %v, want an unknown outcome", ans, err)
					}
				}
			})
		}
	}
}

// Guards against holding back a complete response until the request is written.
func TestWholeEarlyResponse(t *testing.T) {
	tgt := earlyTarget(t, respondWith(ownHeader+wholeBody))
	for _, cls := range []cardamompass.Class{cardamompass.ClassShort, cardamompass.ClassLong} {
		ans, err := newRelay(t, relay.Config{}).Do(t.Context(), upload(tgt, cls))
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(ans.Body)
		ans.Body.Close()
		if string(body) != "hello" || err != nil || ans.Status != http.StatusOK {
			t.Errorf("%s: status %d, body %q, error %v", cls, ans.Status, body, err)
		}
	}
}
