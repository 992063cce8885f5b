package strict_test

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"cardamompass/internal/plat/strict"
)

// pair returns both sides of a connection.
func pair(t *testing.T) (con *strict.Conn, peer *net.TCPConn) {
	t.Helper()
	lsn, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer lsn.Close()
	raw, err := strict.Dialer(new(net.Dialer).DialContext)(t.Context(), "tcp", lsn.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { raw.Close() })
	if peer, err = lsn.AcceptTCP(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { peer.Close() })
	return raw.(*strict.Conn), peer
}

// writeUntilError writes until a write fails and returns its error.
func writeUntilError(con *strict.Conn) (err error) {
	for buf := make([]byte, 64<<10); err == nil; {
		_, err = con.Write(buf)
	}
	return err
}

// writeBuffersUntilError is writeUntilError for two buffers at a time.
func writeBuffersUntilError(con *strict.Conn) (err error) {
	for buf := make([]byte, 32<<10); err == nil; {
		_, err = con.WriteBuffers(net.Buffers{buf, buf})
	}
	return err
}

func reset(con *net.TCPConn) {
	_ = con.SetLinger(0)
	_ = con.Close()
}

// Guards against taking the reset of a connection for its close when a write got the report of the reset.
func TestConnEnd(t *testing.T) {
	tests := []struct {
		name string
		end  func(peer *net.TCPConn)
		// write meets the end of the connection before it is read and returns written. Optional.
		write   func(con *strict.Conn) (err error)
		written error
		want    error
	}{
		{name: "close", end: func(peer *net.TCPConn) { _ = peer.Close() }, want: io.EOF},
		{name: "close of one direction", end: func(peer *net.TCPConn) { _ = peer.CloseWrite() }, want: io.EOF},
		{
			name: "close that a write meets",
			end: func(peer *net.TCPConn) {
				_ = peer.CloseWrite()
				reset(peer)
			},
			write:   writeUntilError,
			written: syscall.EPIPE,
			want:    io.EOF,
		},
		{name: "reset", end: reset, want: syscall.ECONNRESET},
		{name: "reset that a write meets", end: reset, write: writeUntilError, written: syscall.ECONNRESET, want: syscall.ECONNRESET},
		{
			name:    "reset that a write of buffers meets",
			end:     reset,
			write:   writeBuffersUntilError,
			written: syscall.ECONNRESET,
			want:    syscall.ECONNRESET,
		},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			con, peer := pair(t)
			if _, err := peer.Write([]byte("hello")); err != nil {
				t.Fatal(err)
			}
			tst.end(peer)
			if tst.write != nil {
				if err := tst.write(con); !errors.Is(err, tst.written) {
					t.Fatalf("the write failed with %v, want %v", err, tst.written)
				}
			}
			data, err := io.ReadAll(con)
			if err == nil {
				err = io.EOF
			}
			if string(data) != "hello" || !errors.Is(err, tst.want) {
				t.Errorf("data %q, error %v, want %v", data, err, tst.want)
			}
			if _, err = con.Read(make([]byte, 10)); !errors.Is(err, tst.want) {
				t.Errorf("error %v of the next read, want %v", err, tst.want)
			}
		})
	}
}

// Guards against a read that waits for the write of a request when the peer has closed the connection.
func TestConnEndDuringWrite(t *testing.T) {
	t.Run("write", func(t *testing.T) { testConnEndDuringWrite(t, writeUntilError) })
	t.Run("buffers", func(t *testing.T) { testConnEndDuringWrite(t, writeBuffersUntilError) })
}

func testConnEndDuringWrite(t *testing.T, write func(con *strict.Conn) (err error)) {
	t.Helper()
	con, peer := pair(t)
	written := make(chan error, 1)
	go func() { written <- write(con) }()
	if _, err := io.ReadFull(peer, make([]byte, 1<<20)); err != nil { // the write is in progress
		t.Fatal(err)
	}
	if err := peer.CloseWrite(); err != nil {
		t.Fatal(err)
	}
	if _, err := con.Read(make([]byte, 10)); !errors.Is(err, io.EOF) {
		t.Errorf("error %v, want io.EOF", err)
	}
	select {
	case err := <-written:
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("the write failed with %v", err)
		}
	case <-time.After(10 * time.Second):
		t.Error("the write goes on")
	}
}

// Guards against a failed dial that is returned as a connection.
func TestDialerFails(t *testing.T) {
	want := errors.New("no route")
	con, err := strict.Dialer(func(context.Context, string, string) (con net.Conn, err error) { return nil, want })(t.Context(), "tcp", "")
	if con != nil || !errors.Is(err, want) {
		t.Fatalf("connection %v, error %v", con, err)
	}
}

// Guards against reads that change deadlines while the connection is open.
func TestConnKeepsDeadlines(t *testing.T) {
	con, peer := pair(t)
	if err := con.SetDeadline(time.Now().Add(time.Minute)); err != nil {
		t.Fatal(err)
	}
	buf := make([]byte, 5)
	for range 2 {
		if _, err := con.Write([]byte("hello")); err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadFull(peer, buf); err != nil {
			t.Fatal(err)
		}
		if _, err := peer.Write(buf); err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadFull(con, buf); err != nil {
			t.Fatal(err)
		}
	}
}
