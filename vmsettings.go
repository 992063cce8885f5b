package cardamompass

import "time"

// VMSettings are the settings of an entry VM on the platform. They are immutable.
type VMSettings struct {
	ID            VMID
	FailureDomain FailureDomain
	Region        Region
	// Regions maps every failure domain to its region.
	Regions map[FailureDomain]Region
	// IP is the VM's IP address.
	IP string
	// CallerAddress, ReadyAddress and LookupAddress are the addresses on which the VM listens.
	CallerAddress string
	ReadyAddress  string
	LookupAddress string
	// PeerAddress is the address for datagrams between entry VMs.
	PeerAddress string
	// StoreAddress is the address of the platform's store.
	StoreAddress string
	// MinLeaseTTL is the shortest TTL of a lease.
	MinLeaseTTL time.Duration
	// MemoryBytes is the memory limit of the process.
	MemoryBytes int64
	// Cores is the number of processor cores that the VM may use, possibly a fraction; 0 if unknown.
	Cores float64
	// LinkBitsPerSecond is the bandwidth of the VM's link in each direction; 0 if unknown.
	LinkBitsPerSecond float64
	// GraceTime is the time between the request to stop and the forced termination of the process.
	GraceTime time.Duration
	// RetryBudgetPercent and RetryBudgetSlack bound the retries and hedges of all VMs in RetryBudgetWindow: a percentage of the requests
	// plus a number.
	RetryBudgetPercent int
	RetryBudgetSlack   int
	RetryBudgetWindow  time.Duration
	// ColdOverage and ColdSlack bound the requests per second to a cold target: its rate times ColdOverage, plus ColdSlack.
	ColdOverage float64
	ColdSlack   float64
	// MaxLookupTTL is the longest time for which a caller may use the response to a look-up.
	MaxLookupTTL time.Duration
	// MaxRegionShift is the fraction of a region's requests that may change the serving region from one window of 2 s to the
	// next.
	MaxRegionShift float64
	// QuotaWindow, QuotaOverage and QuotaSlack bound the requests of a team that all VMs send in any QuotaWindow: (rate * window + burst) *
	// (1 + QuotaOverage) + QuotaSlack. QuotaWindow is 0 if it is not set.
	QuotaWindow  time.Duration
	QuotaOverage float64
	QuotaSlack   float64
}

// WithBounds returns the settings with the bounds of others: the times, budgets and rates that can change while the VM runs. Its identity,
// its addresses and its resources stay.
func (set VMSettings) WithBounds(oth VMSettings) (out VMSettings) {
	set.MinLeaseTTL = oth.MinLeaseTTL
	set.GraceTime = oth.GraceTime
	set.RetryBudgetPercent = oth.RetryBudgetPercent
	set.RetryBudgetSlack = oth.RetryBudgetSlack
	set.RetryBudgetWindow = oth.RetryBudgetWindow
	set.ColdOverage = oth.ColdOverage
	set.ColdSlack = oth.ColdSlack
	set.MaxLookupTTL = oth.MaxLookupTTL
	set.MaxRegionShift = oth.MaxRegionShift
	set.QuotaWindow = oth.QuotaWindow
	set.QuotaOverage = oth.QuotaOverage
	set.QuotaSlack = oth.QuotaSlack
	return set
}

const (
	// requestCPUSeconds is the processor time of a request in seconds, including its log lines; see BenchmarkRequest of
	// package front.
	requestCPUSeconds = 0.0004
	// requestBits is the mean size in bits of a request and its response in each direction of the link.
	requestBits = 8 * 16 << 10
)

// Capacity returns the number of requests per second that the VM can handle; 0 if unknown.
func (set *VMSettings) Capacity() (perSecond float64) {
	if set.Cores <= 0 || set.LinkBitsPerSecond <= 0 {
		return 0
	}
	return min(set.Cores/requestCPUSeconds, set.LinkBitsPerSecond/requestBits)
}
