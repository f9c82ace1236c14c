package client

import "time"

// How long the stores may take to answer a put before one of them counts as unhealthy.
const (
	maxResponseTimeout = 150 * time.Millisecond // also before any answer is known
	minResponseTimeout = 60 * time.Millisecond

	meanGain        = 1. / 8 // weight of a response time in the mean
	deviationGain   = 1. / 4 // weight of a response time's distance from the mean in the mean deviation
	deviationFactor = 6
)

// responseTimes follows how long stores take to answer. Its time-out is made as TCP's retransmission time-out (RFC 6298): the
// mean and some mean deviations, which follow load, disks and links as they change.
type responseTimes struct {
	mean      float64 // nanoseconds
	deviation float64 // nanoseconds
	known     bool
}

// record takes in a response time.
func (r *responseTimes) record(took time.Duration) {
	sample := float64(took)
	if !r.known {
		r.known, r.mean, r.deviation = true, sample, sample/2
		return
	}
	distance := max(sample-r.mean, r.mean-sample)
	r.deviation += deviationGain * (distance - r.deviation)
	r.mean += meanGain * (sample - r.mean)
}

// timeout is after how long without an answer a store counts as unhealthy.
func (r *responseTimes) timeout() time.Duration {
	if !r.known {
		return maxResponseTimeout
	}
	bound := time.Duration(r.mean + deviationFactor*r.deviation)
	return min(max(bound, minResponseTimeout), maxResponseTimeout)
}
