package cardamompass

import (
	"slices"
	"strings"
	"time"
)

// InstanceID identifies an instance, which is one start of a target.
type InstanceID string

// RoutingTable is one version of the operators' configuration of routes, services and teams. It is immutable.
type RoutingTable struct {
	// Version orders the tables; a newer table has a greater version.
	Version uint64
	// Routes are all routes, in no particular order.
	Routes []Route
	// Services maps service names to their policies.
	Services map[ServiceName]ServicePolicy
	// Limits bounds what callers may send.
	Limits CallerLimits
	// Teams maps the names of all teams to them; empty if the deployment has no teams, and callers need no keys.
	Teams map[TeamName]*Team

	index *tableIndex // nil unless the table is the result of WithIndex
}

// Route configures how requests for one host and path prefix are served.
type Route struct {
	// Name identifies the route.
	Name string
	// Host is the host name in lower case, without a port.
	Host string
	// Prefix starts and ends with a slash. The longest matching prefix of a host wins.
	Prefix string
	// Idempotent is set when a request may run more than once.
	Idempotent bool
	// Timeout is the longest time for which a caller waits for a response.
	Timeout time.Duration
	// LatencyObjective is the time within which a response has its full value to the caller.
	LatencyObjective time.Duration
	// Priority is the priority of the route; 0 is the highest.
	Priority int
	// WeightedServices are the services among which the requests are split, at least one.
	WeightedServices []WeightedService
	// MaxTargets bounds the targets to which one request may be sent, at least 1.
	MaxTargets int
	// Sticky is set when requests with the same affinity key are served faster by the same target.
	Sticky bool
	// HomeRegions are the regions that may serve the route; empty if all may.
	HomeRegions []Region
	// Public is set when requests need no key. They then have no team, whatever key they carry.
	Public bool
}

// WeightedService is a service of a route with its share of the requests.
type WeightedService struct {
	Service ServiceName
	// Weight is the share of the requests relative to the other services of the route, more than 0.
	Weight float64
}

// ServicePolicy is the operators' configuration of the targets of a service.
type ServicePolicy struct {
	Name ServiceName
	// ColdFor is the time for which a target is cold after its start.
	ColdFor time.Duration
	// ColdRate is the number of requests per second that a cold target can handle.
	ColdRate float64
}

// CallerLimits bounds what callers may send. A zero value means no bound.
type CallerLimits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Match returns the route with the longest prefix that matches host and path. The host must be in lower case.
func (tbl *RoutingTable) Match(host, path string) (rte *Route, ok bool) {
	if tbl.index != nil {
		return tbl.index.match(host, path)
	}
	for num := range tbl.Routes {
		cnd := &tbl.Routes[num]
		if cnd.Host != host || !strings.HasPrefix(path, cnd.Prefix) {
			continue
		}
		if rte == nil || len(cnd.Prefix) > len(rte.Prefix) {
			rte = cnd
		}
	}
	return rte, rte != nil
}

// HasTeams reports whether the deployment has teams, so that requests for routes that aren't public need a key. tbl may be
// nil.
func (tbl *RoutingTable) HasTeams() (ok bool) { return tbl != nil && len(tbl.Teams) > 0 }

// TeamOf returns the team that has a key. Only a table that WithIndex returned knows keys. The empty key belongs to no team.
func (tbl *RoutingTable) TeamOf(key string) (tea *Team, ok bool) {
	if tbl.index == nil || key == "" {
		return nil, false
	}
	tea, ok = tbl.index.teams[hashKey(key)]
	return tea, ok
}

// HigherPriorities returns the number of different priorities of routes and teams that are higher than pri.
func (tbl *RoutingTable) HigherPriorities(pri int) (count int) {
	priorities := tbl.priorities()
	count, _ = slices.BinarySearch(priorities, pri)
	return count
}

// priorities returns the different priorities of routes and teams in ascending order.
func (tbl *RoutingTable) priorities() (list []int) {
	if tbl.index != nil {
		return tbl.index.priorities
	}
	return sortedPriorities(tbl)
}

// HomeRegions returns the regions to which routes of a host, given in lower case, are restricted, in no particular order. It is empty if
// no route of the host is.
func (tbl *RoutingTable) HomeRegions(host string) (regions []Region) {
	for num := range tbl.Routes {
		rte := &tbl.Routes[num]
		if rte.Host != host {
			continue
		}
		for _, hom := range rte.HomeRegions {
			if !slices.Contains(regions, hom) {
				regions = append(regions, hom)
			}
		}
	}
	return regions
}

// AllowsRegion reports whether the route may be served in region reg.
func (rte *Route) AllowsRegion(reg Region) (ok bool) { return allowsRegion(rte.HomeRegions, reg) }

// AllowsTeam reports whether any region may serve the route for a team; tea is nil for a request without a team.
func (rte *Route) AllowsTeam(tea *Team) (ok bool) {
	return tea == nil || len(tea.HomeRegions) == 0 || len(rte.HomeRegions) == 0 ||
		slices.ContainsFunc(tea.HomeRegions, rte.AllowsRegion)
}

// allowsRegion reports whether region reg is one of the home regions homes; all are if there are none.
func allowsRegion(homes []Region, reg Region) (ok bool) {
	return len(homes) == 0 || slices.Contains(homes, reg)
}

// Instance is one start of a target, as the target registered it.
type Instance struct {
	ID            InstanceID
	Service       ServiceName
	Region        Region
	FailureDomain FailureDomain
	// Address is host:port with an IP address as the host.
	Address string
	// Slots is the number of requests that the instance runs concurrently.
	Slots int
	// Leaving is set while the instance prepares to stop.
	Leaving bool
	// ColdFor is how long the instance stays cold, counted from its registration.
	ColdFor time.Duration
	// StartMillis is the start time in milliseconds since the Unix epoch, 0 if not specified.
	StartMillis int64
}

// SameStart reports whether both describe the same start of the same target.
func (ins Instance) SameStart(oth Instance) bool {
	return ins.ID == oth.ID && ins.StartMillis == oth.StartMillis && ins.Address == oth.Address && ins.Service == oth.Service
}

// Load is the load of an instance, as reported in a response.
type Load struct {
	// Running and Waiting are the numbers of requests that run and wait at the instance.
	Running int
	Waiting int
	// Slots is the number of requests that the instance runs concurrently.
	Slots int
	// Slowness is the current time for a unit of work relative to the usual time; 1 is the usual speed.
	Slowness float64
}
