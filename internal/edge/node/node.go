// Package node is the process of an entry VM on the users' platform. It connects the parts: it follows the store, announces the VM,
// serves callers and look-ups, says whether it is ready, and carries out a planned stop.
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
	"cardamompass/internal/edge/direct"
	"cardamompass/internal/edge/front"
	"cardamompass/internal/edge/send"
	"cardamompass/internal/fleet/cast"
	"cardamompass/internal/fleet/view"
	"cardamompass/internal/obs/metric"
	"cardamompass/internal/steer/place"
)

const (
	// metricsPort is where metrics are served. The deploy file names it.
	metricsPort = "9464"
	// firstTableWait is how long the listeners wait for the first routing table, firstTablePoll the time between two looks.
	firstTableWait = time.Second
	firstTablePoll = 5 * time.Millisecond
	// censusInterval is the time between two counts of the VMs that were heard.
	censusInterval = 200 * time.Millisecond
	// trimInterval is the time between two looks for idle connections that are too old.
	trimInterval = time.Second
	// headerTimeout and idleTimeout bound the reading of a header and the idle time of a connection where the routing table has no limits.
	headerTimeout = 10 * time.Second
	idleTimeout   = 60 * time.Second
	// targetSilence ends a connection to a target that does not confirm what was sent.
	targetSilence = 1500 * time.Millisecond
)

// Config configures a Node.
type Config struct {
	Settings cardamompass.VMSettings
	Protocol cardamompass.Protocol
	Registry cardamompass.Registry
	Clock    cardamompass.Clock
	Log      *zap.Logger
	Metrics  *metric.Metrics
	// LinesDropped returns the number of log lines that were left out.
	LinesDropped func() int64
	// Incarnation distinguishes the runs of the process.
	Incarnation cardamompass.Incarnation
}

// Node is the process of an entry VM.
type Node struct {
	cfg      Config
	self     cardamompass.VM
	follower *view.Follower
	presence *presence
	caster   *cast.Exchanger
	balancer *place.Balancer
	sender   *send.Sender
	front    *front.Front
	stopping atomic.Bool
	cleanups []func()
	servers  []*http.Server
	serving  sync.WaitGroup
}

// New starts the process and returns the function that ends it at once.
func New(cfg Config) (nod *Node, cleanup func(), err error) {
	defer func() { err = errors.Wrap(err, "start the entry VM") }()
	set := cfg.Settings
	nod = &Node{
		cfg: cfg,
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
			Self:           set.ID,
			Region:         set.Region,
			Regions:        set.Regions,
			ColdOverage:    set.ColdOverage,
			ColdSlack:      set.ColdSlack,
			MaxRegionShift: set.MaxRegionShift,
		}),
	}
	scp := cfg.Metrics.Scope()
	opened := scp.Counter("target-connections")
	nod.sender = own(nod, func() (*send.Sender, func()) {
		return send.New(send.Config{
			Protocol:  cfg.Protocol,
			Clock:     cfg.Clock,
			Dial:      send.Dialer(targetSilence),
			OnConnect: func() { opened.Inc(1) },
			Log:       cfg.Log,
		})
	})
	nod.follower = own(nod, func() (*view.Follower, func()) {
		return view.New(view.Config{
			Registry: cfg.Registry,
			Clock:    cfg.Clock,
			Log:      cfg.Log,
			OnChange: nod.changed,
		})
	})
	nod.presence = own(nod, func() (*presence, func()) { return newPresence(nod) })
	if err = nod.exchange(); err != nil {
		nod.close()
		return nil, nil, err
	}
	reports := own(nod, func() (*reporter, func()) { return newReporter(cfg) })
	nod.front = own(nod, func() (*front.Front, func()) {
		return front.New(front.Config{
			Settings: set,
			Protocol: cfg.Protocol,
			Clock:    cfg.Clock,
			Log:      cfg.Log,
			Scope:    scp,
			Balancer: nod.balancer,
			Sender:   nod.sender,
			View:     nod.follower.View,
			StoreAge: nod.follower.StoreAge,
			OnLoad:   nod.caster.RecordLoad,
			OnCrash:  reports.crashed,
			Dial:     send.Dialer(targetSilence),
		})
	})
	nod.awaitTable()
	if err = nod.listen(); err != nil {
		nod.close()
		return nil, nil, err
	}
	nod.every(trimInterval, nod.trim)
	nod.every(censusInterval, func() { nod.balancer.SetRunningVMs(len(nod.caster.Running())+1, cfg.Clock.Now()) })
	nod.every(gaugeInterval, func() { nod.gauges(scp) })
	return nod, nod.close, nil
}

// exchange starts the exchange of loads with the other VMs.
func (nod *Node) exchange() (err error) {
	cst, stop, err := cast.New(cast.Config{
		Self:      nod.self,
		ListedVMs: func() []cardamompass.VM { return nod.follower.View().VMs() },
		OnReports: nod.heard,
		Clock:     nod.cfg.Clock,
		Log:       nod.cfg.Log,
	})
	if err != nil {
		return err
	}
	nod.caster = cst
	nod.cleanups = append(nod.cleanups, stop)
	return nil
}

func (nod *Node) heard(reports []cast.Report) {
	now := nod.cfg.Clock.Now()
	for _, rpt := range reports {
		nod.balancer.RecordPeerLoad(rpt.Instance, rpt.Load, rpt.Age, now)
	}
}

// own registers the clean-up function of a part.
func own[T any](nod *Node, start func() (T, func())) (part T) {
	part, cleanup := start()
	nod.cleanups = append(nod.cleanups, cleanup)
	return part
}

// every calls fun at an interval until the node is closed.
func (nod *Node) every(interval time.Duration, fun func()) {
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

// changed takes over a new view.
func (nod *Node) changed(_, next *view.View) {
	nod.balancer.Sync(next, nod.cfg.Clock.Now())
}

// trim closes idle connections that are too old or lead to targets that are gone.
func (nod *Node) trim() {
	vew := nod.follower.View()
	nod.sender.PruneIdle(func(id cardamompass.InstanceID) bool {
		ins, ok := vew.Instance(id)
		return ok && !ins.Leaving
	})
}

// awaitTable waits a short time for the first routing table, because a caller that finds no listener uses another VM at once.
func (nod *Node) awaitTable() {
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
		Others:   nod.caster.OtherVMs,
		Stopping: nod.stopping.Load,
		MaxTTL:   set.MaxLookupTTL,
		Log:      nod.cfg.Log,
	})
	lookupRoutes, readyRoutes, metricRoutes := mux.NewRouter(), mux.NewRouter(), mux.NewRouter()
	lookupRoutes.Handle(nod.cfg.Protocol.LookupPath(), lookups).Methods(http.MethodGet)
	readyRoutes.HandleFunc(nod.cfg.Protocol.ReadyPath(), nod.ready).Methods(http.MethodGet)
	metricRoutes.HandleFunc("/state", nod.dump).Methods(http.MethodGet)
	metricRoutes.Handle("/metrics", nod.cfg.Metrics.Handler()).Methods(http.MethodGet)
	for _, lst := range []struct {
		address string
		handler http.Handler
	}{
		{set.CallerAddress, nod.front},
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
	lim := nod.limits()
	srv := &http.Server{
		Handler:           hnd,
		ReadHeaderTimeout: lim.HeaderTimeout,
		IdleTimeout:       lim.IdleTimeout,
		MaxHeaderBytes:    lim.MaxHeaderBytes,
		ConnContext:       front.ConnContext,
		ErrorLog:          zap.NewStdLog(nod.cfg.Log),
	}
	nod.servers = append(nod.servers, srv)
	nod.serving.Go(func() {
		if err := srv.Serve(lsn); !errors.Is(err, http.ErrServerClosed) {
			nod.cfg.Log.Error("listener ended", zap.String("address", address), zap.Error(err))
		}
	})
	return nil
}

// limits returns the limits of callers as they are when the listeners open; later ones hold from the next start.
func (nod *Node) limits() (lim cardamompass.CallerLimits) {
	if tbl := nod.follower.View().Table; tbl != nil {
		lim = tbl.Limits
	}
	lim.HeaderTimeout = cmp.Or(lim.HeaderTimeout, headerTimeout)
	lim.IdleTimeout = cmp.Or(lim.IdleTimeout, idleTimeout)
	lim.MaxHeaderBytes = cmp.Or(lim.MaxHeaderBytes, http.DefaultMaxHeaderBytes)
	return lim
}

// ready says whether callers should be sent here.
func (nod *Node) ready(wrt http.ResponseWriter, _ *http.Request) {
	if nod.stopping.Load() || nod.follower.View().Table == nil {
		wrt.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	wrt.WriteHeader(http.StatusOK)
}

// close ends the process at once.
func (nod *Node) close() {
	for _, srv := range nod.servers {
		_ = srv.Close() // ends the connections; nothing is left to report
	}
	nod.serving.Wait()
	for num := len(nod.cleanups) - 1; num >= 0; num-- {
		nod.cleanups[num]()
	}
}
