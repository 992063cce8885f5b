package oper

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"cardamompass"
)

// Methods of the service for net/rpc, registered under the name "Oper".
const (
	methodForward  = "Oper.Forward"
	methodHandover = "Oper.Handover"
	methodQuery    = "Oper.Query"
)

// ForwardArgs passes a sending on to the operation's home.
type ForwardArgs struct {
	// Request is the sending, without its deadline, which the clocks of two VMs do not share.
	Request cardamompass.Request
	// TimeoutMs is the time left for the answer.
	TimeoutMs int64
}

// QueryArgs asks what became of an operation.
type QueryArgs struct {
	Operation Operation
}

// Reply tells what became of an operation.
type Reply struct {
	// Operation repeats the identity, so that a reply to another call is not taken for this one.
	Operation Operation
	Outcome   Outcome
}

// HandoverReply answers a Part.
type HandoverReply struct {
	// Refused says why the part was not taken; empty if it was.
	Refused string
}

var errStopping = errors.New("this VM is stopping")

// remote passes the operation to its home or to the home's successor.
func (svc *Service) remote(ctx context.Context, opn Operation, req cardamompass.Request) (oct Outcome) {
	address, reason := svc.locate(opn.Ticket.run())
	if reason != "" {
		return unknown(reason)
	}
	end, _ := ctx.Deadline()
	left := time.Until(end)
	if ctx.Err() != nil || left < time.Millisecond {
		return refusal(req.Attempt, "deadline passed before the request was passed to its home")
	}
	req.Deadline = time.Time{}
	args := ForwardArgs{
		Request:   req,
		TimeoutMs: left.Milliseconds(),
	}
	var rpl Reply
	err := svc.cfg.Peers.Call(ctx, address, methodForward, &args, &rpl)
	var unsent *cardamompass.PeerUnsentError
	switch {
	case errors.As(err, &unsent):
		return refusal(req.Attempt, "the request could not be sent to its home")
	case err != nil:
		return unknown("no answer from the operation's home: " + err.Error())
	case rpl.Operation != opn || rpl.Outcome.State == StateAbsent || rpl.Outcome.State == StateRunning:
		return unknown("the operation's home gave no outcome")
	}
	return rpl.Outcome
}

// locate returns the peer address of the VM that answers for run, or the reason why there is none.
func (svc *Service) locate(run runID) (address, reason string) {
	members := svc.cfg.Membership.Members()
	find := func(vid cardamompass.VMID) (mbr cardamompass.Member, ok bool) {
		for _, mbr := range members {
			if mbr.VM.ID == vid {
				return mbr, true
			}
		}
		return mbr, false
	}
	mbr, ok := find(run.home)
	if ok && mbr.VM.Incarnation > run.incarnation {
		next, left := svc.successor(run)
		if !left {
			return "", "the operation's home was restarted"
		}
		mbr, ok = find(next)
	}
	for range members {
		switch {
		case !ok:
			return "", "the operation's home is not known"
		case mbr.Serving():
			return mbr.VM.PeerAddress, ""
		case mbr.State != cardamompass.StateLeft || mbr.Successor == "":
			return "", "the operation's home is " + mbr.State.String()
		}
		mbr, ok = find(mbr.Successor)
	}
	return "", "the operation's home left and has no successor"
}

// maxDepartures bounds the departures that a VM remembers, several days' restarts of the largest fleet.
const maxDepartures = 256

// departure is a home that left with a successor.
type departure struct {
	run       runID
	successor cardamompass.VMID
}

// RecordDeparture remembers the successor of a member that left. The membership forgets it when the VM is started again, while
// tickets of the earlier incarnation are still in use. The owner of the service calls it for each change of the
// membership.
func (svc *Service) RecordDeparture(mbr cardamompass.Member) {
	if mbr.State != cardamompass.StateLeft || mbr.Successor == "" {
		return
	}
	dep := departure{
		run: runID{
			home:        mbr.VM.ID,
			incarnation: mbr.VM.Incarnation,
		},
		successor: mbr.Successor,
	}
	svc.mu.Lock()
	defer svc.mu.Unlock()
	if slices.Contains(svc.departures, dep) {
		return
	}
	if len(svc.departures) >= maxDepartures {
		svc.departures = slices.Delete(svc.departures, 0, 1)
	}
	svc.departures = append(svc.departures, dep)
}

// successor returns the VM that took over the records of run.
func (svc *Service) successor(run runID) (vid cardamompass.VMID, ok bool) {
	svc.mu.Lock()
	defer svc.mu.Unlock()
	for _, dep := range slices.Backward(svc.departures) {
		if dep.run == run {
			return dep.successor, true
		}
	}
	return "", false
}

// Forward runs an operation that another VM passed on, if this VM is its home, or answers for a home that left. It is
// a method for net/rpc.
func (svc *Service) Forward(args *ForwardArgs, rpl *Reply) (err error) {
	if !svc.enter() {
		return errStopping
	}
	defer svc.runs.Done()
	req := args.Request
	opn, err := identify(req)
	if err != nil {
		rpl.Outcome = outcomeOf(err)
		return nil
	}
	rpl.Operation = opn
	if !svc.cfg.Table.Authoritative(opn.Ticket) {
		rpl.Outcome = unknown("this VM holds no records of the ticket's home")
		return nil
	}
	req.Deadline = svc.cfg.Clock.Now().Add(time.Duration(args.TimeoutMs) * time.Millisecond)
	ctx, cancel := svc.bounded(svc.ctx, req.Deadline)
	defer cancel()
	rpl.Outcome, err = svc.local(ctx, opn, req, svc.cfg.Execute)
	if err != nil {
		rpl.Outcome = outcomeOf(err)
	}
	return nil
}

// Status returns what became of an operation, from this VM's records or from the operation's home. An operation whose
// home can't be asked is unknown.
func (svc *Service) Status(ctx context.Context, opn Operation) (oct Outcome) {
	if svc.cfg.Table.Authoritative(opn.Ticket) {
		return svc.cfg.Table.Status(opn)
	}
	address, reason := svc.locate(opn.Ticket.run())
	if reason != "" {
		return unknown(reason)
	}
	args := QueryArgs{
		Operation: opn,
	}
	var rpl Reply
	err := svc.cfg.Peers.Call(ctx, address, methodQuery, &args, &rpl)
	if err != nil {
		return unknown("no answer from the operation's home: " + err.Error())
	}
	if rpl.Operation != opn {
		return unknown("the operation's home gave no outcome")
	}
	return rpl.Outcome
}

// Query tells another VM what became of an operation. It is a method for net/rpc.
func (svc *Service) Query(args *QueryArgs, rpl *Reply) (err error) {
	rpl.Operation = args.Operation
	rpl.Outcome = svc.cfg.Table.Status(args.Operation)
	return nil
}

// Handover takes over one part of the records of a VM that leaves. It is a method for net/rpc.
func (svc *Service) Handover(prt *Chunk, rpl *HandoverReply) (err error) {
	if err := svc.cfg.Table.Import(*prt); err != nil {
		rpl.Refused = err.Error()
	}
	return nil
}

// TransferRecords closes this VM for new operations for good, waits up to drain for those that run, and sends its records to
// successor. Each part is sent up to three times. On error the successor answers unknown for what it does not hold.
func (svc *Service) TransferRecords(ctx context.Context, successor cardamompass.VM, drain time.Duration) (err error) {
	defer func() { err = errors.Wrapf(err, "handing operations over to %s", successor.ID) }()
	dctx, cancel := context.WithTimeout(ctx, drain)
	prs := svc.cfg.Table.Export(dctx)
	cancel()
	for _, prt := range prs {
		if err = svc.deliver(ctx, successor.PeerAddress, prt); err != nil {
			return err
		}
	}
	return nil
}

// deliver sends one part until it is taken.
func (svc *Service) deliver(ctx context.Context, address string, prt Chunk) (err error) {
	const tries = 3
	for range tries {
		var rpl HandoverReply
		err = svc.cfg.Peers.Call(ctx, address, methodHandover, &prt, &rpl)
		if err == nil && rpl.Refused == "" {
			return nil
		}
		if err == nil {
			return errors.Errorf("part %d of %d refused: %s", prt.Index+1, prt.Count, rpl.Refused)
		}
		if ctx.Err() != nil {
			break
		}
	}
	return err
}
