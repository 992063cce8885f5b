package bench

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
)

// GoalKind tells on which side of its limit a figure has to be.
type GoalKind int

// The kinds of goals.
const (
	NoGoal GoalKind = iota
	AtMost
	AtLeast
)

// Goal is a bound for the current steering.
type Goal struct {
	Kind  GoalKind
	Limit float64
}

// Met reports whether value keeps the goal.
func (gol Goal) Met(value float64) bool {
	switch gol.Kind {
	case AtMost:
		return value <= gol.Limit
	case AtLeast:
		return value >= gol.Limit
	case NoGoal:
	}
	return true
}

// String returns the bound with its relation, an empty text without goal.
func (gol Goal) String() string {
	switch gol.Kind {
	case AtMost:
		return "<= " + format(gol.Limit)
	case AtLeast:
		return ">= " + format(gol.Limit)
	case NoGoal:
	}
	return ""
}

// Point is one figure of one run. Naive or Current is nil where the figure has no meaning.
type Point struct {
	Measure string
	Unit    string
	Naive   *float64
	Current *float64
	Goal    Goal
}

// both returns a point with a figure of each version.
func both(measure, unit string, naive, current float64) Point {
	return Point{
		Measure: measure,
		Unit:    unit,
		Naive:   &naive,
		Current: &current,
	}
}

// only returns a point that the current version alone has.
func only(measure, unit string, current float64) Point {
	return Point{
		Measure: measure,
		Unit:    unit,
		Current: &current,
	}
}

func (pnt Point) atMost(limit float64) Point {
	pnt.Goal = Goal{
		Kind:  AtMost,
		Limit: limit,
	}
	return pnt
}

func (pnt Point) atLeast(limit float64) Point {
	pnt.Goal = Goal{
		Kind:  AtLeast,
		Limit: limit,
	}
	return pnt
}

// Summary is the median and the range of a figure over all runs.
type Summary struct {
	Median float64 `json:"median"`
	Low    float64 `json:"low"`
	High   float64 `json:"high"`
}

// Row is one figure over all runs. Met is nil without goal; the median decides.
type Row struct {
	Measure string   `json:"measure"`
	Unit    string   `json:"unit"`
	Naive   *Summary `json:"naive,omitempty"`
	Current *Summary `json:"current,omitempty"`
	Goal    string   `json:"goal,omitempty"`
	Met     *bool    `json:"met,omitempty"`
}

// Report is the result of a scenario.
type Report struct {
	Scenario string `json:"scenario"`
	Scale    string `json:"scale"`
	Seed     uint64 `json:"seed"`
	Repeats  int    `json:"repeats"`
	Duration string `json:"duration"`
	Began    string `json:"date"`
	Rows     []Row  `json:"rows"`
	plots    plots
}

// WriteJSON writes the report as JSON.
func (rep *Report) WriteJSON(out io.Writer) (err error) {
	enc := json.NewEncoder(out)
	enc.SetIndent("", "  ")
	return enc.Encode(rep)
}

// WriteTable writes the report for people.
func (rep *Report) WriteTable(out io.Writer) (err error) {
	_, err = fmt.Fprintf(out, "scenario=%s seed=%d repeats=%d duration=%s date=%s\nscale: %s\n\n",
		rep.Scenario, rep.Seed, rep.Repeats, rep.Duration, rep.Began, rep.Scale)
	if err != nil {
		return err
	}
	tab := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(tab, "measure\tunit\tnaive\tcurrent\tgoal\tmet")
	for _, row := range rep.Rows {
		met := ""
		if row.Met != nil {
			met = map[bool]string{true: "met", false: "missed"}[*row.Met]
		}
		_, _ = fmt.Fprintf(tab, "%s\t%s\t%s\t%s\t%s\t%s\n", row.Measure, row.Unit, row.Naive, row.Current, row.Goal, met)
	}
	return tab.Flush()
}

// String returns the median and the range, "-" for nil.
func (sum *Summary) String() string {
	if sum == nil {
		return "-"
	}
	return fmt.Sprintf("%s (%s to %s)", format(sum.Median), format(sum.Low), format(sum.High))
}

// format returns a value with about three significant digits.
func format(value float64) string {
	if value >= 1000 || value <= -1000 {
		return fmt.Sprintf("%.0f", value)
	}
	return fmt.Sprintf("%.3g", value)
}
