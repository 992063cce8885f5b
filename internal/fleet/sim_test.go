package fleet_test

import (
	"container/heap"
	"encoding/gob"
	"fmt"
	"math/rand"
	"reflect"
	"time"

	"cardamompass"
	"cardamompass/internal/fleet/member"
	"cardamompass/internal/fleet/peer"
	"cardamompass/internal/fleet/spread"
)

// sim runs the state machines of a fleet as discrete events in simulated time: no goroutines, no clock, and the same
// result for the same seed. It serves the property tests and the measurements.
type sim struct {
	rng   *rand.Rand
	now   time.Time
	queue agenda
	order int
	nodes []*node
	store simStore
	loss  float64
	// latency is the mean time of one message, one way.
	latency time.Duration
	// carry is set when probes carry the summaries of documents.
	carry  bool
	fanout int
	wire   *wire
	// dirty is set when a view or document changed.
	dirty     bool
	byAddress map[string]*node
}

type action struct {
	at    time.Time
	order int
	fun   func()
}

// agenda is a heap of actions in the order of their times.
type agenda []action

func (agd agenda) Len() int { return len(agd) }
func (agd agenda) Less(one, two int) bool {
	if agd[one].at.Equal(agd[two].at) {
		return agd[one].order < agd[two].order
	}
	return agd[one].at.Before(agd[two].at)
}
func (agd agenda) Swap(one, two int) { agd[one], agd[two] = agd[two], agd[one] }
func (agd *agenda) Push(val any)     { *agd = append(*agd, val.(action)) }
func (agd *agenda) Pop() any {
	old := *agd
	val := old[len(old)-1]
	*agd = old[:len(old)-1]
	return val
}

// node is one VM of a simulation.
type node struct {
	sim     *sim
	num     int
	vm      cardamompass.VM
	mch     *member.Machine
	cor     *spread.Core[doc]
	down    bool
	tickAt  time.Time
	coreAt  time.Time
	pending bool // a change of peers is to be reported

	memberBytes int
	spreadBytes int
	calls       int
	cpu         time.Duration
	last        map[int]time.Time
}

func newSim(num int64, size int) (sml *sim) {
	sml = &sim{
		rng:       rand.New(rand.NewSource(num)),
		now:       time.Unix(1_000_000, 0),
		latency:   10 * time.Millisecond,
		carry:     true,
		wire:      newWire(),
		byAddress: map[string]*node{},
	}
	for vm := range size {
		nod := sml.newNode(vm)
		sml.nodes = append(sml.nodes, nod)
		sml.byAddress[nod.vm.PeerAddress] = nod
	}
	return sml
}

func (sml *sim) newNode(num int) (nod *node) {
	nod = &node{
		sim: sml,
		num: num,
		vm: cardamompass.VM{
			ID:            cardamompass.VMID(fmt.Sprintf("vm-%03d", num)),
			Incarnation:   1_700_000_000_000_000_000,
			Region:        "gulf",
			FailureDomain: "gulf-1",
			CallerAddress: fmt.Sprintf("10.20.%d.%d:8443", num/250, num%250),
			PeerAddress:   simAddress(num),
		},
		last: map[int]time.Time{},
	}
	nod.mch = member.NewMachine(member.MachineConfig{
		Self:       nod.vm,
		Seeds:      []string{simAddress(0), simAddress(1), simAddress(2)},
		RandomSeed: sml.rng.Int63(),
		Start:      sml.now.Add(time.Duration(sml.rng.Int63n(int64(time.Second)))),
	})
	return nod
}

func simAddress(num int) string { return fmt.Sprintf("10.20.%d.%d:7443", num/250, num%250) }

// begin starts all nodes; fanout is that of the dissemination, whose probes carry summaries if carry is set.
func (sml *sim) begin() {
	for _, nod := range sml.nodes {
		nod.cor = spread.NewCore(spread.CoreConfig[doc]{
			Self:       nod.vm.ID,
			Key:        "catalogue",
			Codec:      codec,
			RandomSeed: sml.rng.Int63(),
			Start:      sml.now,
			Fanout:     sml.fanout,
		})
		nod.schedule()
	}
}

func (sml *sim) after(dur time.Duration, fun func()) {
	sml.order++
	heap.Push(&sml.queue, action{
		at:    sml.now.Add(max(0, dur)),
		order: sml.order,
		fun:   fun,
	})
}

// run lets simulated time pass.
func (sml *sim) run(dur time.Duration) { sml.runUntil(dur, func() bool { return false }) }

// runUntil lets simulated time pass until done, which is asked after each change of a view or document, and returns the time that passed.
func (sml *sim) runUntil(dur time.Duration, done func() bool) time.Duration {
	begin := sml.now
	end := begin.Add(dur)
	sml.dirty = true
	for len(sml.queue) > 0 && !sml.queue[0].at.After(end) {
		if sml.dirty && done() {
			return sml.now.Sub(begin)
		}
		sml.dirty = false
		act := heap.Pop(&sml.queue).(action)
		sml.now = act.at
		act.fun()
	}
	sml.now = end
	return sml.now.Sub(begin)
}

func (sml *sim) travel() time.Duration {
	return time.Duration(float64(sml.latency) * (0.5 + sml.rng.Float64()))
}

// call sends a request to a node, has it served there and delivers the answer, or reports a miss after the timeout.
func (nod *node) call(to *node, timeout time.Duration, serve func(), answer, missed func()) {
	sml := nod.sim
	lost := func() bool { return sml.rng.Float64() < sml.loss }
	settled := false
	sml.after(timeout, func() {
		if !settled {
			settled = true
			missed()
		}
	})
	if to == nil || lost() {
		return
	}
	sml.after(sml.travel(), func() {
		if to.down {
			return
		}
		serve()
		if lost() {
			return
		}
		sml.after(sml.travel(), func() {
			if !settled && !nod.down {
				settled = true
				answer()
			}
		})
	})
}

// schedule plans the next ticks.
func (nod *node) schedule() {
	sml := nod.sim
	if due := nod.mch.Next(); nod.tickAt.IsZero() || due.Before(nod.tickAt) {
		nod.tickAt = due
		sml.after(due.Sub(sml.now), func() {
			if nod.tickAt.Equal(due) && !nod.down {
				nod.tickAt = time.Time{}
				nod.member(member.Tick{
					Now: sml.now,
				})
			}
		})
	}
	if due := nod.cor.Next(); !due.IsZero() && (nod.coreAt.IsZero() || due.Before(nod.coreAt)) {
		nod.coreAt = due
		sml.after(due.Sub(sml.now), func() {
			if nod.coreAt.Equal(due) && !nod.down {
				nod.coreAt = time.Time{}
				nod.spread(spread.Tick{
					Now: sml.now,
				})
			}
		})
	}
}

// wire measures the size of messages on a connection that has carried their types before.
type wire struct {
	enc  map[reflect.Type]*gob.Encoder
	size int
	// payload is what a summary adds to a message.
	payload int
	// connection is the size of the handshake and of the types on a new connection, as measured over loopback.
	connection int
}

func newWire() *wire {
	wir := &wire{
		enc: map[reflect.Type]*gob.Encoder{},
	}
	wir.payload = wir.measure(member.Message{
		Payloads: summaryPayload(spread.Summary{}),
	}) - wir.measure(member.Message{})
	return wir
}

// Write counts what an encoder writes.
func (wir *wire) Write(buf []byte) (int, error) {
	wir.size += len(buf)
	return len(buf), nil
}

// frameOverhead is the prefix and header of a request or reply, rounded from BenchmarkWire.
const frameOverhead = 24

func (wir *wire) measure(val any) int {
	typ := reflect.TypeOf(val)
	enc := wir.enc[typ]
	if enc == nil {
		enc = gob.NewEncoder(wir)
		wir.enc[typ] = enc
		if err := enc.Encode(val); err != nil {
			panic(err)
		}
	}
	before := wir.size
	if err := enc.Encode(val); err != nil {
		panic(err)
	}
	return wir.size - before + frameOverhead
}

// count adds a message to both ends; spread tells which part belongs to the dissemination.
func (nod *node) count(to *node, val any, payload int) {
	size := nod.sim.wire.measure(val)
	fresh := 0
	if nod.sim.now.Sub(nod.last[to.num]) > peer.DefaultClientIdleTimeout {
		fresh = nod.sim.wire.connection
	}
	nod.last[to.num] = nod.sim.now
	for _, end := range []*node{nod, to} {
		end.memberBytes += size - payload + fresh
		end.spreadBytes += payload
	}
}
