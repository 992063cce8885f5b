// Package share divides the caps of the catalogue among the entry VMs, so that their combined use can't exceed a cap under
// any partition, crash, pause or delayed message.
//
// A resource is one cap: the bytes of a link, the requests of a shift, or the slots of a service in a region. Each resource
// has a ledger, one key in the store that records how many units each incarnation owns. An incarnation uses its units only
// while its store lease is certainly alive by its own clock. Units move between VMs as loans: the lender deducts them
// before it answers, and a loan ends on the borrower's side before it ends on the lender's.
//
// Ledger.Plan, the grants and the loans do no I/O. Pool drives them: it rebalances the ledgers, borrows under demand and
// answers other VMs. All exported methods of Pool, Rate and Slots are safe for concurrent use.
package share

import (
	"time"

	"cardamompass"
)

// Kind is the way in which the units of a resource are consumed.
type Kind int

const (
	// KindRate is for units per second; a use consumes units once.
	KindRate Kind = iota
	// KindSlots is for units that are occupied while work runs.
	KindSlots
)

// minRateUnits is the smallest number of units of a rate that one VM owns or borrows. A bucket passes at least one unit at
// once, so owners of fewer than ten units could together exceed the tenth of a cap that is left for bursts.
const minRateUnits = 10

// Resource is one cap of the catalogue.
type Resource struct {
	// Name identifies the resource, see LinkName, ShiftName and SlotsName.
	Name string
	// Kind is the way in which units are consumed.
	Kind Kind
	// Capacity is the cap in units: bytes per second, requests per second, or slots.
	Capacity int64
	// MaxRunTime is the longest time for which work on a slot can run; 0 for rates.
	MaxRunTime time.Duration
	// LongPercent is the percentage of a rate that the long class may use; 0 means all.
	LongPercent int
	// Weight is the relative size of this VM's share, at least 1. VMs that are likely to use a resource own more of it.
	Weight int64
}

// minUnits returns the smallest number of units that one VM owns or borrows.
func (res Resource) minUnits() int64 {
	if res.Kind == KindSlots {
		return 1
	}
	return min(minRateUnits, max(1, res.Capacity))
}

// LinkName returns the name of the resource of a link; its unit is one byte per second.
func LinkName(from, to cardamompass.Region) string {
	return "link/" + string(from) + "/" + string(to)
}

// ShiftName returns the name of the resource of a shift; its unit is one request per second.
func ShiftName(service cardamompass.ServiceName, from, to cardamompass.Region) string {
	return "shift/" + string(service) + "/" + string(from) + "/" + string(to)
}

// SlotsName returns the name of the resource of a region's slots; its unit is one slot.
func SlotsName(service cardamompass.ServiceName, region cardamompass.Region) string {
	return "slots/" + string(service) + "/" + string(region)
}
