package fleet_test

import (
	"testing"
	"testing/synctest"
	"time"

	"cardamompass"
)

// expectDocument checks that all running VMs have the content of want.
func (flt *fleet) expectDocument(when string, want doc) {
	flt.t.Helper()
	for num := 1; num <= flt.size; num++ {
		hst := flt.host(num)
		if hst == nil {
			continue
		}
		if got, ok := hst.spr.Current(); !ok || got.Digest() != want.Digest() {
			flt.t.Errorf("%s: %s has version %d (ok=%v), want version %d", when, vmID(num), got.Version(), ok, want.Version())
		}
	}
}

// expectStored checks that the store has the content of want.
func (flt *fleet) expectStored(when string, want doc) {
	flt.t.Helper()
	if got, rev := flt.store.content(); got.Digest() != want.Digest() {
		flt.t.Errorf("%s: store has version %d at revision %d, want version %d", when, got.Version(), rev, want.Version())
	}
}

var base = doc{}.with("a", 1).with("b", 2)

// runSpread runs fun on a fleet whose VMs and store have the base document.
func runSpread(t *testing.T, fun func(flt *fleet)) {
	t.Helper()
	runFleet(t, func(flt *fleet) {
		flt.store.overwrite(base, 5)
		flt.advance(10 * time.Second)
		flt.expectDocument("at the start", base)
		fun(flt)
	})
}

// Guards against edits that do not reach all VMs or reach them late, and against unnecessary calls of the store.
func TestEditReachesAll(t *testing.T) {
	runSpread(t, func(flt *fleet) {
		reads, watches, _ := flt.store.calls()
		next := base
		for version := int64(3); version < 13; version++ {
			next = next.with("a", version)
			flt.store.overwrite(next, version+10)
			flt.advance(time.Second)
			flt.expectDocument("after an edit", next)
		}
		flt.advance(10 * time.Minute)
		newReads, newWatches, writes := flt.store.calls()
		if newReads != reads || writes != 0 {
			t.Errorf("%d reads and %d writes, want none", newReads-reads, writes)
		}
		// Three watchers, each with one call for each edit and one every 30 s.
		if cnt := newWatches - watches; cnt > 3*(10+21) {
			t.Errorf("%d watches", cnt)
		}
	})
}

// Guards against a dependence on the store: during an outage VMs can start and edits that were accepted elsewhere are
// disseminated, and afterwards one VM writes the missing edits to the store.
func TestStoreOutage(t *testing.T) {
	runSpread(t, func(flt *fleet) {
		flt.store.setDown(true)
		flt.advance(time.Minute)
		next := base.with("c", 3)
		flt.host(4).spr.Offer(next)
		flt.advance(2 * time.Second)
		flt.expectDocument("during the outage", next)
		flt.host(5).stop()
		flt.start(5, 2)
		flt.advance(5 * time.Second)
		flt.expectDocument("after a start during the outage", next)
		_, before, _ := flt.store.calls()
		flt.advance(10 * time.Minute)
		// Three watchers with delays of 2.5 s to 7.5 s.
		if _, after, _ := flt.store.calls(); after-before > 3*240 {
			t.Errorf("%d watches in 10 minutes of outage", after-before)
		}
		flt.store.setDown(false)
		flt.advance(30 * time.Second)
		flt.expectStored("after the outage", next)
		if _, _, writes := flt.store.calls(); writes != 1 {
			t.Errorf("%d writes, want 1", writes)
		}
		flt.expectDocument("after the outage", next)
	})
}

// Guards against a fleet that starts without the store and never gets the document.
func TestStartDuringOutage(t *testing.T) {
	num := seed(t)
	synctest.Test(t, func(t *testing.T) {
		flt := newFleet(t, num, 0)
		flt.size = fleetSize
		flt.store.overwrite(base, 5)
		flt.store.setDown(true)
		defer flt.stopAll()
		for vm := 1; vm <= fleetSize; vm++ {
			flt.start(vm, 1)
		}
		flt.advance(5 * time.Minute)
		if _, ok := flt.host(1).spr.Current(); ok {
			t.Error("a document from nowhere")
		}
		flt.store.setDown(false)
		flt.advance(15 * time.Second)
		flt.expectDocument("after the outage", base)
	})
}

// Guards against a delayed response of the store that replaces a newer document from another source.
func TestLateWatchAnswer(t *testing.T) {
	runSpread(t, func(flt *fleet) {
		flt.store.mut.Lock()
		flt.store.delay = 20 * time.Second
		flt.store.mut.Unlock()
		flt.store.overwrite(base.with("a", 3), 6)
		next := base.with("a", 4).with("c", 5)
		flt.host(2).spr.Offer(next)
		for range 40 {
			flt.advance(time.Second)
			flt.expectDocument("around the late answer", next)
		}
		flt.advance(time.Minute)
		flt.expectStored("after the late answer", next)
	})
}

// Guards against a store that was restored to an older state and makes the fleet revert as well.
func TestRestoredStore(t *testing.T) {
	for _, tst := range []struct {
		name     string
		revision int64
	}{
		{name: "lower revision", revision: 3},
		{name: "same revision", revision: 9},
		{name: "higher revision", revision: 11},
	} {
		t.Run(tst.name, func(t *testing.T) {
			runSpread(t, func(flt *fleet) {
				next := base.with("a", 7).with("c", 8)
				flt.store.overwrite(next, 9)
				flt.advance(5 * time.Second)
				flt.store.overwrite(base, tst.revision)
				for range 90 {
					flt.advance(time.Second)
					flt.expectDocument("after the restoration", next)
				}
				flt.expectStored("after the restoration", next)
				if _, _, writes := flt.store.calls(); writes != 1 {
					t.Errorf("%d writes, want 1", writes)
				}
			})
		})
	}
}

// Guards against two documents of the same version that never converge because only the entries after a version are exchanged:
// an edit on a restored store reuses version numbers of edits before the restoration.
func TestReusedVersions(t *testing.T) {
	runSpread(t, func(flt *fleet) {
		flt.store.overwrite(base.with("c", 3), 6)
		flt.advance(5 * time.Second)
		flt.store.overwrite(base.with("d", 3), 7)
		flt.advance(time.Minute)
		want := base.with("c", 3).with("d", 3)
		flt.expectDocument("after the reuse", want)
		flt.expectStored("after the reuse", want)
	})
}

// Guards against invalid content in the store that replaces the active document or causes excessive calls of the store.
func TestUnreadableStore(t *testing.T) {
	runSpread(t, func(flt *fleet) {
		_, before, _ := flt.store.calls()
		flt.store.mut.Lock()
		flt.store.set([]byte("not a document"), 6)
		flt.store.mut.Unlock()
		flt.advance(2 * time.Minute)
		flt.expectDocument("with unreadable content", base)
		_, after, writes := flt.store.calls()
		if after-before > 3*8 || writes != 0 {
			t.Errorf("%d watches and %d writes", after-before, writes)
		}
		next := base.with("c", 3)
		flt.store.overwrite(next, 7)
		flt.advance(10 * time.Second)
		flt.expectDocument("after the repair", next)
	})
}

// Guards against a watch that no other VM takes over when its VM leaves.
func TestWatcherLeaves(t *testing.T) {
	runSpread(t, func(flt *fleet) {
		next := base
		for num := 1; num <= 5; num++ {
			flt.host(num).mbr.AnnounceLeaving()
			flt.advance(3 * time.Second)
			if err := flt.host(num).mbr.Leave(flt.t.Context(), ""); err != nil {
				flt.t.Error(err)
			}
			flt.host(num).stop()
			flt.advance(3 * time.Second)
			next = next.with("a", int64(num+2))
			flt.store.overwrite(next, int64(num+5))
			flt.advance(2 * time.Second)
			flt.expectDocument("after a leave", next)
		}
		flt.expect("at the end", 6, cardamompass.StateAlive, 7)
	})
}
