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
	"cardamompass/internal/steer/guard"
	"cardamompass/internal/steer/health"
)

const (
	// crashProbeTimeout bounds the check whether a target that broke a connection is gone.
	crashProbeTimeout = 500 * time.Millisecond
	// reportTimeout bounds the wait for other VMs to take a report of the guard.
	reportTimeout = time.Second
	// headerBytes is the size that a request is charged beside its body on a link.
	headerBytes = 512
)

// result is the end of one attempt.
type result struct {
	clm *claim
	ans cardamompass.Response
	err error
	// held is set when the answer's body still holds the claim; it is finished when the body is closed.
	held bool
}

// attempt sends the request to the claimed target and returns when the claim is finished or the answer's body holds it.
func (rqt *request) attempt(ctx context.Context, clm *claim) (rst result) {
	rst.clm = clm
	eng := rqt.eng
	if err := rqt.payRequest(ctx, clm); err != nil {
		rqt.drop(clm)
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
		rqt.finish(clm, rqt.failed(ctx, clm, rst.err))
	case rqt.sta.svc.Class == cardamompass.ClassLong:
		rst.ans.Body = &heldBody{
			ReadCloser: rst.ans.Body,
			done:       func(whole bool) { rqt.ended(clm, whole) },
		}
		rst.held = true
	default:
		rqt.ended(clm, true)
	}
	return rst
}

func (eng *Engine) attemptID() string {
	return string(eng.cfg.Self.ID) + "-" + strconv.FormatUint(uint64(eng.cfg.Self.Incarnation), 36) + "-" +
		strconv.FormatUint(eng.attempts.Add(1), 36)
}

// ended finishes a claim whose answer was read.
func (rqt *request) ended(clm *claim, whole bool) {
	eng := rqt.eng
	if !whole {
		eng.cfg.Guard.Ended(rqt.key, clm.target.ID, eng.cfg.Clock.Now())
		rqt.finish(clm, health.Cancelled)
		return
	}
	rep := eng.cfg.Guard.Succeeded(rqt.key, clm.target.ID, eng.cfg.Clock.Now())
	rqt.finish(clm, health.Answered)
	if !rep.Empty() {
		eng.wtg.Go(func() { eng.report(rep) })
	}
}

// failed tells the guard how an attempt ended and returns its result for the target's state.
func (rqt *request) failed(ctx context.Context, clm *claim, err error) health.Result {
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
		if clm.lost.Load() {
			return health.HedgeLost
		}
		return health.Cancelled
	case errors.As(err, &unk) && unk.Broken:
		rqt.broken(clm, now)
		return health.Failed
	default:
		eng.cfg.Guard.Ended(rqt.key, clm.target.ID, now)
		return health.Failed
	}
}

// broken finds out whether a target that broke a connection crashed. If it did, all other entry VMs know before this
// returns, and so before the caller can send the request again.
func (rqt *request) broken(clm *claim, broke time.Time) {
	eng := rqt.eng
	ctx, cancel := context.WithTimeout(context.Background(), crashProbeTimeout)
	defer cancel()
	if eng.cfg.Relay.Probe(ctx, clm.target) != relay.ProbeRefused {
		eng.cfg.Guard.Ended(rqt.key, clm.target.ID, broke)
		return
	}
	eng.cfg.Tracker.MarkDown(clm.target.ID, eng.cfg.Clock.Now())
	rep := eng.cfg.Guard.Crashed(clm.target.ID, broke, eng.cfg.Clock.Now())
	eng.cfg.Guard.Ended(rqt.key, clm.target.ID, broke)
	if !rep.Empty() {
		eng.report(rep)
	}
}

func (eng *Engine) report(rep guard.Report) {
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	eng.cfg.Report(ctx, rep)
}

// payRequest spends link units for the request's bytes on every link that they cross. For a long answer it also spends those that the
// target can send before the first chunk is paid.
func (rqt *request) payRequest(ctx context.Context, clm *claim) (err error) {
	size := len(rqt.req.Body) + headerBytes
	if err := rqt.payLinks(ctx, size, clm.target.Region, true); err != nil {
		return err
	}
	if rqt.sta.svc.Class != cardamompass.ClassLong {
		return nil
	}
	return rqt.payLinks(ctx, relay.UnpacedBytes, clm.target.Region, false)
}

// pace returns the function that spends link units for an answer, nil if the answer crosses no link.
func (rqt *request) pace(reg cardamompass.Region) relay.Pace {
	self := rqt.eng.cfg.Self.Region
	if reg == self && rqt.req.CallerRegion == self {
		return nil
	}
	return func(ctx context.Context, bytes int) error {
		return rqt.payLinks(ctx, bytes, reg, false)
	}
}

// payLinks spends units of the links between the caller's region, this VM's and the target's, away from the caller for
// requests and towards it for answers.
func (rqt *request) payLinks(ctx context.Context, size int, reg cardamompass.Region, away bool) (err error) {
	path := []cardamompass.Region{rqt.req.CallerRegion, rqt.eng.cfg.Self.Region, reg}
	for num := range len(path) - 1 {
		from, to := path[num], path[num+1]
		if from == to {
			continue
		}
		if !away {
			from, to = to, from
		}
		rte := rqt.eng.cfg.Pool.Rate(share.LinkName(from, to))
		if err := rte.Wait(ctx, size, rqt.sta.svc.Class); err != nil {
			return err
		}
	}
	return nil
}

// heldBody finishes a claim when the answer's body was read or closed.
type heldBody struct {
	io.ReadCloser
	once  sync.Once
	whole bool
	done  func(whole bool)
}

// Read implements io.Reader.
func (hbd *heldBody) Read(buf []byte) (num int, err error) {
	num, err = hbd.ReadCloser.Read(buf)
	if err == io.EOF {
		hbd.whole = true
	}
	return num, err
}

// Close implements io.Closer.
func (hbd *heldBody) Close() (err error) {
	err = hbd.ReadCloser.Close()
	hbd.once.Do(func() { hbd.done(hbd.whole) })
	return err
}
