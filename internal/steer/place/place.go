// Package place chooses the target instance of a request.
//
// An instance is faster on objects that it has handled before: these are warm there. Every VM therefore ranks the instances of a service
// by rendezvous hashing, which gives the same order for an object at every VM. Among the first few, the preferred instances, it chooses
// the one with the smallest expected time. The estimate uses the load and the slowness that instances report with their responses, and
// the VM's own requests in flight. The instances after these are fallbacks, used while they are lightly loaded.
//
// A region serves the fraction of its callers' objects that its fraction of the slots can carry; other regions with free capacity serve
// the rest. This split follows from the registrations, so that VMs agree on it without communication. It changes slowly, so that the cap
// on shifts between regions holds.
//
// The rate of requests that a cold instance accepts is divided among the running VMs.
package place

import (
	"sync"
	"time"

	"cardamompass"
	"cardamompass/internal/fleet/view"
)

// Bounds are the limits on the requests that a Balancer allows. They can change while it is in use.
type Bounds struct {
	// ColdOverage and ColdSlack bound the requests per second to a cold instance: its rate times the overage plus the slack.
	ColdOverage float64
	ColdSlack   float64
	// MaxRegionShift is the fraction of a region's requests that may change the serving region within two seconds.
	MaxRegionShift float64
}

// Config configures a Balancer.
type Config struct {
	// Self is this VM. Region is its region, whose callers it serves.
	Self   cardamompass.VMID
	Region cardamompass.Region
	// Regions maps failure domains to regions. Callers are assumed to be spread evenly over the failure domains.
	Regions map[cardamompass.FailureDomain]cardamompass.Region
	// Bounds are the limits until SetBounds is called.
	Bounds Bounds
}

// Balancer tracks the state of every instance and chooses among them. It is safe for concurrent use and reads no clock.
type Balancer struct {
	cfg Config

	mu     sync.Mutex
	vew    *view.View
	states map[cardamompass.InstanceID]*state
	// byService lists the states of a service's instances.
	byService map[cardamompass.ServiceName][]*state
	splits    map[cardamompass.ServiceName]*regionSplit
	histories map[uint64]*history
	standings map[startKey]*standing
	vms       vmCounter
	// running is the number of VMs that announce that they run. started is the time of the first Sync.
	running int
	started time.Time
}

// New returns a Balancer without instances.
func New(cfg Config) (bal *Balancer) {
	return &Balancer{
		cfg:       cfg,
		vew:       view.Empty(),
		states:    make(map[cardamompass.InstanceID]*state),
		splits:    make(map[cardamompass.ServiceName]*regionSplit),
		histories: make(map[uint64]*history),
		standings: make(map[startKey]*standing),
	}
}

// Sync replaces the view of the fleet.
func (bal *Balancer) Sync(vew *view.View, now time.Time) {
	bal.mu.Lock()
	defer bal.mu.Unlock()
	old := bal.vew
	bal.vew = vew
	bal.updateVMCount(now)
	if bal.started.IsZero() {
		bal.started = now
	}
	for _, ins := range vew.All() {
		sta, known := bal.states[ins.ID]
		if !known || !sta.ins.SameStart(ins) {
			sta = newState(ins)
			sta.standing = bal.newStart(ins, known, now)
			bal.states[ins.ID] = sta
			sta.coldUntil = now.Add(ins.ColdFor)
			if known {
				sta.loadAt = now // loads that other VMs saw before are those of the earlier start
			}
		}
		if old.Evacuated(ins.FailureDomain) && !vew.Evacuated(ins.FailureDomain) {
			// Targets of an evacuated failure domain may have become cold in the meantime.
			sta.coldUntil = later(sta.coldUntil, now.Add(bal.policy(ins.Service).ColdFor))
		}
		if ins.ColdFor > sta.ins.ColdFor {
			sta.coldUntil = later(sta.coldUntil, now.Add(ins.ColdFor))
		}
		bal.syncStanding(sta, ins, now)
		sta.ins = ins
	}
	bal.pruneStandings(now)
	for id := range bal.states {
		if _, ok := vew.Instance(id); !ok {
			delete(bal.states, id)
		}
	}
	bal.byService = make(map[cardamompass.ServiceName][]*state)
	for _, sta := range bal.states {
		bal.byService[sta.ins.Service] = append(bal.byService[sta.ins.Service], sta)
	}
	for _, spl := range bal.splits {
		spl.goal = nil
	}
}

func (bal *Balancer) policy(svc cardamompass.ServiceName) (pol cardamompass.ServicePolicy) {
	if bal.vew.Table == nil {
		return pol
	}
	return bal.vew.Table.Services[svc]
}

// SetBounds replaces the bounds.
func (bal *Balancer) SetBounds(bnd Bounds) {
	bal.mu.Lock()
	defer bal.mu.Unlock()
	bal.cfg.Bounds = bnd
}

// SetRunningVMs sets the number of VMs that announce that they run, this one included.
func (bal *Balancer) SetRunningVMs(count int, now time.Time) {
	bal.mu.Lock()
	defer bal.mu.Unlock()
	bal.running = count
	bal.updateVMCount(now)
}

// updateVMCount records the current number of VMs, which is the larger of the number in the view and the number of those that announce
// themselves.
func (bal *Balancer) updateVMCount(now time.Time) {
	bal.vms.record(max(bal.running, len(bal.vew.VMs())), now)
}

// VMs returns the number of VMs among which common budgets are divided, at least 1. A VM that has just started may not have discovered
// the others yet and assumes at least one VM for each failure domain.
func (bal *Balancer) VMs(now time.Time) (count int) {
	bal.mu.Lock()
	defer bal.mu.Unlock()
	if now.Sub(bal.started) < discoveryTime {
		return max(len(bal.cfg.Regions), bal.vms.count(now), 1)
	}
	return bal.vms.count(now)
}

// RecordSent records that a request is sent to an instance.
func (bal *Balancer) RecordSent(id cardamompass.InstanceID, now time.Time) {
	bal.mu.Lock()
	defer bal.mu.Unlock()
	if sta, ok := bal.states[id]; ok {
		sta.inFlight++
		if now.Before(sta.coldUntil) {
			sta.coldSent = append(sta.coldSent, now)
		}
	}
}

// RecordPeerLoad records a load that an instance reported to another VM. age is the time since that report.
func (bal *Balancer) RecordPeerLoad(id cardamompass.InstanceID, lod cardamompass.Load, age time.Duration, now time.Time) {
	bal.mu.Lock()
	defer bal.mu.Unlock()
	if sta, ok := bal.states[id]; ok && now.Add(-age).After(sta.loadAt) {
		sta.setLoad(lod, now.Add(-age))
	}
}

// Result is the way in which a request to an instance ended.
type Result uint8

const (
	// ResultAnswered means that the target returned a response other than an error.
	ResultAnswered Result = iota
	// ResultFailed means that the target returned an error, or that its response broke off.
	ResultFailed
	// ResultShed means that the target refused to run the request.
	ResultShed
	// ResultGone means that the instance is no longer at its address.
	ResultGone
	// ResultUnreachable means that no connection to the instance could be opened.
	ResultUnreachable
	// ResultSilent means that the deadline passed without a response.
	ResultSilent
	// ResultDropped means that this VM cancelled the request; it has no bearing on the state of the instance.
	ResultDropped
)

// Outcome is a Result with what the instance stated in its response.
type Outcome struct {
	Instance cardamompass.InstanceID
	// StartMillis is that of the instance.
	StartMillis int64
	// AffinityHash is that of the Query.
	AffinityHash uint64
	Result       Result
	Load         *cardamompass.Load
	// Leaving is set when the instance stated that it is leaving, Backoff is how long it wants no requests.
	Leaving bool
	Backoff time.Duration
}

// RecordOutcome records the outcome of a request for which RecordSent was called.
func (bal *Balancer) RecordOutcome(out Outcome, now time.Time) (news News) {
	bal.mu.Lock()
	defer bal.mu.Unlock()
	if out.Leaving || out.Backoff > 0 {
		// The start need not be the registered one: its registration may have lapsed, and come back.
		news = bal.standing(out.Instance, out.StartMillis, now).record(out, now)
	}
	sta, ok := bal.states[out.Instance]
	if !ok || sta.ins.StartMillis != out.StartMillis {
		return news // the instance has gone, or has started again and holds nothing of before
	}
	sta.inFlight = max(0, sta.inFlight-1)
	sta.recordOutcome(out, now)
	if out.Result == ResultAnswered {
		bal.history(out.AffinityHash).record(sta.key(), now)
	}
	return news
}

func later(one, two time.Time) time.Time {
	if one.After(two) {
		return one
	}
	return two
}

// String returns the kebab-case name of the result.
func (res Result) String() (name string) {
	switch res {
	case ResultAnswered:
		return "answered"
	case ResultFailed:
		return "failed"
	case ResultShed:
		return "shed"
	case ResultGone:
		return "gone"
	case ResultUnreachable:
		return "unreachable"
	case ResultSilent:
		return "silent"
	case ResultDropped:
		return "dropped"
	default:
		return "invalid"
	}
}
