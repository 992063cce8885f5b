// Package view holds a snapshot of the fleet as recorded in the platform's store, and follows the store's changes.
//
// A View is an immutable snapshot: the routing table, the registered instances of targets, the evacuated failure domains, the
// running VMs and the crashes of targets. A Follower lists the store, watches it and publishes a new View after each
// change. The version of the routing table in a process never decreases.
//
// A store that comes back from a copy has lost its latest changes, and those who made them write them again. Until they have had the time to
// do so, a View keeps what it knew; see WithRestored.
package view

import (
	"maps"
	"slices"
	"strings"
	"time"

	"cardamompass"
	"cardamompass/internal/steer/crash"
)

// Outage describes the latest period in which the store did not respond.
type Outage struct {
	// Ended is the time of the first response of the store after the outage; zero during an outage and if there was none.
	Ended time.Time
	// Ongoing is set while the store does not respond.
	Ongoing bool
}

// ReregisterTime is the time after the detected recovery of the store within which targets whose entries lapsed during the outage
// register again. They do so within two seconds of the recovery, which is detected a little later.
const ReregisterTime = 1800 * time.Millisecond

// View is a snapshot of the fleet.
type View struct {
	// Table is the routing table, nil until one is known.
	Table *cardamompass.RoutingTable
	// Revision is the store's revision up to which changes are applied, Era the era to which it belongs.
	Revision int64
	Era      string

	instances    map[cardamompass.InstanceID]cardamompass.Instance
	missingUntil map[cardamompass.InstanceID]time.Time // instances without an entry, kept until this time
	evacuated    map[cardamompass.FailureDomain]bool
	vms          map[cardamompass.VMID]cardamompass.VM
	crashes      map[cardamompass.Crash]bool
	removed      map[cardamompass.InstanceID]removal // instances whose entries were removed within removalMemory
	doubts       *doubts                             // nil unless the store has come back from a copy a short time ago; never modified
	crashesOf    map[string][]cardamompass.Crash     // by fingerprint
	byService    map[cardamompass.ServiceName][]cardamompass.Instance
	sortedVMs    []cardamompass.VM // vms sorted by id
}

// Empty returns an empty View.
func Empty() (vew *View) { return &View{} }

// Position returns the position of the store up to which changes are applied.
func (vew *View) Position() (pos cardamompass.Position) {
	return cardamompass.Position{
		Era:      vew.Era,
		Revision: vew.Revision,
	}
}

// Instances returns the registered instances of a service, sorted by id. Callers must not modify the result.
func (vew *View) Instances(svc cardamompass.ServiceName) (list []cardamompass.Instance) {
	return vew.byService[svc]
}

// Instance returns the instance with an id.
func (vew *View) Instance(id cardamompass.InstanceID) (ins cardamompass.Instance, ok bool) {
	ins, ok = vew.instances[id]
	return ins, ok
}

// All returns all instances, in no particular order.
func (vew *View) All() (list []cardamompass.Instance) {
	return slices.Collect(maps.Values(vew.instances))
}

// Evacuated reports whether a failure domain is evacuated, so that its targets must get no requests.
func (vew *View) Evacuated(dom cardamompass.FailureDomain) bool { return vew.evacuated[dom] }

// VMs returns the running VMs, sorted by id. Callers must not modify the result.
func (vew *View) VMs() (list []cardamompass.VM) { return vew.sortedVMs }

// VM returns the entry of a running VM.
func (vew *View) VM(id cardamompass.VMID) (vmc cardamompass.VM, ok bool) {
	vmc, ok = vew.vms[id]
	return vmc, ok
}

// Crashes returns the number of times that an instance crashed while a request with this fingerprint was in flight there. Instances that
// crashed after different starts count for each of them.
func (vew *View) Crashes(fingerprint string) (count int) {
	return crash.Count(vew.crashesOf[fingerprint])
}

// CrashReports returns the reported crashes of requests with this fingerprint. Callers must not modify the result.
func (vew *View) CrashReports(fingerprint string) (list []cardamompass.Crash) {
	return vew.crashesOf[fingerprint]
}

// WithChanges returns the view after changes, applied in order. now is the time at which they were received.
func (vew *View) WithChanges(chs []cardamompass.Change, revision int64, out Outage, now time.Time) (next *View) {
	next = vew.clone()
	next.Revision = revision
	next.forgetRemovals(now)
	next.doubts = vew.doubts.settled(chs)
	for _, chg := range chs {
		next.apply(chg, out, now)
	}
	next.index()
	return next
}

// WithListing returns the view after a full listing of the store. Entries that the listing does not contain are removed, except
// the routing table.
func (vew *View) WithListing(
	chs []cardamompass.Change, at cardamompass.Position, out Outage, now time.Time,
) (next *View) {
	next = vew.clone()
	next.Revision, next.Era = at.Revision, at.Era
	next.evacuated = make(map[cardamompass.FailureDomain]bool)
	next.vms = make(map[cardamompass.VMID]cardamompass.VM)
	next.crashes = make(map[cardamompass.Crash]bool)
	listed := make(map[cardamompass.InstanceID]bool)
	for _, chg := range chs {
		next.apply(chg, out, now)
		if chg.Instance != nil {
			listed[chg.Instance.ID] = true
		}
	}
	for id := range next.instances {
		if !listed[id] {
			next.removeInstance(id, out, now)
		}
	}
	next.index()
	return next
}

// WithoutMissing returns the view without the instances that did not register again in time.
func (vew *View) WithoutMissing(now time.Time) (next *View, gone []cardamompass.InstanceID) {
	for id, until := range vew.missingUntil {
		if now.After(until) {
			gone = append(gone, id)
		}
	}
	if len(gone) == 0 {
		return vew, nil
	}
	next = vew.clone()
	for _, id := range gone {
		next.recordRemoval(next.instances[id], now)
		delete(next.instances, id)
		delete(next.missingUntil, id)
	}
	next.index()
	return next, gone
}

func (vew *View) clone() (next *View) {
	next = &View{
		Table:        vew.Table,
		Revision:     vew.Revision,
		Era:          vew.Era,
		instances:    maps.Clone(vew.instances),
		missingUntil: maps.Clone(vew.missingUntil),
		evacuated:    maps.Clone(vew.evacuated),
		vms:          maps.Clone(vew.vms),
		crashes:      maps.Clone(vew.crashes),
		removed:      maps.Clone(vew.removed),
		doubts:       vew.doubts,
	}
	if next.instances == nil {
		next.instances = make(map[cardamompass.InstanceID]cardamompass.Instance)
		next.missingUntil = make(map[cardamompass.InstanceID]time.Time)
		next.evacuated = make(map[cardamompass.FailureDomain]bool)
		next.vms = make(map[cardamompass.VMID]cardamompass.VM)
		next.crashes = make(map[cardamompass.Crash]bool)
		next.removed = make(map[cardamompass.InstanceID]removal)
	}
	return next
}

func (vew *View) apply(chg cardamompass.Change, out Outage, now time.Time) {
	switch {
	case chg.Table != nil:
		if vew.Table == nil || chg.Table.Version > vew.Table.Version {
			vew.Table = chg.Table
		}
	case chg.Instance != nil:
		vew.instances[chg.Instance.ID] = *chg.Instance
		delete(vew.missingUntil, chg.Instance.ID)
		delete(vew.removed, chg.Instance.ID)
	case chg.InstanceRemoved != "" && chg.Rejected != nil:
		delete(vew.instances, chg.InstanceRemoved)
		delete(vew.missingUntil, chg.InstanceRemoved)
	case chg.InstanceRemoved != "":
		vew.removeInstance(chg.InstanceRemoved, out, now)
	case chg.Evacuated != "":
		vew.evacuated[chg.Evacuated] = true
	case chg.Restored != "":
		delete(vew.evacuated, chg.Restored)
	case chg.VM != nil:
		vew.vms[chg.VM.ID] = *chg.VM
	case chg.VMRemoved != "":
		delete(vew.vms, chg.VMRemoved)
	case chg.Crash != nil:
		vew.crashes[*chg.Crash] = true
	case chg.CrashRemoved != nil:
		delete(vew.crashes, *chg.CrashRemoved)
	}
}

// removeInstance removes an instance, or keeps it until it has had time to register again if its entry may have lapsed only because
// of an outage of the store.
func (vew *View) removeInstance(id cardamompass.InstanceID, out Outage, now time.Time) {
	ins, known := vew.instances[id]
	if !known {
		return
	}
	mayReregister := out.Ongoing || (!out.Ended.IsZero() && now.Before(out.Ended.Add(ReregisterTime)))
	if ins.Leaving || !mayReregister {
		vew.recordRemoval(ins, now)
		delete(vew.instances, id)
		delete(vew.missingUntil, id)
		return
	}
	if _, already := vew.missingUntil[id]; !already {
		until := now.Add(ReregisterTime)
		if !out.Ongoing {
			until = out.Ended.Add(ReregisterTime)
		}
		vew.missingUntil[id] = until
	}
}

func (vew *View) index() {
	vew.byService = make(map[cardamompass.ServiceName][]cardamompass.Instance)
	for _, ins := range vew.instances {
		vew.byService[ins.Service] = append(vew.byService[ins.Service], ins)
	}
	vew.sortedVMs = slices.SortedFunc(maps.Values(vew.vms), func(one, two cardamompass.VM) int {
		return strings.Compare(string(one.ID), string(two.ID))
	})
	vew.crashesOf = make(map[string][]cardamompass.Crash)
	for crs := range vew.crashes {
		vew.crashesOf[crs.Fingerprint] = append(vew.crashesOf[crs.Fingerprint], crs)
	}
	for _, list := range vew.byService {
		slices.SortFunc(list, func(one, two cardamompass.Instance) int {
			return strings.Compare(string(one.ID), string(two.ID))
		})
	}
}
