package simcluster

import (
	"sync"
	"time"
)

const (
	loadWarmUp         = 2 * time.Second // of load without faults, at the start of a scenario
	recoveryPause      = 5 * time.Second
	replicationTimeout = 15 * time.Second
	changeTimeout      = 10 * time.Second

	rollingRestartPause = 3 * time.Second // between machines that are restarted one after another
)

var scenarios = []scenario{
	{name: "quiet", accepted: 1, ended: 1, run: runQuiet},
	{name: "store killed", accepted: 0.95, ended: 1, run: runStoreKilled},
	{name: "store loses power", accepted: 0.95, ended: 1, run: runStorePowerLoss},
	{name: "all killed", accepted: 0.5, ended: 1, run: runAllKilled},
	{name: "all lose power", accepted: 0.5, ended: 1, run: runAllPowerLoss},
	{name: "store wiped", accepted: 0.9, ended: 1, run: runStoreWiped},
	{name: "stores restarted in turn", accepted: 0.99, ended: 1, run: runStoresRestartedInTurn},
	{name: "fronts restarted in turn", accepted: 0.99, ended: 1, run: runFrontsRestartedInTurn},
	{name: "control primary killed", accepted: 0.95, ended: 1, run: runControlPrimaryKilled},
	{name: "control primary isolated", accepted: 0.9, ended: 1, run: runControlPrimaryIsolated},
	{name: "store isolated", accepted: 0.9, ended: 1, run: runStoreIsolated},
	{name: "store isolated in outgoing direction", accepted: 0.9, ended: 1, run: runStoreOutgoingBlocked},
	{name: "store's disk stalls", accepted: 0.8, ended: 1, run: runDiskStalled},
	{name: "store's disk is full", accepted: 0.8, ended: 1, run: runDiskFull},
	{name: "store replaced", accepted: 0.9, ended: 1, run: runStoreReplaced},
	{name: "store retired while another is killed", accepted: 0.9, ended: 1, run: runStoreRetired, options: Options{Stores: 5}},
	{name: "workers released", accepted: 1, ended: 1, run: runWorkerRelease},
	{name: "endpoint down", accepted: 1, ended: 1, run: runEndpointDown},
	{name: "configuration storm", accepted: 0.95, ended: 1, run: runConfigurationStorm},
	{name: "load above the rate limit", accepted: 0.9, ended: 1, run: runRateLimit, options: Options{Routes: mostlyRateLimitedRoutes()}},
	{name: "messages expire", accepted: 1, ended: 1, run: runMessageExpiry, options: Options{Routes: shortRetentionRoutes()}},
	{name: "two stores lost at once", accepted: 0.8, ended: 1, run: runTwoStoresLost, options: twoTolerated},
	{name: "two disks lost and all machines lose power", accepted: 0.5, ended: 1, run: runTwoDisksLostAndPowerLoss, options: twoTolerated},
	{name: "control primary isolated for 20 s, twice", accepted: 0.9, ended: 1, run: runControlPrimaryIsolatedTwice},
	{name: "two operators send the same version, responses lost", accepted: 0.9, ended: 1, run: runConcurrentChanges},
	{name: "second losses right after repairs", accepted: 0.6, ended: 1, run: runConsecutiveLosses, options: Options{Fronts: 5, Stores: 5}},
	{name: "disks lost while two stores are disconnected", accepted: 0.6, ended: 1, run: runDisconnectedStores},
	{name: "hundreds of changes while a member is isolated", accepted: 0.7, ended: 1, run: runManyChangesWithMemberIsolated},
	{name: "connections reset under load", accepted: 0.9, ended: 1, run: runConnectionResets},
	{name: "random faults", accepted: 0.6, ended: 1, run: runRandomFaults, options: Options{Fronts: 5, CoreFronts: 4}},
}

// twoTolerated are the options of a cluster that tolerates the loss of two machines at once.
var twoTolerated = Options{Fronts: 5, CoreFronts: 5, Stores: 5, Tolerated: 2}

func runQuiet(*Cluster) { time.Sleep(10 * time.Second) }

func runStoreKilled(c *Cluster) {
	time.Sleep(loadWarmUp)
	c.Store(1).Kill()
	time.Sleep(time.Second)
	c.Store(1).Start()
	time.Sleep(recoveryPause)
	c.AwaitReplication(replicationTimeout)
}

func runStorePowerLoss(c *Cluster) {
	time.Sleep(loadWarmUp)
	c.Store(0).LosePower()
	time.Sleep(4 * time.Second)
	c.Store(0).Start()
	time.Sleep(recoveryPause)
	c.AwaitReplication(replicationTimeout)
}

func runAllKilled(c *Cluster) {
	time.Sleep(loadWarmUp)
	c.Each((*Machine).Kill)
	time.Sleep(time.Second)
	c.Each((*Machine).Start)
	time.Sleep(8 * time.Second)
	c.AwaitReplication(replicationTimeout)
}

func runAllPowerLoss(c *Cluster) {
	time.Sleep(loadWarmUp)
	c.Operator.MoveRoute(changeTimeout)
	c.Each((*Machine).LosePower)
	time.Sleep(2 * time.Second)
	c.Each((*Machine).Start)
	time.Sleep(8 * time.Second)
	c.AwaitReplication(replicationTimeout)
}

func runStoreWiped(c *Cluster) {
	time.Sleep(loadWarmUp)
	c.Store(2).LoseDisk()
	time.Sleep(time.Second)
	c.Store(2).Start()
	time.Sleep(recoveryPause)
	c.AwaitReplication(replicationTimeout)
}

func runStoresRestartedInTurn(c *Cluster) {
	time.Sleep(loadWarmUp)
	for i := range c.options.Stores {
		c.Store(i).Terminate()
		c.Store(i).Start()
		time.Sleep(rollingRestartPause)
	}
	c.AwaitReplication(replicationTimeout)
}

func runFrontsRestartedInTurn(c *Cluster) {
	time.Sleep(loadWarmUp)
	for i := range c.options.Fronts {
		c.Front(i).Terminate()
		c.Front(i).Start()
		time.Sleep(rollingRestartPause)
	}
}

func runControlPrimaryKilled(c *Cluster) {
	time.Sleep(loadWarmUp)
	secondOperator := c.NewOperator()
	secondOperator.setCurrent(c.Operator.Current())
	var changes sync.WaitGroup
	for _, operator := range []*Operator{c.Operator, secondOperator} {
		changes.Go(func() { changeRepeatedly(operator) })
	}
	time.Sleep(time.Second)
	killed := c.ControlPrimary()
	killed.Kill()
	time.Sleep(1500 * time.Millisecond)
	killed.Start()
	changes.Wait()
	time.Sleep(2 * recoveryPause)
}

// changeRepeatedly makes an operator send changes. After a change that is not acknowledged, the operator reads the
// current configuration and continues from there.
func changeRepeatedly(operator *Operator) {
	for range 5 {
		if !operator.MoveRoute(changeTimeout) {
			if read, ok := operator.Read(changeTimeout); ok {
				read.Services = operator.Current().Services
				operator.setCurrent(read)
			}
		}
		time.Sleep(time.Duration(operator.cluster.random.intN(500)) * time.Millisecond)
	}
}

func runControlPrimaryIsolated(c *Cluster) {
	time.Sleep(loadWarmUp)
	isolated := c.ControlPrimary()
	c.Isolate(isolated)
	time.Sleep(5 * time.Second)
	c.Operator.MoveRoute(changeTimeout)
	c.Reconnect(isolated)
	time.Sleep(2 * recoveryPause)
}

func runStoreIsolated(c *Cluster) {
	time.Sleep(loadWarmUp)
	c.Isolate(c.Store(0))
	time.Sleep(6 * time.Second)
	c.Reconnect(c.Store(0))
	time.Sleep(recoveryPause)
	c.AwaitReplication(replicationTimeout)
}

func runStoreOutgoingBlocked(c *Cluster) {
	time.Sleep(loadWarmUp)
	c.BlockOutgoing(c.Store(3))
	time.Sleep(6 * time.Second)
	c.Reconnect(c.Store(3))
	time.Sleep(recoveryPause)
	c.AwaitReplication(replicationTimeout)
}

func runDiskStalled(c *Cluster) {
	time.Sleep(loadWarmUp)
	c.Store(1).StallDisk(true)
	time.Sleep(6 * time.Second)
	c.Store(1).StallDisk(false)
	time.Sleep(recoveryPause)
	c.AwaitReplication(replicationTimeout)
}

func runDiskFull(c *Cluster) {
	time.Sleep(loadWarmUp)
	c.Store(1).FillDisk(true)
	time.Sleep(6 * time.Second)
	c.Store(1).FillDisk(false)
	time.Sleep(recoveryPause)
	c.AwaitReplication(replicationTimeout)
}

func runStoreReplaced(c *Cluster) {
	time.Sleep(loadWarmUp)
	replacement := c.Replace(c.Store(0))
	time.Sleep(3 * time.Second)
	replacement.Start()
	time.Sleep(recoveryPause)
	c.AwaitReplication(replicationTimeout)
}

func runStoreRetired(c *Cluster) {
	time.Sleep(loadWarmUp)
	c.AddStore("store-added", c.zone(1))
	time.Sleep(loadWarmUp)
	var retiring sync.WaitGroup
	retiring.Go(func() {
		if !c.Operator.Retire(c.Store(0), 40*time.Second) {
			c.t.Error("the store was not retired within 40 s")
			c.logTable()
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
	c.AwaitReplication(replicationTimeout)
}

func runWorkerRelease(c *Cluster) {
	time.Sleep(loadWarmUp)
	var releasing sync.WaitGroup
	addresses := workerAddresses(c.Workers("plain"))
	for i, worker := range c.Workers("plain") {
		releasing.Go(func() { worker.Release(replacementAddress(i)) })
		time.Sleep(time.Second)
	}
	for _, worker := range c.Workers("orders")[:1] {
		releasing.Go(func() { worker.Release(replacementAddress(10)) })
	}
	releasing.Wait()
	startOtherServiceAt(c, addresses[0])
	time.Sleep(2 * time.Second)
}

// runRateLimit sends a service more messages than its rate limit allows while one store is isolated and another one is
// restarted.
func runRateLimit(c *Cluster) {
	time.Sleep(loadWarmUp)
	c.Isolate(c.Store(0))
	time.Sleep(4 * time.Second)
	c.Reconnect(c.Store(0))
	time.Sleep(recoveryPause)
	c.Store(1).Terminate()
	c.Store(1).Start()
	time.Sleep(recoveryPause)
}

// runMessageExpiry stops the only worker of a service for longer than its messages are retained, and restarts a store
// meanwhile.
func runMessageExpiry(c *Cluster) {
	time.Sleep(loadWarmUp)
	endpoint := c.Workers("endpoint")[0]
	endpoint.Stop()
	time.Sleep(2 * time.Second)
	c.Store(2).Terminate()
	c.Store(2).Start()
	time.Sleep(recoveryPause)
	endpoint.Restart()
	time.Sleep(recoveryPause)
}

func runTwoStoresLost(c *Cluster) {
	time.Sleep(loadWarmUp)
	c.Store(0).LosePower()
	c.Store(3).LoseDisk()
	time.Sleep(3 * time.Second)
	c.Store(0).Start()
	c.Store(3).Start()
	time.Sleep(2 * recoveryPause)
	c.AwaitReplication(replicationTimeout)
}

// runTwoDisksLostAndPowerLoss wipes as many disks as may be lost, and powers all machines off, right after a change was
// acknowledged.
func runTwoDisksLostAndPowerLoss(c *Cluster) {
	time.Sleep(loadWarmUp)
	c.Operator.MoveRoute(changeTimeout)
	c.Front(0).LoseDisk()
	c.Store(1).LoseDisk()
	c.Each((*Machine).LosePower)
	time.Sleep(time.Second)
	c.Each((*Machine).Start)
	time.Sleep(12 * time.Second)
	c.AwaitReplication(replicationTimeout)
}

func runEndpointDown(c *Cluster) {
	time.Sleep(loadWarmUp)
	endpoint := c.Workers("endpoint")[0]
	endpoint.Stop()
	time.Sleep(6 * time.Second)
	endpoint.Restart()
	time.Sleep(recoveryPause)
}

// runConfigurationStorm sends changes in quick succession. Each of them moves a route, and adds and removes others.
func runConfigurationStorm(c *Cluster) {
	time.Sleep(loadWarmUp)
	for i := range 12 {
		next := c.Operator.nextConfiguration()
		next.Routes = withNewestStormRoutes(next.Routes, i)
		if c.Operator.Update(next, changeTimeout) {
			c.Load.SetRoutes(next.Routes)
		}
		time.Sleep(time.Duration(200+c.random.intN(800)) * time.Millisecond)
	}
	time.Sleep(2 * recoveryPause)
}
