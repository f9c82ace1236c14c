package decision

import (
	"math/rand/v2"
	"time"
)

// lateStartDivisor tells a late start: it comes after this part of the latency target.
const lateStartDivisor = 2

// lateStartShed is the part of the admitted share that is taken off at a start that comes a whole
// latency target late.
const lateStartShed = 0.1

// startRecovery is the part of all jobs that each start lets in again: with a quarter of the starts a whole
// target late the admitted share keeps where it is.
const startRecovery = lateStartShed / 4

// excessBackoff is what is left of the admitted share of excess at each sign of too much load.
const excessBackoff = 0.8

// excessRecovery is the part of all excess that each answer lets in again.
const excessRecovery = 0.005

// minAdmittedShare is the least part of jobs that is let in: without any, nothing would tell when
// overload is over.
const minAdmittedShare = 0.02

// retryAfterBase and retryAfterSpread bound the time, in ticks, after which a client is told to come back
// while all jobs are let in.
const (
	retryAfterBase   = 0.5
	retryAfterSpread = 1
)

// loadShedder holds which part of the jobs is let in. It observes late starts, rejections and answers.
type loadShedder struct {
	random        *rand.Rand
	admittedShare float64 // of all jobs
	excessShare   float64 // of jobs beyond their tenant's share
}

func newLoadShedder(random *rand.Rand) *loadShedder {
	return &loadShedder{random: random, admittedShare: 1, excessShare: minAdmittedShare}
}

// sheds draws whether a job is rejected at its arrival.
func (s *loadShedder) sheds(overQuota bool) bool {
	if overQuota && s.random.Float64() > s.excessShare {
		return true
	}
	return s.random.Float64() > s.effectiveShare()
}

// effectiveShare is the share of all jobs that is let in, but for excess.
func (s *loadShedder) effectiveShare() float64 { return max(s.admittedShare, minAdmittedShare) }

// observeStart lets a little more in.
func (s *loadShedder) observeStart() { s.admittedShare = min(s.admittedShare+startRecovery, 1) }

// observeLateStart lets less in, in full once the whole latency target has passed before the start.
func (s *loadShedder) observeLateStart(took, target time.Duration) {
	missedTargets := float64(min(took/max(target, 1), 1))
	s.admittedShare *= 1 - lateStartShed*missedTargets
}

// observeStrain lets less excess in: a job found no free slot.
func (s *loadShedder) observeStrain() {
	s.excessShare = max(s.excessShare*excessBackoff, minAdmittedShare)
}

// observeAnswer lets a little more excess in.
func (s *loadShedder) observeAnswer() { s.excessShare = min(s.excessShare+excessRecovery, 1) }

// retryAfter draws when a rejected job's client is to come back: in about a tick, later the less is let in,
// and at random so that they do not come together. most is the longest time that clients may be told, 0 if
// they are told none.
func (s *loadShedder) retryAfter(tick, most time.Duration) time.Duration {
	ticks := retryAfterBase + retryAfterSpread*s.random.Float64()
	return min(seconds(tick.Seconds()*ticks/s.effectiveShare()), most)
}
