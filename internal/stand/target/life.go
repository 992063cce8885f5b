package target

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"cardamompass"
)

const (
	// headerTimeout bounds the reading of a request's header.
	headerTimeout = 10 * time.Second
	// Another process may hold the port for a moment after a crash, so a restart tries again.
	restartTries = 100
	restartPause = 20 * time.Millisecond
)

// life is one run of a target, from a start to a crash or the clean-up. It is the listener of that run.
type life struct {
	net.Listener
	tgt *Target
	srv *http.Server
	// end is closed when the run ends.
	end chan struct{}

	mut sync.Mutex
	con map[*conn]struct{}
	ded bool
}

// conn is a connection of a run. Its first read bears the cost of a new connection.
type conn struct {
	net.Conn
	lif *life
	one sync.Once
	cls sync.Once
}

// Accept implements net.Listener. It closes the connections that are too many.
func (lif *life) Accept() (net.Conn, error) {
	for {
		raw, err := lif.Listener.Accept()
		if err != nil {
			return nil, err
		}
		con := &conn{
			Conn: raw,
			lif:  lif,
		}
		if lif.add(con) {
			return con, nil
		}
		reset(raw)
	}
}

func (lif *life) add(con *conn) (ok bool) {
	lif.mut.Lock()
	defer lif.mut.Unlock()
	lim := lif.tgt.cfg.Connections
	if lif.ded || (lim > 0 && len(lif.con) >= lim) {
		return false
	}
	lif.con[con] = struct{}{}
	lif.tgt.wgr.Add(1)
	return true
}

// kill ends the run abruptly: the listener closes and every connection is reset.
func (lif *life) kill() {
	lif.mut.Lock()
	defer lif.mut.Unlock()
	if lif.ded {
		return
	}
	lif.ded = true
	close(lif.end)
	_ = lif.Close()
	for con := range lif.con {
		reset(con.Conn)
	}
}

// Read implements net.Conn.
func (con *conn) Read(buf []byte) (num int, err error) {
	con.one.Do(func() {
		cst := con.lif.tgt.cfg.ConnCost
		if cst <= 0 {
			return
		}
		tmr := con.lif.tgt.clk.NewTimer(cst)
		defer tmr.Stop()
		select {
		case <-tmr.C():
		case <-con.lif.end:
		}
	})
	return con.Conn.Read(buf)
}

// Close implements net.Conn. The server calls it when the goroutine of the connection ends.
func (con *conn) Close() error {
	con.cls.Do(func() {
		con.lif.mut.Lock()
		delete(con.lif.con, con)
		con.lif.mut.Unlock()
		con.lif.tgt.wgr.Done()
	})
	return con.Conn.Close()
}

// reset closes a connection so that the other side sees a reset and not an orderly end.
func reset(con net.Conn) {
	if tcp, ok := con.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = con.Close()
}

// Restart starts the target at its address unless it is up. It starts cold and does not drain.
func (tgt *Target) Restart() (err error) {
	defer func() { err = errors.Wrap(err, "restart") }()
	tgt.mut.Lock()
	defer tgt.mut.Unlock()
	if tgt.cls || tgt.lif != nil {
		return nil
	}
	lsn, err := net.Listen("tcp", tgt.adr) //nolint:noctx // the listener lives until a crash or the clean-up
	if err != nil {
		return err
	}
	lif := &life{
		Listener: lsn,
		tgt:      tgt,
		end:      make(chan struct{}),
		con:      map[*conn]struct{}{},
	}
	lif.srv = &http.Server{
		Handler:           tgt.hnd,
		ReadHeaderTimeout: headerTimeout,
		BaseContext: func(net.Listener) context.Context {
			return context.WithValue(context.Background(), lifeKey{}, lif)
		},
	}
	if tgt.sta.IsZero() {
		tgt.adr = lsn.Addr().String()
	}
	tgt.lif = lif
	tgt.sta = tgt.clk.Now()
	if tgt.drn {
		tgt.drn, tgt.dch = false, make(chan struct{})
	}
	tgt.noteHealth()
	tgt.wgr.Go(func() { _ = lif.srv.Serve(lif) })
	return nil
}

// lifeKey is the context key under which a request finds the run that accepted it.
type lifeKey struct{}

func lifeOf(req *http.Request) *life {
	lif, _ := req.Context().Value(lifeKey{}).(*life)
	return lif
}

// Crash closes the listener and all connections abruptly. The target starts again after RestartMS of its behaviour.
func (tgt *Target) Crash() {
	tgt.mut.Lock()
	defer tgt.mut.Unlock()
	if tgt.lif == nil {
		return
	}
	tgt.lif.kill()
	tgt.lif = nil
	tgt.rec.crashes++
	if tgt.bhv.RestartMS > 0 && !tgt.cls {
		// The timer starts here, so that a clock that is advanced right after the crash counts.
		tmr := tgt.clk.NewTimer(milliseconds(tgt.bhv.RestartMS))
		tgt.wgr.Go(func() { tgt.restartAt(tmr) })
	}
}

func (tgt *Target) restartAt(tmr cardamompass.Timer) {
	defer tmr.Stop()
	select {
	case <-tmr.C():
	case <-tgt.end:
		return
	}
	for range restartTries {
		if tgt.Restart() == nil || !sleep(cardamompass.SystemClock{}, restartPause, tgt.end) {
			return
		}
	}
}

func (tgt *Target) close() {
	tgt.mut.Lock()
	tgt.cls = true
	close(tgt.end)
	if tgt.lif != nil {
		tgt.lif.kill()
		tgt.lif = nil
	}
	tgt.mut.Unlock()
	tgt.wgr.Wait()
}

// enter counts a handler, so that the clean-up function waits for it.
func (tgt *Target) enter() (ok bool) {
	tgt.mut.Lock()
	defer tgt.mut.Unlock()
	if tgt.cls {
		return false
	}
	tgt.wgr.Add(1)
	return true
}

// sleep waits for dur and reports false when stp came first.
func sleep(clk cardamompass.Clock, dur time.Duration, stp <-chan struct{}) (ok bool) {
	if dur <= 0 {
		return true
	}
	tmr := clk.NewTimer(dur)
	defer tmr.Stop()
	select {
	case <-tmr.C():
		return true
	case <-stp:
		return false
	}
}
