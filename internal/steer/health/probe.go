package health

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"cardamompass"
	"cardamompass/internal/plat/strict"
)

const (
	// DefaultProbeInterval keeps the delay until a probe detects a draining target well under the 3 s that are allowed.
	DefaultProbeInterval = time.Second
	// DefaultProbeTimeout bounds one probe, both of its requests together.
	DefaultProbeTimeout = 500 * time.Millisecond
	// DefaultProbesPerSecond bounds the probes of one VM. A larger number of targets lengthens the interval.
	DefaultProbesPerSecond = 40
	// MinProbesPerSecond is the probe rate of one VM in a large fleet. At 463 bytes a probe it takes 2.8 KB/s.
	MinProbesPerSecond = 6
	// fleetProbesPerSecond is the probe rate of the whole fleet up to which each VM probes at its full rate.
	fleetProbesPerSecond = 400
	// probeJitter is the fraction of the interval by which it varies, so that the VMs do not probe at the same time.
	probeJitter = 0.2
	// maxProbeBytes bounds the bytes that are read of a probe's response.
	maxProbeBytes = 4096
)

// ProberConfig describes a prober.
type ProberConfig struct {
	Tracker *Tracker
	Clock   cardamompass.Clock
	// Client sends the probes. Its transport must not share connections with requests.
	Client *http.Client
	// Interval, Timeout and PerSecond replace the defaults when they are positive.
	Interval  time.Duration
	Timeout   time.Duration
	PerSecond int
	// Random returns numbers in [0, 1) for the jitter; math/rand/v2 when nil. It is safe for concurrent use.
	Random func() float64
}

// Prober requests the health and the load of each target at an interval. It is safe for concurrent use.
type Prober struct {
	cfg ProberConfig
	wtg sync.WaitGroup

	mut       sync.Mutex
	stopped   bool
	perSecond int
	stops     map[cardamompass.TargetID]context.CancelFunc
	addrs     map[cardamompass.TargetID]string
}

// NewProber returns a prober without targets, and a function that stops it and waits for its goroutines.
func NewProber(cfg ProberConfig) (prb *Prober, stop func()) {
	if cfg.Interval <= 0 {
		cfg.Interval = DefaultProbeInterval
	}
	if cfg.Timeout <= 0 {
		cfg.Timeout = DefaultProbeTimeout
	}
	if cfg.PerSecond <= 0 {
		cfg.PerSecond = DefaultProbesPerSecond
	}
	if cfg.Random == nil {
		cfg.Random = rand.Float64
	}
	prb = &Prober{
		cfg:       cfg,
		perSecond: cfg.PerSecond,
		stops:     make(map[cardamompass.TargetID]context.CancelFunc),
		addrs:     make(map[cardamompass.TargetID]string),
	}
	return prb, prb.stop
}

func (prb *Prober) stop() {
	prb.mut.Lock()
	prb.stopped = true
	for tid := range prb.stops {
		prb.stopTarget(tid)
	}
	prb.mut.Unlock()
	prb.wtg.Wait()
}

// SetFleetSize sets the number of entry VMs. With more than ten of them each VM probes less often, since VMs report leaving targets to
// each other. The rate does not fall below MinProbesPerSecond, which leaves bandwidth for other control traffic within the 10 KB/s that a
// VM may use for control.
func (prb *Prober) SetFleetSize(members int) {
	prb.mut.Lock()
	defer prb.mut.Unlock()
	prb.perSecond = min(prb.cfg.PerSecond, max(MinProbesPerSecond, fleetProbesPerSecond/max(1, members)))
}

// SetTargets replaces the probed targets. In a large fleet these are the VM's own subset. It has no effect once the
// prober is stopped.
func (prb *Prober) SetTargets(tgts []cardamompass.Target) {
	prb.mut.Lock()
	defer prb.mut.Unlock()
	if prb.stopped {
		return
	}
	keep := make(map[cardamompass.TargetID]bool, len(tgts))
	for _, tgt := range tgts {
		keep[tgt.ID] = true
		if prb.addrs[tgt.ID] == tgt.Address {
			continue
		}
		prb.stopTarget(tgt.ID)
		ctx, cancel := context.WithCancel(context.Background())
		prb.stops[tgt.ID], prb.addrs[tgt.ID] = cancel, tgt.Address
		prb.wtg.Go(func() { prb.run(ctx, tgt) })
	}
	for tid := range prb.stops {
		if !keep[tid] {
			prb.stopTarget(tid)
		}
	}
}

func (prb *Prober) stopTarget(tid cardamompass.TargetID) {
	if cancel := prb.stops[tid]; cancel != nil {
		cancel()
	}
	delete(prb.stops, tid)
	delete(prb.addrs, tid)
}

// run probes one target until ctx ends. The first probe is sent at a random time within the interval.
func (prb *Prober) run(ctx context.Context, tgt cardamompass.Target) {
	wait := time.Duration(prb.cfg.Random() * float64(prb.interval()))
	for {
		tmr := prb.cfg.Clock.NewTimer(wait)
		select {
		case <-ctx.Done():
			tmr.Stop()
			return
		case <-tmr.C():
		}
		prb.probe(ctx, tgt)
		wait = time.Duration(float64(prb.interval()) * (1 - probeJitter/2 + probeJitter*prb.cfg.Random()))
	}
}

// interval returns the interval at which the probes of all targets stay within the rate.
func (prb *Prober) interval() (itv time.Duration) {
	prb.mut.Lock()
	defer prb.mut.Unlock()
	return max(prb.cfg.Interval, time.Duration(len(prb.stops))*time.Second/time.Duration(prb.perSecond))
}

// probe requests health and load once. The state is read whatever the HTTP status, since a draining target may respond
// with 503. A missing load report is not a failure.
func (prb *Prober) probe(ctx context.Context, tgt cardamompass.Target) {
	pctx, cancel := context.WithTimeout(ctx, prb.cfg.Timeout)
	defer cancel()
	var hlt struct {
		State string `json:"state"`
	}
	err := prb.get(pctx, "http://"+tgt.Address+"/healthz", &hlt)
	now := prb.cfg.Clock.Now()
	switch {
	case ctx.Err() != nil:
		return
	case err != nil:
		prb.cfg.Tracker.ProbeFailed(tgt.ID, now)
		return
	case hlt.State == "draining":
		prb.cfg.Tracker.MarkLeaving(tgt.ID, SignalHealthProbe, now)
		return
	case hlt.State == "serving" || hlt.State == "cold":
		prb.cfg.Tracker.ProbeSucceeded(tgt.ID, hlt.State == "cold", now)
	default:
		prb.cfg.Tracker.ProbeFailed(tgt.ID, now)
		return
	}
	var lod struct {
		InFlight int `json:"in-flight"`
		Slots    int `json:"slots"`
	}
	if err = prb.get(pctx, "http://"+tgt.Address+"/load", &lod); err == nil {
		prb.cfg.Tracker.RecordLoad(tgt.ID, lod.InFlight, lod.Slots, prb.cfg.Clock.Now())
	}
}

func (prb *Prober) get(ctx context.Context, url string, into any) (err error) {
	defer func() { err = errors.Wrapf(err, "probe %s", url) }()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return err
	}
	rsp, err := prb.cfg.Client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = rsp.Body.Close() }()
	if err = strict.CheckResponse(rsp); err != nil {
		return err
	}
	body, err := io.ReadAll(io.LimitReader(rsp.Body, maxProbeBytes))
	if err != nil {
		return err
	}
	return json.Unmarshal(body, into)
}
