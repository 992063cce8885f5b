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
	// hedgePart is the part of a route's objective after which a second target is asked.
	hedgePart = 0.55
	// urgentLoad is the load relative to the slots up to which the most urgent requests are sent to a target; a queue of the length of
	// the slots is about as long as an objective leaves. Each less urgent priority has loadStep less, down to leastLoad.
	urgentLoad = 2.0
	loadStep   = 0.5
	leastLoad  = 1.25
	// leastHedgeDelay keeps routes with very short objectives from asking two targets as a rule.
	leastHedgeDelay = 30 * time.Millisecond
)

// retries returns the budget of a service for requests beyond the first of each, this VM's part of the common one.
func (frt *Front) retries(svc cardamompass.ServiceName) (bud *budget.Budget) {
	now := frt.cfg.Clock.Now()
	set := frt.cfg.Settings
	count := frt.cfg.Board.VMs(now)
	minimum := int(math.Floor(budgetSafety * float64(set.RepeatSlack) / float64(count)))
	frt.mu.Lock()
	defer frt.mu.Unlock()
	bud, ok := frt.budgets[svc]
	if !ok {
		bud = budget.New(budget.Config{
			Percent: int(budgetSafety * float64(set.RepeatPercent)),
			Minimum: minimum,
			Window:  set.RepeatWindow,
		}, now)
		frt.budgets[svc] = bud
	}
	bud.SetMinimum(minimum, now)
	return bud
}

// hedgeDelay is the time after which a second target is asked.
func (run *job) hedgeDelay() (dur time.Duration) {
	return max(leastHedgeDelay, time.Duration(hedgePart*float64(run.exc.route.Objective)))
}

// mayHedge reports whether a second target may be asked beside the first.
func (run *job) mayHedge() (ok bool) {
	frt := run.exc.frt
	now := frt.cfg.Clock.Now()
	return run.exc.route.Idempotent && len(run.tried) < run.exc.route.MaxTargets &&
		run.msg.Deadline.Sub(now) >= leastTime && frt.retries(run.exc.service).TakeExtra(now)
}

// split divides the requests of a route among its parts exactly by weight.
type split struct {
	given map[cardamompass.ServiceName]float64
	total float64
}

// part returns the service of the next request of a route: the one that lies furthest behind its weight.
func (frt *Front) part(rte *cardamompass.Route) (svc cardamompass.ServiceName) {
	if len(rte.Parts) == 1 {
		return rte.Parts[0].Service
	}
	frt.mu.Lock()
	defer frt.mu.Unlock()
	key := rte.Host + rte.Prefix
	for _, prt := range rte.Parts {
		key += "|" + string(prt.Service) + "=" + formatWeight(prt.Weight)
	}
	spl, ok := frt.splits[key]
	if !ok {
		spl = &split{
			given: make(map[cardamompass.ServiceName]float64),
		}
		frt.splits[key] = spl
	}
	return spl.next(rte.Parts)
}

func (spl *split) next(parts []cardamompass.Part) (svc cardamompass.ServiceName) {
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
