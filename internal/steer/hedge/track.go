package hedge

import (
	"math"
	"time"
)

const (
	// minLatency and maxLatency bound the latencies that are told apart, bucketRatio is the ratio of neighbouring bounds of buckets. An
	// estimate is at most that factor too high.
	minLatency  = time.Millisecond
	maxLatency  = time.Minute
	bucketRatio = 1.1
	// bucketCount is the number of buckets: the logarithm of maxLatency / minLatency to the base bucketRatio, rounded up, and one for
	// everything below minLatency.
	bucketCount = 117
	// minWeight is the weight of the observations from which a quantile is estimated. It is the number of requests of which one is above
	// the quantile of the smallest limit, 1%.
	minWeight = 100
	// maxWeight is the weight at which all observations lose half of their weight: 20 to 40 observations are above the quantile of 1%
	// then, and with 50 requests per second the estimate follows a change within half a minute.
	maxWeight = 4096
	// halfLife is the time after which observations lose half of their weight even on a route with few requests.
	halfLife = time.Minute
	// MaxRoutes is the number of routes that a Tracker keeps. With 1 KB for each they take 2 MB, of the 184 MB of the smallest VMs.
	MaxRoutes = 2048
)

// Estimate is what is known about the latency of the first attempts on a route. The zero value means that too little is known.
type Estimate struct {
	// Usual is the median latency.
	Usual time.Duration
	// Quantile is the latency that Percent of the attempts exceed.
	Quantile time.Duration
}

// Tracker estimates quantiles of the latencies of first attempts, for each route. It is not safe for concurrent use.
type Tracker struct {
	routes map[string]*histogram
}

// NewTracker returns a Tracker without observations.
func NewTracker() (trk *Tracker) {
	return &Tracker{
		routes: make(map[string]*histogram),
	}
}

// Record adds the latency ela of a first attempt on a route. censored is set for an attempt that was cancelled, or whose deadline passed,
// after ela: its latency is only known to be longer.
func (trk *Tracker) Record(route string, ela time.Duration, censored bool, now time.Time) {
	hgm, ok := trk.routes[route]
	if !ok {
		if len(trk.routes) >= MaxRoutes {
			trk.removeOldest()
		}
		hgm = &histogram{
			decayedAt: now,
		}
		trk.routes[route] = hgm
	}
	hgm.record(ela, censored, now)
}

// removeOldest removes the route whose last observation is the oldest.
func (trk *Tracker) removeOldest() {
	oldest, found := "", false
	for route, hgm := range trk.routes {
		if !found || hgm.usedAt.Before(trk.routes[oldest].usedAt) {
			oldest, found = route, true
		}
	}
	delete(trk.routes, oldest)
}

// Estimate returns the estimate for a route, with the quantile that percent of the first attempts exceed.
func (trk *Tracker) Estimate(route string, percent int) (est Estimate) {
	hgm, ok := trk.routes[route]
	if !ok || hgm.weight < minWeight {
		return est
	}
	return hgm.estimate(float64(percent) / 100)
}

// histogram holds decaying counts of latencies in buckets of logarithmic width.
type histogram struct {
	// ended counts the attempts that were answered, censored those whose latency is only known to be longer.
	ended     [bucketCount]float32
	censored  [bucketCount]float32
	weight    float32
	decayedAt time.Time
	usedAt    time.Time
}

func (hgm *histogram) record(ela time.Duration, censored bool, now time.Time) {
	hgm.usedAt = now
	if periods := now.Sub(hgm.decayedAt) / halfLife; periods > 0 {
		hgm.scale(float32(math.Pow(0.5, float64(periods))))
		hgm.decayedAt = now
	}
	if hgm.weight >= maxWeight {
		hgm.scale(0.5)
	}
	if num := bucketOf(ela); censored {
		hgm.censored[num]++
	} else {
		hgm.ended[num]++
	}
	hgm.weight++
}

func (hgm *histogram) scale(factor float32) {
	for num := range bucketCount {
		hgm.ended[num] *= factor
		hgm.censored[num] *= factor
	}
	hgm.weight *= factor
}

// estimate returns the median and the latency that the given fraction of the attempts exceed. It is the product-limit estimate
// (Kaplan-Meier), in which an attempt that was cancelled counts as running up to then and not afterwards. Leaving such attempts out, or
// taking the time of their cancellation for their latency, would make each estimate lower than the last: only slow attempts are cancelled.
func (hgm *histogram) estimate(fraction float64) (est Estimate) {
	left := 0.0
	for num := range bucketCount {
		left += float64(hgm.ended[num]) + float64(hgm.censored[num])
	}
	survival := 1.0
	highest := 0
	for num := range bucketCount {
		ended, censored := float64(hgm.ended[num]), float64(hgm.censored[num])
		if ended+censored == 0 {
			continue
		}
		highest = num
		survival *= max(0, 1-ended/left)
		if est.Usual == 0 && survival <= 0.5 {
			est.Usual = boundOf(num)
		}
		if survival <= fraction {
			est.Quantile = boundOf(num)
			return est
		}
		left -= ended + censored
	}
	// All of the slowest attempts were cancelled: their latency is longer than anything observed.
	est.Quantile = boundOf(highest)
	if est.Usual == 0 {
		est.Usual = est.Quantile
	}
	return est
}

var logRatio = math.Log(bucketRatio)

// bucketOf returns the index of the bucket of a latency.
func bucketOf(ela time.Duration) (num int) {
	if ela <= minLatency {
		return 0
	}
	return min(bucketCount-1, int(math.Ceil(math.Log(float64(ela)/float64(minLatency))/logRatio)))
}

// boundOf returns the upper bound of a bucket. The last one has none and returns the latency up to which others were told apart.
func boundOf(num int) (ela time.Duration) {
	return min(maxLatency, time.Duration(float64(minLatency)*math.Pow(bucketRatio, float64(num))))
}
