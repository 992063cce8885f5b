package engine

import (
	"context"
	"sync/atomic"

	"github.com/pkg/errors"

	"cardamompass"
	"cardamompass/internal/edge/relay"
	"cardamompass/internal/steer/health"
	"cardamompass/internal/steer/route"
)

// naiveState is the round-robin position of the baseline.
type naiveState struct {
	turn atomic.Uint64
}

// runNaive is the baseline against which the steering is measured: round robin over the healthy targets of the caller's region, one
// retry of idempotent requests on any error, no shares, no hedges, no guard.
func (rqt *request) runNaive(ctx context.Context) (ans cardamompass.Response, err error) {
	for range 2 {
		ans, err = rqt.attemptNaive(ctx)
		if err == nil {
			return ans, nil
		}
		if !rqt.req.Idempotent {
			return ans, err
		}
	}
	return ans, err
}

func (rqt *request) attemptNaive(ctx context.Context) (ans cardamompass.Response, err error) {
	eng := rqt.eng
	now := eng.cfg.Clock.Now()
	snp := eng.cfg.Tracker.Snapshot(rqt.req.Service, now, route.Snapshot{})
	dec := route.Naive(&snp, &route.Request{
		CallerRegion: rqt.req.CallerRegion,
	}, eng.naive.turn.Add(1), route.Decision{})
	cnd, ok := dec.Best()
	if !ok {
		return ans, &cardamompass.NotRunError{
			Reason: "no healthy target in the caller's region",
		}
	}
	tgt, ok := rqt.pln.target(cnd.Target)
	if !ok {
		return ans, errors.Errorf("target %s left the catalogue", cnd.Target)
	}
	tok := eng.cfg.Tracker.Begin(tgt.ID, now)
	ans, err = eng.cfg.Relay.Do(ctx, relay.Attempt{
		Request:   rqt.req,
		Target:    tgt,
		AttemptID: eng.attemptID(),
		Class:     rqt.sta.svc.Class,
	})
	res := health.Answered
	if err != nil {
		res = health.Failed
	}
	eng.cfg.Tracker.Done(tok, eng.cfg.Clock.Now(), res)
	return ans, err
}
