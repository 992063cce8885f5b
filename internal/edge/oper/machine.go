package oper

import (
	"time"
)

const (
	// Retention is the time for which a record is kept after the end of its operation.
	Retention = 10 * time.Minute
	// DefaultMaxRecords bounds the number of records of one VM.
	DefaultMaxRecords = 200_000
	// DefaultMaxResponseBytes bounds the total size of the responses stored by one VM. A process may use 128 MB, and
	// 200,000 records without responses take 68 MB of heap.
	DefaultMaxResponseBytes = 16 << 20
)

// limits bounds the memory of a machine.
type limits struct {
	records       int
	responseBytes int
}

// record is the state of one operation.
type record struct {
	operation Operation
	hash      Hash
	attempt   int // highest attempt count that the record covers
	outcome   Outcome
	ended     time.Duration
}

// importedHome is the imported state of another incarnation.
type importedHome struct {
	homeMs     int64         // time of the export by the home's clock
	receivedAt time.Duration // local time at which homeMs was received
	export     int64         // identifies the export whose chunks are being received
	received   map[int]bool
	complete   bool
}

// machine is the state machine of all operations of one VM. It does no I/O and reads no clock. Times are durations since
// the start of the incarnation.
type machine struct {
	self     homeID
	startMs  int64
	limits   limits
	closed   bool
	running  int
	records  map[Operation]*record
	imported map[homeID]*importedHome

	ended         []*record // records of ended operations in the order of their end
	responses     []*record // those of them with a stored response, in the same order
	responseBytes int
}

func newMachine(self homeID, startMs int64, lim limits) *machine {
	return &machine{
		self:     self,
		startMs:  startMs,
		limits:   lim,
		records:  make(map[Operation]*record),
		imported: make(map[homeID]*importedHome),
	}
}

// decision is the result of begin.
type decision int

const (
	decisionRun decision = iota
	decisionWait
	decisionDone    // the outcome is final
	decisionInvalid // different content under the same identity
)

// begin decides how to handle an attempt of an operation. attempt is 0 when the caller does not count its attempts.
//
// A not-run outcome must remain true: no delayed copy of the operation may run afterwards. Without a record it is
// therefore returned only for a declared first attempt, which has no earlier copies, or when the operation can no longer
// run at all. With a record, late copies of the attempts that it covers get its outcome, and only a higher attempt runs
// again.
func (mch *machine) begin(now time.Duration, opn Operation, hsh Hash, attempt int) (dec decision, oct Outcome) {
	mch.expire(now)
	rec, found := mch.records[opn]
	if !found {
		return mch.admit(now, opn, hsh, attempt)
	}
	if rec.hash != hsh {
		return decisionInvalid, Outcome{}
	}
	if rec.outcome.State == StateRunning {
		rec.attempt = max(rec.attempt, attempt)
		return decisionWait, rec.outcome
	}
	retried := rec.outcome.State == StateNotRun && attempt > rec.attempt
	if retried && opn.Ticket.homeID() == mch.self && !mch.closed && mch.age(now, opn) == ticketValid {
		mch.drop(rec)
		return mch.admit(now, opn, hsh, attempt)
	}
	if retried {
		rec.attempt = attempt
	}
	return decisionDone, rec.outcome
}

// admit decides how to handle an operation without a record.
func (mch *machine) admit(now time.Duration, opn Operation, hsh Hash, attempt int) (dec decision, oct Outcome) {
	oct, refused := mch.classifyAbsent(now, opn)
	switch {
	case refused:
		return decisionDone, oct
	case mch.age(now, opn) == ticketEarly:
		return decisionDone, refusal(attempt, "the ticket was issued more than 30 s after the home's own time")
	case len(mch.records) >= mch.limits.records:
		return decisionDone, refusal(attempt, "the home holds as many records as it may")
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
	return decisionRun, Outcome{}
}

// refusal returns the outcome of an attempt that is refused without a record. It is certain only for a first attempt.
func refusal(attempt int, reason string) Outcome {
	if attempt == 1 {
		return notRun(reason)
	}
	return unknown(reason + "; an earlier sending may still be on its way")
}

// classifyAbsent returns the outcome of an operation without a record, independent of the record limit. refused is false
// if the operation may run here.
func (mch *machine) classifyAbsent(now time.Duration, opn Operation) (oct Outcome, refused bool) {
	hid := opn.Ticket.homeID()
	imp := mch.imported[hid]
	switch {
	case hid != mch.self && imp == nil:
		return unknown("this VM holds no records of the ticket's home"), true
	case hid != mch.self && !imp.complete:
		return unknown("the home left and its records were handed over only in part"), true
	case mch.age(now, opn) == ticketExpired:
		return unknown("the ticket has expired"), true
	case hid != mch.self:
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

// age compares the issue time of the operation's ticket with the clock of its home.
func (mch *machine) age(now time.Duration, opn Operation) ticketAge {
	homeMs := mch.homeTime(now)
	if imp := mch.imported[opn.Ticket.homeID()]; imp != nil {
		homeMs = imp.time(now)
	}
	switch {
	case opn.Ticket.IssuedMs < homeMs-ticketMaxAge.Milliseconds():
		return ticketExpired
	case opn.Ticket.IssuedMs > homeMs+ticketMaxAhead.Milliseconds():
		return ticketEarly
	default:
		return ticketValid
	}
}

// finish records the outcome of a running operation.
func (mch *machine) finish(now time.Duration, opn Operation, oct Outcome) {
	rec, found := mch.records[opn]
	if !found || rec.outcome.State != StateRunning {
		return
	}
	mch.running--
	mch.complete(now, rec, oct)
	mch.expire(now)
}

// complete stores a final outcome and drops the oldest stored responses beyond the limit.
func (mch *machine) complete(now time.Duration, rec *record, oct Outcome) {
	size := oct.size()
	if oct.State == StateAnswered && size > min(MaxRecordResponseBytes, mch.limits.responseBytes) {
		oct = oct.withoutResponse()
	}
	rec.outcome = oct
	rec.ended = now
	mch.ended = append(mch.ended, rec)
	if oct.State != StateAnswered {
		return
	}
	mch.responses = append(mch.responses, rec)
	mch.responseBytes += size
	for mch.responseBytes > mch.limits.responseBytes {
		old := mch.responses[0]
		mch.responses = mch.responses[1:]
		mch.responseBytes -= old.outcome.size()
		old.outcome = old.outcome.withoutResponse()
	}
}

// expire drops the records whose retention has ended.
func (mch *machine) expire(now time.Duration) {
	for len(mch.ended) > 0 && now-mch.ended[0].ended >= Retention {
		rec := mch.ended[0]
		mch.ended = mch.ended[1:]
		if len(mch.responses) > 0 && mch.responses[0] == rec {
			mch.responses = mch.responses[1:]
		}
		// The operation has another record if it was reopened or replaced by an import.
		if mch.records[rec.operation] == rec {
			mch.drop(rec)
		}
	}
}

// drop deletes a record.
func (mch *machine) drop(rec *record) {
	if rec.outcome.State == StateAnswered {
		mch.responseBytes -= rec.outcome.size()
	}
	delete(mch.records, rec.operation)
}

// status returns the outcome of an operation.
func (mch *machine) status(now time.Duration, opn Operation) (oct Outcome) {
	mch.expire(now)
	if rec, found := mch.records[opn]; found {
		return rec.outcome
	}
	oct, _ = mch.classifyAbsent(now, opn)
	return oct
}

// close permanently stops the acceptance of new operations.
func (mch *machine) close() { mch.closed = true }

func (mch *machine) homeTime(now time.Duration) (ms int64) { return mch.startMs + now.Milliseconds() }
