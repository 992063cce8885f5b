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

// maxRejections bounds the rejected targets that are kept for the dump of one decision.
const maxRejections = 16

// maxAttempts bounds the attempts of one request, hedges not counted.
const maxAttempts = 4

// hedgeTries is the number of tries in each hedge delay for a late attempt that had no room for its hedge. Rooms come and go
// within a service time, so that a second try only after a whole delay leaves attempts on stragglers for several delays.
const hedgeTries = 8

// reservePause is the time after which a suspect asks again for a target that is reserved for another entry VM. The other
// suspect ends within a service time.
const reservePause = 10 * time.Millisecond

// Execute runs a request on a target and returns its answer, which the caller must close.
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

// run makes attempts until one is answered or no further one is allowed.
func (rqt *request) run(ctx context.Context, rec *dump.Decision) (ans cardamompass.Response, err error) {
	for num := 0; ; num++ {
		clm, err := rqt.claim(ctx)
		if err != nil {
			return ans, rqt.refusal(err)
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
			return ans, rqt.refusal(rst.err)
		}
		rqt.sta.scope.Counter("retries").Inc(1)
	}
}

// mayRetry decides whether another attempt may follow the failed one with number num.
func (rqt *request) mayRetry(ctx context.Context, num int, notRun bool) bool {
	if num+1 >= maxAttempts || ctx.Err() != nil || !notRun && !rqt.req.Idempotent {
		return false
	}
	return rqt.sta.retry.TakeExtra(rqt.eng.cfg.Clock.Now())
}

// refusal returns err, or an UnknownOutcomeError if an earlier attempt may have run.
func (rqt *request) refusal(err error) error {
	var nrn *cardamompass.NotRunError
	if !errors.As(err, &nrn) || !rqt.mayHaveRun {
		return err
	}
	return &cardamompass.UnknownOutcomeError{
		Reason: "an earlier attempt may have run; then: " + nrn.Reason,
		Target: rqt.tried[len(rqt.tried)-1],
	}
}

// claim returns a claim for the next attempt. A suspect also has its target reserved among all entry VMs. Errors: NotRunError.
func (rqt *request) claim(ctx context.Context) (clm *claim, err error) {
	for {
		clm, err = rqt.wait(ctx)
		if err != nil || !clm.suspect || rqt.reserve(ctx, clm) {
			return clm, err
		}
		rqt.tried = rqt.tried[:len(rqt.tried)-1] // no attempt was made
		rqt.drop(clm)
		_ = cardamompass.Sleep(ctx, rqt.eng.cfg.Clock, reservePause) // wait notices the end of ctx
	}
}

// reserve reserves the target of a suspect's claim.
func (rqt *request) reserve(ctx context.Context, clm *claim) (ok bool) {
	release, ok := rqt.eng.cfg.Reserve(ctx, clm.target.ID, rqt.req.Deadline.Sub(rqt.eng.cfg.Clock.Now()))
	if ok {
		clm.unreserve = release
	}
	return ok
}

// wait queues the request until it has a claim. Errors: NotRunError.
func (rqt *request) wait(ctx context.Context) (clm *claim, err error) {
	fit := string(rqt.req.CallerRegion)
	if len(rqt.tried) > 0 {
		// A repeated request needs another target than the others of its region.
		fit = fit + "/" + rqt.key.String()
	}
	err = rqt.sta.queue.Wait(ctx, queue.Item{
		Class:       rqt.sta.svc.Class,
		Deadline:    rqt.req.Deadline,
		Expected:    rqt.eng.cfg.Tracker.Latency(rqt.req.Service).Usual,
		Requirement: fit,
	}, func() (claimed bool) {
		clm, claimed = rqt.tryClaim()
		claimed = claimed || rqt.refused.Action == guard.Refuse
		if !claimed {
			rqt.eng.wakeRetries()
		}
		return claimed
	})
	switch {
	case rqt.refused.Action == guard.Refuse:
		return nil, &cardamompass.NotRunError{
			Reason: rqt.refused.Reason,
		}
	case err != nil:
		return nil, err
	case ctx.Err() != nil:
		// The slot was claimed in the moment in which the caller gave up.
		rqt.drop(clm)
		return nil, &cardamompass.NotRunError{
			Reason: queue.ReasonLate,
		}
	}
	rqt.tried = append(rqt.tried, clm.target.ID)
	return clm, nil
}

// attemptWithHedge makes one attempt and, when that is late and a hedge is allowed, a second one. The first answer counts and
// the other attempt is cancelled.
func (rqt *request) attemptWithHedge(ctx context.Context, clm *claim, rec *dump.Decision) (rst result) {
	if !rqt.req.Idempotent || rqt.sta.svc.Class != cardamompass.ClassShort || clm.suspect {
		rst = rqt.attempt(ctx, clm)
		rqt.note(rec, rst)
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
			rqt.note(rec, rst)
			if rst.err == nil || running == 0 {
				clm.lost.Store(rst.clm.hedge)
				return rst
			}
			var nrn *cardamompass.NotRunError
			rqt.mayHaveRun = rqt.mayHaveRun || !errors.As(rst.err, &nrn)
		case <-tmr.C():
			hdg, ok := rqt.tryHedge(clm, delay)
			if !ok {
				if running == 1 {
					tmr = rqt.eng.cfg.Clock.NewTimer(max(budget.MinHedgeDelay, delay/hedgeTries))
				}
				continue
			}
			running++
			rqt.eng.wtg.Go(func() { results <- rqt.attempt(hedgeCtx, hdg) })
		}
	}
}

// tryHedge claims a second target for a late attempt if the budget allows a hedge.
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
	hdg, ok = rqt.claimBut(rqt.tried)
	if !ok {
		return nil, false
	}
	if hdg.suspect || rqt.sta.hedge.TryHedge(inp, now) != budget.HedgeAllowed {
		rqt.drop(hdg)
		return nil, false
	}
	hdg.hedge = true
	rqt.tried = append(rqt.tried, hdg.target.ID)
	rqt.sta.scope.Counter("hedges").Inc(1)
	return hdg, true
}

// note adds an attempt to the record of the decision.
func (rqt *request) note(rec *dump.Decision, rst result) {
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

// record keeps the decision for the dump and counts its outcome.
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

// OutcomeOf returns the outcome that an error of Execute stands for, answered for nil.
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

// cancelBody ends the request's context when the answer was read.
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
