package queue

import (
	"container/list"
	"time"

	"cardamompass"
)

// line is the order of the waiting requests: short ones before long ones, and by arrival within a class. It reads no
// clock and takes no lock.
type line struct {
	short lane
	long  lane
}

// lane holds the waiters of one class.
type lane struct {
	list.List
	// fits counts the waiters for each Item.Fit.
	fits map[string]int
}

// waiter is one waiting request. Its fields besides the channel are guarded by the queue's lock.
type waiter struct {
	item Item
	try  func() (claimed bool)
	elm  *list.Element // nil once the waiter has left the line
	// done receives the verdict exactly once: nil for a slot, or the reason for a drop.
	done chan error
}

func newLine() (lin line) {
	return line{
		short: lane{
			fits: make(map[string]int),
		},
		long: lane{
			fits: make(map[string]int),
		},
	}
}

func (lin *line) lane(cls cardamompass.Class) (lan *lane) {
	if cls == cardamompass.ClassLong {
		return &lin.long
	}
	return &lin.short
}

func (lin *line) len() (count int) { return lin.short.Len() + lin.long.Len() }

func (lin *line) push(wtr *waiter) {
	lan := lin.lane(wtr.item.Class)
	lan.fits[wtr.item.Requirement]++
	wtr.elm = lan.PushBack(wtr)
}

func (lin *line) remove(wtr *waiter) {
	if wtr.elm == nil {
		return
	}
	lan := lin.lane(wtr.item.Class)
	if lan.fits[wtr.item.Requirement]--; lan.fits[wtr.item.Requirement] == 0 {
		delete(lan.fits, wtr.item.Requirement)
	}
	lan.Remove(wtr.elm)
	wtr.elm = nil
}

// victim returns the waiter that gives up its place in a full line to an arrival of class cls: the latest long one
// for a short arrival, none otherwise.
func (lin *line) victim(cls cardamompass.Class) (wtr *waiter) {
	if cls == cardamompass.ClassLong || lin.long.Len() == 0 {
		return nil
	}
	return lin.long.Back().Value.(*waiter)
}

// ahead reports whether a waiter with the same fit goes before an arrival of class cls. An arrival must not overtake
// it, but it may pass waiters that need other slots.
func (lin *line) ahead(itm Item) (yes bool) {
	return lin.short.fits[itm.Requirement] > 0 || itm.Class == cardamompass.ClassLong && lin.long.fits[itm.Requirement] > 0
}

// each calls visit for the waiters in order until it returns false. visit may remove the waiter.
func (lin *line) each(visit func(wtr *waiter) (more bool)) {
	for _, lan := range []*lane{&lin.short, &lin.long} {
		for elm := lan.Front(); elm != nil; {
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
