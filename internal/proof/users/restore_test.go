package users_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"cardamompass/internal/stand/pfleet"
	"cardamompass/internal/stand/pstore"
)

// The drill of CI is short and always the same; longer ones with other seeds are started by hand.
var (
	drillSeed = flag.Uint64("drill.seed", 1, "seed of TestRestoreDrill")
	drillTime = flag.Duration("drill.time", 25*time.Second, "length of TestRestoreDrill")
)

// drillStable is the time without trouble after which the bounds hold.
const drillStable = 3 * time.Second

// drill plays an operator who changes the configuration all the time, a store that comes back from copies, and VMs that are restarted.
type drill struct {
	*testFleet
	rnd *rand.Rand
	// version is the newest one that is acknowledged, at ackedAt. Each version has a route of its own and that of the one before.
	version int
	ackedAt time.Time
	// quietFrom is when the store was last in trouble, startedAt when each VM was last started or stopped.
	quietFrom time.Time
	startedAt map[*pfleet.VM]time.Time
	probes    int
}

func (drl *drill) between(low, high time.Duration) (dur time.Duration) {
	return low + time.Duration(drl.rnd.Int64N(int64(high-low)))
}

// routeOf returns the prefix of the route that a version adds.
func routeOf(version int) (prefix string) { return fmt.Sprintf("/version-%d/", version) }

func (drl *drill) write() {
	drl.Configure(drl.version, []string{"/read/", routeOf(drl.version), routeOf(drl.version - 1)}, writes)
}

func (drl *drill) change() {
	drl.version++
	drl.write()
	drl.ackedAt = time.Now()
}

// restore makes the store go away and come back from a copy. The operator writes the newest version again, and at times further ones at once.
func (drl *drill) restore(saved pstore.Copy) {
	kind := drl.rnd.IntN(3)
	drl.Store.SetFaults([]pstore.Faults{{}, {NoReply: true}, {Outage: true}}[kind])
	if kind > 0 {
		time.Sleep(drl.between(50*time.Millisecond, 2*time.Second))
	}
	drl.Store.Restore(saved)
	drl.write()
	for range drl.rnd.IntN(4) {
		drl.change()
	}
	drl.Store.SetFaults(pstore.Faults{})
	drl.quietFrom = time.Now()
}

// restart stops a VM as planned and starts it again.
func (drl *drill) restart(vmc *pfleet.VM) {
	if err := vmc.Terminate(); err != nil {
		drl.t.Fatal(err)
	}
	if err := vmc.Wait(); err != nil {
		drl.t.Fatalf("%v\n%s", err, vmc.Tail(10))
	}
	if err := vmc.Start(); err != nil {
		drl.t.Fatal(err)
	}
	drl.startedAt[vmc] = time.Now()
}

// probe sends a request on the route of the newest version to each VM for which the bounds hold.
func (drl *drill) probe() {
	now := time.Now()
	if now.Sub(drl.quietFrom) < drillStable || now.Sub(drl.ackedAt) < pfleet.ConfigBound {
		return
	}
	for _, vmc := range drl.VMs {
		if now.Sub(drl.startedAt[vmc]) < drillStable {
			continue
		}
		drl.probes++
		if res := drl.callers.SendTo(drl.t.Context(), vmc.CallerAddress(), routeOf(drl.version)+"a", true); res.Status == http.StatusNotFound {
			drl.t.Errorf("%s does not know version %d, %v after its acknowledgement and %v after the store was back",
				vmc.Name(), drl.version, now.Sub(drl.ackedAt), now.Sub(drl.quietFrom))
		}
	}
}

// Guards against VMs that serve by an old configuration after the store has come back from a copy, while the configuration changes and VMs
// are restarted. The users saw it on their machines (CONFIG on mbmu-rain, 538 cases).
func TestRestoreDrill(t *testing.T) {
	tfl := newTestFleet(t, 7, 8)
	drl := &drill{
		testFleet: tfl,
		rnd:       rand.New(rand.NewPCG(*drillSeed, 0)),
		version:   1,
		ackedAt:   time.Now(),
		startedAt: make(map[*pfleet.VM]time.Time),
	}
	saved, savedAt := tfl.Store.Copy(), time.Now()
	nextChange, nextRestore, nextRestart := time.Now(), time.Now().Add(4*time.Second), time.Now().Add(2*time.Second)
	for end := time.Now().Add(*drillTime); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		now := time.Now()
		drl.probe()
		if now.After(nextChange) {
			drl.change()
			nextChange = time.Now().Add(drl.between(200*time.Millisecond, 5*time.Second))
		}
		if now.Sub(savedAt) > 6*time.Second {
			saved, savedAt = tfl.Store.Copy(), now
		}
		if now.After(nextRestore) {
			drl.restore(saved)
			nextRestore = time.Now().Add(drl.between(7*time.Second, 14*time.Second))
		}
		if now.After(nextRestart) {
			drl.restart(tfl.VMs[drl.rnd.IntN(len(tfl.VMs))])
			nextRestart = time.Now().Add(drl.between(2*time.Second, 8*time.Second))
		}
	}
	t.Logf("seed %d: %d probes up to version %d", *drillSeed, drl.probes, drl.version)
	if drl.probes == 0 {
		t.Error("nothing was probed")
	}
}
