// Package entry implements the process of one entry VM: its listeners and the wiring of its components.
//
// There are three separate listeners: callers reach look-ups and services, other entry VMs the peer protocol, and
// operators the state dump and the metrics. A planned stop (Process.Stop) removes the VM from look-ups at once, keeps
// serving until every look-up response that names the VM has expired, transfers its operation records to a successor,
// and then finishes the requests in flight.
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
	// ledgerPrefix is the key prefix of the share ledgers in the store; the name of the resource follows.
	ledgerPrefix = "share/"
	// watchWait is the longest duration of one watch call on the catalogue. A store that was restored to an older state
	// answers a watch for a later revision only when the wait ends, and an edit that it then accepts must be active within
	// a second. Three watchers make about four calls per second.
	watchWait = 500 * time.Millisecond
	// recentDecisions is the number of routing decisions kept for the state dump.
	recentDecisions = 4096
)

// Config configures a Process.
type Config struct {
	Settings config.Settings
	Store    cardamompass.Store
	// VMs reads the platform's VM list; nil if the platform has none.
	VMs   cardamompass.VMLister
	Clock cardamompass.Clock
	Log   *zap.Logger
	// BootID identifies the boot of the VM's operating system; empty if it is not known.
	BootID string
	// LinesDropped returns the number of log lines dropped by the rate limit; nil if there is no limit.
	LinesDropped func() int64
	// Naive replaces the steering with a baseline algorithm, for comparison in measurements.
	Naive bool
}

// Process is the running process of an entry VM. It is safe for concurrent use.
type Process struct {
	cfg              Config
	vm               cardamompass.VM
	metrics          *metric.Metrics
	client           *peer.Client
	server           *peer.Server
	members          *member.Agent
	spread           *spread.Agent[document]
	pool             *share.Pool
	tracker          *health.Tracker
	prober           *health.Prober
	guard            *guard.Guard
	arbiter          *guard.Arbiter
	engine           *engine.Engine
	operations       *oper.Service
	operationTable   *oper.Table
	lookups          *lookup.Resolver
	decisions        *dump.DecisionLog
	callerServer     *http.Server
	callerListener   net.Listener
	operatorListener net.Listener
	leaving          atomic.Bool
	started          time.Time
	active           atomic.Pointer[activeCatalogue]
	listedTargets    map[string]bool
	wtg              sync.WaitGroup
	done             chan struct{}
	// catalogueReady is closed when the first catalogue becomes active.
	catalogueReady chan struct{}
	cleanups       []func()
}

// New starts the process of an entry VM. The cleanup function ends it immediately, without a planned stop.
func New(cfg Config) (prc *Process, cleanup func(), err error) {
	defer func() { err = errors.Wrap(err, "start entry VM") }()
	prc = &Process{
		cfg:            cfg,
		started:        cfg.Clock.Now(),
		decisions:      dump.NewDecisionLog(recentDecisions),
		listedTargets:  make(map[string]bool),
		done:           make(chan struct{}),
		catalogueReady: make(chan struct{}),
	}
	prc.active.Store(&activeCatalogue{})
	for _, step := range []func() error{
		prc.listen, prc.makeMetrics, prc.makePeerClient, prc.makeMembership, prc.makeSteering, prc.makeOperations, prc.register, prc.serve,
	} {
		if err := step(); err != nil {
			prc.cleanup()
			return nil, nil, err
		}
	}
	prc.startBackground()
	return prc, prc.cleanup, nil
}

// cleanup stops all components in the reverse order of their start.
func (prc *Process) cleanup() {
	close(prc.done)
	for num := len(prc.cleanups) - 1; num >= 0; num-- {
		prc.cleanups[num]()
	}
	prc.wtg.Wait()
}

func (prc *Process) onCleanup(fnc func()) { prc.cleanups = append(prc.cleanups, fnc) }

// listen binds all addresses. It runs before any other step, so that a second process on the same VM fails before it
// joins the membership, and so that the ports are known before the addresses are advertised.
func (prc *Process) listen() (err error) {
	set := prc.cfg.Settings
	ctx := context.Background()
	lsc := net.ListenConfig{}
	if prc.callerListener, err = lsc.Listen(ctx, "tcp", set.CallerAddress); err != nil {
		return err
	}
	prc.onCleanup(func() { _ = prc.callerListener.Close() })
	if prc.operatorListener, err = lsc.Listen(ctx, "tcp", set.OperatorAddress); err != nil {
		return err
	}
	prc.onCleanup(func() { _ = prc.operatorListener.Close() })
	peerListener, err := lsc.Listen(ctx, "tcp", set.PeerAddress)
	if err != nil {
		return err
	}
	prc.vm = cardamompass.VM{
		ID:            set.VMID,
		Incarnation:   cardamompass.Incarnation(prc.started.UnixNano()),
		Region:        set.Region,
		FailureDomain: set.FailureDomain,
		CallerAddress: advertisedAddress(set.AdvertiseCallerAddress, prc.callerListener),
		PeerAddress:   advertisedAddress(set.AdvertisePeerAddress, peerListener),
	}
	var stop func()
	prc.server, stop, err = peer.NewServer(peer.ServerConfig{
		Listener: peerListener,
		Key:      set.PeerKey.Reveal(),
		Logger:   prc.cfg.Log,
	})
	if err != nil {
		_ = peerListener.Close()
		return err
	}
	prc.onCleanup(stop)
	return nil
}

// advertisedAddress returns the configured address, with the port of the listener where the configured one is 0.
func advertisedAddress(address string, lsn net.Listener) string {
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

func (prc *Process) makePeerClient() (err error) {
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

func (prc *Process) makeMembership() (err error) {
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
		Recent:       prc.decisions,
		Members:      prc.members,
		HedgePercent: set.Steering.HedgePercent,
		RetryPercent: set.Steering.RetryPercent,
		QueueLength:  set.Steering.QueueLength,
		Naive:        prc.cfg.Naive,
	})
	prc.onCleanup(stop)
	probes := http.DefaultTransport.(*http.Transport).Clone()
	probes.Proxy = nil
	// Keep one idle connection per target regardless of the number of targets; the default limit is 100 in total.
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
	prc.operationTable, err = oper.NewTable(oper.TableConfig{
		Self:       prc.vm,
		Clock:      prc.cfg.Clock,
		MaxRecords: prc.cfg.Settings.Operations.MaxRecords,
	})
	if err != nil {
		return err
	}
	svc, stop, err := oper.New(oper.Config{
		Table:      prc.operationTable,
		Membership: prc.members,
		Peers:      prc.client,
		Clock:      prc.cfg.Clock,
		Execute:    prc.engine.Execute,
	})
	if err != nil {
		return err
	}
	prc.operations = svc
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
		"Oper":             prc.operations,
		targetServiceName:  &TargetService{prc: prc},
	} {
		if err := prc.server.Register(name, receiver); err != nil {
			return err
		}
	}
	return nil
}

// startBackground starts the peer server, the agents and the background loops.
func (prc *Process) startBackground() {
	prc.server.Start()
	prc.members.Start()
	prc.spread.Start()
	prc.onCleanup(prc.pool.Start())
	prc.wtg.Go(prc.followUpdates)
	prc.wtg.Go(prc.updateGauges)
	if prc.cfg.VMs != nil {
		prc.wtg.Go(prc.pollVMList)
	}
	prc.cfg.Log.Info("entry VM started",
		zap.Uint64("incarnation", uint64(prc.vm.Incarnation)),
		zap.String("caller-address", prc.vm.CallerAddress),
		zap.String("peer-address", prc.vm.PeerAddress),
		zap.String("operator-address", prc.operatorListener.Addr().String()))
}

// VM returns the description of this VM, including its advertised addresses.
func (prc *Process) VM() cardamompass.VM { return prc.vm }

// OperatorAddress returns the address of the operator listener.
func (prc *Process) OperatorAddress() string { return prc.operatorListener.Addr().String() }

// Superseded returns a channel that is closed when a process of the same VM with a later incarnation appears.
func (prc *Process) Superseded() <-chan struct{} { return prc.members.Superseded() }
