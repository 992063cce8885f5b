package lookup_test

import (
	"fmt"
	"math/rand"
	"net/netip"
	"runtime"
	"slices"
	"strconv"
	"testing"
	"time"
	"unsafe"

	"cardamompass"
	"cardamompass/internal/edge/lookup"
)

// targetBlocks and targetSites are the numbers of client blocks and sites for which the system is designed.
const (
	targetBlocks = 2_800_000
	targetSites  = 89
)

func scatteredBlocks() (blocks []lookup.Block) {
	rnd := rand.New(rand.NewSource(1))
	used := make([]bool, 1<<24)
	for len(blocks) < targetBlocks {
		base := rnd.Intn(1 << 24)
		for off := range 1 + rnd.Intn(64) {
			num := (base + off) & (1<<24 - 1)
			if used[num] || len(blocks) == targetBlocks {
				continue
			}
			used[num] = true
			blocks = append(blocks, lookup.Block{
				Prefix: netip.PrefixFrom(netip.AddrFrom4([4]byte{byte(num >> 16), byte(num >> 8), byte(num), 0}), 24),
				Region: cardamompass.Region(strconv.Itoa(rnd.Intn(targetSites))),
			})
		}
	}
	return blocks
}

func heapBytes() uint64 {
	runtime.GC()
	var mst runtime.MemStats
	runtime.ReadMemStats(&mst)
	return mst.HeapAlloc
}

// BenchmarkTable measures memory, reads and updates of a table of targetBlocks blocks.
func BenchmarkTable(b *testing.B) {
	blocks := scatteredBlocks()
	before := heapBytes()
	tbl, err := lookup.NewTable(blocks)
	if err != nil {
		b.Fatal(err)
	}
	size := float64(heapBytes()-before) / (1 << 20)
	rnd := rand.New(rand.NewSource(2))
	addrs := make([]netip.Addr, 1<<16)
	for num := range addrs {
		oct := blocks[rnd.Intn(len(blocks))].Prefix.Addr().As4()
		oct[3] = byte(rnd.Intn(256))
		addrs[num] = netip.AddrFrom4(oct)
	}
	var shard []lookup.Block
	for _, blk := range blocks {
		if blk.Prefix.Addr().As4()[0] == 77 {
			shard = append(shard, blk)
		}
	}
	b.Run("region", func(b *testing.B) {
		num := 0
		for b.Loop() {
			if _, ok := tbl.Region(addrs[num&(len(addrs)-1)]); !ok {
				b.Fatal("address not covered")
			}
			num++
		}
		b.ReportMetric(size, "MB")
	})
	b.Run("replace-shard", func(b *testing.B) {
		for b.Loop() {
			if _, err := tbl.WithShard(77, shard); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(len(shard)), "blocks")
	})
	runtime.KeepAlive(blocks)
}

// BenchmarkAnswer measures one look-up with a cached response, without the HTTP exchange.
func BenchmarkAnswer(b *testing.B) {
	rsv := lookup.New(lookup.Config{
		Clock:         cardamompass.SystemClock{},
		MaxAge:        5 * time.Second,
		IssueTicket:   func(vm cardamompass.VM, _ time.Time) string { return string(vm.ID) },
		DefaultRegion: "gulf",
	})
	rsv.SetView(sevenVMs())
	qry := lookup.Query{
		Service: "kiosk-core",
		Client:  netip.MustParseAddr("10.1.2.3"),
	}
	for b.Loop() {
		if _, err := rsv.Resolve(qry); err != nil {
			b.Fatal(err)
		}
	}
}

// secondClock advances by a second with each reading, so that no cached response is used.
type secondClock struct{ now time.Time }

func (clk *secondClock) Now() time.Time {
	clk.now = clk.now.Add(time.Second)
	return clk.now
}

func (clk *secondClock) NewTimer(dur time.Duration) cardamompass.Timer {
	return cardamompass.SystemClock{}.NewTimer(dur)
}

// fleetView returns a view with the given numbers of entry VMs and regions. The fallback regions of a region are all others.
func fleetView(vms, regions int) (view lookup.View) {
	view = lookup.View{
		Regions:  make(map[cardamompass.Region]cardamompass.RegionInfo),
		Services: map[cardamompass.ServiceName]bool{"kiosk-core": true},
	}
	for num := range regions {
		var inf cardamompass.RegionInfo
		for oth := range regions {
			if oth != num {
				inf.FallbackRegions = append(inf.FallbackRegions, cardamompass.Region(fmt.Sprintf("region-%02d", oth)))
			}
		}
		view.Regions[cardamompass.Region(fmt.Sprintf("region-%02d", num))] = inf
	}
	for num := range vms {
		view.Members = append(view.Members, member(fmt.Sprintf("entry-vm-%03d", num),
			fmt.Sprintf("region-%02d", num%regions), string(rune('a'+num/regions%3)), cardamompass.StateAlive))
	}
	return view
}

// BenchmarkBuild measures the time to build a response that is not cached, and its size, by the numbers of entry VMs and
// regions.
func BenchmarkBuild(b *testing.B) {
	for _, size := range []struct{ vms, regions int }{{7, 3}, {50, 4}, {200, 4}, {430, 4}, {430, 89}} {
		b.Run(fmt.Sprintf("vms=%d/regions=%d", size.vms, size.regions), func(b *testing.B) {
			rsv := lookup.New(lookup.Config{
				Clock:  &secondClock{},
				MaxAge: 5 * time.Second,
				IssueTicket: func(vm cardamompass.VM, _ time.Time) string {
					return string(vm.ID) + "/1790000000000000000/1790000000000"
				},
			})
			rsv.SetView(fleetView(size.vms, size.regions))
			var bytes int
			for b.Loop() {
				data, err := rsv.Resolve(lookup.Query{
					Service: "kiosk-core",
					Region:  "region-01",
				})
				if err != nil {
					b.Fatal(err)
				}
				bytes = len(data)
			}
			b.ReportMetric(float64(bytes), "B/answer")
		})
	}
}

// BenchmarkTableSize measures the memory of the table by the number of blocks.
func BenchmarkTableSize(b *testing.B) {
	all := scatteredBlocks()
	for _, count := range []int{350_000, 700_000, 1_400_000, targetBlocks} {
		b.Run(fmt.Sprintf("blocks=%d", count), func(b *testing.B) {
			var size uint64
			for b.Loop() {
				before := heapBytes()
				tbl, err := lookup.NewTable(all[:count])
				if err != nil {
					b.Fatal(err)
				}
				size = heapBytes() - before
				runtime.KeepAlive(tbl)
			}
			b.ReportMetric(float64(size)/(1<<20), "MiB")
			b.ReportMetric(float64(size)/float64(count), "B/block")
		})
	}
	runtime.KeepAlive(all)
}

// BenchmarkShardBytes reports the size of the largest and the mean shard of scattered blocks in the two forms in which a
// shard could be stored: JSON as in the catalogue, and three bytes of address, one of length and two of region.
func BenchmarkShardBytes(b *testing.B) {
	var text, count [256]int
	for _, blk := range scatteredBlocks() {
		first := blk.Prefix.Addr().As4()[0]
		text[first] += len(blk.Prefix.String()) + len(`"",`)
		count[first]++
	}
	for b.Loop() {
		_ = count
	}
	b.ReportMetric(float64(unsafe.Sizeof(lookup.Block{})), "B/Block")
	b.ReportMetric(float64(slices.Max(count[:])), "largest-blocks")
	b.ReportMetric(float64(targetBlocks)/256, "mean-blocks")
	b.ReportMetric(float64(slices.Max(text[:])), "largest-text-B")
	b.ReportMetric(float64(slices.Max(count[:])*6), "largest-binary-B")
	b.ReportMetric(0, "ns/op")
}
