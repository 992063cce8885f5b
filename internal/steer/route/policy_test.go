package route_test

import (
	"flag"
	"fmt"
	"testing"
	"time"
)

var (
	seed    = flag.Int64("seed", time.Now().UnixNano(), "seed of the properties")
	simSeed = flag.Uint64("sim-seed", 0, "seed of the simulation; 0 selects the seeds 1 and 2")
)

// Guards against a policy that reacts to stragglers too late, or whose hedges add too much load.
func TestPolicyAgainstNaive(t *testing.T) {
	seeds := []uint64{1, 2}
	if *simSeed != 0 {
		seeds = []uint64{*simSeed}
	}
	for _, sed := range seeds {
		for _, exponential := range []bool{false, true} {
			t.Run(fmt.Sprintf("seed %d exponential %v", sed, exponential), func(t *testing.T) {
				t.Parallel()
				compare(t, simConfig{
					seed:        sed,
					stragglers:  true,
					exponential: exponential,
				})
			})
		}
	}
}

func compare(t *testing.T, cfg simConfig) {
	policy := runSim(cfg)
	cfg.naive = true
	naive := runSim(cfg)
	cfg.naive, cfg.stragglers = false, false
	healthy := runSim(cfg)
	t.Logf("p99 naive %v, policy %v, policy without stragglers %v; hedges %d and %d of %d",
		naive.p99, policy.p99, healthy.p99, policy.hedges, healthy.hedges, policy.requests)
	if 4*policy.p99 > naive.p99 {
		t.Errorf("p99 %v is more than a quarter of naive's %v", policy.p99, naive.p99)
	}
	if 2*policy.p99 > 3*healthy.p99 {
		t.Errorf("p99 %v is more than 1.5 times the %v without stragglers", policy.p99, healthy.p99)
	}
	if 100*policy.hedges > 3*policy.requests || 100*healthy.hedges > 3*healthy.requests {
		t.Errorf("%d and %d hedges are more than 3%% of %d requests", policy.hedges, healthy.hedges, policy.requests)
	}
	if policy.shareExceeded+healthy.shareExceeded > 0 {
		t.Errorf("requests in flight exceeded the share %d times", policy.shareExceeded+healthy.shareExceeded)
	}
}
