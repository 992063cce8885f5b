package quota_test

import (
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

// Guards against requests within the quota that are refused where callers use some of the VMs, one VM, or move.
func TestServesWithinQuota(t *testing.T) {
	for _, cse := range []struct {
		name   string
		count  int
		demand func(sml *sim) func(vmc *simVM, tea *cardamompass.Team) float64
	}{
		{"waves", 37, func(sml *sim) func(*simVM, *cardamompass.Team) float64 { return sml.usual(0.62) }},
		{"waves-67", 67, func(sml *sim) func(*simVM, *cardamompass.Team) float64 { return sml.usual(0.62) }},
		{"waves-200", 200, func(sml *sim) func(*simVM, *cardamompass.Team) float64 { return sml.usual(0.62) }},
		{"one-strong", 37, func(sml *sim) func(*simVM, *cardamompass.Team) float64 {
			return func(vmc *simVM, tea *cardamompass.Team) float64 {
				if vmc.id == "vm-001" {
					return 0.62 * tea.Rate
				}
				return 0
			}
		}},
		{"one-weak", 37, func(sml *sim) func(*simVM, *cardamompass.Team) float64 {
			return func(vmc *simVM, tea *cardamompass.Team) float64 {
				if vmc.id == "vm-010" {
					return 0.62 * tea.Rate
				}
				return 0
			}
		}},
		{"moving", 37, func(sml *sim) func(*simVM, *cardamompass.Team) float64 {
			return func(vmc *simVM, tea *cardamompass.Team) float64 {
				rate := sml.usual(0.62)(vmc, tea)
				if from := int(sml.now/(8*time.Second)) % 6; vmc.domain == from {
					return rate * 0.3
				} else if vmc.domain == (from+1)%6 {
					return rate * 1.7
				}
				return rate
			}
		}},
		{"jumping", 37, func(sml *sim) func(*simVM, *cardamompass.Team) float64 {
			return func(vmc *simVM, tea *cardamompass.Team) float64 {
				if vmc.weight == 1 && vmc.domain == int(sml.now/(6*time.Second))%6 {
					return 0.62 * tea.Rate / 2
				}
				return 0
			}
		}},
	} {
		t.Run(cse.name, func(t *testing.T) {
			sml := newSim(1, cse.count, teams()...)
			sml.demand = cse.demand(sml)
			sml.run(6 * time.Second)
			for _, tea := range teams() {
				sml.served(tea.Name)
			}
			sml.sentLen = 0
			sml.run(36 * time.Second)
			for _, tea := range teams() {
				t.Logf("%s %s served %.4f most %.3f bytes/s/vm %.0f\n", cse.name, tea.Name, sml.served(tea.Name), sml.most(tea), float64(sml.sentLen)/36/float64(cse.count))
			}
		})
	}
}
