// Package soak_test runs real entry VM processes for a while under faults that are drawn from a seed, and checks the promises to callers
// and targets from what these saw. Faults come in series and overlap.
//
// CI runs the listed seeds for a short time. By hand: go test ./internal/proof/soak -soak.seeds 50 -soak.time 30s
package soak_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"testing"
	"time"

	"cardamompass/internal/stand/fault"
	"cardamompass/internal/stand/pfleet"
	"cardamompass/internal/stand/procs"
	"cardamompass/internal/stand/pstore"
	"cardamompass/internal/stand/ptarg"
)

var (
	seedFlag  = flag.Uint64("soak.seed", 0, "run only this seed")
	seedsFlag = flag.Int("soak.seeds", 0, "run this many new seeds instead of the listed ones")
	timeFlag  = flag.Duration("soak.time", 12*time.Second, "time of faults for each seed")
	vmsFlag   = flag.Int("soak.vms", 6, "number of entry VMs")
	rateFlag  = flag.Int("soak.rate", 120, "requests a second")
)

// seeds run in CI. A seed that ever failed is added with a line on its cause.
var seeds = []uint64{1, 2}

func TestMain(m *testing.M) { os.Exit(procs.Main(m)) }

// Guards against broken promises under faults that nobody thought of together.
func TestSoak(t *testing.T) {
	list := seeds
	if *seedsFlag > 0 {
		list = nil
		for range *seedsFlag {
			list = append(list, rand.Uint64()>>1)
		}
	}
	if *seedFlag != 0 {
		list = []uint64{*seedFlag}
	}
	for _, seed := range list {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) { newSoak(t, seed).run() })
	}
}

// soak is one run.
type soak struct {
	*pfleet.Fleet
	t       *testing.T
	rng     *rand.Rand
	callers *pfleet.Callers
	version int
	left    map[*pfleet.Target]time.Time // when a target's leaving was acknowledged
	events  []string
	begin   time.Time
}

const (
	targets = 16
	slots   = 6
	// recoverTime is the time after the last fault within which the site must serve again.
	recoverTime = 15 * time.Second
)

func newSoak(t *testing.T, seed uint64) (sok *soak) {
	t.Helper()
	flt, stop, err := pfleet.New(pfleet.Config{
		Dir:         t.TempDir(),
		VMs:         *vmsFlag,
		Targets:     targets,
		Slots:       slots,
		ServiceTime: 30 * time.Millisecond,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	cls, stopCallers := pfleet.NewCallers(flt)
	t.Cleanup(stopCallers)
	return &soak{
		Fleet:   flt,
		t:       t,
		rng:     rand.New(rand.NewPCG(seed, 1)),
		callers: cls,
		left:    make(map[*pfleet.Target]time.Time),
	}
}

func (sok *soak) run() {
	sok.configure()
	if err := sok.Start(); err != nil {
		sok.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(sok.t.Context())
	var load sync.WaitGroup
	sok.awaitService("start")
	sok.begin = time.Now()
	load.Go(func() { sok.callers.Run(ctx, *rateFlag, sok.path) })
	for time.Since(sok.begin) < *timeFlag {
		sok.step()
		time.Sleep(time.Duration(sok.rng.IntN(400)) * time.Millisecond)
	}
	sok.heal()
	sok.awaitService("end of the faults")
	cancel()
	load.Wait()
	sok.check()
}

// path is stable while the configuration changes beside it.
func (sok *soak) path(idempotent bool) (path string) {
	if idempotent {
		return "/read/a"
	}
	return "/write/a"
}

func (sok *soak) configure() {
	sok.version++
	sok.Configure(sok.version, []string{"/read/", fmt.Sprintf("/v%d/", sok.version)}, []string{"/write/"})
}

func (sok *soak) note(format string, args ...any) {
	sok.events = append(sok.events, fmt.Sprintf("%6.2fs ", time.Since(sok.begin).Seconds())+fmt.Sprintf(format, args...))
}

// step injects one fault or lifts one. Half of the VMs and of the targets stay without faults, so that there is something to serve with.
func (sok *soak) step() {
	vmc := sok.VMs[sok.rng.IntN((len(sok.VMs)+1)/2)]
	tgt := sok.Targets[sok.rng.IntN(targets/2)]
	switch kind := sok.rng.IntN(14); kind {
	case 0:
		sok.note("kill %s: %v", vmc.Name(), vmc.Kill())
	case 1:
		sok.note("terminate %s: %v", vmc.Name(), vmc.Terminate())
	case 2:
		sok.note("freeze %s: %v", vmc.Name(), vmc.Freeze())
	case 3, 4:
		sok.note("resume %s: %v", vmc.Name(), vmc.Resume())
		if !vmc.Running() {
			sok.note("start %s: %v", vmc.Name(), vmc.Start())
		}
	case 5:
		sok.note("reload %s: %v", vmc.Name(), vmc.Reload())
	case 6:
		flt := sok.storeFaults()
		sok.Store.SetFaults(flt)
		sok.note("store %+v", flt)
	case 7:
		sok.Store.SetFaults(pstore.Faults{})
		sok.Store.Compact()
		sok.note("store healed, history discarded")
	case 8:
		sok.link(vmc.StoreProxy, "store of "+vmc.Name())
	case 9, 10:
		sok.link(tgt.Proxy, tgt.ID)
	case 11:
		flt := []ptarg.Fault{
			ptarg.FaultNone, ptarg.FaultReset, ptarg.FaultTruncated, ptarg.FaultGarbage, ptarg.FaultDuplicated, ptarg.FaultUnframed, ptarg.FaultError,
			ptarg.FaultShed, ptarg.FaultFalse503, ptarg.FaultNoResponse,
		}[sok.rng.IntN(10)]
		tgt.SetFault(flt)
		sok.note("target %s %q", tgt.ID, flt)
	case 12:
		sok.configure()
		sok.note("configuration %d", sok.version)
	default:
		sok.leave(tgt)
	}
}

func (sok *soak) storeFaults() (flt pstore.Faults) {
	return []pstore.Faults{
		{Outage: true},
		{NoReply: true},
		{LoseWriteReplies: true},
		{Delay: 300 * time.Millisecond},
		{RefusedIPs: []string{"127.0.0.1"}},
	}[sok.rng.IntN(5)]
}

// link changes what a proxy does.
func (sok *soak) link(prx *fault.Proxy, name string) {
	switch sok.rng.IntN(6) {
	case 0:
		prx.Drop(fault.Up)
		sok.note("%s: cut towards it", name)
	case 1:
		prx.Drop(fault.Down)
		sok.note("%s: cut from it", name)
	case 2:
		prx.Freeze()
		sok.note("%s: silent", name)
	case 3:
		prx.SetDelay(fault.Down, 200*time.Millisecond)
		sok.note("%s: delayed", name)
	default:
		prx.Resume()
		prx.SetDelay(fault.Down, 0)
		sok.note("%s: healed, connections reset: %v", name, prx.Heal())
	}
}

// leave lets a target say that it leaves, or registers another one.
func (sok *soak) leave(tgt *pfleet.Target) {
	if _, done := sok.left[tgt]; done {
		added, err := sok.AddTarget()
		if err != nil {
			sok.t.Fatal(err)
		}
		sok.note("target %s joins", added.ID)
		return
	}
	sok.Register(tgt, "draining")
	sok.left[tgt] = time.Now()
	sok.note("target %s leaves", tgt.ID)
}

// heal lifts all faults and starts all VMs.
func (sok *soak) heal() {
	sok.note("everything healed")
	sok.Store.SetFaults(pstore.Faults{})
	for _, tgt := range sok.Targets {
		tgt.SetFault(ptarg.FaultNone)
		sok.lift(tgt.Proxy)
	}
	for _, vmc := range sok.VMs {
		sok.lift(vmc.StoreProxy)
		_ = vmc.Resume() // fails for a VM that does not run
		if !vmc.Running() {
			if err := vmc.Start(); err != nil {
				sok.t.Error(err)
			}
		}
	}
}

func (sok *soak) lift(prx *fault.Proxy) {
	prx.Resume()
	prx.SetDelay(fault.Down, 0)
	if err := prx.Heal(); err != nil {
		sok.t.Error(err)
	}
}

// awaitService waits until every VM serves with the newest configuration.
func (sok *soak) awaitService(after string) {
	sok.t.Helper()
	end := time.Now().Add(recoverTime)
	for _, vmc := range sok.VMs {
		for {
			if !vmc.Running() { // it was stopping when everything was healed
				_ = vmc.Start()
			}
			snt := sok.callers.SendTo(sok.t.Context(), vmc.CallerAddress(), fmt.Sprintf("/v%d/a", sok.version), true)
			if snt.Status == 200 {
				break
			}
			if time.Now().After(end) {
				sok.fatal(fmt.Sprintf("%s does not serve %v after the %s: %+v\n%s", vmc.Name(), recoverTime, after, snt, vmc.Tail(8)))
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

func (sok *soak) check() {
	sent := sok.callers.Results()
	found := pfleet.Violations(sent, sok.Targets)
	for tgt, since := range sok.left {
		// Faults of the store and of VMs stretch the bound; after the recovery time nothing excuses work for it.
		if count := pfleet.RunsAfter(sent, tgt, since.Add(*timeFlag+recoverTime)); count > 0 {
			found = append(found, fmt.Sprintf("%s ran %d requests long after it had left", tgt.ID, count))
		}
	}
	served := 0
	for _, snt := range sent {
		if snt.Status == 200 {
			served++
		}
	}
	sok.t.Logf("%d requests, %d served, %d faults", len(sent), served, len(sok.events))
	if served < len(sent)/4 {
		found = append(found, fmt.Sprintf("only %d of %d requests were served", served, len(sent)))
	}
	for _, text := range found {
		sok.t.Error(text)
	}
	if len(found) > 0 {
		sok.fatal("promises broken")
	}
}

// fatal ends the run with what was injected.
func (sok *soak) fatal(text string) {
	sok.t.Helper()
	for _, evt := range sok.events {
		sok.t.Log(evt)
	}
	sok.t.Fatal(text)
}
