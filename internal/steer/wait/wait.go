// Package wait decides what happens to a request for which no target has room: whether it waits and in which order, or when its caller is
// told to return.
//
// A Queue belongs to one service at one VM. It is pure: it reads no clock, starts nothing and is not safe for concurrent use. The caller
// tells it which requests arrive, start, end and leave, and gives the current time. Bodies and connections stay with the caller.
//
// The order is that of Queue.Pass, the estimate of the time until a request gets room that of Queue.Add.
package wait

import (
	"time"

	"cardamompass"
)

// Config holds the bounds of a Queue.
type Config struct {
	// MaxRequests bounds the waiting requests, at least 1.
	MaxRequests int
	// MaxBytes bounds the memory of the waiting requests, in bytes.
	MaxBytes int64
}

// Flow identifies the requests that share one turn in the order: those of one team with one priority.
type Flow struct {
	// Team is empty for requests without a team.
	Team cardamompass.TeamName
	// Priority is that of the team, or of the route for requests without one; 0 is the highest.
	Priority int
}

// Request describes a request that needs room at a target.
type Request struct {
	Flow Flow
	// Weight is the share of the team relative to the other teams of the priority; 0 means 1.
	Weight float64
	// Returned is the result of Arrive.
	Returned bool
	// Bytes is the memory that the request holds while it waits.
	Bytes int64
	// Work is the expected time from sending the request to its response.
	Work time.Duration
	// Objective is the time until which a response has its full value.
	Objective time.Time
	// Deadline is the time after which no response is awaited. CallerDeadline is that of the caller, which may be later: a route may allow
	// less time than the caller has.
	Deadline       time.Time
	CallerDeadline time.Time
}

// Item is a waiting request.
type Item struct {
	req      Request
	arrived  time.Time
	number   uint64        // in order of arrival
	estimate time.Duration // time until room appears, estimated on arrival
	giveUp   time.Time
	class    int // see rank
	queued   bool
}

// Request returns the request.
func (itm *Item) Request() (req Request) { return itm.req }

// Waited returns the time since the request began to wait.
func (itm *Item) Waited(now time.Time) (dur time.Duration) { return now.Sub(itm.arrived) }

// Estimate returns the time until room appears as estimated on arrival.
func (itm *Item) Estimate() (dur time.Duration) { return itm.estimate }

// Late reports whether a response can no longer be within the objective.
func (itm *Item) Late(now time.Time) (ok bool) { return now.Add(itm.req.Work).After(itm.req.Objective) }

// Reason is the reason of a refusal, in kebab case.
type Reason string

const (
	// ReasonLate is the reason when the estimate says that the request can't be served in time.
	ReasonLate Reason = "estimate"
	// ReasonGaveUp is the reason when the request has waited as long as it may.
	ReasonGaveUp Reason = "waited"
	// ReasonFull is the reason when a bound is reached and the request comes last in the order.
	ReasonFull Reason = "bound"
	// ReasonDisplaced is the reason when a bound is reached and another request took the place of the one that comes last.
	ReasonDisplaced Reason = "displaced"
	// ReasonStopped is the reason when the VM stops.
	ReasonStopped Reason = "stopped"
)

// Refusal is the definitive refusal of a request.
type Refusal struct {
	Reason Reason
	// RetryAfter is the time after which the caller finds room.
	RetryAfter time.Duration
	// Item is the request if it waited, else nil.
	Item *Item
}

const (
	// requestBytes is the memory of a waiting request beside its body: a goroutine and the headers.
	requestBytes = 8 << 10
	// waitFraction is the largest part of its time that a request waits. With the rest it can still be sent, or refused early enough for
	// its caller to return once, for which callers use a third of what is left.
	waitFraction = 0.5
	// workMargin is how many times the expected work a request must have left when it is sent. Work varies by about a factor of 2.
	workMargin = 1.5
)

// Queue holds the requests to one service that wait for room.
type Queue struct {
	cfg    Config
	items  []*Item // in order of arrival
	bytes  int64
	number uint64
	flows  map[Flow]*flow
	room   roomRate
	// shortage tells how many of the recent requests found no room.
	shortage shortage
	// bias is the correction factor of the estimate at biasAt, learned from the waits that have ended.
	bias   float64
	biasAt time.Time
	// sinceOldest counts the placements since the oldest request was placed or was the head of the order.
	sinceOldest int
	cursor      uint64 // number of the request after which a pass continues
	stats       Stats
	stopped     bool
}

// Stats counts promises and gives the size of a queue.
type Stats struct {
	Waiting int
	Bytes   int64
	// Given, Kept and Lapsed count promises since the start: those given, those whose caller returned and got room, and those that
	// nobody took up.
	Given, Kept, Lapsed int
}

// New returns an empty queue.
func New(cfg Config) (que *Queue) {
	return &Queue{
		cfg:   cfg,
		flows: make(map[Flow]*flow),
		bias:  1,
	}
}

// Stats returns the current counts.
func (que *Queue) Stats() (sts Stats) {
	sts = que.stats
	sts.Waiting, sts.Bytes = len(que.items), que.bytes
	return sts
}

// Add decides on a request that finds no room. If itm is not nil it waits; otherwise ref says when its caller is to return. displaced is
// a request that no longer waits because this one took its place, nil if there is none.
//
// The load that the decision answers is a burst of a few seconds above the capacity: room appears all the time, so a request that
// is served within its objective after a short wait is worth more than one whose caller returns later. In an overload that lasts, the
// estimate soon passes the objective, and most requests are refused at once, before they hold memory or a connection.
func (que *Queue) Add(req Request, now time.Time) (itm *Item, ref Refusal, displaced *Refusal) {
	itm = &Item{
		req:     req,
		arrived: now,
		number:  que.number,
		giveUp:  giveUp(req, now),
	}
	itm.req.Bytes += requestBytes
	que.number++
	que.shortage.without++
	if que.stopped {
		return nil, que.refusal(itm, ReasonStopped, now), nil
	}
	que.flow(req.Flow).setWeight(req.Weight)
	itm.estimate = que.estimate(req, now)
	if !que.servable(itm, now) {
		return nil, que.refusal(itm, ReasonLate, now), nil
	}
	for que.overfull(itm) {
		last := que.last(itm, now)
		if last == itm || displaced != nil {
			// More than one displaced request for a single arrival would let large requests empty the queue.
			return nil, que.refusal(itm, ReasonFull, now), displaced
		}
		if que.bytes-last.req.Bytes+itm.req.Bytes > que.cfg.MaxBytes {
			return nil, que.refusal(itm, ReasonFull, now), nil
		}
		que.remove(last)
		out := que.refusal(last, ReasonDisplaced, now)
		out.Item = last
		displaced = &out
	}
	itm.queued = true
	que.items = append(que.items, itm)
	que.bytes += itm.req.Bytes
	que.flow(req.Flow).waiting++
	return itm, Refusal{}, displaced
}

// giveUp returns the time until which a request may wait: a part of its time, and no longer than it can still be served.
func giveUp(req Request, now time.Time) (at time.Time) {
	at = now.Add(time.Duration(waitFraction * float64(req.Deadline.Sub(now))))
	if latest := req.Deadline.Add(-time.Duration(workMargin * float64(req.Work))); latest.Before(at) {
		return latest
	}
	return at
}

// servable reports whether a request can be served in time according to its estimate. A late response has little value, so a request that
// will be late waits only without a shortage and while nothing else waits that can be in time.
func (que *Queue) servable(itm *Item, now time.Time) (ok bool) {
	start := now.Add(itm.estimate)
	if !start.Add(itm.req.Work).After(itm.req.Objective) {
		return !start.After(itm.giveUp)
	}
	return !start.After(itm.giveUp) && que.shortage.degree(now) == 0 && !que.hasInTime(now)
}

func (que *Queue) hasInTime(now time.Time) (ok bool) {
	for _, itm := range que.items {
		if !itm.Late(now) {
			return true
		}
	}
	return false
}

func (que *Queue) overfull(itm *Item) (ok bool) {
	return len(que.items) >= que.cfg.MaxRequests || que.bytes+itm.req.Bytes > que.cfg.MaxBytes
}

// last returns the request that comes last in the order if itm is added.
func (que *Queue) last(itm *Item, now time.Time) (lst *Item) {
	all := que.order(append(que.items[:len(que.items):len(que.items)], itm), now)
	return all[len(all)-1]
}

// Remove removes a request whose caller has left. It has no effect if the request does not wait.
func (que *Queue) Remove(itm *Item) {
	if itm.queued {
		que.remove(itm)
	}
}

func (que *Queue) remove(itm *Item) {
	for num, cnd := range que.items {
		if cnd == itm {
			que.items = append(que.items[:num:num], que.items[num+1:]...)
			break
		}
	}
	itm.queued = false
	que.bytes -= itm.req.Bytes
	que.flow(itm.req.Flow).waiting--
}

// Expire removes the requests that must not wait longer and returns their refusals: those that have waited as long as they may, those that
// are late during a shortage, since they would make others late, and those whose position no longer lets them be served. The latter is
// decided with twice the time, since the rate of a few requests per second varies by that much.
func (que *Queue) Expire(now time.Time) (refs []Refusal) {
	short := que.shortage.degree(now) > 0
	perRequest := make(map[int]time.Duration) // by priority
	for pos, itm := range que.order(que.items, now) {
		pri := itm.req.Flow.Priority
		if _, ok := perRequest[pri]; !ok {
			perRequest[pri] = que.timeFor(1, pri, now)
		}
		var rsn Reason
		left := itm.giveUp.Sub(now)
		switch {
		case left <= 0, short && itm.Late(now):
			rsn = ReasonGaveUp
		case time.Duration(pos+1)*perRequest[pri] > 2*left:
			rsn = ReasonLate
		default:
			continue
		}
		que.remove(itm)
		que.learn(itm, now, true)
		ref := que.refusal(itm, rsn, now)
		ref.Item = itm
		refs = append(refs, ref)
	}
	return refs
}

// Stop refuses all waiting requests and all later ones.
func (que *Queue) Stop(now time.Time) (refs []Refusal) {
	que.stopped = true
	for len(que.items) > 0 {
		itm := que.items[0]
		que.remove(itm)
		ref := que.refusal(itm, ReasonStopped, now)
		ref.Item = itm
		refs = append(refs, ref)
	}
	return refs
}
