package front

import (
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"cardamompass"
	"cardamompass/internal/edge/send"
	"cardamompass/internal/steer/budget"
	"cardamompass/internal/steer/hedge"
	"cardamompass/internal/steer/place"
)

// hedges is the state of a Front from which hedges are decided while there is a limit.
type hedges struct {
	mu      sync.Mutex
	tracker *hedge.Tracker
	limit   *hedge.Limit
	// refusals is when a request for a service was last refused for lack of a target, or ended its wait for one.
	refusals map[cardamompass.ServiceName]time.Time
}

func newHedges() (hds *hedges) {
	return &hedges{
		tracker:  hedge.NewTracker(),
		limit:    &hedge.Limit{},
		refusals: make(map[cardamompass.ServiceName]time.Time),
	}
}

// hedging is the state of the hedge of one request.
type hedging struct {
	// percent is the limit when the request arrived; 0 if there is none.
	percent int
	first   *attempt
	second  *attempt
	winner  *attempt // the one whose response goes to the caller
	// shed is set when a target refused the request.
	shed bool
	// outcome is "won", "lost" or the reason why the request was not hedged. It is empty for a request that was answered before the
	// time of the hedge, and without a limit.
	outcome string
}

func routeKey(rte *cardamompass.Route) (key string) { return rte.Host + rte.Prefix }

// HedgeShare returns the number of hedges of the last 10 s relative to that of the requests. ok is false without a limit.
func (frt *Front) HedgeShare() (share float64, ok bool) {
	if frt.cfg.Steering().HedgeLimitPercent == 0 {
		return 0, false
	}
	frt.hedges.mu.Lock()
	defer frt.hedges.mu.Unlock()
	return frt.hedges.limit.Share(frt.cfg.Clock.Now()), true
}

// estimate returns what is known about the latency of the route of the request.
func (dsp *dispatch) estimate() (est hedge.Estimate) {
	if dsp.hedging.percent == 0 || !dsp.exc.route.Idempotent {
		return est
	}
	hds := dsp.exc.frt.hedges
	hds.mu.Lock()
	defer hds.mu.Unlock()
	return hds.tracker.Estimate(routeKey(dsp.exc.route), dsp.hedging.percent)
}

// hedgeDelay returns the time after which an attempt that is sent now is hedged.
func (dsp *dispatch) hedgeDelay() (dur time.Duration) {
	return hedge.Delay(hedge.DelayInput{
		Percent:   dsp.hedging.percent,
		Objective: dsp.exc.route.LatencyObjective,
		Waited:    dsp.exc.waited,
		Median:    dsp.exc.frt.medianLatency(dsp.exc.route, 0),
		Estimate:  dsp.estimate(),
	})
}

// mayHedge reports whether a second attempt may start while the first is running.
func (dsp *dispatch) mayHedge() (ok bool) {
	frt := dsp.exc.frt
	now := frt.cfg.Clock.Now()
	inp := hedge.Input{
		Percent:    dsp.hedging.percent,
		Idempotent: dsp.exc.route.Idempotent,
		Tried:      len(dsp.tried),
		MaxTargets: dsp.exc.route.MaxTargets,
		Left:       dsp.msg.Deadline.Sub(now),
		Waited:     dsp.hedging.shed,
		Load:       func() float64 { return frt.cfg.Balancer.MeanLoad(dsp.exc.service, dsp.exc.route, now) },
		Usual:      dsp.estimate().Usual,
		Now:        now,
	}
	if inp.Percent > 0 {
		var anyWaits bool
		anyWaits, inp.OverShare = frt.waits.competition(dsp, now)
		inp.Waited = inp.Waited || dsp.exc.waited > 0 || anyWaits
		frt.hedges.mu.Lock()
		inp.LimitAllows = frt.hedges.limit.Allows(inp.Percent, now)
		inp.LastRefusal = frt.hedges.refusals[dsp.exc.service]
		frt.hedges.mu.Unlock()
	}
	rsn := hedge.Decide(inp)
	dsp.rejectHedge(rsn)
	return rsn == hedge.Allowed
}

// rejectHedge logs and counts the reason why the request is not hedged, if there is a limit.
func (dsp *dispatch) rejectHedge(rsn hedge.Reason) {
	if rsn == hedge.Allowed || dsp.hedging.percent == 0 {
		return
	}
	dsp.hedging.outcome = rsn.String()
	dsp.exc.log.Info("hedge not sent", zap.String("reason", rsn.String()))
	dsp.exc.frt.met.observeHedge(rsn.String())
}

// noteHedge processes the error of a hedge that was allowed but not sent.
func (dsp *dispatch) noteHedge(err error) {
	var ntg *noTargetError
	if errors.As(err, &ntg) {
		dsp.rejectHedge(hedge.NoTarget)
	}
}

// noteNoTarget records that no target can be used, or that the request has waited for one. A request that is refused has priority over
// hedges for the capacity that frees up.
func (dsp *dispatch) noteNoTarget(second bool, now time.Time) {
	if second || dsp.hedging.percent == 0 {
		return
	}
	hds := dsp.exc.frt.hedges
	hds.mu.Lock()
	defer hds.mu.Unlock()
	hds.refusals[dsp.exc.service] = now
}

// firstAttempt returns the first attempt for the choice of the target of a hedge; nil without a limit.
func (dsp *dispatch) firstAttempt() (fst *place.FirstAttempt) {
	if dsp.hedging.percent == 0 || dsp.hedging.first == nil {
		return nil
	}
	return &place.FirstAttempt{
		FailureDomain: dsp.hedging.first.chc.Instance.FailureDomain,
		Sent:          dsp.hedging.first.start,
	}
}

// takeExtra takes a token of the retry budget for a retry or hedge. A hedge under a limit needs a token of the limit as well.
func (dsp *dispatch) takeExtra(second bool, now time.Time) (ok bool) {
	bud := dsp.exc.frt.retryBudget(dsp.exc.service)
	if second && dsp.hedging.percent > 0 {
		rsn := dsp.exc.frt.hedges.take(dsp.hedging.percent, bud, now)
		dsp.rejectHedge(rsn)
		return rsn == hedge.Allowed
	}
	if !bud.TakeExtra(now) {
		dsp.exc.log.Info("repeat not allowed", zap.Bool("second", second), zap.String("reason", "budget"))
		return false
	}
	return true
}

// take takes a token of the limit and one of the retry budget, or none.
func (hds *hedges) take(percent int, bud *budget.Budget, now time.Time) (rsn hedge.Reason) {
	hds.mu.Lock()
	defer hds.mu.Unlock()
	switch {
	case !hds.limit.Take(percent, now):
		return hedge.LimitUsed
	case !bud.TakeExtra(now):
		hds.limit.Return(now)
		return hedge.NoBudget
	default:
		return hedge.Allowed
	}
}

// noteSent records an attempt that is about to be sent. Each request earns credit for hedges once, with its first attempt: a request that
// is refused earns none.
func (dsp *dispatch) noteSent(atm *attempt, second bool) {
	if second {
		dsp.hedging.second = atm
		return
	}
	counted := dsp.hedging.first != nil
	dsp.hedging.first = atm
	if counted || dsp.hedging.percent == 0 {
		return
	}
	hds := dsp.exc.frt.hedges
	hds.mu.Lock()
	defer hds.mu.Unlock()
	hds.limit.Request(dsp.hedging.percent, atm.start)
}

// recordLatency records the latency of an attempt other than a hedge. An attempt that was cancelled or that ran out of time took at least
// that long; one that failed says nothing about the latency of others.
func (dsp *dispatch) recordLatency(atm *attempt, second bool) {
	if second || dsp.hedging.percent == 0 || !dsp.exc.route.Idempotent {
		return
	}
	var fai *send.Failure
	censored := errors.As(atm.err, &fai) && (fai.Kind == send.KindCancelled || fai.Kind == send.KindTimeout)
	if !censored && (atm.err != nil || atm.rep.Status >= http.StatusInternalServerError) {
		return
	}
	now := dsp.exc.frt.cfg.Clock.Now()
	hds := dsp.exc.frt.hedges
	hds.mu.Lock()
	defer hds.mu.Unlock()
	hds.tracker.Record(routeKey(dsp.exc.route), now.Sub(atm.start), censored, now)
}

// countHedge counts a hedge that was sent, and the time for which it ran beside the first attempt.
func (dsp *dispatch) countHedge() {
	if dsp.hedging.second == nil {
		return
	}
	result := "lost"
	if dsp.hedging.winner == dsp.hedging.second {
		result = "won"
	}
	if dsp.hedging.percent > 0 {
		dsp.hedging.outcome = result
	}
	dsp.exc.frt.met.observeHedge(result)
	dsp.exc.frt.met.hedgeTime.Inc(dsp.exc.frt.cfg.Clock.Now().Sub(dsp.hedging.second.start).Milliseconds())
}
