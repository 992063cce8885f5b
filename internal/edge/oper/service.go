package oper

import (
	"bytes"
	"context"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"

	"cardamompass"
)

const (
	defaultMaxTimeout = 30 * time.Second
	defaultMaxBody    = 1 << 20
)

// Execute sends an operation to a target. It is called at most once at a time for one operation, and returns a
// NotRunError or an InvalidError only for an operation that certainly did not run. It must return when ctx ends.
type Execute func(ctx context.Context, req cardamompass.Request) (ans cardamompass.Response, err error)

// Config configures a Service. Zero values of the bounds stand for the defaults.
type Config struct {
	// Table holds this VM's records. Required.
	Table *Table
	// Membership tells where a home is, and who succeeded it. Required.
	Membership cardamompass.Membership
	// Peers calls other entry VMs. Required.
	Peers cardamompass.PeerCaller
	// Clock tells the time. Required.
	Clock cardamompass.Clock
	// Execute runs the operations that other VMs pass on. Required.
	Execute Execute
	// MaxTimeout bounds the run of an operation that has no deadline or a later one, 30 s by default.
	MaxTimeout time.Duration
	// MaxBodyBytes bounds the answer's body, 1 MiB by default. An operation with a larger answer ends as ran.
	MaxBodyBytes int64
}

// Service runs the operations of this VM and passes the others on. It is safe for concurrent use.
type Service struct {
	cfg    Config
	ctx    context.Context //nolint:containedctx // bounds the runs, which outlive the requests that started them
	cancel context.CancelFunc

	mu         sync.Mutex
	over       bool
	departures []departure // the oldest first
	runs       sync.WaitGroup
}

// New returns a Service. Its clean-up function cancels the operations that run and waits for them and for calls of
// peers.
func New(cfg Config) (svc *Service, cleanup func(), err error) {
	if cfg.Table == nil || cfg.Membership == nil || cfg.Peers == nil || cfg.Clock == nil || cfg.Execute == nil {
		return nil, nil, &cardamompass.InvalidError{
			Field:  "oper.Config",
			Reason: "needs a table, a membership, peers, a clock and an execute function",
		}
	}
	if cfg.MaxTimeout <= 0 {
		cfg.MaxTimeout = defaultMaxTimeout
	}
	if cfg.MaxBodyBytes <= 0 {
		cfg.MaxBodyBytes = defaultMaxBody
	}
	ctx, cancel := context.WithCancel(context.Background())
	svc = &Service{
		cfg:    cfg,
		ctx:    ctx,
		cancel: cancel,
	}
	return svc, svc.close, nil
}

func (svc *Service) close() {
	svc.mu.Lock()
	svc.over = true
	svc.mu.Unlock()
	svc.cancel()
	svc.runs.Wait()
}

// enter registers work that the clean-up function waits for.
func (svc *Service) enter() (ok bool) {
	svc.mu.Lock()
	defer svc.mu.Unlock()
	if svc.over {
		return false
	}
	svc.runs.Add(1)
	return true
}

// Run returns the outcome of one sending of an operation. At the operation's home it runs execute, unless the
// operation was run before; elsewhere it passes the operation to the home or to the home's successor. A run goes on to
// its deadline after ctx has ended, so that a re-send finds its outcome.
//
// Errors: NotRunError, UnknownOutcomeError, InvalidError, and RanError for an operation whose answer is not held.
func (svc *Service) Run(
	ctx context.Context, req cardamompass.Request, execute Execute,
) (ans cardamompass.Response, err error) {
	defer func() { err = errors.Wrapf(err, "operation %s", req.ID) }()
	opn, err := identify(req)
	if err != nil {
		return ans, err
	}
	ctx, cancel := svc.bounded(ctx, req.Deadline)
	defer cancel()
	var oct Outcome
	if svc.cfg.Table.Authoritative(opn.Ticket) {
		oct, err = svc.local(ctx, opn, req, execute)
	} else {
		oct = svc.remote(ctx, opn, req)
	}
	if err == nil {
		err = oct.Err()
	}
	if err != nil {
		return ans, err
	}
	return cardamompass.Response{
		Status: oct.Status,
		Header: oct.Header.Clone(),
		Body:   io.NopCloser(bytes.NewReader(oct.Body)),
		Length: int64(len(oct.Body)),
		Target: oct.Target,
	}, nil
}

// identify returns the identity of the operation in req.
func identify(req cardamompass.Request) (opn Operation, err error) {
	if req.ID == "" || len(req.ID) > MaxNameBytes {
		return opn, &cardamompass.InvalidError{
			Field:  cardamompass.HeaderRequestID,
			Reason: "must have 1 to 128 bytes",
		}
	}
	tkt, err := ParseTicket(req.Ticket)
	if err != nil {
		return opn, err
	}
	return Operation{
		Ticket:  tkt,
		Request: req.ID,
	}, nil
}

// bounded ends ctx at deadline, and at the longest time that a run may take.
func (svc *Service) bounded(
	ctx context.Context, deadline time.Time,
) (bounded context.Context, cancel context.CancelFunc) {
	left := svc.cfg.MaxTimeout
	if !deadline.IsZero() {
		left = min(left, deadline.Sub(svc.cfg.Clock.Now()))
	}
	return context.WithTimeout(ctx, left)
}

// local runs the operation here, or waits for its recorded outcome.
func (svc *Service) local(
	ctx context.Context, opn Operation, req cardamompass.Request, execute Execute,
) (oct Outcome, err error) {
	run, pnd, err := svc.cfg.Table.Begin(opn, Sum(req), req.Attempt)
	if err != nil {
		return oct, err
	}
	if run {
		svc.start(ctx, opn, req, execute)
	}
	return pnd.Wait(ctx), nil
}

// start runs the operation in the background.
func (svc *Service) start(ctx context.Context, opn Operation, req cardamompass.Request, execute Execute) {
	if ctx.Err() != nil {
		svc.cfg.Table.Finish(opn, notRun("deadline passed or request cancelled before it ran"))
		return
	}
	if !svc.enter() {
		svc.cfg.Table.Finish(opn, notRun("this VM is stopping"))
		return
	}
	go func() {
		defer svc.runs.Done()
		rctx, cancel := svc.bounded(svc.ctx, req.Deadline)
		defer cancel()
		svc.cfg.Table.Finish(opn, svc.execute(rctx, req, execute))
	}()
}

// execute runs the operation and reads its answer whole.
func (svc *Service) execute(ctx context.Context, req cardamompass.Request, execute Execute) (oct Outcome) {
	ans, err := execute(ctx, req)
	if err != nil {
		return outcomeOf(err)
	}
	defer ans.Body.Close() //nolint:errcheck // the body was read or is given up
	body, err := io.ReadAll(io.LimitReader(ans.Body, svc.cfg.MaxBodyBytes+1))
	if err != nil {
		return outcomeOf(err)
	}
	oct = Outcome{
		State:  StateAnswered,
		Status: ans.Status,
		Header: ans.Header,
		Body:   body,
		Target: ans.Target,
	}
	if int64(len(body)) > svc.cfg.MaxBodyBytes {
		return oct.withoutAnswer()
	}
	return oct
}

// outcomeOf turns an error of an execution into an outcome. Any error that does not say more is unknown.
func outcomeOf(err error) (oct Outcome) {
	var (
		nre *cardamompass.NotRunError
		uoe *cardamompass.UnknownOutcomeError
		ive *cardamompass.InvalidError
	)
	switch {
	case errors.As(err, &uoe):
		oct = unknown(uoe.Reason)
		oct.Target = uoe.Target
		oct.Broken = uoe.Broken
	case errors.As(err, &nre):
		oct = notRun(nre.Reason)
		oct.Target = nre.Target
	case errors.As(err, &ive):
		oct = notRun(ive.Reason)
		oct.Field = ive.Field
	default:
		oct = unknown(err.Error())
	}
	return oct
}
