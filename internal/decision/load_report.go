package decision

import "math"

// Load is a worker's report of its load: Count values, placed as Settings.Report says.
type Load struct {
	Count  int
	Values [4]float64
}

// LoadReportLayout names the positions of the values in a Load, -1 where a value is absent.
type LoadReportLayout struct {
	FreeSlots, FreeMemory, Queue, InFlight, Util, Errors int
}

// QueuedSlots is the slots that a worker has promised beyond those it has, as far as it reports them: below
// zero where some are free. An absurd value counts as a long queue.
func (layout LoadReportLayout) QueuedSlots(load *Load) float64 {
	queued := 0.0
	if layout.has(load, layout.FreeSlots) {
		queued -= load.Values[layout.FreeSlots]
	}
	if layout.has(load, layout.Queue) {
		queued += load.Values[layout.Queue]
	}
	if !(math.Abs(queued) < math.MaxInt32) { // not a number, too
		return math.MaxInt32
	}
	return queued
}

// TotalSlots is how many slots a worker has, as far as it reports it: known while some are free, 0 otherwise.
func (layout LoadReportLayout) TotalSlots(load *Load) float64 {
	if !layout.has(load, layout.FreeSlots) || !layout.has(load, layout.InFlight) {
		return 0
	}
	if !(load.Values[layout.FreeSlots] > 0) { // not a number, too
		return 0
	}
	return load.Values[layout.FreeSlots] + load.Values[layout.InFlight]
}

// has tells whether a report has a value at a position.
func (LoadReportLayout) has(load *Load, position int) bool {
	return position >= 0 && position < min(load.Count, len(load.Values))
}
