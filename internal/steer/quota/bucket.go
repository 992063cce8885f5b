package quota

import (
	"math"
	"time"
)

const (
	// demandTime is the time constant of the measured demand, surgeTime that of a second measure which shows sooner that callers have
	// moved to this VM. It counts from surgeCount requests on: fewer are too few for a rate.
	demandTime = 1500 * time.Millisecond
	surgeTime  = 300 * time.Millisecond
	surgeCount = 3
	// urgentTime is how long a refused request counts as an urgent need of a token.
	urgentTime = 500 * time.Millisecond
	// horizon is the time for which a VM keeps or asks for tokens. It covers two rounds of asks and the way to another region and back.
	horizon = 400 * time.Millisecond
	// usedTime is the time after its last request for which a VM keeps or asks for tokens of a team.
	usedTime = 10 * time.Second
	// minDemand is the demand in requests per second that is assumed in this time.
	minDemand = 0.1
	// fullToken allows for rounding in sums of parts of tokens.
	fullToken = 1 - 1e-9
	// maxRetryAfter is the longest Retry-After. retryRestart is the time from which on promises start again when they reach it.
	maxRetryAfter = 3 * time.Second
	retryRestart  = time.Second
	// minRetryAfter is the shortest Retry-After; an ask is answered within about that time.
	minRetryAfter = 100 * time.Millisecond
)

// lot is a number of tokens until a time.
type lot struct {
	until  time.Time
	tokens float64
}

// lots are lots in the order of their times.
type lots []lot

// dropExpired removes the lots whose time is over.
func (lts *lots) dropExpired(now time.Time) {
	num := 0
	for num < len(*lts) && !now.Before((*lts)[num].until) {
		num++
	}
	if num > 0 {
		*lts = append((*lts)[:0], (*lts)[num:]...)
	}
}

// add inserts a lot.
func (lts *lots) add(until time.Time, tokens float64) {
	all := append(*lts, lot{})
	num := len(all) - 1
	for ; num > 0 && until.Before(all[num-1].until); num-- {
		all[num] = all[num-1]
	}
	all[num] = lot{
		until:  until,
		tokens: tokens,
	}
	*lts = all
}

func (lts *lots) sum() (tokens float64) {
	for _, itm := range *lts {
		tokens += itm.tokens
	}
	return tokens
}

// take removes up to a number of tokens, those that expire first before others, and returns how many it removed.
func (lts *lots) take(tokens float64) (taken float64) {
	for num := range *lts {
		part := min(tokens-taken, (*lts)[num].tokens)
		(*lts)[num].tokens -= part
		taken += part
	}
	return taken
}

// meter measures a rate with exponential decay.
type meter struct {
	decay time.Duration
	// count is the number of events, each less the longer ago it was.
	count float64
	at    time.Time
}

func (mtr *meter) add(count float64, now time.Time) {
	mtr.count = mtr.recent(now) + count
	mtr.at = now
}

func (mtr *meter) recent(now time.Time) (count float64) {
	if ela := now.Sub(mtr.at); ela > 0 {
		return mtr.count * math.Exp(-ela.Seconds()/mtr.decay.Seconds())
	}
	return mtr.count
}

func (mtr *meter) rate(now time.Time) (perSecond float64) {
	return mtr.recent(now) / mtr.decay.Seconds()
}

// bucket holds the tokens that one VM has for one team.
type bucket struct {
	lim limits
	// tokens are those minted here, received those of grants of other VMs.
	tokens   float64
	received lots
	// given are the grants to other VMs that may still be used there. They occupy this VM's storage.
	given    lots
	filledAt time.Time
	// demand is the rate of all requests, passed that of the requests that got a token.
	demand meter
	surge  meter
	passed meter
	// refusedAt is the time of the last refusal since a token was taken; zero if there was none.
	refusedAt time.Time
	// lastRefusal is the time of the last refusal, refusing whether a change to refusals was reported that has not ended.
	lastRefusal time.Time
	refusing    bool
	episode     int64 // refusals since the change
	// promisedUntil is the time for which callers that were refused have been told to return.
	promisedUntil time.Time
	// askAt is the time of the next ask, askPause the pause before it, answered whether a grant arrived since the last ask.
	askAt    time.Time
	askPause time.Duration
	answered bool
	counts   Counts
}

func newBucket(lim limits, now time.Time) (bkt *bucket) {
	return &bucket{
		lim:      lim,
		filledAt: now,
		demand: meter{
			decay: demandTime,
		},
		surge: meter{
			decay: surgeTime,
		},
		passed: meter{
			decay: demandTime,
		},
	}
}

// refill adds the tokens minted since the last call and drops those that expired or exceed the storage.
func (bkt *bucket) refill(share float64, now time.Time) {
	if ela := now.Sub(bkt.filledAt); ela > 0 {
		bkt.tokens += ela.Seconds() * bkt.lim.mint * share
		bkt.filledAt = now
	}
	bkt.received.dropExpired(now)
	bkt.given.dropExpired(now)
	bkt.tokens = min(bkt.tokens, bkt.space(share))
}

// space returns the tokens that fit into the VM's storage, of which grants that may still be used elsewhere occupy a part.
func (bkt *bucket) space(share float64) (tokens float64) {
	return max(0, bkt.lim.storage*share-bkt.given.sum())
}

// stock returns the tokens that can be used now.
func (bkt *bucket) stock() (tokens float64) { return bkt.tokens + bkt.received.sum() }

// take takes one token. Grants are used first, since they expire.
func (bkt *bucket) take(share float64, now time.Time) (ok bool) {
	bkt.refill(share, now)
	bkt.demand.add(1, now)
	bkt.surge.add(1, now)
	if bkt.stock() < fullToken {
		bkt.refusedAt, bkt.lastRefusal = now, now
		bkt.episode++
		bkt.counts.Refused++
		return false
	}
	bkt.tokens = max(0, bkt.tokens-(1-bkt.received.take(1)))
	bkt.passed.add(1, now)
	bkt.refusedAt = time.Time{}
	bkt.counts.Taken++
	return true
}

// giveBack returns a token to the storage, if there is space.
func (bkt *bucket) giveBack(share float64, now time.Time) {
	bkt.refill(share, now)
	bkt.tokens = min(bkt.tokens+1, bkt.space(share))
	bkt.counts.Returned++
}

// receive adds tokens of a grant. Those that fit into the VM's own storage stay there; the others stay in that of the giver, and expire.
func (bkt *bucket) receive(tokens float64, until time.Time, share float64, now time.Time) {
	bkt.refill(share, now)
	own := min(tokens, max(0, bkt.space(share)-bkt.tokens))
	bkt.tokens += own
	if tokens > own {
		bkt.received.add(until, tokens-own)
	}
}

// needed returns the requests per second that the VM expects.
func (bkt *bucket) needed(now time.Time) (perSecond float64) {
	perSecond = bkt.demand.rate(now)
	if bkt.surge.recent(now) >= surgeCount {
		perSecond = max(perSecond, bkt.surge.rate(now))
	}
	return perSecond
}

// wanted returns the tokens that the VM needs within the horizon.
func (bkt *bucket) wanted(now time.Time) (tokens float64) {
	if now.Sub(bkt.demand.at) > usedTime {
		return 0
	}
	return min(bkt.needed(now)*horizon.Seconds()+1, bkt.lim.storage)
}

// life returns how long the VM needs the tokens that it asks for; the shortest time if they fit into its own storage.
func (bkt *bucket) life(share float64, now time.Time) (lif time.Duration) {
	if bkt.wanted(now) <= bkt.lim.storage*share {
		return minLife
	}
	seconds := lifeFactor * bkt.wanted(now) / max(minDemand, bkt.needed(now))
	return min(max(time.Duration(seconds*float64(time.Second)), minLife), maxLife)
}

// urgent reports whether a request was refused a moment ago and no token has been taken since.
func (bkt *bucket) urgent(now time.Time) (ok bool) {
	return !bkt.refusedAt.IsZero() && now.Sub(bkt.refusedAt) < urgentTime
}

// surplus returns the tokens that the VM can give to one that asks. Less than a token is of no use here, unless it is completed: it goes
// to a VM that has more than this one, so that parts add up to tokens, or to one that had to refuse a request.
func (bkt *bucket) surplus(ask Ask, now time.Time) (tokens float64) {
	own := bkt.wanted(now)
	stock := bkt.stock()
	switch {
	case own == 0:
		return bkt.tokens
	case stock < fullToken && (ask.Urgent && !bkt.urgent(now) || stock < ask.Have && ask.Have < fullToken):
		return bkt.tokens
	default:
		return min((stock-own)*givenFraction, bkt.tokens)
	}
}

// promise returns the Retry-After of a refused caller: the time at which the rate of new tokens has a token for it, after those that
// were promised to callers refused before.
func (bkt *bucket) promise(share float64, now time.Time) (retryAfter time.Duration) {
	perSecond := max(bkt.lim.mint*share, bkt.passed.rate(now))
	gap := maxRetryAfter
	if perSecond > 0 {
		gap = time.Duration(min(float64(gap), float64(time.Second)/perSecond))
	}
	if bkt.promisedUntil.Before(now) {
		missing := max(0, 1-bkt.stock())
		bkt.promisedUntil = now.Add(max(minRetryAfter, time.Duration(missing*float64(gap))))
	} else {
		bkt.promisedUntil = bkt.promisedUntil.Add(gap)
	}
	if bkt.promisedUntil.Sub(now) > maxRetryAfter {
		bkt.promisedUntil = now.Add(retryRestart)
	}
	return bkt.promisedUntil.Sub(now)
}
