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

// regions are two failure domains in each of three regions.
var regions = map[cardamompass.FailureDomain]cardamompass.Region{
	"a-1": "a", "a-2": "a", "b-1": "b", "b-2": "b", "c-1": "c", "c-2": "c",
}

// fleet is a view with a number of targets in each failure domain and a number of VMs.
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
	return view.Empty().WithListing(flt.changes, 1, view.Outage{}, start)
}

func newBoard(num int) (brd *place.Balancer) {
	return place.New(place.Config{
		Self:           cardamompass.VMID(fmt.Sprintf("vm-%d", num)),
		Region:         "a",
		Regions:        regions,
		ColdOverage:    1.5,
		ColdSlack:      5,
		MaxRegionShift: 0.15,
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

// Guards against VMs that place the same object on different targets, where it is slow on each.
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

// Guards against requests to targets that must not get any.
func TestUnusableTargets(t *testing.T) {
	tests := []struct {
		name   string
		change func(flt *fleet)
		query  func(qry *place.Query)
		count  func(rej place.Rejected) int
	}{
		{"leaving", func(flt *fleet) { flt.changes[len(flt.changes)-1].Instance.Leaving = true }, nil, func(rej place.Rejected) int { return rej.Leaving }},
		{"evacuated", func(flt *fleet) { flt.add(cardamompass.Change{Evacuated: "a-1"}) }, nil, func(rej place.Rejected) int { return rej.Evacuated }},
		{"tried", nil, func(qry *place.Query) { qry.Tried = []cardamompass.InstanceID{"i-001"} }, func(rej place.Rejected) int { return rej.Tried }},
		{"not at home", nil, func(qry *place.Query) {
			qry.Route = &cardamompass.Route{
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
			brd := newBoard(1)
			brd.Sync(flt.view(), start)
			chc, ok := brd.Choose(qry)
			if ok || tst.count(chc.Rejected) != 1 {
				t.Fatalf("choice %+v", chc)
			}
		})
	}
}

// Guards against more requests to a cold target than it bears, summed over all VMs, whatever their number and the time of the requests.
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
			boards[num].Sync(newFleet(vms).view(), start.Add(-time.Minute)) // the VMs run for a while when the target starts
			boards[num].Sync(vew, start)
		}
		rng := rand.New(rand.NewPCG(seed, 1))
		var sent []time.Time
		for now := start; now.Before(start.Add(2500 * time.Millisecond)); now = now.Add(time.Duration(rng.IntN(5)) * time.Millisecond) {
			brd := boards[rng.IntN(vms)]
			if chc, ok := brd.Choose(query(rng.Uint64(), now)); ok {
				brd.RecordSent(chc.Instance.ID, now)
				brd.RecordOutcome(place.Outcome{
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

// Guards against a VM that has just started and takes the whole allowance of a cold target, because the entries of the other VMs have
// lapsed with the store: 'store-down-crash-release --seed 302751198589' on martban-net broke FAILBACK with 11 requests in one second.
func TestColdTargetAndRestartedVM(t *testing.T) {
	const bound = 7*1.5 + 5
	cold := func(vms int) (vew *view.View) {
		flt := newFleet(vms).with("a-1", 1)
		flt.changes[len(flt.changes)-1].Instance.ColdFor = 3 * time.Second
		return flt.view()
	}
	sent := 0
	for num := range 7 {
		brd := newBoard(num)
		vms := 7
		if num == 0 {
			vms = 0 // it sees no other VM yet
		}
		brd.Sync(cold(vms), start)
		for now := start; now.Before(start.Add(time.Second)); now = now.Add(20 * time.Millisecond) {
			if chc, ok := brd.Choose(query(1, now)); ok {
				brd.RecordSent(chc.Instance.ID, now)
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
		t.Fatal("a VM that does not know the others yet sends to a cold target")
	}
}

// Guards against a VM that has just started and takes the whole common budget of repeats, because it sees no other VM yet.
func TestVMsAfterAStart(t *testing.T) {
	brd := newBoard(1)
	brd.Sync(newFleet(1).view(), start)
	if got := brd.VMs(start.Add(time.Second)); got != len(regions) {
		t.Errorf("%d VMs a second after the start, want one for each failure domain", got)
	}
	if got := brd.VMs(start.Add(time.Minute)); got != 1 {
		t.Errorf("%d VMs a minute after the start, want 1", got)
	}
}

// Guards against VMs that are forgotten with their entries although they are heard.
func TestHeardVMsCount(t *testing.T) {
	brd := newBoard(1)
	brd.Sync(newFleet(1).view(), start)
	brd.SetRunningVMs(7, start)
	brd.Sync(newFleet(1).view(), start.Add(time.Minute))
	if got := brd.VMs(start.Add(time.Minute)); got != 7 {
		t.Fatalf("%d VMs, want 7", got)
	}
}

// Guards against a shift of more objects between regions than the cap allows when targets come or go elsewhere.
func TestRegionsShiftSlowly(t *testing.T) {
	flt := newFleet(7).with("a-1", 1).with("a-2", 1).with("b-1", 5).with("b-2", 5).with("c-1", 5).with("c-2", 5)
	brd := newBoard(1)
	brd.Sync(flt.view(), start)
	served := func(now time.Time) (part map[cardamompass.Region]float64) {
		part = make(map[cardamompass.Region]float64)
		for object := range uint64(2000) {
			chc, ok := brd.Choose(query(place.AffinityHash(service, fmt.Sprint(object)), now))
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
	brd.Sync(flt.with("a-1", 20).view(), start)
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
		t.Fatalf("the region keeps %v although it has room for all", before)
	}
}

// Guards against spreading objects over targets that have not handled them, which makes work slower when there is least room.
func TestBusyTargetsRefuse(t *testing.T) {
	brd := newBoard(1)
	brd.Sync(newFleet(1).with("a-1", 4).view(), start)
	used := make(map[cardamompass.InstanceID]int)
	refused := 0
	for range 60 {
		chc, ok := brd.Choose(query(5, start))
		if !ok {
			refused++
			continue
		}
		brd.RecordSent(chc.Instance.ID, start)
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

// Guards against overloads that last because objects spread over all targets and push each other out, and against idle targets that
// are not used. On mbmu-rain-grown, scale-2, the median of downloads was 0.81 s, and 0.39 s without the spread.
func TestBusyServiceKeepsObjectsClose(t *testing.T) {
	tests := []struct {
		name string
		// load is the load of all targets but the close ones, which are full, and an idle one.
		load int
		ok   bool
	}{
		{"idle", 0, true},
		{"some load", 3, true},
		{"busy", 6, false},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			brd := newBoard(1)
			brd.Sync(newFleet(1).with("a-1", 8).view(), start)
			var full []cardamompass.InstanceID
			for range 2 {
				chc, _ := brd.Choose(query(5, start))
				full = append(full, chc.Instance.ID)
				state(brd, chc.Instance.ID, 12)
			}
			idle := cardamompass.InstanceID("")
			for num := range 8 {
				id := cardamompass.InstanceID(fmt.Sprintf("i-%03d", num+1))
				switch {
				case slices.Contains(full, id):
				case idle == "":
					idle = id
				default:
					state(brd, id, tst.load)
				}
			}
			chc, ok := brd.Choose(query(5, start))
			if ok != tst.ok || (tst.load > 0 && ok && chc.Instance.ID != idle) {
				t.Fatalf("choice %+v, %v; idle is %s", chc, ok, idle)
			}
		})
	}
}

// state makes an instance state a number of running requests.
func state(brd *place.Balancer, id cardamompass.InstanceID, running int) {
	brd.RecordPeerLoad(id, cardamompass.Load{
		Running:  running,
		Slots:    6,
		Slowness: 1,
	}, 0, start)
}

// Guards against a slow target, a failing one or a full one that still gets what another could do sooner.
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
			brd := newBoard(1)
			brd.Sync(newFleet(1).with("a-1", 6).view(), start)
			first, _ := brd.Choose(query(9, start))
			tst.out.Instance = first.Instance.ID
			for range 4 {
				brd.RecordSent(first.Instance.ID, start)
				brd.RecordOutcome(tst.out, start)
			}
			second, ok := brd.Choose(query(9, start))
			if !ok || second.Instance.ID == first.Instance.ID {
				t.Fatalf("choice %+v", second)
			}
		})
	}
}

// Guards against no answer at all when every target of a service has just failed.
func TestAvoidedTargetsAreTheLastResort(t *testing.T) {
	brd := newBoard(1)
	brd.Sync(newFleet(1).with("a-1", 1).view(), start)
	chc, _ := brd.Choose(query(9, start))
	brd.RecordSent(chc.Instance.ID, start)
	brd.RecordOutcome(place.Outcome{
		Instance: chc.Instance.ID,
		Result:   place.ResultUnreachable,
	}, start)
	if _, ok := brd.Choose(query(9, start)); !ok {
		t.Fatal("the only target is not used")
	}
}

// Guards against VMs that stop one after the other and are forgotten all at once, the last of them while it still sends: a cold target
// got 18 requests in one second where 15.5 are allowed ('removed-machines-cold-targets --vary --seed 330172870172' on mbmu-rain).
func TestVMsThatStopOneAfterTheOther(t *testing.T) {
	const pause = 1500 * time.Millisecond
	brd := place.New(place.Config{
		Self:    "vm-0",
		Regions: regions,
	})
	brd.Sync(view.Empty(), start.Add(-time.Minute)) // not a VM that has just started
	brd.SetRunningVMs(7, start)
	for left := 6; left >= 3; left-- {
		brd.SetRunningVMs(left, start.Add(time.Duration(6-left)*pause))
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
		if got := brd.VMs(start.Add(tst.after)); got != tst.want {
			t.Errorf("%d VMs %v after the first stop, want %d", got, tst.after, tst.want)
		}
	}
	brd.SetRunningVMs(5, start.Add(10*time.Second))
	if got := brd.VMs(start.Add(10 * time.Second)); got != 5 {
		t.Errorf("%d VMs once two have started, want 5", got)
	}
}

// Guards against shares of budgets that grow at once when VMs vanish from the store though they still run.
func TestVMsAreForgottenSlowly(t *testing.T) {
	brd := newBoard(1)
	brd.Sync(newFleet(7).view(), start)
	brd.Sync(newFleet(2).view(), start.Add(time.Second))
	if got := brd.VMs(start.Add(2 * time.Second)); got != 7 {
		t.Fatalf("%d VMs one second after five vanished", got)
	}
	if got := brd.VMs(start.Add(time.Minute)); got != 2 {
		t.Fatalf("%d VMs a minute later", got)
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, count := range []int{22, 244, 666} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			brd := newBoard(1)
			brd.Sync(newFleet(35).with("a-1", count/2).with("b-1", count-count/2).view(), start)
			for num := range b.N {
				brd.Choose(query(uint64(num), start))
			}
		})
	}
}
