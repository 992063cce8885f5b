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
type Execute func(ctx context.Context, req cardamompass.Request) (rsp cardamompass.Response, err error)

// Config configures a Service. Limits that are 0 are replaced by their defaults.
type Config struct {
	// Table holds this VM's records. Required.
	Table *Table
	// Membership provides the addresses of homes and their successors. Required.
	Membership cardamompass.Membership
	// Peers calls other entry VMs. Required.
	Peers cardamompass.PeerCaller
	// Clock provides the time. Required.
	Clock cardamompass.Clock
	// Execute runs the operations that other VMs forward. Required.
	Execute Execute
	// MaxTimeout bounds the duration of a run, in addition to the operation's deadline, 30 s by default.
	MaxTimeout time.Duration
	// MaxBodyBytes bounds the body of a response, 1 MiB by default. An operation with a larger response ends as StateRan.
	MaxBodyBytes int64
}

// Service runs the operations whose home is this VM and forwards all others. It is safe for concurrent use.
type Service struct {
	cfg    Config
	ctx    context.Context //nolint:containedctx // parent of the runs, which outlive the requests that started them
	cancel context.CancelFunc

	mu         sync.Mutex
	closed     bool
	departures []departure // oldest first
	runs       sync.WaitGroup
}

// New returns a Service. The cleanup function cancels the running operations, and waits for them and for calls of peers.
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
	svc.closed = true
	svc.mu.Unlock()
	svc.cancel()
	svc.runs.Wait()
}

// addRun registers work that the cleanup function waits for. It returns false once the service is closed.
func (svc *Service) addRun() (ok bool) {
	svc.mu.Lock()
	defer svc.mu.Unlock()
	if svc.closed {
		return false
	}
	svc.runs.Add(1)
	return true
}

// Run returns the outcome of an attempt of an operation. At the operation's home it calls execute unless the operation
// was already run; elsewhere it forwards the operation to the home or the home's successor. A run continues until its
// deadline after ctx has ended, so that a retry by the caller finds the outcome.
//
// Errors: NotRunError, UnknownOutcomeError, InvalidError, and RanError for an operation whose response is not stored.
func (svc *Service) Run(
	ctx context.Context, req cardamompass.Request, execute Execute,
) (rsp cardamompass.Response, err error) {
	defer func() { err = errors.Wrapf(err, "operation %s", req.ID) }()
	opn, err := identify(req)
	if err != nil {
		return rsp, err
	}
	ctx, cancel := svc.withDeadline(ctx, req.Deadline)
	defer cancel()
	var oct Outcome
	if svc.cfg.Table.Authoritative(opn.Ticket) {
		oct, err = svc.runLocally(ctx, opn, req, execute)
	} else {
		oct = svc.forwardToHome(ctx, opn, req)
	}
	if err == nil {
		err = oct.Err()
	}
	if err != nil {
		return rsp, err
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

// withDeadline returns a context that ends at the deadline, and after MaxTimeout at the latest.
func (svc *Service) withDeadline(
	ctx context.Context, deadline time.Time,
) (bounded context.Context, cancel context.CancelFunc) {
	left := svc.cfg.MaxTimeout
	if !deadline.IsZero() {
		left = min(left, deadline.Sub(svc.cfg.Clock.Now()))
	}
	return context.WithTimeout(ctx, left)
}

// runLocally runs the operation on this VM, or waits for its recorded outcome.
func (svc *Service) runLocally(
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
	if !svc.addRun() {
		svc.cfg.Table.Finish(opn, notRun("this VM is stopping"))
		return
	}
	go func() {
		defer svc.runs.Done()
		rctx, cancel := svc.withDeadline(svc.ctx, req.Deadline)
		defer cancel()
		svc.cfg.Table.Finish(opn, svc.execute(rctx, req, execute))
	}()
}

// execute runs the operation and reads its complete response.
func (svc *Service) execute(ctx context.Context, req cardamompass.Request, execute Execute) (oct Outcome) {
	rsp, err := execute(ctx, req)
	if err != nil {
		return outcomeOf(err)
	}
	defer rsp.Body.Close() //nolint:errcheck // the body has been read or is discarded
	body, err := io.ReadAll(io.LimitReader(rsp.Body, svc.cfg.MaxBodyBytes+1))
	if err != nil {
		return outcomeOf(err)
	}
	oct = Outcome{
		State:  StateAnswered,
		Status: rsp.Status,
		Header: rsp.Header,
		Body:   body,
		Target: rsp.Target,
	}
	if int64(len(body)) > svc.cfg.MaxBodyBytes {
		return oct.withoutResponse()
	}
	return oct
}

// outcomeOf converts an error of an execution to an outcome. An error of any other type is an unknown outcome.
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
