package fault

import (
	"errors"
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"cardamompass/internal/edge/sock"
)

const (
	// chunkBytes is the size of one read; queueChunks bounds the chunks queued for one direction, 8 MB.
	chunkBytes  = 32 << 10
	queueChunks = 256
	// pieceBytes is the size of one write while the bandwidth is limited.
	pieceBytes = 4 << 10
)

// connPair is one forwarded connection: the one to the client and the one to the upstream.
type connPair struct {
	prx *Proxy
	// con holds the connection to the client and the one to the upstream.
	con [2]net.Conn
	// gap is set for a direction of which bytes were dropped.
	gap [2]atomic.Bool
	end chan struct{}
	one sync.Once
}

// chunk is the result of one read.
type chunk struct {
	dat []byte
	due time.Time
	// eof marks the end of the stream, err an end by an error.
	eof bool
	err bool
}

// forward forwards one accepted connection until both directions have ended.
func (prx *Proxy) forward(con net.Conn) {
	pol, _ := prx.policy()
	if pol.cut {
		resetConn(con)
		return
	}
	dlr := net.Dialer{
		Timeout: dialTimeout,
	}
	if prx.cfg.DialFrom != "" {
		dlr.LocalAddr = &net.TCPAddr{
			IP: net.ParseIP(prx.cfg.DialFrom),
		}
	}
	ups, err := dlr.Dial("tcp", prx.cfg.Upstream) //nolint:noctx // bounded by its timeout
	if err != nil {
		resetConn(con)
		return
	}
	if tcp, ok := con.(*net.TCPConn); ok && prx.cfg.SendBuffer > 0 {
		_ = tcp.SetWriteBuffer(prx.cfg.SendBuffer)
	}
	par := &connPair{
		prx: prx,
		con: [2]net.Conn{con, ups},
		end: make(chan struct{}),
	}
	if !prx.add(par) {
		par.reset()
		return
	}
	defer prx.remove(par)
	defer par.close()
	var wgr sync.WaitGroup
	for _, dir := range []Direction{Up, Down} {
		que := make(chan chunk, queueChunks)
		wgr.Go(func() { par.read(dir, que) })
		wgr.Go(func() { par.write(dir, que) })
	}
	wgr.Wait()
}

func (prx *Proxy) add(par *connPair) (ok bool) {
	prx.mut.Lock()
	defer prx.mut.Unlock()
	if prx.cls || prx.lsn == nil || prx.pol.cut {
		return false
	}
	prx.num.Add(1)
	prx.prs[par] = struct{}{}
	return true
}

func (prx *Proxy) remove(par *connPair) {
	prx.mut.Lock()
	defer prx.mut.Unlock()
	delete(prx.prs, par)
}

// reset resets both connections.
func (par *connPair) reset() {
	par.one.Do(func() {
		close(par.end)
		resetConn(par.con[0])
		resetConn(par.con[1])
	})
}

// close closes both connections in an orderly way, so that bytes in transit still arrive.
func (par *connPair) close() {
	par.one.Do(func() {
		close(par.end)
		_ = par.con[0].Close()
		_ = par.con[1].Close()
	})
}

// read queues the bytes that arrive in a direction.
func (par *connPair) read(dir Direction, que chan<- chunk) {
	defer close(que)
	src := par.con[dir]
	for {
		buf := make([]byte, chunkBytes)
		num, err := src.Read(buf)
		pol, _ := par.prx.policy()
		due := par.prx.cfg.Clock.Now().Add(pol.delay[dir])
		if num > 0 && !par.push(que, chunk{
			dat: buf[:num],
			due: due,
		}) {
			return
		}
		if err != nil {
			par.push(que, chunk{
				due: due,
				eof: true,
				err: !errors.Is(err, io.EOF) || sock.Reset(src), // the other direction may have got the report of a reset
			})
			return
		}
	}
}

func (par *connPair) push(que chan<- chunk, chk chunk) (ok bool) {
	select {
	case que <- chk:
		return true
	case <-par.end:
		return false
	}
}

// write writes the queued chunks of a direction in order, each once it is due and no freeze is active.
func (par *connPair) write(dir Direction, que <-chan chunk) {
	dst := par.con[1-dir]
	for chk := range que {
		if !par.wait(chk.due) {
			return
		}
		pol, _ := par.prx.policy()
		switch {
		case pol.drop[dir] || par.gap[dir].Load():
			par.gap[dir].Store(true)
			par.prx.drp[dir].Add(int64(len(chk.dat)))
		case chk.err:
			par.reset()
			return
		case chk.eof:
			if tcp, ok := dst.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
		default:
			if !par.deliver(dir, chk) {
				return
			}
		}
	}
}

// deliver writes a chunk of a direction, in pieces at the rate of its bandwidth. It returns false if the connection has ended.
func (par *connPair) deliver(dir Direction, chk chunk) (ok bool) {
	size := pieceBytes
	if pol, _ := par.prx.policy(); pol.rate[dir] == 0 {
		size = chunkBytes
	}
	for pce := range slices.Chunk(chk.dat, size) {
		if !par.wait(par.prx.transmitted(dir, len(pce), chk.due)) {
			return false
		}
		if _, err := par.con[1-dir].Write(pce); err != nil {
			par.reset()
			return false
		}
		par.prx.del[dir].Add(int64(len(pce)))
	}
	return true
}

// wait waits until due and until no freeze is active. It returns false if the connection has ended.
func (par *connPair) wait(due time.Time) (ok bool) {
	for {
		pol, chg := par.prx.policy()
		dur := due.Sub(par.prx.cfg.Clock.Now())
		if !pol.frozen && dur <= 0 {
			return true
		}
		if !par.waitChange(dur, chg) {
			return false
		}
	}
}

// waitChange waits for a change of the policy, but at most for dur if it is positive.
func (par *connPair) waitChange(dur time.Duration, chg <-chan struct{}) (ok bool) {
	var tch <-chan time.Time
	if dur > 0 {
		tmr := par.prx.cfg.Clock.NewTimer(dur)
		defer tmr.Stop()
		tch = tmr.C()
	}
	select {
	case <-tch:
		return true
	case <-chg:
		return true
	case <-par.end:
		return false
	}
}

// resetConn closes a connection with a TCP reset instead of an orderly end.
func resetConn(con net.Conn) {
	if tcp, ok := con.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = con.Close()
}
