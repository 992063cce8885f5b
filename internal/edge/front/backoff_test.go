package front_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"testing"
	"time"

	"cardamompass"
	"cardamompass/internal/edge/front"
	"cardamompass/internal/fleet/view"
	"cardamompass/internal/stand/ptarg"
	"cardamompass/internal/steer/place"
)

// Guards against requests to a target that has stated in any response that it is leaving.
func TestLeavingTargetGetsNoMoreRequests(t *testing.T) {
	for _, flt := range []ptarg.Fault{ptarg.FaultNone, ptarg.FaultError, ptarg.FaultShed} {
		t.Run(string(flt)+" ", func(t *testing.T) {
			fxt := newFixture(t, 3)
			fxt.send("/read/a", "r-first")
			tgt := fxt.targets[0]
			for _, cnd := range fxt.targets {
				if len(cnd.Runs()) > 0 {
					tgt = cnd
				}
			}
			tgt.SetLeaving(true)
			tgt.SetFault(flt)
			before := len(tgt.Runs()) + tgt.Refusals()
			for num := range 20 {
				if status, _, _ := fxt.send("/read/a", fmt.Sprintf("r-%d", num)); status != http.StatusOK {
					t.Errorf("request %d: status %d", num, status)
				}
			}
			if got := len(tgt.Runs()) + tgt.Refusals() - before; got != 1 {
				t.Fatalf("%d requests reached the leaving target, want the one that it answered", got)
			}
		})
	}
}

// Guards against requests to targets that asked for none, and against callers that wait, or return too early, when all targets did.
func TestBackoffOfTargets(t *testing.T) {
	fxt := newFixture(t, 2)
	for _, tgt := range fxt.targets {
		tgt.SetRetryAfter("1.5")
	}
	fxt.set(ptarg.FaultShed)
	fxt.send("/read/a", "r-first") // is refused by both
	refused := fxt.targets[0].Refusals() + fxt.targets[1].Refusals()
	fxt.set(ptarg.FaultNone)
	for num := range 30 {
		status, hdr, _ := fxt.send("/read/a", fmt.Sprintf("r-%d", num))
		after, err := strconv.ParseFloat(hdr.Get("Retry-After"), 64)
		if status != http.StatusServiceUnavailable || err != nil || after < 0.5 || after > 3 {
			t.Fatalf("request %d: status %d, Retry-After %q", num, status, hdr.Get("Retry-After"))
		}
	}
	if fxt.runs() != 0 || fxt.targets[0].Refusals()+fxt.targets[1].Refusals() != refused {
		t.Fatal("a request reached a target that asked for none")
	}
	time.Sleep(1600 * time.Millisecond)
	if status, _, _ := fxt.send("/read/a", "r-later"); status != http.StatusOK {
		t.Fatalf("status %d after the back-off", status)
	}
}

// Measures what callers get when all targets of a service back off for a while under load: with the rule, more requests are answered
// in time than if callers are told to return after a fixed short time, since a caller that returns during the back-off is refused
// again and has no further retry.
func TestRetryAfterServesMore(t *testing.T) {
	fixed := playBackoff(func(time.Duration, float64) time.Duration { return 100 * time.Millisecond })
	ruled := playBackoff(front.RetryAfter)
	t.Logf("fixed 100 ms: %+v", fixed)
	t.Logf("by the wait:  %+v", ruled)
	if ruled.served <= fixed.served || ruled.p99 > fixed.p99 || ruled.refusedAgain >= fixed.refusedAgain {
		t.Fatal("callers get less than with a fixed time")
	}
}

// backoffResult is what the callers of playBackoff got.
type backoffResult struct {
	served       float64 // fraction of the requests that were answered in time
	p99          time.Duration
	refusedAgain int
}

// call is a request of a caller in playBackoff.
type call struct {
	at       time.Time // of this attempt
	began    time.Time // of the first attempt
	retried  bool
	finished cardamompass.InstanceID // set when the event is the end of the work at this instance
}

type callQueue []call

func (que callQueue) Len() (count int)   { return len(que) }
func (que callQueue) Less(i, j int) bool { return que[i].at.Before(que[j].at) }
func (que callQueue) Swap(i, j int)      { que[i], que[j] = que[j], que[i] }
func (que *callQueue) Push(item any)     { *que = append(*que, item.(call)) }
func (que *callQueue) Pop() (item any) {
	old := *que
	item = old[len(old)-1]
	*que = old[:len(old)-1]
	return item
}
func (que *callQueue) add(cll call)         { heap.Push(que, cll) }
func (que *callQueue) next() (cll call)     { return heap.Pop(que).(call) }
func newQueue(calls []call) (que callQueue) { que = calls; heap.Init(&que); return que }

// playBackoff plays 12 targets of 6 slots with work of 0.4 s, at 60% of their capacity. For 1.5 s all of them refuse requests and ask
// for a back-off of 0.8 s. Callers wait 3 s in all, retry once, and honour a time up to a third of what is left.
func playBackoff(rule func(wait time.Duration, random float64) time.Duration) (res backoffResult) {
	const (
		targets, slots = 12, 6
		work           = 400 * time.Millisecond
		patience       = 3 * time.Second
		backoff        = 800 * time.Millisecond
		perSecond      = 108
		seconds        = 15
	)
	begin := time.Unix(1000, 0)
	rnd := rand.New(rand.NewPCG(1, 2))
	bal := place.New(place.Config{Self: "vm-1", Region: "r"})
	var chs []cardamompass.Change
	for num := range targets {
		chs = append(chs, cardamompass.Change{Instance: &cardamompass.Instance{
			ID: cardamompass.InstanceID(fmt.Sprint(num)), Service: service, Region: "r", Address: fmt.Sprint(num), Slots: slots,
		}})
	}
	bal.Sync(view.Empty().WithListing(chs, cardamompass.Position{Revision: 1}, view.Outage{}, begin), begin)
	var calls []call
	for num := range perSecond * seconds {
		at := begin.Add(time.Duration(float64(num) / perSecond * float64(time.Second)))
		calls = append(calls, call{at: at, began: at})
	}
	que := newQueue(calls)
	freeAt := make(map[cardamompass.InstanceID][]time.Time) // of each slot
	var took []time.Duration
	total := len(calls)
	rte := &cardamompass.Route{}
	for que.Len() > 0 {
		cll := que.next()
		if cll.finished != "" {
			bal.RecordOutcome(place.Outcome{Instance: cll.finished}, cll.at)
			took = append(took, cll.at.Sub(cll.began))
			continue
		}
		troubled := cll.at.After(begin.Add(5*time.Second)) && cll.at.Before(begin.Add(6500*time.Millisecond))
		qry := place.Query{Service: service, AffinityHash: rnd.Uint64(), Route: rte, MaxLoad: 2, Now: cll.at}
		chc, ok := bal.Choose(qry)
		for ok && troubled {
			bal.RecordSent(chc.Instance.ID, cll.at)
			bal.RecordOutcome(place.Outcome{Instance: chc.Instance.ID, Result: place.ResultShed, Backoff: backoff}, cll.at)
			chc, ok = bal.Choose(qry)
		}
		switch {
		case ok:
			bal.RecordSent(chc.Instance.ID, cll.at)
			free := freeAt[chc.Instance.ID]
			if free == nil {
				free = make([]time.Time, slots)
			}
			slices.SortFunc(free, time.Time.Compare)
			end := cll.at.Add(work)
			if free[0].After(cll.at) {
				end = free[0].Add(work)
			}
			free[0] = end
			freeAt[chc.Instance.ID] = free
			que.add(call{at: end, began: cll.began, finished: chc.Instance.ID})
		case cll.retried:
			res.refusedAgain++
		default:
			left := patience - cll.at.Sub(cll.began)
			que.add(call{at: cll.at.Add(min(rule(chc.Wait, rnd.Float64()), left/3)), began: cll.began, retried: true})
		}
	}
	answered := 0
	for _, dur := range took {
		if dur <= patience {
			answered++
		}
	}
	for len(took) < total {
		took = append(took, patience) // refused for good
	}
	slices.Sort(took)
	res.served, res.p99 = float64(answered)/float64(total), took[len(took)*99/100]
	return res
}
