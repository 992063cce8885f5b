package front

import (
	"context"
	"net"

	"github.com/pkg/errors"

	"cardamompass/internal/edge/sock"
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
	con, ok := ctx.Value(connKey{}).(net.Conn)
	return ok && sock.Peek(con) == sock.Ended
}
