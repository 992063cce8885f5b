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

// MaxPayloadBytes bounds the payload of one subsystem in one message. A longer payload is not sent.
const MaxPayloadBytes = 512

// PayloadHandler produces and consumes the payload of a subsystem, which is piggybacked on probes and their replies.
type PayloadHandler struct {
	// Name identifies the subsystem on the sending and the receiving VM.
	Name string
	// Produce returns the payload for a message that is about to be sent, nil for none. It must not block.
	Produce func() (data []byte)
	// Consume receives the payload of a message of another member. It must not block.
	Consume func(from cardamompass.Member, data []byte)
}

// Config configures an Agent.
type Config struct {
	// Machine configures the state machine. Start is set by New.
	Machine MachineConfig
	// Caller calls other VMs.
	Caller cardamompass.PeerCaller
	// Clock is the time source. Optional.
	Clock cardamompass.Clock
	// Logger logs changes of members. Optional.
	Logger *zap.Logger
	// PayloadHandlers are the handlers of the subsystems. More can be added with Attach before Start.
	PayloadHandlers []PayloadHandler
}

// Agent runs the membership protocol on one VM. It is safe for concurrent use.
type Agent struct {
	cfg Config

	mut             sync.Mutex
	mch             *Machine
	subs            map[chan struct{}]struct{}
	started         bool
	closed          bool
	payloadHandlers []PayloadHandler

	members    atomic.Pointer[[]cardamompass.Member]
	self       atomic.Pointer[cardamompass.Member]
	superseded chan struct{}
	wakeup     chan struct{}
	end        chan struct{}
	callCtx    func(timeout time.Duration) (ctx context.Context, cancel context.CancelFunc)
	cancel     context.CancelFunc
	wgr        sync.WaitGroup
}

var _ cardamompass.Membership = (*Agent)(nil)

// New returns an agent that replies to the probes of other VMs but sends no probes before Start. The stop function cancels
// running probes and waits for them; it does not announce that this VM leaves (see Leave). Errors: InvalidError.
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
		cfg:             cfg,
		mch:             NewMachine(cfg.Machine),
		subs:            map[chan struct{}]struct{}{},
		payloadHandlers: cfg.PayloadHandlers,
		superseded:      make(chan struct{}),
		wakeup:          make(chan struct{}, 1),
		end:             make(chan struct{}),
		cancel:          cancel,
	}
	agt.callCtx = func(timeout time.Duration) (context.Context, context.CancelFunc) {
		return context.WithTimeout(ctx, timeout)
	}
	agt.publish()
	return agt, agt.stop, nil
}

// Attach adds the payload handler of a subsystem. Call it before Start.
func (agt *Agent) Attach(phd PayloadHandler) {
	agt.mut.Lock()
	defer agt.mut.Unlock()
	agt.payloadHandlers = append(agt.payloadHandlers[:len(agt.payloadHandlers):len(agt.payloadHandlers)], phd)
}

// Start starts probing. Call it once.
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

// Members implements cardamompass.Membership. It neither copies nor blocks. Callers must not modify the slice.
func (agt *Agent) Members() []cardamompass.Member { return *agt.members.Load() }

// Subscribe returns a channel that receives a value after members have changed; several changes may be combined into
// one value. Cancel ends the subscription.
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

// Superseded returns a channel that is closed when a later incarnation of this VM is found to run. The process should
// then exit.
func (agt *Agent) Superseded() <-chan struct{} { return agt.superseded }

// ProbeListed probes the listed entry VMs that are not known to be serving, a few on each call. It never removes a
// member. The list must not contain VMs of targets.
func (agt *Agent) ProbeListed(vms []cardamompass.ListedVM) {
	agt.startCalls(agt.apply(VMsListed{
		Now: agt.cfg.Clock.Now(),
		VMs: vms,
	}))
}

// AnnounceLeaving announces to the other members that a planned stop has begun.
func (agt *Agent) AnnounceLeaving() {
	agt.startCalls(agt.apply(LeaveRequested{
		Now: agt.cfg.Clock.Now(),
	}))
	agt.wakeUp()
}

// Leave completes the planned stop: it announces that this VM left and that successor, which may be empty, took over its
// operation records. It notifies some members directly and returns when these calls have ended; an error means that none
// of them responded. The agent replies to probes until the stop function is called.
func (agt *Agent) Leave(ctx context.Context, successor cardamompass.VMID) (err error) {
	defer func() { err = errors.Wrap(err, "leave the membership") }()
	agt.AnnounceLeaving()
	effects := agt.apply(LeaveRequested{
		Now:       agt.cfg.Clock.Now(),
		Successor: successor,
		Final:     true,
	})
	var (
		wgr      sync.WaitGroup
		answered atomic.Int64
		sent     int
	)
	for _, eff := range effects {
		if png, ok := eff.(Ping); ok && png.Leave {
			sent++
			wgr.Go(func() {
				if agt.ping(ctx, png) != nil {
					answered.Inc()
				}
			})
		}
	}
	wgr.Wait()
	if sent > 0 && answered.Load() == 0 {
		return errors.Errorf("none of %d members replied", sent)
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

func (agt *Agent) wakeUp() {
	select {
	case agt.wakeup <- struct{}{}:
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
			agt.startCalls(agt.apply(Tick{
				Now: now,
			}))
			continue
		}
		tmr := agt.cfg.Clock.NewTimer(due.Sub(now))
		select {
		case <-tmr.C():
		case <-agt.wakeup:
			tmr.Stop()
		case <-agt.end:
			tmr.Stop()
			return
		}
	}
}

// apply applies one event to the machine and publishes the new state.
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
		agt.wakeUp()
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

// publish stores the state for readers and notifies the subscribers. The caller holds agt.mut or is New.
func (agt *Agent) publish() {
	self := agt.mch.Self()
	view := agt.mch.Members()
	agt.self.Store(&self)
	agt.members.Store(&view)
	for sub := range agt.subs {
		select {
		case sub <- struct{}{}:
		default:
		}
	}
}
