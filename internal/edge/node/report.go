package node

import (
	"context"
	"time"

	"go.uber.org/zap"

	"cardamompass"
)

const (
	// crashTTL is how long a crash report stays in the store: the longest time of a lease, since callers may send the same content for as
	// long as they like.
	crashTTL = 10 * time.Minute
	// maxQueuedReports bounds the queue of reports. Further ones are dropped; other VMs may report the same crash.
	maxQueuedReports = 64
	// reportRetryDelay is the pause after a call that has failed, reportRetryTime the time after which a report is given up.
	reportRetryDelay = 500 * time.Millisecond
	reportRetryTime  = time.Minute
)

// reporter reports crashes to the other VMs through the store.
type reporter struct {
	cfg   Config
	queue chan crashReport
}

// crashReport is a crash to report, or to withdraw.
type crashReport struct {
	crs      cardamompass.Crash
	withdraw bool
}

func newReporter(cfg Config) (rpt *reporter, cleanup func()) {
	ctx, cancel := context.WithCancel(context.Background())
	rpt = &reporter{
		cfg:   cfg,
		queue: make(chan crashReport, maxQueuedReports),
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
	rpt.enqueue(crashReport{
		crs: crs,
	})
}

// withdrawn queues the withdrawal of a reported crash. It does not block.
func (rpt *reporter) withdrawn(crs cardamompass.Crash) {
	rpt.enqueue(crashReport{
		crs:      crs,
		withdraw: true,
	})
}

func (rpt *reporter) enqueue(crp crashReport) {
	select {
	case rpt.queue <- crp:
	default:
		rpt.logLost(crp, zap.String("reason", "report queue full"))
	}
}

func (rpt *reporter) logLost(crp crashReport, reason zap.Field) {
	rpt.cfg.Log.Warn("crash not reported", zap.String("instance", string(crp.crs.Instance)), zap.Bool("withdrawal", crp.withdraw), reason)
}

func (rpt *reporter) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case crp := <-rpt.queue:
			rpt.report(ctx, crp)
		}
	}
}

// report makes a report, again and again while the store does not take it.
func (rpt *reporter) report(ctx context.Context, crp crashReport) {
	for end := rpt.cfg.Clock.Now().Add(reportRetryTime); ; {
		err := rpt.try(ctx, crp)
		if err == nil || ctx.Err() != nil {
			return
		}
		if rpt.cfg.Clock.Now().After(end) {
			rpt.logLost(crp, zap.Error(err))
			return
		}
		rpt.cfg.Log.Info("crash not reported yet", zap.String("instance", string(crp.crs.Instance)), zap.Error(err))
		_ = cardamompass.Sleep(ctx, rpt.cfg.Clock, reportRetryDelay) // the next call notices the end of ctx
	}
}

func (rpt *reporter) try(ctx context.Context, crp crashReport) (err error) {
	if crp.withdraw {
		return rpt.cfg.Registry.WithdrawCrash(ctx, crp.crs)
	}
	lease, err := rpt.cfg.Registry.Grant(ctx, crashTTL)
	if err != nil {
		return err
	}
	return rpt.cfg.Registry.ReportCrash(ctx, crp.crs, lease)
}
