package place

import (
	"maps"
	"slices"
	"time"

	"cardamompass"
)

const (
	// shiftWindow is the window of the cap on shifts between regions.
	shiftWindow = 2 * time.Second
	// splitShiftFraction is the fraction of the cap that changes of the split may use. The rest covers random variation and retries.
	splitShiftFraction = 0.4
)

// regionSplit is the division of the objects of this VM's region among the regions that serve a service. The fractions add up to 1.
type regionSplit struct {
	current map[cardamompass.Region]float64
	movedAt time.Time
	goal    map[cardamompass.Region]float64 // nil when it must be computed again after a change of the registrations
}

// splitInterval is the shortest time between two steps of a split towards its goal.
const splitInterval = 100 * time.Millisecond

// split returns the current split of a service, after moving it towards the goal that follows from the registrations.
func (bal *Balancer) split(svc cardamompass.ServiceName, now time.Time) (div map[cardamompass.Region]float64) {
	spl, ok := bal.splits[svc]
	if !ok {
		spl = &regionSplit{
			movedAt: now,
		}
		bal.splits[svc] = spl
	}
	if spl.goal == nil {
		spl.goal = goalSplit(bal.usableSlots(svc), bal.callerFractions(), bal.cfg.Region)
	}
	if len(spl.current) == 0 {
		spl.current, spl.movedAt = spl.goal, now
	}
	if ela := now.Sub(spl.movedAt); ela >= splitInterval {
		spl.current = moveSplit(spl.current, spl.goal, bal.cfg.Bounds.MaxRegionShift*splitShiftFraction*ela.Seconds()/shiftWindow.Seconds())
		spl.movedAt = now
	}
	return spl.current
}

// usableSlots returns the number of slots of each region that requests can use.
func (bal *Balancer) usableSlots(svc cardamompass.ServiceName) (slots map[cardamompass.Region]float64) {
	slots = make(map[cardamompass.Region]float64)
	for _, ins := range bal.vew.Instances(svc) {
		if !ins.Leaving && !bal.vew.Evacuated(ins.FailureDomain) {
			slots[ins.Region] += float64(ins.Slots)
		}
	}
	return slots
}

// callerFractions returns the fraction of the callers in each region. It assumes that callers are spread evenly over the failure
// domains.
func (bal *Balancer) callerFractions() (fraction map[cardamompass.Region]float64) {
	fraction = make(map[cardamompass.Region]float64)
	for _, reg := range bal.cfg.Regions {
		fraction[reg] += 1 / float64(len(bal.cfg.Regions))
	}
	return fraction
}

// goalSplit divides the objects of the callers in region own so that all slots are used equally: a region whose fraction of the slots
// is smaller than its fraction of the callers gives the excess to the regions where it is larger.
func goalSplit(
	slots, demand map[cardamompass.Region]float64, own cardamompass.Region,
) (div map[cardamompass.Region]float64) {
	total := 0.0
	for _, num := range slots {
		total += num
	}
	div = make(map[cardamompass.Region]float64)
	if total == 0 {
		return div
	}
	keep := 1.0
	if demand[own] > 0 {
		keep = min(1, slots[own]/total/demand[own])
	}
	div[own] = keep
	surplus := 0.0
	for reg, num := range slots {
		surplus += max(0, num/total-demand[reg])
	}
	for reg, num := range slots {
		if more := num/total - demand[reg]; reg != own && more > 0 && keep < 1 {
			div[reg] = (1 - keep) * more / surplus
		}
	}
	return div
}

// moveSplit moves a split towards another by at most step, the fraction of the objects that changes its region.
func moveSplit(from, to map[cardamompass.Region]float64, step float64) (div map[cardamompass.Region]float64) {
	distance := 0.0
	for reg, val := range to {
		distance += max(0, val-from[reg])
	}
	if distance <= step || distance == 0 {
		return to
	}
	div = make(map[cardamompass.Region]float64)
	for reg, val := range from {
		div[reg] += val * (1 - step/distance)
	}
	for reg, val := range to {
		div[reg] += val * step / distance
	}
	return div
}

// servingRegion returns the region that serves an object whose hash, scaled to [0, 1), is point. The own region takes the interval that
// starts at 0, so that a change of its fraction moves only the objects near the end of that interval.
func servingRegion(div map[cardamompass.Region]float64, own cardamompass.Region, point float64) (reg cardamompass.Region) {
	if point < div[own] {
		return own
	}
	point -= div[own]
	last := own
	for _, reg = range slices.Sorted(maps.Keys(div)) {
		if reg == own || div[reg] == 0 {
			continue
		}
		if point < div[reg] {
			return reg
		}
		point -= div[reg]
		last = reg
	}
	return last
}
