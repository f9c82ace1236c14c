package replication

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"gladepick/internal/network/simulated"
	"gladepick/internal/rpc"
	"gladepick/internal/vfs/memfs"
)

const testPort = 7000

// errRejected is what the test's state machine returns for a change named "reject".
var errRejected = errors.New("rejected")

// listMachine is a state machine that keeps all changes in order.
type listMachine struct {
	mu      sync.Mutex
	changes []string
}

func (m *listMachine) Apply(change []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if string(change) == "reject" {
		return errRejected
	}
	m.changes = append(m.changes, string(change))
	return nil
}

func (m *listMachine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return json.Marshal(m.changes)
}

func (m *listMachine) Restore(snapshot []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.changes = nil
	return json.Unmarshal(snapshot, &m.changes)
}

func (m *listMachine) list() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.changes)
}

// process is one run of a member, from start to stop.
type process struct {
	group   *Group
	machine *listMachine
	server  *rpc.Server
	pool    *rpc.Pool
	cancel  context.CancelFunc
}

// node is a simulated machine of the test's cluster.
type node struct {
	cluster *cluster
	ip      string
	disk    *memfs.Disk
	member  Member
	disks   int                     // number of disks it has had
	current atomic.Pointer[process] // nil while it does not run
	off     bool
	options func(*Options)
}

// cluster is a group of simulated machines, all in one process.
type cluster struct {
	t                 *testing.T
	network           *simulated.Network
	seed              uint64
	replicationFactor int
	nodes             []*node
}

// inCluster runs a test with a bootstrapped group in simulated time.
func inCluster(t *testing.T, members, replicationFactor int, seed uint64, test func(c *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, members, replicationFactor, seed)
		defer c.close()
		c.bootstrap()
		test(c)
	})
}

func newCluster(t *testing.T, members, replicationFactor int, seed uint64) *cluster {
	c := &cluster{t: t, network: simulated.New(seed), seed: seed, replicationFactor: replicationFactor}
	for range members {
		c.addNode().start()
	}
	return c
}

func (c *cluster) addNode() *node {
	number := len(c.nodes) + 1
	added := &node{cluster: c, ip: fmt.Sprintf("10.1.0.%d", number)}
	added.member.Name = fmt.Sprintf("member-%d", number)
	added.member.Address = fmt.Sprintf("%s:%d", added.ip, testPort)
	added.disk = memfs.New(c.seed*100 + uint64(number))
	added.newDisk()
	c.nodes = append(c.nodes, added)
	return added
}

func (c *cluster) members() []Member {
	var members []Member
	for _, each := range c.nodes {
		members = append(members, each.member)
	}
	return members
}

func (c *cluster) bootstrap() {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(c.t.Context(), 5*time.Second)
	defer cancel()
	assert.NilError(c.t, c.nodes[0].process().group.Bootstrap(ctx, c.members()))
	c.awaitPrimary(5 * time.Second)
}

func (c *cluster) close() {
	for _, each := range c.nodes {
		each.stop()
	}
}

func (n *node) process() *process { return n.current.Load() }

func (n *node) newDisk() {
	n.disks++
	n.member.DiskID = fmt.Sprintf("disk-%s-%d", n.member.Name, n.disks)
}

func (n *node) start() {
	t := n.cluster.t
	t.Helper()
	host := n.cluster.network.Host(n.ip)
	listener, err := host.Listen(n.member.Address)
	assert.NilError(t, err)
	started := &process{machine: &listMachine{}, server: rpc.NewServer(zap.NewNop()), pool: rpc.NewPool(host)}
	options := Options{
		Self: n.member, Pool: started.pool, Server: started.server, FS: n.disk.Mount(),
		StateMachine: started.machine, ReplicationFactor: n.cluster.replicationFactor, AllowBootstrap: true,
		Seed: n.cluster.seed,
	}
	if n.options != nil {
		n.options(&options)
	}
	started.group, err = Open(options)
	assert.NilError(t, err)
	go serve(started.server, listener)
	var ctx context.Context
	ctx, started.cancel = context.WithCancel(context.Background())
	go started.group.Run(ctx)
	n.current.Store(started)
}

func serve(server *rpc.Server, listener net.Listener) { _ = server.Serve(listener) }

// stop ends the process. The group is closed last, after its connections.
func (n *node) stop() {
	ended := n.current.Swap(nil)
	if ended == nil {
		return
	}
	ended.cancel()
	ended.server.Close()
	ended.pool.Close()
	ended.group.Close()
}

func (n *node) kill() {
	n.cluster.network.Kill(n.ip)
	n.disk.Crash()
	n.stop()
}

func (n *node) powerOff() {
	n.cluster.network.PowerOff(n.ip)
	n.disk.PowerLoss()
	n.off = true
	n.stop()
}

// restart starts the process again. If the machine was powered off, it is powered on first.
func (n *node) restart() {
	if n.off {
		n.cluster.network.PowerOn(n.ip)
		n.off = false
	}
	n.start()
}

// wipe ends the process and gives the machine an empty disk.
func (n *node) wipe() {
	n.cluster.network.Kill(n.ip)
	n.disk.Wipe()
	n.stop()
	n.newDisk()
}

// isolate separates nodes from all other nodes by a network partition.
func (c *cluster) isolate(isolated ...*node) { c.eachSeparatedPair(isolated, c.network.Isolate) }

func (c *cluster) rejoin(isolated ...*node) { c.eachSeparatedPair(isolated, c.network.Heal) }

func (c *cluster) eachSeparatedPair(inside []*node, do func(a, b string)) {
	for _, one := range inside {
		for _, other := range c.nodes {
			if !slices.Contains(inside, other) {
				do(one.ip, other.ip)
			}
		}
	}
}

// primaries returns the nodes whose group reports that they lead.
func (c *cluster) primaries() []*node {
	var leading []*node
	for _, each := range c.nodes {
		if running := each.process(); running != nil && running.group.Role().Primary {
			leading = append(leading, each)
		}
	}
	return leading
}

// await waits until a condition holds, and fails the test if it does not hold within the limit. It returns how long it
// waited.
func (c *cluster) await(limit time.Duration, what string, condition func() bool) time.Duration {
	c.t.Helper()
	started := time.Now()
	for !condition() {
		if time.Since(started) > limit {
			c.logState()
			c.t.Fatalf("not within %v: %s", limit, what)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(started)
}

func (c *cluster) logState() {
	for _, each := range c.nodes {
		if each.process() == nil {
			c.t.Logf("%s: down", each.member)
			continue
		}
		group := each.process().group
		c.t.Logf("%s: role %+v, record %+v, end %v", each.member, group.Role(), *group.witness.record(), group.replica.end())
	}
}

func (c *cluster) awaitPrimary(limit time.Duration) *node {
	c.t.Helper()
	c.await(limit, "a primary", func() bool { return len(c.primaries()) == 1 })
	return c.primaries()[0]
}

// awaitOtherPrimary waits for a primary other than the given ones.
func (c *cluster) awaitOtherPrimary(limit time.Duration, old ...*node) *node {
	c.t.Helper()
	var found *node
	c.await(limit, "another primary", func() bool {
		for _, each := range c.primaries() {
			if !slices.Contains(old, each) {
				found = each
				return true
			}
		}
		return false
	})
	return found
}

func (c *cluster) awaitInSync(limit time.Duration, count int) time.Duration {
	c.t.Helper()
	return c.await(limit, fmt.Sprintf("%d in sync", count), func() bool {
		leading := c.primaries()
		return len(leading) == 1 && len(leading[0].process().group.Role().View.InSync) == count
	})
}

func (n *node) propose(change string, limit time.Duration) error {
	running := n.process()
	if running == nil {
		return ErrNotPrimary
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	return running.group.Propose(ctx, []byte(change))
}

func (n *node) mustPropose(change string) {
	n.cluster.t.Helper()
	assert.NilError(n.cluster.t, n.propose(change, 3*time.Second))
}

func (n *node) readBarrier(limit time.Duration) error {
	running := n.process()
	if running == nil {
		return ErrNotPrimary
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	return running.group.ReadBarrier(ctx)
}

// awaitAllHold waits until every running node has exactly these changes.
func (c *cluster) awaitAllHold(limit time.Duration, changes ...string) {
	c.t.Helper()
	c.await(limit, fmt.Sprintf("all nodes hold %v", changes), func() bool {
		for _, each := range c.nodes {
			if each.process() != nil && !slices.Equal(each.process().machine.list(), changes) {
				return false
			}
		}
		return true
	})
}
