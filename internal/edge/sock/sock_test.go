package sock_test

import (
	"net"
	"testing"
	"time"

	"cardamompass/internal/edge/sock"
)

// pair returns the two ends of a connection.
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

// Guards against ends that are not seen, which send requests of callers that left and use connections that targets have closed, and
// against silent connections that are given up.
func TestPeek(t *testing.T) {
	tests := []struct {
		name string
		do   func(t *testing.T, near, far *net.TCPConn)
		want sock.State
	}{
		{
			name: "nothing arrived",
			do:   func(*testing.T, *net.TCPConn, *net.TCPConn) {},
			want: sock.Silent,
		},
		{
			name: "deadline passed",
			do: func(t *testing.T, near, _ *net.TCPConn) {
				t.Helper()
				if err := near.SetDeadline(time.Unix(1, 0)); err != nil {
					t.Fatal(err)
				}
			},
			want: sock.Silent,
		},
		{
			name: "read under way",
			do: func(t *testing.T, near, _ *net.TCPConn) {
				t.Helper()
				ended := make(chan struct{})
				go func() {
					defer close(ended)
					_, _ = near.Read(make([]byte, 1)) // ends with the connection
				}()
				t.Cleanup(func() {
					near.Close()
					<-ended
				})
			},
			want: sock.Silent,
		},
		{
			name: "bytes arrived",
			do: func(t *testing.T, _, far *net.TCPConn) {
				t.Helper()
				if _, err := far.Write([]byte("x")); err != nil {
					t.Fatal(err)
				}
			},
			want: sock.Unread,
		},
		{
			name: "closed by the other side",
			do:   func(_ *testing.T, _, far *net.TCPConn) { far.Close() },
			want: sock.Ended,
		},
		{
			name: "reset by the other side",
			do: func(t *testing.T, _, far *net.TCPConn) {
				t.Helper()
				if err := far.SetLinger(0); err != nil {
					t.Fatal(err)
				}
				far.Close()
			},
			want: sock.Ended,
		},
		{
			name: "closed by this side",
			do:   func(_ *testing.T, near, _ *net.TCPConn) { near.Close() },
			want: sock.Ended,
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
	if got := sock.Peek(one); got != sock.Silent {
		t.Fatalf("state of a pipe %v, want %v", got, sock.Silent)
	}
}
