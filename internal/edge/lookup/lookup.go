// Package lookup answers look-ups, with which callers find the entry VMs that they should use.
//
// A response lists serving entry VMs of the caller's region first, then those of its fallback regions, with consecutive
// VMs in different failure domains. Suspect VMs come last, and VMs in a planned stop are omitted. Callers of one region
// get the VMs in different rotations, which distributes their load.
//
// Responses are built from an immutable view and cached for a second, since the system is designed for 310,000 look-ups
// per second.
package lookup

import (
	"encoding/json"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"cardamompass"
)

const (
	// MaxVMs is the maximum number of VMs in a response.
	MaxVMs = 5
	// rotationCount is the number of different rotations of the list for callers of one region.
	rotationCount = 64
	// responseTTL is the time for which a response is cached. It bounds the age of the ticket in the response.
	responseTTL = time.Second
)

// VMRecord is one entry VM in a response.
type VMRecord struct {
	ID            cardamompass.VMID          `json:"id"`
	Address       string                     `json:"address"`
	Region        cardamompass.Region        `json:"region"`
	FailureDomain cardamompass.FailureDomain `json:"failure-domain"`
}

// Response is the JSON response to a look-up.
type Response struct {
	VMs              []VMRecord          `json:"vms"`
	MaxAgeMillis     int64               `json:"max-age-ms"`
	Ticket           string              `json:"ticket"`
	CallerRegion     cardamompass.Region `json:"caller-region"`
	CatalogueVersion int64               `json:"catalogue-version"`
}

// View is the snapshot of the membership and the catalogue from which responses are built. It is immutable.
type View struct {
	// Members are all known entry VMs.
	Members []cardamompass.Member
	// Regions holds the regions of the catalogue by name.
	Regions map[cardamompass.Region]cardamompass.RegionInfo
	// Services is the set of services of the catalogue.
	Services map[cardamompass.ServiceName]bool
	// Blocks maps client addresses to regions.
	Blocks *Table
	// CatalogueVersion is the version of the active catalogue.
	CatalogueVersion int64
}

// Config configures a Resolver.
type Config struct {
	// Clock provides the time.
	Clock cardamompass.Clock
	// MaxAge is the time for which callers may use a response.
	MaxAge time.Duration
	// IssueTicket returns a ticket for operations whose home is the given VM.
	IssueTicket func(vm cardamompass.VM, now time.Time) string
	// DefaultRegion is the region of callers that no block covers and that name no region.
	DefaultRegion cardamompass.Region
}

// Resolver answers look-ups. It is safe for concurrent use.
type Resolver struct {
	cfg  Config
	view atomic.Pointer[state]
}

// state is a view with the cached responses that were built from it.
type state struct {
	view      View
	responses sync.Map // responseKey -> cachedResponse
}

type responseKey struct {
	region   cardamompass.Region
	rotation int
}

type cachedResponse struct {
	builtAt time.Time
	data    []byte
}

// New returns a Resolver with an empty view.
func New(cfg Config) *Resolver {
	rsv := &Resolver{
		cfg: cfg,
	}
	rsv.SetView(View{})
	return rsv
}

// SetView replaces the view and discards the cached responses.
func (rsv *Resolver) SetView(view View) {
	rsv.view.Store(&state{
		view: view,
	})
}

// Query holds the parameters of a look-up.
type Query struct {
	Service cardamompass.ServiceName
	// Client is the caller's address; the zero value if it is not known.
	Client netip.Addr
	// Region is the region that the caller declares; if it is empty, the region is determined from Client.
	Region cardamompass.Region
}

// Resolve returns the JSON form of the Response to qry. The caller must not modify it.
// Errors: InvalidError for an unknown service or region, NotRunError without a catalogue or a serving entry VM.
func (rsv *Resolver) Resolve(qry Query) (data []byte, err error) {
	sta := rsv.view.Load()
	if len(sta.view.Services) == 0 {
		return nil, &cardamompass.NotRunError{
			Reason: "no catalogue yet",
		}
	}
	if !sta.view.Services[qry.Service] {
		return nil, &cardamompass.InvalidError{
			Field:  "service",
			Reason: "is not in the catalogue: " + string(qry.Service),
		}
	}
	reg, err := rsv.region(sta.view, qry)
	if err != nil {
		return nil, err
	}
	key := responseKey{
		region:   reg,
		rotation: rotation(qry.Client),
	}
	now := rsv.cfg.Clock.Now()
	if cached, ok := sta.responses.Load(key); ok {
		if cch := cached.(cachedResponse); now.Sub(cch.builtAt) < responseTTL {
			return cch.data, nil
		}
	}
	data, err = rsv.build(sta.view, key, now)
	if err != nil {
		return nil, err
	}
	sta.responses.Store(key, cachedResponse{
		builtAt: now,
		data:    data,
	})
	return data, nil
}

// CallerRegion returns the region that the caller declares, else the region of its address, else the default region.
func (rsv *Resolver) CallerRegion(declared cardamompass.Region, client netip.Addr) (reg cardamompass.Region, err error) {
	return rsv.region(rsv.view.Load().view, Query{
		Client: client,
		Region: declared,
	})
}

func (rsv *Resolver) region(view View, qry Query) (reg cardamompass.Region, err error) {
	if qry.Region != "" {
		if _, ok := view.Regions[qry.Region]; !ok {
			return "", &cardamompass.InvalidError{
				Field:  "region",
				Reason: "is not in the catalogue: " + string(qry.Region),
			}
		}
		return qry.Region, nil
	}
	if view.Blocks != nil && qry.Client.IsValid() {
		if reg, ok := view.Blocks.Region(qry.Client); ok {
			return reg, nil
		}
	}
	return rsv.cfg.DefaultRegion, nil
}

func rotation(client netip.Addr) int {
	if !client.IsValid() {
		return 0
	}
	oct := client.As16()
	return int(xxhash.Sum64(oct[:]) % rotationCount)
}

func (rsv *Resolver) build(view View, key responseKey, now time.Time) (data []byte, err error) {
	defer func() { err = errors.Wrap(err, "answer look-up") }()
	list := Order(view, key.region, key.rotation)
	if len(list) == 0 {
		return nil, &cardamompass.NotRunError{
			Reason: "no entry VM is serving",
		}
	}
	rsp := Response{
		MaxAgeMillis:     rsv.cfg.MaxAge.Milliseconds(),
		Ticket:           rsv.cfg.IssueTicket(list[0], now),
		CallerRegion:     key.region,
		CatalogueVersion: view.CatalogueVersion,
	}
	for _, vmr := range list {
		rsp.VMs = append(rsp.VMs, VMRecord{
			ID:            vmr.ID,
			Address:       vmr.CallerAddress,
			Region:        vmr.Region,
			FailureDomain: vmr.FailureDomain,
		})
	}
	return json.Marshal(rsp)
}

// Order returns at most MaxVMs entry VMs for callers of a region, in the given rotation of rotationCount. At most MaxVMs-1
// alive VMs of the region itself are listed, so that a caller still has a VM of a fallback region when its region fails.
func Order(view View, reg cardamompass.Region, rot int) (list []cardamompass.VM) {
	candidates := append([]cardamompass.Region{reg}, view.Regions[reg].FallbackRegions...)
	var suspects []cardamompass.VM
	for pos, nbr := range candidates {
		alive, suspect := serving(view.Members, nbr)
		ordered := interleaveDomains(alive, rot)
		suspects = append(suspects, suspect...)
		limit := MaxVMs - len(list)
		if pos == 0 {
			limit = min(limit, MaxVMs-1)
		}
		list = append(list, ordered[:min(limit, len(ordered))]...)
	}
	list = append(list, suspects[:min(len(suspects), MaxVMs-len(list))]...)
	return list
}

// serving returns the alive and the suspect VMs of a region, sorted by id like members.
func serving(members []cardamompass.Member, reg cardamompass.Region) (alive, suspects []cardamompass.VM) {
	for _, mbr := range members {
		switch {
		case mbr.VM.Region != reg:
		case mbr.State == cardamompass.StateAlive:
			alive = append(alive, mbr.VM)
		case mbr.State == cardamompass.StateSuspect:
			suspects = append(suspects, mbr.VM)
		}
	}
	return alive, suspects
}

// interleaveDomains orders VMs so that consecutive VMs are in different failure domains as far as possible. The rotation
// selects the first VM; each VM is first in an equal share of the rotations.
func interleaveDomains(vms []cardamompass.VM, rot int) (ordered []cardamompass.VM) {
	if len(vms) == 0 {
		return nil
	}
	first := rot % len(vms)
	rest := append(slices.Clone(vms[first:]), vms[:first]...)
	for len(rest) > 0 {
		pick := 0
		if len(ordered) > 0 {
			last := ordered[len(ordered)-1].FailureDomain
			pick = max(0, slices.IndexFunc(rest, func(vmr cardamompass.VM) bool { return vmr.FailureDomain != last }))
		}
		ordered = append(ordered, rest[pick])
		rest = slices.Delete(rest, pick, pick+1)
	}
	return ordered
}
