// Package sock tells what has arrived on a connection without reading it.
package sock

import (
	"net"
	"syscall"

	"github.com/pkg/errors"
)

// State is what has arrived on a connection and was not read yet.
type State int

// The states of a connection.
const (
	// Silent means that nothing has arrived, or that the connection is not one of the operating system.
	Silent State = iota
	// Unread means that bytes have arrived.
	Unread
	// Ended means that the other side has closed or reset the connection, or that this side has closed it.
	Ended
)

// Peek returns the state of con. It neither waits for a read that is under way nor heeds a deadline: a kept connection still has the
// one of its last request.
func Peek(con net.Conn) (sta State) {
	sys, ok := con.(syscall.Conn)
	if !ok {
		return Silent
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return Ended
	}
	var buf [1]byte
	num, perr := 0, error(nil)
	err = raw.Control(func(fd uintptr) {
		num, _, perr = syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	switch {
	case err != nil:
		return Ended
	case errors.Is(perr, syscall.EAGAIN):
		return Silent
	case perr != nil || num == 0:
		return Ended
	default:
		return Unread
	}
}
