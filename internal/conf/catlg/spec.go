package catlg

import (
	"encoding/json"
	"math"
	"net/netip"
	"time"

	"cardamompass"
	"cardamompass/internal/conf/jsonc"
)

// maxMillis bounds durations while parsing, so that they fit a time.Duration.
const maxMillis = math.MaxInt64 / int64(time.Millisecond)

type regionJSON struct {
	FailureDomains []cardamompass.FailureDomain `json:"failure-domains"`
	Near           []cardamompass.Region        `json:"near,omitempty"`
}

type serviceJSON struct {
	Class            cardamompass.Class `json:"class"`
	AlwaysIdempotent bool               `json:"always-idempotent,omitempty"`
	MaxTimeoutMs     int64              `json:"max-timeout-ms"`
	MaxBodyBytes     int64              `json:"max-body-bytes"`
	QueueLength      int                `json:"queue-length"`
}

type targetJSON struct {
	Service       cardamompass.ServiceName   `json:"service"`
	Region        cardamompass.Region        `json:"region"`
	FailureDomain cardamompass.FailureDomain `json:"failure-domain"`
	Address       string                     `json:"address"`
	Slots         int                        `json:"slots"`
	Connections   int                        `json:"connections"`
}

type linkJSON struct {
	KbitPerSecond int64 `json:"kbit-per-second"`
	LongPercent   int   `json:"long-percent"`
}

type shiftJSON struct {
	RequestsPerSecond int64 `json:"requests-per-second"`
}

type clientsJSON struct {
	Region   cardamompass.Region `json:"region"`
	Prefixes []netip.Prefix      `json:"prefixes"`
}

// encodeSpec returns the JSON encoding of a spec. Equal specs have equal encodings.
func encodeSpec(spec any) (raw []byte) {
	raw, err := encode(toJSON(spec))
	if err != nil {
		// This cannot happen: the fields are strings, booleans, numbers and prefixes, all of which can be encoded.
		panic(err)
	}
	return raw
}

func toJSON(spec any) any {
	switch spc := spec.(type) {
	case cardamompass.RegionInfo:
		return regionJSON{
			FailureDomains: nonNil(spc.FailureDomains),
			Near:           spc.FallbackRegions,
		}
	case cardamompass.Service:
		return serviceJSON{
			Class:            spc.Class,
			AlwaysIdempotent: spc.AlwaysIdempotent,
			MaxTimeoutMs:     spc.MaxTimeout.Milliseconds(),
			MaxBodyBytes:     spc.MaxBodyBytes,
			QueueLength:      spc.QueueLength,
		}
	case cardamompass.Target:
		return targetJSON{
			Service:       spc.Service,
			Region:        spc.Region,
			FailureDomain: spc.FailureDomain,
			Address:       spc.Address,
			Slots:         spc.Slots,
			Connections:   spc.Connections,
		}
	case cardamompass.Link:
		return linkJSON{
			KbitPerSecond: spc.KbitPerSecond,
			LongPercent:   spc.LongPercent,
		}
	case cardamompass.ShiftLimit:
		return shiftJSON{
			RequestsPerSecond: spc.RequestsPerSecond,
		}
	case cardamompass.ClientBlocks:
		return clientsJSON{
			Region:   spc.Region,
			Prefixes: nonNil(spc.Prefixes),
		}
	default:
		return json.RawMessage("null")
	}
}

func nonNil[T any](lst []T) []T {
	if lst == nil {
		return []T{}
	}
	return lst
}

// specReader reads the members of a spec. Members are required unless they are read with an optional method.
type specReader struct {
	*jsonc.Object
}

func (rdr specReader) text(name string) (txt string) {
	if nod, ok := rdr.Require(name); ok {
		txt, _ = nod.Text()
	}
	return txt
}

func (rdr specReader) number(name string, most int64) (num int64) {
	if nod, ok := rdr.Require(name); ok {
		num, _ = nod.Int(0, most)
	}
	return num
}

func (rdr specReader) count(name string) int { return int(rdr.number(name, math.MaxInt32)) }

func (rdr specReader) optionalBool(name string) (yes bool) {
	if nod, ok := rdr.Get(name); ok {
		yes, _ = nod.Bool()
	}
	return yes
}

func texts[T ~string](nod jsonc.Node, ok bool) (lst []T) {
	if !ok {
		return nil
	}
	txts, _ := nod.Texts()
	for _, txt := range txts {
		lst = append(lst, T(txt))
	}
	return lst
}

// decodeSpec reads the spec of the entry nam, which must be a valid name. Problems are added to the report.
func decodeSpec(nam EntryName, nod jsonc.Node) (spec any) {
	rdr := specReader{Object: nod.Object()}
	defer rdr.Close()
	pts := nam.parts()
	switch nam.Kind() {
	case KindRegion:
		return decodeRegion(rdr, pts[0])
	case KindService:
		return decodeService(rdr, pts[0])
	case KindTarget:
		return decodeTarget(rdr, pts[0])
	case KindLink:
		return cardamompass.Link{
			From:          cardamompass.Region(pts[0]),
			To:            cardamompass.Region(pts[1]),
			KbitPerSecond: rdr.number("kbit-per-second", math.MaxInt64),
			LongPercent:   rdr.count("long-percent"),
		}
	case KindShift:
		return cardamompass.ShiftLimit{
			Service:           cardamompass.ServiceName(pts[0]),
			From:              cardamompass.Region(pts[1]),
			To:                cardamompass.Region(pts[2]),
			RequestsPerSecond: rdr.number("requests-per-second", math.MaxInt64),
		}
	default:
		return decodeClients(rdr)
	}
}

func decodeRegion(rdr specReader, name string) (spec cardamompass.RegionInfo) {
	spec.Name = cardamompass.Region(name)
	spec.FailureDomains = texts[cardamompass.FailureDomain](rdr.Require("failure-domains"))
	spec.FallbackRegions = texts[cardamompass.Region](rdr.Get("near"))
	return spec
}

func decodeService(rdr specReader, name string) (spec cardamompass.Service) {
	return cardamompass.Service{
		Name:             cardamompass.ServiceName(name),
		Class:            cardamompass.Class(rdr.text("class")),
		AlwaysIdempotent: rdr.optionalBool("always-idempotent"),
		MaxTimeout:       time.Duration(rdr.number("max-timeout-ms", maxMillis)) * time.Millisecond,
		MaxBodyBytes:     rdr.number("max-body-bytes", math.MaxInt64),
		QueueLength:      rdr.count("queue-length"),
	}
}

func decodeTarget(rdr specReader, name string) (spec cardamompass.Target) {
	return cardamompass.Target{
		ID:            cardamompass.TargetID(name),
		Service:       cardamompass.ServiceName(rdr.text("service")),
		Region:        cardamompass.Region(rdr.text("region")),
		FailureDomain: cardamompass.FailureDomain(rdr.text("failure-domain")),
		Address:       rdr.text("address"),
		Slots:         rdr.count("slots"),
		Connections:   rdr.count("connections"),
	}
}

func decodeClients(rdr specReader) (spec cardamompass.ClientBlocks) {
	spec.Region = cardamompass.Region(rdr.text("region"))
	nod, ok := rdr.Require("prefixes")
	if !ok {
		return spec
	}
	nods, _ := nod.Array()
	for _, one := range nods {
		txt, good := one.Text()
		pfx, err := netip.ParsePrefix(txt)
		if good && err != nil {
			one.Fail(`%q is not a CIDR prefix; use an IP address and a prefix length, such as "10.1.0.0/16"`, txt)
		}
		spec.Prefixes = append(spec.Prefixes, pfx)
	}
	return spec
}
