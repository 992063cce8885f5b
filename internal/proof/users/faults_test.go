package users_test

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"cardamompass/internal/stand/fault"
	"cardamompass/internal/stand/pfleet"
	"cardamompass/internal/stand/ptarg"
)

// keptConnection is a connection of a caller on which one request is sent at a given time.
type keptConnection struct {
	id       string
	sentAt   time.Time
	endedAt  time.Time
	status   int // 0 without a complete response
	writeErr error
}

// sendOnKept opens a connection, sends one request to show that it is kept, waits until due, and sends another one.
func (tfl *testFleet) sendOnKept(address, id string, due time.Time) (kpt keptConnection) {
	kpt.id = id
	con, err := net.Dial("tcp", address)
	if err != nil {
		tfl.t.Error(err)
		return kpt
	}
	defer con.Close()
	rdr := bufio.NewReader(con)
	exchange := func(id string) (status int, err error) {
		text := fmt.Sprintf("POST /write/a HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nTimeout-Ms: 3000\r\nContent-Length: 4\r\n\r\nbody", pfleet.Host, id)
		if _, err = io.WriteString(con, text); err != nil {
			return 0, err
		}
		kpt.sentAt = time.Now()
		rsp, rerr := http.ReadResponse(rdr, nil)
		if rerr != nil {
			return 0, nil
		}
		defer rsp.Body.Close()
		if _, rerr = io.Copy(io.Discard, rsp.Body); rerr != nil {
			return 0, nil
		}
		return rsp.StatusCode, nil
	}
	if status, err := exchange(id + "-first"); err != nil || status == 0 {
		tfl.t.Errorf("first request on a connection: status %d, error %v", status, err)
	}
	time.Sleep(time.Until(due))
	kpt.status, kpt.writeErr = exchange(id)
	kpt.endedAt = time.Now()
	return kpt
}

// Guards against requests that are cut off without an answer during a planned stop although the VM has read them: those that arrive on
// connections that callers keep, at any moment until the process is gone.
func TestPlannedStopOfKeptConnections(t *testing.T) {
	const (
		connections = 150
		crossing    = 200 * time.Millisecond // a request may cross the close of its connection
	)
	tfl := newTestFleet(t, 2, 4)
	vmc := tfl.VMs[0]
	begin := time.Now().Add(2 * time.Second)
	results := make([]keptConnection, connections)
	var running sync.WaitGroup
	for num := range connections {
		due := begin.Add(time.Duration(rand.Int64N(int64(4 * time.Second))))
		running.Go(func() { results[num] = tfl.sendOnKept(vmc.CallerAddress(), fmt.Sprintf("kept-%d", num), due) })
		time.Sleep(10 * time.Millisecond) // the targets have room for each of the first requests
	}
	time.Sleep(time.Until(begin))
	if err := vmc.Terminate(); err != nil {
		t.Fatal(err)
	}
	running.Wait()
	if err := vmc.Wait(); err != nil {
		t.Fatalf("%v\n%s", err, vmc.Tail(10))
	}
	ran := make(map[string]bool)
	for _, tgt := range tfl.Targets {
		for _, run := range tgt.Runs() {
			ran[run.ID] = true
		}
	}
	statuses := make(map[int]int)
	for _, kpt := range results {
		statuses[kpt.status]++
		switch {
		case kpt.status == http.StatusOK && ran[kpt.id]:
		case kpt.status == http.StatusServiceUnavailable && !ran[kpt.id]:
		case kpt.status == 0 && !ran[kpt.id] && (kpt.writeErr != nil || kpt.endedAt.Sub(kpt.sentAt) < crossing):
		default:
			t.Errorf("%s: status %d, ran %v, cut %v after it was sent", kpt.id, kpt.status, ran[kpt.id], kpt.endedAt.Sub(kpt.sentAt))
		}
	}
	t.Logf("responses by status: %v", statuses)
	if statuses[http.StatusOK] < connections/3 {
		t.Error("few requests were answered during the stop")
	}
}

// Guards against a target that is used again because a VM restarts: one that left before, while the store can't be reached, or one whose
// entry is gone.
func TestRestartDoesNotBringTargetsBack(t *testing.T) {
	tfl := newTestFleet(t, 3, 8)
	stop := tfl.startLoad()
	time.Sleep(time.Second)
	draining, deleted := tfl.busiest()
	tfl.Register(draining, "draining")
	tfl.Store.Delete("servers/" + deleted.ID)
	left := time.Now()
	time.Sleep(pfleet.DrainBound)
	for num, vmc := range tfl.VMs {
		if num == 0 {
			vmc.StoreProxy.Refuse()
		}
		if err := vmc.Kill(); err != nil {
			t.Fatal(err)
		}
		if err := vmc.Start(); err != nil {
			t.Fatal(err)
		}
	}
	tfl.Store.Compact()
	time.Sleep(2 * time.Second)
	if err := tfl.VMs[0].StoreProxy.Heal(); err != nil {
		t.Fatal(err)
	}
	for _, vmc := range tfl.VMs {
		tfl.awaitReady(vmc)
	}
	time.Sleep(2 * time.Second)
	stop()
	for _, tgt := range []*pfleet.Target{draining, deleted} {
		if count := pfleet.RunsAfter(tfl.callers.Results(), tgt, left.Add(pfleet.DrainBound)); count > 0 {
			t.Errorf("%s ran %d requests after it had left", tgt.ID, count)
		}
	}
	if count := tfl.check(); count[200] == 0 {
		t.Errorf("responses by status: %v", count)
	}
}

// Guards against work that is started again elsewhere, or given up, because its target can't be heard for a while.
func TestSilentTargetKeepsItsWork(t *testing.T) {
	tfl := newTestFleet(t, 2, 2)
	for _, tgt := range tfl.Targets {
		tgt.Proxy.SetDelay(fault.Down, 1200*time.Millisecond) // the route allows 2 s
	}
	var running sync.WaitGroup
	results := make([]pfleet.Result, 10)
	for num := range results {
		running.Go(func() {
			results[num] = tfl.callers.SendTo(t.Context(), tfl.VMs[num%2].CallerAddress(), "/write/a", false)
		})
	}
	running.Wait()
	answered := 0
	for _, res := range results {
		if res.Status == http.StatusOK {
			answered++
		}
	}
	tfl.check()
	if ran := len(tfl.Targets[0].Runs()) + len(tfl.Targets[1].Runs()); ran != len(results) {
		t.Errorf("%d requests ran %d times", len(results), ran)
	}
	if answered != len(results) {
		t.Errorf("%d of %d requests were answered", answered, len(results))
	}
}

// Guards against a VM that was paused and then acts on what it knew before: a target that left meanwhile must not run its requests, and
// work that waited in the VM must not run after its caller was told that it has not.
func TestPausedVM(t *testing.T) {
	tfl := newTestFleet(t, 3, 8)
	stop := tfl.startLoad()
	time.Sleep(time.Second)
	draining, deleted := tfl.busiest()
	paused := tfl.VMs[0]
	if err := paused.Freeze(); err != nil {
		t.Fatal(err)
	}
	tfl.Register(draining, "draining")
	tfl.Store.Delete("servers/" + deleted.ID)
	left := time.Now()
	time.Sleep(5 * time.Second) // longer than the lease of the VM, and than callers wait
	if err := paused.Resume(); err != nil {
		t.Fatal(err)
	}
	resumed := time.Now()
	time.Sleep(pfleet.DrainBound + 2*time.Second)
	stop()
	results := tfl.callers.Results()
	for _, tgt := range []*pfleet.Target{draining, deleted} {
		if count := pfleet.RunsAfter(results, tgt, resumed.Add(pfleet.DrainBound)); count > 0 {
			t.Errorf("%s ran %d requests that were sent after the VM could know that it had left", tgt.ID, count)
		}
		late := 0
		for _, res := range results {
			if res.VM != paused.CallerAddress() && res.At.After(left.Add(pfleet.DrainBound)) {
				for _, run := range tgt.Runs() {
					if run.ID == res.ID {
						late++
					}
				}
			}
		}
		if late > 0 {
			t.Errorf("%s ran %d requests of VMs that were not paused", tgt.ID, late)
		}
	}
	if count := tfl.check(); count[200] == 0 {
		t.Errorf("responses by status: %v", count)
	}
	tfl.awaitReady(paused)
}

// Guards against requests to a target that states only in its responses that it is leaving, while the store can't be reached.
func TestTargetThatStatesThatItLeaves(t *testing.T) {
	tfl := newTestFleet(t, 3, 8)
	stop := tfl.startLoad()
	time.Sleep(time.Second)
	leaving, _ := tfl.busiest()
	for _, vmc := range tfl.VMs {
		vmc.StoreProxy.Refuse()
	}
	leaving.SetLeaving(true)
	begin := time.Now()
	time.Sleep(pfleet.DrainBound + 4*time.Second)
	stop()
	results := tfl.callers.Results()
	// A VM learns it from the response to its own first request, or from another VM, whose word counts for 10 s.
	bySource := make(map[string]int)
	for _, res := range results {
		for _, run := range leaving.Runs() {
			if run.ID == res.ID && res.At.After(begin.Add(pfleet.DrainBound)) {
				bySource[res.VM]++
			}
		}
	}
	for address, count := range bySource {
		if count > 1 {
			t.Errorf("the VM at %s sent %d requests to a target that had stated that it leaves", address, count)
		}
	}
	if count := tfl.check(); count[200] < 5*requestsPerSecond {
		t.Errorf("responses by status: %v", count)
	}
}

// Guards against targets that send bytes without end and so disturb the other requests of a VM, or make it exceed its memory.
func TestEndlessTargets(t *testing.T) {
	tfl := newTestFleet(t, 2, 8)
	faults := []ptarg.Fault{
		ptarg.FaultEndlessHead, ptarg.FaultEndlessLine, ptarg.FaultEndlessBody, ptarg.FaultEndlessHead, ptarg.FaultEndlessChunks,
		ptarg.FaultEndlessLine,
	}
	stop := tfl.startLoad()
	time.Sleep(time.Second)
	for num, flt := range faults {
		tfl.Targets[num].SetFault(flt)
		if num == 3 {
			tfl.Targets[num].SetSlow(time.Millisecond)
		}
	}
	time.Sleep(4 * time.Second)
	for _, tgt := range tfl.Targets {
		tgt.SetFault(ptarg.FaultNone)
	}
	time.Sleep(time.Second)
	stop()
	for _, vmc := range tfl.VMs {
		size, err := vmc.PeakMemory()
		if err != nil || size > pfleet.MemoryLimit {
			t.Errorf("%s used %d MiB at most, its limit is %d MiB, error %v\n%s", vmc.Name(), size>>20, pfleet.MemoryLimit>>20, err, vmc.Tail(10))
		}
		t.Logf("%s used %d MiB at most", vmc.Name(), size>>20)
	}
	if count := tfl.check(); count[200] < 3*requestsPerSecond {
		t.Errorf("responses by status: %v", count)
	} else {
		t.Logf("responses by status: %v", count)
	}
}

// Guards against requests to targets that have asked for none for a time, and against targets that get none after it.
func TestTargetsThatBackOff(t *testing.T) {
	const backoff = 2 * time.Second
	tfl := newTestFleet(t, 3, 4)
	stop := tfl.startLoad()
	time.Sleep(time.Second)
	for _, tgt := range tfl.Targets {
		tgt.SetRetryAfter(fmt.Sprint(backoff.Seconds()))
		tgt.SetFault(ptarg.FaultShed)
	}
	begin := time.Now()
	time.Sleep(3 * backoff)
	refusals := make(map[string]int)
	for _, tgt := range tfl.Targets {
		refusals[tgt.ID] = tgt.Refusals()
		tgt.SetFault(ptarg.FaultNone)
	}
	periods := 1 + int(time.Since(begin)/backoff)
	time.Sleep(backoff + time.Second)
	stop()
	// Each VM is refused once, then waits for the end of the back-off. Two more requests may be on their way.
	allowed := periods * len(tfl.VMs) * 3
	for id, count := range refusals {
		if count == 0 || count > allowed {
			t.Errorf("%s got %d requests while it asked for none, at most %d are allowed", id, count, allowed)
		}
	}
	served := 0
	for _, res := range tfl.callers.Results() {
		if res.Status == http.StatusOK && res.At.After(begin.Add(4*backoff)) {
			served++
		}
	}
	if served == 0 {
		t.Error("no request was served after the back-off")
	}
	t.Logf("requests at targets that asked for none: %v; responses by status: %v", refusals, tfl.check())
}
