package engine

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"

	"cardamompass"
	"cardamompass/internal/edge/dump"
	"cardamompass/internal/steer/budget"
	"cardamompass/internal/steer/guard"
	"cardamompass/internal/steer/queue"
)

// maxRejections bounds the rejected targets in the dump of one decision.
const maxRejections = 16

// maxAttempts bounds the attempts of one request, not counting hedges.
const maxAttempts = 4

// hedgeTriesPerDelay is the number of hedge tries for each hedge delay when there was no capacity for a hedge. Slots become free
// and taken again within a service time, and a retry only after a complete delay would leave attempts on stragglers for several
// delays.
const hedgeTriesPerDelay = 8

// reserveRetryInterval is the time after which a suspect request tries again to reserve a target that another entry VM has
// reserved. That reservation ends within a service time.
const reserveRetryInterval = 10 * time.Millisecond

// Execute runs a request on a target and returns the response, which the caller must close.
func (eng *Engine) Execute(ctx context.Context, req cardamompass.Request) (ans cardamompass.Response, err error) {
	if _, err := eng.Service(req.Service); err != nil {
		return ans, err
	}
	pln := eng.plan.Load()
	rqt := &request{
		eng: eng,
		pln: pln,
		sta: pln.services[req.Service],
		req: req,
		key: guard.KeyOf(&req),
	}
	if rqt.sta.svc.AlwaysIdempotent {
		rqt.req.Idempotent = true
	}
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	began := eng.cfg.Clock.Now()
	rqt.sta.retry.Request(began)
	rqt.sta.hedge.Request(began)
	rec := dump.Decision{
		RequestID:    req.ID,
		Service:      req.Service,
		CallerRegion: req.CallerRegion,
		At:           began,
	}
	if eng.cfg.Naive {
		ans, err = rqt.runNaive(ctx)
	} else {
		ans, err = rqt.run(ctx, &rec)
	}
	eng.record(rqt, &rec, err, eng.cfg.Clock.Now().Sub(began))
	if err != nil {
		cancel()
		return cardamompass.Response{}, err
	}
	ans.Body = &cancelBody{
		ReadCloser: ans.Body,
		cancel:     cancel,
	}
	return ans, nil
}

// run makes attempts until one succeeds or no further one is allowed.
func (rqt *request) run(ctx context.Context, rec *dump.Decision) (ans cardamompass.Response, err error) {
	for num := 0; ; num++ {
		clm, err := rqt.claim(ctx)
		if err != nil {
			return ans, rqt.finalError(err)
		}
		rst := rqt.attemptWithHedge(ctx, clm, rec)
		if rst.err == nil {
			return rst.ans, nil
		}
		var nrn *cardamompass.NotRunError
		if !errors.As(rst.err, &nrn) {
			rqt.mayHaveRun = true
		}
		if !rqt.mayRetry(ctx, num, nrn != nil) {
			return ans, rqt.finalError(rst.err)
		}
		rqt.sta.scope.Counter("retries").Inc(1)
	}
}

// mayRetry reports whether another attempt may follow the failed attempt with number num.
func (rqt *request) mayRetry(ctx context.Context, num int, notRun bool) bool {
	if num+1 >= maxAttempts || ctx.Err() != nil || !notRun && !rqt.req.Idempotent {
		return false
	}
	return rqt.sta.retry.TakeExtra(rqt.eng.cfg.Clock.Now())
}

// finalError returns err, or an UnknownOutcomeError if err says that the request did not run but an earlier attempt may have run.
func (rqt *request) finalError(err error) error {
	var nrn *cardamompass.NotRunError
	if !errors.As(err, &nrn) || !rqt.mayHaveRun {
		return err
	}
	return &cardamompass.UnknownOutcomeError{
		Reason: "an earlier attempt may have run; then: " + nrn.Reason,
		Target: rqt.tried[len(rqt.tried)-1],
	}
}

// claim waits for a claim for the next attempt. For a suspect request it also reserves the target across all entry VMs. Errors:
// NotRunError.
func (rqt *request) claim(ctx context.Context) (clm *claim, err error) {
	for {
		clm, err = rqt.waitForClaim(ctx)
		if err != nil || !clm.suspect || rqt.reserve(ctx, clm) {
			return clm, err
		}
		rqt.tried = rqt.tried[:len(rqt.tried)-1] // no attempt was made
		rqt.withdraw(clm)
		_ = cardamompass.Sleep(ctx, rqt.eng.cfg.Clock, reserveRetryInterval) // waitForClaim handles the end of ctx
	}
}

// reserve reserves the target of a suspect request's claim.
func (rqt *request) reserve(ctx context.Context, clm *claim) (ok bool) {
	release, ok := rqt.eng.cfg.Reserve(ctx, clm.target.ID, rqt.req.Deadline.Sub(rqt.eng.cfg.Clock.Now()))
	if ok {
		clm.endReservation = release
	}
	return ok
}

// waitForClaim queues the request until it has a claim. Errors: NotRunError.
func (rqt *request) waitForClaim(ctx context.Context) (clm *claim, err error) {
	requirement := string(rqt.req.CallerRegion)
	if len(rqt.tried) > 0 {
		// A retry needs a different target than the other requests of its region.
		requirement = requirement + "/" + rqt.key.String()
	}
	err = rqt.sta.queue.Wait(ctx, queue.Item{
		Class:       rqt.sta.svc.Class,
		Deadline:    rqt.req.Deadline,
		Expected:    rqt.eng.cfg.Tracker.Latency(rqt.req.Service).Usual,
		Requirement: requirement,
	}, func() (claimed bool) {
		clm, claimed = rqt.tryClaim()
		claimed = claimed || rqt.guardRefusal.Action == guard.Refuse
		if !claimed {
			rqt.eng.wakeQueueRetries()
		}
		return claimed
	})
	switch {
	case rqt.guardRefusal.Action == guard.Refuse:
		return nil, &cardamompass.NotRunError{
			Reason: rqt.guardRefusal.Reason,
		}
	case err != nil:
		return nil, err
	case ctx.Err() != nil:
		// The caller cancelled the request while the slot was being claimed.
		rqt.withdraw(clm)
		return nil, &cardamompass.NotRunError{
			Reason: queue.ReasonLate,
		}
	}
	rqt.tried = append(rqt.tried, clm.target.ID)
	return clm, nil
}

// attemptWithHedge makes one attempt and, if that is slow and a hedge is allowed, a second one. The first response is returned and
// the other attempt is cancelled.
func (rqt *request) attemptWithHedge(ctx context.Context, clm *claim, rec *dump.Decision) (rst result) {
	if !rqt.req.Idempotent || rqt.sta.svc.Class != cardamompass.ClassShort || clm.suspect {
		rst = rqt.attempt(ctx, clm)
		rqt.noteAttempt(rec, rst)
		return rst
	}
	results := make(chan result, 2)
	firstCtx, cancelFirst := context.WithCancel(ctx)
	defer cancelFirst()
	hedgeCtx, cancelHedge := context.WithCancel(ctx)
	defer cancelHedge()
	rqt.eng.wtg.Go(func() { results <- rqt.attempt(firstCtx, clm) })
	lat := rqt.eng.cfg.Tracker.Latency(rqt.req.Service)
	delay := budget.HedgeDelay(lat.P95, lat.Usual)
	tmr := rqt.eng.cfg.Clock.NewTimer(delay)
	defer func() { tmr.Stop() }()
	running := 1
	for {
		select {
		case rst = <-results:
			running--
			rqt.noteAttempt(rec, rst)
			if rst.err == nil || running == 0 {
				clm.hedgeWon.Store(rst.clm.hedge)
				return rst
			}
			var nrn *cardamompass.NotRunError
			rqt.mayHaveRun = rqt.mayHaveRun || !errors.As(rst.err, &nrn)
		case <-tmr.C():
			hdg, ok := rqt.tryHedge(clm, delay)
			if !ok {
				if running == 1 {
					tmr = rqt.eng.cfg.Clock.NewTimer(max(budget.MinHedgeDelay, delay/hedgeTriesPerDelay))
				}
				continue
			}
			running++
			rqt.eng.wtg.Go(func() { results <- rqt.attempt(hedgeCtx, hdg) })
		}
	}
}

// tryHedge claims a second target for a slow attempt if the budget allows a hedge.
func (rqt *request) tryHedge(clm *claim, delay time.Duration) (hdg *claim, ok bool) {
	now := rqt.eng.cfg.Clock.Now()
	inp := budget.HedgeInput{
		Idempotent:  rqt.req.Idempotent,
		Class:       rqt.sta.svc.Class,
		Age:         now.Sub(clm.began),
		Delay:       delay,
		Left:        rqt.req.Deadline.Sub(now),
		Usual:       rqt.eng.cfg.Tracker.Latency(rqt.req.Service).Usual,
		HasCapacity: rqt.sta.queue.Len() == 0,
	}
	if budget.DecideHedge(inp) != budget.HedgeAllowed {
		return nil, false
	}
	hdg, ok = rqt.claimExcluding(rqt.tried)
	if !ok {
		return nil, false
	}
	if hdg.suspect || rqt.sta.hedge.TryHedge(inp, now) != budget.HedgeAllowed {
		rqt.withdraw(hdg)
		return nil, false
	}
	hdg.hedge = true
	rqt.tried = append(rqt.tried, hdg.target.ID)
	rqt.sta.scope.Counter("hedges").Inc(1)
	return hdg, true
}

// noteAttempt adds an attempt to the record of the decision.
func (rqt *request) noteAttempt(rec *dump.Decision, rst result) {
	att := dump.Attempt{
		Target:   rst.clm.target.ID,
		Region:   rst.clm.target.Region,
		Reason:   rst.clm.reason,
		Hedge:    rst.clm.hedge,
		Result:   string(cardamompass.OutcomeAnswered),
		Duration: rqt.eng.cfg.Clock.Now().Sub(rst.clm.began).String(),
	}
	if rst.err != nil {
		att.Result = rst.err.Error()
	}
	rec.Attempts = append(rec.Attempts, att)
}

// record adds the decision to the dump and updates the metrics.
func (eng *Engine) record(rqt *request, rec *dump.Decision, err error, took time.Duration) {
	rec.Duration = took.String()
	rec.Outcome = OutcomeOf(err)
	if err != nil {
		rec.Reason = err.Error()
		for _, vdt := range rqt.rejected.Regions {
			rec.Rejected = append(rec.Rejected, dump.Rejection{
				Name:   string(vdt.Region),
				Reason: vdt.Reason.String(),
			})
		}
		for _, rej := range rqt.rejected.Rejections[:min(len(rqt.rejected.Rejections), maxRejections)] {
			rec.Rejected = append(rec.Rejected, dump.Rejection{
				Name:   string(rej.Target),
				Reason: rej.Reason.String(),
			})
		}
	}
	eng.cfg.Recent.Add(*rec)
	rqt.sta.latency.RecordDuration(took)
	rqt.sta.scope.Tagged(map[string]string{
		"outcome": string(rec.Outcome),
	}).Counter("requests").Inc(1)
}

// OutcomeOf returns the outcome that corresponds to an error of Execute, OutcomeAnswered for nil.
func OutcomeOf(err error) cardamompass.Outcome {
	var nrn *cardamompass.NotRunError
	var inv *cardamompass.InvalidError
	switch {
	case err == nil:
		return cardamompass.OutcomeAnswered
	case errors.As(err, &nrn):
		return cardamompass.OutcomeNotRun
	case errors.As(err, &inv):
		return cardamompass.OutcomeInvalid
	default:
		return cardamompass.OutcomeUnknown
	}
}

// cancelBody is a response body that cancels the request's context when it is closed.
type cancelBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (cbd *cancelBody) Close() (err error) {
	err = cbd.ReadCloser.Close()
	cbd.cancel()
	return err
}
