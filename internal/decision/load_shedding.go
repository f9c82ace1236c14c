package decision

import (
	"math/rand/v2"
	"time"
)

// lateStartDivisor defines a late start: it comes after the latency target divided by lateStartDivisor.
const lateStartDivisor = 2

// lateStartShed is the part by which the admitted share is reduced at a start that comes a whole latency
// target or more after the send.
const lateStartShed = 0.1

// startRecovery is added to the admitted share at each start. The admitted share stays constant while a
// quarter of the starts come a whole latency target or more after the send.
const startRecovery = lateStartShed / 4

// overQuotaBackoff is the factor applied to the admitted share of over-quota jobs at each sign of overload.
const overQuotaBackoff = 0.8

// overQuotaRecovery is added to the admitted share of over-quota jobs at each answer.
const overQuotaRecovery = 0.005

// minAdmittedShare is the lower bound of the admitted share. Without any admitted jobs nothing would show
// that an overload has ended.
const minAdmittedShare = 0.02

// The retry-after time of a rejected client, in ticks, while all jobs are admitted: retryAfterBase plus a
// random part of up to retryAfterSpread.
const (
	retryAfterBase   = 0.5
	retryAfterSpread = 1
)

// loadShedder controls the share of the jobs that is admitted. It observes late starts, rejections and
// answers.
type loadShedder struct {
	random         *rand.Rand
	admittedShare  float64 // of all jobs
	overQuotaShare float64 // of jobs that exceed their tenant's share
}

func newLoadShedder(random *rand.Rand) *loadShedder {
	return &loadShedder{random: random, admittedShare: 1, overQuotaShare: minAdmittedShare}
}

// sheds draws whether a job is rejected at its arrival.
func (s *loadShedder) sheds(overQuota bool) bool {
	if overQuota && s.random.Float64() > s.overQuotaShare {
		return true
	}
	return s.random.Float64() > s.effectiveShare()
}

// effectiveShare returns the admitted share of jobs within the quota.
func (s *loadShedder) effectiveShare() float64 { return max(s.admittedShare, minAdmittedShare) }

// observeStart raises the admitted share a little.
func (s *loadShedder) observeStart() { s.admittedShare = min(s.admittedShare+startRecovery, 1) }

// observeLateStart lowers the admitted share by lateStartShed if the start came at least one latency target
// after the send. The number of missed targets is a whole number, 0 or 1, so an earlier start changes
// nothing.
func (s *loadShedder) observeLateStart(took, target time.Duration) {
	missedTargets := float64(min(took/max(target, 1), 1))
	s.admittedShare *= 1 - lateStartShed*missedTargets
}

// observeSaturation lowers the admitted share of over-quota jobs because a job found no free slot.
func (s *loadShedder) observeSaturation() {
	s.overQuotaShare = max(s.overQuotaShare*overQuotaBackoff, minAdmittedShare)
}

// observeAnswer raises the admitted share of over-quota jobs a little.
func (s *loadShedder) observeAnswer() { s.overQuotaShare = min(s.overQuotaShare+overQuotaRecovery, 1) }

// retryAfter draws the time after which the client of a rejected job may retry: about one tick, longer the
// smaller the admitted share is, and random so that clients do not retry together. most is the longest time
// that clients may be given, 0 if they are given none.
func (s *loadShedder) retryAfter(tick, most time.Duration) time.Duration {
	ticks := retryAfterBase + retryAfterSpread*s.random.Float64()
	return min(seconds(tick.Seconds()*ticks/s.effectiveShare()), most)
}
