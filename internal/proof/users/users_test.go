// Package users_test proves the promises on the users' platform with real entry VM processes and stand-ins that speak its protocol.
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
	// startLimit bounds the start of all VMs on a busy machine.
	startLimit = 15 * time.Second
	perSecond  = 100
)

var (
	reads  = []string{"/read/"}
	writes = []string{"/write/"}
)

// site is a fleet with callers.
type site struct {
	*pfleet.Fleet
	t       *testing.T
	callers *pfleet.Callers
}

func newSite(t *testing.T, vms, targets int) (sit *site) {
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
	sit = &site{
		Fleet:   flt,
		t:       t,
		callers: cls,
	}
	flt.Configure(1, reads, writes)
	if err = flt.Start(); err != nil {
		t.Fatal(err)
	}
	for _, vmc := range flt.VMs {
		sit.awaitReady(vmc)
	}
	return sit
}

func (sit *site) ready(vmc *pfleet.VM) (ok bool) {
	rsp, err := http.Get("http://" + vmc.ReadyAddress() + "/v1/readyz")
	if err != nil {
		return false
	}
	rsp.Body.Close()
	return rsp.StatusCode == http.StatusOK
}

func (sit *site) awaitReady(vmc *pfleet.VM) {
	sit.t.Helper()
	sit.await(startLimit, vmc.Name()+" ready\n"+vmc.Tail(5), func() bool { return sit.ready(vmc) })
}

func (sit *site) await(limit time.Duration, what string, cond func() bool) {
	sit.t.Helper()
	for end := time.Now().Add(limit); !cond(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			sit.t.Fatalf("not within %v: %s", limit, what)
		}
	}
}

// load sends requests in the background until the function returned is called, which waits for their ends.
func (sit *site) load() (stop func()) {
	ctx, cancel := context.WithCancel(sit.t.Context())
	var running sync.WaitGroup
	running.Go(func() {
		sit.callers.Run(ctx, perSecond, func(idempotent bool) string {
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

// check fails the test for each broken promise and returns the counts by status, 0 for no answer.
func (sit *site) check() (count map[int]int) {
	sit.t.Helper()
	sent := sit.callers.Results()
	for _, text := range pfleet.Violations(sent, sit.Targets) {
		sit.t.Error(text)
	}
	count = make(map[int]int)
	for _, snt := range sent {
		count[snt.Status]++
	}
	return count
}

// Guards against a path that does not serve at all: look-up, request, answer, over real processes.
func TestWholePath(t *testing.T) {
	sit := newSite(t, 4, 8)
	sit.await(startLimit, "both VMs of the region in a look-up", func() bool {
		vms, err := sit.callers.Lookup(t.Context())
		return err == nil && len(vms) == 2
	})
	stop := sit.load()
	time.Sleep(2 * time.Second)
	stop()
	if count := sit.check(); count[200] < perSecond || len(count) != 1 {
		t.Fatalf("answers by status: %v", count)
	}
	for path, want := range map[string][]string{
		"/metrics": {"cardamompass_requests", "cardamompass_request_seconds", "cardamompass_attempts", "cardamompass_store_calls", "cardamompass_table_version 1"},
		"/state":   {`"table-version":1`, `"other-vms":["vm-`, `"instance":"i-001"`},
	} {
		text := sit.get("http://" + sit.VMs[0].MetricsAddress() + path)
		for _, part := range want {
			if !strings.Contains(text, part) {
				t.Errorf("%s has no %s", path, part)
			}
		}
	}
}

// get returns a page.
func (sit *site) get(address string) (text string) {
	sit.t.Helper()
	rsp, err := http.Get(address)
	if err != nil {
		sit.t.Fatal(err)
	}
	defer rsp.Body.Close()
	data, err := io.ReadAll(rsp.Body)
	if err != nil || rsp.StatusCode != http.StatusOK {
		sit.t.Fatalf("%s: status %d, error %v", address, rsp.StatusCode, err)
	}
	return string(data)
}

// Guards against requests that a planned stop cuts, and against a VM that is still named or ready while it stops.
func TestPlannedStops(t *testing.T) {
	sit := newSite(t, 4, 8)
	stop := sit.load()
	time.Sleep(time.Second)
	for _, vmc := range sit.VMs[:2] {
		if err := vmc.Terminate(); err != nil {
			t.Fatal(err)
		}
		sit.await(time.Second, "not ready", func() bool { return !sit.ready(vmc) })
		sit.await(time.Second, "not named", func() bool {
			vms, err := sit.callers.Lookup(t.Context())
			return err == nil && !strings.Contains(fmt.Sprint(vms), vmc.CallerAddress())
		})
		begin := time.Now()
		if err := vmc.Wait(); err != nil {
			t.Fatalf("%v\n%s", err, vmc.Tail(10))
		}
		if ela := time.Since(begin); ela > pfleet.GraceTime {
			t.Fatalf("the stop took %v", ela)
		}
		if err := vmc.Start(); err != nil {
			t.Fatal(err)
		}
		sit.awaitReady(vmc)
	}
	stop()
	sit.check()
	for _, snt := range pfleet.Unanswered(sit.callers.Results()) {
		t.Errorf("cut: %+v", snt)
	}
}

// Guards against VMs that stop serving with the store, and against one that starts without it and tells callers that routes do not exist.
func TestStoreAway(t *testing.T) {
	for name, flt := range map[string]pstore.Faults{
		"closed": {Outage: true},
		"silent": {NoReply: true},
		"lossy":  {LoseWriteReplies: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sit := newSite(t, 3, 6)
			stop := sit.load()
			time.Sleep(time.Second)
			sit.Store.SetFaults(flt)
			if err := sit.VMs[0].Kill(); err != nil {
				t.Fatal(err)
			}
			if err := sit.VMs[0].Start(); err != nil {
				t.Fatal(err)
			}
			time.Sleep(4 * time.Second)
			if snt := sit.callers.SendTo(t.Context(), sit.VMs[1].CallerAddress(), "/write/a", false); snt.Status != 200 {
				t.Errorf("a VM that runs: %+v", snt)
			}
			if snt := sit.callers.SendTo(t.Context(), sit.VMs[0].CallerAddress(), "/write/a", false); snt.Status != 200 && snt.Status != 503 {
				t.Errorf("a VM that has just started: %+v", snt)
			}
			sit.Store.SetFaults(pstore.Faults{})
			sit.awaitReady(sit.VMs[0])
			stop()
			if count := sit.check(); count[404] > 0 {
				t.Errorf("answers by status: %v", count)
			}
		})
	}
}

// Guards against a configuration that comes into force late, not everywhere, or not for good.
func TestConfigurationInForce(t *testing.T) {
	sit := newSite(t, 4, 4)
	status := func(vmc *pfleet.VM, path string) int {
		return sit.callers.SendTo(t.Context(), vmc.CallerAddress(), path, true).Status
	}
	for version := 2; version < 6; version++ {
		added, dropped := fmt.Sprintf("/v%d/", version), fmt.Sprintf("/v%d/", version-1)
		sit.Configure(version, []string{added}, writes)
		begin := time.Now()
		for _, vmc := range sit.VMs {
			sit.await(pfleet.ConfigBound-time.Since(begin), "version in force on "+vmc.Name(), func() bool {
				return status(vmc, added+"a") == 200 && status(vmc, dropped+"a") == 404
			})
		}
	}
	sit.Configure(3, []string{"/v3/"}, writes) // an older version must not come into force
	sit.Store.PutRaw("op/config", []byte("not a configuration"))
	time.Sleep(time.Second)
	for _, vmc := range sit.VMs {
		if status(vmc, "/v5/a") != 200 || status(vmc, "/v3/a") != 404 {
			t.Errorf("%s went back", vmc.Name())
		}
	}
	sit.check()
}

// Guards against work for a target that leaves, whether it says so or its entry ends.
func TestLeavingTarget(t *testing.T) {
	sit := newSite(t, 3, 6)
	stop := sit.load()
	time.Sleep(time.Second)
	said, ended := sit.busiest()
	sit.Register(said, "draining")
	sit.Store.Delete("servers/" + ended.ID)
	begin := time.Now()
	time.Sleep(pfleet.DrainBound + 2*time.Second)
	stop()
	for _, tgt := range []*pfleet.Target{said, ended} {
		if count := pfleet.RunsAfter(sit.callers.Results(), tgt, begin.Add(pfleet.DrainBound)); count > 0 {
			t.Errorf("%s ran %d requests after the bound", tgt.ID, count)
		}
	}
	if count := sit.check(); count[200] == 0 || count[502] > 0 {
		t.Errorf("answers by status: %v", count)
	}
}

// busiest returns the two targets that ran the most requests so far. Targets in a region without callers may have run none.
func (sit *site) busiest() (one, two *pfleet.Target) {
	sit.t.Helper()
	list := slices.SortedFunc(slices.Values(sit.Targets), func(one, two *pfleet.Target) int {
		return cmp.Compare(len(two.Runs()), len(one.Runs()))
	})
	if len(list[1].Runs()) == 0 {
		sit.t.Fatal("fewer than two targets ran anything")
	}
	return list[0], list[1]
}

// Guards against targets that are dropped because their entries lapsed while the store was away.
func TestEntriesThatLapse(t *testing.T) {
	sit := newSite(t, 2, 4)
	stop := sit.load()
	time.Sleep(time.Second)
	sit.Store.SetFaults(pstore.Faults{Outage: true})
	for _, tgt := range sit.Targets {
		sit.Store.Delete("servers/" + tgt.ID)
	}
	time.Sleep(3 * time.Second)
	sit.Store.SetFaults(pstore.Faults{})
	time.Sleep(time.Second)
	for _, tgt := range sit.Targets {
		sit.Register(tgt, "ready")
	}
	time.Sleep(3 * time.Second)
	stop()
	if count := sit.check(); count[200] < 7*perSecond || count[503] > 0 {
		t.Errorf("answers by status: %v", count)
	}
}

// Guards against a fleet that does not come back after all processes were killed at one moment.
func TestAllKilled(t *testing.T) {
	sit := newSite(t, 4, 6)
	stop := sit.load()
	time.Sleep(time.Second)
	sit.Configure(2, append([]string{"/new/"}, reads...), writes)
	for _, vmc := range sit.VMs {
		if err := vmc.Kill(); err != nil {
			t.Fatal(err)
		}
	}
	for _, vmc := range sit.VMs {
		if err := vmc.Start(); err != nil {
			t.Fatal(err)
		}
	}
	for _, vmc := range sit.VMs {
		sit.awaitReady(vmc)
		sit.await(startLimit, "new route on "+vmc.Name(), func() bool {
			return sit.callers.SendTo(t.Context(), vmc.CallerAddress(), "/new/a", true).Status == 200
		})
	}
	stop()
	sit.check()
}

// Guards against work that runs twice and refusals that are false when targets fail in every way at once.
func TestFaultyTargets(t *testing.T) {
	sit := newSite(t, 3, 9)
	for num, flt := range []ptarg.Fault{
		ptarg.FaultReset, ptarg.FaultTruncated, ptarg.FaultGarbage, ptarg.FaultDuplicated, ptarg.FaultUnframed, ptarg.FaultError, ptarg.FaultShed,
		ptarg.FaultFalse503,
	} {
		sit.Targets[num].SetFault(flt)
	}
	stop := sit.load()
	time.Sleep(4 * time.Second)
	stop()
	if count := sit.check(); count[200] == 0 || count[502] == 0 {
		t.Errorf("answers by status: %v", count)
	}
}

// Guards against settings with a fault that end a process or come into force, and against a reload that cuts requests.
func TestSettingsChange(t *testing.T) {
	sit := newSite(t, 2, 4)
	stop := sit.load()
	vmc := sit.VMs[0]
	good, err := os.ReadFile(vmc.SettingsPath())
	if err != nil {
		t.Fatal(err)
	}
	for _, text := range []string{"node = ", strings.Replace(string(good), "zone = ", "zones = ", 1), string(good) + "\n[new]\nkey = 1\n"} {
		if err = os.WriteFile(vmc.SettingsPath(), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err = vmc.Reload(); err != nil {
			t.Fatal(err)
		}
		time.Sleep(500 * time.Millisecond)
	}
	stop()
	if count := sit.check(); len(count) != 1 || !vmc.Running() {
		t.Fatalf("answers by status: %v", count)
	}
	log := vmc.Tail(10000) // a file may be noticed before the signal and by it
	if strings.Count(log, "settings kept") < 2 || !strings.Contains(log, "settings checked") {
		t.Fatal("the log does not say what became of the files")
	}
}
