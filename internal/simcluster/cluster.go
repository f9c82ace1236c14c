// Package simcluster is test support. It runs whole clusters of the system in one process, on a simulated network,
// simulated disks and a simulated clock. Fronts and stores run the production code of internal/systemnode. Workers, the
// platform, clients and operators are simulated.
//
// A test creates a Cluster with New, injects faults into its machines (faults.go, machine.go) and calls Finish. A
// History records what the simulated parties observe. Audit checks the history against the guarantees of the service
// (LOST, ORDER, CEILING and so on; see Rule). Start reading at Cluster, then scenarios_test.go.
//
// A cluster lives in a bubble of testing/synctest: call New, inject all faults and call Finish within one bubble. A
// cluster owns one goroutine per process, one for the load, one per message and a few in the background. Finish waits
// for all of them. All random numbers come from one seeded source that the goroutines share, so two runs with the same
// seed may draw them in different orders.
package simcluster

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest"
	"gotest.tools/v3/assert"

	"gladepick/internal/cluster"
	"gladepick/internal/network/simulated"
	"gladepick/internal/rpc"
	"gladepick/internal/vfs/memfs"
)

const (
	seedCount        = 3
	observerIP       = "10.7.0.1"
	zoneDelay        = 3 * time.Millisecond // one way, between machines in different zones
	bootstrapTimeout = 20 * time.Second
	finishTimeout    = 10 * time.Second // for the messages that are unfinished when the load ends
	pollInterval     = 100 * time.Millisecond
)

// Cluster is a running system with its simulated workers, platform, clients and operators. Its methods may be called
// from any goroutine of the bubble.
type Cluster struct {
	Machines []*Machine
	Operator *Operator // the first operator; NewOperator adds others
	Platform *Platform
	Load     *Load

	t            testing.TB
	options      Options
	network      *simulated.Network
	random       *random
	logger       *zap.Logger
	recorder     *recorder
	seeds        []string
	processes    sync.WaitGroup // goroutines of the machines' processes
	background   sync.WaitGroup // goroutines of the observer, the load balancer and the platform
	stop         context.CancelFunc
	ctx          context.Context
	closing      atomic.Bool
	services     map[string]*workerService
	loadBalancer *loadBalancer
	observer     *cluster.Agent
	operators    int
	machineIP    map[string]string // machine name by IP address
	mutex        sync.Mutex        // guards Machines and machineIP once processes run
}

// New starts a cluster and returns once the cluster serves its first configuration and all fronts are ready. It fails
// the test if either takes longer than bootstrapTimeout. Call it within a bubble of testing/synctest.
func New(t testing.TB, options Options) *Cluster {
	options = options.withDefaults()
	ctx, stop := context.WithCancel(context.Background())
	c := &Cluster{
		t: t, options: options, ctx: ctx, stop: stop,
		network: simulated.New(options.Seed), random: newRandom(options.Seed), recorder: newRecorder(),
		logger: zap.NewNop(), services: make(map[string]*workerService), machineIP: make(map[string]string),
	}
	if options.Verbose {
		c.logger = zaptest.NewLogger(t, zaptest.Level(zap.InfoLevel))
	}
	c.recorder.history.Services = options.Services
	c.Platform = newPlatform(c)
	c.startWorkers()
	c.addMachines()
	c.loadBalancer = newLoadBalancer(c)
	c.observer = c.newObserver()
	c.Operator = c.NewOperator()
	for _, machine := range c.Machines {
		machine.bootstrap = true
		machine.Start()
	}
	first := Configuration{Version: 1, Routes: options.Routes, Services: options.Services}
	if !c.Operator.Replace(0, first, bootstrapTimeout) {
		t.Fatalf("the first configuration was not acknowledged within %v", bootstrapTimeout)
	}
	c.Await(bootstrapTimeout, "all fronts are ready", c.loadBalancer.allReady)
	c.Load = newLoad(c)
	return c
}

func (c *Cluster) addMachines() {
	for i := range c.options.Fronts {
		c.addMachine(classFront, fmt.Sprintf("front-%d", i), c.zone(i), i < c.options.CoreFronts)
	}
	for i := range c.options.Stores {
		c.addMachine(classStore, fmt.Sprintf("store-%d", i), c.zone(i), true)
	}
	for i := range min(seedCount, c.options.Fronts) {
		c.seeds = append(c.seeds, c.Machines[i].address(controlPort))
	}
}

func (c *Cluster) zone(index int) string { return fmt.Sprintf("zone-%d", index%c.options.Zones) }

// addMachine adds a machine with an IP address that no other machine has used. It does not start the machine.
func (c *Cluster) addMachine(class, name, zone string, disk bool) *Machine {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	machine := &Machine{Name: name, Zone: zone, cluster: c, class: class}
	machine.ip = fmt.Sprintf("10.1.0.%d", len(c.Machines)+1)
	if disk {
		machine.disk = memfs.New(c.random.uint64())
		machine.disk.SetSyncDelay(time.Millisecond)
	}
	for _, other := range c.Machines {
		if other.Zone != zone {
			c.network.SetDelay(machine.ip, other.ip, zoneDelay)
		}
	}
	c.Machines = append(c.Machines, machine)
	c.machineIP[machine.ip] = name
	return machine
}

// machineAt returns the name of the machine with an IP address, or "" if there is none.
func (c *Cluster) machineAt(ip string) string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.machineIP[ip]
}

// Machine returns the machine with a name. If Replace has added a successor of the same name, it returns the newest.
func (c *Cluster) Machine(name string) *Machine {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for i := len(c.Machines) - 1; i >= 0; i-- {
		if c.Machines[i].Name == name {
			return c.Machines[i]
		}
	}
	c.t.Fatalf("no machine has the name %q", name)
	return nil
}

// Store returns the store with a number, counted from 0.
func (c *Cluster) Store(number int) *Machine { return c.Machine(fmt.Sprintf("store-%d", number)) }

// Front returns the front with a number, counted from 0.
func (c *Cluster) Front(number int) *Machine { return c.Machine(fmt.Sprintf("front-%d", number)) }

// machinesOf returns the machines of a class, including replaced and removed ones.
func (c *Cluster) machinesOf(class string) []*Machine {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var found []*Machine
	for _, machine := range c.Machines {
		if machine.class == class {
			found = append(found, machine)
		}
	}
	return found
}

// newObserver creates an agent that follows the cluster table without serving any role.
func (c *Cluster) newObserver() *cluster.Agent {
	pool := rpc.NewPool(c.network.Host(observerIP))
	info := cluster.NodeInfo{Name: "observer", Class: "observer", Address: observerIP + ":1", Incarnation: "observer"}
	agent, err := cluster.NewAgent(cluster.AgentOptions{
		Info: func() cluster.NodeInfo { return info }, Pool: pool, Seeds: c.seeds, InternalPort: internalPort, Register: true,
	})
	assert.NilError(c.t, err)
	c.background.Go(func() {
		agent.Run(c.ctx)
		pool.Close()
	})
	return agent
}

// Table returns the cluster table as an observer outside the system receives it.
func (c *Cluster) Table() *cluster.Table { return c.observer.Table() }

// ControlPrimary returns the machine that is the control group's primary.
func (c *Cluster) ControlPrimary() *Machine { return c.Machine(c.Table().Primary) }

// Await waits until a condition holds. It fails the test if the condition does not hold within the limit.
func (c *Cluster) Await(limit time.Duration, what string, condition func() bool) {
	c.t.Helper()
	deadline := time.Now().Add(limit)
	for !condition() {
		if time.Now().After(deadline) {
			c.t.Errorf("%v: condition not met within %v: %s", c.recorder.now(), limit, what)
			return
		}
		time.Sleep(pollInterval)
	}
}

// AwaitReplication waits until every partition has all its replicas, synced, on active stores.
func (c *Cluster) AwaitReplication(limit time.Duration) {
	c.t.Helper()
	c.Await(limit, "all partitions have all their replicas synced on active stores", c.fullyReplicated)
}

func (c *Cluster) fullyReplicated() bool {
	table := c.Table()
	if table == nil {
		return false
	}
	for _, partition := range table.Partitions {
		synced := 0
		for _, replica := range partition.Replicas {
			store := table.Store(replica.Store)
			if replica.Synced && store != nil && store.DiskID == replica.DiskID && store.State == cluster.StoreActive {
				synced++
			}
		}
		if synced < table.ReplicationFactor {
			return false
		}
	}
	return true
}
