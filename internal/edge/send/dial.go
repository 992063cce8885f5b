package send

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// tcpUserTimeout is TCP_USER_TIMEOUT of linux/tcp.h, in milliseconds.
	tcpUserTimeout = 0x12
	// keepAliveInterval and keepAliveCount detect an unresponsive connection within about two seconds.
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// Dialer returns a dial function whose connections fail when sent bytes stay unacknowledged for limit, or when the other side does
// not respond to keep-alive probes.
func Dialer(limit time.Duration) (dial func(ctx context.Context, network, address string) (net.Conn, error)) {
	dlr := &net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveInterval,
			Interval: keepAliveInterval,
			Count:    keepAliveCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) (err error) {
			return errors.Wrap(setUserTimeout(raw, limit), "set TCP_USER_TIMEOUT")
		},
	}
	return dlr.DialContext
}

func setUserTimeout(raw syscall.RawConn, limit time.Duration) (err error) {
	cerr := raw.Control(func(fd uintptr) {
		err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(limit.Milliseconds()))
	})
	return firstError(cerr, err)
}

func userTimeout(raw syscall.RawConn) (limit time.Duration, err error) {
	millis := 0
	cerr := raw.Control(func(fd uintptr) {
		millis, err = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout)
	})
	return time.Duration(millis) * time.Millisecond, firstError(cerr, err)
}

// disableDetection lets a connection outlast a time in which the other side can't be reached, and returns the function that restores its
// settings. A request that must run only once gains nothing from an early end: it may have run, and its response may still come.
// Connections other than those of TCP are not changed.
func disableDetection(con net.Conn) (restore func()) {
	tcp, ok := con.(*net.TCPConn)
	if !ok {
		return func() {}
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return func() {}
	}
	limit, err := userTimeout(raw)
	if err != nil {
		return func() {}
	}
	// Errors of these calls mean that the connection has ended, which its next use shows.
	_ = setUserTimeout(raw, 0)
	_ = tcp.SetKeepAlive(false)
	return func() {
		_ = setUserTimeout(raw, limit)
		_ = tcp.SetKeepAlive(true)
	}
}

func firstError(errs ...error) (err error) {
	for _, err = range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
