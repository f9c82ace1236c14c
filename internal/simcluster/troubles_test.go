package simcluster

import "time"

const (
	randomTroubles   = 4
	shortestTrouble  = 300 * time.Millisecond
	longestTrouble   = 6 * time.Second
	betweenTroubles  = 5 * time.Second // a machine counts as lost for 4.4 s after it is back
	copiesBackWithin = 20 * time.Second
)

// trouble is something that a tolerated loss may do to a machine.
type trouble struct {
	name  string
	begin func(c *Cluster, machine *Machine)
	end   func(c *Cluster, machine *Machine)
	disk  bool // only for machines that have a disk
}

func startMachine(_ *Cluster, machine *Machine) { machine.Start() }

var troubles = []trouble{
	{name: "kill", begin: func(_ *Cluster, m *Machine) { m.Kill() }, end: startMachine},
	{name: "power loss", begin: func(_ *Cluster, m *Machine) { m.LosePower() }, end: startMachine},
	{name: "lost disk", begin: func(_ *Cluster, m *Machine) { m.LoseDisk() }, end: startMachine, disk: true},
	{name: "SIGTERM", begin: func(_ *Cluster, m *Machine) { m.Terminate() }, end: startMachine},
	{name: "cut off", begin: (*Cluster).Isolate, end: (*Cluster).Rejoin},
	{name: "not heard", begin: (*Cluster).Silence, end: (*Cluster).Rejoin},
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

// playRandomTroubles draws one trouble after the other, with time to recover between them, while an operator makes
// changes.
func playRandomTroubles(c *Cluster) {
	time.Sleep(warmUp)
	for range randomTroubles {
		drawn := c.drawTrouble()
		machine := c.drawMachine(drawn.disk)
		c.t.Logf("%v: %s: %s", c.recorder.now(), machine.Name, drawn.name)
		drawn.begin(c, machine)
		length := shortestTrouble + time.Duration(c.random.part()*float64(longestTrouble-shortestTrouble))
		time.Sleep(length / 2)
		changed := make(chan struct{})
		go func() {
			defer close(changed)
			c.Operator.Move(orderLimit)
		}()
		time.Sleep(length / 2)
		drawn.end(c, machine)
		<-changed
		time.Sleep(betweenTroubles)
		c.AwaitCopies(copiesBackWithin)
	}
}

// drawTrouble draws one of all troubles.
func (c *Cluster) drawTrouble() trouble {
	drawn := c.random.intN(len(troubles) + len(cutIntoHalves))
	if drawn < len(troubles) {
		return troubles[drawn]
	}
	return cutIntoHalves[drawn-len(troubles)]
}

// drawMachine draws a front or a store.
func (c *Cluster) drawMachine(disk bool) *Machine {
	for {
		machine := c.Machines[c.random.intN(len(c.Machines))]
		if machine.disk != nil || !disk {
			return machine
		}
	}
}
