package share_test

import (
	"context"
	"flag"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"cardamompass"
	"cardamompass/internal/fleet/share"
)

var (
	seed  = flag.Int64("share-seed", 1, "first seed of the simulated fleets")
	seeds = flag.Int64("share-seeds", 20, "number of simulated fleets")
)

// tick advances the fleet by 100 ms: work ends and starts, VMs rebalance ledgers and borrow.
func (sml *sim) tick(demand func(*vm) int) {
	sml.now = sml.now.Add(100 * time.Millisecond)
	for _, one := range sml.vms {
		if one.crashed {
			continue
		}
		one.finishWork()
		if one.paused {
			continue
		}
		if sml.rnd.Intn(20) == 0 {
			one.pol.Rebalance(context.Background())
		}
		one.pol.BorrowRound(context.Background())
		for range demand(one) {
			release, ok := one.pol.Slots("slots/kiosk-core/delta").TryAcquire()
			if ok {
				length := time.Duration(sml.rnd.Int63n(int64(maxRunTime)))
				one.running = append(one.running, work{release: release, done: sml.now.Add(length)})
			}
			one.pol.Rate("link/gulf/delta").Allow(500, "short")
		}
	}
}

func (one *vm) finishWork() {
	kept := one.running[:0]
	for _, wrk := range one.running {
		if wrk.done.After(one.sml.now) {
			kept = append(kept, wrk)
			continue
		}
		wrk.release()
	}
	one.running = kept
}

// inUse returns the usable bytes per second and the slots in use of all VMs together. A crashed VM uses none.
func (sml *sim) inUse() (rates, slots int64) {
	for _, one := range sml.vms {
		if one.crashed {
			continue
		}
		for _, res := range one.pol.State().Resources {
			if res.Name == "link/gulf/delta" {
				rates += res.Usable
			} else {
				slots += max(res.InUse, int64(len(one.running)))
			}
		}
	}
	return rates, slots
}

// Guards against units that two VMs use at once, under crashes, restarts on the same VM, pauses, one-way and two-way
// partitions, store outages, lost replies, delayed writes, lapsed leases and clocks that run at different rates.
func TestSumStaysUnderCap(t *testing.T) {
	for num := *seed; num < *seed+*seeds; num++ {
		sml := newSim(num, 7)
		var trace []string
		for step := range 1200 {
			if sml.rnd.Intn(10) == 0 {
				if what := sml.fault(true); what != "" {
					trace = append(trace, sml.now.Format("04:05.0 ")+what)
				}
			}
			sml.tick(func(*vm) int { return sml.rnd.Intn(8) })
			rates, slots := sml.inUse()
			if rates > sml.capacity["link/gulf/delta"] || slots > sml.capacity["slots/kiosk-core/delta"] {
				tail := trace[max(0, len(trace)-12):]
				t.Fatalf("seed %d step %d: %d bytes/s and %d slots can be used; last faults %q (-share-seed)", num, step, rates, slots, tail)
			}
		}
	}
}

// Guards against a check that can't fail: the naive division, cap by number of live VMs, must exceed the cap under the faults
// of TestSumStaysUnderCap.
func TestEqualDivisionByViewExceedsCap(t *testing.T) {
	exceeded := false
	for num := *seed; num < *seed+*seeds && !exceeded; num++ {
		sml := newSim(num, 7)
		for range 1200 {
			if sml.rnd.Intn(10) == 0 {
				sml.fault(true)
			}
			var sum int64
			for _, one := range sml.vms {
				alive := int64(0)
				for _, oth := range sml.vms {
					if one.member(oth).State == 0 {
						alive++
					}
				}
				if !one.crashed && alive > 0 {
					sum += sml.capacity["link/gulf/delta"] / alive
				}
			}
			exceeded = exceeded || sum > sml.capacity["link/gulf/delta"]
		}
	}
	if !exceeded {
		t.Fatal("the naive division stayed under the cap")
	}
}

// Guards against an overload of two of seven VMs that is limited to two sevenths of a cap: within two seconds they must have
// four fifths of it, while the store is down.
func TestDemandMovesUnits(t *testing.T) {
	sml := newSim(*seed, 7)
	for range 400 {
		sml.tick(func(*vm) int { return 0 })
	}
	sml.down = true
	before := usableBytes(sml.vms[:2])
	for range 20 {
		sml.tick(func(one *vm) int {
			if one == sml.vms[0] || one == sml.vms[1] {
				return 40
			}
			return 0
		})
	}
	after := usableBytes(sml.vms[:2])
	t.Logf("two VMs: %d bytes/s before, %d after 2 s of demand, cap %d", before, after, sml.capacity["link/gulf/delta"])
	if want := sml.capacity["link/gulf/delta"] * 4 / 5; after < want {
		t.Fatalf("two VMs can use %d bytes/s after 2 s, want %d", after, want)
	}
}

func usableBytes(vms []*vm) (sum int64) {
	for _, one := range vms {
		for _, res := range one.pol.State().Resources {
			if res.Name == "link/gulf/delta" {
				sum += res.Usable
			}
		}
	}
	return sum
}

// Guards against units that are never reassigned: of VMs that left, that restarted, and that crashed and stay down for longer
// than a lease.
func TestUnitsAreReassigned(t *testing.T) {
	tests := []struct {
		name string
		gone func(one *vm)
		wait time.Duration
	}{
		{
			name: "planned stop",
			gone: func(one *vm) {
				_ = one.pol.Release(context.Background())
				one.crashed = true
			},
			wait: 20 * time.Second,
		},
		{
			name: "restart on the same VM",
			gone: func(one *vm) { one.start() },
			wait: 30 * time.Second,
		},
		{
			name: "crash",
			gone: func(one *vm) { one.crashed = true },
			wait: leaseTTL + 30*time.Second,
		},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			sml := newSim(*seed, 7)
			for range 400 {
				sml.tick(func(*vm) int { return 0 })
			}
			tst.gone(sml.vms[3])
			for range int(tst.wait / (100 * time.Millisecond)) {
				sml.tick(func(*vm) int { return 0 })
			}
			rates, _ := sml.inUse()
			if want := sml.capacity["link/gulf/delta"] * 95 / 100; rates < want {
				t.Fatalf("all VMs together can use %d bytes/s, want %d", rates, want)
			}
		})
	}
}

// Guards against a lower cap that takes effect only after every VM has reached the store.
func TestLowerCapHoldsAtOnce(t *testing.T) {
	sml := newSim(*seed, 7)
	for range 400 {
		sml.tick(func(*vm) int { return 0 })
	}
	sml.down = true
	sml.capacity["link/gulf/delta"] /= 4
	for _, one := range sml.vms {
		one.setResources(2)
	}
	if rates, _ := sml.inUse(); rates > sml.capacity["link/gulf/delta"] {
		t.Fatalf("%d bytes/s can be used, the cap is %d", rates, sml.capacity["link/gulf/delta"])
	}
	sml.down = false
	for range 600 {
		sml.tick(func(*vm) int { return 0 })
		if rates, _ := sml.inUse(); rates > sml.capacity["link/gulf/delta"] {
			t.Fatalf("%d bytes/s can be used, the cap is %d", rates, sml.capacity["link/gulf/delta"])
		}
	}
}

// Guards against a lower cap of which little can be used: an owner that crashed keeps its units in the ledger, so that the
// lower capacity can't be written, and the others both lower their entries and scale them down.
func TestLowerCapWithDeadOwners(t *testing.T) {
	led := share.Ledger{
		Capacity:         210,
		CatalogueVersion: 1,
	}
	for num := range 7 {
		led = led.WithEntry(share.Entry{
			Owner: share.Owner{VM: "vm", Incarnation: cardamompass.Incarnation(num)},
			Units: 30,
		})
	}
	dead := func(ent share.Entry) bool { return ent.Incarnation < 2 }
	for range 3 {
		for _, ent := range led.Entries {
			if dead(ent) {
				continue
			}
			led = led.Plan(share.PlanInput{
				Owner:            ent.Owner,
				Resource:         share.Resource{Capacity: 105},
				CatalogueVersion: 2,
				ConfirmedUnits:   led.Units(ent.Owner),
				Expired:          func(share.Entry) bool { return false },
				Unavailable:      dead,
			})
		}
	}
	usable := int64(0)
	for _, ent := range led.Entries {
		if !dead(ent) {
			usable += ent.Units * 105 / led.Capacity
		}
	}
	if usable != 75 {
		t.Fatalf("five of seven owners can use %d of 105 units, want 75: %+v", usable, led)
	}
}

// Guards against an owner that stays without a slot while another owner has two and an equal share is one.
func TestSlotsForEachOwner(t *testing.T) {
	led := share.Ledger{
		Capacity:         12,
		CatalogueVersion: 1,
	}
	for num, units := range []int64{0, 2, 2, 2, 2, 2, 2} {
		led = led.WithEntry(share.Entry{
			Owner: share.Owner{VM: "vm", Incarnation: cardamompass.Incarnation(num)},
			Units: units,
		})
	}
	for range 3 {
		for _, ent := range led.Entries {
			led = led.Plan(share.PlanInput{
				Owner:            ent.Owner,
				Resource:         share.Resource{Kind: share.KindSlots, Capacity: 12},
				CatalogueVersion: 1,
				ConfirmedUnits:   led.Units(ent.Owner),
				Expired:          func(share.Entry) bool { return false },
			})
		}
	}
	for _, ent := range led.Entries {
		if ent.Units == 0 {
			t.Fatalf("an owner has no slot: %+v", led)
		}
	}
}

// Guards against a plan that raises the sum above the capacity, changes another owner's units, or counts on more units than are
// confirmed.
func TestPlanProperties(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(*seed)
	params.MinSuccessfulTests = 2000
	props := gopter.NewProperties(params)
	props.Property("sum, others and own units", prop.ForAll(
		func(units []int64, capacity, held, floor int64, older bool) bool {
			led := share.Ledger{
				Capacity:         capacity,
				CatalogueVersion: 5,
			}
			for num, unit := range units {
				ent := share.Entry{
					Owner: share.Owner{VM: "vm", Incarnation: 2},
					Units: min(unit, led.Capacity-led.Sum()),
				}
				ent.Incarnation += 1 << num
				led = led.WithEntry(ent)
			}
			self := share.Owner{VM: "vm", Incarnation: 3}
			version := int64(6)
			if older {
				version = 4
			}
			next := led.Plan(share.PlanInput{
				Owner:            self,
				Resource:         share.Resource{Capacity: capacity*2 - 50},
				CatalogueVersion: version,
				ConfirmedUnits:   held,
				Floor:            min(floor, held),
				Expired:          func(share.Entry) bool { return false },
			})
			for _, ent := range led.Entries {
				if ent.Incarnation != self.Incarnation && next.Units(ent.Owner) != ent.Units {
					return false
				}
			}
			return next.Sum() <= max(next.Capacity, led.Sum()) && (!older || next.Capacity == led.Capacity)
		},
		gen.SliceOfN(5, gen.Int64Range(0, 100)), gen.Int64Range(50, 400), gen.Int64Range(0, 100), gen.Int64Range(0, 100), gen.Bool(),
	))
	props.TestingRun(t)
}

// Guards against an owner that continues to use units which its own write, with a lost reply or delayed effect, has released.
func TestLostAnswerOfLowering(t *testing.T) {
	const (
		tookEffect  = 0
		delayed     = 1
		normalWrite = 11
	)
	for _, kind := range []int{tookEffect, delayed} {
		sml := newSim(*seed, 2)
		one, two := sml.vms[0], sml.vms[1]
		rebalanceWithFault := func(who *vm, fault int) {
			// The store is down after the faulty write, so that its outcome can't be read back.
			sml.putFault = func() int {
				sml.down = true
				return fault
			}
			who.pol.Rebalance(context.Background())
			sml.down = false
		}
		rebalanceNormally := func(who *vm) {
			sml.putFault = func() int { return normalWrite }
			who.pol.Rebalance(context.Background())
		}
		rebalanceNormally(one)
		rebalanceNormally(two)
		rebalanceWithFault(one, kind)
		for _, write := range sml.delayedWrites {
			write()
		}
		rebalanceNormally(two)
		if rates, _ := sml.inUse(); rates > sml.capacity["link/gulf/delta"] {
			t.Fatalf("kind %d: %d bytes/s can be used, the cap is %d", kind, rates, sml.capacity["link/gulf/delta"])
		}
	}
}

// Guards against slots that stay deducted from their owners for the longest time of a request although the borrower no longer
// needs them: one second after its work ended, nothing may be lent.
func TestUnneededSlotsAreReturned(t *testing.T) {
	for num := *seed; num < *seed+8; num++ {
		if left := lentAfterDemand(t, num); left != 0 {
			t.Errorf("seed %d: %d slots are still lent", num, left)
		}
	}
}

func lentAfterDemand(t *testing.T, num int64) (left int64) {
	t.Helper()
	sml := newSim(num, 7)
	for range 400 {
		sml.tick(func(*vm) int { return 0 })
	}
	busy := sml.vms[0]
	for range 20 {
		sml.tick(func(one *vm) int {
			if one == busy {
				return 60
			}
			return 0
		})
	}
	lent := func() (sum int64) {
		for _, one := range sml.vms {
			for _, res := range one.pol.State().Resources {
				if res.Name == "slots/kiosk-core/delta" {
					for _, lon := range res.Lent {
						sum += lon.Units
					}
				}
			}
		}
		return sum
	}
	if lent() == 0 {
		t.Fatal("nothing was lent under demand")
	}
	for _, wrk := range busy.running {
		wrk.release()
	}
	busy.running = nil
	for range 10 {
		sml.tick(func(*vm) int { return 0 })
	}
	return lent()
}

// Guards against slots that stay in the ledger after a planned stop because they are still lent when it ends.
func TestStopReturnsLentSlots(t *testing.T) {
	sml := newSim(*seed, 7)
	for range 400 {
		sml.tick(func(*vm) int { return 0 })
	}
	busy, stopping := sml.vms[0], sml.vms[1]
	demand := func(one *vm) int {
		if one == busy {
			return 60
		}
		return 0
	}
	for range 20 {
		sml.tick(demand)
	}
	stopping.pol.StopLending()
	// A loan ends after 2 s, and the work on its slots at most 5 s later.
	for range 80 {
		sml.tick(demand)
	}
	if err := stopping.pol.Release(context.Background()); err != nil {
		t.Fatal(err)
	}
	for _, res := range stopping.pol.State().Resources {
		if res.Owned != 0 {
			t.Errorf("%s: %d units stay in the ledger", res.Name, res.Owned)
		}
	}
}
