package share

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"cardamompass"
)

// Owner is one incarnation of an entry VM as it appears in a ledger.
type Owner struct {
	VM          cardamompass.VMID        `json:"vm"`
	Incarnation cardamompass.Incarnation `json:"incarnation"`
	// Boot identifies the run of the VM's operating system. A process that has bound the peer address of its predecessor
	// under the same boot knows that the predecessor is gone.
	Boot string `json:"boot,omitempty"`
	// Lease is the store lease that the ownership is bound to.
	Lease cardamompass.LeaseID `json:"lease"`
}

func (own Owner) same(oth Owner) bool { return own.VM == oth.VM && own.Incarnation == oth.Incarnation }

// succeeds reports whether own runs where oth certainly runs no more.
func (own Owner) succeeds(oth Owner) bool {
	return own.VM == oth.VM && own.Boot != "" && own.Boot == oth.Boot && own.Incarnation > oth.Incarnation
}

// Entry is the ownership of units by one incarnation.
type Entry struct {
	Owner
	Units int64 `json:"units"`
	// Weight is the relative size of the owner's part, at least 1.
	Weight int64 `json:"weight"`
}

// Ledger is the division of one resource. It is immutable. The sum of its units never exceeds its capacity.
type Ledger struct {
	// Capacity is the cap that the units are parts of.
	Capacity int64 `json:"capacity"`
	// CatalogueVersion is the version of the catalogue from which Capacity was taken.
	CatalogueVersion int64 `json:"catalogue-version"`
	// Entries are in the order of VM and incarnation.
	Entries []Entry `json:"entries"`
}

// ParseLedger returns the ledger that data holds. Empty data is an empty ledger.
func ParseLedger(data []byte) (led Ledger, err error) {
	defer func() { err = errors.Wrap(err, "parse ledger") }()
	if len(data) == 0 {
		return Ledger{}, nil
	}
	if err := json.Unmarshal(data, &led); err != nil {
		return Ledger{}, err
	}
	for _, ent := range led.Entries {
		if ent.Units < 0 {
			return Ledger{}, &cardamompass.InvalidError{
				Field:  string(ent.VM),
				Reason: "owns a negative number of units",
			}
		}
	}
	if led.Sum() > led.Capacity {
		return Ledger{}, &cardamompass.InvalidError{
			Field:  "entries",
			Reason: "own more units than the capacity",
		}
	}
	return led, nil
}

// Marshal returns the stored form.
func (led Ledger) Marshal() (data []byte, err error) { return json.Marshal(led) }

// Sum returns the units that are owned.
func (led Ledger) Sum() (sum int64) {
	for _, ent := range led.Entries {
		sum += ent.Units
	}
	return sum
}

// Units returns the units that own has.
func (led Ledger) Units(own Owner) int64 {
	for _, ent := range led.Entries {
		if ent.same(own) {
			return ent.Units
		}
	}
	return 0
}

// WithEntry returns a copy in which ent replaces the entry of the same owner.
func (led Ledger) WithEntry(ent Entry) Ledger {
	led = led.without(func(old Entry) bool { return old.same(ent.Owner) })
	led.Entries = append(led.Entries, ent)
	slices.SortFunc(led.Entries, func(one, two Entry) int {
		if ord := strings.Compare(string(one.VM), string(two.VM)); ord != 0 {
			return ord
		}
		if one.Incarnation < two.Incarnation {
			return -1
		}
		return 1
	})
	return led
}

// WithoutOwner returns a copy in which own has no entry.
func (led Ledger) WithoutOwner(own Owner) Ledger {
	return led.without(func(ent Entry) bool { return ent.same(own) })
}

func (led Ledger) without(drop func(Entry) bool) Ledger {
	led.Entries = slices.DeleteFunc(slices.Clone(led.Entries), drop)
	return led
}

// PlanInput is what an incarnation knows when it plans its next entry in a ledger.
type PlanInput struct {
	Owner    Owner
	Resource Resource
	// CatalogueVersion is the version of the catalogue that Resource was taken from.
	CatalogueVersion int64
	// ConfirmedUnits is the number of units that the owner may count on. It is below the ledger's figure after a write
	// whose answer was lost, and after the store was restored to an older state. The smaller figure counts.
	ConfirmedUnits int64
	// MembersWithoutEntry is the number of alive members that have no entry yet. Units are set aside for them, so that
	// the first owner does not take everything.
	MembersWithoutEntry int64
	// Floor is the number of own units that can't be given up now: they are in use or lent.
	Floor int64
	// PredecessorLoansEnded is set when the loans of the owner's predecessor on the same VM have certainly ended. The
	// predecessor's entry can then be removed.
	PredecessorLoansEnded bool
	// Expired reports whether the lease of an entry has lapsed, so that its owner certainly uses no unit any more.
	Expired func(Entry) bool
	// Unavailable reports whether the owner of an entry can't lower it: it does not serve, and its lease has not lapsed.
	// Nil means that all owners can.
	Unavailable func(Entry) bool
}

// Plan returns the ledger that the visitor wants: without the entries of gone owners, with the capacity in force if the
// visitor knows a catalogue that is at least as new as the ledger's, and with the visitor's units moved towards its
// part. Only the visitor's own units and those of gone owners change.
func (led Ledger) Plan(vis PlanInput) (next Ledger) {
	next = led.without(func(ent Entry) bool {
		return !ent.same(vis.Owner) && (vis.PredecessorLoansEnded && vis.Owner.succeeds(ent.Owner) || vis.Expired(ent))
	})
	wanted := next.Capacity
	if vis.CatalogueVersion >= next.CatalogueVersion {
		wanted = vis.Resource.Capacity
	}
	capacity := wanted
	if capacity < next.Capacity && !next.fits(vis, capacity) {
		// The capacity in the ledger stays, and all owners scale their units down. Who lowered its entry as well would use
		// only a part of its part.
		capacity = next.Capacity
	}
	mine := min(next.Units(vis.Owner), vis.ConfirmedUnits)
	others := next.WithoutOwner(vis.Owner).Sum()
	part := partOf(next, vis, capacity)
	units := mine
	switch {
	case mine > part && (others+mine > capacity || next.starved(vis.Owner, capacity)):
		units = max(part, min(vis.Floor, mine))
	case mine < part:
		units += min(part-mine, max(0, capacity-others-mine))
	}
	if units < vis.Resource.minUnits() && units != mine {
		units = min(mine, vis.Floor)
	}
	next = next.WithEntry(Entry{
		Owner:  vis.Owner,
		Units:  units,
		Weight: vis.Resource.Weight,
	})
	// A lower capacity is written only when the units fit into it; until then owners scale their units down.
	if next.Sum() <= wanted && vis.CatalogueVersion >= led.CatalogueVersion {
		next.Capacity = wanted
		next.CatalogueVersion = vis.CatalogueVersion
	}
	return next
}

// fits reports whether the units can fit into a lower capacity once all owners that can lower their entries have their part.
func (led Ledger) fits(vis PlanInput, capacity int64) bool {
	if vis.Unavailable == nil {
		return true
	}
	parts := led.parts(capacity)
	sum := int64(0)
	for num, ent := range led.Entries {
		if !vis.Unavailable(ent) {
			ent.Units = min(ent.Units, parts[num])
		}
		sum += ent.Units
	}
	return sum <= capacity
}

// parts returns the part of the capacity of each entry by its weight. The remainder of the division goes to the first
// entries.
func (led Ledger) parts(capacity int64) (parts []int64) {
	var weights int64
	for _, ent := range led.Entries {
		weights += max(1, ent.Weight)
	}
	left := capacity
	for _, ent := range led.Entries {
		part := capacity * max(1, ent.Weight) / weights
		parts = append(parts, part)
		left -= part
	}
	for num := range parts {
		if int64(num) < left {
			parts[num]++
		}
	}
	return parts
}

// starved reports whether an owner other than own has less than half of its part. Owners lower their entries only then, so
// that small changes in the number of owners cause no writes.
func (led Ledger) starved(own Owner, capacity int64) bool {
	parts := led.parts(capacity)
	for num, ent := range led.Entries {
		if !ent.same(own) && 2*ent.Units < parts[num] {
			return true
		}
	}
	return false
}

// uneven reports whether an owner has less than half of its part, and the parts are large enough to be owned at all.
func (led Ledger) uneven(least int64) bool {
	return led.Capacity/max(1, int64(len(led.Entries))) >= least && led.starved(Owner{}, led.Capacity)
}

// lacks reports whether own has less than half of its part.
func (led Ledger) lacks(own Owner) bool {
	parts := led.parts(led.Capacity)
	pos := slices.IndexFunc(led.Entries, func(ent Entry) bool { return ent.same(own) })
	return pos >= 0 && 2*led.Entries[pos].Units < parts[pos]
}

// partOf returns the visitor's part of the capacity among the present owners and the absent members, which count with the
// visitor's weight.
func partOf(led Ledger, vis PlanInput, capacity int64) int64 {
	withSelf := led.WithEntry(Entry{
		Owner:  vis.Owner,
		Weight: vis.Resource.Weight,
	})
	pos := slices.IndexFunc(withSelf.Entries, func(ent Entry) bool { return ent.same(vis.Owner) })
	for num := range vis.MembersWithoutEntry {
		withSelf.Entries = append(withSelf.Entries, Entry{
			Owner: Owner{
				Incarnation: cardamompass.Incarnation(num),
			},
			Weight: vis.Resource.Weight,
		})
	}
	part := withSelf.parts(capacity)[pos]
	if vis.Resource.Kind == KindSlots {
		// A VM of another region gives its only slot up while one of this region has none.
		return part
	}
	return max(part, min(vis.Resource.minUnits(), capacity))
}

// Equal reports whether two ledgers hold the same division.
func (led Ledger) Equal(oth Ledger) bool {
	return led.Capacity == oth.Capacity && led.CatalogueVersion == oth.CatalogueVersion &&
		slices.Equal(led.Entries, oth.Entries)
}
