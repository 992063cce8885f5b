package relay

import (
	"context"
	"net"
	"net/http"

	"cardamompass"
)

// longReadBuffer is the size of the receive buffer of a connection for long responses; the operating system allocates twice that.
// It is small because a target can send as much ahead of Pace as the buffer holds.
const longReadBuffer = 64 << 10

// poolKey identifies the pool of one target address and class.
type poolKey struct {
	address string
	class   cardamompass.Class
}

// pool holds the connections to one target for one class.
type pool struct {
	transport *http.Transport
	maxConns  int
}

// pool returns the pool for tgt and cls. A pool whose connection limit has changed is replaced.
func (rly *Relay) pool(tgt cardamompass.Target, cls cardamompass.Class) (pol *pool, err error) {
	key := poolKey{
		address: tgt.Address,
		class:   cls,
	}
	maxConns := rly.cfg.ShortConnections
	if cls == cardamompass.ClassLong {
		maxConns = rly.cfg.LongConnections
	}
	if tgt.Connections > 0 {
		maxConns = min(maxConns, tgt.Connections)
	}
	rly.mu.Lock()
	defer rly.mu.Unlock()
	if rly.ctx.Err() != nil {
		return nil, &cardamompass.NotRunError{
			Reason: "the relay is closed",
		}
	}
	pol, ok := rly.pools[key]
	if ok && pol.maxConns == maxConns {
		return pol, nil
	}
	if ok {
		pol.transport.CloseIdleConnections()
	}
	pol = &pool{
		transport: rly.transport(maxConns, cls),
		maxConns:  maxConns,
	}
	rly.pools[key] = pol
	return pol, nil
}

func (rly *Relay) transport(maxConns int, cls cardamompass.Class) *http.Transport {
	readBuffer := 0
	if cls == cardamompass.ClassLong {
		readBuffer = longReadBuffer
	}
	prt := new(http.Protocols)
	prt.SetHTTP1(true)
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			return rly.dial(ctx, network, address, readBuffer)
		},
		DisableCompression:     true,
		MaxConnsPerHost:        maxConns,
		MaxIdleConnsPerHost:    maxConns,
		IdleConnTimeout:        rly.cfg.IdleTimeout,
		MaxResponseHeaderBytes: int64(rly.cfg.MaxHeaderBytes),
		Protocols:              prt,
	}
}

// dial opens a connection. net/http continues a dial after the request that started it has ended; such a dial ends when the relay
// is closed or at the dial timeout. With readBuffer 0 the operating system chooses the size of the receive buffer.
func (rly *Relay) dial(ctx context.Context, network, address string, readBuffer int) (con net.Conn, err error) {
	rly.mu.Lock()
	if err = rly.ctx.Err(); err != nil {
		rly.mu.Unlock()
		return nil, err
	}
	rly.dials.Add(1)
	rly.mu.Unlock()
	defer rly.dials.Done()

	ctx, cancel := context.WithTimeout(ctx, rly.cfg.DialTimeout)
	defer cancel()
	defer context.AfterFunc(rly.ctx, cancel)()
	raw, err := new(net.Dialer).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if tcp, ok := raw.(*net.TCPConn); ok && readBuffer > 0 {
		if err = tcp.SetReadBuffer(readBuffer); err != nil {
			_ = raw.Close()
			return nil, err
		}
	}
	return rly.trackConn(raw), nil
}

// trackConn registers a new connection, so that the cleanup function can close it.
func (rly *Relay) trackConn(raw net.Conn) *conn {
	con := &conn{
		Conn: raw,
	}
	con.closed = func() {
		rly.conMu.Lock()
		defer rly.conMu.Unlock()
		delete(rly.conns, con)
	}
	rly.conMu.Lock()
	rly.conns[con] = struct{}{}
	relayClosed := rly.ctx.Err() != nil
	rly.conMu.Unlock()
	if relayClosed {
		con.Close() //nolint:errcheck // the relay is closed
	}
	return con
}

// RemoveTarget closes the idle connections to a target that has been removed and deletes its pools.
func (rly *Relay) RemoveTarget(tgt cardamompass.Target) {
	rly.mu.Lock()
	defer rly.mu.Unlock()
	for _, cls := range []cardamompass.Class{cardamompass.ClassShort, cardamompass.ClassLong} {
		key := poolKey{
			address: tgt.Address,
			class:   cls,
		}
		if pol, ok := rly.pools[key]; ok {
			pol.transport.CloseIdleConnections()
			delete(rly.pools, key)
		}
	}
}

// Stats are the statistics of a relay for the state dump and the metrics.
type Stats struct {
	// Pools is the number of pools, one for each target and class.
	Pools int
	// Connections is the number of open connections, idle ones included.
	Connections int
}

// Stats returns the current statistics.
func (rly *Relay) Stats() (sts Stats) {
	rly.mu.Lock()
	sts.Pools = len(rly.pools)
	rly.mu.Unlock()
	rly.conMu.Lock()
	defer rly.conMu.Unlock()
	sts.Connections = len(rly.conns)
	return sts
}
