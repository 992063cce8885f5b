package direct

import "cardamompass"

const (
	// namedWeight is the weight of a VM that look-ups of callers of its region name, otherWeight that of other VMs. Few callers use those.
	namedWeight = 1
	otherWeight = 0.1
)

// Weights returns the weight of each VM: how many requests it is expected to get, relative to the others.
func Weights(vms []cardamompass.VM) (weights map[cardamompass.VMID]float64) {
	type domain struct {
		region cardamompass.Region
		domain cardamompass.FailureDomain
	}
	weights = make(map[cardamompass.VMID]float64, len(vms))
	domains := make(map[domain]bool)
	for _, vmc := range vms {
		weights[vmc.ID] = otherWeight
		domains[domain{
			region: vmc.Region,
			domain: vmc.FailureDomain,
		}] = true
	}
	for dom := range domains {
		for _, vmc := range Named(vms, cardamompass.Lookup{
			Region:        dom.region,
			FailureDomain: dom.domain,
		}, nil) { // each of these regions has a VM
			weights[vmc.ID] = namedWeight
		}
	}
	return weights
}
