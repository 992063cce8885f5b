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
	// targetServiceName is the name under which TargetService is registered at the peer server.
	targetServiceName = "Signs"
	// targetCallTimeout bounds one call of a peer's TargetService.
	targetCallTimeout = time.Second
	// leavingFanout bounds the number of VMs that are notified of a leaving target. In a larger fleet the health probes of
	// the other VMs detect it within a probe interval, and notifying all would cost O(n²) calls for n VMs.
	leavingFanout = 16
)

// LeavingArgs reports a target that is leaving.
type LeavingArgs struct {
	Target cardamompass.TargetID
}

// SuspectsArgs carries the guard report of another VM.
type SuspectsArgs struct {
	Report guard.Report
}

// EmptyReply is the reply of calls that return nothing.
type EmptyReply struct{}

// TargetService handles the calls of other entry VMs about targets. Its methods have the signature that net/rpc requires.
type TargetService struct {
	prc *Process
}

// Leaving records that a target is leaving, as reported by a peer.
func (tsv *TargetService) Leaving(args *LeavingArgs, _ *EmptyReply) (err error) {
	tsv.prc.tracker.MarkLeaving(args.Target, health.SignalPeerReport, tsv.prc.cfg.Clock.Now())
	return nil
}

// Suspects merges the guard report of a peer about content that crashes its targets, and marks the targets that crashed
// as down. Otherwise each VM would detect the crash by failed attempts, which consume retries.
func (tsv *TargetService) Suspects(args *SuspectsArgs, _ *EmptyReply) (err error) {
	now := tsv.prc.cfg.Clock.Now()
	tsv.prc.guard.Merge(args.Report, now)
	for _, sus := range args.Report.Suspicions {
		tsv.prc.tracker.MarkDown(sus.Target, now)
	}
	return nil
}

// servingPeers returns the other entry VMs that are serving, in random order.
func (prc *Process) servingPeers() (peers []cardamompass.VM) {
	for _, mbr := range prc.members.Members() {
		if mbr.Serving() && mbr.VM.ID != prc.vm.ID {
			peers = append(peers, mbr.VM)
		}
	}
	rand.Shuffle(len(peers), func(one, two int) { peers[one], peers[two] = peers[two], peers[one] })
	return peers
}

// announceLeaving notifies up to leavingFanout peers of a leaving target. It does not wait for their replies.
func (prc *Process) announceLeaving(rep health.LeavingReport) {
	prc.cfg.Log.Info("target leaves", zap.String("target", string(rep.Target)), zap.String("sign", rep.Signal.String()))
	peers := prc.servingPeers()
	args := &LeavingArgs{
		Target: rep.Target,
	}
	for _, peer := range peers[:min(len(peers), leavingFanout)] {
		prc.wtg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), targetCallTimeout)
			defer cancel()
			if err := prc.client.Call(ctx, peer.PeerAddress, targetServiceName+".Leaving", args, &EmptyReply{}); err != nil {
				prc.cfg.Log.Debug("peer not told of leaving target", zap.String("peer", string(peer.ID)), zap.Error(err))
			}
		})
	}
}

// reportSuspects sends a guard report to all serving peers, and returns when each has replied or ctx has ended.
func (prc *Process) reportSuspects(ctx context.Context, rep guard.Report) {
	for _, blk := range rep.Blocks {
		prc.cfg.Log.Warn("content blocked after it crashed its targets",
			zap.String("content", blk.Key.String()), zap.Duration("time-left", blk.Left))
	}
	args := &SuspectsArgs{
		Report: rep,
	}
	var wtg sync.WaitGroup
	for _, peer := range prc.servingPeers() {
		wtg.Go(func() {
			if err := prc.client.Call(ctx, peer.PeerAddress, targetServiceName+".Suspects", args, &EmptyReply{}); err != nil {
				prc.cfg.Log.Warn("peer not told of suspect content", zap.String("peer", string(peer.ID)), zap.Error(err))
			}
		})
	}
	wtg.Wait()
}
