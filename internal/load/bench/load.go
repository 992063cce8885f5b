package bench

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// highestLatency bounds the histograms; longer latencies count as this.
	highestLatency = 2 * time.Minute
	// significantDigits is the precision of the histograms.
	significantDigits = 3
	// seedStream separates the streams of random numbers that one seed gives.
	seedStream = 0x9e3779b97f4a7c15
)

// Arrivals is a Poisson process. It is not safe for concurrent use.
type Arrivals struct {
	rng  *rand.Rand
	rate float64
	at   time.Duration
}

// NewArrivals returns a Poisson process with rate arrivals a second.
func NewArrivals(rate float64, seed uint64) *Arrivals {
	return &Arrivals{
		rng:  newRand(seed),
		rate: rate,
	}
}

// Next returns the time of the next arrival since the start.
func (arr *Arrivals) Next() time.Duration {
	arr.at += time.Duration(arr.rng.ExpFloat64() / arr.rate * float64(time.Second))
	return arr.at
}

func newRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, seedStream)) }

// Outcome is the end of one request.
type Outcome struct {
	OK bool
	// Sendings is the number of sendings of the caller.
	Sendings int
	Bytes    int
	// Reason tells why a request failed.
	Reason string
}

// Recorder records requests. It is safe for concurrent use.
type Recorder struct {
	mtx  sync.Mutex
	hist *hdrhistogram.Histogram
	// seconds counts by the second of the scheduled arrival.
	seconds  []tally
	total    tally
	sendings int
	bytes    int64
	reasons  map[string]int
}

// tally counts requests and those that were answered.
type tally struct{ sent, ok int }

// NewRecorder returns an empty Recorder.
func NewRecorder() *Recorder {
	return &Recorder{
		hist:    hdrhistogram.New(1, highestLatency.Microseconds(), significantDigits),
		reasons: make(map[string]int),
	}
}

// Add records a request that was scheduled at and ended at the given times since the start. The latency of a failed request
// counts too, so that refusing slow requests does not look fast.
func (rcd *Recorder) Add(scheduled, ended time.Duration, oct Outcome) {
	rcd.mtx.Lock()
	defer rcd.mtx.Unlock()
	lat := min(max(ended-scheduled, time.Microsecond), highestLatency)
	_ = rcd.hist.RecordValue(lat.Microseconds())
	sec := int(scheduled / time.Second)
	for len(rcd.seconds) <= sec {
		rcd.seconds = append(rcd.seconds, tally{})
	}
	rcd.total.sent++
	rcd.seconds[sec].sent++
	rcd.sendings += oct.Sendings
	rcd.bytes += int64(oct.Bytes)
	if oct.OK {
		rcd.total.ok++
		rcd.seconds[sec].ok++
	} else {
		rcd.reasons[oct.Reason]++
	}
}

// Quantile returns the latency in milliseconds that the given percentage of requests does not exceed.
func (rcd *Recorder) Quantile(percent float64) (millis float64) {
	rcd.mtx.Lock()
	defer rcd.mtx.Unlock()
	return float64(rcd.hist.ValueAtQuantile(percent)) / 1000
}

// Sent returns the number of requests, OK the number of those that were answered.
func (rcd *Recorder) Sent() int { return rcd.total.sent }

// OK returns the number of requests that were answered.
func (rcd *Recorder) OK() int { return rcd.total.ok }

// success returns the percentage of answered requests that arrived in the seconds from up to until, all of them for 0, 0.
func (rcd *Recorder) success(from, until int) float64 {
	sum := rcd.total
	if until > 0 {
		sum = tally{}
		for _, sec := range rcd.seconds[min(from, len(rcd.seconds)):min(until, len(rcd.seconds))] {
			sum.sent += sec.sent
			sum.ok += sec.ok
		}
	}
	return 100 * float64(sum.ok) / float64(max(1, sum.sent))
}

// load is a stream of requests.
type load struct {
	rate     float64
	duration time.Duration
	seed     uint64
	// send makes request num of the stream and returns when it has ended.
	send func(ctx context.Context, num int) Outcome
	// also, if set, returns a further recorder for request num.
	also func(num int) *Recorder
}

// run sends the requests of a load, waits for all of them and returns what became of them.
func (lod load) run(ctx context.Context) (rcd *Recorder) {
	rcd = NewRecorder()
	arr := NewArrivals(lod.rate, lod.seed)
	began := time.Now()
	var wtg sync.WaitGroup
	defer wtg.Wait()
	for num := 0; ; num++ {
		at := arr.Next()
		if at >= lod.duration || !sleepUntil(ctx, began.Add(at)) {
			return rcd
		}
		wtg.Go(func() {
			oct := lod.send(ctx, num)
			ended := time.Since(began)
			rcd.Add(at, ended, oct)
			if lod.also != nil {
				lod.also(num).Add(at, ended, oct)
			}
		})
	}
}

// sleepUntil waits until a time and reports false if ctx ended first.
func sleepUntil(ctx context.Context, when time.Time) bool {
	left := time.Until(when)
	if left <= 0 {
		return ctx.Err() == nil
	}
	tmr := time.NewTimer(left)
	defer tmr.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-tmr.C:
		return true
	}
}
