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

// node is a VM of a test and the reports that it received.
type node struct {
	*cast.Exchanger
	self cardamompass.VM

	mu         sync.Mutex
	reports    []cast.Report
	departures []cast.Departure
}

func (nod *node) onReports(reports []cast.Report) {
	nod.mu.Lock()
	defer nod.mu.Unlock()
	nod.reports = append(nod.reports, reports...)
}

func (nod *node) onDepartures(departures []cast.Departure) {
	nod.mu.Lock()
	defer nod.mu.Unlock()
	nod.departures = append(nod.departures, departures...)
}

func (nod *node) receivedDepartures() (departures []cast.Departure) {
	nod.mu.Lock()
	defer nod.mu.Unlock()
	return slices.Clone(nod.departures)
}

func (nod *node) received() (reports []cast.Report) {
	nod.mu.Lock()
	defer nod.mu.Unlock()
	return slices.Clone(nod.reports)
}

// newNodes returns running VMs with these names.
func newNodes(t *testing.T, names ...string) (nodes []*node) {
	t.Helper()
	var vms []cardamompass.VM
	for _, name := range names {
		vms = append(vms, cardamompass.VM{ID: cardamompass.VMID(name)})
	}
	return newNodesOf(t, vms...)
}

// newNodesOf returns running VMs in one region, each with its own address.
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
		exc, stop, err := cast.New(cast.Config{
			Self:         nod.self,
			ListedVMs:    func() []cardamompass.VM { return all },
			OnReports:    nod.onReports,
			OnDepartures: nod.onDepartures,
			Clock:        cardamompass.SystemClock{},
			Log:          zap.NewNop(),
		})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(stop)
		nod.Exchanger = exc
	}
	return nodes
}

func waitFor(t *testing.T, what string, cond func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !cond(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("not reached in time: " + what)
		}
	}
}

// Guards against reports that do not reach the other VMs, or reach them changed.
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
		waitFor(t, "report at "+string(nod.self.ID), func() bool { return len(nod.received()) > 0 })
		if rpt := nod.received()[0]; rpt.Instance != "i-1" || rpt.Load != lod || rpt.Age < 0 || rpt.Age > 5*time.Second {
			t.Fatalf("report %+v", rpt)
		}
	}
	if len(nodes[0].received()) > 0 {
		t.Fatal("a VM received its own report")
	}
}

// Guards against look-ups that return a VM that is stopping, or omit one that serves.
func TestRunningVMs(t *testing.T) {
	nodes := newNodes(t, "vm-1", "vm-2")
	waitFor(t, "a datagram from each VM", func() bool { return len(nodes[0].Running()) == 1 && len(nodes[1].Running()) == 1 })
	nodes[1].AnnounceStop()
	waitFor(t, "the announcement of the stop", func() bool { return len(nodes[0].Running()) == 0 })
	time.Sleep(time.Second) // later datagrams must not make it count as running again
	if vms := nodes[0].Running(); len(vms) > 0 {
		t.Fatalf("running %v", vms)
	}
}

// Guards against writes into the slice returned by ListedVMs: appending to it overwrote the elements after its end, which other
// goroutines use at the same time.
func TestListedVMsAreNotChanged(t *testing.T) {
	lsn, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := lsn.LocalAddr().String()
	lsn.Close()
	beyond := cardamompass.VM{
		ID: "beyond",
	}
	listed := []cardamompass.VM{{ID: "vm-1"}, beyond}
	exc, stop, err := cast.New(cast.Config{
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
	waitFor(t, "a datagram from vm-2", func() bool { return len(exc.Running()) == 1 })
	exc.AnnounceStop() // sends a datagram to the listed and the running VMs
	if listed[1] != beyond {
		t.Fatalf("the list was changed: %+v", listed)
	}
}

// Guards against datagrams that go to VMs of low capacity as often as to those of high capacity: the bandwidth limit allows a busy VM
// one full datagram at a time.
func TestHighCapacityVMsReceiveMore(t *testing.T) {
	const rounds = 30
	nodes := newNodesOf(t, cardamompass.VM{ID: "vm-1"}, cardamompass.VM{ID: "vm-2", Capacity: 1000}, cardamompass.VM{ID: "vm-3", Capacity: 1})
	for round := range rounds {
		for num := range 30 {
			nodes[0].RecordLoad(cardamompass.InstanceID(fmt.Sprintf("i-%d-%d", round, num)), cardamompass.Load{Slots: 6, Slowness: 1})
		}
		time.Sleep(cast.Interval)
	}
	waitFor(t, "reports at the VM of high capacity", func() bool { return len(nodes[1].received()) > 0 })
	if high, low := len(nodes[1].received()), len(nodes[2].received()); low > high/2 {
		t.Fatalf("%d reports at the VM of high capacity, %d at the other one", high, low)
	}
}

// Guards against an invalid datagram that ends the exchange.
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
	waitFor(t, "report after invalid datagrams", func() bool { return len(nodes[1].received()) > 0 })
}

// Guards against a leaving target that gets requests of the other VMs for as long as the store does not say that it leaves.
func TestDeparturesReachTheOthers(t *testing.T) {
	nodes := newNodes(t, "vm-1", "vm-2", "vm-3")
	dep := cast.Departure{
		Instance:    "i-1",
		StartMillis: 1_765_000_000_123,
	}
	nodes[0].RecordDeparture(dep)
	for _, nod := range nodes[1:] {
		waitFor(t, "departure at "+string(nod.self.ID), func() bool { return len(nod.receivedDepartures()) > 0 })
		if got := nod.receivedDepartures()[0]; got != dep {
			t.Fatalf("departure %+v, want %+v", got, dep)
		}
		if len(nod.received()) > 0 {
			t.Fatalf("the departure was taken for the load report %+v", nod.received())
		}
	}
}

// Guards against a change of the datagram that makes the VMs of a fleet deaf to each other while it is upgraded. A VM rejects an array
// of another length, and the build of 2d722ac ignores reports without slots.
func TestDatagramOfEarlierVersion(t *testing.T) {
	lsn, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer lsn.Close()
	nodes := newNodesOf(t, cardamompass.VM{ID: "vm-1"})
	con, err := net.Dial("udp4", nodes[0].self.PeerAddress)
	if err != nil {
		t.Fatal(err)
	}
	defer con.Close()
	// As 2d722ac encodes it: VM, incarnation, region, failure domain, caller address, peer address, stopping, reports, capacity.
	earlier, err := msgpack.Marshal([]any{
		"vm-2", uint64(7), "r", "r-1", "127.0.0.1:1", lsn.LocalAddr().String(), false,
		[]any{[]any{"i-1", 3, 2, 6, 150, 40}},
		1600,
	})
	if err != nil {
		t.Fatal(err)
	}
	if _, err = con.Write(earlier); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the report of the earlier version", func() bool { return len(nodes[0].received()) == 1 })
	if rpt := nodes[0].received()[0]; rpt.Instance != "i-1" || rpt.Load.Running != 3 || rpt.Load.Slowness != 1.5 {
		t.Fatalf("report %+v", rpt)
	}
	nodes[0].RecordDeparture(cast.Departure{
		Instance:    "i-2",
		StartMillis: 5,
	})
	buf := make([]byte, 4096)
	if err = lsn.SetReadDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	for departures := 0; departures == 0; {
		num, _, err := lsn.ReadFrom(buf)
		if err != nil {
			t.Fatal(err)
		}
		var fields []any
		if err = msgpack.Unmarshal(buf[:num], &fields); err != nil || len(fields) != 9 {
			t.Fatalf("%d fields, error %v, want the 9 of the earlier version", len(fields), err)
		}
		reports, _ := fields[7].([]any)
		for _, rpt := range reports {
			values, _ := rpt.([]any)
			if len(values) != 6 || fmt.Sprint(values[3]) != "0" {
				t.Fatalf("report %v: the earlier version takes it for a load", values)
			}
			departures++
		}
	}
}
