package front

import (
	"math"
	"time"

	"cardamompass"
	"cardamompass/internal/steer/budget"
)

const (
	// budgetSafety is the part of the common budget that is used; the rest is left for VMs that disagree about their number.
	budgetSafety = 0.85
	// firstTypical is the typical time of a route before anything was answered, as a part of its objective.
	firstTypical = 0.5
	// typicalStep is the step by which the typical time follows the answers.
	typicalStep = 0.03
	// secondCopy is the time that a second copy is expected to take, relative to the typical time. Asked that long before the objective, it
	// can still be in time.
	secondCopy = 1.2
	// answerMargin is the time that an answer takes on its way to the caller.
	answerMargin = 15 * time.Millisecond
	// soonestCopy is the time after which a second target is asked at the earliest, relative to the typical time. Sooner, requests that take
	// their usual time would be sent twice.
	soonestCopy = 1.25
	// urgentLoad is the load relative to the slots up to which the most urgent requests are sent to a target; a queue of the length of
	// the slots is about as long as an objective leaves. Each less urgent priority has loadStep less, down to leastLoad.
	urgentLoad = 2.0
	loadStep   = 0.25
	leastLoad  = 1.25
)

// retries returns the budget of a service for requests beyond the first of each, this VM's part of the common one.
func (frt *Front) retries(svc cardamompass.ServiceName) (bud *budget.Budget) {
	now := frt.cfg.Clock.Now()
	set := frt.cfg.Settings
	count := frt.cfg.Balancer.VMs(now)
	minimum := int(math.Floor(budgetSafety * float64(set.RetryBudgetSlack) / float64(count)))
	frt.mu.Lock()
	defer frt.mu.Unlock()
	bud, ok := frt.budgets[svc]
	if !ok {
		bud = budget.New(budget.Config{
			Percent: int(budgetSafety * float64(set.RetryBudgetPercent)),
			Minimum: minimum,
			Window:  set.RetryBudgetWindow,
		}, now)
		frt.budgets[svc] = bud
	}
	bud.SetMinimum(minimum, now)
	return bud
}

// hedgeDelay is the time after which a second target is asked.
func (run *job) hedgeDelay() (dur time.Duration) {
	typ := run.exc.frt.typicalTime(run.exc.route, 0)
	latest := run.exc.route.LatencyObjective - time.Duration(secondCopy*float64(typ)) - answerMargin
	return max(latest, time.Duration(soonestCopy*float64(typ)))
}

// typicalTime returns the median time of the first targets of a route, after one more answer that took ela, or without one if ela is 0.
func (frt *Front) typicalTime(rte *cardamompass.Route, ela time.Duration) (typ time.Duration) {
	frt.mu.Lock()
	defer frt.mu.Unlock()
	key := rte.Host + rte.Prefix
	typ, ok := frt.typical[key]
	if !ok {
		typ = time.Duration(firstTypical * float64(rte.LatencyObjective))
	}
	switch {
	case ela > typ:
		typ += time.Duration(typicalStep * float64(typ))
	case ela > 0:
		typ -= time.Duration(typicalStep * float64(typ))
	}
	if ela > 0 {
		frt.typical[key] = typ
	}
	return typ
}

// mayHedge reports whether a second target may be asked beside the first.
func (run *job) mayHedge() (ok bool) {
	return run.exc.route.Idempotent && len(run.tried) < run.exc.route.MaxTargets && run.hasTime()
}

// split divides the requests of a route among its parts exactly by weight.
type split struct {
	given map[cardamompass.ServiceName]float64
	total float64
}

// part returns the service of the next request of a route: the one that lies furthest behind its weight.
func (frt *Front) part(rte *cardamompass.Route) (svc cardamompass.ServiceName) {
	if len(rte.WeightedServices) == 1 {
		return rte.WeightedServices[0].Service
	}
	frt.mu.Lock()
	defer frt.mu.Unlock()
	key := rte.Host + rte.Prefix
	for _, prt := range rte.WeightedServices {
		key += "|" + string(prt.Service) + "=" + formatWeight(prt.Weight)
	}
	spl, ok := frt.splits[key]
	if !ok {
		spl = &split{
			given: make(map[cardamompass.ServiceName]float64),
		}
		frt.splits[key] = spl
	}
	return spl.next(rte.WeightedServices)
}

func (spl *split) next(parts []cardamompass.WeightedService) (svc cardamompass.ServiceName) {
	weights := 0.0
	for _, prt := range parts {
		weights += prt.Weight
	}
	spl.total++
	behind := math.Inf(-1)
	for _, prt := range parts {
		lag := prt.Weight/weights*spl.total - spl.given[prt.Service]
		if lag > behind {
			behind, svc = lag, prt.Service
		}
	}
	spl.given[svc]++
	return svc
}

// maxLoad is the load relative to the slots at which a target is full for requests of a route. It is lower for less urgent routes,
// so that these are refused first.
func maxLoad(tbl *cardamompass.RoutingTable, rte *cardamompass.Route) (limit float64) {
	above := make(map[int]bool)
	for num := range tbl.Routes {
		if pri := tbl.Routes[num].Priority; pri < rte.Priority {
			above[pri] = true
		}
	}
	return max(leastLoad, urgentLoad-loadStep*float64(len(above)))
}
