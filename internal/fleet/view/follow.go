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
	// watchWait is how long the store holds a watch without changes. A connection that went silent is noticed only when the wait is
	// over, and changes must be in force about two seconds after their acknowledgement.
	watchWait = 1500 * time.Millisecond
	// batchWait is the pause after changes for each running VM, between batchLeast and batchMost, so that changes in quick succession take
	// one call. Calls are priced, each change costs every VM one, and changes have two seconds and more to come into force.
	batchWait  = 30 * time.Millisecond
	batchLeast = 400 * time.Millisecond
	batchMost  = time.Second
	// retryFirst and retryMost bound the pause after a failed call. Refused calls are priced like others.
	retryFirst = 100 * time.Millisecond
	retryMost  = 500 * time.Millisecond
	// listFirst and listMost bound a listing. It has the longer time when the store has just answered, and twice as long after each failure
	// where it has not.
	listFirst = 1500 * time.Millisecond
	listMost  = 10 * time.Second
	// outageWait is how long the store holds a watch while it is not known to answer. A call that the store never answers must not hide its
	// return for long.
	outageWait = 20 * time.Millisecond
	// purgeInterval is the time between two looks for instances that did not register again.
	purgeInterval = 200 * time.Millisecond
)

// Config configures a Follower.
type Config struct {
	Registry cardamompass.Registry
	Clock    cardamompass.Clock
	Log      *zap.Logger
	// OnChange is called after each new view, from one goroutine at a time. Optional.
	OnChange func(old, next *View)
}

// Follower keeps a View up to date.
type Follower struct {
	cfg     Config
	current atomic.Pointer[View]
	contact atomic.Int64 // time of the last answer of the store, in nanoseconds since the Unix epoch
	out     Outage
	listed  bool
	list    time.Duration // limit of the next listing
	pause   time.Duration
}

// New starts to follow the store and returns the function that ends it.
func New(cfg Config) (flw *Follower, cleanup func()) {
	if cfg.OnChange == nil {
		cfg.OnChange = func(*View, *View) {}
	}
	flw = &Follower{
		cfg:   cfg,
		list:  listFirst,
		pause: retryFirst,
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

// Age returns the time since the store's last answer; negative when there was none.
func (flw *Follower) Age() (age time.Duration) {
	if flw.contact.Load() == 0 {
		return -1
	}
	return flw.cfg.Clock.Now().Sub(time.Unix(0, flw.contact.Load()))
}

type fetched struct {
	chs      []cardamompass.Change
	revision int64
	listing  bool
	err      error
}

func (flw *Follower) run(ctx context.Context) {
	for ctx.Err() == nil {
		got := make(chan fetched, 1)
		go func() { got <- flw.fetch(ctx) }()
		flw.settle(ctx, flw.await(got))
		flw.purge()
	}
}

// await waits for a call and meanwhile drops instances that did not register again.
func (flw *Follower) await(got <-chan fetched) (ftc fetched) {
	for {
		tmr := flw.cfg.Clock.NewTimer(purgeInterval)
		select {
		case ftc = <-got:
			tmr.Stop()
			return ftc
		case <-tmr.C():
			flw.purge()
		}
	}
}

func (flw *Follower) purge() {
	if flw.out.Ongoing {
		return
	}
	next, gone := flw.View().WithoutMissing(flw.cfg.Clock.Now())
	for _, id := range gone {
		flw.cfg.Log.Info("target gone", zap.String("instance", string(id)), zap.String("reason", "did not register again"))
	}
	if len(gone) > 0 {
		flw.publish(next)
	}
}

func (flw *Follower) fetch(ctx context.Context) (ftc fetched) {
	if !flw.listed {
		lctx, cancel := context.WithTimeout(ctx, flw.list)
		defer cancel()
		flw.list = min(listMost, 2*flw.list)
		ftc.listing = true
		ftc.chs, ftc.revision, ftc.err = flw.cfg.Registry.List(lctx)
		return ftc
	}
	wait := watchWait
	if flw.out.Ongoing {
		wait = outageWait
	}
	ftc.chs, ftc.revision, ftc.err = flw.cfg.Registry.Watch(ctx, flw.View().Revision, wait)
	return ftc
}

func (flw *Follower) settle(ctx context.Context, ftc fetched) {
	var lost *cardamompass.HistoryLostError
	if errors.As(ftc.err, &lost) {
		flw.answered(flw.View().Revision)
		flw.cfg.Log.Warn("store history lost", zap.Int64("after", lost.After))
		flw.listed = false
		flw.list = listMost
		return
	}
	if ftc.err != nil {
		flw.failed(ctx, ftc.err)
		return
	}
	now := flw.answered(ftc.revision)
	if !ftc.listing && len(ftc.chs) == 0 && ftc.revision == flw.View().Revision {
		return
	}
	flw.note(ftc.chs)
	if ftc.listing {
		flw.listed = true
		flw.publish(flw.View().WithListing(ftc.chs, ftc.revision, flw.out, now))
		return
	}
	flw.publish(flw.View().WithChanges(ftc.chs, ftc.revision, flw.out, now))
	pause := min(batchMost, max(batchLeast, batchWait*time.Duration(len(flw.View().vms))))
	_ = cardamompass.Sleep(ctx, flw.cfg.Clock, pause) // run notices the end of ctx
}

// answered notes that the store answered, which ends an outage, and returns the time.
func (flw *Follower) answered(revision int64) (now time.Time) {
	now = flw.cfg.Clock.Now()
	flw.contact.Store(now.UnixNano())
	flw.pause = retryFirst
	if flw.out.Ongoing {
		flw.out = Outage{
			Ended: now,
		}
		flw.cfg.Log.Info("store regained", zap.Int64("revision", revision))
	}
	return now
}

func (flw *Follower) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if flw.out.Ongoing {
		flw.cfg.Log.Info("store still lost", zap.Error(err), zap.Duration("age", flw.Age()))
	} else {
		flw.cfg.Log.Warn("store lost", zap.Error(err), zap.Duration("age", flw.Age()))
	}
	flw.out.Ongoing = true
	_ = cardamompass.Sleep(ctx, flw.cfg.Clock, flw.pause) // run notices the end of ctx
	flw.pause = min(2*flw.pause, retryMost)
}

func (flw *Follower) publish(next *View) {
	old := flw.View()
	flw.current.Store(next)
	if next.Table != old.Table {
		flw.cfg.Log.Info("routing table in force", zap.Uint64("version", next.Table.Version),
			zap.Int("routes", len(next.Table.Routes)), zap.Int64("revision", next.Revision))
	}
	flw.cfg.OnChange(old, next)
}

// note logs what changes.
func (flw *Follower) note(chs []cardamompass.Change) {
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
			log.Warn("crash known", zap.String("fingerprint", chg.Crash.Fingerprint), zap.String("instance", string(chg.Crash.Instance)))
		}
	}
}
