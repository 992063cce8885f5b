package member

import (
	"math/rand"
	"slices"
	"strings"
	"time"

	"cardamompass"
)

// Defaults of MachineConfig. Detection takes about half a probe interval, two timeouts and the suspicion: 4 s.
const (
	// DefaultProbeInterval is the time between two probes of a VM.
	DefaultProbeInterval = 500 * time.Millisecond
	// DefaultPingTimeout is several round trips between the regions that are farthest apart, plus a new connection.
	DefaultPingTimeout = 500 * time.Millisecond
	// DefaultRelayTimeout covers the relay's own ping timeout and the way to the relay and back.
	DefaultRelayTimeout = 800 * time.Millisecond
	// DefaultSuspicionTimeout is the time that a suspected member has for its refutation.
	DefaultSuspicionTimeout = 2 * time.Second
	// DefaultRetention exceeds the 10 minutes for which operation records are kept, because the successor of a member
	// that left must be known as long.
	DefaultRetention = 15 * time.Minute
)

const (
	// relays is the number of members that are asked to probe a member that did not answer.
	relays = 3
	// maxUpdates bounds the records on one message; with about 100 bytes each they fill less than one packet.
	maxUpdates = 8
	// transmitFactor times the logarithm of the fleet's size is the number of times that a record is passed on. With 3
	// an epidemic reaches all members with a probability that leaves the rest to the digest.
	transmitFactor = 3
	// deadInterval is the time between two probes of dead members, one member each.
	deadInterval = 5 * time.Second
	// seedInterval is the time between two probes of seeds that no serving member uses, one seed each. It joins the
	// sides of a partition that lasted longer than the retention.
	seedInterval = 15 * time.Second
	// joinDelay and maxJoinDelay are the first and the longest delay between attempts to join.
	joinDelay    = 500 * time.Millisecond
	maxJoinDelay = 10 * time.Second
	// syncInterval is the least time between two full exchanges that this VM starts. A full exchange at 430 VMs is
	// about 50 KB.
	syncInterval = 10 * time.Second
	// disagreement is the time without any peer of an equal view after which a full exchange is worthwhile although
	// records are still queued. When a whole fleet starts, the queues take minutes to drain.
	disagreement = 15 * time.Second
	// sweepInterval is the time between two searches for records past their retention.
	sweepInterval = 5 * time.Second
	// maxHints bounds the probes that one list causes.
	maxHints = 4
	// leaveProbes is the number of members that are told directly that this VM left.
	leaveProbes = 8
)

// MachineConfig configures a Machine. Zero durations take the defaults of this package.
type MachineConfig struct {
	// Self describes this VM.
	Self cardamompass.VM
	// Seeds are peer addresses of VMs to join.
	Seeds []string
	// RandomSeed determines all random choices.
	RandomSeed int64
	// Start is the time at which the machine starts.
	Start time.Time
	// ProbeInterval is the time between two probes.
	ProbeInterval time.Duration
	// PingTimeout bounds a probe.
	PingTimeout time.Duration
	// RelayTimeout bounds a probe through another member.
	RelayTimeout time.Duration
	// SuspicionTimeout is the time between suspicion and death.
	SuspicionTimeout time.Duration
	// Retention is the time for which ended members are kept.
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

// record is what a VM knows about one member.
type record struct {
	mbr cardamompass.Member
	// since is the time of the last change of the record, for ended members the time of their end.
	since time.Time
	// deadline is the end of a suspicion, zero without one. A leaving member is suspected without a change of its state,
	// because StateSuspect would hide that it leaves.
	deadline time.Time
	probing  bool
}

// probe is one running probe.
type probe struct {
	target  cardamompass.VMID
	inc     cardamompass.Incarnation
	pending int
	// check is set for a probe whose failure leads to suspicion.
	check    bool
	indirect bool
	join     bool
}

// queued is a record that is passed on.
type queued struct {
	vid  cardamompass.VMID
	sent int
}

// Machine is the state machine of the membership. It is not safe for concurrent use.
type Machine struct {
	cfg     MachineConfig
	rng     *rand.Rand
	self    cardamompass.Member
	records map[cardamompass.VMID]*record
	suspect map[cardamompass.VMID]*record
	serving int // other members that serve
	digest  uint64
	ring    []cardamompass.VMID
	ringPos int
	queue   []queued
	probes  map[uint64]*probe
	lastID  uint64
	hints   map[string]time.Time

	now       time.Time
	lastTick  time.Time
	nextProbe time.Time
	nextDead  time.Time
	nextSeed  time.Time
	nextSync  time.Time
	agreed    time.Time // the last exchange with a peer of an equal view
	nextSweep time.Time
	joinWait  time.Duration
	effects   []Effect
}

// NewMachine returns the machine of a VM that knows only itself.
func NewMachine(cfg MachineConfig) *Machine {
	cfg = cfg.withDefaults()
	mch := &Machine{
		cfg: cfg,
		rng: rand.New(rand.NewSource(cfg.RandomSeed)),
		self: cardamompass.Member{
			VM:    cfg.Self,
			State: cardamompass.StateAlive,
		},
		records:   map[cardamompass.VMID]*record{},
		suspect:   map[cardamompass.VMID]*record{},
		probes:    map[uint64]*probe{},
		hints:     map[string]time.Time{},
		lastTick:  cfg.Start,
		agreed:    cfg.Start,
		nextProbe: cfg.Start,
		nextSeed:  cfg.Start.Add(seedInterval),
		joinWait:  joinDelay,
	}
	mch.digest = viewHash(mch.self)
	mch.enqueue(cfg.Self.ID)
	return mch
}

// Self returns this VM's own record.
func (mch *Machine) Self() cardamompass.Member { return mch.self }

// Members returns all known members, this VM included, in the order of their ids.
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
	for _, rec := range mch.suspect {
		if rec.deadline.Before(due) {
			due = rec.deadline
		}
	}
	return due
}

// Apply changes the state by one event and returns what the driver has to do. A time before that of the last event, as
// concurrent events have it, counts as that time.
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
		mch.arrived(evt.Message, now)
	case RelayReceived:
		mch.relay(evt.Request, now)
	case ProbeAnswered:
		mch.answered(evt, now)
	case ProbeFailed:
		mch.missed(evt.Probe, now)
	case VMsListed:
		mch.hinted(evt.VMs, now)
	case LeaveRequested:
		mch.leave(evt, now)
	}
	effects, mch.effects = mch.effects, nil
	return effects
}

func (mch *Machine) emit(eff Effect) { mch.effects = append(mch.effects, eff) }

func (mch *Machine) tick(now time.Time) {
	mch.forgiveStall(now)
	mch.expire(now)
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
	mch.joinWait = joinDelay
	mch.probeNext(now)
	mch.probeDead(now)
	mch.probeSeed(now)
}

// forgiveStall prolongs suspicions by the time for which this process did not run, because refutations that arrived
// meanwhile have not been read yet.
func (mch *Machine) forgiveStall(now time.Time) {
	stall := now.Sub(mch.lastTick) - mch.cfg.ProbeInterval
	mch.lastTick = now
	if stall < mch.cfg.ProbeInterval {
		return
	}
	for _, rec := range mch.suspect {
		rec.deadline = rec.deadline.Add(stall)
	}
}

// expire declares members dead whose suspicion was not refuted in time.
func (mch *Machine) expire(now time.Time) {
	for _, vid := range mch.sorted(mch.suspect) {
		rec := mch.suspect[vid]
		if rec.deadline.After(now) {
			continue
		}
		mch.set(rec, rec.mbr.WithState(cardamompass.StateDead), now, now, true)
	}
}

// sweep forgets ended members after their retention.
func (mch *Machine) sweep(now time.Time) {
	if now.Before(mch.nextSweep) {
		return
	}
	mch.nextSweep = now.Add(sweepInterval)
	for _, vid := range mch.sorted(mch.records) {
		rec := mch.records[vid]
		if ended(rec.mbr) && now.Sub(rec.since) >= mch.cfg.Retention {
			delete(mch.records, vid)
			mch.emit(Changed{
				Member:    rec.mbr,
				Forgotten: true,
			})
		}
	}
	for name, last := range mch.hints {
		if now.Sub(last) >= syncInterval {
			delete(mch.hints, name)
		}
	}
}

// sorted returns the ids in order, so that equal inputs give equal effects.
func (*Machine) sorted(recs map[cardamompass.VMID]*record) (vids []cardamompass.VMID) {
	vids = make([]cardamompass.VMID, 0, len(recs))
	for vid := range recs {
		vids = append(vids, vid)
	}
	slices.Sort(vids)
	return vids
}
