package health

import "time"

// flight is one request in flight. Unused ones are kept in a free list, so that the request path allocates none.
type flight struct {
	start      time.Time
	prev, next *flight
	// use changes when the flight is taken and when it is returned, so that a token of an earlier use is detected.
	use uint64
}

// flights is the list of a target's requests in flight, sorted by start time. The oldest one is found in O(1).
type flights struct {
	first, last *flight
	count       int
}

func (fls *flights) oldest() (start time.Time) {
	if fls.first == nil {
		return time.Time{}
	}
	return fls.first.start
}

// add inserts the flight by its start time. Flights are added nearly in order, so that the search from the end is short.
func (fls *flights) add(flt *flight) {
	prev := fls.last
	for prev != nil && prev.start.After(flt.start) {
		prev = prev.prev
	}
	flt.prev = prev
	if prev == nil {
		flt.next, fls.first = fls.first, flt
	} else {
		flt.next, prev.next = prev.next, flt
	}
	if flt.next == nil {
		fls.last = flt
	} else {
		flt.next.prev = flt
	}
	fls.count++
}

func (fls *flights) remove(flt *flight) {
	if flt.prev == nil {
		fls.first = flt.next
	} else {
		flt.prev.next = flt.next
	}
	if flt.next == nil {
		fls.last = flt.prev
	} else {
		flt.next.prev = flt.prev
	}
	flt.prev, flt.next = nil, nil
	fls.count--
}
