// Package sock reports what has arrived on a connection without reading it.
package sock

import (
	"net"
	"syscall"

	"github.com/pkg/errors"
)

// State is the state of the receiving side of a connection.
type State int

// The states of a connection.
const (
	// NoData means that nothing has arrived, or that the connection is not a socket of the operating system.
	NoData State = iota
	// DataPending means that bytes have arrived and were not read yet.
	DataPending
	// Closed means that the peer has closed or reset the connection, or that this side has closed it.
	Closed
)

// Peek returns the state of con. It ignores reads in progress and deadlines: an idle connection still has the deadline of its last
// request.
func Peek(con net.Conn) (sta State) {
	sys, ok := con.(syscall.Conn)
	if !ok {
		return NoData
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return Closed
	}
	var buf [1]byte
	num, perr := 0, error(nil)
	err = raw.Control(func(fd uintptr) {
		num, _, perr = syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	switch {
	case err != nil:
		return Closed
	case errors.Is(perr, syscall.EAGAIN):
		return NoData
	case perr != nil || num == 0:
		return Closed
	default:
		return DataPending
	}
}
