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
	Name     string      `json:"name"`
	Capacity int64       `json:"capacity"`
	Owned    int64       `json:"owned"`
	Usable   int64       `json:"usable"`
	InUse    int64       `json:"in-use"`
	Short    bool        `json:"short"`
	Lent     []LoanState `json:"lent,omitempty"`
	Borrowed []LoanState `json:"borrowed,omitempty"`
}

// State is the state of a Pool for a dump.
type State struct {
	LeaseID       cardamompass.LeaseID `json:"lease-id"`
	LeaseTimeLeft string               `json:"lease-time-left"`
	Resources     []ResourceState      `json:"resources"`
}

// State returns a snapshot for a dump.
func (pol *Pool) State() (sta State) {
	now := pol.cfg.Clock.Now()
	lse := pol.lease.Load()
	sta = State{
		LeaseID:       lse.id,
		LeaseTimeLeft: timeLeft(lse.ends, now),
	}
	for _, name := range pol.names() {
		sta.Resources = append(sta.Resources, pol.cell(name).state(now, lse.ends))
	}
	return sta
}

func (cel *cell) state(now, leaseEnds time.Time) (sta ResourceState) {
	cel.mtx.Lock()
	defer cel.mtx.Unlock()
	sta = ResourceState{
		Name:     cel.res.Name,
		Capacity: cel.res.Capacity,
		Owned:    cel.units,
		Usable:   cel.usable(now, leaseEnds),
		InUse:    cel.inUse,
		Short:    cel.short(now),
	}
	if cel.res.Kind == KindRate {
		sta.InUse = cel.use.perSecond(now)
	}
	for pty, grants := range cel.lent.grants {
		for _, lnd := range grants {
			sta.Lent = append(sta.Lent, LoanState{
				VM:       pty.vm,
				Units:    lnd.units,
				TimeLeft: timeLeft(lnd.ends, now),
			})
		}
	}
	for pty, brw := range cel.borrowed {
		sta.Borrowed = append(sta.Borrowed, LoanState{
			VM:       pty.vm,
			Units:    brw.units,
			TimeLeft: timeLeft(brw.ends, now),
		})
	}
	return sta
}

func timeLeft(ends, now time.Time) string {
	return max(0, ends.Sub(now)).Round(time.Millisecond).String()
}
