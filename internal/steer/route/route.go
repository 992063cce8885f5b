// Package route decides which targets carry a request, and in which order.
//
// Decide is a pure function of a Snapshot and a Request: it does no I/O, reads no clock and takes no lock. The regions
// are tried in the caller's order of preference, and the nearest one with room wins. A region has room while the
// VM's own requests in flight stay under the VM's usable share of its slots and one of its targets may get work. A
// request that crosses between regions also needs units of the link and of the shift. Within the region the target
// with the lowest own in-flight count relative to its slots comes first; stragglers come
// last; candidates alternate failure domains, so that a retry or a hedge leaves the domain of the first attempt.
//
// Reports of targets only ever lower what a VM sends. Naive is the round-robin baseline that Decide is compared with,
// and Subset selects the targets to which a VM of a large fleet keeps connections.
package route

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"cardamompass"
)

const (
	// StragglerFactor is the multiple of the usual latency at which the oldest own request marks its target.
	StragglerFactor = 3
	// RampUp is the time in which a cold target or region grows to its full share.
	RampUp = 10 * time.Second
	// rampStart is the part of the share that a cold target or region gets at first.
	rampStart = 0.25
	// DefaultLimit is the number of candidates of a Request that sets no limit: the attempt, a hedge, and one retry of
	// each.
	DefaultLimit = 4
)

// TargetState is what one entry VM knows of a target at the time of a snapshot.
type TargetState struct {
	// ID, Region and FailureDomain identify the target and its place.
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
	// OldestStart is the start of the oldest of these requests; zero when there is none.
	OldestStart time.Time
	// Slow is set for a while after a request that ended late or lost against its hedge.
	Slow bool
	// Overloaded is set while a recent load report shows more requests than slots.
	Overloaded bool
	// Leaving is set while any sign says that the target leaves.
	Leaving bool
	// Failing is set while the target cannot be reached from this VM.
	Failing bool
	// ColdSince is when the target started cold or came back; zero when it is warm.
	ColdSince time.Time
}

// RegionState is what the VM may use of a region for one service.
type RegionState struct {
	Region cardamompass.Region
	// Share is the number of the region's slots that the VM may use, own units and loans.
	Share int
	// ColdSince is when this VM's traffic started to shift to the region; zero when it is warm.
	ColdSince time.Time
	// LinkUnits and ShiftUnits report whether units are available for a request that crosses to the region.
	LinkUnits  bool
	ShiftUnits bool
}

// Snapshot is the state on which one decision for one service rests. It is immutable during the decision.
type Snapshot struct {
	Now time.Time
	// VMRegion is the region of the entry VM.
	VMRegion cardamompass.Region
	// Usual is the service's usual latency; zero when it is not known yet.
	Usual   time.Duration
	Targets []TargetState
	Regions []RegionState
}

// Request is the part of a caller's request on which a decision depends.
type Request struct {
	// CallerRegion is tried first, then Near in its order.
	CallerRegion    cardamompass.Region
	FallbackRegions []cardamompass.Region
	// Exclude lists targets that already carried an attempt of the request.
	Exclude []cardamompass.TargetID
	// Limit bounds the candidates; DefaultLimit when it is zero.
	Limit int
}

// Rank returns the weight of a target for a VM in the rendezvous order.
func Rank(vid cardamompass.VMID, tid cardamompass.TargetID) (rank uint64) {
	var buf [128]byte
	key := append(buf[:0], vid...)
	key = append(key, 0)
	key = append(key, tid...)
	return xxhash.Sum64(key)
}

// Ramp returns the usable part, from 0.25 to 1, of a target or region that is cold since the given time. The zero
// time stands for a warm one.
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
	return rampStart + (1-rampStart)*float64(age)/float64(RampUp)
}

// Straggler reports whether the target is a straggler: its oldest own request is older than three times the usual
// latency, or a request on it ended late a short time ago.
func (tst *TargetState) Straggler(usual time.Duration, now time.Time) (yes bool) {
	if tst.Slow {
		return true
	}
	return usual > 0 && !tst.OldestStart.IsZero() && now.Sub(tst.OldestStart) > StragglerFactor*usual
}

// avoided reports whether the target must get no new work.
func (tst *TargetState) avoided() (yes bool) { return tst.Leaving || tst.Failing }

// limit returns the number of own requests that the target may have in flight. A cold target gets at least one, or it
// would never warm up.
func (tst *TargetState) limit(now time.Time) (slots int) {
	slots = min(tst.Slots, tst.UsableSlots)
	if slots <= 0 {
		return 0
	}
	return max(1, int(float64(slots)*Ramp(tst.ColdSince, now)))
}
