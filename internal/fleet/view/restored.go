package view

import (
	"maps"
	"time"

	"cardamompass"
)

const (
	// restoredTime is the time after a listing of a store that has come back from a copy within which all that is still true has been written
	// again, and within which the entries of targets and VMs that have ended have lapsed. It is longer than three heartbeats of a target.
	restoredTime = 5 * time.Second
	// removalMemory is how long a View remembers that the entry of an instance was removed. Copies are some seconds old.
	removalMemory = time.Minute
)

// removal is the removal of an instance's entry.
type removal struct {
	startMillis int64
	at          time.Time
}

// doubts is what a View keeps although a store that has come back from a copy does not have it, until it is written again or until the time
// is over.
type doubts struct {
	until time.Time
	// instances are instances that the View treats as leaving, as the entries of the store describe them.
	instances map[cardamompass.InstanceID]cardamompass.Instance
	evacuated map[cardamompass.FailureDomain]bool
	vms       map[cardamompass.VMID]bool
	crashes   map[cardamompass.Crash]bool
}

// WithRestored returns the view after a full listing of a store that has come back from a copy and begun another era. The copy lacks the
// latest changes, which are written again by those who made them. Until restoredTime has passed, the view keeps what it knew beyond the
// listing: evacuations, VMs, crashes, and that instances are leaving or gone. Instances that are not listed are kept until they have had time
// to register again, as after an outage.
func (vew *View) WithRestored(
	chs []cardamompass.Change, at cardamompass.Position, out Outage, now time.Time,
) (next *View) {
	if !out.Ongoing {
		out.Ended = now
	}
	next = vew.WithListing(chs, at, out, now)
	dbt := &doubts{
		until:     now.Add(restoredTime),
		instances: make(map[cardamompass.InstanceID]cardamompass.Instance),
		evacuated: missing(vew.evacuated, next.evacuated),
		vms:       make(map[cardamompass.VMID]bool),
		crashes:   missing(vew.crashes, next.crashes),
	}
	for id, ins := range next.instances {
		if !ins.Leaving && vew.knowsEnd(ins) {
			dbt.instances[id] = ins
			ins.Leaving = true
			next.instances[id] = ins
		}
	}
	for id := range missing(vew.vms, next.vms) {
		dbt.vms[id] = true
		next.vms[id] = vew.vms[id]
	}
	maps.Copy(next.evacuated, dbt.evacuated)
	maps.Copy(next.crashes, dbt.crashes)
	next.doubts = dbt
	next.index()
	return next
}

// missing returns the keys of old that next does not have.
func missing[K comparable, V any](old, next map[K]V) (keys map[K]bool) {
	keys = make(map[K]bool)
	for key := range old {
		if _, ok := next[key]; !ok {
			keys[key] = true
		}
	}
	return keys
}

// knowsEnd reports whether the view knows that this start of an instance is leaving or that its entry was removed.
func (vew *View) knowsEnd(ins cardamompass.Instance) (ok bool) {
	if known, ok := vew.instances[ins.ID]; ok {
		return known.Leaving && known.StartMillis == ins.StartMillis
	}
	rem, ok := vew.removed[ins.ID]
	return ok && rem.startMillis == ins.StartMillis
}

// InDoubt reports whether the view keeps what a store that has come back from a copy does not have.
func (vew *View) InDoubt() (ok bool) { return vew.doubts != nil }

// LostCrashes returns the crashes that the view keeps although the store has lost their reports.
func (vew *View) LostCrashes() (list []cardamompass.Crash) {
	if vew.doubts == nil {
		return nil
	}
	for crs := range vew.doubts.crashes {
		list = append(list, crs)
	}
	return list
}

// WithoutDoubts returns the view without what it kept beyond a listing of a restored store, if the time for that is over.
func (vew *View) WithoutDoubts(now time.Time) (next *View) {
	if vew.doubts == nil || now.Before(vew.doubts.until) {
		return vew
	}
	next = vew.clone()
	next.doubts = nil
	for id, ins := range vew.doubts.instances {
		next.instances[id] = ins
	}
	for dom := range vew.doubts.evacuated {
		delete(next.evacuated, dom)
	}
	for id := range vew.doubts.vms {
		delete(next.vms, id)
	}
	for crs := range vew.doubts.crashes {
		delete(next.crashes, crs)
	}
	next.index()
	return next
}

// settled returns the doubts without those that changes settle.
func (dbt *doubts) settled(chs []cardamompass.Change) (next *doubts) {
	if dbt == nil {
		return nil
	}
	next = &doubts{
		until:     dbt.until,
		instances: maps.Clone(dbt.instances),
		evacuated: maps.Clone(dbt.evacuated),
		vms:       maps.Clone(dbt.vms),
		crashes:   maps.Clone(dbt.crashes),
	}
	for _, chg := range chs {
		next.settle(chg)
	}
	return next
}

func (dbt *doubts) settle(chg cardamompass.Change) {
	delete(dbt.instances, chg.InstanceRemoved)
	delete(dbt.evacuated, chg.Evacuated)
	delete(dbt.evacuated, chg.Restored)
	delete(dbt.vms, chg.VMRemoved)
	if chg.Instance != nil {
		delete(dbt.instances, chg.Instance.ID)
	}
	if chg.VM != nil {
		delete(dbt.vms, chg.VM.ID)
	}
	if chg.Crash != nil {
		delete(dbt.crashes, *chg.Crash)
	}
	if chg.CrashRemoved != nil {
		delete(dbt.crashes, *chg.CrashRemoved)
	}
}

func (vew *View) recordRemoval(ins cardamompass.Instance, now time.Time) {
	vew.removed[ins.ID] = removal{
		startMillis: ins.StartMillis,
		at:          now,
	}
}

func (vew *View) forgetRemovals(now time.Time) {
	for id, rem := range vew.removed {
		if now.Sub(rem.at) > removalMemory {
			delete(vew.removed, id)
		}
	}
}
