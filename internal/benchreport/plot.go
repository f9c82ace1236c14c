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

// Plot draws the value of each day over time into the file at path. The extension selects the format: .svg, .png or
// .pdf.
func Plot(path string, days []*LossReport) error {
	drawing := plot.New()
	drawing.X.Label.Text = "second of the day"
	drawing.Y.Label.Text = "worth earned, of what is owed"
	drawing.Y.Min, drawing.Y.Max = 0, 1
	var lines []any
	for _, day := range days {
		points := make(plotter.XYs, 0, len(day.Timeline))
		for _, sample := range day.Timeline {
			points = append(points, plotter.XY{X: sample.Second, Y: sample.Value})
		}
		lines = append(lines, day.Name, points)
	}
	if err := plotutil.AddLinePoints(drawing, lines...); err != nil {
		return trace.Wrap(err, "drawing")
	}
	return trace.Wrap(drawing.Save(plotWidth, plotHeight, path), "drawing into %s", path)
}
