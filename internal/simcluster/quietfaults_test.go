package simcluster

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

const (
	quietTime        = 5 * time.Second  // without messages and faults, before the fault
	allEndedTimeout  = time.Minute      // until all messages have ended after the load
	quietFaultWatch  = 12 * time.Second // after the fault
	quietRestartTime = 300 * time.Millisecond
)

// quietFault is a fault that begins while no message is queued and no client sends any.
type quietFault struct {
	name string
	play func(c *Cluster)
}

// restartAfter makes a fault of some stores that ends when they are started again, one after another.
func restartAfter(begin func(*Machine), wait time.Duration, stores ...int) func(c *Cluster) {
	return func(c *Cluster) {
		for _, number := range stores {
			begin(c.Store(number))
		}
		for _, number := range stores {
			time.Sleep(wait)
			c.Store(number).Start()
		}
	}
}

var quietFaults = []quietFault{
	{"a store is killed", restartAfter((*Machine).Kill, quietRestartTime, 1)},
	{"a store is killed for longer than its lease", restartAfter((*Machine).Kill, 2*time.Second, 1)},
	{"a store loses power", restartAfter((*Machine).LosePower, quietRestartTime, 2)},
	{"a store loses its disk", restartAfter((*Machine).LoseDisk, time.Second, 0)},
	{"two stores are killed", restartAfter((*Machine).Kill, quietRestartTime, 0, 2)},
	{"all stores are killed", restartAfter((*Machine).Kill, quietRestartTime, 3, 1, 0, 2)},
	{"all stores lose power", restartAfter((*Machine).LosePower, 400*time.Millisecond, 0, 1, 2, 3)},
	{"a store is isolated, then restarted", func(c *Cluster) {
		c.Isolate(c.Store(1))
		time.Sleep(3 * time.Second)
		c.Store(1).Kill()
		c.Reconnect(c.Store(1))
		c.Store(1).Start()
	}},
	{"a store is killed while another one is isolated", func(c *Cluster) {
		c.Isolate(c.Store(0))
		time.Sleep(200 * time.Millisecond)
		c.Store(1).Kill()
		time.Sleep(quietRestartTime)
		c.Store(1).Start()
		time.Sleep(time.Second)
		c.Reconnect(c.Store(0))
	}},
	{"everything is killed", func(c *Cluster) {
		c.Each((*Machine).Kill)
		time.Sleep(quietRestartTime)
		c.Each((*Machine).Start)
	}},
}

// TestNothingRunsAgainAfterAFaultInAQuietTime guards against outcomes that only the memory of one process has, or that
// only a backup's disk has: after any fault that the system tolerates, no message that has ended runs again.
func TestNothingRunsAgainAfterAFaultInAQuietTime(t *testing.T) {
	for _, fault := range quietFaults {
		for _, seed := range seeds(t) {
			t.Run(fmt.Sprintf("%s/%d", fault.name, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { playQuietFault(t, fault, seed) })
			})
		}
	}
}

func playQuietFault(t *testing.T, fault quietFault, seed uint64) {
	c := New(t, Options{Seed: seed})
	time.Sleep(loadWarmUp)
	c.Load.stop()
	c.Await(allEndedTimeout, "all messages have ended", func() bool { return c.unfinished() == 0 })
	time.Sleep(quietTime)
	before := c.arrivalCount()
	fault.play(c)
	time.Sleep(quietFaultWatch)
	if after := c.arrivalCount(); after != before {
		t.Errorf("%d runs of messages that had ended before the fault", after-before)
	}
	for _, violation := range Audit(c.Finish()) {
		t.Error(violation)
	}
}

// arrivalCount returns how many requests have arrived at workers.
func (c *Cluster) arrivalCount() int {
	count := 0
	c.recorder.write(func(history *History) { count = len(history.Arrivals) })
	return count
}
