package scale

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/gravitational/trace"
	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	p99      = 0.99
	middle   = 0.5
	greatest = 1.0
	kilobyte = 1000.0
	megabyte = 1e6
	percent  = 100.0
)

// quantity is one column of the table that is also plotted and fitted.
type quantity struct {
	name  string
	value func(Result) float64
}

var quantities = []quantity{
	{"calm B/s each", func(r Result) float64 { return r.Calm.Bytes }},
	{"day B/s each", func(r Result) float64 { return r.Day.Bytes }},
	{"calm cpu % each", func(r Result) float64 { return r.Calm.HollowProcessor * percent }},
	{"day cpu % each", func(r Result) float64 { return r.Day.HollowProcessor * percent }},
	{"memory kB each", func(r Result) float64 { return r.Day.HollowMemory / kilobyte }},
	{"calm members cpu %", func(r Result) float64 { return r.Calm.MemberProcessor * percent }},
	{"day members cpu %", func(r Result) float64 { return r.Day.MemberProcessor * percent }},
	{"largest member MB", func(r Result) float64 { return r.Day.MemberMemory / megabyte }},
	{"change p50 ms", lag(func(r Result) []time.Duration { return r.DayLags }, middle)},
	{"change p99 ms", lag(func(r Result) []time.Duration { return r.DayLags }, p99)},
	{"change max ms", lag(func(r Result) []time.Duration { return r.DayLags }, greatest)},
	{"storm p99 ms", lag(func(r Result) []time.Duration { return r.StormLags }, p99)},
	{"storm max ms", lag(func(r Result) []time.Duration { return r.StormLags }, greatest)},
	{"restarted max ms", lag(func(r Result) []time.Duration { return r.StormStarts }, greatest)},
	{"declared max ms", lag(func(r Result) []time.Duration { return r.Declared }, greatest)},
	{"boot s", func(r Result) float64 { return r.Boot.Seconds() }},
}

func lag(samples func(Result) []time.Duration, part float64) func(Result) float64 {
	return func(r Result) float64 {
		return float64(quantile(samples(r), part).Microseconds()) / kilobyte
	}
}

// WriteTable writes the results, and the line through them: value = base + slope * dispatchers.
func WriteTable(destination io.Writer, results []Result) error {
	table := tabwriter.NewWriter(destination, 0, 0, 2, ' ', tabwriter.AlignRight)
	header := []string{""}
	for _, result := range results {
		header = append(header, fmt.Sprintf("%d", result.Dispatchers))
	}
	header = append(header, "base", "slope/1000", "")
	fmt.Fprintln(table, strings.Join(header, "\t"))
	for _, quantity := range quantities {
		row := []string{quantity.name}
		for _, result := range results {
			row = append(row, fmt.Sprintf("%.4g", quantity.value(result)))
		}
		base, slope := fit(quantity, results)
		row = append(row, fmt.Sprintf("%.4g", base), fmt.Sprintf("%.4g", slope*1000), "")
		fmt.Fprintln(table, strings.Join(row, "\t"))
	}
	for _, result := range results {
		fmt.Fprintf(table, "%d:\t%d changes, %d restarts, %d failures in the day; %d of the operator's calls repeated; settled before: %t\t\n",
			result.Dispatchers, result.Changes, result.Restarts, result.Failures, result.Repeated, result.Settled)
	}
	return trace.Wrap(table.Flush())
}

// fit draws a line through a quantity's values by the method of least squares.
func fit(quantity quantity, results []Result) (base, slope float64) {
	if len(results) < 2 {
		if len(results) == 1 {
			return quantity.value(results[0]), 0
		}
		return 0, 0
	}
	sizes, values := columns(quantity, results)
	return stat.LinearRegression(sizes, values, nil, false)
}

func columns(quantity quantity, results []Result) (sizes, values []float64) {
	for _, result := range results {
		sizes = append(sizes, float64(result.Dispatchers))
		values = append(values, quantity.value(result))
	}
	return sizes, values
}

const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// Plot draws quantities whose names begin alike against the number of dispatchers, in a file.
func Plot(path, title string, prefixes []string, results []Result) error {
	drawing := plot.New()
	drawing.Title.Text = title
	drawing.X.Label.Text = "dispatchers"
	drawing.Legend.Top = true
	for number, quantity := range quantities {
		if !hasPrefix(quantity.name, prefixes) {
			continue
		}
		line, err := lineOf(quantity, results)
		if err != nil {
			return trace.Wrap(err)
		}
		line.Color = palette[number%len(palette)]
		drawing.Add(line)
		drawing.Legend.Add(quantity.name, line)
	}
	return trace.Wrap(drawing.Save(plotWidth, plotHeight, path))
}

func hasPrefix(name string, prefixes []string) bool {
	for _, prefix := range prefixes {
		if strings.HasPrefix(name, prefix) {
			return true
		}
	}
	return false
}

func lineOf(quantity quantity, results []Result) (*plotter.Line, error) {
	points := make(plotter.XYs, len(results))
	for i, result := range results {
		points[i].X, points[i].Y = float64(result.Dispatchers), quantity.value(result)
	}
	return plotter.NewLine(points)
}
