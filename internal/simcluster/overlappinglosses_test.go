package simcluster

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

const (
	slowSync        = 100 * time.Millisecond // of the disks that copies are written to, so that a copy takes some time
	copyBeginLimit  = 4 * time.Second        // until another store copies the partitions of a silent one
	silenceLength   = 2800 * time.Millisecond
	lossesRecovered = 12 * time.Second // after all machines are back
)

// silence takes a store away without the loss of its disk.
type silence struct {
	name  string
	begin func(c *Cluster, m *Machine)
	end   func(c *Cluster, m *Machine)
}

var silences = []silence{
	{"killed", func(_ *Cluster, m *Machine) { m.Kill() }, func(_ *Cluster, m *Machine) { m.Start() }},
	{"without power", func(_ *Cluster, m *Machine) { m.LosePower() }, func(_ *Cluster, m *Machine) { m.Start() }},
	{"isolated", (*Cluster).Isolate, (*Cluster).Reconnect},
	{"isolated, then killed", (*Cluster).Isolate, func(c *Cluster, m *Machine) { m.Kill(); c.Reconnect(m); m.Start() }},
	{"not sending", (*Cluster).BlockOutgoing, (*Cluster).Reconnect},
}

// lossMoments are delays after the moment at which a store holds the only synced replica of a partition.
var lossMoments = []time.Duration{0, 30 * time.Millisecond, 150 * time.Millisecond}

// TestNothingIsLostWhenADiskIsLostDuringARepair guards against a repair that leaves one complete replica and forgets the
// one that it replaces: a store is silent for some time and keeps its disk, and while its partitions are copied, the store
// that leads them loses its disk.
func TestNothingIsLostWhenADiskIsLostDuringARepair(t *testing.T) {
	for _, silence := range silences {
		for _, moment := range lossMoments {
			for _, seed := range seeds(t) {
				t.Run(fmt.Sprintf("%s/%v/%d", silence.name, moment, seed), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { playOverlappingLosses(t, silence, moment, seed) })
				})
			}
		}
	}
}

func playOverlappingLosses(t *testing.T, silence silence, moment time.Duration, seed uint64) {
	c := New(t, Options{Seed: seed})
	endpoint := c.Workers("endpoint")[0]
	endpoint.Stop() // its messages stay queued
	time.Sleep(2 * loadWarmUp)
	loser := c.Store(int(seed) % c.options.Stores)
	silent := c.firstBackupOf(loser)
	for _, machine := range c.machinesOf(classStore) {
		if machine != loser {
			machine.disk.SetSyncDelay(slowSync)
		}
	}
	silence.begin(c, silent)
	started := time.Now()
	c.Await(copyBeginLimit, "a partition has one synced replica", func() bool { return c.holdsOnlyReplica(loser) })
	time.Sleep(moment)
	loser.LoseDisk()
	time.Sleep(time.Second)
	loser.Start()
	time.Sleep(silenceLength - time.Since(started))
	silence.end(c, silent)
	for _, machine := range c.machinesOf(classStore) {
		machine.disk.SetSyncDelay(time.Millisecond)
	}
	time.Sleep(lossesRecovered)
	endpoint.Restart()
	c.AwaitReplication(replicationTimeout)
	for _, violation := range Audit(c.Finish()) {
		t.Error(violation)
	}
}
