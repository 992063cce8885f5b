package place

import (
	"time"

	"cardamompass"
)

// FirstAttempt describes the attempt that a hedge runs beside.
type FirstAttempt struct {
	FailureDomain cardamompass.FailureDomain
	// Sent is when the attempt started.
	Sent time.Time
}

// maxDomainFailures is the failure rate of an instance from which its failure domain counts as failing. One failure of a single request
// is forgotten after 9 s.
const maxDomainFailures = 0.02

// forHedge returns the index of the lightly loaded instance with the smallest expected time in another failure domain than that of the
// first attempt. If there is none, it returns one of the same domain, provided that the domain works: most delays are those of one machine
// or of one piece of work, and another target of the domain has neither. It returns -1 if there is none.
//
// All ranked instances are considered, not only the preferred ones, since these may all be in the domain of the first attempt. The expected
// time contains the cost of each rank.
func (bal *Balancer) forHedge(qry Query, ranked []candidate, rej *Rejected) (best int) {
	hst := bal.history(qry.AffinityHash)
	best, same := -1, -1
	for num := range ranked {
		cnd := &ranked[num]
		if qry.Now.Before(cnd.sta.avoidUntil) {
			rej.Avoided++
			continue
		}
		bal.estimate(cnd, num, hst, qry.Now)
		chosen := &best
		if cnd.sta.ins.FailureDomain == qry.First.FailureDomain {
			chosen = &same
		}
		if cnd.full(lightLoad) {
			rej.Full++
		} else if *chosen < 0 || cnd.expected < ranked[*chosen].expected {
			*chosen = num
		}
	}
	if best >= 0 || same < 0 {
		return best
	}
	if !bal.domainWorks(qry) {
		rej.SameDomain++
		return -1
	}
	return same
}

// domainWorks reports whether the failure domain of the first attempt shows no failures: no instance of the service in it has failed or
// could not be reached recently, and one has reported its load since the first attempt started. Without such a report, the domain may be
// cut off, and the first attempt may be waiting for just that.
func (bal *Balancer) domainWorks(qry Query) (ok bool) {
	for _, sta := range bal.byService[qry.Service] {
		if sta.ins.FailureDomain != qry.First.FailureDomain {
			continue
		}
		if sta.failureRate(qry.Now) > maxDomainFailures || qry.Now.Before(sta.avoidUntil) {
			return false
		}
		ok = ok || sta.loadAt.After(qry.First.Sent)
	}
	return ok
}

// MeanLoad returns the mean load of the instances of a service that a route may use, relative to their slots; 0 if there are none.
func (bal *Balancer) MeanLoad(svc cardamompass.ServiceName, rte *cardamompass.Route, now time.Time) (load float64) {
	bal.mu.Lock()
	defer bal.mu.Unlock()
	slots := 0
	for _, sta := range bal.byService[svc] {
		if sta.ins.Leaving || sta.standing.isLeaving(now) || bal.vew.Evacuated(sta.ins.FailureDomain) || !rte.AllowsRegion(sta.ins.Region) {
			continue
		}
		slots += max(1, sta.ins.Slots)
		load += sta.estimatedLoad(now)
	}
	return load / float64(max(1, slots))
}
