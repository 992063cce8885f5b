package health

import (
	"time"

	"cardamompass"
)

// LeaveSignal is a source of information that a target is leaving.
type LeaveSignal uint8

const (
	// SignalVMList is the platform's VM list.
	SignalVMList LeaveSignal = iota
	// SignalDrainAnswer is a response of the target with the state draining.
	SignalDrainAnswer
	// SignalHealthProbe is the target's health endpoint.
	SignalHealthProbe
	// SignalPeerReport is the report of another entry VM.
	SignalPeerReport
	signalCount
)

// Lifetimes of the signals. A signal that is received again lasts longer.
const (
	// vmListTTL covers several reads of the VM list, which lags.
	vmListTTL = 30 * time.Second
	// drainAnswerTTL is long because the target itself reported the state, and health endpoints lag.
	drainAnswerTTL = 30 * time.Second
	// healthProbeTTL covers a few probes, so that a flapping health endpoint does not restore the target.
	healthProbeTTL = 5 * time.Second
	// PeerReportTTL is the lifetime of a peer's report unless an own signal confirms it.
	PeerReportTTL = 10 * time.Second
	// confirmTimeout bounds the time for which the state draining, reported by the target in a response or to a probe,
	// outlasts its lifetime while no own probe finds the target serving. Without the bound, the VM would never use a target
	// again whose health endpoint no longer responds.
	confirmTimeout = 2 * time.Minute
)

// String returns the kebab-case name of the signal.
func (sig LeaveSignal) String() (name string) {
	switch sig {
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
func (sig LeaveSignal) MarshalText() (text []byte, err error) { return []byte(sig.String()), nil }

// own reports whether the source of the signal is not another entry VM. Only own signals are sent to peers, so that a report
// does not circulate.
func (sig LeaveSignal) own() (yes bool) { return sig != SignalPeerReport }

func (sig LeaveSignal) ttl() (ttl time.Duration) {
	switch sig {
	case SignalVMList:
		return vmListTTL
	case SignalDrainAnswer:
		return drainAnswerTTL
	case SignalHealthProbe:
		return healthProbeTTL
	default:
		return PeerReportTTL
	}
}

// signals is the set of signals of one target. It is a value: with methods return a changed copy.
type signals struct {
	until [signalCount]time.Time
	// confirmBy is the time until which the target counts as leaving unless an own probe finds it serving; zero when no such
	// confirmation is needed.
	confirmBy time.Time
}

// with returns the set with one more signal. isNew reports that this is an own signal and that no own signal was active,
// so that it must be sent to the peers.
func (sgs signals) with(sig LeaveSignal, now time.Time) (next signals, isNew bool) {
	isNew = sig.own()
	for one := range signalCount {
		isNew = isNew && (!one.own() || !now.Before(sgs.until[one]))
	}
	sgs.until[sig] = now.Add(sig.ttl())
	if sig == SignalDrainAnswer || sig == SignalHealthProbe {
		sgs.confirmBy = now.Add(confirmTimeout)
	}
	return sgs, isNew
}

// withServing returns the set after an own probe that found the target serving. It ends no signal early, because health
// endpoints lag.
func (sgs signals) withServing(now time.Time) (next signals) {
	if !now.Before(sgs.until[SignalDrainAnswer]) && !now.Before(sgs.until[SignalHealthProbe]) {
		sgs.confirmBy = time.Time{}
	}
	return sgs
}

func (sgs signals) leaving(now time.Time) (yes bool) {
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

func (sgs signals) views(now time.Time) (vws []SignalView) {
	for sig, unt := range sgs.until {
		own := LeaveSignal(sig)
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

// LeavingReport reports to a peer that a target is leaving.
type LeavingReport struct {
	Target cardamompass.TargetID
	Signal LeaveSignal
}
