package strict

import (
	"cmp"
	"context"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Conn is a TCP connection whose reads return io.EOF only if the peer has closed it, so that io.EOF is the end of a response without a
// declared length (RFC 9112, section 8).
//
// The operating system reports the reset or the failure of a connection once. If a write gets the report, the reads of a net.TCPConn
// return the bytes that have arrived and then io.EOF, as after a close. Those of a Conn return the error of the write in its place.
//
// It is safe for concurrent use, but only one goroutine may read at a time.
type Conn struct {
	net.Conn

	writing sync.Mutex // held during a write

	mu      sync.Mutex
	failure error // the report of the reset or failure
}

// NewConn returns a Conn that uses con, which must not be written to by other means.
func NewConn(con net.Conn) (scn *Conn) {
	return &Conn{
		Conn: con,
	}
}

// DialFunc opens a connection.
type DialFunc = func(ctx context.Context, network, address string) (con net.Conn, err error)

// Dialer returns a function that opens connections with dial and returns them as Conns.
func Dialer(dial DialFunc) (strictDial DialFunc) {
	return func(ctx context.Context, network, address string) (con net.Conn, err error) {
		if con, err = dial(ctx, network, address); err != nil {
			return nil, err
		}
		return NewConn(con), nil
	}
}

// Write implements net.Conn.
func (scn *Conn) Write(buf []byte) (num int, err error) {
	scn.writing.Lock()
	defer scn.writing.Unlock()
	num, err = scn.Conn.Write(buf)
	scn.recordFailure(err)
	return num, err
}

// WriteBuffers writes bufs, like net.Buffers.WriteTo with one call of the operating system if it can. It consumes bufs.
func (scn *Conn) WriteBuffers(bufs net.Buffers) (num int64, err error) {
	scn.writing.Lock()
	defer scn.writing.Unlock()
	num, err = bufs.WriteTo(scn.Conn)
	scn.recordFailure(err)
	return num, err
}

// Read implements net.Conn. At the end of the connection it ends the write in progress, and later ones fail: no response to them can come.
func (scn *Conn) Read(buf []byte) (num int, err error) {
	num, err = scn.Conn.Read(buf)
	if errors.Is(err, io.EOF) {
		return num, cmp.Or(scn.awaitFailure(), err)
	}
	scn.recordFailure(err)
	return num, err
}

// awaitFailure returns the report of a reset or failure. It ends the write in progress, which may have got the report.
func (scn *Conn) awaitFailure() (err error) {
	_ = scn.SetWriteDeadline(time.Unix(1, 0)) // fails only on a closed connection, on which no write lasts
	scn.writing.Lock()
	defer scn.writing.Unlock()
	scn.mu.Lock()
	defer scn.mu.Unlock()
	return scn.failure
}

// recordFailure records the error of a read or write if it is a report that the connection was reset or has failed. EPIPE is none: a write
// gets it if the peer has closed the connection before it reset it, or after the report.
func (scn *Conn) recordFailure(err error) {
	if err == nil || errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, syscall.EPIPE) {
		return
	}
	scn.mu.Lock()
	defer scn.mu.Unlock()
	if scn.failure == nil {
		scn.failure = err
	}
}
