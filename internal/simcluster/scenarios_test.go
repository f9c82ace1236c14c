package simcluster

import (
	"sync"
	"time"
)

const (
	warmUp        = 2 * time.Second // of load before anything happens
	recoveryPause = 5 * time.Second
	copiesLimit   = 15 * time.Second
	orderLimit    = 10 * time.Second

	betweenRestarts = 3 * time.Second // of machines that are restarted in turn
)

var scenarios = []scenario{
	{name: "quiet", accepted: 1, ended: 1, play: playQuiet},
	{name: "store killed", accepted: 0.95, ended: 1, play: playStoreKilled},
	{name: "store loses power", accepted: 0.95, ended: 1, play: playStorePowerLoss},
	{name: "all killed", accepted: 0.5, ended: 1, play: playAllKilled},
	{name: "all lose power", accepted: 0.5, ended: 1, play: playAllPowerLoss},
	{name: "store wiped", accepted: 0.9, ended: 1, play: playStoreWiped},
	{name: "stores restarted in turn", accepted: 0.99, ended: 1, play: playRollingStores},
	{name: "fronts restarted in turn", accepted: 0.99, ended: 1, play: playRollingFronts},
	{name: "control primary killed", accepted: 0.95, ended: 1, play: playControlPrimaryKilled},
	{name: "core member cut off", accepted: 0.9, ended: 1, play: playCoreIsolated},
	{name: "store cut off", accepted: 0.9, ended: 1, play: playStoreIsolated},
	{name: "store hears but is not heard", accepted: 0.9, ended: 1, play: playStoreOutgoingBlocked},
	{name: "store's disk stalls", accepted: 0.8, ended: 1, play: playDiskStalled},
	{name: "store's disk is full", accepted: 0.8, ended: 1, play: playDiskFull},
	{name: "store replaced", accepted: 0.9, ended: 1, play: playStoreReplaced},
	{name: "store retired while another dies", accepted: 0.9, ended: 1, play: playRetire, options: Options{Stores: 5}},
	{name: "workers released", accepted: 1, ended: 1, play: playWorkerRelease},
	{name: "endpoint down", accepted: 1, ended: 1, play: playEndpointDown},
	{name: "configuration storm", accepted: 0.95, ended: 1, play: playConfigurationStorm},
	{name: "rate limit under pressure", accepted: 0.9, ended: 1, play: playRateLimit, options: Options{Routes: rateLimitRoutes()}},
	{name: "messages expire", accepted: 1, ended: 1, play: playExpiry, options: Options{Routes: expiryRoutes()}},
	{name: "two stores lost at once", accepted: 0.8, ended: 1, play: playTwoLost, options: twoTolerated},
	{name: "two disks lost, all others without power", accepted: 0.5, ended: 1, play: playFinalFault, options: twoTolerated},
	{name: "control machine cut off for twenty seconds, twice", accepted: 0.9, ended: 1, play: playControlPrimaryIsolatedTwice},
	{name: "two operators under one number, answers lost", accepted: 0.9, ended: 1, play: playConcurrentVersion},
	{name: "second losses right after repairs", accepted: 0.6, ended: 1, play: playSecondLosses, options: Options{Fronts: 5, Stores: 5}},
	{name: "disks lost while two stores are disconnected", accepted: 0.6, ended: 1, play: playDisconnectedStores},
	{name: "hundreds of changes with a member away", accepted: 0.7, ended: 1, play: playManyChanges},
	{name: "connections reset under load", accepted: 0.9, ended: 1, play: playResets},
	{name: "random faults", accepted: 0.6, ended: 1, play: playRandomFaults, options: Options{Fronts: 5, CoreFronts: 4}},
}

// twoTolerated are the options of a cluster that may lose two machines at once.
var twoTolerated = Options{Fronts: 5, CoreFronts: 5, Stores: 5, Tolerated: 2}

func playQuiet(*Cluster) { time.Sleep(10 * time.Second) }

func playStoreKilled(c *Cluster) {
	time.Sleep(warmUp)
	c.Store(1).Kill()
	time.Sleep(time.Second)
	c.Store(1).Start()
	time.Sleep(recoveryPause)
	c.AwaitReplication(copiesLimit)
}

func playStorePowerLoss(c *Cluster) {
	time.Sleep(warmUp)
	c.Store(0).LosePower()
	time.Sleep(4 * time.Second)
	c.Store(0).Start()
	time.Sleep(recoveryPause)
	c.AwaitReplication(copiesLimit)
}

func playAllKilled(c *Cluster) {
	time.Sleep(warmUp)
	c.Each((*Machine).Kill)
	time.Sleep(time.Second)
	c.Each((*Machine).Start)
	time.Sleep(8 * time.Second)
	c.AwaitReplication(copiesLimit)
}

func playAllPowerLoss(c *Cluster) {
	time.Sleep(warmUp)
	c.Operator.MoveRoute(orderLimit)
	c.Each((*Machine).LosePower)
	time.Sleep(2 * time.Second)
	c.Each((*Machine).Start)
	time.Sleep(8 * time.Second)
	c.AwaitReplication(copiesLimit)
}

func playStoreWiped(c *Cluster) {
	time.Sleep(warmUp)
	c.Store(2).LoseDisk()
	time.Sleep(time.Second)
	c.Store(2).Start()
	time.Sleep(recoveryPause)
	c.AwaitReplication(copiesLimit)
}

func playRollingStores(c *Cluster) {
	time.Sleep(warmUp)
	for i := range c.options.Stores {
		c.Store(i).Terminate()
		c.Store(i).Start()
		time.Sleep(betweenRestarts)
	}
	c.AwaitReplication(copiesLimit)
}

func playRollingFronts(c *Cluster) {
	time.Sleep(warmUp)
	for i := range c.options.Fronts {
		c.Front(i).Terminate()
		c.Front(i).Start()
		time.Sleep(betweenRestarts)
	}
}

func playControlPrimaryKilled(c *Cluster) {
	time.Sleep(warmUp)
	rival := c.NewOperator()
	rival.setCurrent(c.Operator.Current())
	var racing sync.WaitGroup
	for _, operator := range []*Operator{c.Operator, rival} {
		racing.Go(func() { changeRepeatedly(operator) })
	}
	time.Sleep(time.Second)
	killed := c.ControlPrimary()
	killed.Kill()
	time.Sleep(1500 * time.Millisecond)
	killed.Start()
	racing.Wait()
	time.Sleep(2 * recoveryPause)
}

// changeRepeatedly has an operator make changes, each on top of the newest version that it can read.
func changeRepeatedly(operator *Operator) {
	for range 5 {
		if !operator.MoveRoute(orderLimit) {
			if read, ok := operator.Read(orderLimit); ok {
				read.Services = operator.Current().Services
				operator.setCurrent(read)
			}
		}
		time.Sleep(time.Duration(operator.cluster.random.intN(500)) * time.Millisecond)
	}
}

func playCoreIsolated(c *Cluster) {
	time.Sleep(warmUp)
	cut := c.ControlPrimary()
	c.Isolate(cut)
	time.Sleep(5 * time.Second)
	c.Operator.MoveRoute(orderLimit)
	c.Reconnect(cut)
	time.Sleep(2 * recoveryPause)
}

func playStoreIsolated(c *Cluster) {
	time.Sleep(warmUp)
	c.Isolate(c.Store(0))
	time.Sleep(6 * time.Second)
	c.Reconnect(c.Store(0))
	time.Sleep(recoveryPause)
	c.AwaitReplication(copiesLimit)
}

func playStoreOutgoingBlocked(c *Cluster) {
	time.Sleep(warmUp)
	c.BlockOutgoing(c.Store(3))
	time.Sleep(6 * time.Second)
	c.Reconnect(c.Store(3))
	time.Sleep(recoveryPause)
	c.AwaitReplication(copiesLimit)
}

func playDiskStalled(c *Cluster) {
	time.Sleep(warmUp)
	c.Store(1).StallDisk(true)
	time.Sleep(6 * time.Second)
	c.Store(1).StallDisk(false)
	time.Sleep(recoveryPause)
	c.AwaitReplication(copiesLimit)
}

func playDiskFull(c *Cluster) {
	time.Sleep(warmUp)
	c.Store(1).FillDisk(true)
	time.Sleep(6 * time.Second)
	c.Store(1).FillDisk(false)
	time.Sleep(recoveryPause)
	c.AwaitReplication(copiesLimit)
}

func playStoreReplaced(c *Cluster) {
	time.Sleep(warmUp)
	successor := c.Replace(c.Store(0))
	time.Sleep(3 * time.Second)
	successor.Start()
	time.Sleep(recoveryPause)
	c.AwaitReplication(copiesLimit)
}

func playRetire(c *Cluster) {
	time.Sleep(warmUp)
	c.AddStore("store-added", c.zone(1))
	time.Sleep(warmUp)
	var retiring sync.WaitGroup
	retiring.Go(func() {
		if !c.Operator.Retire(c.Store(0), 40*time.Second) {
			c.t.Error("the store was not retired in time")
			c.logPlacement()
			return
		}
		c.Remove(c.Store(0))
	})
	time.Sleep(300 * time.Millisecond)
	c.Store(1).Kill()
	time.Sleep(3 * time.Second)
	c.Store(1).Start()
	retiring.Wait()
	time.Sleep(recoveryPause)
	c.AwaitReplication(copiesLimit)
}

func playWorkerRelease(c *Cluster) {
	time.Sleep(warmUp)
	var releasing sync.WaitGroup
	addresses := workerAddresses(c.Workers("plain"))
	for i, worker := range c.Workers("plain") {
		releasing.Go(func() { worker.Release(releaseAddress(i)) })
		time.Sleep(time.Second)
	}
	for _, worker := range c.Workers("orders")[:1] {
		releasing.Go(func() { worker.Release(releaseAddress(10)) })
	}
	releasing.Wait()
	reuseAddress(c, addresses[0])
	time.Sleep(2 * time.Second)
}

// playRateLimit sends a service more than its rate limit allows while a store fails.
func playRateLimit(c *Cluster) {
	time.Sleep(warmUp)
	c.Isolate(c.Store(0))
	time.Sleep(4 * time.Second)
	c.Reconnect(c.Store(0))
	time.Sleep(recoveryPause)
	c.Store(1).Terminate()
	c.Store(1).Start()
	time.Sleep(recoveryPause)
}

// playExpiry stops the only worker of a service for longer than the retention of its messages.
func playExpiry(c *Cluster) {
	time.Sleep(warmUp)
	endpoint := c.Workers("endpoint")[0]
	endpoint.Stop()
	time.Sleep(2 * time.Second)
	c.Store(2).Terminate()
	c.Store(2).Start()
	time.Sleep(recoveryPause)
	endpoint.Restart()
	time.Sleep(recoveryPause)
}

func playTwoLost(c *Cluster) {
	time.Sleep(warmUp)
	c.Store(0).LosePower()
	c.Store(3).LoseDisk()
	time.Sleep(3 * time.Second)
	c.Store(0).Start()
	c.Store(3).Start()
	time.Sleep(2 * recoveryPause)
	c.AwaitReplication(copiesLimit)
}

// playFinalFault wipes as many disks as may be lost and takes the power of everything, right after an
// acknowledgement.
func playFinalFault(c *Cluster) {
	time.Sleep(warmUp)
	c.Operator.MoveRoute(orderLimit)
	c.Front(0).LoseDisk()
	c.Store(1).LoseDisk()
	c.Each((*Machine).LosePower)
	time.Sleep(time.Second)
	c.Each((*Machine).Start)
	time.Sleep(12 * time.Second)
	c.AwaitReplication(copiesLimit)
}

func playEndpointDown(c *Cluster) {
	time.Sleep(warmUp)
	endpoint := c.Workers("endpoint")[0]
	endpoint.Stop()
	time.Sleep(6 * time.Second)
	endpoint.Restart()
	time.Sleep(recoveryPause)
}

// playConfigurationStorm moves a route with every version, and adds and drops others.
func playConfigurationStorm(c *Cluster) {
	time.Sleep(warmUp)
	for i := range 12 {
		next := c.Operator.nextConfiguration()
		next.Routes = withStormRoutes(next.Routes, i)
		if c.Operator.Update(next, orderLimit) {
			c.Load.SetRoutes(next.Routes)
		}
		time.Sleep(time.Duration(200+c.random.intN(800)) * time.Millisecond)
	}
	time.Sleep(2 * recoveryPause)
}
