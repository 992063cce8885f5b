package lookup_test

import (
	"math/rand"
	"net/netip"
	"runtime"
	"strconv"
	"testing"
	"time"

	"cardamompass"
	"cardamompass/internal/edge/lookup"
)

// targetBlocks is the number of client blocks at the target size, targetSites the number of sites.
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

func heap() uint64 {
	runtime.GC()
	var mst runtime.MemStats
	runtime.ReadMemStats(&mst)
	return mst.HeapAlloc
}

// BenchmarkTable measures memory, look-up and update at the target size.
func BenchmarkTable(b *testing.B) {
	blocks := scatteredBlocks()
	before := heap()
	tbl, err := lookup.NewTable(blocks)
	if err != nil {
		b.Fatal(err)
	}
	size := float64(heap()-before) / (1 << 20)
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

// BenchmarkAnswer measures one look-up without its HTTP exchange.
func BenchmarkAnswer(b *testing.B) {
	ans := lookup.New(lookup.Config{
		Clock:  cardamompass.SystemClock{},
		MaxAge: 5 * time.Second,
		Ticket: func(vm cardamompass.VM, _ time.Time) string { return string(vm.ID) },
		Home:   "gulf",
	})
	ans.SetView(sevenVMs())
	qst := lookup.Question{
		Service: "kiosk-core",
		Client:  netip.MustParseAddr("10.1.2.3"),
	}
	for b.Loop() {
		if _, err := ans.Answer(qst); err != nil {
			b.Fatal(err)
		}
	}
}
