//go:build review

package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// run is one run of a request at an endpoint.
type run struct {
	service, endpoint string
	at                time.Time
	// late is how long after the acknowledged removal of the endpoint's entry the request arrived; 0 if it was not removed.
	late time.Duration
}

// record is what was sent, answered and run. It writes a line for each event.
type record struct {
	begin time.Time

	mu   sync.Mutex
	out  *os.File
	runs map[string][]run
}

func newRecord(path string) (rec *record, err error) {
	out, err := os.Create(path)
	return &record{
		begin: time.Now(),
		out:   out,
		runs:  make(map[string][]run),
	}, err
}

func (rec *record) note(format string, args ...any) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	_, _ = fmt.Fprintf(rec.out, "%8.3f "+format+"\n", append([]any{time.Since(rec.begin).Seconds()}, args...)...)
}

// say writes a line to the record and to standard output.
func (rec *record) say(format string, args ...any) {
	rec.note(format, args...)
	fmt.Printf("%8.3f "+format+"\n", append([]any{time.Since(rec.begin).Seconds()}, args...)...)
}

func (rec *record) ran(id string, enp *endpoint) {
	rnn := run{
		service:  enp.service,
		endpoint: enp.id,
		at:       time.Now(),
	}
	if gone := enp.gone.Load(); gone != 0 {
		rnn.late = time.Since(time.Unix(0, gone))
	}
	rec.mu.Lock()
	rec.runs[id] = append(rec.runs[id], rnn)
	rec.mu.Unlock()
}

// sent writes what became of a request, in one line.
func (rec *record) sent(snd sending) {
	var text strings.Builder
	for _, rnn := range rec.runsOf(snd.id) {
		fmt.Fprintf(&text, " run at %.3f by %s of %s", rnn.at.Sub(rec.begin).Seconds(), rnn.endpoint, rnn.service)
		if rnn.late > 0 {
			fmt.Fprintf(&text, " (%.3f after its removal)", rnn.late.Seconds())
		}
	}
	rec.note("%s sent at %.3f to %s %s%s, answered with %d", snd.id, snd.at.Sub(rec.begin).Seconds(), snd.machine, snd.path, text.String(), snd.status)
}

func (rec *record) runsOf(id string) (list []run) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	return append(list, rec.runs[id]...)
}
