// Package relay sends one attempt of a request to one target and returns the target's complete response or a typed error.
//
// The error states what is certain. A cardamompass.NotRunError means that no byte of the attempt was written on a connection, or
// that the target itself reported that it shed the request. Every other failure is a cardamompass.UnknownOutcomeError. A response
// is returned only if it echoes the attempt's id and its framing is complete.
//
// Each pair of target and class has its own pool of connections, so that long responses never share a pool with short requests. The
// relay sends each attempt at most once: net/http re-sends some requests on its own, and the connections of this package refuse the
// bytes of an attempt that was already bound to another connection.
package relay

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/pkg/errors"

	"cardamompass"
)

const (
	// ChunkBytes is the maximum number of bytes read from a target between two calls of Pace.
	ChunkBytes = 32 << 10
	// UnpacedBytes is the maximum number of bytes of a long response that a target can send ahead of Pace: those in the receive
	// buffer (128 KiB) and a chunk that was read.
	UnpacedBytes = 192 << 10

	defaultDialTimeout    = 500 * time.Millisecond
	defaultIdleTimeout    = 30 * time.Second
	defaultMaxHeaderBytes = 64 << 10
	defaultMaxShortBytes  = 1 << 20
	defaultConnections    = 64
	defaultMaxResumptions = 3
)

// Config configures a Relay. Limits that are zero get their defaults.
type Config struct {
	// Clock is used to compute the remaining time of a request. Required.
	Clock cardamompass.Clock
	// ShortConnections and LongConnections limit the connections to one target for each class, 64 by default. Target.Connections
	// lowers both limits.
	ShortConnections int
	LongConnections  int
	// DialTimeout bounds the opening of a connection, 500 ms by default.
	DialTimeout time.Duration
	// IdleTimeout is the idle time after which a connection is closed, 30 s by default.
	IdleTimeout time.Duration
	// MaxHeaderBytes bounds the header of a request and of a response, 64 KiB by default.
	MaxHeaderBytes int
	// MaxShortBytes bounds the body of a response of class short, 1 MiB by default.
	MaxShortBytes int64
	// MaxResumptions limits how often one long response is resumed after its connection broke, 3 by default; negative disables
	// resumption.
	MaxResumptions int
	// Draining is called when a response states that its target is draining. It must not block. Optional.
	Draining func(target cardamompass.TargetID)
}

// Pace is called with the size of each chunk of a response before the chunk is returned. An error ends the response.
type Pace func(ctx context.Context, bytes int) (err error)

// Attempt is one attempt to send a request to one target.
type Attempt struct {
	// Request is what the caller sent. Its Path is the escaped path as received.
	Request cardamompass.Request
	// Target is the target of the attempt.
	Target cardamompass.Target
	// AttemptID is unique to this attempt; the target echoes it.
	AttemptID string
	// Class selects the connection pool and whether the response is buffered (short) or streamed (long).
	Class cardamompass.Class
	// Pace spends link units for the bytes of the response. Optional.
	Pace Pace
}

// Relay sends attempts to targets. It is safe for concurrent use.
type Relay struct {
	cfg    Config
	ctx    context.Context //nolint:containedctx // cancels dials that outlive the requests that started them
	cancel context.CancelFunc
	dials  sync.WaitGroup

	mu    sync.Mutex
	pools map[poolKey]*pool

	conMu sync.Mutex // locked after mu: net/http closes idle connections while mu is held
	conns map[*conn]struct{}
}

// New returns a Relay. The cleanup function closes all connections; attempts in progress fail.
func New(cfg Config) (rly *Relay, cleanup func(), err error) {
	if cfg.Clock == nil {
		return nil, nil, &cardamompass.InvalidError{
			Field:  "relay.Config.Clock",
			Reason: "must be set",
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	rly = &Relay{
		cfg:    cfg.withDefaults(),
		ctx:    ctx,
		cancel: cancel,
		pools:  make(map[poolKey]*pool),
		conns:  make(map[*conn]struct{}),
	}
	return rly, rly.close, nil
}

func (cfg Config) withDefaults() Config {
	cfg.ShortConnections = positiveOrDefault(cfg.ShortConnections, defaultConnections)
	cfg.LongConnections = positiveOrDefault(cfg.LongConnections, defaultConnections)
	cfg.DialTimeout = positiveOrDefault(cfg.DialTimeout, defaultDialTimeout)
	cfg.IdleTimeout = positiveOrDefault(cfg.IdleTimeout, defaultIdleTimeout)
	cfg.MaxHeaderBytes = positiveOrDefault(cfg.MaxHeaderBytes, defaultMaxHeaderBytes)
	cfg.MaxShortBytes = positiveOrDefault(cfg.MaxShortBytes, defaultMaxShortBytes)
	if cfg.MaxResumptions == 0 {
		cfg.MaxResumptions = defaultMaxResumptions
	}
	if cfg.Draining == nil {
		cfg.Draining = func(cardamompass.TargetID) {}
	}
	return cfg
}

func positiveOrDefault[T ~int | ~int64](value, def T) T {
	if value > 0 {
		return value
	}
	return def
}

// Do sends one attempt and returns the target's response. The receiver must close the response body. The body of a long response
// remains bound to ctx and to the request's deadline.
//
// Errors: NotRunError, UnknownOutcomeError, and InvalidError for an attempt that can't be sent as it is.
func (rly *Relay) Do(ctx context.Context, atm Attempt) (ans cardamompass.Response, err error) {
	defer func() {
		if err != nil { // checked first to allocate the arguments only on error
			err = errors.Wrapf(err, "attempt %s to target %s", atm.AttemptID, atm.Target.ID)
		}
	}()
	ctx, cancel, left, err := rly.withDeadline(ctx, atm.Request.Deadline)
	if err != nil {
		return ans, err
	}
	hdr, err := requestHeader(atm, left, rly.cfg.MaxHeaderBytes)
	if err != nil {
		cancel()
		return ans, err
	}
	rsp, ast, err := rly.send(ctx, atm, hdr)
	if err != nil {
		cancel()
		return ans, err
	}
	if atm.Class == cardamompass.ClassLong {
		return rly.stream(ctx, cancel, atm, rsp, ast), nil
	}
	defer cancel()
	return rly.readShort(ctx, atm, rsp, ast)
}

// withDeadline bounds ctx by deadline and returns the time left until the earlier of the two deadlines.
func (rly *Relay) withDeadline(
	ctx context.Context, deadline time.Time,
) (bounded context.Context, cancel context.CancelFunc, left time.Duration, err error) {
	now := rly.cfg.Clock.Now()
	end, ok := ctx.Deadline()
	if ok {
		left = end.Sub(now)
	}
	bounded, cancel = ctx, func() {}
	if !deadline.IsZero() && (!ok || deadline.Before(end)) {
		left, ok = deadline.Sub(now), true
		bounded, cancel = context.WithTimeout(ctx, left)
	}
	if (ok && left < time.Millisecond) || ctx.Err() != nil {
		cancel()
		return nil, nil, 0, &cardamompass.NotRunError{
			Reason: "deadline passed or request cancelled before it was sent",
		}
	}
	return bounded, cancel, left, nil
}

// send writes the request and returns the response with its header verified and its body unread.
func (rly *Relay) send(
	ctx context.Context, atm Attempt, hdr http.Header,
) (rsp *http.Response, ast *attemptState, err error) {
	pol, err := rly.pool(atm.Target, atm.Class)
	if err != nil {
		return nil, nil, err
	}
	ast = newAttemptState()
	req, err := httpRequest(httptrace.WithClientTrace(ctx, ast.trace()), atm, hdr)
	if err != nil {
		return nil, nil, err
	}
	rsp, err = pol.transport.RoundTrip(req)
	if err != nil {
		return nil, nil, ast.failure(ctx, atm.Target.ID, err)
	}
	err = rly.checkHeader(atm, rsp, ast)
	if err != nil {
		return nil, nil, err
	}
	return rsp, ast, nil
}

// close closes all connections and waits for the dials in progress.
func (rly *Relay) close() {
	rly.cancel()
	rly.mu.Lock()
	for _, pol := range rly.pools {
		pol.transport.CloseIdleConnections()
	}
	rly.mu.Unlock()
	rly.conMu.Lock()
	open := make([]*conn, 0, len(rly.conns))
	for con := range rly.conns {
		open = append(open, con)
	}
	rly.conMu.Unlock()
	for _, con := range open {
		con.Close() //nolint:errcheck // the relay is closing
	}
	rly.dials.Wait()
}
