package node

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
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
	// reportMemory is how long a report is remembered that the store has taken, to be made again if the store comes back from a copy without
	// it. Copies are some seconds old.
	reportMemory = time.Minute
)

// reporter reports crashes to the other VMs through the store.
type reporter struct {
	cfg   Config
	queue chan crashReport

	mu sync.Mutex
	// made holds the last report about each crash that the store has taken within reportMemory, past the eras of the store that are over.
	made map[cardamompass.Crash]madeReport
	past map[string]bool
}

// madeReport is a report that the store has taken.
type madeReport struct {
	crp crashReport
	era string
	at  time.Time
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
		made:  make(map[cardamompass.Crash]madeReport),
		past:  make(map[string]bool),
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

// restored queues reports again after the store has come back from a copy, which ended an era: those that it took in that era, and lost ones,
// which are crashes that other VMs have reported. It does not block.
func (rpt *reporter) restored(ended string, lost []cardamompass.Crash) {
	again := make(map[cardamompass.Crash]crashReport)
	for _, crs := range lost {
		again[crs] = crashReport{
			crs: crs,
		}
	}
	rpt.mu.Lock()
	rpt.past[ended] = true
	for crs, mrp := range rpt.made {
		if rpt.past[mrp.era] {
			again[crs] = mrp.crp
		}
	}
	rpt.mu.Unlock()
	for _, crp := range again {
		rpt.enqueue(crp)
	}
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
		era, err := rpt.try(ctx, crp)
		if err == nil && !rpt.remember(crp, era) {
			err = errors.New("the store has come back from a copy since")
		}
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

// remember records a report that the store has taken. It returns false if the era in which that was is over by now.
func (rpt *reporter) remember(crp crashReport, era string) (ok bool) {
	now := rpt.cfg.Clock.Now()
	rpt.mu.Lock()
	defer rpt.mu.Unlock()
	for crs, mrp := range rpt.made {
		if now.Sub(mrp.at) > reportMemory {
			delete(rpt.made, crs)
		}
	}
	rpt.made[crp.crs] = madeReport{
		crp: crp,
		era: era,
		at:  now,
	}
	return !rpt.past[era]
}

// try makes a report once and returns the era in which the store has taken it.
func (rpt *reporter) try(ctx context.Context, crp crashReport) (era string, err error) {
	if crp.withdraw {
		return rpt.cfg.Registry.WithdrawCrash(ctx, crp.crs)
	}
	lse, err := rpt.cfg.Registry.Grant(ctx, crashTTL)
	if err != nil {
		return "", err
	}
	return rpt.cfg.Registry.ReportCrash(ctx, crp.crs, lse)
}
