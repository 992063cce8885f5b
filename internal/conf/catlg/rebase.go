package catlg

import (
	"cmp"
	"slices"
)

// Rebase returns the stored document in which the edits that the store accepted after it was restored to an older state have
// new versions, above those of the active document. When the result is merged with the active document, these edits win, as
// every later edit does.
//
// Such an edit has a version that the active document records under another edit id. An edit that is merely older, as in a
// delayed response of the store, has a version and an id that are both recorded in the active document. Edits older than the
// MaxEdits records of the active document cannot be distinguished and are left unchanged.
func Rebase(active, stored *Document) *Document {
	forks := forkedEdits(active, stored)
	if len(forks) == 0 {
		return stored
	}
	version := max(active.version, stored.version)
	moved := make(map[uint64]uint64, len(forks))
	for _, rec := range forks {
		version++
		moved[rec.Version] = version
	}
	ents := make(map[EntryName]Entry, len(stored.ents))
	for nam, ent := range stored.ents {
		if next, ok := moved[ent.Version]; ok {
			ent.Version = next
		}
		ents[nam] = ent
	}
	edits := slices.Clone(stored.edits)
	for pos := range edits {
		if next, ok := moved[edits[pos].Version]; ok {
			edits[pos].Version = next
		}
	}
	return newDocument(version, mergeEdits(edits, nil), ents)
}

// forkedEdits returns the edits in stored that were accepted after the store was restored, the earliest first.
func forkedEdits(active, stored *Document) (forks []EditRecord) {
	ids := make(map[string]bool, len(active.edits))
	versions := make(map[uint64]bool, len(active.edits))
	for _, rec := range active.edits {
		ids[rec.ID] = true
		versions[rec.Version] = true
	}
	for _, rec := range stored.edits {
		if !ids[rec.ID] && versions[rec.Version] {
			forks = append(forks, rec)
		}
	}
	slices.SortFunc(forks, func(one, two EditRecord) int { return cmp.Compare(one.Version, two.Version) })
	return forks
}
