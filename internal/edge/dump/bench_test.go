package dump_test

import (
	"fmt"
	"runtime"
	"testing"

	"cardamompass"
	"cardamompass/internal/edge/dump"
)

// kept is the number of decisions that an entry VM keeps.
const kept = 4096

// BenchmarkRecentMemory reports the memory of the recent decisions by the number of targets that each names as rejected.
func BenchmarkRecentMemory(b *testing.B) {
	for _, rejected := range []int{0, 20, 100, 612} {
		b.Run(fmt.Sprintf("rejected=%d", rejected), func(b *testing.B) {
			var size uint64
			for b.Loop() {
				before := heapBytes()
				rct := dump.NewDecisionLog(kept)
				for num := range kept {
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
					rct.Add(dec)
				}
				size = heapBytes() - before
				runtime.KeepAlive(rct)
			}
			b.ReportMetric(float64(size)/(1<<20), "MiB")
			b.ReportMetric(float64(size)/kept, "B/decision")
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
