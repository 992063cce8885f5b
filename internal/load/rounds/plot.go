package rounds

import (
	"image/color"
	"time"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// WritePlot writes the mean worth of each score, a line for each site, and the mean mark of the site as a thin line, as a PNG file.
func WritePlot(rds []Round, path string) (err error) {
	defer func() { err = errors.Wrap(err, "plot") }()
	if len(rds) == 0 {
		return errors.New("the journal has no scores")
	}
	drw := plot.New()
	drw.Title.Text = "mean worth of the standard days; thin: mean mark"
	drw.X.Label.Text = "score of the site"
	drw.Y.Label.Text = "worth"
	drw.Legend.Left = true
	drw.Add(plotter.NewGrid())
	for num, site := range Sites(rds) {
		var worth, mark plotter.XYs
		for pos, rnd := range whole(rds, site) {
			worth = append(worth, plotter.XY{X: float64(pos + 1), Y: rnd.Worth})
			mark = append(mark, plotter.XY{X: float64(pos + 1), Y: rnd.Mark})
		}
		if err = addPoints(drw, site, num, worth); err != nil {
			return err
		}
		if err = addThin(drw, plotutil.Color(num), mark); err != nil {
			return err
		}
	}
	return drw.Save(6*vg.Inch, 3.5*vg.Inch, path)
}

// leastLatency and mostLatency are the ends of the latency axis in ms: deadlines are 2,500 to 6,000, and the legend needs room above them.
const (
	leastLatency = 100
	mostLatency  = 30_000
)

// WriteLatency writes the median and the 99th percentile of each kind of request by day, and the aim of a kind as a thin line, as a PNG
// file. The scale of the latency is logarithmic.
func WriteLatency(days []Day, aims map[string]time.Duration, path string) (err error) {
	defer func() { err = errors.Wrap(err, "plot") }()
	if len(days) == 0 {
		return errors.New("no reports")
	}
	drw := plot.New()
	drw.Title.Text = "latency by kind and day: median, p99; thin: aim"
	drw.Y.Label.Text = "ms"
	drw.Y.Scale, drw.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	drw.Y.Min, drw.Y.Max = leastLatency, mostLatency
	var names []string
	for _, day := range days {
		names = append(names, day.Name)
	}
	drw.NominalX(names...)
	drw.X.Tick.Label.Rotation, drw.X.Tick.Label.XAlign = 0.5, -1
	drw.Legend.Top = true
	drw.Add(plotter.NewGrid())
	for num, name := range kindNames(days) {
		median, p99 := latencies(days, name)
		if err = addPoints(drw, name, num, median); err != nil {
			return err
		}
		if err = addPoints(drw, "", num, p99); err != nil {
			return err
		}
		aim, ok := aims[name]
		if !ok {
			continue
		}
		line := plotter.XYs{{X: 0, Y: inMilliseconds(aim)}, {X: float64(len(days) - 1), Y: inMilliseconds(aim)}}
		if err = addThin(drw, plotutil.Color(num), line); err != nil {
			return err
		}
	}
	return drw.Save(7*vg.Inch, 4*vg.Inch, path)
}

// latencies returns the points of a kind. Days without a latency are left out, since a logarithmic scale has no zero.
func latencies(days []Day, name string) (median, p99 plotter.XYs) {
	for num, day := range days {
		for _, knd := range day.Kinds {
			if knd.Name == name && knd.Median > 0 {
				median = append(median, plotter.XY{X: float64(num), Y: inMilliseconds(knd.Median)})
				p99 = append(p99, plotter.XY{X: float64(num), Y: inMilliseconds(knd.P99)})
			}
		}
	}
	return median, p99
}

func inMilliseconds(dur time.Duration) (num float64) { return float64(dur) / float64(time.Millisecond) }

// addPoints adds a line with points in the color of the number. An empty name gets no legend.
func addPoints(drw *plot.Plot, name string, num int, points plotter.XYs) (err error) {
	if len(points) == 0 {
		return nil
	}
	lin, pts, err := plotter.NewLinePoints(points)
	if err != nil {
		return err
	}
	lin.Color, pts.Color = plotutil.Color(num), plotutil.Color(num)
	lin.Width = vg.Points(1.5)
	drw.Add(lin, pts)
	if name != "" {
		drw.Legend.Add(name, lin)
	}
	return nil
}

// addThin adds a thin dashed line.
func addThin(drw *plot.Plot, col color.Color, points plotter.XYs) (err error) {
	thin, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	thin.Color, thin.Dashes = col, plotutil.Dashes(1)
	thin.Width = vg.Points(0.5)
	drw.Add(thin)
	return nil
}
