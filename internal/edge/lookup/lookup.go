// Package lookup answers the question which entry VMs a caller should use.
//
// An answer lists serving entry VMs of the caller's region first and those of the regions near it after them, with
// neighbouring places of the list in different failure domains. Suspect VMs come last, VMs in a planned stop are left
// out. Callers of one region get the same VMs in rotated order, so that their load spreads.
//
// Answers are built from an immutable view and kept for a second, because the target size has 310,000 look-ups a second.
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
	// MaxVMs is the longest list of an answer.
	MaxVMs = 5
	// rotations bounds the different orders that callers of one region get.
	rotations = 64
	// bodyLifetime is the time for which an answer is reused. A ticket in it is at most this old when it is handed out.
	bodyLifetime = time.Second
)

// VMRecord is one entry VM in an answer.
type VMRecord struct {
	ID            cardamompass.VMID          `json:"id"`
	Address       string                     `json:"address"`
	Region        cardamompass.Region        `json:"region"`
	FailureDomain cardamompass.FailureDomain `json:"failure-domain"`
}

// Response is the answer to a look-up.
type Response struct {
	VMs              []VMRecord          `json:"vms"`
	MaxAgeMillis     int64               `json:"max-age-ms"`
	Ticket           string              `json:"ticket"`
	CallerRegion     cardamompass.Region `json:"caller-region"`
	CatalogueVersion int64               `json:"catalogue-version"`
}

// View is what answers are made from. It is immutable.
type View struct {
	// Members are all known entry VMs.
	Members []cardamompass.Member
	// Regions are the regions of the catalogue.
	Regions map[cardamompass.Region]cardamompass.RegionInfo
	// Services are the names of the services of the catalogue.
	Services map[cardamompass.ServiceName]bool
	// Blocks maps client addresses to regions.
	Blocks *Table
	// CatalogueVersion is the version of the catalogue in force.
	CatalogueVersion int64
}

// Config configures a Resolver.
type Config struct {
	// Clock tells the time.
	Clock cardamompass.Clock
	// MaxAge is the time for which callers may use an answer.
	MaxAge time.Duration
	// IssueTicket makes the ticket for operations whose home is the given VM.
	IssueTicket func(vm cardamompass.VM, now time.Time) string
	// DefaultRegion is the region of callers that no block covers and that name no region.
	DefaultRegion cardamompass.Region
}

// Resolver answers look-ups. It is safe for concurrent use.
type Resolver struct {
	cfg  Config
	view atomic.Pointer[state]
}

// state is a view with the answers that were made from it.
type state struct {
	view   View
	bodies sync.Map // bodyKey -> body
}

type bodyKey struct {
	region   cardamompass.Region
	rotation int
}

type body struct {
	made time.Time
	data []byte
}

// New returns a Resolver with an empty view.
func New(cfg Config) *Resolver {
	ans := &Resolver{
		cfg: cfg,
	}
	ans.SetView(View{})
	return ans
}

// SetView replaces the view. Later answers are made from it.
func (ans *Resolver) SetView(view View) {
	ans.view.Store(&state{
		view: view,
	})
}

// Query is one look-up.
type Query struct {
	Service cardamompass.ServiceName
	// Client is the caller's address; the zero value means that it is not known.
	Client netip.Addr
	// Region is the caller's region if it says so itself; otherwise the client blocks tell.
	Region cardamompass.Region
}

// Resolve returns the JSON form of the Response to qst. The caller must not modify it.
// Errors: InvalidError for an unknown service or region, NotRunError while no catalogue or no entry VM is known.
func (ans *Resolver) Resolve(qst Query) (data []byte, err error) {
	sta := ans.view.Load()
	if len(sta.view.Services) == 0 {
		return nil, &cardamompass.NotRunError{
			Reason: "no catalogue yet",
		}
	}
	if !sta.view.Services[qst.Service] {
		return nil, &cardamompass.InvalidError{
			Field:  "service",
			Reason: "is not in the catalogue: " + string(qst.Service),
		}
	}
	reg, err := ans.region(sta.view, qst)
	if err != nil {
		return nil, err
	}
	key := bodyKey{
		region:   reg,
		rotation: rotation(qst.Client),
	}
	now := ans.cfg.Clock.Now()
	if held, ok := sta.bodies.Load(key); ok {
		if bdy := held.(body); now.Sub(bdy.made) < bodyLifetime {
			return bdy.data, nil
		}
	}
	data, err = ans.build(sta.view, key, now)
	if err != nil {
		return nil, err
	}
	sta.bodies.Store(key, body{
		made: now,
		data: data,
	})
	return data, nil
}

// CallerRegion returns the region of a caller by its own word, else by its address, else the configured one.
func (ans *Resolver) CallerRegion(said cardamompass.Region, client netip.Addr) (reg cardamompass.Region, err error) {
	return ans.region(ans.view.Load().view, Query{
		Client: client,
		Region: said,
	})
}

func (ans *Resolver) region(view View, qst Query) (reg cardamompass.Region, err error) {
	if qst.Region != "" {
		if _, ok := view.Regions[qst.Region]; !ok {
			return "", &cardamompass.InvalidError{
				Field:  "region",
				Reason: "is not in the catalogue: " + string(qst.Region),
			}
		}
		return qst.Region, nil
	}
	if view.Blocks != nil && qst.Client.IsValid() {
		if reg, ok := view.Blocks.Region(qst.Client); ok {
			return reg, nil
		}
	}
	return ans.cfg.DefaultRegion, nil
}

func rotation(client netip.Addr) int {
	if !client.IsValid() {
		return 0
	}
	oct := client.As16()
	return int(xxhash.Sum64(oct[:]) % rotations)
}

func (ans *Resolver) build(view View, key bodyKey, now time.Time) (data []byte, err error) {
	defer func() { err = errors.Wrap(err, "answer look-up") }()
	list := Order(view, key.region, key.rotation)
	if len(list) == 0 {
		return nil, &cardamompass.NotRunError{
			Reason: "no entry VM is serving",
		}
	}
	rsp := Response{
		MaxAgeMillis:     ans.cfg.MaxAge.Milliseconds(),
		Ticket:           ans.cfg.IssueTicket(list[0], now),
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

// Order returns the entry VMs for callers of a region, at most MaxVMs, in the given rotation of 64. When the region has
// MaxVMs or more, the last place goes to a VM of a near region, so that a caller still has one when its region fails.
func Order(view View, reg cardamompass.Region, rot int) (list []cardamompass.VM) {
	near := append([]cardamompass.Region{reg}, view.Regions[reg].FallbackRegions...)
	var suspects []cardamompass.VM
	for pos, nbr := range near {
		alive, doubtful := serving(view.Members, nbr)
		ordered := alternate(alive, rot)
		suspects = append(suspects, doubtful...)
		room := MaxVMs - len(list)
		if pos == 0 {
			room = min(room, MaxVMs-1)
		}
		list = append(list, ordered[:min(room, len(ordered))]...)
	}
	list = append(list, suspects[:min(len(suspects), MaxVMs-len(list))]...)
	return list
}

// serving returns the alive and the suspect VMs of a region, in the order of their ids.
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

// alternate orders VMs so that neighbours are in different failure domains while more than one domain has VMs left.
// The rotation chooses the first VM; each VM is first in an equal part of the rotations.
func alternate(vms []cardamompass.VM, rot int) (ordered []cardamompass.VM) {
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
