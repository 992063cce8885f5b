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
	// shiftSafety is the part of the cap that the movement of the parts may use; the rest is left to chance and repeats.
	shiftSafety = 0.4
)

// parts is how the objects of this VM's region are divided among the regions that serve a service. The sum is 1.
type parts struct {
	now  map[cardamompass.Region]float64
	at   time.Time
	want map[cardamompass.Region]float64 // nil after the registrations have changed
}

// divisionInterval is the time between two steps of a division on its way to what the registrations ask for.
const divisionInterval = 100 * time.Millisecond

// division returns the parts of a service at a time, moved towards what the registrations ask for.
func (brd *Balancer) division(svc cardamompass.ServiceName, now time.Time) (div map[cardamompass.Region]float64) {
	prt, ok := brd.parts[svc]
	if !ok {
		prt = &parts{
			at: now,
		}
		brd.parts[svc] = prt
	}
	if prt.want == nil {
		prt.want = wanted(brd.room(svc), brd.demand(), brd.cfg.Region)
	}
	if len(prt.now) == 0 {
		prt.now, prt.at = prt.want, now
	}
	if ela := now.Sub(prt.at); ela >= divisionInterval {
		prt.now = toward(prt.now, prt.want, brd.cfg.MaxRegionShift*shiftSafety*ela.Seconds()/shiftWindow.Seconds())
		prt.at = now
	}
	return prt.now
}

// room returns the slots of each region that requests can use.
func (brd *Balancer) room(svc cardamompass.ServiceName) (slots map[cardamompass.Region]float64) {
	slots = make(map[cardamompass.Region]float64)
	for _, ins := range brd.vew.Instances(svc) {
		if !ins.Leaving && !brd.vew.Evacuated(ins.FailureDomain) {
			slots[ins.Region] += float64(ins.Slots)
		}
	}
	return slots
}

// demand returns the part of the callers in each region, taken to be even over the failure domains.
func (brd *Balancer) demand() (part map[cardamompass.Region]float64) {
	part = make(map[cardamompass.Region]float64)
	for _, reg := range brd.cfg.Regions {
		part[reg] += 1 / float64(len(brd.cfg.Regions))
	}
	return part
}

// wanted divides the objects of the callers in region own so that all slots are used alike: a region with less room than callers
// gives the rest to the regions with more.
func wanted(
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

// toward moves a division by at most step, measured as the part of the objects that changes its region.
func toward(from, to map[cardamompass.Region]float64, step float64) (div map[cardamompass.Region]float64) {
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

// regionOf returns the region that serves an object whose hash is at point of [0,1). The own region comes first, so that a change of
// its part moves only the objects at its border.
func regionOf(div map[cardamompass.Region]float64, own cardamompass.Region, point float64) (reg cardamompass.Region) {
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
