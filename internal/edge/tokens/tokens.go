// Package tokens runs the ledger of the quotas of teams in the process of an entry VM. It supplies the time, the VM's knowledge of the
// fleet and the datagrams, and reports what the ledger does. The decisions are those of package quota.
package tokens

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"cardamompass"
	"cardamompass/internal/steer/quota"
)

const (
	// TickInterval is the interval at which Tick is called.
	TickInterval = quota.AskInterval
	// observeTicks is the number of ticks between two observations of the fleet, idleObserveTicks the number while no team has a limit.
	// Without these observations, a first limit would find a VM that does not know its share.
	observeTicks     = 2
	idleObserveTicks = 10
	// metricTicks is the number of ticks between two updates of the metrics.
	metricTicks = 10
	// freshStoreAge is the time since the last response of the store up to which its list of VMs is taken for complete even in an outage:
	// single calls fail now and then.
	freshStoreAge = 2 * time.Second
)

// Exchange sends asks and grants to other VMs. Implementations are safe for concurrent use.
type Exchange interface {
	// SendAsks and SendGrants send a datagram, and report false if it was not sent.
	SendAsks(to cardamompass.VMID, asks quota.Asks) (ok bool)
	SendGrants(to cardamompass.VMID, grs quota.Grants) (ok bool)
	// MaySendGrants reports whether grants of a number of teams can be sent to a VM now.
	MaySendGrants(to cardamompass.VMID, teams int) (ok bool)
}

// Config configures a Limiter.
type Config struct {
	Self cardamompass.VM
	// Regions maps every failure domain to its region.
	Regions map[cardamompass.FailureDomain]cardamompass.Region
	// OtherVMs returns the other running VMs.
	OtherVMs func() []cardamompass.VM
	// StoreAge returns the time since the last response of the store; negative if there was none.
	StoreAge func() time.Duration
	// StoreOutage returns how long the store has not answered; 0 if it answers.
	StoreOutage func() time.Duration
	Bounds      quota.Bounds
	Clock       cardamompass.Clock
	Log         *zap.Logger
	Scope       tally.Scope
}

// Limiter is the ledger of a running VM. It implements cardamompass.Quota and is safe for concurrent use.
type Limiter struct {
	cfg      Config
	met      metrics
	exchange atomic.Pointer[Exchange]

	mu       sync.Mutex
	ledger   *quota.Ledger
	fleet    *quota.Fleet
	rnd      *rand.Rand
	table    *cardamompass.RoutingTable // nil until one is known
	ticks    int
	grants   uint64 // number of grants sent
	refusing int    // teams of which requests are being refused; used only by Tick
	returned bool   // the store listed an earlier process of this VM
}

var _ cardamompass.Quota = (*Limiter)(nil)

// New returns a Limiter without teams.
func New(cfg Config) (lim *Limiter) {
	return &Limiter{
		cfg: cfg,
		met: newMetrics(cfg.Scope),
		ledger: quota.New(quota.Config{
			Incarnation: cfg.Self.Incarnation,
			Bounds:      cfg.Bounds,
		}),
		fleet: quota.NewFleet(cfg.Self.ID, cfg.Clock.Now()),
		rnd:   rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}

// Connect sets the exchange with the other VMs. Until then, the VM has only the tokens that it mints.
func (lim *Limiter) Connect(exc Exchange) { lim.exchange.Store(&exc) }

// Take implements cardamompass.Quota.
func (lim *Limiter) Take(team cardamompass.TeamName) (ok bool, retryAfter time.Duration) {
	now := lim.cfg.Clock.Now()
	lim.mu.Lock()
	defer lim.mu.Unlock()
	return lim.ledger.Take(team, now)
}

// Return implements cardamompass.Quota.
func (lim *Limiter) Return(team cardamompass.TeamName) {
	now := lim.cfg.Clock.Now()
	lim.mu.Lock()
	defer lim.mu.Unlock()
	lim.ledger.Return(team, now)
}

// SetTable applies the teams of a routing table, which may be nil.
func (lim *Limiter) SetTable(tbl *cardamompass.RoutingTable) {
	if tbl == nil {
		return
	}
	now := lim.cfg.Clock.Now()
	lim.mu.Lock()
	defer lim.mu.Unlock()
	if tbl != lim.table {
		lim.table = tbl
		lim.ledger.SetTeams(tbl.Teams, now)
	}
}

// SetReturned records that the store listed an earlier process of this VM when this one started.
func (lim *Limiter) SetReturned() {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	lim.returned = true
}

// SetBounds applies changed bounds.
func (lim *Limiter) SetBounds(bnd quota.Bounds) {
	now := lim.cfg.Clock.Now()
	lim.mu.Lock()
	defer lim.mu.Unlock()
	lim.ledger.SetBounds(bnd)
	if lim.table != nil {
		lim.ledger.SetTeams(lim.table.Teams, now)
	}
}

// Dump returns the ledger for the state dump; nil if no team has a limit.
func (lim *Limiter) Dump() (dmp *quota.Dump) {
	now := lim.cfg.Clock.Now()
	lim.mu.Lock()
	defer lim.mu.Unlock()
	if !lim.ledger.Limited() {
		return nil
	}
	val := lim.ledger.Dump(now)
	return &val
}
