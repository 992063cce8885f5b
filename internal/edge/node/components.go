package node

import (
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"cardamompass"
	"cardamompass/internal/conf/steer"
	"cardamompass/internal/edge/front"
	"cardamompass/internal/edge/pipe"
	"cardamompass/internal/edge/send"
	"cardamompass/internal/fleet/cast"
	"cardamompass/internal/fleet/mirror"
	"cardamompass/internal/fleet/spread"
	"cardamompass/internal/fleet/view"
)

// startFront starts the handler of callers' requests.
func (nod *Node) startFront(scp tally.Scope) {
	cfg := nod.cfg
	nod.front = startComponent(nod, func() (*front.Front, func()) {
		return front.New(front.Config{
			Settings: nod.Settings,
			Steering: func() steer.Settings { return *nod.steering.Load() },
			Protocol: cfg.Protocol,
			Clock:    cfg.Clock,
			Log:      cfg.Log,
			Scope:    scp,
			Balancer: nod.balancer,
			Sender:   nod.sender,
			View:     nod.follower.View,
			StoreAge: nod.follower.StoreAge,
			OnLoad:   nod.exchanger.RecordLoad,
			OnLeaving: func(ins cardamompass.Instance) {
				nod.exchanger.RecordDeparture(cast.Departure{
					Instance:    ins.ID,
					StartMillis: ins.StartMillis,
				})
			},
			OnCrash:          nod.reports.crashed,
			OnCrashWithdrawn: nod.reports.withdrawn,
			TriesSuspects:    nod.triesSuspects,
			Dial:             send.Dialer(targetAckTimeout),
			Bodies:           nod.requestBodies,
			Room:             nod.room,
			Waiting:          nod.mayWait,
			Quota:            nod.tokens,
		})
	})
	nod.pipe = startComponent(nod, func() (*pipe.Pipe, func()) {
		return pipe.New(pipe.Config{
			Handler: nod.front,
			Beside:  nod.front.Beside,
			Clock:   cfg.Clock,
			Log:     cfg.Log,
			Scope:   scp,
			Memory:  int64(heldMemoryFraction * float64(cfg.Settings.MemoryBytes)),
		})
	})
}

// triesSuspects reports whether this VM is the one of the running VMs that lets a request with refused content through from time to time.
func (nod *Node) triesSuspects(fingerprint string) (ok bool) {
	names := []string{string(nod.self.ID)}
	for _, vmc := range nod.exchanger.OtherVMs() {
		names = append(names, string(vmc.ID))
	}
	return spread.TopRanked(fingerprint, names, 1)[0] == string(nod.self.ID)
}

// lostCrashes returns the crashes whose reports a restored store has lost and which this VM, of the running ones, reports again.
func (nod *Node) lostCrashes(vew *view.View) (list []cardamompass.Crash) {
	for _, crs := range vew.LostCrashes() {
		if nod.triesSuspects(crs.Fingerprint) {
			list = append(list, crs)
		}
	}
	return list
}

// mayWait reports whether requests for which no target has room may wait. Only teams compete for room by priority and share.
func (nod *Node) mayWait() (ok bool) {
	tbl := nod.follower.View().Table
	return tbl != nil && tbl.HasTeams()
}

// startExchanger starts the exchange of load reports with the other VMs.
func (nod *Node) startExchanger() (err error) {
	cst, stop, err := cast.New(cast.Config{
		Self:         nod.self,
		ListedVMs:    func() []cardamompass.VM { return nod.follower.View().VMs() },
		OnReports:    nod.recordReports,
		OnDepartures: nod.recordDepartures,
		OnAsks:       nod.tokens.HandleAsks,
		OnGrants:     nod.tokens.HandleGrants,
		Clock:        nod.cfg.Clock,
		Log:          nod.cfg.Log,
	})
	if err != nil {
		return err
	}
	nod.exchanger = cst
	nod.tokens.Connect(cst)
	nod.cleanups = append(nod.cleanups, stop)
	return nil
}

// startMirror starts to pass the routing table to other VMs, and to read it from them while the store does not answer. Without it, for
// example because another process has the port, the VM serves all the same.
func (nod *Node) startMirror() {
	if nod.cfg.Tables == nil {
		return
	}
	_, stop, err := mirror.New(mirror.Config{
		Address: nod.self.PeerAddress,
		Codec:   nod.cfg.Tables,
		View:    nod.follower.View,
		Outage:  nod.follower.OutageAge,
		Peers:   nod.exchanger.OtherVMs,
		Apply:   nod.follower.ApplyPeerChanges,
		Dial:    send.Dialer(targetAckTimeout),
		Clock:   nod.cfg.Clock,
		Log:     nod.cfg.Log,
	})
	if err != nil {
		nod.cfg.Log.Error("routing tables are not read from other VMs", zap.Error(err))
		return
	}
	nod.cleanups = append(nod.cleanups, stop)
}

func (nod *Node) recordReports(reports []cast.Report) {
	now := nod.cfg.Clock.Now()
	for _, rpt := range reports {
		nod.balancer.RecordPeerLoad(rpt.Instance, rpt.Load, rpt.Age, now)
	}
	nod.announceRoom()
}

// announceRoom makes the requests that wait for room be tried again.
func (nod *Node) announceRoom() {
	select {
	case nod.room <- struct{}{}:
	default: // an earlier announcement is pending
	}
}

func (nod *Node) recordDepartures(departures []cast.Departure) {
	now := nod.cfg.Clock.Now()
	for _, dep := range departures {
		nod.balancer.RecordPeerLeaving(dep.Instance, dep.StartMillis, now)
	}
}
