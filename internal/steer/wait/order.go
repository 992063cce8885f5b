package wait

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// usageDecay is the time constant with which the usage of a team is forgotten. It is about the time of one request of the slowest
	// service, so that a team whose burst has ended is soon equal to the others again.
	usageDecay = 2 * time.Second
	// oldestTurn is the number of placements of which one is for the oldest request, whatever its priority and team.
	oldestTurn = 8
	// headTries is the number of requests at the head of the order that each pass tries. rotatedTries is the number of others, which
	// continue where the last pass ended. Requests have different preferred targets, so that one further back may use room that those
	// before it can't. A try costs as much as choosing a target, some microseconds for each hundred targets.
	headTries    = 8
	rotatedTries = 16
)

// flow is the state of the requests of one Flow.
type flow struct {
	waiting  int
	weight   float64
	used     float64 // decayed number of requests that got room
	usedAt   time.Time
	promises []promise // in order of their due times
}

func (que *Queue) flow(key Flow) (flw *flow) {
	flw, ok := que.flows[key]
	if !ok {
		flw = &flow{
			weight: 1,
		}
		que.flows[key] = flw
	}
	return flw
}

// setWeight sets the weight of the flow to that of its newest request.
func (flw *flow) setWeight(weight float64) {
	flw.weight = 1
	if weight > 0 {
		flw.weight = weight
	}
}

// usage returns the number of requests that got room recently, decayed with usageDecay.
func (flw *flow) usage(now time.Time) (count float64) {
	return flw.used * math.Exp(-now.Sub(flw.usedAt).Seconds()/usageDecay.Seconds())
}

// level returns the usage relative to the weight.
func (flw *flow) level(now time.Time) (lvl float64) { return flw.usage(now) / flw.weight }

func (que *Queue) recordUse(req Request, now time.Time) {
	flw := que.flow(req.Flow)
	flw.used, flw.usedAt = flw.usage(now)+1, now
	flw.setWeight(req.Weight)
	if req.Returned {
		que.stats.Kept++
	}
	que.prune(now)
}

// prune forgets flows without state that matters. Without it, each team that ever sent a request would stay in memory.
func (que *Queue) prune(now time.Time) {
	const maxFlows = 128
	if len(que.flows) <= maxFlows {
		return
	}
	for key, flw := range que.flows {
		if flw.waiting == 0 && len(flw.promises) == 0 && flw.usage(now) < 0.1 {
			delete(que.flows, key)
		}
	}
}

// Started records that a request got room without waiting. It counts in the share of its team.
func (que *Queue) Started(req Request, now time.Time) { que.recordUse(req, now) }

// Pass offers room to the waiting requests in their order. place tries to find room for one and reports whether it did; the request then
// no longer waits. A pass ends after a bounded number of tries, and the next one continues with other requests.
//
// The order is: priority; among the teams of one priority, the team with the smallest recent usage relative to its weight, which is
// max-min fair for any demand of the others; callers that were told to return; requests that can be within the objective before late
// ones; arrival. The load that this answers is a burst of one team of several times its share: its requests wait behind one another and
// not before those of other teams.
//
// Every oldestTurn-th placement goes to the oldest waiting request if it can use the room. A request before which n older ones wait is
// therefore overtaken by at most oldestTurn × (n + 1) placements into room that it could have used.
func (que *Queue) Pass(now time.Time, place func(itm *Item) (ok bool)) {
	tries := headTries + rotatedTries
	for tries > 0 && que.passOnce(now, &tries, place) {
	}
}

// passOnce tries requests until one is placed, and reports whether one was.
func (que *Queue) passOnce(now time.Time, tries *int, place func(itm *Item) (ok bool)) (placed bool) {
	all := que.order(que.items, now)
	if len(all) == 0 {
		return false
	}
	if que.sinceOldest >= oldestTurn-1 {
		oldest := slices.Index(all, que.items[0])
		all = slices.Insert(slices.Delete(all, oldest, oldest+1), 0, que.items[0])
	}
	head := all[:min(headTries, len(all))]
	rest := que.rotated(all[len(head):])
	for _, itm := range slices.Concat(head, rest) {
		if *tries--; *tries < 0 {
			return false
		}
		if !place(itm) {
			continue
		}
		que.sinceOldest++
		if itm == que.items[0] {
			que.sinceOldest = 0
		}
		que.remove(itm)
		que.recordUse(itm.req, now)
		que.learn(itm, now, false)
		return true
	}
	return false
}

// rotated returns the requests that a pass tries after the head, beginning with those that the last pass has not reached.
func (que *Queue) rotated(rest []*Item) (out []*Item) {
	if len(rest) <= rotatedTries {
		return rest
	}
	start := 0
	for num, itm := range rest {
		if itm.number == que.cursor {
			start = num + 1
		}
	}
	out = slices.Concat(rest[start:], rest[:start])[:rotatedTries]
	que.cursor = out[len(out)-1].number
	return out
}

// turn is the state of a flow while the order is determined.
type turn struct {
	key   Flow
	items []*Item
	level float64
	step  float64 // by which one request raises the level
}

// before reports whether the next request of the flow precedes that of oth.
func (trn *turn) before(oth *turn) (ok bool) {
	if trn.key.Priority != oth.key.Priority {
		return trn.key.Priority < oth.key.Priority
	}
	return cmp.Or(cmp.Compare(trn.level, oth.level), cmp.Compare(trn.key.Team, oth.key.Team)) < 0
}

// order returns the requests in their order.
func (que *Queue) order(items []*Item, now time.Time) (out []*Item) {
	turns := que.turns(items, now)
	out = make([]*Item, 0, len(items))
	for len(out) < len(items) {
		best := turns[0]
		for _, trn := range turns[1:] {
			if trn.before(best) {
				best = trn
			}
		}
		out = append(out, best.items[0])
		best.items = best.items[1:]
		best.level += best.step
		if len(best.items) == 0 {
			turns = slices.DeleteFunc(turns, func(trn *turn) bool { return trn == best })
		}
	}
	return out
}

// turns returns the flows of the requests, each with its requests in their order.
func (que *Queue) turns(items []*Item, now time.Time) (turns []*turn) {
	byFlow := make(map[Flow]*turn)
	for _, itm := range items {
		itm.rank(now)
		trn, ok := byFlow[itm.req.Flow]
		if !ok {
			flw := que.flow(itm.req.Flow)
			trn = &turn{
				key:   itm.req.Flow,
				level: flw.level(now),
				step:  1 / flw.weight,
			}
			byFlow[itm.req.Flow] = trn
			turns = append(turns, trn)
		}
		trn.items = append(trn.items, itm)
	}
	for _, trn := range turns {
		slices.SortFunc(trn.items, func(one, two *Item) int {
			return cmp.Or(cmp.Compare(one.class, two.class), cmp.Compare(one.number, two.number))
		})
	}
	return turns
}

// rank sets the class of a request within its flow: callers that were told to return come first, then requests that can be in time.
func (itm *Item) rank(now time.Time) {
	itm.class = 0
	if !itm.req.Returned {
		itm.class += 2
	}
	if itm.Late(now) {
		itm.class++
	}
}
