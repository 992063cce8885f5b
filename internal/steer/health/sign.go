package health

import (
	"time"

	"cardamompass"
)

// LeaveSignal is a source that says that a target leaves.
type LeaveSignal uint8

const (
	// SignalVMList is the platform's VM list.
	SignalVMList LeaveSignal = iota
	// SignalDrainAnswer is an answer of the target that names the state draining.
	SignalDrainAnswer
	// SignalHealthProbe is the target's health endpoint.
	SignalHealthProbe
	// SignalPeerReport is the report of another entry VM.
	SignalPeerReport
	signCount
)

// Life times of the signs. A sign that is seen again lasts longer.
const (
	// listLife covers several reads of the VM list, which lags.
	listLife = 30 * time.Second
	// drainLife is long because the target itself said so, and health endpoints lag.
	drainLife = 30 * time.Second
	// probeLife covers a few probes, so that a health endpoint that flaps does not restore the target.
	probeLife = 5 * time.Second
	// PeerReportTTL is how long the report of a peer lasts unless an own sign confirms it.
	PeerReportTTL = 10 * time.Second
	// confirmLife bounds the time for which the word of the target, in a drain answer or a probe, lasts beyond its life
	// time while no own probe says that it serves. Without the bound, a health endpoint that never answers again would
	// cost the VM the target.
	confirmLife = 2 * time.Minute
)

// String returns the kebab-case name of the sign.
func (sgn LeaveSignal) String() (name string) {
	switch sgn {
	case SignalVMList:
		return "vm-list"
	case SignalDrainAnswer:
		return "drain-answer"
	case SignalHealthProbe:
		return "health-probe"
	case SignalPeerReport:
		return "peer-report"
	default:
		return "invalid"
	}
}

// MarshalText implements encoding.TextMarshaler for the state dump.
func (sgn LeaveSignal) MarshalText() (text []byte, err error) { return []byte(sgn.String()), nil }

// own reports whether this VM saw the sign itself. Only own signs are sent to peers, so that a report does not circulate.
func (sgn LeaveSignal) own() (yes bool) { return sgn != SignalPeerReport }

func (sgn LeaveSignal) life() (lif time.Duration) {
	switch sgn {
	case SignalVMList:
		return listLife
	case SignalDrainAnswer:
		return drainLife
	case SignalHealthProbe:
		return probeLife
	default:
		return PeerReportTTL
	}
}

// signs is the set of signs of one target. It is a value: with methods return a changed copy.
type signs struct {
	until [signCount]time.Time
	// confirmBy is the end of the time in which an own probe must say that the target serves; zero when it did.
	confirmBy time.Time
}

// with returns the set after one more sign. fresh reports that no own sign was in force, so that peers must learn of
// this one.
func (sgs signs) with(sgn LeaveSignal, now time.Time) (next signs, fresh bool) {
	fresh = sgn.own()
	for one := range signCount {
		fresh = fresh && (!one.own() || !now.Before(sgs.until[one]))
	}
	sgs.until[sgn] = now.Add(sgn.life())
	if sgn == SignalDrainAnswer || sgn == SignalHealthProbe {
		sgs.confirmBy = now.Add(confirmLife)
	}
	return sgs, fresh
}

// withServing returns the set after an own probe that found the target serving. It ends no sign early, because health
// endpoints lag.
func (sgs signs) withServing(now time.Time) (next signs) {
	if !now.Before(sgs.until[SignalDrainAnswer]) && !now.Before(sgs.until[SignalHealthProbe]) {
		sgs.confirmBy = time.Time{}
	}
	return sgs
}

func (sgs signs) leaving(now time.Time) (yes bool) {
	if now.Before(sgs.confirmBy) {
		return true
	}
	for _, unt := range sgs.until {
		if now.Before(unt) {
			return true
		}
	}
	return false
}

func (sgs signs) view(now time.Time) (vws []SignalView) {
	for sgn, unt := range sgs.until {
		own := LeaveSignal(sgn)
		if (own == SignalDrainAnswer || own == SignalHealthProbe) && !unt.IsZero() && sgs.confirmBy.After(unt) {
			unt = sgs.confirmBy
		}
		if now.Before(unt) {
			vws = append(vws, SignalView{
				Signal: own,
				Until:  unt,
			})
		}
	}
	return vws
}

// LeavingReport tells a peer that a target leaves.
type LeavingReport struct {
	Target cardamompass.TargetID
	Signal LeaveSignal
}
