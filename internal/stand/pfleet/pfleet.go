// Package pfleet runs a small site for tests, set up as on the users' platform: real entry VM processes, each on its own loopback
// address, and fakes of the store and of the targets in the test process. A fault proxy sits between each VM and the store, and one
// in front of each target.
package pfleet

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"cardamompass/internal/stand/fault"
	"cardamompass/internal/stand/procs"
	"cardamompass/internal/stand/pstore"
	"cardamompass/internal/stand/ptarg"
)

// Service and Host are the names of the only service and of the host in its routes.
const (
	Service = "svc-1"
	Host    = "site.example"
)

// Bounds of a small site of the first users. GraceTime, RetryRatio and RetrySlack are written into each settings file.
const (
	DrainBound  = 2 * time.Second
	ConfigBound = 2 * time.Second
	GraceTime   = 6 * time.Second
	RetryRatio  = 0.2
	RetrySlack  = 56
)

// Bounds of the quotas of teams, which are written into each settings file.
const (
	QuotaWindow  = 5 * time.Second
	QuotaOverage = 0.1
	QuotaSlack   = 20
)

// MemoryLimit is the memory limit of a VM in bytes. It is written into each settings file; nothing enforces it.
const MemoryLimit = 284 << 20

// zones are the failure domains; each name starts with its region.
var zones = []string{"east-1", "east-2", "west-1", "west-2"}

// Config configures a Fleet.
type Config struct {
	// Dir is the directory for settings files and logs.
	Dir string
	// VMs and Targets are the numbers of VMs and targets, which are spread over the failure domains.
	VMs     int
	Targets int
	// Slots and ServiceTime configure each target.
	Slots       int
	ServiceTime time.Duration
}

// VM is an entry VM process.
type VM struct {
	*procs.Process
	// IP is the loopback address that the VM listens on.
	IP string
	// StoreProxy forwards the VM's calls to the store.
	StoreProxy *fault.Proxy
	settings   string
}

// CallerAddress is the address for requests of callers.
func (vmc *VM) CallerAddress() (address string) { return net.JoinHostPort(vmc.IP, "8161") }

// LookupAddress is the address for look-ups of callers.
func (vmc *VM) LookupAddress() (address string) { return net.JoinHostPort(vmc.IP, "8164") }

// ReadyAddress is the address for readiness checks.
func (vmc *VM) ReadyAddress() (address string) { return net.JoinHostPort(vmc.IP, "8167") }

// MetricsAddress is the address that serves the VM's metrics.
func (vmc *VM) MetricsAddress() (address string) { return net.JoinHostPort(vmc.IP, "9464") }

// SettingsPath is the path of the VM's settings file.
func (vmc *VM) SettingsPath() (path string) { return vmc.settings }

// Target is a fake target behind a fault proxy.
type Target struct {
	*ptarg.Target
	ID    string
	Zone  string
	Proxy *fault.Proxy
}

// Limits are the operator's limits for callers.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Team is a team of the operator's configuration.
type Team struct {
	Name     string
	Keys     []string
	Priority int
	// RatePerS and Burst are the quota; there is none if both are 0.
	RatePerS, Burst float64
	HomeRegions     []string
}

// Fleet is a site of VMs and targets with their store.
type Fleet struct {
	Store   *pstore.Store
	VMs     []*VM
	Targets []*Target
	// Limits are the limits for callers that Configure writes.
	Limits Limits
	// Teams are the teams that Configure writes; Public are the prefixes of the routes that need no key.
	Teams  []Team
	Public []string

	// nextRequest is the number of the last request of all Callers.
	nextRequest atomic.Int64

	cfg      Config
	network  string // begin of the fleet's loopback addresses
	cleanups []func()
	next     int
}

// targetHost is the last part of the address of all targets and proxies.
const targetHost = "250"

// New starts the store and the targets and prepares the VMs, which Start starts. The returned function stops them all.
func New(cfg Config) (flt *Fleet, cleanup func(), err error) {
	flt = &Fleet{
		Limits: Limits{
			HeaderBytes:   16384,
			BodyBytes:     1 << 20,
			HeaderTimeout: 3 * time.Second,
			IdleTimeout:   15 * time.Second,
		},
		cfg: cfg,
		// Fleets of tests that run at the same time must not share addresses: the VMs of one go on probing the port of a target that has
		// ended, which may by then be that of a target of another.
		network: fmt.Sprintf("127.%d.%d.", 1+rand.IntN(250), rand.IntN(250)),
	}
	defer func() {
		if err != nil {
			flt.close()
		}
	}()
	sto, stop, err := pstore.New("127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	flt.Store = sto
	flt.cleanups = append(flt.cleanups, stop)
	for range cfg.Targets {
		if _, err = flt.AddTarget(); err != nil {
			return nil, nil, err
		}
	}
	for num := range cfg.VMs {
		if err = flt.prepare(num, fmt.Sprint(flt.network, num+1)); err != nil {
			return nil, nil, err
		}
	}
	return flt, flt.close, nil
}

// Start starts all VMs and waits until they are ready.
func (flt *Fleet) Start() (err error) {
	for _, vmc := range flt.VMs {
		if err = vmc.Start(); err != nil {
			return err
		}
	}
	return nil
}

// AddTarget starts one more target and registers it.
func (flt *Fleet) AddTarget() (tgt *Target, err error) {
	flt.next++
	id := fmt.Sprintf("i-%03d", flt.next)
	inner, stop, err := ptarg.New(ptarg.Config{
		ID:          id,
		Address:     flt.targetAddress(),
		Slots:       flt.cfg.Slots,
		ServiceTime: flt.cfg.ServiceTime,
	})
	if err != nil {
		return nil, err
	}
	flt.cleanups = append(flt.cleanups, stop)
	prx, err := flt.proxy(inner.Address(), "")
	if err != nil {
		return nil, err
	}
	tgt = &Target{
		Target: inner,
		ID:     id,
		Zone:   zones[flt.next%len(zones)],
		Proxy:  prx,
	}
	flt.Targets = append(flt.Targets, tgt)
	flt.Register(tgt, "ready")
	return tgt, nil
}

// Register writes the target's registration to the store as a target does, but with the address of its proxy.
func (flt *Fleet) Register(tgt *Target, state string) {
	ent := tgt.Registration(Service, tgt.Zone, state)
	ent["addr"] = tgt.Proxy.Address()
	flt.Store.Put("servers/"+tgt.ID, ent)
}

// RegisterDirect writes the target's registration with its own address, so that VMs don't send through its proxy, which reads ahead.
func (flt *Fleet) RegisterDirect(tgt *Target) {
	flt.Store.Put("servers/"+tgt.ID, tgt.Registration(Service, tgt.Zone, "ready"))
}

// Configure writes the operator's configuration to the store: its version and the path prefixes of idempotent (reads) and
// non-idempotent (writes) routes. Its limits, teams and public routes are those of the Fleet.
func (flt *Fleet) Configure(version int, reads, writes []string) {
	routes := []map[string]any{}
	for num, prefix := range slices.Concat(reads, writes) {
		kind := "non_idempotent"
		if num < len(reads) {
			kind = "idempotent"
		}
		routes = append(routes, map[string]any{
			"name":           "r-" + strings.Trim(prefix, "/"),
			"host":           Host,
			"prefix":         prefix,
			"kind":           kind,
			"timeoutS":       2,
			"targetLatencyS": 0.4,
			"priority":       1,
			"service":        Service,
			"attempts":       2,
			"sticky":         true,
			"homeRegions":    []string{},
			"public":         slices.Contains(flt.Public, prefix),
		})
	}
	config := map[string]any{
		"version": fmt.Sprintf("%08x", version),
		"routes":  routes,
		"services": []map[string]any{{
			"name":       Service,
			"healthPath": "/healthz",
			"maxConns":   330,
			"protocol":   "h1",
			"coldStartS": 3,
			"coldPerS":   7,
		}},
		"limits": map[string]any{
			"maxHeaderBytes": flt.Limits.HeaderBytes,
			"maxBodyBytes":   flt.Limits.BodyBytes,
			"headerTimeoutS": flt.Limits.HeaderTimeout.Seconds(),
			"idleTimeoutS":   flt.Limits.IdleTimeout.Seconds(),
		},
	}
	if len(flt.Teams) > 0 {
		config["tenants"] = flt.tenants()
	}
	flt.Store.Put("op/config", config)
}

// tenants returns the teams as the configuration has them.
func (flt *Fleet) tenants() (list []map[string]any) {
	for _, tea := range flt.Teams {
		list = append(list, map[string]any{
			"name":        tea.Name,
			"apiKeys":     tea.Keys,
			"priority":    tea.Priority,
			"ratePerS":    tea.RatePerS,
			"burst":       tea.Burst,
			"homeRegions": tea.HomeRegions,
		})
	}
	return list
}

// targetAddress returns the address on which targets and proxies listen, with a free port.
func (flt *Fleet) targetAddress() (address string) { return flt.network + targetHost + ":0" }

// proxy starts a proxy that dials the upstream from an IP address, or from any if that is empty.
func (flt *Fleet) proxy(upstream, dialFrom string) (prx *fault.Proxy, err error) {
	prx, stop, err := fault.New(fault.Config{
		Address:  flt.targetAddress(),
		Upstream: upstream,
		DialFrom: dialFrom,
	})
	if err == nil {
		flt.cleanups = append(flt.cleanups, stop)
	}
	return prx, err
}

// prepare writes the settings file of a VM and sets up its process and its store proxy.
func (flt *Fleet) prepare(num int, ip string) (err error) {
	prx, err := flt.proxy(flt.Store.Address(), ip)
	if err != nil {
		return err
	}
	vmc := &VM{
		IP:         ip,
		StoreProxy: prx,
		settings:   filepath.Join(flt.cfg.Dir, fmt.Sprintf("vm-%d.toml", num)),
	}
	zone := zones[num%len(zones)]
	var text strings.Builder
	fmt.Fprintf(&text, "node = \"vm-%d\"\nzone = %q\nregion = %q\nip = %q\ninternalPortRange = [7720,7735]\n",
		num, zone, strings.Split(zone, "-")[0], ip)
	fmt.Fprintf(&text, "bounds = [\"graceS=%g\",\"budgetRatio=%g\",\"budgetWindowS=10\",\"budgetSlack=%d\",\"coldOverage=1.5\",\"coldSlack=5\",\"ttl_max_s=5\",\"maxRegionShift=0.15\",\"quotaWindowS=%g\",\"quotaOverage=%g\",\"quotaSlack=%d\"]\n",
		GraceTime.Seconds(), RetryRatio, RetrySlack, QuotaWindow.Seconds(), QuotaOverage, QuotaSlack)
	text.WriteString("[zones]\n")
	for _, dom := range zones {
		fmt.Fprintf(&text, "%s = %q\n", dom, strings.Split(dom, "-")[0])
	}
	fmt.Fprintf(&text, "[listen]\nfront = %q\nready = %q\ndirectory = %q\n", vmc.CallerAddress(), vmc.ReadyAddress(), vmc.LookupAddress())
	fmt.Fprintf(&text, "[limits]\nmemoryMb = %d\nmaxFds = 4100\n[platform]\naddr = %q\nform = \"kv\"\nttlMinS = 1\n",
		MemoryLimit>>20, prx.Address())
	if err = os.WriteFile(vmc.settings, []byte(text.String()), 0o600); err != nil {
		return err
	}
	prc, stop, err := procs.NewProcess(flt.cfg.Dir, fmt.Sprintf("vm-%d", num), "entryvm", "serve", "--settings", vmc.settings)
	if err != nil {
		return errors.Wrap(err, "prepare VM")
	}
	vmc.Process = prc
	flt.cleanups = append(flt.cleanups, stop)
	flt.VMs = append(flt.VMs, vmc)
	return nil
}

func (flt *Fleet) close() {
	for num := len(flt.cleanups) - 1; num >= 0; num-- {
		flt.cleanups[num]()
	}
}
