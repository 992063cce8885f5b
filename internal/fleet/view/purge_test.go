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

// busyRegistry is a store that was away for its second call and then has a change every few milliseconds.
type busyRegistry struct {
	cardamompass.Registry
	calls atomic.Int64
}

func (reg *busyRegistry) List(context.Context) (chs []cardamompass.Change, revision int64, err error) {
	return []cardamompass.Change{instance("i-1"), instance("i-2")}, 1, nil
}

func (reg *busyRegistry) Watch(context.Context, int64, time.Duration) (chs []cardamompass.Change, next int64, err error) {
	switch num := reg.calls.Add(1); num {
	case 1:
		return nil, 0, errors.New("away")
	case 2:
		return []cardamompass.Change{gone("i-1")}, 2, nil
	default:
		time.Sleep(10 * time.Millisecond)
		return []cardamompass.Change{instance("i-2")}, num, nil
	}
}

// Guards against a target that is kept as long as other changes arrive, although it did not register again after the store's return:
// 'slow-vms-and-partial-store' on mbmu-rain broke DRAIN seven seconds later.
func TestMissingInstanceGoesDespiteOtherChanges(t *testing.T) {
	flw, stop := view.New(view.Config{
		Registry: &busyRegistry{},
		Clock:    cardamompass.SystemClock{},
		Log:      zap.NewNop(),
	})
	defer stop()
	within(t, changeBound, "listing", func() bool { return len(flw.View().Instances("svc")) == 2 })
	within(t, view.ReturnTime+changeBound/2, "removal", func() bool { return len(flw.View().Instances("svc")) == 1 })
}
