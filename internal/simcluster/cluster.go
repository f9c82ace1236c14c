// Package simcluster is test support: it runs whole clusters of the system in one process, on a simulated network,
// simulated disks and a simulated clock. Fronts and stores are the real ones of internal/systemnode; workers, the
// platform, clients and operators are simulated.
//
// A test makes a Cluster with New, injects faults into its machines (faults.go, machine.go), and calls Finish.
// What the simulated parties observe is recorded in a History, and Audit checks it against the rules that the
// service promises to keep (LOST, ORDER, CEILING and so on). Start reading at Cluster, then scenarios_test.go.
//
// A cluster lives in a bubble of testing/synctest: New, all faults and Finish belong into one. It owns one
// goroutine a process, one for the load and one a message, and a few helpers; Finish waits for all of them. All
// random draws come from one seeded source, but goroutines share it, so a run is not repeated draw by draw.
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
	zoneDelay        = 3 * time.Millisecond // between machines in different zones, one way
	bootstrapTimeout = 20 * time.Second
	finishTimeout    = 10 * time.Second // for the messages that are left when the load ends
	pollInterval     = 100 * time.Millisecond
)

// Cluster is a running system with everything around it. Its methods may be called from any goroutine of the
// bubble.
type Cluster struct {
	Machines []*Machine
	Operator *Operator // the first operator
	Platform *Platform
	Load     *Load

	t            testing.TB
	options      Options
	network      *simulated.Network
	random       *random
	logger       *zap.Logger
	recorder     *recorder
	seeds        []string
	processes    sync.WaitGroup
	helpers      sync.WaitGroup
	stop         context.CancelFunc
	ctx          context.Context
	closing      atomic.Bool
	services     map[string]*workerService
	loadBalancer *loadBalancer
	observer     *cluster.Agent
	operators    int
	machineIP    map[string]string // machine name by address
	mutex        sync.Mutex        // guards Machines and machineIP once processes run
}

// New starts a cluster and waits until it serves a first configuration. It must be called within a bubble of
// testing/synctest.
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
		t.Fatalf("no first configuration within %v", bootstrapTimeout)
	}
	c.Await(bootstrapTimeout, "the cluster takes messages", c.loadBalancer.allReady)
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

// addMachine adds a machine at an address of its own.
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

func (c *Cluster) machineAt(ip string) string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.machineIP[ip]
}

// Machine returns the newest machine of a name.
func (c *Cluster) Machine(name string) *Machine {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for i := len(c.Machines) - 1; i >= 0; i-- {
		if c.Machines[i].Name == name {
			return c.Machines[i]
		}
	}
	c.t.Fatalf("no machine %s", name)
	return nil
}

// Store returns a store by its number.
func (c *Cluster) Store(number int) *Machine { return c.Machine(fmt.Sprintf("store-%d", number)) }

// Front returns a front by its number.
func (c *Cluster) Front(number int) *Machine { return c.Machine(fmt.Sprintf("front-%d", number)) }

// machinesOf returns the machines of a class.
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

// newObserver makes an agent that follows the cluster table without taking part.
func (c *Cluster) newObserver() *cluster.Agent {
	pool := rpc.NewPool(c.network.Host(observerIP))
	info := cluster.NodeInfo{Name: "observer", Class: "observer", Address: observerIP + ":1", Incarnation: "observer"}
	agent, err := cluster.NewAgent(cluster.AgentOptions{
		Info: func() cluster.NodeInfo { return info }, Pool: pool, Seeds: c.seeds, InternalPort: internalPort, Register: true,
	})
	assert.NilError(c.t, err)
	c.helpers.Go(func() {
		agent.Run(c.ctx)
		pool.Close()
	})
	return agent
}

// Table returns the cluster table as an outside observer has it.
func (c *Cluster) Table() *cluster.Table { return c.observer.Table() }

// ControlPrimary returns the machine that leads the control group.
func (c *Cluster) ControlPrimary() *Machine { return c.Machine(c.Table().Primary) }

// Await waits until a condition holds, and fails the test where it does not within a limit.
func (c *Cluster) Await(limit time.Duration, what string, condition func() bool) {
	c.t.Helper()
	deadline := time.Now().Add(limit)
	for !condition() {
		if time.Now().After(deadline) {
			c.t.Errorf("%v: not within %v: %s", c.recorder.now(), limit, what)
			return
		}
		time.Sleep(pollInterval)
	}
}

// AwaitReplication waits until every partition has all its replicas on active stores.
func (c *Cluster) AwaitReplication(limit time.Duration) {
	c.t.Helper()
	c.Await(limit, "all partitions have their copies", c.hasCopies)
}

func (c *Cluster) hasCopies() bool {
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
