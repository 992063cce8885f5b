package intake

import (
	"context"
	"maps"
	"net"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"cardamompass/internal/edge/sock"
)

// shutdownInterval is the interval at which Shutdown checks the connections.
const shutdownInterval = 10 * time.Millisecond

// Shutdown makes the servers accept the connections that wait in their queues and no others, and closes each connection once it is idle and
// nothing has arrived on it. It waits until all are closed, but for those that net/http no longer serves, or ctx ends. The caller sees to it
// that responses close their connections.
//
// http.Server.Shutdown alone closes connections whose requests have arrived but were not read yet, which takes long on a busy VM: those in
// the queue of the listener and those that were idle before. It is called afterwards.
func (itk *Intake) Shutdown(ctx context.Context) (err error) {
	itk.mu.Lock()
	lsns := slices.Collect(maps.Keys(itk.lsns))
	itk.mu.Unlock()
	for _, lsn := range lsns {
		lsn.drain()
	}
	for _, lsn := range lsns {
		select {
		case <-lsn.drained:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	tck := time.NewTicker(shutdownInterval)
	defer tck.Stop()
	for itk.closeIdle() > 0 {
		select {
		case <-tck.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// closeIdle ends the connections that wait for a request of which nothing has arrived, and returns the number of those that are open.
func (itk *Intake) closeIdle() (left int) {
	itk.mu.Lock()
	conns := slices.Collect(maps.Keys(itk.conns))
	itk.mu.Unlock()
	for _, con := range conns {
		if con.endIdle() {
			left++
		}
	}
	return left
}

// endIdle ends the read of a connection that waits for a request of which nothing has arrived, so that the server closes it. A read that has
// got bytes by then goes on. It returns false for a connection that the server no longer serves.
func (con *conn) endIdle() (served bool) {
	con.mu.Lock()
	defer con.mu.Unlock()
	if con.taken {
		return false
	}
	awaits := con.pha == idle || (con.pha == inHeader && con.headerBytes == 0)
	if awaits && sock.Peek(con.TCPConn) == sock.NoData {
		con.applied = time.Unix(1, 0)
		_ = con.TCPConn.SetReadDeadline(con.applied)
	}
	return true
}

// listener adds the connections that it accepts to an Intake.
type listener struct {
	net.Listener
	itk *Intake
	// drained is closed when the queue is empty and no further connections are accepted, closed when the server has closed the listener.
	drained, closed         chan struct{}
	drainedOnce, closedOnce sync.Once
}

func (itk *Intake) newListener(lsn net.Listener) (acc *listener) {
	acc = &listener{
		Listener: lsn,
		itk:      itk,
		drained:  make(chan struct{}),
		closed:   make(chan struct{}),
	}
	itk.mu.Lock()
	defer itk.mu.Unlock()
	itk.lsns[acc] = struct{}{}
	return acc
}

func (itk *Intake) removeListener(lsn *listener) {
	lsn.endDrain()
	itk.mu.Lock()
	defer itk.mu.Unlock()
	delete(itk.lsns, lsn)
}

// drain makes Accept return the connections in the queue and then close the listener.
func (lsn *listener) drain() {
	if tcp, ok := lsn.Listener.(*net.TCPListener); ok {
		_ = tcp.SetDeadline(time.Unix(1, 0)) // ends Accept; fails only on a closed listener
	}
}

func (lsn *listener) endDrain() { lsn.drainedOnce.Do(func() { close(lsn.drained) }) }

// Close implements net.Listener.
func (lsn *listener) Close() (err error) {
	lsn.closedOnce.Do(func() { close(lsn.closed) })
	return lsn.Listener.Close()
}

// Accept implements net.Listener.
func (lsn *listener) Accept() (con net.Conn, err error) {
	con, err = lsn.Listener.Accept()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		con, err = lsn.acceptQueued()
	}
	if err != nil {
		return nil, err
	}
	tcp, ok := con.(*net.TCPConn)
	if !ok {
		return con, nil
	}
	cnn := &conn{
		TCPConn: tcp,
		itk:     lsn.itk,
	}
	lsn.itk.mu.Lock()
	lsn.itk.conns[cnn] = struct{}{}
	lsn.itk.mu.Unlock()
	cnn.begin(inHeader)
	return cnn, nil
}

// acceptQueued returns a connection of the queue. If there is none, it closes the listener and waits until the server does so, too.
func (lsn *listener) acceptQueued() (con net.Conn, err error) {
	if con, err = acceptNow(lsn.Listener); err == nil {
		return con, nil
	}
	_ = lsn.Listener.Close()
	lsn.endDrain()
	<-lsn.closed
	return nil, net.ErrClosed
}

// acceptNow accepts a connection that waits in the queue of a TCP listener. Unlike Accept it never waits, and ignores the deadline.
func acceptNow(lsn net.Listener) (con net.Conn, err error) {
	sys, ok := lsn.(syscall.Conn)
	if !ok {
		return nil, errors.New("not a listener of the operating system")
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return nil, err
	}
	accepted, aerr := 0, error(nil)
	err = raw.Control(func(fd uintptr) {
		for {
			accepted, _, aerr = syscall.Accept4(int(fd), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
			if !errors.Is(aerr, syscall.EINTR) && !errors.Is(aerr, syscall.ECONNABORTED) {
				return
			}
		}
	})
	if err != nil {
		return nil, err
	}
	if aerr != nil {
		return nil, aerr
	}
	fil := os.NewFile(uintptr(accepted), "connection")
	defer fil.Close() //nolint:errcheck // FileConn duplicates the descriptor
	return net.FileConn(fil)
}
