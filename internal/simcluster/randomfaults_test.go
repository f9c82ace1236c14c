package simcluster

import "time"

const (
	randomFaults                  = 4
	minFaultDuration              = 300 * time.Millisecond
	maxFaultDuration              = 6 * time.Second
	pauseBetweenFaults            = 5 * time.Second // a machine counts as lost for another 4.4 s after its return
	randomFaultReplicationTimeout = 20 * time.Second
)

// injectedFault is a fault that counts as one tolerated loss of a machine.
type injectedFault struct {
	name  string
	begin func(c *Cluster, machine *Machine)
	end   func(c *Cluster, machine *Machine)
	disk  bool // whether the fault needs a machine with a disk
}

func startMachine(_ *Cluster, machine *Machine) { machine.Start() }

var injectedFaults = []injectedFault{
	{name: "kill", begin: func(_ *Cluster, m *Machine) { m.Kill() }, end: startMachine},
	{name: "power loss", begin: func(_ *Cluster, m *Machine) { m.LosePower() }, end: startMachine},
	{name: "disk lost", begin: func(_ *Cluster, m *Machine) { m.LoseDisk() }, end: startMachine, disk: true},
	{name: "SIGTERM", begin: func(_ *Cluster, m *Machine) { m.Terminate() }, end: startMachine},
	{name: "cut off", begin: (*Cluster).Isolate, end: (*Cluster).Reconnect},
	{name: "not heard", begin: (*Cluster).BlockOutgoing, end: (*Cluster).Reconnect},
	{
		name: "disk stalls", disk: true,
		begin: func(_ *Cluster, m *Machine) { m.StallDisk(true) },
		end:   func(_ *Cluster, m *Machine) { m.StallDisk(false) },
	},
	{
		name: "disk is full", disk: true,
		begin: func(_ *Cluster, m *Machine) { m.FillDisk(true) },
		end:   func(_ *Cluster, m *Machine) { m.FillDisk(false) },
	},
	{
		name:  "all killed",
		begin: func(c *Cluster, _ *Machine) { c.Each((*Machine).Kill) },
		end:   func(c *Cluster, _ *Machine) { c.Each((*Machine).Start) },
	},
	{
		name:  "all lose power",
		begin: func(c *Cluster, _ *Machine) { c.Each((*Machine).LosePower) },
		end:   func(c *Cluster, _ *Machine) { c.Each((*Machine).Start) },
	},
}

// runRandomFaults injects random faults one after another, with time to recover in between. During each fault the
// operator changes the configuration.
func runRandomFaults(c *Cluster) {
	time.Sleep(loadWarmUp)
	for range randomFaults {
		fault := c.drawFault()
		machine := c.drawMachine(fault.disk)
		c.t.Logf("%v: %s: %s", c.recorder.now(), machine.Name, fault.name)
		fault.begin(c, machine)
		duration := minFaultDuration + time.Duration(c.random.fraction()*float64(maxFaultDuration-minFaultDuration))
		time.Sleep(duration / 2)
		changed := make(chan struct{})
		go func() {
			defer close(changed)
			c.Operator.MoveRoute(changeTimeout)
		}()
		time.Sleep(duration / 2)
		fault.end(c, machine)
		<-changed
		time.Sleep(pauseBetweenFaults)
		c.AwaitReplication(randomFaultReplicationTimeout)
	}
}

// drawFault returns one of all faults at random.
func (c *Cluster) drawFault() injectedFault {
	index := c.random.intN(len(injectedFaults) + len(connectionFaults))
	if index < len(injectedFaults) {
		return injectedFaults[index]
	}
	return connectionFaults[index-len(injectedFaults)]
}

// drawMachine returns a front or a store at random. If disk is set, it returns a machine that has one.
func (c *Cluster) drawMachine(disk bool) *Machine {
	for {
		machine := c.Machines[c.random.intN(len(c.Machines))]
		if machine.disk != nil || !disk {
			return machine
		}
	}
}
