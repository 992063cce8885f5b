package send_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"cardamompass"
	"cardamompass/internal/edge/send"
	"cardamompass/internal/edge/sock"
	"cardamompass/platform"
)

// uploadSize is more than the socket buffers of both sides hold, so that the write of an upload that is not read does not end.
const uploadSize = 16 << 20

// earlyTarget is a target that responds to the head of a request with text, in which {id} stands for the ID of the request, and passes
// the connection to end with the rest of the request unread. Connections are closed at the end of the test.
func earlyTarget(t *testing.T, text string, end func(con *net.TCPConn)) (ins cardamompass.Instance) {
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
				if err != nil {
					return
				}
				_, _ = io.WriteString(con, strings.ReplaceAll(text, "{id}", req.Header.Get("Request-Id")))
				end(con)
			})
		}
	})
	t.Cleanup(func() {
		lsn.Close()
		serving.Wait()
	})
	return cardamompass.Instance{
		ID:      "i-1",
		Service: "svc",
		Address: lsn.Addr().String(),
		Slots:   6,
	}
}

func reset(con *net.TCPConn) {
	_ = con.SetLinger(0)
	_ = con.Close()
}

// writeFirstConn is a connection whose reads wait until a write has failed, so that the failure is not reported to them.
type writeFirstConn struct {
	net.Conn
	once   sync.Once
	failed chan struct{}
}

func (con *writeFirstConn) Write(buf []byte) (num int, err error) {
	if num, err = con.Conn.Write(buf); err != nil {
		con.once.Do(func() { close(con.failed) })
	}
	return num, err
}

func (con *writeFirstConn) Read(buf []byte) (num int, err error) {
	<-con.failed // at the deadline of the request at the latest
	return con.Conn.Read(buf)
}

// newWriteFirstSender returns a Sender whose connections are writeFirstConns.
func newWriteFirstSender(t *testing.T) (snd *send.Sender) {
	t.Helper()
	snd, stop := send.New(send.Config{
		Protocol: platform.Protocol{},
		Clock:    cardamompass.SystemClock{},
		Dial: func(ctx context.Context, network, address string) (con net.Conn, err error) {
			con, err = send.Dialer(time.Second)(ctx, network, address)
			return &writeFirstConn{
				Conn:   con,
				failed: make(chan struct{}),
			}, err
		},
	})
	t.Cleanup(stop)
	return snd
}

func upload(id string) (msg send.Message) {
	msg = message(id)
	msg.Body = []byte(strings.Repeat("x", uploadSize))
	return msg
}

// Guards against taking the part of a response that arrived before a reset for the whole, when the reset was reported to the write of
// the request.
func TestPartOfEarlyResponse(t *testing.T) {
	tests := []struct {
		name string
		text string
		end  func(con *net.TCPConn)
	}{
		{name: "reset in the body", text: "HTTP/1.1 200 OK\r\n" + ownFields + "\r\npart of", end: reset},
		{name: "reset behind the head", text: "HTTP/1.1 200 OK\r\n" + ownFields + "\r\n", end: reset},
		{name: "reset in the body of an error", text: "HTTP/1.1 500 Error\r\n" + ownFields + "\r\npart of", end: reset},
		{name: "reset in the body of a refusal", text: "HTTP/1.1 503 Full\r\n" + ownFields + "Not-Executed: 1\r\n\r\npart of", end: reset},
		{name: "reset in the body of HTTP/1.0", text: "HTTP/1.0 200 OK\r\n" + ownFields + "\r\npart of", end: reset},
		{name: "reset in a body with a length", text: "HTTP/1.1 200 OK\r\n" + ownFields + "Content-Length: 8\r\n\r\npart of", end: reset},
		{name: "reset in a chunked body", text: "HTTP/1.1 200 OK\r\n" + ownFields + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n", end: reset},
		{
			name: "closed with unread bytes", // makes the operating system reset the connection
			text: "HTTP/1.1 200 OK\r\n" + ownFields + "\r\npart of",
			end: func(con *net.TCPConn) {
				for end := time.Now().Add(5 * time.Second); sock.Peek(con) == sock.NoData && time.Now().Before(end); {
					time.Sleep(time.Millisecond)
				}
				_ = con.Close()
			},
		},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			snd := newWriteFirstSender(t)
			rep, err := snd.Do(t.Context(), earlyTarget(t, tst.text, tst.end), upload("r-1"))
			var fai *send.Failure
			if !errors.As(err, &fai) || fai.Kind != send.KindBroken || fai.NotRun {
				t.Fatalf("reply %+v with body %q, error %v", rep, rep.Body, err)
			}
			if snd.IdleCount() != 0 {
				t.Error("the connection is kept")
			}
		})
	}
}

// Guards against the same on connections whose reads and writes compete for the report.
func TestPartsOfEarlyResponses(t *testing.T) {
	snd := newSender(t)
	ins := earlyTarget(t, "HTTP/1.1 200 OK\r\n"+ownFields+"\r\npart of", reset)
	msg := upload("r-1")
	for num := range 50 {
		msg.Deadline = time.Now().Add(5 * time.Second)
		rep, err := snd.Do(t.Context(), ins, msg)
		var fai *send.Failure
		if !errors.As(err, &fai) || fai.Kind != send.KindBroken || fai.NotRun {
			t.Fatalf("request %d: reply %+v with body %q, error %v", num, rep, rep.Body, err)
		}
	}
}

// Guards against rejecting a complete response to an upload, and against holding it back until the upload is written.
func TestWholeEarlyResponse(t *testing.T) {
	closeWrite := func(con *net.TCPConn) { _ = con.CloseWrite() }
	const unframed = "HTTP/1.1 200 OK\r\n" + ownFields + "\r\nhello"
	tests := []struct {
		name string
		text string
		end  func(con *net.TCPConn)
		// writeFails is set if the upload fails before the response is read.
		writeFails bool
	}{
		{name: "closed, upload not read", text: unframed, end: closeWrite},
		{name: "closed, upload read", text: unframed, end: func(con *net.TCPConn) {
			closeWrite(con)
			_, _ = io.Copy(io.Discard, con)
		}},
		{name: "closed and reset behind it", writeFails: true, text: unframed, end: func(con *net.TCPConn) {
			closeWrite(con)
			reset(con)
		}},
		{name: "with a length", text: "HTTP/1.1 200 OK\r\n" + ownFields + ownBody, end: func(*net.TCPConn) {}},
		{name: "with a length and reset behind it", writeFails: true, text: "HTTP/1.1 200 OK\r\n" + ownFields + ownBody, end: reset},
		{
			name:       "chunked and reset behind it",
			writeFails: true,
			text:       "HTTP/1.1 200 OK\r\n" + ownFields + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
			end:        reset,
		},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			snd := newSender(t)
			if tst.writeFails {
				snd = newWriteFirstSender(t)
			}
			msg := upload("r-1")
			rep, err := snd.Do(t.Context(), earlyTarget(t, tst.text, tst.end), msg)
			if err != nil || rep.Status != http.StatusOK || string(rep.Body) != "hello" {
				t.Fatalf("reply %+v with body %q, error %v", rep, rep.Body, err)
			}
			if !time.Now().Before(msg.Deadline) {
				t.Error("the response was held back until the deadline")
			}
		})
	}
}
