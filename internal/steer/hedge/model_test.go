package hedge_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"cardamompass"
	"cardamompass/internal/fleet/view"
	"cardamompass/internal/steer/budget"
	"cardamompass/internal/steer/hedge"
	"cardamompass/internal/steer/place"
)

// The model has the sizes of deployment N: a tail of 3% of the work that lasts 7 times as long, machines that are 2.5 times slower in 15%
// of the periods of 600 ms, and warm objects that take 0.3 of the time. The tail belongs to an attempt, not to a request.
const (
	modelVMs      = 4
	modelTargets  = 24
	modelSlots    = 3
	modelQueue    = 9
	modelObjects  = 500
	modelWarm     = 40 // objects that a target keeps
	modelWork     = 480 * time.Millisecond
	modelDeadline = 3 * time.Second
	modelPeriod   = 600 * time.Millisecond
	// learnTime is how long the VMs take to learn that all targets are busy, which responses tell them.
	learnTime = time.Second
	never     = -1 // a limit with which nothing is hedged
)

var modelRoute = &cardamompass.Route{
	Host:             "h",
	Prefix:           "/",
	Idempotent:       true,
	LatencyObjective: 400 * time.Millisecond,
	MaxTargets:       2,
}

// model simulates VMs, with the balancer of package place and the rules of this one, and their targets.
type model struct {
	rnd     *rand.Rand
	percent int
	now     time.Time
	events  events
	vms     []*modelVM
	targets map[cardamompass.InstanceID]*modelTarget
	// busySince is when the mean load rose above 0.9; zero if it is not.
	busySince time.Time
	result    modelResult
}

type modelVM struct {
	balancer *place.Balancer
	tracker  *hedge.Tracker
	limit    hedge.Limit
	retries  *budget.Budget
	median   time.Duration
	refusal  time.Time
}

type modelTarget struct {
	id      cardamompass.InstanceID
	hash    uint64
	running []*modelAttempt
	waiting []*modelAttempt
	warm    []uint64 // the newest last
}

type modelRequest struct {
	vm       *modelVM
	object   uint64
	sent     time.Time
	done     bool
	attempts []*modelAttempt
}

type modelAttempt struct {
	req     *modelRequest
	target  *modelTarget
	choice  place.Choice
	sent    time.Time
	started time.Time
	second  bool
	ended   bool
}

type event struct {
	at  time.Time
	num int
	run func()
}

type events []event

func (evs *events) Len() int { return len(*evs) }
func (evs *events) Less(one, two int) bool {
	return (*evs)[one].at.Before((*evs)[two].at) || (*evs)[one].at.Equal((*evs)[two].at) && (*evs)[one].num < (*evs)[two].num
}
func (evs *events) Swap(one, two int) { (*evs)[one], (*evs)[two] = (*evs)[two], (*evs)[one] }
func (evs *events) Push(evt any)      { *evs = append(*evs, evt.(event)) }
func (evs *events) Pop() (evt any) {
	last := len(*evs) - 1
	evt = (*evs)[last]
	*evs = (*evs)[:last]
	return evt
}

func newModel(seed uint64, percent int) (mdl *model) {
	mdl = &model{
		rnd:     rand.New(rand.NewPCG(seed, 4)),
		percent: percent,
		now:     start,
		targets: make(map[cardamompass.InstanceID]*modelTarget),
		result:  modelResult{reasons: make(map[hedge.Reason]int)},
	}
	var chs []cardamompass.Change
	for num := range modelTargets {
		id := cardamompass.InstanceID(fmt.Sprintf("i-%02d", num))
		mdl.targets[id] = &modelTarget{id: id, hash: mdl.rnd.Uint64()}
		chs = append(chs, cardamompass.Change{
			Instance: &cardamompass.Instance{
				ID:            id,
				Service:       "s",
				Region:        "a",
				FailureDomain: cardamompass.FailureDomain([]string{"a-1", "a-2"}[num%2]),
				Slots:         modelSlots,
			},
		})
	}
	vew := view.Empty().WithListing(chs, cardamompass.Position{Revision: 1}, view.Outage{}, start)
	for range modelVMs {
		vm := &modelVM{
			balancer: place.New(place.Config{Self: "vm", Region: "a"}),
			tracker:  hedge.NewTracker(),
			retries:  budget.New(budget.Config{Percent: 17, Minimum: 11}, start),
			median:   200 * time.Millisecond,
		}
		vm.balancer.Sync(vew, start)
		mdl.vms = append(mdl.vms, vm)
	}
	return mdl
}

func (mdl *model) after(dur time.Duration, run func()) {
	heap.Push(&mdl.events, event{at: mdl.now.Add(dur), num: mdl.rnd.IntN(1 << 30), run: run})
}

// run simulates requests at a rate per second that rate returns for the time since the start.
func (mdl *model) run(length time.Duration, rate func(ela time.Duration) float64) (res modelResult) {
	var arrive func()
	arrive = func() {
		mdl.request()
		mdl.after(time.Duration(mdl.rnd.ExpFloat64()/rate(mdl.now.Sub(start))*float64(time.Second)), arrive)
	}
	mdl.after(0, arrive)
	for end := start.Add(length); mdl.now.Before(end); {
		evt := heap.Pop(&mdl.events).(event)
		mdl.now = evt.at
		evt.run()
	}
	slices.Sort(mdl.result.latencies)
	return mdl.result
}

func (mdl *model) request() {
	req := &modelRequest{
		vm:     mdl.vms[mdl.rnd.IntN(modelVMs)],
		object: uint64(float64(modelObjects) * mdl.rnd.Float64() * mdl.rnd.Float64()),
		sent:   mdl.now,
	}
	mdl.result.requests++
	load := mdl.load()
	if load <= 0.9 {
		mdl.busySince = time.Time{}
	} else if mdl.busySince.IsZero() {
		mdl.busySince = mdl.now
	}
	mdl.result.meanLoad += load
	mdl.result.loadMeasures++
	req.vm.retries.Request(mdl.now)
	if !mdl.send(req, false) {
		mdl.result.refused++
		req.vm.refusal = mdl.now
		return
	}
	if mdl.percent > 0 {
		req.vm.limit.Request(mdl.percent, mdl.now)
	}
	if mdl.percent != never {
		mdl.after(hedge.Delay(hedge.DelayInput{
			Percent:   mdl.percent,
			Objective: modelRoute.LatencyObjective,
			Median:    req.vm.median,
			Estimate:  req.vm.tracker.Estimate("r", mdl.percent),
		}), func() { mdl.hedge(req) })
	}
	mdl.after(modelDeadline, func() { mdl.finish(req, nil) })
}

func (mdl *model) hedge(req *modelRequest) {
	if req.done {
		return
	}
	vm := req.vm
	rsn := hedge.Decide(hedge.Input{
		Percent:     mdl.percent,
		Idempotent:  true,
		Tried:       len(req.attempts),
		MaxTargets:  modelRoute.MaxTargets,
		Left:        req.sent.Add(modelDeadline).Sub(mdl.now),
		LimitAllows: mdl.percent > 0 && vm.limit.Allows(mdl.percent, mdl.now),
		LastRefusal: vm.refusal,
		Load:        func() float64 { return vm.balancer.MeanLoad("s", modelRoute, mdl.now) },
		Usual:       vm.tracker.Estimate("r", mdl.percent).Usual,
		Now:         mdl.now,
	})
	if rsn == hedge.Allowed && !mdl.send(req, true) {
		rsn = hedge.NoTarget
	}
	mdl.result.reasons[rsn]++
}

// send sends a request to a target, as launch in package front does.
func (mdl *model) send(req *modelRequest, second bool) (ok bool) {
	vm := req.vm
	qry := place.Query{
		Service:      "s",
		AffinityHash: place.AffinityHash("s", fmt.Sprint(req.object)),
		Route:        modelRoute,
		MaxLoad:      1.75,
		Hedge:        second,
		Now:          mdl.now,
	}
	if second {
		qry.Tried = []cardamompass.InstanceID{req.attempts[0].target.id}
		if mdl.percent > 0 {
			qry.First = &place.FirstAttempt{
				FailureDomain: req.attempts[0].choice.Instance.FailureDomain,
				Sent:          req.sent,
			}
		}
	}
	chc, ok := vm.balancer.Choose(qry)
	if !ok {
		return false
	}
	if second {
		if mdl.percent > 0 && !vm.limit.Take(mdl.percent, mdl.now) || !vm.retries.TakeExtra(mdl.now) {
			return false
		}
		mdl.result.hedges++
		if !mdl.busySince.IsZero() && mdl.now.Sub(mdl.busySince) > learnTime {
			mdl.result.hedgesAtBusy++
		}
	}
	vm.balancer.RecordSent(chc.Instance.ID, mdl.now)
	atm := &modelAttempt{req: req, target: mdl.targets[chc.Instance.ID], choice: chc, sent: mdl.now, second: second}
	req.attempts = append(req.attempts, atm)
	tgt := atm.target
	if len(tgt.waiting) >= modelQueue {
		mdl.record(atm, place.ResultShed)
		mdl.result.refused++
		atm.ended, req.done = true, true
		return true
	}
	tgt.waiting = append(tgt.waiting, atm)
	mdl.fill(tgt)
	return true
}

// fill starts the first waiting attempts of a target while it has free slots.
func (mdl *model) fill(tgt *modelTarget) {
	for len(tgt.waiting) > 0 && len(tgt.running) < modelSlots {
		atm := tgt.waiting[0]
		tgt.waiting = tgt.waiting[1:]
		tgt.running = append(tgt.running, atm)
		atm.started = mdl.now
		mdl.after(mdl.duration(tgt, atm.req.object), func() { mdl.answer(atm) })
	}
}

func (mdl *model) duration(tgt *modelTarget, object uint64) (dur time.Duration) {
	work := float64(modelWork) * math.Exp(0.25*mdl.rnd.NormFloat64())
	if num := slices.Index(tgt.warm, object); num >= 0 {
		work *= 0.3
		tgt.warm = slices.Delete(tgt.warm, num, num+1)
	}
	tgt.warm = append(tgt.warm, object)
	tgt.warm = tgt.warm[max(0, len(tgt.warm)-modelWarm):]
	if mdl.rnd.Float64() < 0.03 {
		work *= 7
	}
	for at := mdl.now; work > 0; {
		left := modelPeriod - at.Sub(start)%modelPeriod
		part := min(work, float64(left)/tgt.slowness(at))
		dur += time.Duration(part * tgt.slowness(at))
		at = at.Add(left)
		work -= part
	}
	return dur
}

// slowness returns the time for a unit of work at a time, relative to the usual one.
func (tgt *modelTarget) slowness(at time.Time) (factor float64) {
	if rand.New(rand.NewPCG(tgt.hash, uint64(at.Sub(start)/modelPeriod))).Float64() < 0.15 {
		return 2.5
	}
	return 1
}

func (mdl *model) answer(atm *modelAttempt) {
	if atm.ended {
		return
	}
	mdl.remove(atm, place.ResultAnswered)
	mdl.finish(atm.req, atm)
}

// remove takes an attempt off its target, which has answered it or whose request was cancelled.
func (mdl *model) remove(atm *modelAttempt, res place.Result) {
	atm.ended = true
	tgt := atm.target
	same := func(oth *modelAttempt) bool { return oth == atm }
	tgt.running, tgt.waiting = slices.DeleteFunc(tgt.running, same), slices.DeleteFunc(tgt.waiting, same)
	if !atm.started.IsZero() && atm.second {
		mdl.result.secondTime += mdl.now.Sub(atm.started)
	} else if !atm.started.IsZero() {
		mdl.result.firstTime += mdl.now.Sub(atm.started)
	}
	mdl.fill(tgt)
	mdl.record(atm, res)
	if !atm.second && mdl.percent > 0 {
		atm.req.vm.tracker.Record("r", mdl.now.Sub(atm.sent), res != place.ResultAnswered, mdl.now)
	}
}

// record reports an attempt to the balancer of its VM, with the load that a response states.
func (mdl *model) record(atm *modelAttempt, res place.Result) {
	out := place.Outcome{
		Instance:     atm.target.id,
		AffinityHash: place.AffinityHash("s", fmt.Sprint(atm.req.object)),
		Result:       res,
	}
	if res == place.ResultAnswered || res == place.ResultShed {
		out.Load = &cardamompass.Load{
			Running:  len(atm.target.running),
			Waiting:  len(atm.target.waiting),
			Slots:    modelSlots,
			Slowness: atm.target.slowness(mdl.now),
		}
	}
	atm.req.vm.balancer.RecordOutcome(out, mdl.now)
	for _, vm := range mdl.vms {
		if vm != atm.req.vm && out.Load != nil {
			vm.balancer.RecordPeerLoad(atm.target.id, *out.Load, 0, mdl.now)
		}
	}
}

// finish ends a request with the response of an attempt, or without one at its deadline, and cancels the other attempts.
func (mdl *model) finish(req *modelRequest, winner *modelAttempt) {
	if req.done {
		return
	}
	req.done = true
	ela := mdl.now.Sub(req.sent)
	mdl.result.latencies = append(mdl.result.latencies, ela)
	if winner != nil && winner.second {
		mdl.result.won++
	}
	if med := &req.vm.median; ela > *med {
		*med += *med * 3 / 100
	} else {
		*med -= *med * 3 / 100
	}
	for _, atm := range req.attempts {
		if !atm.ended {
			mdl.remove(atm, place.ResultDropped)
		}
	}
}

// load returns the mean load of the targets relative to their slots.
func (mdl *model) load() (mean float64) {
	for _, tgt := range mdl.targets {
		mean += float64(len(tgt.running)+len(tgt.waiting)) / (modelTargets * modelSlots)
	}
	return mean
}
