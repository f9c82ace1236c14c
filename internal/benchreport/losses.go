package benchreport

import (
	"cmp"
	"slices"
)

// LossReport breaks down the value that one day lost. A day without any loss or cost has the value 1. Each list except
// Timeline begins with the largest loss.
type LossReport struct {
	Name     string          `json:"name"`
	Value    float64         `json:"worth"`
	Losses   []Loss          `json:"losses"`  // by parts and prices
	Classes  []RequestCounts `json:"classes"` // kinds of requests, in ascending order of value
	Spans    []Span          `json:"spans"`   // time spans, in ascending order of value
	Timeline []Sample        `json:"course"`  // the value of every time span, in the order of the report
}

// Loss is the amount by which a part or a price lowers the day's value from its maximum of 1.
type Loss struct {
	Name string  `json:"name"`
	Lost float64 `json:"lost"`
}

// Span is a time span with its requests and the events that overlap it.
type Span struct {
	RequestCounts
	Events []Event `json:"events"`
}

// Sample is the value of the requests that arrived in the time span that begins at Second of the day.
type Sample struct {
	Second float64 `json:"second"`
	Value  float64 `json:"worth"`
}

// NewLossReport computes the losses of a report, with at most maxSpans of the worst time spans.
func NewLossReport(name string, report *Report, maxSpans int) *LossReport {
	losses := &LossReport{Name: name, Value: report.Value, Classes: slices.Clone(report.Classes)}
	for _, part := range report.Parts {
		losses.addLoss(part.Name, part.Lost())
	}
	for _, price := range report.Prices {
		losses.addLoss(price.Name, price.Lost)
	}
	slices.SortStableFunc(losses.Losses, func(a, b Loss) int { return cmp.Compare(b.Lost, a.Lost) })
	slices.SortStableFunc(losses.Classes, byValue)
	losses.Timeline = timeline(report.Windows)
	losses.Spans = worstSpans(report, maxSpans)
	return losses
}

func (l *LossReport) addLoss(name string, lost float64) {
	if lost > 0 {
		l.Losses = append(l.Losses, Loss{name, lost})
	}
}

func byValue(a, b RequestCounts) int { return cmp.Compare(a.Value, b.Value) }

func timeline(windows []RequestCounts) []Sample {
	var samples []Sample
	for _, window := range windows {
		if start, err := window.start(); err == nil {
			samples = append(samples, Sample{start, window.Value})
		}
	}
	return samples
}

// worstSpans returns the time spans with the lowest values, at most limit of them.
func worstSpans(report *Report, limit int) []Span {
	worst := slices.Clone(report.Windows)
	slices.SortStableFunc(worst, byValue)
	var spans []Span
	for _, window := range worst[:min(limit, len(worst))] {
		spans = append(spans, Span{window, eventsIn(report, window)})
	}
	return spans
}

// eventsIn returns the events that overlap a time span.
func eventsIn(report *Report, window RequestCounts) []Event {
	from, err := window.start()
	if err != nil {
		return nil
	}
	to := from + spanLength(report)
	var events []Event
	for _, event := range report.Events {
		if event.From < to && event.To > from {
			events = append(events, event)
		}
	}
	return events
}

// spanLength returns the length of the report's time spans in seconds: the smallest positive distance between the
// starts of successive spans.
func spanLength(report *Report) float64 {
	samples := timeline(report.Windows)
	length := 0.0
	for i := 1; i < len(samples); i++ {
		distance := samples[i].Second - samples[i-1].Second
		if length == 0 || distance > 0 && distance < length {
			length = distance
		}
	}
	return length
}
