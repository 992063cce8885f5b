package health_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cardamompass/internal/steer/health"
	"cardamompass/internal/steer/route"
)

func BenchmarkBeginDone(b *testing.B) {
	trk := newTracker(20, nil)
	now := epoch
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Microsecond)
		trk.Done(trk.Begin("core-7", now), now, health.Answered)
	}
}

func BenchmarkBeginDoneParallel(b *testing.B) {
	trk := newTracker(20, nil)
	b.ReportAllocs()
	b.RunParallel(func(pbl *testing.PB) {
		for pbl.Next() {
			trk.Done(trk.Begin("core-7", epoch), epoch, health.Answered)
		}
	})
}

// BenchmarkRequestPath is a snapshot, a decision, and the begin and end of a request.
func BenchmarkRequestPath(b *testing.B) {
	trk := newTracker(20, nil)
	var snp route.Snapshot
	var dec route.Decision
	req := route.Request{
		CallerRegion: "gulf",
	}
	b.ReportAllocs()
	for b.Loop() {
		snp = snapshot(trk, 17, epoch, snp)
		dec = route.Decide(&snp, &req, dec)
		cnd, _ := dec.Best()
		tok, _ := trk.BeginWithin(&cnd, epoch)
		trk.Done(tok, epoch, health.Answered)
	}
}

// weighted is the alternative to the histogram: it moves the estimate by a fraction of itself with each latency.
type weighted struct{ est float64 }

func (wgt *weighted) record(val, quantile float64) {
	if val > wgt.est {
		wgt.est += 0.02 * wgt.est * quantile
	} else {
		wgt.est -= 0.02 * wgt.est * (1 - quantile)
	}
}

func latencySample(count int) (vals []float64) {
	rng := rand.New(rand.NewPCG(1, 2))
	for i := range count {
		val := 10000 * math.Exp(0.5*rng.NormFloat64())
		if i%50 == 0 {
			val *= 10
		}
		vals = append(vals, val)
	}
	return vals
}

// report gives the mean relative error in percent of estimates against the exact p95.
func report(b *testing.B, vals, ests []float64) {
	sorted := slices.Clone(vals)
	slices.Sort(sorted)
	exact, sum := sorted[len(sorted)*95/100], 0.0
	for _, est := range ests {
		sum += math.Abs(est-exact) / exact
	}
	b.ReportMetric(100*sum/float64(len(ests)), "%error")
}

func BenchmarkQuantileHistogram(b *testing.B) {
	vals := latencySample(1 << 14)
	var ests []float64
	for b.Loop() {
		hst := hdrhistogram.New(1, 300_000_000, 2)
		ests = ests[:0]
		for i, val := range vals {
			_ = hst.RecordValue(int64(val))
			if i%64 == 63 && i > 1000 {
				ests = append(ests, float64(hst.ValueAtQuantile(95)))
			}
		}
	}
	report(b, vals, ests)
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*len(vals)), "ns/latency")
}

func BenchmarkQuantileWeighted(b *testing.B) {
	vals := latencySample(1 << 14)
	var ests []float64
	for b.Loop() {
		wgt := weighted{
			est: 10000,
		}
		ests = ests[:0]
		for i, val := range vals {
			wgt.record(val, 0.95)
			if i%64 == 63 && i > 1000 {
				ests = append(ests, wgt.est)
			}
		}
	}
	report(b, vals, ests)
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*len(vals)), "ns/latency")
}
