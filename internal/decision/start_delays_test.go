package decision

import (
	"testing"
	"time"
)

// A connection that has to be made takes several times the way to another zone. How long each kind of
// start takes is learned from the quicker starts, and of workers that are alike the one that answers
// sooner is taken.
func TestLowerStartDelayIsPreferred(t *testing.T) {
	c := newCheckerWithWorkers(t, 60, func(settings *Settings) {
		sharedFleetSettings(settings)
		settings.Classes[0].LatencyTarget = 200 * time.Millisecond
	})
	near := 0
	c.serveSequentially(400, func(id JobID, w Entry) workerReply {
		some := time.Duration(id%3) * 20 * time.Millisecond // some wait a little
		if w.Zone != c.settings.Zone {
			return workerReply{startDelay: 120*time.Millisecond + some, run: 50 * time.Millisecond, free: 1}
		}
		near += boolToInt(id > 100)
		return workerReply{startDelay: time.Millisecond + some, run: 50 * time.Millisecond, free: 1}
	})
	if own, far := c.dispatcher.delays.seconds[1][0], c.dispatcher.delays.seconds[0][0]; own > 0.05 || far < 0.08 || far > 0.2 {
		t.Errorf("ways learned: %.3f s in its zone, %.3f s beyond", own, far)
	}
	if near < 285 { // a third of all are near; picked from all of a kind, half the jobs paid for a far handshake
		t.Errorf("%d of 300 jobs stay near, with room there", near)
	}
	// What is learned of the own zone's workers says nothing of the others, and the other way round.
	for k := range c.dispatcher.load.slotsSeen {
		c.dispatcher.load.groupLoad[2*k], c.dispatcher.load.groupLoad[2*k+1] = 0, 16
	}
	clear(c.dispatcher.workers.byID) // what was learned of each goes, and the list that follows brings all anew
	entries := make([]Entry, len(c.dispatcher.workers.ordered))
	for i, w := range c.dispatcher.workers.ordered {
		entries[i] = w.Entry
	}
	c.event(Event{Kind: EventList, List: ListFull, Entries: entries})
	for id := JobID(1000); id < 1020; id++ {
		if !c.sendJob(id, int(id)%5) || c.jobs[id].sends[0].to.Zone == c.settings.Zone {
			t.Errorf("job %d is rejected, or stays in the full own zone", id)
		}
	}
}
