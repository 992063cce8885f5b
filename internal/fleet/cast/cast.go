// Package cast exchanges datagrams among the entry VMs. They carry the loads that targets reported, and show that the sender is
// running.
//
// Each VM sends a datagram at a short interval to the other VMs, or to a bounded number of them in a large fleet. A lost datagram is
// not sent again: the next one has newer values. Datagrams are neither encrypted nor authenticated; the package relies on a network
// in which only the entry VMs reach the port. The content of load reports improves or worsens the choice of a target, and never decides
// whether a request may run.
//
// Datagrams of another kind carry asks for tokens of the quotas of teams, and grants of tokens; see package quota.
package cast

import (
	"bytes"
	"cmp"
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"cardamompass"
	"cardamompass/internal/steer/quota"
)

const (
	// Interval is the time between two datagrams. The speed of the targets' machines changes about every 600 ms.
	Interval = 100 * time.Millisecond
	// idleInterval is the time after which a datagram is sent even without reports.
	idleInterval = 500 * time.Millisecond
	// peerTimeout is how long a VM is considered running after its last datagram.
	peerTimeout = 2 * time.Second
	// maxRecipients bounds the number of VMs that a datagram is sent to, so that the traffic of a VM does not grow with the fleet.
	maxRecipients = 12
	// maxBytesPerSecond bounds what a VM sends, including asks and grants; larger datagrams are sent to fewer VMs. At the fleet size that the
	// system is designed for, 10 KB/s are allowed for control traffic.
	maxBytesPerSecond = 8 << 10
	// maxReports bounds the number of reports in a datagram, which must fit into one packet.
	maxReports = 30
	// departureTime is how long a departure is reported, so that most VMs get one of the datagrams. By then the store reports it too.
	departureTime = 2 * time.Second
	// maxDepartures bounds the number of departures in a datagram.
	maxDepartures = 10
	// maxDatagram is the size of the receive buffer in bytes. It is larger than a datagram with maxReports.
	maxDatagram = 4 << 10
)

// Report is the load that a target reported.
type Report struct {
	Instance cardamompass.InstanceID
	Load     cardamompass.Load
	// Age is the time since the target reported it.
	Age time.Duration
}

// Departure reports that an instance has stated that it is leaving.
type Departure struct {
	Instance cardamompass.InstanceID
	// StartMillis is that of the instance.
	StartMillis int64
}

// datagram is the wire format: an array of its fields in this order. VMs of another version reject an array of another length, so that
// no field can be added.
type datagram struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // an option of the codec

	VM            string
	Incarnation   uint64
	Region        string
	FailureDomain string
	CallerAddress string
	PeerAddress   string
	Stopping      bool
	Reports       []wireReport
	Capacity      int // requests per second
}

// wireReport is a report in a datagram. One without slots is a Departure, with its StartMillis as AgeMS: earlier versions ignore reports
// without slots.
type wireReport struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // an option of the codec

	Instance string
	Running  int
	Waiting  int
	Slots    int
	Slowness int // in percent
	AgeMS    int64
}

// Config configures an Exchanger.
type Config struct {
	Self cardamompass.VM
	// ListedVMs returns the running VMs in the store. The slice may be shared; it is not modified.
	ListedVMs func() []cardamompass.VM
	// OnReports is called with the reports of each datagram received. It must not block.
	OnReports func(reports []Report)
	// OnDepartures is called with the departures of each datagram that has any. It must not block. Optional.
	OnDepartures func(departures []Departure)
	// OnAsks is called with asks of another VM for tokens, OnGrants with grants of tokens. They must not block. Optional.
	OnAsks   func(from cardamompass.VMID, asks quota.Asks)
	OnGrants func(grs quota.Grants)
	Clock    cardamompass.Clock
	Log      *zap.Logger
}

// Exchanger exchanges datagrams with the other VMs. It is safe for concurrent use.
type Exchanger struct {
	cfg Config
	con *net.UDPConn

	mu      sync.Mutex
	pending map[cardamompass.InstanceID]timedLoad
	// departures holds the departures that are being reported, with the time at which they are reported last.
	departures map[Departure]time.Time
	lastSeen   map[cardamompass.VMID]sighting
	stopping   bool
	sentAt     time.Time
	tokens     tokenMeter
}

type timedLoad struct {
	load cardamompass.Load
	at   time.Time
}

type sighting struct {
	vmc cardamompass.VM
	at  time.Time
}

// New listens at the VM's peer address and returns the function that stops the exchange.
func New(cfg Config) (exc *Exchanger, cleanup func(), err error) {
	defer func() { err = errors.Wrap(err, "start load exchange") }()
	adr, err := net.ResolveUDPAddr("udp4", cfg.Self.PeerAddress)
	if err != nil {
		return nil, nil, err
	}
	con, err := net.ListenUDP("udp4", adr)
	if err != nil {
		return nil, nil, err
	}
	exc = &Exchanger{
		cfg:        cfg,
		con:        con,
		pending:    make(map[cardamompass.InstanceID]timedLoad),
		departures: make(map[Departure]time.Time),
		lastSeen:   make(map[cardamompass.VMID]sighting),
	}
	if exc.cfg.OnDepartures == nil {
		exc.cfg.OnDepartures = func([]Departure) {}
	}
	if exc.cfg.OnAsks == nil {
		exc.cfg.OnAsks = func(cardamompass.VMID, quota.Asks) {}
	}
	if exc.cfg.OnGrants == nil {
		exc.cfg.OnGrants = func(quota.Grants) {}
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(exc.receiveLoop)
	running.Go(func() { exc.sendLoop(ctx) })
	return exc, func() {
		cancel()
		_ = con.Close() // ends receiveLoop
		running.Wait()
	}, nil
}

// RecordLoad records a load that a target reported to this VM, to be sent with the next datagram.
func (exc *Exchanger) RecordLoad(id cardamompass.InstanceID, lod cardamompass.Load) {
	exc.mu.Lock()
	defer exc.mu.Unlock()
	exc.pending[id] = timedLoad{
		load: lod,
		at:   exc.cfg.Clock.Now(),
	}
}

// RecordDeparture records that an instance stated to this VM that it is leaving. The datagrams of the next departureTime report it.
func (exc *Exchanger) RecordDeparture(dep Departure) {
	exc.mu.Lock()
	defer exc.mu.Unlock()
	exc.departures[dep] = exc.cfg.Clock.Now().Add(departureTime)
}

// AnnounceStop notifies the other VMs that this one is stopping.
func (exc *Exchanger) AnnounceStop() {
	exc.mu.Lock()
	exc.stopping = true
	exc.mu.Unlock()
	exc.sendDatagram()
}

// Running returns the other VMs from which a datagram arrived within peerTimeout and that are not stopping.
func (exc *Exchanger) Running() (vms []cardamompass.VM) {
	now := exc.cfg.Clock.Now()
	exc.mu.Lock()
	defer exc.mu.Unlock()
	for _, sgt := range exc.lastSeen {
		if now.Sub(sgt.at) < peerTimeout {
			vms = append(vms, sgt.vmc)
		}
	}
	return vms
}

// OtherVMs returns the other VMs that serve: those in the store and those from which a datagram arrived recently, since
// the store entry of a VM may lapse while the VM still serves.
func (exc *Exchanger) OtherVMs() (vms []cardamompass.VM) {
	seen := map[cardamompass.VMID]bool{exc.cfg.Self.ID: true}
	for _, vmc := range slices.Concat(exc.cfg.ListedVMs(), exc.Running()) {
		if !seen[vmc.ID] {
			seen[vmc.ID] = true
			vms = append(vms, vmc)
		}
	}
	return vms
}

func (exc *Exchanger) sendLoop(ctx context.Context) {
	tck := time.NewTicker(Interval)
	defer tck.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tck.C:
			if exc.due() {
				exc.sendDatagram()
			}
		}
	}
}

// due reports whether a datagram has to be sent now.
func (exc *Exchanger) due() (ok bool) {
	exc.mu.Lock()
	defer exc.mu.Unlock()
	return len(exc.pending) > 0 || len(exc.departures) > 0 || exc.cfg.Clock.Now().Sub(exc.sentAt) >= idleInterval
}

// sendDatagram sends one datagram to the recipients.
func (exc *Exchanger) sendDatagram() {
	var buf bytes.Buffer
	enc := msgpack.NewEncoder(&buf)
	enc.UseCompactInts(true)
	if err := enc.Encode(exc.nextDatagram()); err != nil {
		exc.cfg.Log.Error("datagram not encoded", zap.Error(err))
		return
	}
	data := buf.Bytes()
	vms := exc.recipients()
	maxVMs := max(1, int(exc.reportBytes(exc.cfg.Clock.Now())*Interval.Seconds())/len(data))
	for _, vmc := range vms[:min(len(vms), maxVMs)] {
		adr, err := net.ResolveUDPAddr("udp4", vmc.PeerAddress)
		if err != nil {
			exc.cfg.Log.Warn("peer address not usable", zap.String("vm", string(vmc.ID)), zap.Error(err))
			continue
		}
		_, _ = exc.con.WriteToUDP(data, adr) // a lost datagram is replaced by the next one
	}
}

// nextDatagram returns the datagram with the loads recorded since the last one, at most maxReports.
func (exc *Exchanger) nextDatagram() (dgr datagram) {
	now := exc.cfg.Clock.Now()
	self := exc.cfg.Self
	exc.mu.Lock()
	defer exc.mu.Unlock()
	exc.sentAt = now
	dgr = datagram{
		VM:            string(self.ID),
		Incarnation:   uint64(self.Incarnation),
		Region:        string(self.Region),
		FailureDomain: string(self.FailureDomain),
		CallerAddress: self.CallerAddress,
		PeerAddress:   self.PeerAddress,
		Stopping:      exc.stopping,
		Capacity:      int(self.Capacity),
	}
	for dep, until := range exc.departures {
		if now.After(until) {
			delete(exc.departures, dep)
		} else if len(dgr.Reports) < maxDepartures {
			dgr.Reports = append(dgr.Reports, wireReport{
				Instance: string(dep.Instance),
				AgeMS:    dep.StartMillis,
			})
		}
	}
	for id, tml := range exc.pending {
		if len(dgr.Reports) == maxReports {
			break
		}
		delete(exc.pending, id)
		dgr.Reports = append(dgr.Reports, wireReport{
			Instance: string(id),
			Running:  tml.load.Running,
			Waiting:  tml.load.Waiting,
			Slots:    tml.load.Slots,
			Slowness: int(tml.load.Slowness * 100),
			AgeMS:    now.Sub(tml.at).Milliseconds(),
		})
	}
	return dgr
}

// recipients returns the VMs that a datagram is sent to: those of this VM's region first, since they use the same targets, then
// others. Both are in random order weighted by capacity, since loads are most useful where most requests are.
func (exc *Exchanger) recipients() (vms []cardamompass.VM) {
	var far []cardamompass.VM
	for _, vmc := range exc.OtherVMs() {
		switch {
		case vmc.PeerAddress == "":
		case vmc.Region == exc.cfg.Self.Region:
			vms = append(vms, vmc)
		default:
			far = append(far, vmc)
		}
	}
	vms = append(weightedShuffle(vms), weightedShuffle(far)...)
	return vms[:min(len(vms), maxRecipients)]
}

// weightedShuffle sorts VMs in random order, weighted by capacity: each VM's sort key is exponentially distributed with its
// capacity as the rate.
func weightedShuffle(vms []cardamompass.VM) (out []cardamompass.VM) {
	times := make(map[cardamompass.VMID]float64, len(vms))
	for _, vmc := range vms {
		times[vmc.ID] = rand.ExpFloat64() / max(1, vmc.Capacity)
	}
	slices.SortFunc(vms, func(one, two cardamompass.VM) int { return cmp.Compare(times[one.ID], times[two.ID]) })
	return vms
}
