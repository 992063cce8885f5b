package entry

import (
	"time"

	"github.com/uber-go/tally/v4"

	"cardamompass"
	"cardamompass/internal/fleet/share"
)

// gaugeInterval is the time between two updates of the gauges.
const gaugeInterval = 2 * time.Second

// updateGauges updates all gauges periodically until the process stops.
func (prc *Process) updateGauges() {
	for {
		tmr := prc.cfg.Clock.NewTimer(gaugeInterval)
		select {
		case <-prc.done:
			tmr.Stop()
			return
		case <-tmr.C():
		}
		prc.updateMemberGauges()
		prc.updateShareGauges()
		prc.updateRequestGauges()
	}
}

func (prc *Process) tagged(tags map[string]string) tally.Scope {
	return prc.metrics.Scope().Tagged(tags)
}

// updateMemberGauges reports the number of entry VMs in each state and the age of the active catalogue.
func (prc *Process) updateMemberGauges() {
	counts := make(map[cardamompass.MemberState]int)
	for _, mbr := range prc.members.Members() {
		counts[mbr.State]++
	}
	for state := cardamompass.StateAlive; state <= cardamompass.StateLeft; state++ {
		prc.tagged(map[string]string{
			"state": state.String(),
		}).Gauge("members").Update(float64(counts[state]))
	}
	if cur := prc.active.Load(); cur.cat != nil {
		prc.metrics.Scope().Gauge("catalogue-in-force-seconds").Update(prc.cfg.Clock.Now().Sub(cur.since).Seconds())
	}
}

// updateShareGauges reports the units of each shared resource that this VM owns, may use and has in use. The headroom is
// the number of usable units that are not in use.
func (prc *Process) updateShareGauges() {
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
	prc.metrics.Scope().Gauge("share-lease-seconds-left").Update(leaseTimeLeft(sta).Seconds())
}

func leaseTimeLeft(sta share.State) time.Duration {
	left, err := time.ParseDuration(sta.LeaseTimeLeft)
	if err != nil {
		return 0
	}
	return left
}

// updateRequestGauges reports the waiting requests, the dropped log lines, the operation records, the suspect and blocked
// contents, and the traffic with other entry VMs.
func (prc *Process) updateRequestGauges() {
	for name, waiting := range prc.engine.Waiting() {
		prc.tagged(map[string]string{
			"service": string(name),
		}).Gauge("requests-waiting").Update(float64(waiting))
	}
	root := prc.metrics.Scope()
	if prc.cfg.LinesDropped != nil {
		root.Gauge("log-lines-dropped").Update(float64(prc.cfg.LinesDropped()))
	}
	stats := prc.operationTable.Stats()
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
