package fleetsim

import (
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"gonum.org/v1/gonum/stat/distuv"
)

// Arrival is a request as its client sends it for the first time.
type Arrival struct {
	At                        time.Duration
	Class, Tenant, Dispatcher int     // indexes into the descriptions; dispatchers are numbered across their groups
	WorkSeconds               float64 // seconds on a core of speed 1
}

// Arrivals returns a function that draws a day's requests one after the other, and returns false after the end of the
// day. The requests are a Poisson process with a varying rate, made by thinning a process with the peak rate.
func Arrivals(fleet *Fleet, load *Load, seed uint64) (next func() (Arrival, bool), err error) {
	s, err := newScenario(fleet, load)
	if err != nil {
		return nil, err
	}
	return s.arrivals(seed), nil
}

// arrivalSource draws a day's arrivals by thinning: it draws candidates at the peak rate, and drops some of them.
type arrivalSource struct {
	*scenario
	random            *rand.Rand
	atSeconds         float64          // of the last candidate
	peak              float64          // candidates per second: an upper bound of the day's rate
	tenantSum         float64          // of tenantShares
	tenantCumulative  []float64        // cumulative shares of the tenants
	dispatcherSum     float64          // of the dispatchers' shares
	dispatcherWeights []float64        // cumulative shares of the dispatchers
	classSum          float64          // of the classes' shares
	work              []func() float64 // by class: draws seconds on a core of speed 1
}

func (s *scenario) arrivals(seed uint64) func() (Arrival, bool) {
	return newArrivalSource(s, newStream(seed, arrivalStream), newStream(seed, workStream)).next
}

func newArrivalSource(s *scenario, random, workRandom *rand.Rand) *arrivalSource {
	source := &arrivalSource{scenario: s, random: random}
	for _, p := range s.load.Rate {
		source.peak = max(source.peak, p.PerSecond*s.load.Factor)
	}
	for _, share := range s.tenantShares {
		source.tenantSum += share
		source.tenantCumulative = append(source.tenantCumulative, source.tenantSum)
	}
	for _, g := range s.Dispatchers {
		for range g.Count {
			source.dispatcherSum += g.Share
			source.dispatcherWeights = append(source.dispatcherWeights, source.dispatcherSum)
		}
	}
	burstFactor := 1.0 // for the upper bound, all bursts are taken to coincide
	for _, b := range s.load.Bursts {
		burstFactor += max(b.Factor-1, 0) * s.tenantShares[s.tenantIndex[b.Tenant]] / source.tenantSum
	}
	source.peak *= burstFactor
	source.work = make([]func() float64, len(s.classLoads))
	for i, class := range s.classLoads {
		source.classSum += class.Share
		source.work[i] = class.workSeconds(workRandom)
	}
	return source
}

// workSeconds returns a function that draws the work of a job of the class.
func (c ClassLoad) workSeconds(random *rand.Rand) func() float64 {
	if c.CV > 0 {
		variance := math.Log(1 + c.CV*c.CV) // of the work's logarithm
		return distuv.LogNormal{Mu: math.Log(c.WorkMs/1000) - variance/2, Sigma: math.Sqrt(variance), Src: random}.Rand
	}
	return func() float64 { return c.WorkMs / 1000 }
}

// next draws the next arrival; it returns false after the end of the day.
func (a *arrivalSource) next() (Arrival, bool) {
	for a.peak > 0 {
		if a.atSeconds += a.random.ExpFloat64() / a.peak; a.atSeconds >= a.load.Seconds {
			break
		}
		tenant := a.drawTenant()
		if tenant < 0 {
			continue
		}
		dispatcher := sort.SearchFloat64s(a.dispatcherWeights, a.random.Float64()*a.dispatcherSum)
		arrival := Arrival{At: sec(a.atSeconds), Tenant: tenant, Dispatcher: min(dispatcher, len(a.dispatcherWeights)-1)}
		arrival.Class = a.drawClass()
		arrival.WorkSeconds = a.work[arrival.Class]()
		return arrival, true
	}
	return Arrival{}, false
}

// drawTenant draws the tenant of the current candidate: one of the usual mix, or one whose burst adds requests to it.
// It returns -1 if the candidate is dropped, as the current rate lies below the peak.
func (a *arrivalSource) drawTenant() int {
	base := a.rateAt(a.atSeconds)
	x := a.random.Float64() * a.peak
	if x < base {
		return min(sort.SearchFloat64s(a.tenantCumulative, x/base*a.tenantSum), len(a.tenantCumulative)-1)
	}
	x -= base
	for _, b := range a.load.Bursts {
		if a.atSeconds < b.StartSeconds || a.atSeconds >= b.StartSeconds+b.DurationSeconds {
			continue
		}
		tenant := a.tenantIndex[b.Tenant]
		if x -= base * a.tenantShares[tenant] / a.tenantSum * max(b.Factor-1, 0); x < 0 {
			return tenant
		}
	}
	return -1
}

func (a *arrivalSource) drawClass() int {
	class := 0
	for x := a.random.Float64() * a.classSum; class < len(a.classLoads)-1 && x >= a.classLoads[class].Share; class++ {
		x -= a.classLoads[class].Share
	}
	return class
}

// rateAt returns the requests per second of all tenants together, without bursts, at a time in seconds.
func (s *scenario) rateAt(at float64) float64 {
	rates := s.load.Rate
	i := sort.Search(len(rates), func(i int) bool { return rates[i].AtSeconds > at })
	switch {
	case i == 0:
		return rates[0].PerSecond * s.load.Factor
	case i == len(rates):
		return rates[i-1].PerSecond * s.load.Factor
	}
	fraction := (at - rates[i-1].AtSeconds) / (rates[i].AtSeconds - rates[i-1].AtSeconds)
	return (rates[i-1].PerSecond + fraction*(rates[i].PerSecond-rates[i-1].PerSecond)) * s.load.Factor
}
