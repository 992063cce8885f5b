package tokens

import (
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"cardamompass"
	"cardamompass/internal/edge/direct"
	"cardamompass/internal/steer/quota"
)

// metrics are the counters of a Limiter. They are not split by team, so that their number does not grow with the teams.
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
func (lim *Limiter) Tick() {
	lim.mu.Lock()
	limited := lim.ledger.Limited()
	lim.ticks++
	ticks := lim.ticks
	lim.mu.Unlock()
	if ticks%idleObserveTicks == 1 || (limited && ticks%observeTicks == 1) {
		lim.observe()
	}
	if !limited && lim.refusing == 0 {
		return
	}
	lim.sendAsks()
	lim.report(ticks%metricTicks == 0)
}

// observe updates the VM's share.
func (lim *Limiter) observe() {
	vms := append(lim.cfg.OtherVMs(), lim.cfg.Self)
	known := make(map[cardamompass.FailureDomain]bool)
	for _, vmc := range vms {
		known[vmc.FailureDomain] = true
	}
	age := lim.cfg.StoreAge()
	obs := quota.Observation{
		Weights: direct.Weights(vms),
		Domains: len(known),
		Fresh:   age >= 0 && (age < freshStoreAge || lim.cfg.StoreOutage() == 0), // a watch without changes lasts longer
	}
	for dom := range lim.cfg.Regions {
		if !known[dom] {
			obs.EmptyDomains++
		}
	}
	now := lim.cfg.Clock.Now()
	lim.mu.Lock()
	defer lim.mu.Unlock()
	obs.Returned = lim.returned
	lim.ledger.SetShare(lim.fleet.Observe(obs, now), now)
}

// sendAsks asks other VMs for the tokens that are missing.
func (lim *Limiter) sendAsks() {
	exc := lim.exchange.Load()
	if exc == nil {
		return
	}
	now := lim.cfg.Clock.Now()
	lim.mu.Lock()
	all := lim.ledger.Asks(now)
	var recipients []cardamompass.VMID
	if len(all.Asks) > 0 {
		recipients = lim.fleet.Recipients(lim.rnd)
	}
	lim.mu.Unlock()
	for num, vid := range recipients {
		asks := all.For(num)
		if len(asks.Asks) == 0 {
			return
		}
		(*exc).SendAsks(vid, asks) // asks that were not sent are repeated
	}
}

// HandleAsks answers asks of another VM.
func (lim *Limiter) HandleAsks(from cardamompass.VMID, asks quota.Asks) {
	exc := lim.exchange.Load()
	if exc == nil || !(*exc).MaySendGrants(from, len(asks.Asks)) {
		return
	}
	now := lim.cfg.Clock.Now()
	lim.mu.Lock()
	grs := quota.Grants{
		Round: asks.Round,
	}
	for _, ask := range asks.Asks {
		if grt, ok := lim.ledger.Give(ask, now); ok {
			grs.Grants = append(grs.Grants, grt)
		}
	}
	lim.grants++
	grs.Number = lim.grants
	lim.mu.Unlock()
	if len(grs.Grants) > 0 {
		(*exc).SendGrants(from, grs) // tokens that were not sent are lost
	}
}

// HandleGrants adds grants of another VM.
func (lim *Limiter) HandleGrants(grs quota.Grants) {
	now := lim.cfg.Clock.Now()
	lim.mu.Lock()
	defer lim.mu.Unlock()
	lim.ledger.Receive(grs, now)
}

// report logs the teams of which requests begin to be refused or no longer are, and updates the metrics.
func (lim *Limiter) report(metrics bool) {
	now := lim.cfg.Clock.Now()
	lim.mu.Lock()
	chs := lim.ledger.Changes(now)
	cnt := lim.ledger.Total()
	share := lim.ledger.Share()
	lim.mu.Unlock()
	for _, chg := range chs {
		if chg.Refusing {
			lim.refusing++
			lim.cfg.Log.Info("quota refusals begin", zap.String("team", string(chg.Team)))
		} else {
			lim.refusing--
			lim.cfg.Log.Info("quota refusals end", zap.String("team", string(chg.Team)), zap.Int64("refused", chg.Refused))
		}
	}
	if metrics || len(chs) > 0 {
		lim.met.update(cnt)
		lim.met.share.Update(share)
		lim.met.refusing.Update(float64(max(0, lim.refusing)))
	}
}
