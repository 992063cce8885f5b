// Package direct answers look-ups on the users' platform: which entry VMs a caller should use.
//
// It names running VMs of the caller's region, those of its failure domain first. Traffic between failure domains and regions is priced,
// and a route may be bound to regions. VMs of other regions are named only while the caller's region has none.
//
// Callers connect to one of the named VMs at random, so each of these gets the same part of the requests, whatever it can carry. A VM
// that can carry much less than the others of its region is therefore named only when the region can carry more with it.
package direct

import (
	"cmp"
	"net/http"
	"slices"
	"time"

	"go.uber.org/zap"

	"cardamompass"
)

const (
	// answerTTL is how long a caller may use an answer. A VM that stops is still asked for that long.
	answerTTL = 2 * time.Second
	// maxAddresses is the number of addresses that a caller reads.
	maxAddresses = 64
	// leastNamed is the number of VMs that are named where there are as many, so that a caller has another one when one fails.
	leastNamed = 2
)

// Config configures a Handler.
type Config struct {
	Self     cardamompass.VM
	Protocol cardamompass.Protocol
	// Others returns the other running VMs.
	Others func() []cardamompass.VM
	// Stopping reports whether this VM stops, so that it must not name itself.
	Stopping func() bool
	MaxTTL   time.Duration
	Log      *zap.Logger
}

// Handler answers look-ups. It is safe for concurrent use.
type Handler struct{ cfg Config }

// New returns a Handler.
func New(cfg Config) (hnd *Handler) {
	return &Handler{
		cfg: cfg,
	}
}

// ServeHTTP implements http.Handler.
func (hnd *Handler) ServeHTTP(wrt http.ResponseWriter, req *http.Request) {
	lkp := hnd.cfg.Protocol.ParseLookup(req.URL.Query())
	ttl := answerTTL
	if hnd.cfg.MaxTTL > 0 {
		ttl = min(ttl, hnd.cfg.MaxTTL)
	}
	addresses := Addresses(hnd.running(), lkp)
	body, err := hnd.cfg.Protocol.EncodeLookupResponse(addresses, ttl)
	if err != nil || len(addresses) == 0 {
		hnd.cfg.Log.Warn("look-up refused", zap.Error(err), zap.Int("addresses", len(addresses)))
		wrt.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	hnd.cfg.Log.Info("look-up answered", zap.String("name", lkp.Name), zap.String("failure-domain", string(lkp.FailureDomain)),
		zap.Strings("addresses", addresses))
	wrt.Header().Set("Content-Type", "application/json")
	_, _ = wrt.Write(body) // a caller that has left asks again
}

// running returns the running VMs, this one included unless it stops.
func (hnd *Handler) running() (vms []cardamompass.VM) {
	vms = hnd.cfg.Others()
	if !hnd.cfg.Stopping() {
		vms = append(vms, hnd.cfg.Self)
	}
	return vms
}

// Addresses returns where the caller of a look-up should connect, the nearest first.
func Addresses(vms []cardamompass.VM, lkp cardamompass.Lookup) (addresses []string) {
	near := slices.DeleteFunc(slices.Clone(vms), func(vmc cardamompass.VM) bool { return vmc.Region != lkp.Region })
	if len(near) == 0 {
		near = slices.Clone(vms)
	}
	near = capable(near)
	slices.SortStableFunc(near, func(one, two cardamompass.VM) int {
		return cmp.Or(cmp.Compare(distance(one, lkp), distance(two, lkp)), cmp.Compare(one.ID, two.ID))
	})
	for _, vmc := range near[:min(len(near), maxAddresses)] {
		addresses = append(addresses, vmc.CallerAddress)
	}
	return addresses
}

// capable returns the VMs that together carry most when each gets the same part of the requests: that is the number of named VMs times
// the capacity of the weakest of them. All are returned when the capacity of one is not known.
func capable(vms []cardamompass.VM) (named []cardamompass.VM) {
	named = slices.Clone(vms)
	slices.SortStableFunc(named, func(one, two cardamompass.VM) int {
		return cmp.Or(cmp.Compare(two.Capacity, one.Capacity), cmp.Compare(one.ID, two.ID))
	})
	best, count := 0.0, len(named)
	for num, vmc := range named {
		if vmc.Capacity <= 0 {
			return vms
		}
		if total := float64(num+1) * vmc.Capacity; num+1 >= leastNamed && total >= best {
			best, count = total, num+1
		}
	}
	return named[:count]
}

func distance(vmc cardamompass.VM, lkp cardamompass.Lookup) (steps int) {
	switch {
	case vmc.FailureDomain == lkp.FailureDomain:
		return 0
	case vmc.Region == lkp.Region:
		return 1
	default:
		return 2
	}
}
