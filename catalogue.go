package cardamompass

import (
	"net/netip"
	"time"
)

// RegionInfo is a region of the catalogue.
type RegionInfo struct {
	Name           Region
	FailureDomains []FailureDomain
	// FallbackRegions lists the other regions that may serve this region's callers, the preferred one first.
	FallbackRegions []Region
}

// ClientBlocks assigns blocks of client addresses to a region.
type ClientBlocks struct {
	Region   Region
	Prefixes []netip.Prefix
}

// Class is the class of a service. Each class has queues, connections, slots and link shares of its own, so that short
// requests do not wait behind long ones.
type Class string

const (
	// ClassShort is for requests that take milliseconds.
	ClassShort Class = "short"
	// ClassLong is for downloads and other requests that take many times longer.
	ClassLong Class = "long"
)

// Service is a service that callers use.
type Service struct {
	Name  ServiceName
	Class Class
	// AlwaysIdempotent is set when every request of the service may run more than once, whatever the caller declares.
	AlwaysIdempotent bool
	// MaxTimeout bounds the time that a caller may ask for.
	MaxTimeout time.Duration
	// MaxBodyBytes bounds the body of a request.
	MaxBodyBytes int64
	// QueueLength bounds the requests of the service that wait at one entry VM.
	QueueLength int
}

// Target is one endpoint of a service.
type Target struct {
	ID            TargetID
	Service       ServiceName
	Region        Region
	FailureDomain FailureDomain
	// Address is host:port by IP number.
	Address string
	// Slots is the number of requests that it runs at the same time.
	Slots int
	// Connections is the number of connections that it accepts from all entry VMs together.
	Connections int
}

// Link is the connection from one region to another, in one direction.
type Link struct {
	From Region
	To   Region
	// KbitPerSecond is its cap, shared by all traffic of the system.
	KbitPerSecond int64
	// LongPercent is the part of the cap that long requests may use, from 1 to 99.
	LongPercent int
}

// ShiftLimit is the cap on requests of callers of one region that targets of another region serve.
type ShiftLimit struct {
	Service           ServiceName
	From              Region
	To                Region
	RequestsPerSecond int64
}
