// Package cast tells the other entry VMs what targets stated of their load, and that this VM runs.
//
// Each VM sends a datagram at a short interval to the other VMs, or to a bounded number of them in a large fleet. A lost datagram is not
// repeated: the next one has fresher figures. Datagrams are neither encrypted nor authenticated; the package relies on a network in
// which only the entry VMs reach the port. What they say makes a choice of a target better or worse, and never decides whether a request
// may run.
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
)

const (
	// Interval is the time between two datagrams. Targets' machines change their speed about every 600 ms.
	Interval = 100 * time.Millisecond
	// quietInterval is the time after which a datagram is sent although there is nothing to report.
	quietInterval = 500 * time.Millisecond
	// heardTime is how long a VM counts as running after its last datagram.
	heardTime = 2 * time.Second
	// maxPeers bounds the VMs that get a datagram, so that the traffic of a VM does not grow with the fleet.
	maxPeers = 12
	// bytesPerSecond bounds what a VM sends; larger datagrams go to fewer VMs. The target size allows 10 KB/s for control.
	bytesPerSecond = 8 << 10
	// maxReports bounds the reports of a datagram, which must fit into one packet.
	maxReports = 30
	// maxDatagram is more than a datagram with maxReports takes.
	maxDatagram = 4 << 10
)

// Report is what a target stated of its load.
type Report struct {
	Instance cardamompass.InstanceID
	Load     cardamompass.Load
	// Age is the time since the target stated it.
	Age time.Duration
}

// datagram is the wire format: an array of its fields in this order.
type datagram struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // an option of the codec

	VM          string
	Incarnation uint64
	Region      string
	Domain      string
	Caller      string
	Peer        string
	Stopping    bool
	Reports     []wireValue
	Capacity    int // requests a second
}

// wireValue is a report in a datagram.
type wireValue struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // an option of the codec

	Instance string
	Running  int
	Waiting  int
	Slots    int
	Slowness int // in percent
	AgeMS    int
}

// Config configures a Caster.
type Config struct {
	Self cardamompass.VM
	// ListedVMs returns the running VMs that the store knows. The slice may be shared; it is not changed.
	ListedVMs func() []cardamompass.VM
	// OnReports is told of the reports of another VM. It must not block.
	OnReports func(reports []Report)
	Clock     cardamompass.Clock
	Log       *zap.Logger
}

// Exchanger exchanges datagrams with the other VMs. It is safe for concurrent use.
type Exchanger struct {
	cfg Config
	con *net.UDPConn

	mu       sync.Mutex
	fresh    map[cardamompass.InstanceID]stamped
	heard    map[cardamompass.VMID]sighting
	stopping bool
	sentAt   time.Time
}

type stamped struct {
	load cardamompass.Load
	at   time.Time
}

type sighting struct {
	vmc cardamompass.VM
	at  time.Time
}

// New listens at the VM's peer address and returns the function that ends the exchange.
func New(cfg Config) (cst *Exchanger, cleanup func(), err error) {
	defer func() { err = errors.Wrap(err, "exchange of loads") }()
	adr, err := net.ResolveUDPAddr("udp4", cfg.Self.PeerAddress)
	if err != nil {
		return nil, nil, err
	}
	con, err := net.ListenUDP("udp4", adr)
	if err != nil {
		return nil, nil, err
	}
	cst = &Exchanger{
		cfg:   cfg,
		con:   con,
		fresh: make(map[cardamompass.InstanceID]stamped),
		heard: make(map[cardamompass.VMID]sighting),
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(cst.receive)
	running.Go(func() { cst.send(ctx) })
	return cst, func() {
		cancel()
		_ = con.Close() // ends receive
		running.Wait()
	}, nil
}

// RecordLoad takes a load that a target stated to this VM.
func (cst *Exchanger) RecordLoad(id cardamompass.InstanceID, lod cardamompass.Load) {
	cst.mu.Lock()
	defer cst.mu.Unlock()
	cst.fresh[id] = stamped{
		load: lod,
		at:   cst.cfg.Clock.Now(),
	}
}

// AnnounceStop tells the other VMs that this one stops.
func (cst *Exchanger) AnnounceStop() {
	cst.mu.Lock()
	cst.stopping = true
	cst.mu.Unlock()
	cst.cast()
}

// Running returns the other VMs from which a datagram came a short time ago and that do not stop.
func (cst *Exchanger) Running() (vms []cardamompass.VM) {
	now := cst.cfg.Clock.Now()
	cst.mu.Lock()
	defer cst.mu.Unlock()
	for _, sgt := range cst.heard {
		if now.Sub(sgt.at) < heardTime {
			vms = append(vms, sgt.vmc)
		}
	}
	return vms
}

// OtherVMs returns the other VMs that serve: those in the store and those from which a datagram arrived recently, since
// the store entry of a VM may lapse while the VM still serves.
func (cst *Exchanger) OtherVMs() (vms []cardamompass.VM) {
	seen := map[cardamompass.VMID]bool{cst.cfg.Self.ID: true}
	for _, vmc := range slices.Concat(cst.cfg.ListedVMs(), cst.Running()) {
		if !seen[vmc.ID] {
			seen[vmc.ID] = true
			vms = append(vms, vmc)
		}
	}
	return vms
}

func (cst *Exchanger) send(ctx context.Context) {
	tck := time.NewTicker(Interval)
	defer tck.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tck.C:
			if cst.due() {
				cst.cast()
			}
		}
	}
}

// due reports whether there is something to tell.
func (cst *Exchanger) due() (ok bool) {
	cst.mu.Lock()
	defer cst.mu.Unlock()
	return len(cst.fresh) > 0 || cst.cfg.Clock.Now().Sub(cst.sentAt) >= quietInterval
}

// cast sends one datagram to the other VMs.
func (cst *Exchanger) cast() {
	var buf bytes.Buffer
	enc := msgpack.NewEncoder(&buf)
	enc.UseCompactInts(true)
	if err := enc.Encode(cst.take()); err != nil {
		cst.cfg.Log.Error("datagram not encoded", zap.Error(err))
		return
	}
	data := buf.Bytes()
	vms := cst.peers()
	affordable := max(1, int(bytesPerSecond*Interval.Seconds())/len(data))
	for _, vmc := range vms[:min(len(vms), affordable)] {
		adr, err := net.ResolveUDPAddr("udp4", vmc.PeerAddress)
		if err != nil {
			cst.cfg.Log.Warn("peer address not usable", zap.String("vm", string(vmc.ID)), zap.Error(err))
			continue
		}
		_, _ = cst.con.WriteToUDP(data, adr) // the next datagram replaces one that is lost
	}
}

// take returns the datagram with the reports since the last one.
func (cst *Exchanger) take() (dgr datagram) {
	now := cst.cfg.Clock.Now()
	self := cst.cfg.Self
	cst.mu.Lock()
	defer cst.mu.Unlock()
	cst.sentAt = now
	dgr = datagram{
		VM:          string(self.ID),
		Incarnation: uint64(self.Incarnation),
		Region:      string(self.Region),
		Domain:      string(self.FailureDomain),
		Caller:      self.CallerAddress,
		Peer:        self.PeerAddress,
		Stopping:    cst.stopping,
		Capacity:    int(self.Capacity),
	}
	for id, stm := range cst.fresh {
		if len(dgr.Reports) == maxReports {
			break
		}
		delete(cst.fresh, id)
		dgr.Reports = append(dgr.Reports, wireValue{
			Instance: string(id),
			Running:  stm.load.Running,
			Waiting:  stm.load.Waiting,
			Slots:    stm.load.Slots,
			Slowness: int(stm.load.Slowness * 100),
			AgeMS:    int(now.Sub(stm.at).Milliseconds()),
		})
	}
	return dgr
}

// peers returns the VMs that get a datagram: those of the own region first, since they use the same targets, then others. Within these a
// VM comes earlier the more requests it can carry, by chance in that proportion, since loads are of use where requests are.
func (cst *Exchanger) peers() (vms []cardamompass.VM) {
	var far []cardamompass.VM
	for _, vmc := range cst.OtherVMs() {
		switch {
		case vmc.PeerAddress == "":
		case vmc.Region == cst.cfg.Self.Region:
			vms = append(vms, vmc)
		default:
			far = append(far, vmc)
		}
	}
	vms = append(shuffled(vms), shuffled(far)...)
	return vms[:min(len(vms), maxPeers)]
}

// shuffled orders VMs by chance, each weighted by its capacity: the time until the first event of a random process of that rate.
func shuffled(vms []cardamompass.VM) (out []cardamompass.VM) {
	times := make(map[cardamompass.VMID]float64, len(vms))
	for _, vmc := range vms {
		times[vmc.ID] = rand.ExpFloat64() / max(1, vmc.Capacity)
	}
	slices.SortFunc(vms, func(one, two cardamompass.VM) int { return cmp.Compare(times[one.ID], times[two.ID]) })
	return vms
}

// receive takes datagrams until the connection is closed.
func (cst *Exchanger) receive() {
	buf := make([]byte, maxDatagram)
	for {
		num, _, err := cst.con.ReadFromUDP(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		var dgr datagram
		if err == nil {
			err = msgpack.Unmarshal(buf[:num], &dgr)
		}
		if err != nil {
			cst.cfg.Log.Warn("datagram not understood", zap.Error(err))
			continue
		}
		cst.heardFrom(dgr)
	}
}

func (cst *Exchanger) heardFrom(dgr datagram) {
	vmc := cardamompass.VM{
		ID:            cardamompass.VMID(dgr.VM),
		Incarnation:   cardamompass.Incarnation(dgr.Incarnation),
		Region:        cardamompass.Region(dgr.Region),
		FailureDomain: cardamompass.FailureDomain(dgr.Domain),
		CallerAddress: dgr.Caller,
		PeerAddress:   dgr.Peer,
		Capacity:      float64(dgr.Capacity),
	}
	cst.mu.Lock()
	_, known := cst.heard[vmc.ID]
	if dgr.Stopping {
		delete(cst.heard, vmc.ID)
	} else {
		cst.heard[vmc.ID] = sighting{
			vmc: vmc,
			at:  cst.cfg.Clock.Now(),
		}
	}
	cst.mu.Unlock()
	if known == dgr.Stopping {
		cst.cfg.Log.Info("vm heard", zap.String("vm", dgr.VM), zap.Bool("stopping", dgr.Stopping))
	}
	reports := make([]Report, 0, len(dgr.Reports))
	for _, val := range dgr.Reports {
		if val.Slots <= 0 || val.Slowness <= 0 {
			continue
		}
		reports = append(reports, Report{
			Instance: cardamompass.InstanceID(val.Instance),
			Load: cardamompass.Load{
				Running:  val.Running,
				Waiting:  val.Waiting,
				Slots:    val.Slots,
				Slowness: float64(val.Slowness) / 100,
			},
			Age: time.Duration(val.AgeMS) * time.Millisecond,
		})
	}
	cst.cfg.OnReports(reports)
}
