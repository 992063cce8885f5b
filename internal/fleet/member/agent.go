package member

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/atomic"
	"go.uber.org/zap"

	"cardamompass"
)

// MaxPayloadBytes bounds the payload of one subsystem on one message. Longer ones are not sent.
const MaxPayloadBytes = 512

// PayloadHandler is a subsystem whose payload travels on probes and their answers.
type PayloadHandler struct {
	// Name identifies the subsystem at both ends.
	Name string
	// Produce returns the payload for a message that leaves now, nil for none. It must not block.
	Produce func() (data []byte)
	// Consume receives the payload of another member's message. It must not block.
	Consume func(from cardamompass.Member, data []byte)
}

// Config configures an Agent.
type Config struct {
	// Machine configures the state machine. Start is set by New.
	Machine MachineConfig
	// Caller calls other VMs.
	Caller cardamompass.PeerCaller
	// Clock tells the time. Optional.
	Clock cardamompass.Clock
	// Logger receives changes of members. Optional.
	Logger *zap.Logger
	// PayloadHandlers are the subsystems whose payloads are carried. More can be added with Attach before Start.
	PayloadHandlers []PayloadHandler
}

// Agent is this VM's part in the membership. It is safe for concurrent use.
type Agent struct {
	cfg Config

	mut      sync.Mutex
	mch      *Machine
	subs     map[chan struct{}]struct{}
	started  bool
	closed   bool
	carriers []PayloadHandler

	view       atomic.Pointer[[]cardamompass.Member]
	self       atomic.Pointer[cardamompass.Member]
	superseded chan struct{}
	wake       chan struct{}
	end        chan struct{}
	callCtx    func(timeout time.Duration) (ctx context.Context, cancel context.CancelFunc)
	cancel     context.CancelFunc
	wgr        sync.WaitGroup
}

var _ cardamompass.Membership = (*Agent)(nil)

// New returns an agent that answers other VMs but sends no probe before Start. The clean-up function ends running
// probes and waits for them; it announces nothing (see Leave). Errors: InvalidError.
func New(cfg Config) (agt *Agent, stop func(), err error) {
	if cfg.Machine.Self.ID == "" || cfg.Machine.Self.PeerAddress == "" || cfg.Caller == nil {
		return nil, nil, &cardamompass.InvalidError{
			Field:  "membership",
			Reason: "needs the VM's id, its peer address and a peer caller",
		}
	}
	if cfg.Clock == nil {
		cfg.Clock = cardamompass.SystemClock{}
	}
	if cfg.Logger == nil {
		cfg.Logger = zap.NewNop()
	}
	cfg.Machine.Start = cfg.Clock.Now()
	ctx, cancel := context.WithCancel(context.Background())
	agt = &Agent{
		cfg:        cfg,
		mch:        NewMachine(cfg.Machine),
		subs:       map[chan struct{}]struct{}{},
		carriers:   cfg.PayloadHandlers,
		superseded: make(chan struct{}),
		wake:       make(chan struct{}, 1),
		end:        make(chan struct{}),
		cancel:     cancel,
	}
	agt.callCtx = func(timeout time.Duration) (context.Context, context.CancelFunc) {
		return context.WithTimeout(ctx, timeout)
	}
	agt.publish()
	return agt, agt.stop, nil
}

// Attach adds a subsystem whose payload is carried. Call it before Start.
func (agt *Agent) Attach(car PayloadHandler) {
	agt.mut.Lock()
	defer agt.mut.Unlock()
	agt.carriers = append(agt.carriers[:len(agt.carriers):len(agt.carriers)], car)
}

// Start begins to probe. Call it once.
func (agt *Agent) Start() {
	agt.mut.Lock()
	defer agt.mut.Unlock()
	if agt.closed || agt.started {
		return
	}
	agt.started = true
	agt.wgr.Go(agt.run)
}

// Self implements cardamompass.Membership.
func (agt *Agent) Self() cardamompass.Member { return *agt.self.Load() }

// Members implements cardamompass.Membership. Callers must not modify the slice. It costs no copy and never waits.
func (agt *Agent) Members() []cardamompass.Member { return *agt.view.Load() }

// Subscribe returns a channel that receives a value after members have changed; several changes may give one value.
// Cancel ends the subscription.
func (agt *Agent) Subscribe() (changes <-chan struct{}, cancel func()) {
	sub := make(chan struct{}, 1)
	agt.mut.Lock()
	defer agt.mut.Unlock()
	agt.subs[sub] = struct{}{}
	return sub, func() {
		agt.mut.Lock()
		defer agt.mut.Unlock()
		delete(agt.subs, sub)
	}
}

// Superseded returns a channel that is closed when a later incarnation of this VM runs. The process should end then.
func (agt *Agent) Superseded() <-chan struct{} { return agt.superseded }

// ProbeListed probes the listed entry VMs that are not known to serve, a few for each call. It never removes a member.
// The list must not contain VMs of targets.
func (agt *Agent) ProbeListed(vms []cardamompass.ListedVM) {
	agt.start(agt.apply(VMsListed{
		Now: agt.cfg.Clock.Now(),
		VMs: vms,
	}))
}

// AnnounceLeaving tells the other members that a planned stop has begun.
func (agt *Agent) AnnounceLeaving() {
	agt.start(agt.apply(LeaveRequested{
		Now: agt.cfg.Clock.Now(),
	}))
	agt.rouse()
}

// Leave completes the planned stop: it announces that this VM left and that successor, which may be empty, answers
// for its operations. It tells some members directly and returns when these calls have ended; an error means that none
// of them answered. The agent still answers probes until the clean-up function is called.
func (agt *Agent) Leave(ctx context.Context, successor cardamompass.VMID) (err error) {
	defer func() { err = errors.Wrap(err, "leave the membership") }()
	agt.AnnounceLeaving()
	effects := agt.apply(LeaveRequested{
		Now:       agt.cfg.Clock.Now(),
		Successor: successor,
		Final:     true,
	})
	var (
		wgr  sync.WaitGroup
		told atomic.Int64
		sent int
	)
	for _, eff := range effects {
		if png, ok := eff.(Ping); ok && png.Leave {
			sent++
			wgr.Go(func() {
				if agt.ping(ctx, png) != nil {
					told.Inc()
				}
			})
		}
	}
	wgr.Wait()
	if sent > 0 && told.Load() == 0 {
		return errors.Errorf("none of %d members answered", sent)
	}
	return nil
}

func (agt *Agent) stop() {
	agt.mut.Lock()
	if !agt.closed {
		agt.closed = true
		close(agt.end)
	}
	agt.mut.Unlock()
	agt.cancel()
	agt.wgr.Wait()
}

func (agt *Agent) rouse() {
	select {
	case agt.wake <- struct{}{}:
	default:
	}
}

func (agt *Agent) run() {
	for {
		agt.mut.Lock()
		due := agt.mch.Next()
		agt.mut.Unlock()
		now := agt.cfg.Clock.Now()
		if !due.After(now) {
			agt.start(agt.apply(Tick{
				Now: now,
			}))
			continue
		}
		tmr := agt.cfg.Clock.NewTimer(due.Sub(now))
		select {
		case <-tmr.C():
		case <-agt.wake:
			tmr.Stop()
		case <-agt.end:
			tmr.Stop()
			return
		}
	}
}

// apply feeds one event to the machine and publishes the result.
func (agt *Agent) apply(evt Event) (effects []Effect) {
	agt.mut.Lock()
	defer agt.mut.Unlock()
	due := agt.mch.Next()
	effects = agt.mch.Apply(evt)
	changed := false
	for _, eff := range effects {
		switch eff := eff.(type) {
		case Changed:
			changed = true
			agt.logChange(eff)
		case Superseded:
			agt.markSuperseded(eff)
		}
	}
	if changed {
		agt.publish()
	}
	if agt.mch.Next().Before(due) {
		agt.rouse()
	}
	return effects
}

func (agt *Agent) logChange(eff Changed) {
	agt.cfg.Logger.Info("member-changed",
		zap.String("member", string(eff.Member.VM.ID)),
		zap.Uint64("incarnation", uint64(eff.Member.VM.Incarnation)),
		zap.Stringer("state", eff.Member.State),
		zap.Uint64("refutation", eff.Member.Refutation),
		zap.Bool("forgotten", eff.Forgotten))
}

func (agt *Agent) markSuperseded(eff Superseded) {
	select {
	case <-agt.superseded:
	default:
		agt.cfg.Logger.Error("member-superseded",
			zap.Uint64("by-incarnation", uint64(eff.By.VM.Incarnation)))
		close(agt.superseded)
	}
}

// publish stores the view for readers. The caller holds the lock or is the constructor.
func (agt *Agent) publish() {
	self := agt.mch.Self()
	view := agt.mch.Members()
	agt.self.Store(&self)
	agt.view.Store(&view)
	for sub := range agt.subs {
		select {
		case sub <- struct{}{}:
		default:
		}
	}
}
