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

// WritePlot writes a PNG file with one line per site for the mean worth of its scores, and a thin line for the mean worth that a full
// score requires.
func WritePlot(scores []Score, path string) (err error) {
	defer func() { err = errors.Wrap(err, "plot") }()
	if len(scores) == 0 {
		return errors.New("the journal has no scores")
	}
	drw := plot.New()
	drw.Title.Text = "mean worth of the standard days; thin: mean worth of a full score"
	drw.X.Label.Text = "score of the site"
	drw.Y.Label.Text = "worth"
	drw.Legend.Left = true
	drw.Add(plotter.NewGrid())
	for num, site := range Sites(scores) {
		var worth, fullScore plotter.XYs
		for pos, scr := range completeScores(scores, site) {
			worth = append(worth, plotter.XY{X: float64(pos + 1), Y: scr.Worth})
			fullScore = append(fullScore, plotter.XY{X: float64(pos + 1), Y: scr.FullScore})
		}
		if err = addPoints(drw, site, num, worth); err != nil {
			return err
		}
		if err = addDashed(drw, plotutil.Color(num), fullScore); err != nil {
			return err
		}
	}
	return drw.Save(6*vg.Inch, 3.5*vg.Inch, path)
}

// minLatency and maxLatency are the limits of the latency axis in ms. Deadlines are 2,500 to 6,000 ms; the legend needs space above them.
const (
	minLatency = 100
	maxLatency = 30_000
)

// WriteLatency writes a PNG file with the median and the 99th percentile of each kind of request by day, and a thin line for the latency
// aim of a kind. The latency axis is logarithmic.
func WriteLatency(days []Day, aims map[string]time.Duration, path string) (err error) {
	defer func() { err = errors.Wrap(err, "plot") }()
	if len(days) == 0 {
		return errors.New("no reports")
	}
	drw := plot.New()
	drw.Title.Text = "latency by kind and day: median, p99; thin: aim"
	drw.Y.Label.Text = "ms"
	drw.Y.Scale, drw.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	drw.Y.Min, drw.Y.Max = minLatency, maxLatency
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
		line := plotter.XYs{{X: 0, Y: toMilliseconds(aim)}, {X: float64(len(days) - 1), Y: toMilliseconds(aim)}}
		if err = addDashed(drw, plotutil.Color(num), line); err != nil {
			return err
		}
	}
	return drw.Save(7*vg.Inch, 4*vg.Inch, path)
}

// latencies returns the points of a kind. Days without a latency are omitted, since a logarithmic axis has no zero.
func latencies(days []Day, name string) (median, p99 plotter.XYs) {
	for num, day := range days {
		for _, knd := range day.Kinds {
			if knd.Name == name && knd.Median > 0 {
				median = append(median, plotter.XY{X: float64(num), Y: toMilliseconds(knd.Median)})
				p99 = append(p99, plotter.XY{X: float64(num), Y: toMilliseconds(knd.P99)})
			}
		}
	}
	return median, p99
}

func toMilliseconds(dur time.Duration) (num float64) { return float64(dur) / float64(time.Millisecond) }

// addPoints adds a line with points in the palette color num. A line with an empty name gets no legend entry.
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

// addDashed adds a thin dashed line.
func addDashed(drw *plot.Plot, col color.Color, points plotter.XYs) (err error) {
	lin, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	lin.Color, lin.Dashes = col, plotutil.Dashes(1)
	lin.Width = vg.Points(0.5)
	drw.Add(lin)
	return nil
}
