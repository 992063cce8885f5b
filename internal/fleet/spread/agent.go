package spread

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/atomic"
	"go.uber.org/zap"

	"cardamompass"
	"cardamompass/internal/fleet/member"
)

// Names of the RPC methods and of the payload on probes.
const (
	// ServiceName is the name under which Agent.Service is registered at the peer server.
	ServiceName = "Spread"
	methodPush  = ServiceName + ".Push"
	methodPull  = ServiceName + ".Pull"
	// payloadName is short because it is sent with every probe.
	payloadName = "s"
)

const (
	// pushTimeout and pullTimeout bound the calls between peers. A pull may carry a whole document.
	pushTimeout = 2 * time.Second
	pullTimeout = 5 * time.Second
	// readTimeout bounds a read of the store, in addition to the wait of a watch. A whole document takes long on a slow link; the client
	// gives up a read without progress earlier.
	readTimeout = 30 * time.Second
	// writeTimeout bounds a write to the store.
	writeTimeout = 5 * time.Second
)

// Membership is the interface to the membership.
type Membership interface {
	cardamompass.Membership
	// Subscribe returns a channel that receives a value after members have changed.
	Subscribe() (changes <-chan struct{}, cancel func())
}

var _ Membership = (*member.Agent)(nil)

// Config configures an Agent.
type Config[D Doc[D]] struct {
	// Core configures the state machine. Self and Start are set by New.
	Core CoreConfig[D]
	// Store holds the document.
	Store cardamompass.Store
	// Caller calls other VMs.
	Caller cardamompass.PeerCaller
	// Members is the membership.
	Members Membership
	// Clock is the time source. Optional.
	Clock cardamompass.Clock
	// Logger logs failures and changes. Optional.
	Logger *zap.Logger
}

// Agent runs the dissemination of one document on one VM. It is safe for concurrent use.
type Agent[D Doc[D]] struct {
	cfg Config[D]

	mut       sync.Mutex
	cor       *Core[D]
	subs      map[chan struct{}]struct{}
	stopWatch context.CancelFunc
	started   bool
	closed    bool

	current atomic.Pointer[D]
	summary atomic.Pointer[Summary]
	wakeup  chan struct{}
	end     chan struct{}
	callCtx func(timeout time.Duration) (ctx context.Context, cancel context.CancelFunc)
	cancel  context.CancelFunc
	wgr     sync.WaitGroup
}

// New returns an agent that replies to other VMs but calls neither the store nor other VMs on its own before Start. Attach
// the result of PayloadHandler to the membership. The stop function cancels running calls and waits for them.
// Errors: InvalidError.
func New[D Doc[D]](cfg Config[D]) (agt *Agent[D], stop func(), err error) {
	if cfg.Store == nil || cfg.Caller == nil || cfg.Members == nil || cfg.Core.Key == "" ||
		cfg.Core.Codec.Encode == nil || cfg.Core.Codec.Decode == nil {
		return nil, nil, &cardamompass.InvalidError{
			Field:  "dissemination",
			Reason: "needs a store, a peer caller, a membership, a key and a codec",
		}
	}
	if cfg.Clock == nil {
		cfg.Clock = cardamompass.SystemClock{}
	}
	if cfg.Logger == nil {
		cfg.Logger = zap.NewNop()
	}
	cfg.Core.Self = cfg.Members.Self().VM.ID
	cfg.Core.Start = cfg.Clock.Now()
	ctx, cancel := context.WithCancel(context.Background())
	agt = &Agent[D]{
		cfg:       cfg,
		cor:       NewCore(cfg.Core),
		subs:      map[chan struct{}]struct{}{},
		stopWatch: func() {},
		wakeup:    make(chan struct{}, 1),
		end:       make(chan struct{}),
		cancel:    cancel,
	}
	agt.callCtx = func(timeout time.Duration) (context.Context, context.CancelFunc) {
		return context.WithTimeout(ctx, timeout)
	}
	agt.summary.Store(&Summary{})
	agt.peersChanged()
	return agt, agt.stop, nil
}

// Current returns the active document; ok is false while there is none. It never blocks.
func (agt *Agent[D]) Current() (doc D, ok bool) {
	ptr := agt.current.Load()
	if ptr == nil {
		return doc, false
	}
	return *ptr, true
}

// Subscribe returns a channel that receives a value after the active document has changed; several changes may be
// combined into one value. Cancel ends the subscription.
func (agt *Agent[D]) Subscribe() (changes <-chan struct{}, cancel func()) {
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

// Offer merges a whole document that this VM obtained outside this package, such as the result of an accepted edit.
func (agt *Agent[D]) Offer(doc D) {
	agt.handle(Offered[D]{
		Now: agt.cfg.Clock.Now(),
		Doc: doc,
	})
}

// PayloadHandler returns the handler that exchanges summaries on the membership's probes.
func (agt *Agent[D]) PayloadHandler() member.PayloadHandler {
	return member.PayloadHandler{
		Name:    payloadName,
		Produce: func() []byte { return agt.summary.Load().Bytes() },
		Consume: func(from cardamompass.Member, data []byte) {
			sum, ok := ParseSummary(data)
			if !ok || sum == *agt.summary.Load() {
				return
			}
			agt.handle(SummaryReceived{
				Now:     agt.cfg.Clock.Now(),
				From:    from.VM.ID,
				Summary: sum,
			})
		},
	}
}

// Start starts calling the store and following the membership. Call it once.
func (agt *Agent[D]) Start() {
	agt.mut.Lock()
	defer agt.mut.Unlock()
	if agt.closed || agt.started {
		return
	}
	agt.started = true
	agt.wgr.Go(agt.run)
}

func (agt *Agent[D]) stop() {
	agt.mut.Lock()
	if !agt.closed {
		agt.closed = true
		close(agt.end)
	}
	agt.mut.Unlock()
	agt.cancel()
	agt.wgr.Wait()
}

func (agt *Agent[D]) run() {
	changes, cancel := agt.cfg.Members.Subscribe()
	defer cancel()
	agt.peersChanged()
	for {
		var fired <-chan time.Time
		stopTimer := func() bool { return true }
		if due := agt.next(); !due.IsZero() {
			tmr := agt.cfg.Clock.NewTimer(max(0, due.Sub(agt.cfg.Clock.Now())))
			fired, stopTimer = tmr.C(), tmr.Stop
		}
		select {
		case <-fired:
			agt.handle(Tick{
				Now: agt.cfg.Clock.Now(),
			})
		case <-changes:
			agt.peersChanged()
		case <-agt.wakeup:
		case <-agt.end:
			stopTimer()
			return
		}
		stopTimer()
	}
}

func (agt *Agent[D]) next() time.Time {
	agt.mut.Lock()
	defer agt.mut.Unlock()
	return agt.cor.Next()
}

func (agt *Agent[D]) peersChanged() {
	evt := PeersChanged{
		Now: agt.cfg.Clock.Now(),
	}
	self := agt.cfg.Members.Self()
	evt.Leaving = self.State == cardamompass.StateLeaving || self.State == cardamompass.StateLeft
	for _, mbr := range agt.cfg.Members.Members() {
		if mbr.VM.ID != self.VM.ID && mbr.Serving() && mbr.State != cardamompass.StateLeaving {
			evt.Serving = append(evt.Serving, mbr.VM.ID)
		}
	}
	agt.handle(evt)
}

// handle applies one event to the core, executes the effects and returns them.
func (agt *Agent[D]) handle(evt Event) (effects []Effect) {
	agt.mut.Lock()
	defer agt.mut.Unlock()
	effects = agt.cor.Apply(evt)
	for _, eff := range effects {
		agt.execute(eff)
	}
	select {
	case agt.wakeup <- struct{}{}:
	default:
	}
	return effects
}

// execute performs one effect. The caller holds agt.mut.
func (agt *Agent[D]) execute(eff Effect) {
	switch eff := eff.(type) {
	case Changed:
		agt.publish()
	case Push:
		agt.spawn(func() { agt.push(eff, agt.address(eff.To)) })
	case Pull:
		agt.spawn(func() { agt.pull(eff, agt.address(eff.To)) })
	case Watch:
		ctx, cancel := agt.callCtx(eff.Wait + readTimeout)
		agt.stopWatch = cancel
		agt.spawn(func() {
			defer cancel()
			val, err := agt.cfg.Store.Watch(ctx, agt.cfg.Core.Key, eff.After, eff.Wait)
			agt.readDone(eff.Call, val, err)
		})
	case StopWatch:
		agt.stopWatch()
	case Get:
		agt.spawn(func() {
			ctx, cancel := agt.callCtx(readTimeout)
			defer cancel()
			val, err := agt.cfg.Store.Get(ctx, agt.cfg.Core.Key)
			agt.readDone(eff.Call, val, err)
		})
	case Put:
		agt.spawn(func() { agt.put(eff) })
	case Rejected:
		agt.cfg.Logger.Warn("document-rejected", zap.String("source", eff.Source), zap.Error(eff.Err))
	}
}

func (agt *Agent[D]) spawn(fun func()) {
	if !agt.closed {
		agt.wgr.Go(fun)
	}
}

func (agt *Agent[D]) publish() {
	doc, _ := agt.cor.Current()
	sum := agt.cor.Summary()
	agt.current.Store(&doc)
	agt.summary.Store(&sum)
	agt.cfg.Logger.Info("document-in-force", zap.Int64("version", sum.Version), zap.Uint64("digest", sum.Digest))
	for sub := range agt.subs {
		select {
		case sub <- struct{}{}:
		default:
		}
	}
}

// address returns the peer address of a member, empty when it is not known.
func (agt *Agent[D]) address(vid cardamompass.VMID) string {
	for _, mbr := range agt.cfg.Members.Members() {
		if mbr.VM.ID == vid {
			return mbr.VM.PeerAddress
		}
	}
	return ""
}

func (agt *Agent[D]) readDone(call uint64, val cardamompass.Value, err error) {
	var missing *cardamompass.NotFoundError
	evt := ReadDone{
		Now:     agt.cfg.Clock.Now(),
		Call:    call,
		Value:   val,
		Missing: errors.As(err, &missing),
	}
	evt.Failed = err != nil && !evt.Missing
	if evt.Failed && !errors.Is(err, context.Canceled) {
		agt.cfg.Logger.Warn("store-read-failed", zap.String("key", agt.cfg.Core.Key), zap.Error(err))
	}
	agt.handle(evt)
}

func (agt *Agent[D]) put(eff Put) {
	ctx, cancel := agt.callCtx(writeTimeout)
	defer cancel()
	val, err := agt.cfg.Store.Put(ctx, agt.cfg.Core.Key, eff.Data, eff.Revision)
	if err != nil {
		val.Revision = 0
		agt.cfg.Logger.Warn("document-not-written-back", zap.Int64("revision", eff.Revision), zap.Error(err))
	} else {
		agt.cfg.Logger.Info("document-written-back", zap.Int64("revision", val.Revision))
	}
	agt.handle(WriteDone{
		Now:      agt.cfg.Clock.Now(),
		Digest:   eff.Digest,
		Revision: val.Revision,
	})
}
