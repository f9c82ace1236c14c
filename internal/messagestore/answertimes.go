package messagestore

import "time"

// How long the stores may take to answer a message before one of them counts as silent.
const (
	initialSilence  = 150 * time.Millisecond // before any answer is known, and the longest
	shortestSilence = 60 * time.Millisecond

	meanGain        = 1. / 8 // weight of an answer's time in the mean
	deviationGain   = 1. / 4 // weight of an answer's distance from the mean in the mean deviation
	deviationFactor = 6
)

// answerTimes follows how long stores take to answer. Its bound is made as that of TCP for the time after which a segment is
// sent again (RFC 6298): the mean and some mean deviations, which follow load, disks and links as they change.
type answerTimes struct {
	mean      float64 // nanoseconds
	deviation float64
	known     bool
}

// note takes in an answer.
func (a *answerTimes) note(took time.Duration) {
	sample := float64(took)
	if !a.known {
		a.known, a.mean, a.deviation = true, sample, sample/2
		return
	}
	distance := max(sample-a.mean, a.mean-sample)
	a.deviation += deviationGain * (distance - a.deviation)
	a.mean += meanGain * (sample - a.mean)
}

// silence is after how long without an answer a store counts as silent.
func (a *answerTimes) silence() time.Duration {
	if !a.known {
		return initialSilence
	}
	bound := time.Duration(a.mean + deviationFactor*a.deviation)
	return min(max(bound, shortestSilence), initialSilence)
}
