package decision

import (
	"testing"
	"time"
)

// Of workers that are otherwise equal, the one with the lower start delay must be chosen. A new connection
// takes several times the delay to another zone. The delays are learned from the quicker starts.
func TestLowerStartDelayIsPreferred(t *testing.T) {
	c := newCheckerWithWorkers(t, 60,
		func(settings *Settings) {
			sharedFleetSettings(settings)
			settings.Classes[0].LatencyTarget = 200 * time.Millisecond
		})
	localJobs := 0
	c.serveSequentially(400, func(id JobID, w Entry) workerReply {
		wait := time.Duration(id%3) * 20 * time.Millisecond // some jobs wait a little
		if w.Zone != c.settings.Zone {
			return workerReply{startDelay: 120*time.Millisecond + wait, run: 50 * time.Millisecond, free: 1}
		}
		localJobs += boolToInt(id > 100)
		return workerReply{startDelay: time.Millisecond + wait, run: 50 * time.Millisecond, free: 1}
	})
	if local, remote := c.dispatcher.delays.seconds[1][0], c.dispatcher.delays.seconds[0][0]; local > 0.05 ||
		remote < 0.08 || remote > 0.2 {
		t.Errorf("learned start delays: %.3f s within the zone, %.3f s to other zones", local, remote)
	}
	// A third of the workers are local. Choosing among all workers of a kind gave half of the jobs a remote
	// handshake.
	if localJobs < 285 {
		t.Errorf("%d of 300 jobs stay in their zone although it has free slots", localJobs)
	}
	// What is learned about local workers must not affect the estimates for remote ones, or vice versa.
	for k := range c.dispatcher.load.slotsSeen {
		c.dispatcher.load.groupLoad[2*k], c.dispatcher.load.groupLoad[2*k+1] = 0, 16
	}
	clear(c.dispatcher.workers.byID) // drop the estimates for each worker; the list that follows adds them again
	entries := make([]Entry, len(c.dispatcher.workers.ordered))
	for i, w := range c.dispatcher.workers.ordered {
		entries[i] = w.Entry
	}
	c.event(Event{Kind: EventList, List: ListFull, Entries: entries})
	for id := JobID(1000); id < 1020; id++ {
		if !c.sendJob(id, int(id)%5) || c.jobs[id].sends[0].to.Zone == c.settings.Zone {
			t.Errorf("job %d is rejected or stays in its full zone", id)
		}
	}
}
