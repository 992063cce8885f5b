package node

import (
	"context"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"
)

const (
	// acceptAfterStop is how long new requests are accepted after the begin of a planned stop; callers look up again within that time.
	acceptAfterStop = 3 * time.Second
	// leastStop is how long the VM stays at least, for callers that keep an answer to a look-up.
	leastStop = 2500 * time.Millisecond
	// stopMargin is the time before the end of the grace time at which the process ends whatever is under way.
	stopMargin = 400 * time.Millisecond
	// stopPoll is the time between two looks whether requests are under way.
	stopPoll = 50 * time.Millisecond
	// withdrawLimit bounds the call that removes the VM's entry.
	withdrawLimit = time.Second
)

// Stop carries out a planned stop: the VM is no longer named, serves what callers still send, and returns when nothing is under way.
func (nod *Node) Stop() {
	begin := nod.cfg.Clock.Now()
	nod.stopping.Store(true)
	nod.front.Drain()
	nod.caster.AnnounceStop()
	nod.cfg.Log.Info("stop begins", zap.Int("active", nod.front.Active()))
	var withdrawn sync.WaitGroup
	withdrawn.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), withdrawLimit)
		defer cancel()
		nod.presence.withdraw(ctx)
	})
	last := nod.cfg.Settings.GraceTime - stopMargin
	for {
		ela := nod.cfg.Clock.Now().Sub(begin)
		if ela >= acceptAfterStop {
			nod.front.Refuse()
		}
		if ela >= last || (ela >= leastStop && nod.front.Active() == 0) {
			break
		}
		tmr := nod.cfg.Clock.NewTimer(stopPoll)
		<-tmr.C()
	}
	nod.shutdown(max(stopMargin/2, last-nod.cfg.Clock.Now().Sub(begin)))
	withdrawn.Wait()
	nod.cfg.Log.Info("stop ends", zap.Int("active", nod.front.Active()), zap.Duration("took", nod.cfg.Clock.Now().Sub(begin)))
}

// shutdown closes the listeners and idle connections and waits for requests that crossed that.
func (nod *Node) shutdown(limit time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	var all sync.WaitGroup
	for _, srv := range nod.servers {
		all.Go(func() { nod.shutServer(ctx, srv) })
	}
	all.Wait()
}

func (nod *Node) shutServer(ctx context.Context, srv *http.Server) {
	if err := srv.Shutdown(ctx); err != nil {
		nod.cfg.Log.Warn("connections cut at the end of the grace time", zap.Error(err))
	}
}
