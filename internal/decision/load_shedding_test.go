package decision

import (
	"testing"
	"time"
)

// A start that is too late for an answer in time must count as a rejection: the worker backs off and
// over-quota jobs are shed. Long queues otherwise hide an overload, and every third job of a quiet day
// started after its latency target.
func TestLateStartCountsAsRejection(t *testing.T) {
	for _, late := range []bool{true, false} {
		c := newCheckerWithWorkers(t, 24, nil)
		c.dispatcher.shedder.overQuotaShare = 1
		c.event(Event{Kind: EventJob, Job: 1, Class: 1, Slots: 1, Deadline: c.now + 4*time.Second})
		to := c.jobs[1].sends[0].to.Worker
		if late {
			c.advance(200 * time.Millisecond)
		}
		c.event(Event{Kind: EventJobProgress, Job: 1, Worker: to, Progress: JobStarted})
		if backingOff := c.dispatcher.workers.byID[to].backoffUntil > c.now; backingOff != late ||
			(c.dispatcher.shedder.overQuotaShare < 1) != late {
			t.Errorf("late %v: backing off %v, admitted share of over-quota jobs %v",
				late, backingOff, c.dispatcher.shedder.overQuotaShare)
		}
	}
}

// Late starts must shed jobs. Queues long enough to take every job hide an overload: nothing was rejected and
// nearly all answers were late. If more than a fifth of the starts come after the whole latency target,
// part of all jobs is rejected at once, until starts are prompt again.
func TestLateStartsShedJobs(t *testing.T) {
	c := newCheckerWithWorkers(t, 24, func(s *Settings) { s.Classes[1].LateValue = 0.5 })
	id := JobID(0)
	rejectedPart := func(lateEvery int) float64 { // each lateEvery-th start is late
		rejected := 0
		for n := range 400 {
			id++
			c.event(Event{Kind: EventJob, Job: id, Class: 1, Tenant: n % 5, Slots: 1, Deadline: c.now + 4*time.Second})
			if len(c.jobs[id].sends) == 0 {
				if n >= 200 {
					rejected++
				}
				c.advance(20 * time.Millisecond)
				continue
			}
			if n%lateEvery == 0 {
				c.advance(310 * time.Millisecond)
			}
			c.event(Event{Kind: EventJobProgress, Job: id, Worker: c.jobs[id].sends[0].to.Worker, Progress: JobStarted})
			c.outcome(id, 0, OK)
			c.advance(20 * time.Millisecond)
		}
		return float64(rejected) / 200
	}
	if p := rejectedPart(10); p > 0.1 {
		t.Errorf("a tenth of the starts late: %v rejected", p)
	}
	if p := rejectedPart(2); p < 0.4 {
		t.Errorf("half of the starts late: only %v rejected", p)
	}
	if p := rejectedPart(1000); p > 0.05 {
		t.Errorf("starts prompt again: %v rejected", p)
	}
}

// A rejection must carry a retry-after time if clients are given one: within the stated limit, different
// between clients, and longer the smaller the admitted share is. A failure carries none, and neither does a
// rejection if clients are given none.
func TestRejectionsCarryRetryAfter(t *testing.T) {
	retryAfterTimes := func(tellClients bool, share float64, class int) map[time.Duration]bool {
		c := newCheckerWithWorkers(t, 0, func(s *Settings) { s.RetryAfter, s.MaxRetryAfter = tellClients, time.Second })
		if class == 1 {
			c = newCheckerWithWorkers(t, 24, func(s *Settings) { s.RetryAfter, s.MaxRetryAfter = tellClients, time.Second })
		}
		times := map[time.Duration]bool{}
		for id := JobID(1); id <= 20; id++ {
			c.dispatcher.shedder.admittedShare = 1
			c.event(Event{Kind: EventJob, Job: id, Class: class, Slots: 1, Deadline: c.now + 4*time.Second})
			c.dispatcher.shedder.admittedShare = share
			if class == 1 {
				c.outcome(id, 0, Error)
			} else {
				c.dispatcher.reject(&jobState{Event: Event{Job: id}})
			}
			times[c.dispatcher.actions[len(c.dispatcher.actions)-1].RetryAfter] = true
		}
		return times
	}
	for at := range retryAfterTimes(true, 0.01, 0) {
		if at <= 0 || at > time.Second {
			t.Errorf("retry-after time is %v, want above 0 and at most 1 s", at)
		}
	}
	if n := len(retryAfterTimes(true, 1, 0)); n < 15 {
		t.Errorf("only %d different retry-after times for 20 rejections", n)
	}
	for name, got := range map[string]map[time.Duration]bool{
		"not told": retryAfterTimes(false, 1, 0), "failed": retryAfterTimes(true, 1, 1)} {
		if len(got) != 1 || !got[0] {
			t.Errorf("%s: retry-after times %v, want none", name, got)
		}
	}
}
