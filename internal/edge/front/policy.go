package front

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"cardamompass"
	"cardamompass/internal/steer/budget"
)

const (
	// budgetFraction is the fraction of the common retry budget that the VMs use. The rest covers VMs that disagree about their
	// number.
	budgetFraction = 0.85
	// initialMedianFactor is the initial estimate of a route's median latency as a fraction of its objective.
	initialMedianFactor = 0.5
	// medianStep is the fraction by which each response moves the estimate of the median latency.
	medianStep = 0.03
	// highestMaxLoad is the load relative to the slots up to which requests of the highest priority are sent to a target. A queue
	// as long as the number of slots is about what an objective leaves time for. Each lower priority has maxLoadStep less, down to
	// lowestMaxLoad.
	highestMaxLoad = 2.0
	maxLoadStep    = 0.25
	lowestMaxLoad  = 1.25
)

// retryBudget returns this VM's part of the retry budget of a service, from which retries and hedges are taken.
func (frt *Front) retryBudget(svc cardamompass.ServiceName) (bud *budget.Budget) {
	now := frt.cfg.Clock.Now()
	set := frt.cfg.Settings()
	count := frt.cfg.Balancer.VMs(now)
	cfg := budget.Config{
		Percent: int(budgetFraction * float64(set.RetryBudgetPercent)),
		Minimum: int(math.Floor(budgetFraction * float64(set.RetryBudgetSlack) / float64(count))),
		Window:  set.RetryBudgetWindow,
	}
	frt.mu.Lock()
	defer frt.mu.Unlock()
	bud, ok := frt.budgets[svc]
	if !ok {
		bud = budget.New(cfg, now)
		frt.budgets[svc] = bud
	}
	bud.SetConfig(cfg, now)
	return bud
}

// medianLatency returns the estimated median latency of the attempts of a route. If ela is not 0, the estimate is first updated
// with a response that took ela.
func (frt *Front) medianLatency(rte *cardamompass.Route, ela time.Duration) (med time.Duration) {
	frt.mu.Lock()
	defer frt.mu.Unlock()
	key := rte.Host + rte.Prefix
	med, ok := frt.medians[key]
	if !ok {
		med = time.Duration(initialMedianFactor * float64(rte.LatencyObjective))
	}
	switch {
	case ela > med:
		med += time.Duration(medianStep * float64(med))
	case ela > 0:
		med -= time.Duration(medianStep * float64(med))
	}
	if ela > 0 {
		frt.medians[key] = med
	}
	return med
}

// retryAfter returns the time after which the caller of a request that has not run is told to retry.
func (dsp *dispatch) retryAfter(err error) (dur time.Duration) {
	if dsp.refusal != nil {
		return dsp.refusal.RetryAfter
	}
	var ntg *noTargetError
	if errors.As(err, &ntg) {
		return RetryAfter(ntg.choice.Wait, rand.Float64())
	}
	return slotWait
}

// RetryAfter returns the time after which a caller is told to retry. wait is the time until the first target wants requests again if
// all targets back off, and 0 if some are only full. random, from 0 to 1, spreads the callers that were refused during a back-off
// over as long a time after it as they had to wait, so that they don't return at once to targets that have just recovered.
func RetryAfter(wait time.Duration, random float64) (dur time.Duration) {
	if wait <= 0 {
		return slotWait
	}
	return wait + time.Duration(random*float64(max(wait, slotWait)))
}

// split divides the requests of a route among its services exactly by weight.
type split struct {
	assigned map[cardamompass.ServiceName]float64
	total    float64
}

// nextService returns the service of the next request of a route: the one that lags furthest behind its weight.
func (frt *Front) nextService(rte *cardamompass.Route) (svc cardamompass.ServiceName) {
	if len(rte.WeightedServices) == 1 {
		return rte.WeightedServices[0].Service
	}
	frt.mu.Lock()
	defer frt.mu.Unlock()
	key := rte.Host + rte.Prefix
	for _, wsv := range rte.WeightedServices {
		key += "|" + string(wsv.Service) + "=" + formatWeight(wsv.Weight)
	}
	spl, ok := frt.splits[key]
	if !ok {
		spl = &split{
			assigned: make(map[cardamompass.ServiceName]float64),
		}
		frt.splits[key] = spl
	}
	return spl.next(rte.WeightedServices)
}

func (spl *split) next(services []cardamompass.WeightedService) (svc cardamompass.ServiceName) {
	weightSum := 0.0
	for _, wsv := range services {
		weightSum += wsv.Weight
	}
	spl.total++
	maxLag := math.Inf(-1)
	for _, wsv := range services {
		lag := wsv.Weight/weightSum*spl.total - spl.assigned[wsv.Service]
		if lag > maxLag {
			maxLag, svc = lag, wsv.Service
		}
	}
	spl.assigned[svc]++
	return svc
}

// maxLoad returns the load relative to the slots at which a target counts as full for requests of a priority. It is lower for lower
// priorities of routes and teams, so that these are refused first.
func maxLoad(tbl *cardamompass.RoutingTable, priority int) (limit float64) {
	return max(lowestMaxLoad, highestMaxLoad-maxLoadStep*float64(tbl.HigherPriorities(priority)))
}
