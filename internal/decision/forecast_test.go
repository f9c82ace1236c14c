package decision

import (
	"math"
	"testing"
	"time"
)

// A job earns next to nothing if its client's first try was longer ago than the latency target, or if the
// client leaves before a worker can answer. Such a job must be rejected while others wait: on a measured day,
// 1,258 of 2,180 jobs that timed out had less than half a second left and delayed later jobs.
func TestJobsOfLowExpectedValueAreRejected(t *testing.T) {
	c := newCheckerWithWorkers(t, 60, func(s *Settings) { sharedFleetSettings(s); s.Classes[0].LateValue = 0.2 })
	run := time.Duration(c.dispatcher.times.runSeconds[0] * float64(time.Second))
	for id, tc := range []struct {
		peerSlots float64
		timeLeft  time.Duration
		retry     bool
		sent      bool
	}{{4, 4 * time.Second, false, true}, {4, run / 10, false, false}, {4, time.Second, true, false},
		{0, run / 10, false, true}, {0, time.Second, true, true}} { // without waiting jobs they are sent
		for k := range c.dispatcher.load.groupLoad {
			c.dispatcher.load.groupLoad[k], c.dispatcher.load.slotsSeen[k/2] = tc.peerSlots, 4
		}
		job := JobID(id + 1)
		c.event(Event{Kind: EventJob, Job: job, Tenant: id, Slots: 1, Retry: tc.retry, Deadline: c.now + tc.timeLeft})
		if sent := len(c.jobs[job].sends) > 0; sent != tc.sent {
			t.Errorf("peers use %v of 4 slots, %v left, retry %v: sent %v", tc.peerSlots, tc.timeLeft, tc.retry, sent)
		}
	}
}

// Late answers earn little and delay later jobs. With all kinds busy, two thirds of the jobs of some seconds
// were late although rejecting a fifth would have been enough. Jobs that are likely late must be rejected at
// once, and jobs of the highest value must be sent.
func TestLikelyLateJobsAreRejected(t *testing.T) {
	c := newCheckerWithWorkers(t, 60, func(s *Settings) { sharedFleetSettings(s); s.Classes[4].Value = 20 })
	for id, tc := range []struct {
		peerSlots float64
		class     int
		sent      bool
	}{{2, 0, true}, {6, 0, false}, {6, 4, true}, {16, 4, false}} {
		for k := range c.dispatcher.load.groupLoad {
			c.dispatcher.load.groupLoad[k], c.dispatcher.load.slotsSeen[k/2] = tc.peerSlots, 4
		}
		job := JobID(id + 1)
		c.event(Event{Kind: EventJob, Job: job, Class: tc.class, Tenant: id, Slots: 1, Deadline: c.now + 4*time.Second})
		if sent := len(c.jobs[job].sends) > 0; sent != tc.sent || c.jobs[job].answered == sent {
			t.Errorf("peers use %v of 4 slots, class %d: sent %v, answered %v", tc.peerSlots, tc.class, sent, c.jobs[job].answered)
		}
	}
}

// Jobs must stay in their zone if crossing zones is expensive. With four dispatchers, locality only broke
// ties, and with a slow kind beside a fast one nine in ten jobs crossed zones, which cost 0.058 to 0.075 of
// the gain on each quick day. A slow local kind that still answers in time must be used.
func TestJobsStayInTheirZoneWhereCrossingIsExpensive(t *testing.T) {
	for _, tc := range []struct {
		price       float64
		least, most int
	}{{0.08, 285, 300}, {0.01, 0, 200}} { // a third of the workers are local
		local := 0
		newCheckerWithWorkers(t, 60,
			func(s *Settings) { costlyZoneSettings(s); s.CrossZoneCost = tc.price }).serveSequentially(400,
			func(id JobID, w Entry) workerReply {
				local += boolToInt(w.Zone == 0 && id > 100)
				return workerReply{startDelay: time.Millisecond, run: time.Duration(100+60*w.Kind) * time.Millisecond, free: 4}
			})
		if local < tc.least || local > tc.most {
			t.Errorf("cross-zone cost %v: %d of 300 jobs stay in their zone", tc.price, local)
		}
	}
}

// If value grows with the run time, short and long classes must have the same value density. With a fixed
// value, the shorter class counted as 2.5 times as dense and was sent into queues that made it late.
func TestValueByWorkHasEqualDensityInAllClasses(t *testing.T) {
	for byWork, want := range map[bool]float64{true: 1.25, false: 2.5} {
		s := testSettings()
		s.ValueByWork, s.Classes[0].Value, s.Classes[1].Value = byWork, 10, 8
		s.Classes[2], s.Classes[3], s.Classes[4] = s.Classes[1], s.Classes[1], s.Classes[1]
		d := newTestDispatcher(t, s, 1)
		d.times.runSeconds = []float64{0.4, 0.8, 0.8, 0.8, 0.8}
		if got := d.forecasts.density(&jobState{}); math.Abs(got-want) > 1e-9 {
			t.Errorf("value by work %v: the short class has a density of %v, want %v", byWork, got, want)
		}
	}
}
