package simcluster

import (
	"slices"
	"time"
)

// Isolate partitions a machine from all other machines of the system, in both directions. Workers, clients, operators
// and the platform still reach it.
func (c *Cluster) Isolate(machine *Machine) {
	c.recorder.beginFault(machine.Name, faultNetwork, false)
	c.eachPeer(machine, func(other *Machine) { c.network.Isolate(machine.ip, other.ip) })
}

// BlockOutgoing stops the traffic from a machine to the other machines of the system. It still receives from them.
func (c *Cluster) BlockOutgoing(machine *Machine) {
	c.recorder.beginFault(machine.Name, faultNetwork, false)
	c.eachPeer(machine, func(other *Machine) { c.network.IsolateOneWay(machine.ip, other.ip) })
}

// Reconnect ends the effect of Isolate and BlockOutgoing on a machine.
func (c *Cluster) Reconnect(machine *Machine) {
	c.eachPeer(machine, func(other *Machine) { c.network.Heal(machine.ip, other.ip) })
	c.recorder.endFaults(machine.Name, faultNetwork)
}

// Disconnect partitions two machines from each other, in both directions. Both still reach all other machines.
func (c *Cluster) Disconnect(one, other *Machine) {
	for _, machine := range []*Machine{one, other} {
		c.recorder.beginFault(machine.Name, faultNetwork, false)
	}
	c.network.Isolate(one.ip, other.ip)
}

// Connect ends the effect of Disconnect.
func (c *Cluster) Connect(one, other *Machine) {
	c.network.Heal(one.ip, other.ip)
	for _, machine := range []*Machine{one, other} {
		c.recorder.endFaults(machine.Name, faultNetwork)
	}
}

// ResetConnections resets a share of a machine's connections, from 0 to 1. The machine keeps running.
func (c *Cluster) ResetConnections(machine *Machine, share float64) {
	c.recorder.beginFault(machine.Name, faultNetwork, false)
	c.network.ResetConnections(machine.ip, share)
	c.recorder.endFaults(machine.Name, faultNetwork)
}

// Split partitions a group of machines from all other machines of the system. Connections within the group remain.
func (c *Cluster) Split(machines ...*Machine) {
	c.eachAcross(machines, func(inside, outside *Machine) { c.network.Isolate(inside.ip, outside.ip) })
	for _, machine := range machines {
		c.recorder.beginFault(machine.Name, faultNetwork, false)
	}
}

// Join ends the effect of Split.
func (c *Cluster) Join(machines ...*Machine) {
	c.eachAcross(machines, func(inside, outside *Machine) { c.network.Heal(inside.ip, outside.ip) })
	for _, machine := range machines {
		c.recorder.endFaults(machine.Name, faultNetwork)
	}
}

// eachAcross calls a function for each pair of a machine in a group and a machine outside of it.
func (c *Cluster) eachAcross(machines []*Machine, do func(inside, outside *Machine)) {
	for _, inside := range machines {
		c.eachPeer(inside, func(outside *Machine) {
			if !slices.Contains(machines, outside) {
				do(inside, outside)
			}
		})
	}
}

// eachPeer calls a function for each machine other than the given one.
func (c *Cluster) eachPeer(machine *Machine, do func(other *Machine)) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, other := range c.Machines {
		if other != machine {
			do(other)
		}
	}
}

// Each calls a function for all machines of the system, one after another. The simulated clock does not advance
// meanwhile unless the function waits.
func (c *Cluster) Each(do func(machine *Machine)) {
	for _, machine := range append(c.machinesOf(classFront), c.machinesOf(classStore)...) {
		do(machine)
	}
}

// Replace powers a machine off permanently, and adds a machine with the same name and class, an empty disk and another
// IP address. The caller starts the new machine.
func (c *Cluster) Replace(machine *Machine) *Machine {
	machine.LosePower()
	c.recorder.beginFault(machine.Name, faultReplacement, false)
	replacement := c.addMachine(machine.class, machine.Name, machine.Zone, machine.disk != nil)
	return replacement
}

// Remove removes a machine and its disk permanently, as the platform does after the machine has been retired.
func (c *Cluster) Remove(machine *Machine) {
	c.recorder.beginFault(machine.Name, faultRemoval, true)
	if running := machine.process(); running != nil {
		machine.detach(running)
	}
	c.network.PowerOff(machine.ip)
	machine.removed.Store(true)
}

// AddStore adds a store and starts it.
func (c *Cluster) AddStore(name, zone string) *Machine {
	added := c.addMachine(classStore, name, zone, true)
	added.Start()
	return added
}

// Finish ends the load and all faults, waits until the system has completed its work, queries the state of every
// accepted message and stops the cluster. It returns the history.
func (c *Cluster) Finish() *History {
	c.Load.stop()
	c.restoreMachines()
	c.awaitCompletion()
	c.queryStates()
	c.Operator.readBack()
	c.close()
	history := &c.recorder.history
	history.End = c.recorder.now()
	return history
}

// restoreMachines ends all faults that are in effect and starts all machines. Replaced and removed machines stay off.
func (c *Cluster) restoreMachines() {
	c.Each(func(machine *Machine) {
		if c.Machine(machine.Name) != machine || machine.removed.Load() {
			return
		}
		c.Reconnect(machine)
		if machine.disk != nil {
			machine.disk.SetStalled(false)
			machine.disk.SetFull(false)
		}
		machine.Start()
	})
}

// close stops the cluster and waits for all its goroutines.
func (c *Cluster) close() {
	c.closing.Store(true)
	c.Each(func(machine *Machine) {
		if running := machine.process(); running != nil {
			running.stopRequested.Store(true)
		}
	})
	c.Each(func(machine *Machine) {
		machine.Kill()
		c.network.PowerOn(machine.ip) // resets the connections that are left
	})
	c.stop()
	c.Platform.close()
	c.closeWorkers()
	c.processes.Wait()
	c.background.Wait()
	time.Sleep(2 * endedProcessDialTimeout) // pending dials must fail before the bubble's clock stops
}
