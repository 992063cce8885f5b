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
	// Boot identifies the boot of the VM's operating system. Under the same boot, a process that has bound the peer
	// address of its predecessor proves that the predecessor has ended.
	Boot string `json:"boot,omitempty"`
	// Lease is the store lease that the ownership is bound to.
	Lease cardamompass.LeaseID `json:"lease"`
}

func (own Owner) sameIncarnation(oth Owner) bool {
	return own.VM == oth.VM && own.Incarnation == oth.Incarnation
}

// isSuccessorOf reports whether own is a later process than oth on the same VM and boot, so that oth has certainly ended.
func (own Owner) isSuccessorOf(oth Owner) bool {
	return own.VM == oth.VM && own.Boot != "" && own.Boot == oth.Boot && own.Incarnation > oth.Incarnation
}

// Entry is the ownership of units by one incarnation.
type Entry struct {
	Owner
	Units int64 `json:"units"`
	// Weight is the relative size of the owner's share, at least 1.
	Weight int64 `json:"weight"`
}

// Ledger records which owners hold the units of one resource. It is immutable. The sum of the units never exceeds the
// capacity.
type Ledger struct {
	// Capacity is the total number of units that are divided.
	Capacity int64 `json:"capacity"`
	// CatalogueVersion is the version of the catalogue from which Capacity was taken.
	CatalogueVersion int64 `json:"catalogue-version"`
	// Entries are sorted by VM and incarnation.
	Entries []Entry `json:"entries"`
}

// ParseLedger decodes the stored form of a ledger. Empty data is an empty ledger.
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

// Sum returns the total number of units owned.
func (led Ledger) Sum() (sum int64) {
	for _, ent := range led.Entries {
		sum += ent.Units
	}
	return sum
}

// Units returns the number of units that own holds.
func (led Ledger) Units(own Owner) int64 {
	for _, ent := range led.Entries {
		if ent.sameIncarnation(own) {
			return ent.Units
		}
	}
	return 0
}

// WithEntry returns a copy in which ent replaces the entry of the same owner.
func (led Ledger) WithEntry(ent Entry) Ledger {
	led = led.without(func(old Entry) bool { return old.sameIncarnation(ent.Owner) })
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

// WithoutOwner returns a copy without the entry of own.
func (led Ledger) WithoutOwner(own Owner) Ledger {
	return led.without(func(ent Entry) bool { return ent.sameIncarnation(own) })
}

func (led Ledger) without(drop func(Entry) bool) Ledger {
	led.Entries = slices.DeleteFunc(slices.Clone(led.Entries), drop)
	return led
}

// PlanInput is the input with which an incarnation plans its next entry in a ledger.
type PlanInput struct {
	Owner    Owner
	Resource Resource
	// CatalogueVersion is the version of the catalogue that Resource was taken from.
	CatalogueVersion int64
	// ConfirmedUnits is the number of units that the owner may count on. It is below the ledger's figure after a write
	// whose reply was lost, and after the store was restored to an older state. The smaller figure counts.
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

// Plan returns the next ledger as one owner computes it: without the entries of expired owners, with the capacity of the
// resource if the owner's catalogue is at least as new as the ledger's, and with the owner's units moved towards its share.
// Only the planning owner's units and those of expired owners change.
func (led Ledger) Plan(inp PlanInput) (next Ledger) {
	next = led.without(func(ent Entry) bool {
		return !ent.sameIncarnation(inp.Owner) && (inp.PredecessorLoansEnded && inp.Owner.isSuccessorOf(ent.Owner) || inp.Expired(ent))
	})
	wanted := next.Capacity
	if inp.CatalogueVersion >= next.CatalogueVersion {
		wanted = inp.Resource.Capacity
	}
	capacity := wanted
	if capacity < next.Capacity && !next.fits(inp, capacity) {
		// The capacity in the ledger stays, and all owners scale their units down. An owner that also lowered its entry
		// would be reduced twice.
		capacity = next.Capacity
	}
	current := min(next.Units(inp.Owner), inp.ConfirmedUnits)
	others := next.WithoutOwner(inp.Owner).Sum()
	share := shareOf(next, inp, capacity)
	units := current
	switch {
	case current > share && (others+current > capacity || next.anyUnderallocated(inp.Owner, capacity)):
		units = max(share, min(inp.Floor, current))
	case current < share:
		units += min(share-current, max(0, capacity-others-current))
	}
	if units < inp.Resource.minUnits() && units != current {
		units = min(current, inp.Floor)
	}
	next = next.WithEntry(Entry{
		Owner:  inp.Owner,
		Units:  units,
		Weight: inp.Resource.Weight,
	})
	// A lower capacity is written only when the sum of the units fits into it; until then owners scale their units down.
	if next.Sum() <= wanted && inp.CatalogueVersion >= led.CatalogueVersion {
		next.Capacity = wanted
		next.CatalogueVersion = inp.CatalogueVersion
	}
	return next
}

// fits reports whether the units fit into a lower capacity once all available owners have lowered their entries to their
// shares.
func (led Ledger) fits(inp PlanInput, capacity int64) bool {
	if inp.Unavailable == nil {
		return true
	}
	shares := led.shares(capacity)
	sum := int64(0)
	for num, ent := range led.Entries {
		if !inp.Unavailable(ent) {
			ent.Units = min(ent.Units, shares[num])
		}
		sum += ent.Units
	}
	return sum <= capacity
}

// shares returns the share of the capacity of each entry in proportion to its weight. The remainder of the division goes to
// the first entries.
func (led Ledger) shares(capacity int64) (shares []int64) {
	var weights int64
	for _, ent := range led.Entries {
		weights += max(1, ent.Weight)
	}
	left := capacity
	for _, ent := range led.Entries {
		share := capacity * max(1, ent.Weight) / weights
		shares = append(shares, share)
		left -= share
	}
	for num := range shares {
		if int64(num) < left {
			shares[num]++
		}
	}
	return shares
}

// anyUnderallocated reports whether an owner other than own has less than half of its share. Owners lower their entries
// only then, so that small changes in the number of owners cause no writes.
func (led Ledger) anyUnderallocated(own Owner, capacity int64) bool {
	shares := led.shares(capacity)
	for num, ent := range led.Entries {
		if !ent.sameIncarnation(own) && 2*ent.Units < shares[num] {
			return true
		}
	}
	return false
}

// uneven reports whether an owner has less than half of its share, while the average share is at least the smallest number
// of units that can be owned.
func (led Ledger) uneven(minUnits int64) bool {
	return led.Capacity/max(1, int64(len(led.Entries))) >= minUnits && led.anyUnderallocated(Owner{}, led.Capacity)
}

// underallocated reports whether own has less than half of its share.
func (led Ledger) underallocated(own Owner) bool {
	shares := led.shares(led.Capacity)
	pos := slices.IndexFunc(led.Entries, func(ent Entry) bool { return ent.sameIncarnation(own) })
	return pos >= 0 && 2*led.Entries[pos].Units < shares[pos]
}

// shareOf returns the planning owner's share of the capacity among the owners in the ledger and the members without an
// entry, which count with the planning owner's weight.
func shareOf(led Ledger, inp PlanInput, capacity int64) int64 {
	withSelf := led.WithEntry(Entry{
		Owner:  inp.Owner,
		Weight: inp.Resource.Weight,
	})
	pos := slices.IndexFunc(withSelf.Entries, func(ent Entry) bool { return ent.sameIncarnation(inp.Owner) })
	for num := range inp.MembersWithoutEntry {
		withSelf.Entries = append(withSelf.Entries, Entry{
			Owner: Owner{
				Incarnation: cardamompass.Incarnation(num),
			},
			Weight: inp.Resource.Weight,
		})
	}
	share := withSelf.shares(capacity)[pos]
	if inp.Resource.Kind == KindSlots {
		// No minimum applies, so that a VM of another region gives up its only slot while a VM of this region has none.
		return share
	}
	return max(share, min(inp.Resource.minUnits(), capacity))
}

// Equal reports whether two ledgers have the same capacity, catalogue version and entries.
func (led Ledger) Equal(oth Ledger) bool {
	return led.Capacity == oth.Capacity && led.CatalogueVersion == oth.CatalogueVersion &&
		slices.Equal(led.Entries, oth.Entries)
}
