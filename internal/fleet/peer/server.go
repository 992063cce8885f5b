package peer

import (
	"context"
	"io"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"cardamompass"
)

const (
	// DefaultMaxConnections allows two connections from each of 430 entry VMs, because a VM that restarts connects again
	// before its old connections time out.
	DefaultMaxConnections = 1024
	// DefaultMaxCalls bounds the calls of one connection that run concurrently; further ones stay unread.
	DefaultMaxCalls = 256
	// DefaultHandshakeTimeout allows for several round trips between the regions farthest apart.
	DefaultHandshakeTimeout = 2 * time.Second
	// DefaultServerIdleTimeout exceeds DefaultClientIdleTimeout, so that the client closes an idle connection first and no
	// call is sent on a connection that the server is closing.
	DefaultServerIdleTimeout = 2 * DefaultClientIdleTimeout
)

// ServerConfig configures a Server. Zero values of optional fields take the defaults of this package.
type ServerConfig struct {
	// Listener accepts the connections; the server closes it. If nil, the server listens at Address.
	Listener net.Listener
	// Address is host:port with an IP address as the host.
	Address string
	// Key is the shared key, at least MinKeyBytes long.
	Key []byte
	// Logger logs refused connections and malformed frames. Optional.
	Logger *zap.Logger
	// MaxConnections bounds the open connections, including those in the handshake. Optional.
	MaxConnections int
	// MaxCalls bounds the running calls of a connection. Optional.
	MaxCalls int
	// MaxMessageBytes bounds a message in each direction. Optional.
	MaxMessageBytes int
	// HandshakeTimeout bounds the handshake. Optional.
	HandshakeTimeout time.Duration
	// IdleTimeout is the time after which a connection without calls is closed. Optional.
	IdleTimeout time.Duration
}

// Server serves calls of other entry VMs. It is safe for concurrent use.
type Server struct {
	cfg ServerConfig
	lis net.Listener
	rps *rpc.Server
	cnt counters
	// newBase returns the context of a new connection; cancelAll cancels the contexts of all connections.
	newBase   func() (ctx context.Context, cancel context.CancelFunc)
	cancelAll context.CancelFunc

	mut     sync.Mutex
	methods map[string]method
	conns   map[net.Conn]struct{}
	closed  bool
	wgr     sync.WaitGroup
}

// NewServer returns a server that listens but does not accept connections yet. Register the receivers, then call Start.
// The stop function closes the listener and all connections, cancels running calls and waits for them.
func NewServer(cfg ServerConfig) (srv *Server, stop func(), err error) {
	defer func() { err = errors.Wrap(err, "peer server") }()
	if len(cfg.Key) < MinKeyBytes {
		return nil, nil, &cardamompass.InvalidError{
			Field:  "peer-key",
			Reason: "must be at least 16 bytes long",
		}
	}
	cfg = cfg.withDefaults()
	if cfg.Listener == nil {
		lcf := net.ListenConfig{
			KeepAlive: -1,
		}
		if cfg.Listener, err = lcf.Listen(context.Background(), "tcp", cfg.Address); err != nil {
			return nil, nil, err
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	srv = &Server{
		cfg:       cfg,
		lis:       cfg.Listener,
		rps:       rpc.NewServer(),
		newBase:   func() (context.Context, context.CancelFunc) { return context.WithCancel(ctx) },
		cancelAll: cancel,
		methods:   map[string]method{},
		conns:     map[net.Conn]struct{}{},
	}
	if err = srv.rps.Register(&Dispatch{}); err != nil {
		srv.stop()
		return nil, nil, err
	}
	return srv, srv.stop, nil
}

func (cfg ServerConfig) withDefaults() ServerConfig {
	if cfg.Logger == nil {
		cfg.Logger = zap.NewNop()
	}
	if cfg.MaxConnections == 0 {
		cfg.MaxConnections = DefaultMaxConnections
	}
	if cfg.MaxCalls == 0 {
		cfg.MaxCalls = DefaultMaxCalls
	}
	if cfg.MaxMessageBytes == 0 {
		cfg.MaxMessageBytes = DefaultMaxMessageBytes
	}
	if cfg.HandshakeTimeout == 0 {
		cfg.HandshakeTimeout = DefaultHandshakeTimeout
	}
	if cfg.IdleTimeout == 0 {
		cfg.IdleTimeout = DefaultServerIdleTimeout
	}
	return cfg
}

// Register publishes the exported methods of receiver that have the form func(args T, reply *R) error or
// func(ctx context.Context, args T, reply *R) error as "name.Method". The context is cancelled at the caller's deadline
// and when the connection ends. Errors: InvalidError if the receiver has no such method.
func (srv *Server) Register(name string, receiver any) (err error) {
	mths := methodsOf(name, receiver)
	if len(mths) == 0 {
		return &cardamompass.InvalidError{
			Field:  name,
			Reason: "has no method of the form func([context.Context,] T, *R) error",
		}
	}
	srv.mut.Lock()
	defer srv.mut.Unlock()
	for key, mth := range mths {
		srv.methods[key] = mth
	}
	return nil
}

// Address returns the address at which the server listens.
func (srv *Server) Address() string { return srv.lis.Addr().String() }

// Traffic returns the counters since the server was created.
func (srv *Server) Traffic() Traffic { return srv.cnt.traffic() }

// Start starts accepting connections until the stop function is called. Call it once.
func (srv *Server) Start() {
	srv.mut.Lock()
	defer srv.mut.Unlock()
	if srv.closed {
		return
	}
	srv.wgr.Go(srv.accept)
}

func (srv *Server) stop() {
	srv.cancelAll()
	srv.mut.Lock()
	srv.closed = true
	_ = srv.lis.Close()
	for con := range srv.conns {
		_ = con.Close()
	}
	srv.mut.Unlock()
	srv.wgr.Wait()
}

func (srv *Server) accept() {
	for {
		con, err := srv.lis.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			srv.cfg.Logger.Warn("peer-accept-failed", zap.Error(err))
			// Accept fails immediately while the process has no free file descriptors; the pause avoids a busy loop.
			time.Sleep(10 * time.Millisecond)
			continue
		}
		if !srv.admit(con) {
			_ = con.Close()
		}
	}
}

func (srv *Server) admit(con net.Conn) (ok bool) {
	srv.mut.Lock()
	defer srv.mut.Unlock()
	if srv.closed {
		return false
	}
	if len(srv.conns) >= srv.cfg.MaxConnections {
		srv.cfg.Logger.Warn("peer-connection-refused",
			zap.Stringer("from", con.RemoteAddr()), zap.Int("open", len(srv.conns)))
		return false
	}
	if tcp, ok := con.(*net.TCPConn); ok {
		// The idle timeout closes connections of lost peers; see Client.dialWith for the cost of keep-alive packets.
		_ = tcp.SetKeepAlive(false)
	}
	srv.conns[con] = struct{}{}
	srv.wgr.Go(func() { srv.serve(con) })
	return true
}

func (srv *Server) serve(con net.Conn) {
	defer func() {
		_ = con.Close()
		srv.mut.Lock()
		delete(srv.conns, con)
		srv.mut.Unlock()
	}()
	ccn := countedConn{
		Conn: con,
		cnt:  &srv.cnt,
	}
	if err := serverHandshake(ccn, srv.cfg.Key, time.Now().Add(srv.cfg.HandshakeTimeout)); err != nil {
		srv.cfg.Logger.Warn("peer-handshake-failed", zap.Stringer("from", con.RemoteAddr()), zap.Error(err))
		return
	}
	srv.cnt.connections.Inc()
	scd := newServerCodec(srv, ccn)
	srv.rps.ServeCodec(scd)
	err := scd.readErr
	if err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) {
		srv.cfg.Logger.Warn("peer-connection-broken", zap.Stringer("from", con.RemoteAddr()), zap.Error(err))
	}
}

func (srv *Server) lookup(name string) (mth method, ok bool) {
	srv.mut.Lock()
	defer srv.mut.Unlock()
	mth, ok = srv.methods[name]
	return mth, ok
}
