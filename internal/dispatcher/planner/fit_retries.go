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
	honoured   int // those waits that were at least honouredRetryShare of Retry-After
}

// fitRetries fits how clients retry after a rejection or a failure.
func (fit *Fit) fitRetries(requests []capture.Request) {
	waits := collectRetryWaits(requests)
	retries := &fit.Load.Retries
	if waits.failed < minFailedRequests {
		fit.warn("only %d first tries were refused or failed: what clients do then is not known, and one repeat after 50 ms is taken", waits.failed)
		*retries = fleetsim.Retries{Max: 1, WaitMs: defaultRetryWaitMs, HonourRetryAfter: true}
		return
	}
	if waits.retries > 0 {
		retries.Max = max(int(math.Round(float64(waits.retries)/float64(waits.failed))), 1)
	}
	fit.addFigure("repeats for a first try that was refused or failed", float64(waits.retries)/float64(waits.failed), normalQuantile*math.Sqrt(float64(waits.retries))/float64(waits.failed), waits.failed)
	if len(waits.waitsMs) >= minRetryWaits {
		sort.Float64s(waits.waitsMs)
		retries.WaitMs = stat.Quantile(0.5, stat.Empirical, waits.waitsMs, nil)
		retries.HonourRetryAfter = waits.honoured*2 > waits.retryAfter
		fit.addFigure("wait before a repeat, ms", retries.WaitMs, -1, len(waits.waitsMs))
	} else if waits.retries > 0 {
		fit.warn("the wait before a repeat is not known (no subjects): 50 ms are taken")
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
	waits := &retryWaits{}
	failed := map[client]capture.Request{}
	for _, request := range requests {
		sender := client{request.Tenant, request.AffinityHash}
		if request.Retry {
			waits.retries++
			if before, ok := failed[sender]; ok && request.AffinityHash != 0 {
				waits.add(before, request)
			}
		}
		if request.Outcome == capture.OutcomeRejected || request.Outcome == capture.OutcomeOverflowed || request.Outcome == capture.OutcomeFailed {
			if !request.Retry {
				waits.failed++
			}
			if request.AffinityHash != 0 {
				failed[sender] = request
			}
		}
	}
	return waits
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
