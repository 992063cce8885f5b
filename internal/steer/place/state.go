package place

import (
	"math"
	"time"

	"cardamompass"
)

const (
	// loadDecay is the time constant with which the reported load of other VMs' requests decays. Requests take 0.2 to 0.7 s.
	loadDecay = 700 * time.Millisecond
	// slownessDecay is the time constant with which a reported slowness decays to 1. The speed of the machines of targets changes about
	// that often.
	slownessDecay = 600 * time.Millisecond
	// failureGain is the weight of the newest result in the failure rate, failureDecay the time constant of its decay.
	failureGain  = 0.2
	failureDecay = 4 * time.Second
	// minAvoid and maxAvoid bound the time for which an instance that can't be reached is avoided.
	minAvoid = 500 * time.Millisecond
	maxAvoid = 4 * time.Second
	// avoidGone is the time for which an instance that is no longer at its address is avoided. Its entry in the store expires within that
	// time.
	avoidGone = time.Minute
	// discoveryTime is the time after its start within which a VM may not have discovered the others, because their entries in the store
	// have expired. Within that time it sends nothing to cold instances unless it counts at least as many VMs as failure domains.
	discoveryTime = 3 * time.Second
	// coldWindow is the length of the sliding window in which requests to a cold instance are counted.
	coldWindow = time.Second
)

// state is the state of an instance as this VM sees it.
type state struct {
	ins        cardamompass.Instance
	standing   *standing
	hash       uint64 // of the id
	inFlight   int    // own requests
	load       cardamompass.Load
	loadAt     time.Time
	loadOthers int // requests of other VMs at the instance at loadAt
	failures   float64
	failuresAt time.Time
	avoidUntil time.Time
	avoidFor   time.Duration
	coldUntil  time.Time
	coldSent   []time.Time
}

func newState(ins cardamompass.Instance) (sta *state) {
	return &state{
		ins:  ins,
		hash: nameHash(string(ins.ID)),
	}
}

// key identifies the start of the instance.
func (sta *state) key() (key startKey) {
	return startKey{
		id:     sta.ins.ID,
		millis: sta.ins.StartMillis,
	}
}

func (sta *state) recordOutcome(out Outcome, now time.Time) {
	if out.Load != nil {
		sta.setLoad(*out.Load, now)
	}
	switch out.Result {
	case ResultAnswered:
		sta.avoidFor = 0
		sta.failures = sta.failureRate(now) * (1 - failureGain)
		sta.failuresAt = now
	case ResultFailed, ResultSilent, ResultShed:
		sta.failures = sta.failureRate(now)*(1-failureGain) + failureGain
		sta.failuresAt = now
	case ResultUnreachable:
		sta.avoidFor = min(maxAvoid, max(minAvoid, 2*sta.avoidFor))
		sta.avoidUntil = now.Add(sta.avoidFor)
	case ResultGone:
		sta.avoidUntil = now.Add(avoidGone)
	case ResultDropped:
	}
}

// setLoad records a load that the instance reported at a time.
func (sta *state) setLoad(lod cardamompass.Load, at time.Time) {
	sta.load = lod
	sta.loadAt = at
	sta.loadOthers = max(0, lod.Running+lod.Waiting-sta.inFlight)
}

// failureRate returns the fraction of recent requests that failed, from 0 to 1.
func (sta *state) failureRate(now time.Time) (rate float64) {
	return sta.failures * decay(now.Sub(sta.failuresAt), failureDecay)
}

// estimatedLoad returns the estimated number of requests at the instance.
func (sta *state) estimatedLoad(now time.Time) (load float64) {
	return float64(sta.inFlight) + float64(sta.loadOthers)*decay(now.Sub(sta.loadAt), loadDecay)
}

// slowness returns the estimated service time relative to the usual one.
func (sta *state) slowness(now time.Time) (factor float64) {
	if sta.load.Slowness == 0 {
		return 1
	}
	return 1 + (sta.load.Slowness-1)*decay(now.Sub(sta.loadAt), slownessDecay)
}

// withinColdQuota reports whether this VM may send one more request to a cold instance without exceeding quota within coldWindow.
func (sta *state) withinColdQuota(quota int, now time.Time) (ok bool) {
	kept := sta.coldSent[:0]
	for _, tim := range sta.coldSent {
		if now.Sub(tim) <= coldWindow {
			kept = append(kept, tim)
		}
	}
	sta.coldSent = kept
	return len(kept) < quota
}

func decay(age, constant time.Duration) (factor float64) {
	return math.Exp(-age.Seconds() / constant.Seconds())
}

// vmCounter counts the running VMs as the maximum of the last vmRetention. It follows an increase at once and a decrease with that delay,
// since a VM that vanished from the store or that is stopping may still send requests.
type vmCounter struct {
	samples []vmSample // in decreasing order of count; the last one is the current count
}

// vmSample is a number of VMs and the last time at which it was current.
type vmSample struct {
	count    int
	lastSeen time.Time
}

// vmRetention is the time for which a VM still counts after it has vanished from the store.
const vmRetention = 5 * time.Second

// record sets the current number of VMs.
func (ctr *vmCounter) record(vms int, now time.Time) {
	ctr.count(now)
	for len(ctr.samples) > 0 && ctr.samples[len(ctr.samples)-1].count <= vms {
		ctr.samples = ctr.samples[:len(ctr.samples)-1]
	}
	ctr.samples = append(ctr.samples, vmSample{
		count:    vms,
		lastSeen: now,
	})
}

// count returns the maximum number of VMs within the last vmRetention, at least 1.
func (ctr *vmCounter) count(now time.Time) (vms int) {
	if len(ctr.samples) == 0 {
		return 1
	}
	ctr.samples[len(ctr.samples)-1].lastSeen = now
	for now.Sub(ctr.samples[0].lastSeen) > vmRetention {
		ctr.samples = ctr.samples[1:]
	}
	return max(1, ctr.samples[0].count)
}

// history holds the starts of instances that recently answered requests of this VM on an object.
type history struct {
	entries [historyLength]entry
}

type entry struct {
	key startKey
	at  time.Time
}

const (
	// historyLength is the number of instances recorded for an object.
	historyLength = 4
	// warmTTL is the time for which an object is assumed to stay warm at an instance. Targets keep some tens of objects.
	warmTTL = 30 * time.Second
	// maxHistories bounds the number of recorded objects. When it is reached, all histories are discarded, which makes some responses
	// slower.
	maxHistories = 20000
)

func (hst *history) record(key startKey, now time.Time) {
	oldest := 0
	for num := range hst.entries {
		if hst.entries[num].key == key {
			hst.entries[num].at = now
			return
		}
		if hst.entries[num].at.Before(hst.entries[oldest].at) {
			oldest = num
		}
	}
	hst.entries[oldest] = entry{
		key: key,
		at:  now,
	}
}

func (hst *history) warm(key startKey, now time.Time) (ok bool) {
	for num := range hst.entries {
		if hst.entries[num].key == key && now.Sub(hst.entries[num].at) < warmTTL {
			return true
		}
	}
	return false
}

func (bal *Balancer) history(object uint64) (hst *history) {
	hst, ok := bal.histories[object]
	if ok {
		return hst
	}
	if len(bal.histories) >= maxHistories {
		clear(bal.histories)
	}
	hst = &history{}
	bal.histories[object] = hst
	return hst
}
