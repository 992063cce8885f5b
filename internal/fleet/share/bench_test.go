package share_test

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"go.uber.org/zap"

	"cardamompass"
	"cardamompass/internal/fleet/share"
)

// fleetSizes are the numbers of owners for which costs are measured; 430 is the size that the system is designed for.
var fleetSizes = []int{7, 50, 200, 430}

// costCapacity is the cap of each resource: that of a link, in bytes per second. All resources have the same cap, so that one
// ledger serves for all.
const costCapacity = 500_000_000

// costResources returns the resources of two services in the given number of regions: links, shifts, and slots.
func costResources(regions int) (list []share.Resource) {
	for from := range regions {
		one := cardamompass.Region(fmt.Sprintf("region-%02d", from))
		for to := range regions {
			oth := cardamompass.Region(fmt.Sprintf("region-%02d", to))
			if from == to {
				continue
			}
			list = append(list,
				share.Resource{Name: share.LinkName(one, oth), Capacity: costCapacity, LongPercent: 60},
				share.Resource{Name: share.ShiftName("kiosk-core", one, oth), Capacity: costCapacity},
				share.Resource{Name: share.ShiftName("manuals-dl", one, oth), Capacity: costCapacity})
		}
		list = append(list,
			share.Resource{Name: share.SlotsName("kiosk-core", one), Kind: share.KindSlots, Capacity: costCapacity, MaxRunTime: time.Minute},
			share.Resource{Name: share.SlotsName("manuals-dl", one), Kind: share.KindSlots, Capacity: costCapacity, MaxRunTime: time.Minute})
	}
	return list
}

func costOwner(num int, incarnation int64) share.Owner {
	return share.Owner{
		VM:          cardamompass.VMID(fmt.Sprintf("region-%d-entry-%03d", num%4, num)),
		Incarnation: cardamompass.Incarnation(incarnation),
		Boot:        "0f8fad5b-d9cb-469f-a165-70867728950e",
		Lease:       cardamompass.LeaseID(fmt.Sprintf("lease-%016x", num)),
	}
}

// costLedger returns the ledger of a link with equal shares.
func costLedger(owners int) (led share.Ledger) {
	led = share.Ledger{
		Capacity:         costCapacity,
		CatalogueVersion: 400_000,
	}
	for num := range owners {
		led = led.WithEntry(share.Entry{
			Owner: costOwner(num, 1_790_000_000_000_000_000),
		})
	}
	for pos := range led.Entries {
		led.Entries[pos].Units = led.Capacity / int64(owners)
		if int64(pos) < led.Capacity%int64(owners) {
			led.Entries[pos].Units++
		}
	}
	return led
}

// BenchmarkLedger measures the stored size of one ledger and the time to parse, plan and marshal it.
func BenchmarkLedger(b *testing.B) {
	for _, owners := range fleetSizes {
		led := costLedger(owners)
		data, err := led.Marshal()
		if err != nil {
			b.Fatal(err)
		}
		own := led.Entries[owners/2]
		inp := share.PlanInput{
			Owner:            own.Owner,
			Resource:         share.Resource{Name: "link/a/b", Capacity: led.Capacity},
			CatalogueVersion: led.CatalogueVersion,
			ConfirmedUnits:   own.Units,
			Expired:          func(share.Entry) bool { return false },
		}
		for name, run := range map[string]func(){
			"parse":   func() { _, _ = share.ParseLedger(data) },
			"plan":    func() { led.Plan(inp) },
			"marshal": func() { _, _ = led.Marshal() },
		} {
			b.Run(fmt.Sprintf("owners=%d/%s", owners, name), func(b *testing.B) {
				for b.Loop() {
					run()
				}
				b.ReportMetric(float64(len(data)), "ledger-B")
			})
		}
	}
}

// costStore is a store that returns the same ledger for all resources. It counts calls and bytes.
type costStore struct {
	cardamompass.Store
	data       []byte
	reads      int
	writes     int
	leaseReads int
	bytes      int
	// roundTrip is the round-trip time of each call.
	roundTrip time.Duration
}

func (sto *costStore) wait(ctx context.Context) (err error) {
	if sto.roundTrip == 0 {
		return nil
	}
	tmr := time.NewTimer(sto.roundTrip)
	defer tmr.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-tmr.C:
		return nil
	}
}

func (sto *costStore) Get(ctx context.Context, key string) (val cardamompass.Value, err error) {
	sto.reads++
	if err := sto.wait(ctx); err != nil {
		return val, err
	}
	sto.bytes += len(sto.data)
	return cardamompass.Value{
		Key:      key,
		Data:     sto.data,
		Revision: 1,
	}, nil
}

func (sto *costStore) Put(_ context.Context, key string, data []byte, _ int64) (val cardamompass.Value, err error) {
	sto.writes++
	sto.bytes += len(data)
	return cardamompass.Value{
		Key:      key,
		Revision: 2,
	}, nil
}

func (sto *costStore) Grant(_ context.Context, ttl time.Duration) (lse cardamompass.Lease, err error) {
	return cardamompass.Lease{
		ID:  costOwner(0, 0).Lease,
		TTL: ttl,
	}, nil
}

func (sto *costStore) Inspect(ctx context.Context, lid cardamompass.LeaseID) (lse cardamompass.Lease, err error) {
	sto.leaseReads++
	if err := sto.wait(ctx); err != nil {
		return lse, err
	}
	return cardamompass.Lease{
		ID: lid,
	}, nil
}

// costMembers are the alive owners; the first is this VM.
type costMembers []cardamompass.Member

func (mbs costMembers) Self() cardamompass.Member { return mbs[0] }

func (mbs costMembers) Members() []cardamompass.Member {
	return append([]cardamompass.Member(nil), mbs...)
}

// costPool returns the pool of one VM of a fleet of owners VMs, of which the last dead ones have crashed with live leases.
func costPool(b *testing.B, owners, dead int, resources []share.Resource, clk cardamompass.Clock) (pol *share.Pool, sto *costStore) {
	led := costLedger(owners)
	data, err := led.Marshal()
	if err != nil {
		b.Fatal(err)
	}
	sto = &costStore{
		data: data,
	}
	var mbs costMembers
	for num := range owners - dead {
		own := costOwner(num, 1_790_000_000_000_000_000)
		mbs = append(mbs, cardamompass.Member{
			VM: cardamompass.VM{
				ID:          own.VM,
				Incarnation: own.Incarnation,
				PeerAddress: "127.0.0.1:1",
			},
		})
	}
	pol = share.New(share.Config{
		Owner:    costOwner(0, 1_790_000_000_000_000_000),
		Store:    sto,
		Members:  mbs,
		Clock:    clk,
		Log:      zap.NewNop(),
		LeaseTTL: time.Hour,
		LoanTTL:  3 * time.Second,
	})
	pol.SetResources(resources, led.CatalogueVersion)
	return pol, sto
}

// BenchmarkRebalance measures one rebalance of all ledgers of 4 regions and counts its calls of the store. Dead owners have
// live leases, as after a crash.
func BenchmarkRebalance(b *testing.B) {
	for _, owners := range fleetSizes {
		for _, dead := range []int{0, max(1, owners/11), max(2, owners/4)} {
			b.Run(fmt.Sprintf("owners=%d/dead=%d", owners, dead), func(b *testing.B) {
				pol, sto := costPool(b, owners, dead, costResources(4), cardamompass.SystemClock{})
				pol.Rebalance(b.Context())
				sto.reads, sto.writes, sto.leaseReads, sto.bytes = 0, 0, 0, 0
				rounds := 0
				for b.Loop() {
					pol.Rebalance(b.Context())
					rounds++
				}
				b.ReportMetric(float64(sto.reads)/float64(rounds), "gets/rebalance")
				b.ReportMetric(float64(sto.writes)/float64(rounds), "puts/rebalance")
				b.ReportMetric(float64(sto.leaseReads)/float64(rounds), "lease-reads/rebalance")
				b.ReportMetric(float64(sto.bytes)/float64(rounds), "ledger-B/rebalance")
			})
		}
	}
}

// BenchmarkRebalanceRemote measures the rebalance of one ledger from a region with a round trip of 70 ms to the store, while
// dead owners have live leases. Each lease is read by itself, and a rebalance has 3 s. owned is the number of units after the
// rebalance.
func BenchmarkRebalanceRemote(b *testing.B) {
	for _, dead := range []int{0, 10, 39, 107} {
		b.Run(fmt.Sprintf("dead=%d", dead), func(b *testing.B) {
			owned := int64(0)
			for b.Loop() {
				pol, sto := costPool(b, 430, dead, costResources(4)[:1], cardamompass.SystemClock{})
				sto.roundTrip = 70 * time.Millisecond
				pol.Rebalance(b.Context())
				owned = pol.State().Resources[0].Owned
			}
			b.ReportMetric(float64(owned), "owned")
		})
	}
}

// BenchmarkBorrowRound measures a borrow round without demand. Each VM does ten per second.
func BenchmarkBorrowRound(b *testing.B) {
	for _, owners := range fleetSizes {
		b.Run(fmt.Sprintf("owners=%d", owners), func(b *testing.B) {
			pol, _ := costPool(b, owners, 0, costResources(4), cardamompass.SystemClock{})
			for b.Loop() {
				pol.BorrowRound(b.Context())
			}
		})
	}
}

// manualClock advances only when now is set.
type manualClock struct{ now time.Time }

func (clk *manualClock) Now() time.Time { return clk.now }

func (clk *manualClock) NewTimer(dur time.Duration) cardamompass.Timer {
	return cardamompass.SystemClock{}.NewTimer(dur)
}

// BenchmarkLend measures the reply to a borrower that calls ten times per second, as each VM with unmet demand does.
func BenchmarkLend(b *testing.B) {
	for _, borrowers := range []int{1, 3, 12, 48} {
		b.Run(fmt.Sprintf("borrowers=%d", borrowers), func(b *testing.B) {
			clk := &manualClock{
				now: time.Now(),
			}
			pol, _ := costPool(b, 430, 0, costResources(4), clk)
			pol.Rebalance(b.Context())
			svc := pol.Service()
			num := 0
			for b.Loop() {
				clk.now = clk.now.Add(100 * time.Millisecond / time.Duration(borrowers))
				num++
				var rep share.BorrowReply
				if err := svc.Borrow(&share.BorrowArgs{
					Resource:    "link/region-00/region-01",
					VM:          costOwner(1+num%borrowers, 1).VM,
					Incarnation: 1,
					Sequence:    uint64(num),
					Want:        1000,
				}, &rep); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var mst runtime.MemStats
	runtime.ReadMemStats(&mst)
	return mst.HeapAlloc
}

// BenchmarkPoolMemory reports the memory of a pool by the number of regions. 89 is the number of sites: if each were a region
// of its own, there would be caps between all pairs of them.
func BenchmarkPoolMemory(b *testing.B) {
	for _, regions := range []int{4, 12, 30, 89} {
		b.Run(fmt.Sprintf("regions=%d", regions), func(b *testing.B) {
			resources := costResources(regions)
			var size uint64
			for b.Loop() {
				before := heapBytes()
				pol, _ := costPool(b, 7, 0, resources, cardamompass.SystemClock{})
				size = heapBytes() - before
				runtime.KeepAlive(pol)
			}
			b.ReportMetric(float64(len(resources)), "resources")
			b.ReportMetric(float64(size)/(1<<20), "MiB")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// BenchmarkOverload reports the loans that a VM has after 5 s in which a quarter of the VMs have unmet demand of one rate. A VM
// with unmet demand calls each of its lenders ten times per second.
func BenchmarkOverload(b *testing.B) {
	for _, owners := range fleetSizes {
		b.Run(fmt.Sprintf("vms=%d", owners), func(b *testing.B) {
			for b.Loop() {
				reportOverload(b, newSim(*seed, owners))
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

func reportOverload(b *testing.B, sml *sim) {
	sml.capacity["link/gulf/delta"] = 1_000_000
	for _, one := range sml.vms {
		one.setResources(2)
	}
	// Two rebalances of each VM divide the units.
	for range 2 {
		for _, one := range sml.vms {
			one.pol.Rebalance(context.Background())
			sml.now = sml.now.Add(10 * time.Millisecond)
		}
	}
	overloaded := len(sml.vms) / 4
	for range 50 {
		sml.now = sml.now.Add(100 * time.Millisecond)
		for num, one := range sml.vms {
			one.pol.BorrowRound(context.Background())
			for range 10 {
				if num < overloaded {
					one.pol.Rate("link/gulf/delta").Allow(5000, "short")
				}
			}
		}
	}
	total, most, usable := 0, 0, int64(0)
	for _, one := range sml.vms[:overloaded] {
		for _, res := range one.pol.State().Resources {
			if res.Name == "link/gulf/delta" {
				total += len(res.Borrowed)
				most = max(most, len(res.Borrowed))
				usable += res.Usable
			}
		}
	}
	b.ReportMetric(float64(total)/float64(overloaded), "loans/VM")
	b.ReportMetric(float64(most), "max-loans")
	b.ReportMetric(float64(usable)/float64(sml.capacity["link/gulf/delta"])*100, "percent-of-cap")
}
