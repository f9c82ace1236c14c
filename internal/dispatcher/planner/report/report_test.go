package report

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gladepick/internal/dispatcher/planner"
)

// TestPageHasTextAndPlots fails if the page lacks the escaped text or a plot as SVG or PNG, or if a write that fails
// leaves a file behind.
func TestPageHasTextAndPlots(t *testing.T) {
	p := Page{Goal: "service >= 0.9 & <more>", Table: "a table",
		Sizing:     &planner.Sizing{Curve: []planner.Sample{{Workers: 8, Score: planner.Estimate{Mean: 0.8, HalfWidth: 0.1}}, {Workers: 9, Score: planner.Estimate{Mean: 0.95, HalfWidth: 0.02}, Holds: true}}},
		ZoneLosses: []planner.ZoneLoss{{Zone: "montreal", Seconds: []float64{0, 4, 9, 1}}, {Zone: "montreal", Spares: true, Seconds: []float64{0, 2, 3, 1}}}}
	path := filepath.Join(t.TempDir(), "plan.html")
	if err := Write(path, p); err != nil {
		t.Fatal(err)
	}
	written, _ := os.ReadFile(path)
	text := string(written)
	for _, part := range []string{"service &gt;= 0.9 &amp; &lt;more&gt;", "a table", "Service score against workers", "Worth lost with a zone", "montreal with spares"} {
		if !strings.Contains(text, part) {
			t.Errorf("the page lacks %q", part)
		}
	}
	if svg, png := strings.Count(text, "<svg"), strings.Count(text, "data:image/png;base64,iVBOR"); svg != 2 || png != 2 {
		t.Errorf("the page has %d plots as SVG and %d as PNG, want 2 of each", svg, png)
	}
	dir := t.TempDir()
	if err := Write(filepath.Join(dir, "none", "plan.html"), p); err == nil {
		t.Error("Write succeeds in a directory that does not exist")
	}
	if left, _ := os.ReadDir(dir); len(left) > 0 {
		t.Errorf("the failed write left %v", left)
	}
}
