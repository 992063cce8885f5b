package lookup_test

import (
	"encoding/json"
	"errors"
	"flag"
	"math/rand"
	"net/netip"
	"testing"
	"time"

	"github.com/gaissmai/bart"

	"cardamompass"
	"cardamompass/internal/edge/lookup"
)

var seed = flag.Int64("lookup-seed", 1, "seed of the generated client blocks")

func randomBlocks(rnd *rand.Rand, count int) (blocks []lookup.Block) {
	for range count {
		reg := cardamompass.Region([]string{"gulf", "delta", "piedmont"}[rnd.Intn(3)])
		if rnd.Intn(4) == 0 {
			var oct [16]byte
			rnd.Read(oct[:3])
			blocks = append(blocks, lookup.Block{
				Prefix: netip.PrefixFrom(netip.AddrFrom16(oct), 16+rnd.Intn(49)).Masked(),
				Region: reg,
			})
			continue
		}
		// A small number of different first bytes makes nested and adjacent prefixes likely.
		oct := [4]byte{byte(10 + rnd.Intn(3)), byte(rnd.Intn(4)), byte(rnd.Intn(256)), byte(rnd.Intn(256))}
		blocks = append(blocks, lookup.Block{
			Prefix: netip.PrefixFrom(netip.AddrFrom4(oct), 4+rnd.Intn(29)).Masked(),
			Region: reg,
		})
	}
	return blocks
}

// Guards against a wrong region for an address in nested or adjacent blocks, or outside all blocks, by comparison with a trie.
func TestTableAgreesWithTrie(t *testing.T) {
	t.Logf("seed %d; set it with -lookup-seed", *seed)
	rnd := rand.New(rand.NewSource(*seed))
	for range 200 {
		blocks := randomBlocks(rnd, rnd.Intn(60))
		var trie bart.Table[cardamompass.Region]
		for _, blk := range blocks {
			trie.Insert(blk.Prefix, blk.Region)
		}
		tbl, err := lookup.NewTable(blocks)
		if err != nil {
			t.Fatal(err)
		}
		for range 300 {
			addr := netip.AddrFrom4([4]byte{byte(9 + rnd.Intn(5)), byte(rnd.Intn(5)), byte(rnd.Intn(256)), byte(rnd.Intn(256))})
			if rnd.Intn(4) == 0 {
				var oct [16]byte
				rnd.Read(oct[:8])
				addr = netip.AddrFrom16(oct)
			}
			got, gotOK := tbl.Region(addr)
			want, wantOK := trie.Lookup(addr)
			if got != want || gotOK != wantOK {
				t.Fatalf("seed %d: %v in %v: got %q %v, want %q %v", *seed, addr, blocks, got, gotOK, want, wantOK)
			}
		}
	}
}

// Guards against an update of one shard that changes addresses of other shards or misses addresses of its own.
func TestWithShardReplacesOneFirstByte(t *testing.T) {
	tbl, err := lookup.NewTable([]lookup.Block{
		{Prefix: netip.MustParsePrefix("10.0.0.0/8"), Region: "gulf"},
		{Prefix: netip.MustParsePrefix("11.0.0.0/8"), Region: "gulf"},
	})
	if err != nil {
		t.Fatal(err)
	}
	res, err := tbl.WithShard(10, []lookup.Block{
		{Prefix: netip.MustParsePrefix("10.1.0.0/16"), Region: "delta"},
	})
	if err != nil {
		t.Fatal(err)
	}
	for addr, want := range map[string]cardamompass.Region{"10.1.2.3": "delta", "10.2.0.0": "", "11.2.0.0": "gulf"} {
		if got, _ := res.Region(netip.MustParseAddr(addr)); got != want {
			t.Errorf("%s: got %q, want %q", addr, got, want)
		}
	}
	var inv *cardamompass.InvalidError
	if _, err := tbl.WithShard(10, []lookup.Block{{Prefix: netip.MustParsePrefix("11.0.0.0/9")}}); !errors.As(err, &inv) {
		t.Errorf("block outside the shard: got %v, want an InvalidError", err)
	}
}

func member(vid, reg, dom string, state cardamompass.MemberState) cardamompass.Member {
	return cardamompass.Member{
		VM: cardamompass.VM{
			ID:            cardamompass.VMID(vid),
			Region:        cardamompass.Region(reg),
			FailureDomain: cardamompass.FailureDomain(dom),
			CallerAddress: "127.0.0.1:1",
		},
		State: state,
	}
}

func sevenVMs() lookup.View {
	return lookup.View{
		Members: []cardamompass.Member{
			member("d1", "delta", "a", cardamompass.StateAlive),
			member("d2", "delta", "b", cardamompass.StateAlive),
			member("g1", "gulf", "a", cardamompass.StateAlive),
			member("g2", "gulf", "a", cardamompass.StateAlive),
			member("g3", "gulf", "b", cardamompass.StateAlive),
			member("p1", "piedmont", "a", cardamompass.StateSuspect),
			member("p2", "piedmont", "b", cardamompass.StateLeaving),
		},
		Regions: map[cardamompass.Region]cardamompass.RegionInfo{
			"gulf":     {FallbackRegions: []cardamompass.Region{"delta", "piedmont"}},
			"delta":    {FallbackRegions: []cardamompass.Region{"gulf", "piedmont"}},
			"piedmont": {FallbackRegions: []cardamompass.Region{"delta", "gulf"}},
		},
		Services: map[cardamompass.ServiceName]bool{"kiosk-core": true},
	}
}

// Guards against a list whose first two VMs share a failure domain, that contains a leaving VM, or that has a suspect VM
// before an alive one.
func TestOrder(t *testing.T) {
	view := sevenVMs()
	firsts := map[cardamompass.VMID]int{}
	for rot := range 64 {
		list := lookup.Order(view, "gulf", rot)
		if len(list) != lookup.MaxVMs {
			t.Fatalf("rotation %d: %d VMs, want %d", rot, len(list), lookup.MaxVMs)
		}
		firsts[list[0].ID]++
		if list[0].Region != "gulf" || list[0].FailureDomain == list[1].FailureDomain {
			t.Errorf("rotation %d: %v before %v", rot, list[0], list[1])
		}
		for _, vmr := range list {
			if vmr.ID == "p2" {
				t.Errorf("rotation %d names the leaving VM", rot)
			}
		}
	}
	if len(firsts) != 3 {
		t.Errorf("first VMs %v, want all three of the region", firsts)
	}
	if list := lookup.Order(view, "piedmont", 0); list[len(list)-1].ID != "p1" && list[0].ID == "p1" {
		t.Errorf("suspect VM comes first: %v", list)
	}
}

// Guards against a response to a look-up that should be refused, and against a stale response after a change of the view.
func TestAnswer(t *testing.T) {
	rsv := lookup.New(lookup.Config{
		Clock:         cardamompass.SystemClock{},
		MaxAge:        5 * time.Second,
		IssueTicket:   func(vm cardamompass.VM, _ time.Time) string { return string(vm.ID) + "/1/1" },
		DefaultRegion: "gulf",
	})
	qry := lookup.Query{
		Service: "kiosk-core",
		Region:  "delta",
	}
	var nrn *cardamompass.NotRunError
	if _, err := rsv.Resolve(qry); !errors.As(err, &nrn) {
		t.Fatalf("without a catalogue: got %v, want a NotRunError", err)
	}
	rsv.SetView(sevenVMs())
	data, err := rsv.Resolve(qry)
	if err != nil {
		t.Fatal(err)
	}
	var rsp lookup.Response
	if err := json.Unmarshal(data, &rsp); err != nil {
		t.Fatal(err)
	}
	if rsp.VMs[0].Region != "delta" || rsp.Ticket != string(rsp.VMs[0].ID)+"/1/1" || rsp.MaxAgeMillis != 5000 {
		t.Errorf("response %+v", rsp)
	}
	var inv *cardamompass.InvalidError
	for _, bad := range []lookup.Query{{Service: "nowhere"}, {Service: "kiosk-core", Region: "nowhere"}} {
		if _, err := rsv.Resolve(bad); !errors.As(err, &inv) {
			t.Errorf("%+v: got %v, want an InvalidError", bad, err)
		}
	}
	view := sevenVMs()
	view.Members = view.Members[:1]
	rsv.SetView(view)
	data, err = rsv.Resolve(qry)
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(data, &rsp); err != nil || len(rsp.VMs) != 1 {
		t.Errorf("after the view shrank: %d VMs, error %v", len(rsp.VMs), err)
	}
}
