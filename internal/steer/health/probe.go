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
)

const (
	// DefaultProbeInterval keeps the delay until a health endpoint's sign is seen well under the 3 s that are allowed.
	DefaultProbeInterval = time.Second
	// DefaultProbeTimeout bounds one probe, both of its requests together.
	DefaultProbeTimeout = 500 * time.Millisecond
	// DefaultProbesPerSecond bounds the probes of one VM. A larger number of targets lengthens the interval.
	DefaultProbesPerSecond = 40
	// MinProbesPerSecond is the rate of one VM in a large fleet: 463 bytes a probe are 2.8 KB/s.
	MinProbesPerSecond = 6
	// fleetProbesPerSecond is the rate of the whole fleet up to which each VM probes at the full rate.
	fleetProbesPerSecond = 400
	// probeJitter is the part of the interval by which it varies, so that the VMs do not probe in step.
	probeJitter = 0.2
	// maxProbeBytes bounds what is read of a probe's answer.
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

// Prober asks each target for its health and load at an interval. It is safe for concurrent use.
type Prober struct {
	cfg ProberConfig
	wtg sync.WaitGroup

	mut       sync.Mutex
	off       bool
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
	prb.off = true
	for tid := range prb.stops {
		prb.end(tid)
	}
	prb.mut.Unlock()
	prb.wtg.Wait()
}

// SetFleetSize tells the number of entry VMs. Beyond ten of them each VM probes less often, since a VM tells others what it finds, down
// to MinProbesPerSecond, which leaves room for the other roles in the 10 KB/s that a VM may spend on control.
func (prb *Prober) SetFleetSize(members int) {
	prb.mut.Lock()
	defer prb.mut.Unlock()
	prb.perSecond = min(prb.cfg.PerSecond, max(MinProbesPerSecond, fleetProbesPerSecond/max(1, members)))
}

// SetTargets replaces the probed targets. In a large fleet these are the VM's own subset. It has no effect after the
// prober was stopped.
func (prb *Prober) SetTargets(tgts []cardamompass.Target) {
	prb.mut.Lock()
	defer prb.mut.Unlock()
	if prb.off {
		return
	}
	keep := make(map[cardamompass.TargetID]bool, len(tgts))
	for _, tgt := range tgts {
		keep[tgt.ID] = true
		if prb.addrs[tgt.ID] == tgt.Address {
			continue
		}
		prb.end(tgt.ID)
		ctx, cancel := context.WithCancel(context.Background())
		prb.stops[tgt.ID], prb.addrs[tgt.ID] = cancel, tgt.Address
		prb.wtg.Go(func() { prb.run(ctx, tgt) })
	}
	for tid := range prb.stops {
		if !keep[tid] {
			prb.end(tid)
		}
	}
}

func (prb *Prober) end(tid cardamompass.TargetID) {
	if cancel := prb.stops[tid]; cancel != nil {
		cancel()
	}
	delete(prb.stops, tid)
	delete(prb.addrs, tid)
}

// run probes one target until ctx ends. The first probe comes at a random time within the interval.
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

// interval returns the interval that keeps all probes under the rate.
func (prb *Prober) interval() (itv time.Duration) {
	prb.mut.Lock()
	defer prb.mut.Unlock()
	return max(prb.cfg.Interval, time.Duration(len(prb.stops))*time.Second/time.Duration(prb.perSecond))
}

// probe asks once for health and load. The state counts whatever the status, since a target that drains may answer
// with 503. A missing load report is no failure.
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
	body, err := io.ReadAll(io.LimitReader(rsp.Body, maxProbeBytes))
	if err != nil {
		return err
	}
	return json.Unmarshal(body, into)
}
