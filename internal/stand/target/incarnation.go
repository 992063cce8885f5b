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
	// A restart retries, because another process may hold the port for a moment after a crash.
	restartTries = 100
	restartPause = 20 * time.Millisecond
)

// incarnation is a target from a start to the next crash or the clean-up, and the listener of that time.
type incarnation struct {
	net.Listener
	tgt *Target
	srv *http.Server
	// end is closed when the incarnation ends.
	end chan struct{}

	mut sync.Mutex
	con map[*conn]struct{}
	cls bool
}

// conn is a connection of an incarnation. Its first read is delayed by the cost of a new connection.
type conn struct {
	net.Conn
	inc *incarnation
	one sync.Once
	cls sync.Once
}

// Accept implements net.Listener. It resets connections above the limit.
func (inc *incarnation) Accept() (net.Conn, error) {
	for {
		raw, err := inc.Listener.Accept()
		if err != nil {
			return nil, err
		}
		con := &conn{
			Conn: raw,
			inc:  inc,
		}
		if inc.add(con) {
			return con, nil
		}
		reset(raw)
	}
}

func (inc *incarnation) add(con *conn) (ok bool) {
	inc.mut.Lock()
	defer inc.mut.Unlock()
	lim := inc.tgt.cfg.Connections
	if inc.cls || (lim > 0 && len(inc.con) >= lim) {
		return false
	}
	inc.con[con] = struct{}{}
	inc.tgt.wgr.Add(1)
	return true
}

// kill ends the incarnation abruptly: it closes the listener and resets every connection.
func (inc *incarnation) kill() {
	inc.mut.Lock()
	defer inc.mut.Unlock()
	if inc.cls {
		return
	}
	inc.cls = true
	close(inc.end)
	_ = inc.Close()
	for con := range inc.con {
		reset(con.Conn)
	}
}

// Read implements net.Conn.
func (con *conn) Read(buf []byte) (num int, err error) {
	con.one.Do(func() {
		cst := con.inc.tgt.cfg.ConnCost
		if cst <= 0 {
			return
		}
		tmr := con.inc.tgt.clk.NewTimer(cst)
		defer tmr.Stop()
		select {
		case <-tmr.C():
		case <-con.inc.end:
		}
	})
	return con.Conn.Read(buf)
}

// Close implements net.Conn. The server calls it when the goroutine of the connection ends.
func (con *conn) Close() error {
	con.cls.Do(func() {
		con.inc.mut.Lock()
		delete(con.inc.con, con)
		con.inc.mut.Unlock()
		con.inc.tgt.wgr.Done()
	})
	return con.Conn.Close()
}

// reset closes a connection with a TCP reset instead of an orderly end.
func reset(con net.Conn) {
	if tcp, ok := con.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = con.Close()
}

// Restart starts the target at its address unless it is running. It starts cold and not draining.
func (tgt *Target) Restart() (err error) {
	defer func() { err = errors.Wrap(err, "restart") }()
	tgt.mut.Lock()
	defer tgt.mut.Unlock()
	if tgt.cls || tgt.inc != nil {
		return nil
	}
	lsn, err := net.Listen("tcp", tgt.adr) //nolint:noctx // the listener lives until a crash or the clean-up
	if err != nil {
		return err
	}
	inc := &incarnation{
		Listener: lsn,
		tgt:      tgt,
		end:      make(chan struct{}),
		con:      map[*conn]struct{}{},
	}
	inc.srv = &http.Server{
		Handler:           tgt.hnd,
		ReadHeaderTimeout: headerTimeout,
		BaseContext: func(net.Listener) context.Context {
			return context.WithValue(context.Background(), incarnationKey{}, inc)
		},
	}
	if tgt.sta.IsZero() {
		tgt.adr = lsn.Addr().String()
	}
	tgt.inc = inc
	tgt.sta = tgt.clk.Now()
	if tgt.drn {
		tgt.drn, tgt.dch = false, make(chan struct{})
	}
	tgt.recordHealth()
	tgt.wgr.Go(func() { _ = inc.srv.Serve(inc) })
	return nil
}

// incarnationKey is the context key of the incarnation that accepted a request.
type incarnationKey struct{}

func incarnationOf(req *http.Request) *incarnation {
	inc, _ := req.Context().Value(incarnationKey{}).(*incarnation)
	return inc
}

// Crash closes the listener and all connections abruptly. The target starts again after RestartMS of its behaviour.
func (tgt *Target) Crash() {
	tgt.mut.Lock()
	defer tgt.mut.Unlock()
	if tgt.inc == nil {
		return
	}
	tgt.inc.kill()
	tgt.inc = nil
	tgt.rec.crashes++
	if tgt.bhv.RestartMS > 0 && !tgt.cls {
		// The timer is created here, so that advancing the clock right after the crash takes effect.
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
	if tgt.inc != nil {
		tgt.inc.kill()
		tgt.inc = nil
	}
	tgt.mut.Unlock()
	tgt.wgr.Wait()
}

// addHandler counts a handler, so that the clean-up function waits for it.
func (tgt *Target) addHandler() (ok bool) {
	tgt.mut.Lock()
	defer tgt.mut.Unlock()
	if tgt.cls {
		return false
	}
	tgt.wgr.Add(1)
	return true
}

// sleep waits for dur and returns false if stp is closed first.
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
