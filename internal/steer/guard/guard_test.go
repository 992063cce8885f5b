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

// simulation is 7 guards with or without delivery of their reports.
type simulation struct {
	rng         *rand.Rand
	now         time.Time
	grds        []*guard.Guard
	dropReports bool
}

func newSimulation(num uint64, lost bool) *simulation {
	sim := &simulation{
		rng:         rand.New(rand.NewPCG(num, 0)),
		now:         time.Unix(1_700_000_000, 0),
		dropReports: lost,
	}
	for i := range vms {
		sim.grds = append(sim.grds, guard.New(guard.Config{Self: cardamompass.VMID(fmt.Sprint("vm-", i))}))
	}
	return sim
}

func (sim *simulation) tick() { sim.now = sim.now.Add(time.Millisecond) }

func (sim *simulation) randomGuard() *guard.Guard { return sim.grds[sim.rng.IntN(vms)] }

func (sim *simulation) randomTarget() cardamompass.TargetID {
	return cardamompass.TargetID(fmt.Sprint("tgt-", sim.rng.IntN(3)))
}

func (sim *simulation) deliver(rep guard.Report) {
	for _, grd := range sim.grds {
		if !sim.dropReports {
			grd.Merge(rep, sim.now)
		}
	}
}

// crash reports the crash to the guards of all VMs, to some of them on two connections, and delivers their reports afterwards.
func (sim *simulation) crash(tid cardamompass.TargetID) {
	broke := sim.now
	sim.tick()
	var reps []guard.Report
	for _, grd := range sim.grds {
		reps = append(reps, grd.Crashed(tid, broke, sim.now))
		if sim.rng.IntN(2) == 0 {
			reps = append(reps, grd.Crashed(tid, broke, sim.now))
		}
	}
	for _, rep := range reps {
		sim.deliver(rep)
	}
}

// runHarmless runs each harmless content alone and completes it with a response. None may wait or be refused.
func (sim *simulation) runHarmless(harmless []guard.Key) (fault string) {
	for _, key := range harmless {
		sim.tick()
		grd, tid := sim.randomGuard(), sim.randomTarget()
		if ver := grd.Admit(key, tid, sim.now); ver.Action != guard.Run {
			return "harmless content does not run: " + ver.Reason
		}
		sim.deliver(grd.Succeeded(key, tid, sim.now))
	}
	return ""
}

// resend re-sends one crashing content after each outcome through random VMs and returns the number of crashed targets.
// Harmless contents run beside it only after each of them got a response since the last crash; earlier they may be blocked.
func (sim *simulation) resend(steps int) (crashes int, fault string) {
	bad, harmless, clean := keyOf("/crash"), []guard.Key{keyOf("/1"), keyOf("/2"), keyOf("/3")}, true
	for range steps {
		sim.tick()
		tid := sim.randomTarget()
		if sim.rng.IntN(2) == 0 {
			if fault = sim.runHarmless(harmless); fault != "" {
				return crashes, fault
			}
			clean = true
		}
		var answers []func()
		for _, key := range harmless {
			grd := sim.randomGuard()
			if !clean || sim.rng.IntN(2) == 0 {
				continue
			}
			if ver := grd.Admit(key, tid, sim.now); ver.Action != guard.Run {
				return crashes, "harmless content does not run: " + ver.Reason
			}
			answers = append(answers, func() { sim.deliver(grd.Succeeded(key, tid, sim.now)) })
		}
		sim.tick()
		if sim.randomGuard().Admit(bad, tid, sim.now).Action == guard.Run {
			crashes++
			clean = false
			sim.crash(tid)
			continue
		}
		for _, answer := range answers {
			answer()
		}
	}
	return crashes, ""
}

// Guards against a content that crashes more than two targets by being re-sent through other VMs, and against the refusal
// of harmless contents that run at the same time.
func TestBoundWithReports(t *testing.T) {
	prs := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(*seed))
	prs.Property("two crashes, harmless contents not refused", prop.ForAll(func(num uint64) string {
		crashes, fault := newSimulation(num, false).resend(60)
		if crashes > 2 {
			return fmt.Sprint(crashes, " targets crashed")
		}
		return fault
	}, gen.UInt64()))
	prs.Property("two crashes for each VM without reports", prop.ForAll(func(num uint64) string {
		sim := newSimulation(num, true)
		bad, crashes := keyOf("/crash"), 0
		for range 200 {
			sim.tick()
			tid := sim.randomTarget()
			if sim.randomGuard().Admit(bad, tid, sim.now).Action == guard.Run {
				crashes++
				sim.crash(tid)
			}
		}
		if crashes > 2*vms {
			return fmt.Sprint(crashes, " targets crashed")
		}
		return ""
	}, gen.UInt64()))
	prs.TestingRun(t)
}

// Guards against more records than the bound, blocks that never end, and two suspects on one target.
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
			t.Fatalf("suspects evicted a block: %v", ver)
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
	t.Run("suspects on one target", func(t *testing.T) {
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
	t.Run("one crash counted twice because of a late report", func(t *testing.T) {
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
	t.Run("crash after the request was cancelled", func(t *testing.T) {
		grd := guard.New(guard.Config{})
		grd.Admit(keyOf("/x"), "a", now)
		grd.Ended(keyOf("/x"), "a", now)
		if rep := grd.Crashed("a", now, now); len(rep.Suspicions) != 1 {
			t.Fatalf("report %+v", rep)
		}
	})
}
