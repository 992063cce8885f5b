package catlg_test

import (
	"fmt"
	"net/netip"
	"runtime"
	"strings"
	"testing"

	"cardamompass"
	"cardamompass/internal/conf/catlg"
)

// largeDocument returns a catalogue of 4 regions with 11 failure domains and the given number of sites, each with 32 targets,
// as many as all sites of one user have today. Each site has one entry with the given number of client blocks.
func largeDocument(b *testing.B, sites, blocks int) *catlg.Document {
	var ents []catlg.Entry
	add := func(ent catlg.Entry, err error) {
		if err != nil {
			b.Fatal(err)
		}
		ents = append(ents, ent)
	}
	regions := []cardamompass.Region{"north", "south", "east", "west"}
	services := []cardamompass.ServiceName{"kiosk-core", "manuals-dl"}
	for pos, reg := range regions {
		add(catlg.NewEntry(catlg.RegionEntry(reg), "network", cardamompass.RegionInfo{Name: reg, FailureDomains: []cardamompass.FailureDomain{"a", "b", "c"}[:3-pos/3]}))
		for _, oth := range regions {
			if oth == reg {
				continue
			}
			add(catlg.NewEntry(catlg.LinkEntry(reg, oth), "network", cardamompass.Link{From: reg, To: oth, KbitPerSecond: 4_000_000, LongPercent: 60}))
			for _, svc := range services {
				add(catlg.NewEntry(catlg.ShiftEntry(svc, reg, oth), "network", cardamompass.ShiftLimit{Service: svc, From: reg, To: oth, RequestsPerSecond: 100_000}))
			}
		}
	}
	for _, svc := range services {
		add(catlg.NewEntry(catlg.ServiceEntry(svc), "kiosks", cardamompass.Service{Name: svc, Class: "short", MaxTimeout: 1e9, MaxBodyBytes: 1 << 16, QueueLength: 256}))
	}
	block := 0
	for site := range sites {
		for num := range 32 {
			tid := cardamompass.TargetID(fmt.Sprintf("site-%02d-%s-%02d", site, services[num/20], num))
			add(catlg.NewEntry(catlg.TargetEntry(tid), "kiosks", cardamompass.Target{
				ID: tid, Service: services[num/20], Region: regions[site%4], FailureDomain: "a",
				Address: fmt.Sprintf("10.%d.%d.20:8080", site, num), Slots: 6, Connections: 330,
			}))
		}
		cls := cardamompass.ClientBlocks{Region: regions[site%4]}
		for range blocks {
			// Multiplication by an odd number yields every /24 block once, in a scattered order.
			num := block * 40503 & (1<<24 - 1)
			cls.Prefixes = append(cls.Prefixes, netip.PrefixFrom(netip.AddrFrom4([4]byte{byte(num >> 16), byte(num >> 8), byte(num)}), 24))
			block++
		}
		add(catlg.NewEntry(catlg.EntryName(fmt.Sprintf("clients/site-%02d", site)), "network", cls))
	}
	return withHistory(b, catlg.Empty().WithEntry(ents...))
}

// withHistory returns the document as it is after years of edits: each entry has a version, an author and a time, and the
// document has the records of the last 64 edits.
func withHistory(b *testing.B, doc *catlg.Document) *catlg.Document {
	txt := strings.ReplaceAll(marshal(b, doc), `,"version":0,`, `,"version":401500,"edited-by":"operator-12","edited-at":"2026-01-02T03:04:05.123456789Z",`)
	var edits []string
	for num := range catlg.MaxEdits {
		edits = append(edits, fmt.Sprintf(`{"id":"0f8fad5b-d9cb-469f-a165-%012x","version":%d,"by":"operator-12","content":"%016x"}`, num, 401500-num, num))
	}
	txt = strings.Replace(txt, `{"version":0,`, `{"version":401500,"edits":[`+strings.Join(edits, ",")+`],`, 1)
	doc, err := catlg.Parse([]byte(txt))
	if err != nil {
		b.Fatal(err)
	}
	return doc
}

// BenchmarkEntryBytes reports the number of bytes that one target, its tombstone and one client block add to the stored
// document, and the size of the delta of an edit.
func BenchmarkEntryBytes(b *testing.B) {
	size := func(doc *catlg.Document) float64 { return float64(len(marshal(b, doc))) }
	doc := largeDocument(b, 3, 10)
	name := catlg.TargetEntry("site-00-kiosk-core-00")
	ent, _ := doc.Entry(name)
	bare := catlg.Empty()
	for b.Loop() {
		_ = size(bare)
	}
	b.ReportMetric(size(bare.WithEntry(ent))-size(bare), "B/target")
	b.ReportMetric(size(bare.WithEntry(ent.Tombstone()))-size(bare), "B/tombstone")
	b.ReportMetric((size(largeDocument(b, 3, 1010))-size(doc))/3000, "B/block")
	b.ReportMetric(size(doc.Since(401500).WithEntry(ent)), "B/part-of-an-edit")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkCatalogueMemory reports the memory that a parsed document and its catalogue occupy.
func BenchmarkCatalogueMemory(b *testing.B) {
	for _, size := range []struct{ sites, blocks int }{{3, 10}, {12, 10}, {30, 10}, {89, 10}, {89, 400}, {89, 1600}} {
		data := []byte(marshal(b, largeDocument(b, size.sites, size.blocks)))
		b.Run(fmt.Sprintf("sites=%d/blocks=%d", size.sites, size.sites*size.blocks), func(b *testing.B) {
			var retained uint64
			for b.Loop() {
				before := heapBytes()
				doc, err := catlg.Parse(data)
				if err != nil {
					b.Fatal(err)
				}
				cat := catlg.NewCatalogue(doc)
				retained = heapBytes() - before
				runtime.KeepAlive(cat)
			}
			b.ReportMetric(float64(retained)/(1<<20), "MiB")
			b.ReportMetric(0, "ns/op")
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var mst runtime.MemStats
	runtime.ReadMemStats(&mst)
	return mst.HeapAlloc
}

// BenchmarkCatalogue measures the cost of an edit at an entry VM for different numbers of sites. The time until an edit is
// active includes parse, merge and catalogue at each hop. A document with bytes/limit above 1 does not fit into the store.
func BenchmarkCatalogue(b *testing.B) {
	for _, size := range []struct{ sites, blocks int }{{3, 10}, {12, 10}, {30, 10}, {89, 10}, {89, 400}, {89, 1600}} {
		doc := largeDocument(b, size.sites, size.blocks)
		data := []byte(marshal(b, doc))
		delta := catlg.Empty().WithEntry(doc.Entries()[0].Tombstone())
		for name, run := range map[string]func(){
			"parse":     func() { _, _ = catlg.Parse(data) },
			"marshal":   func() { _, _ = catlg.Marshal(doc) },
			"merge":     func() { catlg.Merge(doc, delta) },
			"digest":    func() { doc.WithEntry().Digest() },
			"catalogue": func() { catlg.NewCatalogue(doc) },
		} {
			b.Run(fmt.Sprintf("sites=%d/blocks=%d/%s", size.sites, size.sites*size.blocks, name), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					run()
				}
				b.ReportMetric(float64(len(data))/cardamompass.MaxValueBytes, "bytes/limit")
				b.ReportMetric(float64(doc.Len()), "entries")
			})
		}
	}
}
