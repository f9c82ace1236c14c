package decision

import (
	"testing"
	"time"
)

// A few arrivals in the first seconds must not count as over quota. They once did, and a third of all jobs
// were rejected.
func TestFewArrivalsAreWithinQuota(t *testing.T) {
	c := newCheckerWithWorkers(t, 40, nil)
	for id := JobID(1); id < 40; id++ {
		if !c.sendJob(id, []int{0, 1, 0, 2, 0, 3, 1, 0, 4, 2}[id%10]) {
			t.Fatalf("job %d was not sent although the load is low", id)
		}
		c.outcome(id, 0, OK)
		c.advance(10 * time.Millisecond)
	}
}

// Under saturation, jobs of a tenant far beyond its share must be shed and those of others admitted. Retries
// by the clients of the others multiply their arrivals and must not raise the tenant's due. When
// they did, an overload sustained itself.
func TestRetriesDoNotRaiseTenantQuota(t *testing.T) {
	admitted := func(retries int) (overShare, others int) {
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
							overShare++
						} else if step > 1500 {
							others++
						}
						c.outcome(id, 0, OK)
					}
					// All other attempts are rejected by full workers.
					for n := 0; !c.jobs[id].answered && n < len(c.jobs[id].sends); n++ {
						c.outcome(id, n, Rejected)
					}
				}
			}
			c.advance(10 * time.Millisecond)
		}
		return overShare, others
	}
	overShare, others := admitted(0)
	if others == 0 || overShare > 4*others {
		t.Errorf("%d jobs of the tenant beyond its share were admitted, %d of all others", overShare, others)
	}
	if more, _ := admitted(3); more > overShare*3/2 {
		t.Errorf("retries of others raised the admitted jobs of the tenant from %d to %d", overShare, more)
	}
}
