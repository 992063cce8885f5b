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

// Exchange sends asks and gifts to other VMs. Implementations are safe for concurrent use.
type Exchange interface {
	// SendAsks and SendGifts send a datagram, and report false if it was not sent.
	SendAsks(to cardamompass.VMID, asks quota.Asks) (ok bool)
	SendGifts(to cardamompass.VMID, gfs quota.Gifts) (ok bool)
	// MaySendGifts reports whether gifts of a number of teams can be sent to a VM now.
	MaySendGifts(to cardamompass.VMID, teams int) (ok bool)
}

// Config configures a Bank.
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

// Bank is the ledger of a running VM. It implements cardamompass.Quota and is safe for concurrent use.
type Bank struct {
	cfg      Config
	met      metrics
	exchange atomic.Pointer[Exchange]

	mu       sync.Mutex
	ledger   *quota.Ledger
	fleet    *quota.Fleet
	rnd      *rand.Rand
	table    *cardamompass.RoutingTable // nil until one is known
	ticks    int
	gifts    uint64 // number of gifts sent
	refusing int    // teams of which requests are being refused; used only by Tick
	returned bool   // the store listed an earlier process of this VM
}

var _ cardamompass.Quota = (*Bank)(nil)

// New returns a Bank without teams.
func New(cfg Config) (bnk *Bank) {
	return &Bank{
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
func (bnk *Bank) Connect(exc Exchange) { bnk.exchange.Store(&exc) }

// Take implements cardamompass.Quota.
func (bnk *Bank) Take(team cardamompass.TeamName) (ok bool, retryAfter time.Duration) {
	now := bnk.cfg.Clock.Now()
	bnk.mu.Lock()
	defer bnk.mu.Unlock()
	return bnk.ledger.Take(team, now)
}

// Return implements cardamompass.Quota.
func (bnk *Bank) Return(team cardamompass.TeamName) {
	now := bnk.cfg.Clock.Now()
	bnk.mu.Lock()
	defer bnk.mu.Unlock()
	bnk.ledger.Return(team, now)
}

// SetTable applies the teams of a routing table, which may be nil.
func (bnk *Bank) SetTable(tbl *cardamompass.RoutingTable) {
	if tbl == nil {
		return
	}
	now := bnk.cfg.Clock.Now()
	bnk.mu.Lock()
	defer bnk.mu.Unlock()
	if tbl != bnk.table {
		bnk.table = tbl
		bnk.ledger.SetTeams(tbl.Teams, now)
	}
}

// SetReturned records that the store listed an earlier process of this VM when this one started.
func (bnk *Bank) SetReturned() {
	bnk.mu.Lock()
	defer bnk.mu.Unlock()
	bnk.returned = true
}

// SetBounds applies changed bounds.
func (bnk *Bank) SetBounds(bnd quota.Bounds) {
	now := bnk.cfg.Clock.Now()
	bnk.mu.Lock()
	defer bnk.mu.Unlock()
	bnk.ledger.SetBounds(bnd)
	if bnk.table != nil {
		bnk.ledger.SetTeams(bnk.table.Teams, now)
	}
}

// Dump returns the ledger for the state dump; nil if no team has a limit.
func (bnk *Bank) Dump() (dmp *quota.Dump) {
	now := bnk.cfg.Clock.Now()
	bnk.mu.Lock()
	defer bnk.mu.Unlock()
	if !bnk.ledger.Limited() {
		return nil
	}
	val := bnk.ledger.Dump(now)
	return &val
}
