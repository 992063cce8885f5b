package share

import (
	"time"

	"cardamompass"
)

const (
	// loanMargin is added to the end of a loan on the lender's side, in addition to clockDriftPercent of the loan's time, since
	// the two clocks may run at different rates.
	loanMargin = 100 * time.Millisecond
	// clockDriftPercent is the largest difference in the rate of two clocks, in percent.
	clockDriftPercent = 1
)

// vmIncarnation identifies one run of another VM's process.
type vmIncarnation struct {
	vm          cardamompass.VMID
	incarnation cardamompass.Incarnation
}

// grant is a loan as the lender records it.
type grant struct {
	sequence uint64
	units    int64
	// capacity is the lender's capacity of the resource at the time of the grant.
	capacity int64
	ends     time.Time
}

// grants are the loans that a lender has given from one resource. Earlier grants to a borrower stay until they end, since
// the borrower may not have received a later one.
type grants struct {
	byBorrower map[vmIncarnation][]grant
}

func newGrants() grants {
	return grants{
		byBorrower: make(map[vmIncarnation][]grant),
	}
}

// lentTo returns the units that vmi may be using. They are deducted in full even if the cap was lowered in the meantime: the
// borrower may not have the lower cap yet.
func (grs grants) lentTo(vmi vmIncarnation, now time.Time) (units int64) {
	for _, grt := range grs.byBorrower[vmi] {
		if now.Before(grt.ends) {
			units = max(units, grt.units)
		}
	}
	return units
}

// scaledTo returns the units that vmi has, scaled down to capacity, which a renewed loan may keep.
func (grs grants) scaledTo(vmi vmIncarnation, capacity int64, now time.Time) (units int64) {
	for _, grt := range grs.byBorrower[vmi] {
		if now.Before(grt.ends) {
			units = max(units, scale(grt.units, capacity, grt.capacity))
		}
	}
	return units
}

// total returns the units that all borrowers together may be using.
func (grs grants) total(now time.Time) (units int64) {
	for vmi := range grs.byBorrower {
		units += grs.lentTo(vmi, now)
	}
	return units
}

// add records a grant to vmi.
func (grs grants) add(vmi vmIncarnation, grt grant, now time.Time) {
	grs.byBorrower[vmi] = append(grs.active(vmi, now), grt)
}

// release removes the grants to vmi with a smaller sequence.
func (grs grants) release(vmi vmIncarnation, sequence uint64, now time.Time) {
	kept := grs.active(vmi, now)[:0]
	for _, grt := range grs.active(vmi, now) {
		if grt.sequence >= sequence {
			kept = append(kept, grt)
		}
	}
	grs.set(vmi, kept)
}

func (grs grants) active(vmi vmIncarnation, now time.Time) (kept []grant) {
	for _, grt := range grs.byBorrower[vmi] {
		if now.Before(grt.ends) {
			kept = append(kept, grt)
		}
	}
	grs.set(vmi, kept)
	return kept
}

func (grs grants) set(vmi vmIncarnation, kept []grant) {
	if len(kept) == 0 {
		delete(grs.byBorrower, vmi)
		return
	}
	grs.byBorrower[vmi] = kept
}

// loan is a loan as the borrower records it.
type loan struct {
	sequence uint64
	units    int64
	// ends is counted from the time at which the borrower sent its request.
	ends time.Time
	// capacity is the lender's capacity of the resource when it answered.
	capacity int64
}

// loans are the loans that a borrower has received for one resource, by lender.
type loans map[vmIncarnation]loan

// total returns the units that can be used now. They are scaled down if the capacity was lowered after the loan.
func (lns loans) total(capacity int64, now time.Time) (units int64) {
	for _, lon := range lns {
		if now.Before(lon.ends) {
			units += scale(lon.units, capacity, lon.capacity)
		}
	}
	return units
}

// scale scales units of fromCapacity down to capacity. It never scales up.
func scale(units, capacity, fromCapacity int64) int64 {
	if capacity <= 0 {
		return 0
	}
	if fromCapacity <= capacity {
		return units
	}
	return int64(float64(units) * float64(capacity) / float64(fromCapacity))
}

// lenderLoanEnd returns the end, on the lender's side, of a loan that is granted at now.
func lenderLoanEnd(now time.Time, ttl, maxRunTime time.Duration) time.Time {
	return now.Add(ttl + ttl*clockDriftPercent/100 + loanMargin + maxRunTime)
}

// leaseEnd returns the last time at which a lease is certainly alive whose renewal was sent at sent.
func leaseEnd(sent time.Time, ttl time.Duration) time.Time {
	const margin = 2 * time.Second
	return sent.Add(ttl - ttl*clockDriftPercent/100 - margin)
}
