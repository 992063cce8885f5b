// Package route decides to which targets a request may be sent, and in which order.
//
// Decide is a pure function of a Snapshot and a Request: it does no I/O, reads no clock and takes no lock. The regions
// are tried in the caller's order of preference, and the nearest one with free capacity is chosen. A region has free
// capacity while the VM's own requests in flight stay under its usable share of the region's slots and at least one
// target may get the request. A request that crosses between regions also needs units of the link and of the shift.
// Within the region the target with the lowest in-flight count of the VM relative to its slots comes first; stragglers
// come last; candidates alternate failure domains, so that a retry or a hedge leaves the domain of the first attempt.
//
// Load reports of targets can only lower the number of requests that a VM sends. Naive is the round-robin baseline
// with which Decide is compared, and Subset selects the targets to which a VM of a large fleet keeps connections.
package route

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"cardamompass"
)

const (
	// StragglerFactor is the multiple of the usual latency above which the age of the oldest own request makes its target
	// a straggler.
	StragglerFactor = 3
	// RampUp is the time in which the usable part of a cold target or region grows to 1.
	RampUp = 10 * time.Second
	// initialRamp is the usable part of a target or region that has just become cold.
	initialRamp = 0.25
	// DefaultLimit is the number of candidates for a Request without a limit: the first attempt, a hedge, and one retry
	// of each.
	DefaultLimit = 4
)

// TargetState is the state of a target as one entry VM sees it at the time of a snapshot.
type TargetState struct {
	// ID, Region and FailureDomain identify the target and its location.
	ID            cardamompass.TargetID
	Region        cardamompass.Region
	FailureDomain cardamompass.FailureDomain
	// Rank is Rank(VM, ID). It breaks ties; the highest rank goes first.
	Rank uint64
	// Slots is the catalogue's slot count; UsableSlots is that count or a lower one that the target reported.
	Slots       int
	UsableSlots int
	// InFlight is the number of requests that this VM has in flight on the target.
	InFlight int
	// OldestStart is the start time of the oldest of these requests; zero when there is none.
	OldestStart time.Time
	// Slow is set for a limited time after a request that ended late, or whose hedge was answered first.
	Slow bool
	// Overloaded is set while a recent load report shows more requests than slots.
	Overloaded bool
	// Leaving is set while any source reports that the target is leaving.
	Leaving bool
	// Failing is set while the target cannot be reached from this VM.
	Failing bool
	// ColdSince is the time at which the target started cold or became usable again; zero when it is warm.
	ColdSince time.Time
}

// RegionState is the part of a region that the VM may use for one service.
type RegionState struct {
	Region cardamompass.Region
	// Share is the number of the region's slots that the VM may use, including borrowed ones.
	Share int
	// ColdSince is the time at which this VM's traffic started to shift to the region; zero when it is warm.
	ColdSince time.Time
	// LinkUnits and ShiftUnits report whether units are available for a request that crosses to the region.
	LinkUnits  bool
	ShiftUnits bool
}

// Snapshot is the state from which one decision for one service is made. It must not change during the decision.
type Snapshot struct {
	Now time.Time
	// VMRegion is the region of the entry VM.
	VMRegion cardamompass.Region
	// Usual is the service's usual latency; zero while it is unknown.
	Usual   time.Duration
	Targets []TargetState
	Regions []RegionState
}

// Request is the part of a caller's request on which a decision depends.
type Request struct {
	// CallerRegion is tried first, then FallbackRegions in order.
	CallerRegion    cardamompass.Region
	FallbackRegions []cardamompass.Region
	// Exclude lists targets to which an attempt of the request was already sent.
	Exclude []cardamompass.TargetID
	// Limit bounds the candidates; DefaultLimit when it is zero.
	Limit int
}

// Rank returns the rendezvous hash of a VM and a target.
func Rank(vid cardamompass.VMID, tid cardamompass.TargetID) (rank uint64) {
	var buf [128]byte
	key := append(buf[:0], vid...)
	key = append(key, 0)
	key = append(key, tid...)
	return xxhash.Sum64(key)
}

// Ramp returns the usable part, from 0.25 to 1, of a target or region that has been cold since the given time. A zero
// since means that it is warm.
func Ramp(since, now time.Time) (part float64) {
	if since.IsZero() {
		return 1
	}
	age := now.Sub(since)
	if age >= RampUp {
		return 1
	}
	if age < 0 {
		age = 0
	}
	return initialRamp + (1-initialRamp)*float64(age)/float64(RampUp)
}

// Straggler reports whether the target is a straggler: the oldest request of this VM on it is older than three times
// the usual latency, or a request on it recently ended late.
func (tst *TargetState) Straggler(usual time.Duration, now time.Time) (yes bool) {
	if tst.Slow {
		return true
	}
	return usual > 0 && !tst.OldestStart.IsZero() && now.Sub(tst.OldestStart) > StragglerFactor*usual
}

// avoided reports whether the target must get no new requests.
func (tst *TargetState) avoided() (yes bool) { return tst.Leaving || tst.Failing }

// limit returns the number of requests that the VM may have in flight on the target. It is at least one for a cold
// target, which would otherwise never warm up.
func (tst *TargetState) limit(now time.Time) (slots int) {
	slots = min(tst.Slots, tst.UsableSlots)
	if slots <= 0 {
		return 0
	}
	return max(1, int(float64(slots)*Ramp(tst.ColdSince, now)))
}
