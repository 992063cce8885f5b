package catlg

import (
	"cmp"
	"maps"
	"slices"
)

// Merge returns a document with the newer state of each entry of one and two. It is commutative, associative
// and idempotent.
func Merge(one, two *Document) *Document {
	ents := maps.Clone(one.ents)
	if ents == nil {
		ents = make(map[EntryName]Entry, len(two.ents))
	}
	for nam, ent := range two.ents {
		if old, ok := ents[nam]; !ok || ent.compare(old) > 0 {
			ents[nam] = ent
		}
	}
	return newDocument(max(one.version, two.version), mergeEdits(one.edits, two.edits), ents)
}

// mergeEdits returns the latest MaxEdits records of both lists, the latest first, with one record for each id.
func mergeEdits(one, two []EditRecord) (recs []EditRecord) {
	all := slices.Concat(one, two)
	slices.SortFunc(all, func(fst, snd EditRecord) int {
		return cmp.Or(
			cmp.Compare(snd.Version, fst.Version),
			cmp.Compare(snd.ID, fst.ID),
			cmp.Compare(snd.By, fst.By),
			cmp.Compare(snd.Content, fst.Content),
		)
	})
	seen := map[string]bool{}
	for _, rec := range all {
		if len(recs) < MaxEdits && !seen[rec.ID] {
			seen[rec.ID] = true
			recs = append(recs, rec)
		}
	}
	return recs
}
