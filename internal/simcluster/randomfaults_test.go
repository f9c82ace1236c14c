package simcluster

import "time"

const (
	randomFaults           = 4
	minFaultDuration       = 300 * time.Millisecond
	maxFaultDuration       = 6 * time.Second
	pauseBetweenFaults     = 5 * time.Second // a machine counts as lost for 4.4 s after it is back
	randomFaultCopiesLimit = 20 * time.Second
)

// injectedFault is a fault that counts as one tolerated loss.
type injectedFault struct {
	name  string
	begin func(c *Cluster, machine *Machine)
	end   func(c *Cluster, machine *Machine)
	disk  bool // only for machines that have a disk
}

func startMachine(_ *Cluster, machine *Machine) { machine.Start() }

var injectedFaults = []injectedFault{
	{name: "kill", begin: func(_ *Cluster, m *Machine) { m.Kill() }, end: startMachine},
	{name: "power loss", begin: func(_ *Cluster, m *Machine) { m.LosePower() }, end: startMachine},
	{name: "lost disk", begin: func(_ *Cluster, m *Machine) { m.LoseDisk() }, end: startMachine, disk: true},
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
		name:  "all without power",
		begin: func(c *Cluster, _ *Machine) { c.Each((*Machine).LosePower) },
		end:   func(c *Cluster, _ *Machine) { c.Each((*Machine).Start) },
	},
}

// playRandomFaults injects randomly drawn faults one after another, with time to recover between them, while an
// operator makes changes.
func playRandomFaults(c *Cluster) {
	time.Sleep(warmUp)
	for range randomFaults {
		drawn := c.drawFault()
		machine := c.drawMachine(drawn.disk)
		c.t.Logf("%v: %s: %s", c.recorder.now(), machine.Name, drawn.name)
		drawn.begin(c, machine)
		length := minFaultDuration + time.Duration(c.random.fraction()*float64(maxFaultDuration-minFaultDuration))
		time.Sleep(length / 2)
		changed := make(chan struct{})
		go func() {
			defer close(changed)
			c.Operator.MoveRoute(orderLimit)
		}()
		time.Sleep(length / 2)
		drawn.end(c, machine)
		<-changed
		time.Sleep(pauseBetweenFaults)
		c.AwaitReplication(randomFaultCopiesLimit)
	}
}

// drawFault draws one of all faults.
func (c *Cluster) drawFault() injectedFault {
	drawn := c.random.intN(len(injectedFaults) + len(partitionFaults))
	if drawn < len(injectedFaults) {
		return injectedFaults[drawn]
	}
	return partitionFaults[drawn-len(injectedFaults)]
}

// drawMachine draws a front or a store, one with a disk if the fault needs it.
func (c *Cluster) drawMachine(disk bool) *Machine {
	for {
		machine := c.Machines[c.random.intN(len(c.Machines))]
		if machine.disk != nil || !disk {
			return machine
		}
	}
}
