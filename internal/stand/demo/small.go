package demo

import (
	"fmt"
	"time"

	"go.uber.org/zap"

	"cardamompass"
	"cardamompass/internal/conf/catlg"
	"cardamompass/internal/stand/target"
)

const (
	// Short is a service with short requests.
	Short = cardamompass.ServiceName("kiosk-core")
	// Long is a service with long downloads.
	Long = cardamompass.ServiceName("manuals-dl")
)

// regions are the regions of the demo, each with the failure domains a and b.
var regions = []cardamompass.Region{"gulf", "delta", "piedmont"}

// Small returns the configuration of the demo: three regions, seven entry VMs, six targets of each service.
func Small(log *zap.Logger) (cfg Config, err error) {
	doc, err := document()
	if err != nil {
		return cfg, err
	}
	cfg = Config{
		Log:      log,
		Document: doc,
		VMs: []Place{
			{Region: "gulf", FailureDomain: "a"},
			{Region: "gulf", FailureDomain: "b"},
			{Region: "gulf", FailureDomain: "a"},
			{Region: "delta", FailureDomain: "a"},
			{Region: "delta", FailureDomain: "b"},
			{Region: "piedmont", FailureDomain: "a"},
			{Region: "piedmont", FailureDomain: "b"},
		},
		Behaviour: func(tgt cardamompass.Target) target.Behaviour {
			if tgt.Service == Long {
				return target.Behaviour{
					ServiceMS:     50,
					ResponseBytes: 4 << 20,
				}
			}
			return target.Behaviour{
				ServiceMS:     5,
				ResponseBytes: 512,
			}
		},
	}
	for _, reg := range regions {
		for _, dom := range []cardamompass.FailureDomain{"a", "b"} {
			cfg.Targets = append(cfg.Targets, smallTarget(Short, reg, dom, 6), smallTarget(Long, reg, dom, 3))
		}
	}
	return cfg, nil
}

func smallTarget(
	svc cardamompass.ServiceName, reg cardamompass.Region, dom cardamompass.FailureDomain, slots int,
) cardamompass.Target {
	const connections = 330
	return cardamompass.Target{
		ID:            cardamompass.TargetID(fmt.Sprintf("%s-%s-%s", svc, reg, dom)),
		Service:       svc,
		Region:        reg,
		FailureDomain: dom,
		Slots:         slots,
		Connections:   connections,
	}
}

// document returns the catalogue of the demo without targets.
func document() (doc *catlg.Document, err error) {
	bld := builder{
		doc: catlg.Empty(),
	}
	addServices(&bld)
	for _, reg := range regions {
		var near []cardamompass.Region
		for _, oth := range regions {
			if oth != reg {
				near = append(near, oth)
			}
		}
		add(&bld, catlg.RegionEntry(reg), cardamompass.RegionInfo{
			Name:            reg,
			FailureDomains:  []cardamompass.FailureDomain{"a", "b"},
			FallbackRegions: near,
		})
		for _, oth := range near {
			addLink(&bld, reg, oth)
		}
	}
	return bld.doc, bld.err
}

func addServices(bld *builder) {
	add(bld, catlg.ServiceEntry(Short), cardamompass.Service{
		Name:         Short,
		Class:        cardamompass.ClassShort,
		MaxTimeout:   5 * time.Second,
		MaxBodyBytes: 64 << 10,
		QueueLength:  256,
	})
	add(bld, catlg.ServiceEntry(Long), cardamompass.Service{
		Name:             Long,
		Class:            cardamompass.ClassLong,
		AlwaysIdempotent: true,
		MaxTimeout:       time.Minute,
		MaxBodyBytes:     1 << 10,
		QueueLength:      64,
	})
}

func addLink(bld *builder, from, to cardamompass.Region) {
	add(bld, catlg.LinkEntry(from, to), cardamompass.Link{
		From:          from,
		To:            to,
		KbitPerSecond: 4_000_000,
		LongPercent:   80,
	})
	for _, svc := range []cardamompass.ServiceName{Short, Long} {
		add(bld, catlg.ShiftEntry(svc, from, to), cardamompass.ShiftLimit{
			Service:           svc,
			From:              from,
			To:                to,
			RequestsPerSecond: 2000,
		})
	}
}

// builder adds entries to a document and keeps the first error.
type builder struct {
	doc *catlg.Document
	err error
}

func add[S catlg.Spec](bld *builder, name catlg.EntryName, spec S) {
	if bld.err != nil {
		return
	}
	ent, err := catlg.NewEntry(name, "operations-team", spec)
	if err != nil {
		bld.err = err
		return
	}
	bld.doc = bld.doc.WithEntry(ent)
}
