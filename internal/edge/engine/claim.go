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

// claim holds the resources of one attempt: a target, a slot of the region's share and the attempt's entry in the target's request
// count.
type claim struct {
	target  cardamompass.Target
	reason  string
	token   health.Token
	release func()
	// endReservation ends the reservation of the target, set for suspect requests only.
	endReservation func()
	suspect        bool
	hedge          bool
	began          time.Time
	// hedgeWon is set when the attempt is cancelled because its hedge was answered first.
	hedgeWon atomic.Bool
}

// request is one request in progress.
type request struct {
	eng *Engine
	pln *plan
	sta *service
	req cardamompass.Request
	key guard.Key
	// tried are the targets to which attempts were sent.
	tried []cardamompass.TargetID
	// guardRefusal is the guard's verdict if it refused the request.
	guardRefusal guard.Verdict
	// mayHaveRun is set once an attempt has failed that may have run.
	mayHaveRun bool
	rejected   route.Decision
}

// tryClaim claims a target for the next attempt, preferably one that was not tried yet. It does not block.
func (rqt *request) tryClaim() (clm *claim, ok bool) {
	if clm, ok = rqt.claimExcluding(rqt.tried); ok || len(rqt.tried) == 0 || rqt.guardRefusal.Action == guard.Refuse {
		return clm, ok
	}
	return rqt.claimExcluding(nil)
}

// claimExcluding claims a target that is not excluded. It considers the caller's region first, then the fallback regions.
func (rqt *request) claimExcluding(exclude []cardamompass.TargetID) (clm *claim, ok bool) {
	eng, sta := rqt.eng, rqt.sta
	now := eng.cfg.Clock.Now()
	scr := sta.scratchPool.Get().(*scratch)
	defer sta.scratchPool.Put(scr)
	scr.snp = eng.cfg.Tracker.Snapshot(rqt.req.Service, now, scr.snp)
	scr.snp.VMRegion = eng.cfg.Self.Region
	scr.snp.Regions = append(scr.snp.Regions[:0], rqt.regionState(rqt.req.CallerRegion, now))
	ask := route.Request{
		CallerRegion: rqt.req.CallerRegion,
		Exclude:      exclude,
	}
	scr.dec = route.Decide(&scr.snp, &ask, scr.dec)
	if clm, ok = rqt.claimFirst(&scr.dec, now); ok {
		return clm, true
	}
	if rqt.guardRefusal.Action == guard.Refuse {
		return nil, false
	}
	// Fallback regions are considered only now, so that requests served locally neither borrow their units nor start their ramps.
	rqt.recordUnmet(&scr.dec)
	ask.FallbackRegions = rqt.pln.fallbackRegions(rqt.req.CallerRegion)
	for _, reg := range ask.FallbackRegions {
		scr.snp.Regions = append(scr.snp.Regions, rqt.regionState(reg, now))
	}
	scr.dec = route.Decide(&scr.snp, &ask, scr.dec)
	if clm, ok = rqt.claimFirst(&scr.dec, now); ok {
		return clm, true
	}
	rqt.recordUnmet(&scr.dec)
	rqt.rejected.Regions = append(rqt.rejected.Regions[:0], scr.dec.Regions...)
	rqt.rejected.Rejections = append(rqt.rejected.Rejections[:0], scr.dec.Rejections...)
	return nil, false
}

// regionState returns the capacity of a region that this VM may use.
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
		rst.ColdSince = rqt.sta.shifts.recordShift(reg, now)
	}
	return rst
}

// recordUnmet records unmet demand for slots in the regions that were rejected for lack of them.
func (rqt *request) recordUnmet(dec *route.Decision) {
	for _, vdt := range dec.Regions {
		if vdt.Reason == route.ReasonNoShare || vdt.Reason == route.ReasonNearestAvailable {
			rqt.eng.cfg.Pool.Slots(share.SlotsName(rqt.req.Service, vdt.Region)).RecordUnmet()
		}
	}
}

// claimFirst claims the first candidate whose resources are available.
func (rqt *request) claimFirst(dec *route.Decision, now time.Time) (clm *claim, ok bool) {
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
		clm, ok = rqt.claimCandidate(cnd, tgt, now)
		if ok {
			clm.release = release
			return clm, true
		}
		release()
		if rqt.guardRefusal.Action == guard.Refuse {
			return nil, false
		}
	}
	return nil, false
}

// claimCandidate claims all resources of a candidate except the slot.
func (rqt *request) claimCandidate(cnd *route.Candidate, tgt cardamompass.Target, now time.Time) (clm *claim, ok bool) {
	cfg := &rqt.eng.cfg
	ver := cfg.Guard.Admit(rqt.key, cnd.Target, now)
	if ver.Action != guard.Run {
		if ver.Action == guard.Refuse {
			rqt.guardRefusal = ver
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

// withdraw releases a claim for which no attempt was made.
func (rqt *request) withdraw(clm *claim) {
	rqt.eng.cfg.Guard.Withdrawn(rqt.key, clm.target.ID)
	rqt.finish(clm, health.Cancelled)
}

// finish ends the claim: it records the result for the target and releases the slot.
func (rqt *request) finish(clm *claim, res health.Result) {
	rqt.eng.cfg.Tracker.Done(clm.token, rqt.eng.cfg.Clock.Now(), res)
	clm.release()
	if clm.endReservation != nil {
		clm.endReservation()
	}
	rqt.sta.queue.SlotReleased()
}
