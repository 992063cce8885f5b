package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"cardamompass"
	"cardamompass/internal/fleet/member"
	"cardamompass/internal/fleet/peer"
)

const (
	// settleTime is enough for a simulated fleet to join and to disseminate all updates.
	settleTime = 8 * time.Minute
	steadyTime = 4 * time.Minute
	// editLimit is the time after which a VM that has not received an edit counts as missed.
	editLimit = 30 * time.Second
	edits     = 20
	// editLoss is the fraction of messages that are lost while edits are disseminated.
	editLoss = 0.01
)

var sizes = []int{7, 50, 200, 430}

// echoService replies to pings with the same message, so that only the transport is measured.
type echoService struct{}

func (echoService) Ping(args member.Message, reply *member.Message) error {
	*reply = args
	return nil
}

// steadyMessage returns a probe message of the steady state.
func steadyMessage() member.Message {
	sml := newSim(1, 1)
	sml.start()
	return sml.nodes[0].withPayload(member.Message{
		From:    sml.nodes[0].mch.Self(),
		Digest:  1 << 60,
		Settled: true,
	})
}

// newProbe returns a function that makes one probe over loopback and returns its size on the wire in bytes, both directions together.
func newProbe(b *testing.B) (probe func() uint64) {
	key := []byte("0123456789abcdef")
	srv, stopServer, err := peer.NewServer(peer.ServerConfig{
		Address: "127.0.0.1:0",
		Key:     key,
	})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(stopServer)
	if err = srv.Register("Member", echoService{}); err != nil {
		b.Fatal(err)
	}
	srv.Start()
	cli, stopClient, err := peer.NewClient(peer.ClientConfig{
		Key: key,
	})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(stopClient)
	msg := steadyMessage()
	return func() uint64 {
		before := cli.Traffic()
		if err := cli.Call(b.Context(), srv.Address(), "Member.Ping", msg, &member.Message{}); err != nil {
			b.Fatal(err)
		}
		after := cli.Traffic()
		return after.BytesIn + after.BytesOut - before.BytesIn - before.BytesOut
	}
}

// connectionBytes returns the bytes that a new connection costs in addition to a probe.
func connectionBytes(b *testing.B) int {
	probe := newProbe(b)
	first := probe()
	return int(first - probe())
}

// BenchmarkWire measures one probe with its reply over loopback, with both sides in this process. It reports the size that the
// simulation assumes beside the actual one.
func BenchmarkWire(b *testing.B) {
	probe := newProbe(b)
	first := probe()
	var size uint64
	for b.Loop() {
		size = probe()
	}
	b.ReportMetric(float64(size), "wire-B/probe")
	b.ReportMetric(float64(2*newWireMeter().messageSize(steadyMessage())), "simulated-B/probe")
	b.ReportMetric(float64(first-size), "wire-B/connection")
}

// newSteadySim returns a simulated fleet in the steady state whose VMs have the document.
func newSteadySim(b *testing.B, size, fanout int, summaries bool, dcm doc) (sml *sim) {
	sml = newSim(seed(b), size)
	sml.wire.connectionSize = connectionBytes(b)
	sml.fanout, sml.attachSummaries = fanout, true
	sml.start()
	sml.store.edit(dcm)
	sml.run(settleTime)
	if msg := sml.disagreement(); msg != "" {
		b.Fatal(msg)
	}
	if cnt := sml.missing(dcm); cnt > 0 {
		b.Fatalf("%d VMs without the document", cnt)
	}
	sml.attachSummaries = summaries
	for _, nod := range sml.nodes {
		nod.memberBytes, nod.spreadBytes, nod.calls, nod.cpu = 0, 0, 0, 0
	}
	sml.store.calls = 0
	return sml
}

// missing returns the number of VMs that do not have a document.
func (sml *sim) missing(dcm doc) (cnt int) {
	want := dcm.Digest()
	for _, nod := range sml.nodes {
		if nod.cor.Summary().Digest != want {
			cnt++
		}
	}
	return cnt
}

// BenchmarkDissemination reports the cost of catalogue dissemination in the steady state, and the time until the last VM has an
// edit while 1% of the messages are lost.
func BenchmarkDissemination(b *testing.B) {
	variants := []struct {
		name      string
		fanout    int
		summaries bool
	}{
		{name: "push", summaries: false},
		{name: "pull", fanout: -1, summaries: true},
		{name: "both", summaries: true},
	}
	for _, size := range sizes {
		for _, vrt := range variants {
			b.Run(fmt.Sprintf("vms=%d/%s", size, vrt.name), func(b *testing.B) {
				for b.Loop() {
					reportDissemination(b, size, vrt.fanout, vrt.summaries)
				}
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

func reportDissemination(b *testing.B, size, fanout int, summaries bool) {
	dcm := doc{}
	for num := range 300 {
		dcm = dcm.with(fmt.Sprintf("entry-%d", num), int64(num+1))
	}
	sml := newSteadySim(b, size, fanout, summaries, dcm)
	sml.run(steadyTime)
	steady := sml.sumNodes(func(nod *node) int { return nod.spreadBytes })
	steadyCalls := sml.store.calls
	sml.loss = editLoss
	var (
		total, longest time.Duration
		missed         int
	)
	before := sml.sumNodes(func(nod *node) int { return nod.spreadBytes })
	for num := range edits {
		dcm = dcm.with(fmt.Sprintf("entry-%d", num), int64(1000+num))
		sml.store.edit(dcm)
		dur := sml.runUntil(editLimit, func() bool { return sml.missing(dcm) == 0 })
		missed += sml.missing(dcm)
		total += dur
		longest = max(longest, dur)
		sml.run(editLimit - dur)
	}
	spent := sml.sumNodes(func(nod *node) int { return nod.spreadBytes }) - before
	vms := float64(size)
	b.ReportMetric(float64(steady)/vms/steadyTime.Seconds(), "steady-B/s/VM")
	b.ReportMetric(float64(steadyCalls)/steadyTime.Seconds(), "store-calls/s")
	b.ReportMetric(total.Seconds()/edits, "mean-s-to-last-VM")
	b.ReportMetric(longest.Seconds(), "max-s-to-last-VM")
	b.ReportMetric(float64(missed)/edits, "missed-VMs/edit")
	b.ReportMetric((float64(spent)/vms-float64(steady)/vms*edits*editLimit.Seconds()/steadyTime.Seconds())/edits, "B/edit/VM")
}

func (sml *sim) sumNodes(fun func(nod *node) int) (sum int) {
	for _, nod := range sml.nodes {
		sum += fun(nod)
	}
	return sum
}

// BenchmarkMembership reports the cost of the membership in the steady state, without the dissemination, and the time until a
// killed VM is dead in all other views. The CPU time is that of the state machine; BenchmarkWire has that of a call.
func BenchmarkMembership(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("vms=%d", size), func(b *testing.B) {
			for b.Loop() {
				sml := newSteadySim(b, size, 0, false, doc{}.with("a", 1))
				sml.run(steadyTime)
				vms, secs := float64(size), steadyTime.Seconds()
				cpu := sml.sumNodes(func(nod *node) int { return int(nod.cpu) })
				b.ReportMetric(float64(sml.sumNodes(func(nod *node) int { return nod.memberBytes }))/vms/secs, "B/s/VM")
				b.ReportMetric(float64(sml.sumNodes(func(nod *node) int { return nod.calls }))/vms/secs, "calls/s/VM")
				b.ReportMetric(float64(cpu)/vms/secs/1000, "machine-us/s/VM")
				killed := sml.nodes[size/2]
				killed.down = true
				dur := sml.runUntil(time.Minute, func() bool { return sml.deadEverywhere(killed) })
				b.ReportMetric(dur.Seconds(), "s-to-last-detection")
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

// deadEverywhere reports whether a node is dead in the views of all others.
func (sml *sim) deadEverywhere(killed *node) bool {
	for _, nod := range sml.nodes {
		if nod == killed {
			continue
		}
		for _, mbr := range nod.mch.Members() {
			if mbr.VM.ID == killed.vm.ID && mbr.State != cardamompass.StateDead {
				return false
			}
		}
	}
	return true
}
