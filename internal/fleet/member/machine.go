package member

import (
	"math/rand"
	"slices"
	"strings"
	"time"

	"cardamompass"
)

// Defaults of MachineConfig. Detecting a failure takes about 4 s: half a probe interval, the ping and relay timeouts, and
// the suspicion timeout.
const (
	// DefaultProbeInterval is the time between two probes by a VM.
	DefaultProbeInterval = 500 * time.Millisecond
	// DefaultPingTimeout allows for setting up a connection and several round trips between the regions farthest apart.
	DefaultPingTimeout = 500 * time.Millisecond
	// DefaultRelayTimeout covers the relay's own ping timeout and the round trip to the relay.
	DefaultRelayTimeout = 800 * time.Millisecond
	// DefaultSuspicionTimeout is the time within which a suspected member can refute the suspicion.
	DefaultSuspicionTimeout = 2 * time.Second
	// DefaultRetention exceeds the 10 minutes for which operation records are kept, because the successor of a member
	// that left must be known for that time.
	DefaultRetention = 15 * time.Minute
)

const (
	// relayCount is the number of members that are requested to probe a member that did not respond.
	relayCount = 3
	// maxUpdates bounds the records in one message; with about 100 bytes each they fit into one packet.
	maxUpdates = 8
	// transmitFactor times the logarithm of the fleet size is the number of times that a record is sent. With a factor
	// of 3, gossip reaches all members with high probability; comparing digests repairs the rest.
	transmitFactor = 3
	// deadProbeInterval is the time between two probes of dead members; each probe goes to one member.
	deadProbeInterval = 5 * time.Second
	// seedProbeInterval is the time between two probes of seed addresses that no serving member uses; each probe goes to
	// one address. These probes rejoin the sides of a partition that lasted longer than the retention time.
	seedProbeInterval = 15 * time.Second
	// minJoinDelay and maxJoinDelay bound the exponential back-off between attempts to join.
	minJoinDelay = 500 * time.Millisecond
	maxJoinDelay = 10 * time.Second
	// minSyncInterval is the minimum time between two full exchanges that this VM starts. With 430 VMs, a full exchange
	// transfers about 50 KB.
	minSyncInterval = 10 * time.Second
	// maxDisagreement is the time without an exchange with a peer of an equal view after which a full exchange is started
	// although records are still queued. When a whole fleet starts, the queues take minutes to drain.
	maxDisagreement = 15 * time.Second
	// sweepInterval is the time between two removals of records whose retention time has passed.
	sweepInterval = 5 * time.Second
	// maxListProbes bounds the probes triggered by one list of VMs.
	maxListProbes = 4
	// leaveProbeCount is the number of members that are notified directly that this VM left.
	leaveProbeCount = 8
)

// MachineConfig configures a Machine. Zero durations take the defaults of this package.
type MachineConfig struct {
	// Self describes this VM.
	Self cardamompass.VM
	// Seeds are the peer addresses to contact when joining.
	Seeds []string
	// RandomSeed is the seed of the random number generator.
	RandomSeed int64
	// Start is the time at which the machine starts.
	Start time.Time
	// ProbeInterval is the time between two probes.
	ProbeInterval time.Duration
	// PingTimeout bounds a direct probe.
	PingTimeout time.Duration
	// RelayTimeout bounds an indirect probe through another member.
	RelayTimeout time.Duration
	// SuspicionTimeout is the time after which a suspected member is declared dead.
	SuspicionTimeout time.Duration
	// Retention is the time for which the records of members that died or left are kept.
	Retention time.Duration
}

func (cfg MachineConfig) withDefaults() MachineConfig {
	for ptr, def := range map[*time.Duration]time.Duration{
		&cfg.ProbeInterval:    DefaultProbeInterval,
		&cfg.PingTimeout:      DefaultPingTimeout,
		&cfg.RelayTimeout:     DefaultRelayTimeout,
		&cfg.SuspicionTimeout: DefaultSuspicionTimeout,
		&cfg.Retention:        DefaultRetention,
	} {
		if *ptr == 0 {
			*ptr = def
		}
	}
	return cfg
}

// record is the state of another member at this VM.
type record struct {
	mbr cardamompass.Member
	// since is the time of the last change of the record; for a member that died or left, the time of that event.
	since time.Time
	// deadline is the end of a suspicion, zero if there is none. A leaving member is suspected without a change of its
	// state, because StateSuspect would hide that it is leaving.
	deadline time.Time
	probing  bool
}

// probe is one running probe.
type probe struct {
	target  cardamompass.VMID
	inc     cardamompass.Incarnation
	pending int
	// suspects is set if a failure of the probe leads to suspicion of the target.
	suspects bool
	indirect bool
	join     bool
}

// queuedUpdate is a member whose record is to be sent, and the number of times that it was sent.
type queuedUpdate struct {
	vid  cardamompass.VMID
	sent int
}

// Machine is the state machine of the membership protocol. It is not safe for concurrent use.
type Machine struct {
	cfg        MachineConfig
	rng        *rand.Rand
	self       cardamompass.Member
	records    map[cardamompass.VMID]*record
	suspects   map[cardamompass.VMID]*record
	serving    int // number of other members that serve
	digest     uint64
	probeOrder []cardamompass.VMID
	probePos   int
	seedPos    int // of the next seed to probe
	queue      []queuedUpdate
	probes     map[uint64]*probe
	lastID     uint64
	listProbes map[string]time.Time

	now           time.Time
	lastTick      time.Time
	nextProbe     time.Time
	nextDeadProbe time.Time
	nextSeedProbe time.Time
	nextSync      time.Time
	lastAgreement time.Time // time of the last exchange with a peer of an equal view
	nextSweep     time.Time
	joinDelay     time.Duration
	effects       []Effect
}

// NewMachine returns a machine without other members.
func NewMachine(cfg MachineConfig) *Machine {
	cfg = cfg.withDefaults()
	mch := &Machine{
		cfg: cfg,
		rng: rand.New(rand.NewSource(cfg.RandomSeed)),
		self: cardamompass.Member{
			VM:    cfg.Self,
			State: cardamompass.StateAlive,
		},
		records:       map[cardamompass.VMID]*record{},
		suspects:      map[cardamompass.VMID]*record{},
		probes:        map[uint64]*probe{},
		listProbes:    map[string]time.Time{},
		lastTick:      cfg.Start,
		lastAgreement: cfg.Start,
		nextProbe:     cfg.Start,
		nextSeedProbe: cfg.Start.Add(seedProbeInterval),
		joinDelay:     minJoinDelay,
	}
	if len(cfg.Seeds) > 0 {
		mch.seedPos = mch.rng.Intn(len(cfg.Seeds)) // VMs that start together probe different seeds
	}
	mch.digest = viewHash(mch.self)
	mch.enqueue(cfg.Self.ID)
	return mch
}

// Self returns this VM's own record.
func (mch *Machine) Self() cardamompass.Member { return mch.self }

// Members returns all known members, including this VM, sorted by id.
func (mch *Machine) Members() (mbrs []cardamompass.Member) {
	mbrs = append(make([]cardamompass.Member, 0, len(mch.records)+1), mch.self)
	for _, rec := range mch.records {
		mbrs = append(mbrs, rec.mbr)
	}
	slices.SortFunc(mbrs, func(one, two cardamompass.Member) int {
		return strings.Compare(string(one.VM.ID), string(two.VM.ID))
	})
	return mbrs
}

// Next returns the time at which the next Tick is due.
func (mch *Machine) Next() (due time.Time) {
	due = mch.nextProbe
	for _, rec := range mch.suspects {
		if rec.deadline.Before(due) {
			due = rec.deadline
		}
	}
	return due
}

// Apply processes one event and returns the effects that the driver has to execute. Concurrent events may arrive out of
// order; a time before that of the last event is replaced by that time.
func (mch *Machine) Apply(evt Event) (effects []Effect) {
	now := evt.at()
	if now.Before(mch.now) {
		now = mch.now
	}
	mch.now = now
	mch.effects = nil
	switch evt := evt.(type) {
	case Tick:
		mch.tick(now)
	case PingReceived:
		mch.pingReceived(evt.Message, now)
	case RelayReceived:
		mch.relayReceived(evt.Request, now)
	case ProbeAnswered:
		mch.probeAnswered(evt, now)
	case ProbeFailed:
		mch.probeFailed(evt.Probe, now)
	case VMsListed:
		mch.vmsListed(evt.VMs, now)
	case LeaveRequested:
		mch.leaveRequested(evt, now)
	}
	effects, mch.effects = mch.effects, nil
	return effects
}

func (mch *Machine) emit(eff Effect) { mch.effects = append(mch.effects, eff) }

func (mch *Machine) tick(now time.Time) {
	mch.extendSuspicions(now)
	mch.expireSuspicions(now)
	mch.sweep(now)
	if now.Before(mch.nextProbe) {
		return
	}
	mch.nextProbe = now.Add(mch.cfg.ProbeInterval)
	if mch.self.State == cardamompass.StateLeft {
		return
	}
	if mch.serving == 0 {
		mch.join(now)
		return
	}
	mch.joinDelay = minJoinDelay
	mch.probeNext(now)
	mch.probeDead(now)
	mch.probeSeed(now)
}

// extendSuspicions extends the suspicions by the time for which this process was stalled, because refutations that
// arrived in that time have not been processed yet.
func (mch *Machine) extendSuspicions(now time.Time) {
	stall := now.Sub(mch.lastTick) - mch.cfg.ProbeInterval
	mch.lastTick = now
	if stall < mch.cfg.ProbeInterval {
		return
	}
	for _, rec := range mch.suspects {
		rec.deadline = rec.deadline.Add(stall)
	}
}

// expireSuspicions declares members dead that did not refute their suspicion in time.
func (mch *Machine) expireSuspicions(now time.Time) {
	for _, vid := range mch.sortedIDs(mch.suspects) {
		rec := mch.suspects[vid]
		if rec.deadline.After(now) {
			continue
		}
		mch.setRecord(rec, rec.mbr.WithState(cardamompass.StateDead), now, now, true)
	}
}

// sweep removes the records of members that died or left after the retention time.
func (mch *Machine) sweep(now time.Time) {
	if now.Before(mch.nextSweep) {
		return
	}
	mch.nextSweep = now.Add(sweepInterval)
	for _, vid := range mch.sortedIDs(mch.records) {
		rec := mch.records[vid]
		if ended(rec.mbr) && now.Sub(rec.since) >= mch.cfg.Retention {
			delete(mch.records, vid)
			mch.emit(Changed{
				Member:    rec.mbr,
				Forgotten: true,
			})
		}
	}
	for name, last := range mch.listProbes {
		if now.Sub(last) >= minSyncInterval {
			delete(mch.listProbes, name)
		}
	}
}

// sortedIDs returns the ids in order, so that the effects are deterministic.
func (*Machine) sortedIDs(recs map[cardamompass.VMID]*record) (vids []cardamompass.VMID) {
	vids = make([]cardamompass.VMID, 0, len(recs))
	for vid := range recs {
		vids = append(vids, vid)
	}
	slices.Sort(vids)
	return vids
}
