package entry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"cardamompass"
)

const (
	// leavingPropagationTime is the time after which all other entry VMs have received the announcement that this VM is
	// leaving and no longer list it in look-up responses.
	leavingPropagationTime = 3 * time.Second
	// operationDrainTimeout bounds the wait for running operations once the VM has stopped accepting new ones.
	operationDrainTimeout = 30 * time.Second
	// leaveTimeout bounds the call that announces the departure to the membership.
	leaveTimeout = 2 * time.Second
)

// Stop performs a planned stop. It returns when all requests have ended, or an error if ctx ends first. The cleanup
// function of New must be called afterwards.
func (prc *Process) Stop(ctx context.Context) (err error) {
	prc.cfg.Log.Info("planned stop begins")
	prc.leaving.Store(true)
	prc.members.AnnounceLeaving()
	prc.pool.StopLending()
	prc.refreshLookups()
	// Other VMs may return look-up responses that name this VM until the announcement has reached all of them, and callers
	// use such a response until its max-age ends. If ctx ends first, the stop continues without the rest of the wait.
	_ = cardamompass.Sleep(ctx, prc.cfg.Clock, prc.cfg.Settings.LookupMaxAge+leavingPropagationTime)
	successor, ok := prc.successor()
	if ok {
		if herr := prc.operations.TransferRecords(ctx, successor, operationDrainTimeout); herr != nil {
			prc.cfg.Log.Warn("operation records not handed over", zap.String("successor", string(successor.ID)), zap.Error(herr))
		}
	}
	err = prc.callerServer.Shutdown(ctx)
	if rerr := prc.pool.Release(ctx); rerr != nil {
		prc.cfg.Log.Warn("units not released", zap.Error(rerr))
	}
	lctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if lerr := prc.members.Leave(lctx, successor.ID); lerr != nil {
		prc.cfg.Log.Warn("no member told of the departure", zap.Error(lerr))
	}
	prc.cfg.Log.Info("planned stop done", zap.String("successor", string(successor.ID)), zap.Error(err))
	return err
}

// successor returns the VM that takes over this VM's operation records: an alive VM, preferring first the same
// region and then another failure domain.
func (prc *Process) successor() (vmr cardamompass.VM, ok bool) {
	best := -1
	for _, mbr := range prc.members.Members() {
		if mbr.State != cardamompass.StateAlive || mbr.VM.ID == prc.vm.ID {
			continue
		}
		score := 0
		if mbr.VM.Region == prc.vm.Region {
			score += 2
		}
		if mbr.VM.FailureDomain != prc.vm.FailureDomain {
			score++
		}
		if score > best {
			best, vmr = score, mbr.VM
		}
	}
	return vmr, best >= 0
}
