package cast_test

import (
	"fmt"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"cardamompass"
	"cardamompass/internal/fleet/cast"
)

// node is one VM of a test.
type node struct {
	*cast.Exchanger
	self cardamompass.VM

	mu      sync.Mutex
	reports []cast.Report
}

func (nod *node) heard(reports []cast.Report) {
	nod.mu.Lock()
	defer nod.mu.Unlock()
	nod.reports = append(nod.reports, reports...)
}

func (nod *node) got() (reports []cast.Report) {
	nod.mu.Lock()
	defer nod.mu.Unlock()
	return slices.Clone(nod.reports)
}

// newNodes returns running VMs of these names.
func newNodes(t *testing.T, names ...string) (nodes []*node) {
	t.Helper()
	var vms []cardamompass.VM
	for _, name := range names {
		vms = append(vms, cardamompass.VM{ID: cardamompass.VMID(name)})
	}
	return newNodesOf(t, vms...)
}

// newNodesOf returns running VMs in one region, each with an address of its own.
func newNodesOf(t *testing.T, vms ...cardamompass.VM) (nodes []*node) {
	t.Helper()
	var all []cardamompass.VM
	for _, vmc := range vms {
		lsn, err := net.ListenPacket("udp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		vmc.Region = "r"
		vmc.PeerAddress = lsn.LocalAddr().String()
		lsn.Close()
		all = append(all, vmc)
		nodes = append(nodes, &node{self: vmc})
	}
	for _, nod := range nodes {
		cst, stop, err := cast.New(cast.Config{
			Self:      nod.self,
			ListedVMs: func() []cardamompass.VM { return all },
			OnReports: nod.heard,
			Clock:     cardamompass.SystemClock{},
			Log:       zap.NewNop(),
		})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(stop)
		nod.Exchanger = cst
	}
	return nodes
}

func await(t *testing.T, what string, cond func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !cond(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("not reached: " + what)
		}
	}
}

// Guards against loads that do not reach the other VMs, or reach them changed.
func TestReportsReachTheOthers(t *testing.T) {
	nodes := newNodes(t, "vm-1", "vm-2", "vm-3")
	lod := cardamompass.Load{
		Running:  3,
		Waiting:  2,
		Slots:    6,
		Slowness: 2.5,
	}
	nodes[0].RecordLoad("i-1", lod)
	for _, nod := range nodes[1:] {
		await(t, "report at "+string(nod.self.ID), func() bool { return len(nod.got()) > 0 })
		if rpt := nod.got()[0]; rpt.Instance != "i-1" || rpt.Load != lod || rpt.Age < 0 || rpt.Age > 5*time.Second {
			t.Fatalf("report %+v", rpt)
		}
	}
	if len(nodes[0].got()) > 0 {
		t.Fatal("a VM hears itself")
	}
}

// Guards against look-ups that name a VM that stops, or leave out one that serves.
func TestRunningVMs(t *testing.T) {
	nodes := newNodes(t, "vm-1", "vm-2")
	await(t, "both heard", func() bool { return len(nodes[0].Running()) == 1 && len(nodes[1].Running()) == 1 })
	nodes[1].AnnounceStop()
	await(t, "the stop heard", func() bool { return len(nodes[0].Running()) == 0 })
	time.Sleep(time.Second) // later datagrams must not bring it back
	if vms := nodes[0].Running(); len(vms) > 0 {
		t.Fatalf("running %v", vms)
	}
}

// Guards against writes into the list of the VMs' owner: appending the heard VMs to it overwrote what stood behind its end, which other
// goroutines use at the same time.
func TestListedVMsAreNotChanged(t *testing.T) {
	lsn, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := lsn.LocalAddr().String()
	lsn.Close()
	behind := cardamompass.VM{
		ID: "behind",
	}
	listed := []cardamompass.VM{{ID: "vm-1"}, behind}
	cst, stop, err := cast.New(cast.Config{
		Self: cardamompass.VM{
			ID:          "vm-1",
			PeerAddress: address,
		},
		ListedVMs: func() []cardamompass.VM { return listed[:1] },
		OnReports: func([]cast.Report) {},
		Clock:     cardamompass.SystemClock{},
		Log:       zap.NewNop(),
	})
	if err != nil {
		t.Fatal(err)
	}
	defer stop()
	con, err := net.Dial("udp4", address)
	if err != nil {
		t.Fatal(err)
	}
	defer con.Close()
	data, err := msgpack.Marshal([]any{"vm-2", 1, "r", "d", "127.0.0.1:1", "127.0.0.1:2", false, []any{}, 100})
	if err != nil {
		t.Fatal(err)
	}
	if _, err = con.Write(data); err != nil {
		t.Fatal(err)
	}
	await(t, "vm-2 heard", func() bool { return len(cst.Running()) == 1 })
	cst.AnnounceStop() // sends a datagram to the listed and the heard VMs
	if listed[1] != behind {
		t.Fatalf("the list was changed: %+v", listed)
	}
}

// Guards against loads that go to VMs with few requests as often as to those with many: a busy VM can afford one full datagram at a time.
func TestStrongVMsHearMore(t *testing.T) {
	const rounds = 30
	nodes := newNodesOf(t, cardamompass.VM{ID: "vm-1"}, cardamompass.VM{ID: "vm-2", Capacity: 1000}, cardamompass.VM{ID: "vm-3", Capacity: 1})
	for round := range rounds {
		for num := range 30 {
			nodes[0].RecordLoad(cardamompass.InstanceID(fmt.Sprintf("i-%d-%d", round, num)), cardamompass.Load{Slots: 6, Slowness: 1})
		}
		time.Sleep(cast.Interval)
	}
	await(t, "loads at the strong VM", func() bool { return len(nodes[1].got()) > 0 })
	if strong, weak := len(nodes[1].got()), len(nodes[2].got()); weak > strong/2 {
		t.Fatalf("%d loads at the strong VM, %d at the weak one", strong, weak)
	}
}

// Guards against a datagram of anybody that ends the exchange.
func TestForeignDatagrams(t *testing.T) {
	nodes := newNodes(t, "vm-1", "vm-2")
	con, err := net.Dial("udp4", nodes[1].self.PeerAddress)
	if err != nil {
		t.Fatal(err)
	}
	defer con.Close()
	for _, data := range [][]byte{{}, {0xff}, []byte("hello"), make([]byte, 5000), {0x81, 0xa1, 0x6c, 0x91, 0x80}} {
		if _, err = con.Write(data); err != nil {
			t.Fatal(err)
		}
	}
	nodes[0].RecordLoad("i-1", cardamompass.Load{Slots: 6, Slowness: 1})
	await(t, "report after foreign datagrams", func() bool { return len(nodes[1].got()) > 0 })
}
