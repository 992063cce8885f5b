package cardamompass

import "time"

// VMSettings are the settings of an entry VM on the users' platform. It is immutable.
type VMSettings struct {
	ID            VMID
	FailureDomain FailureDomain
	Region        Region
	// Regions maps every failure domain to its region.
	Regions map[FailureDomain]Region
	// IP is the VM's own IP number.
	IP string
	// CallerAddress, ReadyAddress and LookupAddress are the addresses on which the VM listens.
	CallerAddress string
	ReadyAddress  string
	LookupAddress string
	// PeerAddress is the address for datagrams between VMs.
	PeerAddress string
	// StoreAddress is the address of the platform's store.
	StoreAddress string
	// MinLeaseTTL is the shortest time to live of a lease.
	MinLeaseTTL time.Duration
	// MemoryBytes is the memory limit of the process.
	MemoryBytes int64
	// Cores is the part of a processor core that the VM has, above 1 for several cores; 0 if it is not known.
	Cores float64
	// LinkBitsPerSecond is the bandwidth of the VM's link in bits a second, in each direction; 0 if it is not known.
	LinkBitsPerSecond float64
	// GraceTime is the time between the request to stop and the kill.
	GraceTime time.Duration
	// RetryBudgetPercent and RetryBudgetSlack bound the retries and hedges of all VMs in RetryBudgetWindow: a percentage of the requests
	// plus a number.
	RetryBudgetPercent int
	RetryBudgetSlack   int
	RetryBudgetWindow  time.Duration
	// ColdOverage and ColdSlack bound the requests a second to a cold target: its rate times the overage plus the slack.
	ColdOverage float64
	ColdSlack   float64
	// MaxLookupTTL is the longest time for which a caller uses an answer to a look-up.
	MaxLookupTTL time.Duration
	// MaxRegionShift is the part of a region's requests that may change the serving region from one window of 2 s to the next.
	MaxRegionShift float64
}

const (
	// requestCPUSeconds is the processor time of a request in seconds, logs included, as BenchmarkRequest of front measures it.
	requestCPUSeconds = 0.0004
	// requestBits is the size of a request with its answer in each direction of the link, the mean of the users' kinds of requests.
	requestBits = 8 * 16 << 10
)

// Capacity returns the number of requests a second that the VM can carry; 0 if it is not known.
func (set *VMSettings) Capacity() (perSecond float64) {
	if set.Cores <= 0 || set.LinkBitsPerSecond <= 0 {
		return 0
	}
	return min(set.Cores/requestCPUSeconds, set.LinkBitsPerSecond/requestBits)
}
