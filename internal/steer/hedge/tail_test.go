package hedge_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"cardamompass/internal/steer/hedge"
)

const modelTime = 200 * time.Second

func steady(perSecond float64) (rate func(ela time.Duration) float64) {
	return func(time.Duration) float64 { return perSecond }
}

// tailRuns is the number of runs whose p99 is compared. That of one run varies by 3%, so that a single comparison says little.
const tailRuns = 4

// runAll plays the model with a limit for several seeds, beside each other.
func runAll(percent int) (results []modelResult) {
	results = make([]modelResult, tailRuns)
	var wtg sync.WaitGroup
	for num := range results {
		wtg.Go(func() { results[num] = newModel(uint64(*seed)+uint64(num), percent).run(modelTime, steady(120)) })
	}
	wtg.Wait()
	return results
}

// Guards against hedges that don't shorten the tail of the latencies, and against more of them than the limit allows. Limits of 1% and 2%
// can't remove a tail of 3%; they must not make it longer.
func TestHedgesShortenTheTail(t *testing.T) {
	none := runAll(never)
	for _, tst := range []struct {
		percent int
		most    float64 // p99 relative to that without hedges, mean of the runs
	}{
		{0, 0.85},
		{1, 1.05},
		{2, 1.05},
		{5, 0.9},
		{10, 0.85},
	} {
		mean := 0.0
		for num, res := range runAll(tst.percent) {
			t.Logf("limit %2d%%: %v; no hedges: %v", tst.percent, res, none[num])
			mean += res.quantile(0.99).Seconds() / none[num].quantile(0.99).Seconds() / tailRuns
			if tst.percent == 0 {
				continue // the rule without a limit
			}
			if 100*res.hedges > tst.percent*res.requests {
				t.Errorf("limit %d%%: %d hedges of %d requests", tst.percent, res.hedges, res.requests)
			}
			if work := 100 * res.secondTime.Seconds() / res.firstTime.Seconds(); work > float64(tst.percent) {
				t.Errorf("limit %d%%: the hedges make %.2f%% more work; seed %d", tst.percent, work, *seed)
			}
		}
		if mean > tst.most {
			t.Errorf("limit %d%%: p99 is %.2f of that without hedges, want at most %.2f; seed %d", tst.percent, mean, tst.most, *seed)
		}
	}
}

// Guards against extra work for busy targets: in bursts of twice the load that the targets can carry, and between them while the queues
// are long. Hedges in the first second of a burst are not counted, since the VMs learn the load only from responses.
func TestBusyTargetsGetNoHedges(t *testing.T) {
	res := newModel(uint64(*seed), hedge.MaxPercent).run(modelTime, func(ela time.Duration) float64 {
		if ela%(20*time.Second) < 5*time.Second {
			return 500
		}
		return 100
	})
	t.Logf("%v, %d hedges at busy targets, %v", res, res.hedgesAtBusy, res.reasons)
	if res.hedgesAtBusy > 0 {
		t.Errorf("%d hedges were sent after the mean load of the targets had been above 0.9 for %v; seed %d", res.hedgesAtBusy, learnTime, *seed)
	}
	if res.reasons[hedge.Busy] == 0 || res.reasons[hedge.Waited] == 0 || res.reasons[hedge.Allowed] == 0 {
		t.Errorf("reasons %v: the targets were never busy, or always; seed %d", res.reasons, *seed)
	}
}

type modelResult struct {
	latencies              []time.Duration
	requests, refused      int
	hedges, won            int
	hedgesAtBusy           int // hedges sent once the mean load of all targets was above 0.9 for learnTime
	firstTime, secondTime  time.Duration
	reasons                map[hedge.Reason]int
	meanLoad, loadMeasures float64
}

func (res modelResult) quantile(frac float64) (ela time.Duration) {
	return res.latencies[int(frac*float64(len(res.latencies)))]
}

func (res modelResult) String() string {
	return fmt.Sprintf("p50 %4d ms, p99 %4d ms, p99.9 %4d ms, extra requests %5.2f%%, extra work %5.2f%%, won %4.1f%%, refused %.2f%%, load %.2f",
		res.quantile(0.5).Milliseconds(), res.quantile(0.99).Milliseconds(), res.quantile(0.999).Milliseconds(),
		100*float64(res.hedges)/float64(res.requests), 100*res.secondTime.Seconds()/res.firstTime.Seconds(),
		100*float64(res.won)/float64(max(1, res.hedges)), 100*float64(res.refused)/float64(res.requests), res.meanLoad/res.loadMeasures)
}
