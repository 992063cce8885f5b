package front

import (
	"time"

	"github.com/uber-go/tally/v4"

	"cardamompass"
	"cardamompass/internal/obs/metric"
	"cardamompass/internal/steer/hedge"
	"cardamompass/internal/steer/place"
	"cardamompass/internal/steer/wait"
)

// mayWait reports whether a request that got no target may wait: some target is only full, and the request has certainly not run.
// Targets that have gone or back off have no room soon.
func (dsp *dispatch) mayWait(chc place.Choice) (ok bool) {
	rej := chc.Rejected
	return rej.Full+rej.Busy+rej.Cold > 0 && !dsp.mayHaveRun && dsp.fallback == nil
}

func (dsp *dispatch) noTarget(chc place.Choice) (err error) {
	return &noTargetError{
		service: dsp.exc.service,
		choice:  chc,
	}
}

// flow returns the team and the priority of the request.
func (dsp *dispatch) flow() (flw wait.Flow) {
	flw.Priority = dsp.exc.priority()
	if dsp.exc.team != nil {
		flw.Team = dsp.exc.team.Name
	}
	return flw
}

// weight returns the share of a team relative to the other teams of a priority: its rate. Requests without a rate, those of a team without
// a limit and those of public routes, have the mean of the rates of the priority, 0 if there are none. The least weight would starve them.
func weight(tbl *cardamompass.RoutingTable, tea *cardamompass.Team, priority int) (share float64) {
	if tea != nil && tea.Rate > 0 {
		return tea.Rate
	}
	sum, count := 0.0, 0
	for _, oth := range tbl.Teams {
		if oth.Priority == priority && oth.Rate > 0 {
			sum += oth.Rate
			count++
		}
	}
	return sum / float64(max(1, count))
}

// waitRequest describes the request to the queue.
func (dsp *dispatch) waitRequest() (req wait.Request) {
	exc := dsp.exc
	return wait.Request{
		Flow:           dsp.flow(),
		Weight:         weight(exc.vew.Table, exc.team, exc.priority()),
		Returned:       dsp.returned,
		Bytes:          int64(len(dsp.msg.Body)),
		Work:           exc.frt.medianLatency(exc.route, 0) + hedge.CallerTransferTime,
		Objective:      exc.start.Add(exc.route.LatencyObjective),
		Deadline:       dsp.msg.Deadline,
		CallerDeadline: exc.start.Add(exc.timeout(nil)),
	}
}

// query describes the request to the balancer.
func (dsp *dispatch) query(second bool, now time.Time) (qry place.Query) {
	return place.Query{
		Service:      dsp.exc.service,
		AffinityHash: dsp.affinityHash,
		Route:        dsp.exc.route,
		Team:         dsp.exc.team,
		Tried:        dsp.tried,
		MaxLoad:      maxLoad(dsp.exc.vew.Table, dsp.exc.priority()),
		Hedge:        second,
		First:        dsp.firstAttempt(),
		Now:          now,
	}
}

// endHopeless ends the waits of requests for which no target can have room soon: the targets have left, or back off. The caller holds the
// lock of srq.
func (rom *waitRoom) endHopeless(srq *serviceQueue, hopeless map[*wait.Item]error) {
	for itm, err := range hopeless {
		if _, ok := srq.waiters[itm]; !ok {
			continue // a later try in the same pass found room
		}
		srq.que.Remove(itm)
		rom.finish(srq, itm, waitResult{
			err: err,
		})
	}
}

// competition reports whether requests for the service of dsp wait for room, and whether its team is over its share of the room.
func (rom *waitRoom) competition(dsp *dispatch, now time.Time) (anyWaits, overShare bool) {
	if !rom.active() {
		return false, false
	}
	srq := rom.queue(dsp.exc.service, false)
	if srq == nil {
		return false, false
	}
	srq.mu.Lock()
	defer srq.mu.Unlock()
	return len(srq.waiters) > 0, srq.que.OverShare(dsp.flow(), now)
}

// updateMetrics updates the metrics of promises and of the size of a queue. The caller holds the lock of srq.
func (rom *waitRoom) updateMetrics(srq *serviceQueue) {
	sts, old := srq.que.Stats(), srq.stats
	srq.stats = sts
	met := rom.frt.met
	met.promisesGiven.Inc(int64(sts.Given - old.Given))
	met.promisesKept.Inc(int64(sts.Kept - old.Kept))
	met.promisesLapsed.Inc(int64(sts.Lapsed - old.Lapsed))
	met.waitingRequests.Update(float64(rom.requests.Add(int64(sts.Waiting - old.Waiting))))
	met.waitingBytes.Update(float64(rom.bytes.Add(sts.Bytes - old.Bytes)))
}

// waitMetrics are the metrics of waiting requests.
type waitMetrics struct {
	waitingRequests, waitingBytes               tally.Gauge
	promisesGiven, promisesKept, promisesLapsed tally.Counter
}

func newWaitMetrics(scp tally.Scope) (met waitMetrics) {
	return waitMetrics{
		waitingRequests: scp.Gauge("waiting-requests"),
		waitingBytes:    scp.Gauge("waiting-bytes"),
		promisesGiven:   scp.Counter("return-promises-given"),
		promisesKept:    scp.Counter("return-promises-kept"),
		promisesLapsed:  scp.Counter("return-promises-lapsed"),
	}
}

// observeWaitEnd records the end of a wait.
func (met metrics) observeWaitEnd(outcome string, waited time.Duration) {
	met.scope.Tagged(map[string]string{
		"outcome": outcome,
	}).Histogram("wait-seconds", metric.LatencyBuckets()).RecordDuration(waited)
}

// observeWaitRefusal counts a refusal.
func (met metrics) observeWaitRefusal(rsn wait.Reason) {
	met.scope.Tagged(map[string]string{
		"reason": string(rsn),
	}).Counter("wait-refusals").Inc(1)
}

// observeEstimate records the difference between the estimated and the actual time until room appeared.
func (met metrics) observeEstimate(estimate, actual time.Duration) {
	side := "longer"
	if actual < estimate {
		side = "shorter"
	}
	met.scope.Tagged(map[string]string{
		"actual": side,
	}).Histogram("wait-estimate-error-seconds", metric.LatencyBuckets()).RecordDuration((actual - estimate).Abs())
}
