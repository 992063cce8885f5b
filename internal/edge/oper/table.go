package oper

import (
	"context"
	"sync"
	"time"

	"cardamompass"
)

// TableConfig configures a Table. Limits that are 0 are replaced by their defaults.
type TableConfig struct {
	// Self is this VM; its incarnation owns the table. Required.
	Self cardamompass.VM
	// Clock provides the time. Only durations since the creation of the table are used. Required.
	Clock cardamompass.Clock
	// MaxRecords bounds the number of records, 200,000 by default.
	MaxRecords int
	// MaxResponseBytes bounds the total size of the stored responses, 16 MiB by default. Beyond it the oldest responses
	// are dropped, and the state of their operations becomes StateRan.
	MaxResponseBytes int
}

// Table holds the operation records of one VM. It is safe for concurrent use.
type Table struct {
	clk   cardamompass.Clock
	start time.Time
	self  homeID

	mu      sync.Mutex
	mch     *machine
	pending map[Operation]*Pending
	idle    chan struct{} // closed when the table is closed and nothing runs
}

// NewTable returns an empty table. The incarnation's clock starts with the call.
func NewTable(cfg TableConfig) (tab *Table, err error) {
	if cfg.Clock == nil || !validName(string(cfg.Self.ID)) || cfg.Self.Incarnation == 0 {
		return nil, &cardamompass.InvalidError{
			Field:  "oper.TableConfig",
			Reason: "needs a clock and a VM with a valid id and incarnation",
		}
	}
	lim := limits{
		records:       cfg.MaxRecords,
		responseBytes: cfg.MaxResponseBytes,
	}
	if lim.records <= 0 {
		lim.records = DefaultMaxRecords
	}
	if lim.responseBytes <= 0 {
		lim.responseBytes = DefaultMaxResponseBytes
	}
	self := homeID{
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
		idle:    make(chan struct{}),
	}, nil
}

// now returns the monotonic time since the start of the incarnation.
func (tab *Table) now() time.Duration { return tab.clk.Now().Sub(tab.start) }

// Pending is an outcome that may not be available yet. It is safe for concurrent use.
type Pending struct {
	done    chan struct{}
	outcome Outcome
}

// Wait waits for the outcome. It returns an unknown outcome if ctx ends first.
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

// Begin registers an attempt of an operation. attempt is the attempt count given by the client, 0 if there is none. If
// run is true, the caller of Begin must run the operation exactly once and call Finish with its outcome. Without an error
// pnd yields the outcome. An attempt whose content differs from the recorded one is an InvalidError.
func (tab *Table) Begin(opn Operation, hsh Hash, attempt int) (run bool, pnd *Pending, err error) {
	tab.mu.Lock()
	defer tab.mu.Unlock()
	dec, oct := tab.mch.begin(tab.now(), opn, hsh, attempt)
	switch dec {
	case decisionRun:
		pnd = &Pending{
			done: make(chan struct{}),
		}
		tab.pending[opn] = pnd
		return true, pnd, nil
	case decisionWait:
		return false, tab.pending[opn], nil
	case decisionInvalid:
		return false, nil, &cardamompass.InvalidError{
			Field:  cardamompass.HeaderRequestID,
			Reason: "was used with the same ticket for a request with other content",
		}
	default:
		return false, completed(oct), nil
	}
}

func completed(oct Outcome) *Pending {
	pnd := &Pending{
		done:    make(chan struct{}),
		outcome: oct,
	}
	close(pnd.done)
	return pnd
}

// Finish records the outcome of a running operation. All waiting attempts get the outcome with the complete response; the
// record keeps the response only within the limits. A second call has no effect.
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
	tab.closeIfIdle()
}

// closeIfIdle closes the idle channel once the table is closed and no operation is running.
func (tab *Table) closeIfIdle() {
	if !tab.mch.closed || tab.mch.running > 0 {
		return
	}
	select {
	case <-tab.idle:
	default:
		close(tab.idle)
	}
}

// Status returns the outcome of an operation according to this table.
func (tab *Table) Status(opn Operation) (oct Outcome) {
	tab.mu.Lock()
	defer tab.mu.Unlock()
	return tab.mch.status(tab.now(), opn)
}

// Authoritative reports whether this table holds the records of the ticket's home: this incarnation or an imported one.
func (tab *Table) Authoritative(tkt Ticket) bool {
	tab.mu.Lock()
	defer tab.mu.Unlock()
	return tkt.homeID() == tab.self || tab.mch.imported[tkt.homeID()] != nil
}

// Stats holds the statistics of a table for the state dump and the metrics.
type Stats struct {
	// Records is the number of records, including those of other incarnations.
	Records int `json:"records"`
	// Running is the number of running operations.
	Running int `json:"running"`
	// ResponseBytes is the total size of the stored responses.
	ResponseBytes int `json:"answer-bytes"`
	// Closed is set once the table no longer accepts new operations.
	Closed bool `json:"closed"`
	// Complete and Partial count the other incarnations whose records were imported completely or in part.
	Complete int `json:"imported-whole"`
	Partial  int `json:"imported-in-part"`
}

// Stats returns the current statistics.
func (tab *Table) Stats() (sts Stats) {
	tab.mu.Lock()
	defer tab.mu.Unlock()
	sts = Stats{
		Records:       len(tab.mch.records),
		Running:       tab.mch.running,
		ResponseBytes: tab.mch.responseBytes,
		Closed:        tab.mch.closed,
	}
	for _, imp := range tab.mch.imported {
		if imp.complete {
			sts.Complete++
		} else {
			sts.Partial++
		}
	}
	return sts
}

// Export closes the table permanently for new operations, waits until no operation is running or ctx ends, and returns
// the records. Operations that are still running then are exported as unknown.
func (tab *Table) Export(ctx context.Context) (chs []Chunk) {
	tab.mu.Lock()
	tab.mch.close()
	tab.closeIfIdle()
	tab.mu.Unlock()
	select {
	case <-tab.idle:
	case <-ctx.Done():
	}
	tab.mu.Lock()
	defer tab.mu.Unlock()
	return tab.mch.export(tab.now())
}

// Import imports one chunk of the records of an incarnation that left. It is idempotent. A chunk that is refused is an
// InvalidError; this table then answers unknown for operations of that incarnation of which it has no record.
func (tab *Table) Import(chk Chunk) (err error) {
	tab.mu.Lock()
	defer tab.mu.Unlock()
	if reason := tab.mch.importChunk(tab.now(), chk); reason != "" {
		return &cardamompass.InvalidError{
			Field:  "handover",
			Reason: reason,
		}
	}
	return nil
}
