package oper

import (
	"time"

	"cardamompass"
)

const (
	// MaxChunkBytes bounds the encoded size of a Chunk.
	MaxChunkBytes = 256 << 10

	// chunkBytes is the estimated size at which a chunk is full; the difference to MaxChunkBytes covers the framing of the codec.
	chunkBytes = MaxChunkBytes - 16<<10
	// entryBytes and valueBytes are the estimated framing overhead of one record and of one header value.
	entryBytes = 256
	valueBytes = 16
)

// Chunk is one message of a handover. It holds some of the records of one incarnation.
type Chunk struct {
	Home        cardamompass.VMID
	Incarnation cardamompass.Incarnation
	// Export identifies the export that the chunk belongs to.
	Export int64
	// Index is the position of the chunk among the Count chunks of its export, from 0.
	Index int
	Count int
	// Partial is set when the sender itself holds only some of the incarnation's records.
	Partial bool
	// HomeMs is the time of the export by the incarnation's clock, in milliseconds since the Unix epoch.
	HomeMs  int64
	Entries []Entry
}

// Entry is one record of a Chunk.
type Entry struct {
	Operation Operation
	Hash      Hash
	Outcome   Outcome
}

func (chk Chunk) homeID() homeID {
	return homeID{
		home:        chk.Home,
		incarnation: chk.Incarnation,
	}
}

// export returns all records for a successor. Operations that are still running are exported as unknown. Records of
// operations that did not run are omitted: the successor answers not-run for operations of which it has no record.
func (mch *machine) export(now time.Duration) (chs []Chunk) {
	mch.expire(now)
	byHome := map[homeID][]Entry{}
	for opn, rec := range mch.records {
		oct := rec.outcome
		if oct.State == StateRunning {
			oct = unknown("the home left while the operation ran")
		}
		if oct.State == StateNotRun {
			continue
		}
		byHome[opn.Ticket.homeID()] = append(byHome[opn.Ticket.homeID()], Entry{
			Operation: opn,
			Hash:      rec.hash,
			Outcome:   oct,
		})
	}
	chs = splitChunks(byHome[mch.self], Chunk{
		Home:        mch.self.home,
		Incarnation: mch.self.incarnation,
		Export:      int64(now),
		HomeMs:      mch.homeTime(now),
	})
	for hid, imp := range mch.imported {
		chs = append(chs, splitChunks(byHome[hid], Chunk{
			Home:        hid.home,
			Incarnation: hid.incarnation,
			Export:      int64(now),
			Partial:     !imp.complete,
			HomeMs:      imp.time(now),
		})...)
	}
	return chs
}

// splitChunks distributes entries over copies of the empty chunk, at least one.
func splitChunks(entries []Entry, empty Chunk) (chs []Chunk) {
	chk, size := empty, 0
	for _, ent := range entries {
		bytes := ent.size()
		if size > 0 && size+bytes > chunkBytes {
			chs = append(chs, chk)
			chk, size = empty, 0
		}
		chk.Entries = append(chk.Entries, ent)
		size += bytes
	}
	chs = append(chs, chk)
	for idx := range chs {
		chs[idx].Index = idx
		chs[idx].Count = len(chs)
	}
	return chs
}

func (ent Entry) size() (bytes int) {
	bytes = entryBytes + ent.Outcome.size() + len(ent.Operation.Request) + len(ent.Operation.Ticket.Home) +
		len(ent.Outcome.Reason) + len(ent.Outcome.Target)
	for _, values := range ent.Outcome.Header {
		bytes += valueBytes * (1 + len(values))
	}
	return bytes
}

func (imp *importedHome) time(now time.Duration) (ms int64) {
	return imp.homeMs + (now - imp.receivedAt).Milliseconds()
}

// importChunk imports one chunk. It is idempotent. reason is set when the chunk is refused.
func (mch *machine) importChunk(now time.Duration, chk Chunk) (reason string) {
	mch.expire(now)
	hid := chk.homeID()
	added := 0
	for _, ent := range chk.Entries {
		if _, found := mch.records[ent.Operation]; !found {
			added++
		}
		if ent.Operation.Ticket.homeID() != hid {
			return "a record belongs to another incarnation than its part"
		}
	}
	switch {
	case hid == mch.self:
		return "the successor is the incarnation that left"
	case mch.closed:
		return "the successor is leaving too"
	case chk.Index < 0 || chk.Index >= chk.Count:
		return "the part's index is out of range"
	case len(mch.records)+added > mch.limits.records:
		return "the successor holds as many records as it may"
	}
	for _, ent := range chk.Entries {
		mch.importRecord(now, ent)
	}
	mch.recordChunk(now, hid, chk)
	return ""
}

// importRecord stores an imported record, unless a record with an outcome that is at least as certain exists.
func (mch *machine) importRecord(now time.Duration, ent Entry) {
	rec, found := mch.records[ent.Operation]
	if found && (rec.outcome.State != StateUnknown || ent.Outcome.State == StateUnknown) {
		return
	}
	rec = &record{
		operation: ent.Operation,
		hash:      ent.Hash,
	}
	mch.records[ent.Operation] = rec
	mch.complete(now, rec, ent.Outcome)
}

// recordChunk records the receipt of a chunk. The home's time never goes back, so that no expired ticket becomes valid again.
func (mch *machine) recordChunk(now time.Duration, hid homeID, chk Chunk) {
	imp := mch.imported[hid]
	if imp == nil {
		imp = &importedHome{
			export:   chk.Export,
			received: make(map[int]bool),
		}
		mch.imported[hid] = imp
	}
	if imp.receivedAt == 0 || chk.HomeMs > imp.time(now) {
		imp.homeMs, imp.receivedAt = chk.HomeMs, now
	}
	if chk.Export > imp.export {
		imp.export = chk.Export
		imp.received = make(map[int]bool)
	}
	if chk.Export == imp.export && !chk.Partial {
		imp.received[chk.Index] = true
		imp.complete = imp.complete || len(imp.received) == chk.Count
	}
}
