package catlg

import (
	"cmp"
	"slices"
)

// Rebase returns the stored document with those edits moved to the front that the store accepted after it was restored to an
// older state. Merged with the document in force, they win over what they were made on, as every later edit does.
//
// Such an edit has a version that the document in force knows under another edit id. An edit that is merely older, as in a
// late answer of the store, has a version and an id that are both known. Edits further back than the MaxEdits records of the
// document in force can't be told apart and are left as they are.
func Rebase(inForce, stored *Document) *Document {
	forks := forkedEdits(inForce, stored)
	if len(forks) == 0 {
		return stored
	}
	version := max(inForce.version, stored.version)
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

// forkedEdits returns the stored edits that were accepted after a restoration, the earliest first.
func forkedEdits(inForce, stored *Document) (forks []EditRecord) {
	known := make(map[string]bool, len(inForce.edits))
	taken := make(map[uint64]bool, len(inForce.edits))
	for _, rec := range inForce.edits {
		known[rec.ID] = true
		taken[rec.Version] = true
	}
	for _, rec := range stored.edits {
		if !known[rec.ID] && taken[rec.Version] {
			forks = append(forks, rec)
		}
	}
	slices.SortFunc(forks, func(one, two EditRecord) int { return cmp.Compare(one.Version, two.Version) })
	return forks
}
