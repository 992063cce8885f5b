// Package fault is a TCP proxy that injects network faults between two processes in tests.
//
// Each connection is carried by four goroutines: for each direction, one reads and one delivers in order. Faults apply
// to both existing and new connections until they are lifted. A stream never has a gap: a connection of which bytes
// were dropped delivers nothing more in that direction and is reset by Heal. Bytes that are delayed or held by a freeze
// are delivered even if their sender has closed the connection by then. A connection whose upstream cannot be dialled is
// accepted and reset; only Refuse makes the proxy refuse connections.
package fault

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"cardamompass"
)

// Direction is a direction through the proxy.
type Direction int

const (
	// Up is the direction from the side that dials to the upstream.
	Up Direction = iota
	// Down is the direction from the upstream to the side that dials.
	Down
)

// dialTimeout bounds a dial to the upstream.
const dialTimeout = 5 * time.Second

// Config describes a proxy.
type Config struct {
	// Address is the host:port, by IP number, to listen at; port 0 takes any.
	Address string
	// Upstream is the host:port, by IP number, to which connections are carried.
	Upstream string
	// SendBuffer bounds the bytes that count as delivered towards the side that dials while they wait for it in the
	// system's send buffer, which holds up to twice as many. Zero means the system's choice, up to some megabytes.
	SendBuffer int
	// Clock gives the time of delays. Nil means the system's clock.
	Clock cardamompass.Clock
}

// Stats are counts since the start.
type Stats struct {
	// Connections is the number of connections that were accepted and carried, Open those that are still open.
	Connections int64
	Open        int64
	// BytesUp and BytesDown were delivered, DroppedUp and DroppedDown were dropped.
	BytesUp     int64
	BytesDown   int64
	DroppedUp   int64
	DroppedDown int64
}

// Proxy is a proxy. It is safe for concurrent use.
type Proxy struct {
	cfg Config
	adr string
	wgr sync.WaitGroup
	num atomic.Int64
	del [2]atomic.Int64
	drp [2]atomic.Int64

	mut sync.Mutex
	cls bool
	lsn net.Listener
	lks map[*link]struct{}
	pol policy
	// chg is closed and replaced when the policy changes.
	chg chan struct{}
}

// policy is the set of faults in force. It is immutable.
type policy struct {
	cut   bool
	froze bool
	drop  [2]bool
	delay [2]time.Duration
}

// New starts a proxy. The clean-up function closes it with all connections and waits for all of its goroutines.
func New(cfg Config) (prx *Proxy, cleanup func(), err error) {
	defer func() { err = errors.Wrap(err, "fault proxy") }()
	if _, err = netip.ParseAddrPort(cfg.Upstream); err != nil {
		return nil, nil, err
	}
	if cfg.Clock == nil {
		cfg.Clock = cardamompass.SystemClock{}
	}
	prx = &Proxy{
		cfg: cfg,
		lks: map[*link]struct{}{},
		chg: make(chan struct{}),
	}
	lsn, err := listen(cfg.Address)
	if err != nil {
		return nil, nil, err
	}
	prx.adr = lsn.Addr().String()
	prx.serve(lsn)
	return prx, sync.OnceFunc(prx.close), nil
}

// Address returns the host:port at which the proxy listens.
func (prx *Proxy) Address() string { return prx.adr }

// SetDelay delays the bytes that arrive from now on in a direction. A long delay is a late delivery.
func (prx *Proxy) SetDelay(dir Direction, dur time.Duration) {
	prx.change(func(pol *policy) { pol.delay[dir] = dur })
}

// Drop silently drops the bytes of one direction, the end of the stream included: a one-way cut.
func (prx *Proxy) Drop(dir Direction) { prx.change(func(pol *policy) { pol.drop[dir] = true }) }

// Freeze holds all bytes of both directions.
func (prx *Proxy) Freeze() { prx.change(func(pol *policy) { pol.froze = true }) }

// Resume delivers what Freeze held and ends the freeze.
func (prx *Proxy) Resume() { prx.change(func(pol *policy) { pol.froze = false }) }

// Cut resets all connections, and every new one as soon as it is accepted.
func (prx *Proxy) Cut() {
	prx.change(func(pol *policy) { pol.cut = true })
	prx.reset(func(*link) bool { return true })
}

// Refuse closes the listener, so that new connections are refused, and resets all connections.
func (prx *Proxy) Refuse() {
	prx.mut.Lock()
	if prx.lsn != nil {
		_ = prx.lsn.Close()
		prx.lsn = nil
	}
	prx.mut.Unlock()
	prx.reset(func(*link) bool { return true })
}

// Heal lifts all faults and resets the connections that lost bytes. It listens again after Refuse.
func (prx *Proxy) Heal() (err error) {
	defer func() { err = errors.Wrap(err, "heal") }()
	prx.reset(func(lnk *link) bool { return lnk.gap[Up].Load() || lnk.gap[Down].Load() })
	prx.change(func(pol *policy) { *pol = policy{} })
	prx.mut.Lock()
	defer prx.mut.Unlock()
	if prx.lsn != nil || prx.cls {
		return nil
	}
	lsn, err := listen(prx.adr)
	if err != nil {
		return err
	}
	prx.serve(lsn)
	return nil
}

// Stats returns the counts.
func (prx *Proxy) Stats() Stats {
	prx.mut.Lock()
	opn := int64(len(prx.lks))
	prx.mut.Unlock()
	return Stats{
		Connections: prx.num.Load(),
		Open:        opn,
		BytesUp:     prx.del[Up].Load(),
		BytesDown:   prx.del[Down].Load(),
		DroppedUp:   prx.drp[Up].Load(),
		DroppedDown: prx.drp[Down].Load(),
	}
}

func listen(address string) (lsn net.Listener, err error) {
	return net.Listen("tcp", address) //nolint:noctx // the listener lives until the proxy closes it
}

// change applies fnc to the policy and wakes the goroutines that wait for a change.
func (prx *Proxy) change(fnc func(pol *policy)) {
	prx.mut.Lock()
	defer prx.mut.Unlock()
	fnc(&prx.pol)
	close(prx.chg)
	prx.chg = make(chan struct{})
}

func (prx *Proxy) policy() (pol policy, chg <-chan struct{}) {
	prx.mut.Lock()
	defer prx.mut.Unlock()
	return prx.pol, prx.chg
}

// reset resets the connections for which fnc is true.
func (prx *Proxy) reset(fnc func(*link) bool) {
	prx.mut.Lock()
	defer prx.mut.Unlock()
	for lnk := range prx.lks {
		if fnc(lnk) {
			lnk.kill()
		}
	}
}

// serve accepts connections until lsn is closed. The caller holds the mutex or is the only user.
func (prx *Proxy) serve(lsn net.Listener) {
	prx.lsn = lsn
	prx.wgr.Go(func() {
		for {
			con, err := lsn.Accept()
			if err != nil {
				return
			}
			prx.wgr.Go(func() { prx.carry(con) })
		}
	})
}

func (prx *Proxy) close() {
	prx.mut.Lock()
	prx.cls = true
	if prx.lsn != nil {
		_ = prx.lsn.Close()
	}
	prx.mut.Unlock()
	prx.reset(func(*link) bool { return true })
	prx.wgr.Wait()
}
