// Package share divides the caps of the catalogue among the entry VMs, so that what all of them use together can't exceed
// a cap under any partition, death, pause or late news.
//
// A resource is one cap: the bytes of a link, the requests of a shift, or the slots of a service in a region. One store
// key for each resource, the ledger, says which incarnation owns how many units. An incarnation uses units only while its
// store lease certainly lives, judged by its own clock. Units move between VMs as loans: the lender deducts them before
// it answers, and they end on the borrower's side before they end on the lender's.
//
// Decisions (Ledger.Plan, the loan books) are pure. Pool drives them: it visits the ledgers, borrows under demand and
// answers other VMs. All exported methods of Pool, Rate and Slots are safe for concurrent use.
package share

import (
	"time"

	"cardamompass"
)

// Kind tells how the units of a resource are used up.
type Kind int

const (
	// KindRate is for units a second: a use is over when it is made.
	KindRate Kind = iota
	// KindSlots is for units that are held while work runs.
	KindSlots
)

// minRateUnits is the smallest part of a rate that one VM owns or borrows. A bucket passes at least one unit at once, so
// owners of less than ten units could together pass the tenth of a cap that is kept for bursts.
const minRateUnits = 10

// Resource is one cap of the catalogue.
type Resource struct {
	// Name is the resource's name, see LinkName, ShiftName and SlotsName.
	Name string
	// Kind tells how units are used up.
	Kind Kind
	// Capacity is the cap, in units: bytes a second, requests a second, or slots.
	Capacity int64
	// MaxRunTime is the longest time for which work that was started on a slot can run. Zero for rates.
	MaxRunTime time.Duration
	// LongPercent is the part of a rate that work of the long class may use; 0 means all.
	LongPercent int
	// Weight is the relative size of this VM's part, at least 1. VMs that are likely to use a resource own more of it.
	Weight int64
}

// minUnits is the smallest part that one VM owns or borrows.
func (res Resource) minUnits() int64 {
	if res.Kind == KindSlots {
		return 1
	}
	return min(minRateUnits, max(1, res.Capacity))
}

// LinkName returns the name of the resource of a link; its unit is one byte a second.
func LinkName(from, to cardamompass.Region) string {
	return "link/" + string(from) + "/" + string(to)
}

// ShiftName returns the name of the resource of a shift; its unit is one request a second.
func ShiftName(service cardamompass.ServiceName, from, to cardamompass.Region) string {
	return "shift/" + string(service) + "/" + string(from) + "/" + string(to)
}

// SlotsName returns the name of the resource of a region's slots; its unit is one slot.
func SlotsName(service cardamompass.ServiceName, region cardamompass.Region) string {
	return "slots/" + string(service) + "/" + string(region)
}
