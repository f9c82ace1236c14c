package planner

import (
	"math"
	"sort"

	"gonum.org/v1/gonum/stat"

	"gladepick/internal/dispatcher/capture"
	"gladepick/internal/dispatcher/fleetsim"
)

// fitRetries fits what clients do after a rejection or a failure.
func (x *Fit) fitRetries(tries []capture.Request) {
	type client struct {
		university string
		subject    uint64
	}
	ended := map[client]capture.Request{}
	bad, repeats := 0, 0
	var waits []float64
	honoured, told := 0, 0
	for _, t := range tries {
		if t.Retry {
			repeats++
			if before, ok := ended[client{t.Tenant, t.AffinityHash}]; ok && t.AffinityHash != 0 {
				wait := float64(t.Arrived-before.Arrived-before.Duration) / 1e6
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
		if t.Outcome == "refused" || t.Outcome == "turned" || t.Outcome == "failed" {
			if !t.Retry {
				bad++
			}
			if t.AffinityHash != 0 {
				ended[client{t.Tenant, t.AffinityHash}] = t
			}
		}
	}
	r := &x.Load.Retries
	switch {
	case bad < 20:
		x.warn("only %d first tries were refused or failed: what clients do then is not known, and one repeat after 50 ms is taken", bad)
		*r = fleetsim.Retries{Max: 1, WaitMs: 50, HonourRetryAfter: true}
		return
	case repeats > 0:
		r.Max = max(int(math.Round(float64(repeats)/float64(bad))), 1)
	}
	x.addFigure("repeats for a first try that was refused or failed", float64(repeats)/float64(bad), 1.96*math.Sqrt(float64(repeats))/float64(bad), bad)
	if len(waits) >= 10 {
		sort.Float64s(waits)
		r.WaitMs = stat.Quantile(0.5, stat.Empirical, waits, nil)
		r.HonourRetryAfter = honoured*2 > told
		x.addFigure("wait before a repeat, ms", r.WaitMs, -1, len(waits))
	} else if repeats > 0 {
		x.warn("the wait before a repeat is not known (no subjects): 50 ms are taken")
		r.WaitMs, r.HonourRetryAfter = 50, true
	}
}
