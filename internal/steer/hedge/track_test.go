package hedge_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"cardamompass/internal/steer/hedge"
)

// Guards against an estimate that falls further and further because the slow attempts are cancelled when their hedges win, and against
// one that counts the time of the cancellation as a latency.
func TestCancelledAttemptsDoNotBiasTheEstimate(t *testing.T) {
	rnd := rand.New(rand.NewPCG(uint64(*seed), 3))
	trk := hedge.NewTracker()
	draw := func() time.Duration {
		return time.Duration(100 * math.Exp(0.8*rnd.NormFloat64()) * float64(time.Millisecond))
	}
	const percent, requests = 5, 60_000
	late := 0
	for num := range requests {
		now := start.Add(time.Duration(num) * 10 * time.Millisecond)
		first, second, est := draw(), draw(), trk.Estimate("r", percent)
		switch dly := est.Quantile; {
		case dly == 0 || first <= dly:
			trk.Record("r", first, false, now)
		default:
			late++
			trk.Record("r", min(first, dly+second), first > dly+second, now)
		}
	}
	if share := float64(late) / requests; share < 0.03 || share > 0.06 {
		t.Errorf("%.4f of the attempts were slower than the quantile, want about 0.05; seed %d", share, *seed)
	}
	if got := trk.Estimate("r", percent).Usual; got < 85*time.Millisecond || got > 125*time.Millisecond {
		t.Errorf("median %v, want about 100ms; seed %d", got, *seed)
	}
}

// Guards against an estimate from a few observations, one that never forgets a slow time, and memory that grows with the routes.
func TestTrackerForgets(t *testing.T) {
	trk := hedge.NewTracker()
	for num := range 99 {
		trk.Record("r", time.Second, num%2 == 0, start)
	}
	if est := trk.Estimate("r", 1); est != (hedge.Estimate{}) {
		t.Fatalf("estimate %+v after 99 observations", est)
	}
	trk.Record("r", time.Second, true, start)
	if est := trk.Estimate("r", 1); est.Quantile < time.Second || est.Quantile > 1200*time.Millisecond {
		t.Fatalf("estimate %+v, want about 1s", est)
	}
	for num := range 30_000 {
		trk.Record("r", 20*time.Millisecond, false, start.Add(time.Duration(num)*20*time.Millisecond))
	}
	if est := trk.Estimate("r", 1); est.Quantile > 25*time.Millisecond {
		t.Fatalf("estimate %+v after 10 minutes of 20ms", est)
	}
	for num := range 2 * hedge.MaxRoutes {
		for range 100 {
			trk.Record(fmt.Sprint("r", num), time.Second, false, start.Add(time.Hour+time.Duration(num)*time.Second))
		}
	}
	if trk.Estimate("r0", 1) != (hedge.Estimate{}) || trk.Estimate(fmt.Sprint("r", 2*hedge.MaxRoutes-1), 1) == (hedge.Estimate{}) {
		t.Fatal("the routes used last are not those that are kept")
	}
}

// Guards against a hedge of a request that takes its usual time.
func TestDelayIsAboveTheUsualTime(t *testing.T) {
	inp := hedge.DelayInput{
		Percent:   20,
		Objective: time.Second,
		Median:    400 * time.Millisecond,
		Estimate: hedge.Estimate{
			Usual:    100 * time.Millisecond,
			Quantile: 105 * time.Millisecond,
		},
	}
	if dly := hedge.Delay(inp); dly != 125*time.Millisecond {
		t.Errorf("delay %v, want 125ms", dly)
	}
	inp.Percent = 0
	if dly := hedge.Delay(inp); dly != 505*time.Millisecond {
		t.Errorf("delay without a limit %v, want 505ms", dly)
	}
	inp.Waited = 2 * time.Millisecond
	if dly := hedge.Delay(inp); dly != 503*time.Millisecond {
		t.Errorf("delay without a limit after a wait of 2 ms %v, want 503ms", dly)
	}
	inp.Waited = 200 * time.Millisecond
	if dly := hedge.Delay(inp); dly != 500*time.Millisecond {
		t.Errorf("delay without a limit after a wait of 200 ms %v, want 500ms", dly)
	}
	inp.Median = 900 * time.Millisecond
	if dly := hedge.Delay(inp); dly != 1125*time.Millisecond {
		t.Errorf("delay of a slow route without a limit %v, want 1.125s", dly)
	}
}

// Guards against a hedge where one of the reasons against it holds, against the wrong reason if several hold, and against reasons of the
// limit in a deployment that has none.
func TestDecide(t *testing.T) {
	load := 0.0
	inp := hedge.Input{
		Percent:     5,
		Idempotent:  true,
		Tried:       1,
		MaxTargets:  2,
		Left:        time.Second,
		LimitAllows: true,
		Load:        func() float64 { return load },
		Usual:       100 * time.Millisecond,
		LastRefusal: start.Add(-time.Minute),
		Now:         start,
	}
	// Each step adds a reason that goes before those of the steps above it.
	steps := []struct {
		rsn    hedge.Reason
		change func()
	}{
		{hedge.Allowed, func() {}},
		{hedge.NoTime, func() { inp.Left = 90 * time.Millisecond }},
		{hedge.OverShare, func() { inp.OverShare = true }},
		{hedge.Busy, func() { load = 0.8 }},
		{hedge.Waited, func() { inp.LastRefusal = start.Add(-time.Second / 2) }},
		{hedge.Waited, func() { inp.LastRefusal, inp.Waited = time.Time{}, true }},
		{hedge.LimitUsed, func() { inp.LimitAllows = false }},
		{hedge.NoTime, func() { inp.Left = 40 * time.Millisecond }},
		{hedge.MaxTargets, func() { inp.Tried = 2 }},
		{hedge.NotIdempotent, func() { inp.Idempotent = false }},
	}
	for num, stp := range steps {
		if stp.change(); hedge.Decide(inp) != stp.rsn {
			t.Errorf("step %d: %v, want %v", num, hedge.Decide(inp), stp.rsn)
		}
	}
	inp.Percent, inp.Idempotent, inp.Tried, inp.Left, inp.Load = 0, true, 1, hedge.MinTime, nil
	if rsn := hedge.Decide(inp); rsn != hedge.Allowed {
		t.Errorf("without a limit: %v", rsn)
	}
}

// BenchmarkDecision measures what a request costs with a limit: its credit, its delay, the record of its latency and, as every tenth
// request is slow, the decision about its hedge.
func BenchmarkDecision(b *testing.B) {
	trk, lim := hedge.NewTracker(), &hedge.Limit{}
	rnd := rand.New(rand.NewPCG(1, 1))
	b.ReportAllocs()
	for num := range b.N {
		now := start.Add(time.Duration(num) * time.Millisecond)
		lim.Request(5, now)
		dly := hedge.Delay(hedge.DelayInput{
			Percent:  5,
			Estimate: trk.Estimate("h.example/read/", 5),
		})
		if num%10 == 0 {
			rsn := hedge.Decide(hedge.Input{
				Percent:     5,
				Idempotent:  true,
				MaxTargets:  2,
				Left:        time.Second,
				LimitAllows: lim.Allows(5, now),
				Load:        func() float64 { return 0.3 },
				Now:         now,
			})
			if rsn == hedge.Allowed {
				lim.Take(5, now)
			}
		}
		trk.Record("h.example/read/", dly/4+time.Duration(rnd.ExpFloat64()*float64(50*time.Millisecond)), num%10 == 0, now)
	}
}
