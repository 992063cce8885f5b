package view_test

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"cardamompass/internal/stand/pstore"
)

// loseHistory makes the store discard a change that the follower has not read, and then leave listings without an answer.
func loseHistory(sto *pstore.Store) {
	sto.SetFaults(pstore.Faults{Outage: true})
	sto.Put("op/evacuate/z-2", 1)
	sto.Compact()
	sto.SetFaults(pstore.Faults{SilentPath: "/v1/kv-range"})
}

// Guards against a listing that waits 10 s for its answer because the store got it while it was silent, although the store serves again.
// review/7 broke CONFIG, DRAIN and HOME with it.
func TestListingDuringSilence(t *testing.T) {
	tests := []struct {
		name    string
		silence time.Duration
	}{
		{"short silence", 0},
		{"silence of several listings", 4 * time.Second},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			t.Parallel()
			sto, flw := follow(t)
			sto.Put("op/config", map[string]any{"version": "00000001"})
			waitFor(t, changeBound, "first table", func() bool { return flw.View().Table != nil })
			loseHistory(sto)
			waitFor(t, changeBound, "listing", func() bool { return sto.Silenced() > 0 })
			time.Sleep(tst.silence)
			sto.SetFaults(pstore.Faults{})
			sto.Put("op/evacuate/z-1", 1)
			waitFor(t, changeBound, "change", func() bool { return flw.View().Evacuated("z-1") })
		})
	}
}

// Guards against a VM that starts while the store comes and goes, and is still waiting for a listing of the last silence when the store
// serves: review/8 broke RECOVER with it.
func TestStartDuringSilences(t *testing.T) {
	slf := newSlowFollower(t)
	slf.configure(1, 1)
	slf.sto.SetFaults(pstore.Faults{NoReply: true})
	slf.start()
	time.Sleep(6 * time.Second)
	slf.sto.SetFaults(pstore.Faults{})
	waitFor(t, changeBound, "first table", func() bool { return slf.View().Table != nil })
}

// Guards against a store that counts as answering while it leaves a listing unanswered: the VM then asks no other one for newer routing
// tables.
func TestUnansweredListingIsAnOutage(t *testing.T) {
	sto, flw := follow(t)
	sto.Put("op/config", map[string]any{"version": "00000001"})
	waitFor(t, changeBound, "first table", func() bool { return flw.View().Table != nil })
	loseHistory(sto)
	waitFor(t, changeBound, "outage", func() bool { return flw.OutageAge() > 0 })
	sto.SetFaults(pstore.Faults{})
	waitFor(t, changeBound, "end of the outage", func() bool { return flw.OutageAge() == 0 })
}

// Guards against a long watch that tells no changes, because the store was about to discard its history when the watch began: in a fleet of
// 77 VMs most of them followed nothing for 7.7 s, which broke CONFIG and HOME in 'killed-around-acknowledgements' on mbmu-rain-large.
func TestWatchThatTellsNoChanges(t *testing.T) {
	const (
		vms = 60
		// bound is the time after which VMs of such fleets must know all changes from before the store was sound again.
		bound = 4 * time.Second
	)
	sto, flw := follow(t)
	sto.Put("op/config", map[string]any{"version": "00000001"})
	for num := range vms {
		sto.Put(fmt.Sprintf("vm/vm-%d", num), map[string]string{"region": "r-1"})
	}
	waitFor(t, changeBound, "entries of VMs", func() bool { return len(flw.View().VMs()) == vms })
	sto.SetFaults(pstore.Faults{DeafWatches: true})
	sto.Delete("vm/vm-0") // ends the present watch
	waitFor(t, changeBound, "watch", func() bool { return sto.Silenced() > 0 })
	sto.Put("op/evacuate/z-1", 1)
	sto.Compact()
	sto.SetFaults(pstore.Faults{})
	waitFor(t, bound, "change", func() bool { return flw.View().Evacuated("z-1") })
}

// Guards against a long watch that the store got while it was silent for a moment, without any other call that shows the silence: nothing
// ends it before its time. Each long watch is therefore reported before it is sent, so that another call is made with it, whose failure ends
// the watch.
func TestLongWatchDuringSilence(t *testing.T) {
	const (
		vms = 60
		// shortWatch is the longest watch that need not be reported.
		shortWatch = 1500 * time.Millisecond
	)
	var reports atomic.Int64
	sto, flw := followWith(t, func() { reports.Add(1) })
	sto.Put("op/config", map[string]any{"version": "00000001"})
	for num := range vms {
		sto.Put(fmt.Sprintf("vm/vm-%d", num), map[string]string{"region": "r-1"})
	}
	waitFor(t, changeBound, "entries of VMs", func() bool { return len(flw.View().VMs()) == vms })
	sto.SetFaults(pstore.Faults{SilentPath: "/v1/kv-watch"})
	sto.Delete("vm/vm-0") // ends the present watch
	waitFor(t, changeBound, "watch", func() bool { return sto.Silenced() > 0 })
	// The silent watch is open, so no other one is on its way.
	if got, want := reports.Load(), int64(sto.WatchesLongerThan(shortWatch)); got != want || want == 0 {
		t.Fatalf("%d of %d long watches are reported", got, want)
	}
	sto.SetFaults(pstore.Faults{})
	flw.Check() // the call with the watch has failed
	sto.Put("op/evacuate/z-1", 1)
	waitFor(t, changeBound, "change", func() bool { return flw.View().Evacuated("z-1") })
}
