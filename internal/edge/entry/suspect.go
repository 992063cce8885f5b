package entry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"cardamompass"
	"cardamompass/internal/fleet/spread"
)

// ReserveArgs asks for a target on which a suspect of a VM may run.
type ReserveArgs struct {
	Target cardamompass.TargetID
	VM     cardamompass.VMID
	// Left is the longest time for which the target is needed.
	Left time.Duration
}

// ReserveReply says whether the target is reserved.
type ReserveReply struct {
	Granted bool
}

// ReleaseArgs ends the reservation of a target.
type ReleaseArgs struct {
	Target cardamompass.TargetID
	VM     cardamompass.VMID
}

// Reserve reserves a target for the suspects of a peer.
func (sgn *TargetService) Reserve(args *ReserveArgs, reply *ReserveReply) (err error) {
	reply.Granted = sgn.prc.arbiter.Reserve(args.Target, args.VM, args.Left, sgn.prc.cfg.Clock.Now())
	return nil
}

// Release ends the reservation of a peer.
func (sgn *TargetService) Release(args *ReleaseArgs, _ *EmptyReply) (err error) {
	sgn.prc.arbiter.Release(args.Target, args.VM)
	return nil
}

// arbiterOf returns the VM that decides about the suspects on a target: the first serving one in the rendezvous order of the target.
func (prc *Process) arbiterOf(tid cardamompass.TargetID) (vmc cardamompass.VM) {
	vms := map[string]cardamompass.VM{string(prc.vm.ID): prc.vm}
	names := []string{string(prc.vm.ID)}
	for _, peer := range prc.others() {
		vms[string(peer.ID)] = peer
		names = append(names, string(peer.ID))
	}
	return vms[spread.TopRanked(string(tid), names, 1)[0]]
}

// reserve asks for a target for a suspect. When the VM that decides can't be reached, the target is taken as granted: a request is not
// refused for it, and the bound on crashes holds for each group of VMs that reach each other.
func (prc *Process) reserve(ctx context.Context, tid cardamompass.TargetID, left time.Duration) (release func(), ok bool) {
	arb := prc.arbiterOf(tid)
	if arb.ID == prc.vm.ID {
		return func() { prc.arbiter.Release(tid, prc.vm.ID) }, prc.arbiter.Reserve(tid, prc.vm.ID, left, prc.cfg.Clock.Now())
	}
	ctx, cancel := context.WithTimeout(ctx, signTimeout)
	defer cancel()
	var reply ReserveReply
	err := prc.client.Call(ctx, arb.PeerAddress, targetServiceName+".Reserve", &ReserveArgs{
		Target: tid,
		VM:     prc.vm.ID,
		Left:   left,
	}, &reply)
	if err != nil {
		prc.cfg.Log.Warn("target for a suspect taken without a reservation", zap.String("target", string(tid)),
			zap.String("peer", string(arb.ID)), zap.Error(err))
		return func() {}, true
	}
	return func() { prc.release(arb, tid) }, reply.Granted
}

// release ends a reservation at a peer without waiting for it. A reservation that is not released ends by itself.
func (prc *Process) release(arb cardamompass.VM, tid cardamompass.TargetID) {
	prc.wtg.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), signTimeout)
		defer cancel()
		err := prc.client.Call(ctx, arb.PeerAddress, targetServiceName+".Release", &ReleaseArgs{
			Target: tid,
			VM:     prc.vm.ID,
		}, &EmptyReply{})
		if err != nil {
			prc.cfg.Log.Debug("reservation not released", zap.String("target", string(tid)), zap.String("peer", string(arb.ID)), zap.Error(err))
		}
	})
}
