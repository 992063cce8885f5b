package entry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"cardamompass"
	"cardamompass/internal/fleet/spread"
)

// ReserveArgs requests the reservation of a target for the suspect requests of one VM.
type ReserveArgs struct {
	Target cardamompass.TargetID
	VM     cardamompass.VMID
	// Left is the time after which the reservation expires.
	Left time.Duration
}

// ReserveReply reports whether the reservation was granted.
type ReserveReply struct {
	Granted bool
}

// ReleaseArgs identifies a reservation to release.
type ReleaseArgs struct {
	Target cardamompass.TargetID
	VM     cardamompass.VMID
}

// Reserve reserves a target for suspect requests of a peer.
func (tsv *TargetService) Reserve(args *ReserveArgs, reply *ReserveReply) (err error) {
	reply.Granted = tsv.prc.arbiter.Reserve(args.Target, args.VM, args.Left, tsv.prc.cfg.Clock.Now())
	return nil
}

// Release releases the reservation of a peer.
func (tsv *TargetService) Release(args *ReleaseArgs, _ *EmptyReply) (err error) {
	tsv.prc.arbiter.Release(args.Target, args.VM)
	return nil
}

// arbiterOf returns the VM that grants reservations of a target: the first serving VM in the target's rendezvous order.
func (prc *Process) arbiterOf(tid cardamompass.TargetID) (vmc cardamompass.VM) {
	vms := map[string]cardamompass.VM{string(prc.vm.ID): prc.vm}
	names := []string{string(prc.vm.ID)}
	for _, peer := range prc.servingPeers() {
		vms[string(peer.ID)] = peer
		names = append(names, string(peer.ID))
	}
	return vms[spread.TopRanked(string(tid), names, 1)[0]]
}

// reserve requests a target for a suspect request from the target's arbiter. If the arbiter can't be reached, the
// reservation counts as granted: the request is not refused because of it, and the limit on crashes then holds within
// each partition of VMs that can reach each other.
func (prc *Process) reserve(ctx context.Context, tid cardamompass.TargetID, left time.Duration) (release func(), ok bool) {
	arb := prc.arbiterOf(tid)
	if arb.ID == prc.vm.ID {
		return func() { prc.arbiter.Release(tid, prc.vm.ID) }, prc.arbiter.Reserve(tid, prc.vm.ID, left, prc.cfg.Clock.Now())
	}
	ctx, cancel := context.WithTimeout(ctx, targetCallTimeout)
	defer cancel()
	var reply ReserveReply
	err := prc.client.Call(ctx, arb.PeerAddress, targetServiceName+".Reserve", &ReserveArgs{
		Target: tid,
		VM:     prc.vm.ID,
		Left:   left,
	}, &reply)
	if err != nil {
		prc.cfg.Log.Warn("arbiter not reached; target used for a suspect request without a reservation", zap.String("target", string(tid)),
			zap.String("peer", string(arb.ID)), zap.Error(err))
		return func() {}, true
	}
	return func() { prc.release(arb, tid) }, reply.Granted
}

// release releases a reservation at a peer without waiting for the reply. A reservation that is not released expires.
func (prc *Process) release(arb cardamompass.VM, tid cardamompass.TargetID) {
	prc.wtg.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), targetCallTimeout)
		defer cancel()
		err := prc.client.Call(ctx, arb.PeerAddress, targetServiceName+".Release", &ReleaseArgs{
			Target: tid,
			VM:     prc.vm.ID,
		}, &EmptyReply{})
		if err != nil {
			prc.cfg.Log.Debug("reservation not released; it will expire",
				zap.String("target", string(tid)), zap.String("peer", string(arb.ID)), zap.Error(err))
		}
	})
}
