package client

import "time"

// Bounds and weights of the time that a store may take to answer a put before it counts as unhealthy.
const (
	maxResponseTimeout = 150 * time.Millisecond // also used before the first answer
	minResponseTimeout = 60 * time.Millisecond

	meanGain        = 1. / 8 // weight of a response time in the mean
	deviationGain   = 1. / 4 // weight of a response time's distance from the mean in the mean deviation
	deviationFactor = 6      // mean deviations that are added to the mean
)

// responseTimes estimates the response time of the stores. Its time-out is computed like TCP's retransmission time-out
// (RFC 6298): the smoothed mean plus deviationFactor smoothed mean deviations, which adapt to changes of load, disks
// and links.
type responseTimes struct {
	mean      float64 // nanoseconds
	deviation float64 // nanoseconds
	known     bool
}

// record adds a response time to the estimate.
func (r *responseTimes) record(elapsed time.Duration) {
	sample := float64(elapsed)
	if !r.known {
		r.known, r.mean, r.deviation = true, sample, sample/2
		return
	}
	distance := max(sample-r.mean, r.mean-sample)
	r.deviation += deviationGain * (distance - r.deviation)
	r.mean += meanGain * (sample - r.mean)
}

// timeout returns the time without an answer after which a store counts as unhealthy.
func (r *responseTimes) timeout() time.Duration {
	if !r.known {
		return maxResponseTimeout
	}
	estimate := time.Duration(r.mean + deviationFactor*r.deviation)
	return min(max(estimate, minResponseTimeout), maxResponseTimeout)
}
