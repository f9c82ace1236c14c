package decision

import (
	"testing"
	"time"
)

// Idle connections to a draining worker must be closed when any kind of list announces the drain, and after
// each later outcome. A connection that is established after its attempt was abandoned is closed by a second
// action. There must be no further closes, and none at all if no time is stated.
func TestIdleConnectionsAreClosedOnDrains(t *testing.T) {
	for _, kind := range []ListKind{ListDelta, ListFull, ListCached} {
		for _, limit := range []time.Duration{0, 800 * time.Millisecond} {
			c := newCheckerWithWorkers(t, 24, func(s *Settings) { s.DrainCloseWithin = limit })
			want := map[bool]int{true: 1}[limit > 0]
			c.event(Event{Kind: EventJob, Job: 1, Class: 1, Slots: 1, Deadline: c.now + 4*time.Second})
			to := c.jobs[1].sends[0].to
			list := testWorkers(24)
			for i := range list {
				if list[i].Worker == to.Worker {
					list[i].State = Draining
				}
			}
			sendList := func() int {
				c.event(Event{Kind: EventList, List: kind, Entries: list})
				return c.countCloseIdle(to.Worker)
			}
			if n := sendList(); n != want {
				t.Errorf("list %d, limit %v: %d closes when the drain is announced", kind, limit, n)
			}
			if n := sendList(); n != 0 {
				t.Errorf("list %d: closed again at the same list", kind)
			}
			c.outcome(1, 0, Cancelled) // its connection may still be established
			if n := c.countCloseIdle(to.Worker); n != want {
				t.Errorf("list %d, limit %v: %d closes at the outcome", kind, limit, n)
			}
			later := 0
			for range 300 {
				c.dispatcher.actions = nil
				c.advance(10 * time.Millisecond)
				later += c.countCloseIdle(to.Worker)
			}
			if later != want {
				t.Errorf("list %d, limit %v: %d later closes", kind, limit, later)
			}
		}
	}
}
