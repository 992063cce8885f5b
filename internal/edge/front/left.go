package front

import (
	"context"
	"net"
	"syscall"

	"github.com/pkg/errors"
)

// connKey is the key of a caller's connection in the context of its requests.
type connKey struct{}

// ConnContext adds a caller's connection to the context of its requests, for http.Server.
func ConnContext(ctx context.Context, con net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, con)
}

// errCallerLeft is the reason of a request that is not sent because its caller has closed the connection.
var errCallerLeft = errors.New("the caller has left")

// callerLeft reports whether the caller has closed its connection. net/http cancels the context of a request only some time after the
// handler has begun; a VM that was busy for a second would send the requests of callers that left meanwhile.
func callerLeft(ctx context.Context) (ok bool) {
	if ctx.Err() != nil {
		return true
	}
	con, isConn := ctx.Value(connKey{}).(syscall.Conn)
	if !isConn {
		return false
	}
	raw, err := con.SyscallConn()
	if err != nil {
		return true
	}
	var buf [1]byte
	num, perr := -1, error(nil)
	// Control does not wait for the read that net/http has under way on the connection.
	err = raw.Control(func(fd uintptr) {
		num, _, perr = syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	switch {
	case err != nil:
		return true
	case perr == nil:
		return num == 0 // the end of the stream; other bytes belong to a next request
	default:
		return errors.Is(perr, syscall.ECONNRESET)
	}
}
