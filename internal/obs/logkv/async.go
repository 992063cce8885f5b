package logkv

import (
	"io"
	"sync"
	"sync/atomic"
)

// queuedLines is the number of lines that wait for a slow reader of the log. Further lines are dropped and counted.
const queuedLines = 4096

// Async writes lines from a goroutine, so that a reader of the log that stalls never holds up the process. It is safe for concurrent use.
type Async struct {
	lines   chan []byte
	dropped atomic.Int64
	once    sync.Once
}

// NewAsync returns a writer to out and the function that writes what waits and ends it.
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
			_, _ = out.Write(line) // a log that can't be written must not end the process
		}
	}()
	return asy, func() {
		asy.once.Do(func() { close(asy.lines) })
		<-done
	}
}

// maxBatchBytes bounds the lines that are written with one call.
const maxBatchBytes = 32 << 10

// Write implements io.Writer. It never blocks. It must not be called after the clean-up function.
func (asy *Async) Write(line []byte) (num int, err error) {
	select {
	case asy.lines <- append([]byte(nil), line...):
	default:
		asy.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped because the reader was too slow.
func (asy *Async) Dropped() (count int64) { return asy.dropped.Load() }
