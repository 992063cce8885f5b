package front

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"cardamompass"
	"cardamompass/internal/edge/send"
	"cardamompass/internal/steer/place"
	"cardamompass/internal/steer/wait"
)

const (
	// maxWaiting and maxWaitingBytes bound the requests to one service that wait at this VM. The smallest VMs get some tens of requests per
	// second, of which few wait longer than a second.
	maxWaiting      = 256
	maxWaitingBytes = 16 << 20
	// roomPollInterval is the interval at which waiting requests are tried again without an event. The estimated load of targets also
	// decreases with time.
	roomPollInterval = 20 * time.Millisecond
	// minPassInterval is the least time between two passes over the requests of a service. A pass over many requests
	// costs about 0.5 ms with 240 targets.
	minPassInterval = 5 * time.Millisecond
)

// waitRefusedError reports a request that has not run because it found no room in time.
type waitRefusedError struct {
	reason wait.Reason
	cause  error // the reasons for which no target could be used
}

func (err *waitRefusedError) Error() string {
	return "no room (" + string(err.reason) + "): " + err.cause.Error()
}

// Unwrap returns the cause.
func (err *waitRefusedError) Unwrap() error { return err.cause }

// waitRoom holds the waiting requests of all services. It is safe for concurrent use.
type waitRoom struct {
	frt  *Front
	wake chan struct{}
	done chan struct{} // closed at the end
	stop sync.Once
	wtg  sync.WaitGroup
	// requests and bytes are the sums over all services.
	requests, bytes atomic.Int64

	mu       sync.Mutex
	services map[cardamompass.ServiceName]*serviceQueue
	waiting  int
	polling  bool
	stopped  bool
}

// serviceQueue is the queue of one service. Its lock makes the choice of a target and its record one step, so that requests get room in
// their order.
type serviceQueue struct {
	mu       sync.Mutex
	que      *wait.Queue
	waiters  map[*wait.Item]*waiter
	lastPass time.Time
	// ended is set when an attempt has ended since the last pass, so that there may be room that no waiting request was offered.
	ended bool
	stats wait.Stats // as last added to the metrics
}

// waiter is a request that waits.
type waiter struct {
	dsp    *dispatch
	cause  error           // of the wait
	result chan waitResult // of capacity 1
}

// waitResult is the end of a wait: a target at which the request has a place, or an error.
type waitResult struct {
	chc place.Choice
	err error
}

func newWaitRoom(frt *Front) (rom *waitRoom) {
	return &waitRoom{
		frt:      frt,
		wake:     make(chan struct{}, 1),
		done:     make(chan struct{}),
		services: make(map[cardamompass.ServiceName]*serviceQueue),
	}
}

// active reports whether requests may wait.
func (rom *waitRoom) active() (ok bool) {
	return rom.frt.cfg.Waiting != nil && rom.frt.cfg.Waiting()
}

// queue returns the queue of a service, and nil if there is none and create is not set.
func (rom *waitRoom) queue(svc cardamompass.ServiceName, create bool) (srq *serviceQueue) {
	rom.mu.Lock()
	defer rom.mu.Unlock()
	srq, ok := rom.services[svc]
	if ok || !create {
		return srq
	}
	srq = &serviceQueue{
		que: wait.New(wait.Config{
			MaxRequests: maxWaiting,
			MaxBytes:    maxWaitingBytes,
		}),
		waiters: make(map[*wait.Item]*waiter),
	}
	if rom.stopped {
		srq.que.Stop(rom.frt.cfg.Clock.Now())
	}
	rom.services[svc] = srq
	return srq
}

// choose returns a target for the request and records the place there as taken, at once or after a wait.
func (rom *waitRoom) choose(ctx context.Context, dsp *dispatch) (chc place.Choice, err error) {
	srq := rom.queue(dsp.exc.service, true)
	wtr, chc, err := rom.enter(srq, dsp)
	if wtr == nil {
		return chc, err
	}
	dsp.returnToken() // it is good for a short time only
	began := rom.frt.cfg.Clock.Now()
	defer func() { dsp.exc.waited += rom.frt.cfg.Clock.Now().Sub(began) }()
	rom.started()
	defer rom.ended()
	var res waitResult
	select {
	case res = <-wtr.result:
	case <-ctx.Done():
		res = rom.leave(srq, wtr, began)
	case <-dsp.exc.req.Context().Done(): // ctx of a request that is not idempotent outlasts its caller
		res = rom.leave(srq, wtr, began)
	}
	if res.err == nil && callerDisconnected(dsp.exc.req.Context()) {
		rom.giveBack(dsp, res.chc)
		return chc, errCallerDisconnected
	}
	return res.chc, res.err
}

// enter returns a place at a target, a refusal, or the waiter of a request that waits.
func (rom *waitRoom) enter(srq *serviceQueue, dsp *dispatch) (wtr *waiter, chc place.Choice, err error) {
	srq.mu.Lock()
	defer srq.mu.Unlock()
	now := rom.frt.cfg.Clock.Now()
	if dsp.sent+dsp.unsent == 0 {
		dsp.returned = srq.que.Arrive(dsp.flow(), now)
	}
	if len(srq.waiters) > 0 && (srq.ended || now.Sub(srq.lastPass) >= minPassInterval) {
		rom.pass(srq, now)
	}
	defer rom.updateMetrics(srq)
	req := dsp.waitRequest()
	qry := dsp.query(false, now)
	qry.MaxLoad = srq.que.Limit(req.Flow, qry.MaxLoad, now)
	chc, ok := rom.take(dsp, qry)
	if ok {
		srq.que.Started(req, now)
		return nil, chc, nil
	}
	err = dsp.noTarget(chc)
	if !dsp.mayWait(chc) {
		return nil, chc, err
	}
	itm, ref, displaced := srq.que.Add(req, now)
	if displaced != nil {
		rom.refuse(srq, *displaced)
	}
	if itm == nil {
		return nil, chc, rom.refusedError(dsp, ref, err)
	}
	wtr = &waiter{
		dsp:    dsp,
		cause:  err,
		result: make(chan waitResult, 1),
	}
	srq.waiters[itm] = wtr
	return wtr, chc, nil
}

// take chooses a target and records the place there as taken.
func (rom *waitRoom) take(dsp *dispatch, qry place.Query) (chc place.Choice, ok bool) {
	chc, ok = rom.frt.cfg.Balancer.Choose(qry)
	if ok {
		rom.frt.cfg.Balancer.RecordSent(chc.Instance.ID, qry.Now)
		dsp.returned = false
	}
	return chc, ok
}

// giveBack returns a place at a target to which nothing was sent.
func (rom *waitRoom) giveBack(dsp *dispatch, chc place.Choice) {
	rom.frt.cfg.Balancer.RecordOutcome(place.Outcome{
		Instance:     chc.Instance.ID,
		StartMillis:  chc.Instance.StartMillis,
		AffinityHash: dsp.affinityHash,
		Result:       place.ResultDropped,
	}, rom.frt.cfg.Clock.Now())
	rom.roomMayHaveAppeared()
}

// leave ends the wait of a request whose caller has left. A place that it got at the same moment is given back.
func (rom *waitRoom) leave(srq *serviceQueue, wtr *waiter, began time.Time) (res waitResult) {
	srq.mu.Lock()
	for itm, cnd := range srq.waiters {
		if cnd == wtr {
			srq.que.Remove(itm)
			delete(srq.waiters, itm)
		}
	}
	rom.updateMetrics(srq)
	srq.mu.Unlock()
	select {
	case res = <-wtr.result:
		if res.err == nil {
			rom.giveBack(wtr.dsp, res.chc)
		}
	default:
	}
	rom.frt.met.observeWaitEnd("caller-left", rom.frt.cfg.Clock.Now().Sub(began))
	return waitResult{
		err: &send.Failure{
			Kind:   send.KindCancelled,
			NotRun: true,
			Err:    errCallerDisconnected,
		},
	}
}

// pass offers room to the waiting requests and refuses those that must not wait longer. The caller holds the lock of srq.
func (rom *waitRoom) pass(srq *serviceQueue, now time.Time) {
	srq.lastPass, srq.ended = now, false
	for _, ref := range srq.que.Expire(now) {
		rom.refuse(srq, ref)
	}
	hopeless := make(map[*wait.Item]error)
	srq.que.Pass(now, func(itm *wait.Item) (ok bool) {
		dsp := srq.waiters[itm].dsp
		qry := dsp.query(false, now)
		qry.MaxLoad = srq.que.WaitLimit(itm, qry.MaxLoad, now)
		chc, ok := rom.take(dsp, qry)
		if ok {
			rom.frt.met.observeEstimate(itm.Estimate(), itm.Waited(now))
			rom.finish(srq, itm, waitResult{
				chc: chc,
			})
		} else if !dsp.mayWait(chc) {
			hopeless[itm] = dsp.noTarget(chc)
		}
		return ok
	})
	rom.endHopeless(srq, hopeless)
	rom.updateMetrics(srq)
}

// refuse ends the wait of a request with a refusal. The caller holds the lock of srq.
func (rom *waitRoom) refuse(srq *serviceQueue, ref wait.Refusal) {
	wtr := srq.waiters[ref.Item]
	rom.finish(srq, ref.Item, waitResult{
		err: rom.refusedError(wtr.dsp, ref, wtr.cause),
	})
}

// refusedError records the refusal of a request and returns its error.
func (rom *waitRoom) refusedError(dsp *dispatch, ref wait.Refusal, cause error) (err error) {
	rom.frt.met.observeWaitRefusal(ref.Reason)
	dsp.refusal = &ref
	return &waitRefusedError{
		reason: ref.Reason,
		cause:  cause,
	}
}

// finish ends the wait of a request. The caller holds the lock of srq.
func (rom *waitRoom) finish(srq *serviceQueue, itm *wait.Item, res waitResult) {
	outcome := "placed"
	if res.err != nil {
		outcome = "refused"
	}
	rom.frt.met.observeWaitEnd(outcome, itm.Waited(rom.frt.cfg.Clock.Now()))
	srq.waiters[itm].result <- res
	delete(srq.waiters, itm)
}

// recordEnd records that an attempt has ended and makes the waiting requests be tried again.
func (rom *waitRoom) recordEnd(svc cardamompass.ServiceName, res place.Result) {
	if !rom.active() {
		return
	}
	srq := rom.queue(svc, true)
	now := rom.frt.cfg.Clock.Now()
	srq.mu.Lock()
	defer srq.mu.Unlock()
	switch res {
	case place.ResultShed, place.ResultGone, place.ResultUnreachable: // held no slot
	default:
		srq.que.Ended(now)
	}
	srq.ended = true
	if len(srq.waiters) > 0 {
		rom.roomMayHaveAppeared() // a pass here would delay the response
	}
}

// roomMayHaveAppeared makes the waiting requests be tried again soon. It does not block.
func (rom *waitRoom) roomMayHaveAppeared() {
	select {
	case rom.wake <- struct{}{}:
	default:
	}
}

// started counts a request that begins to wait. The first one starts the polling.
func (rom *waitRoom) started() {
	rom.mu.Lock()
	defer rom.mu.Unlock()
	rom.waiting++
	if !rom.polling && !rom.stopped {
		rom.polling = true
		rom.wtg.Go(rom.poll)
	}
}

func (rom *waitRoom) ended() {
	rom.mu.Lock()
	defer rom.mu.Unlock()
	rom.waiting--
}

// poll tries the waiting requests again at an interval and after events, until none waits.
func (rom *waitRoom) poll() {
	for {
		rom.pause(minPassInterval, nil, nil)
		rom.pause(roomPollInterval-minPassInterval, rom.wake, rom.frt.cfg.Room)
		srqs, more := rom.snapshot()
		if !more {
			return
		}
		for _, srq := range srqs {
			srq.mu.Lock()
			if len(srq.waiters) > 0 {
				rom.pass(srq, rom.frt.cfg.Clock.Now())
			}
			srq.mu.Unlock()
		}
	}
}

// pause returns after a time, at an event, or when the requests that wait are refused.
func (rom *waitRoom) pause(dur time.Duration, wake, room <-chan struct{}) {
	tmr := rom.frt.cfg.Clock.NewTimer(dur)
	defer tmr.Stop()
	select {
	case <-tmr.C():
	case <-wake:
	case <-room:
	case <-rom.done:
	}
}

// snapshot returns the queues. more is false when no request waits; the polling then ends.
func (rom *waitRoom) snapshot() (srqs []*serviceQueue, more bool) {
	rom.mu.Lock()
	defer rom.mu.Unlock()
	rom.polling = rom.waiting > 0 && !rom.stopped
	for _, srq := range rom.services {
		srqs = append(srqs, srq)
	}
	return srqs, rom.polling
}

// refuseAll refuses all waiting requests and all that would wait later.
func (rom *waitRoom) refuseAll() {
	rom.mu.Lock()
	rom.stopped = true
	rom.mu.Unlock()
	rom.stop.Do(func() { close(rom.done) })
	srqs, _ := rom.snapshot()
	for _, srq := range srqs {
		srq.mu.Lock()
		for _, ref := range srq.que.Stop(rom.frt.cfg.Clock.Now()) {
			rom.refuse(srq, ref)
		}
		rom.updateMetrics(srq)
		srq.mu.Unlock()
	}
}

// close refuses all waiting requests and waits until the polling has ended.
func (rom *waitRoom) close() {
	rom.refuseAll()
	rom.wtg.Wait()
}
