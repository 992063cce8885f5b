package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what happens, one line each, with the seconds since its start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	buf   *bufio.Writer
	start time.Time
}

func newRecord(path string) (rec *record, err error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{
		file:  file,
		buf:   bufio.NewWriter(file),
		start: time.Now(),
	}, nil
}

func (rec *record) add(format string, args ...any) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	_, _ = fmt.Fprintf(rec.buf, "%9.4f %s\n", time.Since(rec.start).Seconds(), fmt.Sprintf(format, args...))
}

// say adds a line and prints it too.
func (rec *record) say(format string, args ...any) {
	rec.add(format, args...)
	fmt.Printf(format+"\n", args...)
}

func (rec *record) close() {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	_ = rec.buf.Flush()
	_ = rec.file.Close()
}
