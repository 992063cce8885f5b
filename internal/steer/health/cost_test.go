package health_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"sync/atomic"
	"syscall"
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
				snp = newSnapshot(trk, 6*count, epoch, snp)
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

// startFixedTarget starts a target that responds to probes with fixed bytes and little processing, so that the benchmark
// measures mostly the prober. It counts the probes by their second request.
func startFixedTarget(b *testing.B, probes *atomic.Int64) (address string) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = lis.Close() })
	answer := func(body string) []byte {
		return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"+
			"Date: Thu, 01 Jan 2026 00:00:00 GMT\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}
	healthy, load := answer(`{"state":"serving"}`), answer(`{"in-flight":3,"slots":6}`)
	go func() {
		con, err := lis.Accept()
		if err != nil {
			return
		}
		defer func() { _ = con.Close() }()
		buf := make([]byte, 4096)
		for {
			num, err := con.Read(buf) // a request is one write of the client
			if err != nil {
				return
			}
			if bytes.HasPrefix(buf[:num], []byte("GET /healthz")) {
				_, _ = con.Write(healthy)
				continue
			}
			_, _ = con.Write(load)
			probes.Add(1)
		}
	}()
	return lis.Addr().String()
}

// BenchmarkProbe measures the bytes of one probe, both of its requests with their responses, without TCP and IP headers,
// and its processor time.
func BenchmarkProbe(b *testing.B) {
	var sent, probes atomic.Int64
	address := startFixedTarget(b, &probes)
	var dlr net.Dialer
	cli := &http.Client{
		Transport: &http.Transport{
			DialContext: func(ctx context.Context, network, address string) (cnn net.Conn, err error) {
				cnn, err = dlr.DialContext(ctx, network, address)
				return countConn{
					Conn:  cnn,
					bytes: &sent,
				}, err
			},
		},
	}
	defer cli.CloseIdleConnections()
	tgt := targets(1)[0]
	tgt.Address = address
	prb, stop := health.NewProber(health.ProberConfig{
		Tracker:   newTracker(1, nil),
		Clock:     cardamompass.SystemClock{},
		Client:    cli,
		Interval:  time.Microsecond,
		PerSecond: 1 << 30,
	})
	prb.SetTargets([]cardamompass.Target{tgt})
	used := processorTime(b)
	for b.Loop() {
		for was := probes.Load(); probes.Load() == was; {
			time.Sleep(100 * time.Microsecond)
		}
	}
	stop()
	b.ReportMetric(float64((processorTime(b)-used).Microseconds())/float64(probes.Load()), "cpu-us/probe")
	b.ReportMetric(float64(sent.Load())/float64(probes.Load()), "B/probe")
}

func processorTime(b *testing.B) (used time.Duration) {
	var usg syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usg); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usg.Utime.Nano() + usg.Stime.Nano())
}

// BenchmarkProberMemory reports the memory of an idle prober by the number of targets, stacks included.
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

// BenchmarkProbeConnections reports the number of connections opened for each probe, by the number of targets, with the
// transport that an entry VM uses: a clone of the default one.
func BenchmarkProbeConnections(b *testing.B) {
	for _, count := range []int{20, 90, 150, 300} {
		b.Run(fmt.Sprintf("targets=%d", count), func(b *testing.B) {
			var opened, probes atomic.Int64
			tgts := targets(count)
			for num := range tgts {
				srv := httptest.NewUnstartedServer(http.HandlerFunc(func(rsw http.ResponseWriter, rqs *http.Request) {
					if rqs.URL.Path == "/load" {
						probes.Add(1)
					}
					_, _ = rsw.Write([]byte(`{"state":"serving"}`))
				}))
				srv.Config.ConnState = func(_ net.Conn, sta http.ConnState) {
					if sta == http.StateNew {
						opened.Add(1)
					}
				}
				srv.Start()
				b.Cleanup(srv.Close)
				tgts[num].Address = srv.Listener.Addr().String()
			}
			trn := http.DefaultTransport.(*http.Transport).Clone()
			b.Cleanup(trn.CloseIdleConnections)
			prb, stop := health.NewProber(health.ProberConfig{
				Tracker:   newTracker(count, nil),
				Clock:     cardamompass.SystemClock{},
				Client:    &http.Client{Transport: trn},
				PerSecond: 1000,
				Interval:  100 * time.Millisecond,
			})
			prb.SetTargets(tgts)
			wait := func(num int64) {
				for was := probes.Load(); probes.Load() < was+num; {
					time.Sleep(time.Millisecond)
				}
			}
			wait(2 * int64(count))
			firstOpened, firstProbes := opened.Load(), probes.Load()
			for b.Loop() {
				wait(int64(count))
			}
			b.ReportMetric(float64(opened.Load()-firstOpened)/float64(probes.Load()-firstProbes), "connections/probe")
			stop()
		})
	}
}
