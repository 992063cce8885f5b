package share

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"cardamompass"
)

// ServiceName is the name under which a Service is registered with the peer server.
const ServiceName = "Share"

// BorrowArgs is a request for a loan of units.
type BorrowArgs struct {
	Resource    string
	VM          cardamompass.VMID
	Incarnation cardamompass.Incarnation
	// Sequence increases with each call of the borrower.
	Sequence uint64
	// Want is the total number of units that the borrower requests from this lender.
	Want int64
}

// BorrowReply grants a loan that replaces the borrower's earlier ones from this lender.
type BorrowReply struct {
	Units int64
	// TTL is the duration of the loan, counted by the borrower from the time at which it sent its request.
	TTL time.Duration
	// Capacity is the lender's capacity of the resource.
	Capacity int64
}

// ReturnArgs states that the borrower no longer uses the grants with a smaller sequence.
type ReturnArgs struct {
	Resource    string
	VM          cardamompass.VMID
	Incarnation cardamompass.Incarnation
	Sequence    uint64
}

// ReturnReply is empty.
type ReturnReply struct{}

// UnevenArgs states that a resource is divided unevenly and that the receiver owns more of it than any other VM.
type UnevenArgs struct {
	Resource string
}

// UnevenReply is empty.
type UnevenReply struct{}

// Service handles the calls of other entry VMs. Its methods have the form that net/rpc requires.
type Service struct {
	pol *Pool
}

// Service returns the service to register with the peer server.
func (pol *Pool) Service() *Service {
	return &Service{
		pol: pol,
	}
}

// Borrow handles a request for a loan. The units are deducted before the reply is sent.
func (svc *Service) Borrow(args *BorrowArgs, reply *BorrowReply) (err error) {
	pol := svc.pol
	alc := pol.allocation(args.Resource)
	if alc == nil || pol.leaving.Load() || pol.lendingStopped.Load() {
		return nil
	}
	vmi := vmIncarnation{
		vm:          args.VM,
		incarnation: args.Incarnation,
	}
	now := pol.cfg.Clock.Now()
	alc.mtx.Lock()
	defer alc.mtx.Unlock()
	ends := lenderLoanEnd(now, pol.cfg.LoanTTL, alc.res.MaxRunTime)
	if !ends.Before(pol.leaseEnds()) {
		return nil
	}
	units := alc.loanUnits(vmi, args.Want, now, pol.leaseEnds())
	reply.Units = units
	reply.TTL = pol.cfg.LoanTTL
	reply.Capacity = alc.res.Capacity
	if units > 0 {
		alc.lent.add(vmi, grant{
			sequence: args.Sequence,
			units:    units,
			capacity: alc.res.Capacity,
			ends:     ends,
		}, now)
	}
	return nil
}

// Return handles the early return of loans.
func (svc *Service) Return(args *ReturnArgs, _ *ReturnReply) (err error) {
	alc := svc.pol.allocation(args.Resource)
	if alc == nil {
		return nil
	}
	alc.mtx.Lock()
	defer alc.mtx.Unlock()
	alc.lent.release(vmIncarnation{
		vm:          args.VM,
		incarnation: args.Incarnation,
	}, args.Sequence, svc.pol.cfg.Clock.Now())
	return nil
}

// Uneven schedules a rebalance of a ledger, in which this VM gives up the units that exceed its share.
func (svc *Service) Uneven(args *UnevenArgs, _ *UnevenReply) (err error) {
	if svc.pol.allocation(args.Resource) != nil {
		svc.pol.scheduleRebalance(args.Resource)
	}
	return nil
}

// runLoans borrows while there is unmet demand, renews loans and returns those that are not needed.
func (pol *Pool) runLoans(ctx context.Context) {
	for cardamompass.Sleep(ctx, pol.cfg.Clock, borrowInterval) == nil {
		pol.BorrowRound(ctx)
	}
}

// BorrowRound requests, renews and returns loans of all resources once and waits for the calls to finish.
func (pol *Pool) BorrowRound(ctx context.Context) {
	if pol.leaving.Load() {
		return
	}
	var names []string
	for _, name := range pol.names() {
		if pol.allocation(name).needsBorrowRound(pol.cfg.Clock.Now()) {
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		return
	}
	var peers []cardamompass.VM
	for _, mbr := range pol.cfg.Members.Members() {
		if mbr.State == cardamompass.StateAlive && mbr.VM.ID != pol.cfg.Owner.VM {
			peers = append(peers, mbr.VM)
		}
	}
	pol.shuffle(len(peers), func(one, two int) { peers[one], peers[two] = peers[two], peers[one] })
	var wtg sync.WaitGroup
	for _, name := range names {
		alc := pol.allocation(name)
		for _, req := range pol.loanRequests(alc, peers) {
			wtg.Go(func() { pol.borrow(ctx, name, alc, req) })
		}
	}
	wtg.Wait()
}

// needsBorrowRound reports whether there is unmet demand, or a loan to renew or to return.
func (alc *allocation) needsBorrowRound(now time.Time) bool {
	alc.mtx.Lock()
	defer alc.mtx.Unlock()
	return alc.hasUnmetDemand(now) || len(alc.borrowed) > 0 || len(alc.unreturned) > 0
}

// loanRequest is one call to a lender: a request for a loan, or the return of ended loans when want is 0.
type loanRequest struct {
	peer cardamompass.VM
	want int64
	// sequence is greater than the sequences of the grants to return.
	sequence uint64
}

// loanRequests returns the calls of one round: renewals of loans that end soon, requests to a few more lenders when there is
// unmet demand, and returns.
func (pol *Pool) loanRequests(alc *allocation, peers []cardamompass.VM) (reqs []loanRequest) {
	now := pol.cfg.Clock.Now()
	alc.mtx.Lock()
	defer alc.mtx.Unlock()
	alc.endUnneededLoans(now, pol.leaseEnds())
	demand := alc.demand(now, pol.leaseEnds())
	if alc.res.Kind == KindSlots {
		// The count restarts with each round.
		alc.unmetSlots = 0
	}
	deficit := demand - alc.usable(now, pol.leaseEnds())
	// Slots of ended loans can be returned once the owned and the borrowed slots cover the slots in use.
	covered := alc.inUse <= alc.usable(now, pol.leaseEnds())
	newLenders := 0
	for _, peer := range peers {
		vmi := vmIncarnation{
			vm:          peer.ID,
			incarnation: peer.Incarnation,
		}
		lon, ok := alc.borrowed[vmi]
		req := loanRequest{
			peer:     peer,
			sequence: pol.sequence.Add(1),
		}
		switch {
		case ok && (deficit > 0 || lon.ends.Sub(now) < pol.cfg.LoanTTL/2 && alc.exceedsOwned(now, pol.leaseEnds())):
			req.want = lon.units + max(0, deficit)
		case !ok && deficit > 0 && newLenders < borrowPeers:
			newLenders++
			req.want = max(deficit, alc.res.minUnits())
		case alc.unreturned[vmi] && covered:
			if ok {
				req.sequence = lon.sequence
			}
			delete(alc.unreturned, vmi)
		default:
			continue
		}
		reqs = append(reqs, req)
	}
	return reqs
}

// endUnneededLoans removes the loans that have ended, and those of slots that are not needed. The slots are returned to their
// lenders once they are not in use: a lender deducts slots that are not returned for the longest time of a request beyond
// the end of the loan.
func (alc *allocation) endUnneededLoans(now, leaseEnds time.Time) {
	idle := alc.res.Kind == KindSlots && alc.unmetSlots == 0 && alc.inUse < alc.owned(now, leaseEnds)
	for vmi, lon := range alc.borrowed {
		if idle || !now.Before(lon.ends) {
			alc.endLoan(vmi)
		}
	}
}

// endLoan stops the use of a loan.
func (alc *allocation) endLoan(vmi vmIncarnation) {
	delete(alc.borrowed, vmi)
	if alc.res.Kind == KindSlots {
		alc.unreturned[vmi] = true
	}
}

// exceedsOwned reports whether the use reaches or exceeds the owned units.
func (alc *allocation) exceedsOwned(now, leaseEnds time.Time) bool {
	used := alc.inUse
	if alc.res.Kind == KindRate {
		used = alc.usage.perSecond(now) * 100 / continuousPercent
	}
	return used > 0 && used >= alc.owned(now, leaseEnds)
}

// borrow makes one call to a lender and applies its reply.
func (pol *Pool) borrow(ctx context.Context, name string, alc *allocation, req loanRequest) {
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	vmi := vmIncarnation{
		vm:          req.peer.ID,
		incarnation: req.peer.Incarnation,
	}
	if req.want == 0 {
		pol.returnLoans(ctx, name, alc, req)
		return
	}
	sent := pol.cfg.Clock.Now()
	var reply BorrowReply
	err := pol.cfg.Peers.Call(ctx, req.peer.PeerAddress, ServiceName+".Borrow", &BorrowArgs{
		Resource:    name,
		VM:          pol.cfg.Owner.VM,
		Incarnation: pol.cfg.Owner.Incarnation,
		Sequence:    req.sequence,
		Want:        req.want,
	}, &reply)
	if err != nil {
		pol.cfg.Log.Debug("loan not answered", zap.String("resource", name), zap.String("peer", string(vmi.vm)), zap.Error(err))
	}
	alc.mtx.Lock()
	defer alc.mtx.Unlock()
	old := alc.borrowed[vmi]
	switch {
	case err != nil:
		// The lender may have granted a loan whose reply was lost.
		alc.markUnreturned(vmi)
		return
	case reply.Units <= 0:
		alc.endLoan(vmi)
		return
	case reply.Units < old.units:
		alc.markUnreturned(vmi)
	}
	alc.borrowed[vmi] = loan{
		sequence: req.sequence,
		units:    reply.Units,
		ends:     sent.Add(reply.TTL),
		capacity: reply.Capacity,
	}
}

// markUnreturned records that a lender may still deduct slots that are not in use here.
func (alc *allocation) markUnreturned(vmi vmIncarnation) {
	if alc.res.Kind == KindSlots {
		alc.unreturned[vmi] = true
	}
}

// returnLoans returns to a lender its grants below the request's sequence.
func (pol *Pool) returnLoans(ctx context.Context, name string, alc *allocation, req loanRequest) {
	err := pol.cfg.Peers.Call(ctx, req.peer.PeerAddress, ServiceName+".Return", &ReturnArgs{
		Resource:    name,
		VM:          pol.cfg.Owner.VM,
		Incarnation: pol.cfg.Owner.Incarnation,
		Sequence:    req.sequence,
	}, &ReturnReply{})
	if err == nil {
		return
	}
	alc.mtx.Lock()
	defer alc.mtx.Unlock()
	alc.markUnreturned(vmIncarnation{
		vm:          req.peer.ID,
		incarnation: req.peer.Incarnation,
	})
}
