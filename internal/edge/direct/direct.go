// Package direct answers look-ups on the users' platform: it returns the entry VMs that a caller should use.
//
// It returns running VMs of the caller's region, those of its failure domain first, because traffic between failure domains and
// between regions is priced and a route may be restricted to regions. VMs of other regions are returned only while the caller's
// region has none, and then those of the home regions of the routes of the host if there are any.
//
// Callers choose one of the returned VMs at random, so that each gets the same part of the requests regardless of its capacity. A
// VM with much less capacity than the others of its region is therefore returned only if it does not reduce the total capacity of
// the returned VMs.
package direct

import (
	"cmp"
	"net/http"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"cardamompass"
)

const (
	// responseTTL is how long a caller may use a look-up response. A VM that stops still receives requests for that long.
	responseTTL = 2 * time.Second
	// maxAddresses is the number of addresses that a caller reads from a response.
	maxAddresses = 64
	// minAddresses is the minimum number of VMs that are returned, if there are as many, so that a caller has an alternative when
	// one fails.
	minAddresses = 2
)

// Config configures a Handler.
type Config struct {
	Self     cardamompass.VM
	Protocol cardamompass.Protocol
	// OtherVMs returns the other running VMs.
	OtherVMs func() []cardamompass.VM
	// Stopping reports whether this VM is stopping; it then leaves itself out of responses.
	Stopping func() bool
	// HomeRegions returns the regions to which routes of a host, given in lower case, are restricted. Optional.
	HomeRegions func(host string) []cardamompass.Region
	// MaxTTL returns the longest time for which a caller may use a response; 0 if there is no limit. Optional.
	MaxTTL func() time.Duration
	Log    *zap.Logger
}

// Handler is the HTTP handler of look-ups. It is safe for concurrent use.
type Handler struct{ cfg Config }

// New returns a Handler.
func New(cfg Config) (hnd *Handler) {
	if cfg.MaxTTL == nil {
		cfg.MaxTTL = func() time.Duration { return 0 }
	}
	if cfg.HomeRegions == nil {
		cfg.HomeRegions = func(string) []cardamompass.Region { return nil }
	}
	return &Handler{
		cfg: cfg,
	}
}

// ServeHTTP implements http.Handler.
func (hnd *Handler) ServeHTTP(wrt http.ResponseWriter, req *http.Request) {
	lkp := hnd.cfg.Protocol.ParseLookup(req.URL.Query())
	ttl := responseTTL
	if limit := hnd.cfg.MaxTTL(); limit > 0 {
		ttl = min(ttl, limit)
	}
	addresses := Addresses(hnd.running(), lkp, hnd.cfg.HomeRegions)
	body, err := hnd.cfg.Protocol.EncodeLookupResponse(addresses, ttl)
	if err != nil || len(addresses) == 0 {
		hnd.cfg.Log.Warn("look-up refused", zap.Error(err), zap.Int("addresses", len(addresses)))
		wrt.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	hnd.cfg.Log.Info("look-up answered", zap.String("name", lkp.Name), zap.String("failure-domain", string(lkp.FailureDomain)),
		zap.Strings("addresses", addresses))
	wrt.Header().Set("Content-Type", "application/json")
	_, _ = wrt.Write(body) // a caller that did not get the response repeats the look-up
}

// running returns the running VMs, including this one unless it is stopping.
func (hnd *Handler) running() (vms []cardamompass.VM) {
	vms = hnd.cfg.OtherVMs()
	if !hnd.cfg.Stopping() {
		vms = append(vms, hnd.cfg.Self)
	}
	return vms
}

// Addresses returns the addresses of the VMs to which the caller of a look-up should connect, the nearest first; see Named.
func Addresses(
	vms []cardamompass.VM, lkp cardamompass.Lookup, homes func(host string) []cardamompass.Region,
) (addresses []string) {
	for _, vmc := range Named(vms, lkp, homes) {
		addresses = append(addresses, vmc.CallerAddress)
	}
	return addresses
}

// Named returns the VMs to which the caller of a look-up should connect, the nearest first. homes is called while the caller's region has
// no VM and returns the regions to which routes of the host are restricted.
func Named(
	vms []cardamompass.VM, lkp cardamompass.Lookup, homes func(host string) []cardamompass.Region,
) (named []cardamompass.VM) {
	near := inRegions(vms, []cardamompass.Region{lkp.Region})
	if len(near) == 0 {
		near = inRegions(vms, homes(strings.ToLower(lkp.Name)))
	}
	if len(near) == 0 {
		near = slices.Clone(vms)
	}
	near = maxTotalCapacity(near)
	slices.SortStableFunc(near, func(one, two cardamompass.VM) int {
		return cmp.Or(cmp.Compare(distance(one, lkp), distance(two, lkp)), cmp.Compare(one.ID, two.ID))
	})
	return near[:min(len(near), maxAddresses)]
}

// inRegions returns the VMs of the given regions.
func inRegions(vms []cardamompass.VM, regions []cardamompass.Region) (selected []cardamompass.VM) {
	return slices.DeleteFunc(slices.Clone(vms), func(vmc cardamompass.VM) bool { return !slices.Contains(regions, vmc.Region) })
}

// maxTotalCapacity returns the VMs that together have the greatest capacity when each gets the same part of the requests, which is
// their number times the smallest of their capacities. It returns all VMs if the capacity of any is unknown.
func maxTotalCapacity(vms []cardamompass.VM) (selected []cardamompass.VM) {
	selected = slices.Clone(vms)
	slices.SortStableFunc(selected, func(one, two cardamompass.VM) int {
		return cmp.Or(cmp.Compare(two.Capacity, one.Capacity), cmp.Compare(one.ID, two.ID))
	})
	best, count := 0.0, len(selected)
	for num, vmc := range selected {
		if vmc.Capacity <= 0 {
			return vms
		}
		if total := float64(num+1) * vmc.Capacity; num+1 >= minAddresses && total >= best {
			best, count = total, num+1
		}
	}
	return selected[:count]
}

func distance(vmc cardamompass.VM, lkp cardamompass.Lookup) (rank int) {
	switch {
	case vmc.FailureDomain == lkp.FailureDomain:
		return 0
	case vmc.Region == lkp.Region:
		return 1
	default:
		return 2
	}
}
