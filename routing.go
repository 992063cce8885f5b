package cardamompass

import (
	"strings"
	"time"
)

// InstanceID identifies one start of a target.
type InstanceID string

// RoutingTable is one version of what operators say about routes and services. It is immutable.
type RoutingTable struct {
	// Version orders the tables. A greater version is newer.
	Version uint64
	// Routes are all routes, in no particular order.
	Routes []Route
	// Services are the services by name.
	Services map[ServiceName]ServicePolicy
	// Limits bound what a caller may send.
	Limits CallerLimits
}

// Route says how requests of one host and path prefix are served.
type Route struct {
	// Name identifies the route.
	Name string
	// Host is the host name in lower case, without a port.
	Host string
	// Prefix starts and ends with a slash. The longest matching prefix of a host wins.
	Prefix string
	// Idempotent is set when a request may run more than once.
	Idempotent bool
	// Timeout is the longest time for which a caller may be kept waiting.
	Timeout time.Duration
	// LatencyObjective is the time within which an answer has its full value.
	LatencyObjective time.Duration
	// Priority is the rank of the route, 0 the highest.
	Priority int
	// WeightedServices are the services that share the requests, at least one.
	WeightedServices []WeightedService
	// MaxTargets bounds the targets to which one request may be sent, at least 1.
	MaxTargets int
	// Sticky is set when a target that has handled an object serves it faster.
	Sticky bool
	// HomeRegions are the only regions that may serve the route; empty for all.
	HomeRegions []Region
}

// WeightedService is one service of a route.
type WeightedService struct {
	Service ServiceName
	// Weight is its share of the requests relative to the other parts, more than 0.
	Weight float64
}

// ServicePolicy is what operators say about the targets of a service.
type ServicePolicy struct {
	Name ServiceName
	// ColdFor is the time for which a target is cold after its start.
	ColdFor time.Duration
	// ColdRate is the number of requests a second that a cold target tolerates.
	ColdRate float64
}

// CallerLimits bound what callers may send. Zero values mean no bound.
type CallerLimits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Match returns the route with the longest prefix for a host in lower case and a path.
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

// Instance is one start of a target as it registered itself.
type Instance struct {
	ID            InstanceID
	Service       ServiceName
	Region        Region
	FailureDomain FailureDomain
	// Address is host:port by IP number.
	Address string
	// Slots is the number of requests that it runs at the same time.
	Slots int
	// Leaving is set while the instance prepares to stop.
	Leaving bool
	// ColdFor is how long the instance said that it stays cold, at the time of the registration.
	ColdFor time.Duration
	// StartMillis is the time of its start in milliseconds since the Unix epoch, 0 if it did not say.
	StartMillis int64
}

// SameStart reports whether both describe the same start of the same target.
func (ins Instance) SameStart(oth Instance) bool {
	return ins.ID == oth.ID && ins.StartMillis == oth.StartMillis && ins.Address == oth.Address && ins.Service == oth.Service
}

// Load is what an instance says of itself with an answer.
type Load struct {
	// Running and Waiting are the requests at the instance.
	Running int
	Waiting int
	// Slots is the number of requests that it runs at the same time.
	Slots int
	// Slowness is how long work takes at the moment relative to the usual time; 1 is usual.
	Slowness float64
}
