package catlg

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Change is the difference in one entry.
type Change struct {
	Name EntryName
	// Old and New are the states of the entry. A state that does not exist has an empty Name.
	Old Entry
	New Entry
}

// Diff returns the entries whose content differs, in the order of their names. A missing entry and a deleted one count as
// equal.
func Diff(old, edited *Document) (chgs []Change) {
	nams := map[EntryName]bool{}
	for nam := range old.ents {
		nams[nam] = true
	}
	for nam := range edited.ents {
		nams[nam] = true
	}
	for _, nam := range slices.Sorted(maps.Keys(nams)) {
		fst, snd := old.ents[nam], edited.ents[nam]
		if fst.live() || snd.live() {
			if !fst.SameContent(snd) {
				chgs = append(chgs, Change{
					Name: nam,
					Old:  fst,
					New:  snd,
				})
			}
		}
	}
	return chgs
}

func (ent Entry) live() bool { return ent.Name != "" && !ent.Deleted }

// String returns a readable description of the change: "+" for an added entry, "-" for a deleted one, "~" for a changed one
// with each changed field.
func (chg Change) String() string {
	switch {
	case !chg.Old.live():
		return fmt.Sprintf("+ %s owner=%s %s", chg.Name, chg.New.Owner, chg.New.raw)
	case !chg.New.live():
		return fmt.Sprintf("- %s owner=%s %s", chg.Name, chg.Old.Owner, chg.Old.raw)
	}
	var flds []string
	if chg.Old.Owner != chg.New.Owner {
		flds = append(flds, fmt.Sprintf("owner: %s -> %s", chg.Old.Owner, chg.New.Owner))
	}
	fst, snd := fields(chg.Old.raw), fields(chg.New.raw)
	for _, nam := range slices.Sorted(maps.Keys(snd)) {
		if string(fst[nam]) != string(snd[nam]) {
			flds = append(flds, fmt.Sprintf("%s: %s -> %s", nam, orNone(fst[nam]), snd[nam]))
		}
	}
	for _, nam := range slices.Sorted(maps.Keys(fst)) {
		if _, ok := snd[nam]; !ok {
			flds = append(flds, fmt.Sprintf("%s: %s -> none", nam, fst[nam]))
		}
	}
	return fmt.Sprintf("~ %s %s", chg.Name, strings.Join(flds, ", "))
}

func orNone(raw json.RawMessage) string {
	if raw == nil {
		return "none"
	}
	return string(raw)
}

// fields returns the members of a spec's JSON encoding.
func fields(raw []byte) (flds map[string]json.RawMessage) {
	if err := json.Unmarshal(raw, &flds); err != nil {
		return nil
	}
	return flds
}
