package place

import (
	"time"

	"cardamompass"
)

const (
	// standingRetention is the time for which the standing of a start of an instance outlasts its registration. A registration may lapse
	// with the store and come back, which is not a new start.
	standingRetention = 10 * time.Minute
	// hintTime is the time for which another VM's report that an instance is leaving counts. After it, this VM may send a request, whose
	// response tells.
	hintTime = 10 * time.Second
)

// startKey identifies one start of an instance.
type startKey struct {
	id     cardamompass.InstanceID
	millis int64
}

// standing is what one start of an instance has asked of this VM. It never ends before the start does, except for a back-off, whose
// end is known from the beginning.
type standing struct {
	// leaving is set once the instance has stated to this VM that it is leaving.
	leaving bool
	// leavingHint is the time until which the instance counts as leaving because another VM reported it.
	leavingHint time.Time
	// backoffUntil is the time until which the instance wants no requests.
	backoffUntil time.Time
	// registeredAt is the last time at which the start was registered.
	registeredAt time.Time
}

// isLeaving reports whether the instance has stated that it is leaving, to this VM or recently to another.
func (stn *standing) isLeaving(now time.Time) (ok bool) {
	return stn.leaving || now.Before(stn.leavingHint)
}

// News tells what the outcome of a request has changed.
type News struct {
	// Leaving is set when the instance stated for the first time that it is leaving.
	Leaving bool
	// Backoff is set when the instance asked for a longer back-off than the current one.
	Backoff bool
}

// record records what the instance stated in a response.
func (stn *standing) record(out Outcome, now time.Time) (news News) {
	if out.Leaving && !stn.leaving {
		stn.leaving = true
		news.Leaving = true
	}
	if until := now.Add(out.Backoff); out.Backoff > 0 && until.After(stn.backoffUntil) {
		news.Backoff = !now.Before(stn.backoffUntil)
		stn.backoffUntil = until
	}
	return news
}

// standing returns the standing of a start of an instance.
func (bal *Balancer) standing(id cardamompass.InstanceID, startMillis int64, now time.Time) (stn *standing) {
	key := startKey{
		id:     id,
		millis: startMillis,
	}
	stn, ok := bal.standings[key]
	if !ok {
		stn = &standing{
			registeredAt: now,
		}
		bal.standings[key] = stn
	}
	return stn
}

// newStart returns the standing of a start that was registered in place of another one. Starts that state no time can't be told
// apart by it, so that the standing begins anew.
func (bal *Balancer) newStart(ins cardamompass.Instance, replaced bool, now time.Time) (stn *standing) {
	if replaced && ins.StartMillis == 0 {
		delete(bal.standings, startKey{
			id: ins.ID,
		})
	}
	return bal.standing(ins.ID, ins.StartMillis, now)
}

// syncStanding updates the standing of a registered instance. A changed registration that does not say that the instance is leaving
// ends the hints of other VMs; what the instance itself has stated stays.
func (bal *Balancer) syncStanding(sta *state, ins cardamompass.Instance, now time.Time) {
	sta.standing.registeredAt = now
	if sta.ins != ins && !ins.Leaving {
		sta.standing.leavingHint = time.Time{}
	}
}

// pruneStandings discards the standings of starts that have not been registered for standingRetention.
func (bal *Balancer) pruneStandings(now time.Time) {
	for key, stn := range bal.standings {
		if now.Sub(stn.registeredAt) > standingRetention {
			delete(bal.standings, key)
		}
	}
}

// RecordPeerLeaving records that an instance stated to another VM that it is leaving. It only ever withholds requests, and only for
// a time.
func (bal *Balancer) RecordPeerLeaving(id cardamompass.InstanceID, startMillis int64, now time.Time) {
	bal.mu.Lock()
	defer bal.mu.Unlock()
	if sta, ok := bal.states[id]; ok && sta.ins.StartMillis == startMillis {
		sta.standing.leavingHint = now.Add(hintTime)
	}
}

// MaySend reports whether an instance that was chosen earlier still wants requests: it is registered and has not stated since that
// it is leaving or that it wants none for a time.
func (bal *Balancer) MaySend(ins cardamompass.Instance, now time.Time) (ok bool) {
	bal.mu.Lock()
	defer bal.mu.Unlock()
	sta, known := bal.states[ins.ID]
	if !known || !sta.ins.SameStart(ins) {
		return false
	}
	return !sta.ins.Leaving && !sta.standing.leaving && !now.Before(sta.standing.backoffUntil)
}
