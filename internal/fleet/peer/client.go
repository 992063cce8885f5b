package peer

import (
	"context"
	"net"
	"reflect"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"cardamompass"
)

const (
	// DefaultDialTimeout bounds the TCP connect and the handshake together.
	DefaultDialTimeout = time.Second
	// DefaultCallTimeout applies to calls whose context has no deadline.
	DefaultCallTimeout = 5 * time.Second
	// DefaultClientIdleTimeout exceeds the 215 s between two probes of the same member at 430 VMs, so that probes find open
	// connections. A new connection costs about 1.1 KB and 0.7 ms of CPU at both ends together, an open one 50 KB of
	// memory.
	DefaultClientIdleTimeout = 4 * time.Minute
)

var errClosed = errors.New("client is closed")

// ClientConfig configures a Client. Zero values of optional fields take the defaults of this package.
type ClientConfig struct {
	// Key is the shared key, at least MinKeyBytes long.
	Key []byte
	// Clock times idle connections. Optional.
	Clock cardamompass.Clock
	// Logger receives connections that were given up. Optional.
	Logger *zap.Logger
	// DialTimeout bounds connect and handshake. Optional.
	DialTimeout time.Duration
	// CallTimeout bounds calls whose context has no deadline. Optional.
	CallTimeout time.Duration
	// IdleTimeout is the time without a call after which a connection is closed. Optional.
	IdleTimeout time.Duration
	// MaxMessageBytes bounds a message in each direction. Optional.
	MaxMessageBytes int
}

func (cfg ClientConfig) withDefaults() ClientConfig {
	if cfg.Clock == nil {
		cfg.Clock = cardamompass.SystemClock{}
	}
	if cfg.Logger == nil {
		cfg.Logger = zap.NewNop()
	}
	if cfg.DialTimeout == 0 {
		cfg.DialTimeout = DefaultDialTimeout
	}
	if cfg.CallTimeout == 0 {
		cfg.CallTimeout = DefaultCallTimeout
	}
	if cfg.IdleTimeout == 0 {
		cfg.IdleTimeout = DefaultClientIdleTimeout
	}
	if cfg.MaxMessageBytes == 0 {
		cfg.MaxMessageBytes = DefaultMaxMessageBytes
	}
	return cfg
}

// Client calls methods of other entry VMs. It is safe for concurrent use.
type Client struct {
	cfg  ClientConfig
	cnt  counters
	end  chan struct{}
	dial func(address string) (con net.Conn, err error)
	// onStop registers a function that runs when the client is stopped.
	onStop func(fun func()) (release func() bool)
	cancel context.CancelFunc

	mut    sync.Mutex
	conns  map[string]*conn
	dials  map[string]*dialing
	closed bool
	wgr    sync.WaitGroup
}

// dialing is one connection attempt that several calls may wait for.
type dialing struct {
	done chan struct{}
	cnn  *conn
	err  error
}

var _ cardamompass.PeerCaller = (*Client)(nil)

// NewClient returns a client without connections. The clean-up function closes all connections, ends running calls and
// waits for the client's goroutines.
func NewClient(cfg ClientConfig) (cli *Client, stop func(), err error) {
	if len(cfg.Key) < MinKeyBytes {
		return nil, nil, &cardamompass.InvalidError{
			Field:  "peer-key",
			Reason: "must be at least 16 bytes long",
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	cli = &Client{
		cfg:    cfg.withDefaults(),
		end:    make(chan struct{}),
		cancel: cancel,
		conns:  map[string]*conn{},
		dials:  map[string]*dialing{},
	}
	cli.dial = func(address string) (net.Conn, error) { return cli.dialWith(ctx, address) }
	cli.onStop = func(fun func()) func() bool { return context.AfterFunc(ctx, fun) }
	cli.wgr.Go(cli.closeIdle)
	return cli, cli.stop, nil
}

// Traffic returns the counts since the start.
func (cli *Client) Traffic() Traffic { return cli.cnt.traffic() }

// Call implements cardamompass.PeerCaller. A call that waits for others to write is bounded by its own deadline; a
// cancellation without deadline takes effect once the write has ended. Reply is changed only when err is nil.
// Errors: PeerUnsentError; RemoteError when the peer answered with an error; others leave the outcome open.
func (cli *Client) Call(ctx context.Context, address, method string, args, reply any) (err error) {
	defer func() { err = errors.Wrapf(err, "%s at %s", method, address) }()
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, cli.cfg.CallTimeout)
		defer cancel()
	}
	if val := reflect.ValueOf(reply); val.Kind() != reflect.Pointer || val.IsNil() {
		return unsent(address, errors.New("reply must be a pointer"))
	}
	// A pooled connection may have been closed by the peer since its last use. Nothing was sent then, and one new
	// connection is tried.
	for try := 0; ; try++ {
		cnn, fresh, derr := cli.connection(ctx, address)
		if derr != nil {
			return unsent(address, derr)
		}
		sent, cerr := cnn.call(ctx, method, args, reply)
		if cerr == nil || sent {
			return cerr
		}
		var ece *encodeError
		if fresh || try > 0 || ctx.Err() != nil || errors.As(cerr, &ece) {
			return unsent(address, cerr)
		}
		// The second try must not get the same connection, whose end may not have been noticed elsewhere yet.
		cnn.retire()
	}
}

func unsent(address string, err error) error {
	return &cardamompass.PeerUnsentError{
		Address: address,
		Err:     err,
	}
}

// connection returns the connection to address and dials if there is none. Fresh is set for a new connection.
func (cli *Client) connection(ctx context.Context, address string) (cnn *conn, fresh bool, err error) {
	cli.mut.Lock()
	if cli.closed {
		cli.mut.Unlock()
		return nil, false, errClosed
	}
	if cnn = cli.conns[address]; cnn != nil && cnn.acquire() {
		cli.mut.Unlock()
		return cnn, false, nil
	}
	dlg := cli.dials[address]
	if dlg == nil {
		dlg = &dialing{
			done: make(chan struct{}),
		}
		cli.dials[address] = dlg
		cli.wgr.Go(func() { cli.connect(address, dlg) })
	}
	cli.mut.Unlock()
	select {
	case <-dlg.done:
	case <-ctx.Done():
		return nil, false, ctx.Err()
	}
	if dlg.err != nil {
		return nil, false, dlg.err
	}
	if !dlg.cnn.acquire() {
		return nil, false, errors.New("connection closed at once")
	}
	return dlg.cnn, true, nil
}

func (cli *Client) connect(address string, dlg *dialing) {
	con, err := cli.dial(address)
	cli.mut.Lock()
	defer cli.mut.Unlock()
	if err == nil && cli.closed {
		_ = con.Close()
		err = errClosed
	}
	if err == nil {
		cli.cnt.connections.Inc()
		dlg.cnn = newConn(cli, address, con)
		cli.conns[address] = dlg.cnn
	}
	dlg.err = err
	delete(cli.dials, address)
	close(dlg.done)
}

func (cli *Client) dialWith(ctx context.Context, address string) (con net.Conn, err error) {
	deadline := time.Now().Add(cli.cfg.DialTimeout)
	dlr := net.Dialer{
		Deadline: deadline,
		// Probes of the membership find broken connections; keep-alive packets on hundreds of idle connections would
		// cost more than the probes.
		KeepAlive: -1,
	}
	raw, err := dlr.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	// The clean-up function must not wait for a peer that accepts and stays silent.
	release := cli.onStop(func() { _ = raw.Close() })
	defer release()
	con = countedConn{
		Conn: raw,
		cnt:  &cli.cnt,
	}
	if err = shakeClient(con, cli.cfg.Key, deadline); err != nil {
		_ = raw.Close()
		return nil, err
	}
	return con, nil
}

// forget removes a connection from those that take new calls.
func (cli *Client) forget(cnn *conn) {
	cli.mut.Lock()
	defer cli.mut.Unlock()
	if cli.conns[cnn.address] == cnn {
		delete(cli.conns, cnn.address)
	}
}

func (cli *Client) stop() {
	cli.cancel()
	cli.mut.Lock()
	if cli.closed {
		cli.mut.Unlock()
		return
	}
	cli.closed = true
	close(cli.end)
	cli.mut.Unlock()
	cli.wgr.Wait()
}

// closeIdle closes connections without calls until the client is stopped.
func (cli *Client) closeIdle() {
	for {
		tmr := cli.cfg.Clock.NewTimer(cli.cfg.IdleTimeout / 4)
		select {
		case <-tmr.C():
		case <-cli.end:
			tmr.Stop()
			return
		}
		now := cli.cfg.Clock.Now()
		for _, cnn := range cli.idle(now) {
			cnn.retire()
		}
	}
}

func (cli *Client) idle(now time.Time) (cnns []*conn) {
	cli.mut.Lock()
	defer cli.mut.Unlock()
	for _, cnn := range cli.conns {
		if cnn.idleFor(now) >= cli.cfg.IdleTimeout {
			cnns = append(cnns, cnn)
		}
	}
	return cnns
}
