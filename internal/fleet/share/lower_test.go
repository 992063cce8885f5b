package share_test

import "testing"

// Guards against loans that keep the size of an earlier, higher cap: after a storm has moved units between VMs, a lowered
// cap must hold from the moment at which every VM has it, whether the demand goes on or has ended.
func TestLowerCapHoldsForLoans(t *testing.T) {
	tests := []struct {
		name   string
		cap    int64
		demand int
	}{
		{name: "a quarter, demand goes on", cap: 25_000, demand: 40},
		{name: "a quarter, demand has ended", cap: 25_000},
		{name: "closed, demand goes on", cap: 0, demand: 40},
		{name: "closed, demand has ended", cap: 0},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			wld := newWorld(*seed, 7)
			for range 400 {
				wld.tick(func(*vm) int { return 0 })
			}
			storm := func(size int) func(*vm) int {
				return func(one *vm) int {
					if one == wld.vms[0] || one == wld.vms[1] {
						return size
					}
					return 0
				}
			}
			for range 20 {
				wld.tick(storm(40))
			}
			wld.capacity["link/gulf/delta"] = tst.cap
			for _, one := range wld.vms {
				one.setResources(2)
			}
			for step := range 300 {
				if rates, _ := wld.check(); rates > tst.cap {
					t.Fatalf("seed %d: %d bytes/s can be used %d00 ms after the edit, the cap is %d", *seed, rates, step, tst.cap)
				}
				wld.tick(storm(tst.demand))
			}
		})
	}
}
