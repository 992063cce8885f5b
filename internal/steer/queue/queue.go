// Package queue admits requests to the slots of a service within their deadlines.
//
// A Queue belongs to one service, or to one service and class where the classes have slots of their own. A request
// that finds no slot waits in the caller's own goroutine. The queue is bounded. Short requests go before long ones and
// equal ones in the order of arrival; in a full queue a short arrival takes the place of the latest long one. A
// request leaves the queue as soon as it cannot finish before its deadline. A request that leaves without a slot gets a
// *cardamompass.NotRunError, which is true because no target has seen it.
//
// Slots are claimed by the try function of each request, under the queue's lock, so that a decision and its claim are
// one step for all requests of a queue. Release of a slot wakes exactly one waiter that fits.
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
	// ReasonFull is the reason when the queue is full of requests that go first.
	ReasonFull = "queue is full"
	// ReasonDisplaced is the reason when a short request took the place of this long one.
	ReasonDisplaced = "queue is full and a short request took the place"
	// ReasonLate is the reason when the request cannot finish before its deadline any more.
	ReasonLate = "no room in any region before the deadline"
	// ReasonCancelled is the reason when the caller gave up.
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
	// Class orders the request.
	Class cardamompass.Class
	// Deadline is when the caller needs the whole answer; Expected is the usual time for it.
	Deadline time.Time
	Expected time.Duration
	// Requirement names what the request needs, for example its caller's region. When a slot does not fit a waiter, the queue
	// skips all other waiters with the same Requirement without trying them.
	Requirement string
}

// SlotObserver is told that a slot became free. Implementations are safe for concurrent use.
type SlotObserver interface {
	// SlotReleased hands the slot to at most one waiter that it fits and reports whether there was one.
	SlotReleased() (woken bool)
}

var _ SlotObserver = (*Queue)(nil)

// Queue is a bounded admission queue. It is safe for concurrent use.
type Queue struct {
	cfg Config
	mut sync.Mutex
	lin line
	off bool
}

// New returns a queue and a function that drops all waiters and refuses later requests.
func New(cfg Config) (que *Queue, stop func()) {
	que = &Queue{
		cfg: cfg,
		lin: newLine(),
	}
	return que, que.stop
}

// Wait returns nil once try has claimed a slot, at once or after some time in the queue. try reports whether it
// claimed a slot; it runs under the queue's lock, in this or another goroutine, must not block or call the queue, and
// is not called again after it returned true. When the caller gives up in the same moment as a slot is claimed, Wait
// returns nil and the caller must give back the slot.
//
// Errors: *cardamompass.NotRunError with one of the reasons of this package.
func (que *Queue) Wait(ctx context.Context, itm Item, try func() (claimed bool)) (err error) {
	wtr, err := que.enter(itm, try)
	if err != nil || wtr == nil {
		return err
	}
	// The deadline is for the whole answer, so the wait ends when there is no time left to run the request.
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

// SlotReleased implements Releaser. It costs one try for each distinct Fit among the waiters in the worst case.
func (que *Queue) SlotReleased() (woken bool) {
	now := que.cfg.Clock.Now()
	que.mut.Lock()
	defer que.mut.Unlock()
	return que.wakeOne(now)
}

// SlotsReleased hands out slots until no waiter fits any more, for use after a share has grown. It returns the number of
// waiters that got one.
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
	return que.lin.len()
}

// enter returns no waiter and no error when a slot was claimed at once.
func (que *Queue) enter(itm Item, try func() (claimed bool)) (wtr *waiter, err error) {
	now := que.cfg.Clock.Now()
	que.mut.Lock()
	defer que.mut.Unlock()
	switch {
	case que.off:
		return nil, notRun(ReasonStopped)
	case itm.late(now):
		return nil, notRun(ReasonLate)
	case !que.lin.ahead(itm) && try():
		return nil, nil
	}
	if que.lin.len() >= que.cfg.Length {
		vic := que.lin.victim(itm.Class)
		if vic == nil {
			return nil, notRun(ReasonFull)
		}
		que.finish(vic, notRun(ReasonDisplaced))
	}
	wtr = &waiter{
		item: itm,
		try:  try,
		done: make(chan error, 1),
	}
	que.lin.push(wtr)
	return wtr, nil
}

func (que *Queue) wakeOne(now time.Time) (woken bool) {
	var misfits []string
	que.lin.each(func(wtr *waiter) (more bool) {
		if wtr.item.late(now) {
			que.finish(wtr, notRun(ReasonLate))
			return true
		}
		if slices.Contains(misfits, wtr.item.Requirement) {
			return true
		}
		if !wtr.try() {
			misfits = append(misfits, wtr.item.Requirement)
			return true
		}
		que.finish(wtr, nil)
		woken = true
		return false
	})
	return woken
}

// finish takes the waiter out of the line and delivers its verdict. The lock is held.
func (que *Queue) finish(wtr *waiter, verdict error) {
	que.lin.remove(wtr)
	wtr.done <- verdict
}

// drop ends the wait unless a verdict was delivered in the meantime.
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
	que.off = true
	que.lin.each(func(wtr *waiter) (more bool) {
		que.finish(wtr, notRun(ReasonStopped))
		return true
	})
}

func notRun(reason string) (err *cardamompass.NotRunError) {
	return &cardamompass.NotRunError{
		Reason: reason,
	}
}
