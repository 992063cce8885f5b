//go:build review

package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// record holds the lines of record.txt. It is safe for concurrent use.
type record struct {
	mu    sync.Mutex
	begin time.Time
	lines []string
}

func newRecord() (rec *record) {
	return &record{
		begin: time.Now(),
	}
}

// add adds a line with the time since the start of the case.
func (rec *record) add(format string, args ...any) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.lines = append(rec.lines, fmt.Sprintf("%9.4f ", time.Since(rec.begin).Seconds())+fmt.Sprintf(format, args...))
}

// seconds returns a time as seconds since the start of the case.
func (rec *record) seconds(tim time.Time) (secs float64) { return tim.Sub(rec.begin).Seconds() }

func (rec *record) write(path string) (err error) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	return os.WriteFile(path, []byte(strings.Join(rec.lines, "\n")+"\n"), 0o644)
}
