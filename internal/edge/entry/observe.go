package entry

import (
	"time"

	"github.com/uber-go/tally/v4"

	"cardamompass"
	"cardamompass/internal/fleet/share"
)

// observeInterval is the time between two updates of the gauges.
const observeInterval = 2 * time.Second

// observe keeps the gauges of the scrape page up to date.
func (prc *Process) observe() {
	for {
		tmr := prc.cfg.Clock.NewTimer(observeInterval)
		select {
		case <-prc.done:
			tmr.Stop()
			return
		case <-tmr.C():
		}
		prc.gaugeMembers()
		prc.gaugeShares()
		prc.gaugeRequests()
	}
}

func (prc *Process) tagged(tags map[string]string) tally.Scope {
	return prc.metrics.Scope().Tagged(tags)
}

// gaugeMembers shows the number of entry VMs in each state and the age of the catalogue in force.
func (prc *Process) gaugeMembers() {
	counts := make(map[cardamompass.MemberState]int)
	for _, mbr := range prc.members.Members() {
		counts[mbr.State]++
	}
	for state := cardamompass.StateAlive; state <= cardamompass.StateLeft; state++ {
		prc.tagged(map[string]string{
			"state": state.String(),
		}).Gauge("members").Update(float64(counts[state]))
	}
	if cur := prc.inForce.Load(); cur.cat != nil {
		prc.metrics.Scope().Gauge("catalogue-in-force-seconds").Update(prc.cfg.Clock.Now().Sub(cur.since).Seconds())
	}
}

// gaugeShares shows what this VM owns, may use and uses of each cap. The headroom of a region is what is left of its slots.
func (prc *Process) gaugeShares() {
	sta := prc.pool.State()
	for _, res := range sta.Resources {
		scope := prc.tagged(map[string]string{
			"resource": res.Name,
		})
		scope.Gauge("share-owned").Update(float64(res.Owned))
		scope.Gauge("share-usable").Update(float64(res.Usable))
		scope.Gauge("share-in-use").Update(float64(res.InUse))
		scope.Gauge("share-headroom").Update(float64(max(0, res.Usable-res.InUse)))
	}
	prc.metrics.Scope().Gauge("share-lease-seconds-left").Update(leaseLeft(sta).Seconds())
}

func leaseLeft(sta share.State) time.Duration {
	left, err := time.ParseDuration(sta.LeaseTimeLeft)
	if err != nil {
		return 0
	}
	return left
}

// gaugeRequests shows the waiting requests, the operation records, the suspects and the traffic with other entry VMs.
func (prc *Process) gaugeRequests() {
	for name, waiting := range prc.engine.Waiting() {
		prc.tagged(map[string]string{
			"service": string(name),
		}).Gauge("requests-waiting").Update(float64(waiting))
	}
	root := prc.metrics.Scope()
	if prc.cfg.LinesDropped != nil {
		root.Gauge("log-lines-dropped").Update(float64(prc.cfg.LinesDropped()))
	}
	stats := prc.table.Stats()
	root.Gauge("operation-records").Update(float64(stats.Records))
	root.Gauge("operations-running").Update(float64(stats.Running))
	blocked := 0
	entries := prc.guard.Entries(prc.cfg.Clock.Now())
	for _, ent := range entries {
		if ent.Blocked {
			blocked++
		}
	}
	root.Gauge("contents-suspect").Update(float64(len(entries) - blocked))
	root.Gauge("contents-blocked").Update(float64(blocked))
	sent, received := prc.client.Traffic(), prc.server.Traffic()
	root.Gauge("peer-bytes-sent").Update(float64(sent.BytesOut + received.BytesOut))
	root.Gauge("peer-bytes-received").Update(float64(sent.BytesIn + received.BytesIn))
}
