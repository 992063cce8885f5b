package procs

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"cardamompass"
	"cardamompass/internal/conf/catlg"
	"cardamompass/internal/edge/entry"
	"cardamompass/internal/load/caller"
	"cardamompass/internal/plat/kvhttp"
	"cardamompass/internal/stand/fault"
)

// peerKey is shared by the entry VMs of a site.
const peerKey = "procs-key-for-loopback-only"

// proxySendBuffer is the send buffer of the proxies in bytes, see fault.Config.
const proxySendBuffer = 64 << 10

// Place is the id and the location of an entry VM.
type Place struct {
	ID            cardamompass.VMID
	Region        cardamompass.Region
	FailureDomain cardamompass.FailureDomain
}

// Config describes a site.
type Config struct {
	// Dir is the directory of the settings files and the logs.
	Dir string
	// VMs are the entry VMs. Those named in NotStarted are prepared but not started.
	VMs        []Place
	NotStarted []cardamompass.VMID
	// Document is the catalogue without targets.
	Document *catlg.Document
	// Targets are the targets; their addresses are filled in.
	Targets []cardamompass.Target
	// TargetFlags returns additional flags of "standin target". Nil means none.
	TargetFlags func(tgt cardamompass.Target) []string
	// Settings are additional settings of all entry VMs by name, besides addresses and places.
	Settings map[string]any
	// StoreProxies puts a proxy between each entry VM and the store, PeerProxies one in front of each entry VM's peer
	// address, TargetProxies one in front of each target.
	StoreProxies  bool
	PeerProxies   bool
	TargetProxies bool
	// SkipAwaitShares lets New return before the caps are divided among the entry VMs, see AwaitShares.
	SkipAwaitShares bool
}

// Store is the store's process. Address is the address of the store itself, not of a proxy.
type Store struct {
	*Process
	Address string
}

// Target is a target's process. Proxy is nil unless the configuration asks for it.
type Target struct {
	*Process
	Target         cardamompass.Target
	ControlAddress string
	Proxy          *fault.Proxy
}

// VM is an entry VM's process. The proxies are nil unless the configuration asks for them.
type VM struct {
	*Process
	Place           Place
	CallerAddress   string
	PeerAddress     string
	OperatorAddress string
	// StoreProxy carries the VM's calls to the store, PeerProxy the calls of all other entry VMs to it.
	StoreProxy *fault.Proxy
	PeerProxy  *fault.Proxy
}

// Site is a running site.
type Site struct {
	Store   *Store
	VMList  *Process
	Targets map[cardamompass.TargetID]*Target
	VMs     []*VM
	// Editor edits the catalogue in the store without a proxy.
	Editor *catlg.Editor

	cfg           Config
	vmListAddress string
	cleanups      []func()
}

// New starts a site, puts its catalogue into the store and waits until all entry VMs are ready and the
// caps are divided. The clean-up function ends all processes and proxies.
func New(cfg Config) (sit *Site, cleanup func(), err error) {
	defer func() { err = errors.Wrap(err, "start site of processes") }()
	sit = &Site{
		Targets: make(map[cardamompass.TargetID]*Target),
		cfg:     cfg,
	}
	steps := []func() error{sit.startPlatform, sit.startTargets, sit.startVMs, sit.AwaitReady}
	if !cfg.SkipAwaitShares {
		steps = append(steps, sit.AwaitShares)
	}
	for _, step := range steps {
		if err := step(); err != nil {
			err = errors.WithMessage(err, sit.Tails(10))
			sit.cleanup()
			return nil, nil, err
		}
	}
	return sit, sync.OnceFunc(sit.cleanup), nil
}

// ForTest starts a site that ends with the test. If the test fails, the last lines of each process's output are logged.
func ForTest(tbx testing.TB, cfg Config) (sit *Site) {
	tbx.Helper()
	if cfg.Dir == "" {
		cfg.Dir = tbx.TempDir()
	}
	sit, cleanup, err := New(cfg)
	if err != nil {
		tbx.Fatal(err)
	}
	tbx.Cleanup(func() {
		cleanup()
		if tbx.Failed() {
			tbx.Log(sit.Tails(40))
		}
	})
	return sit
}

func (sit *Site) cleanup() {
	for num := len(sit.cleanups) - 1; num >= 0; num-- {
		sit.cleanups[num]()
	}
}

func (sit *Site) onCleanup(fnc func()) { sit.cleanups = append(sit.cleanups, fnc) }

// start starts a process that the site's clean-up function ends.
func (sit *Site) start(name, prog string, args ...string) (prc *Process, err error) {
	if prc, err = newProcess(sit.cfg.Dir, name, prog, args...); err != nil {
		return nil, err
	}
	if err = prc.Start(); err != nil {
		return nil, err
	}
	sit.onCleanup(prc.close)
	return prc, nil
}

func (sit *Site) proxy(upstream string) (prx *fault.Proxy, err error) {
	prx, stop, err := fault.New(fault.Config{
		Address:  "127.0.0.1:0",
		Upstream: upstream,
		// Keeps the counts of delivered bytes close to the bytes received.
		SendBuffer: proxySendBuffer,
	})
	if err != nil {
		return nil, err
	}
	sit.onCleanup(stop)
	return prx, nil
}

func (sit *Site) startPlatform() (err error) {
	address, err := freeAddress()
	if err != nil {
		return err
	}
	prc, err := sit.start("store", "standin", "store", "--address", address)
	if err != nil {
		return err
	}
	sit.Store = &Store{
		Process: prc,
		Address: address,
	}
	if sit.VMList, err = sit.start("vm-list", "standin", "vms"); err != nil {
		return err
	}
	if sit.vmListAddress, err = sit.VMList.Value("address"); err != nil {
		return err
	}
	if _, err = prc.Value("address"); err != nil {
		return err
	}
	sto, stop, err := kvhttp.New(kvhttp.Config{
		Address: address,
	})
	if err != nil {
		return err
	}
	sit.onCleanup(stop)
	sit.Editor = catlg.NewEditor(catlg.EditorConfig{
		Store:    sto,
		Key:      entry.CatalogueKey,
		Clock:    cardamompass.SystemClock{},
		EditedBy: "procs",
	})
	return nil
}

// PutListed adds a VM to the platform's VM list or replaces it there.
func (sit *Site) PutListed(lvm cardamompass.ListedVM) (err error) {
	return Control(sit.vmListAddress, http.MethodPut, "/control/vms/"+lvm.Name, map[string]any{
		"address": lvm.Address,
		"leaving": lvm.Leaving,
	}, nil)
}

// RemoveListed removes a VM from the platform's VM list.
func (sit *Site) RemoveListed(name string) (err error) {
	return Control(sit.vmListAddress, http.MethodDelete, "/control/vms/"+name, nil, nil)
}

// Caller returns a caller in a region that uses the given entry VMs for look-ups, all if none is given.
func (sit *Site) Caller(reg cardamompass.Region, entries ...*VM) (clr *caller.Caller, cleanup func()) {
	if len(entries) == 0 {
		entries = sit.VMs
	}
	var addresses []string
	for _, vmp := range entries {
		addresses = append(addresses, vmp.CallerAddress)
	}
	return caller.New(caller.Config{
		Entries: addresses,
		Region:  reg,
	})
}

// VM returns an entry VM by its id, nil if there is none.
func (sit *Site) VM(vid cardamompass.VMID) *VM {
	for _, vmp := range sit.VMs {
		if vmp.Place.ID == vid {
			return vmp
		}
	}
	return nil
}

// Tails returns the last lines of the output of each process.
func (sit *Site) Tails(lines int) string {
	var all []*Process
	if sit.Store != nil {
		all = append(all, sit.Store.Process)
	}
	for _, tgt := range sit.Targets {
		all = append(all, tgt.Process)
	}
	for _, vmp := range sit.VMs {
		all = append(all, vmp.Process)
	}
	var out strings.Builder
	for _, prc := range all {
		fmt.Fprintf(&out, "== %s\n%s\n", prc.name, prc.Tail(lines))
	}
	return out.String()
}

// writeSettings writes the settings file of an entry VM and returns its path.
func (sit *Site) writeSettings(vmp *VM, storeAddress string) (path string, err error) {
	values := map[string]any{
		"vm-id":            vmp.Place.ID,
		"region":           vmp.Place.Region,
		"failure-domain":   vmp.Place.FailureDomain,
		"caller-address":   vmp.CallerAddress,
		"peer-address":     vmp.PeerAddress,
		"operator-address": vmp.OperatorAddress,
		"store-address":    storeAddress,
		"vm-list-address":  sit.vmListAddress,
		"peer-key":         peerKey,
		"seeds":            sit.seeds(),
	}
	if vmp.PeerProxy != nil {
		values["advertise-peer-address"] = vmp.PeerProxy.Address()
	}
	for name, value := range sit.cfg.Settings {
		values[name] = value
	}
	data, err := json.MarshalIndent(values, "", "  ")
	if err != nil {
		return "", err
	}
	path = filepath.Join(sit.cfg.Dir, string(vmp.Place.ID)+".json")
	return path, os.WriteFile(path, data, 0o600)
}

// putCatalogue puts the catalogue with the targets into the store.
func (sit *Site) putCatalogue(doc *catlg.Document) (err error) {
	ctx, cancel := context.WithTimeout(context.Background(), readyTime)
	defer cancel()
	_, err = sit.Editor.Put(ctx, catlg.Edit{
		Base:   catlg.Empty(),
		Edited: doc,
	})
	return err
}

// Await waits until ready returns an empty string. After the bound it returns an error with the last string.
func Await(bound time.Duration, ready func() (missing string)) (err error) {
	missing := ""
	for ends := time.Now().Add(bound); time.Now().Before(ends); time.Sleep(pollTime) {
		if missing = ready(); missing == "" {
			return nil
		}
	}
	return errors.Errorf("not ready within %v: %s", bound, missing)
}
