// Package relay carries one attempt of a request to one target and returns the target's whole answer or a typed error.
//
// The error tells what is certain. A cardamompass.NotRunError means that no byte of the attempt was written on a
// connection, or that the target itself reported that it shed the request. Every other failure is a
// cardamompass.UnknownOutcomeError. An answer is handed on only if it echoes the attempt's id and its frame is whole.
//
// Each pair of target and class has a pool of connections of its own, so that long answers never share a pool with
// short requests. The relay sends each attempt at most once: net/http re-sends some requests on its own, and the
// connections of this package refuse the bytes of an attempt that was already bound to another connection.
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
	// ChunkBytes is the most that is read from a target between two calls of Pace.
	ChunkBytes = 32 << 10
	// UnpacedBytes is the most of a long answer that a target can send ahead of Pace: a receive buffer of 128 KiB and a
	// chunk that was read.
	UnpacedBytes = 192 << 10

	defaultDialTimeout    = 500 * time.Millisecond
	defaultIdleTimeout    = 30 * time.Second
	defaultMaxHeaderBytes = 64 << 10
	defaultMaxShortBytes  = 1 << 20
	defaultConnections    = 64
	defaultMaxResumptions = 3
)

// Config configures a Relay. Zero values of the bounds stand for the defaults.
type Config struct {
	// Clock tells the time from which the remaining time of a request is computed. Required.
	Clock cardamompass.Clock
	// ShortConnections and LongConnections bound the connections to one target for each class, 64 by default. A
	// target's own Connections bounds both further.
	ShortConnections int
	LongConnections  int
	// DialTimeout bounds the opening of a connection, 500 ms by default.
	DialTimeout time.Duration
	// IdleTimeout closes connections that were not used for this long, 30 s by default.
	IdleTimeout time.Duration
	// MaxHeaderBytes bounds the header of a request and of an answer, 64 KiB by default.
	MaxHeaderBytes int
	// MaxShortBytes bounds the body of an answer of class short, 1 MiB by default.
	MaxShortBytes int64
	// MaxResumptions bounds how often one long answer is resumed after a cut, 3 by default; negative for never.
	MaxResumptions int
	// Draining is called when an answer says that its target is leaving. It must not block. Optional.
	Draining func(target cardamompass.TargetID)
}

// Pace is called with the size of each chunk of an answer before the chunk is handed on. An error ends the answer.
type Pace func(ctx context.Context, bytes int) (err error)

// Attempt is one sending of a request to one target.
type Attempt struct {
	// Request is what the caller sent. Its Path is the path as it was on the wire.
	Request cardamompass.Request
	// Target is where it goes.
	Target cardamompass.Target
	// AttemptID is unique to this attempt; the target echoes it.
	AttemptID string
	// Class selects the pool of connections, and whether the answer is read whole (short) or streamed (long).
	Class cardamompass.Class
	// Pace spends the link share for the answer's bytes. Optional.
	Pace Pace
}

// Relay sends attempts to targets. It is safe for concurrent use.
type Relay struct {
	cfg    Config
	ctx    context.Context //nolint:containedctx // ends the dials that outlive the requests that started them
	cancel context.CancelFunc
	dials  sync.WaitGroup

	mu    sync.Mutex
	pools map[poolKey]*pool

	conMu sync.Mutex // taken after mu: net/http closes idle connections while mu is held
	conns map[*conn]struct{}
}

// New returns a Relay. Its clean-up function closes all connections; attempts under way fail.
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
	cfg.ShortConnections = positiveOr(cfg.ShortConnections, defaultConnections)
	cfg.LongConnections = positiveOr(cfg.LongConnections, defaultConnections)
	cfg.DialTimeout = positiveOr(cfg.DialTimeout, defaultDialTimeout)
	cfg.IdleTimeout = positiveOr(cfg.IdleTimeout, defaultIdleTimeout)
	cfg.MaxHeaderBytes = positiveOr(cfg.MaxHeaderBytes, defaultMaxHeaderBytes)
	cfg.MaxShortBytes = positiveOr(cfg.MaxShortBytes, defaultMaxShortBytes)
	if cfg.MaxResumptions == 0 {
		cfg.MaxResumptions = defaultMaxResumptions
	}
	if cfg.Draining == nil {
		cfg.Draining = func(cardamompass.TargetID) {}
	}
	return cfg
}

func positiveOr[T ~int | ~int64](value, otherwise T) T {
	if value > 0 {
		return value
	}
	return otherwise
}

// Do sends one attempt and returns the target's answer. The receiver must close the answer's body. The body of a long
// answer stays bound to ctx and to the request's deadline.
//
// Errors: NotRunError, UnknownOutcomeError, and InvalidError for an attempt that can't be sent as it is.
func (rly *Relay) Do(ctx context.Context, atm Attempt) (ans cardamompass.Response, err error) {
	defer func() {
		if err != nil { // the arguments are allocated only then
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
	rsp, lgr, err := rly.send(ctx, atm, hdr)
	if err != nil {
		cancel()
		return ans, err
	}
	if atm.Class == cardamompass.ClassLong {
		return rly.stream(ctx, cancel, atm, rsp, lgr), nil
	}
	defer cancel()
	return rly.readShort(ctx, atm, rsp, lgr)
}

// withDeadline bounds ctx by deadline and returns the time left until the earlier of both ends.
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

// send writes the request and returns the answer with its header checked and its body unread.
func (rly *Relay) send(
	ctx context.Context, atm Attempt, hdr http.Header,
) (rsp *http.Response, lgr *ledger, err error) {
	pol, err := rly.pool(atm.Target, atm.Class)
	if err != nil {
		return nil, nil, err
	}
	lgr = newLedger()
	req, err := httpRequest(httptrace.WithClientTrace(ctx, lgr.trace()), atm, hdr)
	if err != nil {
		return nil, nil, err
	}
	rsp, err = pol.transport.RoundTrip(req)
	if err != nil {
		return nil, nil, lgr.failure(ctx, atm.Target.ID, err)
	}
	err = rly.check(atm, rsp, lgr)
	if err != nil {
		return nil, nil, err
	}
	return rsp, lgr, nil
}

// close ends all connections and waits for the dials under way.
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
		con.Close() //nolint:errcheck // the connection is given up
	}
	rly.dials.Wait()
}
