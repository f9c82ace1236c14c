package controlplane_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest"
	"gotest.tools/v3/assert"

	"gladepick/internal/cluster"
	"gladepick/internal/controlplane"
	"gladepick/internal/controlplane/placement"
	"gladepick/internal/network"
	"gladepick/internal/network/simulated"
	"gladepick/internal/rpc"
	"gladepick/internal/vfs"
	"gladepick/internal/vfs/memfs"
)

const (
	internalPort    = 7240
	controlPort     = 8046
	platformIP      = "10.200.0.1"
	platformAddress = platformIP + ":8040"
)

// machine is a simulated machine with one process at a time.
type machine struct {
	world     *world
	name      string
	zone      string
	ip        string
	core      bool
	store     bool
	disk      *memfs.Disk // nil without a disk
	diskID    string
	starts    int
	leaving   atomic.Bool
	bootstrap bool

	latest  atomic.Pointer[cluster.Agent] // of the process that runs, or ran last
	running atomic.Bool
	stop    func()
}

func (m *machine) agent() *cluster.Agent { return m.latest.Load() }

// world is a whole system in one process, on a simulated network and clock.
type world struct {
	t         *testing.T
	network   *simulated.Network
	logger    *zap.Logger
	machines  []*machine
	seeds     []string
	tolerated int
	platform  *platform
}

// layout says which machines a world has. The first three fronts are the seeds.
type layout struct {
	fronts   int
	stores   int
	diskless int // so many of the first fronts have no disk; the next coreLimit ones are members of the core
	absent   int // so many of the first fronts are not started
}

const coreLimit = 5

// run runs a test with fronts and stores in its own simulated time.
func run(t *testing.T, fronts, stores int, test func(*testing.T, *world)) {
	runLayout(t, layout{fronts: fronts, stores: stores}, test)
}

func runLayout(t *testing.T, layout layout, test func(*testing.T, *world)) {
	synctest.Test(t, func(t *testing.T) {
		w := &world{t: t, network: simulated.New(1), logger: zaptest.NewLogger(t, zaptest.Level(zap.InfoLevel)), tolerated: 1}
		w.platform = startPlatform(w)
		for i := range layout.fronts {
			core := i >= layout.diskless && i < layout.diskless+coreLimit
			w.add(fmt.Sprintf("front-%d", i), fmt.Sprintf("zone-%d", i%3), core, false)
		}
		for i := range layout.stores {
			w.add(fmt.Sprintf("store-%d", i), fmt.Sprintf("zone-%d", i%3), false, true)
		}
		for i := range min(3, layout.fronts) {
			w.seeds = append(w.seeds, fmt.Sprintf("%s:%d", w.machines[i].ip, controlPort))
		}
		for i, m := range w.machines {
			m.bootstrap = true
			if i >= layout.absent {
				m.start()
			}
		}
		defer func() {
			for _, m := range w.machines {
				m.kill()
			}
			w.platform.stop()
		}()
		test(t, w)
	})
}

func (w *world) add(name, zone string, core, store bool) *machine {
	m := &machine{world: w, name: name, zone: zone, core: core, store: store}
	m.ip = fmt.Sprintf("10.0.0.%d", len(w.machines)+1)
	if core || store {
		m.disk = memfs.New(uint64(len(w.machines)) + 1)
	}
	w.machines = append(w.machines, m)
	return m
}

func (w *world) machine(name string) *machine {
	for _, m := range w.machines {
		if m.name == name {
			return m
		}
	}
	w.t.Fatalf("no machine %s", name)
	return nil
}

// process is what runs on a machine.
type process struct {
	info   cluster.NodeInfo
	disk   vfs.FS // nil without a disk
	host   network.Network
	pool   *rpc.Pool
	server *rpc.Server
	agent  *cluster.Agent
	plane  *controlplane.Plane
}

// start starts the machine's process, on the disk that the one before has left.
func (m *machine) start() {
	t := m.world.t
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
		Name: m.name, Class: "front", Zone: m.zone, Core: m.core, Store: m.store,
		Address:     fmt.Sprintf("%s:%d", m.ip, internalPort),
		Incarnation: fmt.Sprintf("%s-%d", m.name, m.starts),
	}
	var disk vfs.FS
	if m.disk != nil {
		disk = m.disk.Mount()
		id, err := controlplane.DiskID(disk)
		assert.NilError(m.world.t, err)
		m.diskID, info.DiskID = id, id
	}
	host := m.world.network.Host(m.ip)
	return &process{
		info: info, disk: disk, host: host, pool: rpc.NewPool(host), server: rpc.NewServer(m.world.logger),
	}
}

func (m *machine) addAgent(p *process) {
	disk := p.disk
	if m.core {
		disk = nil // the group remembers its members
	}
	agent, err := cluster.NewAgent(cluster.AgentOptions{
		Disk: disk,
		Info: func() cluster.NodeInfo {
			now := p.info
			now.Draining = m.leaving.Load()
			return now
		},
		Pool: p.pool, Server: p.server, Seeds: m.world.seeds, InternalPort: internalPort,
		Register: m.bootstrap, Logger: m.world.logger,
	})
	assert.NilError(m.world.t, err)
	p.agent = agent
}

func (m *machine) addPlane(p *process) {
	disk := p.disk
	if m.store {
		disk = nil // a store's disk holds no control state
	}
	plane, err := controlplane.New(controlplane.Options{
		Info: p.info, Network: p.host, Pool: p.pool, Server: p.server, FS: disk, Bootstrap: m.bootstrap,
		Tolerated: m.world.tolerated, Seeds: m.world.seeds, InternalPort: internalPort, PlatformAddress: platformAddress,
		Agent: p.agent, Logger: m.world.logger, Seed: uint64(m.starts),
	})
	assert.NilError(m.world.t, err)
	p.plane = plane
}

// run starts a process's goroutines. They end when the machine is stopped.
func (m *machine) run(p *process) {
	listener, err := p.host.Listen(p.info.Address)
	assert.NilError(m.world.t, err)
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
		m.world.network.Kill(m.ip)
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

// followTable does what a store does for its partitions as far as the control plane sees it.
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
	request.Handover = request.Handover || m.leaving.Load()
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

// eventually waits until a condition holds, and returns how long that took.
func (w *world) eventually(limit time.Duration, what string, condition func() bool) time.Duration {
	w.t.Helper()
	begin := time.Now()
	for !condition() {
		if time.Since(begin) > limit {
			w.t.Fatalf("not within %v: %s", limit, what)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(begin)
}

// running returns the machines whose processes run.
func (w *world) running() []*machine {
	var running []*machine
	for _, m := range w.machines {
		if m.running.Load() {
			running = append(running, m)
		}
	}
	return running
}

// order makes a call of the operator at a machine.
func (m *machine) order(method, path, base, body string) (int, string, error) {
	call := cluster.OperatorRequest{Method: method, Path: path, BaseVersion: base}
	answer, answerBody, err := m.agent().Operator(context.Background(), call, []byte(body))
	return answer.Status, string(answerBody), err
}

// orderUntilClear sends an order to the running machines in turn until one answers clearly.
func (w *world) orderUntilClear(limit time.Duration, method, path, base, body string) (int, string) {
	w.t.Helper()
	begin := time.Now()
	for i := 0; time.Since(begin) < limit; i++ {
		running := w.running()
		status, answer, err := running[i%len(running)].order(method, path, base, body)
		if err == nil && status < 500 {
			return status, answer
		}
		time.Sleep(100 * time.Millisecond)
	}
	w.t.Fatalf("no clear answer to %s within %v", path, limit)
	return 0, ""
}

// requireInForce waits until every running process has a version of the configuration.
func (w *world) requireInForce(limit time.Duration, version uint64) {
	w.t.Helper()
	w.eventually(limit, fmt.Sprintf("version %d in force everywhere", version), func() bool {
		for _, m := range w.running() {
			if m.agent().Config() == nil || m.agent().Config().Version() != version {
				return false
			}
		}
		return true
	})
}

func (w *world) awaitPlacement() {
	w.t.Helper()
	w.eventually(8*time.Second, "partitions placed", func() bool {
		for _, m := range w.running() {
			if m.agent().Table() == nil || len(m.agent().Table().Partitions) != placement.MinPartitions {
				return false
			}
		}
		return true
	})
}

// primary returns the machine that leads the control group according to the newest table of any process.
func (w *world) primary() *machine {
	var newest *cluster.Table
	for _, m := range w.running() {
		if table := m.agent().Table(); table != nil && (newest == nil || table.Revision > newest.Revision) {
			newest = table
		}
	}
	return w.machine(newest.Primary)
}

// document returns a valid configuration of a version.
func document(version int) string {
	return fmt.Sprintf(`{"version":%d,"routes":[{"name":"r-1","host":"a.example","path-prefix":"/p/",`+
		`"route-type":"async","timeout-ms":%d,"service":"s-1","max-attempts":3,"retention-s":90.0}],`+
		`"services":[{"name":"s-1","health-check":"/health","max-connections":10}],"limits":{}}`, version, 100+version)
}

// platform is a stand-in for the platform's list of workers.
type platform struct {
	mutex     sync.Mutex
	instances []map[string]any
	calls     int
	server    *http.Server
}

func startPlatform(w *world) *platform {
	p := &platform{}
	p.server = &http.Server{Handler: http.HandlerFunc(p.serve)}
	listener, err := w.network.Host(platformIP).Listen(platformAddress)
	assert.NilError(w.t, err)
	go func() { _ = p.server.Serve(listener) }()
	return p
}

func (p *platform) stop() { _ = p.server.Close() }

func (p *platform) set(instances ...map[string]any) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.instances = instances
}

// serve answers with pages of two entries.
func (p *platform) serve(writer http.ResponseWriter, request *http.Request) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.calls++
	begin := 0
	_, _ = fmt.Sscanf(request.URL.Query().Get("page-token"), "p-%d", &begin)
	end := min(begin+2, len(p.instances))
	page := map[string]any{"instances": p.instances[begin:end], "next-token": nil}
	if end < len(p.instances) {
		page["next-token"] = fmt.Sprintf("p-%d", end)
	}
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(page)
}
