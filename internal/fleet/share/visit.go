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

// leaseMemoryPart bounds leaseMemory to a part of short leases.
const leaseMemoryPart = 12

func (pol *Pool) key(name string) string { return pol.cfg.KeyPrefix + name }

// visitLedger moves this incarnation's units of one resource towards an equal part.
func (pol *Pool) visitLedger(ctx context.Context, name string) (err error) {
	defer func() { err = errors.Wrap(err, "visit ledger") }()
	for range visitTries {
		done, err := pol.tryVisit(ctx, name)
		if done || err != nil {
			return err
		}
		// Visitors that lost a race come back at different times.
		if err := cardamompass.Sleep(ctx, pol.cfg.Clock, time.Duration(pol.cfg.Random(int64(20*time.Millisecond)))); err != nil {
			return err
		}
	}
	return errors.New("lost the compare-and-swap too often")
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

func (pol *Pool) tryVisit(ctx context.Context, name string) (done bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	led, revision, err := pol.readLedger(ctx, name)
	if err != nil {
		return false, err
	}
	gone, stuck, err := pol.lostOwners(ctx, led)
	if err != nil {
		return false, err
	}
	cel := pol.cell(name)
	next, force := pol.plan(cel, led, revision, gone, stuck)
	if next.Equal(led) && !force {
		cel.confirm(next.Units(pol.owner()), next.Capacity)
		pol.followUneven(ctx, name, next)
		return true, nil
	}
	data, err := next.Marshal()
	if err != nil {
		return false, err
	}
	_, err = pol.cfg.Store.Put(ctx, pol.key(name), data, revision)
	done, err = pol.settle(cel, next, revision, err)
	if done {
		pol.followUneven(ctx, name, next)
	}
	return done, err
}

// followUneven makes an uneven division even soon: this VM visits the ledger again, and if it is the one that owns too little,
// the VM that owns most is told to do so too.
func (pol *Pool) followUneven(ctx context.Context, name string, led Ledger) {
	if !led.uneven(pol.cell(name).least()) {
		return
	}
	pol.setDue(name)
	if !led.lacks(pol.cfg.Owner) {
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
			pol.cfg.Log.Debug("owner not told of uneven units", zap.String("resource", name), zap.Error(err))
		}
		return
	}
}

// plan decides on the next ledger. Units that it gives up are not used from here on, before the write that gives them to
// others is sent.
func (pol *Pool) plan(cel *cell, led Ledger, revision int64, gone, stuck map[Owner]bool) (next Ledger, force bool) {
	now := pol.cfg.Clock.Now()
	own := pol.owner()
	pol.mtx.Lock()
	version := pol.version
	pol.mtx.Unlock()
	cel.mtx.Lock()
	defer cel.mtx.Unlock()
	if cel.doubt && revision != cel.doubtRevision {
		// A compare-and-swap at an earlier revision can't take effect any more.
		cel.doubt = false
	}
	floor := cel.lent.total(now)
	if cel.res.Kind == KindSlots {
		floor += cel.inUse
	}
	next = led.Plan(PlanInput{
		Owner:                 own,
		PredecessorLoansEnded: now.Sub(pol.started) > lenderEnd(now, pol.cfg.LoanTTL, cel.res.MaxRunTime).Sub(now),
		Resource:              cel.res,
		CatalogueVersion:      version,
		ConfirmedUnits:        cel.units,
		MembersWithoutEntry:   pol.absent(led),
		Floor:                 floor,
		Expired:               func(ent Entry) bool { return gone[ent.Owner] },
		Unavailable:           func(ent Entry) bool { return stuck[ent.Owner] },
	})
	cel.units = min(cel.units, next.Units(own))
	return next, cel.doubt
}

// absent returns the number of other alive members that have no entry in a ledger.
func (pol *Pool) absent(led Ledger) (count int64) {
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

// settle applies the result of the write of next at revision.
func (pol *Pool) settle(cel *cell, next Ledger, revision int64, werr error) (done bool, err error) {
	var cfl *cardamompass.ConflictError
	var unk *cardamompass.WriteUnknownError
	switch {
	case werr == nil:
		cel.confirm(next.Units(pol.owner()), next.Capacity)
		return true, nil
	case errors.As(werr, &cfl):
		return false, nil
	case errors.As(werr, &unk):
		cel.mtx.Lock()
		defer cel.mtx.Unlock()
		cel.doubt = true
		cel.doubtRevision = revision
		return false, nil
	default:
		return false, werr
	}
}

// least is the smallest part of the resource that one VM owns.
func (cel *cell) least() int64 {
	cel.mtx.Lock()
	defer cel.mtx.Unlock()
	return cel.res.minUnits()
}

// confirm records the units that the ledger gives to this incarnation.
func (cel *cell) confirm(units, capacity int64) {
	cel.mtx.Lock()
	defer cel.mtx.Unlock()
	cel.units = units
	cel.basis = capacity
	cel.doubt = false
}

// lostOwners returns the owners that the membership does not hold for serving: gone are those whose lease has lapsed
// according to the store, so that their units can be taken; stuck are the others. Silence alone is no reason to take units.
func (pol *Pool) lostOwners(ctx context.Context, led Ledger) (gone, stuck map[Owner]bool, err error) {
	serving := make(map[party]bool)
	for _, mbr := range pol.cfg.Members.Members() {
		if mbr.Serving() {
			serving[party{vm: mbr.VM.ID, incarnation: mbr.VM.Incarnation}] = true
		}
	}
	gone, stuck = make(map[Owner]bool), make(map[Owner]bool)
	for _, ent := range led.Entries {
		if ent.same(pol.cfg.Owner) || serving[party{vm: ent.VM, incarnation: ent.Incarnation}] {
			continue
		}
		if _, ok := pol.leasesAlive[ent.Lease]; ok {
			stuck[ent.Owner] = true
			continue
		}
		_, err := pol.cfg.Store.Inspect(ctx, ent.Lease)
		var nfd *cardamompass.NotFoundError
		switch {
		case errors.As(err, &nfd):
			gone[ent.Owner] = true
		case err != nil:
			return nil, nil, err
		default:
			stuck[ent.Owner] = true
			pol.leasesAlive[ent.Lease] = pol.cfg.Clock.Now().Add(min(leaseMemory, pol.cfg.LeaseTTL/leaseMemoryPart))
		}
	}
	return gone, stuck, nil
}

// forgetLeases drops what is known of leases for too long.
func (pol *Pool) forgetLeases() {
	now := pol.cfg.Clock.Now()
	maps.DeleteFunc(pol.leasesAlive, func(_ cardamompass.LeaseID, until time.Time) bool { return !now.Before(until) })
}

// releaseLedger takes this incarnation's entry out of one ledger, or lowers it to what is still lent or in use.
func (pol *Pool) releaseLedger(ctx context.Context, name string) (kept bool, err error) {
	cel := pol.cell(name)
	for range visitTries {
		led, revision, err := pol.readLedger(ctx, name)
		if err != nil {
			return true, err
		}
		own := pol.owner()
		if led.Units(own) == 0 && led.WithoutOwner(own).Equal(led) {
			return false, nil
		}
		cel.mtx.Lock()
		left := min(cel.units, cel.lent.total(pol.cfg.Clock.Now())+cel.inUse)
		cel.units = left
		cel.mtx.Unlock()
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
	return true, errors.New("lost the compare-and-swap too often")
}
