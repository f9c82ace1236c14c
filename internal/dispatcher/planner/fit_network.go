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
func (x *Fit) fitNetwork(attempts []capture.Attempt) {
	all := map[path][]float64{}
	for _, a := range attempts {
		if a.Started >= 0 {
			all[path{a.Node, a.Zone}] = append(all[path{a.Node, a.Zone}], float64(a.Started)/2e6)
		}
	}
	near, far := map[string]float64{}, map[string][]float64{}
	rows := 0
	for w, v := range all {
		if len(v) < 10 {
			continue
		}
		rows += len(v)
		sort.Float64s(v)
		q := stat.Quantile(0.25, stat.Empirical, v, nil)
		x.pathMs[w] = q
		far[w.node] = append(far[w.node], q)
		if n, ok := near[w.node]; !ok || q < n {
			near[w.node] = q
		}
	}
	var same, cross []float64
	for _, node := range slices.Sorted(maps.Keys(near)) {
		same = append(same, near[node])
		for _, q := range far[node] {
			if q > 3*near[node] && q > 1 {
				cross = append(cross, q)
			}
		}
	}
	if len(same) > 0 {
		x.sameZoneMs = stat.Mean(same, nil)
		x.addFigure("one way within a zone, ms", x.sameZoneMs, -1, rows)
	}
	if len(cross) > 0 {
		x.crossZoneMs = stat.Mean(cross, nil)
		x.addFigure("one way between zones, ms", x.crossZoneMs, -1, rows)
	}
}
