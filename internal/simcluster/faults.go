package simcluster

import (
	"slices"
	"time"
)

// Isolate cuts a machine off from all other machines of the system, in both directions. Workers, clients and the
// platform still reach it.
func (c *Cluster) Isolate(machine *Machine) {
	c.recorder.beginTrouble(machine.Name, troubleNetwork, false)
	c.eachPeer(machine, func(other *Machine) { c.network.Isolate(machine.ip, other.ip) })
}

// Silence cuts what a machine sends to the other machines of the system. It still hears them.
func (c *Cluster) Silence(machine *Machine) {
	c.recorder.beginTrouble(machine.Name, troubleNetwork, false)
	c.eachPeer(machine, func(other *Machine) { c.network.IsolateOneWay(machine.ip, other.ip) })
}

// Rejoin ends Isolate and Silence.
func (c *Cluster) Rejoin(machine *Machine) {
	c.eachPeer(machine, func(other *Machine) { c.network.Heal(machine.ip, other.ip) })
	c.recorder.endTroubles(machine.Name, troubleNetwork)
}

// ResetConnections resets a part of a machine's connections.
func (c *Cluster) ResetConnections(machine *Machine, part float64) {
	c.recorder.beginTrouble(machine.Name, troubleNetwork, false)
	c.network.ResetConnections(machine.ip, part)
	c.recorder.endTroubles(machine.Name, troubleNetwork)
}

// Split cuts some machines of the system off from all its others, and leaves them connected with one another.
func (c *Cluster) Split(machines ...*Machine) {
	c.eachAcross(machines, func(inside, outside *Machine) { c.network.Isolate(inside.ip, outside.ip) })
	for _, machine := range machines {
		c.recorder.beginTrouble(machine.Name, troubleNetwork, false)
	}
}

// Join ends Split.
func (c *Cluster) Join(machines ...*Machine) {
	c.eachAcross(machines, func(inside, outside *Machine) { c.network.Heal(inside.ip, outside.ip) })
	for _, machine := range machines {
		c.recorder.endTroubles(machine.Name, troubleNetwork)
	}
}

func (c *Cluster) eachAcross(machines []*Machine, act func(inside, outside *Machine)) {
	for _, inside := range machines {
		c.eachPeer(inside, func(outside *Machine) {
			if !slices.Contains(machines, outside) {
				act(inside, outside)
			}
		})
	}
}

func (c *Cluster) eachPeer(machine *Machine, act func(other *Machine)) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, other := range c.Machines {
		if other != machine {
			act(other)
		}
	}
}

// Each does something to all machines of the system at one moment.
func (c *Cluster) Each(act func(machine *Machine)) {
	for _, machine := range append(c.machinesOf(classFront), c.machinesOf(classStore)...) {
		act(machine)
	}
}

// Replace puts a machine of the same name, with an empty disk and at another address, in the place of one that goes
// for good.
func (c *Cluster) Replace(machine *Machine) *Machine {
	machine.LosePower()
	c.recorder.beginTrouble(machine.Name, troubleReplacing, false)
	successor := c.addMachine(machine.class, machine.Name, machine.Zone, machine.disk != nil)
	return successor
}

// Remove takes a machine away for good, with its disk, as the platform does after it was retired.
func (c *Cluster) Remove(machine *Machine) {
	c.recorder.beginTrouble(machine.Name, troubleRemoval, true)
	if running := machine.process(); running != nil {
		machine.end(running)
	}
	c.network.PowerOff(machine.ip)
	machine.removed.Store(true)
}

// AddStore starts one more store.
func (c *Cluster) AddStore(name, zone string) *Machine {
	added := c.addMachine(classStore, name, zone, true)
	added.Start()
	return added
}

// Finish ends the load and all troubles, gives the system time to end its work, asks it for everything it has
// accepted, and stops it. It returns the history.
func (c *Cluster) Finish() *History {
	c.Load.stop()
	c.restoreMachines()
	c.settle()
	c.askForStates()
	c.Operator.readBack()
	c.close()
	history := &c.recorder.history
	history.End = c.recorder.now()
	return history
}

// restoreMachines ends every trouble that has not ended. A replaced machine stays away.
func (c *Cluster) restoreMachines() {
	c.Each(func(machine *Machine) {
		if c.Machine(machine.Name) != machine || machine.removed.Load() {
			return
		}
		c.Rejoin(machine)
		if machine.disk != nil {
			machine.disk.SetStalled(false)
			machine.disk.SetFull(false)
		}
		machine.Start()
	})
}

// close ends everything that runs.
func (c *Cluster) close() {
	c.closing.Store(true)
	c.Each(func(machine *Machine) {
		if running := machine.process(); running != nil {
			running.told.Store(true)
		}
	})
	c.Each(func(machine *Machine) {
		machine.Kill()
		c.network.PowerOn(machine.ip) // resets what is left of its connections
	})
	c.stop()
	c.Platform.close()
	c.closeWorkers()
	c.processes.Wait()
	c.helpers.Wait()
	time.Sleep(2 * deadDialTime) // a bubble's clock stands still once its test is over
}
