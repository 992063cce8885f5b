// Package queue admits requests to the slots of a service within their deadlines.
//
// A Queue belongs to one service, or to one service and class where the classes have separate slots. A request that gets
// no slot at once waits in the caller's goroutine. The queue is bounded. Short requests come before long ones, and
// requests of one class are served in the order of arrival; in a full queue a short arrival displaces the latest long
// request. A request leaves the queue as soon as it cannot finish before its deadline. A request that leaves without a
// slot gets a *cardamompass.NotRunError, since it was not sent to any target.
//
// Slots are claimed by the try function of each request, under the queue's lock, so that the decision and the claim are
// atomic with respect to other requests of the queue. The release of a slot wakes at most one waiter, whose requirement
// the slot meets.
package queue

import (
	"context"
	"slices"
	"sync"
	"time"

	"cardamompass"
)

// Reasons of the NotRunError values of this package.
const (
	// ReasonFull is the reason when the queue is full and the request displaces no other one.
	ReasonFull = "queue is full"
	// ReasonDisplaced is the reason when a short request displaced this long one.
	ReasonDisplaced = "queue is full and a short request took the place"
	// ReasonLate is the reason when the request can no longer finish before its deadline.
	ReasonLate = "no room in any region before the deadline"
	// ReasonCancelled is the reason when the caller cancelled the request.
	ReasonCancelled = "caller gave up while the request was queued"
	// ReasonStopped is the reason when the queue was closed.
	ReasonStopped = "entry VM stops"
)

// Config describes a queue.
type Config struct {
	// Length bounds the waiting requests.
	Length int
	// Clock drives the deadlines.
	Clock cardamompass.Clock
}

// Item describes a request for the queue.
type Item struct {
	// Class determines the order of the request.
	Class cardamompass.Class
	// Deadline is the time by which the caller needs the complete response; Expected is the usual time that a request takes.
	Deadline time.Time
	Expected time.Duration
	// Requirement identifies what the request needs from a slot, for example the caller's region. When a waiter can't use a
	// slot, the queue skips all other waiters with the same Requirement without trying them.
	Requirement string
}

// SlotObserver is notified when a slot becomes free. Implementations are safe for concurrent use.
type SlotObserver interface {
	// SlotReleased gives the slot to at most one waiter that can use it and reports whether there was one.
	SlotReleased() (woken bool)
}

var _ SlotObserver = (*Queue)(nil)

// Queue is a bounded admission queue. It is safe for concurrent use.
type Queue struct {
	cfg     Config
	mut     sync.Mutex
	wtl     waitList
	stopped bool
}

// New returns a queue and a function that stops it: all waiters and later requests get ReasonStopped.
func New(cfg Config) (que *Queue, stop func()) {
	que = &Queue{
		cfg: cfg,
		wtl: newWaitList(),
	}
	return que, que.stop
}

// Wait returns nil once try has claimed a slot, at once or after some time in the queue. try reports whether it
// claimed a slot; it runs under the queue's lock, in this or another goroutine, must not block or call the queue, and
// is not called again after it returned true. When ctx ends at the same time as a slot is claimed, Wait returns nil,
// and the caller must release the slot.
//
// Errors: *cardamompass.NotRunError with one of the reasons of this package.
func (que *Queue) Wait(ctx context.Context, itm Item, try func() (claimed bool)) (err error) {
	wtr, err := que.claimOrEnqueue(itm, try)
	if err != nil || wtr == nil {
		return err
	}
	// The deadline applies to the complete response, so the wait ends when there is not enough time left to run the request.
	tmr := que.cfg.Clock.NewTimer(itm.Deadline.Add(-itm.Expected).Sub(que.cfg.Clock.Now()))
	defer tmr.Stop()
	select {
	case err = <-wtr.done:
		return err
	case <-tmr.C():
		que.drop(wtr, ReasonLate)
	case <-ctx.Done():
		que.drop(wtr, ReasonCancelled)
	}
	return <-wtr.done
}

// SlotReleased implements SlotObserver. It calls try at most once for each distinct Requirement among the waiters.
func (que *Queue) SlotReleased() (woken bool) {
	now := que.cfg.Clock.Now()
	que.mut.Lock()
	defer que.mut.Unlock()
	return que.wakeOne(now)
}

// SlotsReleased gives free slots to waiters until none can use one. Call it after a share has grown. It returns the
// number of waiters that got a slot.
func (que *Queue) SlotsReleased() (count int) {
	now := que.cfg.Clock.Now()
	que.mut.Lock()
	defer que.mut.Unlock()
	for que.wakeOne(now) {
		count++
	}
	return count
}

// Len returns the number of waiting requests.
func (que *Queue) Len() (count int) {
	que.mut.Lock()
	defer que.mut.Unlock()
	return que.wtl.len()
}

// claimOrEnqueue adds a waiter for the request, or returns no waiter and no error when a slot was claimed at once.
func (que *Queue) claimOrEnqueue(itm Item, try func() (claimed bool)) (wtr *waiter, err error) {
	now := que.cfg.Clock.Now()
	que.mut.Lock()
	defer que.mut.Unlock()
	switch {
	case que.stopped:
		return nil, notRun(ReasonStopped)
	case itm.late(now):
		return nil, notRun(ReasonLate)
	case !que.wtl.hasPredecessor(itm) && try():
		return nil, nil
	}
	if que.wtl.len() >= que.cfg.Length {
		dsp := que.wtl.displaceable(itm.Class)
		if dsp == nil {
			return nil, notRun(ReasonFull)
		}
		que.finish(dsp, notRun(ReasonDisplaced))
	}
	wtr = &waiter{
		item: itm,
		try:  try,
		done: make(chan error, 1),
	}
	que.wtl.push(wtr)
	return wtr, nil
}

func (que *Queue) wakeOne(now time.Time) (woken bool) {
	var unmet []string
	que.wtl.each(func(wtr *waiter) (more bool) {
		if wtr.item.late(now) {
			que.finish(wtr, notRun(ReasonLate))
			return true
		}
		if slices.Contains(unmet, wtr.item.Requirement) {
			return true
		}
		if !wtr.try() {
			unmet = append(unmet, wtr.item.Requirement)
			return true
		}
		que.finish(wtr, nil)
		woken = true
		return false
	})
	return woken
}

// finish removes the waiter from the list and delivers its result. The caller must hold the lock.
func (que *Queue) finish(wtr *waiter, result error) {
	que.wtl.remove(wtr)
	wtr.done <- result
}

// drop removes the waiter with a reason unless its result has already been delivered.
func (que *Queue) drop(wtr *waiter, reason string) {
	que.mut.Lock()
	defer que.mut.Unlock()
	if wtr.elm != nil {
		que.finish(wtr, notRun(reason))
	}
}

func (que *Queue) setLength(length int) {
	que.mut.Lock()
	defer que.mut.Unlock()
	que.cfg.Length = length
}

func (que *Queue) stop() {
	que.mut.Lock()
	defer que.mut.Unlock()
	que.stopped = true
	que.wtl.each(func(wtr *waiter) (more bool) {
		que.finish(wtr, notRun(ReasonStopped))
		return true
	})
}

func notRun(reason string) (err *cardamompass.NotRunError) {
	return &cardamompass.NotRunError{
		Reason: reason,
	}
}
