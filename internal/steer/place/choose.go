package place

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap/zapcore"

	"cardamompass"
)

const (
	// preferredRanks is the number of top-ranked instances among which the fastest is chosen. A larger number spreads an object over
	// more instances, each of which has to handle it once before it is fast and keeps only some tens of objects.
	preferredRanks = 2
	// maxRanked is the number of top-ranked instances that a choice considers.
	maxRanked = 12
	// lightLoad is the load relative to the slots below which a fallback instance, or an instance for a hedge, may be used. Above it,
	// requests that are slow at the instance take slots from requests that are fast there.
	lightLoad = 0.34
	// busyLoad is the mean load of the fallback instances, relative to their slots, above which none of them is used. In a lasting
	// overload, an object that is new to one of them evicts an object that is warm there, and both become slow.
	busyLoad = 0.5
	// warmTime is the service time for an object that is warm at the instance, relative to one that is not.
	warmTime = 0.3
	// firstRankTime is the expected service time at the first rank for an object that this VM has not sent there recently. Other VMs
	// probably have, so the object may be warm.
	firstRankTime = 0.6
	// coldSlowness is the factor by which the service time is longer at a cold instance.
	coldSlowness = 2
	// waitTime is the mean time that one request ahead in the queue of one slot adds, relative to the service time without a warm
	// object.
	waitTime = 0.45
	// loadTime breaks ties in favour of the less loaded instance.
	loadTime = 0.1
	// rankTime is the cost of each rank. It keeps an object on its first target while that has free capacity: targets keep a bounded
	// number of objects, so each further target of an object evicts another object there.
	rankTime = 0.4
	// failureTime is the cost of a certain failure, in the same unit.
	failureTime = 3
)

// Query describes a request for which an instance is to be chosen.
type Query struct {
	Service cardamompass.ServiceName
	// AffinityHash is the result of the function AffinityHash.
	AffinityHash uint64
	// Route and Team give the regions that may serve the request. Team is nil for a request without a team.
	Route *cardamompass.Route
	Team  *cardamompass.Team
	// Tried are the instances to which the request has already been sent.
	Tried []cardamompass.InstanceID
	// MaxLoad is the load relative to the slots at which an instance counts as full for this request.
	MaxLoad float64
	// Hedge is set for a second attempt while the first is in flight. Only a lightly loaded preferred instance is chosen for it.
	Hedge bool
	// First describes the first attempt of a hedge, if the hedge is to avoid a fault that delays the first attempt. Any lightly loaded
	// instance may then be chosen, preferably one of another failure domain.
	First *FirstAttempt
	Now   time.Time
}

// Choice is an instance and the figures on which the choice is based.
type Choice struct {
	Instance cardamompass.Instance
	// Rank is the position of the instance in the object's order, starting at 0.
	Rank int
	// Expected is the expected time relative to the usual service time without a warm object.
	Expected float64
	// Load is the estimated number of requests at the instance.
	Load float64
	// LoadAge is the age of the last load report; negative if there was none.
	LoadAge time.Duration
	// Warm is set when a recent request of this VM on the object was answered by the instance.
	Warm bool
	// Cold is set when the instance is cold.
	Cold bool
	// Rejected counts the instances that were rejected.
	Rejected Rejected
	// Wait is set when no instance can be used and all that could are backing off: it is the time until the first of them wants
	// requests again.
	Wait time.Duration
}

// Rejected counts by reason the instances that a request can't use.
type Rejected struct {
	Leaving, Evacuated, Away, Tried, Avoided, Cold, Full int
	// Backoff counts the instances that want no requests for a time.
	Backoff int
	// Busy counts the fallback instances that were rejected because their mean load is too high.
	Busy int
	// SameDomain counts the instances in the failure domain of the first attempt that were rejected for a hedge.
	SameDomain int
}

// MarshalLogObject implements zapcore.ObjectMarshaler. It omits reasons with a count of zero.
func (rej Rejected) MarshalLogObject(enc zapcore.ObjectEncoder) (err error) {
	for _, cnt := range []struct {
		reason string
		count  int
	}{
		{"leaving", rej.Leaving},
		{"evacuated", rej.Evacuated},
		{"away", rej.Away},
		{"tried", rej.Tried},
		{"avoided", rej.Avoided},
		{"backoff", rej.Backoff},
		{"cold-full", rej.Cold},
		{"full", rej.Full},
		{"busy", rej.Busy},
		{"same-domain", rej.SameDomain},
	} {
		if cnt.count > 0 {
			enc.AddInt(cnt.reason, cnt.count)
		}
	}
	return nil
}

// AffinityHash hashes the affinity key of a request, which names the object that the request is about. The same key of two services
// names different objects.
func AffinityHash(svc cardamompass.ServiceName, object string) (hash uint64) {
	return xxhash.Sum64String(string(svc) + "\x00" + object)
}

// Choose returns the instance for a request. ok is false when no instance can be used; Rejected of the choice then holds the reasons.
func (bal *Balancer) Choose(qry Query) (chc Choice, ok bool) {
	bal.mu.Lock()
	defer bal.mu.Unlock()
	ranked, rej := bal.rank(qry)
	chc.Rejected = rej
	if len(ranked) == 0 {
		chc.Wait = bal.backoffWait(qry)
		return chc, false
	}
	var best int
	if qry.Hedge && qry.First != nil {
		best = bal.forHedge(qry, ranked, &chc.Rejected)
	} else {
		best = bal.fastest(qry, ranked, &chc.Rejected)
	}
	if best < 0 {
		return chc, false
	}
	won := ranked[best]
	chc = Choice{
		Instance: won.sta.ins,
		Rank:     best,
		Expected: won.expected,
		Load:     won.load,
		LoadAge:  -1,
		Warm:     won.warm,
		Cold:     qry.Now.Before(won.sta.coldUntil),
		Rejected: chc.Rejected,
	}
	if !won.sta.loadAt.IsZero() {
		chc.LoadAge = qry.Now.Sub(won.sta.loadAt)
	}
	return chc, true
}

// backoffWait returns the time until the first instance that only backs off can be used; 0 if there is none, or if another instance
// may become usable earlier.
func (bal *Balancer) backoffWait(qry Query) (wait time.Duration) {
	for _, sta := range bal.byService[qry.Service] {
		var rej Rejected
		if bal.usable(qry, sta, &rej); rej.Backoff == 0 {
			if rej.Cold > 0 {
				return 0 // the quota of a cold instance is renewed within a second
			}
			continue
		}
		if left := sta.standing.backoffUntil.Sub(qry.Now); wait == 0 || left < wait {
			wait = left
		}
	}
	return wait
}

// fastest returns the index of the preferred instance with the smallest expected time among those that are not full, or else that of
// the first lightly loaded fallback instance. It returns -1 if there is none.
func (bal *Balancer) fastest(qry Query, ranked []candidate, rej *Rejected) (best int) {
	hst := bal.history(qry.AffinityHash)
	limit := qry.MaxLoad
	if qry.Hedge {
		limit = lightLoad
	}
	best = -1
	for num := range ranked[:min(len(ranked), preferredRanks)] {
		cnd := &ranked[num]
		bal.estimate(cnd, num, hst, qry.Now)
		if cnd.full(limit) {
			rej.Full++
		} else if best < 0 || cnd.expected < ranked[best].expected {
			best = num
		}
	}
	// A hedge on a fallback instance would rarely answer in time and would take slots from fast requests.
	if best >= 0 || qry.Hedge || len(ranked) <= preferredRanks {
		return best
	}
	return bal.fallback(qry, ranked, hst, rej)
}

// fallback returns the index of the first lightly loaded instance after the preferred ranks. It returns -1 if there is none or if the
// mean load of these instances is above busyLoad.
func (bal *Balancer) fallback(qry Query, ranked []candidate, hst *history, rej *Rejected) (first int) {
	others := ranked[preferredRanks:]
	load := 0.0
	for num := range others {
		bal.estimate(&others[num], preferredRanks+num, hst, qry.Now)
		load += others[num].load / others[num].slots()
	}
	if load > busyLoad*float64(len(others)) {
		rej.Busy += len(others)
		return -1
	}
	for num := range others {
		if !others[num].full(lightLoad) {
			return preferredRanks + num
		}
		rej.Full++
	}
	return -1
}

// candidate is an instance with its position in the order of an object and its estimates.
type candidate struct {
	sta        *state
	regionRank int // 0 for the region that serves the object, 1 for the own region, 2 for others
	hash       uint64
	load       float64
	expected   float64
	warm       bool
}

// slots returns the number of the instance's slots, at least 1.
func (cnd *candidate) slots() (count float64) { return float64(max(1, cnd.sta.ins.Slots)) }

// full reports whether the load has reached limit times the slots.
func (cnd *candidate) full(limit float64) (ok bool) { return cnd.load >= limit*cnd.slots() }

// rank returns the first maxRanked usable instances in the order of the object. Avoided instances are returned only when there are no
// others.
func (bal *Balancer) rank(qry Query) (ranked []candidate, rej Rejected) {
	div := bal.split(qry.Service, qry.Now)
	region := servingRegion(div, bal.cfg.Region, float64(qry.AffinityHash>>11)/(1<<53))
	var avoided []candidate
	ranked = make([]candidate, 0, maxRanked+1)
	for _, sta := range bal.byService[qry.Service] {
		if !bal.usable(qry, sta, &rej) {
			continue
		}
		cnd := candidate{
			sta:        sta,
			regionRank: regionRank(sta.ins.Region, region, bal.cfg.Region),
			hash:       mix(qry.AffinityHash, sta.hash),
		}
		if qry.Now.Before(sta.avoidUntil) {
			rej.Avoided++
			avoided = insert(avoided, cnd)
			continue
		}
		ranked = insert(ranked, cnd)
	}
	if len(ranked) == 0 {
		ranked = avoided
	}
	return ranked, rej
}

// insert inserts a candidate in order and keeps the first maxRanked.
func insert(ranked []candidate, cnd candidate) (out []candidate) {
	pos := len(ranked)
	for pos > 0 && cnd.before(ranked[pos-1]) {
		pos--
	}
	if pos == maxRanked {
		return ranked
	}
	ranked = slices.Insert(ranked, pos, cnd)
	return ranked[:min(len(ranked), maxRanked)]
}

// before reports whether the candidate precedes oth in the order of the object.
func (cnd candidate) before(oth candidate) (ok bool) {
	if cnd.regionRank != oth.regionRank {
		return cnd.regionRank < oth.regionRank
	}
	return cnd.hash > oth.hash
}

func (bal *Balancer) usable(qry Query, sta *state, rej *Rejected) (ok bool) {
	ins := &sta.ins
	switch {
	case ins.Leaving || sta.standing.isLeaving(qry.Now):
		rej.Leaving++
	case bal.vew.Evacuated(ins.FailureDomain):
		rej.Evacuated++
	case !qry.Route.AllowsRegion(ins.Region) || !qry.Team.AllowsRegion(ins.Region):
		rej.Away++
	case slices.Contains(qry.Tried, ins.ID):
		rej.Tried++
	case qry.Now.Before(sta.coldUntil) && !sta.withinColdQuota(bal.coldQuota(ins, qry.Now), qry.Now):
		rej.Cold++
	case qry.Now.Before(sta.standing.backoffUntil):
		rej.Backoff++
	default:
		return true
	}
	return false
}

// coldQuota returns the number of requests per second that this VM may send to a cold instance. The quotas of all VMs add up to the bound
// less one, which allows for requests that are sent while the number of VMs changes.
func (bal *Balancer) coldQuota(ins *cardamompass.Instance, now time.Time) (quota int) {
	total := int(math.Floor(bal.policy(ins.Service).ColdRate*bal.cfg.Bounds.ColdOverage+bal.cfg.Bounds.ColdSlack)) - 1
	count := bal.vms.count(now)
	if now.Sub(bal.started) < discoveryTime && count < len(bal.cfg.Regions) {
		return 0
	}
	quota = total / count
	if total%count == 0 {
		return quota
	}
	seed := xxhash.Sum64String(string(ins.ID))
	own := mix(seed, nameHash(string(bal.cfg.Self)))
	before := 0
	for _, vmc := range bal.vew.VMs() {
		if vmc.ID != bal.cfg.Self && mix(seed, nameHash(string(vmc.ID))) < own {
			before++
		}
	}
	if before < total%count {
		quota++
	}
	return quota
}

// estimate sets the load, the warmth and the expected time of a candidate.
func (bal *Balancer) estimate(cnd *candidate, rank int, hst *history, now time.Time) {
	sta := cnd.sta
	slots := cnd.slots()
	cnd.load = sta.estimatedLoad(now)
	cnd.warm = hst.warm(sta.key(), now)
	work := 1.0
	switch {
	case cnd.warm:
		work = warmTime
	case rank == 0:
		work = firstRankTime
	}
	if now.Before(sta.coldUntil) {
		work *= coldSlowness
	}
	cnd.expected = work*sta.slowness(now) +
		waitTime*max(0, cnd.load+1-slots)/slots +
		loadTime*cnd.load/slots +
		rankTime*float64(rank) +
		failureTime*sta.failureRate(now)
}

func regionRank(reg, serving, own cardamompass.Region) (order int) {
	switch reg {
	case serving:
		return 0
	case own:
		return 1
	default:
		return 2
	}
}

// mix combines two hashes with the finalizer of a 64-bit mixing function. The result is spread evenly enough for rendezvous hashing.
func mix(one, two uint64) (hash uint64) {
	hash = one ^ (two * 0x9e3779b97f4a7c15)
	hash = (hash ^ (hash >> 30)) * 0xbf58476d1ce4e5b9
	hash = (hash ^ (hash >> 27)) * 0x94d049bb133111eb
	return hash ^ (hash >> 31)
}

func nameHash(name string) (hash uint64) { return xxhash.Sum64String(name) }
