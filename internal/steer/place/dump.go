package place

import (
	"maps"
	"slices"
	"strings"
	"time"

	"cardamompass"
)

// Dump is the state of a Board for operators.
type Dump struct {
	// VMs is the number of VMs among which common budgets are divided.
	VMs int `json:"vms"`
	// Parts is, for each service, the part of the own region's objects that each region serves.
	Parts   map[cardamompass.ServiceName]map[cardamompass.Region]float64 `json:"parts"`
	Targets []TargetDump                                                 `json:"targets"`
}

// TargetDump is the state of one instance.
type TargetDump struct {
	Instance cardamompass.InstanceID    `json:"instance"`
	Service  cardamompass.ServiceName   `json:"service"`
	Domain   cardamompass.FailureDomain `json:"failure-domain"`
	Leaving  bool                       `json:"leaving"`
	InFlight int                        `json:"in-flight"`
	// Load is the estimated number of requests there; LoadAge is the age of the last statement, in seconds.
	Load     float64 `json:"load"`
	LoadAge  float64 `json:"load-age"`
	Slowness float64 `json:"slowness"`
	Failures float64 `json:"failures"`
	// AvoidFor and ColdFor are in seconds, 0 if not.
	AvoidFor float64 `json:"avoid-for"`
	ColdFor  float64 `json:"cold-for"`
}

// Dump returns the state at a time.
func (brd *Balancer) Dump(now time.Time) (dmp Dump) {
	brd.mu.Lock()
	defer brd.mu.Unlock()
	dmp.VMs = brd.vms.count(now)
	dmp.Parts = make(map[cardamompass.ServiceName]map[cardamompass.Region]float64)
	for svc, prt := range brd.parts {
		dmp.Parts[svc] = maps.Clone(prt.now)
	}
	for id, sta := range brd.states {
		dmp.Targets = append(dmp.Targets, TargetDump{
			Instance: id,
			Service:  sta.ins.Service,
			Domain:   sta.ins.FailureDomain,
			Leaving:  sta.ins.Leaving,
			InFlight: sta.inFlight,
			Load:     sta.estimate(now),
			LoadAge:  now.Sub(sta.loadAt).Seconds(),
			Slowness: sta.slowness(now),
			Failures: sta.failureRate(now),
			AvoidFor: max(0, sta.avoidUntil.Sub(now).Seconds()),
			ColdFor:  max(0, sta.coldUntil.Sub(now).Seconds()),
		})
	}
	slices.SortFunc(dmp.Targets, func(one, two TargetDump) int { return strings.Compare(string(one.Instance), string(two.Instance)) })
	return dmp
}
