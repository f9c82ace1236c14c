// Package benchreport says where measured days lost value: by the parts that a day's value is the sum of, by kinds of
// requests, by spans of time with the disruptions that fell into them, and by prices.
//
// A Report is what the bench writes with --report; Read and Parse read it. NewLossReport works out a LossReport from it,
// which Print writes as text, Plot draws, and encoding/json encodes; MeansOf averages several days. The names in JSON are the
// bench's and older than the Go names. Nothing here has state or starts goroutines.
//
// Start reading at NewLossReport in losses.go.
package benchreport

import (
	"encoding/json"
	"fmt"
	"os"
	"strconv"

	"github.com/gravitational/trace"
)

// Report is what the bench reports of one day, as far as it is used here.
type Report struct {
	Value   float64         `json:"G"`
	Parts   []Part          `json:"parts"`
	Prices  []Price         `json:"prices"`
	Classes []RequestCounts `json:"classes"`
	Windows []RequestCounts `json:"windows"`
	Events  []Event         `json:"events"`
}

// Part is one of the figures that a day's value is the weighted sum of.
type Part struct {
	Name   string
	Weight float64
	Value  float64
}

// Lost is what the part takes from the day's value.
func (p Part) Lost() float64 { return p.Weight * (1 - p.Value) }

// UnmarshalJSON implements json.Unmarshaler: the bench writes a part as a list.
func (p *Part) UnmarshalJSON(text []byte) error {
	return unmarshalList(text, &p.Name, &p.Weight, &p.Value)
}

// Price is what the use of one kind of resource takes from the day's value.
type Price struct {
	Name   string
	Amount float64
	Lost   float64
}

// UnmarshalJSON implements json.Unmarshaler: the bench writes a price as a list.
func (p *Price) UnmarshalJSON(text []byte) error {
	return unmarshalList(text, &p.Name, &p.Amount, &p.Lost)
}

// RequestCounts tell what became of some requests: those of a kind, or those of a span of time.
type RequestCounts struct {
	Name     string  `json:"name"` // the kind, or the second at which the span begins
	Total    int     `json:"n"`
	OnTime   int     `json:"in_aim"`
	Late     int     `json:"late"`
	Rejected int     `json:"refused"`
	Failed   int     `json:"failed"`
	NotOwed  int     `json:"not_owed"`
	Value    float64 `json:"worth"` // earned, as a part of what is owed
}

// Event is a disruption or a planned change. Its times are in seconds of the day.
type Event struct {
	From float64 `json:"at_s"`
	To   float64 `json:"to_s"`
	Kind string  `json:"kind"`
	What string  `json:"what"`
}

// Read reads a report from a file. An error names the file.
func Read(path string) (*Report, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	report, err := Parse(text)
	return report, trace.Wrap(err, "%s", path)
}

// Parse reads a report from its JSON text. Fields that are not used are ignored; without parts or windows it is no report
// (trace.BadParameter).
func Parse(text []byte) (*Report, error) {
	var report Report
	if err := json.Unmarshal(text, &report); err != nil {
		return nil, trace.Wrap(err, "no report of a day")
	}
	if len(report.Parts) == 0 || len(report.Windows) == 0 {
		return nil, trace.BadParameter("no report of a day: parts or windows are missing")
	}
	for _, window := range report.Windows {
		if _, err := window.start(); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	return &report, nil
}

// start is the second at which a span of time begins.
func (c RequestCounts) start() (float64, error) {
	start, err := strconv.ParseFloat(c.Name, 64)
	if err != nil {
		return 0, trace.BadParameter("window %q does not begin at a second", c.Name)
	}
	return start, nil
}

// unmarshalList reads the elements of a JSON list into as many targets.
func unmarshalList(text []byte, targets ...any) error {
	var elements []json.RawMessage
	if err := json.Unmarshal(text, &elements); err != nil {
		return err
	}
	if len(elements) != len(targets) {
		return fmt.Errorf("a list of %d elements, not %d", len(elements), len(targets))
	}
	for i, target := range targets {
		if err := json.Unmarshal(elements[i], target); err != nil {
			return err
		}
	}
	return nil
}
