package wait_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"cardamompass"
	"cardamompass/internal/fleet/view"
	"cardamompass/internal/steer/place"
	"cardamompass/internal/steer/wait"
)

const (
	service   = cardamompass.ServiceName("svc")
	vms       = 6
	targets   = 24
	slots     = 3
	warmKept  = 40 // objects that a target keeps
	objects   = 600
	work      = 480 * time.Millisecond
	objective = 400 * time.Millisecond
	patience  = 3 * time.Second
	tick      = 20 * time.Millisecond
	// room is the number of requests per second that the targets can serve, measured at a lasting overload.
	room = 330
)

// traffic is the load of one team in requests per second, usually and within the burst from second 5 to 10.
type traffic struct {
	team          cardamompass.TeamName
	priority      int
	usual, bursty float64
}

func (trf traffic) flow() wait.Flow { return wait.Flow{Team: trf.team, Priority: trf.priority} }

// figures are what the callers of a team got. Requests that began before the end of the load are counted.
type figures struct{ total, inTime, late, refused int }

func (fig figures) String() string {
	part := func(num int) float64 { return 100 * float64(num) / float64(max(1, fig.total)) }
	return fmt.Sprintf("%5d requests: %5.1f%% within the objective, %4.1f%% late, %4.1f%% refused; value %.1f%%",
		fig.total, part(fig.inTime), part(fig.late), part(fig.refused), 100*fig.value())
}

func (fig figures) plus(oth figures) (sum figures) {
	return figures{fig.total + oth.total, fig.inTime + oth.inTime, fig.late + oth.late, fig.refused + oth.refused}
}

func (fig figures) inTimePart() (part float64) {
	return float64(fig.inTime) / float64(max(1, fig.total))
}

// value counts a late response as a quarter.
func (fig figures) value() float64 {
	return (float64(fig.inTime) + 0.25*float64(fig.late)) / float64(max(1, fig.total))
}

// call is a request of a caller.
type call struct {
	traffic  traffic
	object   uint64
	began    time.Time
	returned bool
	tried    []cardamompass.InstanceID
	claimed  bool      // took up a promise
	arrived  time.Time // of this attempt
	work     float64   // seconds, if the object is not warm
}

func (cll *call) query(now time.Time) place.Query {
	return place.Query{
		Service: service, AffinityHash: cll.object, Route: &cardamompass.Route{}, Tried: cll.tried,
		MaxLoad: 2 - 0.25*float64(cll.traffic.priority), Now: now,
	}
}

type modelVM struct {
	bal     *place.Balancer
	que     *wait.Queue
	median  time.Duration
	waiters map[*wait.Item]*call
}

// modelTarget runs requests in slots and holds three times as many in its queue.
type modelTarget struct {
	id      cardamompass.InstanceID
	running int
	waiting []func()
	warm    []uint64
}

// model plays callers, VMs and targets in simulated time.
type model struct {
	now     time.Time
	events  events
	rnd     *rand.Rand
	vms     []*modelVM
	targets map[cardamompass.InstanceID]*modelTarget
	waiting bool // whether requests may wait
	figures map[wait.Flow]*figures
	load    map[wait.Flow]*rand.Rand // of the arrivals of each team, so that they do not depend on the decisions
	errors  []float64                // ratio of wait and estimate
	refused map[wait.Reason]int
}

func (mdl *model) after(dur time.Duration, run func()) {
	heap.Push(&mdl.events, event{at: mdl.now.Add(dur), num: mdl.rnd.IntN(1 << 30), run: run})
}

func play(seed uint64, waiting bool, loads []traffic) (mdl *model) {
	mdl = &model{
		now: time.Unix(1000, 0), rnd: rand.New(rand.NewPCG(seed, 2)), waiting: waiting,
		targets: make(map[cardamompass.InstanceID]*modelTarget), figures: make(map[wait.Flow]*figures), load: make(map[wait.Flow]*rand.Rand), refused: make(map[wait.Reason]int),
	}
	var chs []cardamompass.Change
	for num := range targets {
		id := cardamompass.InstanceID(fmt.Sprint("i-", num))
		mdl.targets[id] = &modelTarget{id: id}
		chs = append(chs, cardamompass.Change{Instance: &cardamompass.Instance{ID: id, Service: service, Region: "r", Address: string(id), Slots: slots}})
	}
	for range vms {
		vmc := &modelVM{
			bal: place.New(place.Config{Self: "vm", Region: "r"}), que: wait.New(wait.Config{MaxRequests: 256, MaxBytes: 16 << 20}),
			median: objective / 2, waiters: make(map[*wait.Item]*call),
		}
		vmc.bal.Sync(view.Empty().WithListing(chs, cardamompass.Position{Revision: 1}, view.Outage{}, mdl.now), mdl.now)
		mdl.vms = append(mdl.vms, vmc)
		mdl.poll(vmc)
	}
	begin := mdl.now
	for num, trf := range loads {
		mdl.figures[trf.flow()] = &figures{}
		mdl.load[trf.flow()] = rand.New(rand.NewPCG(seed, uint64(num)))
		mdl.generate(trf, begin)
	}
	for len(mdl.events) > 0 && mdl.now.Sub(begin) < 20*time.Second {
		evt := heap.Pop(&mdl.events).(event)
		mdl.now = evt.at
		evt.run()
	}
	return mdl
}

// generate sends the requests of a team for 15 s. The first 2 s, in which the targets become warm, are not counted.
func (mdl *model) generate(trf traffic, begin time.Time) {
	ela := mdl.now.Sub(begin)
	if ela > 15*time.Second {
		return
	}
	rate := trf.usual
	if ela > 5*time.Second && ela < 10*time.Second {
		rate = trf.bursty
	}
	rnd := mdl.load[trf.flow()]
	mdl.after(time.Duration(rnd.ExpFloat64()/rate*float64(time.Second)), func() {
		obj := uint64(float64(objects) * math.Pow(rnd.Float64(), 2))
		cll := &call{traffic: trf, object: place.AffinityHash(service, fmt.Sprint(obj)), began: mdl.now, work: work.Seconds() * (0.5 + rnd.Float64())}
		if ela > 2*time.Second {
			mdl.figures[trf.flow()].total++
		} else {
			cll.traffic.team = "warm-up"
		}
		mdl.arrive(cll)
		mdl.generate(trf, begin)
	})
}

func (mdl *model) arrive(cll *call) {
	vmc := mdl.vms[mdl.rnd.IntN(vms)] // callers that return may use another VM
	cll.arrived, cll.tried = mdl.now, nil
	cll.claimed = vmc.que.Arrive(cll.traffic.flow(), mdl.now)
	if mdl.waiting {
		mdl.pass(vmc)
	}
	mdl.dispatch(vmc, cll)
}

func (mdl *model) dispatch(vmc *modelVM, cll *call) {
	req := wait.Request{
		Flow: cll.traffic.flow(), Returned: cll.claimed, Work: vmc.median, Objective: cll.arrived.Add(objective),
		Deadline: cll.began.Add(patience), CallerDeadline: cll.began.Add(patience),
	}
	qry := cll.query(mdl.now)
	if mdl.waiting {
		qry.MaxLoad = vmc.que.Limit(cll.traffic.flow(), qry.MaxLoad, mdl.now)
	}
	chc, ok := vmc.bal.Choose(qry)
	if ok {
		vmc.que.Started(req, mdl.now)
		mdl.send(vmc, cll, chc.Instance.ID)
		return
	}
	if !mdl.waiting {
		mdl.refuse(cll, wait.Refusal{RetryAfter: 100 * time.Millisecond, Reason: "at-once"})
		return
	}
	itm, ref, displaced := vmc.que.Add(req, mdl.now)
	if displaced != nil {
		mdl.refuse(vmc.waiters[displaced.Item], *displaced)
	}
	if itm == nil {
		mdl.refuse(cll, ref)
		return
	}
	vmc.waiters[itm] = cll
}

func (mdl *model) refuse(cll *call, ref wait.Refusal) {
	mdl.refused[ref.Reason]++
	left := cll.began.Add(patience).Sub(mdl.now)
	if cll.returned || left <= 0 {
		if fig := mdl.figures[cll.traffic.flow()]; fig != nil {
			fig.refused++
		}
		return
	}
	cll.returned = true
	mdl.after(min(ref.RetryAfter, left/3), func() { mdl.arrive(cll) })
}

func (mdl *model) poll(vmc *modelVM) {
	mdl.after(tick, func() {
		mdl.pass(vmc)
		mdl.poll(vmc)
	})
}

func (mdl *model) pass(vmc *modelVM) {
	for _, ref := range vmc.que.Expire(mdl.now) {
		mdl.refuse(vmc.waiters[ref.Item], ref)
	}
	vmc.que.Pass(mdl.now, func(itm *wait.Item) bool {
		cll := vmc.waiters[itm]
		qry := cll.query(mdl.now)
		qry.MaxLoad = vmc.que.WaitLimit(itm, qry.MaxLoad, mdl.now)
		chc, ok := vmc.bal.Choose(qry)
		if ok {
			mdl.errors = append(mdl.errors, float64(itm.Waited(mdl.now)+10*time.Millisecond)/float64(itm.Estimate()+10*time.Millisecond))
			mdl.send(vmc, cll, chc.Instance.ID)
		}
		return ok
	})
}

// send sends a request to a target, which refuses it if its queue is full.
func (mdl *model) send(vmc *modelVM, cll *call, id cardamompass.InstanceID) {
	sent := mdl.now
	vmc.bal.RecordSent(id, sent)
	cll.tried = append(cll.tried, id)
	tgt := mdl.targets[id]
	end := func(res place.Result) {
		lod := cardamompass.Load{Running: tgt.running, Waiting: len(tgt.waiting), Slots: slots, Slowness: 1}
		vmc.bal.RecordOutcome(place.Outcome{Instance: id, AffinityHash: cll.object, Result: res, Load: &lod}, mdl.now)
		at := mdl.now
		mdl.after(150*time.Millisecond, func() {
			for _, oth := range mdl.vms {
				if oth != vmc {
					oth.bal.RecordPeerLoad(id, lod, mdl.now.Sub(at), mdl.now)
				}
			}
		})
		if res == place.ResultAnswered {
			vmc.que.Ended(mdl.now)
			vmc.median += time.Duration(math.Copysign(0.03, float64(mdl.now.Sub(sent)-vmc.median)) * float64(vmc.median))
			mdl.answered(cll)
		} else if len(cll.tried) < 2 {
			mdl.dispatch(vmc, cll)
		} else {
			mdl.refuse(cll, wait.Refusal{RetryAfter: 100 * time.Millisecond, Reason: "shed"})
		}
		if mdl.waiting {
			mdl.after(0, func() { mdl.pass(vmc) })
		}
	}
	if tgt.running >= slots && len(tgt.waiting) >= 3*slots {
		end(place.ResultShed)
		return
	}
	tgt.waiting = append(tgt.waiting, func() {
		dur := cll.work * float64(time.Second)
		if pos := slices.Index(tgt.warm, cll.object); pos >= 0 {
			dur *= 0.3
			tgt.warm = slices.Delete(tgt.warm, pos, pos+1)
		}
		tgt.warm = append(tgt.warm, cll.object)
		tgt.warm = tgt.warm[max(0, len(tgt.warm)-warmKept):]
		mdl.after(time.Duration(dur), func() {
			tgt.running--
			tgt.next()
			end(place.ResultAnswered)
		})
	})
	tgt.next()
}

func (tgt *modelTarget) next() {
	if tgt.running < slots && len(tgt.waiting) > 0 {
		run := tgt.waiting[0]
		tgt.waiting = tgt.waiting[1:]
		tgt.running++
		run()
	}
}

func (mdl *model) answered(cll *call) {
	fig := mdl.figures[cll.traffic.flow()]
	if fig == nil {
		return
	}
	if ela := mdl.now.Sub(cll.began); ela <= objective {
		fig.inTime++
	} else if ela <= patience {
		fig.late++
	}
}

// playAll plays each load twice and returns what all callers and those of each team got.
func playAll(t *testing.T, label string, waiting bool, loads []traffic) (all figures, teams map[cardamompass.TeamName]figures) {
	teams = make(map[cardamompass.TeamName]figures)
	refused := make(map[wait.Reason]int)
	var ratios []float64
	for seed := range uint64(2) {
		mdl := play(seed, waiting, loads)
		for key, fig := range mdl.figures {
			teams[key.Team] = teams[key.Team].plus(*fig)
			all = all.plus(*fig)
		}
		for rsn, count := range mdl.refused {
			refused[rsn] += count
		}
		ratios = append(ratios, mdl.errors...)
	}
	for _, trf := range loads {
		t.Logf("%s, %-6s priority %d: %v", label, trf.team, trf.priority, teams[trf.team])
	}
	t.Logf("%s, all: %v; refused attempts %v", label, all, refused)
	if num := len(ratios); num > 0 {
		slices.Sort(ratios)
		t.Logf("%s: %d waits; actual / estimate: p10 %.2f, p50 %.2f, p90 %.2f", label, num, ratios[num/10], ratios[num/2], ratios[num*9/10])
	}
	return all, teams
}

// Guards against a queue with which callers get less than with refusals at once and 100 ms: fewer responses within the objective, or a
// team within its share that pays for one that is far over its share. The usual load may lose little.
func TestModel(t *testing.T) {
	load := func(team cardamompass.TeamName, priority int, usual, bursty float64) traffic {
		return traffic{team: team, priority: priority, usual: usual * room, bursty: bursty * room}
	}
	tests := []struct {
		name  string
		loads []traffic
		gain  float64 // of the part within the objective, at least
	}{
		{"usual load", []traffic{load("high", 0, 0.25, 0.25), load("steady", 1, 0.25, 0.25), load("flood", 1, 0.2, 0.2)}, -0.02},
		{"burst of one team", []traffic{load("high", 0, 0.25, 0.25), load("steady", 1, 0.25, 0.25), load("flood", 1, 0.2, 1.5)}, 0.05},
		{"burst of all teams", []traffic{load("high", 0, 0.25, 0.7), load("steady", 1, 0.25, 0.7), load("flood", 1, 0.2, 0.6)}, 0.05},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			before, teamsBefore := playAll(t, "at once", false, tst.loads)
			after, teamsAfter := playAll(t, "waiting", true, tst.loads)
			if gain := after.inTimePart() - before.inTimePart(); gain < tst.gain {
				t.Errorf("%.3f more within the objective, want %.3f", gain, tst.gain)
			}
			if tst.gain < 0 {
				return
			}
			for _, team := range []cardamompass.TeamName{"high", "steady"} {
				if teamsAfter[team].inTimePart() < teamsBefore[team].inTimePart() {
					t.Errorf("team %s loses responses within the objective", team)
				}
			}
			if one := tst.loads[2].bursty > room; one && teamsAfter["steady"].refused*2 > teamsBefore["steady"].refused {
				t.Error("the team within its share is refused for the one over its share")
			}
		})
	}
}
