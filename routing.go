package cardamompass

import (
	"strings"
	"time"
)

// InstanceID identifies an instance, which is one start of a target.
type InstanceID string

// RoutingTable is one version of the operators' configuration of routes and services. It is immutable.
type RoutingTable struct {
	// Version orders the tables; a newer table has a greater version.
	Version uint64
	// Routes are all routes, in no particular order.
	Routes []Route
	// Services maps service names to their policies.
	Services map[ServiceName]ServicePolicy
	// Limits bounds what callers may send.
	Limits CallerLimits
	// Teams maps the names of teams to teams; empty if callers need no key.
	Teams map[TeamName]*Team
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

// AllowsRegion reports whether the route may be served in region reg.
func (rte *Route) AllowsRegion(reg Region) bool {
	if len(rte.HomeRegions) == 0 {
		return true
	}
	for _, hom := range rte.HomeRegions {
		if hom == reg {
			return true
		}
	}
	return false
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
