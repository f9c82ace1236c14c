package simcluster

import (
	"fmt"
	"sync"
	"time"
)

// The scenarios of this file combine several faults, or faults with operations, as operators met them in the worst
// incidents. docs/replication.md names the mechanism that protects against each of the first five.

const (
	isolationDuration     = 20 * time.Second
	catchUpTime           = 4400 * time.Millisecond // after its return, a machine counts as lost for this long
	isolatedMemberChanges = 250
	concurrentChangePairs = 8
)

// runControlPrimaryIsolatedTwice isolates the primary of the control group from the other machines in both directions.
// Later it isolates the machine that is the primary then, in the outgoing direction only. Meanwhile operators read and
// change the configuration at the isolated machine and at the others.
func runControlPrimaryIsolatedTwice(c *Cluster) {
	time.Sleep(loadWarmUp)
	for _, isolate := range []func(*Cluster, *Machine){(*Cluster).Isolate, (*Cluster).BlockOutgoing} {
		isolated := c.ControlPrimary()
		known := c.Operator.Current()
		isolate(c, isolated)
		var calls sync.WaitGroup
		calls.Go(func() { callIsolatedMachine(c, isolated, known) })
		for range 5 {
			c.Operator.MoveRoute(changeTimeout)
			time.Sleep(isolationDuration / 5)
		}
		calls.Wait()
		c.Reconnect(isolated)
		time.Sleep(recoveryPause)
		c.Operator.ReadAt(isolated)
	}
	time.Sleep(recoveryPause)
}

// callIsolatedMachine reads the configuration at an isolated machine, and sends it changes based on the version that
// the machine may still have in force.
func callIsolatedMachine(c *Cluster, isolated *Machine, known Configuration) {
	secondOperator := c.NewOperator()
	secondOperator.setCurrent(known)
	for started := time.Now(); time.Since(started) < isolationDuration; {
		secondOperator.ReadAt(isolated)
		secondOperator.ReplaceAt(isolated, known.Version, secondOperator.nextConfiguration())
		time.Sleep(700 * time.Millisecond)
	}
}

// runConcurrentChanges makes two operators send different configurations with the same version number. Most responses
// are dropped, so the operators send each change again to other fronts. In every second round the primary of the
// control group is killed meanwhile.
func runConcurrentChanges(c *Cluster) {
	time.Sleep(loadWarmUp)
	secondOperator := c.NewOperator()
	for pair := range concurrentChangePairs {
		newest, found := c.Operator.Read(changeTimeout)
		if !found {
			c.t.Error("the configuration could not be read")
			return
		}
		newest.Services = c.Operator.Current().Services
		var changes sync.WaitGroup
		for _, operator := range []*Operator{c.Operator, secondOperator} {
			operator.setCurrent(newest)
			operator.DropResponses(0.7)
			changes.Go(func() { operator.Replace(newest.Version, operator.nextConfiguration(), changeTimeout) })
		}
		if pair%2 == 1 {
			killed := c.ControlPrimary()
			killed.Kill()
			time.Sleep(300 * time.Millisecond)
			killed.Start()
		}
		changes.Wait()
		c.Operator.DropResponses(0)
	}
	time.Sleep(2 * recoveryPause)
}

// runConsecutiveLosses injects the loss of a second machine as soon as the loss of a first one is repaired: after a
// store was replaced, after a store was retired and removed, and after a member of the control group was replaced. At
// the end one store loses its disk and all other machines lose power.
func runConsecutiveLosses(c *Cluster) {
	time.Sleep(loadWarmUp)
	replacement := c.Replace(c.Store(0))
	time.Sleep(time.Second)
	replacement.Start()
	time.Sleep(catchUpTime)
	c.AwaitReplication(replicationTimeout)
	loseDiskBriefly(c, c.Store(1))

	if !c.Operator.Retire(c.Store(2), 40*time.Second) {
		c.t.Error("the store was not retired within 40 s")
		c.logTable()
	}
	c.Remove(c.Store(2))
	loseDiskBriefly(c, c.Store(3))

	member := c.Replace(c.ControlPrimary())
	time.Sleep(time.Second)
	member.Start()
	time.Sleep(catchUpTime)
	loseDiskBriefly(c, c.ControlPrimary())

	c.Operator.MoveRoute(changeTimeout)
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
	c.AwaitReplication(replicationTimeout)
}

// loseDiskBriefly wipes a machine's disk and waits until the loss is repaired.
func loseDiskBriefly(c *Cluster, machine *Machine) {
	c.t.Logf("%v: %s loses its disk", c.recorder.now(), machine.Name)
	machine.LoseDisk()
	time.Sleep(time.Second)
	machine.Start()
	time.Sleep(catchUpTime)
	c.AwaitReplication(replicationTimeout)
}

// runDisconnectedStores disconnects a store from one of its backups while the control group reaches both. It wipes the
// disk of the store as soon as a partition has no other synced replica, or after a time that differs by round. The
// endpoint is down meanwhile, so its messages stay queued.
func runDisconnectedStores(c *Cluster) {
	time.Sleep(loadWarmUp)
	for _, milliseconds := range []time.Duration{400, 450, 500, 700} {
		one := c.Store(0)
		other := c.firstBackupOf(one)
		endpoint := c.Workers("endpoint")[0]
		endpoint.Stop()
		time.Sleep(time.Second)
		c.Disconnect(one, other)
		for started := time.Now(); time.Since(started) < milliseconds*time.Millisecond && !c.holdsOnlyReplica(one); {
			time.Sleep(time.Millisecond)
		}
		one.LoseDisk()
		time.Sleep(time.Second)
		one.Start()
		c.Connect(one, other)
		time.Sleep(catchUpTime)
		endpoint.Restart()
		c.AwaitReplication(replicationTimeout)
	}
}

// firstBackupOf returns the machine with the first backup of the first partition whose primary is the given machine.
func (c *Cluster) firstBackupOf(machine *Machine) *Machine {
	for _, partition := range c.Table().Partitions {
		if primary, found := partition.Primary(); found && primary.Store == machine.Name {
			return c.Machine(partition.Replicas[1].Store)
		}
	}
	c.t.Fatalf("%s leads no partition", machine.Name)
	return nil
}

// holdsOnlyReplica reports whether a machine is the primary of a partition that has no other synced replica.
func (c *Cluster) holdsOnlyReplica(machine *Machine) bool {
	for _, partition := range c.Table().Partitions {
		if primary, found := partition.Primary(); found && primary.Store == machine.Name && partition.SyncedReplicas() == 1 {
			return true
		}
	}
	return false
}

// runManyChangesWithMemberIsolated makes isolatedMemberChanges changes while a member of the control group is isolated.
// Once that member has caught up, the disk of the control group's primary is wiped, and later all machines lose power.
// The system recovers only if that member and one other hold all changes.
func runManyChangesWithMemberIsolated(c *Cluster) {
	time.Sleep(loadWarmUp)
	primary := c.ControlPrimary()
	isolated := c.Front(0)
	if isolated == primary {
		isolated = c.Front(1)
	}
	c.Isolate(isolated)
	c.Operator.Exclude(isolated)
	defer c.Operator.Exclude(nil)
	for change := range isolatedMemberChanges {
		if !c.Operator.MoveRoute(changeTimeout) {
			c.t.Errorf("change %d was not acknowledged", change)
			return
		}
	}
	c.Reconnect(isolated)
	time.Sleep(catchUpTime)
	c.Operator.ReadAt(isolated)
	primary.LoseDisk()
	time.Sleep(catchUpTime)
	c.Operator.MoveRoute(changeTimeout)
	c.Operator.ReadAt(isolated)
	primary.Start()
	time.Sleep(catchUpTime)
	c.Each((*Machine).LosePower)
	time.Sleep(time.Second)
	c.Each((*Machine).Start)
	time.Sleep(2 * recoveryPause)
	c.AwaitReplication(replicationTimeout)
}

// runConnectionResets resets connections of all machines repeatedly, and wipes the disk of a store meanwhile, so that
// replicas are copied during the resets.
func runConnectionResets(c *Cluster) {
	time.Sleep(loadWarmUp)
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
	c.AwaitReplication(replicationTimeout)
}

// connectionFaults isolate a machine, some of them together with others, or reset its connections.
var connectionFaults = []injectedFault{
	{
		name:  "half of the system isolated",
		begin: func(c *Cluster, m *Machine) { c.Split(c.otherHalf(m)...) },
		end:   func(c *Cluster, m *Machine) { c.Join(c.otherHalf(m)...) },
	},
	{
		name:  "isolated with its zone",
		begin: func(c *Cluster, m *Machine) { c.Split(c.zoneOf(m)...) },
		end:   func(c *Cluster, m *Machine) { c.Join(c.zoneOf(m)...) },
	},
	{
		name:  "connections reset",
		begin: func(c *Cluster, m *Machine) { c.ResetConnections(m, 0.8) },
		end:   func(c *Cluster, m *Machine) { c.ResetConnections(m, 0.8) },
	},
	{
		name:  "restarted while isolated",
		begin: func(c *Cluster, m *Machine) { c.Isolate(m); m.Kill() },
		end:   func(c *Cluster, m *Machine) { m.Start(); time.Sleep(time.Second); c.Reconnect(m) },
	},
	{
		name:  "isolated, then the others killed",
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

// otherHalf returns every second machine of each class. The length of the machine's name selects which half.
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

// zoneOf returns the machines in the zone of a machine.
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

// String implements fmt.Stringer, for failure messages.
func (m *Machine) String() string { return fmt.Sprintf("%s (%s)", m.Name, m.ip) }
