// Package mirror passes the routing table from VM to VM while the store does not answer some of them.
//
// The store may refuse some VMs and serve the others and the operators. A VM that it refuses would serve by an old routing table, and accept
// keys that have been taken away, until the store answers it again. Such a VM asks other VMs, one after the other at a short interval, for a
// newer table than its own. It takes a table only in its stored form, decodes it like one from the store, and only if its version is
// newer. Everything else comes from the store alone, evacuations too: only the store ends one, so that a VM that had learnt one would keep
// to it for the rest of the outage.
//
// Calls are neither encrypted nor authenticated; the package relies on a network in which only the entry VMs reach the port.
package mirror

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"cardamompass"
	"cardamompass/internal/fleet/view"
	"cardamompass/internal/plat/stall"
)

const (
	// askInterval is the time between two questions during an outage. Each costs a connection.
	askInterval = 500 * time.Millisecond
	// minOutage is the time without the store after which a VM asks others. Most calls that fail are answered when repeated.
	minOutage = time.Second
	// askPatience is how long another VM may take to accept the connection, and between two parts of its answer. One that was lost or
	// stands still must not use up the time within which a change must be known, since others have to be asked after it.
	askPatience = time.Second
	// callTimeout bounds a call at the VM that answers it, and the time until an answer is applied. A configuration of 1 MB takes 1 s at
	// 10 Mbit/s when it can't be compressed.
	callTimeout = 3 * time.Second
	// maxConnections bounds the calls that are served at a time. A VM asks one other VM at a time, so that more are rare.
	maxConnections = 16
	// method is the RPC method of the service.
	method = "Mirror.Newer"
)

// Codec encodes and decodes routing tables in the form in which the store has them.
type Codec interface {
	// EncodedTable returns the version of the newest table that this VM has decoded, and its compressed form; version 0 if there is none.
	EncodedTable() (version uint64, data []byte)
	// DecodeTable decodes the compressed form of a table.
	DecodeTable(data []byte) (tbl *cardamompass.RoutingTable, err error)
}

// Config configures a Mirror.
type Config struct {
	// Address is the host:port to listen at, with an IP address as the host.
	Address string
	Codec   Codec
	// View returns the current view, Outage how long the store has not answered; 0 if it answers.
	View   func() *view.View
	Outage func() time.Duration
	// Peers returns the other running VMs.
	Peers func() []cardamompass.VM
	// Apply applies changes that another VM has reported.
	Apply func(ctx context.Context, chs []cardamompass.Change)
	Dial  func(ctx context.Context, network, address string) (con net.Conn, err error)
	Clock cardamompass.Clock
	Log   *zap.Logger
}

// Mirror serves this VM's routing table to others and asks for theirs during an outage.
type Mirror struct {
	cfg   Config
	lsn   net.Listener
	slots chan struct{} // one element for each connection that is served

	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	closed bool
}

// New listens at the address and returns the function that stops the Mirror.
func New(cfg Config) (mir *Mirror, cleanup func(), err error) {
	defer func() { err = errors.Wrap(err, "start the mirror of the routing table") }()
	var lcf net.ListenConfig
	lsn, err := lcf.Listen(context.Background(), "tcp4", cfg.Address)
	if err != nil {
		return nil, nil, err
	}
	mir = &Mirror{
		cfg:   cfg,
		lsn:   lsn,
		slots: make(chan struct{}, maxConnections),
		conns: make(map[net.Conn]struct{}),
	}
	srv := rpc.NewServer()
	if err = srv.RegisterName("Mirror", &service{mir: mir}); err != nil {
		_ = lsn.Close()
		return nil, nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { mir.serve(srv, &running) })
	running.Go(func() { mir.askLoop(ctx) })
	return mir, func() {
		cancel()
		mir.close()
		running.Wait()
	}, nil
}

// Address returns the address at which the Mirror listens.
func (mir *Mirror) Address() (address string) { return mir.lsn.Addr().String() }

func (mir *Mirror) close() {
	_ = mir.lsn.Close() // ends serve
	mir.mu.Lock()
	defer mir.mu.Unlock()
	mir.closed = true
	for con := range mir.conns {
		_ = con.Close() // ends its calls
	}
}

func (mir *Mirror) serve(srv *rpc.Server, running *sync.WaitGroup) {
	for {
		con, err := mir.lsn.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			mir.cfg.Log.Warn("connection of a VM not accepted", zap.Error(err))
			tmr := mir.cfg.Clock.NewTimer(askInterval)
			<-tmr.C()
			continue
		}
		select {
		case mir.slots <- struct{}{}:
		default:
			_ = con.Close() // the other VM asks another one
			continue
		}
		running.Go(func() {
			defer func() { <-mir.slots }()
			mir.serveConn(srv, con)
		})
	}
}

func (mir *Mirror) serveConn(srv *rpc.Server, con net.Conn) {
	mir.mu.Lock()
	if mir.closed { // accepted just before close, which does not know it
		mir.mu.Unlock()
		_ = con.Close()
		return
	}
	mir.conns[con] = struct{}{}
	mir.mu.Unlock()
	_ = con.SetDeadline(time.Now().Add(callTimeout))
	srv.ServeConn(con) // closes con
	mir.mu.Lock()
	delete(mir.conns, con)
	mir.mu.Unlock()
}

// Question is the argument of a call: what the asking VM knows.
type Question struct {
	Version uint64
}

// Answer is what the other VM knows beyond it.
type Answer struct {
	// Table is the compressed form of a newer table, empty if there is none.
	Table []byte
}

// service is the receiver of the RPC calls.
type service struct{ mir *Mirror }

// Newer answers a Question.
func (svc *service) Newer(que Question, ans *Answer) (err error) {
	version, data := svc.mir.cfg.Codec.EncodedTable()
	vew := svc.mir.cfg.View()
	if version > que.Version && vew.Table != nil && vew.Table.Version == version {
		ans.Table = data
	}
	return nil
}

func (mir *Mirror) askLoop(ctx context.Context) {
	for cardamompass.Sleep(ctx, mir.cfg.Clock, askInterval) == nil {
		// A VM that has read nothing from the store knows no targets, and a table alone would make it ready.
		if mir.cfg.Outage() < minOutage || mir.cfg.View().Table == nil {
			continue
		}
		vms := mir.cfg.Peers()
		if len(vms) == 0 {
			continue
		}
		vmc := vms[rand.IntN(len(vms))]
		if err := mir.ask(ctx, vmc); err != nil && ctx.Err() == nil {
			mir.cfg.Log.Info("routing table not read from vm", zap.String("vm", string(vmc.ID)), zap.Error(err))
		}
	}
}

// ask asks a VM for what it knows beyond this one, and applies it.
func (mir *Mirror) ask(ctx context.Context, vmc cardamompass.VM) (err error) {
	actx, wdg, stop := stall.New(ctx, stall.Config{
		First: askPatience,
		Gap:   askPatience,
	})
	defer stop()
	con, err := mir.cfg.Dial(actx, "tcp4", vmc.PeerAddress)
	if err != nil {
		return err
	}
	clt := rpc.NewClient(progressConn{
		Conn: con,
		src:  wdg.Reader(con),
	})
	defer clt.Close() //nolint:errcheck // ends a call that has stalled
	vew := mir.cfg.View()
	que := Question{
		Version: vew.Table.Version,
	}
	var ans Answer
	select {
	case cal := <-clt.Go(method, que, &ans, make(chan *rpc.Call, 1)).Done:
		err = cal.Error
	case <-actx.Done():
		err = context.Cause(actx)
	}
	if err != nil {
		return err
	}
	return mir.apply(ctx, vmc, ans)
}

// progressConn is a connection whose reads are observed.
type progressConn struct {
	net.Conn
	src io.Reader
}

// Read implements io.Reader.
func (con progressConn) Read(buf []byte) (num int, err error) { return con.src.Read(buf) }

func (mir *Mirror) apply(ctx context.Context, vmc cardamompass.VM, ans Answer) (err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if len(ans.Table) == 0 {
		return nil
	}
	tbl, err := mir.cfg.Codec.DecodeTable(ans.Table)
	if err != nil {
		return err
	}
	mir.cfg.Log.Info("routing table read from vm", zap.String("vm", string(vmc.ID)), zap.Uint64("version", tbl.Version),
		zap.Int("bytes", len(ans.Table)))
	mir.cfg.Apply(ctx, []cardamompass.Change{{
		Table: tbl,
	}})
	return nil
}
