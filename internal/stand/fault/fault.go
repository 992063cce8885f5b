// Package fault is a TCP proxy that injects network faults between two processes in tests.
//
// Four goroutines forward each connection: for each direction, one reads and one writes in order. Faults apply to both
// existing and new connections until Heal ends them. A stream never has a gap: after bytes of a connection were dropped,
// nothing more is delivered in that direction, and Heal resets the connection. Bytes that are delayed or held by a freeze
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

// Direction is a direction of data through the proxy.
type Direction int

const (
	// Up is the direction from the client to the upstream.
	Up Direction = iota
	// Down is the direction from the upstream to the client.
	Down
)

// dialTimeout bounds a dial to the upstream.
const dialTimeout = 5 * time.Second

// Config describes a proxy.
type Config struct {
	// Address is the IP address and port to listen at; port 0 means any free port.
	Address string
	// Upstream is the IP address and port to which connections are forwarded.
	Upstream string
	// DialFrom is the IP address from which the upstream is dialled. Empty means the system's choice.
	DialFrom string
	// SendBuffer bounds the bytes that count as delivered to the client while they wait in the system's send buffer,
	// which holds up to twice as many. Zero means the system's choice, up to some megabytes.
	SendBuffer int
	// Clock gives the time of delays. Nil means the system's clock.
	Clock cardamompass.Clock
}

// Stats are counts since the start.
type Stats struct {
	// Connections is the number of connections that were accepted and forwarded, Open the number of those that are still open.
	Connections int64
	Open        int64
	// BytesUp and BytesDown are the bytes delivered, DroppedUp and DroppedDown the bytes dropped.
	BytesUp     int64
	BytesDown   int64
	DroppedUp   int64
	DroppedDown int64
}

// Proxy is a TCP proxy with fault injection. It is safe for concurrent use.
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
	prs map[*connPair]struct{}
	pol policy
	// chg is closed and replaced when the policy changes.
	chg chan struct{}
	// idleAt is the time at which the bytes taken so far have passed the limited bandwidth of a direction.
	idleAt [2]time.Time
}

// policy is the set of active faults. It is immutable.
type policy struct {
	cut    bool
	frozen bool
	drop   [2]bool
	delay  [2]time.Duration
	// rate is the bandwidth in bytes per second, 0 if it is not limited.
	rate [2]float64
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
		prs: map[*connPair]struct{}{},
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

// SetDelay delays the bytes that arrive from now on in a direction.
func (prx *Proxy) SetDelay(dir Direction, dur time.Duration) {
	prx.update(func(pol *policy) { pol.delay[dir] = dur })
}

// SetBandwidth limits the bytes per second in a direction, of all connections together; 0 ends the limit.
func (prx *Proxy) SetBandwidth(dir Direction, bytesPerSecond float64) {
	prx.update(func(pol *policy) { pol.rate[dir] = bytesPerSecond })
}

// Drop silently drops the bytes of one direction, including the end of the stream, as in a one-way network partition.
func (prx *Proxy) Drop(dir Direction) { prx.update(func(pol *policy) { pol.drop[dir] = true }) }

// Freeze holds back all bytes of both directions.
func (prx *Proxy) Freeze() { prx.update(func(pol *policy) { pol.frozen = true }) }

// Resume ends a freeze and delivers the bytes that it held back.
func (prx *Proxy) Resume() { prx.update(func(pol *policy) { pol.frozen = false }) }

// Cut resets all connections, and every new one as soon as it is accepted.
func (prx *Proxy) Cut() {
	prx.update(func(pol *policy) { pol.cut = true })
	prx.reset(func(*connPair) bool { return true })
}

// Refuse closes the listener, so that new connections are refused, and resets all connections.
func (prx *Proxy) Refuse() {
	prx.mut.Lock()
	if prx.lsn != nil {
		_ = prx.lsn.Close()
		prx.lsn = nil
	}
	prx.mut.Unlock()
	prx.reset(func(*connPair) bool { return true })
}

// Heal ends all faults and resets the connections of which bytes were dropped. After Refuse it listens again.
func (prx *Proxy) Heal() (err error) {
	defer func() { err = errors.Wrap(err, "heal") }()
	prx.reset(func(par *connPair) bool { return par.gap[Up].Load() || par.gap[Down].Load() })
	prx.update(func(pol *policy) { *pol = policy{} })
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
	opn := int64(len(prx.prs))
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

// transmitted returns when num bytes that are ready to be sent at a time have passed the bandwidth of a direction, after those of earlier
// calls. It does not depend on the time of the call, so that a busy machine does not take bandwidth away.
func (prx *Proxy) transmitted(dir Direction, num int, ready time.Time) (at time.Time) {
	prx.mut.Lock()
	defer prx.mut.Unlock()
	if prx.pol.rate[dir] == 0 {
		return ready
	}
	if prx.idleAt[dir].Before(ready) {
		prx.idleAt[dir] = ready
	}
	prx.idleAt[dir] = prx.idleAt[dir].Add(time.Duration(float64(num) / prx.pol.rate[dir] * float64(time.Second)))
	return prx.idleAt[dir]
}

func listen(address string) (lsn net.Listener, err error) {
	return net.Listen("tcp", address) //nolint:noctx // the listener lives until the proxy closes it
}

// update applies fnc to the policy and wakes the goroutines that wait for an update of it.
func (prx *Proxy) update(fnc func(pol *policy)) {
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
func (prx *Proxy) reset(fnc func(*connPair) bool) {
	prx.mut.Lock()
	defer prx.mut.Unlock()
	for par := range prx.prs {
		if fnc(par) {
			par.reset()
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
			prx.wgr.Go(func() { prx.forward(con) })
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
	prx.reset(func(*connPair) bool { return true })
	prx.wgr.Wait()
}
