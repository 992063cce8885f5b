package node

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"cardamompass"
	"cardamompass/internal/steer/place"
	"cardamompass/internal/steer/quota"
)

// gaugeInterval is the interval at which the gauges are updated.
const gaugeInterval = time.Second

// updateGauges updates the gauges from the current state.
func (nod *Node) updateGauges(scp tally.Scope) {
	vew := nod.follower.View()
	if vew.Table != nil {
		scp.Gauge("table-version").Update(float64(vew.Table.Version))
	}
	scp.Gauge("store-age-seconds").Update(nod.follower.StoreAge().Seconds())
	scp.Gauge("running-vms").Update(float64(len(nod.exchanger.OtherVMs()) + 1))
	scp.Gauge("targets").Update(float64(len(vew.All())))
	scp.Gauge("idle-connections").Update(float64(nod.sender.IdleCount()))
	scp.Gauge("active-requests").Update(float64(nod.front.Active()))
	scp.Gauge("request-body-bytes").Update(float64(nod.requestBodies.Used()))
	scp.Gauge("response-body-bytes").Update(float64(nod.responseBodies.Used()))
	if share, ok := nod.front.HedgeShare(); ok {
		scp.Gauge("hedge-share").Update(share)
	}
	pipes := nod.pipe.Stats()
	scp.Gauge("pipelined-connections-open").Update(float64(pipes.Connections))
	scp.Gauge("requests-ahead-now").Update(float64(pipes.Ahead))
	scp.Gauge("held-response-bytes").Update(float64(pipes.Held))
	scp.Gauge("log-lines-dropped").Update(float64(nod.cfg.LinesDropped()))
}

// state is the state dump of the process.
type state struct {
	VM           cardamompass.VMID   `json:"vm"`
	Stopping     bool                `json:"stopping"`
	TableVersion uint64              `json:"table-version"`
	Revision     int64               `json:"store-revision"`
	StoreAge     float64             `json:"store-age"` // seconds; negative if the store has never responded
	Active       int                 `json:"active-requests"`
	Running      []cardamompass.VMID `json:"other-vms"`
	Balancer     place.Dump          `json:"board"`
	Quota        *quota.Dump         `json:"quota,omitempty"`
}

// serveState writes the state of the process as JSON.
func (nod *Node) serveState(wrt http.ResponseWriter, _ *http.Request) {
	vew := nod.follower.View()
	sta := state{
		VM:       nod.self.ID,
		Stopping: nod.stopping.Load(),
		Revision: vew.Revision,
		StoreAge: nod.follower.StoreAge().Seconds(),
		Active:   nod.front.Active(),
		Balancer: nod.balancer.Dump(nod.cfg.Clock.Now()),
		Quota:    nod.tokens.Dump(),
	}
	if vew.Table != nil {
		sta.TableVersion = vew.Table.Version
	}
	for _, vmc := range nod.exchanger.OtherVMs() {
		sta.Running = append(sta.Running, vmc.ID)
	}
	wrt.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(wrt).Encode(sta); err != nil {
		nod.cfg.Log.Info("state dump not written", zap.Error(err))
	}
}
