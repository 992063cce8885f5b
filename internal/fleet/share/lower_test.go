package share_test

import "testing"

// Guards against loans that keep the size of an earlier, higher cap: after an overload has moved units between VMs, a lowered
// cap must hold as soon as every VM has it, whether the demand continues or has ended.
func TestLowerCapHoldsForLoans(t *testing.T) {
	tests := []struct {
		name   string
		cap    int64
		demand int
	}{
		{name: "a quarter, demand continues", cap: 25_000, demand: 40},
		{name: "a quarter, demand has ended", cap: 25_000},
		{name: "closed, demand continues", cap: 0, demand: 40},
		{name: "closed, demand has ended", cap: 0},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			sml := newSim(*seed, 7)
			for range 400 {
				sml.tick(func(*vm) int { return 0 })
			}
			overload := func(size int) func(*vm) int {
				return func(one *vm) int {
					if one == sml.vms[0] || one == sml.vms[1] {
						return size
					}
					return 0
				}
			}
			for range 20 {
				sml.tick(overload(40))
			}
			sml.capacity["link/gulf/delta"] = tst.cap
			for _, one := range sml.vms {
				one.setResources(2)
			}
			for step := range 300 {
				if rates, _ := sml.inUse(); rates > tst.cap {
					t.Fatalf("seed %d: %d bytes/s can be used %d00 ms after the edit, the cap is %d", *seed, rates, step, tst.cap)
				}
				sml.tick(overload(tst.demand))
			}
		})
	}
}
