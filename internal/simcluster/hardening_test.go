package simcluster

import (
	"fmt"
	"sync"
	"time"
)

// The five scenarios of this file bring about what operators have met on their worst days; docs/replication.md names the
// mechanism that stands against each.

const (
	isolationDuration = 20 * time.Second
	catchUp           = 4400 * time.Millisecond // after which a machine that is back does not count as lost any more
	manyChanges       = 250
	racePairs         = 8
)

// playControlPrimaryIsolatedTwice partitions the control group's primary from the others in both directions, and
// later its successor in one. Operators read and send changes at the isolated machine, and at the others.
func playControlPrimaryIsolatedTwice(c *Cluster) {
	time.Sleep(warmUp)
	for _, cutOff := range []func(*Cluster, *Machine){(*Cluster).Isolate, (*Cluster).BlockOutgoing} {
		cut := c.ControlPrimary()
		before := c.Operator.Current()
		cutOff(c, cut)
		var asking sync.WaitGroup
		asking.Go(func() { queryIsolatedMachine(c, cut, before) })
		for range 5 {
			c.Operator.MoveRoute(orderLimit)
			time.Sleep(isolationDuration / 5)
		}
		asking.Wait()
		c.Reconnect(cut)
		time.Sleep(recoveryPause)
		c.Operator.ReadAt(cut)
	}
	time.Sleep(recoveryPause)
}

// queryIsolatedMachine reads the configuration at an isolated machine, and sends it changes on top of the version
// that it may still hold.
func queryIsolatedMachine(c *Cluster, cut *Machine, before Configuration) {
	rival := c.NewOperator()
	rival.setCurrent(before)
	for begin := time.Now(); time.Since(begin) < isolationDuration; {
		rival.ReadAt(cut)
		rival.ReplaceAt(cut, before.Version, rival.nextConfiguration())
		time.Sleep(700 * time.Millisecond)
	}
}

// playConcurrentVersion has two operators send different configurations with the same version number, with most
// responses dropped, so that each change is sent again to other machines, while the control group changes its
// primary.
func playConcurrentVersion(c *Cluster) {
	time.Sleep(warmUp)
	rival := c.NewOperator()
	for pair := range racePairs {
		newest, found := c.Operator.Read(orderLimit)
		if !found {
			c.t.Error("the configuration can't be read")
			return
		}
		newest.Services = c.Operator.Current().Services
		var racing sync.WaitGroup
		for _, operator := range []*Operator{c.Operator, rival} {
			operator.setCurrent(newest)
			operator.DropResponses(0.7)
			racing.Go(func() { operator.Replace(newest.Version, operator.nextConfiguration(), orderLimit) })
		}
		if pair%2 == 1 {
			killed := c.ControlPrimary()
			killed.Kill()
			time.Sleep(300 * time.Millisecond)
			killed.Start()
		}
		racing.Wait()
		c.Operator.DropResponses(0)
	}
	time.Sleep(2 * recoveryPause)
}

// playSecondLosses takes a second machine as soon as the loss of the first one is repaired: after a store was
// replaced, after one was retired and removed, and after a member of the control group was replaced; and at the
// end a disk, and the power of all others.
func playSecondLosses(c *Cluster) {
	time.Sleep(warmUp)
	successor := c.Replace(c.Store(0))
	time.Sleep(time.Second)
	successor.Start()
	time.Sleep(catchUp)
	c.AwaitReplication(copiesLimit)
	loseDiskBriefly(c, c.Store(1))

	if !c.Operator.Retire(c.Store(2), 40*time.Second) {
		c.t.Error("the store was not retired in time")
		c.logPlacement()
	}
	c.Remove(c.Store(2))
	loseDiskBriefly(c, c.Store(3))

	member := c.Replace(c.ControlPrimary())
	time.Sleep(time.Second)
	member.Start()
	time.Sleep(catchUp)
	loseDiskBriefly(c, c.ControlPrimary())

	c.Operator.MoveRoute(orderLimit)
	c.Store(4).LoseDisk()
	c.Each(func(machine *Machine) {
		if !machine.removed.Load() {
			machine.LosePower()
		}
	})
	time.Sleep(time.Second)
	c.Each(func(machine *Machine) {
		if !machine.removed.Load() && c.Machine(machine.Name) == machine {
			machine.Start()
		}
	})
	time.Sleep(12 * time.Second)
	c.AwaitReplication(copiesLimit)
}

// loseDiskBriefly wipes a machine's disk and waits until the loss is repaired.
func loseDiskBriefly(c *Cluster, machine *Machine) {
	c.t.Logf("%v: %s loses its disk", c.recorder.now(), machine.Name)
	machine.LoseDisk()
	time.Sleep(time.Second)
	machine.Start()
	time.Sleep(catchUp)
	c.AwaitReplication(copiesLimit)
}

// playDisconnectedStores has a store and a backup of it not reach each other while the control group reaches both, and wipes
// the store's disk as soon as a partition of it has no other complete replica, or when the repair has gone on for a while. The endpoint
// is down meanwhile, so that its messages stay queued.
func playDisconnectedStores(c *Cluster) {
	time.Sleep(warmUp)
	for _, repairing := range []time.Duration{400, 450, 500, 700} {
		one := c.Store(0)
		other := c.backupOf(one)
		endpoint := c.Workers("endpoint")[0]
		endpoint.Stop()
		time.Sleep(time.Second)
		c.Disconnect(one, other)
		for begin := time.Now(); time.Since(begin) < repairing*time.Millisecond && !c.holdsOnlyReplica(one); {
			time.Sleep(time.Millisecond)
		}
		one.LoseDisk()
		time.Sleep(time.Second)
		one.Start()
		c.Connect(one, other)
		time.Sleep(catchUp)
		endpoint.Restart()
		c.AwaitReplication(copiesLimit)
	}
}

// backupOf returns the machine of the first backup of the first partition that a machine leads.
func (c *Cluster) backupOf(machine *Machine) *Machine {
	for _, partition := range c.Table().Partitions {
		if primary, found := partition.Primary(); found && primary.Store == machine.Name {
			return c.Machine(partition.Replicas[1].Store)
		}
	}
	c.t.Fatalf("%s leads no partition", machine.Name)
	return nil
}

// holdsOnlyReplica tells whether a partition has its only complete replica at a machine.
func (c *Cluster) holdsOnlyReplica(machine *Machine) bool {
	for _, partition := range c.Table().Partitions {
		synced := 0
		for _, replica := range partition.Replicas {
			if replica.Synced {
				synced++
			}
		}
		if primary, found := partition.Primary(); found && primary.Store == machine.Name && synced == 1 {
			return true
		}
	}
	return false
}

// playManyChanges makes hundreds of changes while a member is isolated, wipes the disk of another one as soon as
// that member has caught up, and then needs the former member, with one other, to have everything.
func playManyChanges(c *Cluster) {
	time.Sleep(warmUp)
	primary := c.ControlPrimary()
	away := c.Front(0)
	if away == primary {
		away = c.Front(1)
	}
	c.Isolate(away)
	c.Operator.Exclude(away)
	defer c.Operator.Exclude(nil)
	for change := range manyChanges {
		if !c.Operator.MoveRoute(orderLimit) {
			c.t.Errorf("change %d was not acknowledged", change)
			return
		}
	}
	c.Reconnect(away)
	time.Sleep(catchUp)
	c.Operator.ReadAt(away)
	primary.LoseDisk()
	time.Sleep(catchUp)
	c.Operator.MoveRoute(orderLimit)
	c.Operator.ReadAt(away)
	primary.Start()
	time.Sleep(catchUp)
	c.Each((*Machine).LosePower)
	time.Sleep(time.Second)
	c.Each((*Machine).Start)
	time.Sleep(2 * recoveryPause)
	c.AwaitReplication(copiesLimit)
}

// playResets resets connections of all machines again and again, and wipes a store's disk while copies are made.
func playResets(c *Cluster) {
	time.Sleep(warmUp)
	for round := range 30 {
		for _, machine := range append(c.machinesOf(classFront), c.machinesOf(classStore)...) {
			if c.random.fraction() < 0.4 {
				c.ResetConnections(machine, 0.7)
			}
		}
		if round == 5 {
			c.Store(1).LoseDisk()
			time.Sleep(100 * time.Millisecond)
			c.Store(1).Start()
		}
		time.Sleep(150 * time.Millisecond)
	}
	time.Sleep(recoveryPause)
	c.AwaitReplication(copiesLimit)
}

// partitionFaults are faults that isolate a machine together with others, or reset its connections.
var partitionFaults = []injectedFault{
	{
		name:  "half of the system cut off",
		begin: func(c *Cluster, m *Machine) { c.Split(c.otherHalf(m)...) },
		end:   func(c *Cluster, m *Machine) { c.Join(c.otherHalf(m)...) },
	},
	{
		name:  "cut off with its zone",
		begin: func(c *Cluster, m *Machine) { c.Split(c.zoneOf(m)...) },
		end:   func(c *Cluster, m *Machine) { c.Join(c.zoneOf(m)...) },
	},
	{
		name:  "connections reset",
		begin: func(c *Cluster, m *Machine) { c.ResetConnections(m, 0.8) },
		end:   func(c *Cluster, m *Machine) { c.ResetConnections(m, 0.8) },
	},
	{
		name:  "restarted while cut off",
		begin: func(c *Cluster, m *Machine) { c.Isolate(m); m.Kill() },
		end:   func(c *Cluster, m *Machine) { m.Start(); time.Sleep(time.Second); c.Reconnect(m) },
	},
	{
		name:  "left behind, then the others killed",
		begin: (*Cluster).Isolate,
		end: func(c *Cluster, m *Machine) {
			c.Reconnect(m)
			c.Each(func(other *Machine) {
				if other != m {
					other.Kill()
				}
			})
			time.Sleep(500 * time.Millisecond)
			c.Each((*Machine).Start)
		},
	},
}

// otherHalf returns every second machine of each class; the length of the machine's name selects which half.
func (c *Cluster) otherHalf(machine *Machine) []*Machine {
	var half []*Machine
	for _, class := range []string{classFront, classStore} {
		for i, each := range c.machinesOf(class) {
			if i%2 == len(machine.Name)%2 {
				half = append(half, each)
			}
		}
	}
	return half
}

// zoneOf returns the machines of a machine's zone.
func (c *Cluster) zoneOf(machine *Machine) []*Machine {
	var zone []*Machine
	for _, class := range []string{classFront, classStore} {
		for _, each := range c.machinesOf(class) {
			if each.Zone == machine.Zone {
				zone = append(zone, each)
			}
		}
	}
	return zone
}

// String implements fmt.Stringer, for the texts of failures.
func (m *Machine) String() string { return fmt.Sprintf("%s (%s)", m.Name, m.ip) }
