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
	// borrowInterval is the time between two rounds of requests for loans.
	borrowInterval = 100 * time.Millisecond
	// borrowTimeout bounds one request for a loan. It exceeds the round trip between two regions.
	borrowTimeout = 300 * time.Millisecond
	// borrowPeers is the number of VMs that are asked in one round.
	borrowPeers = 3
	// visitBase and visitPerMember give the time between two visits of a ledger, so that the visits of the whole fleet
	// stay a constant load on the store.
	visitBase      = 5 * time.Second
	visitPerMember = 2800 * time.Millisecond
	// unevenBase and unevenPerMember take their place while units are divided unevenly.
	unevenBase      = time.Second
	unevenPerMember = 50 * time.Millisecond
	// visitTries bounds the tries of one visit that loses its compare-and-swap.
	visitTries = 5
	// smallFleet is the number of members up to which all visit the ledgers after a change: 30 VMs read 44 ledgers within
	// 2.5 s, 530 reads a second.
	smallFleet = 30
	// leaseMemory is the time for which a lease that was seen alive is not asked for again. An owner that died holds its
	// units for the whole lease anyhow, and one read for each ledger and visit is beyond the store's rate when many died.
	leaseMemory = 5 * time.Minute
	// storeTimeout bounds one call of the store.
	storeTimeout = 3 * time.Second
)

// Config configures a Pool.
type Config struct {
	// Owner names this incarnation. Its Lease is set by the Pool.
	Owner   Owner
	Store   cardamompass.Store
	Peers   cardamompass.PeerCaller
	Members cardamompass.Membership
	Clock   cardamompass.Clock
	Log     *zap.Logger
	// LeaseTTL is the time for which units outlive the last contact with the store.
	LeaseTTL time.Duration
	// LoanTTL is the time of a loan.
	LoanTTL time.Duration
	// KeyPrefix is put before the names of resources to form the keys of their ledgers.
	KeyPrefix string
	// Random returns a number in [0, n). Nil means math/rand.
	Random func(n int64) int64
}

// Pool holds this incarnation's part of every resource.
type Pool struct {
	cfg     Config
	lease   atomic.Pointer[heldLease]
	leaving atomic.Bool
	// lendsNot is set when a planned stop begins: units that are lent at its end stay unused after it.
	lendsNot atomic.Bool
	sequence atomic.Uint64
	mtx      sync.Mutex
	cells    map[string]*cell
	version  int64
	wake     chan struct{}
	// visiting admits one visit at a time: concurrent visits of one ledger would race on the units held.
	visiting sync.Mutex
	started  time.Time
	// leasesAlive tells until when a lease of another owner is taken for alive, guarded by visiting.
	leasesAlive map[cardamompass.LeaseID]time.Time
	// due are the ledgers to be visited at dueTime, guarded by mtx; soon tells that there are any.
	due     map[string]bool
	dueTime time.Time
	soon    chan struct{}
}

type heldLease struct {
	id   cardamompass.LeaseID
	ends time.Time
}

// New returns a Pool without resources. Nothing moves until Start is called, or Visit and BorrowRound are.
func New(cfg Config) *Pool {
	if cfg.Random == nil {
		cfg.Random = rand.Int63n
	}
	pol := &Pool{
		cfg:     cfg,
		cells:   make(map[string]*cell),
		wake:    make(chan struct{}, 1),
		started: cfg.Clock.Now(),
		due:     make(map[string]bool),

		leasesAlive: make(map[cardamompass.LeaseID]time.Time),
		soon:        make(chan struct{}, 1),
	}
	pol.lease.Store(&heldLease{})
	return pol
}

// Start visits the ledgers and borrows in the background. The cleanup stops that; it gives nothing back, see Release.
func (pol *Pool) Start() (cleanup func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var wtg sync.WaitGroup
	wtg.Go(func() { pol.runVisits(ctx) })
	wtg.Go(func() { pol.runLoans(ctx) })
	return func() {
		cancel()
		wtg.Wait()
	}
}

// SetResources replaces the caps in force by those of a catalogue version. Units of a resource that is not listed any
// more can't be used.
func (pol *Pool) SetResources(resources []Resource, version int64) {
	now := pol.cfg.Clock.Now()
	pol.mtx.Lock()
	defer pol.mtx.Unlock()
	pol.version = version
	named := make(map[string]bool, len(resources))
	fresh := false
	for _, res := range resources {
		named[res.Name] = true
		cel, ok := pol.cells[res.Name]
		if !ok {
			pol.cells[res.Name] = newCell(res, now)
			fresh = true
			continue
		}
		cel.mtx.Lock()
		fresh = fresh || cel.res.Capacity != res.Capacity
		cel.res = res
		cel.mtx.Unlock()
	}
	for name, cel := range pol.cells {
		if !named[name] {
			cel.mtx.Lock()
			cel.res.Capacity = 0
			cel.mtx.Unlock()
		}
	}
	if fresh {
		select {
		case pol.wake <- struct{}{}:
		default:
		}
	}
}

// Rate returns this VM's use of a rate, nil if the catalogue does not name it.
func (pol *Pool) Rate(name string) *Rate {
	cel := pol.cell(name)
	if cel == nil {
		return nil
	}
	return &Rate{
		pol: pol,
		cel: cel,
	}
}

// Slots returns this VM's use of slots, nil if the catalogue does not name them.
func (pol *Pool) Slots(name string) *Slots {
	cel := pol.cell(name)
	if cel == nil {
		return nil
	}
	return &Slots{
		pol: pol,
		cel: cel,
	}
}

func (pol *Pool) cell(name string) *cell {
	pol.mtx.Lock()
	defer pol.mtx.Unlock()
	return pol.cells[name]
}

func (pol *Pool) names() (names []string) {
	pol.mtx.Lock()
	defer pol.mtx.Unlock()
	for name := range pol.cells {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (pol *Pool) leaseEnds() time.Time { return pol.lease.Load().ends }

// runVisits keeps the lease, visits every ledger now and then, and those soon that are divided unevenly.
func (pol *Pool) runVisits(ctx context.Context) {
	pol.Rebalance(ctx)
	full := pol.nextFull()
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
		case <-pol.wake:
			pol.Rebalance(ctx)
		case <-pol.soon:
			// A ledger became due; the time of the next visit is computed anew.
		case <-tmr.C():
			if next.Before(full) {
				pol.visit(ctx, pol.takeDue())
				break
			}
			pol.Rebalance(ctx)
			full = pol.nextFull()
		}
		tmr.Stop()
	}
}

// nextFull returns the time of the next visit of all ledgers. Visits also renew the lease, so several fit into its time.
func (pol *Pool) nextFull() time.Time {
	return pol.cfg.Clock.Now().Add(min(pol.jittered(visitBase, visitPerMember), pol.cfg.LeaseTTL/4))
}

// jittered returns a time around base plus perMember for each member of the fleet.
func (pol *Pool) jittered(base, perMember time.Duration) time.Duration {
	interval := base + time.Duration(len(pol.cfg.Members.Members())*int(perMember))
	return interval/2 + time.Duration(pol.cfg.Random(int64(interval)))
}

// MembersChanged makes all ledgers be visited soon in a small fleet, so that the units of a VM that left are taken up within seconds.
// In a larger one that would be more reads than the store takes, and the units are a small part.
func (pol *Pool) MembersChanged() {
	if len(pol.cfg.Members.Members()) > smallFleet {
		return
	}
	for _, name := range pol.names() {
		pol.setDue(name)
	}
}

// setDue makes a ledger be visited soon, because it is divided unevenly or another VM lacks its units.
func (pol *Pool) setDue(name string) {
	at := pol.cfg.Clock.Now().Add(pol.jittered(unevenBase, unevenPerMember))
	pol.mtx.Lock()
	defer pol.mtx.Unlock()
	if len(pol.due) == 0 {
		pol.dueTime = at
		select {
		case pol.soon <- struct{}{}:
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

// Rebalance renews the lease if that is due and visits every ledger once. Failures are logged and left to the next visit.
func (pol *Pool) Rebalance(ctx context.Context) {
	pol.visit(ctx, pol.names())
}

func (pol *Pool) visit(ctx context.Context, names []string) {
	pol.visiting.Lock()
	defer pol.visiting.Unlock()
	if pol.leaving.Load() {
		return
	}
	if err := pol.keepLease(ctx); err != nil {
		pol.cfg.Log.Warn("share lease not renewed", zap.Error(err), zap.Time("ends", pol.leaseEnds()))
		if pol.lease.Load().id == "" {
			// Without a lease this VM owns nothing, so it must not wait for its next regular visit.
			for _, name := range names {
				pol.setDue(name)
			}
		}
		return
	}
	pol.forgetLeases()
	pol.shuffle(len(names), func(one, two int) { names[one], names[two] = names[two], names[one] })
	for _, name := range names {
		if ctx.Err() != nil {
			return
		}
		if err := pol.visitLedger(ctx, name); err != nil {
			pol.cfg.Log.Warn("share ledger not visited", zap.String("resource", name), zap.Error(err))
		}
	}
}

// shuffle puts count things in random order. Many VMs that visit the ledgers in the same order race for the same one.
func (pol *Pool) shuffle(count int, swap func(one, two int)) {
	for num := count - 1; num > 0; num-- {
		swap(num, int(pol.cfg.Random(int64(num+1))))
	}
}

// keepLease grants a lease, or renews the one held when a sixth of its time has passed. The end of the lease is counted
// from before the call, since the store may have counted from any later moment.
func (pol *Pool) keepLease(ctx context.Context) (err error) {
	defer func() { err = errors.Wrap(err, "keep lease") }()
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

// dropUnits gives up all units because their lease has lapsed: other VMs may own them already.
func (pol *Pool) dropUnits() {
	pol.lease.Store(&heldLease{})
	for _, name := range pol.names() {
		cel := pol.cell(name)
		cel.mtx.Lock()
		cel.units = 0
		cel.mtx.Unlock()
	}
	pol.cfg.Log.Warn("share lease lapsed; units given up")
}

// owner returns this incarnation with the lease held.
func (pol *Pool) owner() Owner {
	own := pol.cfg.Owner
	own.Lease = pol.lease.Load().id
	return own
}

// StopLending refuses loans and their renewal from now on, so that lent units are back when Release is called.
func (pol *Pool) StopLending() { pol.lendsNot.Store(true) }

// Release gives all units back to the ledgers, for a planned stop. Units that are still lent or in use stay in the ledger
// until the lease lapses. The Pool is of no use afterwards.
func (pol *Pool) Release(ctx context.Context) (err error) {
	defer func() { err = errors.Wrap(err, "release units") }()
	pol.leaving.Store(true)
	pol.visiting.Lock()
	defer pol.visiting.Unlock()
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
