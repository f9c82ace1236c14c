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

// normalQuantile is the 97.5 % quantile of the normal distribution: half the width of a 95 % confidence interval, in
// standard deviations.
const normalQuantile = 1.96

// Constants of the fit of arrivals.
const (
	maxBins         = 120
	minBinSeconds   = 1
	burstFactor     = 1.8 // a bin of a burst has more than this multiple of the expected requests
	burstDeviations = 4   // and exceeds the expected requests by more than these standard deviations
	minBurstExcess  = 20  // requests of a burst beyond the expected ones
	// mergeDeviations is the difference, in standard deviations, below which neighbouring segments are merged. Three
	// are too few: among a hundred pairs of neighbours some differ that much by chance.
	mergeDeviations = 4
)

// arrivalCounts counts first requests (no retries) in bins of equal width.
type arrivalCounts struct {
	seconds  float64 // of the capture
	width    float64 // of a bin, in seconds
	bins     []float64
	byTenant map[string][]float64 // bins of each tenant
	tenants  []string             // sorted
	byClass  map[string]int
	total    int
}

// fitArrivals fits the rates of requests, the mix of classes and tenants, and the bursts.
func (x *Fit) fitArrivals(requests []capture.Request, f *fleetsim.Fleet) {
	counts := x.countArrivals(requests)
	if counts.total == 0 {
		x.warn("all tries are repeats: there is no rate to fit")
		return
	}
	plain, parts := x.fitBursts(counts)
	segments := mergeSegments(plain, counts)
	x.fitRates(segments, plain, counts)
	x.fitMix(counts, parts, f)
}

// countArrivals counts requests in bins, and finds the greatest number within a second.
func (x *Fit) countArrivals(requests []capture.Request) *arrivalCounts {
	first, last := requests[0].Arrived, requests[len(requests)-1].Arrived
	seconds := max(float64(last-first)/1e9, 1)
	width := max(seconds/maxBins, minBinSeconds)
	bins := int(seconds/width) + 1
	c := &arrivalCounts{seconds: seconds, width: width, bins: make([]float64, bins), byTenant: map[string][]float64{}, byClass: map[string]int{}}
	perSecond := map[int64]int{}
	for _, r := range requests {
		if r.Retry {
			continue
		}
		bin := min(int(float64(r.Arrived-first)/1e9/width), bins-1)
		c.bins[bin]++
		if c.byTenant[r.Tenant] == nil {
			c.byTenant[r.Tenant] = make([]float64, bins)
		}
		c.byTenant[r.Tenant][bin]++
		c.byClass[r.Class]++
		c.total++
		perSecond[(r.Arrived-first)/1e9]++
	}
	for _, n := range perSecond {
		x.PeakPerSecond = max(x.PeakPerSecond, float64(n))
	}
	c.tenants = slices.Sorted(maps.Keys(c.byTenant))
	return c
}

// fitBursts finds the tenants that in some bins send far more than their usual ratio to the others' requests. It
// returns the bins without these bursts, and each tenant's number of requests without them.
func (x *Fit) fitBursts(c *arrivalCounts) (plain []float64, parts map[string]float64) {
	plain = slices.Clone(c.bins)
	parts = map[string]float64{}
	for _, tenant := range c.tenants {
		own := c.byTenant[tenant]
		usual, ok := usualRatio(own, c.bins)
		if !ok {
			continue
		}
		x.fitTenantBursts(tenant, usual, c, plain)
		for i, n := range own {
			parts[tenant] += min(n, max(usual*(c.bins[i]-n), 0)+3*math.Sqrt(n+1))
		}
	}
	return plain, parts
}

// usualRatio returns the median over the bins of the ratio of a tenant's requests to all others'. It returns false if
// the others have none in any bin.
func usualRatio(own, all []float64) (float64, bool) {
	ratios := make([]float64, 0, len(all))
	for i, n := range own {
		if rest := all[i] - n; rest > 0 {
			ratios = append(ratios, n/rest)
		}
	}
	if len(ratios) == 0 {
		return 0, false
	}
	sort.Float64s(ratios)
	return stat.Quantile(0.5, stat.Empirical, ratios, nil), true
}

// fitTenantBursts finds the bursts of one tenant, and subtracts them from plain.
func (x *Fit) fitTenantBursts(tenant string, usual float64, c *arrivalCounts, plain []float64) {
	own := c.byTenant[tenant]
	begin, seen, expected := -1, 0.0, 0.0
	for i := 0; i <= len(c.bins); i++ {
		expect, burst := 0.0, false
		if i < len(c.bins) {
			expect = usual * (c.bins[i] - own[i])
			// The expectation is based on the number of the others' requests, which has a deviation as well.
			burst = own[i] > burstFactor*expect && own[i] > expect+burstDeviations*math.Sqrt(expect*(1+usual)+1)
		}
		if burst {
			if begin < 0 {
				begin, seen, expected = i, 0, 0
			}
			seen, expected = seen+own[i], expected+expect
			plain[i] -= own[i] - expect
		} else if begin >= 0 {
			if expected > 0 && seen-expected > minBurstExcess && i-begin > 1 { // a single bin may be chance
				x.Load.Bursts = append(x.Load.Bursts, fleetsim.Burst{Tenant: tenant, Factor: seen / expected,
					StartSeconds: float64(begin) * c.width, DurationSeconds: float64(i-begin) * c.width})
			}
			begin = -1
		}
	}
}

// segment is a period with a constant rate: n requests between two times in seconds.
type segment struct{ from, to, n float64 }

// deviations returns the difference of two neighbouring segments' rates in standard deviations.
func (s segment) deviations(next segment) float64 {
	length, nextLength := max(s.to-s.from, 1e-9), max(next.to-next.from, 1e-9)
	mean := (s.n + next.n) / (length + nextLength)
	return math.Abs(s.n/length-next.n/nextLength) / math.Sqrt(max(mean, 1e-9)*(1/length+1/nextLength))
}

// mergeSegments merges neighbouring bins whose rates may differ by chance alone, the most similar ones first.
func mergeSegments(plain []float64, c *arrivalCounts) []segment {
	var segments []segment
	for i, n := range plain {
		segments = append(segments, segment{float64(i) * c.width, min(float64(i+1)*c.width, c.seconds), n})
	}
	for {
		best, at := float64(mergeDeviations), -1
		for i := 0; i+1 < len(segments); i++ {
			if z := segments[i].deviations(segments[i+1]); z < best {
				best, at = z, i
			}
		}
		if at < 0 {
			return segments
		}
		segments[at] = segment{segments[at].from, segments[at+1].to, segments[at].n + segments[at+1].n}
		segments = slices.Delete(segments, at+1, at+2)
	}
}

// fitRates sets the load's rates from the segments, and tests whether arrivals vary as those of a Poisson process.
func (x *Fit) fitRates(segments []segment, plain []float64, c *arrivalCounts) {
	x.Load.Seconds = c.seconds
	chiSquare := 0.0
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
			if from := float64(i) * c.width; from >= s.from-1e-9 && from < s.to-1e-9 && i < len(c.bins)-1 {
				chiSquare += (n - rate*c.width) * (n - rate*c.width) / max(rate*c.width, 1e-9)
			}
		}
		x.addFigure(fmt.Sprintf("jobs a second from %.0f to %.0f s", s.from, s.to), rate, normalQuantile*math.Sqrt(s.n)/max(s.to-s.from, 1e-9), int(s.n))
	}
	if free := len(c.bins) - 1 - len(segments); free > 0 {
		x.addFigure("variance of arrivals over that of chance", chiSquare/float64(free), normalQuantile*math.Sqrt(2/float64(free)), len(c.bins))
		if chiSquare/float64(free) > 1+4*math.Sqrt(2/float64(free)) {
			x.warn("arrivals are burstier than the fitted rates (%.1f times the variance of chance): plans come out too well", chiSquare/float64(free))
		}
	}
}

// fitMix fits the shares of classes and tenants. It leaves out classes and tenants that the fleet lacks, with a
// warning.
func (x *Fit) fitMix(c *arrivalCounts, parts map[string]float64, f *fleetsim.Fleet) {
	for _, class := range f.Classes {
		n := c.byClass[class.Name]
		share := float64(n) / float64(c.total)
		x.Load.Classes = append(x.Load.Classes, fleetsim.ClassLoad{Name: class.Name, Share: share})
		x.addFigure("share of "+class.Name, share, normalQuantile*math.Sqrt(share*(1-share)/float64(c.total)), n)
		delete(c.byClass, class.Name)
	}
	for _, class := range slices.Sorted(maps.Keys(c.byClass)) {
		x.warn("%d jobs are of class %q, which the fleet does not have: they are left out", c.byClass[class], class)
	}
	for _, tenant := range c.tenants {
		if tenantIndex(f, tenant) < 0 {
			x.warn("%.0f jobs are of university %q, which the fleet does not have: they are left out", stat.Mean(c.byTenant[tenant], nil)*float64(len(c.bins)), tenant)
		} else if parts[tenant] > 0 {
			x.Load.Tenants = append(x.Load.Tenants, fleetsim.TenantLoad{Name: tenant, Share: parts[tenant] / float64(c.total)})
		}
	}
	x.Load.Bursts = slices.DeleteFunc(x.Load.Bursts, func(b fleetsim.Burst) bool { return tenantIndex(f, b.Tenant) < 0 })
}
