// Package trace reads the log lines of entry VMs and tells the story of one request from them.
//
// Lines come from any number of VMs, in any order. Lines that can't be read are counted and left out.
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

// Line is one line of a log.
type Line struct {
	Time   time.Time
	Event  string
	Fields []Field
}

// Field is a key with its value.
type Field struct{ Key, Value string }

// Get returns the value of a key, empty if the line does not have it.
func (lin Line) Get(key string) (value string) {
	for _, fld := range lin.Fields {
		if fld.Key == key {
			return fld.Value
		}
	}
	return ""
}

// Timeline is what the logs say of a request.
type Timeline struct {
	// Lines are the request's lines in the order of their times.
	Lines []Line
	// StateChanges are lines of the same VMs on what they believed, shortly before and during the request.
	StateChanges []Line
	// Unreadable counts the lines that could not be read.
	Unreadable int
}

// contextBefore is how long before a request a change of what a VM believes is shown.
const contextBefore = 3 * time.Second

// beliefs are the events that change what a VM believes.
var beliefs = []string{
	"store lost", "store regained", "store history lost", "routing table in force", "target gone", "target entry removed",
	"failure domain evacuated", "failure domain restored", "stop begins", "started", "vm gone", "crash known",
}

// Read reads logs and returns the story of the request with an id.
func Read(request string, logs ...io.Reader) (sty Timeline, err error) {
	defer func() { err = errors.Wrap(err, "read logs") }()
	var changes []Line
	for _, log := range logs {
		scn := bufio.NewScanner(log)
		scn.Buffer(nil, maxLineBytes)
		for scn.Scan() {
			lin, ok := parse(scn.Text())
			switch {
			case !ok:
				sty.Unreadable++
			case lin.Get("request") == request:
				sty.Lines = append(sty.Lines, lin)
			case slices.Contains(beliefs, lin.Event):
				changes = append(changes, lin)
			}
		}
		if err = scn.Err(); err != nil {
			return sty, err
		}
	}
	byTime := func(one, two Line) int { return one.Time.Compare(two.Time) }
	slices.SortStableFunc(sty.Lines, byTime)
	slices.SortStableFunc(changes, byTime)
	sty.StateChanges = sty.near(changes)
	return sty, nil
}

// near returns the changes at the VMs of the request around its time.
func (sty Timeline) near(changes []Line) (lines []Line) {
	if len(sty.Lines) == 0 {
		return nil
	}
	first, last := sty.Lines[0].Time, sty.Lines[len(sty.Lines)-1].Time
	for _, lin := range changes {
		if lin.Time.Before(first.Add(-contextBefore)) || lin.Time.After(last) {
			continue
		}
		if slices.ContainsFunc(sty.Lines, func(own Line) bool { return own.Get("process") == lin.Get("process") }) {
			lines = append(lines, lin)
		}
	}
	return lines
}

// parse reads a line in the form key=value. What precedes the time, such as the prefix of a log collector, is left out.
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

// Cause names why the request ended as it did, from its last lines.
func (sty Timeline) Cause() (text string) {
	if len(sty.Lines) == 0 {
		return "no line names this request: it reached none of these VMs, or its lines were dropped under load"
	}
	last := sty.Lines[len(sty.Lines)-1]
	failed := sty.last("attempt failed")
	switch last.Event {
	case "request answered":
		return sty.answered(last)
	case "request refused":
		if reason := last.Get("reason"); reason != "" {
			return "refused before a target was chosen: " + reason
		}
		if failed != nil {
			return fmt.Sprintf("refused, and it has not run: target %s %s", failed.Get("target"), failed.Get("kind"))
		}
		return "refused, and it has not run: " + last.Get("error")
	case "request timeout":
		return fmt.Sprintf("no answer of target %s within the %s that the caller and the route allow", sty.target(), last.Get("allowed"))
	case "request failed":
		if failed != nil {
			return fmt.Sprintf("target %s failed after the request was sent (%s: %s), and it may have run",
				failed.Get("target"), failed.Get("kind"), failed.Get("error"))
		}
		return "failed: " + last.Get("error")
	case "request caller-left":
		return "the caller closed its connection after " + last.Get("took")
	case "request without route":
		return "routing table " + last.Get("table") + " has no route for " + last.Get("host") + last.Get("path")
	default:
		return "the request has no end in these logs: its VM was killed, or the lines are missing"
	}
}

// answered explains an answer, which may be late or a failure of the target's own.
func (sty Timeline) answered(last Line) (text string) {
	text = fmt.Sprintf("answered with %s by target %s in %s", last.Get("status"), sty.target(), last.Get("took"))
	if failed := sty.last("attempt failed"); failed != nil {
		text += fmt.Sprintf(", after target %s: %s", failed.Get("target"), failed.Get("kind"))
	}
	if sent := sty.last("request sent"); sent != nil && sent.Get("second") == "true" {
		text += "; the first target was slow, and a second one was asked"
	}
	return text
}

func (sty Timeline) target() (name string) {
	if sent := sty.last("request sent"); sent != nil {
		return sent.Get("target")
	}
	return "none"
}

func (sty Timeline) last(event string) (lin *Line) {
	for num := range sty.Lines {
		if sty.Lines[num].Event == event {
			lin = &sty.Lines[num]
		}
	}
	return lin
}
