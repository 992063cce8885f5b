package wait

import (
	"math"
	"time"
)

const (
	// shortageDecay is the time constant of the part of requests that find no room. A burst lasts 3 to 7 s, so the limits must follow
	// within about a second.
	shortageDecay = time.Second
	// shortageFrom and shortageTo are the parts of requests without room between which the limits go from the usual to the tight ones.
	// In the model at 70% of the room about 3% of the requests find none at once, in a burst of twice the room about half. From 0.1 on, short
	// peaks of usual load were refused too: 2.1% in place of 0.6%.
	shortageFrom = 0.2
	shortageTo   = 0.4
	// shortageMin is the decayed number of arrivals below which the part says nothing.
	shortageMin = 4.0
	// tightFactor is the tight limit relative to the usual one. With the usual limit of 2, a request that reaches a busy target waits there
	// about as long as it runs, which makes nearly all requests late in an overload.
	tightFactor = 0.6
	// overShare is the usage of a team relative to the mean of the teams of its priority above which it counts as over its share.
	// overShareLoad is its limit during a shortage: it still gets room that would be idle.
	overShare     = 1.25
	overShareLoad = 0.5
	// lateLoad is the limit of a waiting request that will be late: it takes no place in a target's queue, where it would make others late.
	lateLoad = 1.0
)

// shortage is the decayed number of requests and of those that found no room.
type shortage struct {
	arrived, without float64
	at               time.Time
}

func (srt *shortage) decay(now time.Time) {
	factor := math.Exp(-now.Sub(srt.at).Seconds() / shortageDecay.Seconds())
	srt.arrived, srt.without, srt.at = srt.arrived*factor, srt.without*factor, now
}

// degree returns how short room is, from 0 to 1.
func (srt *shortage) degree(now time.Time) (part float64) {
	srt.decay(now)
	if srt.arrived < shortageMin {
		return 0
	}
	return min(1, max(0, (srt.without/srt.arrived-shortageFrom)/(shortageTo-shortageFrom)))
}

// Limit returns the load relative to the slots at which a target counts as full for a request that arrives. usual is the limit without a
// shortage.
//
// The load that it answers is a burst of several seconds. Without waiting, requests pile up in the queues of the targets up to the limit,
// and nearly all are late. With a lower limit fewer are served at a time but in time, and those that find no room wait here, where
// their order can be decided. A team over its share is limited further, so that the others find room when they arrive.
func (que *Queue) Limit(key Flow, usual float64, now time.Time) (limit float64) {
	degree := que.shortage.degree(now)
	limit = usual * (1 - degree*(1-tightFactor))
	if que.OverShare(key, now) {
		return min(limit, usual-degree*(usual-overShareLoad))
	}
	return limit
}

// WaitLimit returns the limit for a request that waits.
func (que *Queue) WaitLimit(itm *Item, usual float64, now time.Time) (limit float64) {
	limit = que.Limit(itm.req.Flow, usual, now)
	if itm.Late(now) {
		return min(limit, lateLoad)
	}
	return limit
}

// OverShare reports whether room is short and a team is over its share of it. While there is room for all, no team is.
func (que *Queue) OverShare(key Flow, now time.Time) (ok bool) {
	return que.shortage.degree(now) > 0 && que.overShare(key, now)
}

// overShare reports whether a team has had more room recently than the mean of the teams of its priority, by weight. Teams without recent
// usage don't count: they need no share.
func (que *Queue) overShare(key Flow, now time.Time) (ok bool) {
	sum, weights := 0.0, 0.0
	for oth, flw := range que.flows {
		if use := flw.usage(now); oth.Priority == key.Priority && use > 1 {
			sum += use
			weights += flw.weight
		}
	}
	return weights > 0 && que.flow(key).level(now) > overShare*sum/weights
}
