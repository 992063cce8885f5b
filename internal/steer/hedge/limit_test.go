package hedge_test

import (
	"flag"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"cardamompass/internal/steer/hedge"
)

var seed = flag.Int64("seed", time.Now().UnixNano(), "seed of the properties")

var start = time.Unix(1_700_000_000, 0)

// tick is the resolution of the simulated fleet, ticksPerWindow the number of ticks in hedge.Window.
const (
	tick           = 50 * time.Millisecond
	ticksPerWindow = int(hedge.Window / tick)
)

// fleetRun counts the requests and the hedges of a VM for each tick, and holds the tick of its last start.
type fleetRun struct{ requests, hedges, started []int }

func (run fleetRun) sum(of []int, from, until int) (sum int) {
	for num := max(0, from); num < until; num++ {
		sum += of[num]
	}
	return sum
}

// simulate runs a VM that hedges whenever it may. Its load alternates between phases of random length without requests, with few and with
// many; in some phases nothing wants a hedge, so that tokens could accumulate. A start replaces the state.
func simulate(rnd *rand.Rand, percent, ticks int) (run fleetRun) {
	lim := &hedge.Limit{}
	rate, eager, phase, started := 0.0, false, 0, 0
	for num := range ticks {
		if phase--; phase <= 0 {
			phase = 1 + rnd.IntN(150)
			rate = []float64{0, 0.2, 2, 30}[rnd.IntN(4)]
			eager = rnd.IntN(3) > 0
			if rnd.IntN(8) == 0 {
				lim, started = &hedge.Limit{}, num
			}
		}
		now := start.Add(time.Duration(num) * tick)
		run.requests, run.hedges, run.started = append(run.requests, 0), append(run.hedges, 0), append(run.started, started)
		for range int(rate + rnd.Float64()) {
			lim.Request(percent, now)
			run.requests[num]++
		}
		for eager && lim.Take(percent, now) {
			run.hedges[num]++
			if rnd.IntN(4) == 0 { // the retry budget did not allow it
				lim.Return(now)
				run.hedges[num]--
				break
			}
		}
	}
	return run
}

// Guards against hedges above the limit: a minimum for each VM that adds up over many, tokens that survive a quiet time or a restart, and
// tokens that are earned while VMs don't see each other. VMs never communicate about the limit, so a cut between them changes only their
// load.
func TestLimitHoldsOverAnyWindowOfAllVMs(t *testing.T) {
	prm := gopter.DefaultTestParametersWithSeed(*seed)
	prm.MinSuccessfulTests = 40
	prs := gopter.NewProperties(prm)
	prs.Property("the hedges of a window are within the limit", prop.ForAll(func(seed uint64, vms, percent int) bool {
		rnd := rand.New(rand.NewPCG(seed, 1))
		const ticks = 1200
		total := fleetRun{requests: make([]int, ticks), hedges: make([]int, ticks)}
		for range vms {
			run := simulate(rnd, percent, ticks)
			for num := range ticks {
				total.requests[num] += run.requests[num]
				total.hedges[num] += run.hedges[num]
				if run.hedges[num] == 0 {
					continue
				}
				from, until := max(run.started[num], num+1-ticksPerWindow), num+1
				if 100*run.sum(run.hedges, from, until) > percent*run.sum(run.requests, from, until) {
					t.Logf("tick %d: %d hedges, %d requests", num, run.sum(run.hedges, from, until), run.sum(run.requests, from, until))
					return false
				}
			}
		}
		for until := ticksPerWindow; until <= ticks; until++ {
			from := until - ticksPerWindow
			if 100*total.sum(total.hedges, from, until) > percent*total.sum(total.requests, from-ticksPerWindow, until) {
				return false
			}
		}
		return true
	}, gen.UInt64(), gen.IntRange(1, 40), gen.IntRange(1, hedge.MaxPercent)))
	prs.TestingRun(t)
}

// Guards against hedges above the limit in a window of a fleet with steady load, where part of the hedges were earned before the window.
func TestLimitHoldsWithSteadyLoad(t *testing.T) {
	const vms, percent, ticks = 67, 5, 1200
	rnd := rand.New(rand.NewPCG(uint64(*seed), 2))
	requests, hedges := make([]int, ticks), make([]int, ticks)
	for range vms {
		lim := &hedge.Limit{}
		for num := range ticks {
			now := start.Add(time.Duration(num) * tick)
			for range 2 { // 40 requests per second
				lim.Request(percent, now)
				requests[num]++
			}
			for rnd.IntN(60) == 0 && lim.Take(percent, now) { // bursts of hedges with pauses in which tokens accumulate
				for lim.Take(percent, now) {
					hedges[num]++
				}
				hedges[num]++
			}
		}
	}
	run := fleetRun{requests: requests, hedges: hedges}
	for until := ticksPerWindow; until <= ticks; until++ {
		from := until - ticksPerWindow
		if got, most := run.sum(hedges, from, until), run.sum(requests, from, until)*percent/100; got > most {
			t.Fatalf("%d hedges in the window that ends at tick %d, at most %d are allowed", got, until, most)
		}
	}
	if run.sum(hedges, 0, ticks) == 0 {
		t.Fatal("no hedge was allowed")
	}
}

// Guards against VMs that have sent nothing and may hedge: 430 VMs with one token each are above the limit together.
func TestNewVMHasNoTokens(t *testing.T) {
	lim := &hedge.Limit{}
	for num := range 20 {
		if lim.Allows(5, start) {
			t.Fatalf("a hedge is allowed after %d requests", num)
		}
		lim.Request(5, start)
	}
	if !lim.Take(5, start) || lim.Allows(5, start) {
		t.Fatal("20 requests earn something else than one hedge at 5%")
	}
	for range 20 {
		lim.Request(5, start.Add(time.Second))
	}
	if !lim.Allows(5, start.Add(time.Second)) || lim.Allows(1, start.Add(time.Second)) {
		t.Fatal("a lower limit does not apply at once")
	}
	if lim.Allows(5, start.Add(hedge.Window+2*time.Second)) {
		t.Fatal("tokens outlive the window")
	}
}
