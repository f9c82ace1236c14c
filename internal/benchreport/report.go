// Package benchreport says where the worth of measured days was lost: by the parts that a day's worth is made of, by kinds of
// requests, by spans of time with the disruptions that fell into them, and by prices. It reads the reports that the bench
// writes with --report.
package benchreport

import (
	"encoding/json"
	"fmt"
	"os"
	"strconv"

	"github.com/gravitational/trace"
)

// Report is what the bench reports of one day, as far as the ledger needs it.
type Report struct {
	Worth   float64 `json:"G"`
	Parts   []Part  `json:"parts"`
	Prices  []Price `json:"prices"`
	Classes []Count `json:"classes"`
	Windows []Count `json:"windows"`
	Events  []Event `json:"events"`
}

// Part is one of the figures that a day's worth is the weighted sum of.
type Part struct {
	Name   string
	Weight float64
	Value  float64
}

// Lost is what the part takes from the day's worth.
func (p Part) Lost() float64 { return p.Weight * (1 - p.Value) }

// UnmarshalJSON implements json.Unmarshaler: the bench writes a part as a list.
func (p *Part) UnmarshalJSON(text []byte) error {
	return unmarshalList(text, &p.Name, &p.Weight, &p.Value)
}

// Price is what one kind of use takes from the day's worth.
type Price struct {
	Name   string
	Amount float64
	Lost   float64
}

// UnmarshalJSON implements json.Unmarshaler: the bench writes a price as a list.
func (p *Price) UnmarshalJSON(text []byte) error {
	return unmarshalList(text, &p.Name, &p.Amount, &p.Lost)
}

// Count tells what became of some requests: those of a kind, or those of a span of time.
type Count struct {
	Name    string  `json:"name"` // the kind, or the second from which the span lasts
	Asked   int     `json:"n"`
	InAim   int     `json:"in_aim"`
	Late    int     `json:"late"`
	Refused int     `json:"refused"`
	Failed  int     `json:"failed"`
	NotOwed int     `json:"not_owed"`
	Worth   float64 `json:"worth"` // earned, of what is owed
}

// Event is a disruption or a planned change.
type Event struct {
	From float64 `json:"at_s"`
	To   float64 `json:"to_s"`
	Kind string  `json:"kind"`
	What string  `json:"what"`
}

// Read reads a report. An error names the file.
func Read(path string) (*Report, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	report, err := Parse(text)
	return report, trace.Wrap(err, "%s", path)
}

// Parse reads a report from its text.
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

// start is the second from which a span of time lasts.
func (c Count) start() (float64, error) {
	start, err := strconv.ParseFloat(c.Name, 64)
	if err != nil {
		return 0, trace.BadParameter("window %q does not begin at a second", c.Name)
	}
	return start, nil
}

// unmarshalList reads the elements of a list, which must be as many as the places for them.
func unmarshalList(text []byte, places ...any) error {
	var elements []json.RawMessage
	if err := json.Unmarshal(text, &elements); err != nil {
		return err
	}
	if len(elements) != len(places) {
		return fmt.Errorf("a list of %d elements, not %d", len(elements), len(places))
	}
	for i, place := range places {
		if err := json.Unmarshal(elements[i], place); err != nil {
			return err
		}
	}
	return nil
}
