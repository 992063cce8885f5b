package front

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"cardamompass"
	"cardamompass/internal/edge/send"
	"cardamompass/internal/steer/hedge"
	"cardamompass/internal/steer/place"
	"cardamompass/internal/steer/wait"
)

const (
	// maxUnsentAttempts bounds the attempts of one request that end before anything is sent: targets that can't be reached or whose
	// address has another instance.
	maxUnsentAttempts = 3
	// minRetryTime is the least remaining time with which a request is retried or hedged.
	minRetryTime = hedge.MinTime
)

// dispatch sends one request to one target after the other, or to two at a time when the first is hedged.
type dispatch struct {
	exc          *exchange
	msg          send.Message
	affinityHash uint64
	// fingerprint identifies the content of the request.
	fingerprint string
	tried       []cardamompass.InstanceID
	sent        int // attempts that reached a target
	unsent      int // attempts that ended before they reached a target
	// mayHaveRun is set once a target may have run the request.
	mayHaveRun bool
	// returned is set until the request has a place if it counts as that of a caller that was told to return.
	returned bool
	// refusal is that of the queue of waiting requests, if it refused the request.
	refusal  *wait.Refusal
	fallback *send.Reply // error response of a target, used when no better response comes
	results  chan *attempt
	ended    chan struct{} // closed when no more results are received
	hedging  hedging
	// answered is set at the end if a target has answered.
	answered atomic.Bool
	// tokenAt is when the token of a quota was taken that the request holds, zero if it holds none; tokenTeam is the team that it was taken
	// from. The team of the request may change with the table.
	tokenAt   time.Time
	tokenTeam cardamompass.TeamName
}

// noTargetError reports that no target can be used now.
type noTargetError struct {
	service cardamompass.ServiceName
	choice  place.Choice // holds the reasons
}

func (err *noTargetError) Error() string {
	return fmt.Sprintf("no target of %s can be used: %+v", err.service, err.choice.Rejected)
}

// attempt is one sending of the request to one target.
type attempt struct {
	chc    place.Choice
	cancel context.CancelFunc
	rep    send.Reply
	err    error
	start  time.Time
}

// run returns the response to the request. After an error mayHaveRun tells whether the request may have run.
func (dsp *dispatch) run(ctx context.Context) (rep send.Reply, err error) {
	dsp.results, dsp.ended = make(chan *attempt), make(chan struct{})
	inFlight := make(map[*attempt]bool)
	defer func() { dsp.end(inFlight, err) }()
	launch := func(second bool) (err error) {
		atm, err := dsp.launch(ctx, second)
		if err == nil {
			inFlight[atm] = true
		}
		return err
	}
	if err = launch(false); err != nil {
		return rep, err
	}
	tmr := dsp.exc.frt.cfg.Clock.NewTimer(dsp.hedgeDelay())
	defer func() { tmr.Stop() }()
	for {
		select {
		case atm := <-dsp.results:
			delete(inFlight, atm)
			if dsp.handleResult(atm) {
				if dsp.fallback != nil {
					dsp.fallback.Release()
				}
				return atm.rep, nil
			}
			if len(inFlight) > 0 {
				continue
			}
			if !dsp.mayRetry(ctx) {
				return dsp.finalResult(atm, nil)
			}
			waited := dsp.exc.waited
			if err = launch(false); err != nil {
				return dsp.finalResult(atm, err)
			}
			if dsp.exc.waited > waited && dsp.hedging.second == nil { // the time of the hedge may have passed during the wait
				tmr.Stop()
				tmr = dsp.exc.frt.cfg.Clock.NewTimer(dsp.hedgeDelay())
			}
		case <-tmr.C():
			if dsp.mayHedge() {
				dsp.noteHedge(launch(true)) // if no second target can be used, the first attempt goes on alone
			}
		case <-ctx.Done():
			return rep, &send.Failure{
				Kind: send.KindCancelled,
				Err:  ctx.Err(),
			}
		}
	}
}

// end cancels the attempts in flight and releases what is not needed for the result.
func (dsp *dispatch) end(inFlight map[*attempt]bool, err error) {
	dsp.answered.Store(err == nil)
	close(dsp.ended)
	if len(inFlight) == 0 { // an attempt that is cancelled may reach its target
		dsp.returnToken()
	}
	for atm := range inFlight {
		atm.cancel()
	}
	dsp.countHedge()
	if dsp.fallback != nil && err != nil {
		dsp.fallback.Release()
	}
}

// finalResult returns the result when no further attempt is made: an error response of a target if there is one, else the error of
// the last attempt. launchErr is the error of the attempt that did not start; a denial is the result if the request has not run.
func (dsp *dispatch) finalResult(atm *attempt, launchErr error) (rep send.Reply, err error) {
	var den *deniedError
	var qta *quotaError
	if !dsp.mayHaveRun && (errors.As(launchErr, &den) || errors.As(launchErr, &qta)) {
		return rep, launchErr
	}
	if dsp.fallback != nil {
		return *dsp.fallback, nil
	}
	return rep, atm.err
}

// launch chooses a target and starts an attempt. Retries and hedges are taken from the retry budget, but only once a target is
// found, so that requests without a usable target don't use up the budget.
func (dsp *dispatch) launch(ctx context.Context, second bool) (atm *attempt, err error) {
	if callerDisconnected(dsp.exc.req.Context()) {
		return nil, errCallerDisconnected
	}
	if err = dsp.exc.checkAgain(); err != nil {
		return nil, err
	}
	if len(dsp.tried) > 0 {
		if err = dsp.checkContentAgain(); err != nil {
			return nil, err
		}
	}
	if !second {
		if err = dsp.takeToken(); err != nil {
			return nil, err
		}
	}
	frt := dsp.exc.frt
	waiting := !second && frt.waits.active()
	chc, now, err := dsp.choose(ctx, second, waiting)
	if err != nil {
		return nil, err
	}
	if waiting {
		if err = dsp.afterWait(chc); err != nil {
			frt.waits.giveBack(dsp, chc)
			return nil, err
		}
	}
	if (second || dsp.sent > 0) && !dsp.takeExtra(second, now) {
		if waiting {
			frt.waits.giveBack(dsp, chc)
		}
		return nil, errors.New("retry budget exhausted")
	}
	if !waiting {
		frt.cfg.Balancer.RecordSent(chc.Instance.ID, now)
	}
	dsp.tried = append(dsp.tried, chc.Instance.ID)
	sctx, cancel := context.WithDeadline(ctx, dsp.msg.Deadline)
	atm = &attempt{
		chc:    chc,
		cancel: cancel,
		start:  now,
	}
	dsp.noteSent(atm, second)
	dsp.exc.log.Info("request sent", zap.Bool("second", second), zap.String("target", string(chc.Instance.ID)), zap.Int("rank", chc.Rank),
		zap.Float64("expected", chc.Expected), zap.Float64("load", chc.Load), zap.Duration("load-age", chc.LoadAge),
		zap.Bool("warm", chc.Warm), zap.Bool("cold", chc.Cold), zap.Inline(chc.Rejected))
	msg := dsp.msg
	msg.Team = dsp.exc.targetTeam()
	go func() {
		defer cancel()
		atm.rep, atm.err = frt.cfg.Sender.Do(sctx, chc.Instance, msg)
		frt.reportAttempt(dsp.affinityHash, atm)
		dsp.noteEnd(atm)
		dsp.recordLatency(atm, second)
		select {
		case dsp.results <- atm:
		case <-dsp.ended:
			atm.rep.Release()
		}
	}()
	return atm, nil
}

// afterWait repeats the checks before a send for a request that may have waited for the place of chc. The team may have got other home
// regions since; the request is then refused, since its place was chosen for the former ones.
func (dsp *dispatch) afterWait(chc place.Choice) (err error) {
	if err = dsp.exc.checkAgain(); err != nil {
		return err
	}
	if dsp.exc.waited > 0 {
		if err = dsp.checkContentAgain(); err != nil {
			return err
		}
	}
	if !dsp.exc.team.AllowsRegion(chc.Instance.Region) {
		return dsp.noTarget(place.Choice{
			Rejected: place.Rejected{
				Away: 1,
			},
		})
	}
	return dsp.takeToken()
}

// choose returns a target for the request and the time of the choice. If waiting is set, it may wait for one, and the place there is
// recorded as taken.
func (dsp *dispatch) choose(ctx context.Context, second, waiting bool) (chc place.Choice, now time.Time, err error) {
	frt := dsp.exc.frt
	if waiting {
		chc, err = frt.waits.choose(ctx, dsp)
		now = frt.cfg.Clock.Now()
		if err != nil || dsp.exc.waited > 0 {
			dsp.noteNoTarget(second, now)
		}
		return chc, now, err
	}
	now = frt.cfg.Clock.Now()
	chc, ok := frt.cfg.Balancer.Choose(dsp.query(second, now))
	if !ok {
		dsp.noteNoTarget(second, now)
		return chc, now, dsp.noTarget(chc)
	}
	return chc, now, nil
}

// handleResult processes the end of an attempt and reports whether its response goes to the caller.
func (dsp *dispatch) handleResult(atm *attempt) (done bool) {
	var fai *send.Failure
	if atm.err == nil {
		dsp.sent++
		dsp.mayHaveRun = true
		dsp.exc.frt.noteSurvived(dsp.fingerprint, atm.rep.Status)
		dsp.exc.frt.medianLatency(dsp.exc.route, dsp.exc.frt.cfg.Clock.Now().Sub(atm.start))
		if atm.rep.Status < http.StatusInternalServerError && !impliesNotRun(atm.rep.Status) {
			dsp.hedging.winner = atm
			return true
		}
		dsp.keepFallback(&atm.rep)
		atm.err = &send.Failure{
			Kind:           send.KindBroken,
			HeaderReceived: true,
			Err:            errors.Errorf("target responded with status %d", atm.rep.Status),
		}
		return false
	}
	errors.As(atm.err, &fai)
	dsp.hedging.shed = dsp.hedging.shed || fai.Kind == send.KindShed
	dsp.exc.log.Info("attempt failed", zap.String("target", string(atm.chc.Instance.ID)), zap.String("kind", string(fai.Kind)),
		zap.Bool("not-run", fai.NotRun), zap.Error(fai.Err), zap.Duration("took", dsp.exc.frt.cfg.Clock.Now().Sub(atm.start)))
	if fai.NotRun && !fai.HeaderReceived {
		dsp.unsent++
		return false
	}
	dsp.sent++
	dsp.mayHaveRun = dsp.mayHaveRun || !fai.NotRun
	return false
}

// keepFallback keeps an error response in place of an earlier one, unless its status promises what it must not.
func (dsp *dispatch) keepFallback(rep *send.Reply) {
	if impliesNotRun(rep.Status) {
		rep.Release()
		return
	}
	if dsp.fallback != nil {
		dsp.fallback.Release()
	}
	dsp.fallback = rep
}

// impliesNotRun reports whether callers take a status to mean that the request has not run. A target that means it says so in a
// header, and send reports such a response as a Failure.
func impliesNotRun(status int) (ok bool) {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

// mayRetry reports whether the request may be retried after a failed attempt.
func (dsp *dispatch) mayRetry(ctx context.Context) (ok bool) {
	switch {
	case ctx.Err() != nil || !dsp.hasTime():
		return false
	case dsp.mayHaveRun && !dsp.exc.route.Idempotent:
		return false
	default:
		return dsp.unsent < maxUnsentAttempts && dsp.sent < dsp.exc.route.MaxTargets
	}
}

// hasTime reports whether enough time is left for another attempt.
func (dsp *dispatch) hasTime() (ok bool) {
	return dsp.msg.Deadline.Sub(dsp.exc.frt.cfg.Clock.Now()) >= minRetryTime
}

// reportAttempt reports the result of an attempt to the balancer and the metrics.
func (frt *Front) reportAttempt(affinityHash uint64, atm *attempt) {
	out := place.Outcome{
		Instance:     atm.chc.Instance.ID,
		StartMillis:  atm.chc.Instance.StartMillis,
		AffinityHash: affinityHash,
	}
	inf := atm.rep.Info
	var fai *send.Failure
	if errors.As(atm.err, &fai) {
		out.Result = resultOf(fai)
		inf = fai.Info
	} else if atm.rep.Status >= http.StatusInternalServerError {
		out.Result = place.ResultFailed
	}
	out.Load, out.Leaving, out.Backoff = inf.Load, inf.Leaving, inf.Backoff
	news := frt.cfg.Balancer.RecordOutcome(out, frt.cfg.Clock.Now())
	if out.Load != nil {
		frt.cfg.OnLoad(out.Instance, *out.Load)
	}
	frt.waits.recordEnd(atm.chc.Instance.Service, out.Result)
	frt.reportNews(atm.chc.Instance, inf, news)
	frt.met.observeAttempt(out.Result)
}

// reportNews logs what an instance has asked of this VM, once for each change, and passes on that it is leaving.
func (frt *Front) reportNews(ins cardamompass.Instance, inf cardamompass.ResponseInfo, news place.News) {
	log := frt.cfg.Log.With(zap.String("target", string(ins.ID)), zap.String("service", string(ins.Service)))
	if news.Leaving {
		log.Info("target leaving", zap.String("source", "response"))
		frt.met.leaving.Inc(1)
		frt.cfg.OnLeaving(ins)
	}
	if news.Backoff {
		log.Info("target backs off", zap.Duration("for", inf.Backoff))
		frt.met.backoffs.Inc(1)
	}
	if inf.BackoffErr != nil {
		log.Warn("back-off not as stated", zap.Duration("for", inf.Backoff), zap.Error(inf.BackoffErr))
	}
}

func resultOf(fai *send.Failure) (res place.Result) {
	switch fai.Kind {
	case send.KindShed:
		return place.ResultShed
	case send.KindWrongInstance:
		return place.ResultGone
	case send.KindConnect, send.KindRefused:
		return place.ResultUnreachable
	case send.KindTimeout:
		return place.ResultSilent
	case send.KindCancelled, send.KindWithheld:
		return place.ResultDropped
	case send.KindBroken, send.KindInvalidResponse:
		return place.ResultFailed
	default:
		return place.ResultFailed
	}
}
