// Package trace reads the logs of entry VMs and reconstructs the timeline of one request.
//
// The logs may come from any number of VMs, with lines in any order. Lines that can't be parsed are counted and skipped.
package trace

import (
	"bufio"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
	"github.com/pkg/errors"
)

// maxLineBytes bounds a log line.
const maxLineBytes = 1 << 20

// Line is a parsed log line.
type Line struct {
	Time   time.Time
	Event  string
	Fields []Field
}

// Field is a key-value pair of a Line.
type Field struct{ Key, Value string }

// Get returns the value of a key, or "" if the line does not have the key.
func (lin Line) Get(key string) (value string) {
	for _, fld := range lin.Fields {
		if fld.Key == key {
			return fld.Value
		}
	}
	return ""
}

// Timeline holds the log lines that concern one request.
type Timeline struct {
	// Lines are the lines of the request, sorted by time.
	Lines []Line
	// StateChanges are the state changes of the same VMs shortly before and during the request, sorted by time.
	StateChanges []Line
	// Unreadable is the number of lines that could not be parsed.
	Unreadable int
}

// stateChangesBefore is the time before the first line of a request from which state changes are included.
const stateChangesBefore = 3 * time.Second

// stateEvents are the events that report a state change of a VM or of its view of the system.
var stateEvents = []string{
	"store lost", "store regained", "store history lost", "routing table in force", "target gone", "target entry removed",
	"failure domain evacuated", "failure domain restored", "stop begins", "started", "vm gone", "crash known",
	"target leaving", "target backs off",
}

// Read reads logs and returns the timeline of the request with the given id.
func Read(request string, logs ...io.Reader) (tml Timeline, err error) {
	defer func() { err = errors.Wrap(err, "read logs") }()
	var changes []Line
	for _, log := range logs {
		scn := bufio.NewScanner(log)
		scn.Buffer(nil, maxLineBytes)
		for scn.Scan() {
			lin, ok := parse(scn.Text())
			switch {
			case !ok:
				tml.Unreadable++
			case lin.Get("request") == request:
				tml.Lines = append(tml.Lines, lin)
			case slices.Contains(stateEvents, lin.Event):
				changes = append(changes, lin)
			}
		}
		if err = scn.Err(); err != nil {
			return tml, err
		}
	}
	byTime := func(one, two Line) int { return one.Time.Compare(two.Time) }
	slices.SortStableFunc(tml.Lines, byTime)
	slices.SortStableFunc(changes, byTime)
	tml.StateChanges = tml.stateChanges(changes)
	return tml, nil
}

// stateChanges returns those of the changes that happened at the VMs of the request, around its time.
func (tml Timeline) stateChanges(changes []Line) (lines []Line) {
	if len(tml.Lines) == 0 {
		return nil
	}
	first, last := tml.Lines[0].Time, tml.Lines[len(tml.Lines)-1].Time
	for _, lin := range changes {
		if lin.Time.Before(first.Add(-stateChangesBefore)) || lin.Time.After(last) {
			continue
		}
		if slices.ContainsFunc(tml.Lines, func(own Line) bool { return own.Get("process") == lin.Get("process") }) {
			lines = append(lines, lin)
		}
	}
	return lines
}

// parse parses a line of key=value pairs. Text before the key time, such as the prefix of a log collector, is skipped.
func parse(text string) (lin Line, ok bool) {
	start := strings.Index(text, "time=")
	if start < 0 {
		return lin, false
	}
	dec := logfmt.NewDecoder(strings.NewReader(text[start:]))
	if !dec.ScanRecord() {
		return lin, false
	}
	for dec.ScanKeyval() {
		lin.Fields = append(lin.Fields, Field{
			Key:   string(dec.Key()),
			Value: string(dec.Value()),
		})
	}
	if dec.Err() != nil {
		return lin, false
	}
	lin.Event = lin.Get("event")
	tim, err := time.Parse(time.RFC3339Nano, lin.Get("time"))
	lin.Time = tim
	return lin, err == nil && lin.Event != ""
}

// Cause describes why the request ended as it did, according to its last lines.
func (tml Timeline) Cause() (text string) {
	if len(tml.Lines) == 0 {
		return "no line names this request: it reached none of these VMs, or its lines were dropped under load"
	}
	last := tml.Lines[len(tml.Lines)-1]
	failed := tml.last("attempt failed")
	switch last.Event {
	case "request answered":
		return tml.answered(last)
	case "request refused":
		return tml.refused(last)
	case "request body not read":
		return "its body was not received, so that it has not run: " + last.Get("error")
	case "request timeout":
		return fmt.Sprintf("no answer of target %s within the %s that the caller and the route allow", tml.target(), last.Get("allowed"))
	case "request failed":
		if failed != nil {
			return fmt.Sprintf("target %s failed after the request was sent (%s: %s), and it may have run",
				failed.Get("target"), failed.Get("kind"), failed.Get("error"))
		}
		return "failed: " + last.Get("error")
	case "request caller-left":
		return "the caller closed its connection after " + last.Get("took")
	case "request denied":
		return "denied with status " + last.Get("status") + ", and it has not run: " + last.Get("error")
	case "request without route":
		return "routing table " + last.Get("table") + " has no route for " + last.Get("host") + last.Get("path")
	default:
		return "the request has no end in these logs: its VM was killed, or the lines are missing"
	}
}

// refused describes a request that has not run.
func (tml Timeline) refused(last Line) (text string) {
	failed := tml.last("attempt failed")
	switch reason := last.Get("reason"); {
	case reason != "":
		text = "refused before a target was chosen: " + reason
	case failed != nil:
		text = fmt.Sprintf("refused, and it has not run: target %s %s", failed.Get("target"), failed.Get("kind"))
	default:
		text = "refused, and it has not run: " + last.Get("error")
	}
	if after := last.Get("retry-after"); after != "" {
		text += "; the caller was told to retry after " + after
	}
	return text
}

// answered describes a request that a target answered, including failed attempts and a hedge.
func (tml Timeline) answered(last Line) (text string) {
	text = fmt.Sprintf("answered with %s by target %s in %s", last.Get("status"), tml.target(), last.Get("took"))
	if failed := tml.last("attempt failed"); failed != nil {
		text += fmt.Sprintf(", after target %s: %s", failed.Get("target"), failed.Get("kind"))
	}
	if sent := tml.last("request sent"); sent != nil && sent.Get("second") == "true" {
		text += "; the first target was slow, and a second one was asked"
	}
	if rejected := tml.last("hedge not sent"); rejected != nil {
		text += "; the first target was slow, and no second one was asked: " + rejected.Get("reason")
	}
	return text
}

func (tml Timeline) target() (name string) {
	if sent := tml.last("request sent"); sent != nil {
		return sent.Get("target")
	}
	return "none"
}

func (tml Timeline) last(event string) (lin *Line) {
	for num := range tml.Lines {
		if tml.Lines[num].Event == event {
			lin = &tml.Lines[num]
		}
	}
	return lin
}
