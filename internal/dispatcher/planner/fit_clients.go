// Fitting what clients do after a refusal or a failure.

package planner

import (
	"math"
	"sort"

	"gonum.org/v1/gonum/stat"

	"gladepick/internal/dispatcher/capture"
	"gladepick/internal/dispatcher/fleetsim"
)

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
		*r = fleetsim.Retries{Most: 1, WaitMs: 50, Honours: true}
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
