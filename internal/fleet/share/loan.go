package share

import (
	"time"

	"cardamompass"
)

const (
	// loanMargin is added to the end of a loan on the lender's side, beside a hundredth of the loan's time, for the
	// difference in the rate of two clocks.
	loanMargin = 100 * time.Millisecond
	// clockPercent is the largest difference in the rate of two clocks, in percent.
	clockPercent = 1
)

// party is the other side of a loan.
type party struct {
	vm          cardamompass.VMID
	incarnation cardamompass.Incarnation
}

// lending is one grant as the lender keeps it.
type lending struct {
	sequence uint64
	units    int64
	// capacity is the cap that the units are parts of.
	capacity int64
	ends     time.Time
}

// lentBook is what a lender has lent of one resource. Earlier grants to a borrower stay until they end, since the
// borrower may not have received a later one.
type lentBook struct {
	grants map[party][]lending
}

func newLentBook() lentBook {
	return lentBook{
		grants: make(map[party][]lending),
	}
}

// to returns the units that pty may be using, deducted in full even if the cap was lowered since: the borrower may not have
// the lower cap yet.
func (lbk lentBook) to(pty party, now time.Time) (units int64) {
	for _, lnd := range lbk.grants[pty] {
		if now.Before(lnd.ends) {
			units = max(units, lnd.units)
		}
	}
	return units
}

// scaledTo returns the units that pty has as parts of capacity, which a renewed loan may keep.
func (lbk lentBook) scaledTo(pty party, capacity int64, now time.Time) (units int64) {
	for _, lnd := range lbk.grants[pty] {
		if now.Before(lnd.ends) {
			units = max(units, scale(lnd.units, capacity, lnd.capacity))
		}
	}
	return units
}

// total returns the units that all borrowers together may be using.
func (lbk lentBook) total(now time.Time) (units int64) {
	for pty := range lbk.grants {
		units += lbk.to(pty, now)
	}
	return units
}

// grant records that pty may use units until ends.
func (lbk lentBook) grant(pty party, lnd lending, now time.Time) {
	lbk.grants[pty] = append(lbk.live(pty, now), lnd)
}

// giveBack records that pty uses no grant with a smaller sequence any more.
func (lbk lentBook) giveBack(pty party, sequence uint64, now time.Time) {
	kept := lbk.live(pty, now)[:0]
	for _, lnd := range lbk.live(pty, now) {
		if lnd.sequence >= sequence {
			kept = append(kept, lnd)
		}
	}
	lbk.put(pty, kept)
}

func (lbk lentBook) live(pty party, now time.Time) (kept []lending) {
	for _, lnd := range lbk.grants[pty] {
		if now.Before(lnd.ends) {
			kept = append(kept, lnd)
		}
	}
	lbk.put(pty, kept)
	return kept
}

func (lbk lentBook) put(pty party, kept []lending) {
	if len(kept) == 0 {
		delete(lbk.grants, pty)
		return
	}
	lbk.grants[pty] = kept
}

// borrowing is one loan as the borrower keeps it.
type borrowing struct {
	sequence uint64
	units    int64
	// ends is counted from the moment at which the borrower sent its request.
	ends time.Time
	// capacity is the cap that the lender's units were parts of.
	capacity int64
}

// borrowedBook is what a borrower has borrowed of one resource.
type borrowedBook map[party]borrowing

// total returns the units that can be used now; they shrink with a capacity that was lowered after the loan.
func (bbk borrowedBook) total(capacity int64, now time.Time) (units int64) {
	for _, brw := range bbk {
		if now.Before(brw.ends) {
			units += scale(brw.units, capacity, brw.capacity)
		}
	}
	return units
}

// scale returns units of a capacity of basis as units of capacity, if that is smaller.
func scale(units, capacity, basis int64) int64 {
	if capacity <= 0 {
		return 0
	}
	if basis <= capacity {
		return units
	}
	return int64(float64(units) * float64(capacity) / float64(basis))
}

// lenderEnd returns the end of a loan on the lender's side when it answers at now.
func lenderEnd(now time.Time, ttl, linger time.Duration) time.Time {
	return now.Add(ttl + ttl*clockPercent/100 + loanMargin + linger)
}

// leaseEnd returns the last moment at which a lease whose renewal was sent at sent is certainly alive.
func leaseEnd(sent time.Time, ttl time.Duration) time.Time {
	const margin = 2 * time.Second
	return sent.Add(ttl - ttl*clockPercent/100 - margin)
}
