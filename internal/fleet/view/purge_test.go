package view_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"cardamompass"
	"cardamompass/internal/fleet/view"
)

// busyRegistry is a store that fails its second call and then has a change every few milliseconds.
type busyRegistry struct {
	cardamompass.Registry
	calls atomic.Int64
}

func (reg *busyRegistry) List(context.Context, time.Duration, func()) (chs []cardamompass.Change, at cardamompass.Position, err error) {
	return []cardamompass.Change{instance("i-1"), instance("i-2")}, cardamompass.Position{Revision: 1}, nil
}

func (reg *busyRegistry) Watch(context.Context, cardamompass.Position, time.Duration, func([]cardamompass.Change)) (chs []cardamompass.Change, next cardamompass.Position, err error) {
	switch num := reg.calls.Add(1); num {
	case 1:
		return nil, cardamompass.Position{}, errors.New("unavailable")
	case 2:
		return []cardamompass.Change{gone("i-1")}, cardamompass.Position{Revision: 2}, nil
	default:
		time.Sleep(10 * time.Millisecond)
		return []cardamompass.Change{instance("i-2")}, cardamompass.Position{Revision: num}, nil
	}
}

// compactedRegistry is a store that discarded its history during an outage and answers listings slowly.
type compactedRegistry struct {
	cardamompass.Registry
	lists, watches atomic.Int64
	answered       atomic.Int64 // time of the answer that the history is lost, in nanoseconds since the Unix epoch
}

const slowListing = view.ReregisterTime - 300*time.Millisecond

func (reg *compactedRegistry) List(context.Context, time.Duration, func()) (chs []cardamompass.Change, at cardamompass.Position, err error) {
	if reg.lists.Add(1) == 1 {
		return []cardamompass.Change{instance("i-1"), instance("i-2")}, cardamompass.Position{Revision: 1}, nil
	}
	time.Sleep(slowListing)
	return []cardamompass.Change{instance("i-2")}, cardamompass.Position{Revision: 2}, nil
}

func (reg *compactedRegistry) Watch(context.Context, cardamompass.Position, time.Duration, func([]cardamompass.Change)) (chs []cardamompass.Change, next cardamompass.Position, err error) {
	switch reg.watches.Add(1) {
	case 1:
		return nil, cardamompass.Position{}, errors.New("unavailable")
	case 2:
		reg.answered.Store(time.Now().UnixNano())
		return nil, cardamompass.Position{}, &cardamompass.HistoryLostError{
			Err: errors.New("discarded"),
		}
	default:
		time.Sleep(10 * time.Millisecond)
		return nil, cardamompass.Position{Revision: 2}, nil
	}
}

// Guards against counting the time for targets to register again from the end of a long listing instead of the store's first answer.
func TestReturnCountsFromTheFirstAnswer(t *testing.T) {
	reg := &compactedRegistry{}
	flw, stop := view.New(view.Config{
		Registry: reg,
		Clock:    cardamompass.SystemClock{},
		Log:      zap.NewNop(),
	})
	defer stop()
	waitFor(t, changeBound, "listing", func() bool { return len(flw.View().Instances("svc")) == 2 })
	waitFor(t, changeBound, "answer", func() bool { return reg.answered.Load() > 0 })
	left := time.Until(time.Unix(0, reg.answered.Load()).Add(view.ReregisterTime + time.Second/2))
	waitFor(t, left, "removal", func() bool { return len(flw.View().Instances("svc")) == 1 })
}

// Guards against a target that is kept as long as other changes arrive, although it did not register again after the recovery of the
// store. This broke DRAIN seven seconds later in 'slow-vms-and-partial-store' on mbmu-rain.
func TestMissingInstanceGoesDespiteOtherChanges(t *testing.T) {
	flw, stop := view.New(view.Config{
		Registry: &busyRegistry{},
		Clock:    cardamompass.SystemClock{},
		Log:      zap.NewNop(),
	})
	defer stop()
	waitFor(t, changeBound, "listing", func() bool { return len(flw.View().Instances("svc")) == 2 })
	waitFor(t, view.ReregisterTime+changeBound/2, "removal", func() bool { return len(flw.View().Instances("svc")) == 1 })
}

// TableReadTime implements cardamompass.Registry.
func (reg *busyRegistry) TableReadTime() (dur time.Duration) { return 0 }

// TableReadTime implements cardamompass.Registry.
func (reg *compactedRegistry) TableReadTime() (dur time.Duration) { return 0 }
