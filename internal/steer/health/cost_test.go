package health_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"cardamompass"
	"cardamompass/internal/steer/health"
	"cardamompass/internal/steer/route"
)

func heapBytes() uint64 {
	runtime.GC()
	var mst runtime.MemStats
	runtime.ReadMemStats(&mst)
	return mst.HeapAlloc
}

// BenchmarkTargets measures one snapshot with its decision, and the memory of the targets' states, by the number of
// targets of one service in one region that a VM uses.
func BenchmarkTargets(b *testing.B) {
	for _, count := range []int{7, 20, 50, 200, 450} {
		b.Run(fmt.Sprintf("targets=%d", count), func(b *testing.B) {
			before := heapBytes()
			trk := newTracker(count, nil)
			size := heapBytes() - before
			var (
				snp route.Snapshot
				dec route.Decision
			)
			req := route.Request{
				CallerRegion: "gulf",
			}
			b.ReportAllocs()
			for b.Loop() {
				snp = snapshot(trk, 6*count, epoch, snp)
				dec = route.Decide(&snp, &req, dec)
			}
			b.ReportMetric(float64(size)/float64(count), "B/target")
		})
	}
}

// countConn counts the bytes of a connection.
type countConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (cnn countConn) Read(buf []byte) (num int, err error) {
	num, err = cnn.Conn.Read(buf)
	cnn.bytes.Add(int64(num))
	return num, err
}

func (cnn countConn) Write(buf []byte) (num int, err error) {
	num, err = cnn.Conn.Write(buf)
	cnn.bytes.Add(int64(num))
	return num, err
}

// BenchmarkProbe measures the bytes of one probe, both of its requests with their answers, without the headers of TCP and
// IP. The processor time is that of both sides.
func BenchmarkProbe(b *testing.B) {
	var bytes, probes atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(rsw http.ResponseWriter, rqs *http.Request) {
		rsw.Header().Set("Content-Type", "application/json")
		if rqs.URL.Path == "/healthz" {
			_, _ = rsw.Write([]byte(`{"state":"serving"}`))
			return
		}
		probes.Add(1)
		_, _ = rsw.Write([]byte(`{"in-flight":3,"slots":6}`))
	}))
	defer srv.Close()
	var dlr net.Dialer
	cli := &http.Client{
		Transport: &http.Transport{
			DialContext: func(ctx context.Context, network, address string) (cnn net.Conn, err error) {
				cnn, err = dlr.DialContext(ctx, network, address)
				return countConn{
					Conn:  cnn,
					bytes: &bytes,
				}, err
			},
		},
	}
	defer cli.CloseIdleConnections()
	trk := newTracker(1, nil)
	tgt := targets(1)[0]
	tgt.Address = srv.Listener.Addr().String()
	prb, stop := health.NewProber(health.ProberConfig{
		Tracker:   trk,
		Clock:     cardamompass.SystemClock{},
		Client:    cli,
		Interval:  time.Microsecond,
		PerSecond: 1 << 30,
	})
	prb.SetTargets([]cardamompass.Target{tgt})
	for b.Loop() {
		for was := probes.Load(); probes.Load() == was; {
			runtime.Gosched()
		}
	}
	stop()
	b.ReportMetric(float64(bytes.Load())/float64(probes.Load()), "B/probe")
}

// BenchmarkProberMemory reports the memory of a prober by the number of targets, stacks included, between its probes.
func BenchmarkProberMemory(b *testing.B) {
	for _, count := range []int{20, 100, 450, 980} {
		b.Run(fmt.Sprintf("targets=%d", count), func(b *testing.B) {
			var size uint64
			for b.Loop() {
				size = proberBytes(count)
			}
			b.ReportMetric(float64(size)/float64(count), "B/target")
			b.ReportMetric(0, "ns/op")
		})
	}
}

func proberBytes(count int) (size uint64) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	prb, stop := health.NewProber(health.ProberConfig{
		Tracker:  newTracker(count, nil),
		Clock:    cardamompass.SystemClock{},
		Client:   http.DefaultClient,
		Interval: time.Hour,
		Random:   func() float64 { return 0.5 },
	})
	defer stop()
	tgts := targets(count)
	for num := range tgts {
		tgts[num].Address = "127.0.0.1:1"
	}
	prb.SetTargets(tgts)
	runtime.GC()
	runtime.ReadMemStats(&after)
	return after.HeapAlloc + after.StackInuse - before.HeapAlloc - before.StackInuse
}
