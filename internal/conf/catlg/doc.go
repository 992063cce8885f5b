// Package catlg implements the catalogue document: its encoding, validation, merging, comparison, look-ups and edits.
//
// The document lives under one key of the store. It is a set of entries, each with an owner, one typed spec and the
// version of its last edit. Deleted entries stay as tombstones. An edit raises the document's version by one and gives
// that version to each entry that it changes, so that two documents can be merged entry by entry: the higher version
// wins, whatever the order in which documents arrive. The document also holds the ids of the last 64 edits, so that an
// editor that got no response from the store can read the document again and find out whether its edit was accepted.
//
// Documents and Catalogues are immutable and safe for concurrent use. An Editor is safe for concurrent use.
package catlg
