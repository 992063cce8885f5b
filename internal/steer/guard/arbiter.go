package guard

import (
	"sync"
	"time"

	"cardamompass"
)

// Arbiter allows the suspects of only one VM at a time to run on a target. A Guard sees only the suspects of its own VM, and if a target
// crashes while suspects of two VMs run on it, the cause can't be determined. All VMs use the Arbiter of the same VM for a target. An
// Arbiter keeps its reservations in memory only, so a VM that takes over the role may grant targets that are still reserved. Suspects of
// two VMs may then run on one target, as they may when VMs can't reach each other. An Arbiter is safe for concurrent use and reads no
// clock.
type Arbiter struct {
	mut          sync.Mutex
	reservations map[cardamompass.TargetID]reservation
}

type reservation struct {
	holder cardamompass.VMID
	until  time.Time
}

// NewArbiter returns an Arbiter without reservations.
func NewArbiter() (arb *Arbiter) {
	return &Arbiter{
		reservations: make(map[cardamompass.TargetID]reservation),
	}
}

// Reserve reports whether suspects of the VM may run on the target. If so, the target is reserved for the VM until Release is called or
// left has passed. When the VM already holds a reservation, the later end applies.
func (arb *Arbiter) Reserve(tid cardamompass.TargetID, vid cardamompass.VMID, left time.Duration, now time.Time) (ok bool) {
	arb.mut.Lock()
	defer arb.mut.Unlock()
	res, held := arb.reservations[tid]
	if held && res.holder != vid && now.Before(res.until) {
		return false
	}
	until := now.Add(left)
	if held && res.holder == vid {
		until = latest(res.until, until)
	}
	arb.reservations[tid] = reservation{
		holder: vid,
		until:  until,
	}
	return true
}

// Release ends the reservation of the target if it is held by the VM.
func (arb *Arbiter) Release(tid cardamompass.TargetID, vid cardamompass.VMID) {
	arb.mut.Lock()
	defer arb.mut.Unlock()
	if arb.reservations[tid].holder == vid {
		delete(arb.reservations, tid)
	}
}
