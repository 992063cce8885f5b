package share

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"cardamompass"
)

// leaseCacheFraction bounds the time in the lease cache to this fraction of the TTL of short leases.
const leaseCacheFraction = 12

func (pol *Pool) key(name string) string { return pol.cfg.KeyPrefix + name }

// rebalanceLedger moves this incarnation's units of one resource towards its share.
func (pol *Pool) rebalanceLedger(ctx context.Context, name string) (err error) {
	defer func() { err = errors.Wrap(err, "visit ledger") }()
	for range rebalanceTries {
		done, err := pol.tryRebalance(ctx, name)
		if done || err != nil {
			return err
		}
		// VMs that lost the same race retry at different times.
		if err := cardamompass.Sleep(ctx, pol.cfg.Clock, time.Duration(pol.cfg.Random(int64(20*time.Millisecond)))); err != nil {
			return err
		}
	}
	return errors.New("too many compare-and-swap conflicts")
}

// readLedger returns the ledger of a resource and its revision, 0 if there is none yet.
func (pol *Pool) readLedger(ctx context.Context, name string) (led Ledger, revision int64, err error) {
	val, err := pol.cfg.Store.Get(ctx, pol.key(name))
	var nfd *cardamompass.NotFoundError
	if errors.As(err, &nfd) {
		return Ledger{}, 0, nil
	}
	if err != nil {
		return Ledger{}, 0, err
	}
	led, err = ParseLedger(val.Data)
	return led, val.Revision, err
}

func (pol *Pool) tryRebalance(ctx context.Context, name string) (done bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	led, revision, err := pol.readLedger(ctx, name)
	if err != nil {
		return false, err
	}
	expired, unavailable, err := pol.nonServingOwners(ctx, led)
	if err != nil {
		return false, err
	}
	alc := pol.allocation(name)
	next, force := pol.plan(alc, led, revision, expired, unavailable)
	if next.Equal(led) && !force {
		alc.confirm(next.Units(pol.owner()), next.Capacity)
		pol.correctUneven(ctx, name, next)
		return true, nil
	}
	data, err := next.Marshal()
	if err != nil {
		return false, err
	}
	_, err = pol.cfg.Store.Put(ctx, pol.key(name), data, revision)
	done, err = pol.applyWriteResult(alc, next, revision, err)
	if done {
		pol.correctUneven(ctx, name, next)
	}
	return done, err
}

// correctUneven schedules a rebalance of an unevenly divided ledger. If this VM is underallocated, it requests the same of the
// VM that owns most units.
func (pol *Pool) correctUneven(ctx context.Context, name string, led Ledger) {
	if !led.uneven(pol.allocation(name).minUnits()) {
		return
	}
	pol.scheduleRebalance(name)
	if !led.underallocated(pol.cfg.Owner) {
		return
	}
	most := slices.MaxFunc(led.Entries, func(one, two Entry) int { return cmp.Compare(one.Units, two.Units) })
	for _, mbr := range pol.cfg.Members.Members() {
		if mbr.VM.ID != most.VM || mbr.VM.Incarnation != most.Incarnation || !mbr.Serving() {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
		defer cancel()
		args := &UnevenArgs{
			Resource: name,
		}
		if err := pol.cfg.Peers.Call(ctx, mbr.VM.PeerAddress, ServiceName+".Uneven", args, &UnevenReply{}); err != nil {
			pol.cfg.Log.Debug("uneven units not reported to the owner", zap.String("resource", name), zap.Error(err))
		}
		return
	}
}

// plan returns the next ledger. force reports whether to write it even if it is unchanged. Units that it gives up are no longer
// used from here on, before the write that makes them available to others is sent.
func (pol *Pool) plan(alc *allocation, led Ledger, revision int64, expired, unavailable map[Owner]bool) (next Ledger, force bool) {
	now := pol.cfg.Clock.Now()
	own := pol.owner()
	pol.mtx.Lock()
	version := pol.version
	pol.mtx.Unlock()
	alc.mtx.Lock()
	defer alc.mtx.Unlock()
	if alc.uncertainWrite && revision != alc.uncertainRevision {
		// A pending compare-and-swap at an earlier revision can no longer take effect.
		alc.uncertainWrite = false
	}
	floor := alc.lent.total(now)
	if alc.res.Kind == KindSlots {
		floor += alc.inUse
	}
	next = led.Plan(PlanInput{
		Owner:                 own,
		PredecessorLoansEnded: now.Sub(pol.started) > lenderLoanEnd(now, pol.cfg.LoanTTL, alc.res.MaxRunTime).Sub(now),
		Resource:              alc.res,
		CatalogueVersion:      version,
		ConfirmedUnits:        alc.units,
		MembersWithoutEntry:   pol.membersWithoutEntry(led),
		Floor:                 floor,
		Expired:               func(ent Entry) bool { return expired[ent.Owner] },
		Unavailable:           func(ent Entry) bool { return unavailable[ent.Owner] },
	})
	alc.units = min(alc.units, next.Units(own))
	return next, alc.uncertainWrite
}

// membersWithoutEntry returns the number of other alive members without an entry in a ledger.
func (pol *Pool) membersWithoutEntry(led Ledger) (count int64) {
	for _, mbr := range pol.cfg.Members.Members() {
		if mbr.State != cardamompass.StateAlive || mbr.VM.ID == pol.cfg.Owner.VM {
			continue
		}
		present := slices.ContainsFunc(led.Entries, func(ent Entry) bool {
			return ent.VM == mbr.VM.ID && ent.Incarnation == mbr.VM.Incarnation
		})
		if !present {
			count++
		}
	}
	return count
}

// applyWriteResult applies the result of writing next at revision. done is false if the write has to be tried again.
func (pol *Pool) applyWriteResult(alc *allocation, next Ledger, revision int64, werr error) (done bool, err error) {
	var cfl *cardamompass.ConflictError
	var unk *cardamompass.WriteUnknownError
	switch {
	case werr == nil:
		alc.confirm(next.Units(pol.owner()), next.Capacity)
		return true, nil
	case errors.As(werr, &cfl):
		return false, nil
	case errors.As(werr, &unk):
		alc.mtx.Lock()
		defer alc.mtx.Unlock()
		alc.uncertainWrite = true
		alc.uncertainRevision = revision
		return false, nil
	default:
		return false, werr
	}
}

// minUnits returns the smallest number of units of the resource that one VM owns.
func (alc *allocation) minUnits() int64 {
	alc.mtx.Lock()
	defer alc.mtx.Unlock()
	return alc.res.minUnits()
}

// confirm records the units that the ledger assigns to this incarnation, and the ledger's capacity.
func (alc *allocation) confirm(units, capacity int64) {
	alc.mtx.Lock()
	defer alc.mtx.Unlock()
	alc.units = units
	alc.ledgerCapacity = capacity
	alc.uncertainWrite = false
}

// nonServingOwners returns the owners that do not serve according to the membership: expired are those whose lease has lapsed
// according to the store, so that their units can be taken; unavailable are the others. An owner that is merely unreachable
// keeps its units.
func (pol *Pool) nonServingOwners(ctx context.Context, led Ledger) (expired, unavailable map[Owner]bool, err error) {
	serving := make(map[vmIncarnation]bool)
	for _, mbr := range pol.cfg.Members.Members() {
		if mbr.Serving() {
			serving[vmIncarnation{vm: mbr.VM.ID, incarnation: mbr.VM.Incarnation}] = true
		}
	}
	expired, unavailable = make(map[Owner]bool), make(map[Owner]bool)
	for _, ent := range led.Entries {
		if ent.sameIncarnation(pol.cfg.Owner) || serving[vmIncarnation{vm: ent.VM, incarnation: ent.Incarnation}] {
			continue
		}
		if _, ok := pol.aliveLeases[ent.Lease]; ok {
			unavailable[ent.Owner] = true
			continue
		}
		_, err := pol.cfg.Store.Inspect(ctx, ent.Lease)
		var nfd *cardamompass.NotFoundError
		switch {
		case errors.As(err, &nfd):
			expired[ent.Owner] = true
		case err != nil:
			return nil, nil, err
		default:
			unavailable[ent.Owner] = true
			pol.aliveLeases[ent.Lease] = pol.cfg.Clock.Now().Add(min(leaseCacheTime, pol.cfg.LeaseTTL/leaseCacheFraction))
		}
	}
	return expired, unavailable, nil
}

// evictAliveLeases removes leases from the cache whose time in it is over.
func (pol *Pool) evictAliveLeases() {
	now := pol.cfg.Clock.Now()
	maps.DeleteFunc(pol.aliveLeases, func(_ cardamompass.LeaseID, until time.Time) bool { return !now.Before(until) })
}

// releaseLedger removes this incarnation's entry from one ledger, or lowers it to the units that are still lent or in use.
// kept reports whether an entry may remain.
func (pol *Pool) releaseLedger(ctx context.Context, name string) (kept bool, err error) {
	alc := pol.allocation(name)
	for range rebalanceTries {
		led, revision, err := pol.readLedger(ctx, name)
		if err != nil {
			return true, err
		}
		own := pol.owner()
		if led.Units(own) == 0 && led.WithoutOwner(own).Equal(led) {
			return false, nil
		}
		alc.mtx.Lock()
		left := min(alc.units, alc.lent.total(pol.cfg.Clock.Now())+alc.inUse)
		alc.units = left
		alc.mtx.Unlock()
		next := led.WithoutOwner(own)
		if left > 0 {
			next = next.WithEntry(Entry{
				Owner:  own,
				Units:  left,
				Weight: 1,
			})
		}
		data, err := next.Marshal()
		if err != nil {
			return true, err
		}
		_, err = pol.cfg.Store.Put(ctx, pol.key(name), data, revision)
		if err == nil {
			pol.cfg.Log.Info("units released", zap.String("resource", name), zap.Int64("kept", left))
			return left > 0, nil
		}
		var cfl *cardamompass.ConflictError
		var unk *cardamompass.WriteUnknownError
		if !errors.As(err, &cfl) && !errors.As(err, &unk) {
			return true, err
		}
	}
	return true, errors.New("too many compare-and-swap conflicts")
}
