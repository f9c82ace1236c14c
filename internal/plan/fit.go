// Fitting: what captures tell of the load and of the machines, how sure that
// is, and what they do not tell.

package plan

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"sort"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"ivyfold/internal/capture"
	"ivyfold/internal/model"
)

// Figure is one thing that was fitted.
type Figure struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Reach float64 `json:"reach"` // half the 95 % interval; -1 where that is not known
	Rows  int     `json:"rows"`  // that it rests on
}

// Fit is what captures tell.
type Fit struct {
	Load     *model.Load `json:"load"`
	Figures  []Figure    `json:"figures"`
	Warnings []string    `json:"warnings"`
	Peak     float64     `json:"peak"` // most jobs in a second, repeats left out

	speed       map[string]model.Range
	slots       map[string]int
	queue       map[string]int
	same, cross float64 // milliseconds one way
	ways        map[way]float64
}

// way is from a dispatcher to a zone.
type way struct{ node, zone string }

func (x *Fit) warn(format string, v ...any) {
	x.Warnings = append(x.Warnings, fmt.Sprintf(format, v...))
}
func (x *Fit) figure(name string, value, reach float64, rows int) {
	x.Figures = append(x.Figures, Figure{name, value, reach, rows})
}

// FitCapture fits captures of any number of dispatchers to a fleet, whose speeds, where it gives some, are the yardstick.
func FitCapture(s *capture.Set, f *model.Fleet) (*Fit, error) {
	if len(s.Tries) == 0 {
		return nil, errors.New("the captures hold no tries")
	}
	x := &Fit{Load: &model.Load{Times: 1}, speed: map[string]model.Range{}, slots: map[string]int{}, queue: map[string]int{}, ways: map[way]float64{}}
	x.Warnings = append(x.Warnings, s.Notes...)
	if s.Lost > 0 {
		x.warn("%d rows could not be kept by the recorders: rates are that much too low", s.Lost)
	}
	x.clocks(s.Tries)
	x.arrivals(s.Tries, f)
	x.running(s.Attempts, f)
	x.hops(s.Attempts)
	x.room(s.Attempts)
	x.repeats(s.Tries)
	return x, nil
}

// Fill gives a copy of the fleet with what it leaves out put in from the capture, as far as that is known.
func (x *Fit) Fill(f *model.Fleet) *model.Fleet {
	out := *f
	out.Kinds = slices.Clone(f.Kinds)
	for i := range out.Kinds {
		k := &out.Kinds[i]
		if r, ok := x.speed[k.Name]; ok && k.Speed == (model.Range{}) {
			k.Speed = r
		}
		if n := x.slots[k.Name]; n > 0 && k.Slots == 0 {
			k.Slots = n
		}
		if n := x.queue[k.Name]; n > 0 && k.Queue == 0 {
			k.Queue = n
		}
	}
	out.SameZoneMs, out.CrossZoneMs = cmp.Or(f.SameZoneMs, x.same), cmp.Or(f.CrossZoneMs, x.cross)
	return &out
}

// Extrapolates tells where a plan leaves what the capture has seen.
func (x *Fit) Extrapolates(l *model.Load) (out []string) {
	peak := 0.0
	for _, p := range l.Rate {
		peak = max(peak, p.PerSec*max(l.Times, 1))
	}
	if peak > 1.2*x.Peak {
		out = append(out, fmt.Sprintf("the plan has up to %.0f jobs a second, the capture no more than %.0f: what lies beyond is the model's word alone", peak, x.Peak))
	}
	if len(l.Bursts) > 0 && len(x.Load.Bursts) == 0 {
		out = append(out, "the plan has bursts of universities, the capture has none: what repeats and refusals do then is the model's word alone")
	}
	return out
}

// clocks looks for steps of the calendar and for captures that do not lie side by side.
func (x *Fit) clocks(tries []capture.Try) {
	type process struct {
		node string
		boot int64
	}
	least, most := map[process]int64{}, map[process]int64{}
	for _, t := range tries {
		p := process{t.Node, t.Boot}
		if _, ok := least[p]; !ok {
			least[p], most[p] = t.Clock, t.Clock
		}
		least[p], most[p] = min(least[p], t.Clock), max(most[p], t.Clock)
	}
	for p := range least {
		if d := float64(most[p]-least[p]) / 1e9; d > 0.1 {
			x.warn("the calendar of %s stepped by %.1f s: its times are those of its start, others' may lie aside", p.node, d)
		}
	}
	slices.Sort(x.Warnings)
}

// arrivals fits rates, mixes and bursts.
func (x *Fit) arrivals(tries []capture.Try, f *model.Fleet) {
	first, last := tries[0].Came, tries[len(tries)-1].Came
	seconds := max(float64(last-first)/1e9, 1)
	width := max(seconds/120, 1)
	bins := int(seconds/width) + 1
	count := make([]float64, bins)
	by := map[string][]float64{}
	classes := map[string]int{}
	all := 0
	perSecond := map[int64]int{}
	for _, t := range tries {
		if t.Repeat {
			continue
		}
		bin := min(int(float64(t.Came-first)/1e9/width), bins-1)
		count[bin]++
		if by[t.University] == nil {
			by[t.University] = make([]float64, bins)
		}
		by[t.University][bin]++
		classes[t.Class]++
		all++
		perSecond[(t.Came-first)/1e9]++
	}
	for _, n := range perSecond {
		x.Peak = max(x.Peak, float64(n))
	}
	if all == 0 {
		x.warn("all tries are repeats: there is no rate to fit")
		return
	}
	// A university that sends far more than its part of the others' for some bins has a burst there; it comes off.
	names := slices.Sorted(maps.Keys(by))
	plain := slices.Clone(count)
	parts := map[string]float64{}
	for _, u := range names {
		ratios := make([]float64, 0, bins)
		for i, n := range by[u] {
			if rest := count[i] - n; rest > 0 {
				ratios = append(ratios, n/rest)
			}
		}
		if len(ratios) == 0 {
			continue
		}
		sort.Float64s(ratios)
		usual := stat.Quantile(0.5, stat.Empirical, ratios, nil)
		begin, over, due := -1, 0.0, 0.0
		for i := 0; i <= bins; i++ {
			expect, hot := 0.0, false
			if i < bins {
				expect = usual * (count[i] - by[u][i])
				// The others' number, which the expectation rests on, is chance as well.
				hot = by[u][i] > 1.8*expect && by[u][i] > expect+4*math.Sqrt(expect*(1+usual)+1)
			}
			if hot {
				if begin < 0 {
					begin, over, due = i, 0, 0
				}
				over, due = over+by[u][i], due+expect
				plain[i] -= by[u][i] - expect
			} else if begin >= 0 {
				if due > 0 && over-due > 20 && i-begin > 1 { // one bin alone is chance
					x.Load.Bursts = append(x.Load.Bursts, model.Burst{University: u, Times: over / due, AtS: float64(begin) * width, ForS: float64(i-begin) * width})
				}
				begin = -1
			}
		}
		for i, n := range by[u] {
			parts[u] += min(n, max(usual*(count[i]-n), 0)+3*math.Sqrt(n+1))
		}
	}
	// Bins beside each other that chance alone could tell apart are one.
	type segment struct{ from, to, n float64 }
	var segments []segment
	for i, n := range plain {
		segments = append(segments, segment{float64(i) * width, min(float64(i+1)*width, seconds), n})
	}
	for {
		best, at := 4.0, -1 // standard deviations: among a hundred neighbours some differ by three
		for i := 0; i+1 < len(segments); i++ {
			a, b := segments[i], segments[i+1]
			sa, sb := max(a.to-a.from, 1e-9), max(b.to-b.from, 1e-9)
			mean := (a.n + b.n) / (sa + sb)
			z := math.Abs(a.n/sa-b.n/sb) / math.Sqrt(max(mean, 1e-9)*(1/sa+1/sb))
			if z < best {
				best, at = z, i
			}
		}
		if at < 0 {
			break
		}
		segments[at] = segment{segments[at].from, segments[at+1].to, segments[at].n + segments[at+1].n}
		segments = slices.Delete(segments, at+1, at+2)
	}
	x.Load.Seconds = seconds
	chi := 0.0
	for _, s := range segments {
		rate := s.n / max(s.to-s.from, 1e-9)
		if len(x.Load.Rate) > 0 {
			x.Load.Rate = append(x.Load.Rate, model.Point{AtS: s.from + 1e-3, PerSec: rate})
		} else {
			x.Load.Rate = append(x.Load.Rate, model.Point{AtS: 0, PerSec: rate})
		}
		if s.to > s.from+2e-3 {
			x.Load.Rate = append(x.Load.Rate, model.Point{AtS: s.to, PerSec: rate})
		}
		for i, n := range plain {
			if from := float64(i) * width; from >= s.from-1e-9 && from < s.to-1e-9 && i < bins-1 {
				chi += (n - rate*width) * (n - rate*width) / max(rate*width, 1e-9)
			}
		}
		x.figure(fmt.Sprintf("jobs a second from %.0f to %.0f s", s.from, s.to), rate, 1.96*math.Sqrt(s.n)/max(s.to-s.from, 1e-9), int(s.n))
	}
	if free := bins - 1 - len(segments); free > 0 {
		x.figure("variance of arrivals over that of chance", chi/float64(free), 1.96*math.Sqrt(2/float64(free)), bins)
		if chi/float64(free) > 1+4*math.Sqrt(2/float64(free)) {
			x.warn("arrivals are burstier than the fitted rates (%.1f times the variance of chance): plans come out too well", chi/float64(free))
		}
	}
	for _, c := range f.Classes {
		n := classes[c.Name]
		share := float64(n) / float64(all)
		x.Load.Classes = append(x.Load.Classes, model.Work{Name: c.Name, Share: share})
		x.figure("share of "+c.Name, share, 1.96*math.Sqrt(share*(1-share)/float64(all)), n)
		delete(classes, c.Name)
	}
	for _, c := range slices.Sorted(maps.Keys(classes)) {
		x.warn("%d jobs are of class %q, which the fleet does not have: they are left out", classes[c], c)
	}
	for _, u := range names {
		if universityOf(f, u) < 0 {
			x.warn("%.0f jobs are of university %q, which the fleet does not have: they are left out", stat.Mean(by[u], nil)*float64(bins), u)
		} else if parts[u] > 0 {
			x.Load.Universities = append(x.Load.Universities, model.Source{Name: u, Share: parts[u] / float64(all)})
		}
	}
	x.Load.Bursts = slices.DeleteFunc(x.Load.Bursts, func(b model.Burst) bool { return universityOf(f, b.University) < 0 })
}

// running fits a class's running time and each kind's speed: the logarithm of a time is the class's less the worker's.
func (x *Fit) running(attempts []capture.Attempt, f *model.Fleet) {
	type row struct {
		class  int
		worker string
		log    float64
	}
	var rows []row
	kind := map[string]string{}
	per := map[string]int{}
	for _, a := range attempts {
		c := classOf(f, a.Class)
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
		at := slices.IndexFunc(x.Load.Classes, func(w model.Work) bool { return w.Name == f.Classes[c].Name })
		if at >= 0 {
			x.Load.Classes[at].Ms, x.Load.Classes[at].CV = mean, math.Sqrt(math.Exp(dev*dev)-1)
		}
		n := float64(len(left))
		x.figure("work of "+f.Classes[c].Name+", ms", mean, 1.96*mean*math.Sqrt(dev*dev/n+dev*dev*dev*dev/(2*n)), len(left))
		// Kolmogorov and Smirnov's distance to the lognormal.
		normal, far := distuv.Normal{Mu: 0, Sigma: dev}, 0.0
		for i, v := range left {
			p := normal.CDF(v)
			far = max(far, math.Abs(p-float64(i)/n), math.Abs(p-float64(i+1)/n))
		}
		x.figure("distance of "+f.Classes[c].Name+"'s work to the lognormal", far, 1.36/math.Sqrt(n), len(left))
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
		x.speed[k] = model.Range{math.Exp(mean - math.Sqrt(3)*between), math.Exp(mean + math.Sqrt(3)*between)}
		x.figure("speed of "+k, math.Exp(mean), 1.96*math.Exp(mean)*math.Sqrt(noise/float64(len(all))+between*between/float64(len(all))), jobs)
	}
	for _, k := range f.Kinds {
		if len(of[k.Name]) == 0 && k.Speed[0] == 0 {
			x.warn("no job of the captures ran on %s: its speed must be given", k.Name)
		}
	}
}

// room fits slots by the jobs that ran together, and waiting rooms by those that lay there when one was turned away.
func (x *Fit) room(attempts []capture.Attempt) {
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
			seen := a.Sent - int64(x.ways[way{a.Node, a.Zone}]*1e6)
			edges[a.Worker] = append(edges[a.Worker], edge{seen + a.Started + crossing, 1}, edge{seen + a.Ended, -1})
		}
		if a.Outcome == "full" {
			full++
			x.queue[a.Kind] = max(x.queue[a.Kind], int(a.Queue))
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
				x.slots[kind[w]] = max(x.slots[kind[w]], l)
				break
			}
		}
	}
	for _, k := range slices.Sorted(maps.Keys(x.slots)) {
		x.figure("slots of "+k+", at least", float64(x.slots[k]), -1, 0)
	}
	if full == 0 {
		x.warn("no job met a full worker: waiting rooms are not known, and slots only where all were seen at work")
	}
}

// hops fits the time one way: a start that comes at once is there and back.
func (x *Fit) hops(attempts []capture.Attempt) {
	all := map[way][]float64{}
	for _, a := range attempts {
		if a.Started >= 0 {
			all[way{a.Node, a.Zone}] = append(all[way{a.Node, a.Zone}], float64(a.Started)/2e6)
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
		x.ways[w] = q
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
		x.same = stat.Mean(same, nil)
		x.figure("one way within a zone, ms", x.same, -1, rows)
	}
	if len(cross) > 0 {
		x.cross = stat.Mean(cross, nil)
		x.figure("one way between zones, ms", x.cross, -1, rows)
	}
}

// repeats fits what clients do after a refusal or a failure.
func (x *Fit) repeats(tries []capture.Try) {
	type who struct {
		university string
		subject    uint64
	}
	ended := map[who]capture.Try{}
	bad, repeats := 0, 0
	var waits []float64
	honoured, told := 0, 0
	for _, t := range tries {
		if t.Repeat {
			repeats++
			if before, ok := ended[who{t.University, t.Subject}]; ok && t.Subject != 0 {
				wait := float64(t.Came-before.Came-before.Took) / 1e6
				if wait >= 0 && wait < 5000 {
					waits = append(waits, wait)
					if before.RetryAfter > 0 {
						if told++; wait >= float64(before.RetryAfter)/1e6*0.95 {
							honoured++
						}
					}
				}
			}
		}
		if t.Verdict == "refused" || t.Verdict == "turned" || t.Verdict == "failed" {
			if !t.Repeat {
				bad++
			}
			if t.Subject != 0 {
				ended[who{t.University, t.Subject}] = t
			}
		}
	}
	r := &x.Load.Retries
	switch {
	case bad < 20:
		x.warn("only %d first tries were refused or failed: what clients do then is not known, and one repeat after 50 ms is taken", bad)
		*r = model.Retries{Most: 1, WaitMs: 50, Honours: true}
		return
	case repeats > 0:
		r.Most = max(int(math.Round(float64(repeats)/float64(bad))), 1)
	}
	x.figure("repeats for a first try that was refused or failed", float64(repeats)/float64(bad), 1.96*math.Sqrt(float64(repeats))/float64(bad), bad)
	if len(waits) >= 10 {
		sort.Float64s(waits)
		r.WaitMs = stat.Quantile(0.5, stat.Empirical, waits, nil)
		r.Honours = honoured*2 > told
		x.figure("wait before a repeat, ms", r.WaitMs, -1, len(waits))
	} else if repeats > 0 {
		x.warn("the wait before a repeat is not known (no subjects): 50 ms are taken")
		r.WaitMs, r.Honours = 50, true
	}
}
