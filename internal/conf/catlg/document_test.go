package catlg_test

import (
	"errors"
	"math/rand/v2"
	"net/netip"
	"os"
	"reflect"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"cardamompass"
	"cardamompass/internal/conf/catlg"
	"cardamompass/internal/conf/jsonc"
)

// seed returns the seed of a run, from CARDAMOMPASS_SEED or random. It is printed when the test fails.
func seed(t *testing.T) (num int64) {
	num = rand.Int64()
	if txt := os.Getenv("CARDAMOMPASS_SEED"); txt != "" {
		var err error
		if num, err = strconv.ParseInt(txt, 10, 64); err != nil {
			t.Fatal(err)
		}
	}
	t.Logf("CARDAMOMPASS_SEED=%d", num)
	return num
}

func example(t testing.TB, name string) (doc *catlg.Document) {
	data, err := os.ReadFile("../../../examples/catalogue-" + name + ".json")
	if err != nil {
		t.Fatal(err)
	}
	if doc, err = catlg.ParseFile(name, data); err != nil {
		t.Fatal(err)
	}
	return doc
}

func marshal(t testing.TB, doc *catlg.Document) string {
	data, err := catlg.Marshal(doc)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// Guards against examples that are invalid or do not have the sizes given in section 2 of the design.
func TestExamples(t *testing.T) {
	tests := []struct {
		name        string
		short, long cardamompass.ServiceName
		targets     int
		slots       int
		connections int
	}{
		{name: "magnolia", short: "kiosk-core", long: "manuals-dl", targets: 20, slots: 6, connections: 330},
		{name: "sanjha", short: "ledger", long: "depot-files", targets: 35, slots: 3, connections: 390},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			doc := example(t, tst.name)
			if err := catlg.Validate(doc); err != nil {
				t.Fatal(err)
			}
			cat := catlg.NewCatalogue(doc)
			count := map[cardamompass.ServiceName]int{}
			for _, reg := range cat.Regions() {
				for _, svc := range []cardamompass.ServiceName{tst.short, tst.long} {
					tgts := cat.TargetsOf(svc, reg.Name)
					count[svc] += len(tgts)
					if svc == tst.short && (tgts[0].Slots != tst.slots || tgts[0].Connections != tst.connections) {
						t.Errorf("%+v", tgts[0])
					}
					for _, oth := range reg.FallbackRegions {
						if lnk, ok := cat.Link(reg.Name, oth); !ok || lnk.KbitPerSecond != 4_000_000 {
							t.Errorf("link %s to %s: %+v", reg.Name, oth, lnk)
						}
						if _, ok := cat.Shift(svc, reg.Name, oth); !ok {
							t.Errorf("no shift of %s from %s to %s", svc, reg.Name, oth)
						}
					}
				}
			}
			if count[tst.short] != tst.targets || count[tst.long] != 12 || len(cat.Targets()) != tst.targets+12 ||
				len(cat.Regions()) != 3 || len(cat.Links()) != 6 || len(cat.Shifts()) != 12 || len(cat.Clients()) != 3 || len(cat.Services()) != 2 {
				t.Fatalf("targets %v", count)
			}
		})
	}
}

func entries(txt string) string { return `{"version":9,"entries":{` + txt + `}}` }

func TestParseFaults(t *testing.T) {
	tests := []struct {
		name string
		data string
		want string
	}{
		{name: "comment is lost at the next get", data: "{\n// x\n\"version\":1,\"entries\":{}}", want: "f:1:2: comments are not allowed"},
		{name: "misspelt field is ignored", data: entries("\n" + `"shift/s/a/b":{"owner":"o","spec":{"request-per-second":1}}`), want: `f:2:36: entries.shift/s/a/b.spec.request-per-second: is not known; did you mean "requests-per-second"?`},
		{name: "second entry of a name wins silently", data: entries(`"region/a":{"owner":"o","deleted":true},"region/a":{"owner":"p","deleted":true}`), want: "entries.region/a: is given twice"},
		{name: "unknown kind", data: entries(`"zone/a":{"owner":"o","deleted":true}`), want: "the name is not valid; use region/NAME"},
		{name: "part is missing", data: entries(`"link/a":{"owner":"o","deleted":true}`), want: "the name is not valid"},
		{name: "path traversal in a name", data: entries(`"region/../a":{"owner":"o","deleted":true}`), want: "the name is not valid"},
		{name: "deleted entry that still has a spec", data: entries(`"region/a":{"owner":"o","deleted":true,"spec":{}}`), want: "a deleted entry has no spec"},
		{name: "entry without a spec", data: entries(`"region/a":{"owner":"o"}`), want: `"spec" is missing`},
		{name: "field of a spec is missing", data: entries(`"shift/s/a/b":{"owner":"o","spec":{}}`), want: `"requests-per-second" is missing`},
		{name: "timeout overflows", data: entries(`"service/a":{"owner":"o","spec":{"class":"short","max-timeout-ms":9223372036854775807,"max-body-bytes":1,"queue-length":1}}`), want: "out of range"},
		{name: "negative version", data: `{"version":-1,"entries":{}}`, want: "-1 is out of range"},
		{name: "time that RFC 3339 cannot represent in UTC", data: entries(`"region/a":{"owner":"o","deleted":true,"edited-at":"9999-12-31T23:59:59-12:00"}`), want: "is not a time"},
		{name: "prefix without a length", data: entries(`"clients/a":{"owner":"o","spec":{"region":"a","prefixes":["10.0.0.0"]}}`), want: "is not a CIDR prefix"},
		{name: "edit id twice", data: `{"version":1,"entries":{},"edits":[{"id":"a","version":1,"by":"x","content":"0000000000000000"},{"id":"a","version":1,"by":"x","content":"0000000000000000"}]}`, want: "edits must have different ids"},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			if _, err := catlg.ParseFile("f", []byte(tst.data)); err == nil || !strings.Contains(err.Error(), tst.want) {
				t.Fatalf("error is %v\nwant %s", err, tst.want)
			}
		})
	}
}

// Guards against invalid values that reach steering, and against a report that stops at the first problem.
func TestValidateReportsAllFaults(t *testing.T) {
	doc, err := catlg.Parse([]byte(entries(`
"region/a":{"owner":"","spec":{"failure-domains":["x","x"],"near":["a","q"]}},
"region/b":{"owner":"o","version":10,"spec":{"failure-domains":[]}},
"service/s":{"owner":"o","spec":{"class":"medium","max-timeout-ms":240001,"max-body-bytes":99999999999,"queue-length":1}},
"target/t":{"owner":"o","spec":{"service":"u","region":"a","failure-domain":"y","address":"localhost:1","slots":3,"connections":2}},
"target/u":{"owner":"o","spec":{"service":"s","region":"c","failure-domain":"x","address":"127.0.0.1:1","slots":0,"connections":1}},
"target/v":{"owner":"o","spec":{"service":"s","region":"a","failure-domain":"x","address":"127.0.0.1:1","slots":1,"connections":1}},
"link/a/a":{"owner":"o","spec":{"kbit-per-second":0,"long-percent":100}},
"shift/s/a/d":{"owner":"o","spec":{"requests-per-second":0}},
"region/d":{"owner":"o\u001b[2J","deleted":true},
"clients/m":{"owner":"o","spec":{"region":"a","prefixes":["10.0.0.0/8","10.1.0.0/16"]}},
"clients/n":{"owner":"o","spec":{"region":"b","prefixes":["10.1.0.0/16","10.1.2.3/8"]}}`)))
	if err != nil {
		t.Fatal(err)
	}
	want := []string{
		"clients/n prefixes: 10.1.0.0/16 is also in clients/m",
		"clients/n prefixes: 10.1.2.3/8 has bits after", "clients/n prefixes: 10.0.0.0/8 is also in clients/m",
		"link/a/a to: both regions", "link/a/a kbit-per-second: 0 is out", "link/a/a long-percent: 100 is out",
		"region/a owner: name the person", "region/a failure-domains: \"x\"", "region/a near: a region must not list itself", "region/a near: region \"q\" is not",
		"region/b version: 10 exceeds", "region/b failure-domains: is empty",
		"region/d owner: name the person",
		"service/s class: \"medium\"", "service/s max-timeout-ms: 240001 is out", "service/s max-body-bytes: 99999999999 is out",
		"shift/s/a/d to: region \"d\" is not",
		"target/t service: service \"u\" is not", "target/t failure-domain: \"y\" is not", "target/t connections: 2 connections", "target/t address: \"localhost:1\"",
		"target/u region: region \"c\" is not", "target/u slots: 0 is out",
		"target/v address: 127.0.0.1:1 is also the address of target/u",
	}
	var prs *jsonc.ProblemsError
	if !errors.As(catlg.Validate(doc), &prs) || len(prs.Problems) != len(want) {
		t.Fatalf("want %d problems, got:\n%v", len(want), catlg.Validate(doc))
	}
	for idx, prb := range prs.Problems {
		if !strings.HasPrefix(prb.String(), want[idx]) {
			t.Errorf("problem %d is %s\nwant %s", idx, prb, want[idx])
		}
	}
}

// Guards against accepting a document that is too large for the store.
func TestValidateSize(t *testing.T) {
	doc := catlg.Empty()
	for idx := range 6000 {
		doc = doc.WithEntry(shiftEntry(t, "s", strings.Repeat("o", 128), idx))
	}
	if err := catlg.Validate(doc); err == nil || !strings.Contains(err.Error(), "the store takes at most 1048576") {
		t.Fatalf("error is %.200v", err)
	}
}

func shiftEntry(t testing.TB, to, owner string, rate int) (ent catlg.Entry) {
	if rate >= 100 {
		to += strconv.Itoa(rate)
	}
	reg := cardamompass.Region(to)
	ent, err := catlg.NewEntry(catlg.ShiftEntry("svc", "a", reg), owner, cardamompass.ShiftLimit{
		Service:           "svc",
		From:              "a",
		To:                reg,
		RequestsPerSecond: int64(rate),
	})
	if err != nil {
		t.Fatal(err)
	}
	return ent
}

// Guards against an entry with a spec of another name, and against an entry that changes when the caller changes its slices.
func TestNewEntry(t *testing.T) {
	if _, err := catlg.NewEntry("region/a", "o", cardamompass.RegionInfo{Name: "b"}); err == nil {
		t.Fatal("region b was accepted as region/a")
	}
	pfxs := []netip.Prefix{netip.MustParsePrefix("10.0.0.0/8")}
	ent, err := catlg.NewEntry("clients/a", "o", cardamompass.ClientBlocks{Region: "a", Prefixes: pfxs})
	pfxs[0] = netip.MustParsePrefix("11.0.0.0/8")
	if spc, _ := catlg.SpecOf[cardamompass.ClientBlocks](ent); err != nil || spc.Prefixes[0].String() != "10.0.0.0/8" {
		t.Fatalf("%v %v", spc, err)
	}
}

// Guards against a change that is missing in the output for operators.
func TestDiffShowsEachChange(t *testing.T) {
	old := catlg.Empty().WithEntry(shiftEntry(t, "b", "o", 1), shiftEntry(t, "c", "o", 1), shiftEntry(t, "d", "o", 1))
	edited := old.WithDeleted("shift/svc/a/b").WithEntry(shiftEntry(t, "c", "p", 2), shiftEntry(t, "e", "o", 3))
	want := []string{
		`- shift/svc/a/b owner=o {"requests-per-second":1}`,
		`~ shift/svc/a/c owner: o -> p, requests-per-second: 1 -> 2`,
		`+ shift/svc/a/e owner=o {"requests-per-second":3}`,
	}
	var got []string
	for _, chg := range catlg.Diff(old, edited) {
		got = append(got, chg.String())
	}
	if !reflect.DeepEqual(got, want) {
		t.Fatalf("%q", got)
	}
}

// randomDocument returns a document of few entries, so that versions, contents and edit ids often collide.
func randomDocument(t testing.TB, num int64) *catlg.Document {
	rnd := rand.New(rand.NewPCG(uint64(num), 0))
	var bld strings.Builder
	edits, sep := map[string]string{}, ""
	for range rnd.IntN(6) {
		by := strconv.Itoa(rnd.IntN(2))
		bld.WriteString(sep + `"shift/s/a/` + strconv.Itoa(len(edits)) + `":{"owner":"` + by + `","version":` + strconv.Itoa(rnd.IntN(3)))
		if sep = ","; rnd.IntN(2) == 0 {
			bld.WriteString(`,"edited-at":"2026-01-01T00:00:0` + strconv.Itoa(rnd.IntN(2)) + `Z"`)
		}
		if rnd.IntN(3) == 0 {
			bld.WriteString(`,"deleted":true}`)
		} else {
			bld.WriteString(`,"spec":{"requests-per-second":` + strconv.Itoa(rnd.IntN(2)) + `}}`)
		}
		edits[strconv.Itoa(len(edits))] = by
	}
	var recs []string
	for idx := 80 * rnd.IntN(2); idx > 0 && len(recs) < catlg.MaxEdits; idx -= 1 + rnd.IntN(2) {
		recs = append(recs, `{"id":"e`+strconv.Itoa(idx)+`","version":`+strconv.Itoa(idx+100)+`,"by":"x","content":"`+strings.Repeat("0", 16)+`"}`)
	}
	doc, err := catlg.Parse([]byte(`{"version":` + strconv.Itoa(rnd.IntN(4)) + `,"edits":[` + strings.Join(recs, ",") + `],"entries":{` + bld.String() + `}}`))
	if err != nil {
		t.Fatal(err)
	}
	return doc
}

// Guards against VMs whose catalogues differ permanently because updates arrived in different orders.
func TestMergeProperties(t *testing.T) {
	prs := gopter.DefaultTestParametersWithSeed(seed(t))
	prs.MinSuccessfulTests = 200
	pps := gopter.NewProperties(prs)
	doc := gen.Int64().Map(func(num int64) *catlg.Document { return randomDocument(t, num) })
	same := func(one, two *catlg.Document) bool {
		return marshal(t, one) == marshal(t, two) && one.Digest() == two.Digest()
	}
	pps.Property("commutative", prop.ForAll(func(one, two *catlg.Document) bool {
		return same(catlg.Merge(one, two), catlg.Merge(two, one))
	}, doc, doc))
	pps.Property("associative", prop.ForAll(func(one, two, thr *catlg.Document) bool {
		return same(catlg.Merge(catlg.Merge(one, two), thr), catlg.Merge(one, catlg.Merge(two, thr)))
	}, doc, doc, doc))
	pps.Property("idempotent", prop.ForAll(func(one, two *catlg.Document) bool {
		both := catlg.Merge(one, two)
		return same(catlg.Merge(one, one), one) && same(catlg.Merge(both, two), both)
	}, doc, doc))
	pps.Property("a delta has exactly the entries after its version", prop.ForAll(func(one, two *catlg.Document) bool {
		both := catlg.Merge(one, two)
		for version := uint64(0); version <= both.Version(); version++ {
			delta := both.Since(version)
			for _, ent := range both.Entries() {
				if _, has := delta.Entry(ent.Name); has != (ent.Version > version) {
					return false
				}
			}
		}
		return true
	}, doc, doc))
	pps.Property("digest differs when an entry differs", prop.ForAll(func(one, two *catlg.Document) bool {
		return (one.Digest() == two.Digest()) == (one.Version() == two.Version() && reflect.DeepEqual(one.Entries(), two.Entries()))
	}, doc, doc))
	pps.Property("marshal and parse round trip", prop.ForAll(func(one *catlg.Document) bool {
		two, err := catlg.Parse([]byte(marshal(t, one)))
		return err == nil && same(one, two)
	}, doc))
	pps.TestingRun(t)
}

// Guards against a panic on arbitrary input, and against a document that changes in a round trip.
func FuzzParse(f *testing.F) {
	// Seeds are small, because the fuzzer would spend its time minimizing large ones.
	f.Add([]byte(entries(`"region/a":{"owner":"o","version":2,"edited-by":"x","spec":{"failure-domains":["x"],"near":["b"]}}`)))
	f.Add([]byte(entries(`"service/s":{"owner":"o","spec":{"class":"long","always-idempotent":true,"max-timeout-ms":9,"max-body-bytes":1,"queue-length":1}}`)))
	f.Add([]byte(entries(`"target/t":{"owner":"o","spec":{"service":"s","region":"a","failure-domain":"x","address":"127.0.0.1:1","slots":1,"connections":2}}`)))
	f.Add([]byte(entries(`"link/a/b":{"owner":"o","spec":{"kbit-per-second":1,"long-percent":50}}`)))
	for num := range int64(5) {
		f.Add([]byte(marshal(f, randomDocument(f, num))))
	}
	f.Add([]byte(entries(`"clients/a":{"owner":"<o>","edited-at":"2026-01-01T00:00:00.5+01:00","spec":{"region":"a","prefixes":["::ffff:1.2.3.4/120"]}}`)))
	f.Fuzz(func(t *testing.T, data []byte) {
		doc, err := catlg.Parse(data)
		if err != nil {
			var prs *jsonc.ProblemsError
			if !errors.As(err, &prs) {
				t.Fatalf("untyped error %v", err)
			}
			return
		}
		txt := marshal(t, doc)
		two, err := catlg.Parse([]byte(txt))
		if err != nil || marshal(t, two) != txt || two.Digest() != doc.Digest() {
			t.Fatalf("round trip: %v\n%s", err, txt)
		}
		_ = catlg.Validate(doc)
	})
}

// BenchmarkLargeDocument uses a document of 5,000 targets, near the size limit of the store, to bound the cost of an edit at an
// entry VM.
func BenchmarkLargeDocument(b *testing.B) {
	doc := example(b, "magnolia")
	for idx := range 5000 {
		tgt := cardamompass.Target{ID: cardamompass.TargetID("t" + strconv.Itoa(idx)), Service: "kiosk-core", Region: "gulf", FailureDomain: "a", Address: "127.0.0.1:" + strconv.Itoa(30000+idx), Slots: 6, Connections: 330}
		ent, err := catlg.NewEntry(catlg.TargetEntry(tgt.ID), "o", tgt)
		if err != nil {
			b.Fatal(err)
		}
		doc = doc.WithEntry(ent)
	}
	data, part := []byte(marshal(b, doc)), catlg.Empty().WithEntry(doc.Entries()[0].Tombstone())
	b.Logf("%d bytes", len(data))
	for nam, run := range map[string]func(){
		"parse":     func() { _, _ = catlg.Parse(data) },
		"marshal":   func() { _, _ = catlg.Marshal(doc) },
		"validate":  func() { _ = catlg.Validate(doc) },
		"catalogue": func() { catlg.NewCatalogue(doc) },
		"merge":     func() { catlg.Merge(doc, part) },
		"digest":    func() { doc.WithEntry().Digest() },
	} {
		b.Run(nam, func(b *testing.B) {
			for b.Loop() {
				run()
			}
		})
	}
}

var testTime = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
