package benchreport

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const sampleReport = `{
  "G": 0.75,
  "parts": [["whole day", 0.4, 0.9], ["worst windows", 0.6, 0.7]],
  "prices": [["machines", 120.5, 0.02], ["probes", 0, 0]],
  "classes": [
    {"name": "orders", "n": 10, "in_aim": 9, "late": 1, "refused": 0, "failed": 0, "not_owed": 0, "worth": 0.95},
    {"name": "payouts", "n": 10, "in_aim": 5, "late": 2, "refused": 1, "failed": 2, "not_owed": 0, "worth": 0.6}],
  "windows": [
    {"name": "0", "n": 8, "in_aim": 8, "worth": 1},
    {"name": "2", "n": 8, "in_aim": 2, "failed": 6, "worth": 0.25},
    {"name": "4", "n": 4, "in_aim": 4, "worth": 0.9}],
  "events": [
    {"at_s": 1, "to_s": 2, "kind": "over"},
    {"at_s": 1.5, "to_s": 3, "kind": "node_kill", "what": "store-1"},
    {"at_s": 3.9, "to_s": 9, "kind": "config_change"},
    {"at_s": 4, "to_s": 5, "kind": "later"}],
  "unknown": {"fields": "are ignored"}
}`

func sample(t *testing.T) *Report {
	report, err := Parse([]byte(sampleReport))
	assert.NilError(t, err)
	return report
}

func TestLossesComeLargestFirst(t *testing.T) {
	losses := NewLossReport("day", sample(t), 1)
	assert.Equal(t, losses.Value, 0.75)
	var names []string
	for _, loss := range losses.Losses {
		names = append(names, loss.Name)
	}
	assert.DeepEqual(t, names, []string{"worst windows", "whole day", "machines"})
	assert.Assert(t, losses.Losses[0].Lost > 0.179 && losses.Losses[0].Lost < 0.181)
	assert.Equal(t, losses.Classes[0].Name, "payouts")
}

func TestWorstSpansListOverlappingEvents(t *testing.T) {
	losses := NewLossReport("day", sample(t), 2)
	assert.Equal(t, len(losses.Spans), 2)
	assert.Equal(t, losses.Spans[0].Name, "2")
	assert.Equal(t, kindsOf(losses.Spans[0].Events), "node_kill, config_change")
	assert.Equal(t, kindsOf(losses.Spans[1].Events), "config_change, later")
	assert.Equal(t, len(NewLossReport("day", sample(t), 10).Spans), 3)
}

func TestMeansOverDays(t *testing.T) {
	one, other := NewLossReport("one", sample(t), 1), NewLossReport("other", sample(t), 1)
	other.Value = 0.85
	other.Losses = other.Losses[:2] // no price for machines
	means := MeansOf([]*LossReport{one, other})
	assert.Equal(t, means[0].Name, "worth")
	assert.Assert(t, means[0].Mean > 0.799 && means[0].Mean < 0.801)
	assert.Assert(t, means[0].Error > 0.049 && means[0].Error < 0.051)
	last := means[len(means)-1]
	assert.Equal(t, last.Name, "machines")
	assert.Equal(t, last.Mean, 0.01)
	assert.Equal(t, MeansOf([]*LossReport{one})[0].Error, 0.)
}

func TestInvalidReportsAreRejected(t *testing.T) {
	for _, text := range []string{
		"", "[]", "{}",
		`{"parts":[["whole day",1]],"windows":[{"name":"0"}]}`,
		`{"parts":[["whole day",1,1]],"windows":[{"name":"first"}]}`,
	} {
		_, err := Parse([]byte(text))
		assert.Assert(t, err != nil, "%q", text)
	}
	_, err := Read(filepath.Join(t.TempDir(), "missing.json"))
	assert.ErrorContains(t, err, "missing.json")
}

func TestPrintedLosses(t *testing.T) {
	var out bytes.Buffer
	losses := NewLossReport("day", sample(t), 1)
	assert.NilError(t, losses.Print(&out))
	for _, part := range []string{"worth 0.750", "0.1800", "worst windows", "payouts", "node_kill, config_change"} {
		assert.Assert(t, strings.Contains(out.String(), part), "%s lacks %q", out.String(), part)
	}
	assert.Assert(t, !strings.Contains(out.String(), "probes"), "a price without a loss is printed")
	out.Reset()
	assert.NilError(t, PrintMeans(&out, MeansOf([]*LossReport{losses, losses})))
	assert.Assert(t, strings.Contains(out.String(), "0.7500"))
}

func TestPlotIsDrawn(t *testing.T) {
	path := filepath.Join(t.TempDir(), "worth.svg")
	assert.NilError(t, Plot(path, []*LossReport{NewLossReport("day", sample(t), 1)}))
	drawn, err := os.ReadFile(path)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(drawn), "second of the day"))
}
