package health

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// latencyWindow is the interval at which the older histogram is discarded.
	latencyWindow = 5 * time.Second
	// samplesPerRefresh is the number of samples between two computations of the quantiles.
	samplesPerRefresh = 64
	// minSamples is the minimum number of samples for which the quantiles are computed.
	minSamples = 16
	// smoothing is the weight of one latency in the smoothed value.
	smoothing = 1.0 / 32
	// maxLatency is the largest recorded latency; longer ones are recorded as this value.
	maxLatency = 5 * time.Minute
)

// Latency is the recent latency of a service. All values are zero until enough requests have been answered.
type Latency struct {
	// Smoothed is an exponentially weighted mean.
	Smoothed time.Duration
	// Usual is the 75th percentile: most requests take less, and it hardly changes while fewer than a tenth of the targets
	// are stragglers. The median is not used: with exponentially distributed service times three times the median is
	// within the normal range, so that too many good targets would count as stragglers to identify the real ones.
	Usual time.Duration
	// P95 is the 95th percentile.
	P95 time.Duration
}

// latencies records the latencies of one service in two histograms that are rotated.
type latencies struct {
	mut     sync.Mutex
	current *hdrhistogram.Histogram
	older   *hdrhistogram.Histogram
	rotated time.Time
	pending int
	lat     Latency
}

func newLatencies() (lts *latencies) {
	// Two significant figures from 1 us on keep the error below 1%. Each histogram takes about 20 KB.
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
	if total >= minSamples && (lts.pending >= samplesPerRefresh || lts.lat.Usual == 0) {
		lts.pending = 0
		lts.refresh()
	}
}

// refresh computes the quantiles. Shortly after a rotation it uses the older histogram, so that the estimate does not
// depend on a few samples.
func (lts *latencies) refresh() {
	hst := lts.current
	if hst.TotalCount() < lts.older.TotalCount() && hst.TotalCount() < 4*samplesPerRefresh {
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
