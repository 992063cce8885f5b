// Package users_test tests the guarantees on the users' platform with real entry VM processes and stand-ins that implement its protocol.
package users_test

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"cardamompass/internal/stand/pfleet"
	"cardamompass/internal/stand/procs"
	"cardamompass/internal/stand/pstore"
	"cardamompass/internal/stand/ptarg"
)

func TestMain(m *testing.M) { os.Exit(procs.Main(m)) }

const (
	// startTimeout bounds the start of all VMs on a busy machine.
	startTimeout      = 15 * time.Second
	requestsPerSecond = 100
)

var (
	reads  = []string{"/read/"}
	writes = []string{"/write/"}
)

// testFleet is a fleet of entry VMs and targets with callers that record the responses.
type testFleet struct {
	*pfleet.Fleet
	t       *testing.T
	callers *pfleet.Callers
}

func newTestFleet(t *testing.T, vms, targets int) (tfl *testFleet) {
	t.Helper()
	tfl = prepareTestFleet(t, vms, targets)
	tfl.Configure(1, reads, writes)
	tfl.start()
	return tfl
}

// prepareTestFleet returns a fleet whose VMs are not started and which has no configuration.
func prepareTestFleet(t *testing.T, vms, targets int) (tfl *testFleet) {
	t.Helper()
	flt, stop, err := pfleet.New(pfleet.Config{
		Dir:         t.TempDir(),
		VMs:         vms,
		Targets:     targets,
		Slots:       6,
		ServiceTime: 20 * time.Millisecond,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	cls, stopCallers := pfleet.NewCallers(flt)
	t.Cleanup(stopCallers)
	return &testFleet{
		Fleet:   flt,
		t:       t,
		callers: cls,
	}
}

// start starts the VMs and waits until they are ready.
func (tfl *testFleet) start() {
	tfl.t.Helper()
	if err := tfl.Start(); err != nil {
		tfl.t.Fatal(err)
	}
	for _, vmc := range tfl.VMs {
		tfl.awaitReady(vmc)
	}
}

func (tfl *testFleet) ready(vmc *pfleet.VM) (ok bool) {
	rsp, err := http.Get("http://" + vmc.ReadyAddress() + "/v1/readyz")
	if err != nil {
		return false
	}
	rsp.Body.Close()
	return rsp.StatusCode == http.StatusOK
}

func (tfl *testFleet) awaitReady(vmc *pfleet.VM) {
	tfl.t.Helper()
	tfl.await(startTimeout, vmc.Name()+" ready\n"+vmc.Tail(5), func() bool { return tfl.ready(vmc) })
}

func (tfl *testFleet) await(timeout time.Duration, desc string, cond func() bool) {
	tfl.t.Helper()
	for end := time.Now().Add(timeout); !cond(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			tfl.t.Fatalf("not within %v: %s", timeout, desc)
		}
	}
}

// startLoad sends requests in the background until stop is called; stop waits until all of them have ended.
func (tfl *testFleet) startLoad() (stop func()) { return tfl.startLoadAt(requestsPerSecond) }

// startLoadAt is startLoad with another rate.
func (tfl *testFleet) startLoadAt(perSecond int) (stop func()) {
	ctx, cancel := context.WithCancel(tfl.t.Context())
	var running sync.WaitGroup
	running.Go(func() {
		tfl.callers.Run(ctx, perSecond, func(idempotent bool) string {
			if idempotent {
				return "/read/a"
			}
			return "/write/a"
		})
	})
	return func() {
		cancel()
		running.Wait()
	}
}

// check fails the test for each violated guarantee and returns the number of results by status; status 0 means no response.
func (tfl *testFleet) check() (count map[int]int) {
	tfl.t.Helper()
	sent := tfl.callers.Results()
	for _, text := range pfleet.Violations(sent, tfl.Targets) {
		tfl.t.Error(text)
	}
	count = make(map[int]int)
	for _, snt := range sent {
		count[snt.Status]++
	}
	return count
}

// Guards against a failure anywhere on the path of look-up, request and response between real processes.
func TestWholePath(t *testing.T) {
	tfl := newTestFleet(t, 4, 8)
	tfl.await(startTimeout, "look-up returns both VMs of the region", func() bool {
		vms, err := tfl.callers.Lookup(t.Context())
		return err == nil && len(vms) == 2
	})
	stop := tfl.startLoad()
	time.Sleep(2 * time.Second)
	stop()
	if count := tfl.check(); count[200] < requestsPerSecond || len(count) != 1 {
		t.Fatalf("responses by status: %v", count)
	}
	for path, want := range map[string][]string{
		"/metrics": {"cardamompass_requests", "cardamompass_request_seconds", "cardamompass_attempts", "cardamompass_store_calls", "cardamompass_table_version 1"},
		"/state":   {`"table-version":1`, `"other-vms":["vm-`, `"instance":"i-001"`},
	} {
		text := tfl.get("http://" + tfl.VMs[0].MetricsAddress() + path)
		for _, part := range want {
			if !strings.Contains(text, part) {
				t.Errorf("%s does not contain %s", path, part)
			}
		}
	}
}

// get returns the response body for an address and fails the test unless the status is 200.
func (tfl *testFleet) get(address string) (text string) {
	tfl.t.Helper()
	rsp, err := http.Get(address)
	if err != nil {
		tfl.t.Fatal(err)
	}
	defer rsp.Body.Close()
	data, err := io.ReadAll(rsp.Body)
	if err != nil || rsp.StatusCode != http.StatusOK {
		tfl.t.Fatalf("%s: status %d, error %v", address, rsp.StatusCode, err)
	}
	return string(data)
}

// Guards against requests that a planned stop interrupts, and against a stopping VM that look-ups return or that reports ready.
func TestPlannedStops(t *testing.T) {
	tfl := newTestFleet(t, 4, 8)
	stop := tfl.startLoad()
	time.Sleep(time.Second)
	for _, vmc := range tfl.VMs[:2] {
		if err := vmc.Terminate(); err != nil {
			t.Fatal(err)
		}
		tfl.await(time.Second, "stopping VM reports not ready", func() bool { return !tfl.ready(vmc) })
		tfl.await(time.Second, "look-up omits the stopping VM", func() bool {
			vms, err := tfl.callers.Lookup(t.Context())
			return err == nil && !strings.Contains(fmt.Sprint(vms), vmc.CallerAddress())
		})
		begin := time.Now()
		if err := vmc.Wait(); err != nil {
			t.Fatalf("%v\n%s", err, vmc.Tail(10))
		}
		if ela := time.Since(begin); ela > pfleet.GraceTime {
			t.Fatalf("planned stop exceeded the grace time: took %v", ela)
		}
		if err := vmc.Start(); err != nil {
			t.Fatal(err)
		}
		tfl.awaitReady(vmc)
	}
	stop()
	tfl.check()
	for _, snt := range pfleet.Unanswered(tfl.callers.Results()) {
		t.Errorf("request sent but not answered: %+v", snt)
	}
}

// Guards against VMs that stop serving while the store fails, and against a VM that starts during the failure and answers 404 for
// existing routes.
func TestStoreAway(t *testing.T) {
	for name, flt := range map[string]pstore.Faults{
		"closed": {Outage: true},
		"silent": {NoReply: true},
		"lossy":  {LoseWriteReplies: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			tfl := newTestFleet(t, 3, 6)
			stop := tfl.startLoad()
			time.Sleep(time.Second)
			tfl.Store.SetFaults(flt)
			if err := tfl.VMs[0].Kill(); err != nil {
				t.Fatal(err)
			}
			if err := tfl.VMs[0].Start(); err != nil {
				t.Fatal(err)
			}
			time.Sleep(4 * time.Second)
			if snt := tfl.callers.SendTo(t.Context(), tfl.VMs[1].CallerAddress(), "/write/a", false); snt.Status != 200 {
				t.Errorf("running VM, store failing: %+v", snt)
			}
			if snt := tfl.callers.SendTo(t.Context(), tfl.VMs[0].CallerAddress(), "/write/a", false); snt.Status != 200 && snt.Status != 503 {
				t.Errorf("restarted VM, store failing: %+v", snt)
			}
			tfl.Store.SetFaults(pstore.Faults{})
			tfl.awaitReady(tfl.VMs[0])
			stop()
			if count := tfl.check(); count[404] > 0 {
				t.Errorf("responses by status: %v", count)
			}
		})
	}
}

// Guards against a VM that follows nothing for seconds after the store was silent between two renewals of its lease, because the store
// never answers the watch that it got then. In a fleet of 67 VMs it broke CONFIG and HOME.
func TestShortSilenceOfTheStore(t *testing.T) {
	const vms = 60 // a watch begins 1 s after a change
	tfl := newTestFleet(t, 1, 2)
	for num := range vms {
		tfl.Store.Put(fmt.Sprintf("vm/other-%d", num), map[string]string{"region": "r-1"})
	}
	time.Sleep(2500 * time.Millisecond) // the entries are read
	renewed := tfl.Store.LastRenewal()
	tfl.await(2*time.Second, "renewal", func() bool { return tfl.Store.LastRenewal().After(renewed) })
	renewed = tfl.Store.LastRenewal()
	until := func(after time.Duration) { time.Sleep(time.Until(renewed.Add(after))) }
	until(550 * time.Millisecond)
	tfl.Configure(2, reads, writes) // the next watch begins at 1.55 s, between the renewals at 1 and 2 s
	until(1200 * time.Millisecond)
	tfl.Store.SetFaults(pstore.Faults{NoReply: true})
	until(1800 * time.Millisecond)
	if tfl.Store.Silenced() == 0 {
		t.Log("the store got no call while it was silent, so that this run shows nothing")
	}
	tfl.Store.SetFaults(pstore.Faults{})
	until(2200 * time.Millisecond)
	tfl.Configure(3, []string{"/v3/"}, writes)
	tfl.await(pfleet.ConfigBound, "new version active", func() bool {
		return tfl.callers.SendTo(t.Context(), tfl.VMs[0].CallerAddress(), "/v3/a", true).Status == 200
	})
}

// Guards against a configuration that becomes active late, not on all VMs, or only temporarily.
func TestConfigurationInForce(t *testing.T) {
	tfl := newTestFleet(t, 4, 4)
	status := func(vmc *pfleet.VM, path string) int {
		return tfl.callers.SendTo(t.Context(), vmc.CallerAddress(), path, true).Status
	}
	for version := 2; version < 6; version++ {
		added, dropped := fmt.Sprintf("/v%d/", version), fmt.Sprintf("/v%d/", version-1)
		tfl.Configure(version, []string{added}, writes)
		begin := time.Now()
		for _, vmc := range tfl.VMs {
			tfl.await(pfleet.ConfigBound-time.Since(begin), "new version active on "+vmc.Name(), func() bool {
				return status(vmc, added+"a") == 200 && status(vmc, dropped+"a") == 404
			})
		}
	}
	tfl.Configure(3, []string{"/v3/"}, writes) // an older version must not become active
	tfl.Store.PutRaw("op/config", []byte("not a configuration"))
	time.Sleep(time.Second)
	for _, vmc := range tfl.VMs {
		if status(vmc, "/v5/a") != 200 || status(vmc, "/v3/a") != 404 {
			t.Errorf("%s no longer serves version 5 alone", vmc.Name())
		}
	}
	tfl.check()
}

// Guards against requests to a target that is leaving, whether it registers as draining or its store entry is deleted.
func TestLeavingTarget(t *testing.T) {
	tfl := newTestFleet(t, 3, 6)
	stop := tfl.startLoad()
	time.Sleep(time.Second)
	draining, deleted := tfl.busiest()
	tfl.Register(draining, "draining")
	tfl.Store.Delete("servers/" + deleted.ID)
	begin := time.Now()
	time.Sleep(pfleet.DrainBound + 2*time.Second)
	stop()
	for _, tgt := range []*pfleet.Target{draining, deleted} {
		if count := pfleet.RunsAfter(tfl.callers.Results(), tgt, begin.Add(pfleet.DrainBound)); count > 0 {
			t.Errorf("%s ran %d requests that were sent after the drain bound", tgt.ID, count)
		}
	}
	if count := tfl.check(); count[200] == 0 || count[502] > 0 {
		t.Errorf("responses by status: %v", count)
	}
}

// busiest returns the two targets that ran the most requests so far. Targets in a region without callers may not have run any.
func (tfl *testFleet) busiest() (one, two *pfleet.Target) {
	tfl.t.Helper()
	list := slices.SortedFunc(slices.Values(tfl.Targets), func(one, two *pfleet.Target) int {
		return cmp.Compare(len(two.Runs()), len(one.Runs()))
	})
	if len(list[1].Runs()) == 0 {
		tfl.t.Fatal("fewer than two targets have run requests")
	}
	return list[0], list[1]
}

// Guards against targets that are dropped because their entries expired during a store outage.
func TestEntriesThatLapse(t *testing.T) {
	tfl := newTestFleet(t, 2, 4)
	stop := tfl.startLoad()
	time.Sleep(time.Second)
	tfl.Store.SetFaults(pstore.Faults{Outage: true})
	for _, tgt := range tfl.Targets {
		tfl.Store.Delete("servers/" + tgt.ID)
	}
	time.Sleep(3 * time.Second)
	tfl.Store.SetFaults(pstore.Faults{})
	time.Sleep(time.Second)
	for _, tgt := range tfl.Targets {
		tfl.Register(tgt, "ready")
	}
	time.Sleep(3 * time.Second)
	stop()
	if count := tfl.check(); count[200] < 7*requestsPerSecond || count[503] > 0 {
		t.Errorf("responses by status: %v", count)
	}
}

// Guards against a fleet that does not recover after all its processes were killed at once.
func TestAllKilled(t *testing.T) {
	tfl := newTestFleet(t, 4, 6)
	stop := tfl.startLoad()
	time.Sleep(time.Second)
	tfl.Configure(2, append([]string{"/new/"}, reads...), writes)
	for _, vmc := range tfl.VMs {
		if err := vmc.Kill(); err != nil {
			t.Fatal(err)
		}
	}
	for _, vmc := range tfl.VMs {
		if err := vmc.Start(); err != nil {
			t.Fatal(err)
		}
	}
	for _, vmc := range tfl.VMs {
		tfl.awaitReady(vmc)
		tfl.await(startTimeout, "new route on "+vmc.Name(), func() bool {
			return tfl.callers.SendTo(t.Context(), vmc.CallerAddress(), "/new/a", true).Status == 200
		})
	}
	stop()
	tfl.check()
}

// Guards against requests that run twice, and refusals of requests that ran, while targets have all kinds of faults at once.
func TestFaultyTargets(t *testing.T) {
	tfl := newTestFleet(t, 3, 9)
	for num, flt := range []ptarg.Fault{
		ptarg.FaultReset, ptarg.FaultTruncated, ptarg.FaultGarbage, ptarg.FaultDuplicated, ptarg.FaultUnframed, ptarg.FaultError, ptarg.FaultShed,
		ptarg.FaultFalse503,
	} {
		tfl.Targets[num].SetFault(flt)
	}
	stop := tfl.startLoad()
	time.Sleep(4 * time.Second)
	stop()
	if count := tfl.check(); count[200] == 0 || count[502] == 0 {
		t.Errorf("responses by status: %v", count)
	}
}

// Guards against invalid settings that end a process or become active, and against a reload that interrupts requests.
func TestSettingsChange(t *testing.T) {
	tfl := newTestFleet(t, 2, 4)
	stop := tfl.startLoad()
	vmc := tfl.VMs[0]
	valid, err := os.ReadFile(vmc.SettingsPath())
	if err != nil {
		t.Fatal(err)
	}
	for _, text := range []string{"node = ", strings.Replace(string(valid), "zone = ", "zones = ", 1), string(valid) + "\n[new]\nkey = 1\n"} {
		if err = os.WriteFile(vmc.SettingsPath(), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err = vmc.Reload(); err != nil {
			t.Fatal(err)
		}
		time.Sleep(500 * time.Millisecond)
	}
	stop()
	if count := tfl.check(); len(count) != 1 || !vmc.Running() {
		t.Fatalf("responses by status: %v", count)
	}
	log := vmc.Tail(10000) // a changed file may be detected before the signal and again on the signal
	if strings.Count(log, "settings kept") < 2 || !strings.Contains(log, "settings checked") {
		t.Fatal("log lacks the events of kept and checked settings")
	}
}
