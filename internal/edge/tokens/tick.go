package tokens

import (
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"cardamompass"
	"cardamompass/internal/edge/direct"
	"cardamompass/internal/steer/quota"
)

// metrics are the counters of a Bank. They are not split by team, so that their number does not grow with the teams.
type metrics struct {
	taken, refused, returned tally.Counter
	// given and received count whole tokens.
	given, received tally.Counter
	share, refusing tally.Gauge
	last            quota.Counts
}

func newMetrics(scp tally.Scope) (met metrics) {
	return metrics{
		taken:    scp.Counter("quota-taken"),
		refused:  scp.Counter("quota-refused"),
		returned: scp.Counter("quota-returned"),
		given:    scp.Counter("quota-given"),
		received: scp.Counter("quota-received"),
		share:    scp.Gauge("quota-share"),
		refusing: scp.Gauge("quota-refusing-teams"),
	}
}

// update adds the difference to the last counts.
func (met *metrics) update(cnt quota.Counts) {
	met.taken.Inc(cnt.Taken - met.last.Taken)
	met.refused.Inc(cnt.Refused - met.last.Refused)
	met.returned.Inc(cnt.Returned - met.last.Returned)
	met.given.Inc(int64(cnt.Given) - int64(met.last.Given))
	met.received.Inc(int64(cnt.Received) - int64(met.last.Received))
	met.last = cnt
}

// Tick does the periodic work. It is called every TickInterval, from one goroutine at a time.
func (bnk *Bank) Tick() {
	bnk.mu.Lock()
	limited := bnk.ledger.Limited()
	bnk.ticks++
	ticks := bnk.ticks
	bnk.mu.Unlock()
	if ticks%idleObserveTicks == 1 || (limited && ticks%observeTicks == 1) {
		bnk.observe()
	}
	if !limited && bnk.refusing == 0 {
		return
	}
	bnk.sendAsks()
	bnk.report(ticks%metricTicks == 0)
}

// observe updates the VM's share.
func (bnk *Bank) observe() {
	vms := append(bnk.cfg.OtherVMs(), bnk.cfg.Self)
	known := make(map[cardamompass.FailureDomain]bool)
	for _, vmc := range vms {
		known[vmc.FailureDomain] = true
	}
	age := bnk.cfg.StoreAge()
	obs := quota.Observation{
		Weights: direct.Weights(vms),
		Domains: len(known),
		Fresh:   age >= 0 && (age < freshStoreAge || bnk.cfg.StoreOutage() == 0), // a watch without changes lasts longer
	}
	for dom := range bnk.cfg.Regions {
		if !known[dom] {
			obs.EmptyDomains++
		}
	}
	now := bnk.cfg.Clock.Now()
	bnk.mu.Lock()
	defer bnk.mu.Unlock()
	obs.Returned = bnk.returned
	bnk.ledger.SetShare(bnk.fleet.Observe(obs, now), now)
}

// sendAsks asks other VMs for the tokens that are missing.
func (bnk *Bank) sendAsks() {
	exc := bnk.exchange.Load()
	if exc == nil {
		return
	}
	now := bnk.cfg.Clock.Now()
	bnk.mu.Lock()
	all := bnk.ledger.Asks(now)
	var recipients []cardamompass.VMID
	if len(all.Asks) > 0 {
		recipients = bnk.fleet.Recipients(bnk.rnd)
	}
	bnk.mu.Unlock()
	for num, vid := range recipients {
		asks := all.For(num)
		if len(asks.Asks) == 0 {
			return
		}
		(*exc).SendAsks(vid, asks) // asks that were not sent are repeated
	}
}

// HandleAsks answers asks of another VM.
func (bnk *Bank) HandleAsks(from cardamompass.VMID, asks quota.Asks) {
	exc := bnk.exchange.Load()
	if exc == nil || !(*exc).MaySendGifts(from, len(asks.Asks)) {
		return
	}
	now := bnk.cfg.Clock.Now()
	bnk.mu.Lock()
	gfs := quota.Gifts{
		Round: asks.Round,
	}
	for _, ask := range asks.Asks {
		if gft, ok := bnk.ledger.Give(ask, now); ok {
			gfs.Gifts = append(gfs.Gifts, gft)
		}
	}
	bnk.gifts++
	gfs.Number = bnk.gifts
	bnk.mu.Unlock()
	if len(gfs.Gifts) > 0 {
		(*exc).SendGifts(from, gfs) // tokens that were not sent are lost
	}
}

// HandleGifts adds gifts of another VM.
func (bnk *Bank) HandleGifts(gfs quota.Gifts) {
	now := bnk.cfg.Clock.Now()
	bnk.mu.Lock()
	defer bnk.mu.Unlock()
	bnk.ledger.Receive(gfs, now)
}

// report logs the teams of which requests begin to be refused or no longer are, and updates the metrics.
func (bnk *Bank) report(metrics bool) {
	now := bnk.cfg.Clock.Now()
	bnk.mu.Lock()
	chs := bnk.ledger.Changes(now)
	cnt := bnk.ledger.Total()
	share := bnk.ledger.Share()
	bnk.mu.Unlock()
	for _, chg := range chs {
		if chg.Refusing {
			bnk.refusing++
			bnk.cfg.Log.Info("quota refusals begin", zap.String("team", string(chg.Team)))
		} else {
			bnk.refusing--
			bnk.cfg.Log.Info("quota refusals end", zap.String("team", string(chg.Team)), zap.Int64("refused", chg.Refused))
		}
	}
	if metrics || len(chs) > 0 {
		bnk.met.update(cnt)
		bnk.met.share.Update(share)
		bnk.met.refusing.Update(float64(max(0, bnk.refusing)))
	}
}
