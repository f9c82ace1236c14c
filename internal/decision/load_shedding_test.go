package decision

import (
	"testing"
	"time"
)

// A job that starts too late to be in time tells what a rejection tells: its worker is left alone for a
// moment and excess is shed; long queues hid an overload, and every third job of a quiet day started after
// its latency target.
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
		if left := c.dispatcher.workers.byID[to].backoffUntil > c.now; left != late || (c.dispatcher.shedder.overQuotaShare < 1) != late {
			t.Errorf("late %v: left alone %v, excess let in %v", late, left, c.dispatcher.shedder.overQuotaShare)
		}
	}
}

// Queues long enough to take everything hid an overload: nothing was rejected and nearly all answers were
// late. Where more than a fifth of the starts comes after the whole latency target, part of all jobs is
// rejected at once, and no more of them once starts are prompt.
func TestLateStartsShedJobs(t *testing.T) {
	c := newCheckerWithWorkers(t, 24, func(s *Settings) { s.Classes[1].LateValue = 0.5 })
	id := JobID(0)
	part := func(late int) float64 { // every so manieth start is late
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
			if n%late == 0 {
				c.advance(310 * time.Millisecond)
			}
			c.event(Event{Kind: EventJobProgress, Job: id, Worker: c.jobs[id].sends[0].to.Worker, Progress: JobStarted})
			c.outcome(id, 0, OK)
			c.advance(20 * time.Millisecond)
		}
		return float64(rejected) / 200
	}
	if p := part(10); p > 0.1 {
		t.Errorf("a tenth late: %v rejected", p)
	}
	if p := part(2); p < 0.4 {
		t.Errorf("half late: only %v rejected", p)
	}
	if p := part(1000); p > 0.05 {
		t.Errorf("prompt again: %v rejected", p)
	}
}

// A rejection tells when to come back, where clients are told: within the stated limit, not all together,
// later the less is let in. A failure tells nothing, and where clients are not told neither does a rejection.
func TestRejectionsCarryRetryAfter(t *testing.T) {
	times := func(told bool, let float64, class int) map[time.Duration]bool {
		c := newCheckerWithWorkers(t, 0, func(s *Settings) { s.RetryAfter, s.MaxRetryAfter = told, time.Second })
		if class == 1 {
			c = newCheckerWithWorkers(t, 24, func(s *Settings) { s.RetryAfter, s.MaxRetryAfter = told, time.Second })
		}
		out := map[time.Duration]bool{}
		for id := JobID(1); id <= 20; id++ {
			c.dispatcher.shedder.admittedShare = 1
			c.event(Event{Kind: EventJob, Job: id, Class: class, Slots: 1, Deadline: c.now + 4*time.Second})
			c.dispatcher.shedder.admittedShare = let
			if class == 1 {
				c.outcome(id, 0, Error)
			} else {
				c.dispatcher.reject(&jobState{Event: Event{Job: id}})
			}
			out[c.dispatcher.actions[len(c.dispatcher.actions)-1].RetryAfter] = true
		}
		return out
	}
	for at := range times(true, 0.01, 0) {
		if at <= 0 || at > time.Second {
			t.Errorf("to come back after %v", at)
		}
	}
	if n := len(times(true, 1, 0)); n < 15 {
		t.Errorf("%d different times for 20 rejections", n)
	}
	for name, got := range map[string]map[time.Duration]bool{"not told": times(false, 1, 0), "failed": times(true, 1, 1)} {
		if len(got) != 1 || !got[0] {
			t.Errorf("%s: %v", name, got)
		}
	}
}
