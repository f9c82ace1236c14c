package controlplane_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"gotest.tools/v3/assert"

	"gladepick/internal/cluster"
	"gladepick/internal/controlplane"
	"gladepick/internal/network"
	"gladepick/internal/rpc"
	"gladepick/internal/vfs"
	"gladepick/internal/vfs/memfs"
)

// machine is a simulated machine with one process at a time.
type machine struct {
	simulation *simulation
	name       string
	zone       string
	ip         string
	core       bool
	store      bool
	disk       *memfs.Disk // nil without a disk
	diskID     string
	starts     int
	draining   atomic.Bool
	bootstrap  bool

	latest  atomic.Pointer[cluster.Agent] // of the running process, or of the last one that ran
	running atomic.Bool
	stop    func()
}

func (m *machine) agent() *cluster.Agent { return m.latest.Load() }

// process is the process that runs on a machine.
type process struct {
	info   cluster.NodeInfo
	disk   vfs.FS // nil without a disk
	host   network.Network
	pool   *rpc.Pool
	server *rpc.Server
	agent  *cluster.Agent
	plane  *controlplane.Plane
}

// start starts the machine's process with the disk as the former process has left it.
func (m *machine) start() {
	t := m.simulation.t
	t.Helper()
	m.starts++
	p := m.newProcess()
	m.addAgent(p)
	m.addPlane(p)
	m.run(p)
}

// newProcess returns a process that neither listens nor runs yet.
func (m *machine) newProcess() *process {
	info := cluster.NodeInfo{
		Name: m.name, Class: "front", Zone: m.zone, ControlEligible: m.core, Store: m.store,
		Address:     fmt.Sprintf("%s:%d", m.ip, internalPort),
		Incarnation: fmt.Sprintf("%s-%d", m.name, m.starts),
	}
	var disk vfs.FS
	if m.disk != nil {
		disk = m.disk.Mount()
		id, err := controlplane.DiskID(disk)
		assert.NilError(m.simulation.t, err)
		m.diskID, info.DiskID = id, id
	}
	host := m.simulation.network.Host(m.ip)
	return &process{
		info: info, disk: disk, host: host, pool: rpc.NewPool(host), server: rpc.NewServer(m.simulation.logger),
	}
}

func (m *machine) addAgent(p *process) {
	disk := p.disk
	if m.core {
		disk = nil // the control state holds the members
	}
	agent, err := cluster.NewAgent(cluster.AgentOptions{
		Disk: disk,
		Info: func() cluster.NodeInfo {
			now := p.info
			now.Draining = m.draining.Load()
			return now
		},
		Pool: p.pool, Server: p.server, Seeds: m.simulation.seeds, InternalPort: internalPort,
		Register: m.bootstrap, Logger: m.simulation.logger,
	})
	assert.NilError(m.simulation.t, err)
	p.agent = agent
}

func (m *machine) addPlane(p *process) {
	disk := p.disk
	if m.store {
		disk = nil // a store's disk holds no control state
	}
	plane, err := controlplane.New(controlplane.Options{
		Info: p.info, Network: p.host, Pool: p.pool, Server: p.server, FS: disk, Bootstrap: m.bootstrap,
		ToleratedLosses: m.simulation.tolerated, Seeds: m.simulation.seeds, InternalPort: internalPort, PlatformAddress: platformAddress,
		Agent: p.agent, Logger: m.simulation.logger, Seed: uint64(m.starts),
	})
	assert.NilError(m.simulation.t, err)
	p.plane = plane
}

// run starts a process's goroutines. They end when the machine's stop function is called.
func (m *machine) run(p *process) {
	listener, err := p.host.Listen(p.info.Address)
	assert.NilError(m.simulation.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	wait.Go(func() { _ = p.server.Serve(listener) })
	wait.Go(func() { p.agent.Run(ctx) })
	wait.Go(func() { p.plane.Run(ctx) })
	if m.store {
		wait.Go(func() { m.followTable(ctx, p.agent) })
	}
	m.latest.Store(p.agent)
	m.bootstrap = false
	m.stop = sync.OnceFunc(func() {
		m.simulation.network.Kill(m.ip)
		if m.disk != nil {
			m.disk.Crash()
		}
		cancel()
		p.server.Close()
		p.pool.Close()
		wait.Wait()
	})
	m.running.Store(true)
}

// followTable sends the partition requests of a store: it reports its backups as synced and hands over its partitions.
func (m *machine) followTable(ctx context.Context, agent *cluster.Agent) {
	for ctx.Err() == nil {
		if table := agent.Table(); table != nil {
			for _, partition := range table.Partitions {
				m.requestChange(ctx, agent, partition)
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(100 * time.Millisecond):
		}
	}
}

func (m *machine) requestChange(ctx context.Context, agent *cluster.Agent, partition cluster.Partition) {
	if len(partition.Replicas) == 0 || partition.Replicas[0].Store != m.name {
		return
	}
	request := cluster.PartitionRequest{Partition: partition.ID, Epoch: partition.Epoch, Store: m.name}
	for _, replica := range partition.Replicas[1:] {
		if !replica.Synced {
			request.Synced = replica.Store
		}
		if replica.Synced && replica.Store == partition.PreferredPrimary {
			request.Handover = true
		}
	}
	request.Handover = request.Handover || m.draining.Load()
	if request.Synced != "" || request.Handover {
		_ = agent.RequestPartitionChange(ctx, request)
	}
}

func (m *machine) kill() {
	if m.running.Swap(false) {
		m.stop()
	}
}

func (m *machine) powerLoss() {
	if m.disk != nil {
		m.disk.PowerLoss()
	}
	m.kill()
}
