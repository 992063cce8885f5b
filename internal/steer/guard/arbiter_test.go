package guard_test

import (
	"testing"
	"time"

	"cardamompass"
	"cardamompass/internal/steer/guard"
)

// TestArbiter guards against suspects of two VMs on one target, and against a reservation that never ends.
func TestArbiter(t *testing.T) {
	const left = time.Second
	now := time.Unix(1_700_000_000, 0)
	steps := []struct {
		name string
		vmid cardamompass.VMID
		at   time.Duration
		end  bool // release instead of reserve
		want bool
	}{
		{"first", "vm-1", 0, false, true},
		{"another VM", "vm-2", 0, false, false},
		{"release by another VM", "vm-2", 0, true, false},
		{"still reserved", "vm-2", left / 2, false, false},
		{"once more by the holder", "vm-1", left / 2, false, true},
		{"extended", "vm-2", left, false, false},
		{"expired", "vm-2", 3 * left / 2, false, true},
		{"release by the holder", "vm-2", 3 * left / 2, true, false},
		{"free again", "vm-1", 3 * left / 2, false, true},
	}
	arb := guard.NewArbiter()
	for _, stp := range steps {
		if stp.end {
			arb.Release("tgt-1", stp.vmid)
			continue
		}
		if got := arb.Reserve("tgt-1", stp.vmid, left, now.Add(stp.at)); got != stp.want {
			t.Fatalf("%s: reserved %v, want %v", stp.name, got, stp.want)
		}
	}
	if !arb.Reserve("tgt-2", "vm-2", left, now) {
		t.Fatal("another target is not free")
	}
}

// TestWithdrawnRun guards against blocking a content that was never sent to the target that crashed. This happened when a released claim
// counted as in flight for another two seconds.
func TestWithdrawnRun(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	grd := guard.New(guard.Config{Self: "vm-1"})
	key := keyOf("/harmless")
	grd.Admit(key, "tgt-1", now)
	grd.Crashed("tgt-1", now, now)
	if ver := grd.Admit(key, "tgt-2", now); ver.Action != guard.Run || !ver.Suspect {
		t.Fatalf("verdict %+v, want a run as a suspect", ver)
	}
	grd.Withdrawn(key, "tgt-2")
	if rep := grd.Crashed("tgt-2", now, now); !rep.Empty() {
		t.Fatalf("the crash is attributed to a content that was not sent: %+v", rep)
	}
	if ver := grd.Admit(key, "tgt-3", now); ver.Action != guard.Run {
		t.Fatalf("verdict %+v", ver)
	}
}

// TestSuspectsOfTwoVMs guards against blocking a harmless content together with a crashing one. Both were in flight on a target that
// crashed, and each VM ran its own as a suspect on the next target, which crashed too. TestCrashes of the package limit found this fault.
func TestSuspectsOfTwoVMs(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	crashing, harmless := keyOf("/crashing"), keyOf("/harmless")
	arb := guard.NewArbiter()
	one, two := guard.New(guard.Config{Self: "vm-1"}), guard.New(guard.Config{Self: "vm-2"})
	one.Admit(crashing, "a", now)
	two.Admit(harmless, "a", now)
	one.Crashed("a", now, now)
	two.Crashed("a", now, now)
	run := func(grd *guard.Guard, key guard.Key, vid cardamompass.VMID) (ok bool) {
		if ver := grd.Admit(key, "b", now); ver.Action != guard.Run || !ver.Suspect {
			t.Fatalf("%s: verdict %+v, want a run as a suspect", vid, ver)
		}
		if !arb.Reserve("b", vid, time.Second, now) {
			grd.Withdrawn(key, "b")
			return false
		}
		return true
	}
	if !run(one, crashing, "vm-1") || run(two, harmless, "vm-2") {
		t.Fatal("suspects of two VMs run on one target")
	}
	if rep := one.Crashed("b", now, now); len(rep.Blocks) != 1 {
		t.Fatalf("the crashing content is not blocked: %+v", rep)
	}
	if rep := two.Crashed("b", now, now); !rep.Empty() {
		t.Fatalf("the crash is attributed to the harmless content: %+v", rep)
	}
	arb.Release("b", "vm-1")
	if !run(two, harmless, "vm-2") {
		t.Fatal("the harmless content does not run after the release")
	}
}
