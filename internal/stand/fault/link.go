package fault

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// chunkBytes is the size of one read; queueChunks bounds the chunks that are held for one direction, 8 MB.
	chunkBytes  = 32 << 10
	queueChunks = 256
)

// link is one carried connection.
type link struct {
	prx *Proxy
	// con is the connection to the side that dials, and the one to the upstream.
	con [2]net.Conn
	// gap is set for a direction of which bytes were dropped.
	gap [2]atomic.Bool
	end chan struct{}
	one sync.Once
}

// chunk is what one read returned.
type chunk struct {
	dat []byte
	due time.Time
	// eof marks the end of the stream, err an abrupt one.
	eof bool
	err bool
}

// carry carries one accepted connection until both directions have ended.
func (prx *Proxy) carry(con net.Conn) {
	pol, _ := prx.policy()
	if pol.cut {
		resetConn(con)
		return
	}
	ups, err := net.DialTimeout("tcp", prx.cfg.Upstream, dialTimeout) //nolint:noctx // bounded by its timeout
	if err != nil {
		resetConn(con)
		return
	}
	if tcp, ok := con.(*net.TCPConn); ok && prx.cfg.SendBuffer > 0 {
		_ = tcp.SetWriteBuffer(prx.cfg.SendBuffer)
	}
	lnk := &link{
		prx: prx,
		con: [2]net.Conn{con, ups},
		end: make(chan struct{}),
	}
	if !prx.add(lnk) {
		lnk.kill()
		return
	}
	defer prx.remove(lnk)
	defer lnk.finish()
	var wgr sync.WaitGroup
	for _, dir := range []Direction{Up, Down} {
		que := make(chan chunk, queueChunks)
		wgr.Go(func() { lnk.read(dir, que) })
		wgr.Go(func() { lnk.deliver(dir, que) })
	}
	wgr.Wait()
}

func (prx *Proxy) add(lnk *link) (ok bool) {
	prx.mut.Lock()
	defer prx.mut.Unlock()
	if prx.cls || prx.lsn == nil || prx.pol.cut {
		return false
	}
	prx.num.Add(1)
	prx.lks[lnk] = struct{}{}
	return true
}

func (prx *Proxy) remove(lnk *link) {
	prx.mut.Lock()
	defer prx.mut.Unlock()
	delete(prx.lks, lnk)
}

// kill resets both connections.
func (lnk *link) kill() {
	lnk.one.Do(func() {
		close(lnk.end)
		resetConn(lnk.con[0])
		resetConn(lnk.con[1])
	})
}

// finish closes both connections in order, so that bytes which are on their way still arrive.
func (lnk *link) finish() {
	lnk.one.Do(func() {
		close(lnk.end)
		_ = lnk.con[0].Close()
		_ = lnk.con[1].Close()
	})
}

// read queues what arrives in a direction.
func (lnk *link) read(dir Direction, que chan<- chunk) {
	defer close(que)
	src := lnk.con[dir]
	for {
		buf := make([]byte, chunkBytes)
		num, err := src.Read(buf)
		pol, _ := lnk.prx.policy()
		due := lnk.prx.cfg.Clock.Now().Add(pol.delay[dir])
		if num > 0 && !lnk.push(que, chunk{
			dat: buf[:num],
			due: due,
		}) {
			return
		}
		if err != nil {
			lnk.push(que, chunk{
				due: due,
				eof: true,
				err: !errors.Is(err, io.EOF),
			})
			return
		}
	}
}

func (lnk *link) push(que chan<- chunk, chk chunk) (ok bool) {
	select {
	case que <- chk:
		return true
	case <-lnk.end:
		return false
	}
}

// deliver passes on the queued chunks of a direction in order, each when it is due and no freeze holds it.
func (lnk *link) deliver(dir Direction, que <-chan chunk) {
	dst := lnk.con[1-dir]
	for chk := range que {
		if !lnk.wait(chk.due) {
			return
		}
		pol, _ := lnk.prx.policy()
		switch {
		case pol.drop[dir] || lnk.gap[dir].Load():
			lnk.gap[dir].Store(true)
			lnk.prx.drp[dir].Add(int64(len(chk.dat)))
		case chk.err:
			lnk.kill()
			return
		case chk.eof:
			if tcp, ok := dst.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
		default:
			if _, err := dst.Write(chk.dat); err != nil {
				lnk.kill()
				return
			}
			lnk.prx.del[dir].Add(int64(len(chk.dat)))
		}
	}
}

// wait waits until due and until no freeze is in force. It reports false when the link has ended.
func (lnk *link) wait(due time.Time) (ok bool) {
	for {
		pol, chg := lnk.prx.policy()
		dur := due.Sub(lnk.prx.cfg.Clock.Now())
		if !pol.froze && dur <= 0 {
			return true
		}
		if !lnk.pause(dur, chg) {
			return false
		}
	}
}

// pause waits for a change of the policy, or for dur when it is positive.
func (lnk *link) pause(dur time.Duration, chg <-chan struct{}) (ok bool) {
	var tch <-chan time.Time
	if dur > 0 {
		tmr := lnk.prx.cfg.Clock.NewTimer(dur)
		defer tmr.Stop()
		tch = tmr.C()
	}
	select {
	case <-tch:
		return true
	case <-chg:
		return true
	case <-lnk.end:
		return false
	}
}

// resetConn closes a connection so that the other side sees a reset and not an orderly end.
func resetConn(con net.Conn) {
	if tcp, ok := con.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = con.Close()
}
