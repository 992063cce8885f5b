package oper_test

import (
	"context"
	"fmt"
	"net/http"
	"runtime"
	"testing"

	"cardamompass"
	"cardamompass/internal/edge/oper"
)

// BenchmarkRecords measures the memory and the time per record by the number of records. kept is the size of the stored
// response body; the total size of the stored responses is bounded.
func BenchmarkRecords(b *testing.B) {
	for _, kept := range []int{0, 64} {
		for _, count := range []int{1_000, 10_000, 100_000, 200_000} {
			b.Run(fmt.Sprintf("kept=%dB/records=%d", kept, count), func(b *testing.B) {
				var bytes uint64
				for b.Loop() {
					before := heapBytes()
					tab, stored := fillTable(b, count, kept)
					bytes = heapBytes() - before
					if stored != count {
						b.Fatalf("%d records", stored)
					}
					runtime.KeepAlive(tab)
				}
				b.ReportMetric(float64(bytes)/float64(count), "B/record")
				b.ReportMetric(float64(bytes)/(1<<20), "MiB")
				b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(count), "ns/record")
			})
		}
	}
}

func fillTable(b *testing.B, count, kept int) (tab *oper.Table, stored int) {
	self := cardamompass.VM{
		ID:          "gulf-entry-000",
		Incarnation: 1_790_000_000_000_000_000,
	}
	tab, err := oper.NewTable(oper.TableConfig{
		Self:  self,
		Clock: cardamompass.SystemClock{},
	})
	if err != nil {
		b.Fatal(err)
	}
	for num := range count {
		opn := oper.Operation{
			Ticket:  oper.Issue(self, cardamompass.SystemClock{}.Now()),
			Request: cardamompass.RequestID(fmt.Sprintf("0f8fad5b-d9cb-469f-a165-%012x", num)),
		}
		run, _, err := tab.Begin(opn, oper.Hash{}, 1)
		if !run || err != nil {
			b.Fatal(run, err)
		}
		oct := oper.Outcome{
			State:  oper.StateRan,
			Status: http.StatusOK,
		}
		if kept > 0 {
			oct.State = oper.StateAnswered
			oct.Header = http.Header{"Content-Type": {"application/json"}}
			oct.Body = make([]byte, kept)
		}
		tab.Finish(opn, oct)
	}
	return tab, tab.Stats().Records
}

func heapBytes() uint64 {
	runtime.GC()
	var mst runtime.MemStats
	runtime.ReadMemStats(&mst)
	return mst.HeapAlloc
}

// BenchmarkExport measures the export of all records at a planned stop, and the number of its chunks.
func BenchmarkExport(b *testing.B) {
	for _, count := range []int{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("records=%d", count), func(b *testing.B) {
			chunks := 0
			for b.Loop() {
				b.StopTimer()
				tab, _ := fillTable(b, count, 64)
				b.StartTimer()
				chunks = len(tab.Export(context.Background()))
			}
			b.ReportMetric(float64(chunks), "chunks")
		})
	}
}
