package view

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"cardamompass"
)

const (
	// watchPerVM is how long the store holds a watch without changes for each running VM, between watchMin and watchMax: each watch costs
	// money, and the store's rates grow more slowly than the fleet. A connection that went silent is detected by TCP keep-alive within 3 s,
	// and a store that does not answer by the renewals of the VM's lease, one of which is made with each long watch; see Check. Nothing but its
	// end shows a watch that a store which answers holds without telling changes. A store that is about to discard its history may do so, and a
	// VM must know of all changes 4 s later.
	watchPerVM = 100 * time.Millisecond
	watchMin   = 1500 * time.Millisecond
	watchMax   = 2500 * time.Millisecond
	// batchPerVM is the pause after changes for each running VM, between batchMin and batchMax, so that changes in quick succession
	// are fetched with one call. Calls cost money, each change costs one call of every VM, and changes have at least two seconds
	// to take effect.
	batchPerVM = 30 * time.Millisecond
	batchMin   = 400 * time.Millisecond
	batchMax   = time.Second
	// batchSlowTable is the pause while the routing table takes long to read. Together with two reads, one of the version before, the
	// usual pause would use up the time that a change has.
	batchSlowTable = 100 * time.Millisecond
	// fullResponse is the number of changes from which on a response to a watch is taken for one that was cut, so that more changes
	// wait. The store returns at most 500 at a time.
	fullResponse = 400
	// retryMin and retryMax bound the pause after a failed call. Refused calls cost as much as others.
	retryMin = 100 * time.Millisecond
	retryMax = 500 * time.Millisecond
	// listPatience bounds the time within which a listing must begin. It is that of a store which all VMs ask at once for everything; the
	// registry repeats a listing that is not answered much sooner.
	listPatience = 10 * time.Second
	// outageWatchWait is how long the store holds a watch during an outage. A call that the store never answers must not delay
	// the detection of its recovery for long.
	outageWatchWait = 20 * time.Millisecond
	// purgeInterval is the time between two checks for instances that did not register again.
	purgeInterval = 200 * time.Millisecond
)

// Config configures a Follower.
type Config struct {
	Registry cardamompass.Registry
	Clock    cardamompass.Clock
	Log      *zap.Logger
	// OnChange is called after each new view, from one goroutine at a time. Optional.
	OnChange func(old, next *View)
	// OnLongWatch is called when a long watch begins, from one goroutine at a time, and must not block. A store that is silent at that
	// moment never answers the watch, and only another call that is made with it shows this; see Check. Optional.
	OnLongWatch func()
}

// Follower keeps a View up to date with the store.
type Follower struct {
	cfg          Config
	current      atomic.Pointer[View]
	lastResponse atomic.Int64 // time of the last response of the store, in nanoseconds since the Unix epoch
	outage       Outage
	listed       bool
	retryPause   time.Duration
	// early passes on changes that arrive before the call that reads them has ended, peer those that other VMs have reported.
	early chan []cardamompass.Change
	peer  chan []cardamompass.Change
	// unanswered reports that the store does not begin to answer a listing.
	unanswered chan struct{}
	// giveUp ends the current watch, checking makes the next call one that the store answers at once.
	giveUp   atomic.Pointer[context.CancelCauseFunc]
	checking bool
	// outageSince is the time of the first failure of the present outage, in nanoseconds since the Unix epoch; 0 if there is none.
	outageSince atomic.Int64
}

// New starts to follow the store and returns the function that stops it.
func New(cfg Config) (flw *Follower, cleanup func()) {
	if cfg.OnChange == nil {
		cfg.OnChange = func(*View, *View) {}
	}
	if cfg.OnLongWatch == nil {
		cfg.OnLongWatch = func() {}
	}
	flw = &Follower{
		cfg:        cfg,
		retryPause: retryMin,
		early:      make(chan []cardamompass.Change),
		peer:       make(chan []cardamompass.Change),
		unanswered: make(chan struct{}),
	}
	flw.current.Store(Empty())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		flw.run(ctx)
	}()
	return flw, func() {
		cancel()
		<-done
	}
}

// View returns the current view.
func (flw *Follower) View() (vew *View) { return flw.current.Load() }

// StoreAge returns the time since the last response of the store; negative if there was none.
func (flw *Follower) StoreAge() (age time.Duration) {
	if flw.lastResponse.Load() == 0 {
		return -1
	}
	return flw.cfg.Clock.Now().Sub(time.Unix(0, flw.lastResponse.Load()))
}

// OutageAge returns how long the store has not answered; 0 if it answers.
func (flw *Follower) OutageAge() (age time.Duration) {
	since := flw.outageSince.Load()
	if since == 0 {
		return 0
	}
	return flw.cfg.Clock.Now().Sub(time.Unix(0, since))
}

// ApplyPeerChanges applies routing tables that another VM has reported. The view stays at its revision, and a table that is not newer
// changes nothing. It returns without effect when ctx ends before.
func (flw *Follower) ApplyPeerChanges(ctx context.Context, chs []cardamompass.Change) {
	select {
	case flw.peer <- chs:
	case <-ctx.Done():
	}
}

// errChecked is the cause of the end of a watch that Check has given up.
var errChecked = errors.New("the store is checked")

// errUnanswered is the reason of an outage that a listing has detected.
var errUnanswered = errors.New("the store does not begin to answer a listing")

// Check gives up the current watch for a call that the store answers at once. It is called when another call of the store has failed, so
// that an outage is noticed before the end of a long watch.
func (flw *Follower) Check() {
	if cancel := flw.giveUp.Load(); cancel != nil {
		(*cancel)(errChecked)
	}
}

type fetchResult struct {
	chs     []cardamompass.Change
	at      cardamompass.Position
	listing bool
	err     error
}

func (flw *Follower) run(ctx context.Context) {
	for ctx.Err() == nil {
		got := make(chan fetchResult, 1)
		go func() { got <- flw.fetch(ctx) }()
		flw.handle(ctx, flw.await(got))
		flw.purge()
	}
}

// await waits for the result of a call and meanwhile applies changes that arrive early and removes instances that did not register again.
func (flw *Follower) await(got <-chan fetchResult) (fre fetchResult) {
	for {
		tmr := flw.cfg.Clock.NewTimer(purgeInterval)
		select {
		case fre = <-got:
			tmr.Stop()
			return fre
		case chs := <-flw.early:
			tmr.Stop()
			flw.lastResponse.Store(flw.cfg.Clock.Now().UnixNano())
			flw.applyEarly(chs)
		case chs := <-flw.peer:
			tmr.Stop()
			flw.applyEarly(chs)
		case <-flw.unanswered:
			tmr.Stop()
			flw.beginOutage(errUnanswered)
		case <-tmr.C():
			flw.purge()
		}
	}
}

// applyEarly applies changes before the call that reads them has ended. The view stays at its revision, from which a call that fails is
// repeated.
func (flw *Follower) applyEarly(chs []cardamompass.Change) {
	flw.logChanges(chs)
	flw.publish(flw.View().WithChanges(chs, flw.View().Revision, flw.outage, flw.cfg.Clock.Now()))
}

func (flw *Follower) purge() {
	if flw.outage.Ongoing {
		return
	}
	vew := flw.View()
	next, gone := vew.WithoutMissing(flw.cfg.Clock.Now())
	for _, id := range gone {
		flw.cfg.Log.Info("target gone", zap.String("instance", string(id)), zap.String("reason", "did not register again"))
	}
	if next = next.WithoutDoubts(flw.cfg.Clock.Now()); next != vew {
		flw.publish(next)
	}
}

func (flw *Follower) fetch(ctx context.Context) (fre fetchResult) {
	if !flw.listed {
		fre.listing = true
		fre.chs, fre.at, fre.err = flw.cfg.Registry.List(ctx, listPatience, func() {
			select {
			case flw.unanswered <- struct{}{}:
			case <-ctx.Done():
			}
		})
		return fre
	}
	wait := min(watchMax, max(watchMin, watchPerVM*time.Duration(len(flw.View().vms))))
	if flw.outage.Ongoing || flw.checking {
		wait = outageWatchWait
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if wait > watchMin {
		flw.giveUp.Store(&cancel)
		defer flw.giveUp.Store(nil)
		flw.cfg.OnLongWatch()
	}
	fre.chs, fre.at, fre.err = flw.cfg.Registry.Watch(ctx, flw.View().Position(), wait, func(chs []cardamompass.Change) {
		if len(chs) == 0 {
			return
		}
		select {
		case flw.early <- chs:
		case <-ctx.Done():
		}
	})
	if fre.err != nil && errors.Is(context.Cause(ctx), errChecked) {
		fre.err = errChecked
	}
	return fre
}

func (flw *Follower) handle(ctx context.Context, fre fetchResult) {
	flw.checking = errors.Is(fre.err, errChecked)
	if flw.checking {
		return
	}
	var lost *cardamompass.HistoryLostError
	if errors.As(fre.err, &lost) {
		flw.recordResponse(flw.View().Revision)
		flw.cfg.Log.Warn("store history lost", zap.Int64("after", lost.After.Revision), zap.String("era", lost.After.Era), zap.NamedError("reason", lost.Err))
		flw.listed = false
		return
	}
	if fre.err != nil {
		flw.recordFailure(ctx, fre.err)
		return
	}
	now := flw.recordResponse(fre.at.Revision)
	if !fre.listing && len(fre.chs) == 0 && fre.at.Revision == flw.View().Revision {
		return
	}
	flw.logChanges(fre.chs)
	if fre.listing {
		flw.listed = true
		flw.publish(flw.viewAfterListing(fre, now))
		return
	}
	flw.publish(flw.View().WithChanges(fre.chs, fre.at.Revision, flw.outage, now))
	if len(fre.chs) >= fullResponse {
		return
	}
	pause := min(batchMax, max(batchMin, batchPerVM*time.Duration(len(flw.View().vms))))
	if flw.cfg.Registry.TableReadTime() > 0 {
		pause = batchSlowTable
	}
	_ = cardamompass.Sleep(ctx, flw.cfg.Clock, pause) // run notices the end of ctx
}

// viewAfterListing returns the view after a listing.
func (flw *Follower) viewAfterListing(fre fetchResult, now time.Time) (next *View) {
	vew := flw.View()
	otherEra := vew.Revision > 0 && fre.at.Era != vew.Era
	if otherEra {
		flw.cfg.Log.Warn("store restored from a copy", zap.String("era", fre.at.Era), zap.Int64("revision", fre.at.Revision),
			zap.String("era-before", vew.Era), zap.Int64("revision-before", vew.Revision))
	}
	if otherEra || vew.InDoubt() {
		return vew.WithRestored(fre.chs, fre.at, flw.outage, now)
	}
	return vew.WithListing(fre.chs, fre.at, flw.outage, now)
}

// recordResponse records that the store answered, which ends an outage, and returns the current time.
func (flw *Follower) recordResponse(revision int64) (now time.Time) {
	now = flw.cfg.Clock.Now()
	flw.lastResponse.Store(now.UnixNano())
	flw.retryPause = retryMin
	flw.outageSince.Store(0)
	if flw.outage.Ongoing {
		flw.outage = Outage{
			Ended: now,
		}
		flw.cfg.Log.Info("store regained", zap.Int64("revision", revision))
	}
	return now
}

func (flw *Follower) recordFailure(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	flw.beginOutage(err)
	_ = cardamompass.Sleep(ctx, flw.cfg.Clock, flw.retryPause) // run notices the end of ctx
	flw.retryPause = min(2*flw.retryPause, retryMax)
}

// beginOutage records that the store does not answer.
func (flw *Follower) beginOutage(err error) {
	if flw.outage.Ongoing {
		flw.cfg.Log.Info("store still lost", zap.Error(err), zap.Duration("age", flw.StoreAge()))
		return
	}
	flw.cfg.Log.Warn("store lost", zap.Error(err), zap.Duration("age", flw.StoreAge()))
	flw.outageSince.Store(flw.cfg.Clock.Now().UnixNano())
	flw.outage.Ongoing = true
}

func (flw *Follower) publish(next *View) {
	old := flw.View()
	flw.current.Store(next)
	if next.Table != old.Table {
		flw.cfg.Log.Info("routing table in force", zap.Uint64("version", next.Table.Version),
			zap.Int("routes", len(next.Table.Routes)), zap.Int("teams", len(next.Table.Teams)), zap.Int64("revision", next.Revision))
	}
	flw.cfg.OnChange(old, next)
}

// logChanges logs changes of the store.
func (flw *Follower) logChanges(chs []cardamompass.Change) {
	for _, chg := range chs {
		log := flw.cfg.Log.With(zap.Int64("revision", chg.Revision))
		switch {
		case chg.Rejected != nil:
			log.Warn("entry rejected", zap.String("key", chg.Rejected.Key), zap.Error(chg.Rejected.Err))
		case chg.Instance != nil:
			log.Info("target registered", zap.String("instance", string(chg.Instance.ID)),
				zap.String("service", string(chg.Instance.Service)), zap.String("address", chg.Instance.Address),
				zap.Bool("leaving", chg.Instance.Leaving), zap.Duration("cold", chg.Instance.ColdFor))
		case chg.InstanceRemoved != "":
			log.Info("target entry removed", zap.String("instance", string(chg.InstanceRemoved)))
		case chg.Evacuated != "":
			log.Info("failure domain evacuated", zap.String("failure-domain", string(chg.Evacuated)))
		case chg.Restored != "":
			log.Info("failure domain restored", zap.String("failure-domain", string(chg.Restored)))
		case chg.VM != nil:
			log.Info("vm running", zap.String("vm", string(chg.VM.ID)), zap.String("address", chg.VM.CallerAddress))
		case chg.VMRemoved != "":
			log.Info("vm gone", zap.String("vm", string(chg.VMRemoved)))
		case chg.Crash != nil:
			log.Warn("crash known", zap.String("fingerprint", chg.Crash.Fingerprint), zap.String("instance", string(chg.Crash.Instance)),
				zap.Int64("start", chg.Crash.StartMillis))
		}
	}
}
