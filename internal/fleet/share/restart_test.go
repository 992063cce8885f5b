package share_test

import (
	"container/heap"
	"fmt"
	"math/rand"
	"testing"
	"time"

	"cardamompass/internal/fleet/share"
)

// The constants of the package that decide how often a ledger is rebalanced, and the lease time of the settings.
const (
	rebalanceBase      = 5 * time.Second
	rebalancePerMember = 700 * time.Millisecond
	unevenBase         = time.Second
	unevenPerMember    = 50 * time.Millisecond
	rebalanceTries     = 5
	leaseTime          = time.Hour
	// predecessorTime is the time after its start from which a process may remove the entry of its predecessor of the same
	// boot.
	predecessorTime = 3130 * time.Millisecond
)

// event is the arrival of a call at the store: a read that starts a rebalance, or a write.
type event struct {
	at       time.Duration
	vm       int
	put      bool
	plan     share.Ledger
	revision int
	attempt  int
}

type eventQueue []event

func (evq eventQueue) Len() int           { return len(evq) }
func (evq eventQueue) Less(i, j int) bool { return evq[i].at < evq[j].at }
func (evq eventQueue) Swap(i, j int)      { evq[i], evq[j] = evq[j], evq[i] }
func (evq *eventQueue) Push(evt any)      { *evq = append(*evq, evt.(event)) }
func (evq *eventQueue) Pop() (evt any) {
	last := len(*evq) - 1
	evt = (*evq)[last]
	*evq = (*evq)[:last]
	return evt
}

// restartSim is a simulation, in virtual time, of one ledger that its owners rebalance while a fraction of them restarts. The
// decisions are those of Ledger.Plan; conflicts follow from the round trip to the store.
type restartSim struct {
	rnd       *rand.Rand
	roundTrip time.Duration
	sameBoot  bool
	owners    []share.Owner
	started   []time.Duration
	ended     map[share.Owner]bool
	confirmed []int64
	led       share.Ledger
	rev       int
	queue     eventQueue

	gets, puts, conflicts, abandoned, leaseReads int
	putsAt, readsAt                              map[int]int
}

func newRestartSim(owners, restarted int, trip time.Duration, sameBoot bool) *restartSim {
	sml := &restartSim{
		rnd:       rand.New(rand.NewSource(1)),
		roundTrip: trip,
		sameBoot:  sameBoot,
		ended:     make(map[share.Owner]bool),
		led:       costLedger(owners),
		putsAt:    make(map[int]int),
		readsAt:   make(map[int]int),
	}
	for num := range owners {
		own := costOwner(num, 1_790_000_000_000_000_000)
		first := time.Duration(sml.rnd.Int63n(int64(rebalanceBase + time.Duration(owners)*rebalancePerMember)))
		units := sml.led.Units(own)
		if num < restarted {
			sml.ended[own] = true
			own.Incarnation++
			if !sameBoot {
				own.Boot += "-2"
			}
			// The processes start within one second.
			first, units = time.Duration(sml.rnd.Int63n(int64(time.Second))), 0
		}
		sml.owners = append(sml.owners, own)
		sml.confirmed = append(sml.confirmed, units)
		sml.started = append(sml.started, first)
		heap.Push(&sml.queue, event{
			at: first,
			vm: num,
		})
	}
	return sml
}

// step processes the next event and returns its time.
func (sml *restartSim) step() (now time.Duration) {
	evt := heap.Pop(&sml.queue).(event)
	if evt.put {
		sml.write(evt)
		return evt.at
	}
	sml.read(evt)
	return evt.at
}

// read processes a read of the ledger and plans the next ledger.
func (sml *restartSim) read(evt event) {
	own := sml.owners[evt.vm]
	sml.gets++
	reads := 1
	for _, ent := range sml.led.Entries {
		if sml.ended[ent.Owner] {
			reads++
		}
	}
	sml.leaseReads += reads - 1
	sml.readsAt[int(evt.at/time.Second)] += reads
	next := sml.led.Plan(share.PlanInput{
		Owner: own,
		Resource: share.Resource{
			Name:     "link/a/b",
			Capacity: costCapacity,
		},
		CatalogueVersion:      sml.led.CatalogueVersion,
		ConfirmedUnits:        sml.confirmed[evt.vm],
		PredecessorLoansEnded: evt.at-sml.started[evt.vm] > predecessorTime,
		Expired:               func(ent share.Entry) bool { return sml.ended[ent.Owner] && evt.at > leaseTime },
	})
	if next.Equal(sml.led) {
		sml.confirmed[evt.vm] = next.Units(own)
		sml.scheduleRebalance(evt)
		return
	}
	sml.confirmed[evt.vm] = min(sml.confirmed[evt.vm], next.Units(own))
	heap.Push(&sml.queue, event{
		at:       evt.at + sml.roundTrip,
		vm:       evt.vm,
		put:      true,
		plan:     next,
		revision: sml.rev,
		attempt:  evt.attempt,
	})
}

// write processes a compare-and-swap.
func (sml *restartSim) write(evt event) {
	sml.putsAt[int(evt.at/time.Second)]++
	sml.puts++
	if evt.revision == sml.rev {
		sml.rev++
		sml.led = evt.plan
		sml.confirmed[evt.vm] = sml.led.Units(sml.owners[evt.vm])
		sml.scheduleRebalance(evt)
		return
	}
	sml.conflicts++
	if evt.attempt+1 == rebalanceTries {
		sml.abandoned++
		sml.scheduleRebalance(evt)
		return
	}
	heap.Push(&sml.queue, event{
		at:      evt.at + sml.roundTrip + time.Duration(sml.rnd.Int63n(int64(20*time.Millisecond))),
		vm:      evt.vm,
		attempt: evt.attempt + 1,
	})
}

// scheduleRebalance schedules the next rebalance of a VM.
func (sml *restartSim) scheduleRebalance(evt event) {
	interval := rebalanceBase + time.Duration(len(sml.owners))*rebalancePerMember
	if sml.uneven() {
		interval = unevenBase + time.Duration(len(sml.owners))*unevenPerMember
	}
	heap.Push(&sml.queue, event{
		at: evt.at + interval/2 + time.Duration(sml.rnd.Int63n(int64(interval))),
		vm: evt.vm,
	})
}

func (sml *restartSim) uneven() bool {
	equal := sml.led.Capacity / int64(len(sml.led.Entries))
	for _, ent := range sml.led.Entries {
		if ent.Units < equal/2 {
			return true
		}
	}
	return false
}

// allHaveHalfShare reports whether every VM has at least half of an equal share.
func (sml *restartSim) allHaveHalfShare() bool {
	for _, units := range sml.confirmed {
		if units < sml.led.Capacity/int64(len(sml.owners))/2 {
			return false
		}
	}
	return true
}

func maxPerSecond(perSecond map[int]int) (most int) {
	for _, count := range perSecond {
		most = max(most, count)
	}
	return most
}

// BenchmarkRestart reports the load of one ledger on the store when a quarter of the VMs restart within a second: on the same
// boots, or as new VMs while the leases of their predecessors stay alive for an hour. A VM has about 44 such ledgers with
// 4 regions.
func BenchmarkRestart(b *testing.B) {
	for _, owners := range fleetSizes {
		for _, trip := range []time.Duration{2 * time.Millisecond, 70 * time.Millisecond} {
			for _, sameBoot := range []bool{true, false} {
				b.Run(fmt.Sprintf("owners=%d/trip=%s/same-boot=%t", owners, trip, sameBoot), func(b *testing.B) {
					for b.Loop() {
						reportRestart(b, newRestartSim(owners, owners/4, trip, sameBoot))
					}
				})
			}
		}
	}
}

func reportRestart(b *testing.B, sml *restartSim) {
	const horizon = leaseTime + 20*time.Minute
	served := horizon
	for now := time.Duration(0); now < horizon; {
		now = sml.step()
		if served == horizon && sml.allHaveHalfShare() {
			served = now
		}
	}
	b.ReportMetric(served.Seconds(), "s-to-half-share")
	b.ReportMetric(float64(sml.puts), "puts")
	b.ReportMetric(float64(sml.conflicts), "conflicts")
	b.ReportMetric(float64(sml.abandoned), "abandoned-rebalances")
	b.ReportMetric(float64(maxPerSecond(sml.putsAt)), "max-puts/s")
	b.ReportMetric(float64(sml.gets), "gets")
	b.ReportMetric(float64(sml.leaseReads), "lease-reads")
	b.ReportMetric(float64(maxPerSecond(sml.readsAt)), "max-reads/s")
}
