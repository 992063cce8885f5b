// Package target simulates a target, the process that runs requests of one service, for tests and the demo.
//
// A target listens at its own address and runs as many requests concurrently as it has slots. It serves any path with
// deterministic content, see Content, and echoes the request id. On demand it drains, starts cold, crashes on marked
// requests and sends faulty responses. It records every run, see Runs. Time comes from a Clock. A target is controlled by
// methods, by request headers that start with "Stand-", or below /control/.
package target

import (
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"cardamompass"
	"cardamompass/internal/stand/ctrl"
)

// Headers that set the behaviour for a single request.
const (
	// HeaderServiceTime sets the service time in milliseconds.
	HeaderServiceTime = "Stand-Service-Ms"
	// HeaderResponseBytes sets the size of the response.
	HeaderResponseBytes = "Stand-Answer-Bytes"
	// HeaderCrash is "true" on a request that crashes every target that runs it.
	HeaderCrash = "Stand-Crash"
	// HeaderFault is the Fault of the response.
	HeaderFault = "Stand-Answer-Fault"
	// HeaderOperation names the caller's operation in the records of runs.
	HeaderOperation = "Stand-Operation"
)

const (
	// DefaultCrashMarker in a body makes a request crash every target that runs it.
	DefaultCrashMarker = "stand-crash-marker"
	// DefaultConnCost is the cost of a new connection.
	DefaultConnCost = time.Millisecond
	// defaultResponseBytes is the size of a response unless a header or the behaviour sets one.
	defaultResponseBytes = 64
	// defaultLateMS is the delay of a late response.
	defaultLateMS = 500
)

// WhenFull is what a target does with a request when all slots are in use.
type WhenFull string

const (
	// Queue makes the request wait for a slot until its deadline.
	Queue WhenFull = "queue"
	// Shed refuses the request.
	Shed WhenFull = "shed"
)

// Config describes a target.
type Config struct {
	// Address is the IP address and port to listen at; port 0 means any free port.
	Address string
	// Slots is the number of requests that run at the same time, at least 1.
	Slots int
	// Connections is the number of connections that are accepted; further ones are closed at once. Zero means no limit.
	Connections int
	// ConnCost delays the first read of every new connection. Zero means DefaultConnCost, a negative value none.
	ConnCost time.Duration
	// ColdFor is the time after a start during which requests take ColdFactor times as long.
	ColdFor    time.Duration
	ColdFactor float64
	// Behaviour is the initial behaviour.
	Behaviour Behaviour
	// Clock gives the time. Nil means the system's clock.
	Clock cardamompass.Clock
}

// Behaviour is the part of the configuration that can change while a target runs.
type Behaviour struct {
	// ServiceMS is the service time of a request in milliseconds.
	ServiceMS float64 `json:"service-ms"`
	// SlowFactor multiplies every service time, for straggler phases. Zero means 1.
	SlowFactor float64 `json:"slow-factor"`
	// ResponseBytes is the size of a response. Zero means 64.
	ResponseBytes int64 `json:"answer-bytes"`
	// WhenFull is Queue unless it is set to Shed.
	WhenFull WhenFull `json:"when-full"`
	// HealthState is reported by /healthz in place of the true state unless it is empty.
	HealthState string `json:"health-state"`
	// HealthLagMS is the age of the state that /healthz reports, in milliseconds.
	HealthLagMS int64 `json:"health-lag-ms"`
	// LoadInFlight is reported by /load in place of the true load unless it is nil.
	LoadInFlight *int `json:"load-in-flight"`
	// LoadLagMS is the age of the load that /load reports, in milliseconds.
	LoadLagMS int64 `json:"load-lag-ms"`
	// LateMS is the delay of a late response in milliseconds. Zero means 500.
	LateMS int64 `json:"late-ms"`
	// RestartMS is the time after a crash at which the target starts again. Zero means that only Restart starts it.
	RestartMS int64 `json:"restart-ms"`
	// CrashMarker is the content of a body that crashes the target. Empty means DefaultCrashMarker.
	CrashMarker string `json:"crash-marker"`
}

// Target is a simulated target. It is safe for concurrent use.
type Target struct {
	cfg Config
	clk cardamompass.Clock
	adr string
	hnd http.Handler
	ctl http.Handler
	slt chan struct{}
	end chan struct{}
	// wgr counts the servers, the connections, the handlers and the pending restarts.
	wgr sync.WaitGroup

	mut sync.Mutex
	bhv Behaviour
	// inc is the current incarnation, nil while the target is down.
	inc *incarnation
	// sta is the time of the last start.
	sta time.Time
	cls bool
	drn bool
	// dch is closed when a drain begins.
	dch chan struct{}
	flt []Fault
	rec recorder
	hea ctrl.History[string]
	loa ctrl.History[int]
}

// New starts a target. The clean-up function closes its listener and all connections and waits for all of its
// goroutines.
func New(cfg Config) (tgt *Target, cleanup func(), err error) {
	defer func() { err = errors.Wrap(err, "target stand-in") }()
	if cfg.Slots < 1 {
		return nil, nil, &cardamompass.InvalidError{
			Field:  "slots",
			Reason: "must be at least 1",
		}
	}
	if cfg.Clock == nil {
		cfg.Clock = cardamompass.SystemClock{}
	}
	if cfg.ConnCost == 0 {
		cfg.ConnCost = DefaultConnCost
	}
	tgt = &Target{
		cfg: cfg,
		clk: cfg.Clock,
		adr: cfg.Address,
		slt: make(chan struct{}, cfg.Slots),
		end: make(chan struct{}),
		bhv: cfg.Behaviour,
		dch: make(chan struct{}),
		rec: newRecorder(),
	}
	tgt.ctl = tgt.controlRoutes()
	tgt.hnd = tgt.routes()
	if err = tgt.Restart(); err != nil {
		return nil, nil, err
	}
	return tgt, sync.OnceFunc(tgt.close), nil
}

// Address returns the host:port at which the target listens. It stays the same across restarts.
func (tgt *Target) Address() string { return tgt.adr }

// Control returns the handler of /control/, so that it can be served at an address that survives crashes.
func (tgt *Target) Control() http.Handler { return tgt.ctl }

// Behaviour returns the current behaviour.
func (tgt *Target) Behaviour() Behaviour {
	tgt.mut.Lock()
	defer tgt.mut.Unlock()
	return tgt.bhv
}

// SetBehaviour replaces the current behaviour. Running requests keep the one that they started with.
func (tgt *Target) SetBehaviour(bhv Behaviour) {
	tgt.mut.Lock()
	defer tgt.mut.Unlock()
	tgt.bhv = bhv
}

// SetDraining starts or ends a drain. During a drain, running requests finish, waiting and new ones are shed, and
// every response states that the target is draining.
func (tgt *Target) SetDraining(drn bool) {
	tgt.mut.Lock()
	defer tgt.mut.Unlock()
	if drn == tgt.drn {
		return
	}
	tgt.drn = drn
	if drn {
		close(tgt.dch)
	} else {
		tgt.dch = make(chan struct{})
	}
	tgt.recordHealth()
}

// InjectFaults applies a fault to the given number of coming responses.
func (tgt *Target) InjectFaults(flt Fault, times int) {
	tgt.mut.Lock()
	defer tgt.mut.Unlock()
	for range times {
		tgt.flt = append(tgt.flt, flt)
	}
}

// recordHealth records the state for reports with a lag. The caller holds the mutex.
func (tgt *Target) recordHealth() {
	sta := "serving"
	if tgt.drn {
		sta = "draining"
	}
	tgt.hea.Add(tgt.clk.Now(), milliseconds(tgt.bhv.HealthLagMS), sta)
}

// recordLoad records the load for reports with a lag. The caller holds the mutex.
func (tgt *Target) recordLoad() {
	tgt.loa.Add(tgt.clk.Now(), milliseconds(tgt.bhv.LoadLagMS), tgt.rec.running)
}

func milliseconds(num int64) time.Duration { return time.Duration(num) * time.Millisecond }
