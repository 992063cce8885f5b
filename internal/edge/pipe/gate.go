package pipe

import "sync"

// gate bounds the requests that are read ahead on all connections of a VM.
type gate struct {
	maxRequests int
	maxBytes    int

	mu       sync.Mutex
	requests int
	bytes    int                        // size of their headers
	waiting  map[chan struct{}]struct{} // connections that pause
}

func newGate(maxRequests, maxBytes int) (gte *gate) {
	return &gate{
		maxRequests: maxRequests,
		maxBytes:    maxBytes,
		waiting:     make(map[chan struct{}]struct{}),
	}
}

// take adds a request, whose size is not known yet, or returns false if a bound is reached. In this case room is sent a value once there
// may be room again.
func (gte *gate) take(room chan struct{}) (ok bool) {
	gte.mu.Lock()
	defer gte.mu.Unlock()
	if gte.requests >= gte.maxRequests || gte.bytes >= gte.maxBytes {
		gte.waiting[room] = struct{}{}
		return false
	}
	delete(gte.waiting, room)
	gte.requests++
	return true
}

// addBytes adds the size of the header of a request that has been read.
func (gte *gate) addBytes(size int) {
	gte.mu.Lock()
	defer gte.mu.Unlock()
	gte.bytes += size
}

// release removes a request and wakes a connection that pauses. One that no longer waits may be woken in vain; the others look again at
// each pollInterval.
func (gte *gate) release(size int) {
	gte.mu.Lock()
	defer gte.mu.Unlock()
	gte.requests--
	gte.bytes -= size
	for room := range gte.waiting {
		delete(gte.waiting, room)
		notify(room)
		return
	}
}

// forget removes a connection that no longer waits.
func (gte *gate) forget(room chan struct{}) {
	gte.mu.Lock()
	defer gte.mu.Unlock()
	delete(gte.waiting, room)
}

// count returns the number of requests.
func (gte *gate) count() (requests int) {
	gte.mu.Lock()
	defer gte.mu.Unlock()
	return gte.requests
}

// notify sends a value to a channel that holds one, unless it is there already.
func notify(chn chan struct{}) {
	select {
	case chn <- struct{}{}:
	default:
	}
}
