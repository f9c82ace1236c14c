package benchreport

import (
	"cmp"
	"slices"
)

// Ledger is a day's losses, the largest first in each list.
type Ledger struct {
	Name    string   `json:"name"`
	Worth   float64  `json:"worth"`
	Losses  []Loss   `json:"losses"`  // of parts and prices
	Classes []Count  `json:"classes"` // kinds of requests, the one that earned least first
	Spans   []Span   `json:"spans"`   // spans of time, the one that earned least first
	Course  []Moment `json:"course"`  // the worth of all spans, by time
}

// Loss is what a part or a price takes from the worth of 1 that a perfect day without costs has.
type Loss struct {
	Name string  `json:"name"`
	Lost float64 `json:"lost"`
}

// Span is a span of time with the events that touched it.
type Span struct {
	Count
	Events []Event `json:"events"`
}

// Moment is the worth earned of requests that came in the span from a second on.
type Moment struct {
	Second float64 `json:"second"`
	Worth  float64 `json:"worth"`
}

// Of makes the ledger of a report, with as many spans of time as are asked for.
func Of(name string, report *Report, spans int) *Ledger {
	made := &Ledger{Name: name, Worth: report.Worth, Classes: slices.Clone(report.Classes)}
	for _, part := range report.Parts {
		made.addLoss(part.Name, part.Lost())
	}
	for _, price := range report.Prices {
		made.addLoss(price.Name, price.Lost)
	}
	slices.SortStableFunc(made.Losses, func(a, b Loss) int { return cmp.Compare(b.Lost, a.Lost) })
	slices.SortStableFunc(made.Classes, byWorth)
	made.Course = course(report.Windows)
	made.Spans = worstSpans(report, spans)
	return made
}

func (l *Ledger) addLoss(name string, lost float64) {
	if lost > 0 {
		l.Losses = append(l.Losses, Loss{name, lost})
	}
}

func byWorth(a, b Count) int { return cmp.Compare(a.Worth, b.Worth) }

func course(windows []Count) []Moment {
	var moments []Moment
	for _, window := range windows {
		if start, err := window.start(); err == nil {
			moments = append(moments, Moment{start, window.Worth})
		}
	}
	return moments
}

// worstSpans returns the spans that earned least.
func worstSpans(report *Report, most int) []Span {
	worst := slices.Clone(report.Windows)
	slices.SortStableFunc(worst, byWorth)
	var spans []Span
	for _, window := range worst[:min(most, len(worst))] {
		spans = append(spans, Span{window, eventsIn(report, window)})
	}
	return spans
}

// eventsIn returns the events that touched a span.
func eventsIn(report *Report, window Count) []Event {
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

// spanLength is how long the report's spans last: the least distance of their beginnings.
func spanLength(report *Report) float64 {
	moments := course(report.Windows)
	length := 0.0
	for i := 1; i < len(moments); i++ {
		distance := moments[i].Second - moments[i-1].Second
		if length == 0 || distance > 0 && distance < length {
			length = distance
		}
	}
	return length
}
