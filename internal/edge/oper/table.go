package oper

import (
	"context"
	"sync"
	"time"

	"cardamompass"
)

// TableConfig configures a Table. Zero values of the bounds stand for the defaults.
type TableConfig struct {
	// Self is this VM; its incarnation owns the table. Required.
	Self cardamompass.VM
	// Clock tells the time. Only durations since the table was made are used after that. Required.
	Clock cardamompass.Clock
	// MaxRecords bounds the records, 200,000 by default.
	MaxRecords int
	// MaxResponseBytes bounds the answers that all records keep together, 16 MiB by default. Beyond it the oldest
	// answers are dropped; their operations end as ran.
	MaxResponseBytes int
}

// Table holds the records of one VM. It is safe for concurrent use.
type Table struct {
	clk   cardamompass.Clock
	start time.Time
	self  runID

	mu      sync.Mutex
	mch     *machine
	pending map[Operation]*Pending
	quiet   chan struct{} // closed when the table is closed and nothing runs
}

// NewTable returns an empty table. The time of the incarnation starts with the call.
func NewTable(cfg TableConfig) (tab *Table, err error) {
	if cfg.Clock == nil || !validName(string(cfg.Self.ID)) || cfg.Self.Incarnation == 0 {
		return nil, &cardamompass.InvalidError{
			Field:  "oper.TableConfig",
			Reason: "needs a clock and a VM with a valid id and incarnation",
		}
	}
	lim := limits{
		records:     cfg.MaxRecords,
		answerBytes: cfg.MaxResponseBytes,
	}
	if lim.records <= 0 {
		lim.records = DefaultMaxRecords
	}
	if lim.answerBytes <= 0 {
		lim.answerBytes = DefaultMaxResponseBytes
	}
	self := runID{
		home:        cfg.Self.ID,
		incarnation: cfg.Self.Incarnation,
	}
	start := cfg.Clock.Now()
	return &Table{
		clk:     cfg.Clock,
		start:   start,
		self:    self,
		mch:     newMachine(self, start.UnixMilli(), lim),
		pending: make(map[Operation]*Pending),
		quiet:   make(chan struct{}),
	}, nil
}

// now is the monotonic time since the start of the incarnation.
func (tab *Table) now() time.Duration { return tab.clk.Now().Sub(tab.start) }

// Pending is the outcome of an operation, now or later. It is safe for concurrent use.
type Pending struct {
	done    chan struct{}
	outcome Outcome
}

// Wait returns the outcome. It is unknown when ctx ends first.
func (pnd *Pending) Wait(ctx context.Context) (oct Outcome) {
	select {
	case <-pnd.done:
		return pnd.outcome
	default:
	}
	select {
	case <-pnd.done:
		return pnd.outcome
	case <-ctx.Done():
		return unknown("the wait for the outcome ended: " + ctx.Err().Error())
	}
}

// Begin registers one sending of an operation. attempt is the caller's count of its sendings, 0 if it does not count.
// If run is true, the caller must run the operation exactly once and call Finish with its outcome. In every case pnd
// yields the outcome. A sending whose content differs from the recorded one is an InvalidError.
func (tab *Table) Begin(opn Operation, hsh Hash, attempt int) (run bool, pnd *Pending, err error) {
	tab.mu.Lock()
	defer tab.mu.Unlock()
	vdt, oct := tab.mch.begin(tab.now(), opn, hsh, attempt)
	switch vdt {
	case verdictRun:
		pnd = &Pending{
			done: make(chan struct{}),
		}
		tab.pending[opn] = pnd
		return true, pnd, nil
	case verdictWait:
		return false, tab.pending[opn], nil
	case verdictInvalid:
		return false, nil, &cardamompass.InvalidError{
			Field:  cardamompass.HeaderRequestID,
			Reason: "was used with the same ticket for a request with other content",
		}
	default:
		return false, settled(oct), nil
	}
}

func settled(oct Outcome) *Pending {
	pnd := &Pending{
		done:    make(chan struct{}),
		outcome: oct,
	}
	close(pnd.done)
	return pnd
}

// Finish ends the run of an operation. All who wait for it get the outcome with its answer whole; the record keeps
// the answer within the bounds. A second call has no effect.
func (tab *Table) Finish(opn Operation, oct Outcome) {
	tab.mu.Lock()
	defer tab.mu.Unlock()
	pnd, ok := tab.pending[opn]
	if !ok {
		return
	}
	delete(tab.pending, opn)
	tab.mch.finish(tab.now(), opn, oct)
	pnd.outcome = oct
	close(pnd.done)
	tab.checkQuiet()
}

// checkQuiet closes quiet once the table is closed and nothing runs.
func (tab *Table) checkQuiet() {
	if !tab.mch.closed || tab.mch.running > 0 {
		return
	}
	select {
	case <-tab.quiet:
	default:
		close(tab.quiet)
	}
}

// Status returns what became of an operation, as far as this table knows.
func (tab *Table) Status(opn Operation) (oct Outcome) {
	tab.mu.Lock()
	defer tab.mu.Unlock()
	return tab.mch.status(tab.now(), opn)
}

// Authoritative reports whether this table answers for the ticket's incarnation: its own, or one that was imported.
func (tab *Table) Authoritative(tkt Ticket) bool {
	tab.mu.Lock()
	defer tab.mu.Unlock()
	return tkt.run() == tab.self || tab.mch.imported[tkt.run()] != nil
}

// Stats are the figures of a table for the state dump and the metrics.
type Stats struct {
	// Records is the number of records, those of other incarnations included.
	Records int `json:"records"`
	// Running is the number of operations that run.
	Running int `json:"running"`
	// ResponseBytes is the size of the answers that are held.
	ResponseBytes int `json:"answer-bytes"`
	// Closed is set once the table accepts no new operations.
	Closed bool `json:"closed"`
	// Complete and Partial count the other incarnations whose records were imported whole or in part.
	Complete int `json:"imported-whole"`
	Partial  int `json:"imported-in-part"`
}

// Stats returns the current figures.
func (tab *Table) Stats() (sts Stats) {
	tab.mu.Lock()
	defer tab.mu.Unlock()
	sts = Stats{
		Records:       len(tab.mch.records),
		Running:       tab.mch.running,
		ResponseBytes: tab.mch.bytes,
		Closed:        tab.mch.closed,
	}
	for _, fgn := range tab.mch.imported {
		if fgn.whole {
			sts.Complete++
		} else {
			sts.Partial++
		}
	}
	return sts
}

// Export closes the table for new operations for good, waits until nothing runs or ctx ends, and returns the records.
// What still runs then is handed over as unknown.
func (tab *Table) Export(ctx context.Context) (prs []Chunk) {
	tab.mu.Lock()
	tab.mch.close()
	tab.checkQuiet()
	tab.mu.Unlock()
	select {
	case <-tab.quiet:
	case <-ctx.Done():
	}
	tab.mu.Lock()
	defer tab.mu.Unlock()
	return tab.mch.export(tab.now())
}

// Import takes over one part of the records of an incarnation that left. It may be repeated. A part that can't be
// taken is an InvalidError; this table then answers unknown for what it does not hold of that incarnation.
func (tab *Table) Import(prt Chunk) (err error) {
	tab.mu.Lock()
	defer tab.mu.Unlock()
	if reason := tab.mch.take(tab.now(), prt); reason != "" {
		return &cardamompass.InvalidError{
			Field:  "handover",
			Reason: reason,
		}
	}
	return nil
}
