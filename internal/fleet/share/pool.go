package share

import (
	"context"
	"maps"
	"math/rand"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"cardamompass"
)

const (
	// borrowInterval is the time between two borrow rounds.
	borrowInterval = 100 * time.Millisecond
	// borrowTimeout bounds one request for a loan. It exceeds the round trip between two regions.
	borrowTimeout = 300 * time.Millisecond
	// borrowPeers is the number of additional VMs that are asked for a loan of one resource in one round.
	borrowPeers = 3
	// rebalanceBase and rebalancePerMember give the mean time between two rebalances of all ledgers by one VM, so that the
	// load on the store does not grow with the fleet.
	rebalanceBase      = 5 * time.Second
	rebalancePerMember = 2800 * time.Millisecond
	// unevenBase and unevenPerMember replace them for ledgers that are divided unevenly.
	unevenBase      = time.Second
	unevenPerMember = 50 * time.Millisecond
	// rebalanceTries bounds the compare-and-swap attempts of one rebalance of a ledger.
	rebalanceTries = 5
	// smallFleetSize is the number of members up to which all VMs rebalance all ledgers after a change of the membership:
	// 30 VMs read 44 ledgers within 2.5 s, 530 reads per second.
	smallFleetSize = 30
	// leaseCacheTime is how long a lease that was found alive is not read again. An owner that crashed keeps its units for
	// the whole lease anyway, and one read for each ledger and rebalance exceeds the store's rate after many crashes.
	leaseCacheTime = 5 * time.Minute
	// storeTimeout bounds the calls of the store of one attempt.
	storeTimeout = 3 * time.Second
)

// Config configures a Pool.
type Config struct {
	// Owner identifies this incarnation. Its Lease is set by the Pool.
	Owner   Owner
	Store   cardamompass.Store
	Peers   cardamompass.PeerCaller
	Members cardamompass.Membership
	Clock   cardamompass.Clock
	Log     *zap.Logger
	// LeaseTTL is the time for which units outlive the last contact with the store.
	LeaseTTL time.Duration
	// LoanTTL is the duration of a loan.
	LoanTTL time.Duration
	// KeyPrefix is the prefix of the ledgers' keys, followed by the name of the resource.
	KeyPrefix string
	// Random returns a number in [0, n). Nil means math/rand.
	Random func(n int64) int64
}

// Pool holds this incarnation's units of every resource.
type Pool struct {
	cfg     Config
	lease   atomic.Pointer[heldLease]
	leaving atomic.Bool
	// lendingStopped is set when a planned stop begins: units that are still lent at its end stay unused after it.
	lendingStopped   atomic.Bool
	sequence         atomic.Uint64
	mtx              sync.Mutex
	allocations      map[string]*allocation
	version          int64
	resourcesChanged chan struct{}
	// rebalancing serializes rebalances: concurrent ones of a ledger would race on the confirmed units.
	rebalancing sync.Mutex
	started     time.Time
	// aliveLeases caches until when the lease of another owner is considered alive, guarded by rebalancing.
	aliveLeases map[cardamompass.LeaseID]time.Time
	// due are the ledgers to rebalance at dueTime, guarded by mtx; dueAdded signals the first of them.
	due      map[string]bool
	dueTime  time.Time
	dueAdded chan struct{}
}

type heldLease struct {
	id   cardamompass.LeaseID
	ends time.Time
}

// New returns a Pool without resources. It makes no calls before Start, Rebalance or BorrowRound.
func New(cfg Config) *Pool {
	if cfg.Random == nil {
		cfg.Random = rand.Int63n
	}
	pol := &Pool{
		cfg:              cfg,
		allocations:      make(map[string]*allocation),
		resourcesChanged: make(chan struct{}, 1),
		started:          cfg.Clock.Now(),
		due:              make(map[string]bool),

		aliveLeases: make(map[cardamompass.LeaseID]time.Time),
		dueAdded:    make(chan struct{}, 1),
	}
	pol.lease.Store(&heldLease{})
	return pol
}

// Start rebalances the ledgers and borrows in the background until cleanup is called. The cleanup does not give units back, see
// Release.
func (pol *Pool) Start() (cleanup func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var wtg sync.WaitGroup
	wtg.Go(func() { pol.runRebalancing(ctx) })
	wtg.Go(func() { pol.runLoans(ctx) })
	return func() {
		cancel()
		wtg.Wait()
	}
}

// SetResources replaces the active caps by those of a catalogue version. Units of a resource that is no longer listed
// can't be used.
func (pol *Pool) SetResources(resources []Resource, version int64) {
	now := pol.cfg.Clock.Now()
	pol.mtx.Lock()
	defer pol.mtx.Unlock()
	pol.version = version
	named := make(map[string]bool, len(resources))
	changed := false
	for _, res := range resources {
		named[res.Name] = true
		alc, ok := pol.allocations[res.Name]
		if !ok {
			pol.allocations[res.Name] = newAllocation(res, now)
			changed = true
			continue
		}
		alc.mtx.Lock()
		changed = changed || alc.res.Capacity != res.Capacity
		alc.res = res
		alc.mtx.Unlock()
	}
	for name, alc := range pol.allocations {
		if !named[name] {
			alc.mtx.Lock()
			alc.res.Capacity = 0
			alc.mtx.Unlock()
		}
	}
	if changed {
		select {
		case pol.resourcesChanged <- struct{}{}:
		default:
		}
	}
}

// Rate returns this VM's handle of a rate, nil if the catalogue does not define it.
func (pol *Pool) Rate(name string) *Rate {
	alc := pol.allocation(name)
	if alc == nil {
		return nil
	}
	return &Rate{
		pol: pol,
		alc: alc,
	}
}

// Slots returns this VM's handle of slots, nil if the catalogue does not define them.
func (pol *Pool) Slots(name string) *Slots {
	alc := pol.allocation(name)
	if alc == nil {
		return nil
	}
	return &Slots{
		pol: pol,
		alc: alc,
	}
}

func (pol *Pool) allocation(name string) *allocation {
	pol.mtx.Lock()
	defer pol.mtx.Unlock()
	return pol.allocations[name]
}

func (pol *Pool) names() (names []string) {
	pol.mtx.Lock()
	defer pol.mtx.Unlock()
	for name := range pol.allocations {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (pol *Pool) leaseEnds() time.Time { return pol.lease.Load().ends }

// runRebalancing renews the lease and rebalances all ledgers at intervals, and those that are divided unevenly sooner.
func (pol *Pool) runRebalancing(ctx context.Context) {
	pol.Rebalance(ctx)
	full := pol.nextFullRebalance()
	for {
		next := full
		if due, ok := pol.dueAt(); ok && due.Before(full) {
			next = due
		}
		tmr := pol.cfg.Clock.NewTimer(next.Sub(pol.cfg.Clock.Now()))
		select {
		case <-ctx.Done():
			tmr.Stop()
			return
		case <-pol.resourcesChanged:
			pol.Rebalance(ctx)
		case <-pol.dueAdded:
			// A ledger became due; the time of the next rebalance is computed again.
		case <-tmr.C():
			if next.Before(full) {
				pol.rebalance(ctx, pol.takeDue())
				break
			}
			pol.Rebalance(ctx)
			full = pol.nextFullRebalance()
		}
		tmr.Stop()
	}
}

// nextFullRebalance returns the time of the next rebalance of all ledgers. Rebalances also renew the lease, so several of them
// must take place within its TTL.
func (pol *Pool) nextFullRebalance() time.Time {
	return pol.cfg.Clock.Now().Add(min(pol.jittered(rebalanceBase, rebalancePerMember), pol.cfg.LeaseTTL/4))
}

// jittered returns a random interval whose mean is base plus perMember for each member of the fleet.
func (pol *Pool) jittered(base, perMember time.Duration) time.Duration {
	interval := base + time.Duration(len(pol.cfg.Members.Members())*int(perMember))
	return interval/2 + time.Duration(pol.cfg.Random(int64(interval)))
}

// MembersChanged schedules a rebalance of all ledgers in a small fleet, so that the units of a VM that left are reassigned
// within seconds. In a larger fleet that would exceed the store's read rate, and one VM's units are a small fraction.
func (pol *Pool) MembersChanged() {
	if len(pol.cfg.Members.Members()) > smallFleetSize {
		return
	}
	for _, name := range pol.names() {
		pol.scheduleRebalance(name)
	}
}

// scheduleRebalance schedules an early rebalance of a ledger, because it is divided unevenly or another VM lacks units.
func (pol *Pool) scheduleRebalance(name string) {
	at := pol.cfg.Clock.Now().Add(pol.jittered(unevenBase, unevenPerMember))
	pol.mtx.Lock()
	defer pol.mtx.Unlock()
	if len(pol.due) == 0 {
		pol.dueTime = at
		select {
		case pol.dueAdded <- struct{}{}:
		default:
		}
	}
	pol.due[name] = true
}

func (pol *Pool) dueAt() (at time.Time, ok bool) {
	pol.mtx.Lock()
	defer pol.mtx.Unlock()
	return pol.dueTime, len(pol.due) > 0
}

func (pol *Pool) takeDue() (names []string) {
	pol.mtx.Lock()
	defer pol.mtx.Unlock()
	names = slices.Sorted(maps.Keys(pol.due))
	clear(pol.due)
	return names
}

// Rebalance renews the lease if that is due and rebalances every ledger once. Failures are logged; the next rebalance tries
// again.
func (pol *Pool) Rebalance(ctx context.Context) {
	pol.rebalance(ctx, pol.names())
}

func (pol *Pool) rebalance(ctx context.Context, names []string) {
	pol.rebalancing.Lock()
	defer pol.rebalancing.Unlock()
	if pol.leaving.Load() {
		return
	}
	if err := pol.ensureLease(ctx); err != nil {
		pol.cfg.Log.Warn("share lease not renewed", zap.Error(err), zap.Time("ends", pol.leaseEnds()))
		if pol.lease.Load().id == "" {
			// Without a lease this VM owns nothing, so it must not wait for its next regular rebalance.
			for _, name := range names {
				pol.scheduleRebalance(name)
			}
		}
		return
	}
	pol.evictAliveLeases()
	pol.shuffle(len(names), func(one, two int) { names[one], names[two] = names[two], names[one] })
	for _, name := range names {
		if ctx.Err() != nil {
			return
		}
		if err := pol.rebalanceLedger(ctx, name); err != nil {
			pol.cfg.Log.Warn("share ledger not visited", zap.String("resource", name), zap.Error(err))
		}
	}
}

// shuffle puts count elements in random order. VMs that rebalanced the ledgers in the same order would race for the same one.
func (pol *Pool) shuffle(count int, swap func(one, two int)) {
	for num := count - 1; num > 0; num-- {
		swap(num, int(pol.cfg.Random(int64(num+1))))
	}
}

// ensureLease obtains a lease, or renews the one held when a sixth of its time has passed. The end of the lease is counted
// from the time before the call, since the store may have counted from any later time.
func (pol *Pool) ensureLease(ctx context.Context) (err error) {
	defer func() { err = errors.Wrap(err, "renew lease") }()
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	held := pol.lease.Load()
	sent := pol.cfg.Clock.Now()
	if held.id != "" {
		if left := held.ends.Sub(sent); left > pol.cfg.LeaseTTL*5/6 {
			return nil
		}
		_, err = pol.cfg.Store.Renew(ctx, held.id)
		var nfd *cardamompass.NotFoundError
		if err == nil {
			pol.lease.Store(&heldLease{
				id:   held.id,
				ends: leaseEnd(sent, pol.cfg.LeaseTTL),
			})
			return nil
		}
		if !errors.As(err, &nfd) {
			return err
		}
		pol.dropUnits()
		sent = pol.cfg.Clock.Now()
	}
	lse, err := pol.cfg.Store.Grant(ctx, pol.cfg.LeaseTTL)
	if err != nil {
		return err
	}
	pol.lease.Store(&heldLease{
		id:   lse.ID,
		ends: leaseEnd(sent, pol.cfg.LeaseTTL),
	})
	return nil
}

// dropUnits gives up all units because their lease has lapsed: other VMs may already own them.
func (pol *Pool) dropUnits() {
	pol.lease.Store(&heldLease{})
	for _, name := range pol.names() {
		alc := pol.allocation(name)
		alc.mtx.Lock()
		alc.units = 0
		alc.mtx.Unlock()
	}
	pol.cfg.Log.Warn("share lease lapsed; units given up")
}

// owner returns this incarnation with its current lease.
func (pol *Pool) owner() Owner {
	own := pol.cfg.Owner
	own.Lease = pol.lease.Load().id
	return own
}

// StopLending refuses loans and their renewal from now on, so that lent units have returned when Release is called.
func (pol *Pool) StopLending() { pol.lendingStopped.Store(true) }

// Release gives all units back to the ledgers, for a planned stop. Units that are still lent or in use stay in the ledger
// until the lease lapses. The Pool must not be used afterwards.
func (pol *Pool) Release(ctx context.Context) (err error) {
	defer func() { err = errors.Wrap(err, "release units") }()
	pol.leaving.Store(true)
	pol.rebalancing.Lock()
	defer pol.rebalancing.Unlock()
	kept := false
	for _, name := range pol.names() {
		left, rerr := pol.releaseLedger(ctx, name)
		if rerr != nil {
			pol.cfg.Log.Warn("units not released", zap.String("resource", name), zap.Error(rerr))
			err = rerr
		}
		kept = kept || left || rerr != nil
	}
	if id := pol.lease.Load().id; !kept && id != "" {
		return pol.cfg.Store.Revoke(ctx, id)
	}
	return err
}
