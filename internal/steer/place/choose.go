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
	// closeRanks is the number of ranked instances among which the fastest is taken. More of them spread an object over more
	// instances, each of which has to handle it once before it is fast and keeps only some tens of objects.
	closeRanks = 2
	// ranksKept is the number of ranked instances that a choice considers at all.
	ranksKept = 12
	// spareLoad is the load relative to the slots below which an instance beyond the close ranks, or a second one for the same
	// request, may be used. Above it, work that is slow there takes the room of work that is fast.
	spareLoad = 0.34
	// busyLoad is the mean load of the instances beyond the close ranks, relative to their slots, above which none of them is used. In a
	// lasting overload an object that comes to one of them pushes out one that is known there, and both become slow.
	busyLoad = 0.5
	// warmTime is the time of work on an object that the instance has handled before, relative to other work.
	warmTime = 0.3
	// unknownFirst is the expected time at the first rank for an object that this VM has not sent before; other VMs probably have.
	unknownFirst = 0.6
	// coldSlowness is how much longer work takes at a cold instance.
	coldSlowness = 2
	// waitTime is the mean time of one request ahead in a queue for one slot, relative to work without a warm object.
	waitTime = 0.45
	// spreadTime makes an emptier instance win between equals.
	spreadTime = 0.1
	// rankTime keeps an object on its first target while that has room. Targets keep a bounded number of objects, and every further target
	// of an object takes the place of another one.
	rankTime = 0.4
	// failureTime is the cost of a failure that is certain, in the same unit.
	failureTime = 3
)

// Query asks for an instance.
type Query struct {
	Service cardamompass.ServiceName
	// AffinityHash is the hash of the object; see ObjectHash.
	AffinityHash uint64
	// Route gives the home regions.
	Route *cardamompass.Route
	// Tried are the instances to which the request was sent already.
	Tried []cardamompass.InstanceID
	// MaxLoad is the load relative to the slots at which an instance is full for this request.
	MaxLoad float64
	// Hedge asks for an instance with room to spare, for a second copy of a request that is under way.
	Hedge bool
	Now   time.Time
}

// Choice is an instance and why it was taken.
type Choice struct {
	Instance cardamompass.Instance
	// Rank is its place in the object's order, 0 the first.
	Rank int
	// Expected is its expected time relative to usual work without a warm object.
	Expected float64
	// Load is the number of requests estimated to be there.
	Load float64
	// LoadAge is the age of the last stated load; negative if there was none.
	LoadAge time.Duration
	// Warm is set when this VM knows that the instance has handled the object.
	Warm bool
	// Cold is set when the instance is cold.
	Cold bool
	// Rejected counts the instances left out.
	Rejected Rejected
}

// Rejected counts instances that a request can't use, by reason.
type Rejected struct {
	Leaving, Evacuated, Away, Tried, Avoided, Cold, Full int
	// Busy counts those beyond the close ranks that are left to the objects that they know.
	Busy int
}

// MarshalLogObject implements zapcore.ObjectMarshaler. Reasons without instances are left out.
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
		{"cold-full", rej.Cold},
		{"full", rej.Full},
		{"busy", rej.Busy},
	} {
		if cnt.count > 0 {
			enc.AddInt(cnt.reason, cnt.count)
		}
	}
	return nil
}

// AffinityHash hashes an object of a service. Objects of one name are different in each service.
func AffinityHash(svc cardamompass.ServiceName, object string) (hash uint64) {
	return xxhash.Sum64String(string(svc) + "\x00" + object)
}

// Choose returns the instance for a request. ok is false when no instance can be used; the choice then holds the reasons.
func (brd *Balancer) Choose(qry Query) (chc Choice, ok bool) {
	brd.mu.Lock()
	defer brd.mu.Unlock()
	ranked, rej := brd.rank(qry)
	chc.Rejected = rej
	if len(ranked) == 0 {
		return chc, false
	}
	best := brd.fastest(qry, ranked, &chc.Rejected)
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

// fastest returns the index of the instance with the smallest expected time among the close ranks that have room, or else that of the
// first instance with room to spare; -1 if there is none.
func (brd *Balancer) fastest(qry Query, ranked []candidate, rej *Rejected) (best int) {
	trl := brd.trail(qry.AffinityHash)
	limit := qry.MaxLoad
	if qry.Hedge {
		limit = spareLoad
	}
	best = -1
	for num := range ranked[:min(len(ranked), closeRanks)] {
		cnd := &ranked[num]
		brd.expect(cnd, num, trl, qry.Now)
		if cnd.full(limit) {
			rej.Full++
		} else if best < 0 || cnd.expected < ranked[best].expected {
			best = num
		}
	}
	// A second copy beyond the close ranks would hardly be in time and take the room of fast work.
	if best >= 0 || qry.Hedge || len(ranked) <= closeRanks {
		return best
	}
	return brd.beyond(qry, ranked, trl, rej)
}

// beyond returns the index of the first instance beyond the close ranks with room to spare, -1 if there is none or if these instances
// are busy together.
func (brd *Balancer) beyond(qry Query, ranked []candidate, trl *trail, rej *Rejected) (first int) {
	others := ranked[closeRanks:]
	load := 0.0
	for num := range others {
		brd.expect(&others[num], closeRanks+num, trl, qry.Now)
		load += others[num].load / others[num].slots()
	}
	if load > busyLoad*float64(len(others)) {
		rej.Busy += len(others)
		return -1
	}
	for num := range others {
		if !others[num].full(spareLoad) {
			return closeRanks + num
		}
		rej.Full++
	}
	return -1
}

// candidate is an instance in the order of an object.
type candidate struct {
	sta      *state
	order    int // 0 for the region of the object, 1 for the own region, 2 for others
	hash     uint64
	load     float64
	expected float64
	warm     bool
}

// slots is the number of the instance's slots, at least 1.
func (cnd *candidate) slots() (count float64) { return float64(max(1, cnd.sta.ins.Slots)) }

// full reports whether the load has reached a limit relative to the slots.
func (cnd *candidate) full(limit float64) (ok bool) { return cnd.load >= limit*cnd.slots() }

// rank returns the first usable instances in the order of the object. Instances to avoid are used only when there are no others.
func (brd *Balancer) rank(qry Query) (ranked []candidate, rej Rejected) {
	div := brd.division(qry.Service, qry.Now)
	region := regionOf(div, brd.cfg.Region, float64(qry.AffinityHash>>11)/(1<<53))
	var avoided []candidate
	ranked = make([]candidate, 0, ranksKept+1)
	for _, sta := range brd.byService[qry.Service] {
		if !brd.usable(qry, sta, &rej) {
			continue
		}
		cnd := candidate{
			sta:   sta,
			order: regionOrder(sta.ins.Region, region, brd.cfg.Region),
			hash:  mix(qry.AffinityHash, sta.hash),
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

// insert puts a candidate into its place and keeps the first ranksKept.
func insert(ranked []candidate, cnd candidate) (out []candidate) {
	pos := len(ranked)
	for pos > 0 && cnd.before(ranked[pos-1]) {
		pos--
	}
	if pos == ranksKept {
		return ranked
	}
	ranked = slices.Insert(ranked, pos, cnd)
	return ranked[:min(len(ranked), ranksKept)]
}

// before reports whether the candidate comes before another in the order of the object.
func (cnd candidate) before(oth candidate) (ok bool) {
	if cnd.order != oth.order {
		return cnd.order < oth.order
	}
	return cnd.hash > oth.hash
}

func (brd *Balancer) usable(qry Query, sta *state, rej *Rejected) (ok bool) {
	ins := &sta.ins
	switch {
	case ins.Leaving:
		rej.Leaving++
	case brd.vew.Evacuated(ins.FailureDomain):
		rej.Evacuated++
	case !qry.Route.AllowsRegion(ins.Region):
		rej.Away++
	case slices.Contains(qry.Tried, ins.ID):
		rej.Tried++
	case qry.Now.Before(sta.coldUntil) && !sta.coldRoom(brd.coldQuota(ins, qry.Now), qry.Now):
		rej.Cold++
	default:
		return true
	}
	return false
}

// coldQuota is the number of requests a second that this VM may send to a cold instance. The quotas of all VMs add up to the bound,
// less one for the requests that cross a change of the number of VMs.
func (brd *Balancer) coldQuota(ins *cardamompass.Instance, now time.Time) (quota int) {
	total := int(math.Floor(brd.policy(ins.Service).ColdRate*brd.cfg.ColdOverage+brd.cfg.ColdSlack)) - 1
	count := brd.vms.count(now)
	if now.Sub(brd.started) < acquaintance && count < len(brd.cfg.Regions) {
		return 0
	}
	quota = total / count
	if total%count == 0 {
		return quota
	}
	seed := xxhash.Sum64String(string(ins.ID))
	own := mix(seed, nameHash(string(brd.cfg.Self)))
	before := 0
	for _, vmc := range brd.vew.VMs() {
		if vmc.ID != brd.cfg.Self && mix(seed, nameHash(string(vmc.ID))) < own {
			before++
		}
	}
	if before < total%count {
		quota++
	}
	return quota
}

// expect estimates the time that the request takes at a candidate.
func (brd *Balancer) expect(cnd *candidate, rank int, trl *trail, now time.Time) {
	sta := cnd.sta
	slots := cnd.slots()
	cnd.load = sta.estimate(now)
	cnd.warm = trl.warm(sta.ins.ID, now)
	work := 1.0
	switch {
	case cnd.warm:
		work = warmTime
	case rank == 0:
		work = unknownFirst
	}
	if now.Before(sta.coldUntil) {
		work *= coldSlowness
	}
	cnd.expected = work*sta.slowness(now) +
		waitTime*max(0, cnd.load+1-slots)/slots +
		spreadTime*cnd.load/slots +
		rankTime*float64(rank) +
		failureTime*sta.failureRate(now)
}

func regionOrder(reg, wanted, own cardamompass.Region) (order int) {
	switch reg {
	case wanted:
		return 0
	case own:
		return 1
	default:
		return 2
	}
}

// mix combines two hashes, well enough spread to order instances for an object. It is the finalizer of a 64-bit mixing function.
func mix(one, two uint64) (hash uint64) {
	hash = one ^ (two * 0x9e3779b97f4a7c15)
	hash = (hash ^ (hash >> 30)) * 0xbf58476d1ce4e5b9
	hash = (hash ^ (hash >> 27)) * 0x94d049bb133111eb
	return hash ^ (hash >> 31)
}

func nameHash(name string) (hash uint64) { return xxhash.Sum64String(name) }
