package engine

import (
	"sync/atomic"
	"time"

	"cardamompass"
	"cardamompass/internal/fleet/share"
	"cardamompass/internal/steer/guard"
	"cardamompass/internal/steer/health"
	"cardamompass/internal/steer/route"
)

// claim is what one attempt holds: a target, a slot of the region's share and its place in the target's count.
type claim struct {
	target  cardamompass.Target
	reason  string
	token   health.Token
	release func()
	// unreserve ends the reservation of the target of a suspect.
	unreserve func()
	suspect   bool
	hedge     bool
	began     time.Time
	// lost is set when the attempt is cancelled because its hedge was answered first.
	lost atomic.Bool
}

// request is one request on its way.
type request struct {
	eng *Engine
	pln *plan
	sta *service
	req cardamompass.Request
	key guard.Key
	// tried are the targets that carried an attempt.
	tried []cardamompass.TargetID
	// refused is the guard's refusal, if there is one.
	refused guard.Verdict
	// mayHaveRun is set once an attempt failed after it may have run.
	mayHaveRun bool
	rejected   route.Decision
}

// tryClaim claims a target for the next attempt, one that was not tried yet if there is one. It does not block.
func (rqt *request) tryClaim() (clm *claim, ok bool) {
	if clm, ok = rqt.claimBut(rqt.tried); ok || len(rqt.tried) == 0 || rqt.refused.Action == guard.Refuse {
		return clm, ok
	}
	return rqt.claimBut(nil)
}

// claimBut claims a target that is not excluded, in the caller's region first.
func (rqt *request) claimBut(exclude []cardamompass.TargetID) (clm *claim, ok bool) {
	eng, sta := rqt.eng, rqt.sta
	now := eng.cfg.Clock.Now()
	scr := sta.spares.Get().(*scratch)
	defer sta.spares.Put(scr)
	scr.snp = eng.cfg.Tracker.Snapshot(rqt.req.Service, now, scr.snp)
	scr.snp.VMRegion = eng.cfg.Self.Region
	scr.snp.Regions = append(scr.snp.Regions[:0], rqt.regionState(rqt.req.CallerRegion, now))
	ask := route.Request{
		CallerRegion: rqt.req.CallerRegion,
		Exclude:      exclude,
	}
	scr.dec = route.Decide(&scr.snp, &ask, scr.dec)
	if clm, ok = rqt.take(&scr.dec, now); ok {
		return clm, true
	}
	if rqt.refused.Action == guard.Refuse {
		return nil, false
	}
	// The wish for near regions is recorded only now, so that local requests neither borrow their units nor start their ramps.
	rqt.need(&scr.dec)
	ask.FallbackRegions = rqt.pln.near(rqt.req.CallerRegion)
	for _, reg := range ask.FallbackRegions {
		scr.snp.Regions = append(scr.snp.Regions, rqt.regionState(reg, now))
	}
	scr.dec = route.Decide(&scr.snp, &ask, scr.dec)
	if clm, ok = rqt.take(&scr.dec, now); ok {
		return clm, true
	}
	rqt.need(&scr.dec)
	rqt.rejected.Regions = append(rqt.rejected.Regions[:0], scr.dec.Regions...)
	rqt.rejected.Rejections = append(rqt.rejected.Rejections[:0], scr.dec.Rejections...)
	return nil, false
}

// regionState returns what this VM may use of a region.
func (rqt *request) regionState(reg cardamompass.Region, now time.Time) (rst route.RegionState) {
	pol := rqt.eng.cfg.Pool
	_, usable := pol.Slots(share.SlotsName(rqt.req.Service, reg)).Available()
	rst = route.RegionState{
		Region:     reg,
		Share:      int(usable),
		LinkUnits:  true,
		ShiftUnits: true,
	}
	if reg != rqt.eng.cfg.Self.Region {
		rst.LinkUnits = pol.Rate(share.LinkName(rqt.eng.cfg.Self.Region, reg)).Available()
	}
	if reg != rqt.req.CallerRegion {
		rst.ShiftUnits = pol.Rate(share.ShiftName(rqt.req.Service, rqt.req.CallerRegion, reg)).Available()
		rst.ColdSince = rqt.sta.shifts.wanted(reg, now)
	}
	return rst
}

// need records the lack of slots in the regions that were rejected for it.
func (rqt *request) need(dec *route.Decision) {
	for _, vdt := range dec.Regions {
		if vdt.Reason == route.ReasonNoShare || vdt.Reason == route.ReasonNearestAvailable {
			rqt.eng.cfg.Pool.Slots(share.SlotsName(rqt.req.Service, vdt.Region)).RecordUnmet()
		}
	}
}

// take claims the first candidate that can be had.
func (rqt *request) take(dec *route.Decision, now time.Time) (clm *claim, ok bool) {
	for num := range dec.Candidates {
		cnd := &dec.Candidates[num]
		tgt, ok := rqt.pln.target(cnd.Target)
		if !ok {
			continue
		}
		release, ok := rqt.eng.cfg.Pool.Slots(share.SlotsName(rqt.req.Service, cnd.Region)).TryAcquire()
		if !ok {
			return nil, false
		}
		clm, ok = rqt.takeCandidate(cnd, tgt, now)
		if ok {
			clm.release = release
			return clm, true
		}
		release()
		if rqt.refused.Action == guard.Refuse {
			return nil, false
		}
	}
	return nil, false
}

// takeCandidate claims all but the slot.
func (rqt *request) takeCandidate(cnd *route.Candidate, tgt cardamompass.Target, now time.Time) (clm *claim, ok bool) {
	cfg := &rqt.eng.cfg
	ver := cfg.Guard.Admit(rqt.key, cnd.Target, now)
	if ver.Action != guard.Run {
		if ver.Action == guard.Refuse {
			rqt.refused = ver
		}
		return nil, false
	}
	tok, ok := cfg.Tracker.BeginWithin(cnd, now)
	if !ok {
		cfg.Guard.Withdrawn(rqt.key, cnd.Target)
		return nil, false
	}
	if cnd.NeedsShift {
		rte := cfg.Pool.Rate(share.ShiftName(rqt.req.Service, rqt.req.CallerRegion, cnd.Region))
		if !rte.Allow(1, rqt.sta.svc.Class) {
			cfg.Tracker.Done(tok, now, health.Cancelled)
			cfg.Guard.Withdrawn(rqt.key, cnd.Target)
			return nil, false
		}
	}
	return &claim{
		target:  tgt,
		reason:  cnd.Reason.String(),
		token:   tok,
		suspect: ver.Suspect,
		began:   now,
	}, true
}

// drop gives a claim back of which no attempt was made.
func (rqt *request) drop(clm *claim) {
	rqt.eng.cfg.Guard.Withdrawn(rqt.key, clm.target.ID)
	rqt.finish(clm, health.Cancelled)
}

// finish ends the target's count and gives the slot back.
func (rqt *request) finish(clm *claim, res health.Result) {
	rqt.eng.cfg.Tracker.Done(clm.token, rqt.eng.cfg.Clock.Now(), res)
	clm.release()
	if clm.unreserve != nil {
		clm.unreserve()
	}
	rqt.sta.queue.SlotReleased()
}
