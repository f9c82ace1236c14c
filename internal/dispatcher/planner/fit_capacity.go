package planner

import (
	"cmp"
	"maps"
	"slices"

	"gladepick/internal/dispatcher/capture"
)

// fitCapacity fits each kind's slots to the number of jobs that ran at a worker at the same time, and its queue to the
// longest queue of a worker that rejected a job.
func (fit *Fit) fitCapacity(attempts []capture.Attempt) {
	edges, kind := map[string][]runEdge{}, map[string]string{}
	fullRejections := 0
	for _, attempt := range attempts {
		kind[attempt.Worker] = attempt.Kind
		if attempt.Started >= 0 && attempt.Ended > attempt.Started+overlapNanos {
			origin := attempt.Sent - int64(fit.pathMs[path{attempt.Node, attempt.Zone}]*1e6)
			edges[attempt.Worker] = append(edges[attempt.Worker], runEdge{origin + attempt.Started + overlapNanos, 1}, runEdge{origin + attempt.Ended, -1})
		}
		if attempt.Outcome == "full" {
			fullRejections++
			fit.kindQueue[attempt.Kind] = max(fit.kindQueue[attempt.Kind], int(attempt.Queue))
		}
	}
	for _, worker := range slices.Sorted(maps.Keys(edges)) {
		if slots := usedSlots(edges[worker]); slots > 0 {
			fit.kindSlots[kind[worker]] = max(fit.kindSlots[kind[worker]], slots)
		}
	}
	for _, k := range slices.Sorted(maps.Keys(fit.kindSlots)) {
		fit.addFigure("slots of "+k+", at least", float64(fit.kindSlots[k]), -1, 0)
	}
	if fullRejections == 0 {
		fit.warn("no job met a full worker: waiting rooms are not known, and slots only where all were seen at work")
	}
}

// overlapNanos is the time by which the start of a run is delayed. At a worker, one job ends and the next one starts at
// the same time, but their dispatchers learn of both at different times, due to the network's delays and their
// variation. The delays are subtracted; overlapNanos covers the variation.
const overlapNanos = 10e6

// minLevelShare is the share of a worker's busy time during which a number of jobs must have run together to count as
// its slots.
const minLevelShare = 0.002

// runEdge is the start (delta is 1) or the end (delta is -1) of a run, at a time in nanoseconds.
type runEdge struct {
	at    int64
	delta int
}

// usedSlots returns the greatest number of jobs that ran together at a worker for more than minLevelShare of its busy
// time, or 0.
func usedSlots(edges []runEdge) int {
	slices.SortFunc(edges, func(a, b runEdge) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.delta, b.delta)) })
	level, nanosAt := 0, map[int]int64{}
	for i := range edges {
		if i > 0 {
			nanosAt[level] += edges[i].at - edges[i-1].at
		}
		level += edges[i].delta
	}
	busy, above := int64(0), int64(0)
	for level, nanos := range nanosAt {
		if level > 0 {
			busy += nanos
		}
	}
	for level := len(edges); level > 0; level-- {
		if above += nanosAt[level]; float64(above) > minLevelShare*float64(busy) {
			return level
		}
	}
	return 0
}
