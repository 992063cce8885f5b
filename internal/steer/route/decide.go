package route

import (
	"slices"
	"time"

	"cardamompass"
)

// Decide returns the candidates for req in the order in which they should be tried, with the reasons. It reuses the
// slices of old, which may be the zero Decision. The result does not refer to snp.
func Decide(snp *Snapshot, req *Request, old Decision) (dec Decision) {
	dec = old.Reset()
	for pos := -1; pos < len(req.FallbackRegions); pos++ {
		reg := req.CallerRegion
		if pos >= 0 {
			reg = req.FallbackRegions[pos]
		}
		rsn := ReasonFartherRegion
		if len(dec.Candidates) == 0 {
			rsn = decideRegion(snp, req, reg, &dec)
		}
		dec.Regions = append(dec.Regions, RegionVerdict{
			Region: reg,
			Reason: rsn,
		})
	}
	return dec
}

func decideRegion(snp *Snapshot, req *Request, reg cardamompass.Region, dec *Decision) (rsn Reason) {
	idx := slices.IndexFunc(snp.Regions, func(rst RegionState) bool { return rst.Region == reg })
	if idx < 0 {
		return ReasonNoShare
	}
	rst := &snp.Regions[idx]
	needsLink, needsShift := reg != snp.VMRegion, reg != req.CallerRegion
	switch {
	case needsLink && !rst.LinkUnits:
		return ReasonNoLinkUnits
	case needsShift && !rst.ShiftUnits:
		return ReasonNoShiftUnits
	}
	limit, free := RegionLimit(snp, rst)
	if !free {
		return ReasonNoShare
	}
	pck := picker{
		snp: snp,
		req: req,
		reg: reg,
	}
	pck.appendCandidates(dec)
	if len(dec.Candidates) == 0 {
		return ReasonNoTarget
	}
	for i := range dec.Candidates {
		dec.Candidates[i].RegionLimit = limit
		dec.Candidates[i].Share = rst.Share
		dec.Candidates[i].NeedsLink = needsLink
		dec.Candidates[i].NeedsShift = needsShift
	}
	return ReasonNearestAvailable
}

// RegionLimit returns the number of requests that the VM may have in flight on the region's targets that are not
// avoided, and whether it may start one more. The share is reduced in proportion to the slots of avoided targets and
// the slots that cold targets do not use yet. The result is rounded down, so that the limits of all VMs together never
// exceed the remaining slots.
func RegionLimit(snp *Snapshot, rst *RegionState) (limit int, free bool) {
	var total, inFlight, avoided int
	var usable float64
	for i := range snp.Targets {
		tgt := &snp.Targets[i]
		if tgt.Region != rst.Region {
			continue
		}
		total += tgt.Slots
		if tgt.avoided() {
			avoided += tgt.InFlight
			continue
		}
		inFlight += tgt.InFlight
		usable += float64(min(tgt.Slots, tgt.UsableSlots)) * Ramp(tgt.ColdSince, snp.Now)
	}
	if total == 0 {
		return 0, false
	}
	// The ramps of region and targets describe the same cold caches, so the smaller one applies, not their product.
	part := min(usable/float64(total), Ramp(rst.ColdSince, snp.Now))
	// 1e-9 compensates for rounding errors in results that are integers in exact arithmetic.
	limit = int(float64(rst.Share)*part + 1e-9)
	return limit, inFlight < limit && inFlight+avoided < rst.Share
}

// grade is the first sort key of targets, before their load; a lower grade goes first.
type grade uint8

const (
	gradeGood grade = iota
	gradeStraggler
)

// picker selects the candidates of one region.
type picker struct {
	snp *Snapshot
	req *Request
	reg cardamompass.Region
}

// entry is a target that may get the request, with its precomputed limit and grade.
type entry struct {
	idx   int
	limit int
	grade grade
	taken bool
}

// maxStackEntries is the number of targets of a region up to which a decision does not allocate for its entries.
const maxStackEntries = 64

func (pck *picker) appendCandidates(dec *Decision) {
	var buf [maxStackEntries]entry
	ens := pck.eligible(buf[:0], dec)
	limit := pck.req.Limit
	if limit <= 0 {
		limit = DefaultLimit
	}
	prev := -1
	for len(dec.Candidates) < limit {
		pos, rsn := pck.best(ens, prev)
		if pos < 0 {
			break
		}
		ens[pos].taken = true
		prev = ens[pos].idx
		dec.Candidates = append(dec.Candidates, Candidate{
			Target: pck.snp.Targets[prev].ID,
			Region: pck.reg,
			Reason: rsn,
			Limit:  ens[pos].limit,
		})
	}
	for i := range ens {
		if !ens[i].taken {
			dec.reject(pck.snp.Targets[ens[i].idx].ID, ReasonOverLimit)
		}
	}
}

func (pck *picker) eligible(ens []entry, dec *Decision) (out []entry) {
	for i := range pck.snp.Targets {
		tgt := &pck.snp.Targets[i]
		if tgt.Region != pck.reg {
			continue
		}
		limit := tgt.limit(pck.snp.Now)
		switch {
		case tgt.Leaving:
			dec.reject(tgt.ID, ReasonLeaving)
		case tgt.Failing:
			dec.reject(tgt.ID, ReasonFailing)
		case slices.Contains(pck.req.Exclude, tgt.ID):
			dec.reject(tgt.ID, ReasonExcluded)
		case tgt.InFlight >= limit:
			dec.reject(tgt.ID, ReasonTargetFull)
		default:
			ens = append(ens, entry{
				idx:   i,
				limit: limit,
				grade: gradeOf(tgt, pck.snp.Usual, pck.snp.Now),
			})
		}
	}
	return ens
}

func gradeOf(tgt *TargetState, usual time.Duration, now time.Time) (grd grade) {
	if tgt.Straggler(usual, now) {
		return gradeStraggler
	}
	return gradeGood
}

// best returns the position of the best entry that is not taken, or -1. prev is the index of the previous candidate's
// target, or -1 for the first candidate.
func (pck *picker) best(ens []entry, prev int) (pos int, rsn Reason) {
	pos = -1
	tie, domain := false, false
	for i := range ens {
		if ens[i].taken {
			continue
		}
		if pos < 0 {
			pos = i
			continue
		}
		cmp, byDomain := pck.compare(&ens[i], &ens[pos], prev)
		tie = cmp == 0 || tie && cmp > 0
		domain = domain || byDomain
		if cmp < 0 || cmp == 0 && pck.rank(&ens[i]) > pck.rank(&ens[pos]) {
			pos = i
		}
	}
	if pos < 0 {
		return -1, 0
	}
	switch {
	case ens[pos].grade == gradeStraggler:
		return pos, ReasonOnlyStraggler
	case domain:
		return pos, ReasonOtherDomain
	case tie:
		return pos, ReasonRendezvous
	default:
		return pos, ReasonLowestInFlight
	}
}

// compare orders by grade, then targets outside of the failure domain of the previous candidate first, then by the
// VM's own in-flight count relative to slots. byDomain reports that the failure domain decided.
func (pck *picker) compare(one, two *entry, prev int) (cmp int, byDomain bool) {
	if one.grade != two.grade {
		return int(one.grade) - int(two.grade), false
	}
	tg1, tg2 := &pck.snp.Targets[one.idx], &pck.snp.Targets[two.idx]
	if prev >= 0 && tg1.FailureDomain != tg2.FailureDomain {
		last := pck.snp.Targets[prev].FailureDomain
		switch last {
		case tg1.FailureDomain:
			return 1, true
		case tg2.FailureDomain:
			return -1, true
		}
	}
	if cmp = tg1.InFlight*two.limit - tg2.InFlight*one.limit; cmp != 0 {
		return cmp, false
	}
	// Load reports are late and the same for all VMs. If they were more than a tie-break, all VMs would leave the same
	// targets at once and overload the others.
	return boolToInt(tg1.Overloaded) - boolToInt(tg2.Overloaded), false
}

func boolToInt(yes bool) (num int) {
	if yes {
		return 1
	}
	return 0
}

func (pck *picker) rank(ent *entry) (rank uint64) { return pck.snp.Targets[ent.idx].Rank }

func (dec *Decision) reject(tid cardamompass.TargetID, rsn Reason) {
	dec.Rejections = append(dec.Rejections, Rejection{
		Target: tid,
		Reason: rsn,
	})
}
