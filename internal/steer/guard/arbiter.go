package guard

import (
	"sync"
	"time"

	"cardamompass"
)

// Arbiter lets the suspects of only one VM at a time run on a target. Guards see the suspects of their own VM; two suspects of
// different VMs on a target that crashes could not be told apart. All VMs ask the same one about a target. An Arbiter keeps its
// reservations in memory, so that a VM that takes over for another one grants targets that are still in use; suspects may then meet, as
// they may when VMs do not reach each other. It is safe for concurrent use and reads no clock.
type Arbiter struct {
	mut  sync.Mutex
	held map[cardamompass.TargetID]reservation
}

type reservation struct {
	vmid  cardamompass.VMID
	until time.Time
}

// NewArbiter returns an Arbiter without reservations.
func NewArbiter() (arb *Arbiter) {
	return &Arbiter{
		held: make(map[cardamompass.TargetID]reservation),
	}
}

// Reserve reports whether suspects of the VM may run on the target. The target is then reserved for it until Release or until left has
// passed. A VM that holds the target already keeps it for the longer time.
func (arb *Arbiter) Reserve(tid cardamompass.TargetID, vid cardamompass.VMID, left time.Duration, now time.Time) (ok bool) {
	arb.mut.Lock()
	defer arb.mut.Unlock()
	res, held := arb.held[tid]
	if held && res.vmid != vid && now.Before(res.until) {
		return false
	}
	until := now.Add(left)
	if held && res.vmid == vid {
		until = latest(res.until, until)
	}
	arb.held[tid] = reservation{
		vmid:  vid,
		until: until,
	}
	return true
}

// Release ends the reservation of the target if the VM holds it.
func (arb *Arbiter) Release(tid cardamompass.TargetID, vid cardamompass.VMID) {
	arb.mut.Lock()
	defer arb.mut.Unlock()
	if arb.held[tid].vmid == vid {
		delete(arb.held, tid)
	}
}
