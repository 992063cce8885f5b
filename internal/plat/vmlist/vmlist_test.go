package vmlist_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"go.uber.org/goleak"

	"cardamompass"
	"cardamompass/internal/plat/vmlist"
	"cardamompass/internal/stand/ctrl"
	"cardamompass/internal/stand/vmsrv"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func lister(t *testing.T, hnd http.Handler) *vmlist.Lister {
	t.Helper()
	adr, stop, err := ctrl.Serve("127.0.0.1:0", hnd)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	lst, cleanup, err := vmlist.New(vmlist.Config{
		Address: adr,
		Timeout: 10 * time.Second,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cleanup)
	return lst
}

// Guards against a list that shows changes too early or too late, or does not report its age.
func TestListLag(t *testing.T) {
	clk := ctrl.NewManualClock(time.Unix(1000, 0))
	srv, cleanup, err := vmsrv.New(vmsrv.Config{
		Clock: clk,
		Lag:   10 * time.Second,
	})
	if err != nil {
		t.Fatal(err)
	}
	defer cleanup()
	lst := lister(t, srv)
	vm := cardamompass.ListedVM{
		Name:    "vm-1",
		Address: "127.0.0.1:1",
		Leaving: true,
	}
	srv.Put(vm)
	for _, want := range []int{0, 0, 1} {
		vms, age, err := lst.List(context.Background())
		if err != nil || len(vms) != want || age != 10*time.Second {
			t.Fatalf("list %v of age %v: %v; want %d VMs", vms, age, err, want)
		}
		if want == 1 && vms[0] != vm {
			t.Fatalf("listed %+v, want %+v", vms[0], vm)
		}
		clk.Advance(5 * time.Second)
	}
	srv.Remove("vm-1")
	srv.SetLag(0)
	if vms, _, err := lst.List(context.Background()); err != nil || len(vms) != 0 {
		t.Fatalf("list after the removal: %v, %v", vms, err)
	}
	srv.SetOutage(true)
	if _, _, err := lst.List(context.Background()); err == nil {
		t.Fatal("List succeeded during an outage")
	}
}

// Guards against treating an invalid response as a list without VMs.
func TestListUnreadable(t *testing.T) {
	for _, bdy := range []string{"", "{}", `{"vms":null}`, `{"vms":[],"age-ms":-1}`, "<html>"} {
		lst := lister(t, http.HandlerFunc(func(rsw http.ResponseWriter, _ *http.Request) {
			_, _ = rsw.Write([]byte(bdy))
		}))
		if _, _, err := lst.List(context.Background()); err == nil {
			t.Errorf("response %q was accepted as a list", bdy)
		}
	}
}
