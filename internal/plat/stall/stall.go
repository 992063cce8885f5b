// Package stall ends calls on which nothing arrives.
//
// A limit on the whole time of a call must grow with its response, whose size and bandwidth are not known in advance: a response that takes
// longer would be given up each time, however often the call is repeated. A Watchdog limits the time without progress instead.
package stall

import (
	"context"
	"io"
	"time"
)

// ErrStalled is the cause of a context that a Watchdog has cancelled. It is a context.DeadlineExceeded.
var ErrStalled error = stalledError{}

type stalledError struct{}

func (stalledError) Error() string { return "the response has stalled" }

// Timeout reports that the error is a timeout, as in net.Error.
func (stalledError) Timeout() bool { return true }

// Is reports whether target is context.DeadlineExceeded.
func (stalledError) Is(target error) bool { return target == context.DeadlineExceeded }

// Config configures a Watchdog.
type Config struct {
	// First is the longest time until the response begins, Gap the longest time between two parts of it.
	First time.Duration
	Gap   time.Duration
}

// Watchdog cancels a context when a response does not begin or does not go on.
type Watchdog struct {
	cfg Config
	tmr *time.Timer
}

// New returns a context for one call and the Watchdog that cancels it, with ErrStalled as the cause. cleanup ends both.
func New(ctx context.Context, cfg Config) (wctx context.Context, wdg *Watchdog, cleanup func()) {
	wctx, cancel := context.WithCancelCause(ctx)
	wdg = &Watchdog{
		cfg: cfg,
		tmr: time.AfterFunc(cfg.First, func() { cancel(ErrStalled) }),
	}
	return wctx, wdg, func() {
		wdg.tmr.Stop()
		cancel(nil)
	}
}

// Reader returns a Reader of the response. Each part that it reads restarts the time of the Watchdog.
func (wdg *Watchdog) Reader(src io.Reader) (rdr io.Reader) {
	wdg.tmr.Reset(wdg.cfg.Gap)
	return &reader{
		src: src,
		wdg: wdg,
	}
}

// maxRead bounds one read. A chunked response fills the buffer of a read before it returns, so that a long read would hide progress.
const maxRead = 4 << 10

type reader struct {
	src io.Reader
	wdg *Watchdog
}

// Read implements io.Reader.
func (rdr *reader) Read(buf []byte) (num int, err error) {
	num, err = rdr.src.Read(buf[:min(len(buf), maxRead)])
	if num > 0 {
		rdr.wdg.tmr.Reset(rdr.wdg.cfg.Gap)
	}
	return num, err
}
