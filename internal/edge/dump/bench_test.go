package dump_test

import (
	"fmt"
	"runtime"
	"testing"

	"cardamompass"
	"cardamompass/internal/edge/dump"
)

// capacity is the number of decisions that the log of an entry VM holds.
const capacity = 4096

// BenchmarkRecentMemory reports the memory of a full decision log by the number of rejected targets per decision.
func BenchmarkRecentMemory(b *testing.B) {
	for _, rejected := range []int{0, 20, 100, 612} {
		b.Run(fmt.Sprintf("rejected=%d", rejected), func(b *testing.B) {
			var size uint64
			for b.Loop() {
				before := heapBytes()
				dlg := dump.NewDecisionLog(capacity)
				for num := range capacity {
					dec := dump.Decision{
						RequestID: cardamompass.RequestID(fmt.Sprintf("0f8fad5b-d9cb-469f-a165-%012x", num)),
						Service:   "kiosk-core",
						Duration:  fmt.Sprint(num),
						Attempts:  []dump.Attempt{{Target: "site-core-001", Region: "gulf", Duration: fmt.Sprint(num)}},
					}
					for range rejected {
						dec.Rejected = append(dec.Rejected, dump.Rejection{
							Name:   "site-core-001",
							Reason: "target-full",
						})
					}
					dlg.Add(dec)
				}
				size = heapBytes() - before
				runtime.KeepAlive(dlg)
			}
			b.ReportMetric(float64(size)/(1<<20), "MiB")
			b.ReportMetric(float64(size)/capacity, "B/decision")
			b.ReportMetric(0, "ns/op")
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var mst runtime.MemStats
	runtime.ReadMemStats(&mst)
	return mst.HeapAlloc
}
