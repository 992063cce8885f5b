package front

import (
	"context"
	"net"

	"github.com/pkg/errors"

	"cardamompass/internal/edge/sock"
)

// connKey is the context key of a caller's connection.
type connKey struct{}

// ConnContext adds a caller's connection to the context of its requests. It is used as http.Server.ConnContext.
func ConnContext(ctx context.Context, con net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, con)
}

// errCallerDisconnected is returned for a request that is not sent because its caller has closed the connection.
var errCallerDisconnected = errors.New("caller disconnected")

// callerDisconnected reports whether the caller has closed its connection. It looks at the socket, because net/http cancels the
// context of a request only some time after the handler has started: a VM that was busy for a second would send the requests of
// callers that disconnected in the meantime.
func callerDisconnected(ctx context.Context) (ok bool) {
	if ctx.Err() != nil {
		return true
	}
	con, ok := ctx.Value(connKey{}).(net.Conn)
	return ok && sock.Peek(con) == sock.Closed
}
