package route

import (
	"cmp"
	"slices"

	"cardamompass"
)

const (
	// connectionHeadroom is the part of a target's connections that is divided among the VMs. The rest is a reserve for
	// times when the VMs have different views of the fleet.
	connectionHeadroom = 0.9
	// DefaultMinConnections is the minimum number of connections to one target: one for an attempt and one for a
	// concurrent hedge or probe.
	DefaultMinConnections = 2
)

// SubsetConfig describes the fleet for Subset.
type SubsetConfig struct {
	// Self is the VM for which the subset is computed.
	Self cardamompass.VMID
	// VMs lists all live entry VMs, in any order.
	VMs []cardamompass.VMID
	// Targets lists all targets of one service in one region, in any order.
	Targets []cardamompass.Target
	// MinConnections is the minimum number of connections to one target; DefaultMinConnections when zero.
	MinConnections int
}

// Connection is a target and the number of connections that the VM keeps to it.
type Connection struct {
	Target cardamompass.TargetID
	Count  int
}

// Subset returns the targets to which the VM keeps connections, in the order of their ids. Each VM gets all targets
// while the targets' connections suffice for that. Otherwise the pairs of VM and target are assigned in rendezvous
// order until the VM has reached its quota or the target's connections are used up. VMs with the same view never
// exceed the connections of a target together, and adding or removing a VM or a target changes few other pairs.
//
// The cost is O(V*T log(V*T)) for V VMs and T targets, so call it only when the fleet or the catalogue changes.
func Subset(cfg SubsetConfig) (cns []Connection) {
	least := cfg.MinConnections
	if least <= 0 {
		least = DefaultMinConnections
	}
	vms := len(cfg.VMs)
	if vms == 0 || !slices.Contains(cfg.VMs, cfg.Self) {
		return nil
	}
	free, total, all := make([]int, len(cfg.Targets)), 0, true
	for i, tgt := range cfg.Targets {
		share := int(float64(tgt.Connections)*connectionHeadroom) / least
		free[i] = min(share, vms)
		total += free[i]
		all = all && share >= vms
	}
	if all {
		return divideConnections(cfg, vms)
	}
	return assignPairs(cfg, free, max(1, total/vms), least)
}

func divideConnections(cfg SubsetConfig, vms int) (cns []Connection) {
	for _, tgt := range cfg.Targets {
		cns = append(cns, Connection{
			Target: tgt.ID,
			Count:  int(float64(tgt.Connections)*connectionHeadroom) / vms,
		})
	}
	return sortConnections(cns)
}

type vmTargetPair struct {
	rank uint64
	vm   int32
	tgt  int32
}

func assignPairs(cfg SubsetConfig, free []int, quota, least int) (cns []Connection) {
	prs := make([]vmTargetPair, 0, len(cfg.VMs)*len(cfg.Targets))
	for vm, vid := range cfg.VMs {
		for tgt := range cfg.Targets {
			prs = append(prs, vmTargetPair{
				rank: Rank(vid, cfg.Targets[tgt].ID),
				vm:   int32(vm),
				tgt:  int32(tgt),
			})
		}
	}
	slices.SortFunc(prs, func(one, two vmTargetPair) int { return cmp.Compare(two.rank, one.rank) })
	have := make([]int, len(cfg.VMs))
	for _, par := range prs {
		if have[par.vm] >= quota || free[par.tgt] == 0 {
			continue
		}
		have[par.vm]++
		free[par.tgt]--
		if cfg.VMs[par.vm] == cfg.Self {
			cns = append(cns, Connection{
				Target: cfg.Targets[par.tgt].ID,
				Count:  least,
			})
		}
	}
	return sortConnections(cns)
}

func sortConnections(cns []Connection) (sorted []Connection) {
	slices.SortFunc(cns, func(one, two Connection) int { return cmp.Compare(one.Target, two.Target) })
	return cns
}
