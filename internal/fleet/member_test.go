package fleet_test

import (
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"

	"cardamompass"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	fleetSize = 7
	// joinTime is enough for a fleet of 7 to join.
	joinTime = 10 * time.Second
	// detectTime exceeds a round of probes of 7 VMs, the timeouts and the suspicion time.
	detectTime = 10 * time.Second
)

// runFleet runs fun on a fleet of 7 VMs in virtual time, after it has joined.
func runFleet(t *testing.T, fun func(flt *fleet)) {
	t.Helper()
	num := seed(t)
	synctest.Test(t, func(t *testing.T) {
		flt := newFleet(t, num, fleetSize)
		defer flt.stopAll()
		flt.advance(joinTime)
		fun(flt)
	})
}

// Guards against a killed VM that stays alive in the views of others, or causes others to be declared dead.
func TestKilledVM(t *testing.T) {
	runFleet(t, func(flt *fleet) {
		flt.expectAll("after the join", 1, 2, 3, 4, 5, 6, 7)
		flt.host(1).stop()
		flt.advance(detectTime)
		flt.expect("after the kill", 1, cardamompass.StateDead, 2, 3, 4, 5, 6, 7)
		flt.expectAll("after the kill", 2, 3, 4, 5, 6, 7)
	})
}

// Guards against a live VM that is declared dead because of a one-way partition between two VMs.
func TestOneWayCut(t *testing.T) {
	runFleet(t, func(flt *fleet) {
		flt.net.setCut(address(1), address(2), true)
		for range 60 {
			flt.advance(time.Second)
			flt.expect("during the cut", 1, cardamompass.StateAlive, 2, 3, 4, 5, 6, 7)
			flt.expect("during the cut", 2, cardamompass.StateAlive, 1, 3, 4, 5, 6, 7)
		}
	})
}

// Guards against sides of a partition that do not merge after it has healed.
func TestHealedPartition(t *testing.T) {
	for _, tst := range []struct {
		name string
		dur  time.Duration
		heal time.Duration
	}{
		{name: "shorter than the retention", dur: time.Minute, heal: 30 * time.Second},
		{name: "longer than the retention", dur: 20 * time.Minute, heal: time.Minute},
	} {
		t.Run(tst.name, func(t *testing.T) {
			runFleet(t, func(flt *fleet) {
				cut := func(on bool) {
					for _, one := range []int{1, 2, 3} {
						for _, two := range []int{4, 5, 6, 7} {
							flt.net.setCut(address(one), address(two), on)
							flt.net.setCut(address(two), address(one), on)
						}
					}
				}
				cut(true)
				flt.advance(tst.dur)
				flt.expectAll("during the partition", 1, 2, 3)
				flt.expectAll("during the partition", 4, 5, 6, 7)
				if tst.dur == time.Minute {
					flt.expect("during the partition", 4, cardamompass.StateDead, 1, 2, 3)
				}
				cut(false)
				flt.advance(tst.heal)
				flt.expectAll("after the partition", 1, 2, 3, 4, 5, 6, 7)
			})
		})
	}
}

// Guards against a planned stop that is treated as a failure, and against a successor that is removed too early.
func TestLeave(t *testing.T) {
	runFleet(t, func(flt *fleet) {
		hst := flt.host(3)
		hst.mbr.AnnounceLeaving()
		flt.advance(5 * time.Second)
		flt.expect("after the announcement", 3, cardamompass.StateLeaving, 1, 2, 4, 5, 6, 7)
		if err := hst.mbr.Leave(flt.t.Context(), vmID(4)); err != nil {
			flt.t.Error(err)
		}
		hst.stop()
		for range 84 {
			flt.advance(10 * time.Second)
			flt.expect("after the leave", 3, cardamompass.StateLeft, 1, 2, 4, 5, 6, 7)
		}
		for _, mbr := range flt.host(7).mbr.Members() {
			if mbr.VM.ID == vmID(3) && mbr.Successor != vmID(4) {
				flt.t.Errorf("successor is %q", mbr.Successor)
			}
		}
		flt.advance(2 * time.Minute)
		flt.expect("after the retention", 3, -1, 1, 2, 4, 5, 6, 7)
	})
}

// Guards against a leaving VM that is killed during its planned stop and stays in the views of others.
func TestKilledWhileLeaving(t *testing.T) {
	runFleet(t, func(flt *fleet) {
		flt.host(3).mbr.AnnounceLeaving()
		flt.advance(3 * time.Second)
		flt.host(3).stop()
		flt.advance(detectTime)
		flt.expect("after the kill", 3, cardamompass.StateDead, 1, 2, 4, 5, 6, 7)
	})
}

// Guards against a restarted VM that is mistaken for its dead predecessor, and a predecessor that does not detect that it is
// superseded.
func TestRestart(t *testing.T) {
	runFleet(t, func(flt *fleet) {
		old := flt.host(2)
		flt.start(2, 2)
		flt.advance(joinTime)
		flt.expectAll("after the restart", 1, 2, 3, 4, 5, 6, 7)
		for _, mbr := range flt.host(5).mbr.Members() {
			if mbr.VM.ID == vmID(2) && mbr.VM.Incarnation != 2 {
				flt.t.Errorf("incarnation %d", mbr.VM.Incarnation)
			}
		}
		select {
		case <-old.mbr.Superseded():
		default:
			flt.t.Error("the old process does not know that it is superseded")
		}
		old.stop()
		flt.advance(detectTime)
		flt.expectAll("after the end of the old process", 1, 2, 3, 4, 5, 6, 7)
	})
}

// Guards against live VMs that stay suspect or dead after a period of lost and delayed messages.
func TestLossyNetwork(t *testing.T) {
	runFleet(t, func(flt *fleet) {
		flt.net.mut.Lock()
		flt.net.loss, flt.net.delay = 0.05, 40*time.Millisecond
		flt.net.mut.Unlock()
		flt.advance(10 * time.Minute)
		flt.net.mut.Lock()
		flt.net.loss = 0
		flt.net.mut.Unlock()
		flt.advance(detectTime)
		flt.expectAll("after the losses", 1, 2, 3, 4, 5, 6, 7)
	})
}

// Guards against seeds that are contacted only once, and against a list of VMs that is not used or that removes members.
func TestJoinWithoutSeeds(t *testing.T) {
	num := seed(t)
	synctest.Test(t, func(t *testing.T) {
		flt := newFleet(t, num, 0)
		flt.size = fleetSize
		defer flt.stopAll()
		for vm := 3; vm <= 7; vm++ {
			flt.start(vm, 1)
		}
		flt.advance(10 * time.Minute)
		flt.expect("without seeds", 4, -1, 3)
		flt.host(3).mbr.ProbeListed([]cardamompass.ListedVM{
			{
				Name:    string(vmID(4)),
				Address: address(4),
			},
		})
		flt.advance(time.Second)
		flt.expectAll("after the hint", 3, 4)
		flt.start(1, 1)
		flt.advance(time.Minute)
		flt.expectAll("after a seed started", 1, 3, 4, 5, 6, 7)
		flt.host(3).mbr.ProbeListed(nil)
		flt.advance(joinTime)
		flt.expectAll("after an empty list", 1, 3, 4, 5, 6, 7)
	})
}
