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
	// settleTime lets a simulated fleet join and pass on all news.
	settleTime = 8 * time.Minute
	quietTime  = 4 * time.Minute
	// editLimit is the time after which a VM without an edit counts as missed.
	editLimit = 30 * time.Second
	edits     = 20
	// editLoss is the share of messages that are lost while edits spread.
	editLoss = 0.01
)

var sizes = []int{7, 50, 200, 430}

// prober answers pings with the message it got, so that only the transport is measured.
type prober struct{}

func (prober) Ping(args member.Message, reply *member.Message) error {
	*reply = args
	return nil
}

// quietMessage is a probe in the quiet state.
func quietMessage() member.Message {
	sml := newSim(1, 1)
	sml.begin()
	return sml.nodes[0].dress(member.Message{
		From:    sml.nodes[0].mch.Self(),
		Digest:  1 << 60,
		Settled: true,
	})
}

// transport returns a function that makes one probe over loopback and returns the bytes of it.
func transport(b *testing.B) (probe func() uint64) {
	key := []byte("0123456789abcdef")
	srv, stopServer, err := peer.NewServer(peer.ServerConfig{
		Address: "127.0.0.1:0",
		Key:     key,
	})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(stopServer)
	if err = srv.Register("Member", prober{}); err != nil {
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
	msg := quietMessage()
	return func() uint64 {
		before := cli.Traffic()
		if err := cli.Call(b.Context(), srv.Address(), "Member.Ping", msg, &member.Message{}); err != nil {
			b.Fatal(err)
		}
		after := cli.Traffic()
		return after.BytesIn + after.BytesOut - before.BytesIn - before.BytesOut
	}
}

// connectionBytes returns what a new connection costs on top of a probe.
func connectionBytes(b *testing.B) int {
	probe := transport(b)
	first := probe()
	return int(first - probe())
}

// BenchmarkWire measures one probe with its answer over loopback, both sides in this process. It checks the sizes that
// the simulation assumes.
func BenchmarkWire(b *testing.B) {
	probe := transport(b)
	first := probe()
	var size uint64
	for b.Loop() {
		size = probe()
	}
	b.ReportMetric(float64(size), "wire-B/probe")
	b.ReportMetric(float64(2*newWire().measure(quietMessage())), "simulated-B/probe")
	b.ReportMetric(float64(first-size), "wire-B/connection")
}

// settled returns a fleet in the quiet state whose VMs have the document.
func settled(b *testing.B, size, fanout int, carry bool, dcm doc) (sml *sim) {
	sml = newSim(seed(b), size)
	sml.wire.connection = connectionBytes(b)
	sml.fanout, sml.carry = fanout, true
	sml.begin()
	sml.store.edit(dcm)
	sml.run(settleTime)
	if msg := sml.agree(); msg != "" {
		b.Fatal(msg)
	}
	if cnt := sml.missing(dcm); cnt > 0 {
		b.Fatalf("%d VMs without the document", cnt)
	}
	sml.carry = carry
	for _, nod := range sml.nodes {
		nod.memberBytes, nod.spreadBytes, nod.calls, nod.cpu = 0, 0, 0, 0
	}
	sml.store.calls = 0
	return sml
}

// missing counts the VMs without the content of a document.
func (sml *sim) missing(dcm doc) (cnt int) {
	want := dcm.Digest()
	for _, nod := range sml.nodes {
		if nod.cor.Summary().Digest != want {
			cnt++
		}
	}
	return cnt
}

// BenchmarkDissemination reports the cost of catalogue dissemination in the quiet state, and the time until the last
// VM has an edit while 1% of the messages are lost.
func BenchmarkDissemination(b *testing.B) {
	variants := []struct {
		name   string
		fanout int
		carry  bool
	}{
		{name: "push", carry: false},
		{name: "pull", fanout: -1, carry: true},
		{name: "both", carry: true},
	}
	for _, size := range sizes {
		for _, vrt := range variants {
			b.Run(fmt.Sprintf("vms=%d/%s", size, vrt.name), func(b *testing.B) {
				for b.Loop() {
					disseminate(b, size, vrt.fanout, vrt.carry)
				}
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

func disseminate(b *testing.B, size, fanout int, carry bool) {
	dcm := doc{}
	for num := range 300 {
		dcm = dcm.with(fmt.Sprintf("entry-%d", num), int64(num+1))
	}
	sml := settled(b, size, fanout, carry, dcm)
	sml.run(quietTime)
	quiet := sml.sum(func(nod *node) int { return nod.spreadBytes })
	quietCalls := sml.store.calls
	sml.loss = editLoss
	var (
		total, longest time.Duration
		missed         int
	)
	before := sml.sum(func(nod *node) int { return nod.spreadBytes })
	for num := range edits {
		dcm = dcm.with(fmt.Sprintf("entry-%d", num), int64(1000+num))
		sml.store.edit(dcm)
		dur := sml.runUntil(editLimit, func() bool { return sml.missing(dcm) == 0 })
		missed += sml.missing(dcm)
		total += dur
		longest = max(longest, dur)
		sml.run(editLimit - dur)
	}
	spent := sml.sum(func(nod *node) int { return nod.spreadBytes }) - before
	vms := float64(size)
	b.ReportMetric(float64(quiet)/vms/quietTime.Seconds(), "quiet-B/s/VM")
	b.ReportMetric(float64(quietCalls)/quietTime.Seconds(), "store-calls/s")
	b.ReportMetric(total.Seconds()/edits, "mean-s-to-last-VM")
	b.ReportMetric(longest.Seconds(), "max-s-to-last-VM")
	b.ReportMetric(float64(missed)/edits, "missed-VMs/edit")
	b.ReportMetric((float64(spent)/vms-float64(quiet)/vms*edits*editLimit.Seconds()/quietTime.Seconds())/edits, "B/edit/VM")
}

func (sml *sim) sum(fun func(nod *node) int) (sum int) {
	for _, nod := range sml.nodes {
		sum += fun(nod)
	}
	return sum
}

// BenchmarkMembership reports the cost of the membership in the quiet state, without the dissemination, and the time
// until all others hold a killed VM dead. CPU is that of the state machine; BenchmarkWire has that of a call.
func BenchmarkMembership(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("vms=%d", size), func(b *testing.B) {
			for b.Loop() {
				sml := settled(b, size, 0, false, doc{}.with("a", 1))
				sml.run(quietTime)
				vms, secs := float64(size), quietTime.Seconds()
				cpu := sml.sum(func(nod *node) int { return int(nod.cpu) })
				b.ReportMetric(float64(sml.sum(func(nod *node) int { return nod.memberBytes }))/vms/secs, "B/s/VM")
				b.ReportMetric(float64(sml.sum(func(nod *node) int { return nod.calls }))/vms/secs, "calls/s/VM")
				b.ReportMetric(float64(cpu)/vms/secs/1000, "machine-us/s/VM")
				killed := sml.nodes[size/2]
				killed.down = true
				dur := sml.runUntil(time.Minute, func() bool { return sml.dead(killed) })
				b.ReportMetric(dur.Seconds(), "s-to-last-verdict")
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

// dead reports whether all others hold a node dead.
func (sml *sim) dead(killed *node) bool {
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
