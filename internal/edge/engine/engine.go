// Package engine runs requests on targets. It combines the decisions of the steer packages, this VM's shares of the caps and the
// relay.
//
// A request waits in the queue of its service until a claim succeeds: a target chosen by route.Decide, a slot of the region's
// share, units of the shift when it crosses regions, and the guard's admission. Failed attempts are retried on other targets within
// the retry budget, non-idempotent ones only when they certainly did not run. Slow attempts of short idempotent requests are hedged
// within the hedge budget.
//
// An error is a NotRunError only if no attempt can have run. Other errors are UnknownOutcomeError and InvalidError.
package engine

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"cardamompass"
	"cardamompass/internal/conf/catlg"
	"cardamompass/internal/edge/dump"
	"cardamompass/internal/edge/relay"
	"cardamompass/internal/fleet/share"
	"cardamompass/internal/obs/metric"
	"cardamompass/internal/steer/budget"
	"cardamompass/internal/steer/guard"
	"cardamompass/internal/steer/health"
	"cardamompass/internal/steer/queue"
	"cardamompass/internal/steer/route"
)

// retryQueueInterval is the interval at which waiting requests try again to claim a target. It covers capacity that becomes
// available without a released slot: borrowed units, link units and growing ramps.
const retryQueueInterval = 5 * time.Millisecond

// defaultQueueLength bounds the queue of a service for which neither the catalogue nor the configuration states a bound.
const defaultQueueLength = 256

// Config configures an Engine.
type Config struct {
	Self    cardamompass.VM
	Clock   cardamompass.Clock
	Log     *zap.Logger
	Scope   tally.Scope
	Relay   *relay.Relay
	Tracker *health.Tracker
	Guard   *guard.Guard
	Pool    *share.Pool
	// Report sends a report of the guard to all other entry VMs. It returns when they have responded or after its own timeout.
	Report func(ctx context.Context, rep guard.Report)
	// Reserve reserves a target for a suspect request for the time left, so that suspect requests of other entry VMs do not run
	// there. If nil, every reservation succeeds.
	Reserve func(ctx context.Context, tid cardamompass.TargetID, left time.Duration) (release func(), ok bool)
	// Recent keeps the decisions for the state dump.
	Recent *dump.DecisionLog
	// HedgePercent and RetryPercent are the budgets in percent of requests.
	HedgePercent int
	RetryPercent int
	// QueueLength bounds the queue of a service for which the catalogue states no bound; 0 means 256.
	QueueLength int
	// Members lists the entry VMs among which the connections to targets are divided.
	Members cardamompass.Membership
	// Naive replaces the steering by a baseline for measurements: round robin without shares, hedges or guard.
	Naive bool
}

// Engine runs requests. It is safe for concurrent use.
type Engine struct {
	cfg            Config
	mtx            sync.Mutex // serializes SetCatalogue and MembersChanged
	plan           atomic.Pointer[plan]
	attempts       atomic.Uint64
	wtg            sync.WaitGroup
	naive          naiveState
	requestWaiting chan struct{}
	queues         *queue.Set
	// subsetVMs are the entry VMs among which connections were last divided, guarded by mtx.
	subsetVMs []cardamompass.VMID
}

// service is the state of one service. It is kept when the catalogue changes.
type service struct {
	svc         cardamompass.Service
	queue       *queue.Queue
	retry       *budget.Budget
	hedge       *budget.Budget
	shifts      *shiftStarts
	latency     tally.Histogram
	scope       tally.Scope
	scratchPool *sync.Pool // of *scratch
}

// scratch holds buffers that are reused between decisions.
type scratch struct {
	snp route.Snapshot
	dec route.Decision
}

// New returns an Engine without a catalogue, which refuses all requests as not run. The cleanup waits for attempts in progress.
func New(cfg Config) (eng *Engine, cleanup func()) {
	if cfg.QueueLength == 0 {
		cfg.QueueLength = defaultQueueLength
	}
	if cfg.Reserve == nil {
		cfg.Reserve = func(context.Context, cardamompass.TargetID, time.Duration) (release func(), ok bool) {
			return func() {}, true
		}
	}
	queues, stopQueues := queue.NewSet(cfg.Clock)
	eng = &Engine{
		cfg:            cfg,
		requestWaiting: make(chan struct{}, 1),
		queues:         queues,
	}
	eng.plan.Store(&plan{})
	ctx, cancel := context.WithCancel(context.Background())
	eng.wtg.Go(func() { eng.retryQueues(ctx) })
	return eng, func() {
		cancel()
		stopQueues()
		eng.wtg.Wait()
	}
}

// SetCatalogue activates a catalogue: its targets, caps and services. Requests in progress continue.
func (eng *Engine) SetCatalogue(cat *catlg.Catalogue) {
	eng.mtx.Lock()
	defer eng.mtx.Unlock()
	old := eng.plan.Load().services
	next := &plan{
		cat:      cat,
		services: make(map[cardamompass.ServiceName]*service),
	}
	services := cat.Services()
	eng.queues.SetServices(eng.withDefaultQueueLength(services))
	for _, svc := range services {
		next.services[svc.Name] = eng.service(old[svc.Name], svc)
	}
	next.targets = eng.subset(cat)
	eng.cfg.Tracker.SetTargets(next.list(), eng.cfg.Clock.Now())
	eng.cfg.Pool.SetResources(Resources(cat, eng.cfg.Self.Region), int64(cat.Version()))
	eng.plan.Store(next)
}

// withDefaultQueueLength returns the services with the configured queue length where the catalogue states none.
func (eng *Engine) withDefaultQueueLength(services []cardamompass.Service) []cardamompass.Service {
	services = slices.Clone(services)
	for num := range services {
		if services[num].QueueLength == 0 {
			services[num].QueueLength = eng.cfg.QueueLength
		}
	}
	return services
}

// MembersChanged divides the connections to the targets anew after entry VMs have joined or left.
func (eng *Engine) MembersChanged() {
	eng.mtx.Lock()
	defer eng.mtx.Unlock()
	old := eng.plan.Load()
	// Most changes are suspicions and their refutations, which do not change the set of serving VMs.
	if old.cat == nil || slices.Equal(eng.serving(), eng.subsetVMs) {
		return
	}
	targets := eng.subset(old.cat)
	if maps.Equal(targets, old.targets) {
		return
	}
	next := &plan{
		cat:      old.cat,
		services: old.services,
		targets:  targets,
	}
	eng.cfg.Tracker.SetTargets(next.list(), eng.cfg.Clock.Now())
	eng.plan.Store(next)
}

// Targets returns the targets that this VM uses.
func (eng *Engine) Targets() []cardamompass.Target { return eng.plan.Load().list() }

// subset returns the targets that this VM uses. These are all targets while their connections suffice for all entry VMs; in a
// larger fleet each VM uses a subset.
func (eng *Engine) subset(cat *catlg.Catalogue) (targets map[cardamompass.TargetID]cardamompass.Target) {
	targets = make(map[cardamompass.TargetID]cardamompass.Target)
	vms := eng.serving()
	eng.subsetVMs = vms
	for _, svc := range cat.Services() {
		for _, reg := range cat.Regions() {
			list := cat.TargetsOf(svc.Name, reg.Name)
			if len(list) == 0 {
				continue
			}
			for _, con := range route.Subset(route.SubsetConfig{
				Self:    eng.cfg.Self.ID,
				VMs:     vms,
				Targets: list,
			}) {
				tgt, _ := cat.Target(con.Target)
				tgt.Connections = con.Count
				targets[tgt.ID] = tgt
			}
		}
	}
	return targets
}

// serving returns the entry VMs that may keep connections to targets, including this VM.
func (eng *Engine) serving() (vms []cardamompass.VMID) {
	vms = []cardamompass.VMID{eng.cfg.Self.ID}
	for _, mbr := range eng.cfg.Members.Members() {
		if mbr.Serving() && mbr.VM.ID != eng.cfg.Self.ID {
			vms = append(vms, mbr.VM.ID)
		}
	}
	return vms
}

func (eng *Engine) service(old *service, svc cardamompass.Service) *service {
	if old != nil {
		updated := *old
		updated.svc = svc
		updated.queue = eng.queues.Queue(svc.Name, svc.Class)
		return &updated
	}
	now := eng.cfg.Clock.Now()
	retry, hedge := budget.RetryConfig(), budget.HedgeConfig()
	retry.Percent, hedge.Percent = eng.cfg.RetryPercent, eng.cfg.HedgePercent
	scope := eng.cfg.Scope.Tagged(map[string]string{
		"service": string(svc.Name),
		"class":   string(svc.Class),
	})
	return &service{
		svc:         svc,
		queue:       eng.queues.Queue(svc.Name, svc.Class),
		retry:       budget.New(retry, now),
		hedge:       budget.New(hedge, now),
		shifts:      newShiftStarts(),
		latency:     scope.Histogram("request-latency", metric.LatencyBuckets()),
		scope:       scope,
		scratchPool: &sync.Pool{New: func() any { return &scratch{} }},
	}
}

// ownRegionWeight is the weight of a VM in the division of caps of its own region; VMs of other regions have weight 1. Most
// requests use VMs of their own region. The other VMs keep some units, so that targets stay reachable when all VMs of their region
// have failed.
const ownRegionWeight = 4

// Resources returns the caps of a catalogue as resources to be shared, with the weights for a VM in region self.
func Resources(cat *catlg.Catalogue, self cardamompass.Region) (list []share.Resource) {
	const bytesPerKbit = 1000 / 8
	weight := func(regions ...cardamompass.Region) int64 {
		if slices.Contains(regions, self) {
			return ownRegionWeight
		}
		return 1
	}
	for _, lnk := range cat.Links() {
		list = append(list, share.Resource{
			Name:        share.LinkName(lnk.From, lnk.To),
			Kind:        share.KindRate,
			Capacity:    lnk.KbitPerSecond * bytesPerKbit,
			LongPercent: lnk.LongPercent,
			Weight:      weight(lnk.From, lnk.To),
		})
	}
	for _, sft := range cat.Shifts() {
		list = append(list, share.Resource{
			Name:     share.ShiftName(sft.Service, sft.From, sft.To),
			Kind:     share.KindRate,
			Capacity: sft.RequestsPerSecond,
			Weight:   weight(sft.From, sft.To),
		})
	}
	for _, svc := range cat.Services() {
		for _, reg := range cat.Regions() {
			slots := 0
			for _, tgt := range cat.TargetsOf(svc.Name, reg.Name) {
				slots += tgt.Slots
			}
			if slots > 0 {
				list = append(list, share.Resource{
					Name:       share.SlotsName(svc.Name, reg.Name),
					Kind:       share.KindSlots,
					Capacity:   int64(slots),
					MaxRunTime: svc.MaxTimeout,
					Weight:     weight(reg.Name),
				})
			}
		}
	}
	return list
}

// Service returns a service of the active catalogue.
func (eng *Engine) Service(name cardamompass.ServiceName) (svc cardamompass.Service, err error) {
	pln := eng.plan.Load()
	if pln.cat == nil {
		return svc, &cardamompass.NotRunError{
			Reason: "no catalogue yet",
		}
	}
	sta, ok := pln.services[name]
	if !ok {
		return svc, &cardamompass.InvalidError{
			Field:  "service",
			Reason: "is not in the catalogue: " + string(name),
		}
	}
	return sta.svc, nil
}

// Waiting returns the number of queued requests of each service.
func (eng *Engine) Waiting() (waiting map[cardamompass.ServiceName]int) {
	waiting = make(map[cardamompass.ServiceName]int)
	for name, sta := range eng.plan.Load().services {
		waiting[name] = sta.queue.Len()
	}
	return waiting
}

// retryQueues lets queued requests try again at each retryQueueInterval. It blocks while no request waits, because an idle timer of
// this interval uses more than one percent of a core.
func (eng *Engine) retryQueues(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-eng.requestWaiting:
		}
		for busy := true; busy; {
			tmr := eng.cfg.Clock.NewTimer(retryQueueInterval)
			select {
			case <-ctx.Done():
				tmr.Stop()
				return
			case <-tmr.C():
			}
			busy = false
			for _, sta := range eng.plan.Load().services {
				if sta.queue.Len() > 0 {
					busy = true
					sta.queue.SlotsReleased()
				}
			}
		}
	}
}

// wakeQueueRetries wakes retryQueues when a request starts to wait.
func (eng *Engine) wakeQueueRetries() {
	select {
	case eng.requestWaiting <- struct{}{}:
	default:
	}
}
