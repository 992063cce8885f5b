package target

import (
	"maps"
	"time"
)

// maxLastRuns bounds the list of individual runs. It is large enough for tests that count the runs in each second of an
// overload.
const maxLastRuns = 10000

// Run is one execution of a request.
type Run struct {
	// Content is the ContentKey of the request.
	Content string `json:"content"`
	// Operation is the header Stand-Operation of the request.
	Operation string `json:"operation"`
	// RequestID is the request id of the attempt.
	RequestID string `json:"request-id"`
	// At is the time at which the request acquired its slot.
	At time.Time `json:"at"`
}

// Runs is the record of a target. It survives crashes. A request counts as run once it has a slot.
type Runs struct {
	// Total is the number of runs. Finished, Expired and Cancelled count them by result; all others crashed or are running.
	Total     int `json:"total"`
	Finished  int `json:"finished"`
	Expired   int `json:"expired"`
	Cancelled int `json:"cancelled"`
	// Shed is the number of requests that were refused, expired or cancelled before they ran.
	Shed int `json:"shed"`
	// Crashes is the number of crashes.
	Crashes int `json:"crashes"`
	// Running is the number of running requests, MaxRunning its highest value so far.
	Running    int `json:"running"`
	MaxRunning int `json:"max-running"`
	// MaxPresent is the highest number of requests that ran or waited at the same time.
	MaxPresent int `json:"max-present"`
	// ByContent, ByOperation and ByRequestID count the runs.
	ByContent   map[string]int `json:"by-content"`
	ByOperation map[string]int `json:"by-operation"`
	ByRequestID map[string]int `json:"by-request-id"`
	// Last holds the last 10000 runs, the oldest first.
	Last []Run `json:"last"`
}

// recorder holds the record. The target's mutex protects it.
type recorder struct {
	total, finished, expired, cancelled, shed, crashes int
	running, maxRunning, present, maxPresent           int

	cnt map[string]int
	opr map[string]int
	rid map[string]int
	lst []Run
	// ids holds the ids of the last two requests that got a response.
	ids [2]string
}

func newRecorder() recorder {
	return recorder{
		cnt: map[string]int{},
		opr: map[string]int{},
		rid: map[string]int{},
	}
}

func (rec *recorder) start(run Run) {
	rec.total++
	rec.running++
	rec.maxRunning = max(rec.maxRunning, rec.running)
	rec.cnt[run.Content]++
	if run.Operation != "" {
		rec.opr[run.Operation]++
	}
	if run.RequestID != "" {
		rec.rid[run.RequestID]++
	}
	if len(rec.lst) >= 2*maxLastRuns {
		rec.lst = append([]Run{}, rec.lst[len(rec.lst)-maxLastRuns:]...)
	}
	rec.lst = append(rec.lst, run)
}

func (rec *recorder) addPresent(num int) {
	rec.present += num
	rec.maxPresent = max(rec.maxPresent, rec.present)
}

// Runs returns a copy of the record.
func (tgt *Target) Runs() Runs {
	tgt.mut.Lock()
	defer tgt.mut.Unlock()
	rec := &tgt.rec
	return Runs{
		Total:       rec.total,
		Finished:    rec.finished,
		Expired:     rec.expired,
		Cancelled:   rec.cancelled,
		Shed:        rec.shed,
		Crashes:     rec.crashes,
		Running:     rec.running,
		MaxRunning:  rec.maxRunning,
		MaxPresent:  rec.maxPresent,
		ByContent:   maps.Clone(rec.cnt),
		ByOperation: maps.Clone(rec.opr),
		ByRequestID: maps.Clone(rec.rid),
		Last:        append([]Run{}, rec.lst[max(0, len(rec.lst)-maxLastRuns):]...),
	}
}

// ResetRuns clears the record, except for the requests that are running or waiting.
func (tgt *Target) ResetRuns() {
	tgt.mut.Lock()
	defer tgt.mut.Unlock()
	rec := newRecorder()
	rec.running, rec.maxRunning = tgt.rec.running, tgt.rec.running
	rec.present, rec.maxPresent = tgt.rec.present, tgt.rec.present
	tgt.rec = rec
}
