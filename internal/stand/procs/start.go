package procs

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"

	"cardamompass"
	"cardamompass/internal/conf/catlg"
	"cardamompass/internal/edge/entry"
)

func (sit *Site) startTargets() (err error) {
	doc := sit.cfg.Document
	for _, spec := range sit.cfg.Targets {
		tgt, err := sit.startTarget(spec)
		if err != nil {
			return err
		}
		ent, err := catlg.NewEntry(catlg.TargetEntry(spec.ID), "targets-team", tgt.Target)
		if err != nil {
			return err
		}
		doc = doc.WithEntry(ent)
		if err = sit.PutListed(cardamompass.ListedVM{
			Name:    string(spec.ID),
			Address: tgt.Target.Address,
		}); err != nil {
			return err
		}
	}
	return sit.putCatalogue(doc)
}

func (sit *Site) startTarget(spec cardamompass.Target) (tgt *Target, err error) {
	args := []string{"target", "--control-address", "127.0.0.1:0", "--slots", strconv.Itoa(spec.Slots)}
	if sit.cfg.TargetFlags != nil {
		args = append(args, sit.cfg.TargetFlags(spec)...)
	}
	prc, err := sit.start(string(spec.ID), "standin", args...)
	if err != nil {
		return nil, err
	}
	tgt = &Target{
		Process: prc,
		Target:  spec,
	}
	if tgt.Target.Address, err = prc.Value("address"); err != nil {
		return nil, err
	}
	if tgt.ControlAddress, err = prc.Value("control"); err != nil {
		return nil, err
	}
	if sit.cfg.TargetProxies {
		if tgt.Proxy, err = sit.proxy(tgt.Target.Address); err != nil {
			return nil, err
		}
		tgt.Target.Address = tgt.Proxy.Address()
	}
	sit.Targets[spec.ID] = tgt
	return tgt, nil
}

// startVMs prepares all entry VMs before it starts the first, so that every one has the same seeds.
func (sit *Site) startVMs() (err error) {
	for _, plc := range sit.cfg.VMs {
		vmp, err := sit.prepareVM(plc)
		if err != nil {
			return err
		}
		sit.VMs = append(sit.VMs, vmp)
	}
	for _, vmp := range sit.VMs {
		storeAddress := sit.Store.Address
		if vmp.StoreProxy != nil {
			storeAddress = vmp.StoreProxy.Address()
		}
		path, err := sit.writeSettings(vmp, storeAddress)
		if err != nil {
			return err
		}
		vmp.Process, err = newProcess(sit.cfg.Dir, string(vmp.Place.ID), "cardamompass", "serve", "--settings", path)
		if err != nil {
			return err
		}
		sit.onCleanup(vmp.close)
		if slices.Contains(sit.cfg.NotStarted, vmp.Place.ID) {
			continue
		}
		if err = vmp.Start(); err != nil {
			return err
		}
		if err = sit.PutListed(cardamompass.ListedVM{
			Name:    string(vmp.Place.ID),
			Address: vmp.advertisedPeerAddress(),
		}); err != nil {
			return err
		}
	}
	return nil
}

func (sit *Site) prepareVM(plc Place) (vmp *VM, err error) {
	vmp = &VM{
		Place: plc,
	}
	for _, address := range []*string{&vmp.CallerAddress, &vmp.PeerAddress, &vmp.OperatorAddress} {
		if *address, err = freeAddress(); err != nil {
			return nil, err
		}
	}
	if sit.cfg.StoreProxies {
		if vmp.StoreProxy, err = sit.proxy(sit.Store.Address); err != nil {
			return nil, err
		}
	}
	if sit.cfg.PeerProxies {
		if vmp.PeerProxy, err = sit.proxy(vmp.PeerAddress); err != nil {
			return nil, err
		}
	}
	return vmp, nil
}

// seeds returns the peer addresses of all entry VMs, including those that are not started yet.
func (sit *Site) seeds() (addresses []string) {
	for _, vmp := range sit.VMs {
		addresses = append(addresses, vmp.advertisedPeerAddress())
	}
	return addresses
}

// advertisedPeerAddress returns the address at which other entry VMs reach this one.
func (vmp *VM) advertisedPeerAddress() string {
	if vmp.PeerProxy != nil {
		return vmp.PeerProxy.Address()
	}
	return vmp.PeerAddress
}

// Start starts the entry VM and waits until it has logged its addresses.
func (vmp *VM) Start() (err error) {
	if err = vmp.Process.Start(); err != nil {
		return err
	}
	_, err = vmp.Value("operator-address")
	return err
}

// State returns the state dump.
func (vmp *VM) State() (sta entry.State, err error) {
	err = Control(vmp.OperatorAddress, http.MethodGet, "/v1/state", nil, &sta)
	return sta, err
}

// AwaitReady waits until every running entry VM has a catalogue, lists all running entry VMs as alive and has its lease.
func (sit *Site) AwaitReady() (err error) {
	return Await(readyTime, sit.missingState)
}

func (sit *Site) missingState() (missing string) {
	running := make(map[cardamompass.VMID]bool)
	for _, vmp := range sit.VMs {
		if vmp.Running() {
			running[vmp.Place.ID] = true
		}
	}
	for _, vmp := range sit.VMs {
		if !running[vmp.Place.ID] {
			continue
		}
		sta, err := vmp.State()
		if err != nil {
			return err.Error()
		}
		alive := 0
		for _, mbr := range sta.Members {
			if mbr.State == cardamompass.StateAlive.String() && running[mbr.ID] {
				alive++
			}
		}
		switch {
		case sta.Catalogue.Version == 0:
			return string(vmp.Place.ID) + " has no catalogue"
		case alive < len(running):
			return fmt.Sprintf("%s lists %d of %d entry VMs as alive", vmp.Place.ID, alive, len(running))
		case len(sta.Shares.Resources) > 0 && sta.Shares.LeaseID == "":
			return string(vmp.Place.ID) + " has no lease"
		}
	}
	return ""
}

// minShareDivisor divides an equal share of a cap; the result is the least that a VM owns once the caps are divided. The smallest
// weight is a quarter of the largest, and half of a share is enough.
const minShareDivisor = 8

// AwaitShares waits until every running entry VM owns at least an eighth of an equal share of each cap. The first VM of a new
// site owns all units until it rebalances the ledgers; if it is killed before, no VM owns them until its lease expires.
func (sit *Site) AwaitShares() (err error) { return Await(readyTime, sit.missingShares) }

func (sit *Site) missingShares() (missing string) {
	var states []entry.State
	for _, vmp := range sit.VMs {
		if !vmp.Running() {
			continue
		}
		sta, err := vmp.State()
		if err != nil {
			return err.Error()
		}
		states = append(states, sta)
	}
	for _, sta := range states {
		for _, res := range sta.Shares.Resources {
			if least := res.Capacity / int64(minShareDivisor*len(states)); res.Owned < least {
				return fmt.Sprintf("%s owns %d of %d units of %s", sta.VM.ID, res.Owned, res.Capacity, res.Name)
			}
		}
	}
	return ""
}
