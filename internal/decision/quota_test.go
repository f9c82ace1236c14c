package decision

import (
	"testing"
	"time"
)

// In the first seconds few arrivals are no sign of excess: a third of all jobs were once rejected for it.
func TestFewArrivalsAreWithinQuota(t *testing.T) {
	c := newCheckerWithWorkers(t, 40, nil)
	for id := JobID(1); id < 40; id++ {
		if !c.sendJob(id, []int{0, 1, 0, 2, 0, 3, 1, 0, 4, 2}[id%10]) {
			t.Fatalf("job %d of a quiet start was not sent", id)
		}
		c.outcome(id, 0, OK)
		c.advance(10 * time.Millisecond)
	}
}

// A tenant far beyond its share is shed while there is strain, and others are not. Retries of the
// others' clients, which multiply what they ask for, must not raise what it is due: an overload kept
// itself up that way.
func TestRetriesDoNotRaiseTenantQuota(t *testing.T) {
	admitted := func(retries int) (big, small int) {
		c := newCheckerWithWorkers(t, 40, nil)
		id := JobID(0)
		for step := range 3000 {
			for _, tenant := range []int{0, 0, 0, 0, 1 + step%4} {
				tries := 1
				if tenant > 0 {
					tries += retries
				}
				for try := range tries {
					id++
					sent := c.sendJob(id, tenant)
					if sent && try == 0 && (tenant == 0 || step%8 < 4) {
						if step > 1500 && tenant == 0 {
							big++
						} else if step > 1500 {
							small++
						}
						c.outcome(id, 0, OK)
					}
					// The rest finds every worker full: strain.
					for n := 0; !c.jobs[id].answered && n < len(c.jobs[id].sends); n++ {
						c.outcome(id, n, Rejected)
					}
				}
			}
			c.advance(10 * time.Millisecond)
		}
		return big, small
	}
	big, small := admitted(0)
	if small == 0 || big > 4*small {
		t.Errorf("the tenant beyond its share got %d jobs in, the others together %d", big, small)
	}
	if more, _ := admitted(3); more > big*3/2 {
		t.Errorf("retries of others raised what it got in from %d to %d", big, more)
	}
}
