package engine

import (
	"context"
	"io"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"cardamompass"
	"cardamompass/internal/edge/relay"
	"cardamompass/internal/fleet/share"
	"cardamompass/internal/steer/crash"
	"cardamompass/internal/steer/guard"
	"cardamompass/internal/steer/health"
)

const (
	// crashProbeTimeout bounds the probe that checks whether a target that broke a connection still listens.
	crashProbeTimeout = 500 * time.Millisecond
	// guardReportTimeout bounds the wait until other VMs have received a report of the guard.
	guardReportTimeout = time.Second
	// headerCharge is the number of bytes charged to a link for a request in addition to its body.
	headerCharge = 512
)

// result is the result of one attempt.
type result struct {
	clm *claim
	ans cardamompass.Response
	err error
	// bodyOpen is set when the claim is finished only when the response body is closed.
	bodyOpen bool
}

// attempt sends the request to the claimed target. When it returns, the claim is finished or will be finished by closing the
// response body.
func (rqt *request) attempt(ctx context.Context, clm *claim) (rst result) {
	rst.clm = clm
	eng := rqt.eng
	if err := rqt.chargeRequest(ctx, clm); err != nil {
		rqt.withdraw(clm)
		rst.err = &cardamompass.NotRunError{
			Reason: "no link units before the deadline",
		}
		return rst
	}
	rst.ans, rst.err = eng.cfg.Relay.Do(ctx, relay.Attempt{
		Request:   rqt.req,
		Target:    clm.target,
		AttemptID: eng.attemptID(),
		Class:     rqt.sta.svc.Class,
		Pace:      rqt.pace(clm.target.Region),
	})
	switch {
	case rst.err != nil:
		rqt.finish(clm, rqt.recordFailure(ctx, clm, rst.err))
	case rqt.sta.svc.Class == cardamompass.ClassLong:
		rst.ans.Body = &claimBody{
			ReadCloser: rst.ans.Body,
			onClose:    func(complete bool) { rqt.completed(clm, rst.ans.Status, complete) },
		}
		rst.bodyOpen = true
	default:
		rqt.completed(clm, rst.ans.Status, true)
	}
	return rst
}

func (eng *Engine) attemptID() string {
	return string(eng.cfg.Self.ID) + "-" + strconv.FormatUint(uint64(eng.cfg.Self.Incarnation), 36) + "-" +
		strconv.FormatUint(eng.attempts.Add(1), 36)
}

// completed finishes a claim whose response, with the status, was read or closed.
func (rqt *request) completed(clm *claim, status int, complete bool) {
	eng := rqt.eng
	if !complete {
		eng.cfg.Guard.Ended(rqt.key, clm.target.ID, eng.cfg.Clock.Now())
		rqt.finish(clm, health.Cancelled)
		return
	}
	if !crash.Survived(status) {
		eng.cfg.Guard.Ended(rqt.key, clm.target.ID, eng.cfg.Clock.Now())
		rqt.finish(clm, health.Answered)
		return
	}
	rep := eng.cfg.Guard.Succeeded(rqt.key, clm.target.ID, eng.cfg.Clock.Now())
	rqt.finish(clm, health.Answered)
	if !rep.Empty() {
		eng.wtg.Go(func() { eng.sendReport(rep) })
	}
}

// recordFailure reports the end of a failed attempt to the guard and returns the result to record for the target.
func (rqt *request) recordFailure(ctx context.Context, clm *claim, err error) health.Result {
	eng := rqt.eng
	now := eng.cfg.Clock.Now()
	var nrn *cardamompass.NotRunError
	var unk *cardamompass.UnknownOutcomeError
	switch {
	case errors.As(err, &nrn) && nrn.Target != "":
		eng.cfg.Guard.Ended(rqt.key, clm.target.ID, now)
		return health.Shed
	case errors.Is(ctx.Err(), context.Canceled):
		eng.cfg.Guard.Ended(rqt.key, clm.target.ID, now)
		if clm.hedgeWon.Load() {
			return health.HedgeLost
		}
		return health.Cancelled
	case errors.As(err, &unk) && unk.Broken:
		rqt.checkCrash(clm, now)
		return health.Failed
	default:
		eng.cfg.Guard.Ended(rqt.key, clm.target.ID, now)
		return health.Failed
	}
}

// checkCrash checks whether a target that broke a connection has crashed. If it has, the other entry VMs are told before checkCrash
// returns, and so before the caller can send the request again.
func (rqt *request) checkCrash(clm *claim, brokenAt time.Time) {
	eng := rqt.eng
	ctx, cancel := context.WithTimeout(context.Background(), crashProbeTimeout)
	defer cancel()
	if eng.cfg.Relay.Probe(ctx, clm.target) != relay.ProbeRefused {
		eng.cfg.Guard.Ended(rqt.key, clm.target.ID, brokenAt)
		return
	}
	eng.cfg.Tracker.MarkDown(clm.target.ID, eng.cfg.Clock.Now())
	rep := eng.cfg.Guard.Crashed(clm.target.ID, brokenAt, eng.cfg.Clock.Now())
	eng.cfg.Guard.Ended(rqt.key, clm.target.ID, brokenAt)
	if !rep.Empty() {
		eng.sendReport(rep)
	}
}

func (eng *Engine) sendReport(rep guard.Report) {
	ctx, cancel := context.WithTimeout(context.Background(), guardReportTimeout)
	defer cancel()
	eng.cfg.Report(ctx, rep)
}

// chargeRequest spends link units for the request on every link between regions that it crosses. For a long response it also spends
// the units of the bytes that the target can send before the first chunk is paced.
func (rqt *request) chargeRequest(ctx context.Context, clm *claim) (err error) {
	size := len(rqt.req.Body) + headerCharge
	if err := rqt.chargeLinks(ctx, size, clm.target.Region, true); err != nil {
		return err
	}
	if rqt.sta.svc.Class != cardamompass.ClassLong {
		return nil
	}
	return rqt.chargeLinks(ctx, relay.UnpacedBytes, clm.target.Region, false)
}

// pace returns the function that spends link units for a response, nil if the response crosses no link.
func (rqt *request) pace(reg cardamompass.Region) relay.Pace {
	self := rqt.eng.cfg.Self.Region
	if reg == self && rqt.req.CallerRegion == self {
		return nil
	}
	return func(ctx context.Context, bytes int) error {
		return rqt.chargeLinks(ctx, bytes, reg, false)
	}
}

// chargeLinks spends units of the links between the regions of the caller, this VM and the target: in the direction of the target
// if toTarget is set, else in the direction of the caller.
func (rqt *request) chargeLinks(ctx context.Context, size int, reg cardamompass.Region, toTarget bool) (err error) {
	path := []cardamompass.Region{rqt.req.CallerRegion, rqt.eng.cfg.Self.Region, reg}
	for num := range len(path) - 1 {
		from, to := path[num], path[num+1]
		if from == to {
			continue
		}
		if !toTarget {
			from, to = to, from
		}
		rte := rqt.eng.cfg.Pool.Rate(share.LinkName(from, to))
		if err := rte.Wait(ctx, size, rqt.sta.svc.Class); err != nil {
			return err
		}
	}
	return nil
}

// claimBody is a response body that finishes the claim when it is closed.
type claimBody struct {
	io.ReadCloser
	once     sync.Once
	complete bool
	onClose  func(complete bool)
}

// Read implements io.Reader.
func (clb *claimBody) Read(buf []byte) (num int, err error) {
	num, err = clb.ReadCloser.Read(buf)
	if err == io.EOF {
		clb.complete = true
	}
	return num, err
}

// Close implements io.Closer.
func (clb *claimBody) Close() (err error) {
	err = clb.ReadCloser.Close()
	clb.once.Do(func() { clb.onClose(clb.complete) })
	return err
}
