package queue

import (
	"sync"
	"sync/atomic"

	"cardamompass"
)

// Set holds the queues of all services, one for each service and class. It is safe for concurrent use.
type Set struct {
	clk     cardamompass.Clock
	mut     sync.Mutex // serializes SetServices and stop
	stopped bool
	ques    atomic.Pointer[map[setKey]*Queue]
}

type setKey struct {
	service cardamompass.ServiceName
	class   cardamompass.Class
}

// NewSet returns a set without queues, and a function that stops all queues.
func NewSet(clk cardamompass.Clock) (set *Set, stop func()) {
	set = &Set{
		clk: clk,
	}
	set.ques.Store(&map[setKey]*Queue{})
	return set, set.stop
}

// SetServices replaces the services with those of the active catalogue. The queue of a service that remains keeps its
// waiters and gets the new length; a shorter length drops no waiter. The queue of a removed service is stopped. SetServices
// has no effect once the set is stopped.
func (set *Set) SetServices(svcs []cardamompass.Service) {
	set.mut.Lock()
	defer set.mut.Unlock()
	if set.stopped {
		return
	}
	old, ques := *set.ques.Load(), make(map[setKey]*Queue, len(svcs))
	for _, svc := range svcs {
		key := setKey{
			service: svc.Name,
			class:   svc.Class,
		}
		if que := old[key]; que != nil {
			que.setLength(svc.QueueLength)
			ques[key] = que
			continue
		}
		ques[key], _ = New(Config{
			Length: svc.QueueLength,
			Clock:  set.clk,
		})
	}
	set.ques.Store(&ques)
	for key, que := range old {
		if ques[key] == nil {
			que.stop()
		}
	}
}

// Queue returns the queue of the service and class, nil when the catalogue has no such service.
func (set *Set) Queue(svc cardamompass.ServiceName, cls cardamompass.Class) (que *Queue) {
	return (*set.ques.Load())[setKey{
		service: svc,
		class:   cls,
	}]
}

func (set *Set) stop() {
	set.mut.Lock()
	defer set.mut.Unlock()
	set.stopped = true
	for _, que := range *set.ques.Load() {
		que.stop()
	}
}
