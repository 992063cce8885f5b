package entry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"cardamompass"
)

const (
	// announceTime is the time after which all other entry VMs know that this one leaves, and name it no more in look-ups.
	announceTime = 3 * time.Second
	// operationDrain bounds the wait for operations that run when this VM closes for new ones.
	operationDrain = 30 * time.Second
	// leaveTimeout bounds the farewell to the membership.
	leaveTimeout = 2 * time.Second
)

// Stop makes a planned stop. It returns when all requests have ended, or with an error when ctx ends first. The process has to
// be cleaned up afterwards.
func (prc *Process) Stop(ctx context.Context) (err error) {
	prc.cfg.Log.Info("planned stop begins")
	prc.leaving.Store(true)
	prc.members.AnnounceLeaving()
	prc.pool.StopLending()
	prc.refreshLookups()
	// An answer that names this VM may be given until the announcement is everywhere, and is used for its max-age after that.
	_ = cardamompass.Sleep(ctx, prc.cfg.Clock, prc.cfg.Settings.LookupMaxAge+announceTime) // a stop that must hurry goes on
	successor, ok := prc.successor()
	if ok {
		if herr := prc.opers.TransferRecords(ctx, successor, operationDrain); herr != nil {
			prc.cfg.Log.Warn("operation records not handed over", zap.String("successor", string(successor.ID)), zap.Error(herr))
		}
	}
	err = prc.callers.Shutdown(ctx)
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

// successor returns the VM that takes over this VM's operation records: an alive one, of the same region if there is one,
// and there of another failure domain if there is one.
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
