package limit_test

import (
	"sync"
	"testing"
	"time"

	"cardamompass/internal/stand/procs"
)

const (
	// meterInterval is the time between two readings of the proxies.
	meterInterval = 20 * time.Millisecond
	// maxReadings bounds the readings of one meter.
	maxReadings = 30_000
)

// reading is the number of bytes that had passed at a time. It was read between from and to.
type reading struct {
	from, to time.Time
	bytes    int64
}

// byteMeter counts the bytes that the targets of delta send through their proxies.
type byteMeter struct {
	sit  *procs.Site
	done chan struct{}
	wtg  sync.WaitGroup
	stop func()
	list []reading
}

func newByteMeter(tst *testing.T, sit *procs.Site) (mtr *byteMeter) {
	tst.Helper()
	mtr = &byteMeter{
		sit:  sit,
		done: make(chan struct{}),
	}
	mtr.wtg.Go(mtr.run)
	mtr.stop = sync.OnceFunc(func() {
		close(mtr.done)
		mtr.wtg.Wait()
	})
	tst.Cleanup(mtr.stop)
	return mtr
}

func (mtr *byteMeter) run() {
	tkr := time.NewTicker(meterInterval)
	defer tkr.Stop()
	for len(mtr.list) < maxReadings {
		mtr.list = append(mtr.list, mtr.read())
		select {
		case <-mtr.done:
			return
		case <-tkr.C:
		}
	}
}

func (mtr *byteMeter) read() (rdg reading) {
	rdg.from = time.Now()
	for _, tgt := range mtr.sit.Targets {
		if tgt.Target.Region == "delta" {
			rdg.bytes += tgt.Proxy.Stats().BytesDown
		}
	}
	rdg.to = time.Now()
	return rdg
}

// most returns the largest number of bytes between two readings that are at most the window apart.
func (mtr *byteMeter) most(window time.Duration) (bytes int64) {
	first := 0
	for _, rdg := range mtr.list {
		for rdg.to.Sub(mtr.list[first].from) > window {
			first++
		}
		bytes = max(bytes, rdg.bytes-mtr.list[first].bytes)
	}
	return bytes
}

// over reports whether more bytes than the cap allows passed within some window.
func (mtr *byteMeter) over(tst *testing.T) (over bool) {
	tst.Helper()
	mtr.stop()
	for _, seconds := range []int64{1, 2, 5, 10} {
		most := mtr.most(time.Duration(seconds) * time.Second)
		tst.Logf("link: at most %d bytes within %d s, the cap is %d a second", most, seconds, linkBytes)
		over = over || most > seconds*linkBytes
	}
	return over
}
