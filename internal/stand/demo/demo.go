// Package demo runs a small site in one process: a simulated store, VM list and targets, and real entry VMs.
package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"cardamompass"
	"cardamompass/internal/conf/catlg"
	"cardamompass/internal/conf/config"
	"cardamompass/internal/edge/entry"
	"cardamompass/internal/load/caller"
	"cardamompass/internal/plat/kvhttp"
	"cardamompass/internal/plat/vmlist"
	"cardamompass/internal/stand/ctrl"
	"cardamompass/internal/stand/kvsrv"
	"cardamompass/internal/stand/target"
	"cardamompass/internal/stand/vmsrv"
)

const (
	// peerKey is shared by the entry VMs of one site; they all run in this process.
	peerKey = "demo-key-for-loopback-only"
	// readyTime bounds the wait for the site to be ready.
	readyTime = 15 * time.Second
)

// Place is the location of an entry VM.
type Place struct {
	Region        cardamompass.Region
	FailureDomain cardamompass.FailureDomain
}

// Config configures a Site.
type Config struct {
	// Log receives the log lines of all entry VMs.
	Log *zap.Logger
	// VMs are the locations of the entry VMs.
	VMs []Place
	// Document is the catalogue without targets; these are added once their addresses are known.
	Document *catlg.Document
	// Targets are the targets; addresses are filled in.
	Targets []cardamompass.Target
	// Behaviour returns the behaviour of a target.
	Behaviour func(tgt cardamompass.Target) target.Behaviour
	// Settings are additional settings of all entry VMs by name, besides addresses and places.
	Settings map[string]any
	// Naive replaces the steering policy by the naive baseline.
	Naive bool
}

// Site is a running site.
type Site struct {
	Store        *kvsrv.Server
	StoreAddress string
	VMList       *vmsrv.Server
	Targets      map[cardamompass.TargetID]*target.Target
	VMs          []*entry.Process
	Editor       *catlg.Editor

	cfg           Config
	vmListAddress string
	stops         map[cardamompass.VMID]func()
	cleanups      []func()
}

// New starts a site, puts its catalogue into the store and waits until every entry VM serves it.
func New(cfg Config) (sit *Site, cleanup func(), err error) {
	defer func() { err = errors.Wrap(err, "start site") }()
	sit = &Site{
		Targets: make(map[cardamompass.TargetID]*target.Target),
		cfg:     cfg,
		stops:   make(map[cardamompass.VMID]func()),
	}
	for _, step := range []func() error{sit.startPlatform, sit.startTargets, sit.startVMs, sit.AwaitReady} {
		if err := step(); err != nil {
			sit.cleanup()
			return nil, nil, err
		}
	}
	return sit, sit.cleanup, nil
}

func (sit *Site) cleanup() {
	for num := len(sit.cleanups) - 1; num >= 0; num-- {
		sit.cleanups[num]()
	}
}

func (sit *Site) onCleanup(fnc func()) { sit.cleanups = append(sit.cleanups, fnc) }

func (sit *Site) startPlatform() (err error) {
	var stop func()
	if sit.Store, stop, err = kvsrv.New(kvsrv.Config{}); err != nil {
		return err
	}
	sit.onCleanup(stop)
	if sit.StoreAddress, stop, err = ctrl.Serve("127.0.0.1:0", sit.Store); err != nil {
		return err
	}
	sit.onCleanup(stop)
	if sit.VMList, stop, err = vmsrv.New(vmsrv.Config{}); err != nil {
		return err
	}
	sit.onCleanup(stop)
	if sit.vmListAddress, stop, err = ctrl.Serve("127.0.0.1:0", sit.VMList); err != nil {
		return err
	}
	sit.onCleanup(stop)
	sto, stop, err := kvhttp.New(kvhttp.Config{
		Address: sit.StoreAddress,
	})
	if err != nil {
		return err
	}
	sit.onCleanup(stop)
	sit.Editor = catlg.NewEditor(catlg.EditorConfig{
		Store:    sto,
		Key:      entry.CatalogueKey,
		Clock:    cardamompass.SystemClock{},
		EditedBy: "demo",
	})
	return nil
}

func (sit *Site) startTargets() (err error) {
	doc := sit.cfg.Document
	for _, spec := range sit.cfg.Targets {
		tgt, stop, err := target.New(target.Config{
			Address:   "127.0.0.1:0",
			Slots:     spec.Slots,
			Behaviour: sit.cfg.Behaviour(spec),
		})
		if err != nil {
			return err
		}
		sit.onCleanup(stop)
		sit.Targets[spec.ID] = tgt
		spec.Address = tgt.Address()
		ent, err := catlg.NewEntry(catlg.TargetEntry(spec.ID), "targets-team", spec)
		if err != nil {
			return err
		}
		doc = doc.WithEntry(ent)
		sit.VMList.Put(cardamompass.ListedVM{
			Name:    string(spec.ID),
			Address: spec.Address,
		})
	}
	ctx, cancel := context.WithTimeout(context.Background(), readyTime)
	defer cancel()
	_, err = sit.Editor.Put(ctx, catlg.Edit{
		Base:   catlg.Empty(),
		Edited: doc,
	})
	return err
}

func (sit *Site) startVMs() (err error) {
	counts := make(map[Place]int)
	for _, plc := range sit.cfg.VMs {
		counts[plc]++
		name := fmt.Sprintf("%s-%s-%d", plc.Region, plc.FailureDomain, counts[plc])
		if err := sit.StartVM(cardamompass.VMID(name), plc); err != nil {
			return err
		}
	}
	return nil
}

// StartVM starts another entry VM.
func (sit *Site) StartVM(vid cardamompass.VMID, plc Place) (err error) {
	values := map[string]any{
		"vm-id":            vid,
		"region":           plc.Region,
		"failure-domain":   plc.FailureDomain,
		"caller-address":   "127.0.0.1:0",
		"peer-address":     "127.0.0.1:0",
		"operator-address": "127.0.0.1:0",
		"store-address":    sit.StoreAddress,
		"vm-list-address":  sit.vmListAddress,
		"peer-key":         peerKey,
	}
	if len(sit.VMs) > 0 {
		values["seeds"] = []string{sit.VMs[0].VM().PeerAddress}
	}
	for name, value := range sit.cfg.Settings {
		values[name] = value
	}
	data, err := json.Marshal(values)
	if err != nil {
		return err
	}
	set, err := config.Parse(string(vid), data)
	if err != nil {
		return err
	}
	prc, stop, err := sit.newProcess(set)
	if err != nil {
		return err
	}
	stop = sync.OnceFunc(stop)
	sit.stops[vid] = stop
	sit.onCleanup(stop)
	sit.VMs = append(sit.VMs, prc)
	sit.VMList.Put(cardamompass.ListedVM{
		Name:    string(vid),
		Address: prc.VM().PeerAddress,
	})
	return nil
}

// KillVM ends an entry VM at once, without a planned stop. It stays in VMs.
func (sit *Site) KillVM(vid cardamompass.VMID) {
	if end := sit.stops[vid]; end != nil {
		end()
	}
}

func (sit *Site) newProcess(set config.Settings) (prc *entry.Process, cleanup func(), err error) {
	sto, stopStore, err := kvhttp.New(kvhttp.Config{
		Address: set.StoreAddress,
	})
	if err != nil {
		return nil, nil, err
	}
	vms, stopList, err := vmlist.New(vmlist.Config{
		Address: set.VMListAddress,
	})
	if err != nil {
		stopStore()
		return nil, nil, err
	}
	prc, stop, err := entry.New(entry.Config{
		Settings: set,
		Store:    sto,
		VMs:      vms,
		Clock:    cardamompass.SystemClock{},
		Log:      sit.cfg.Log.With(zap.String("process", string(set.VMID))),
		Naive:    sit.cfg.Naive,
	})
	if err != nil {
		stopStore()
		stopList()
		return nil, nil, err
	}
	return prc, func() {
		stop()
		stopStore()
		stopList()
	}, nil
}

// AwaitReady waits until every entry VM has the catalogue, lists all others as alive and has its lease.
func (sit *Site) AwaitReady() (err error) {
	var missing string
	for ends := time.Now().Add(readyTime); time.Now().Before(ends); time.Sleep(10 * time.Millisecond) {
		if missing = sit.missingState(); missing == "" {
			return nil
		}
	}
	return errors.Errorf("site is not ready after %v: %s", readyTime, missing)
}

func (sit *Site) missingState() string {
	for _, prc := range sit.VMs {
		sta := prc.State()
		alive := 0
		for _, mbr := range sta.Members {
			if mbr.State == cardamompass.StateAlive.String() {
				alive++
			}
		}
		switch {
		case sta.Catalogue.Version == 0:
			return string(sta.VM.ID) + " has no catalogue"
		case alive < len(sit.VMs):
			return fmt.Sprintf("%s lists %d of %d entry VMs as alive", sta.VM.ID, alive, len(sit.VMs))
		case len(sta.Shares.Resources) > 0 && sta.Shares.LeaseID == "":
			return string(sta.VM.ID) + " has no lease"
		}
	}
	return ""
}

// Caller returns a caller in a region.
func (sit *Site) Caller(reg cardamompass.Region) (clr *caller.Caller, cleanup func()) {
	var entries []string
	for _, prc := range sit.VMs {
		entries = append(entries, prc.VM().CallerAddress)
	}
	return caller.New(caller.Config{
		Entries: entries,
		Region:  reg,
	})
}

// Runs returns the number of runs of an operation over all targets.
func (sit *Site) Runs(operation string) (runs int) {
	for _, tgt := range sit.Targets {
		runs += tgt.Runs().ByOperation[operation]
	}
	return runs
}

// WriteOverview prints the addresses of the site and example commands.
func (sit *Site) WriteOverview(out io.Writer) (err error) {
	var buf bytes.Buffer
	first := sit.VMs[0]
	for _, prc := range sit.VMs {
		vmr := prc.VM()
		fmt.Fprintf(&buf, "entry-vm=%s region=%s failure-domain=%s callers=%s operators=%s\n",
			vmr.ID, vmr.Region, vmr.FailureDomain, vmr.CallerAddress, prc.OperatorAddress())
	}
	fmt.Fprintf(&buf, "store=%s\n\nTry, with the same program:\n", sit.StoreAddress)
	fmt.Fprintf(&buf, "  cardamompass lookup --entry %s --region gulf kiosk-core\n", first.VM().CallerAddress)
	fmt.Fprintf(&buf, "  cardamompass request --entry %s --region gulf kiosk-core /stock/7\n", first.VM().CallerAddress)
	fmt.Fprintf(&buf, "  cardamompass catalogue get --store %s catalogue.json\n", sit.StoreAddress)
	fmt.Fprintf(&buf, "  cardamompass catalogue put --store %s --by you catalogue.json\n", sit.StoreAddress)
	fmt.Fprintf(&buf, "  cardamompass dump %s\n", first.OperatorAddress())
	_, err = out.Write(buf.Bytes())
	return err
}
