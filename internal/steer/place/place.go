// Package place chooses the target of a request.
//
// Work on an object is faster at an instance that has handled the object before. Every VM therefore ranks the instances of a service
// alike for an object, by rendezvous hashing, and takes among the first few the one with the smallest expected time, from the load
// and the slowness that instances state with their answers and from the VM's own requests under way.
//
// A region keeps the part of its objects that its part of the slots can carry; the others go to regions with room. The parts follow
// from the registrations, so VMs agree without talking, and they move slowly, so that the cap on shifts between regions holds.
//
// A cold instance gets a number of requests a second that is divided among the running VMs.
package place

import (
	"sync"
	"time"

	"cardamompass"
	"cardamompass/internal/fleet/view"
)

// Config configures a Board.
type Config struct {
	// Self and Region are this VM and its region, whose callers it serves.
	Self   cardamompass.VMID
	Region cardamompass.Region
	// Regions maps failure domains to regions. Callers are taken to be spread evenly over the failure domains.
	Regions map[cardamompass.FailureDomain]cardamompass.Region
	// ColdOverage and ColdSlack bound the requests a second to a cold instance: its rate times the overage plus the slack.
	ColdOverage float64
	ColdSlack   float64
	// MaxRegionShift is the part of a region's requests that may change the serving region within two seconds.
	MaxRegionShift float64
}

// Balancer knows the state of every instance and chooses among them. It is safe for concurrent use and reads no clock.
type Balancer struct {
	cfg Config

	mu     sync.Mutex
	vew    *view.View
	states map[cardamompass.InstanceID]*state
	// byService lists the states of a service's instances.
	byService map[cardamompass.ServiceName][]*state
	parts     map[cardamompass.ServiceName]*parts
	trails    map[uint64]*trail
	vms       census
	// heard is the number of VMs that run by their own word, started when the first view came.
	heard   int
	started time.Time
}

// New returns a Board that knows no instance.
func New(cfg Config) (brd *Balancer) {
	return &Balancer{
		cfg:    cfg,
		vew:    view.Empty(),
		states: make(map[cardamompass.InstanceID]*state),
		parts:  make(map[cardamompass.ServiceName]*parts),
		trails: make(map[uint64]*trail),
	}
}

// Sync takes over a new view of the fleet.
func (brd *Balancer) Sync(vew *view.View, now time.Time) {
	brd.mu.Lock()
	defer brd.mu.Unlock()
	old := brd.vew
	brd.vew = vew
	brd.recount(now)
	if brd.started.IsZero() {
		brd.started = now
	}
	for _, ins := range vew.All() {
		sta, known := brd.states[ins.ID]
		if !known || !sta.ins.SameStart(ins) {
			sta = newState(ins)
			brd.states[ins.ID] = sta
			sta.coldUntil = now.Add(ins.ColdFor)
		}
		if old.Evacuated(ins.FailureDomain) && !vew.Evacuated(ins.FailureDomain) {
			// Targets of an evacuated failure domain may have become cold meanwhile.
			sta.coldUntil = later(sta.coldUntil, now.Add(brd.policy(ins.Service).ColdFor))
		}
		if ins.ColdFor > sta.ins.ColdFor {
			sta.coldUntil = later(sta.coldUntil, now.Add(ins.ColdFor))
		}
		sta.ins = ins
	}
	for id := range brd.states {
		if _, ok := vew.Instance(id); !ok {
			delete(brd.states, id)
		}
	}
	brd.byService = make(map[cardamompass.ServiceName][]*state)
	for _, sta := range brd.states {
		brd.byService[sta.ins.Service] = append(brd.byService[sta.ins.Service], sta)
	}
	for _, prt := range brd.parts {
		prt.want = nil
	}
}

func (brd *Balancer) policy(svc cardamompass.ServiceName) (pol cardamompass.ServicePolicy) {
	if brd.vew.Table == nil {
		return pol
	}
	return brd.vew.Table.Services[svc]
}

// SetRunningVMs takes the number of VMs that run by their own word, this one included.
func (brd *Balancer) SetRunningVMs(count int, now time.Time) {
	brd.mu.Lock()
	defer brd.mu.Unlock()
	brd.heard = count
	brd.recount(now)
}

// recount notes the present number of VMs: the larger of those that the store names and those that were heard.
func (brd *Balancer) recount(now time.Time) { brd.vms.note(max(brd.heard, len(brd.vew.VMs())), now) }

// VMs returns the number of VMs among which common budgets are divided, at least 1. A VM that has just started may not know the others
// yet and takes them to be as many as there are failure domains.
func (brd *Balancer) VMs(now time.Time) (count int) {
	brd.mu.Lock()
	defer brd.mu.Unlock()
	if now.Sub(brd.started) < acquaintance {
		return max(len(brd.cfg.Regions), brd.vms.count(now), 1)
	}
	return brd.vms.count(now)
}

// RecordSent notes that a request goes to an instance.
func (brd *Balancer) RecordSent(id cardamompass.InstanceID, now time.Time) {
	brd.mu.Lock()
	defer brd.mu.Unlock()
	if sta, ok := brd.states[id]; ok {
		sta.inFlight++
		if now.Before(sta.coldUntil) {
			sta.coldSent = append(sta.coldSent, now)
		}
	}
}

// RecordPeerLoad takes a load that an instance stated to another VM some time ago.
func (brd *Balancer) RecordPeerLoad(id cardamompass.InstanceID, lod cardamompass.Load, age time.Duration, now time.Time) {
	brd.mu.Lock()
	defer brd.mu.Unlock()
	if sta, ok := brd.states[id]; ok && now.Add(-age).After(sta.loadAt) {
		sta.stated(lod, now.Add(-age))
	}
}

// Result is what became of a request at an instance.
type Result uint8

const (
	// ResultAnswered is an answer other than a failure.
	ResultAnswered Result = iota
	// ResultFailed is a failure that the target answered, or an answer that broke.
	ResultFailed
	// ResultShed is a request that the target refused to run.
	ResultShed
	// ResultGone is an address at which the instance is not.
	ResultGone
	// ResultUnreachable is an instance to which no connection could be opened.
	ResultUnreachable
	// ResultSilent is a deadline that passed without an answer.
	ResultSilent
	// ResultDropped is a request that this VM gave up; it says nothing of the instance.
	ResultDropped
)

// Outcome is a Result with what the instance stated.
type Outcome struct {
	Instance cardamompass.InstanceID
	// AffinityHash is the hash of the object, as in Query.
	AffinityHash uint64
	Result       Result
	Load         *cardamompass.Load
}

// RecordOutcome notes what became of a request for which Sent was called.
func (brd *Balancer) RecordOutcome(out Outcome, now time.Time) {
	brd.mu.Lock()
	defer brd.mu.Unlock()
	sta, ok := brd.states[out.Instance]
	if !ok {
		return
	}
	sta.inFlight = max(0, sta.inFlight-1)
	sta.note(out, now)
	if out.Result == ResultAnswered {
		brd.trail(out.AffinityHash).note(out.Instance, now)
	}
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
