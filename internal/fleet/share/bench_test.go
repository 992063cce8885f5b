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

// fleetSizes are the numbers of owners for which costs are measured; 430 is the target size.
var fleetSizes = []int{7, 50, 200, 430}

// costCapacity is the cap of each resource: that of a link, in bytes a second. One value lets one ledger stand for all.
const costCapacity = 500_000_000

// costResources are the caps of two services in the given number of regions: links, shifts, and slots.
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

// costLedger is a link's ledger with equal parts.
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

// BenchmarkLedger measures one ledger: its stored size, its reading, the plan of a visit, and its writing.
func BenchmarkLedger(b *testing.B) {
	for _, owners := range fleetSizes {
		led := costLedger(owners)
		data, err := led.Marshal()
		if err != nil {
			b.Fatal(err)
		}
		own := led.Entries[owners/2]
		vis := share.PlanInput{
			Owner:            own.Owner,
			Resource:         share.Resource{Name: "link/a/b", Capacity: led.Capacity},
			CatalogueVersion: led.CatalogueVersion,
			ConfirmedUnits:   own.Units,
			Expired:          func(share.Entry) bool { return false },
		}
		for name, run := range map[string]func(){
			"parse":   func() { _, _ = share.ParseLedger(data) },
			"plan":    func() { led.Plan(vis) },
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

// costStore is a store whose ledgers are all the same. It counts calls and bytes.
type costStore struct {
	cardamompass.Store
	data    []byte
	reads   int
	writes  int
	inspect int
	bytes   int
	// trip is the round trip of each call.
	trip time.Duration
}

func (sto *costStore) travel(ctx context.Context) (err error) {
	if sto.trip == 0 {
		return nil
	}
	tmr := time.NewTimer(sto.trip)
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
	if err := sto.travel(ctx); err != nil {
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
	sto.inspect++
	if err := sto.travel(ctx); err != nil {
		return lse, err
	}
	return cardamompass.Lease{
		ID: lid,
	}, nil
}

// costMembers are the owners that are alive; the first is this VM.
type costMembers []cardamompass.Member

func (mbs costMembers) Self() cardamompass.Member { return mbs[0] }

func (mbs costMembers) Members() []cardamompass.Member {
	return append([]cardamompass.Member(nil), mbs...)
}

// costPool returns a pool among owners VMs, of which the last dead ones are gone while their leases live.
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

// BenchmarkVisit measures one visit of all ledgers of 4 regions and counts its calls of the store. Dead owners have
// live leases, as after a crash.
func BenchmarkVisit(b *testing.B) {
	for _, owners := range fleetSizes {
		for _, dead := range []int{0, max(1, owners/11), max(2, owners/4)} {
			b.Run(fmt.Sprintf("owners=%d/dead=%d", owners, dead), func(b *testing.B) {
				pol, sto := costPool(b, owners, dead, costResources(4), cardamompass.SystemClock{})
				pol.Rebalance(b.Context())
				sto.reads, sto.writes, sto.inspect, sto.bytes = 0, 0, 0, 0
				rounds := 0
				for b.Loop() {
					pol.Rebalance(b.Context())
					rounds++
				}
				b.ReportMetric(float64(sto.reads)/float64(rounds), "gets/visit")
				b.ReportMetric(float64(sto.writes)/float64(rounds), "puts/visit")
				b.ReportMetric(float64(sto.inspect)/float64(rounds), "lease-reads/visit")
				b.ReportMetric(float64(sto.bytes)/float64(rounds), "ledger-B/visit")
			})
		}
	}
}

// BenchmarkVisitFar measures the visit of one ledger from a region with a round trip of 70 ms to the store, while dead
// owners have live leases. Each lease is read by itself, and a visit has 3 s. owned is the units after the visit.
func BenchmarkVisitFar(b *testing.B) {
	for _, dead := range []int{0, 10, 39, 107} {
		b.Run(fmt.Sprintf("dead=%d", dead), func(b *testing.B) {
			owned := int64(0)
			for b.Loop() {
				pol, sto := costPool(b, 430, dead, costResources(4)[:1], cardamompass.SystemClock{})
				sto.trip = 70 * time.Millisecond
				pol.Rebalance(b.Context())
				owned = pol.State().Resources[0].Owned
			}
			b.ReportMetric(float64(owned), "owned")
		})
	}
}

// BenchmarkBorrowRound measures a round of loans without demand. Each VM does ten a second.
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

// stepClock moves only when it is told to.
type stepClock struct{ now time.Time }

func (clk *stepClock) Now() time.Time { return clk.now }

func (clk *stepClock) NewTimer(dur time.Duration) cardamompass.Timer {
	return cardamompass.SystemClock{}.NewTimer(dur)
}

// BenchmarkLend measures the answer to a borrower that asks ten times a second, as each VM does that lacks units.
func BenchmarkLend(b *testing.B) {
	for _, borrowers := range []int{1, 3, 12, 48} {
		b.Run(fmt.Sprintf("borrowers=%d", borrowers), func(b *testing.B) {
			clk := &stepClock{
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

// BenchmarkPoolMemory reports the memory of a pool by the number of regions between which caps are divided. With each
// of the 89 sites as a region of its own there are caps between all pairs.
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

// BenchmarkStorm reports the loans that a VM holds after 5 s in which a quarter of the VMs lack units of one rate. A VM that
// still lacks units asks each of its lenders ten times a second.
func BenchmarkStorm(b *testing.B) {
	for _, owners := range fleetSizes {
		b.Run(fmt.Sprintf("vms=%d", owners), func(b *testing.B) {
			for b.Loop() {
				reportStorm(b, newWorld(*seed, owners))
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

func reportStorm(b *testing.B, wld *world) {
	wld.capacity["link/gulf/delta"] = 1_000_000
	for _, one := range wld.vms {
		one.setResources(2)
	}
	// Two visits of each VM divide the units.
	for range 2 {
		for _, one := range wld.vms {
			one.pol.Rebalance(context.Background())
			wld.now = wld.now.Add(10 * time.Millisecond)
		}
	}
	storm := len(wld.vms) / 4
	for range 50 {
		wld.now = wld.now.Add(100 * time.Millisecond)
		for num, one := range wld.vms {
			one.pol.BorrowRound(context.Background())
			for range 10 {
				if num < storm {
					one.pol.Rate("link/gulf/delta").Allow(5000, "short")
				}
			}
		}
	}
	total, most, usable := 0, 0, int64(0)
	for _, one := range wld.vms[:storm] {
		for _, res := range one.pol.State().Resources {
			if res.Name == "link/gulf/delta" {
				total += len(res.Borrowed)
				most = max(most, len(res.Borrowed))
				usable += res.Usable
			}
		}
	}
	b.ReportMetric(float64(total)/float64(storm), "loans/VM")
	b.ReportMetric(float64(most), "max-loans")
	b.ReportMetric(float64(usable)/float64(wld.capacity["link/gulf/delta"])*100, "percent-of-cap")
}
