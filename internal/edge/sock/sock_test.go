package sock_test

import (
	"net"
	"testing"
	"time"

	"cardamompass/internal/edge/sock"
)

// pair returns both ends of a TCP connection.
func pair(t *testing.T) (near, far *net.TCPConn) {
	t.Helper()
	var cfg net.ListenConfig
	lsn, err := cfg.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer lsn.Close()
	dialled, err := net.Dial("tcp", lsn.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := lsn.Accept()
	if err != nil {
		t.Fatal(err)
	}
	near, far = dialled.(*net.TCPConn), accepted.(*net.TCPConn)
	t.Cleanup(func() {
		near.Close()
		far.Close()
	})
	return near, far
}

// Guards against closed connections that are not detected, which sends requests of callers that disconnected and reuses connections
// that targets have closed, and against open connections that are taken for closed.
func TestPeek(t *testing.T) {
	tests := []struct {
		name string
		do   func(t *testing.T, near, far *net.TCPConn)
		want sock.State
	}{
		{
			name: "nothing arrived",
			do:   func(*testing.T, *net.TCPConn, *net.TCPConn) {},
			want: sock.NoData,
		},
		{
			name: "deadline passed",
			do: func(t *testing.T, near, _ *net.TCPConn) {
				t.Helper()
				if err := near.SetDeadline(time.Unix(1, 0)); err != nil {
					t.Fatal(err)
				}
			},
			want: sock.NoData,
		},
		{
			name: "read in progress",
			do: func(t *testing.T, near, _ *net.TCPConn) {
				t.Helper()
				ended := make(chan struct{})
				go func() {
					defer close(ended)
					_, _ = near.Read(make([]byte, 1)) // returns when the connection is closed
				}()
				t.Cleanup(func() {
					near.Close()
					<-ended
				})
			},
			want: sock.NoData,
		},
		{
			name: "bytes arrived",
			do: func(t *testing.T, _, far *net.TCPConn) {
				t.Helper()
				if _, err := far.Write([]byte("x")); err != nil {
					t.Fatal(err)
				}
			},
			want: sock.DataPending,
		},
		{
			name: "closed by the peer",
			do:   func(_ *testing.T, _, far *net.TCPConn) { far.Close() },
			want: sock.Closed,
		},
		{
			name: "reset by the peer",
			do: func(t *testing.T, _, far *net.TCPConn) {
				t.Helper()
				if err := far.SetLinger(0); err != nil {
					t.Fatal(err)
				}
				far.Close()
			},
			want: sock.Closed,
		},
		{
			name: "closed by this side",
			do:   func(_ *testing.T, near, _ *net.TCPConn) { near.Close() },
			want: sock.Closed,
		},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			near, far := pair(t)
			tst.do(t, near, far)
			for end := time.Now().Add(2 * time.Second); sock.Peek(near) != tst.want && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
			if got := sock.Peek(near); got != tst.want {
				t.Fatalf("state %v, want %v", got, tst.want)
			}
		})
	}
	one, two := net.Pipe()
	defer one.Close()
	defer two.Close()
	if got := sock.Peek(one); got != sock.NoData {
		t.Fatalf("state of a pipe %v, want %v", got, sock.NoData)
	}
}

// Guards against a close that counts as a reset, and against overlooking a reset that was reported to a write.
func TestReset(t *testing.T) {
	tests := []struct {
		name string
		do   func(near, far *net.TCPConn)
		want bool
	}{
		{name: "open", do: func(_, _ *net.TCPConn) {}},
		{name: "closed by the peer", do: func(_, far *net.TCPConn) { far.Close() }},
		{name: "closed by this side", do: func(near, _ *net.TCPConn) { near.Close() }, want: true},
		{
			name: "reset, reported to a write",
			do: func(near, far *net.TCPConn) {
				_ = far.SetLinger(0)
				far.Close()
				for err := error(nil); err == nil; {
					_, err = near.Write([]byte("x"))
				}
			},
			want: true,
		},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			near, far := pair(t)
			tst.do(near, far)
			if got := sock.Reset(near); got != tst.want {
				t.Fatalf("reset %v, want %v", got, tst.want)
			}
		})
	}
	one, two := net.Pipe()
	defer one.Close()
	defer two.Close()
	if sock.Reset(one) {
		t.Fatal("a pipe was reset")
	}
}
