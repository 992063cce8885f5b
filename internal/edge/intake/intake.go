// Package intake serves HTTP connections of callers under limits that can change while the connections are open.
//
// The fields of http.Server that limit the size of a header, the time to read it and the time without a request apply as they were when
// the server started. An Intake enforces these limits itself, on the connections that it passes to the server: new limits apply at once
// to all connections, to idle ones and to headers that have arrived in part, too.
package intake

import (
	"context"
	"maps"
	"math"
	"net"
	"net/http"
	"slices"
	"sync"

	"go.uber.org/zap"

	"cardamompass"
)

// headerSlack is added to the limit of a header, as by net/http: a read may include the beginning of the body.
const headerSlack = 4096

// Config configures an Intake.
type Config struct {
	// Limits are the limits until SetLimits is called. A zero value in them means no bound.
	Limits cardamompass.CallerLimits
	Log    *zap.Logger
}

// Intake enforces the same limits on the connections of any number of servers. It is safe for concurrent use.
type Intake struct {
	cfg Config

	mu     sync.Mutex
	limits cardamompass.CallerLimits
	conns  map[*conn]struct{}
	lsns   map[*listener]struct{}
}

// New returns an Intake without connections.
func New(cfg Config) (itk *Intake) {
	return &Intake{
		cfg:    cfg,
		limits: cfg.Limits,
		conns:  make(map[*conn]struct{}),
		lsns:   make(map[*listener]struct{}),
	}
}

// SetLimits replaces the limits. A connection that exceeds the new ones is closed.
func (itk *Intake) SetLimits(lim cardamompass.CallerLimits) {
	open, changed := itk.replaceLimits(lim)
	if !changed {
		return
	}
	for _, con := range open {
		con.updateDeadline()
	}
	itk.cfg.Log.Info("caller limits in force", zap.Int("header-bytes", lim.MaxHeaderBytes), zap.Int64("body-bytes", lim.MaxBodyBytes),
		zap.Duration("header-timeout", lim.HeaderTimeout), zap.Duration("idle-timeout", lim.IdleTimeout), zap.Int("connections", len(open)))
}

// replaceLimits replaces the limits and returns the open connections if they have changed.
func (itk *Intake) replaceLimits(lim cardamompass.CallerLimits) (open []*conn, changed bool) {
	itk.mu.Lock()
	defer itk.mu.Unlock()
	if lim == itk.limits {
		return nil, false
	}
	itk.limits = lim
	return slices.Collect(maps.Keys(itk.conns)), true
}

// Limits returns the limits in force.
func (itk *Intake) Limits() (lim cardamompass.CallerLimits) {
	itk.mu.Lock()
	defer itk.mu.Unlock()
	return itk.limits
}

// Serve serves the connections of lsn, which must be a TCP listener, with srv until srv is closed. It replaces the limits and hooks of
// srv that it needs. The error is that of http.Server.Serve.
func (itk *Intake) Serve(srv *http.Server, lsn net.Listener) (err error) {
	srv.MaxHeaderBytes = math.MaxInt32
	srv.ReadHeaderTimeout, srv.ReadTimeout, srv.IdleTimeout = 0, 0, 0
	srv.Handler = handler(srv.Handler)
	srv.ConnContext = connContext(srv.ConnContext)
	srv.ConnState = connState
	acc := itk.newListener(lsn)
	defer itk.removeListener(acc)
	return srv.Serve(acc)
}

// connKey is the context key of a connection.
type connKey struct{}

func connContext(next func(context.Context, net.Conn) context.Context) (fun func(context.Context, net.Conn) context.Context) {
	return func(ctx context.Context, con net.Conn) context.Context {
		ctx = context.WithValue(ctx, connKey{}, con)
		if next == nil {
			return ctx
		}
		return next(ctx, con)
	}
}

// handler ends the header of each request. Requests that follow another one in the same read are not reported to connState.
func handler(next http.Handler) (hnd http.Handler) {
	return http.HandlerFunc(func(wrt http.ResponseWriter, req *http.Request) {
		con, ok := req.Context().Value(connKey{}).(*conn)
		hasBody := req.Body != http.NoBody
		if ok {
			con.beginRequest(hasBody)
		}
		next.ServeHTTP(wrt, req)
		if ok && hasBody {
			con.endBody(req.ContentLength)
		}
	})
}

// connState is the http.Server.ConnState hook. StateActive is reported when a header is complete.
func connState(con net.Conn, sta http.ConnState) {
	cnn, ok := con.(*conn)
	if !ok {
		return
	}
	switch sta {
	case http.StateActive:
		cnn.begin(inRequest)
	case http.StateIdle:
		cnn.begin(idle)
	case http.StateNew, http.StateHijacked, http.StateClosed:
	}
}

func (itk *Intake) remove(con *conn) {
	itk.mu.Lock()
	defer itk.mu.Unlock()
	delete(itk.conns, con)
}
