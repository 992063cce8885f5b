package route

import "cardamompass"

// Reason says why a target or a region was chosen or rejected.
type Reason uint8

const (
	// ReasonLowestInFlight is a choice by the lowest own in-flight count relative to slots.
	ReasonLowestInFlight Reason = iota + 1
	// ReasonRendezvous is a choice by the rendezvous order among equally loaded targets.
	ReasonRendezvous
	// ReasonOtherDomain is a choice because the previous candidate is in another failure domain.
	ReasonOtherDomain
	// ReasonOnlyStraggler is the choice of a straggler, for want of a better one.
	ReasonOnlyStraggler
	// ReasonRoundRobin is the choice of the naive baseline.
	ReasonRoundRobin
	// ReasonNearestAvailable is the choice of a region.
	ReasonNearestAvailable
	// ReasonLeaving rejects a target that leaves.
	ReasonLeaving
	// ReasonFailing rejects a target that cannot be reached.
	ReasonFailing
	// ReasonExcluded rejects a target that already carried an attempt of the request.
	ReasonExcluded
	// ReasonTargetFull rejects a target whose usable slots are all taken by own requests.
	ReasonTargetFull
	// ReasonOverLimit rejects a target that ranks behind as many candidates as were asked for.
	ReasonOverLimit
	// ReasonFartherRegion rejects a region behind a nearer one with room.
	ReasonFartherRegion
	// ReasonNoShare rejects a region in which the VM's usable share is in flight.
	ReasonNoShare
	// ReasonNoLinkUnits rejects a region for want of link units.
	ReasonNoLinkUnits
	// ReasonNoShiftUnits rejects a region for want of shift units.
	ReasonNoShiftUnits
	// ReasonNoTarget rejects a region in which no target may get the request.
	ReasonNoTarget
)

var reasonNames = [...]string{
	ReasonLowestInFlight:   "lowest-in-flight",
	ReasonRendezvous:       "rendezvous",
	ReasonOtherDomain:      "other-domain",
	ReasonOnlyStraggler:    "only-straggler",
	ReasonRoundRobin:       "round-robin",
	ReasonNearestAvailable: "nearest-with-room",
	ReasonLeaving:          "leaving",
	ReasonFailing:          "failing",
	ReasonExcluded:         "excluded",
	ReasonTargetFull:       "target-full",
	ReasonOverLimit:        "over-limit",
	ReasonFartherRegion:    "farther-region",
	ReasonNoShare:          "no-share",
	ReasonNoLinkUnits:      "no-link-units",
	ReasonNoShiftUnits:     "no-shift-units",
	ReasonNoTarget:         "no-target",
}

// String returns the kebab-case name of the reason.
func (rsn Reason) String() (name string) {
	if int(rsn) >= len(reasonNames) || reasonNames[rsn] == "" {
		return "invalid"
	}
	return reasonNames[rsn]
}

// MarshalText implements encoding.TextMarshaler for the state dump.
func (rsn Reason) MarshalText() (text []byte, err error) { return []byte(rsn.String()), nil }

// Candidate is one target that may carry the request.
type Candidate struct {
	Target cardamompass.TargetID
	Region cardamompass.Region
	Reason Reason
	// Limit is the largest own in-flight count on the target, RegionLimit the largest on all targets of the region that
	// are not avoided, and Share the largest on all targets of the region. The driver checks them again when it begins
	// the request.
	Limit       int
	RegionLimit int
	Share       int
	// NeedsLink and NeedsShift report whether the driver must spend units of the link and of the shift.
	NeedsLink  bool
	NeedsShift bool
}

// Rejection is one target that may not carry the request.
type Rejection struct {
	Target cardamompass.TargetID
	Reason Reason
}

// RegionVerdict says what became of one region.
type RegionVerdict struct {
	Region cardamompass.Region
	Reason Reason
}

// Decision is the outcome of Decide, kept for the state dump. Candidates is empty when no region has room.
type Decision struct {
	Candidates []Candidate
	Rejections []Rejection
	Regions    []RegionVerdict
}

// Best returns the first candidate.
func (dec *Decision) Best() (cnd Candidate, ok bool) {
	if len(dec.Candidates) == 0 {
		return Candidate{}, false
	}
	return dec.Candidates[0], true
}

// Reset returns an empty decision that reuses the memory of dec.
func (dec *Decision) Reset() (empty Decision) {
	return Decision{
		Candidates: dec.Candidates[:0],
		Rejections: dec.Rejections[:0],
		Regions:    dec.Regions[:0],
	}
}
