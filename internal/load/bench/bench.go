// Package bench measures a whole site under open-loop load, with the current steering and with the naive baseline.
//
// Requests arrive by a seeded Poisson process, whatever the system does, and latency counts from the scheduled arrival, so
// that a stalled system can't hide its delay. Sites run in this process; their requests use HTTP over loopback. Service times
// are tens of milliseconds and rates are scaled down alike, so that the machine is not the bottleneck.
package bench

import (
	"context"
	"io"
	"sort"
	"time"

	"github.com/pkg/errors"
)

// Config configures a run of a scenario.
type Config struct {
	// Seed determines arrivals, service times and faults.
	Seed uint64
	// Repeats is the number of runs, at least 1.
	Repeats int
	// Duration is the length of one load.
	Duration time.Duration
	// Tries is the number of tries of each time that the scenario times measures.
	Tries int
	// State, if set, receives the state of the entry VMs and the slowest recent decisions after each load on a current site.
	State io.Writer
}

// Scenario is a load with its faults and goals.
type Scenario struct {
	Name string
	// Scale tells how sizes relate to those of the design.
	Scale string
	// run makes one run and returns its points; each run returns the same measures.
	run func(ctx context.Context, cfg Config, plt *plots) (pts []Point, err error)
}

// Scenarios returns all scenarios.
func Scenarios() []Scenario {
	return []Scenario{
		stragglers(),
		blocking(),
		storm(),
		cost(),
		times(),
	}
}

// Find returns the scenario with the given name.
func Find(name string) (scn Scenario, err error) {
	for _, scn := range Scenarios() {
		if scn.Name == name {
			return scn, nil
		}
	}
	return scn, errors.Errorf("no scenario %q", name)
}

// Run runs a scenario as often as cfg says.
func (scn Scenario) Run(ctx context.Context, cfg Config) (rep Report, err error) {
	defer func() { err = errors.Wrapf(err, "scenario %s", scn.Name) }()
	rep = Report{
		Scenario: scn.Name,
		Scale:    scn.Scale,
		Seed:     cfg.Seed,
		Repeats:  cfg.Repeats,
		Duration: cfg.Duration.String(),
		Began:    time.Now().UTC().Format(time.DateOnly),
	}
	var runs [][]Point
	for num := range cfg.Repeats {
		one := cfg
		one.Seed = cfg.Seed + uint64(num)
		pts, err := scn.run(ctx, one, &rep.plots)
		if err != nil {
			return rep, err
		}
		runs = append(runs, pts)
	}
	rep.Rows = merge(runs)
	return rep, nil
}

// merge joins the points of all runs to rows, in the order of the first run.
func merge(runs [][]Point) (rows []Row) {
	for num, pnt := range runs[0] {
		var naive, current []float64
		for _, pts := range runs {
			if pts[num].Naive != nil {
				naive = append(naive, *pts[num].Naive)
			}
			if pts[num].Current != nil {
				current = append(current, *pts[num].Current)
			}
		}
		row := Row{
			Measure: pnt.Measure,
			Unit:    pnt.Unit,
			Naive:   summarize(naive),
			Current: summarize(current),
			Goal:    pnt.Goal.String(),
		}
		if row.Current != nil && pnt.Goal.Kind != NoGoal {
			met := pnt.Goal.Met(row.Current.Median)
			row.Met = &met
		}
		rows = append(rows, row)
	}
	return rows
}

// summarize returns the median and the range of values, nil if there are none.
func summarize(values []float64) (sum *Summary) {
	if len(values) == 0 {
		return nil
	}
	sort.Float64s(values)
	mid := len(values) / 2
	median := values[mid]
	if len(values)%2 == 0 {
		median = (values[mid-1] + values[mid]) / 2
	}
	return &Summary{
		Median: median,
		Low:    values[0],
		High:   values[len(values)-1],
	}
}
