package entry_test

import (
	"fmt"
	"io"
	"net/http"
	"runtime"
	"sync"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"cardamompass"
	"cardamompass/internal/stand/demo"
)

// BenchmarkLookupHTTP measures look-ups over keep-alive connections, with caller and entry VM in this process.
func BenchmarkLookupHTTP(b *testing.B) {
	cfg, err := demo.Small(zap.NewNop())
	if err != nil {
		b.Fatal(err)
	}
	cfg.VMs = cfg.VMs[:1]
	sit, cleanup, err := demo.New(cfg)
	if err != nil {
		b.Fatal(err)
	}
	defer cleanup()
	url := "http://" + sit.VMs[0].VM().CallerAddress + "/v1/lookup?service=kiosk-core&region=gulf"
	trn := &http.Transport{
		MaxIdleConnsPerHost: 64,
	}
	defer trn.CloseIdleConnections()
	cli := &http.Client{
		Transport: trn,
	}
	b.ReportAllocs()
	for b.Loop() {
		res, err := cli.Get(url)
		if err != nil {
			b.Fatal(err)
		}
		if res.StatusCode != http.StatusOK {
			b.Fatal(res.Status)
		}
		_, _ = io.Copy(io.Discard, res.Body)
		_ = res.Body.Close()
	}
}

// idlePeriod is the period over which the CPU time of an idle entry VM is measured.
const idlePeriod = 3 * time.Second

func processorTime(b *testing.B) (used time.Duration) {
	var usg syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usg); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usg.Utime.Nano() + usg.Stime.Nano())
}

// BenchmarkIdle reports the heap, the goroutines and the CPU time that one more idle entry VM costs, without a catalogue
// and with an unreachable store.
func BenchmarkIdle(b *testing.B) {
	for b.Loop() {
		runtime.GC()
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		count := runtime.NumGoroutine()
		startWithoutStore(b)
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(1<<20), "heap-MiB")
		b.ReportMetric(float64(runtime.NumGoroutine()-count), "goroutines")
		used := processorTime(b)
		time.Sleep(idlePeriod)
		b.ReportMetric(float64(processorTime(b)-used)/float64(idlePeriod)*1000, "cpu-ms/s")
	}
	b.ReportMetric(0, "ns/op")
}

// BenchmarkRequestHTTP measures requests that run on a target, 8 at a time, with caller, entry VM and target in this
// process. cpu-us is the CPU time of all three per request.
func BenchmarkRequestHTTP(b *testing.B) {
	cfg, err := demo.Small(zap.NewNop())
	if err != nil {
		b.Fatal(err)
	}
	cfg.VMs = cfg.VMs[:1]
	sit, cleanup, err := demo.New(cfg)
	if err != nil {
		b.Fatal(err)
	}
	defer cleanup()
	trn := &http.Transport{
		MaxIdleConnsPerHost: 64,
	}
	defer trn.CloseIdleConnections()
	url := "http://" + sit.VMs[0].VM().CallerAddress + "/v1/services/kiosk-core/stock/7"
	const parallel, each = 8, 50
	sent := 0
	used := processorTime(b)
	for b.Loop() {
		var wtg sync.WaitGroup
		for num := range parallel {
			wtg.Go(func() {
				for pos := range each {
					sendRequest(b, trn, url, fmt.Sprintf("bench-%d-%d-%d", sent, num, pos))
				}
			})
		}
		wtg.Wait()
		sent += parallel * each
	}
	b.ReportMetric(float64((processorTime(b)-used).Microseconds())/float64(sent), "cpu-us")
	b.ReportMetric(float64(sent)/b.Elapsed().Seconds(), "requests/s")
}

func sendRequest(b *testing.B, trn *http.Transport, url, rid string) {
	rqs, err := http.NewRequest(http.MethodGet, url, http.NoBody)
	if err != nil {
		b.Error(err)
		return
	}
	rqs.Header.Set(cardamompass.HeaderRequestID, rid)
	rqs.Header.Set(cardamompass.HeaderCallerRegion, "gulf")
	res, err := trn.RoundTrip(rqs)
	if err != nil {
		b.Error(err)
		return
	}
	_, _ = io.Copy(io.Discard, res.Body)
	_ = res.Body.Close()
	if res.StatusCode != http.StatusOK {
		b.Error(res.Status)
	}
}
