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
	queue actionQueue
	order int
	nodes []*node
	store simStore
	loss  float64
	// latency is the mean time of one message, one way.
	latency time.Duration
	// attachSummaries is set when probes carry the summaries of documents.
	attachSummaries bool
	fanout          int
	wire            *wireMeter
	// changed is set when a view or a document has changed.
	changed   bool
	byAddress map[string]*node
}

type action struct {
	at    time.Time
	order int
	run   func()
}

// actionQueue is a heap of actions ordered by time.
type actionQueue []action

func (acq actionQueue) Len() int { return len(acq) }
func (acq actionQueue) Less(one, two int) bool {
	if acq[one].at.Equal(acq[two].at) {
		return acq[one].order < acq[two].order
	}
	return acq[one].at.Before(acq[two].at)
}
func (acq actionQueue) Swap(one, two int) { acq[one], acq[two] = acq[two], acq[one] }
func (acq *actionQueue) Push(val any)     { *acq = append(*acq, val.(action)) }
func (acq *actionQueue) Pop() any {
	old := *acq
	val := old[len(old)-1]
	*acq = old[:len(old)-1]
	return val
}

// node is one VM of a simulation.
type node struct {
	sim          *sim
	num          int
	vm           cardamompass.VM
	mch          *member.Machine
	cor          *spread.Core[doc]
	down         bool
	memberDue    time.Time
	spreadDue    time.Time
	peersPending bool // a report of changed peers is scheduled

	memberBytes int
	spreadBytes int
	calls       int
	cpu         time.Duration
	lastContact map[int]time.Time
}

func newSim(num int64, size int) (sml *sim) {
	sml = &sim{
		rng:             rand.New(rand.NewSource(num)),
		now:             time.Unix(1_000_000, 0),
		latency:         10 * time.Millisecond,
		attachSummaries: true,
		wire:            newWireMeter(),
		byAddress:       map[string]*node{},
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
		lastContact: map[int]time.Time{},
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

// start starts all nodes.
func (sml *sim) start() {
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
		run:   fun,
	})
}

// run advances simulated time by dur.
func (sml *sim) run(dur time.Duration) { sml.runUntil(dur, func() bool { return false }) }

// runUntil advances simulated time until done returns true, for at most dur, and returns the time that passed. done is called after
// each change of a view or a document.
func (sml *sim) runUntil(dur time.Duration, done func() bool) time.Duration {
	begin := sml.now
	end := begin.Add(dur)
	sml.changed = true
	for len(sml.queue) > 0 && !sml.queue[0].at.After(end) {
		if sml.changed && done() {
			return sml.now.Sub(begin)
		}
		sml.changed = false
		act := heap.Pop(&sml.queue).(action)
		sml.now = act.at
		act.run()
	}
	sml.now = end
	return sml.now.Sub(begin)
}

func (sml *sim) delay() time.Duration {
	return time.Duration(float64(sml.latency) * (0.5 + sml.rng.Float64()))
}

// call sends a request to a node, runs serve there and then runs answer, or runs missed after the timeout.
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
	sml.after(sml.delay(), func() {
		if to.down {
			return
		}
		serve()
		if lost() {
			return
		}
		sml.after(sml.delay(), func() {
			if !settled && !nod.down {
				settled = true
				answer()
			}
		})
	})
}

// schedule schedules the next ticks.
func (nod *node) schedule() {
	sml := nod.sim
	if due := nod.mch.Next(); nod.memberDue.IsZero() || due.Before(nod.memberDue) {
		nod.memberDue = due
		sml.after(due.Sub(sml.now), func() {
			if nod.memberDue.Equal(due) && !nod.down {
				nod.memberDue = time.Time{}
				nod.member(member.Tick{
					Now: sml.now,
				})
			}
		})
	}
	if due := nod.cor.Next(); !due.IsZero() && (nod.spreadDue.IsZero() || due.Before(nod.spreadDue)) {
		nod.spreadDue = due
		sml.after(due.Sub(sml.now), func() {
			if nod.spreadDue.Equal(due) && !nod.down {
				nod.spreadDue = time.Time{}
				nod.spread(spread.Tick{
					Now: sml.now,
				})
			}
		})
	}
}

// wireMeter measures the size of messages on a connection on which their types have been sent before.
type wireMeter struct {
	enc  map[reflect.Type]*gob.Encoder
	size int
	// summarySize is the number of bytes that a summary adds to a message.
	summarySize int
	// connectionSize is the size of the handshake and of the types on a new connection, as measured over loopback.
	connectionSize int
}

func newWireMeter() *wireMeter {
	wmt := &wireMeter{
		enc: map[reflect.Type]*gob.Encoder{},
	}
	wmt.summarySize = wmt.messageSize(member.Message{
		Payloads: summaryPayload(spread.Summary{}),
	}) - wmt.messageSize(member.Message{})
	return wmt
}

// Write counts the bytes that an encoder writes.
func (wmt *wireMeter) Write(buf []byte) (int, error) {
	wmt.size += len(buf)
	return len(buf), nil
}

// frameOverhead is the prefix and header of a request or reply, rounded from BenchmarkWire.
const frameOverhead = 24

func (wmt *wireMeter) messageSize(val any) int {
	typ := reflect.TypeOf(val)
	enc := wmt.enc[typ]
	if enc == nil {
		enc = gob.NewEncoder(wmt)
		wmt.enc[typ] = enc
		if err := enc.Encode(val); err != nil {
			panic(err)
		}
	}
	before := wmt.size
	if err := enc.Encode(val); err != nil {
		panic(err)
	}
	return wmt.size - before + frameOverhead
}

// countMember adds the size of a message to the counters of both ends; payload is the part that belongs to the dissemination.
func (nod *node) countMember(to *node, val any, payload int) {
	size := nod.sim.wire.messageSize(val)
	fresh := 0
	if nod.sim.now.Sub(nod.lastContact[to.num]) > peer.DefaultClientIdleTimeout {
		fresh = nod.sim.wire.connectionSize
	}
	nod.lastContact[to.num] = nod.sim.now
	for _, end := range []*node{nod, to} {
		end.memberBytes += size - payload + fresh
		end.spreadBytes += payload
	}
}
