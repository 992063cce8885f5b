package catlg

import (
	"encoding/binary"
	"maps"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// MaxEdits is the number of edit ids that a document holds.
const MaxEdits = 64

// EditRecord is an accepted edit.
type EditRecord struct {
	// ID identifies the edit.
	ID string
	// Version is the document version that the edit produced.
	Version uint64
	// By is the author of the edit.
	By string
	// Content is a hash of what the edit changes. It distinguishes a repeated edit from another edit with the same id.
	Content uint64
}

// Document is one state of the catalogue, or a subset of its entries. It is immutable and safe for concurrent use.
type Document struct {
	version uint64
	edits   []EditRecord // the latest first
	ents    map[EntryName]Entry
	digest  func() uint64
}

// Empty returns the document without entries, of version 0.
func Empty() *Document {
	return newDocument(0, nil, nil)
}

// newDocument takes ownership of edits and ents.
func newDocument(version uint64, edits []EditRecord, ents map[EntryName]Entry) (doc *Document) {
	doc = &Document{
		version: version,
		edits:   edits,
		ents:    ents,
	}
	doc.digest = sync.OnceValue(doc.computeDigest)
	return doc
}

// Version returns the version of the last edit.
func (doc *Document) Version() uint64 { return doc.version }

// Edits returns the records of the last edits, the latest first.
func (doc *Document) Edits() []EditRecord { return slices.Clone(doc.edits) }

// Edit returns the record of the accepted edit with the given id.
func (doc *Document) Edit(id string) (rec EditRecord, ok bool) {
	for _, rec = range doc.edits {
		if rec.ID == id {
			return rec, true
		}
	}
	return EditRecord{}, false
}

// Entry returns the entry with the given name, which may be a tombstone.
func (doc *Document) Entry(nam EntryName) (ent Entry, ok bool) {
	ent, ok = doc.ents[nam]
	return ent, ok
}

// Entries returns all entries, tombstones included, in the order of their names.
func (doc *Document) Entries() (ents []Entry) {
	ents = make([]Entry, 0, len(doc.ents))
	for _, nam := range slices.Sorted(maps.Keys(doc.ents)) {
		ents = append(ents, doc.ents[nam])
	}
	return ents
}

// Len returns the number of entries, tombstones included.
func (doc *Document) Len() int { return len(doc.ents) }

// WithEntry returns a copy with the given entries added or replaced.
func (doc *Document) WithEntry(ents ...Entry) *Document {
	all := maps.Clone(doc.ents)
	if all == nil {
		all = map[EntryName]Entry{}
	}
	for _, ent := range ents {
		all[ent.Name] = ent
	}
	return newDocument(doc.version, doc.edits, all)
}

// WithDeleted returns a copy in which the named entries that exist are tombstones.
func (doc *Document) WithDeleted(nams ...EntryName) *Document {
	var ents []Entry
	for _, nam := range nams {
		if ent, ok := doc.ents[nam]; ok {
			ents = append(ents, ent.Tombstone())
		}
	}
	return doc.WithEntry(ents...)
}

// withEdit returns a copy with the version and the record of an edit.
func (doc *Document) withEdit(rec EditRecord) *Document {
	return newDocument(rec.Version, mergeEdits(doc.edits, []EditRecord{rec}), doc.ents)
}

// Digest returns a hash of version and entries. Equal digests mean equal states. Edit ids are left out, because they have no
// effect on steering: VMs that differ only in them need no exchange.
func (doc *Document) Digest() uint64 { return doc.digest() }

func (doc *Document) computeDigest() uint64 {
	dig := xxhash.New()
	_, _ = dig.Write(binary.BigEndian.AppendUint64(nil, doc.version))
	for _, ent := range doc.Entries() {
		data := encodeEntry(ent)
		hdr := binary.BigEndian.AppendUint64(nil, uint64(len(ent.Name)))
		hdr = binary.BigEndian.AppendUint64(hdr, uint64(len(data)))
		_, _ = dig.Write(hdr)
		_, _ = dig.WriteString(string(ent.Name))
		_, _ = dig.Write(data)
	}
	return dig.Sum64()
}
