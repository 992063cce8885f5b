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

// BorrowArgs asks a VM for the loan of units.
type BorrowArgs struct {
	Resource    string
	VM          cardamompass.VMID
	Incarnation cardamompass.Incarnation
	// Sequence grows with each call of the borrower.
	Sequence uint64
	// Want is the number of units that the borrower wants to have from this lender altogether.
	Want int64
}

// BorrowReply grants a loan in place of the borrower's earlier ones from this lender.
type BorrowReply struct {
	Units int64
	// TTL is the time of the loan, counted by the borrower from the sending of its request.
	TTL time.Duration
	// Capacity is the cap that the units are parts of.
	Capacity int64
}

// ReturnArgs says that the borrower uses no unit of the grants with a smaller sequence any more.
type ReturnArgs struct {
	Resource    string
	VM          cardamompass.VMID
	Incarnation cardamompass.Incarnation
	Sequence    uint64
}

// ReturnReply is empty.
type ReturnReply struct{}

// UnevenArgs says that a resource is divided unevenly and that the receiver owns most of it.
type UnevenArgs struct {
	Resource string
}

// UnevenReply is empty.
type UnevenReply struct{}

// Service answers the loan messages of other entry VMs. Its methods have the form that net/rpc wants.
type Service struct {
	pol *Pool
}

// Service returns the service to register with the peer server.
func (pol *Pool) Service() *Service {
	return &Service{
		pol: pol,
	}
}

// Borrow answers a request for a loan. The units are deducted before the answer leaves.
func (svc *Service) Borrow(args *BorrowArgs, reply *BorrowReply) (err error) {
	pol := svc.pol
	cel := pol.cell(args.Resource)
	if cel == nil || pol.leaving.Load() || pol.lendsNot.Load() {
		return nil
	}
	pty := party{
		vm:          args.VM,
		incarnation: args.Incarnation,
	}
	now := pol.cfg.Clock.Now()
	cel.mtx.Lock()
	defer cel.mtx.Unlock()
	ends := lenderEnd(now, pol.cfg.LoanTTL, cel.res.MaxRunTime)
	if !ends.Before(pol.leaseEnds()) {
		return nil
	}
	units := cel.answerBorrow(pty, args.Want, now, pol.leaseEnds())
	reply.Units = units
	reply.TTL = pol.cfg.LoanTTL
	reply.Capacity = cel.res.Capacity
	if units > 0 {
		cel.lent.grant(pty, lending{
			sequence: args.Sequence,
			units:    units,
			capacity: cel.res.Capacity,
			ends:     ends,
		}, now)
	}
	return nil
}

// Return ends loans before their time.
func (svc *Service) Return(args *ReturnArgs, _ *ReturnReply) (err error) {
	cel := svc.pol.cell(args.Resource)
	if cel == nil {
		return nil
	}
	cel.mtx.Lock()
	defer cel.mtx.Unlock()
	cel.lent.giveBack(party{
		vm:          args.VM,
		incarnation: args.Incarnation,
	}, args.Sequence, svc.pol.cfg.Clock.Now())
	return nil
}

// Uneven makes this VM visit a ledger soon, where it gives up what exceeds its part.
func (svc *Service) Uneven(args *UnevenArgs, _ *UnevenReply) (err error) {
	if svc.pol.cell(args.Resource) != nil {
		svc.pol.setDue(args.Resource)
	}
	return nil
}

// runLoans borrows while there is demand, renews loans and returns those that are not needed.
func (pol *Pool) runLoans(ctx context.Context) {
	for cardamompass.Sleep(ctx, pol.cfg.Clock, borrowInterval) == nil {
		pol.BorrowRound(ctx)
	}
}

// BorrowRound does one round of loans for all resources and waits for its calls.
func (pol *Pool) BorrowRound(ctx context.Context) {
	if pol.leaving.Load() {
		return
	}
	var busy []string
	for _, name := range pol.names() {
		if pol.cell(name).busy(pol.cfg.Clock.Now()) {
			busy = append(busy, name)
		}
	}
	if len(busy) == 0 {
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
	for _, name := range busy {
		cel := pol.cell(name)
		for _, ask := range pol.asks(cel, peers) {
			wtg.Go(func() { pol.borrow(ctx, name, cel, ask) })
		}
	}
	wtg.Wait()
}

// busy reports whether a round has anything to do: units are lacking, borrowed or to be returned.
func (cel *cell) busy(now time.Time) bool {
	cel.mtx.Lock()
	defer cel.mtx.Unlock()
	return cel.short(now) || len(cel.borrowed) > 0 || len(cel.ended) > 0
}

// ask is one request for a loan, or a return of ended ones when want is 0.
type ask struct {
	peer cardamompass.VM
	want int64
	// sequence is above those of the grants that are returned.
	sequence uint64
}

// asks decides whom to ask for what: lenders whose loans run out soon, a few others when units are lacking, and returns.
func (pol *Pool) asks(cel *cell, peers []cardamompass.VM) (asks []ask) {
	now := pol.cfg.Clock.Now()
	cel.mtx.Lock()
	defer cel.mtx.Unlock()
	cel.endLoans(now, pol.leaseEnds())
	wants := cel.wants(now, pol.leaseEnds())
	if cel.res.Kind == KindSlots {
		// Counted anew until the next round.
		cel.missed = 0
	}
	lacking := wants - cel.usable(now, pol.leaseEnds())
	// Slots of ended loans are free once the own ones and those of live loans cover the use.
	covered := cel.inUse <= cel.usable(now, pol.leaseEnds())
	others := 0
	for _, peer := range peers {
		pty := party{
			vm:          peer.ID,
			incarnation: peer.Incarnation,
		}
		brw, ok := cel.borrowed[pty]
		one := ask{
			peer:     peer,
			sequence: pol.sequence.Add(1),
		}
		switch {
		case ok && (lacking > 0 || brw.ends.Sub(now) < pol.cfg.LoanTTL/2 && cel.needed(now, pol.leaseEnds())):
			one.want = brw.units + max(0, lacking)
		case !ok && lacking > 0 && others < borrowPeers:
			others++
			one.want = max(lacking, cel.res.minUnits())
		case cel.ended[pty] && covered:
			if ok {
				one.sequence = brw.sequence
			}
			delete(cel.ended, pty)
		default:
			continue
		}
		asks = append(asks, one)
	}
	return asks
}

// endLoans drops the loans that have run out, and slots that are not needed. Their lenders are told when the slots are not in
// use: a loan that only runs out keeps its units from the lender for the longest time of a request in addition.
func (cel *cell) endLoans(now, leaseEnds time.Time) {
	idle := cel.res.Kind == KindSlots && cel.missed == 0 && cel.inUse < cel.own(now, leaseEnds)
	for pty, brw := range cel.borrowed {
		if idle || !now.Before(brw.ends) {
			cel.end(pty)
		}
	}
}

// end stops the use of a loan.
func (cel *cell) end(pty party) {
	delete(cel.borrowed, pty)
	if cel.res.Kind == KindSlots {
		cel.ended[pty] = true
	}
}

// needed reports whether more than the own units is in use.
func (cel *cell) needed(now, leaseEnds time.Time) bool {
	used := cel.inUse
	if cel.res.Kind == KindRate {
		used = cel.use.perSecond(now) * 100 / usedPercent
	}
	return used > 0 && used >= cel.own(now, leaseEnds)
}

// borrow makes one call and applies its answer.
func (pol *Pool) borrow(ctx context.Context, name string, cel *cell, one ask) {
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	pty := party{
		vm:          one.peer.ID,
		incarnation: one.peer.Incarnation,
	}
	if one.want == 0 {
		pol.giveBack(ctx, name, cel, one)
		return
	}
	sent := pol.cfg.Clock.Now()
	var reply BorrowReply
	err := pol.cfg.Peers.Call(ctx, one.peer.PeerAddress, ServiceName+".Borrow", &BorrowArgs{
		Resource:    name,
		VM:          pol.cfg.Owner.VM,
		Incarnation: pol.cfg.Owner.Incarnation,
		Sequence:    one.sequence,
		Want:        one.want,
	}, &reply)
	if err != nil {
		pol.cfg.Log.Debug("loan not answered", zap.String("resource", name), zap.String("peer", string(pty.vm)), zap.Error(err))
	}
	cel.mtx.Lock()
	defer cel.mtx.Unlock()
	old := cel.borrowed[pty]
	switch {
	case err != nil:
		// The lender may have granted a loan of which this VM knows nothing.
		cel.markEnded(pty)
		return
	case reply.Units <= 0:
		cel.end(pty)
		return
	case reply.Units < old.units:
		cel.markEnded(pty)
	}
	cel.borrowed[pty] = borrowing{
		sequence: one.sequence,
		units:    reply.Units,
		ends:     sent.Add(reply.TTL),
		capacity: reply.Capacity,
	}
}

// markEnded records that a lender may hold a grant that is not in use.
func (cel *cell) markEnded(pty party) {
	if cel.res.Kind == KindSlots {
		cel.ended[pty] = true
	}
}

// giveBack tells a lender that its grants below the sequence are not in use any more.
func (pol *Pool) giveBack(ctx context.Context, name string, cel *cell, one ask) {
	err := pol.cfg.Peers.Call(ctx, one.peer.PeerAddress, ServiceName+".Return", &ReturnArgs{
		Resource:    name,
		VM:          pol.cfg.Owner.VM,
		Incarnation: pol.cfg.Owner.Incarnation,
		Sequence:    one.sequence,
	}, &ReturnReply{})
	if err == nil {
		return
	}
	cel.mtx.Lock()
	defer cel.mtx.Unlock()
	cel.markEnded(party{
		vm:          one.peer.ID,
		incarnation: one.peer.Incarnation,
	})
}
