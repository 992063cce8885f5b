package view_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"cardamompass"
	"cardamompass/internal/edge/send"
	"cardamompass/internal/fleet/view"
	"cardamompass/internal/stand/fault"
	"cardamompass/internal/stand/pstore"
	"cardamompass/platform"
)

const (
	// slowLink is the slowest link of a VM, 10 Mbit/s, in bytes per second.
	slowLink = 10e6 / 8
	// largeFleet is the number of VMs of a deployment with such links.
	largeFleet = 67
	// applyBound is the time after which a configuration must be in force at VMs with such links.
	applyBound = 3 * time.Second
)

// slowFollower follows a store through a link whose bandwidth is limited.
type slowFollower struct {
	*view.Follower
	t    *testing.T
	sto  *pstore.Store
	link *fault.Proxy
	logs *observer.ObservedLogs
}

// followSlowly returns a follower that has version 1 of a small configuration.
func followSlowly(t *testing.T) (slf *slowFollower) {
	t.Helper()
	slf = newSlowFollower(t)
	slf.configure(1, 1)
	slf.start()
	slf.awaitVersion(1)
	return slf
}

// newSlowFollower returns a follower that is not started.
func newSlowFollower(t *testing.T) (slf *slowFollower) {
	t.Helper()
	sto, stopStore, err := pstore.New("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stopStore)
	prx, stopProxy, err := fault.New(fault.Config{
		Address:    "127.0.0.1:0",
		Upstream:   sto.Address(),
		SendBuffer: 16 << 10,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stopProxy)
	prx.SetBandwidth(fault.Down, slowLink)
	return &slowFollower{
		t:    t,
		sto:  sto,
		link: prx,
	}
}

func (slf *slowFollower) start() {
	slf.t.Helper()
	reg, closeReg := platform.NewRegistry(platform.RegistryConfig{
		Address:           slf.link.Address(),
		Regions:           map[cardamompass.FailureDomain]cardamompass.Region{"z-1": "r-1"},
		Dial:              send.Dialer(time.Second),
		LinkBitsPerSecond: 8 * slowLink,
	})
	slf.t.Cleanup(closeReg)
	core, logs := observer.New(zap.InfoLevel)
	slf.logs = logs
	flw, stop := view.New(view.Config{
		Registry: reg,
		Clock:    cardamompass.SystemClock{},
		Log:      zap.New(core),
	})
	slf.t.Cleanup(stop)
	slf.Follower = flw
}

// largeTable is the size of a configuration in bytes, close to the limit of the store's values.
const largeTable = 1000 << 10

// configure writes a version of the configuration with about size bytes. They are those of one name, so that the test needs little
// processor time besides the transfer.
func (slf *slowFollower) configure(version, size int) {
	slf.sto.PutRaw("op/config", fmt.Appendf(nil, `{"version":"%08x","routes":[{"name":"%s","host":"site.example","prefix":"/a/","kind":"idempotent",`+
		`"timeoutS":1.5,"targetLatencyS":0.4,"service":"svc-1","attempts":2}]}`, version, strings.Repeat("n", size)))
}

// addVMs adds entries of other VMs to the store. The pause between two watches grows with their number.
func (slf *slowFollower) addVMs(count int) {
	slf.t.Helper()
	for num := range count {
		slf.sto.Put(fmt.Sprintf("vm/vm-%d", num), map[string]string{"region": "r-1"})
	}
	waitFor(slf.t, applyBound, "entries of VMs", func() bool { return len(slf.View().VMs()) == count })
}

func (slf *slowFollower) awaitVersion(version uint64) {
	slf.t.Helper()
	for end := time.Now().Add(applyBound); ; time.Sleep(5 * time.Millisecond) {
		if tbl := slf.View().Table; tbl != nil && tbl.Version == version {
			return
		}
		if time.Now().After(end) {
			for _, ent := range slf.logs.All() {
				slf.t.Log(ent.Time.Format("05.000"), ent.Message, ent.ContextMap()["error"], ent.ContextMap()["reason"])
			}
			slf.t.Fatalf("version %d is not in force after %v", version, applyBound)
		}
	}
}

// Guards against a large configuration that never comes into force on a slow link, because each response that brings it is given up
// after a fixed time and requested again.
func TestLargeConfigurationOnSlowLink(t *testing.T) {
	slf := followSlowly(t)
	for version := 2; version < 8; version++ {
		time.Sleep(time.Duration(version) * 250 * time.Millisecond) // the change comes at different times of a watch
		slf.configure(version, largeTable+version)
		slf.awaitVersion(uint64(version))
	}
	if lost := slf.logs.FilterMessage("store lost").Len(); lost > 0 {
		t.Errorf("the store counted as lost %d times while it answered", lost)
	}
}

// Guards against a VM on a slow link that reads each version of a large configuration that has changed several times, or reads the whole store to
// skip some, while the newest version must be in force within the bound. The versions come at two paces: several within one transfer, and
// one a little later than a transfer takes.
func TestLargeConfigurationChangesQuickly(t *testing.T) {
	for _, tst := range []struct {
		name     string
		interval time.Duration
		versions int
	}{
		{"several versions within a transfer", 330 * time.Millisecond, 12},
		{"a version after each transfer", 1100 * time.Millisecond, 5},
	} {
		t.Run(tst.name, func(t *testing.T) {
			slf := followSlowly(t)
			slf.addVMs(largeFleet)
			accepted := make(map[uint64]time.Time)
			last, applied := uint64(1), uint64(1)
			for next := time.Now(); applied < uint64(tst.versions)+1; time.Sleep(5 * time.Millisecond) {
				now := time.Now()
				if last <= uint64(tst.versions) && !now.Before(next) {
					last++
					slf.configure(int(last), largeTable+int(last))
					accepted[last] = time.Now()
					next = now.Add(tst.interval)
				}
				for ; applied < slf.View().Table.Version; applied++ {
					t.Logf("version %d in force after %v", applied+1, now.Sub(accepted[applied+1]))
				}
				if applied < last && now.Sub(accepted[applied+1]) > applyBound {
					t.Fatalf("version %d is not in force after %v", applied+1, applyBound)
				}
			}
		})
	}
}

// Guards against changes that wait until a large configuration has arrived: a target that leaves, and a failure domain that is evacuated.
func TestSmallChangesDuringLargeTransfer(t *testing.T) {
	const bound = 750 * time.Millisecond // a transfer takes 1 s
	slf := followSlowly(t)
	slf.sto.PutRaw("servers/i-1", registration("ready", 1))
	waitFor(t, applyBound, "registration", func() bool { return len(slf.View().All()) == 1 })
	version := 2
	slf.configure(version, largeTable) // the first large version, from which the duration of a transfer is known
	slf.awaitVersion(uint64(version))
	for round := range 3 {
		version++
		before := slf.link.Stats().BytesDown
		slf.configure(version, largeTable+version)
		waitFor(t, applyBound, "begin of the transfer", func() bool { return slf.link.Stats().BytesDown > before+100_000 })
		zone := cardamompass.FailureDomain(fmt.Sprintf("z-%d", round+2))
		slf.sto.PutRaw("op/evacuate/"+string(zone), []byte("{}"))
		state := []string{"draining", "ready"}[round%2]
		slf.sto.PutRaw("servers/i-1", registration(state, round+2))
		waitFor(t, bound, "evacuation and state of the target", func() bool {
			ins, _ := slf.View().Instance("i-1")
			return slf.View().Evacuated(zone) && ins.Leaving == (state == "draining")
		})
		slf.awaitVersion(uint64(version))
	}
	slf.sto.Delete("servers/i-1")
	waitFor(t, applyBound, "removal", func() bool { return len(slf.View().All()) == 0 })
}

// registration returns the store entry of a target.
func registration(state string, seq int) (data []byte) {
	return fmt.Appendf(nil, `{"addr":"10.0.0.1:1","born":1,"info":{"service":"svc-1","zone":"z-1","slots":3},"status":{"state":"%s","seq":%d,"coldLeftS":0}}`,
		state, seq)
}

// Guards against a listing that never ends because it takes longer than a fixed time: at the start of a VM, and after it has lost the
// history. With verySlowLink, the listing of a large configuration takes longer than the patience for its beginning ever is.
func TestLargeListingOnSlowLink(t *testing.T) {
	const (
		verySlowLink = slowLink / 12
		bound        = 20 * time.Second
	)
	t.Run("start", func(t *testing.T) {
		t.Parallel()
		slf := newSlowFollower(t)
		slf.link.SetBandwidth(fault.Down, verySlowLink)
		slf.configure(1, largeTable)
		slf.start()
		waitFor(t, bound, "version 1", func() bool { return slf.View().Table != nil })
	})
	t.Run("history lost", func(t *testing.T) {
		t.Parallel()
		slf := followSlowly(t)
		slf.link.Cut()
		slf.configure(2, largeTable)
		slf.sto.Compact()
		if err := slf.link.Heal(); err != nil {
			t.Fatal(err)
		}
		slf.link.SetBandwidth(fault.Down, verySlowLink)
		waitFor(t, bound, "version 2", func() bool { return slf.View().Table.Version == 2 })
	})
}

// Guards against a response that stalls and blocks all later changes.
func TestResponseThatStalls(t *testing.T) {
	slf := followSlowly(t)
	before := slf.link.Stats().BytesDown
	slf.configure(2, largeTable)
	waitFor(t, applyBound, "begin of the response", func() bool { return slf.link.Stats().BytesDown > before+100_000 })
	slf.link.Drop(fault.Down)
	waitFor(t, applyBound, "loss of the store", func() bool { return slf.logs.FilterMessage("store lost").Len() == 1 })
	if err := slf.link.Heal(); err != nil {
		t.Fatal(err)
	}
	slf.link.SetBandwidth(fault.Down, slowLink)
	slf.awaitVersion(2)
}

// Guards against an outage that a VM of a large fleet notices only at the end of a long watch, and against one that is taken for an outage
// although only another call has failed.
func TestCheckEndsLongWatch(t *testing.T) {
	const bound = 1500 * time.Millisecond
	slf := followSlowly(t)
	slf.addVMs(largeFleet)
	time.Sleep(bound) // the next watch has begun
	slf.Check()
	slf.sto.PutRaw("op/evacuate/z-1", []byte("{}"))
	waitFor(t, bound, "a change after a check", func() bool { return slf.View().Evacuated("z-1") })
	if slf.logs.FilterMessage("store lost").Len() > 0 {
		t.Error("the store counted as lost although it answered")
	}
	time.Sleep(bound)
	slf.sto.SetFaults(pstore.Faults{
		NoReply: true,
	})
	slf.Check()
	waitFor(t, bound, "the outage", func() bool { return slf.OutageAge() > 0 })
	slf.sto.SetFaults(pstore.Faults{})
	waitFor(t, bound, "the end of the outage", func() bool { return slf.OutageAge() == 0 })
}

// Guards against changes that are never read while there is no configuration: the response to the watch would take long, and the read of
// the configuration in its place failed each time.
func TestChangesWithoutTable(t *testing.T) {
	for _, largeHistory := range []bool{false, true} {
		t.Run(fmt.Sprint("versions in the history: ", largeHistory), func(t *testing.T) {
			slf := followSlowly(t)
			if !largeHistory {
				slf.sto.Delete("op/config")
				waitFor(t, changeBound, "the store", func() bool { return slf.StoreAge() < 300*time.Millisecond })
				time.Sleep(500 * time.Millisecond)
			}
			slf.link.Cut()
			if largeHistory {
				slf.configure(2, largeTable)
				slf.sto.Delete("op/config")
			}
			for num := range 450 {
				slf.sto.Put(fmt.Sprint("servers/i-", num), map[string]any{"addr": strings.Repeat("a", 2000)})
			}
			slf.sto.Put("op/evacuate/z-1", 1)
			if err := slf.link.Heal(); err != nil {
				t.Fatal(err)
			}
			waitFor(t, 10*time.Second, "change", func() bool {
				return slf.View().Evacuated("z-1") && slf.OutageAge() == 0
			})
			revision := slf.View().Revision
			slf.sto.Put("vm/none", 1)
			waitFor(t, 10*time.Second, "further revision", func() bool { return slf.View().Revision > revision })
			time.Sleep(time.Second)
			if rejected := slf.logs.FilterMessage("entry rejected").Len(); rejected > 2*451 {
				t.Errorf("%d changes read instead of 451", rejected)
			}
		})
	}
}
