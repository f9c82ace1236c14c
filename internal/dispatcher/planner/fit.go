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
func (x *Fit) warn(format string, v ...any) {
	x.Warnings = append(x.Warnings, fmt.Sprintf(format, v...))
}

// addFigure adds a fitted value.
func (x *Fit) addFigure(name string, value, halfWidth float64, rows int) {
	x.Figures = append(x.Figures, Figure{Name: name, Value: value, HalfWidth: halfWidth, Rows: rows})
}

// FitCapture fits a load and the properties of a fleet's workers to captures of any number of dispatchers. If the fleet
// gives speeds of workers, the fitted speeds are on the same scale.
func FitCapture(s *capture.Set, f *fleetsim.Fleet) (*Fit, error) {
	if len(s.Requests) == 0 {
		return nil, errors.New("the captures hold no tries")
	}
	x := &Fit{Load: &fleetsim.Load{Factor: 1}, kindSpeed: map[string]fleetsim.Range{}, kindSlots: map[string]int{}, kindQueue: map[string]int{}, pathMs: map[path]float64{}}
	x.Warnings = append(x.Warnings, s.Warnings...)
	if s.DroppedRows > 0 {
		x.warn("%d rows could not be kept by the recorders: rates are that much too low", s.DroppedRows)
	}
	x.checkClocks(s.Requests)
	x.fitArrivals(s.Requests, f)
	x.fitRunTimes(s.Attempts, f)
	x.fitNetwork(s.Attempts)
	x.fitCapacity(s.Attempts)
	x.fitRetries(s.Requests)
	return x, nil
}

// FillFleet returns a copy of the fleet in which missing values are filled in from the captures, as far as these show
// them.
func (x *Fit) FillFleet(f *fleetsim.Fleet) *fleetsim.Fleet {
	out := *f
	out.Kinds = slices.Clone(f.Kinds)
	for i := range out.Kinds {
		k := &out.Kinds[i]
		if r, ok := x.kindSpeed[k.Name]; ok && k.Speed == (fleetsim.Range{}) {
			k.Speed = r
		}
		if n := x.kindSlots[k.Name]; n > 0 && k.Slots == 0 {
			k.Slots = n
		}
		if n := x.kindQueue[k.Name]; n > 0 && k.Queue == 0 {
			k.Queue = n
		}
	}
	out.SameZoneMs, out.CrossZoneMs = cmp.Or(f.SameZoneMs, x.sameZoneMs), cmp.Or(f.CrossZoneMs, x.crossZoneMs)
	return &out
}

// Extrapolations returns a message for each respect in which a load goes beyond the captured traffic.
func (x *Fit) Extrapolations(l *fleetsim.Load) (out []string) {
	peak := 0.0
	for _, p := range l.Rate {
		peak = max(peak, p.PerSecond*max(l.Factor, 1))
	}
	if peak > 1.2*x.PeakPerSecond {
		out = append(out, fmt.Sprintf("the plan has up to %.0f jobs a second, the capture no more than %.0f: what lies beyond is the model's word alone", peak, x.PeakPerSecond))
	}
	if len(l.Bursts) > 0 && len(x.Load.Bursts) == 0 {
		out = append(out, "the plan has bursts of universities, the capture has none: what repeats and refusals do then is the model's word alone")
	}
	return out
}

// checkClocks warns of each dispatcher whose wall clock stepped while it ran.
func (x *Fit) checkClocks(tries []capture.Request) {
	type process struct {
		node string
		boot int64
	}
	least, most := map[process]int64{}, map[process]int64{}
	for _, t := range tries {
		p := process{t.Node, t.Boot}
		if _, ok := least[p]; !ok {
			least[p], most[p] = t.ClockOffset, t.ClockOffset
		}
		least[p], most[p] = min(least[p], t.ClockOffset), max(most[p], t.ClockOffset)
	}
	for p := range least {
		if d := float64(most[p]-least[p]) / 1e9; d > 0.1 {
			x.warn("the calendar of %s stepped by %.1f s: its times are those of its start, others' may lie aside", p.node, d)
		}
	}
	slices.Sort(x.Warnings)
}
