package planner

import (
	"cmp"
	"errors"
	"fmt"
	"slices"

	"gladepick/internal/dispatcher/capture"
	"gladepick/internal/dispatcher/fleetsim"
)

// Figure is one fitted value.
type Figure struct {
	Name      string  `json:"name"`
	Value     float64 `json:"value"`
	HalfWidth float64 `json:"reach"` // of the 95 % confidence interval; -1 if it is not known
	Rows      int     `json:"rows"`  // number of captured rows that the value is based on
}

// Fit holds the load and the properties of workers fitted to captures, with their confidence intervals, and warnings
// about what the captures do not show.
type Fit struct {
	Load          *fleetsim.Load `json:"load"`
	Figures       []Figure       `json:"figures"`
	Warnings      []string       `json:"warnings"`
	PeakPerSecond float64        `json:"peak"` // greatest number of requests within a second, without retries

	kindSpeed               map[string]fleetsim.Range
	kindSlots               map[string]int
	kindQueue               map[string]int
	sameZoneMs, crossZoneMs float64          // one-way delay within a zone and between zones
	pathMs                  map[path]float64 // one-way delay
}

// warn adds a warning.
func (fit *Fit) warn(format string, v ...any) {
	fit.Warnings = append(fit.Warnings, fmt.Sprintf(format, v...))
}

// addFigure adds a fitted value.
func (fit *Fit) addFigure(name string, value, halfWidth float64, rows int) {
	fit.Figures = append(fit.Figures, Figure{Name: name, Value: value, HalfWidth: halfWidth, Rows: rows})
}

// FitCapture fits a load and the properties of a fleet's workers to captures of any number of dispatchers. If the fleet
// gives speeds of workers, the fitted speeds are on the same scale.
func FitCapture(set *capture.Set, fleet *fleetsim.Fleet) (*Fit, error) {
	if len(set.Requests) == 0 {
		return nil, errors.New("the captures hold no tries")
	}
	fit := &Fit{Load: &fleetsim.Load{Factor: 1}, kindSpeed: map[string]fleetsim.Range{}, kindSlots: map[string]int{}, kindQueue: map[string]int{}, pathMs: map[path]float64{}}
	fit.Warnings = append(fit.Warnings, set.Warnings...)
	if set.DroppedRows > 0 {
		fit.warn("%d rows could not be kept by the recorders: rates are that much too low", set.DroppedRows)
	}
	fit.checkClocks(set.Requests)
	fit.fitArrivals(set.Requests, fleet)
	fit.fitRunTimes(set.Attempts, fleet)
	fit.fitNetwork(set.Attempts)
	fit.fitCapacity(set.Attempts)
	fit.fitRetries(set.Requests)
	return fit, nil
}

// FillFleet returns a copy of the fleet in which missing values are filled in from the captures, as far as these show
// them.
func (fit *Fit) FillFleet(fleet *fleetsim.Fleet) *fleetsim.Fleet {
	filled := *fleet
	filled.Kinds = slices.Clone(fleet.Kinds)
	for i := range filled.Kinds {
		kind := &filled.Kinds[i]
		if r, ok := fit.kindSpeed[kind.Name]; ok && kind.Speed == (fleetsim.Range{}) {
			kind.Speed = r
		}
		if n := fit.kindSlots[kind.Name]; n > 0 && kind.Slots == 0 {
			kind.Slots = n
		}
		if n := fit.kindQueue[kind.Name]; n > 0 && kind.Queue == 0 {
			kind.Queue = n
		}
	}
	filled.SameZoneMs, filled.CrossZoneMs = cmp.Or(fleet.SameZoneMs, fit.sameZoneMs), cmp.Or(fleet.CrossZoneMs, fit.crossZoneMs)
	return &filled
}

// Extrapolations returns a message for each respect in which a load goes beyond the captured traffic.
func (fit *Fit) Extrapolations(load *fleetsim.Load) (messages []string) {
	peak := 0.0
	for _, p := range load.Rate {
		peak = max(peak, p.PerSecond*max(load.Factor, 1))
	}
	if peak > 1.2*fit.PeakPerSecond {
		messages = append(messages, fmt.Sprintf("the plan has up to %.0f jobs a second, the capture no more than %.0f: what lies beyond is the model's word alone", peak, fit.PeakPerSecond))
	}
	if len(load.Bursts) > 0 && len(fit.Load.Bursts) == 0 {
		messages = append(messages, "the plan has bursts of universities, the capture has none: what repeats and refusals do then is the model's word alone")
	}
	return messages
}

// checkClocks warns of each dispatcher whose wall clock stepped while it ran.
func (fit *Fit) checkClocks(requests []capture.Request) {
	type process struct {
		node string
		boot int64
	}
	least, most := map[process]int64{}, map[process]int64{}
	for _, request := range requests {
		p := process{request.Node, request.Boot}
		if _, ok := least[p]; !ok {
			least[p], most[p] = request.ClockOffset, request.ClockOffset
		}
		least[p], most[p] = min(least[p], request.ClockOffset), max(most[p], request.ClockOffset)
	}
	for p := range least {
		if stepSeconds := float64(most[p]-least[p]) / 1e9; stepSeconds > 0.1 {
			fit.warn("the calendar of %s stepped by %.1f s: its times are those of its start, others' may lie aside", p.node, stepSeconds)
		}
	}
	slices.Sort(fit.Warnings)
}
