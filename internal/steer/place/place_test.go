package place_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"cardamompass"
	"cardamompass/internal/fleet/view"
	"cardamompass/internal/steer/place"
)

var start = time.Unix(1000, 0)

const service = cardamompass.ServiceName("svc")

// regions maps two failure domains to each of three regions.
var regions = map[cardamompass.FailureDomain]cardamompass.Region{
	"a-1": "a", "a-2": "a", "b-1": "b", "b-2": "b", "c-1": "c", "c-2": "c",
}

// fleet builds a view with a number of VMs and a number of targets in each failure domain.
type fleet struct {
	changes []cardamompass.Change
	targets int
}

func newFleet(vms int) (flt *fleet) {
	flt = &fleet{}
	flt.add(cardamompass.Change{
		Table: &cardamompass.RoutingTable{
			Version: 1,
			Services: map[cardamompass.ServiceName]cardamompass.ServicePolicy{
				service: {
					Name:     service,
					ColdFor:  3 * time.Second,
					ColdRate: 7,
				},
			},
		},
	})
	for num := range vms {
		flt.add(cardamompass.Change{
			VM: &cardamompass.VM{
				ID: cardamompass.VMID(fmt.Sprintf("vm-%d", num)),
			},
		})
	}
	return flt
}

func (flt *fleet) add(chg cardamompass.Change) { flt.changes = append(flt.changes, chg) }

func (flt *fleet) with(dom cardamompass.FailureDomain, count int) *fleet {
	for range count {
		flt.targets++
		flt.add(cardamompass.Change{
			Instance: &cardamompass.Instance{
				ID:            cardamompass.InstanceID(fmt.Sprintf("i-%03d", flt.targets)),
				Service:       service,
				Region:        regions[dom],
				FailureDomain: dom,
				Address:       "10.0.0.1:1",
				Slots:         6,
			},
		})
	}
	return flt
}

func (flt *fleet) view() (vew *view.View) {
	return view.Empty().WithListing(flt.changes, cardamompass.Position{Revision: 1}, view.Outage{}, start)
}

func newBoard(num int) (bal *place.Balancer) {
	return place.New(place.Config{
		Self:    cardamompass.VMID(fmt.Sprintf("vm-%d", num)),
		Region:  "a",
		Regions: regions,
		Bounds: place.Bounds{
			ColdOverage:    1.5,
			ColdSlack:      5,
			MaxRegionShift: 0.15,
		},
	})
}

func query(object uint64, now time.Time) (qry place.Query) {
	return place.Query{
		Service:      service,
		AffinityHash: object,
		Route:        &cardamompass.Route{},
		MaxLoad:      2,
		Now:          now,
	}
}

// Guards against VMs that choose different targets for the same object, which is then slow on each of them.
func TestVMsAgreeOnTheTargetOfAnObject(t *testing.T) {
	vew := newFleet(7).with("a-1", 5).with("a-2", 5).with("b-1", 5).with("c-1", 5).view()
	one, two := newBoard(1), newBoard(2)
	one.Sync(vew, start)
	two.Sync(vew, start)
	for object := range uint64(200) {
		hash := place.AffinityHash(service, fmt.Sprint(object))
		first, ok1 := one.Choose(query(hash, start))
		second, ok2 := two.Choose(query(hash, start))
		if !ok1 || !ok2 || first.Instance.ID != second.Instance.ID {
			t.Fatalf("object %d: %s and %s", object, first.Instance.ID, second.Instance.ID)
		}
	}
}

// Guards against the choice of a target that must not get the request.
func TestUnusableTargets(t *testing.T) {
	tests := []struct {
		name   string
		change func(flt *fleet)
		query  func(qry *place.Query)
		count  func(rej place.Rejected) int
	}{
		{
			"leaving", func(flt *fleet) { flt.changes[len(flt.changes)-1].Instance.Leaving = true }, nil,
			func(rej place.Rejected) int { return rej.Leaving },
		},
		{
			"evacuated", func(flt *fleet) { flt.add(cardamompass.Change{Evacuated: "a-1"}) }, nil,
			func(rej place.Rejected) int { return rej.Evacuated },
		},
		{
			"tried", nil, func(qry *place.Query) { qry.Tried = []cardamompass.InstanceID{"i-001"} },
			func(rej place.Rejected) int { return rej.Tried },
		},
		{"not at home", nil, func(qry *place.Query) {
			qry.Route = &cardamompass.Route{
				HomeRegions: []cardamompass.Region{"b"},
			}
		}, func(rej place.Rejected) int { return rej.Away }},
		{"not at the team's home", nil, func(qry *place.Query) {
			qry.Team = &cardamompass.Team{
				HomeRegions: []cardamompass.Region{"b"},
			}
		}, func(rej place.Rejected) int { return rej.Away }},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			flt := newFleet(7).with("a-1", 1)
			qry := query(1, start)
			if tst.change != nil {
				tst.change(flt)
			}
			if tst.query != nil {
				tst.query(&qry)
			}
			bal := newBoard(1)
			bal.Sync(flt.view(), start)
			chc, ok := bal.Choose(qry)
			if ok || tst.count(chc.Rejected) != 1 {
				t.Fatalf("choice %+v", chc)
			}
		})
	}
}

// Guards against a rate of requests to a cold target, summed over all VMs, above its bound for any number of VMs and any timing of the
// requests.
func TestColdTargetIsSharedByAllVMs(t *testing.T) {
	const bound = 7*1.5 + 5
	params := gopter.DefaultTestParameters()
	params.MinSuccessfulTests = 60
	params.Rng.Seed(7)
	prp := gopter.NewProperties(params)
	prp.Property("at most the bound in any second", prop.ForAll(func(vms int, seed uint64) bool {
		flt := newFleet(vms).with("a-1", 1)
		flt.changes[len(flt.changes)-1].Instance.ColdFor = 3 * time.Second
		vew := flt.view()
		boards := make([]*place.Balancer, vms)
		for num := range boards {
			boards[num] = newBoard(num)
			boards[num].Sync(newFleet(vms).view(), start.Add(-time.Minute)) // the VMs started long before the target
			boards[num].Sync(vew, start)
		}
		rng := rand.New(rand.NewPCG(seed, 1))
		var sent []time.Time
		for now := start; now.Before(start.Add(2500 * time.Millisecond)); now = now.Add(time.Duration(rng.IntN(5)) * time.Millisecond) {
			bal := boards[rng.IntN(vms)]
			if chc, ok := bal.Choose(query(rng.Uint64(), now)); ok {
				bal.RecordSent(chc.Instance.ID, now)
				bal.RecordOutcome(place.Outcome{
					Instance: chc.Instance.ID,
				}, now)
				sent = append(sent, now)
			}
		}
		for num := range sent {
			within := 0
			for _, tim := range sent[num:] {
				if tim.Sub(sent[num]) <= time.Second {
					within++
				}
			}
			if float64(within) > bound {
				return false
			}
		}
		return len(sent) > 0
	}, gen.IntRange(1, 40), gen.UInt64()))
	prp.TestingRun(t)
}

// Guards against a VM that has just started and uses the whole quota of a cold target, because the entries of the other VMs expired
// during an outage of the store. In 'store-down-crash-release --seed 302751198589' on martban-net this broke FAILBACK with 11 requests
// in one second.
func TestColdTargetAndRestartedVM(t *testing.T) {
	const bound = 7*1.5 + 5
	cold := func(vms int) (vew *view.View) {
		flt := newFleet(vms).with("a-1", 1)
		flt.changes[len(flt.changes)-1].Instance.ColdFor = 3 * time.Second
		return flt.view()
	}
	sent := 0
	for num := range 7 {
		bal := newBoard(num)
		vms := 7
		if num == 0 {
			vms = 0 // this VM has not discovered the others
		}
		bal.Sync(cold(vms), start)
		for now := start; now.Before(start.Add(time.Second)); now = now.Add(20 * time.Millisecond) {
			if chc, ok := bal.Choose(query(1, now)); ok {
				bal.RecordSent(chc.Instance.ID, now)
				sent++
			}
		}
	}
	if sent == 0 || float64(sent) > bound {
		t.Fatalf("%d requests in a second, allowed %v", sent, bound)
	}
	alone := newBoard(0)
	alone.Sync(cold(0), start)
	if _, ok := alone.Choose(query(1, start.Add(2900*time.Millisecond))); ok {
		t.Fatal("a VM that has not discovered the others sends to a cold target")
	}
}

// Guards against a VM that has just started and uses the whole retry budget of all VMs, because it has not discovered the others.
func TestVMsAfterAStart(t *testing.T) {
	bal := newBoard(1)
	bal.Sync(newFleet(1).view(), start)
	if got := bal.VMs(start.Add(time.Second)); got != len(regions) {
		t.Errorf("%d VMs a second after the start, want one for each failure domain", got)
	}
	if got := bal.VMs(start.Add(time.Minute)); got != 1 {
		t.Errorf("%d VMs a minute after the start, want 1", got)
	}
}

// Guards against VMs that are no longer counted once their entries have expired, although they announce that they run.
func TestRunningVMsCount(t *testing.T) {
	bal := newBoard(1)
	bal.Sync(newFleet(1).view(), start)
	bal.SetRunningVMs(7, start)
	bal.Sync(newFleet(1).view(), start.Add(time.Minute))
	if got := bal.VMs(start.Add(time.Minute)); got != 7 {
		t.Fatalf("%d VMs, want 7", got)
	}
}

// Guards against a shift of more objects between regions than the cap allows when targets are added or removed.
func TestRegionsShiftSlowly(t *testing.T) {
	flt := newFleet(7).with("a-1", 1).with("a-2", 1).with("b-1", 5).with("b-2", 5).with("c-1", 5).with("c-2", 5)
	bal := newBoard(1)
	bal.Sync(flt.view(), start)
	served := func(now time.Time) (part map[cardamompass.Region]float64) {
		part = make(map[cardamompass.Region]float64)
		for object := range uint64(2000) {
			chc, ok := bal.Choose(query(place.AffinityHash(service, fmt.Sprint(object)), now))
			if !ok {
				t.Fatal("no target")
			}
			part[chc.Instance.Region] += 1.0 / 2000
		}
		return part
	}
	before := served(start)
	if before["a"] > 0.5 {
		t.Fatalf("the small region keeps %v", before)
	}
	bal.Sync(flt.with("a-1", 20).view(), start)
	for now := start; now.Before(start.Add(30 * time.Second)); now = now.Add(2 * time.Second) {
		after := served(now.Add(2 * time.Second))
		moved := 0.0
		for reg := range after {
			moved += math.Abs(after[reg]-before[reg]) / 2
		}
		if moved > 0.15 {
			t.Fatalf("%.2f of the objects moved within 2 s", moved)
		}
		before = after
	}
	if before["a"] < 0.95 {
		t.Fatalf("the region keeps %v although it has slots for all", before)
	}
}

// Guards against spreading objects over targets that have not handled them. That makes requests slower while there are few free slots.
func TestBusyTargetsRefuse(t *testing.T) {
	bal := newBoard(1)
	bal.Sync(newFleet(1).with("a-1", 4).view(), start)
	used := make(map[cardamompass.InstanceID]int)
	refused := 0
	for range 60 {
		chc, ok := bal.Choose(query(5, start))
		if !ok {
			refused++
			continue
		}
		bal.RecordSent(chc.Instance.ID, start)
		used[chc.Instance.ID]++
	}
	for id, count := range used {
		if count > 12 {
			t.Errorf("%s got %d requests for 6 slots", id, count)
		}
	}
	if refused == 0 {
		t.Fatal("nothing was refused")
	}
}

// Guards against overloads that last because objects spread over all targets and evict each other, and against idle targets that are
// not used. On mbmu-rain-grown, scale-2, the median latency of downloads was 0.81 s with the spread and 0.39 s without it.
func TestBusyServiceUsesPreferredTargets(t *testing.T) {
	tests := []struct {
		name string
		// load is the load of all targets except the preferred ones, which are full, and an idle one.
		load int
		ok   bool
	}{
		{"idle", 0, true},
		{"some load", 3, true},
		{"busy", 6, false},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			bal := newBoard(1)
			bal.Sync(newFleet(1).with("a-1", 8).view(), start)
			var full []cardamompass.InstanceID
			for range 2 {
				chc, _ := bal.Choose(query(5, start))
				full = append(full, chc.Instance.ID)
				reportLoad(bal, chc.Instance.ID, 12)
			}
			idle := cardamompass.InstanceID("")
			for num := range 8 {
				id := cardamompass.InstanceID(fmt.Sprintf("i-%03d", num+1))
				switch {
				case slices.Contains(full, id):
				case idle == "":
					idle = id
				default:
					reportLoad(bal, id, tst.load)
				}
			}
			chc, ok := bal.Choose(query(5, start))
			if ok != tst.ok || (tst.load > 0 && ok && chc.Instance.ID != idle) {
				t.Fatalf("choice %+v, %v; idle is %s", chc, ok, idle)
			}
		})
	}
}

// reportLoad records a report of an instance with a number of running requests.
func reportLoad(bal *place.Balancer, id cardamompass.InstanceID, running int) {
	bal.RecordPeerLoad(id, cardamompass.Load{
		Running:  running,
		Slots:    6,
		Slowness: 1,
	}, 0, start)
}

// Guards against the choice of a slow, full or failing target while another one would be faster.
func TestFasterTargetWins(t *testing.T) {
	tests := []struct {
		name string
		out  place.Outcome
	}{
		{"slow", place.Outcome{Load: &cardamompass.Load{Slots: 6, Slowness: 8}}},
		{"full", place.Outcome{Load: &cardamompass.Load{Running: 6, Waiting: 15, Slots: 6, Slowness: 1}}},
		{"failing", place.Outcome{Result: place.ResultFailed}},
		{"unreachable", place.Outcome{Result: place.ResultUnreachable}},
		{"gone", place.Outcome{Result: place.ResultGone}},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			bal := newBoard(1)
			bal.Sync(newFleet(1).with("a-1", 6).view(), start)
			first, _ := bal.Choose(query(9, start))
			tst.out.Instance = first.Instance.ID
			for range 4 {
				bal.RecordSent(first.Instance.ID, start)
				bal.RecordOutcome(tst.out, start)
			}
			second, ok := bal.Choose(query(9, start))
			if !ok || second.Instance.ID == first.Instance.ID {
				t.Fatalf("choice %+v", second)
			}
		})
	}
}

// Guards against refusals when every target of a service has just become unreachable.
func TestAvoidedTargetsAreTheLastResort(t *testing.T) {
	bal := newBoard(1)
	bal.Sync(newFleet(1).with("a-1", 1).view(), start)
	chc, _ := bal.Choose(query(9, start))
	bal.RecordSent(chc.Instance.ID, start)
	bal.RecordOutcome(place.Outcome{
		Instance: chc.Instance.ID,
		Result:   place.ResultUnreachable,
	}, start)
	if _, ok := bal.Choose(query(9, start)); !ok {
		t.Fatal("the only target is not used")
	}
}

// Guards against VMs that stop one after the other and are removed from the count all at once, the last of them while it still sends.
// In 'removed-machines-cold-targets --vary --seed 330172870172' on mbmu-rain a cold target got 18 requests in one second, where 15.5
// are allowed.
func TestVMsThatStopOneAfterTheOther(t *testing.T) {
	const pause = 1500 * time.Millisecond
	bal := place.New(place.Config{
		Self:    "vm-0",
		Regions: regions,
	})
	bal.Sync(view.Empty(), start.Add(-time.Minute)) // not a VM that has just started
	bal.SetRunningVMs(7, start)
	for left := 6; left >= 3; left-- {
		bal.SetRunningVMs(left, start.Add(time.Duration(6-left)*pause))
	}
	tests := []struct {
		after time.Duration
		want  int
	}{
		{4900 * time.Millisecond, 7},
		{5100 * time.Millisecond, 6},
		{6600 * time.Millisecond, 5},
		{8100 * time.Millisecond, 4},
		{9600 * time.Millisecond, 3},
	}
	for _, tst := range tests {
		if got := bal.VMs(start.Add(tst.after)); got != tst.want {
			t.Errorf("%d VMs %v after the first stop, want %d", got, tst.after, tst.want)
		}
	}
	bal.SetRunningVMs(5, start.Add(10*time.Second))
	if got := bal.VMs(start.Add(10 * time.Second)); got != 5 {
		t.Errorf("%d VMs once two have started, want 5", got)
	}
}

// Guards against parts of common budgets that grow at once when VMs vanish from the store although they still run.
func TestVMCountFallsSlowly(t *testing.T) {
	bal := newBoard(1)
	bal.Sync(newFleet(7).view(), start)
	bal.Sync(newFleet(2).view(), start.Add(time.Second))
	if got := bal.VMs(start.Add(2 * time.Second)); got != 7 {
		t.Fatalf("%d VMs one second after five vanished", got)
	}
	if got := bal.VMs(start.Add(time.Minute)); got != 2 {
		t.Fatalf("%d VMs a minute later", got)
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, count := range []int{22, 244, 666} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			bal := newBoard(1)
			bal.Sync(newFleet(35).with("a-1", count/2).with("b-1", count-count/2).view(), start)
			for num := range b.N {
				bal.Choose(query(uint64(num), start))
			}
		})
	}
}
