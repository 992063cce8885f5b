package queue

import (
	"container/list"
	"time"

	"cardamompass"
)

// waitList holds the waiting requests in order: short ones before long ones, and by arrival within a class. It reads no
// clock and takes no lock.
type waitList struct {
	short fifo
	long  fifo
}

// fifo holds the waiters of one class in the order of arrival.
type fifo struct {
	list.List
	// requirements counts the waiters by Item.Requirement.
	requirements map[string]int
}

// waiter is one waiting request. Its fields besides the channel are guarded by the queue's lock.
type waiter struct {
	item Item
	try  func() (claimed bool)
	elm  *list.Element // nil once the waiter has left the list
	// done receives the result exactly once: nil for a slot, or the error of a waiter that leaves without one.
	done chan error
}

func newWaitList() (wtl waitList) {
	return waitList{
		short: fifo{
			requirements: make(map[string]int),
		},
		long: fifo{
			requirements: make(map[string]int),
		},
	}
}

func (wtl *waitList) fifo(cls cardamompass.Class) (ffo *fifo) {
	if cls == cardamompass.ClassLong {
		return &wtl.long
	}
	return &wtl.short
}

func (wtl *waitList) len() (count int) { return wtl.short.Len() + wtl.long.Len() }

func (wtl *waitList) push(wtr *waiter) {
	ffo := wtl.fifo(wtr.item.Class)
	ffo.requirements[wtr.item.Requirement]++
	wtr.elm = ffo.PushBack(wtr)
}

func (wtl *waitList) remove(wtr *waiter) {
	if wtr.elm == nil {
		return
	}
	ffo := wtl.fifo(wtr.item.Class)
	if ffo.requirements[wtr.item.Requirement]--; ffo.requirements[wtr.item.Requirement] == 0 {
		delete(ffo.requirements, wtr.item.Requirement)
	}
	ffo.Remove(wtr.elm)
	wtr.elm = nil
}

// displaceable returns the waiter that an arrival of class cls displaces when the list is full: the latest long one for a
// short arrival, none otherwise.
func (wtl *waitList) displaceable(cls cardamompass.Class) (wtr *waiter) {
	if cls == cardamompass.ClassLong || wtl.long.Len() == 0 {
		return nil
	}
	return wtl.long.Back().Value.(*waiter)
}

// hasPredecessor reports whether a waiter with the same requirement precedes an arrival. The arrival must not overtake it,
// but may overtake waiters with other requirements.
func (wtl *waitList) hasPredecessor(itm Item) (yes bool) {
	return wtl.short.requirements[itm.Requirement] > 0 || itm.Class == cardamompass.ClassLong && wtl.long.requirements[itm.Requirement] > 0
}

// each calls visit for the waiters in order until it returns false. visit may remove the waiter.
func (wtl *waitList) each(visit func(wtr *waiter) (more bool)) {
	for _, ffo := range []*fifo{&wtl.short, &wtl.long} {
		for elm := ffo.Front(); elm != nil; {
			next := elm.Next()
			if !visit(elm.Value.(*waiter)) {
				return
			}
			elm = next
		}
	}
}

// late reports whether the request can no longer finish before its deadline.
func (itm Item) late(now time.Time) (yes bool) { return now.Add(itm.Expected).After(itm.Deadline) }
