package planner

import (
	"maps"
	"slices"
	"sort"

	"gonum.org/v1/gonum/stat"

	"gladepick/internal/dispatcher/capture"
)

// path is the network path from a dispatcher to a zone.
type path struct{ node, zone string }

// fitNetwork fits the network's one-way delays. If a job starts as soon as it arrives, the report of its start reaches
// the dispatcher after one round trip. So half of the lower quartile of these times is the delay.
func (fit *Fit) fitNetwork(attempts []capture.Attempt) {
	delaysMs := map[path][]float64{}
	for _, attempt := range attempts {
		if attempt.Started >= 0 {
			delaysMs[path{attempt.Node, attempt.Zone}] = append(delaysMs[path{attempt.Node, attempt.Zone}], float64(attempt.Started)/2e6)
		}
	}
	leastMs, pathsMs := map[string]float64{}, map[string][]float64{}
	rows := 0
	for from, delays := range delaysMs {
		if len(delays) < 10 {
			continue
		}
		rows += len(delays)
		sort.Float64s(delays)
		quartile := stat.Quantile(0.25, stat.Empirical, delays, nil)
		fit.pathMs[from] = quartile
		pathsMs[from.node] = append(pathsMs[from.node], quartile)
		if least, ok := leastMs[from.node]; !ok || quartile < least {
			leastMs[from.node] = quartile
		}
	}
	var same, cross []float64
	for _, node := range slices.Sorted(maps.Keys(leastMs)) {
		same = append(same, leastMs[node])
		for _, quartile := range pathsMs[node] {
			if quartile > 3*leastMs[node] && quartile > 1 {
				cross = append(cross, quartile)
			}
		}
	}
	if len(same) > 0 {
		fit.sameZoneMs = stat.Mean(same, nil)
		fit.addFigure("one way within a zone, ms", fit.sameZoneMs, -1, rows)
	}
	if len(cross) > 0 {
		fit.crossZoneMs = stat.Mean(cross, nil)
		fit.addFigure("one way between zones, ms", fit.crossZoneMs, -1, rows)
	}
}
