package cardamompass

import (
	"net/netip"
	"time"
)

// RegionInfo is a region of the catalogue.
type RegionInfo struct {
	Name           Region
	FailureDomains []FailureDomain
	// FallbackRegions lists the other regions that may serve this region's callers, in order of preference.
	FallbackRegions []Region
}

// ClientBlocks assigns CIDR blocks of client addresses to a region.
type ClientBlocks struct {
	Region   Region
	Prefixes []netip.Prefix
}

// Class is the class of a service. Each class has its own queues, connections, slots and link shares, so that short
// requests do not wait behind long ones.
type Class string

const (
	// ClassShort is for requests that take milliseconds.
	ClassShort Class = "short"
	// ClassLong is for downloads and other long-running requests.
	ClassLong Class = "long"
)

// Service is a service of the catalogue.
type Service struct {
	Name  ServiceName
	Class Class
	// AlwaysIdempotent is set when every request of the service may run more than once, regardless of what the caller
	// declares.
	AlwaysIdempotent bool
	// MaxTimeout is the longest timeout that a caller may request.
	MaxTimeout time.Duration
	// MaxBodyBytes is the maximum size of a request body.
	MaxBodyBytes int64
	// QueueLength is the maximum number of requests of the service that wait at one entry VM.
	QueueLength int
}

// Target is one endpoint of a service.
type Target struct {
	ID            TargetID
	Service       ServiceName
	Region        Region
	FailureDomain FailureDomain
	// Address is host:port with an IP address as the host.
	Address string
	// Slots is the number of requests that the target runs concurrently.
	Slots int
	// Connections is the number of connections that the target accepts from all entry VMs together.
	Connections int
}

// Link is the network link from one region to another, in one direction.
type Link struct {
	From Region
	To   Region
	// KbitPerSecond is the bandwidth limit for all traffic of the system over the link.
	KbitPerSecond int64
	// LongPercent is the percentage of the limit that long requests may use, from 1 to 99.
	LongPercent int
}

// ShiftLimit limits the requests from callers of one region that targets of another region serve.
type ShiftLimit struct {
	Service           ServiceName
	From              Region
	To                Region
	RequestsPerSecond int64
}
