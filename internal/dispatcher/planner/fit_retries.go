package planner

import (
	"math"
	"sort"

	"gonum.org/v1/gonum/stat"

	"gladepick/internal/dispatcher/capture"
	"gladepick/internal/dispatcher/fleetsim"
)

// Constants of the fit of retries.
const (
	minFailedRequests  = 20
	minRetryWaits      = 10
	maxRetryWaitMs     = 5000 // after a longer wait, a request is not taken for a retry of the one before
	defaultRetryWaitMs = 50
	honouredRetryShare = 0.95 // a wait of at least this share of Retry-After has honoured it
)

// retryWaits holds the times from the end of a failed request to its retry. Only requests with an affinity key can be
// matched with their retries.
type retryWaits struct {
	failed     int // first tries that were rejected or failed
	retries    int
	waitsMs    []float64
	retryAfter int // waits after an answer with Retry-After
	honoured   int // those of them that honoured it
}

// fitRetries fits how clients retry after a rejection or a failure.
func (x *Fit) fitRetries(requests []capture.Request) {
	w := collectRetryWaits(requests)
	retries := &x.Load.Retries
	if w.failed < minFailedRequests {
		x.warn("only %d first tries were refused or failed: what clients do then is not known, and one repeat after 50 ms is taken", w.failed)
		*retries = fleetsim.Retries{Max: 1, WaitMs: defaultRetryWaitMs, HonourRetryAfter: true}
		return
	}
	if w.retries > 0 {
		retries.Max = max(int(math.Round(float64(w.retries)/float64(w.failed))), 1)
	}
	x.addFigure("repeats for a first try that was refused or failed", float64(w.retries)/float64(w.failed), normalQuantile*math.Sqrt(float64(w.retries))/float64(w.failed), w.failed)
	if len(w.waitsMs) >= minRetryWaits {
		sort.Float64s(w.waitsMs)
		retries.WaitMs = stat.Quantile(0.5, stat.Empirical, w.waitsMs, nil)
		retries.HonourRetryAfter = w.honoured*2 > w.retryAfter
		x.addFigure("wait before a repeat, ms", retries.WaitMs, -1, len(w.waitsMs))
	} else if w.retries > 0 {
		x.warn("the wait before a repeat is not known (no subjects): 50 ms are taken")
		retries.WaitMs, retries.HonourRetryAfter = defaultRetryWaitMs, true
	}
}

// collectRetryWaits matches each retry with the failed request before it. Requests must be in the order of their
// arrival.
func collectRetryWaits(requests []capture.Request) *retryWaits {
	type client struct {
		tenant       string
		affinityHash uint64
	}
	w := &retryWaits{}
	failed := map[client]capture.Request{}
	for _, r := range requests {
		from := client{r.Tenant, r.AffinityHash}
		if r.Retry {
			w.retries++
			if before, ok := failed[from]; ok && r.AffinityHash != 0 {
				w.add(before, r)
			}
		}
		if r.Outcome == capture.OutcomeRejected || r.Outcome == capture.OutcomeOverflowed || r.Outcome == capture.OutcomeFailed {
			if !r.Retry {
				w.failed++
			}
			if r.AffinityHash != 0 {
				failed[from] = r
			}
		}
	}
	return w
}

// add records the wait between a failed request and its retry, unless it is out of range.
func (w *retryWaits) add(before, retry capture.Request) {
	waitMs := float64(retry.Arrived-before.Arrived-before.Duration) / 1e6
	if waitMs < 0 || waitMs >= maxRetryWaitMs {
		return
	}
	w.waitsMs = append(w.waitsMs, waitMs)
	if before.RetryAfter <= 0 {
		return
	}
	w.retryAfter++
	if waitMs >= float64(before.RetryAfter)/1e6*honouredRetryShare {
		w.honoured++
	}
}
