package route

import "cardamompass"

// Reason says why a target or a region was chosen or rejected.
type Reason uint8

const (
	// ReasonLowestInFlight is a choice by the lowest in-flight count of the VM relative to slots.
	ReasonLowestInFlight Reason = iota + 1
	// ReasonRendezvous is a choice by the rendezvous order among equally loaded targets.
	ReasonRendezvous
	// ReasonOtherDomain is a choice because the previous candidate is in another failure domain.
	ReasonOtherDomain
	// ReasonOnlyStraggler is the choice of a straggler because only stragglers remain.
	ReasonOnlyStraggler
	// ReasonRoundRobin is the choice of the naive baseline.
	ReasonRoundRobin
	// ReasonNearestAvailable is the choice of the nearest region with free capacity.
	ReasonNearestAvailable
	// ReasonLeaving rejects a target that is leaving.
	ReasonLeaving
	// ReasonFailing rejects a target that cannot be reached.
	ReasonFailing
	// ReasonExcluded rejects a target to which an attempt of the request was already sent.
	ReasonExcluded
	// ReasonTargetFull rejects a target whose usable slots are all in use by requests of the VM.
	ReasonTargetFull
	// ReasonOverLimit rejects a target that ranks after the requested number of candidates.
	ReasonOverLimit
	// ReasonFartherRegion rejects a region because a nearer one has free capacity.
	ReasonFartherRegion
	// ReasonNoShare rejects a region in which the VM has no usable share left, or none at all.
	ReasonNoShare
	// ReasonNoLinkUnits rejects a region because no link units are available.
	ReasonNoLinkUnits
	// ReasonNoShiftUnits rejects a region because no shift units are available.
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

// Candidate is a target to which the request may be sent.
type Candidate struct {
	Target cardamompass.TargetID
	Region cardamompass.Region
	Reason Reason
	// Limit bounds the VM's requests in flight on the target, RegionLimit those on all targets of the region that are not
	// avoided, and Share those on all targets of the region. They are checked again when the request begins.
	Limit       int
	RegionLimit int
	Share       int
	// NeedsLink and NeedsShift report whether the request needs units of the link and of the shift.
	NeedsLink  bool
	NeedsShift bool
}

// Rejection is a target to which the request may not be sent.
type Rejection struct {
	Target cardamompass.TargetID
	Reason Reason
}

// RegionVerdict is the reason why a region was chosen or rejected.
type RegionVerdict struct {
	Region cardamompass.Region
	Reason Reason
}

// Decision is the result of Decide. It is kept for the state dump. Candidates is empty when no region has free
// capacity.
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

// Reset returns an empty decision that reuses the slices of dec.
func (dec *Decision) Reset() (empty Decision) {
	return Decision{
		Candidates: dec.Candidates[:0],
		Rejections: dec.Rejections[:0],
		Regions:    dec.Regions[:0],
	}
}
