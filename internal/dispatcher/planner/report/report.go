// Package report writes the planner's answers as one HTML page with plots. It only presents what the planner has
// computed, and writes the page atomically. Start reading at Write.
package report

import (
	"bytes"
	"encoding/base64"
	"html/template"
	"image/color"
	"os"
	"path/filepath"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
	"gonum.org/v1/plot/vg/vgsvg"

	"gladepick/internal/dispatcher/planner"
)

// Page is the content of a page. A plot is left out if its answer is missing.
type Page struct {
	Goal       string
	Table      string // the answers as text
	Sizing     *planner.Sizing
	ZoneLosses []planner.ZoneLoss
}

// picture is a plot rendered as SVG and as PNG.
type picture struct {
	Title string
	SVG   template.HTML
	PNG   template.URL
}

const (
	pictureWidth  = 18 * vg.Centimeter
	pictureHeight = 9 * vg.Centimeter
)

var colours = []color.Color{color.RGBA{31, 119, 180, 255}, color.RGBA{214, 96, 18, 255}, color.RGBA{44, 140, 44, 255}, color.RGBA{150, 70, 170, 255}}

var pageTemplate = template.Must(template.New("page").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>gladepick plan</title>
<style>body{font-family:sans-serif;max-width:60em;margin:2em auto;padding:0 1em}pre{overflow:auto;background:#f4f4f4;padding:1em}svg{max-width:100%;height:auto}</style>
</head><body><h1>gladepick plan</h1><p>Goal: <code>{{.Goal}}</code></p><pre>{{.Text}}</pre>
{{range .Pictures}}<h2>{{.Title}}</h2>{{.SVG}}<p><a download="plot.png" href="{{.PNG}}">as PNG</a></p>
{{end}}</body></html>
`))

// Write writes the page to a file atomically.
func Write(path string, page Page) error {
	var pictures []picture
	for _, plotAnswer := range []func(Page) (*plot.Plot, error){plotScores, plotZoneLosses} {
		drawn, err := plotAnswer(page)
		if err != nil {
			return err
		}
		if drawn == nil {
			continue
		}
		rendered, err := render(drawn)
		if err != nil {
			return err
		}
		pictures = append(pictures, rendered)
	}
	var out bytes.Buffer
	if err := pageTemplate.Execute(&out, map[string]any{"Goal": page.Goal, "Text": page.Table, "Pictures": pictures}); err != nil {
		return err
	}
	return writeFileAtomically(path, out.Bytes())
}

// writeFileAtomically writes a temporary file in the directory of path and renames it to path.
func writeFileAtomically(path string, text []byte) error {
	f, err := os.CreateTemp(filepath.Dir(path), ".report-*")
	if err != nil {
		return err
	}
	defer os.Remove(f.Name())
	if _, err := f.Write(text); err != nil {
		f.Close()
		return err
	}
	if err := f.Close(); err != nil {
		return err
	}
	return os.Rename(f.Name(), path)
}

// render draws a plot as SVG and as PNG.
func render(drawn *plot.Plot) (picture, error) {
	vector, pixels := vgsvg.New(pictureWidth, pictureHeight), vgimg.New(pictureWidth, pictureHeight)
	drawn.Draw(draw.New(vector))
	drawn.Draw(draw.New(pixels))
	var svg, png bytes.Buffer
	if _, err := vector.WriteTo(&svg); err != nil {
		return picture{}, err
	}
	if _, err := (vgimg.PngCanvas{Canvas: pixels}).WriteTo(&png); err != nil {
		return picture{}, err
	}
	text := svg.Bytes()
	if start := bytes.Index(text, []byte("<svg")); start > 0 { // an SVG inside an HTML page has no XML prolog
		text = text[start:]
	}
	return picture{Title: drawn.Title.Text, SVG: template.HTML(text),
		PNG: template.URL("data:image/png;base64," + base64.StdEncoding.EncodeToString(png.Bytes()))}, nil
}

// curve is a list of points with confidence intervals.
type curve struct {
	plotter.XYs
	plotter.YErrors
}

// plotScores plots the score against the number of workers, or returns nil if there is no sizing. Fleets that hold the
// goal have a colour of their own.
func plotScores(page Page) (*plot.Plot, error) {
	if page.Sizing == nil || len(page.Sizing.Curve) == 0 {
		return nil, nil
	}
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = "Service score against workers", "workers", "score"
	samples := slices.Clone(page.Sizing.Curve)
	slices.SortStableFunc(samples, func(a, b planner.Sample) int { return a.Workers - b.Workers })
	for i, holds := range []bool{true, false} {
		var points curve
		for _, sample := range samples {
			if sample.Holds == holds {
				points.XYs = append(points.XYs, plotter.XY{X: float64(sample.Workers), Y: sample.Score.Mean})
				points.YErrors = append(points.YErrors, struct{ Low, High float64 }{sample.Score.HalfWidth, sample.Score.HalfWidth})
			}
		}
		if len(points.XYs) == 0 {
			continue
		}
		scatter, err := plotter.NewScatter(points.XYs)
		if err != nil {
			return nil, err
		}
		bars, err := plotter.NewYErrorBars(points)
		if err != nil {
			return nil, err
		}
		scatter.Color, bars.Color = colours[i], colours[i]
		p.Add(scatter, bars)
		p.Legend.Add([]string{"holds the goal", "does not"}[i], scatter)
	}
	p.X.Min, p.X.Max = p.X.Min-0.5, p.X.Max+0.5
	p.Add(plotter.NewGrid())
	return p, nil
}

// plotZoneLosses plots the value lost in each second, smoothed over three seconds, or returns nil if there are no
// losses.
func plotZoneLosses(page Page) (*plot.Plot, error) {
	if len(page.ZoneLosses) == 0 {
		return nil, nil
	}
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = "Worth lost with a zone, over the day", "seconds", "worth a second"
	colourIndex := map[string]int{} // index of each zone's colour
	for _, loss := range page.ZoneLosses {
		if _, ok := colourIndex[loss.Zone]; !ok {
			colourIndex[loss.Zone] = len(colourIndex)
		}
		line, err := plotter.NewLine(smooth(loss.Seconds))
		if err != nil {
			return nil, err
		}
		line.Color = colours[colourIndex[loss.Zone]%len(colours)]
		label := loss.Zone
		if loss.Spares {
			line.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}
			label += " with spares"
		}
		p.Add(line)
		p.Legend.Add(label, line)
	}
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	return p, nil
}

// smooth returns for each second the mean of its value and of its neighbours' values.
func smooth(seconds []float64) plotter.XYs {
	var points plotter.XYs
	for i := range seconds {
		from, to := max(i-1, 0), min(i+2, len(seconds))
		sum := 0.0
		for _, value := range seconds[from:to] {
			sum += value
		}
		points = append(points, plotter.XY{X: float64(i), Y: sum / float64(to-from)})
	}
	return points
}
