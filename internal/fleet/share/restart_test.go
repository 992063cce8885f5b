package share_test

import (
	"container/heap"
	"fmt"
	"math/rand"
	"testing"
	"time"

	"cardamompass/internal/fleet/share"
)

// The constants of the package that decide how often a ledger is visited, and the lease of the settings.
const (
	visitBase       = 5 * time.Second
	visitPerMember  = 700 * time.Millisecond
	unevenBase      = time.Second
	unevenPerMember = 50 * time.Millisecond
	visitTries      = 5
	leaseTime       = time.Hour
	// succeedTime is the time after its start at which a process may take the entry of its predecessor of the same boot.
	succeedTime = 3130 * time.Millisecond
)

// event is a call of the store that arrives, or the start of a visit.
type event struct {
	at   time.Duration
	vm   int
	put  bool
	plan share.Ledger
	base int
	try  int
}

type agenda []event

func (agd agenda) Len() int           { return len(agd) }
func (agd agenda) Less(i, j int) bool { return agd[i].at < agd[j].at }
func (agd agenda) Swap(i, j int)      { agd[i], agd[j] = agd[j], agd[i] }
func (agd *agenda) Push(evt any)      { *agd = append(*agd, evt.(event)) }
func (agd *agenda) Pop() (evt any) {
	last := len(*agd) - 1
	evt = (*agd)[last]
	*agd = (*agd)[:last]
	return evt
}

// restart is a simulation, in virtual time, of one ledger whose owners visit it while a part of them starts again. The
// decisions are those of Ledger.Plan; conflicts follow from the round trip to the store.
type restart struct {
	rnd      *rand.Rand
	trip     time.Duration
	sameBoot bool
	owners   []share.Owner
	started  []time.Duration
	gone     map[share.Owner]bool
	held     []int64
	led      share.Ledger
	rev      int
	agenda   agenda

	gets, puts, conflicts, givenUp, leaseReads int
	putsAt, readsAt                            map[int]int
}

func newRestart(owners, again int, trip time.Duration, sameBoot bool) *restart {
	rst := &restart{
		rnd:      rand.New(rand.NewSource(1)),
		trip:     trip,
		sameBoot: sameBoot,
		gone:     make(map[share.Owner]bool),
		led:      costLedger(owners),
		putsAt:   make(map[int]int),
		readsAt:  make(map[int]int),
	}
	for num := range owners {
		own := costOwner(num, 1_790_000_000_000_000_000)
		first := time.Duration(rst.rnd.Int63n(int64(visitBase + time.Duration(owners)*visitPerMember)))
		units := rst.led.Units(own)
		if num < again {
			rst.gone[own] = true
			own.Incarnation++
			if !sameBoot {
				own.Boot += "-2"
			}
			// The processes start within one second.
			first, units = time.Duration(rst.rnd.Int63n(int64(time.Second))), 0
		}
		rst.owners = append(rst.owners, own)
		rst.held = append(rst.held, units)
		rst.started = append(rst.started, first)
		heap.Push(&rst.agenda, event{
			at: first,
			vm: num,
		})
	}
	return rst
}

// step carries out the next event.
func (rst *restart) step() (now time.Duration) {
	evt := heap.Pop(&rst.agenda).(event)
	if evt.put {
		rst.write(evt)
		return evt.at
	}
	rst.read(evt)
	return evt.at
}

// read is a read of the ledger that arrives at the store, with the plan that follows from it.
func (rst *restart) read(evt event) {
	own := rst.owners[evt.vm]
	rst.gets++
	reads := 1
	for _, ent := range rst.led.Entries {
		if rst.gone[ent.Owner] {
			reads++
		}
	}
	rst.leaseReads += reads - 1
	rst.readsAt[int(evt.at/time.Second)] += reads
	next := rst.led.Plan(share.PlanInput{
		Owner: own,
		Resource: share.Resource{
			Name:     "link/a/b",
			Capacity: costCapacity,
		},
		CatalogueVersion:      rst.led.CatalogueVersion,
		ConfirmedUnits:        rst.held[evt.vm],
		PredecessorLoansEnded: evt.at-rst.started[evt.vm] > succeedTime,
		Expired:               func(ent share.Entry) bool { return rst.gone[ent.Owner] && evt.at > leaseTime },
	})
	if next.Equal(rst.led) {
		rst.held[evt.vm] = next.Units(own)
		rst.again(evt)
		return
	}
	rst.held[evt.vm] = min(rst.held[evt.vm], next.Units(own))
	heap.Push(&rst.agenda, event{
		at:   evt.at + rst.trip,
		vm:   evt.vm,
		put:  true,
		plan: next,
		base: rst.rev,
		try:  evt.try,
	})
}

// write is a compare-and-swap that arrives at the store.
func (rst *restart) write(evt event) {
	rst.putsAt[int(evt.at/time.Second)]++
	rst.puts++
	if evt.base == rst.rev {
		rst.rev++
		rst.led = evt.plan
		rst.held[evt.vm] = rst.led.Units(rst.owners[evt.vm])
		rst.again(evt)
		return
	}
	rst.conflicts++
	if evt.try+1 == visitTries {
		rst.givenUp++
		rst.again(evt)
		return
	}
	heap.Push(&rst.agenda, event{
		at:  evt.at + rst.trip + time.Duration(rst.rnd.Int63n(int64(20*time.Millisecond))),
		vm:  evt.vm,
		try: evt.try + 1,
	})
}

// again schedules the next visit.
func (rst *restart) again(evt event) {
	interval := visitBase + time.Duration(len(rst.owners))*visitPerMember
	if rst.uneven() {
		interval = unevenBase + time.Duration(len(rst.owners))*unevenPerMember
	}
	heap.Push(&rst.agenda, event{
		at: evt.at + interval/2 + time.Duration(rst.rnd.Int63n(int64(interval))),
		vm: evt.vm,
	})
}

func (rst *restart) uneven() bool {
	part := rst.led.Capacity / int64(len(rst.led.Entries))
	for _, ent := range rst.led.Entries {
		if ent.Units < part/2 {
			return true
		}
	}
	return false
}

// served reports whether every VM has at least half of an equal part among those that are alive.
func (rst *restart) served() bool {
	for _, units := range rst.held {
		if units < rst.led.Capacity/int64(len(rst.owners))/2 {
			return false
		}
	}
	return true
}

func busiest(perSecond map[int]int) (most int) {
	for _, count := range perSecond {
		most = max(most, count)
	}
	return most
}

// BenchmarkRestart reports what one ledger costs the store when a quarter of the VMs start again within a second: on the
// same boots, or as new VMs while the leases of their predecessors live for an hour. A VM holds about 44 such ledgers
// with 4 regions.
func BenchmarkRestart(b *testing.B) {
	for _, owners := range fleetSizes {
		for _, trip := range []time.Duration{2 * time.Millisecond, 70 * time.Millisecond} {
			for _, sameBoot := range []bool{true, false} {
				b.Run(fmt.Sprintf("owners=%d/trip=%s/same-boot=%t", owners, trip, sameBoot), func(b *testing.B) {
					for b.Loop() {
						reportRestart(b, newRestart(owners, owners/4, trip, sameBoot))
					}
				})
			}
		}
	}
}

func reportRestart(b *testing.B, rst *restart) {
	const horizon = leaseTime + 20*time.Minute
	served := horizon
	for now := time.Duration(0); now < horizon; {
		now = rst.step()
		if served == horizon && rst.served() {
			served = now
		}
	}
	b.ReportMetric(served.Seconds(), "s-to-half-part")
	b.ReportMetric(float64(rst.puts), "puts")
	b.ReportMetric(float64(rst.conflicts), "conflicts")
	b.ReportMetric(float64(rst.givenUp), "visits-given-up")
	b.ReportMetric(float64(busiest(rst.putsAt)), "max-puts/s")
	b.ReportMetric(float64(rst.gets), "gets")
	b.ReportMetric(float64(rst.leaseReads), "lease-reads")
	b.ReportMetric(float64(busiest(rst.readsAt)), "max-reads/s")
}
