package catlg

import (
	"bytes"
	"cmp"
	"slices"
	"time"

	"cardamompass"
)

// Spec is the content of an entry.
type Spec interface {
	cardamompass.RegionInfo | cardamompass.Service | cardamompass.Target | cardamompass.Link |
		cardamompass.ShiftLimit | cardamompass.ClientBlocks
}

// Entry is one entry of a document. It is immutable.
type Entry struct {
	Name EntryName
	// Owner is the person or group responsible for the entry.
	Owner string
	// Version is the document version of its last edit; 0 for an entry that was never put.
	Version uint64
	// EditedBy and EditedAt are the author and the time of the last edit.
	EditedBy string
	EditedAt time.Time
	// Deleted marks a tombstone. A tombstone has no spec.
	Deleted bool

	spec any    // one of the types of Spec; nil for a tombstone
	raw  []byte // canonical JSON encoding of spec, for comparison and encoding
}

// NewEntry returns an entry with spec and version 0. It returns a *cardamompass.InvalidError if the name is malformed or does
// not match the spec.
func NewEntry[S Spec](name EntryName, owner string, spec S) (ent Entry, err error) {
	if err = name.Check(); err != nil {
		return Entry{}, err
	}
	if own := impliedName(spec); own != name && (own != "" || name.Kind() != KindClients) {
		return Entry{}, &cardamompass.InvalidError{
			Field:  string(name),
			Reason: "the spec belongs to another entry, " + string(own),
		}
	}
	return Entry{
		Name:  name,
		Owner: owner,
	}.withSpec(spec), nil
}

// SpecOf returns the spec of an entry if it is of type S. Callers must not modify slices in it.
func SpecOf[S Spec](ent Entry) (spec S, ok bool) {
	spec, ok = ent.spec.(S)
	return spec, ok
}

// impliedName returns the entry name that a spec implies. Client blocks do not imply one.
func impliedName(spec any) EntryName {
	switch spc := spec.(type) {
	case cardamompass.RegionInfo:
		return RegionEntry(spc.Name)
	case cardamompass.Service:
		return ServiceEntry(spc.Name)
	case cardamompass.Target:
		return TargetEntry(spc.ID)
	case cardamompass.Link:
		return LinkEntry(spc.From, spc.To)
	case cardamompass.ShiftLimit:
		return ShiftEntry(spc.Service, spc.From, spc.To)
	default:
		return ""
	}
}

func (ent Entry) withSpec(spec any) Entry {
	ent.spec, ent.raw = cloneSpec(spec), encodeSpec(spec)
	ent.Deleted = false
	return ent
}

// cloneSpec copies the slices of spec, so that later changes by the caller do not change the entry.
func cloneSpec(spec any) any {
	switch spc := spec.(type) {
	case cardamompass.RegionInfo:
		spc.FailureDomains = slices.Clone(spc.FailureDomains)
		spc.FallbackRegions = slices.Clone(spc.FallbackRegions)
		return spc
	case cardamompass.ClientBlocks:
		spc.Prefixes = slices.Clone(spc.Prefixes)
		return spc
	default:
		return spec
	}
}

// WithOwner returns a copy with the given owner.
func (ent Entry) WithOwner(owner string) Entry {
	ent.Owner = owner
	return ent
}

// Tombstone returns a copy marked as deleted, without a spec.
func (ent Entry) Tombstone() Entry {
	ent.Deleted = true
	ent.spec, ent.raw = nil, nil
	return ent
}

// stamped returns a copy with the given version, author and time of the last edit.
func (ent Entry) stamped(version uint64, by string, at time.Time) Entry {
	ent.Version = version
	ent.EditedBy = by
	ent.EditedAt = at.UTC().Round(0)
	return ent
}

// SameContent reports whether two entries are equal apart from the version, author and time of their last edits.
func (ent Entry) SameContent(oth Entry) bool {
	return ent.Name == oth.Name && ent.Owner == oth.Owner && ent.Deleted == oth.Deleted &&
		bytes.Equal(ent.raw, oth.raw)
}

// compare orders two states of one entry by version. The other fields only make the order total, so that a merge is
// commutative even if two histories assigned the same version to different contents.
func (ent Entry) compare(oth Entry) int {
	deleted := func(one Entry) int {
		if one.Deleted {
			return 1
		}
		return 0
	}
	return cmp.Or(
		cmp.Compare(ent.Version, oth.Version),
		ent.EditedAt.Compare(oth.EditedAt),
		cmp.Compare(deleted(ent), deleted(oth)),
		cmp.Compare(ent.EditedBy, oth.EditedBy),
		cmp.Compare(ent.Owner, oth.Owner),
		bytes.Compare(ent.raw, oth.raw),
	)
}
