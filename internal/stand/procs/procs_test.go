package procs_test

import (
	"os"
	"testing"

	"cardamompass"
	"cardamompass/internal/stand/demo"
	"cardamompass/internal/stand/procs"
)

func TestMain(mmm *testing.M) { os.Exit(procs.Main(mmm)) }

// TestSite guards against helpers that signal the wrong process, lose a process's addresses across a restart, or leave
// a process behind.
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
		tst.Fatal("the entry VM that starts later runs")
	}
	for _, step := range []struct {
		name string
		run  func() error
	}{
		{name: "start of the later entry VM", run: late.Start},
		{name: "all know the later one", run: sit.AwaitReady},
		{name: "freeze", run: one.Freeze},
		{name: "resume", run: one.Resume},
		{name: "kill", run: one.Kill},
		{name: "start again at the same addresses", run: one.Start},
		{name: "all know the new incarnation", run: sit.AwaitReady},
	} {
		if err := step.run(); err != nil {
			tst.Fatalf("%s: %v", step.name, err)
		}
	}
	cleanup()
	for _, vmp := range sit.VMs {
		if vmp.Running() {
			tst.Errorf("%s runs after the clean-up", vmp.Name())
		}
	}
}
