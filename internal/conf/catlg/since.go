package catlg

// Since returns the document with only the entries that were edited after the given version. Merging it into a document that
// has all edits up to that version gives the complete document.
func (doc *Document) Since(version uint64) (delta *Document) {
	ents := make(map[EntryName]Entry)
	for nam, ent := range doc.ents {
		if ent.Version > version {
			ents[nam] = ent
		}
	}
	return newDocument(doc.version, doc.edits, ents)
}
