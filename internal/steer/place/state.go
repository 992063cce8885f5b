package place

import (
	"math"
	"time"

	"cardamompass"
)

const (
	// loadMemory is the time constant with which the stated load of other VMs' requests is forgotten. Requests take 0.2 to 0.7 s.
	loadMemory = 700 * time.Millisecond
	// slownessMemory is the time for which a stated slowness holds; machines of targets change about that often.
	slownessMemory = 600 * time.Millisecond
	// failureGain is the weight of the newest result in the failure rate, failureMemory the time constant of its decay.
	failureGain   = 0.2
	failureMemory = 4 * time.Second
	// avoidFirst and avoidMost bound the time for which an instance that can't be reached gets no requests.
	avoidFirst = 500 * time.Millisecond
	avoidMost  = 4 * time.Second
	// avoidGone is the time for which an instance that is not at its address gets no requests. Its entry lapses within that time.
	avoidGone = time.Minute
	// acquaintance is the time after its start within which a VM may not know the others yet, when their entries have lapsed. It sends
	// nothing to cold instances until it knows as many VMs as there are failure domains.
	acquaintance = 3 * time.Second
	// coldWindow is the span in which requests to a cold instance are counted.
	coldWindow = time.Second
)

// state is what the VM knows of an instance.
type state struct {
	ins        cardamompass.Instance
	hash       uint64 // of the id
	inFlight   int    // own requests
	load       cardamompass.Load
	loadAt     time.Time
	loadOthers int // requests of other VMs at loadAt
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

func (sta *state) note(out Outcome, now time.Time) {
	if out.Load != nil {
		sta.stated(*out.Load, now)
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
		sta.avoidFor = min(avoidMost, max(avoidFirst, 2*sta.avoidFor))
		sta.avoidUntil = now.Add(sta.avoidFor)
	case ResultGone:
		sta.avoidUntil = now.Add(avoidGone)
	case ResultDropped:
	}
}

// stated takes a load that the instance stated at a time.
func (sta *state) stated(lod cardamompass.Load, at time.Time) {
	sta.load = lod
	sta.loadAt = at
	sta.loadOthers = max(0, lod.Running+lod.Waiting-sta.inFlight)
}

// failureRate is the part of recent requests that failed, from 0 to 1.
func (sta *state) failureRate(now time.Time) (rate float64) {
	return sta.failures * fade(now.Sub(sta.failuresAt), failureMemory)
}

// estimate is the number of requests that are probably at the instance.
func (sta *state) estimate(now time.Time) (load float64) {
	return float64(sta.inFlight) + float64(sta.loadOthers)*fade(now.Sub(sta.loadAt), loadMemory)
}

// slowness is how long work probably takes relative to the usual time.
func (sta *state) slowness(now time.Time) (factor float64) {
	if sta.load.Slowness == 0 {
		return 1
	}
	return 1 + (sta.load.Slowness-1)*fade(now.Sub(sta.loadAt), slownessMemory)
}

// coldRoom reports whether an instance that is cold may get one more request from this VM within the last second's quota.
func (sta *state) coldRoom(quota int, now time.Time) (ok bool) {
	kept := sta.coldSent[:0]
	for _, tim := range sta.coldSent {
		if now.Sub(tim) <= coldWindow {
			kept = append(kept, tim)
		}
	}
	sta.coldSent = kept
	return len(kept) < quota
}

func fade(age, memory time.Duration) (factor float64) {
	return math.Exp(-age.Seconds() / memory.Seconds())
}

// census counts the running VMs: the most of the last censusMemory. It follows a rise at once and a fall only after a while, since a VM
// that vanished from the store or stops may still send.
type census struct {
	falls []headcount // each lower than the one before; the last is the present one
}

// headcount is a number of VMs and when it last held.
type headcount struct {
	vms  int
	last time.Time
}

// censusMemory is how long a VM counts after it has vanished from the store.
const censusMemory = 5 * time.Second

// note takes the number of VMs from now on.
func (cns *census) note(vms int, now time.Time) {
	cns.count(now)
	for len(cns.falls) > 0 && cns.falls[len(cns.falls)-1].vms <= vms {
		cns.falls = cns.falls[:len(cns.falls)-1]
	}
	cns.falls = append(cns.falls, headcount{
		vms:  vms,
		last: now,
	})
}

// count returns the most VMs of the last censusMemory, at least 1.
func (cns *census) count(now time.Time) (vms int) {
	if len(cns.falls) == 0 {
		return 1
	}
	cns.falls[len(cns.falls)-1].last = now
	for now.Sub(cns.falls[0].last) > censusMemory {
		cns.falls = cns.falls[1:]
	}
	return max(1, cns.falls[0].vms)
}

// trail remembers where this VM sent requests on an object.
type trail struct {
	steps [trailLength]step
}

type step struct {
	ins cardamompass.InstanceID
	at  time.Time
}

const (
	// trailLength is the number of instances remembered for an object.
	trailLength = 4
	// trailMemory is the time for which an instance is taken to be warm. Targets keep some tens of objects.
	trailMemory = 30 * time.Second
	// maxTrails bounds the remembered objects; beyond it the table is emptied, which costs some slower answers.
	maxTrails = 20000
)

func (trl *trail) note(id cardamompass.InstanceID, now time.Time) {
	oldest := 0
	for num := range trl.steps {
		if trl.steps[num].ins == id {
			trl.steps[num].at = now
			return
		}
		if trl.steps[num].at.Before(trl.steps[oldest].at) {
			oldest = num
		}
	}
	trl.steps[oldest] = step{
		ins: id,
		at:  now,
	}
}

func (trl *trail) warm(id cardamompass.InstanceID, now time.Time) (ok bool) {
	for num := range trl.steps {
		if trl.steps[num].ins == id && now.Sub(trl.steps[num].at) < trailMemory {
			return true
		}
	}
	return false
}

func (brd *Balancer) trail(object uint64) (trl *trail) {
	trl, ok := brd.trails[object]
	if ok {
		return trl
	}
	if len(brd.trails) >= maxTrails {
		clear(brd.trails)
	}
	trl = &trail{}
	brd.trails[object] = trl
	return trl
}
