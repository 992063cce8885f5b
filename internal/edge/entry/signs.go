package entry

import (
	"context"
	"math/rand"
	"sync"
	"time"

	"go.uber.org/zap"

	"cardamompass"
	"cardamompass/internal/steer/guard"
	"cardamompass/internal/steer/health"
)

const (
	// targetServiceName is the name under which Signs is registered at the peer server.
	targetServiceName = "Signs"
	// signTimeout bounds one message about a leaving target.
	signTimeout = time.Second
	// signPeers bounds the VMs that one VM tells about a leaving target. In a larger fleet the own probes of the other VMs
	// find the same sign within a probe interval, and telling all would cost the square of the fleet.
	signPeers = 16
)

// LeavingArgs says that targets leave.
type LeavingArgs struct {
	Target cardamompass.TargetID
}

// SuspectsArgs carries what the guard of another VM found.
type SuspectsArgs struct {
	Report guard.Report
}

// EmptyReply is empty.
type EmptyReply struct{}

// TargetService answers the messages of other entry VMs about targets. Its methods have the form that net/rpc wants.
type TargetService struct {
	prc *Process
}

// Leaving records the report of a peer that a target leaves.
func (sgn *TargetService) Leaving(args *LeavingArgs, _ *EmptyReply) (err error) {
	sgn.prc.tracker.MarkLeaving(args.Target, health.SignalPeerReport, sgn.prc.cfg.Clock.Now())
	return nil
}

// Suspects merges the report of a peer about content that crashes its targets, and avoids the targets that crashed: without
// that, each VM would find out by failed attempts, which use up the retries.
func (sgn *TargetService) Suspects(args *SuspectsArgs, _ *EmptyReply) (err error) {
	now := sgn.prc.cfg.Clock.Now()
	sgn.prc.guard.Merge(args.Report, now)
	for _, sus := range args.Report.Suspicions {
		sgn.prc.tracker.MarkDown(sus.Target, now)
	}
	return nil
}

// others returns the peers that are serving, in random order.
func (prc *Process) others() (peers []cardamompass.VM) {
	for _, mbr := range prc.members.Members() {
		if mbr.Serving() && mbr.VM.ID != prc.vm.ID {
			peers = append(peers, mbr.VM)
		}
	}
	rand.Shuffle(len(peers), func(one, two int) { peers[one], peers[two] = peers[two], peers[one] })
	return peers
}

// announceLeaving tells other VMs at once that a target leaves, without waiting for them.
func (prc *Process) announceLeaving(rep health.LeavingReport) {
	prc.cfg.Log.Info("target leaves", zap.String("target", string(rep.Target)), zap.String("sign", rep.Signal.String()))
	peers := prc.others()
	args := &LeavingArgs{
		Target: rep.Target,
	}
	for _, peer := range peers[:min(len(peers), signPeers)] {
		prc.wtg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), signTimeout)
			defer cancel()
			if err := prc.client.Call(ctx, peer.PeerAddress, targetServiceName+".Leaving", args, &EmptyReply{}); err != nil {
				prc.cfg.Log.Debug("peer not told of leaving target", zap.String("peer", string(peer.ID)), zap.Error(err))
			}
		})
	}
}

// reportSuspects tells all other VMs what the guard found, and returns when each has answered or ctx ended.
func (prc *Process) reportSuspects(ctx context.Context, rep guard.Report) {
	for _, blk := range rep.Blocks {
		prc.cfg.Log.Warn("content blocked after it crashed its targets",
			zap.String("content", blk.Key.String()), zap.Duration("time-left", blk.Left))
	}
	args := &SuspectsArgs{
		Report: rep,
	}
	var wtg sync.WaitGroup
	for _, peer := range prc.others() {
		wtg.Go(func() {
			if err := prc.client.Call(ctx, peer.PeerAddress, targetServiceName+".Suspects", args, &EmptyReply{}); err != nil {
				prc.cfg.Log.Warn("peer not told of suspect content", zap.String("peer", string(peer.ID)), zap.Error(err))
			}
		})
	}
	wtg.Wait()
}
