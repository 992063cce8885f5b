// Package pipe serves callers that send further requests before the first is answered.
//
// A Pipe wraps the handler of a server of net/http, which handles the requests of a connection one after the other. While a request runs
// that may run beside others, a Pipe waits for bytes of a further request. If there are none before the response begins, net/http writes
// the response and goes on as ever. Otherwise the connection is hijacked, and a loop serves it until it ends: it reads ahead, dispatches
// requests that may run beside others at once, runs all others alone, and writes the responses in the order of the requests.
package pipe

import (
	"bufio"
	"cmp"
	"context"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"cardamompass"
	"cardamompass/internal/edge/buffer"
	"cardamompass/internal/edge/intake"
)

const (
	defaultMaxRequests   = 16
	defaultMaxBytes      = 64 << 10
	defaultMaxVMRequests = 1024
	defaultMaxVMBytes    = 4 << 20
	defaultWriteTimeout  = 20 * time.Second
	// endInterval is the interval at which connections that are to end are checked again.
	endInterval = 20 * time.Millisecond
)

// Config configures a Pipe.
type Config struct {
	// Handler serves the requests. It writes complete responses.
	Handler http.Handler
	// Beside reports whether a request may run beside others of its connection. It must be false while this is unknown.
	Beside func(req *http.Request) (ok bool)
	Clock  cardamompass.Clock
	Log    *zap.Logger
	Scope  tally.Scope
	// MaxRequests bounds the requests of a connection that are not answered, MaxBytes the size of their headers in bytes, which one
	// header may exceed. 16 and 64 KiB if they are 0.
	MaxRequests int
	MaxBytes    int
	// MaxVMRequests and MaxVMBytes bound the requests of all connections that are read ahead in the same way. 1024 and 4 MiB if they
	// are 0.
	MaxVMRequests int
	MaxVMBytes    int
	// Memory bounds the responses that are held for all callers, in bytes; see buffer.Config.
	Memory int64
	// WriteTimeout is the time after which a caller that reads nothing is disconnected; 20 s if it is 0.
	WriteTimeout time.Duration
}

type metrics struct {
	connections tally.Counter // taken over
	ahead       tally.Counter // requests read ahead
	pauses      tally.Counter // of reading, because a bound was reached
	cuts        tally.Counter // callers disconnected because the memory for responses was full
}

// Pipe is a handler of callers' requests. It is safe for concurrent use.
type Pipe struct {
	cfg    Config
	met    metrics
	gate   *gate
	memory *buffer.Pool
	// cutting is held while a caller to cut is chosen; see response.hold.
	cutting sync.Mutex

	mu      sync.Mutex
	loops   map[*loop]struct{}
	changed chan struct{} // closed and replaced when a loop has ended
	// stopping is set when no further connection may be taken over.
	stopping bool
}

// New returns a Pipe and a function that closes the connections that are taken over and waits for their loops.
func New(cfg Config) (pip *Pipe, cleanup func()) {
	cfg.MaxRequests = cmp.Or(cfg.MaxRequests, defaultMaxRequests)
	cfg.MaxBytes = cmp.Or(cfg.MaxBytes, defaultMaxBytes)
	cfg.WriteTimeout = cmp.Or(cfg.WriteTimeout, defaultWriteTimeout)
	pip = &Pipe{
		cfg: cfg,
		met: metrics{
			connections: cfg.Scope.Counter("pipelined-connections"),
			ahead:       cfg.Scope.Counter("requests-ahead"),
			pauses:      cfg.Scope.Counter("pipeline-pauses"),
			cuts:        cfg.Scope.Counter("slow-callers-cut"),
		},
		gate: newGate(cmp.Or(cfg.MaxVMRequests, defaultMaxVMRequests), cmp.Or(cfg.MaxVMBytes, defaultMaxVMBytes)),
		memory: buffer.New(buffer.Config{
			Limit: cfg.Memory,
		}),
		loops:   make(map[*loop]struct{}),
		changed: make(chan struct{}),
	}
	return pip, pip.close
}

// callerConn is a connection of an intake.Intake.
type callerConn interface {
	net.Conn
	CloseWrite() (err error)
	Watch(wat intake.Watcher) (ahead bool)
	Unwatch()
	TakeOver()
	StartIdle()
	StartRequest()
	StartHeader(size int)
}

// connKey is the context key of a pipeConn.
type connKey struct{}

// pipeConn is a connection that can be taken over.
type pipeConn struct {
	con    callerConn
	cancel context.CancelFunc // cancels all requests of the connection
}

// ConnContext adds a caller's connection to the context of its requests. It is used as http.Server.ConnContext. The context ends with
// the connection if that is taken over; otherwise net/http cancels the requests.
func ConnContext(ctx context.Context, con net.Conn) context.Context {
	ccn, ok := con.(callerConn)
	if !ok {
		return ctx
	}
	ctx, cancel := context.WithCancel(ctx)
	return context.WithValue(ctx, connKey{}, &pipeConn{
		con:    ccn,
		cancel: cancel,
	})
}

// singleRequest reports whether the form of a request permits that others run beside it: it has no body and does not close the connection
// by its version.
func singleRequest(req *http.Request) (ok bool) {
	return req.Body == http.NoBody && req.ProtoAtLeast(1, 1) && req.Header["Expect"] == nil && req.RequestURI != "*"
}

// ServeHTTP implements http.Handler.
func (pip *Pipe) ServeHTTP(wrt http.ResponseWriter, req *http.Request) {
	pcn, ok := req.Context().Value(connKey{}).(*pipeConn)
	if !ok {
		pip.cfg.Handler.ServeHTTP(wrt, req)
		return
	}
	if !singleRequest(req) || req.Close || hasToken(req.Header["Connection"], "close") {
		pcn.con.Unwatch()
		pip.cfg.Handler.ServeHTTP(wrt, req)
		return
	}
	fst := &first{
		pip: pip,
		pcn: pcn,
		wrt: wrt,
		req: req,
		hdr: wrt.Header(),
	}
	if pcn.con.Watch(fst) && fst.take() {
		fst.hijack()
		go fst.lop.read()
	}
	if lop := fst.serve(); lop != nil {
		lop.write()
		pip.remove(lop)
	}
}

// newLoop returns the loop of a connection that is taken over, unless the Pipe stops.
func (pip *Pipe) newLoop(fst *first) (lop *loop, ok bool) {
	out := &output{
		con:     fst.pcn.con,
		timeout: pip.cfg.WriteTimeout,
	}
	lop = &loop{
		pip:     pip,
		con:     fst.pcn.con,
		cancel:  fst.pcn.cancel,
		wrt:     bufio.NewWriter(out),
		room:    make(chan struct{}, 1),
		ready:   make(chan struct{}, 1),
		closed:  make(chan struct{}),
		readEnd: make(chan struct{}),
	}
	lop.first = newResponse(lop, fst.req, fst.hdr)
	lop.queue = []*response{lop.first}
	pip.mu.Lock()
	defer pip.mu.Unlock()
	if pip.stopping {
		return nil, false
	}
	pip.loops[lop] = struct{}{}
	pip.met.connections.Inc(1)
	return lop, true
}

func (pip *Pipe) remove(lop *loop) {
	pip.mu.Lock()
	defer pip.mu.Unlock()
	delete(pip.loops, lop)
	close(pip.changed)
	pip.changed = make(chan struct{})
}

// cutLargest disconnects the caller for which most is held, if that is more than limit bytes.
func (pip *Pipe) cutLargest(limit int64) (ok bool) {
	pip.mu.Lock()
	var largest *loop
	for lop := range pip.loops {
		if held := lop.held.Load(); held > limit {
			largest, limit = lop, held
		}
	}
	pip.mu.Unlock()
	if largest == nil {
		return false
	}
	if largest.abort("no memory") {
		pip.met.cuts.Inc(1)
		pip.cfg.Log.Warn("caller cut", zap.String("caller", largest.con.RemoteAddr().String()), zap.Int64("held", limit),
			zap.Int64("memory", pip.memory.Used()))
	}
	return true
}

// Stats is the state of a Pipe.
type Stats struct {
	// Connections is the number of connections that are taken over, Ahead that of the requests read ahead.
	Connections int
	Ahead       int
	// Held is the memory of responses that callers have not taken yet, in bytes.
	Held int64
}

// Stats returns the state.
func (pip *Pipe) Stats() (sta Stats) {
	pip.mu.Lock()
	defer pip.mu.Unlock()
	return Stats{
		Connections: len(pip.loops),
		Ahead:       pip.gate.count(),
		Held:        pip.memory.Used(),
	}
}

// Shutdown closes idle connections on which nothing has arrived, and the others when their requests are answered. It waits until all are
// closed or ctx ends. No connection is taken over any more; those of net/http are shut down by http.Server.Shutdown.
func (pip *Pipe) Shutdown(ctx context.Context) (err error) {
	return pip.endAll(ctx, func(lop *loop) { lop.finish("the VM stops") })
}

// close closes all connections. Handlers that can't be cancelled may go on, as with http.Server.Close.
func (pip *Pipe) close() {
	_ = pip.endAll(context.Background(), func(lop *loop) { lop.abort("closed") }) // the context does not end
}

// endAll calls end with each loop, again and again until there is none.
func (pip *Pipe) endAll(ctx context.Context, end func(lop *loop)) (err error) {
	tck := time.NewTicker(endInterval)
	defer tck.Stop()
	for {
		pip.mu.Lock()
		pip.stopping = true
		loops, changed := slices.Collect(maps.Keys(pip.loops)), pip.changed
		pip.mu.Unlock()
		if len(loops) == 0 {
			return nil
		}
		for _, lop := range loops {
			end(lop)
		}
		select {
		case <-changed:
		case <-tck.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
