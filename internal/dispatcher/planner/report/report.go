// Package report turns what the planner found into one HTML page with plots. It
// must never work anything out that the planner has not, nor leave half a page.
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

// Page is what a page shows.
type Page struct {
	Goal       string
	Table      string // the table that a person reads first
	Sizing     *planner.Sizing
	ZoneLosses []planner.ZoneLoss
}

// picture is a plot in both forms.
type picture struct {
	Title string
	SVG   template.HTML
	PNG   template.URL
}

const (
	width  = 18 * vg.Centimeter
	height = 9 * vg.Centimeter
)

var colours = []color.Color{color.RGBA{31, 119, 180, 255}, color.RGBA{214, 96, 18, 255}, color.RGBA{44, 140, 44, 255}, color.RGBA{150, 70, 170, 255}}

var page = template.Must(template.New("page").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>gladepick plan</title>
<style>body{font-family:sans-serif;max-width:60em;margin:2em auto;padding:0 1em}pre{overflow:auto;background:#f4f4f4;padding:1em}svg{max-width:100%;height:auto}</style>
</head><body><h1>gladepick plan</h1><p>Goal: <code>{{.Goal}}</code></p><pre>{{.Text}}</pre>
{{range .Pictures}}<h2>{{.Title}}</h2>{{.SVG}}<p><a download="plot.png" href="{{.PNG}}">as PNG</a></p>
{{end}}</body></html>
`))

// Write puts the page into a file, whole or not at all.
func Write(path string, p Page) error {
	var pictures []picture
	for _, make := range []func(Page) (*plot.Plot, error){service, zones} {
		drawn, err := make(p)
		if err != nil {
			return err
		}
		if drawn == nil {
			continue
		}
		pic, err := render(drawn)
		if err != nil {
			return err
		}
		pictures = append(pictures, pic)
	}
	var out bytes.Buffer
	if err := page.Execute(&out, map[string]any{"Goal": p.Goal, "Text": p.Table, "Pictures": pictures}); err != nil {
		return err
	}
	f, err := os.CreateTemp(filepath.Dir(path), ".report-*")
	if err != nil {
		return err
	}
	defer os.Remove(f.Name())
	if _, err := f.Write(out.Bytes()); err != nil {
		f.Close()
		return err
	}
	if err := f.Close(); err != nil {
		return err
	}
	return os.Rename(f.Name(), path)
}

func render(p *plot.Plot) (picture, error) {
	vector, pixels := vgsvg.New(width, height), vgimg.New(width, height)
	p.Draw(draw.New(vector))
	p.Draw(draw.New(pixels))
	var svg, png bytes.Buffer
	if _, err := vector.WriteTo(&svg); err != nil {
		return picture{}, err
	}
	if _, err := (vgimg.PngCanvas{Canvas: pixels}).WriteTo(&png); err != nil {
		return picture{}, err
	}
	text := svg.Bytes()
	if at := bytes.Index(text, []byte("<svg")); at > 0 { // inside a page there is no prolog
		text = text[at:]
	}
	return picture{Title: p.Title.Text, SVG: template.HTML(text),
		PNG: template.URL("data:image/png;base64," + base64.StdEncoding.EncodeToString(png.Bytes()))}, nil
}

// curve is points with intervals.
type curve struct {
	plotter.XYs
	plotter.YErrors
}

// service plots the score against the number of workers, those that hold the goal apart from those that do not.
func service(page Page) (*plot.Plot, error) {
	if page.Sizing == nil || len(page.Sizing.Curve) == 0 {
		return nil, nil
	}
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = "Service score against workers", "workers", "score"
	all := slices.Clone(page.Sizing.Curve)
	slices.SortStableFunc(all, func(a, b planner.Sample) int { return a.Workers - b.Workers })
	for i, holds := range []bool{true, false} {
		var c curve
		for _, s := range all {
			if s.Holds == holds {
				c.XYs = append(c.XYs, plotter.XY{X: float64(s.Workers), Y: s.Service.Mean})
				c.YErrors = append(c.YErrors, struct{ Low, High float64 }{s.Service.HalfWidth, s.Service.HalfWidth})
			}
		}
		if len(c.XYs) == 0 {
			continue
		}
		points, err := plotter.NewScatter(c.XYs)
		if err != nil {
			return nil, err
		}
		bars, err := plotter.NewYErrorBars(c)
		if err != nil {
			return nil, err
		}
		points.Color, bars.Color = colours[i], colours[i]
		p.Add(points, bars)
		p.Legend.Add([]string{"holds the goal", "does not"}[i], points)
	}
	p.X.Min, p.X.Max = p.X.Min-0.5, p.X.Max+0.5
	p.Add(plotter.NewGrid())
	return p, nil
}

// zones plots the worth lost in each second, smoothed over three.
func zones(page Page) (*plot.Plot, error) {
	if len(page.ZoneLosses) == 0 {
		return nil, nil
	}
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = "Worth lost with a zone, over the day", "seconds", "worth a second"
	names := map[string]int{}
	for _, z := range page.ZoneLosses {
		if _, ok := names[z.Zone]; !ok {
			names[z.Zone] = len(names)
		}
		var xys plotter.XYs
		for i := range z.Seconds {
			from, to := max(i-1, 0), min(i+2, len(z.Seconds))
			sum := 0.0
			for _, v := range z.Seconds[from:to] {
				sum += v
			}
			xys = append(xys, plotter.XY{X: float64(i), Y: sum / float64(to-from)})
		}
		line, err := plotter.NewLine(xys)
		if err != nil {
			return nil, err
		}
		line.Color = colours[names[z.Zone]%len(colours)]
		label := z.Zone
		if z.Spares {
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
