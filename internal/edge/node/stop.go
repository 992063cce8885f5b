package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
)

const (
	// stopAcceptTime is how long new requests are accepted after a planned stop begins. Callers repeat their look-ups within that
	// time.
	stopAcceptTime = 3 * time.Second
	// minStopTime is the minimum duration of a planned stop, for callers that still use an earlier look-up response.
	minStopTime = 2500 * time.Millisecond
	// stopMargin is how long before the end of the grace time the process ends, even if requests are in progress.
	stopMargin = 400 * time.Millisecond
	// stopPollInterval is the interval at which the number of active requests is checked.
	stopPollInterval = 50 * time.Millisecond
	// withdrawTimeout bounds the call that removes the VM's entry.
	withdrawTimeout = time.Second
)

// Stop carries out a planned stop: look-ups no longer return the VM, it serves the requests that callers still send, and Stop
// returns when no request is active or the grace time ends.
func (nod *Node) Stop() {
	begin := nod.cfg.Clock.Now()
	nod.stopping.Store(true)
	nod.front.Drain()
	nod.exchanger.AnnounceStop()
	nod.cfg.Log.Info("stop begins", zap.Int("active", nod.front.Active()))
	var withdrawn sync.WaitGroup
	withdrawn.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), withdrawTimeout)
		defer cancel()
		nod.presence.withdraw(ctx)
	})
	last := nod.Settings().GraceTime - stopMargin
	for {
		ela := nod.cfg.Clock.Now().Sub(begin)
		if ela >= stopAcceptTime {
			nod.front.Refuse()
		}
		if ela >= last || (ela >= minStopTime && nod.front.Active() == 0) {
			break
		}
		tmr := nod.cfg.Clock.NewTimer(stopPollInterval)
		<-tmr.C()
	}
	nod.shutdown(max(stopMargin/2, last-nod.cfg.Clock.Now().Sub(begin)))
	withdrawn.Wait()
	nod.cfg.Log.Info("stop ends", zap.Int("active", nod.front.Active()), zap.Duration("took", nod.cfg.Clock.Now().Sub(begin)))
}

// shutdown closes the listeners and idle connections and waits for requests that arrived in the meantime.
func (nod *Node) shutdown(limit time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	var all sync.WaitGroup
	all.Go(func() {
		if err := nod.intake.Shutdown(ctx); err != nil {
			nod.cfg.Log.Warn("connections in use at the end of the grace time", zap.Error(err))
		}
		for _, srv := range nod.servers {
			all.Go(func() { nod.shutdownServer(ctx, srv) })
		}
	})
	all.Go(func() {
		if err := nod.pipe.Shutdown(ctx); err != nil {
			nod.cfg.Log.Warn("pipelined connections closed at the end of the grace time", zap.Error(err))
		}
	})
	all.Wait()
}

func (nod *Node) shutdownServer(ctx context.Context, srv *http.Server) {
	if err := srv.Shutdown(ctx); err != nil && !errors.Is(err, net.ErrClosed) { // the listener is closed already
		nod.cfg.Log.Warn("connections closed at the end of the grace time", zap.Error(err))
	}
}
