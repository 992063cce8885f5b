package quota_test

import (
	"cmp"
	"fmt"
	"math"
	"testing"
	"time"

	"cardamompass"
)

func team(name string, rate, burst float64) (tea *cardamompass.Team) {
	return &cardamompass.Team{
		Name:  cardamompass.TeamName(name),
		Rate:  rate,
		Burst: burst,
	}
}

func teams() []*cardamompass.Team {
	return []*cardamompass.Team{team("large", 400, 400), team("steady", 300, 0), team("middle", 40, 40), team("small", 8, 8)}
}

// totalWeight returns the sum of the weights of the VMs that callers use.
func (sml *sim) totalWeight() (sum float64) {
	for _, vmc := range sml.vms {
		if vmc.weight == 1 {
			sum++
		}
	}
	return sum
}

// usual spreads a fraction of each team's rate over the VMs that look-ups return, with a wave of 55% in each region.
func (sml *sim) usual(fraction float64) func(vmc *simVM, tea *cardamompass.Team) float64 {
	return func(vmc *simVM, tea *cardamompass.Team) float64 {
		if vmc.weight < 1 {
			return 0
		}
		phase := 2 * math.Pi * (sml.now.Seconds()/36 + float64(vmc.region)/3)
		return fraction * tea.Rate / sml.totalWeight() * (1 + 0.55*math.Sin(phase))
	}
}

// deployed returns teams as in the deployments: a few large ones and many small ones.
func deployed() (all []*cardamompass.Team) {
	for num := range 87 {
		rate := 400.0
		if num >= 4 {
			rate = 5 + float64(num%30)
		}
		all = append(all, team(fmt.Sprint("team-", num), rate, rate))
	}
	return all
}

// Guards against requests within the quota that are refused where callers use some of the VMs or one of them, or move. Each team sends
// 62% of its rate. A caller that is refused returns once.
func TestServesWithinQuota(t *testing.T) {
	one := func(id cardamompass.VMID) func(*sim) demand {
		return func(*sim) demand {
			return func(vmc *simVM, tea *cardamompass.Team) float64 {
				if vmc.id == id {
					return 0.62 * tea.Rate
				}
				return 0
			}
		}
	}
	waves := func(sml *sim) demand { return sml.usual(0.62) }
	moving := func(sml *sim) demand {
		return func(vmc *simVM, tea *cardamompass.Team) float64 {
			from := int(sml.now/(8*time.Second)) % 6
			moved := map[int]float64{from: 0.3, (from + 1) % 6: 1.7}
			return sml.usual(0.62)(vmc, tea) * cmp.Or(moved[vmc.domain], 1)
		}
	}
	some := teams()[:1]
	few := teams()[2:3]
	for _, cse := range []struct {
		name   string
		count  int
		teams  []*cardamompass.Team
		demand func(sml *sim) demand
		// first and final are the least fractions that are served by the first and by the second answer.
		first, final float64
	}{
		{"waves", 37, deployed(), waves, 0.97, 0.99},
		{"waves", 67, deployed(), waves, 0.93, 0.98},
		{"moving", 37, deployed(), moving, 0.96, 0.99},
		{"one of the VMs that look-ups name", 37, some, one("vm-001"), 0.98, 0.99},
		{"one of the other VMs", 37, some, one("vm-020"), 0.98, 0.99},
		{"one VM, a smaller team", 37, few, one("vm-020"), 0.95, 0.98},
	} {
		t.Run(fmt.Sprintf("%s of %d", cse.name, cse.count), func(t *testing.T) {
			sml := newSim(1, cse.count, cse.teams...)
			sml.demand = cse.demand(sml)
			sml.run(15 * time.Second)
			clear(sml.sent)
			clear(sml.refused)
			clear(sml.failed)
			sml.sentLen = 0
			sml.run(20 * time.Second)
			sent, refused, failed := 0, 0, 0
			for _, tea := range cse.teams {
				sent += sml.sent[tea.Name]
				refused += sml.refused[tea.Name]
				failed += sml.failed[tea.Name]
			}
			first, final := 1-float64(refused)/float64(sent), 1-float64(failed)/float64(sent)
			t.Logf("served %.4f by the first answer, %.4f by the second; %d bytes/s of a VM on average", first, final, sml.sentLen/20/cse.count)
			if first < cse.first || final < cse.final {
				t.Errorf("want %v and %v", cse.first, cse.final)
			}
		})
	}
}
