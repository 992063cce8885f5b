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

// The states of a TCP connection, as numbered by Linux. In the first three its peer may still read what is sent and has not ended its own
// stream. tcpClose is the state after a reset, also of a connection that the peer has closed before.
const (
	tcpEstablished = 1
	tcpFinWait1    = 4
	tcpFinWait2    = 5
	tcpClose       = 7
)

// HungUp reports whether the peer of a TCP connection has closed or reset it, also while bytes that it sent before were not read yet,
// which Peek reports as DataPending.
func HungUp(con net.Conn) (ok bool) {
	sta, known := tcpState(con)
	switch sta {
	case tcpEstablished, tcpFinWait1, tcpFinWait2:
		return false
	default:
		return known
	}
}

// Reset reports whether a TCP connection was reset or is closed on this side. Unlike a read, it also tells the reset from a close when the
// operating system has reported it to a write.
func Reset(con net.Conn) (ok bool) {
	sta, known := tcpState(con)
	return known && sta == tcpClose
}

// tcpState returns the state of a TCP connection. ok is false if con is not a socket of the operating system.
func tcpState(con net.Conn) (sta int, ok bool) {
	sys, ok := con.(syscall.Conn)
	if !ok {
		return 0, false
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return tcpClose, true
	}
	info, ierr := 0, error(nil)
	// The first byte of the structure that TCP_INFO returns is the state of the connection.
	err = raw.Control(func(fd uintptr) { info, ierr = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_INFO) })
	switch {
	case err != nil:
		return tcpClose, true
	case ierr != nil:
		return 0, false
	}
	return info & 0xff, true
}
