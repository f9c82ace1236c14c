package decision

import "math"

// Load is a worker's load report. The first Count values are set, at the positions that Settings.Report
// gives.
type Load struct {
	Count  int
	Values [4]float64
}

// LoadReportLayout gives the position of each value in a Load, -1 for a value that is absent.
type LoadReportLayout struct {
	FreeSlots, FreeMemory, Queue, InFlight, Util, Errors int
}

// QueuedSlots returns the reported demand for slots beyond the slots that the worker has. The result is
// negative if slots are free. An absurd report counts as a very long queue.
func (layout LoadReportLayout) QueuedSlots(load *Load) float64 {
	queued := 0.0
	if layout.has(load, layout.FreeSlots) {
		queued -= load.Values[layout.FreeSlots]
	}
	if layout.has(load, layout.Queue) {
		queued += load.Values[layout.Queue]
	}
	if !(math.Abs(queued) < math.MaxInt32) { // also catches NaN
		return math.MaxInt32
	}
	return queued
}

// TotalSlots returns the number of slots of a worker as reported, or 0 if it is unknown. It is known only
// while some slots are free.
func (layout LoadReportLayout) TotalSlots(load *Load) float64 {
	if !layout.has(load, layout.FreeSlots) || !layout.has(load, layout.InFlight) {
		return 0
	}
	if !(load.Values[layout.FreeSlots] > 0) { // also catches NaN
		return 0
	}
	return load.Values[layout.FreeSlots] + load.Values[layout.InFlight]
}

// has reports whether a report contains a value at a position.
func (LoadReportLayout) has(load *Load, position int) bool {
	return position >= 0 && position < min(load.Count, len(load.Values))
}
