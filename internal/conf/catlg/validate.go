package catlg

import (
	"fmt"
	"net/netip"
	"strings"
	"time"
	"unicode"

	"cardamompass"
	"cardamompass/internal/conf/jsonc"
)

// Limits of the catalogue.
const (
	// MaxOperationTimeout is the longest timeout of a service with non-idempotent requests. Operation records are kept for
	// longer than a ticket's lifetime plus this time, so the limit bounds the number of records.
	MaxOperationTimeout = 4 * time.Minute
	// MaxTimeout is the longest timeout of a service whose requests are all idempotent.
	MaxTimeout = time.Hour
	// MaxBodyBytes is the largest request body. Bodies are held in memory until the outcome is known.
	MaxBodyBytes = 64 << 20
	// MaxQueueLength is the longest queue of a service at one entry VM.
	MaxQueueLength = 100000
	// maxKbitPerSecond is 10 Tbit/s, more than any link has; a larger number indicates a wrong unit.
	maxKbitPerSecond = 10_000_000_000
	// maxRequestsPerSecond is more than the load of the whole system.
	maxRequestsPerSecond = 100_000_000
	// maxSlots bounds the slots and the connections of one target.
	maxSlots = 100000
)

// Validate returns nil if the document may be put, or else a *jsonc.ProblemsError with all problems: unknown references, values
// out of range, a region that is its own fallback, addresses that are not IP addresses, duplicate client blocks, a missing
// owner, versions above the document's, or an encoding of more than cardamompass.MaxValueBytes bytes.
func Validate(doc *Document) (err error) {
	chk := &checker{
		cat:       NewCatalogue(doc),
		addresses: map[string]EntryName{},
		prefixes:  map[netip.Prefix]EntryName{},
	}
	for _, ent := range doc.Entries() {
		chk.entry(ent)
	}
	data, err := Marshal(doc)
	if err != nil {
		return err
	}
	if len(data) > cardamompass.MaxValueBytes {
		chk.add("", "", "the document has %d bytes; the store takes at most %d", len(data), cardamompass.MaxValueBytes)
	}
	if len(chk.prbs) == 0 {
		return nil
	}
	return &jsonc.ProblemsError{
		Problems: chk.prbs,
	}
}

// printable reports whether txt can be shown as a name. It rejects control characters, which could change a terminal's output.
func printable(txt string) bool {
	return txt != "" && len(txt) <= 128 && !strings.ContainsFunc(txt, func(chr rune) bool { return !unicode.IsPrint(chr) })
}

type checker struct {
	cat       *Catalogue
	addresses map[string]EntryName
	prefixes  map[netip.Prefix]EntryName
	prbs      []jsonc.Problem
}

func (chk *checker) add(nam EntryName, field, format string, args ...any) {
	pth := string(nam)
	if field != "" {
		pth += " " + field
	}
	chk.prbs = append(chk.prbs, jsonc.Problem{
		Path:   pth,
		Reason: fmt.Sprintf(format, args...),
	})
}

func (chk *checker) checkRange(nam EntryName, field string, num, least, most int64) {
	if num < least || num > most {
		chk.add(nam, field, "%d is out of range; use a number from %d to %d", num, least, most)
	}
}

func (chk *checker) region(nam EntryName, field string, reg cardamompass.Region) {
	if _, ok := chk.cat.Region(reg); !ok {
		chk.add(nam, field, "region %q is not in the catalogue", reg)
	}
}

func (chk *checker) service(nam EntryName, field string, svc cardamompass.ServiceName) {
	if _, ok := chk.cat.Service(svc); !ok {
		chk.add(nam, field, "service %q is not in the catalogue", svc)
	}
}

func (chk *checker) pair(nam EntryName, from, to cardamompass.Region) {
	chk.region(nam, "from", from)
	chk.region(nam, "to", to)
	if from == to {
		chk.add(nam, "to", "both regions are %q; use two different ones", from)
	}
}

func (chk *checker) entry(ent Entry) {
	if !printable(ent.Owner) {
		chk.add(ent.Name, "owner", "name the person or group responsible for the entry, in 1 to 128 printable characters")
	}
	if ent.Version > chk.cat.Version() {
		chk.add(ent.Name, "version", "%d exceeds the document's version %d", ent.Version, chk.cat.Version())
	}
	switch spc := ent.spec.(type) {
	case cardamompass.RegionInfo:
		chk.regionInfo(ent.Name, spc)
	case cardamompass.Service:
		chk.serviceSpec(ent.Name, spc)
	case cardamompass.Target:
		chk.target(ent.Name, spc)
	case cardamompass.Link:
		chk.pair(ent.Name, spc.From, spc.To)
		chk.checkRange(ent.Name, "kbit-per-second", spc.KbitPerSecond, 1, maxKbitPerSecond)
		chk.checkRange(ent.Name, "long-percent", int64(spc.LongPercent), 1, 99)
	case cardamompass.ShiftLimit:
		chk.pair(ent.Name, spc.From, spc.To)
		chk.service(ent.Name, "service", spc.Service)
		chk.checkRange(ent.Name, "requests-per-second", spc.RequestsPerSecond, 0, maxRequestsPerSecond)
	case cardamompass.ClientBlocks:
		chk.clients(ent.Name, spc)
	}
}

func (chk *checker) regionInfo(nam EntryName, spc cardamompass.RegionInfo) {
	if len(spc.FailureDomains) == 0 {
		chk.add(nam, "failure-domains", "is empty; name at least one")
	}
	seen := map[string]bool{}
	for _, dom := range spc.FailureDomains {
		if !partPattern.MatchString(string(dom)) || seen[string(dom)] {
			chk.add(nam, "failure-domains", "%q is not a name or is given twice", dom)
		}
		seen[string(dom)] = true
	}
	near := map[cardamompass.Region]bool{}
	for _, reg := range spc.FallbackRegions {
		switch {
		case reg == spc.Name:
			chk.add(nam, "near", "a region must not list itself; remove %q", reg)
		case near[reg]:
			chk.add(nam, "near", "%q is given twice", reg)
		default:
			chk.region(nam, "near", reg)
		}
		near[reg] = true
	}
}

func (chk *checker) serviceSpec(nam EntryName, spc cardamompass.Service) {
	if spc.Class != cardamompass.ClassShort && spc.Class != cardamompass.ClassLong {
		chk.add(nam, "class", "%q is not a class; use %q or %q", spc.Class, cardamompass.ClassShort, cardamompass.ClassLong)
	}
	most := MaxOperationTimeout
	if spc.AlwaysIdempotent {
		most = MaxTimeout
	}
	chk.checkRange(nam, "max-timeout-ms", spc.MaxTimeout.Milliseconds(), 1, most.Milliseconds())
	chk.checkRange(nam, "max-body-bytes", spc.MaxBodyBytes, 0, MaxBodyBytes)
	chk.checkRange(nam, "queue-length", int64(spc.QueueLength), 0, MaxQueueLength)
}

func (chk *checker) target(nam EntryName, spc cardamompass.Target) {
	chk.service(nam, "service", spc.Service)
	chk.region(nam, "region", spc.Region)
	if reg, ok := chk.cat.Region(spc.Region); ok && !containsDomain(reg, spc.FailureDomain) {
		chk.add(nam, "failure-domain", "%q is not in region %q, which has %v", spc.FailureDomain, reg.Name, reg.FailureDomains)
	}
	chk.checkRange(nam, "slots", int64(spc.Slots), 1, maxSlots)
	chk.checkRange(nam, "connections", int64(spc.Connections), 1, maxSlots)
	if spc.Connections < spc.Slots {
		chk.add(nam, "connections", "%d connections are too few for %d slots", spc.Connections, spc.Slots)
	}
	adr, err := netip.ParseAddrPort(spc.Address)
	if err != nil || adr.Port() == 0 || adr.Addr().IsUnspecified() {
		chk.add(nam, "address", `%q is not an address; use an IP address and a port, such as "10.0.0.1:8080"`, spc.Address)
		return
	}
	if oth, ok := chk.addresses[adr.String()]; ok {
		chk.add(nam, "address", "%s is also the address of %s", adr, oth)
	}
	chk.addresses[adr.String()] = nam
}

func containsDomain(reg cardamompass.RegionInfo, dom cardamompass.FailureDomain) bool {
	for _, one := range reg.FailureDomains {
		if one == dom {
			return true
		}
	}
	return false
}

// clients accepts a block inside a larger one, because the longest match applies. A duplicate block would be ambiguous.
func (chk *checker) clients(nam EntryName, spc cardamompass.ClientBlocks) {
	chk.region(nam, "region", spc.Region)
	for _, pfx := range spc.Prefixes {
		if pfx != pfx.Masked() {
			chk.add(nam, "prefixes", "%s has bits after its prefix length; use %s", pfx, pfx.Masked())
		}
		if oth, ok := chk.prefixes[pfx.Masked()]; ok {
			chk.add(nam, "prefixes", "%s is also in %s", pfx.Masked(), oth)
		}
		chk.prefixes[pfx.Masked()] = nam
	}
}
