package node

import (
	"context"
	"time"

	"go.uber.org/zap"

	"cardamompass"
)

const (
	// crashMemory is how long a crash is known to all VMs. A caller comes again with the same content within seconds.
	crashMemory = time.Minute
	// queuedCrashes bounds the crashes that wait to be reported; further ones are left to the other VMs.
	queuedCrashes = 32
)

// reporter tells the other VMs of crashes.
type reporter struct {
	cfg     Config
	crashes chan cardamompass.Crash
}

func newReporter(cfg Config) (rpt *reporter, cleanup func()) {
	ctx, cancel := context.WithCancel(context.Background())
	rpt = &reporter{
		cfg:     cfg,
		crashes: make(chan cardamompass.Crash, queuedCrashes),
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		rpt.run(ctx)
	}()
	return rpt, func() {
		cancel()
		<-done
	}
}

// crashed queues a crash. It does not block.
func (rpt *reporter) crashed(crs cardamompass.Crash) {
	select {
	case rpt.crashes <- crs:
	default:
		rpt.cfg.Log.Warn("crash not reported", zap.String("instance", string(crs.Instance)), zap.String("reason", "too many at once"))
	}
}

func (rpt *reporter) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case crs := <-rpt.crashes:
			if err := rpt.report(ctx, crs); err != nil {
				rpt.cfg.Log.Warn("crash not reported", zap.String("instance", string(crs.Instance)), zap.Error(err))
			}
		}
	}
}

func (rpt *reporter) report(ctx context.Context, crs cardamompass.Crash) (err error) {
	lease, err := rpt.cfg.Registry.Grant(ctx, crashMemory)
	if err != nil {
		return err
	}
	return rpt.cfg.Registry.ReportCrash(ctx, crs, lease)
}
