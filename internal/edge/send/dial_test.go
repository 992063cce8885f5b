package send_test

import (
	"context"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"cardamompass"
	"cardamompass/internal/edge/send"
	"cardamompass/internal/stand/ptarg"
	"cardamompass/platform"
)

// tcpUserTimeout is TCP_USER_TIMEOUT of linux/tcp.h.
const tcpUserTimeout = 0x12

// detection returns the settings by which a connection detects that the other side can't be reached.
func detection(t *testing.T, con net.Conn) (keepAlive bool, userTimeout time.Duration) {
	t.Helper()
	raw, err := con.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var alive, millis int
	err = raw.Control(func(fd uintptr) {
		alive, _ = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_KEEPALIVE)
		millis, _ = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout)
	})
	if err != nil {
		t.Fatal(err)
	}
	return alive != 0, time.Duration(millis) * time.Millisecond
}

// Guards against giving up work that must run only once because its target could not be reached for a while, and against waiting for
// the deadline with a request that another target can run.
func TestSilenceOfTheTarget(t *testing.T) {
	const limit = 1500 * time.Millisecond
	for _, nonIdempotent := range []bool{false, true} {
		t.Run(map[bool]string{false: "idempotent", true: "non-idempotent"}[nonIdempotent], func(t *testing.T) {
			var mu sync.Mutex
			var con net.Conn
			dial := send.Dialer(limit)
			snd, stop := send.New(send.Config{
				Protocol: platform.Protocol{},
				Clock:    cardamompass.SystemClock{},
				Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
					got, err := dial(ctx, network, address)
					mu.Lock()
					defer mu.Unlock()
					con = got
					return got, err
				},
			})
			t.Cleanup(stop)
			tgt, stopTarget, err := ptarg.New(ptarg.Config{
				ID:          "i-1",
				Address:     "127.0.0.1:0",
				Slots:       6,
				ServiceTime: 300 * time.Millisecond,
			})
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(stopTarget)
			ins := cardamompass.Instance{ID: "i-1", Address: tgt.Address()}
			for _, id := range []string{"r-1", "r-2"} {
				msg := message(id)
				msg.NonIdempotent = nonIdempotent
				done := make(chan error, 1)
				go func() {
					_, err := snd.Do(t.Context(), ins, msg)
					done <- err
				}()
				waitFor(t, func() bool { return len(tgt.Runs()) > 0 && tgt.Runs()[len(tgt.Runs())-1].ID == id })
				mu.Lock()
				current := con
				mu.Unlock()
				alive, timeout := detection(t, current)
				if alive == nonIdempotent || (timeout == 0) != nonIdempotent {
					t.Errorf("%s in flight: keep-alive %v, user timeout %v", id, alive, timeout)
				}
				if err := <-done; err != nil {
					t.Fatal(err)
				}
				if alive, timeout = detection(t, current); !alive || timeout != limit {
					t.Errorf("after %s: keep-alive %v, user timeout %v", id, alive, timeout)
				}
			}
			if tgt.Connections() != 1 {
				t.Errorf("%d connections", tgt.Connections())
			}
		})
	}
}
