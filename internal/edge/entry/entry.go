// Package entry is the process of one entry VM: its listeners and the wiring of all its parts.
//
// Three listeners are kept apart. Callers reach look-ups and services, other entry VMs the peer protocol, operators
// the state dump and the metrics. A planned stop (Process.Stop) leaves look-ups at once, serves until no caller can hold a
// look-up answer that names this VM, hands over what it owns, and then finishes its requests.
package entry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"cardamompass"
	"cardamompass/internal/conf/config"
	"cardamompass/internal/edge/dump"
	"cardamompass/internal/edge/engine"
	"cardamompass/internal/edge/lookup"
	"cardamompass/internal/edge/oper"
	"cardamompass/internal/edge/relay"
	"cardamompass/internal/fleet/member"
	"cardamompass/internal/fleet/peer"
	"cardamompass/internal/fleet/share"
	"cardamompass/internal/fleet/spread"
	"cardamompass/internal/obs/metric"
	"cardamompass/internal/steer/guard"
	"cardamompass/internal/steer/health"
)

const (
	// CatalogueKey is the key of the catalogue in the store.
	CatalogueKey = "catalogue"
	// ledgerPrefix is put before the names of resources to form the keys of their ledgers.
	ledgerPrefix = "share/"
	// watchWait bounds one watch of the catalogue. A store that was restored to an older state answers a watch for a later
	// revision only at its end, and what it accepts then has to be in force within a second. Three watchers make about
	// four calls a second.
	watchWait = 500 * time.Millisecond
	// recentDecisions is the number of decisions kept for the dump.
	recentDecisions = 4096
)

// Config configures a Process.
type Config struct {
	Settings config.Settings
	Store    cardamompass.Store
	// VMs is the platform's VM list; nil if there is none.
	VMs   cardamompass.VMLister
	Clock cardamompass.Clock
	Log   *zap.Logger
	// BootID identifies the run of the VM's operating system; empty if that is not known.
	BootID string
	// LinesDropped returns the number of log lines that the limit left out; nil if there is none.
	LinesDropped func() int64
	// Naive replaces the steering by its baseline, for measurements.
	Naive bool
}

// Process is the running process of an entry VM. It is safe for concurrent use.
type Process struct {
	cfg      Config
	vm       cardamompass.VM
	metrics  *metric.Metrics
	client   *peer.Client
	server   *peer.Server
	members  *member.Agent
	spread   *spread.Agent[document]
	pool     *share.Pool
	tracker  *health.Tracker
	prober   *health.Prober
	guard    *guard.Guard
	arbiter  *guard.Arbiter
	engine   *engine.Engine
	opers    *oper.Service
	table    *oper.Table
	lookups  *lookup.Resolver
	recent   *dump.DecisionLog
	callers  *http.Server
	callerAt net.Listener
	operAt   net.Listener
	leaving  atomic.Bool
	started  time.Time
	inForce  atomic.Pointer[inForce]
	listed   map[string]bool
	wtg      sync.WaitGroup
	done     chan struct{}
	// ready is closed when the first catalogue is in force.
	ready    chan struct{}
	cleanups []func()
}

// New starts the process of an entry VM. The cleanup ends it at once, without a planned stop.
func New(cfg Config) (prc *Process, cleanup func(), err error) {
	defer func() { err = errors.Wrap(err, "start entry VM") }()
	prc = &Process{
		cfg:     cfg,
		started: cfg.Clock.Now(),
		recent:  dump.NewDecisionLog(recentDecisions),
		listed:  make(map[string]bool),
		done:    make(chan struct{}),
		ready:   make(chan struct{}),
	}
	prc.inForce.Store(&inForce{})
	for _, step := range []func() error{
		prc.listen, prc.makeMetrics, prc.makePeers, prc.makeMembers, prc.makeSteering, prc.makeOperations, prc.register, prc.serve,
	} {
		if err := step(); err != nil {
			prc.cleanup()
			return nil, nil, err
		}
	}
	prc.start()
	return prc, prc.cleanup, nil
}

// cleanup ends all parts in the reverse order of their start.
func (prc *Process) cleanup() {
	close(prc.done)
	for num := len(prc.cleanups) - 1; num >= 0; num-- {
		prc.cleanups[num]()
	}
	prc.wtg.Wait()
}

func (prc *Process) onCleanup(fnc func()) { prc.cleanups = append(prc.cleanups, fnc) }

// listen binds all addresses first, so that a second process on the same VM fails before it takes part in anything, and so
// that the addresses told to others are known.
func (prc *Process) listen() (err error) {
	set := prc.cfg.Settings
	ctx := context.Background()
	lsc := net.ListenConfig{}
	if prc.callerAt, err = lsc.Listen(ctx, "tcp", set.CallerAddress); err != nil {
		return err
	}
	prc.onCleanup(func() { _ = prc.callerAt.Close() })
	if prc.operAt, err = lsc.Listen(ctx, "tcp", set.OperatorAddress); err != nil {
		return err
	}
	prc.onCleanup(func() { _ = prc.operAt.Close() })
	peerAt, err := lsc.Listen(ctx, "tcp", set.PeerAddress)
	if err != nil {
		return err
	}
	prc.vm = cardamompass.VM{
		ID:            set.VMID,
		Incarnation:   cardamompass.Incarnation(prc.started.UnixNano()),
		Region:        set.Region,
		FailureDomain: set.FailureDomain,
		CallerAddress: advertised(set.AdvertiseCallerAddress, prc.callerAt),
		PeerAddress:   advertised(set.AdvertisePeerAddress, peerAt),
	}
	var stop func()
	prc.server, stop, err = peer.NewServer(peer.ServerConfig{
		Listener: peerAt,
		Key:      set.PeerKey.Reveal(),
		Logger:   prc.cfg.Log,
	})
	if err != nil {
		_ = peerAt.Close()
		return err
	}
	prc.onCleanup(stop)
	return nil
}

// advertised returns the configured address, with the port of the listener where the configured one is 0.
func advertised(address string, lsn net.Listener) string {
	host, port, err := net.SplitHostPort(address)
	if err != nil || port != "0" {
		return address
	}
	_, port, err = net.SplitHostPort(lsn.Addr().String())
	if err != nil {
		return address
	}
	return net.JoinHostPort(host, port)
}

func (prc *Process) makeMetrics() (err error) {
	mtr, stop := metric.New(metric.Config{
		Tags: map[string]string{
			"vm":     string(prc.vm.ID),
			"region": string(prc.vm.Region),
		},
	})
	prc.metrics = mtr
	prc.onCleanup(stop)
	return nil
}

func (prc *Process) makePeers() (err error) {
	cli, stop, err := peer.NewClient(peer.ClientConfig{
		Key:    prc.cfg.Settings.PeerKey.Reveal(),
		Clock:  prc.cfg.Clock,
		Logger: prc.cfg.Log,
	})
	if err != nil {
		return err
	}
	prc.client = cli
	prc.onCleanup(stop)
	return nil
}

func (prc *Process) makeMembers() (err error) {
	set := prc.cfg.Settings
	agt, stop, err := member.New(member.Config{
		Machine: member.MachineConfig{
			Self:             prc.vm,
			Seeds:            set.Seeds,
			RandomSeed:       prc.started.UnixNano(),
			ProbeInterval:    set.Membership.ProbeInterval,
			PingTimeout:      set.Membership.ProbeTimeout,
			SuspicionTimeout: set.Membership.SuspectTime,
		},
		Caller: prc.client,
		Clock:  prc.cfg.Clock,
		Logger: prc.cfg.Log,
	})
	if err != nil {
		return err
	}
	prc.members = agt
	prc.onCleanup(stop)
	spr, stop, err := spread.New(spread.Config[document]{
		Core: spread.CoreConfig[document]{
			Key:        CatalogueKey,
			Codec:      documentCodec(),
			RandomSeed: prc.started.UnixNano(),
			Watchers:   set.Spread.Watchers,
			Fanout:     set.Spread.PushFanout,
			WatchWait:  watchWait,
		},
		Store:   prc.cfg.Store,
		Caller:  prc.client,
		Members: agt,
		Clock:   prc.cfg.Clock,
		Logger:  prc.cfg.Log,
	})
	if err != nil {
		return err
	}
	prc.spread = spr
	agt.Attach(spr.PayloadHandler())
	prc.onCleanup(stop)
	prc.pool = share.New(share.Config{
		Owner: share.Owner{
			VM:          prc.vm.ID,
			Incarnation: prc.vm.Incarnation,
			Boot:        prc.cfg.BootID,
		},
		Store:     prc.cfg.Store,
		Peers:     prc.client,
		Members:   agt,
		Clock:     prc.cfg.Clock,
		Log:       prc.cfg.Log,
		LeaseTTL:  set.Share.Lease,
		LoanTTL:   set.Share.Loan,
		KeyPrefix: ledgerPrefix,
	})
	return nil
}

func (prc *Process) makeSteering() (err error) {
	set := prc.cfg.Settings
	prc.tracker = health.New(health.Config{
		Self:     prc.vm.ID,
		Announce: prc.announceLeaving,
	})
	prc.guard = guard.New(guard.Config{
		Self:        prc.vm.ID,
		Incarnation: prc.vm.Incarnation,
		TTL:         set.Guard.BlockTime,
	})
	prc.arbiter = guard.NewArbiter()
	rly, stop, err := relay.New(relay.Config{
		Clock: prc.cfg.Clock,
		Draining: func(tid cardamompass.TargetID) {
			prc.tracker.MarkLeaving(tid, health.SignalDrainAnswer, prc.cfg.Clock.Now())
		},
	})
	if err != nil {
		return err
	}
	prc.onCleanup(stop)
	prc.engine, stop = engine.New(engine.Config{
		Self:         prc.vm,
		Clock:        prc.cfg.Clock,
		Log:          prc.cfg.Log,
		Scope:        prc.metrics.Scope(),
		Relay:        rly,
		Tracker:      prc.tracker,
		Guard:        prc.guard,
		Pool:         prc.pool,
		Report:       prc.reportSuspects,
		Reserve:      prc.reserve,
		Recent:       prc.recent,
		Members:      prc.members,
		HedgePercent: set.Steering.HedgePercent,
		RetryPercent: set.Steering.RetryPercent,
		QueueLength:  set.Steering.QueueLength,
		Naive:        prc.cfg.Naive,
	})
	prc.onCleanup(stop)
	probes := http.DefaultTransport.(*http.Transport).Clone()
	probes.Proxy = nil
	// One connection to each target is kept, however many there are; the default closes all but 100.
	probes.MaxIdleConns = 0
	probes.MaxIdleConnsPerHost = 1
	prc.onCleanup(probes.CloseIdleConnections)
	prc.prober, stop = health.NewProber(health.ProberConfig{
		Tracker: prc.tracker,
		Clock:   prc.cfg.Clock,
		Client: &http.Client{
			Transport: probes,
		},
	})
	prc.onCleanup(stop)
	return nil
}

func (prc *Process) makeOperations() (err error) {
	prc.table, err = oper.NewTable(oper.TableConfig{
		Self:       prc.vm,
		Clock:      prc.cfg.Clock,
		MaxRecords: prc.cfg.Settings.Operations.MaxRecords,
	})
	if err != nil {
		return err
	}
	svc, stop, err := oper.New(oper.Config{
		Table:      prc.table,
		Membership: prc.members,
		Peers:      prc.client,
		Clock:      prc.cfg.Clock,
		Execute:    prc.engine.Execute,
	})
	if err != nil {
		return err
	}
	prc.opers = svc
	prc.onCleanup(stop)
	prc.lookups = lookup.New(lookup.Config{
		Clock:         prc.cfg.Clock,
		MaxAge:        prc.cfg.Settings.LookupMaxAge,
		IssueTicket:   func(vmr cardamompass.VM, now time.Time) string { return oper.Issue(vmr, now).String() },
		DefaultRegion: prc.vm.Region,
	})
	return nil
}

func (prc *Process) register() (err error) {
	for name, receiver := range map[string]any{
		member.ServiceName: prc.members.Service(),
		spread.ServiceName: prc.spread.Service(),
		share.ServiceName:  prc.pool.Service(),
		"Oper":             prc.opers,
		targetServiceName:  &TargetService{prc: prc},
	} {
		if err := prc.server.Register(name, receiver); err != nil {
			return err
		}
	}
	return nil
}

// start begins the work that is not an answer to others.
func (prc *Process) start() {
	prc.server.Start()
	prc.members.Start()
	prc.spread.Start()
	prc.onCleanup(prc.pool.Start())
	prc.wtg.Go(prc.follow)
	prc.wtg.Go(prc.observe)
	if prc.cfg.VMs != nil {
		prc.wtg.Go(prc.followList)
	}
	prc.cfg.Log.Info("entry VM started",
		zap.Uint64("incarnation", uint64(prc.vm.Incarnation)),
		zap.String("caller-address", prc.vm.CallerAddress),
		zap.String("peer-address", prc.vm.PeerAddress),
		zap.String("operator-address", prc.operAt.Addr().String()))
}

// VM returns this VM as the membership knows it.
func (prc *Process) VM() cardamompass.VM { return prc.vm }

// OperatorAddress returns the address of the operators' listener.
func (prc *Process) OperatorAddress() string { return prc.operAt.Addr().String() }

// Superseded returns a channel that is closed when a later process of the same VM runs.
func (prc *Process) Superseded() <-chan struct{} { return prc.members.Superseded() }
