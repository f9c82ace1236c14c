package report

import (
	"os"
	"path/filepath"
	"regexp"
	"testing"

	"gotest.tools/v3/golden"

	"gladepick/internal/dispatcher/planner"
)

var (
	svgElement = regexp.MustCompile(`(?s)<svg.*?</svg>`)
	svgText    = regexp.MustCompile(`(?s)<text[^>]*>(.*?)</text>`)
	pngData    = regexp.MustCompile(`(data:image/png;base64,)[^"]*`)
)

// pageStructure reduces each plot to its texts, as its lines depend on the plot library.
func pageStructure(page []byte) []byte {
	page = pngData.ReplaceAll(page, []byte("$1"))
	return svgElement.ReplaceAllFunc(page, func(svg []byte) []byte {
		out := []byte("<svg>\n")
		for _, match := range svgText.FindAllSubmatch(svg, -1) {
			out = append(append(out, match[1]...), '\n')
		}
		return append(out, "</svg>"...)
	})
}

// TestGoldenPage compares the structure and the texts of the page with recorded ones.
func TestGoldenPage(t *testing.T) {
	p := Page{Goal: "service >= 0.9 & <more>", Table: "a table\n  of two lines",
		Sizing: &planner.Sizing{Curve: []planner.Sample{
			{Workers: 9, Score: planner.Estimate{Mean: 0.95, HalfWidth: 0.02}, Holds: true},
			{Workers: 8, Score: planner.Estimate{Mean: 0.8, HalfWidth: 0.1}},
			{Workers: 10, Score: planner.Estimate{Mean: 0.97, HalfWidth: 0.01}, Holds: true}}},
		ZoneLosses: []planner.ZoneLoss{{Zone: "montreal", Seconds: []float64{0, 4, 9, 1}}, {Zone: "montreal", Spares: true, Seconds: []float64{0, 2, 3, 1}},
			{Zone: "sherbrooke", Seconds: []float64{1, 1, 2, 0}}}}
	for name, page := range map[string]Page{"page.html": p, "page-without-plots.html": {Goal: p.Goal, Table: p.Table}} {
		path := filepath.Join(t.TempDir(), "plan.html")
		if err := Write(path, page); err != nil {
			t.Fatal(err)
		}
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		golden.AssertBytes(t, pageStructure(text), name)
	}
}
