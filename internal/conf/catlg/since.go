package catlg

// Since returns the part of the document whose entries were edited after the given version. Merged into a document that
// has everything up to that version, it gives the whole document.
func (doc *Document) Since(version uint64) (part *Document) {
	ents := make(map[EntryName]Entry)
	for nam, ent := range doc.ents {
		if ent.Version > version {
			ents[nam] = ent
		}
	}
	return newDocument(doc.version, doc.edits, ents)
}
