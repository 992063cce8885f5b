package node

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"cardamompass"
)

const (
	// leaseTTL is how long the entry of a VM remains after its last renewal. Look-ups return a VM that has died for that long.
	leaseTTL = 3 * time.Second
	// renewInterval is short enough that one renewal may be lost.
	renewInterval = time.Second
)

// presence keeps the VM's entry in the store while the VM serves.
type presence struct {
	nod    *Node
	lease  cardamompass.RegistryLease
	ctx    context.Context //nolint:containedctx // cancels calls in progress when the entry is withdrawn
	cancel context.CancelFunc
	done   chan struct{}
	// announcedAt is the time of the last announcement.
	announcedAt time.Time
}

func newPresence(nod *Node) (prs *presence, cleanup func()) {
	ctx, cancel := context.WithCancel(context.Background())
	prs = &presence{
		nod:    nod,
		ctx:    ctx,
		cancel: cancel,
		done:   make(chan struct{}),
	}
	go func() {
		defer close(prs.done)
		prs.run()
	}()
	return prs, prs.stop
}

func (prs *presence) stop() {
	prs.cancel()
	<-prs.done
}

// entryMissing reports whether the entry is missing from the latest view of the store that this VM has. One that was just announced may not
// be there yet.
func (prs *presence) entryMissing() (ok bool) {
	if prs.nod.cfg.Clock.Now().Sub(prs.announcedAt) < renewInterval {
		return false
	}
	vmc, ok := prs.nod.follower.View().VM(prs.nod.self.ID)
	return !ok || vmc.Incarnation != prs.nod.self.Incarnation
}

func (prs *presence) run() {
	announced := false
	tck := time.NewTicker(renewInterval)
	defer tck.Stop()
	for prs.ctx.Err() == nil {
		var err error
		if announced {
			err = prs.renew()
		} else {
			err = prs.announce()
		}
		prs.logResult(announced, err)
		var gone *cardamompass.NotFoundError
		if err == nil {
			if !announced {
				prs.announcedAt = prs.nod.cfg.Clock.Now()
			}
			announced = true
		} else if prs.nod.follower.Check(); errors.As(err, &gone) {
			prs.lease = cardamompass.RegistryLease{}
			announced = false
			if prs.ctx.Err() == nil {
				continue
			}
		}
		select {
		case <-prs.ctx.Done():
		case <-prs.nod.longWatch: // a renewal shows whether the store answers at this moment
			tck.Reset(renewInterval)
		case <-tck.C:
		}
		announced = announced && !prs.entryMissing()
	}
}

func (prs *presence) logResult(announced bool, err error) {
	switch {
	case err != nil && prs.ctx.Err() == nil:
		prs.nod.cfg.Log.Warn("presence not confirmed", zap.Error(err), zap.Int64("lease", prs.lease.ID))
	case err == nil && !announced:
		prs.nod.cfg.Log.Info("presence announced", zap.Int64("lease", prs.lease.ID))
	}
}

func (prs *presence) announce() (err error) {
	if prs.nod.follower.View().Table == nil {
		return errors.New("no routing table is known yet")
	}
	if prs.lease.ID == 0 {
		if prs.lease, err = prs.nod.cfg.Registry.Grant(prs.ctx, max(leaseTTL, prs.nod.Settings().MinLeaseTTL)); err != nil {
			return err
		}
	}
	return prs.nod.cfg.Registry.Announce(prs.ctx, prs.nod.self, prs.lease)
}

func (prs *presence) renew() (err error) { return prs.nod.cfg.Registry.Renew(prs.ctx, prs.lease) }

// withdraw removes the entry from the store.
func (prs *presence) withdraw(ctx context.Context) {
	prs.stop()
	if prs.lease.ID == 0 || prs.lease.Era != prs.nod.follower.View().Era { // in another era it may be the lease of another VM
		return
	}
	if err := prs.nod.cfg.Registry.Revoke(ctx, prs.lease); err != nil {
		prs.nod.cfg.Log.Warn("presence not withdrawn", zap.Error(err))
	}
}
