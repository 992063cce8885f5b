package procs_test

import (
	"os"
	"testing"

	"cardamompass"
	"cardamompass/internal/stand/demo"
	"cardamompass/internal/stand/procs"
)

func TestMain(mmm *testing.M) { os.Exit(procs.Main(mmm)) }

// TestSite guards against functions that signal the wrong process, change a process's addresses on a restart, or leave a
// process running.
func TestSite(tst *testing.T) {
	sml, err := demo.Small(nil)
	if err != nil {
		tst.Fatal(err)
	}
	sit, cleanup, err := procs.New(procs.Config{
		Dir: tst.TempDir(),
		VMs: []procs.Place{
			{ID: "one", Region: "gulf", FailureDomain: "a"},
			{ID: "two", Region: "gulf", FailureDomain: "b"},
			{ID: "late", Region: "delta", FailureDomain: "a"},
		},
		NotStarted:    []cardamompass.VMID{"late"},
		Document:      sml.Document,
		Targets:       sml.Targets[:2],
		StoreProxies:  true,
		PeerProxies:   true,
		TargetProxies: true,
	})
	if err != nil {
		tst.Fatal(err)
	}
	defer cleanup()
	one, late := sit.VM("one"), sit.VM("late")
	if late.Running() {
		tst.Fatal("the entry VM of NotStarted is running")
	}
	for _, step := range []struct {
		name string
		run  func() error
	}{
		{name: "start of the entry VM of NotStarted", run: late.Start},
		{name: "all list it as alive", run: sit.AwaitReady},
		{name: "freeze", run: one.Freeze},
		{name: "resume", run: one.Resume},
		{name: "kill", run: one.Kill},
		{name: "restart at the same addresses", run: one.Start},
		{name: "all list the new incarnation as alive", run: sit.AwaitReady},
	} {
		if err := step.run(); err != nil {
			tst.Fatalf("%s: %v", step.name, err)
		}
	}
	cleanup()
	for _, vmp := range sit.VMs {
		if vmp.Running() {
			tst.Errorf("%s is running after the clean-up", vmp.Name())
		}
	}
}
