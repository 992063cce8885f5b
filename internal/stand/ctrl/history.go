package ctrl

import "time"

// History keeps the past values of a variable, so that they can be reported with a lag. The zero value is
// ready for use. It is not safe for concurrent use.
type History[V any] struct {
	ent []entry[V]
}

type entry[V any] struct {
	at  time.Time
	val V
}

// Add records that the value is val from now on, and discards the values that a report with the given lag no longer needs.
func (his *History[V]) Add(now time.Time, lag time.Duration, val V) {
	his.prune(now, lag)
	his.ent = append(his.ent, entry[V]{
		at:  now,
		val: val,
	})
}

// At returns the value as it was lag before now, or the oldest value that is kept.
func (his *History[V]) At(now time.Time, lag time.Duration) (val V) {
	for idx := len(his.ent) - 1; idx >= 0; idx-- {
		val = his.ent[idx].val
		if !his.ent[idx].at.After(now.Add(-lag)) {
			return val
		}
	}
	return val
}

func (his *History[V]) prune(now time.Time, lag time.Duration) {
	cut := 0
	for cut+1 < len(his.ent) && !his.ent[cut+1].at.After(now.Add(-lag)) {
		cut++
	}
	his.ent = his.ent[cut:]
}
