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
func (fit *Fit) fitArrivals(requests []capture.Request, fleet *fleetsim.Fleet) {
	counts := fit.countArrivals(requests)
	if counts.total == 0 {
		fit.warn("all tries are repeats: there is no rate to fit")
		return
	}
	withoutBursts, usualRequests := fit.fitBursts(counts)
	segments := mergeSegments(withoutBursts, counts)
	fit.fitRates(segments, withoutBursts, counts)
	fit.fitMix(counts, usualRequests, fleet)
}

// countArrivals counts requests in bins, and finds the greatest number within a second.
func (fit *Fit) countArrivals(requests []capture.Request) *arrivalCounts {
	first, last := requests[0].Arrived, requests[len(requests)-1].Arrived
	seconds := max(float64(last-first)/1e9, 1)
	width := max(seconds/maxBins, minBinSeconds)
	bins := int(seconds/width) + 1
	counts := &arrivalCounts{seconds: seconds, width: width, bins: make([]float64, bins), byTenant: map[string][]float64{}, byClass: map[string]int{}}
	perSecond := map[int64]int{}
	for _, request := range requests {
		if request.Retry {
			continue
		}
		bin := min(int(float64(request.Arrived-first)/1e9/width), bins-1)
		counts.bins[bin]++
		if counts.byTenant[request.Tenant] == nil {
			counts.byTenant[request.Tenant] = make([]float64, bins)
		}
		counts.byTenant[request.Tenant][bin]++
		counts.byClass[request.Class]++
		counts.total++
		perSecond[(request.Arrived-first)/1e9]++
	}
	for _, n := range perSecond {
		fit.PeakPerSecond = max(fit.PeakPerSecond, float64(n))
	}
	counts.tenants = slices.Sorted(maps.Keys(counts.byTenant))
	return counts
}

// fitBursts finds the tenants that in some bins send far more than their usual ratio to the others' requests. It
// returns the bins without these bursts, and each tenant's number of requests without them.
func (fit *Fit) fitBursts(counts *arrivalCounts) (withoutBursts []float64, usualRequests map[string]float64) {
	withoutBursts = slices.Clone(counts.bins)
	usualRequests = map[string]float64{}
	for _, tenant := range counts.tenants {
		own := counts.byTenant[tenant]
		usual, ok := usualRatio(own, counts.bins)
		if !ok {
			continue
		}
		fit.fitTenantBursts(tenant, usual, counts, withoutBursts)
		for i, n := range own {
			usualRequests[tenant] += min(n, max(usual*(counts.bins[i]-n), 0)+3*math.Sqrt(n+1))
		}
	}
	return withoutBursts, usualRequests
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

// fitTenantBursts finds the bursts of one tenant, and subtracts them from withoutBursts.
func (fit *Fit) fitTenantBursts(tenant string, usual float64, counts *arrivalCounts, withoutBursts []float64) {
	own := counts.byTenant[tenant]
	firstBin, received, expected := -1, 0.0, 0.0
	for i := 0; i <= len(counts.bins); i++ {
		binExpected, burst := 0.0, false
		if i < len(counts.bins) {
			binExpected = usual * (counts.bins[i] - own[i])
			// The expectation is based on the number of the others' requests, which has a deviation as well.
			burst = own[i] > burstFactor*binExpected && own[i] > binExpected+burstDeviations*math.Sqrt(binExpected*(1+usual)+1)
		}
		if burst {
			if firstBin < 0 {
				firstBin, received, expected = i, 0, 0
			}
			received, expected = received+own[i], expected+binExpected
			withoutBursts[i] -= own[i] - binExpected
		} else if firstBin >= 0 {
			if expected > 0 && received-expected > minBurstExcess && i-firstBin > 1 { // a single bin may be chance
				fit.Load.Bursts = append(fit.Load.Bursts, fleetsim.Burst{Tenant: tenant, Factor: received / expected,
					StartSeconds: float64(firstBin) * counts.width, DurationSeconds: float64(i-firstBin) * counts.width})
			}
			firstBin = -1
		}
	}
}

// segment is a period with a constant rate: a number of requests between two times in seconds.
type segment struct{ from, to, requests float64 }

// deviations returns the difference of two neighbouring segments' rates in standard deviations.
func (s segment) deviations(next segment) float64 {
	length, nextLength := max(s.to-s.from, 1e-9), max(next.to-next.from, 1e-9)
	mean := (s.requests + next.requests) / (length + nextLength)
	return math.Abs(s.requests/length-next.requests/nextLength) / math.Sqrt(max(mean, 1e-9)*(1/length+1/nextLength))
}

// mergeSegments merges neighbouring bins whose rates may differ by chance alone, the most similar ones first.
func mergeSegments(withoutBursts []float64, counts *arrivalCounts) []segment {
	var segments []segment
	for i, requests := range withoutBursts {
		segments = append(segments, segment{float64(i) * counts.width, min(float64(i+1)*counts.width, counts.seconds), requests})
	}
	for {
		least, at := float64(mergeDeviations), -1
		for i := 0; i+1 < len(segments); i++ {
			if difference := segments[i].deviations(segments[i+1]); difference < least {
				least, at = difference, i
			}
		}
		if at < 0 {
			return segments
		}
		segments[at] = segment{segments[at].from, segments[at+1].to, segments[at].requests + segments[at+1].requests}
		segments = slices.Delete(segments, at+1, at+2)
	}
}

// fitRates sets the load's rates from the segments, and tests whether arrivals vary as those of a Poisson process.
func (fit *Fit) fitRates(segments []segment, withoutBursts []float64, counts *arrivalCounts) {
	fit.Load.Seconds = counts.seconds
	chiSquare := 0.0
	for _, s := range segments {
		rate := s.requests / max(s.to-s.from, 1e-9)
		if len(fit.Load.Rate) > 0 {
			fit.Load.Rate = append(fit.Load.Rate, fleetsim.RatePoint{AtSeconds: s.from + 1e-3, PerSecond: rate})
		} else {
			fit.Load.Rate = append(fit.Load.Rate, fleetsim.RatePoint{AtSeconds: 0, PerSecond: rate})
		}
		if s.to > s.from+2e-3 {
			fit.Load.Rate = append(fit.Load.Rate, fleetsim.RatePoint{AtSeconds: s.to, PerSecond: rate})
		}
		for i, requests := range withoutBursts {
			if from := float64(i) * counts.width; from >= s.from-1e-9 && from < s.to-1e-9 && i < len(counts.bins)-1 {
				chiSquare += (requests - rate*counts.width) * (requests - rate*counts.width) / max(rate*counts.width, 1e-9)
			}
		}
		fit.addFigure(fmt.Sprintf("jobs a second from %.0f to %.0f s", s.from, s.to), rate, normalQuantile*math.Sqrt(s.requests)/max(s.to-s.from, 1e-9), int(s.requests))
	}
	if freedom := len(counts.bins) - 1 - len(segments); freedom > 0 {
		fit.addFigure("variance of arrivals over that of chance", chiSquare/float64(freedom), normalQuantile*math.Sqrt(2/float64(freedom)), len(counts.bins))
		if chiSquare/float64(freedom) > 1+4*math.Sqrt(2/float64(freedom)) {
			fit.warn("arrivals are burstier than the fitted rates (%.1f times the variance of chance): plans come out too well", chiSquare/float64(freedom))
		}
	}
}

// fitMix fits the shares of classes and tenants. It leaves out classes and tenants that the fleet lacks, with a
// warning.
func (fit *Fit) fitMix(counts *arrivalCounts, usualRequests map[string]float64, fleet *fleetsim.Fleet) {
	for _, class := range fleet.Classes {
		n := counts.byClass[class.Name]
		share := float64(n) / float64(counts.total)
		fit.Load.Classes = append(fit.Load.Classes, fleetsim.ClassLoad{Name: class.Name, Share: share})
		fit.addFigure("share of "+class.Name, share, normalQuantile*math.Sqrt(share*(1-share)/float64(counts.total)), n)
		delete(counts.byClass, class.Name)
	}
	for _, class := range slices.Sorted(maps.Keys(counts.byClass)) {
		fit.warn("%d jobs are of class %q, which the fleet does not have: they are left out", counts.byClass[class], class)
	}
	for _, tenant := range counts.tenants {
		if tenantIndex(fleet, tenant) < 0 {
			fit.warn("%.0f jobs are of university %q, which the fleet does not have: they are left out", stat.Mean(counts.byTenant[tenant], nil)*float64(len(counts.bins)), tenant)
		} else if usualRequests[tenant] > 0 {
			fit.Load.Tenants = append(fit.Load.Tenants, fleetsim.TenantLoad{Name: tenant, Share: usualRequests[tenant] / float64(counts.total)})
		}
	}
	fit.Load.Bursts = slices.DeleteFunc(fit.Load.Bursts, func(b fleetsim.Burst) bool { return tenantIndex(fleet, b.Tenant) < 0 })
}
