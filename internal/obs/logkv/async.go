package logkv

import (
	"io"
	"sync"
	"sync/atomic"
)

// queuedLines is the capacity of the queue of lines to be written. When it is full, further lines are dropped and counted.
const queuedLines = 4096

// Async writes lines from a goroutine of its own, so that a stalled reader of the log never blocks the process. It is safe
// for concurrent use.
type Async struct {
	lines   chan []byte
	dropped atomic.Int64
	once    sync.Once
}

// NewAsync returns an Async that writes to out, and a function that writes the queued lines and stops it.
func NewAsync(out io.Writer) (asy *Async, cleanup func()) {
	asy = &Async{
		lines: make(chan []byte, queuedLines),
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for line := range asy.lines {
			for more := true; more && len(line) < maxBatchBytes; {
				select {
				case next, ok := <-asy.lines:
					line = append(line, next...)
					more = ok
				default:
					more = false
				}
			}
			_, _ = out.Write(line) // a failed write of the log must not end the process
		}
	}()
	return asy, func() {
		asy.once.Do(func() { close(asy.lines) })
		<-done
	}
}

// maxBatchBytes is the size from which no further queued line is added to a write.
const maxBatchBytes = 32 << 10

// Write implements io.Writer. It never blocks. It must not be called after the cleanup function.
func (asy *Async) Write(line []byte) (num int, err error) {
	select {
	case asy.lines <- append([]byte(nil), line...):
	default:
		asy.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped because the queue was full.
func (asy *Async) Dropped() (count int64) { return asy.dropped.Load() }
