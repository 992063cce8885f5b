package guard_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"cardamompass"
	"cardamompass/internal/steer/guard"
)

var seed = flag.Int64("seed", time.Now().UnixNano(), "seed of the properties")

const vms = 7

func keyOf(path string) guard.Key {
	return guard.KeyOf(&cardamompass.Request{
		Service: "ledger",
		Method:  "GET",
		Path:    path,
	})
}

// world is 7 guards with or without delivery of their reports.
type world struct {
	rng  *rand.Rand
	now  time.Time
	grds []*guard.Guard
	lost bool
}

func newWorld(num uint64, lost bool) *world {
	wld := &world{
		rng:  rand.New(rand.NewPCG(num, 0)),
		now:  time.Unix(1_700_000_000, 0),
		lost: lost,
	}
	for i := range vms {
		wld.grds = append(wld.grds, guard.New(guard.Config{Self: cardamompass.VMID(fmt.Sprint("vm-", i))}))
	}
	return wld
}

func (wld *world) tick() { wld.now = wld.now.Add(time.Millisecond) }

func (wld *world) any() *guard.Guard { return wld.grds[wld.rng.IntN(vms)] }

func (wld *world) target() cardamompass.TargetID {
	return cardamompass.TargetID(fmt.Sprint("tgt-", wld.rng.IntN(3)))
}

func (wld *world) deliver(rep guard.Report) {
	for _, grd := range wld.grds {
		if !wld.lost {
			grd.Merge(rep, wld.now)
		}
	}
}

// crash lets all VMs notice the crash, some of them on two connections, and delivers their reports afterwards.
func (wld *world) crash(tid cardamompass.TargetID) {
	broke := wld.now
	wld.tick()
	var reps []guard.Report
	for _, grd := range wld.grds {
		reps = append(reps, grd.Crashed(tid, broke, wld.now))
		if wld.rng.IntN(2) == 0 {
			reps = append(reps, grd.Crashed(tid, broke, wld.now))
		}
	}
	for _, rep := range reps {
		wld.deliver(rep)
	}
}

// answer runs each innocent alone and answers it. None may wait or be refused.
func (wld *world) answer(innocents []guard.Key) (fault string) {
	for _, key := range innocents {
		wld.tick()
		grd, tid := wld.any(), wld.target()
		if ver := grd.Admit(key, tid, wld.now); ver.Action != guard.Run {
			return "innocent does not run: " + ver.Reason
		}
		wld.deliver(grd.Succeeded(key, tid, wld.now))
	}
	return ""
}

// resend re-sends one crashing content after each outcome through random VMs and returns the number of crashed targets.
// Innocents run beside it as soon as each was answered once after the last crash; before, they may be blocked.
func (wld *world) resend(steps int) (crashes int, fault string) {
	bad, innocents, clean := keyOf("/crash"), []guard.Key{keyOf("/1"), keyOf("/2"), keyOf("/3")}, true
	for range steps {
		wld.tick()
		tid := wld.target()
		if wld.rng.IntN(2) == 0 {
			if fault = wld.answer(innocents); fault != "" {
				return crashes, fault
			}
			clean = true
		}
		var answers []func()
		for _, key := range innocents {
			grd := wld.any()
			if !clean || wld.rng.IntN(2) == 0 {
				continue
			}
			if ver := grd.Admit(key, tid, wld.now); ver.Action != guard.Run {
				return crashes, "innocent does not run: " + ver.Reason
			}
			answers = append(answers, func() { wld.deliver(grd.Succeeded(key, tid, wld.now)) })
		}
		wld.tick()
		if wld.any().Admit(bad, tid, wld.now).Action == guard.Run {
			crashes++
			clean = false
			wld.crash(tid)
			continue
		}
		for _, answer := range answers {
			answer()
		}
	}
	return crashes, ""
}

// Guards against a content that crashes more than two targets by being re-sent through other VMs, and against the refusal
// of innocents beside it.
func TestBoundWithReports(t *testing.T) {
	prs := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(*seed))
	prs.Property("two crashes, innocents unharmed", prop.ForAll(func(num uint64) string {
		crashes, fault := newWorld(num, false).resend(60)
		if crashes > 2 {
			return fmt.Sprint(crashes, " targets crashed")
		}
		return fault
	}, gen.UInt64()))
	prs.Property("two crashes for each VM without reports", prop.ForAll(func(num uint64) string {
		wld := newWorld(num, true)
		bad, crashes := keyOf("/crash"), 0
		for range 200 {
			wld.tick()
			tid := wld.target()
			if wld.any().Admit(bad, tid, wld.now).Action == guard.Run {
				crashes++
				wld.crash(tid)
			}
		}
		if crashes > 2*vms {
			return fmt.Sprint(crashes, " targets crashed")
		}
		return ""
	}, gen.UInt64()))
	prs.TestingRun(t)
}

// Guards against records that outgrow their bound, blocks that never end, and two suspects side by side.
func TestRules(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	crash := func(grd *guard.Guard, key guard.Key) {
		now = now.Add(time.Second)
		grd.Admit(key, "a", now)
		grd.Crashed("a", now, now)
	}
	t.Run("records without bound", func(t *testing.T) {
		grd := guard.New(guard.Config{MaxRecords: 8})
		crash(grd, keyOf("/blocked"))
		crash(grd, keyOf("/blocked"))
		for i := range 100 {
			crash(grd, keyOf(fmt.Sprint(i)))
		}
		if count := len(grd.Entries(now)); count > 8 {
			t.Fatalf("%d records", count)
		}
		if ver := grd.Admit(keyOf("/blocked"), "a", now); ver.Action != guard.Refuse {
			t.Fatalf("suspects pushed out a block: %v", ver)
		}
	})
	t.Run("block without end", func(t *testing.T) {
		grd := guard.New(guard.Config{})
		crash(grd, keyOf("/x"))
		crash(grd, keyOf("/x"))
		ver := grd.Admit(keyOf("/x"), "b", now)
		if ver.Action != guard.Refuse || ver.Reason == "" || !ver.Until.Equal(now.Add(10*time.Minute)) {
			t.Fatalf("verdict %+v", ver)
		}
		if ver = grd.Admit(keyOf("/x"), "b", ver.Until); ver.Action != guard.Run {
			t.Fatalf("verdict after the end %+v", ver)
		}
	})
	t.Run("suspects side by side", func(t *testing.T) {
		grd := guard.New(guard.Config{})
		crash(grd, keyOf("/x"))
		crash(grd, keyOf("/y"))
		got := []guard.Action{
			grd.Admit(keyOf("/x"), "b", now).Action,
			grd.Admit(keyOf("/y"), "b", now).Action,
			grd.Admit(keyOf("/x"), "c", now).Action,
			grd.Admit(keyOf("/y"), "c", now).Action,
		}
		want := []guard.Action{guard.Run, guard.WaitOtherSuspect, guard.WaitCopy, guard.Run}
		if !slices.Equal(got, want) {
			t.Fatalf("got %v, want %v", got, want)
		}
	})
	t.Run("late notice of one crash counted twice", func(t *testing.T) {
		grd := guard.New(guard.Config{})
		crash(grd, keyOf("/x"))
		broke := now
		now = now.Add(time.Second)
		grd.Admit(keyOf("/x"), "a", now)
		grd.Crashed("a", broke, now)
		if ents := grd.Entries(now); len(ents) != 1 || ents[0].Blocked {
			t.Fatalf("entries %+v", ents)
		}
	})
	t.Run("crash after the caller gave up", func(t *testing.T) {
		grd := guard.New(guard.Config{})
		grd.Admit(keyOf("/x"), "a", now)
		grd.Ended(keyOf("/x"), "a", now)
		if rep := grd.Crashed("a", now, now); len(rep.Suspicions) != 1 {
			t.Fatalf("report %+v", rep)
		}
	})
}
