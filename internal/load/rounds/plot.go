package rounds

import (
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
		lin, pts, err := plotter.NewLinePoints(worth)
		if err != nil {
			return err
		}
		lin.Color, pts.Color = plotutil.Color(num), plotutil.Color(num)
		lin.Width = vg.Points(1.5)
		thin, err := plotter.NewLine(mark)
		if err != nil {
			return err
		}
		thin.Color, thin.Dashes = plotutil.Color(num), plotutil.Dashes(1)
		thin.Width = vg.Points(0.5)
		drw.Add(lin, pts, thin)
		drw.Legend.Add(site, lin)
	}
	return drw.Save(6*vg.Inch, 3.5*vg.Inch, path)
}
