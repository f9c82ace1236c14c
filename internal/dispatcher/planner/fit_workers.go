// Fitting workers: running times, speeds, slots, waiting rooms and the ways to them.

package planner

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"sort"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"gladepick/internal/dispatcher/capture"
	"gladepick/internal/dispatcher/fleetsim"
)

// way is from a dispatcher to a zone.
type path struct{ node, zone string }

// running fits a class's running time and each kind's speed: the logarithm of a time is the class's less the worker's.
func (x *Fit) fitRunTimes(attempts []capture.Attempt, f *fleetsim.Fleet) {
	type row struct {
		class  int
		worker string
		log    float64
	}
	var rows []row
	kind := map[string]string{}
	per := map[string]int{}
	for _, a := range attempts {
		c := classIndex(f, a.Class)
		if a.Outcome != "ok" || a.Started < 0 || a.Ended <= a.Started || c < 0 {
			continue
		}
		rows = append(rows, row{c, a.Worker, math.Log(float64(a.Ended-a.Started) / 1e6)})
		kind[a.Worker] = a.Kind
		per[a.Worker]++
	}
	if len(rows) < 50 {
		x.warn("only %d jobs tell their running time: give work_ms and speeds by hand", len(rows))
		return
	}
	mu, speed := make([]float64, len(f.Classes)), map[string]float64{}
	for range 30 {
		sum, n := make([]float64, len(mu)), make([]float64, len(mu))
		for _, r := range rows {
			sum[r.class] += r.log + speed[r.worker]
			n[r.class]++
		}
		for c := range mu {
			mu[c] = sum[c] / max(n[c], 1)
		}
		by := map[string]float64{}
		for _, r := range rows {
			by[r.worker] += mu[r.class] - r.log
		}
		for w := range by {
			speed[w] = by[w] / float64(per[w])
		}
	}
	// The yardstick: speeds that the fleet gives, else the first kind that was seen.
	shift, known := 0.0, 0.0
	of := map[string][]float64{}
	for w, v := range speed {
		of[kind[w]] = append(of[kind[w]], v)
	}
	for _, k := range f.Kinds {
		if k.Speed[0] > 0 && len(of[k.Name]) > 0 {
			n := float64(len(of[k.Name]))
			shift += n * (math.Log((k.Speed[0]+k.Speed[1])/2) - stat.Mean(of[k.Name], nil))
			known += n
		}
	}
	if known > 0 {
		shift /= known
	} else {
		for _, k := range f.Kinds {
			if len(of[k.Name]) > 0 {
				shift = -stat.Mean(of[k.Name], nil)
				x.warn("the fleet gives no speed: %s counts as 1, and stretch is counted in its running times", k.Name)
				break
			}
		}
	}
	for c := range mu {
		var left []float64
		for _, r := range rows {
			if r.class == c {
				left = append(left, r.log+speed[r.worker]-mu[c])
			}
		}
		if len(left) < 20 {
			x.warn("only %d jobs of %s tell their running time", len(left), f.Classes[c].Name)
			continue
		}
		sort.Float64s(left)
		dev := stat.StdDev(left, nil)
		mean := math.Exp(mu[c] + shift + dev*dev/2)
		at := slices.IndexFunc(x.Load.Classes, func(w fleetsim.ClassLoad) bool { return w.Name == f.Classes[c].Name })
		if at >= 0 {
			x.Load.Classes[at].WorkMs, x.Load.Classes[at].CV = mean, math.Sqrt(math.Exp(dev*dev)-1)
		}
		n := float64(len(left))
		x.addFigure("work of "+f.Classes[c].Name+", ms", mean, 1.96*mean*math.Sqrt(dev*dev/n+dev*dev*dev*dev/(2*n)), len(left))
		// Kolmogorov and Smirnov's distance to the lognormal.
		normal, far := distuv.Normal{Mu: 0, Sigma: dev}, 0.0
		for i, v := range left {
			p := normal.CDF(v)
			far = max(far, math.Abs(p-float64(i)/n), math.Abs(p-float64(i+1)/n))
		}
		x.addFigure("distance of "+f.Classes[c].Name+"'s work to the lognormal", far, 1.36/math.Sqrt(n), len(left))
		if far > 0.1 {
			x.warn("running times of %s are no lognormal (distance %.2f)", f.Classes[c].Name, far)
		}
	}
	for _, k := range slices.Sorted(maps.Keys(of)) {
		all := of[k]
		noise, jobs := 0.0, 0
		for w, n := range per {
			if kind[w] == k {
				noise += 1 / float64(n) / float64(len(all))
				jobs += n
			}
		}
		mean, between := stat.Mean(all, nil)+shift, 0.0
		if len(all) > 1 {
			between = math.Sqrt(max(stat.Variance(all, nil)-noise, 0))
		} else {
			x.warn("one machine of %s was seen: how they differ is not known", k)
		}
		x.kindSpeed[k] = fleetsim.Range{math.Exp(mean - math.Sqrt(3)*between), math.Exp(mean + math.Sqrt(3)*between)}
		x.addFigure("speed of "+k, math.Exp(mean), 1.96*math.Exp(mean)*math.Sqrt(noise/float64(len(all))+between*between/float64(len(all))), jobs)
	}
	for _, k := range f.Kinds {
		if len(of[k.Name]) == 0 && k.Speed[0] == 0 {
			x.warn("no job of the captures ran on %s: its speed must be given", k.Name)
		}
	}
}

// room fits slots by the jobs that ran together, and waiting rooms by those that lay there when one was turned away.
func (x *Fit) fitCapacity(attempts []capture.Attempt) {
	type edge struct {
		at int64
		by int
	}
	// One job's end and the next one's start are one moment at the worker; they reach their dispatchers apart, by the
	// ways there, which come off, and by what these vary.
	const crossing = 10e6
	edges, kind := map[string][]edge{}, map[string]string{}
	full := 0
	for _, a := range attempts {
		kind[a.Worker] = a.Kind
		if a.Started >= 0 && a.Ended > a.Started+crossing {
			seen := a.Sent - int64(x.pathMs[path{a.Node, a.Zone}]*1e6)
			edges[a.Worker] = append(edges[a.Worker], edge{seen + a.Started + crossing, 1}, edge{seen + a.Ended, -1})
		}
		if a.Outcome == "full" {
			full++
			x.kindQueue[a.Kind] = max(x.kindQueue[a.Kind], int(a.Queue))
		}
	}
	for _, w := range slices.Sorted(maps.Keys(edges)) {
		e := edges[w]
		slices.SortFunc(e, func(a, b edge) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.by, b.by)) })
		level, span := 0, map[int]int64{}
		for i := range e {
			if i > 0 {
				span[level] += e[i].at - e[i-1].at
			}
			level += e[i].by
		}
		total, above := int64(0), int64(0)
		for l, s := range span {
			if l > 0 {
				total += s
			}
		}
		for l := len(e); l > 0; l-- {
			if above += span[l]; float64(above) > 0.002*float64(total) {
				x.kindSlots[kind[w]] = max(x.kindSlots[kind[w]], l)
				break
			}
		}
	}
	for _, k := range slices.Sorted(maps.Keys(x.kindSlots)) {
		x.addFigure("slots of "+k+", at least", float64(x.kindSlots[k]), -1, 0)
	}
	if full == 0 {
		x.warn("no job met a full worker: waiting rooms are not known, and slots only where all were seen at work")
	}
}

// hops fits the time one way: a start that comes at once is there and back.
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
