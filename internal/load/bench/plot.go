package bench

import (
	"fmt"
	"math"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// plots holds the latency curves of the first run of a scenario.
type plots struct {
	curves []curve
}

type curve struct {
	name string
	pts  plotter.XYs
}

// add keeps the latencies of a load as a curve unless there is one of that name.
func (plt *plots) add(name string, rcd *Recorder) {
	for _, crv := range plt.curves {
		if crv.name == name {
			return
		}
	}
	crv := curve{
		name: name,
	}
	// The horizontal axis is the number of nines, so that the tail gets as much room as the rest.
	for nines := 0.1; nines <= 3; nines += 0.05 {
		crv.pts = append(crv.pts, plotter.XY{
			X: nines,
			Y: math.Max(0.1, rcd.Quantile(100*(1-math.Pow(10, -nines)))),
		})
	}
	plt.curves = append(plt.curves, crv)
}

// WritePlot writes the latency curves of the first run as a PNG file.
func (rep *Report) WritePlot(path string) (err error) {
	defer func() { err = errors.Wrap(err, "plot") }()
	if len(rep.plots.curves) == 0 {
		return errors.Errorf("scenario %s has no latency curves", rep.Scenario)
	}
	drw := plot.New()
	drw.Title.Text = fmt.Sprintf("%s, seed %d", rep.Scenario, rep.Seed)
	drw.X.Label.Text = "percentile"
	drw.Y.Label.Text = "latency from scheduled arrival, ms"
	drw.Y.Scale = plot.LogScale{}
	drw.Y.Tick.Marker = plot.LogTicks{
		Prec: -1,
	}
	drw.X.Tick.Marker = plot.ConstantTicks{
		{Value: 0.301, Label: "50"},
		{Value: 1, Label: "90"},
		{Value: 2, Label: "99"},
		{Value: 3, Label: "99.9"},
	}
	drw.Legend.Top, drw.Legend.Left = true, true
	drw.Add(plotter.NewGrid())
	for num, crv := range rep.plots.curves {
		lin, err := plotter.NewLine(crv.pts)
		if err != nil {
			return err
		}
		lin.Color, lin.Dashes = plotutil.Color(num), plotutil.Dashes(num)
		drw.Add(lin)
		drw.Legend.Add(crv.name, lin)
	}
	return drw.Save(5*vg.Inch, 3*vg.Inch, path)
}
