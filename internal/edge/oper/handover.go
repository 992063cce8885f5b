package oper

import (
	"time"

	"cardamompass"
)

const (
	// MaxChunkBytes bounds one message of a handover.
	MaxChunkBytes = 256 << 10

	// partBytes is the estimated size at which a part is closed; the difference covers the codec's framing.
	partBytes = MaxChunkBytes - 16<<10
	// entryBytes and valueBytes estimate the framing of one record and of one header value.
	entryBytes = 256
	valueBytes = 16
)

// Chunk is one message of a handover. It holds some of the records of one incarnation.
type Chunk struct {
	Home        cardamompass.VMID
	Incarnation cardamompass.Incarnation
	// Export tells the parts of one export from those of another.
	Export int64
	// Index counts the parts from 0 to Count-1.
	Index int
	Count int
	// Partial is set when the sender itself holds only a part of the incarnation's records.
	Partial bool
	// HomeMs is the incarnation's own time at the export, in milliseconds since the Unix epoch.
	HomeMs  int64
	Entries []Entry
}

// Entry is one record of a Part.
type Entry struct {
	Operation Operation
	Hash      Hash
	Outcome   Outcome
}

func (prt Chunk) run() runID {
	return runID{
		home:        prt.Home,
		incarnation: prt.Incarnation,
	}
}

// export returns all records for a successor. Operations that still run are handed over as unknown. Records of
// operations that did not run are left out: the successor answers not-run for what it does not hold.
func (mch *machine) export(now time.Duration) (prs []Chunk) {
	mch.expire(now)
	byRun := map[runID][]Entry{}
	for opn, rec := range mch.records {
		oct := rec.outcome
		if oct.State == StateRunning {
			oct = unknown("the home left while the operation ran")
		}
		if oct.State == StateNotRun {
			continue
		}
		byRun[opn.Ticket.run()] = append(byRun[opn.Ticket.run()], Entry{
			Operation: opn,
			Hash:      rec.hash,
			Outcome:   oct,
		})
	}
	prs = cut(byRun[mch.self], Chunk{
		Home:        mch.self.home,
		Incarnation: mch.self.incarnation,
		Export:      int64(now),
		HomeMs:      mch.homeTime(now),
	})
	for run, fgn := range mch.imported {
		prs = append(prs, cut(byRun[run], Chunk{
			Home:        run.home,
			Incarnation: run.incarnation,
			Export:      int64(now),
			Partial:     !fgn.whole,
			HomeMs:      fgn.time(now),
		})...)
	}
	return prs
}

// cut distributes entries over as many copies of the empty part as needed, one at least.
func cut(entries []Entry, empty Chunk) (prs []Chunk) {
	prt, size := empty, 0
	for _, ent := range entries {
		bytes := ent.size()
		if size > 0 && size+bytes > partBytes {
			prs = append(prs, prt)
			prt, size = empty, 0
		}
		prt.Entries = append(prt.Entries, ent)
		size += bytes
	}
	prs = append(prs, prt)
	for idx := range prs {
		prs[idx].Index = idx
		prs[idx].Count = len(prs)
	}
	return prs
}

func (ent Entry) size() (bytes int) {
	bytes = entryBytes + ent.Outcome.size() + len(ent.Operation.Request) + len(ent.Operation.Ticket.Home) +
		len(ent.Outcome.Reason) + len(ent.Outcome.Target)
	for _, values := range ent.Outcome.Header {
		bytes += valueBytes * (1 + len(values))
	}
	return bytes
}

func (fgn *foreign) time(now time.Duration) (ms int64) {
	return fgn.homeMs + (now - fgn.at).Milliseconds()
}

// take imports one part. It may be repeated. reason is set when the part is refused.
func (mch *machine) take(now time.Duration, prt Chunk) (reason string) {
	mch.expire(now)
	run := prt.run()
	added := 0
	for _, ent := range prt.Entries {
		if _, held := mch.records[ent.Operation]; !held {
			added++
		}
		if ent.Operation.Ticket.run() != run {
			return "a record belongs to another incarnation than its part"
		}
	}
	switch {
	case run == mch.self:
		return "the successor is the incarnation that left"
	case mch.closed:
		return "the successor is leaving too"
	case prt.Index < 0 || prt.Index >= prt.Count:
		return "the part's index is out of range"
	case len(mch.records)+added > mch.limits.records:
		return "the successor holds as many records as it may"
	}
	for _, ent := range prt.Entries {
		mch.adopt(now, ent)
	}
	mch.count(now, run, prt)
	return ""
}

// adopt stores an imported record, unless it is held with an outcome that is at least as certain.
func (mch *machine) adopt(now time.Duration, ent Entry) {
	rec, held := mch.records[ent.Operation]
	if held && (rec.outcome.State != StateUnknown || ent.Outcome.State == StateUnknown) {
		return
	}
	rec = &record{
		operation: ent.Operation,
		hash:      ent.Hash,
	}
	mch.records[ent.Operation] = rec
	mch.settle(now, rec, ent.Outcome)
}

// count notes that a part arrived. The home's time never goes back, so that no expired ticket becomes valid again.
func (mch *machine) count(now time.Duration, run runID, prt Chunk) {
	fgn := mch.imported[run]
	if fgn == nil {
		fgn = &foreign{
			export: prt.Export,
			seen:   make(map[int]bool),
		}
		mch.imported[run] = fgn
	}
	if fgn.at == 0 || prt.HomeMs > fgn.time(now) {
		fgn.homeMs, fgn.at = prt.HomeMs, now
	}
	if prt.Export > fgn.export {
		fgn.export = prt.Export
		fgn.seen = make(map[int]bool)
	}
	if prt.Export == fgn.export && !prt.Partial {
		fgn.seen[prt.Index] = true
		fgn.whole = fgn.whole || len(fgn.seen) == prt.Count
	}
}
