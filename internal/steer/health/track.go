// Package health tracks the state of each target as one entry VM sees it.
//
// A Tracker counts the VM's own requests in flight with their start times, records recent latencies, and collects signals
// that a target is leaving: the VM list, a drain response, the health endpoint, the report of a peer. Each signal has its
// own lifetime. From the first signal until the last one has ended, and while consecutive requests fail, the target gets
// no new requests; then it is ramped up like a cold target. Load reports are late and can only reduce the use of a target.
//
// Snapshot returns the state for package route. BeginWithin checks the limits of a decision again under the lock, so that
// concurrent decisions on the same snapshot never exceed them. Methods of the request path take the time as a parameter,
// do not allocate in the steady state, and are safe for concurrent use. A Prober requests health and load of the targets.
package health

import (
	"sync"
	"sync/atomic"
	"time"

	"cardamompass"
	"cardamompass/internal/steer/route"
)

// Result says how a request on a target ended.
type Result uint8

const (
	// Answered is a complete response of the target.
	Answered Result = iota
	// Failed is a refused or broken connection, or no response before the deadline.
	Failed
	// Shed is a response of the target that it did not run the request.
	Shed
	// Cancelled is a request that the caller cancelled, or a hedge that lost.
	Cancelled
	// HedgeLost is a first attempt that was cancelled because its hedge was answered sooner.
	HedgeLost
)

// Config describes a tracker.
type Config struct {
	// Self is the VM, for the rendezvous order.
	Self cardamompass.VMID
	// Announce is called with each new own signal, outside of all locks, in the goroutine that reported the signal. It must
	// send the signal to the peers at once, and must not wait for their replies. It may be nil.
	Announce func(rep LeavingReport)
}

// Tracker holds the state of all targets. It is safe for concurrent use.
type Tracker struct {
	cfg Config
	set sync.Mutex // serializes SetTargets
	idx atomic.Pointer[index]
}

// index maps ids to targets and names to services. It is replaced as a whole.
type index struct {
	targets  map[cardamompass.TargetID]*target
	services map[cardamompass.ServiceName]*service
}

type service struct {
	lts  *latencies
	grps []*group
}

// group holds the targets of one service in one region, which share a limit.
type group struct {
	reg  cardamompass.Region
	lts  *latencies
	mut  sync.Mutex
	tgts []*target
	free *flight
}

// New returns a tracker without targets.
func New(cfg Config) (trk *Tracker) {
	trk = &Tracker{
		cfg: cfg,
	}
	trk.idx.Store(&index{})
	return trk
}

// Token identifies one request in flight. The zero Token identifies none.
type Token struct {
	tgt *target
	flt *flight
	use uint64
}

// Begin counts a request as in flight on the target, regardless of limits. It returns the zero Token for an unknown
// target.
func (trk *Tracker) Begin(tid cardamompass.TargetID, now time.Time) (tok Token) {
	tgt := trk.idx.Load().targets[tid]
	if tgt == nil {
		return Token{}
	}
	tgt.grp.mut.Lock()
	defer tgt.grp.mut.Unlock()
	return tgt.begin(now)
}

// BeginWithin counts a request as in flight on the candidate unless the target is avoided by now or a limit of the
// decision has been reached.
func (trk *Tracker) BeginWithin(cnd *route.Candidate, now time.Time) (tok Token, ok bool) {
	tgt := trk.idx.Load().targets[cnd.Target]
	if tgt == nil {
		return Token{}, false
	}
	grp := tgt.grp
	grp.mut.Lock()
	defer grp.mut.Unlock()
	if tgt.updateAvoided(now) || tgt.fls.count >= cnd.Limit {
		return Token{}, false
	}
	usable, all := 0, 0
	for _, one := range grp.tgts {
		all += one.fls.count
		if !one.avoided {
			usable += one.fls.count
		}
	}
	if usable >= cnd.RegionLimit || all >= cnd.Share {
		return Token{}, false
	}
	return tgt.begin(now), true
}

func (tgt *target) begin(now time.Time) (tok Token) {
	flt := tgt.grp.free
	if flt == nil {
		flt = &flight{}
	} else {
		tgt.grp.free = flt.next
	}
	flt.start = now
	flt.use++
	tgt.fls.add(flt)
	return Token{
		tgt: tgt,
		flt: flt,
		use: flt.use,
	}
}

// Done ends a request that Begin or BeginWithin counted. A second call for the same token has no effect.
func (trk *Tracker) Done(tok Token, now time.Time, res Result) {
	if tok.tgt == nil {
		return
	}
	grp := tok.tgt.grp
	usual := grp.lts.get().Usual
	grp.mut.Lock()
	if tok.flt.use != tok.use {
		grp.mut.Unlock()
		return
	}
	age := now.Sub(tok.flt.start)
	tok.tgt.removeFlight(tok.flt)
	tok.tgt.updateSlow(res, age, usual, now)
	switch res {
	case Answered:
		tok.tgt.succeeded(now)
	case Failed:
		tok.tgt.failed(now)
	default:
	}
	grp.mut.Unlock()
	if res == Answered {
		grp.lts.record(age, now)
	}
}

func (tgt *target) removeFlight(flt *flight) {
	tgt.fls.remove(flt)
	flt.use++
	flt.next = tgt.grp.free
	tgt.grp.free = flt
}

// MarkLeaving records a signal that the target is leaving. A new own signal is announced.
func (trk *Tracker) MarkLeaving(tid cardamompass.TargetID, sig LeaveSignal, now time.Time) {
	if trk.update(tid, now, func(tgt *target) (isNew bool) {
		tgt.sgs, isNew = tgt.sgs.with(sig, now)
		return isNew
	}) && trk.cfg.Announce != nil {
		trk.cfg.Announce(LeavingReport{
			Target: tid,
			Signal: sig,
		})
	}
}

// ProbeSucceeded records that the health endpoint reported the state serving or cold.
func (trk *Tracker) ProbeSucceeded(tid cardamompass.TargetID, cold bool, now time.Time) {
	trk.update(tid, now, func(tgt *target) (isNew bool) {
		tgt.setProbed(cold, now)
		return false
	})
}

// ProbeFailed records that the health endpoint returned no valid response.
func (trk *Tracker) ProbeFailed(tid cardamompass.TargetID, now time.Time) {
	trk.update(tid, now, func(tgt *target) (isNew bool) {
		tgt.failed(now)
		return false
	})
}

// MarkDown records that the target broke a connection and then refused a new one. The target counts as failing at once.
func (trk *Tracker) MarkDown(tid cardamompass.TargetID, now time.Time) {
	trk.update(tid, now, func(tgt *target) (isNew bool) {
		tgt.markDown(now)
		return false
	})
}

// RecordLoad records a load report, which is used for 5 s.
func (trk *Tracker) RecordLoad(tid cardamompass.TargetID, inFlight, slots int, now time.Time) {
	trk.update(tid, now, func(tgt *target) (isNew bool) {
		tgt.setLoad(inFlight, slots, now)
		return false
	})
}

// update changes the state of one target under its lock and then updates whether it is avoided.
func (trk *Tracker) update(tid cardamompass.TargetID, now time.Time, change func(tgt *target) bool) (isNew bool) {
	tgt := trk.idx.Load().targets[tid]
	if tgt == nil {
		return false
	}
	tgt.grp.mut.Lock()
	defer tgt.grp.mut.Unlock()
	isNew = change(tgt)
	tgt.updateAvoided(now)
	return isNew
}

// Snapshot returns the state of the service's targets. It reuses the slices of old and keeps its Regions and VMRegion,
// which the caller sets.
func (trk *Tracker) Snapshot(svc cardamompass.ServiceName, now time.Time, old route.Snapshot) (snp route.Snapshot) {
	snp = old
	snp.Now = now
	snp.Usual = 0
	snp.Targets = old.Targets[:0]
	srv := trk.idx.Load().services[svc]
	if srv == nil {
		return snp
	}
	snp.Usual = srv.lts.get().Usual
	for _, grp := range srv.grps {
		grp.mut.Lock()
		for _, tgt := range grp.tgts {
			snp.Targets = append(snp.Targets, tgt.state(now))
		}
		grp.mut.Unlock()
	}
	return snp
}

// Latency returns the recent latency of the service, or zero values while it is unknown.
func (trk *Tracker) Latency(svc cardamompass.ServiceName) (lat Latency) {
	srv := trk.idx.Load().services[svc]
	if srv == nil {
		return Latency{}
	}
	return srv.lts.get()
}

// TargetView is the state of one target for the state dump.
type TargetView struct {
	State route.TargetState
	// Signals are the active signals.
	Signals []SignalView
	// Failures counts the consecutive failures, Late the consecutive requests that ended late.
	Failures int
	Late     int
}

// SignalView is one active signal and its end.
type SignalView struct {
	Signal LeaveSignal
	Until  time.Time
}

// View returns the state of the service's targets for the state dump.
func (trk *Tracker) View(svc cardamompass.ServiceName, now time.Time) (views []TargetView) {
	srv := trk.idx.Load().services[svc]
	if srv == nil {
		return nil
	}
	for _, grp := range srv.grps {
		grp.mut.Lock()
		for _, tgt := range grp.tgts {
			views = append(views, TargetView{
				State:    tgt.state(now),
				Signals:  tgt.sgs.views(now),
				Failures: tgt.failures,
				Late:     tgt.late,
			})
		}
		grp.mut.Unlock()
	}
	return views
}
