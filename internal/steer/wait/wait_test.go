package wait_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"cardamompass"
	"cardamompass/internal/steer/wait"
)

var begin = time.Unix(1000, 0)

// newBusy returns a queue that has seen 100 requests end in each of the last two seconds.
func newBusy(cfg wait.Config) (que *wait.Queue) {
	que = wait.New(cfg)
	for num := range 200 {
		que.Ended(begin.Add(time.Duration(num-199) * 10 * time.Millisecond))
	}
	return que
}

var roomy = wait.Config{MaxRequests: 200, MaxBytes: 64 << 20}

func request(flw wait.Flow) wait.Request {
	return wait.Request{
		Flow: flw, Work: 200 * time.Millisecond, Objective: begin.Add(5 * time.Second), Deadline: begin.Add(10 * time.Second),
		CallerDeadline: begin.Add(10 * time.Second),
	}
}

func add(t *testing.T, que *wait.Queue, req wait.Request) (itm *wait.Item) {
	t.Helper()
	itm, ref, _ := que.Add(req, begin)
	if itm == nil {
		t.Fatalf("refused: %+v", ref)
	}
	return itm
}

// serve places up to count requests, all of which find room, and returns them in their order.
func serve(que *wait.Queue, count int) (placed []*wait.Item) {
	for len(placed) < count {
		before := len(placed)
		que.Pass(begin, func(itm *wait.Item) bool {
			if len(placed) == count {
				return false
			}
			placed = append(placed, itm)
			return true
		})
		if len(placed) == before {
			break
		}
	}
	return placed
}

// Guards against an order other than priority, usage of the team, callers that were told to return, requests that can be in time.
func TestOrder(t *testing.T) {
	que := newBusy(roomy)
	low, used, idle := wait.Flow{Team: "low", Priority: 1}, wait.Flow{Team: "used"}, wait.Flow{Team: "idle"}
	for range 3 {
		que.Started(request(used), begin)
	}
	late, returned := request(idle), request(idle)
	late.Objective, returned.Returned = begin.Add(199*time.Millisecond), true
	want := make([]*wait.Item, 5)
	want[4], want[3] = add(t, que, request(low)), add(t, que, request(used))
	want[1] = add(t, que, request(idle))
	itm, ref, _ := que.Add(late, begin)
	if itm != nil || ref.Reason != wait.ReasonLate {
		t.Fatalf("a request that will be late waits before others that can be in time, %+v", ref)
	}
	want[0] = add(t, que, returned)
	want[2] = add(t, que, request(idle))
	if got := serve(que, 9); !slices.Equal(got, want) {
		t.Fatalf("order %v, want %v", numbers(got, want), []int{0, 1, 2, 3, 4})
	}
}

func numbers(got, want []*wait.Item) (nums []int) {
	for _, itm := range got {
		nums = append(nums, slices.Index(want, itm))
	}
	return nums
}

// Guards against a team that starves another of the same priority by the number of its requests.
func TestFairness(t *testing.T) {
	que := newBusy(roomy)
	flood, steady := wait.Flow{Team: "flood"}, wait.Flow{Team: "steady"}
	for range 150 {
		add(t, que, request(flood))
	}
	heavy := request(wait.Flow{Team: "heavy"})
	heavy.Weight = 2
	for range 10 {
		add(t, que, request(steady))
		add(t, que, heavy)
	}
	que.Started(heavy, begin)
	count := make(map[wait.Flow]int)
	for _, itm := range serve(que, 21) {
		count[itm.Request().Flow]++
	}
	// One of oldestTurn placements is for the oldest request, which is one of flood.
	if count[steady] < 5 || count[heavy.Flow] < 8 {
		t.Fatalf("of 21 placements %v", count)
	}
}

// Guards against a request that is overtaken again and again by requests of a higher priority: at most 8 times for each older request
// and itself.
func TestOldestIsServed(t *testing.T) {
	for _, older := range []int{0, 3, 9} {
		t.Run(fmt.Sprint(older), func(t *testing.T) {
			que := newBusy(roomy)
			low, high := request(wait.Flow{Priority: 1}), request(wait.Flow{})
			for range older {
				add(t, que, low)
			}
			itm := add(t, que, low)
			for num := range 8*(older+1) + 1 {
				for que.Stats().Waiting < 20 {
					add(t, que, high)
				}
				if serve(que, 1)[0] == itm {
					t.Logf("overtaken %d times", num)
					return
				}
			}
			t.Fatalf("overtaken more than %d times", 8*(older+1))
		})
	}
}

// Guards against requests that are never tried because those before them can't use the room.
func TestAllAreTried(t *testing.T) {
	que := newBusy(roomy)
	for range 100 {
		add(t, que, request(wait.Flow{}))
	}
	tried := make(map[*wait.Item]bool)
	for pass := range 6 {
		tries := 0
		que.Pass(begin, func(itm *wait.Item) bool {
			tries++
			tried[itm] = true
			return false
		})
		if tries > 24 {
			t.Fatalf("%d tries in pass %d", tries, pass)
		}
	}
	if len(tried) != 100 {
		t.Fatalf("%d of 100 requests tried", len(tried))
	}
}

// Guards against more waiting requests or bytes than the bounds allow, and against a bound that favours those that come last.
func TestBounds(t *testing.T) {
	for name, cfg := range map[string]wait.Config{
		"requests": {MaxRequests: 4, MaxBytes: 64 << 20},
		"bytes":    {MaxRequests: 100, MaxBytes: 4 * (100 + 8) << 10},
	} {
		t.Run(name, func(t *testing.T) {
			que := newBusy(cfg)
			low, high := request(wait.Flow{Priority: 1}), request(wait.Flow{})
			low.Bytes, high.Bytes = 100<<10, 100<<10
			var last *wait.Item
			for range 4 {
				last = add(t, que, low)
			}
			if itm, ref, _ := que.Add(low, begin); itm != nil || ref.Reason != wait.ReasonFull || ref.RetryAfter < 100*time.Millisecond {
				t.Fatalf("beyond the bound: %+v", ref)
			}
			itm, _, displaced := que.Add(high, begin)
			if itm == nil || displaced == nil || displaced.Item != last || displaced.Reason != wait.ReasonDisplaced {
				t.Fatalf("request of a higher priority: displaced %+v", displaced)
			}
			if sts := que.Stats(); sts.Waiting != 4 || sts.Bytes > cfg.MaxBytes {
				t.Fatalf("%+v", sts)
			}
			refs := que.Stop(begin)
			if itm, ref, _ := que.Add(high, begin); len(refs) != 4 || itm != nil || ref.Reason != wait.ReasonStopped {
				t.Fatalf("%d refusals at the stop, then %+v", len(refs), ref)
			}
			if sts := que.Stats(); sts.Waiting != 0 || sts.Bytes != 0 {
				t.Fatalf("after the stop %+v", sts)
			}
		})
	}
}

// Guards against a request that waits although it can't be served in time, or until its deadline.
func TestEndOfWait(t *testing.T) {
	que := newBusy(roomy)
	for range 100 {
		add(t, que, request(wait.Flow{})) // 1 s at 100 per second
	}
	soon := request(wait.Flow{})
	soon.Objective = begin.Add(time.Second)
	if itm, ref, _ := que.Add(soon, begin); itm != nil || ref.Reason != wait.ReasonLate {
		t.Fatalf("waits for room in 1 s with an objective of 1 s: %+v", ref)
	}
	short := request(wait.Flow{Priority: -1})
	short.Deadline = begin.Add(time.Second)
	itm := add(t, que, short)
	if refs := que.Expire(begin.Add(450 * time.Millisecond)); slices.ContainsFunc(refs, func(ref wait.Refusal) bool { return ref.Item == itm }) {
		t.Fatal("refused before half of its time has passed")
	}
	if refs := que.Expire(begin.Add(501 * time.Millisecond)); !slices.ContainsFunc(refs, func(ref wait.Refusal) bool {
		return ref.Item == itm && ref.Reason == wait.ReasonGaveUp
	}) {
		t.Fatalf("waits longer than half of its time: %v", refs)
	}
}

// Guards against callers that are told to return all at once, and against a promise that is taken up early, twice, by another team, or
// after it has lapsed.
func TestPromises(t *testing.T) {
	que := newBusy(roomy)
	flw := wait.Flow{Team: "one"}
	hopeless := request(flw)
	hopeless.Objective, hopeless.Deadline = begin, begin
	var returns []time.Duration
	for range 40 {
		_, ref, _ := que.Add(hopeless, begin)
		returns = append(returns, ref.RetryAfter)
	}
	if first, last := returns[0], returns[39]; first != 100*time.Millisecond || last < 350*time.Millisecond || last > 450*time.Millisecond {
		t.Fatalf("40 callers return after %v to %v, want 0.1 to 0.4 s at 100 per second", first, last)
	}
	at := begin.Add(100 * time.Millisecond)
	if que.Arrive(flw, begin) || que.Arrive(wait.Flow{Team: "two"}, at) {
		t.Fatal("a promise is taken up early or by another team")
	}
	taken := 0
	for range 40 {
		if que.Arrive(flw, at) {
			taken++
		}
	}
	if taken == 0 || taken > 15 {
		t.Fatalf("%d promises taken up after 0.1 s, want about 10", taken)
	}
	if que.Arrive(flw, begin.Add(2*time.Second)) || que.Stats().Lapsed != 40-taken {
		t.Fatalf("%+v after all have lapsed, %d taken up", que.Stats(), taken)
	}
}

// Measures a pass over 100 waiting requests of 20 teams that find no room, without the cost of choosing targets.
func BenchmarkPass(b *testing.B) {
	que := newBusy(roomy)
	for num := range 100 {
		que.Add(request(wait.Flow{Team: cardamompass.TeamName(fmt.Sprint(num % 20)), Priority: num % 3}), begin)
	}
	for b.Loop() {
		que.Expire(begin)
		que.Pass(begin, func(*wait.Item) bool { return false })
	}
}
