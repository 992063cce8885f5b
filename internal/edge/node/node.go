// Package node implements the process of an entry VM on the users' platform. It follows the store, announces the VM, serves callers
// and look-ups, reports readiness and carries out a planned stop.
package node

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"cardamompass"
	"cardamompass/internal/conf/steer"
	"cardamompass/internal/edge/buffer"
	"cardamompass/internal/edge/direct"
	"cardamompass/internal/edge/front"
	"cardamompass/internal/edge/intake"
	"cardamompass/internal/edge/pipe"
	"cardamompass/internal/edge/send"
	"cardamompass/internal/edge/tokens"
	"cardamompass/internal/fleet/cast"
	"cardamompass/internal/fleet/mirror"
	"cardamompass/internal/fleet/view"
	"cardamompass/internal/obs/metric"
	"cardamompass/internal/steer/place"
)

const (
	// metricsPort is the port on which metrics are served. The deploy file contains the same number.
	metricsPort = "9464"
	// firstTableWait is how long the start waits for the first routing table before it opens the listeners, firstTablePoll the
	// interval of the checks.
	firstTableWait = time.Second
	firstTablePoll = 5 * time.Millisecond
	// vmCountInterval is the interval at which the number of running VMs is updated.
	vmCountInterval = 200 * time.Millisecond
	// pruneInterval is the interval at which expired idle connections are closed.
	pruneInterval = time.Second
	// headerTimeout and idleTimeout are the limits for reading a header and for idle connections of callers when the routing table
	// sets none.
	headerTimeout = 10 * time.Second
	idleTimeout   = 60 * time.Second
	// targetAckTimeout is how long sent bytes may stay unacknowledged before a connection to a target is closed.
	targetAckTimeout = 1500 * time.Millisecond
	// bodyMemoryFraction is the fraction of the VM's memory that the bodies of requests may use, and those of responses. The rest is
	// for garbage that is not collected yet, for connections and for the view of the fleet.
	bodyMemoryFraction = 0.25
	// heldMemoryFraction is the fraction for responses that wait for those before them or for callers that read slowly.
	heldMemoryFraction = 0.0625
)

// Config configures a Node.
type Config struct {
	// Settings are the settings at the start; see SetBounds.
	Settings cardamompass.VMSettings
	// Steering are the settings of the steering file at the start; see SetSteering.
	Steering steer.Settings
	Protocol cardamompass.Protocol
	Registry cardamompass.Registry
	// Tables encodes and decodes routing tables, to pass them from VM to VM. Optional.
	Tables  mirror.Codec
	Clock   cardamompass.Clock
	Log     *zap.Logger
	Metrics *metric.Metrics
	// LinesDropped returns the number of log lines that were dropped.
	LinesDropped func() int64
	// Incarnation distinguishes the runs of the process.
	Incarnation cardamompass.Incarnation
}

// Node is the running process of an entry VM.
type Node struct {
	cfg       Config
	self      cardamompass.VM
	settings  atomic.Pointer[cardamompass.VMSettings] // replaced as a whole
	steering  atomic.Pointer[steer.Settings]          // replaced as a whole
	follower  *view.Follower
	presence  *presence
	reports   *reporter
	exchanger *cast.Exchanger
	balancer  *place.Balancer
	sender    *send.Sender
	tokens    *tokens.Limiter
	front     *front.Front
	room      chan struct{} // of capacity 1; see announceRoom
	longWatch chan struct{} // of capacity 1; has an element when a long watch has begun, with which the lease must be renewed
	pipe      *pipe.Pipe
	intake    *intake.Intake
	// requestBodies and responseBodies are the memory of bodies.
	requestBodies  *buffer.Pool
	responseBodies *buffer.Pool
	stopping       atomic.Bool
	cleanups       []func()
	servers        []*http.Server
	serving        sync.WaitGroup
}

// New starts the process and returns a function that stops it immediately.
func New(cfg Config) (nod *Node, cleanup func(), err error) {
	defer func() { err = errors.Wrap(err, "start the entry VM") }()
	set := cfg.Settings
	bodyMemory := buffer.Config{
		Limit: int64(bodyMemoryFraction * float64(set.MemoryBytes)),
	}
	nod = &Node{
		cfg:            cfg,
		requestBodies:  buffer.New(bodyMemory),
		responseBodies: buffer.New(bodyMemory),
		intake: intake.New(intake.Config{
			Limits: callerLimits(nil),
			Log:    cfg.Log,
		}),
		room:      make(chan struct{}, 1),
		longWatch: make(chan struct{}, 1),
		self: cardamompass.VM{
			ID:            set.ID,
			Incarnation:   cfg.Incarnation,
			Region:        set.Region,
			FailureDomain: set.FailureDomain,
			CallerAddress: set.CallerAddress,
			PeerAddress:   set.PeerAddress,
			Capacity:      set.Capacity(),
		},
		balancer: place.New(place.Config{
			Self:    set.ID,
			Region:  set.Region,
			Regions: set.Regions,
			Bounds:  placeBounds(set),
		}),
	}
	nod.settings.Store(&set)
	nod.SetSteering(cfg.Steering)
	scp := cfg.Metrics.Scope()
	connections := scp.Counter("target-connections")
	nod.sender = startComponent(nod, func() (*send.Sender, func()) {
		return send.New(send.Config{
			Protocol:  cfg.Protocol,
			Clock:     cfg.Clock,
			Dial:      send.Dialer(targetAckTimeout),
			MaySend:   func(ins cardamompass.Instance) bool { return nod.balancer.MaySend(ins, cfg.Clock.Now()) },
			OnConnect: func() { connections.Inc(1) },
			Log:       cfg.Log,
			Bodies:    nod.responseBodies,
		})
	})
	nod.tokens = nod.newTokens(scp)
	nod.reports = startComponent(nod, func() (*reporter, func()) { return newReporter(cfg) })
	nod.follower = startComponent(nod, func() (*view.Follower, func()) {
		return view.New(view.Config{
			Registry: cfg.Registry,
			Clock:    cfg.Clock,
			Log:      cfg.Log,
			OnChange: nod.viewChanged,
			OnLongWatch: func() {
				select {
				case nod.longWatch <- struct{}{}:
				default: // a renewal is due already
				}
			},
		})
	})
	nod.presence = startComponent(nod, func() (*presence, func()) { return newPresence(nod) })
	if err = nod.startExchanger(); err != nil {
		nod.close()
		return nil, nil, err
	}
	nod.startMirror()
	nod.startFront(scp)
	nod.waitForTable()
	if err = nod.listen(); err != nil {
		nod.close()
		return nil, nil, err
	}
	nod.runEvery(pruneInterval, nod.pruneIdle)
	nod.runEvery(vmCountInterval, func() { nod.balancer.SetRunningVMs(len(nod.exchanger.Running())+1, cfg.Clock.Now()) })
	nod.runEvery(tokens.TickInterval, nod.tokens.Tick)
	nod.runEvery(gaugeInterval, func() { nod.updateGauges(scp) })
	return nod, nod.close, nil
}

// Settings returns the current settings.
func (nod *Node) Settings() (set cardamompass.VMSettings) { return *nod.settings.Load() }

// SetBounds applies the bounds of changed settings. The identity, the addresses and the resources of the VM hold until its next start.
func (nod *Node) SetBounds(changed cardamompass.VMSettings) {
	set := nod.Settings().WithBounds(changed)
	nod.settings.Store(&set)
	nod.balancer.SetBounds(placeBounds(set))
	nod.tokens.SetBounds(quotaBounds(set))
}

// SetSteering applies changed settings of the steering file to requests that arrive from now on.
func (nod *Node) SetSteering(set steer.Settings) { nod.steering.Store(&set) }

func placeBounds(set cardamompass.VMSettings) (bnd place.Bounds) {
	return place.Bounds{
		ColdOverage:    set.ColdOverage,
		ColdSlack:      set.ColdSlack,
		MaxRegionShift: set.MaxRegionShift,
	}
}

// startComponent starts a component and registers its cleanup function.
func startComponent[T any](nod *Node, start func() (T, func())) (component T) {
	component, cleanup := start()
	nod.cleanups = append(nod.cleanups, cleanup)
	return component
}

// runEvery calls fun at an interval until the node is closed.
func (nod *Node) runEvery(interval time.Duration, fun func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		tck := time.NewTicker(interval)
		defer tck.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-tck.C:
				fun()
			}
		}
	}()
	nod.cleanups = append(nod.cleanups, func() {
		cancel()
		<-done
	})
}

// viewChanged applies a new view to the balancer and its routing table to the connections of callers and the quotas.
func (nod *Node) viewChanged(old, next *view.View) {
	if _, listed := next.VM(nod.self.ID); listed && old.Revision == 0 { // the first listing, before this process has announced itself
		nod.tokens.SetReturned()
	}
	if old.Revision != 0 && next.Era != old.Era {
		nod.reports.restored(old.Era, nod.lostCrashes(next))
	}
	nod.balancer.Sync(next, nod.cfg.Clock.Now())
	nod.intake.SetLimits(callerLimits(next.Table))
	nod.announceRoom()
	nod.tokens.SetTable(next.Table)
}

// pruneIdle closes idle connections that have expired or whose targets are leaving or removed.
func (nod *Node) pruneIdle() {
	vew := nod.follower.View()
	nod.sender.PruneIdle(func(id cardamompass.InstanceID) bool {
		ins, ok := vew.Instance(id)
		return ok && !ins.Leaving
	})
}

// waitForTable waits a short time for the first routing table before the listeners are opened, because a caller whose connection is
// refused uses another VM at once.
func (nod *Node) waitForTable() {
	for end := nod.cfg.Clock.Now().Add(firstTableWait); nod.follower.View().Table == nil && nod.cfg.Clock.Now().Before(end); {
		tmr := nod.cfg.Clock.NewTimer(firstTablePoll)
		<-tmr.C()
	}
}

func (nod *Node) listen() (err error) {
	set := nod.cfg.Settings
	lookups := direct.New(direct.Config{
		Self:     nod.self,
		Protocol: nod.cfg.Protocol,
		OtherVMs: nod.exchanger.OtherVMs,
		Stopping: nod.stopping.Load,
		HomeRegions: func(host string) []cardamompass.Region {
			if tbl := nod.follower.View().Table; tbl.HasTeams() {
				return tbl.HomeRegions(host)
			}
			return nil
		},
		MaxTTL: func() time.Duration { return nod.Settings().MaxLookupTTL },
		Log:    nod.cfg.Log,
	})
	lookupRoutes, readyRoutes, metricRoutes := mux.NewRouter(), mux.NewRouter(), mux.NewRouter()
	lookupRoutes.Handle(nod.cfg.Protocol.LookupPath(), lookups).Methods(http.MethodGet)
	readyRoutes.HandleFunc(nod.cfg.Protocol.ReadyPath(), nod.serveReady).Methods(http.MethodGet)
	metricRoutes.HandleFunc("/state", nod.serveState).Methods(http.MethodGet)
	metricRoutes.Handle("/metrics", nod.cfg.Metrics.Handler()).Methods(http.MethodGet)
	for _, lst := range []struct {
		address string
		handler http.Handler
	}{
		{set.CallerAddress, nod.pipe},
		{set.LookupAddress, lookupRoutes},
		{set.ReadyAddress, readyRoutes},
		{net.JoinHostPort(set.IP, metricsPort), metricRoutes},
	} {
		if err = nod.serve(lst.address, lst.handler); err != nil {
			return err
		}
	}
	return nil
}

func (nod *Node) serve(address string, hnd http.Handler) (err error) {
	var cfg net.ListenConfig
	lsn, err := cfg.Listen(context.Background(), "tcp", address)
	if err != nil {
		return err
	}
	srv := &http.Server{
		Handler: hnd,
		ConnContext: func(ctx context.Context, con net.Conn) context.Context {
			return pipe.ConnContext(front.ConnContext(ctx, con), con)
		},
		ErrorLog: zap.NewStdLog(nod.cfg.Log),
	}
	nod.servers = append(nod.servers, srv)
	nod.serving.Go(func() {
		if err := nod.intake.Serve(srv, lsn); !errors.Is(err, http.ErrServerClosed) {
			nod.cfg.Log.Error("listener ended", zap.String("address", address), zap.Error(err))
		}
	})
	return nil
}

// callerLimits returns the limits of a routing table, with defaults for those that it does not set. tbl may be nil.
func callerLimits(tbl *cardamompass.RoutingTable) (lim cardamompass.CallerLimits) {
	if tbl != nil {
		lim = tbl.Limits
	}
	lim.HeaderTimeout = cmp.Or(lim.HeaderTimeout, headerTimeout)
	lim.IdleTimeout = cmp.Or(lim.IdleTimeout, idleTimeout)
	lim.MaxHeaderBytes = cmp.Or(lim.MaxHeaderBytes, http.DefaultMaxHeaderBytes)
	return lim
}

// serveReady responds whether callers should be sent to this VM.
func (nod *Node) serveReady(wrt http.ResponseWriter, _ *http.Request) {
	if nod.stopping.Load() || nod.follower.View().Table == nil {
		wrt.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	wrt.WriteHeader(http.StatusOK)
}

// close stops the process immediately.
func (nod *Node) close() {
	for _, srv := range nod.servers {
		_ = srv.Close() // closes the connections; its error has no consequence
	}
	nod.serving.Wait()
	for num := len(nod.cleanups) - 1; num >= 0; num-- {
		nod.cleanups[num]()
	}
}
