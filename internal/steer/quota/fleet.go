package quota

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"cardamompass"
)

const (
	// minAskWeight is the least weight of a VM in the choice of the VMs that are asked. Those that look-ups do not return have most
	// tokens that they do not need.
	minAskWeight = 0.25
	// vanishTime is how long a VM counts after it was last seen: it may still send.
	vanishTime = 5 * time.Second
	// lossTime is how long the shares of the remaining VMs stay as they were after VMs vanished: VMs that are cut off keep their shares,
	// and the others can't tell them from VMs that failed. After it, the remaining VMs raise their shares up to raisedSum together, until
	// keepTime has passed. Thus a cut-off region of three adds 0.03 to the sum, and the usual demand of 62% of a rate still fits.
	lossTime  = 30 * time.Second
	raisedSum = 0.7
	keepTime  = time.Hour
	// steadyTime is the time for which a sum must last to count in keepTime. VMs that are replaced by VMs with other names count twice
	// for the TTL of a lease and vanishTime.
	steadyTime = 10 * time.Second
	// noticeTime is the time in which the other VMs see that a VM has started or has a greater weight. Until then it does not mint, or
	// mints by the weight that it had before. A change is seen in the store after up to 1 s. A process that takes the place of an earlier
	// one, which the store still lists, mints at once: the others count the VM already, and its entry is no older than those of the others.
	noticeTime = 1500 * time.Millisecond
	// startTime is the time after a start in which failure domains without a known VM count as much as the others, and at least as one
	// VM. Their VMs may start later, or be cut off. A shorter time does not cover a cut that begins while all VMs start.
	startTime = 30 * time.Second
	// freezeTime is the pause between two observations after which a process is treated as if it had started again: the others may have
	// raised their shares meanwhile.
	freezeTime = 3 * time.Second
)

// Observation is what a VM knows about the fleet at a time.
type Observation struct {
	// Weights are the weights of the VMs that are known to run, including this one.
	Weights map[cardamompass.VMID]float64
	// Domains is the number of failure domains with a known VM, EmptyDomains that of the others.
	Domains      int
	EmptyDomains int
	// Fresh is set when the store has responded recently. Otherwise VMs that are missing may be running.
	Fresh bool
	// Returned is set when the store still listed an earlier process of this VM when this one started.
	Returned bool
}

// Share is the share of a VM.
type Share struct {
	// Now is the fraction of all tokens that the VM mints and stores.
	Now float64
	// Future is the fraction when the other VMs have seen this one.
	Future float64
}

// Fleet computes a VM's share from its observations of the fleet. It is not safe for concurrent use.
type Fleet struct {
	self  cardamompass.VMID
	start time.Time
	last  time.Time
	// resumed is set once the process was stopped for longer than freezeTime.
	resumed bool
	seen    map[cardamompass.VMID]*sighting
	// highs are decreasing sums of the last lossTime and lows increasing sums of the last steadyTime, in the order of time.
	highs []sample
	lows  []sample
	// steady is the largest sum that lasted for steadyTime, steadyAt the time at which it was last reached.
	steady   float64
	steadyAt time.Time
	own      []sample // increasing weights in the order of time
}

// sighting is the greatest weight of a VM within vanishTime.
type sighting struct {
	weight   float64
	weighed  time.Time
	lastSeen time.Time
	// asked is the time at which the VM was a recipient of asks.
	asked time.Time
}

type sample struct {
	at    time.Time
	value float64
}

// NewFleet returns the Fleet of a VM that starts now.
func NewFleet(self cardamompass.VMID, now time.Time) (flt *Fleet) {
	return &Fleet{
		self:  self,
		start: now,
		last:  now,
		seen:  make(map[cardamompass.VMID]*sighting),
	}
}

// Observe records an observation and returns the resulting share.
func (flt *Fleet) Observe(obs Observation, now time.Time) (shr Share) {
	if now.Sub(flt.last) > freezeTime {
		flt.start, flt.resumed = now, true
	}
	flt.last = now
	flt.record(obs, now)
	sum := 0.0
	for _, sgt := range flt.seen {
		sum += sgt.weight
	}
	divisor := flt.divisor(sum, now)
	if now.Sub(flt.start) < startTime {
		divisor += float64(obs.EmptyDomains) * max(1, divisor/float64(max(1, obs.Domains)))
	}
	weight := obs.Weights[flt.self]
	flt.own = lowest(flt.own, weight, now, noticeTime)
	if divisor <= 0 {
		return shr
	}
	shr.Future = weight / divisor
	if now.Sub(flt.start) >= noticeTime || (obs.Returned && !flt.resumed) {
		shr.Now = flt.own[0].value / divisor
	}
	return shr
}

// divisor returns the sum of weights by which weights are divided. sum is the current one.
func (flt *Fleet) divisor(sum float64, now time.Time) (div float64) {
	const span = lossTime - vanishTime // sum contains VMs for vanishTime already
	flt.lows = lowest(flt.lows, sum, now, steadyTime)
	flt.highs = slices.DeleteFunc(flt.highs, func(smp sample) bool { return smp.value <= sum || now.Sub(smp.at) > span })
	flt.highs = append(flt.highs, sample{
		at:    now,
		value: sum,
	})
	if low := flt.lows[0].value; now.Sub(flt.start) >= steadyTime && (low >= flt.steady || now.Sub(flt.steadyAt) > keepTime) {
		flt.steady, flt.steadyAt = low, now
	}
	high := flt.highs[0].value
	return max(high, min(flt.steady, high/raisedSum))
}

// lowest adds a value to samples with increasing values in the order of time and drops those older than span. The first one is then
// the lowest value of this time.
func lowest(samples []sample, value float64, now time.Time, span time.Duration) (next []sample) {
	next = slices.DeleteFunc(samples, func(smp sample) bool { return smp.value >= value || now.Sub(smp.at) > span })
	return append(next, sample{
		at:    now,
		value: value,
	})
}

func (flt *Fleet) record(obs Observation, now time.Time) {
	for id, weight := range obs.Weights {
		sgt := flt.seen[id]
		if sgt == nil {
			sgt = &sighting{}
			flt.seen[id] = sgt
		}
		if weight >= sgt.weight || now.Sub(sgt.weighed) > vanishTime {
			sgt.weight, sgt.weighed = weight, now
		}
		sgt.lastSeen = now
	}
	for _, sgt := range flt.seen {
		if !obs.Fresh {
			sgt.lastSeen = now
		}
	}
	maps.DeleteFunc(flt.seen, func(_ cardamompass.VMID, sgt *sighting) bool { return now.Sub(sgt.lastSeen) > vanishTime })
}

// Recipients returns the VMs to send the next asks to, in random order weighted by their shares.
func (flt *Fleet) Recipients(rnd *rand.Rand) (ids []cardamompass.VMID) {
	type candidate struct {
		id  cardamompass.VMID
		key float64
	}
	var all []candidate
	for _, id := range slices.Sorted(maps.Keys(flt.seen)) {
		if sgt := flt.seen[id]; id != flt.self && sgt.weight > 0 && flt.last.Equal(sgt.lastSeen) {
			all = append(all, candidate{
				id:  id,
				key: rnd.ExpFloat64() / (max(sgt.weight, minAskWeight) * min(1, max(0.01, flt.last.Sub(sgt.asked).Seconds()))),
			})
		}
	}
	slices.SortFunc(all, func(one, two candidate) int { return cmp.Compare(one.key, two.key) })
	for _, cnd := range all[:min(len(all), Recipients)] {
		flt.seen[cnd.id].asked = flt.last
		ids = append(ids, cnd.id)
	}
	return ids
}
