// Package kvsrv simulates the platform's key-value store for tests and the demo.
//
// It keeps values and leases in memory, serves the HTTP interface of section 6 of the design page, counts the calls by
// kind, and injects faults: outages, delays, replies lost after the write took effect, rate limits and the restoration of
// an older state. Time comes from a Clock. Faults are set by methods or below /control/.
package kvsrv

import (
	"maps"
	"net/http"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"cardamompass"
	"cardamompass/internal/stand/ctrl"
)

// Kind is a kind of call, for counting.
type Kind string

// Kinds of calls. A call counts under its own kind, and in addition under KindLimited or KindDropped.
const (
	KindGet     Kind = "get"
	KindPut     Kind = "put"
	KindWatch   Kind = "watch"
	KindGrant   Kind = "grant"
	KindRenew   Kind = "renew"
	KindInspect Kind = "inspect"
	KindRevoke  Kind = "revoke"
	// KindLimited counts the calls refused with status 429.
	KindLimited Kind = "limited"
	// KindDropped counts the calls whose connection was closed without a reply.
	KindDropped Kind = "dropped"
)

func (knd Kind) isWrite() bool {
	return knd == KindPut || knd == KindGrant || knd == KindRenew || knd == KindRevoke
}

// Config describes a store.
type Config struct {
	// Clock gives the time of leases, watches, delays and rates. Nil means the system's clock.
	Clock cardamompass.Clock
	// Faults are the initial faults.
	Faults Faults
}

// Faults are the faults to inject. The zero value injects none.
type Faults struct {
	// Outage closes every connection, including those of waiting watches, without a reply and without an effect.
	Outage bool `json:"outage"`
	// SlowMS delays every call by this many milliseconds before its effect. A write takes effect even if its caller
	// has disconnected by then.
	SlowMS int64 `json:"slow-ms"`
	// LoseNext is the number of coming writes whose replies are lost after they took effect.
	LoseNext int `json:"lose-next"`
	// LosePrefix loses the replies of all writes to keys with this prefix after they took effect; keys of leases start
	// with "leases/". Empty means none.
	LosePrefix string `json:"lose-prefix"`
	// WritesPerSecond and ReadsPerSecond limit the rate of calls, with bursts of a tenth of a second's calls. Zero means no limit.
	WritesPerSecond int `json:"writes-per-second"`
	ReadsPerSecond  int `json:"reads-per-second"`
}

// Server is the store. It is an http.Handler and safe for concurrent use.
type Server struct {
	clk cardamompass.Clock
	hnd http.Handler
	end chan struct{}
	// wgr counts the running calls.
	wgr sync.WaitGroup

	mut sync.Mutex
	cls bool
	sta state
	// chg is closed and replaced whenever waiting watches must read the state again.
	chg chan struct{}
	cnt map[Kind]int64
	flt Faults
	wri *rate.Limiter
	rea *rate.Limiter
}

// New returns an empty store. The clean-up function ends waiting watches and delayed calls and waits for all calls;
// later calls are dropped.
func New(cfg Config) (srv *Server, cleanup func(), err error) {
	if cfg.Clock == nil {
		cfg.Clock = cardamompass.SystemClock{}
	}
	srv = &Server{
		clk: cfg.Clock,
		end: make(chan struct{}),
		sta: newState(),
		chg: make(chan struct{}),
		cnt: map[Kind]int64{},
	}
	srv.SetFaults(cfg.Faults)
	srv.hnd = srv.routes()
	return srv, sync.OnceFunc(srv.close), nil
}

// ServeHTTP implements http.Handler.
func (srv *Server) ServeHTTP(rsw http.ResponseWriter, req *http.Request) { srv.hnd.ServeHTTP(rsw, req) }

// SetFaults replaces the current faults.
func (srv *Server) SetFaults(flt Faults) {
	srv.mut.Lock()
	defer srv.mut.Unlock()
	srv.flt = flt
	srv.wri = newLimiter(flt.WritesPerSecond)
	srv.rea = newLimiter(flt.ReadsPerSecond)
	srv.wakeWatches()
}

// Faults returns the current faults. LoseNext is the number of replies that are still to be lost.
func (srv *Server) Faults() Faults {
	srv.mut.Lock()
	defer srv.mut.Unlock()
	return srv.flt
}

// Counts returns the number of calls of each kind since the start or the last ResetCounts.
func (srv *Server) Counts() map[Kind]int64 {
	srv.mut.Lock()
	defer srv.mut.Unlock()
	return maps.Clone(srv.cnt)
}

// ResetCounts sets all counts to zero.
func (srv *Server) ResetCounts() {
	srv.mut.Lock()
	defer srv.mut.Unlock()
	clear(srv.cnt)
}

// Snapshot returns a copy of the state.
func (srv *Server) Snapshot() Snapshot {
	srv.mut.Lock()
	defer srv.mut.Unlock()
	return srv.sta.snapshot()
}

// Restore replaces the state by an older one. Revisions continue from that state, as after the restoration of a backup,
// so that one revision may stand for two different contents. A lease whose TTL has passed in the meantime stays expired.
func (srv *Server) Restore(snp Snapshot) {
	srv.mut.Lock()
	defer srv.mut.Unlock()
	srv.sta = snp.state()
	srv.wakeWatches()
}

func newLimiter(perSecond int) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, perSecond/10))
}

// wakeWatches makes waiting watches read the state again. The caller holds the mutex.
func (srv *Server) wakeWatches() {
	close(srv.chg)
	srv.chg = make(chan struct{})
}

// reply is the reply to a call.
type reply struct {
	status int
	body   any
	// drop closes the connection instead of replying.
	drop bool
}

func errorReply(status int, code, reason string) reply {
	return reply{
		status: status,
		body: ctrl.ErrorBody{
			Error:  code,
			Reason: reason,
		},
	}
}

// call returns a handler that counts the call, applies the faults that precede its effect and replies with the result of
// fnc.
func (srv *Server) call(knd Kind, fnc func(*http.Request) reply) http.HandlerFunc {
	return func(rsw http.ResponseWriter, req *http.Request) {
		if !srv.addCall() {
			ctrl.Abort()
		}
		defer srv.wgr.Done()
		rpl := srv.admit(knd)
		if rpl.status == 0 && !rpl.drop {
			rpl = fnc(req)
		}
		if rpl.drop {
			srv.count(KindDropped)
			ctrl.Abort()
		}
		ctrl.WriteJSON(rsw, rpl.status, rpl.body)
	}
}

func (srv *Server) addCall() (ok bool) {
	srv.mut.Lock()
	defer srv.mut.Unlock()
	if srv.cls {
		return false
	}
	srv.wgr.Add(1)
	return true
}

func (srv *Server) close() {
	srv.mut.Lock()
	srv.cls = true
	close(srv.end)
	srv.mut.Unlock()
	srv.wgr.Wait()
}

func (srv *Server) count(knd Kind) {
	srv.mut.Lock()
	defer srv.mut.Unlock()
	srv.cnt[knd]++
}

// admit returns the zero reply for a call that may continue.
func (srv *Server) admit(knd Kind) reply {
	srv.mut.Lock()
	defer srv.mut.Unlock()
	srv.cnt[knd]++
	if srv.flt.Outage {
		return reply{
			drop: true,
		}
	}
	lim := srv.rea
	if knd.isWrite() {
		lim = srv.wri
	}
	if !lim.AllowN(srv.clk.Now(), 1) {
		srv.cnt[KindLimited]++
		return errorReply(http.StatusTooManyRequests, "rate-limited", "too many calls")
	}
	return reply{}
}

// delay waits for the configured delay and reports whether the call may continue. If the channel canceled is nil, the call
// continues after its caller has disconnected.
func (srv *Server) delay(canceled <-chan struct{}) (ok bool) {
	dur := time.Duration(srv.Faults().SlowMS) * time.Millisecond
	if dur <= 0 {
		return true
	}
	tmr := srv.clk.NewTimer(dur)
	defer tmr.Stop()
	select {
	case <-tmr.C():
		return true
	case <-canceled:
		return false
	case <-srv.end:
		return false
	}
}

// applyWrite runs a write after the delay. If the write took effect, its reply is dropped as the faults specify.
func (srv *Server) applyWrite(key string, fnc func(now time.Time) reply) reply {
	if !srv.delay(nil) {
		return reply{
			drop: true,
		}
	}
	srv.mut.Lock()
	defer srv.mut.Unlock()
	if srv.flt.Outage {
		return reply{
			drop: true,
		}
	}
	rpl := fnc(srv.clk.Now())
	if rpl.status != http.StatusOK {
		return rpl
	}
	srv.wakeWatches()
	if srv.flt.LoseNext > 0 {
		srv.flt.LoseNext--
		rpl.drop = true
	}
	if srv.flt.LosePrefix != "" && strings.HasPrefix(key, srv.flt.LosePrefix) {
		rpl.drop = true
	}
	return rpl
}
