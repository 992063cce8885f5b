package health

import (
	"time"

	"cardamompass"
)

// Sign is a source that says that a target leaves.
type Sign uint8

const (
	// SignList is the platform's VM list.
	SignList Sign = iota
	// SignDrain is an answer of the target that names the state draining.
	SignDrain
	// SignProbe is the target's health endpoint.
	SignProbe
	// SignPeer is the report of another entry VM.
	SignPeer
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
	// PeerLife is how long the report of a peer lasts unless an own sign confirms it.
	PeerLife = 10 * time.Second
	// confirmLife bounds the time for which the word of the target, in a drain answer or a probe, lasts beyond its life
	// time while no own probe says that it serves. Without the bound, a health endpoint that never answers again would
	// cost the VM the target.
	confirmLife = 2 * time.Minute
)

// String returns the kebab-case name of the sign.
func (sgn Sign) String() (name string) {
	switch sgn {
	case SignList:
		return "vm-list"
	case SignDrain:
		return "drain-answer"
	case SignProbe:
		return "health-probe"
	case SignPeer:
		return "peer-report"
	default:
		return "invalid"
	}
}

// MarshalText implements encoding.TextMarshaler for the state dump.
func (sgn Sign) MarshalText() (text []byte, err error) { return []byte(sgn.String()), nil }

// own reports whether this VM saw the sign itself. Only own signs are sent to peers, so that a report does not circulate.
func (sgn Sign) own() (yes bool) { return sgn != SignPeer }

func (sgn Sign) life() (lif time.Duration) {
	switch sgn {
	case SignList:
		return listLife
	case SignDrain:
		return drainLife
	case SignProbe:
		return probeLife
	default:
		return PeerLife
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
func (sgs signs) with(sgn Sign, now time.Time) (next signs, fresh bool) {
	fresh = sgn.own()
	for one := range signCount {
		fresh = fresh && (!one.own() || !now.Before(sgs.until[one]))
	}
	sgs.until[sgn] = now.Add(sgn.life())
	if sgn == SignDrain || sgn == SignProbe {
		sgs.confirmBy = now.Add(confirmLife)
	}
	return sgs, fresh
}

// withServing returns the set after an own probe that found the target serving. It ends no sign early, because health
// endpoints lag.
func (sgs signs) withServing(now time.Time) (next signs) {
	if !now.Before(sgs.until[SignDrain]) && !now.Before(sgs.until[SignProbe]) {
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

func (sgs signs) view(now time.Time) (vws []SignView) {
	for sgn, unt := range sgs.until {
		own := Sign(sgn)
		if (own == SignDrain || own == SignProbe) && !unt.IsZero() && sgs.confirmBy.After(unt) {
			unt = sgs.confirmBy
		}
		if now.Before(unt) {
			vws = append(vws, SignView{
				Sign:  own,
				Until: unt,
			})
		}
	}
	return vws
}

// LeavingReport tells a peer that a target leaves.
type LeavingReport struct {
	Target cardamompass.TargetID
	Sign   Sign
}
