// Fitting rates, mixes and bursts of universities.

package planner

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"sort"

	"gonum.org/v1/gonum/stat"

	"gladepick/internal/dispatcher/capture"
	"gladepick/internal/dispatcher/fleetsim"
)

// arrivals fits rates, mixes and bursts.
func (x *Fit) fitArrivals(tries []capture.Request, f *fleetsim.Fleet) {
	first, last := tries[0].Arrived, tries[len(tries)-1].Arrived
	seconds := max(float64(last-first)/1e9, 1)
	width := max(seconds/120, 1)
	bins := int(seconds/width) + 1
	count := make([]float64, bins)
	by := map[string][]float64{}
	classes := map[string]int{}
	all := 0
	perSecond := map[int64]int{}
	for _, t := range tries {
		if t.Retry {
			continue
		}
		bin := min(int(float64(t.Arrived-first)/1e9/width), bins-1)
		count[bin]++
		if by[t.Tenant] == nil {
			by[t.Tenant] = make([]float64, bins)
		}
		by[t.Tenant][bin]++
		classes[t.Class]++
		all++
		perSecond[(t.Arrived-first)/1e9]++
	}
	for _, n := range perSecond {
		x.PeakPerSecond = max(x.PeakPerSecond, float64(n))
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
					x.Load.Bursts = append(x.Load.Bursts, fleetsim.Burst{Tenant: u, Factor: over / due, StartSeconds: float64(begin) * width, DurationSeconds: float64(i-begin) * width})
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
			x.Load.Rate = append(x.Load.Rate, fleetsim.RatePoint{AtSeconds: s.from + 1e-3, PerSecond: rate})
		} else {
			x.Load.Rate = append(x.Load.Rate, fleetsim.RatePoint{AtSeconds: 0, PerSecond: rate})
		}
		if s.to > s.from+2e-3 {
			x.Load.Rate = append(x.Load.Rate, fleetsim.RatePoint{AtSeconds: s.to, PerSecond: rate})
		}
		for i, n := range plain {
			if from := float64(i) * width; from >= s.from-1e-9 && from < s.to-1e-9 && i < bins-1 {
				chi += (n - rate*width) * (n - rate*width) / max(rate*width, 1e-9)
			}
		}
		x.addFigure(fmt.Sprintf("jobs a second from %.0f to %.0f s", s.from, s.to), rate, 1.96*math.Sqrt(s.n)/max(s.to-s.from, 1e-9), int(s.n))
	}
	if free := bins - 1 - len(segments); free > 0 {
		x.addFigure("variance of arrivals over that of chance", chi/float64(free), 1.96*math.Sqrt(2/float64(free)), bins)
		if chi/float64(free) > 1+4*math.Sqrt(2/float64(free)) {
			x.warn("arrivals are burstier than the fitted rates (%.1f times the variance of chance): plans come out too well", chi/float64(free))
		}
	}
	for _, c := range f.Classes {
		n := classes[c.Name]
		share := float64(n) / float64(all)
		x.Load.Classes = append(x.Load.Classes, fleetsim.ClassLoad{Name: c.Name, Share: share})
		x.addFigure("share of "+c.Name, share, 1.96*math.Sqrt(share*(1-share)/float64(all)), n)
		delete(classes, c.Name)
	}
	for _, c := range slices.Sorted(maps.Keys(classes)) {
		x.warn("%d jobs are of class %q, which the fleet does not have: they are left out", classes[c], c)
	}
	for _, u := range names {
		if tenantIndex(f, u) < 0 {
			x.warn("%.0f jobs are of university %q, which the fleet does not have: they are left out", stat.Mean(by[u], nil)*float64(bins), u)
		} else if parts[u] > 0 {
			x.Load.Tenants = append(x.Load.Tenants, fleetsim.TenantLoad{Name: u, Share: parts[u] / float64(all)})
		}
	}
	x.Load.Bursts = slices.DeleteFunc(x.Load.Bursts, func(b fleetsim.Burst) bool { return tenantIndex(f, b.Tenant) < 0 })
}
