package share

import (
	"time"

	"cardamompass"
)

// LoanState is one loan in a state dump.
type LoanState struct {
	VM       cardamompass.VMID `json:"vm"`
	Units    int64             `json:"units"`
	TimeLeft string            `json:"time-left"`
}

// ResourceState is one resource in a state dump.
type ResourceState struct {
	Name        string      `json:"name"`
	Capacity    int64       `json:"capacity"`
	Owned       int64       `json:"owned"`
	Usable      int64       `json:"usable"`
	InUse       int64       `json:"in-use"`
	UnmetDemand bool        `json:"short"`
	Lent        []LoanState `json:"lent,omitempty"`
	Borrowed    []LoanState `json:"borrowed,omitempty"`
}

// State is the state of a Pool in a state dump.
type State struct {
	LeaseID       cardamompass.LeaseID `json:"lease-id"`
	LeaseTimeLeft string               `json:"lease-time-left"`
	Resources     []ResourceState      `json:"resources"`
}

// State returns a snapshot of the pool for a state dump.
func (pol *Pool) State() (sta State) {
	now := pol.cfg.Clock.Now()
	lse := pol.lease.Load()
	sta = State{
		LeaseID:       lse.id,
		LeaseTimeLeft: timeLeft(lse.ends, now),
	}
	for _, name := range pol.names() {
		sta.Resources = append(sta.Resources, pol.allocation(name).state(now, lse.ends))
	}
	return sta
}

func (alc *allocation) state(now, leaseEnds time.Time) (sta ResourceState) {
	alc.mtx.Lock()
	defer alc.mtx.Unlock()
	sta = ResourceState{
		Name:        alc.res.Name,
		Capacity:    alc.res.Capacity,
		Owned:       alc.units,
		Usable:      alc.usable(now, leaseEnds),
		InUse:       alc.inUse,
		UnmetDemand: alc.hasUnmetDemand(now),
	}
	if alc.res.Kind == KindRate {
		sta.InUse = alc.usage.perSecond(now)
	}
	for vmi, grants := range alc.lent.byBorrower {
		for _, grt := range grants {
			sta.Lent = append(sta.Lent, LoanState{
				VM:       vmi.vm,
				Units:    grt.units,
				TimeLeft: timeLeft(grt.ends, now),
			})
		}
	}
	for vmi, lon := range alc.borrowed {
		sta.Borrowed = append(sta.Borrowed, LoanState{
			VM:       vmi.vm,
			Units:    lon.units,
			TimeLeft: timeLeft(lon.ends, now),
		})
	}
	return sta
}

func timeLeft(ends, now time.Time) string {
	return max(0, ends.Sub(now)).Round(time.Millisecond).String()
}
