// Package benchreport breaks down where measured days lost value: by the parts of the weighted sum that is a day's
// value, by the prices of resources, by kinds of requests, and by time spans with the disruptions that overlap them.
//
// A Report is what the bench writes with --report; Read and Parse read it. NewLossReport computes a LossReport from it.
// LossReport.Print writes the losses as text, Plot draws them, and encoding/json encodes them; MeansOf averages several
// days. The names in JSON are those of the bench and differ from the Go names. The package has no state and starts no
// goroutines.
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

// Report holds the fields of the bench's report of one day that this package uses.
type Report struct {
	Value   float64         `json:"G"`
	Parts   []Part          `json:"parts"`
	Prices  []Price         `json:"prices"`
	Classes []RequestCounts `json:"classes"`
	Windows []RequestCounts `json:"windows"`
	Events  []Event         `json:"events"`
}

// Part is one term of the weighted sum that is the day's value.
type Part struct {
	Name   string
	Weight float64
	Value  float64
}

// Lost returns the value that the day loses to the part.
func (p Part) Lost() float64 { return p.Weight * (1 - p.Value) }

// UnmarshalJSON implements json.Unmarshaler: the bench writes a part as a list.
func (p *Part) UnmarshalJSON(text []byte) error {
	return unmarshalList(text, &p.Name, &p.Weight, &p.Value)
}

// Price is the value that the day loses to the use of one kind of resource.
type Price struct {
	Name   string
	Amount float64
	Lost   float64
}

// UnmarshalJSON implements json.Unmarshaler: the bench writes a price as a list.
func (p *Price) UnmarshalJSON(text []byte) error {
	return unmarshalList(text, &p.Name, &p.Amount, &p.Lost)
}

// RequestCounts counts the requests of one kind or of one time span by their outcome.
type RequestCounts struct {
	Name     string  `json:"name"` // the kind, or the second of the day at which the time span begins
	Total    int     `json:"n"`
	OnTime   int     `json:"in_aim"`
	Late     int     `json:"late"`
	Rejected int     `json:"refused"`
	Failed   int     `json:"failed"`
	NotOwed  int     `json:"not_owed"`
	Value    float64 `json:"worth"` // earned, as a share of what is owed
}

// Event is a disruption or a planned change. From and To are seconds of the day.
type Event struct {
	From float64 `json:"at_s"`
	To   float64 `json:"to_s"`
	Kind string  `json:"kind"`
	What string  `json:"what"`
}

// Read reads a report from a file. Its errors name the file.
func Read(path string) (*Report, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	report, err := Parse(text)
	return report, trace.Wrap(err, "%s", path)
}

// Parse parses the JSON text of a report and ignores unknown fields. It returns trace.BadParameter if the text has no
// parts or no windows, or if the name of a window is not a number.
func Parse(text []byte) (*Report, error) {
	var report Report
	if err := json.Unmarshal(text, &report); err != nil {
		return nil, trace.Wrap(err, "not the report of a day")
	}
	if len(report.Parts) == 0 || len(report.Windows) == 0 {
		return nil, trace.BadParameter("not the report of a day: parts or windows are missing")
	}
	for _, window := range report.Windows {
		if _, err := window.start(); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	return &report, nil
}

// start returns the second of the day at which the time span begins. It applies only to the counts of a time span.
func (c RequestCounts) start() (float64, error) {
	start, err := strconv.ParseFloat(c.Name, 64)
	if err != nil {
		return 0, trace.BadParameter("the name of window %q is not a number of seconds", c.Name)
	}
	return start, nil
}

// unmarshalList decodes a JSON list into targets, one element each. The list must have as many elements as there are
// targets.
func unmarshalList(text []byte, targets ...any) error {
	var elements []json.RawMessage
	if err := json.Unmarshal(text, &elements); err != nil {
		return err
	}
	if len(elements) != len(targets) {
		return fmt.Errorf("the list has %d elements, want %d", len(elements), len(targets))
	}
	for i, target := range targets {
		if err := json.Unmarshal(elements[i], target); err != nil {
			return err
		}
	}
	return nil
}
