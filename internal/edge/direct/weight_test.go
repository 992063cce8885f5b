package direct_test

import (
	"fmt"
	"testing"

	"cardamompass"
	"cardamompass/internal/edge/direct"
)

// Guards against base shares for VMs that look-ups do not name, and small ones for those that they name.
func TestWeightsFollowLookups(t *testing.T) {
	var vms []cardamompass.VM
	for _, dom := range []string{"g-1", "g-2", "d-1"} {
		for num, capacity := range []float64{1500, 76, 76} {
			vmc := vm(dom+string(rune('a'+num)), dom[:1], dom)
			vmc.Capacity = capacity
			vms = append(vms, vmc)
		}
	}
	weights := direct.Weights(vms)
	for _, vmc := range vms {
		named := false
		for _, dom := range vms {
			for _, adr := range direct.Addresses(vms, cardamompass.Lookup{Region: dom.Region, FailureDomain: dom.FailureDomain}, nil) {
				named = named || adr == vmc.CallerAddress
			}
		}
		if want := map[bool]float64{true: 1, false: 0.1}[named]; weights[vmc.ID] != want {
			t.Errorf("weight of %s: %v, want %v", vmc.ID, weights[vmc.ID], want)
		}
	}
}

// BenchmarkWeights measures the weights of a fleet of the largest size.
func BenchmarkWeights(b *testing.B) {
	var vms []cardamompass.VM
	for num := range 430 {
		dom := string(rune('a' + num%11))
		vmc := vm(fmt.Sprint("vm-", num), string(rune('a'+num%11%4)), dom)
		vmc.Capacity = float64(100 + 1400*(num%3/2))
		vms = append(vms, vmc)
	}
	for b.Loop() {
		direct.Weights(vms)
	}
}
