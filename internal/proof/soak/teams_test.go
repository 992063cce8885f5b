package soak_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"cardamompass/internal/stand/pfleet"
	"cardamompass/internal/stand/pstore"
)

const (
	// openPrefix begins the prefixes of the public routes.
	openPrefix = "/open"
	// secret begins all keys.
	secret = "s3cr3t-"
	// applyBound is the time within which a VM that reaches the store applies a configuration, refusedBound that of a VM that the store
	// turns away. Both count from the store's acknowledgement.
	applyBound   = 3 * time.Second
	refusedBound = 8 * time.Second
	// maxRoutes are the further routes of the grown configuration, which has about 1 MB.
	maxRoutes = 4800
	// heldTime is the time after which a request counts as held by the faults of the target's link rather than by a VM.
	heldTime = time.Second
	// maxTraces bounds the violations whose log lines are shown; finding them takes time.
	maxTraces = 10
)

// oldQuota and newQuota are the rate and burst of the limited team before and after its quota falls.
var (
	oldQuota = [2]float64{40, 40}
	newQuota = [2]float64{15, 15}
)

// span is a time from which a VM can or can't learn of changes.
type span struct {
	at     time.Time
	usable bool
}

// group is a group of callers with one key. All its requests that run have the group's team.
type group struct {
	*pfleet.Callers
	team string
	// share is the part of its requests that must be served, as 1/share.
	share int
	load  func(ctx context.Context)
}

// request is a request that was sent, with its callers and their team.
type request struct {
	pfleet.Result
	callers *pfleet.Callers
	team    string
}

// teams are the callers of several teams, the changes of the teams while the faults go on, and what is known of the VMs then.
type teams struct {
	sok     *soak
	groups  map[string]*group
	store   pstore.Faults // but for the VM that the store turns away
	refused string        // IP of the VM that the store turns away
	faults  map[*pfleet.VM]map[string]bool
	spans   map[*pfleet.VM][]span
	sent    map[string]request // by id
	done    int                // changes made so far
	routes  int
	lowered time.Time // acknowledgement of the lower quota
	revoked time.Time // acknowledgement of the revocation
}

func newTeams(sok *soak) (tms *teams) {
	tms = &teams{
		sok:    sok,
		groups: make(map[string]*group),
		faults: make(map[*pfleet.VM]map[string]bool),
		spans:  make(map[*pfleet.VM][]span),
		sent:   make(map[string]request),
	}
	for _, vmc := range sok.VMs {
		tms.faults[vmc] = make(map[string]bool)
		tms.spans[vmc] = []span{{usable: true}}
	}
	sok.Public = []string{openPrefix + "/read/", openPrefix + "/write/"}
	sok.Teams = []pfleet.Team{
		{Name: "stays", Keys: []string{secret + "stays"}},
		{Name: "loses", Keys: []string{secret + "lost", secret + "kept"}},
		{Name: "limited", Keys: []string{secret + "limited"}, RatePerS: oldQuota[0], Burst: oldQuota[1]},
	}
	sok.callers.SetKey(secret + "stays")
	open := func(idempotent bool) string { return openPrefix + sok.path(idempotent) }
	tms.add("public", "", 10, 4, open)
	tms.add("kept", "loses", 20, 4, sok.path)
	tms.add("lost", "loses", 40, 20, sok.path).UseAllVMs()
	tms.add("limited", "limited", 80, 50, sok.path).UseAllVMs()
	pip := tms.add("pipelined", "stays", 0, 4, nil)
	pip.SetKey(secret + "stays")
	pip.UseAllVMs()
	pip.load = func(ctx context.Context) {
		var wgr sync.WaitGroup
		for range 3 {
			wgr.Go(func() { pip.RunPipelined(ctx, 8, 60, "/read/a") })
		}
		wgr.Wait()
	}
	return tms
}

func (tms *teams) add(name, team string, rate, share int, path func(bool) string) (grp *group) {
	cls, stop := pfleet.NewCallers(tms.sok.Fleet)
	tms.sok.t.Cleanup(stop)
	cls.SetKey(secret + name)
	grp = &group{
		Callers: cls,
		team:    team,
		share:   share,
		load:    func(ctx context.Context) { cls.Run(ctx, rate, path) },
	}
	if team == "" {
		cls.SetKey(secret + "unknown") // a public route needs none, and targets must not get it
	}
	tms.groups[name] = grp
	return grp
}

func (tms *teams) start(ctx context.Context, wgr *sync.WaitGroup) {
	for _, grp := range tms.groups {
		wgr.Go(func() { grp.load(ctx) })
	}
}

// growth returns the prefixes of the further routes.
func (tms *teams) growth() (prefixes []string) {
	for num := range tms.routes {
		prefixes = append(prefixes, fmt.Sprintf("/growth-%04d/", num))
	}
	return prefixes
}

// last returns the VM that the store turns away. It has no other faults.
func (tms *teams) last() (vmc *pfleet.VM) { return tms.sok.VMs[len(tms.sok.VMs)-1] }

// step makes the changes that are due. Their times don't depend on the seed.
func (tms *teams) step() {
	sok, last := tms.sok, tms.last()
	for _, chg := range []struct {
		at   time.Duration
		make func()
	}{
		{time.Second, func() {
			sok.Teams[2].RatePerS, sok.Teams[2].Burst = newQuota[0], newQuota[1]
			tms.configure("the quota falls")
			tms.lowered = time.Now()
		}},
		{4 * time.Second, func() {
			tms.refuse(last.IP)
			last.StoreProxy.Cut() // else the waiting watch still gets the next change
			_ = last.StoreProxy.Heal()
		}},
		{4500 * time.Millisecond, func() {
			sok.Teams[1].Keys = []string{secret + "kept"}
			tms.configure("a key is taken away")
			tms.revoked = time.Now()
		}},
		{6 * time.Second, func() { tms.grow(1) }},
		{8 * time.Second, func() { tms.grow(2) }},
		{10 * time.Second, func() { tms.grow(3) }},
		{12 * time.Second, func() { tms.grow(4) }},
	}[tms.done:] {
		if time.Since(sok.begin) < chg.at {
			return
		}
		chg.make()
		tms.done++
	}
}

func (tms *teams) grow(quarters int) {
	tms.routes = maxRoutes * quarters / 4
	tms.configure(fmt.Sprint(tms.routes, " further routes"))
}

func (tms *teams) configure(what string) {
	tms.sok.configure()
	tms.sok.recordEvent("configuration %d: %s", tms.sok.version, what)
}

// refuse makes the store turn one VM away until the end of the faults, beside its other faults.
func (tms *teams) refuse(ip string) {
	tms.refused = ip
	tms.setStoreFaults(tms.store)
	tms.sok.recordEvent("store turns away %q", ip)
}

func (tms *teams) setStoreFaults(flt pstore.Faults) {
	tms.store = flt
	out := flt.Outage || flt.NoReply || len(flt.RefusedIPs) > 0
	flt.RefusedIPs = append(slices.Clone(flt.RefusedIPs), tms.refused)
	tms.sok.Store.SetFaults(flt)
	for _, vmc := range tms.sok.VMs {
		tms.setFault(vmc, "store", out)
	}
}

// setFault records a fault due to which a VM can't learn of changes. That the store turns away a single VM is not recorded.
func (tms *teams) setFault(vmc *pfleet.VM, name string, on bool) {
	tms.faults[vmc][name] = on
	usable := true
	for _, flt := range tms.faults[vmc] {
		usable = usable && !flt
	}
	if spans := tms.spans[vmc]; spans[len(spans)-1].usable != usable {
		tms.spans[vmc] = append(spans, span{
			at:     time.Now(),
			usable: usable,
		})
	}
}

// inForce returns when a VM must have applied a configuration: it could learn of it for the bound without a break. That is so at the latest
// after the end of the faults.
func (tms *teams) inForce(vmc *pfleet.VM, acknowledged time.Time) (at time.Time) {
	bound := applyBound
	if vmc == tms.last() {
		bound = refusedBound
	}
	if acknowledged.IsZero() {
		return time.Now() // not made in this run
	}
	for num, spn := range tms.spans[vmc] {
		if at = spn.at.Add(bound); spn.at.Before(acknowledged) {
			at = acknowledged.Add(bound)
		}
		if spn.usable && (num+1 == len(tms.spans[vmc]) || at.Before(tms.spans[vmc][num+1].at)) {
			break
		}
	}
	return at
}

// count notes the callers and the team of all requests, and checks that each group was served.
func (tms *teams) count() (found []string) {
	for _, res := range tms.sok.callers.Results() {
		tms.sent[res.ID] = request{Result: res, callers: tms.sok.callers, team: "stays"}
	}
	for name, grp := range tms.groups {
		count, all := make(map[int]int), grp.Results()
		for _, res := range all {
			count[res.Status]++
			tms.sent[res.ID] = request{Result: res, callers: grp.Callers, team: grp.team}
		}
		tms.sok.t.Logf("%s: responses by status %v", name, count)
		if count[http.StatusOK] < len(all)/grp.share {
			found = append(found, fmt.Sprintf("%s: only %d of %d requests were served", name, count[http.StatusOK], len(all)))
		}
	}
	return found
}

// results returns the results of all requests, those of the soak's callers included.
func (tms *teams) results() (all []pfleet.Result) {
	for _, req := range tms.sent {
		all = append(all, req.Result)
	}
	return all
}

// violations compares what callers of all teams and targets saw.
func (tms *teams) violations() (found []string) {
	found = tms.count()
	bounds := make(map[string]time.Time) // of the revoked key, by VM
	for _, vmc := range tms.sok.VMs {
		bounds[vmc.CallerAddress()] = tms.inForce(vmc, tms.revoked)
	}
	var arrivals []time.Time
	for num, tgt := range tms.sok.Targets {
		for _, run := range tgt.Runs() {
			req, at := tms.sent[run.ID], run.At
			if num < targets/2 && run.At.Sub(req.At) > heldTime {
				at = req.At // the faults of the target's link may have held the request
			} else if req.team == "limited" {
				arrivals = append(arrivals, at)
			}
			if run.Header.Get("Tenant") != req.team || run.Header["Credential"] != nil || strings.Contains(fmt.Sprint(run.Header), secret) {
				found = append(found, fmt.Sprintf("%s: request of team %q has headers %v", run.ID, req.team, run.Header))
			}
			if slices.Contains([]int{http.StatusUnauthorized, http.StatusTooManyRequests, http.StatusServiceUnavailable}, req.Status) {
				found = append(found, fmt.Sprintf("%s: refused with status %d, but %s ran it", run.ID, req.Status, tgt.ID))
			}
			if bound := bounds[req.VM]; req.callers == tms.groups["lost"].Callers && at.After(bound) {
				found = append(found, fmt.Sprintf("%s: %s ran it %v after the bound for its revoked key: %+v", run.ID, tgt.ID, at.Sub(bound), req.Result))
			}
		}
	}
	return append(found, tms.overQuota(arrivals)...)
}

// trace logs the request that a violation begins with, its runs and the VMs' log lines.
func (tms *teams) trace(violation string) {
	id, _, _ := strings.Cut(violation, ":")
	if _, ok := tms.sent[id]; !ok {
		return
	}
	tms.sok.t.Logf("%+v", tms.sent[id].Result)
	for _, tgt := range tms.sok.Targets {
		for _, run := range tgt.Runs() {
			if run.ID == id {
				tms.sok.t.Logf("run at %s: %+v", tgt.ID, run)
			}
		}
	}
	for _, vmc := range tms.sok.VMs {
		for line := range strings.Lines(vmc.Tail(1 << 20)) {
			if strings.Contains(line, id) {
				tms.sok.t.Log(line)
			}
		}
	}
}

// overQuota returns the first window with more arrivals than the quota allows, if any. The lower quota applies once all VMs must have it.
func (tms *teams) overQuota(arrivals []time.Time) (found []string) {
	slices.SortFunc(arrivals, time.Time.Compare)
	lower := tms.lowered
	for _, vmc := range tms.sok.VMs {
		if at := tms.inForce(vmc, tms.lowered); at.After(lower) {
			lower = at
		}
	}
	worst, windows := 0.0, 0
	for num, begin := range arrivals {
		quota, count := oldQuota, 0
		if begin.After(lower) {
			quota, windows = newQuota, windows+1
		}
		for _, at := range arrivals[num:] {
			if at.Sub(begin) < pfleet.QuotaWindow {
				count++
			}
		}
		limit := (quota[0]*pfleet.QuotaWindow.Seconds()+quota[1])*(1+pfleet.QuotaOverage) + pfleet.QuotaSlack
		if worst = max(worst, float64(count)/limit); float64(count) > limit {
			found = append(found, fmt.Sprintf("%d arrivals of the limited team within 5 s of %.2fs, %g are allowed",
				count, begin.Sub(tms.sok.begin).Seconds(), limit))
		}
	}
	tms.sok.t.Logf("quota: %d arrivals, %d windows of the lower limit, the fullest has %.2f of its limit", len(arrivals), windows, worst)
	return found[:min(len(found), 1)]
}
