package node

import (
	"context"
	"time"

	"go.uber.org/zap"

	"cardamompass"
)

const (
	// crashTTL is how long a crash report stays in the store. A caller sends the same content again within seconds.
	crashTTL = time.Minute
	// maxQueuedCrashes bounds the queue of crashes to report. Further ones are dropped; other VMs may report them.
	maxQueuedCrashes = 32
)

// reporter reports crashes to the other VMs through the store.
type reporter struct {
	cfg     Config
	crashes chan cardamompass.Crash
}

func newReporter(cfg Config) (rpt *reporter, cleanup func()) {
	ctx, cancel := context.WithCancel(context.Background())
	rpt = &reporter{
		cfg:     cfg,
		crashes: make(chan cardamompass.Crash, maxQueuedCrashes),
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
		rpt.cfg.Log.Warn("crash not reported", zap.String("instance", string(crs.Instance)), zap.String("reason", "report queue full"))
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
	lease, err := rpt.cfg.Registry.Grant(ctx, crashTTL)
	if err != nil {
		return err
	}
	return rpt.cfg.Registry.ReportCrash(ctx, crs, lease)
}
