package oper

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"cardamompass"
)

// Names of the net/rpc methods of Service, which is registered as "Oper".
const (
	methodForward  = "Oper.Forward"
	methodHandover = "Oper.Handover"
	methodQuery    = "Oper.Query"
)

// ForwardArgs forwards an attempt to the operation's home.
type ForwardArgs struct {
	// Request is the caller's request without its deadline, since the clocks of the two VMs may differ.
	Request cardamompass.Request
	// TimeoutMs is the time left until the deadline.
	TimeoutMs int64
}

// QueryArgs requests the outcome of an operation.
type QueryArgs struct {
	Operation Operation
}

// Reply carries the outcome of an operation.
type Reply struct {
	// Operation echoes the identity, so that the reply to another call is detected.
	Operation Operation
	Outcome   Outcome
}

// HandoverReply is the reply to a Chunk.
type HandoverReply struct {
	// Refused is the reason why the chunk was not imported; empty if it was.
	Refused string
}

var errStopping = errors.New("this VM is stopping")

// forwardToHome forwards the operation to its home or to the home's successor.
func (svc *Service) forwardToHome(ctx context.Context, opn Operation, req cardamompass.Request) (oct Outcome) {
	address, reason := svc.locate(opn.Ticket.homeID())
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

// locate returns the peer address of the VM that holds the records of the home, or the reason why there is none.
func (svc *Service) locate(hid homeID) (address, reason string) {
	members := svc.cfg.Membership.Members()
	find := func(vid cardamompass.VMID) (mbr cardamompass.Member, ok bool) {
		for _, mbr := range members {
			if mbr.VM.ID == vid {
				return mbr, true
			}
		}
		return mbr, false
	}
	mbr, ok := find(hid.home)
	if ok && mbr.VM.Incarnation > hid.incarnation {
		next, left := svc.successor(hid)
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

// maxDepartures is the number of departures that a VM keeps, enough for several days of restarts in the largest fleet.
const maxDepartures = 256

// departure is the planned stop of a home whose records were transferred to a successor.
type departure struct {
	home      homeID
	successor cardamompass.VMID
}

// RecordDeparture keeps the successor of a member that left. The membership drops it when the VM restarts, while tickets
// of the earlier incarnation are still in use. It must be called for each change of the membership.
func (svc *Service) RecordDeparture(mbr cardamompass.Member) {
	if mbr.State != cardamompass.StateLeft || mbr.Successor == "" {
		return
	}
	dep := departure{
		home: homeID{
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

// successor returns the VM that took over the records of the home.
func (svc *Service) successor(hid homeID) (vid cardamompass.VMID, ok bool) {
	svc.mu.Lock()
	defer svc.mu.Unlock()
	for _, dep := range slices.Backward(svc.departures) {
		if dep.home == hid {
			return dep.successor, true
		}
	}
	return "", false
}

// Forward runs an operation that another VM forwarded if this VM is its home, or answers from the records of a home that
// left. It is a net/rpc method.
func (svc *Service) Forward(args *ForwardArgs, rpl *Reply) (err error) {
	if !svc.addRun() {
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
	ctx, cancel := svc.withDeadline(svc.ctx, req.Deadline)
	defer cancel()
	rpl.Outcome, err = svc.runLocally(ctx, opn, req, svc.cfg.Execute)
	if err != nil {
		rpl.Outcome = outcomeOf(err)
	}
	return nil
}

// Status returns the outcome of an operation from this VM's records or from the operation's home. The outcome is unknown
// if the home can't be reached.
func (svc *Service) Status(ctx context.Context, opn Operation) (oct Outcome) {
	if svc.cfg.Table.Authoritative(opn.Ticket) {
		return svc.cfg.Table.Status(opn)
	}
	address, reason := svc.locate(opn.Ticket.homeID())
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

// Query returns the outcome of an operation to another VM. It is a net/rpc method.
func (svc *Service) Query(args *QueryArgs, rpl *Reply) (err error) {
	rpl.Operation = args.Operation
	rpl.Outcome = svc.cfg.Table.Status(args.Operation)
	return nil
}

// Handover imports one chunk of the records of a VM that is leaving. It is a net/rpc method.
func (svc *Service) Handover(chk *Chunk, rpl *HandoverReply) (err error) {
	if err := svc.cfg.Table.Import(*chk); err != nil {
		rpl.Refused = err.Error()
	}
	return nil
}

// TransferRecords permanently stops this VM from accepting new operations, waits up to drain for running ones, and sends
// its records to successor. Each chunk is sent up to three times. After an error the successor answers unknown for
// operations of which it has no record.
func (svc *Service) TransferRecords(ctx context.Context, successor cardamompass.VM, drain time.Duration) (err error) {
	defer func() { err = errors.Wrapf(err, "transfer operation records to %s", successor.ID) }()
	dctx, cancel := context.WithTimeout(ctx, drain)
	chs := svc.cfg.Table.Export(dctx)
	cancel()
	for _, chk := range chs {
		if err = svc.sendChunk(ctx, successor.PeerAddress, chk); err != nil {
			return err
		}
	}
	return nil
}

// sendChunk sends one chunk and retries failed calls.
func (svc *Service) sendChunk(ctx context.Context, address string, chk Chunk) (err error) {
	const tries = 3
	for range tries {
		var rpl HandoverReply
		err = svc.cfg.Peers.Call(ctx, address, methodHandover, &chk, &rpl)
		if err == nil && rpl.Refused == "" {
			return nil
		}
		if err == nil {
			return errors.Errorf("chunk %d of %d refused: %s", chk.Index+1, chk.Count, rpl.Refused)
		}
		if ctx.Err() != nil {
			break
		}
	}
	return err
}
