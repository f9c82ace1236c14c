package benchreport

import (
	"github.com/gravitational/trace"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// Plot draws the worth of several days over time into a file, whose extension names the format.
func Plot(path string, ledgers []*Ledger) error {
	drawing := plot.New()
	drawing.X.Label.Text = "second of the day"
	drawing.Y.Label.Text = "worth earned, of what is owed"
	drawing.Y.Min, drawing.Y.Max = 0, 1
	var lines []any
	for _, day := range ledgers {
		points := make(plotter.XYs, 0, len(day.Course))
		for _, moment := range day.Course {
			points = append(points, plotter.XY{X: moment.Second, Y: moment.Worth})
		}
		lines = append(lines, day.Name, points)
	}
	if err := plotutil.AddLinePoints(drawing, lines...); err != nil {
		return trace.Wrap(err, "drawing")
	}
	return trace.Wrap(drawing.Save(plotWidth, plotHeight, path), "drawing into %s", path)
}
