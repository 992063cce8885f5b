package oper

import (
	"time"
)

const (
	// Retention is the time for which a record is kept after its operation ended.
	Retention = 10 * time.Minute
	// DefaultMaxRecords bounds the records of one VM.
	DefaultMaxRecords = 200_000
	// DefaultMaxResponseBytes bounds the answers of all records of one VM together. A process may use 128 MB, and
	// 200,000 records without answers take 68 MB of heap.
	DefaultMaxResponseBytes = 16 << 20
)

// limits bound the memory of a machine.
type limits struct {
	records     int
	answerBytes int
}

// record is what the home knows of one operation.
type record struct {
	operation Operation
	hash      Hash
	attempt   int // highest attempt count among the sendings that the record covers
	outcome   Outcome
	ended     time.Duration
}

// foreign is the imported state of another incarnation.
type foreign struct {
	homeMs int64         // the home's own time at the last export
	at     time.Duration // own time at which homeMs was received
	export int64         // identifies the export of which the parts are counted
	seen   map[int]bool
	whole  bool
}

// machine is the state of all operations of one VM: a pure function of its events. Times are durations since the start
// of the incarnation.
type machine struct {
	self     runID
	startMs  int64
	limits   limits
	closed   bool
	running  int
	records  map[Operation]*record
	imported map[runID]*foreign

	ended   []*record // records of ended operations in the order of their end
	answers []*record // those of them with held answers, in the same order
	bytes   int
}

func newMachine(self runID, startMs int64, lim limits) *machine {
	return &machine{
		self:     self,
		startMs:  startMs,
		limits:   lim,
		records:  make(map[Operation]*record),
		imported: make(map[runID]*foreign),
	}
}

// verdict is the answer to an event begin.
type verdict int

const (
	verdictRun verdict = iota
	verdictWait
	verdictDone    // the outcome is final
	verdictInvalid // other content under the same identity
)

// begin decides about one sending of an operation. attempt is 0 when the caller does not count.
//
// A not-run must stay true: no copy of the operation that is still on its way may run afterwards. Without a record it
// is therefore only given to a declared first attempt, which has no earlier copies, or where nothing can run any more.
// With a record, later copies of the attempts that it covers get its outcome, and only a higher attempt runs again.
func (mch *machine) begin(now time.Duration, opn Operation, hsh Hash, attempt int) (vdt verdict, oct Outcome) {
	mch.expire(now)
	rec, held := mch.records[opn]
	if !held {
		return mch.admit(now, opn, hsh, attempt)
	}
	if rec.hash != hsh {
		return verdictInvalid, Outcome{}
	}
	if rec.outcome.State == StateRunning {
		rec.attempt = max(rec.attempt, attempt)
		return verdictWait, rec.outcome
	}
	again := rec.outcome.State == StateNotRun && attempt > rec.attempt
	if again && opn.Ticket.run() == mch.self && !mch.closed && mch.age(now, opn) == ticketValid {
		mch.drop(rec)
		return mch.admit(now, opn, hsh, attempt)
	}
	if again {
		rec.attempt = attempt
	}
	return verdictDone, rec.outcome
}

// admit decides about an operation without a record.
func (mch *machine) admit(now time.Duration, opn Operation, hsh Hash, attempt int) (vdt verdict, oct Outcome) {
	oct, refused := mch.absent(now, opn)
	switch {
	case refused:
		return verdictDone, oct
	case mch.age(now, opn) == ticketEarly:
		return verdictDone, refusal(attempt, "the ticket was issued more than 30 s after the home's own time")
	case len(mch.records) >= mch.limits.records:
		return verdictDone, refusal(attempt, "the home holds as many records as it may")
	}
	mch.records[opn] = &record{
		operation: opn,
		hash:      hsh,
		attempt:   attempt,
		outcome: Outcome{
			State: StateRunning,
		},
	}
	mch.running++
	return verdictRun, Outcome{}
}

// refusal refuses an operation of which no record is made.
func refusal(attempt int, reason string) Outcome {
	if attempt == 1 {
		return notRun(reason)
	}
	return unknown(reason + "; an earlier sending may still be on its way")
}

// absent decides about an operation without a record whose answer does not depend on room. refused is false if it may
// run here.
func (mch *machine) absent(now time.Duration, opn Operation) (oct Outcome, refused bool) {
	run := opn.Ticket.run()
	fgn := mch.imported[run]
	switch {
	case run != mch.self && fgn == nil:
		return unknown("this VM holds no records of the ticket's home"), true
	case run != mch.self && !fgn.whole:
		return unknown("the home left and its records were handed over only in part"), true
	case mch.age(now, opn) == ticketExpired:
		return unknown("the ticket has expired"), true
	case run != mch.self:
		return notRun("the home left before the operation ran"), true
	case mch.closed:
		return notRun("the home is leaving"), true
	}
	return Outcome{}, false
}

type ticketAge int

const (
	ticketValid ticketAge = iota
	ticketExpired
	ticketEarly
)

// age compares the issue time of the operation's ticket with the own time of its home.
func (mch *machine) age(now time.Duration, opn Operation) ticketAge {
	homeMs := mch.homeTime(now)
	if fgn := mch.imported[opn.Ticket.run()]; fgn != nil {
		homeMs = fgn.time(now)
	}
	switch {
	case opn.Ticket.IssuedMs < homeMs-ticketPast.Milliseconds():
		return ticketExpired
	case opn.Ticket.IssuedMs > homeMs+ticketAhead.Milliseconds():
		return ticketEarly
	default:
		return ticketValid
	}
}

// finish ends a running operation and returns the outcome as recorded.
func (mch *machine) finish(now time.Duration, opn Operation, oct Outcome) {
	rec, held := mch.records[opn]
	if !held || rec.outcome.State != StateRunning {
		return
	}
	mch.running--
	mch.settle(now, rec, oct)
	mch.expire(now)
}

// settle stores a final outcome and keeps the answers within their bound.
func (mch *machine) settle(now time.Duration, rec *record, oct Outcome) {
	size := oct.size()
	if oct.State == StateAnswered && size > min(MaxRecordResponseBytes, mch.limits.answerBytes) {
		oct = oct.withoutAnswer()
	}
	rec.outcome = oct
	rec.ended = now
	mch.ended = append(mch.ended, rec)
	if oct.State != StateAnswered {
		return
	}
	mch.answers = append(mch.answers, rec)
	mch.bytes += size
	for mch.bytes > mch.limits.answerBytes {
		old := mch.answers[0]
		mch.answers = mch.answers[1:]
		mch.bytes -= old.outcome.size()
		old.outcome = old.outcome.withoutAnswer()
	}
}

// expire drops the records whose retention is over.
func (mch *machine) expire(now time.Duration) {
	for len(mch.ended) > 0 && now-mch.ended[0].ended >= Retention {
		rec := mch.ended[0]
		mch.ended = mch.ended[1:]
		if len(mch.answers) > 0 && mch.answers[0] == rec {
			mch.answers = mch.answers[1:]
		}
		if mch.records[rec.operation] == rec {
			mch.drop(rec)
		}
	}
}

// drop forgets a record. A record that was opened again or replaced by an import is another one.
func (mch *machine) drop(rec *record) {
	if rec.outcome.State == StateAnswered {
		mch.bytes -= rec.outcome.size()
	}
	delete(mch.records, rec.operation)
}

// status returns what became of an operation.
func (mch *machine) status(now time.Duration, opn Operation) (oct Outcome) {
	mch.expire(now)
	if rec, held := mch.records[opn]; held {
		return rec.outcome
	}
	oct, _ = mch.absent(now, opn)
	return oct
}

// close ends the acceptance of new operations for good.
func (mch *machine) close() { mch.closed = true }

func (mch *machine) homeTime(now time.Duration) (ms int64) { return mch.startMs + now.Milliseconds() }
