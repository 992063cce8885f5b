package front

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"cardamompass"
	"cardamompass/internal/edge/send"
	"cardamompass/internal/steer/place"
)

const (
	// maxUnsent bounds the targets that can't be reached or are not at their address for one request. Nothing was sent to them.
	maxUnsent = 3
	// leastTime is the least time left for which a request is sent once more.
	leastTime = 50 * time.Millisecond
)

// job is the sending of one request to one target after the other, or to two at a time.
type job struct {
	exc    *exchange
	msg    send.Message
	object uint64
	// fingerprint identifies the content.
	fingerprint string
	tried       []cardamompass.InstanceID
	sent        int // requests that reached a target
	unsent      int // tries that ended before a target was reached
	// mayHaveRun is set once a target may have run the request.
	mayHaveRun bool
	fallback   *send.Reply // a failure that a target answered
}

// attempt is one sending.
type attempt struct {
	chc    place.Choice
	cancel context.CancelFunc
	rep    send.Reply
	err    error
	start  time.Time
}

// do returns the answer to the request. After an error mayHaveRun says what is certain.
func (run *job) do(ctx context.Context) (rep send.Reply, err error) {
	results := make(chan *attempt, 2*maxUnsent+run.exc.route.MaxTargets)
	under := make(map[*attempt]bool)
	defer func() {
		for atm := range under {
			atm.cancel()
		}
	}()
	launch := func(spare bool) (err error) {
		atm, err := run.launch(ctx, results, spare)
		if err == nil {
			under[atm] = true
		}
		return err
	}
	if err = launch(false); err != nil {
		return rep, err
	}
	hedge := run.exc.frt.cfg.Clock.NewTimer(run.hedgeDelay())
	defer hedge.Stop()
	for {
		select {
		case atm := <-results:
			delete(under, atm)
			done := run.settle(atm)
			if done {
				return atm.rep, nil
			}
			if len(under) > 0 {
				continue
			}
			if !run.again(ctx) || launch(false) != nil {
				return run.last(atm)
			}
		case <-hedge.C():
			if run.mayHedge() {
				_ = launch(true) // without a second target the first one is awaited
			}
		case <-ctx.Done():
			return rep, &send.Failure{
				Kind: send.KindCancelled,
				Err:  ctx.Err(),
			}
		}
	}
}

// last returns what is left when no target answered well: a failure of a target, or the failure of the last attempt.
func (run *job) last(atm *attempt) (rep send.Reply, err error) {
	if run.fallback != nil {
		return *run.fallback, nil
	}
	return rep, atm.err
}

// launch chooses a target and starts to send. What is sent beyond the first time is taken from the budget of repeats, once there is a
// target for it.
func (run *job) launch(ctx context.Context, results chan<- *attempt, spare bool) (atm *attempt, err error) {
	if callerLeft(run.exc.req.Context()) {
		return nil, errCallerLeft
	}
	frt := run.exc.frt
	now := frt.cfg.Clock.Now()
	chc, ok := frt.cfg.Balancer.Choose(place.Query{
		Service:      run.exc.service,
		AffinityHash: run.object,
		Route:        run.exc.route,
		Tried:        run.tried,
		MaxLoad:      maxLoad(run.exc.vew.Table, run.exc.route),
		Hedge:        spare,
		Now:          now,
	})
	if !ok {
		return nil, errors.Errorf("no target of %s can be used: %+v", run.exc.service, chc.Rejected)
	}
	if (spare || run.sent > 0) && !frt.retries(run.exc.service).TakeExtra(now) {
		run.exc.log.Info("repeat not allowed", zap.Bool("second", spare), zap.String("reason", "budget"))
		return nil, errors.New("the budget of repeats is used up")
	}
	frt.cfg.Balancer.RecordSent(chc.Instance.ID, now)
	run.tried = append(run.tried, chc.Instance.ID)
	sctx, cancel := context.WithDeadline(ctx, run.msg.Deadline)
	atm = &attempt{
		chc:    chc,
		cancel: cancel,
		start:  now,
	}
	run.exc.log.Info("request sent", zap.Bool("second", spare), zap.String("target", string(chc.Instance.ID)), zap.Int("rank", chc.Rank),
		zap.Float64("expected", chc.Expected), zap.Float64("load", chc.Load), zap.Duration("load-age", chc.LoadAge),
		zap.Bool("warm", chc.Warm), zap.Bool("cold", chc.Cold), zap.Inline(chc.Rejected))
	go func() {
		defer cancel()
		atm.rep, atm.err = frt.cfg.Sender.Do(sctx, chc.Instance, run.msg)
		frt.settled(run.object, atm)
		results <- atm
	}()
	return atm, nil
}

// settle takes the end of an attempt and reports whether its answer is the one to give.
func (run *job) settle(atm *attempt) (done bool) {
	var fai *send.Failure
	if atm.err == nil {
		run.sent++
		run.mayHaveRun = true
		run.exc.frt.clear(run.exc.vew, run.fingerprint)
		run.exc.frt.typicalTime(run.exc.route, run.exc.frt.cfg.Clock.Now().Sub(atm.start))
		if atm.rep.Status < http.StatusInternalServerError && !promise(atm.rep.Status) {
			return true
		}
		if !promise(atm.rep.Status) {
			run.fallback = &atm.rep
		}
		atm.err = &send.Failure{
			Kind:     send.KindBroken,
			Answered: true,
			Err:      errors.Errorf("the target answered %d", atm.rep.Status),
		}
		return false
	}
	errors.As(atm.err, &fai)
	run.exc.log.Info("attempt failed", zap.String("target", string(atm.chc.Instance.ID)), zap.String("kind", string(fai.Kind)),
		zap.Bool("not-run", fai.NotRun), zap.Error(fai.Err), zap.Duration("took", run.exc.frt.cfg.Clock.Now().Sub(atm.start)))
	if fai.NotRun && !fai.Answered {
		run.unsent++
		return false
	}
	run.sent++
	run.mayHaveRun = run.mayHaveRun || !fai.NotRun
	if fai.Kind == send.KindBroken && !fai.Answered {
		run.exc.frt.checkCrash(atm.chc.Instance, run.fingerprint)
	}
	return false
}

// promise reports whether callers take a status to mean that the request has not run. A target that means that says so in a header,
// and its answer never gets here.
func promise(status int) (ok bool) {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

// again reports whether the request may be sent once more after a failed attempt.
func (run *job) again(ctx context.Context) (ok bool) {
	switch {
	case ctx.Err() != nil || !run.hasTime():
		return false
	case run.mayHaveRun && !run.exc.route.Idempotent:
		return false
	default:
		return run.unsent < maxUnsent && run.sent < run.exc.route.MaxTargets
	}
}

// hasTime reports whether enough time is left to send the request once more.
func (run *job) hasTime() (ok bool) {
	return run.msg.Deadline.Sub(run.exc.frt.cfg.Clock.Now()) >= leastTime
}

// settled tells the board what became of an attempt.
func (frt *Front) settled(object uint64, atm *attempt) {
	out := place.Outcome{
		Instance:     atm.chc.Instance.ID,
		AffinityHash: object,
		Load:         atm.rep.Stated.Load,
	}
	var fai *send.Failure
	if errors.As(atm.err, &fai) {
		out.Result = resultOf(fai)
		out.Load = fai.Stated.Load
	} else if atm.rep.Status >= http.StatusInternalServerError {
		out.Result = place.ResultFailed
	}
	frt.cfg.Balancer.RecordOutcome(out, frt.cfg.Clock.Now())
	if out.Load != nil {
		frt.cfg.Stated(out.Instance, *out.Load)
	}
	frt.met.attempt(out.Result)
}

func resultOf(fai *send.Failure) (res place.Result) {
	switch fai.Kind {
	case send.KindShed:
		return place.ResultShed
	case send.KindOther:
		return place.ResultGone
	case send.KindConnect, send.KindRefused:
		return place.ResultUnreachable
	case send.KindTimeout:
		return place.ResultSilent
	case send.KindCancelled:
		return place.ResultDropped
	case send.KindBroken, send.KindGarbled:
		return place.ResultFailed
	default:
		return place.ResultFailed
	}
}
