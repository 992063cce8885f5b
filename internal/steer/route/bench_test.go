package route_test

import (
	"fmt"
	"testing"

	"cardamompass"
	"cardamompass/internal/steer/route"
)

// BenchmarkSubset measures the division of one service's targets of one region among the entry VMs. Each VM computes it
// for each service and region after a change of the membership. The metric targets is the VM's resulting number of
// targets.
func BenchmarkSubset(b *testing.B) {
	for _, vms := range []int{7, 50, 200, 430} {
		for _, count := range []int{20, 100, 450} {
			cfg := route.SubsetConfig{
				Self: "vm-000",
			}
			for num := range vms {
				cfg.VMs = append(cfg.VMs, cardamompass.VMID(fmt.Sprintf("vm-%03d", num)))
			}
			for num := range count {
				cfg.Targets = append(cfg.Targets, cardamompass.Target{
					ID:          cardamompass.TargetID(fmt.Sprintf("site-core-%03d", num)),
					Connections: 330,
				})
			}
			b.Run(fmt.Sprintf("vms=%d/targets=%d", vms, count), func(b *testing.B) {
				used := 0
				for b.Loop() {
					used = len(route.Subset(cfg))
				}
				b.ReportMetric(float64(used), "targets")
			})
		}
	}
}
