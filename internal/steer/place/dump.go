package place

import (
	"maps"
	"slices"
	"strings"
	"time"

	"cardamompass"
)

// Dump is the state of a Balancer for the state dump.
type Dump struct {
	// VMs is the number of VMs among which common budgets are divided.
	VMs int `json:"vms"`
	// Splits is, for each service, the fraction of the own region's objects that each region serves.
	Splits  map[cardamompass.ServiceName]map[cardamompass.Region]float64 `json:"parts"`
	Targets []TargetDump                                                 `json:"targets"`
}

// TargetDump is the state of one instance.
type TargetDump struct {
	Instance cardamompass.InstanceID    `json:"instance"`
	Service  cardamompass.ServiceName   `json:"service"`
	Domain   cardamompass.FailureDomain `json:"failure-domain"`
	// Leaving is set when the registration, the instance itself or another VM says so.
	Leaving  bool `json:"leaving"`
	InFlight int  `json:"in-flight"`
	// Load is the estimated number of requests at the instance; LoadAge is the age of the last load report in seconds.
	Load     float64 `json:"load"`
	LoadAge  float64 `json:"load-age"`
	Slowness float64 `json:"slowness"`
	Failures float64 `json:"failures"`
	// AvoidFor and ColdFor are the remaining times in seconds, 0 if the instance is not avoided or not cold.
	AvoidFor float64 `json:"avoid-for"`
	ColdFor  float64 `json:"cold-for"`
	// BackoffFor is how long the instance still wants no requests, in seconds.
	BackoffFor float64 `json:"backoff-for"`
}

// Dump returns the state at now.
func (bal *Balancer) Dump(now time.Time) (dmp Dump) {
	bal.mu.Lock()
	defer bal.mu.Unlock()
	dmp.VMs = bal.vms.count(now)
	dmp.Splits = make(map[cardamompass.ServiceName]map[cardamompass.Region]float64)
	for svc, spl := range bal.splits {
		dmp.Splits[svc] = maps.Clone(spl.current)
	}
	for id, sta := range bal.states {
		dmp.Targets = append(dmp.Targets, TargetDump{
			Instance:   id,
			Service:    sta.ins.Service,
			Domain:     sta.ins.FailureDomain,
			Leaving:    sta.ins.Leaving || sta.standing.isLeaving(now),
			InFlight:   sta.inFlight,
			Load:       sta.estimatedLoad(now),
			LoadAge:    now.Sub(sta.loadAt).Seconds(),
			Slowness:   sta.slowness(now),
			Failures:   sta.failureRate(now),
			AvoidFor:   max(0, sta.avoidUntil.Sub(now).Seconds()),
			ColdFor:    max(0, sta.coldUntil.Sub(now).Seconds()),
			BackoffFor: max(0, sta.standing.backoffUntil.Sub(now).Seconds()),
		})
	}
	slices.SortFunc(dmp.Targets, func(one, two TargetDump) int { return strings.Compare(string(one.Instance), string(two.Instance)) })
	return dmp
}
