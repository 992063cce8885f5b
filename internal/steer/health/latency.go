package health

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// latencyWindow is the time after which the older half of the latencies is forgotten.
	latencyWindow = 5 * time.Second
	// refreshEvery is the number of latencies between two evaluations of the quantiles.
	refreshEvery = 64
	// minSamples is the number of latencies from which on the quantiles are used.
	minSamples = 16
	// smoothing is the weight of one latency in the smoothed value.
	smoothing = 1.0 / 32
	// maxLatency bounds the recorded latencies; longer ones count as this.
	maxLatency = 5 * time.Minute
)

// Latency describes the recent latency of a service. All values are zero until enough requests were answered.
type Latency struct {
	// Smoothed is an exponentially weighted mean.
	Smoothed time.Duration
	// Usual is the 75th percentile: most requests take less, and it hardly moves while under a tenth of the targets are
	// stragglers. Three times the median lies within the normal range of services with exponentially distributed times,
	// and marked so many good targets as stragglers that the real ones were not told apart.
	Usual time.Duration
	// P95 is the 95th percentile.
	P95 time.Duration
}

// latencies keeps the latencies of one service in two histograms that take turns.
type latencies struct {
	mut     sync.Mutex
	current *hdrhistogram.Histogram
	older   *hdrhistogram.Histogram
	rotated time.Time
	pending int
	lat     Latency
}

func newLatencies() (lts *latencies) {
	// Two significant figures from 1 us on keep the error below 1% in about 20 KB for each histogram.
	return &latencies{
		current: hdrhistogram.New(1, maxLatency.Microseconds(), 2),
		older:   hdrhistogram.New(1, maxLatency.Microseconds(), 2),
	}
}

func (lts *latencies) record(dur time.Duration, now time.Time) {
	lts.mut.Lock()
	defer lts.mut.Unlock()
	if now.Sub(lts.rotated) >= latencyWindow {
		lts.current, lts.older = lts.older, lts.current
		lts.current.Reset()
		lts.rotated = now
	}
	dur = min(max(dur, time.Microsecond), maxLatency)
	// The value is within the histogram's range, so that the call cannot fail.
	_ = lts.current.RecordValue(dur.Microseconds())
	if lts.lat.Smoothed == 0 {
		lts.lat.Smoothed = dur
	}
	lts.lat.Smoothed += time.Duration(smoothing * float64(dur-lts.lat.Smoothed))
	lts.pending++
	total := lts.current.TotalCount() + lts.older.TotalCount()
	if total >= minSamples && (lts.pending >= refreshEvery || lts.lat.Usual == 0) {
		lts.pending = 0
		lts.refresh()
	}
}

// refresh takes the quantiles from the histogram with more latencies, so that a rotation does not leave the estimate
// to a few of them.
func (lts *latencies) refresh() {
	hst := lts.current
	if hst.TotalCount() < lts.older.TotalCount() && hst.TotalCount() < 4*refreshEvery {
		hst = lts.older
	}
	lts.lat.Usual = time.Duration(hst.ValueAtQuantile(75)) * time.Microsecond
	lts.lat.P95 = time.Duration(hst.ValueAtQuantile(95)) * time.Microsecond
}

func (lts *latencies) get() (lat Latency) {
	lts.mut.Lock()
	defer lts.mut.Unlock()
	lat = lts.lat
	if lat.Usual == 0 {
		return Latency{}
	}
	return lat
}
