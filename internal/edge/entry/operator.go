package entry

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"cardamompass"
	"cardamompass/internal/edge/dump"
	"cardamompass/internal/edge/oper"
	"cardamompass/internal/fleet/peer"
	"cardamompass/internal/fleet/share"
	"cardamompass/internal/steer/guard"
	"cardamompass/internal/steer/route"
)

// MemberState is one entry VM in a state dump.
type MemberState struct {
	ID            cardamompass.VMID          `json:"id"`
	Incarnation   cardamompass.Incarnation   `json:"incarnation"`
	State         string                     `json:"state"`
	Region        cardamompass.Region        `json:"region"`
	FailureDomain cardamompass.FailureDomain `json:"failure-domain"`
	Successor     cardamompass.VMID          `json:"successor,omitempty"`
}

// TargetState is one target in a state dump.
type TargetState struct {
	ID        cardamompass.TargetID `json:"id"`
	Region    cardamompass.Region   `json:"region"`
	InFlight  int                   `json:"in-flight"`
	Slots     int                   `json:"slots"`
	Leaving   bool                  `json:"leaving,omitempty"`
	Failing   bool                  `json:"failing,omitempty"`
	Straggler bool                  `json:"straggler,omitempty"`
	Cold      bool                  `json:"cold,omitempty"`
}

// ServiceState is one service in a state dump.
type ServiceState struct {
	Name    cardamompass.ServiceName `json:"name"`
	Waiting int                      `json:"waiting"`
	Usual   string                   `json:"usual-latency"`
	P95     string                   `json:"p95-latency"`
	Targets []TargetState            `json:"targets"`
}

// CatalogueState is the active catalogue in a state dump.
type CatalogueState struct {
	Version uint64 `json:"version"`
	Digest  uint64 `json:"digest"`
	Since   string `json:"in-force-since"`
}

// SuspectState is a request content that is suspected of crashing targets, or blocked for it, in a state dump.
type SuspectState struct {
	Content  string `json:"content"`
	Blocked  bool   `json:"blocked"`
	TimeLeft string `json:"time-left"`
}

// TrafficState counts the bytes exchanged with other entry VMs.
type TrafficState struct {
	Sent     peer.Traffic `json:"as-client"`
	Received peer.Traffic `json:"as-server"`
}

// State is the state dump of a process.
type State struct {
	VM         MemberState    `json:"vm"`
	Started    time.Time      `json:"started"`
	Leaving    bool           `json:"leaving"`
	Catalogue  CatalogueState `json:"catalogue"`
	Members    []MemberState  `json:"members"`
	Services   []ServiceState `json:"services"`
	Shares     share.State    `json:"shares"`
	Suspects   []SuspectState `json:"suspects,omitempty"`
	Operations oper.Stats     `json:"operations"`
	Traffic    TrafficState   `json:"peer-traffic"`
	Recent     int            `json:"recent-decisions"`
}

func (prc *Process) operatorRoutes() http.Handler {
	rtr := mux.NewRouter()
	rtr.HandleFunc("/v1/state", func(rsw http.ResponseWriter, _ *http.Request) {
		writeJSON(rsw, prc.State())
	}).Methods(http.MethodGet)
	rtr.HandleFunc("/v1/decisions", func(rsw http.ResponseWriter, rqs *http.Request) {
		writeJSON(rsw, prc.Decisions(cardamompass.RequestID(rqs.URL.Query().Get("request-id"))))
	}).Methods(http.MethodGet)
	rtr.Handle("/metrics", prc.metrics.Handler()).Methods(http.MethodGet)
	return rtr
}

func writeJSON(rsw http.ResponseWriter, value any) {
	rsw.Header().Set("Content-Type", "application/json")
	enc := json.NewEncoder(rsw)
	enc.SetIndent("", "  ")
	_ = enc.Encode(value)
}

// Decisions returns the recent routing decisions for a request, or all recent ones for an empty id.
func (prc *Process) Decisions(rid cardamompass.RequestID) []dump.Decision {
	return prc.decisions.Find(rid)
}

// State returns the state dump. It contains no secrets.
func (prc *Process) State() (sta State) {
	now := prc.cfg.Clock.Now()
	cur := prc.active.Load()
	sta = State{
		VM:         memberState(prc.members.Self()),
		Started:    prc.started,
		Leaving:    prc.leaving.Load(),
		Shares:     prc.pool.State(),
		Suspects:   suspectStates(prc.guard.Entries(now), now),
		Operations: prc.operationTable.Stats(),
		Recent:     len(prc.decisions.Find("")),
		Traffic: TrafficState{
			Sent:     prc.client.Traffic(),
			Received: prc.server.Traffic(),
		},
	}
	for _, mbr := range prc.members.Members() {
		sta.Members = append(sta.Members, memberState(mbr))
	}
	if cur.cat == nil {
		return sta
	}
	sta.Catalogue = CatalogueState{
		Version: cur.cat.Version(),
		Digest:  cur.cat.Document().Digest(),
		Since:   now.Sub(cur.since).Round(time.Millisecond).String(),
	}
	waiting := prc.engine.Waiting()
	for _, svc := range cur.cat.Services() {
		sta.Services = append(sta.Services, prc.serviceState(svc.Name, waiting[svc.Name], now))
	}
	return sta
}

func memberState(mbr cardamompass.Member) MemberState {
	return MemberState{
		ID:            mbr.VM.ID,
		Incarnation:   mbr.VM.Incarnation,
		State:         mbr.State.String(),
		Region:        mbr.VM.Region,
		FailureDomain: mbr.VM.FailureDomain,
		Successor:     mbr.Successor,
	}
}

func (prc *Process) serviceState(name cardamompass.ServiceName, waiting int, now time.Time) (sta ServiceState) {
	lat := prc.tracker.Latency(name)
	sta = ServiceState{
		Name:    name,
		Waiting: waiting,
		Usual:   lat.Usual.String(),
		P95:     lat.P95.String(),
	}
	snp := prc.tracker.Snapshot(name, now, route.Snapshot{})
	for num := range snp.Targets {
		tgt := &snp.Targets[num]
		sta.Targets = append(sta.Targets, TargetState{
			ID:        tgt.ID,
			Region:    tgt.Region,
			InFlight:  tgt.InFlight,
			Slots:     tgt.Slots,
			Leaving:   tgt.Leaving,
			Failing:   tgt.Failing,
			Straggler: tgt.Straggler(snp.Usual, now),
			Cold:      !tgt.ColdSince.IsZero() && now.Sub(tgt.ColdSince) < route.RampUp,
		})
	}
	return sta
}

func suspectStates(entries []guard.Entry, now time.Time) (list []SuspectState) {
	for _, ent := range entries {
		list = append(list, SuspectState{
			Content:  ent.Key.String(),
			Blocked:  ent.Blocked,
			TimeLeft: ent.Until.Sub(now).Round(time.Second).String(),
		})
	}
	return list
}
