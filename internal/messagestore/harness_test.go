package messagestore

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"gladepick/internal/cluster"
	"gladepick/internal/message"
	"gladepick/internal/messagestore/client"
	"gladepick/internal/messagestore/protocol"
	"gladepick/internal/network/simulated"
	"gladepick/internal/rpc"
	"gladepick/internal/vfs/memfs"
)

const (
	testPartitions        = 2
	testReplicationFactor = 2
	testPort              = 7000
)

// testEngine implements Engine. It records the submitted messages with their failures, and released partitions.
type testEngine struct {
	mu        sync.Mutex
	submitted []*message.Message
	failed    []int
	released  []int
	inFlight  atomic.Int64
}

func (e *testEngine) Submit(m *message.Message, failures int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.submitted = append(e.submitted, m)
	e.failed = append(e.failed, failures)
}

func (e *testEngine) Release(partition int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.released = append(e.released, partition)
}

func (e *testEngine) PausePartition(int)  {}
func (e *testEngine) ResumePartition(int) {}
func (e *testEngine) InFlightOf(int) int  { return int(e.inFlight.Load()) }

// failures returns the number of failed attempts of each submitted message.
func (e *testEngine) failures() []int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.failed)
}

func (e *testEngine) ids() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var ids []string
	for _, m := range e.submitted {
		ids = append(ids, m.ID)
	}
	return ids
}

// machine is the simulated machine of one store, with its disk and process.
type machine struct {
	name    string
	ip      string
	diskID  string
	stopped atomic.Bool
	noLease atomic.Bool // its lease from the control plane has ended

	disk   *memfs.Disk
	store  *Store
	engine *testEngine
	server *rpc.Server
	pool   *rpc.Pool
}

// harness runs a few stores on a simulated network and implements their control plane.
type harness struct {
	t        *testing.T
	network  *simulated.Network
	machines map[string]*machine
	names    []string
	clients  *rpc.Pool

	mu        sync.Mutex
	table     *cluster.Table
	leases    atomic.Bool                            // machines have leases, except those with noLease
	rejecting bool                                   // all requests are rejected
	suspects  bool                                   // a request to replace a backup marks it as suspected instead
	requests  []cluster.PartitionRequest             // all requests so far
	onRequest func(request cluster.PartitionRequest) // called with each request; may be nil
}

func newHarness(t *testing.T, names ...string) *harness {
	h := &harness{t: t, network: simulated.New(1), machines: make(map[string]*machine), names: names}
	h.leases.Store(true)
	h.clients = rpc.NewPool(h.network.Host("10.0.1.1"))
	for i, name := range names {
		h.machines[name] = &machine{
			name: name, ip: fmt.Sprintf("10.0.0.%d", i+1), disk: memfs.New(uint64(i)), diskID: "disk-" + name,
		}
	}
	table := &cluster.Table{Revision: 1, ReplicationFactor: testReplicationFactor, DeliveringStores: len(names)}
	for i, name := range names {
		table.Stores = append(table.Stores, cluster.StoreEntry{
			Name: name, Zone: fmt.Sprintf("z%d", i), Address: h.address(name), DiskID: "disk-" + name,
			State: cluster.StoreActive,
		})
	}
	for id := range testPartitions {
		table.Partitions = append(table.Partitions, cluster.Partition{
			ID: id, Epoch: 1, Replicas: []cluster.Replica{h.replica(names[id%len(names)]), h.replica(names[(id+1)%len(names)])},
		})
	}
	h.table = table
	for _, name := range names {
		h.start(name)
	}
	return h
}

func (h *harness) address(name string) string {
	return fmt.Sprintf("%s:%d", h.machines[name].ip, testPort)
}

func (h *harness) replica(name string) cluster.Replica {
	return cluster.Replica{Store: name, DiskID: "disk-" + name, Synced: true}
}

// start starts a store's process with the newest table.
func (h *harness) start(name string) {
	m := h.machines[name]
	m.stopped.Store(false)
	host := h.network.Host(m.ip)
	m.server, m.pool, m.engine = rpc.NewServer(zap.NewNop()), rpc.NewPool(host), &testEngine{}
	opened, err := Open(Options{
		Name: name, DiskID: m.diskID, FS: m.disk.Mount(), Pool: m.pool, Server: m.server,
		Control: &machineControl{harness: h, machine: m},
		Logger:  zap.NewNop(), ReplicationFactor: testReplicationFactor, StatusRetention: time.Minute, DiskBytes: 64 << 20, CacheBytes: 1 << 20,
	})
	assert.NilError(h.t, err)
	m.store = opened
	m.store.Start(m.engine)
	listener, err := host.Listen(h.address(name))
	assert.NilError(h.t, err)
	go m.server.Serve(listener)
	h.mu.Lock()
	table := h.table
	h.mu.Unlock()
	m.store.ApplyTable(table)
}

// stop kills a store's process.
func (h *harness) stop(name string) {
	m := h.machines[name]
	m.stopped.Store(true)
	h.network.Kill(m.ip)
	m.disk.Crash()
	m.server.Close()
	m.pool.Close()
	m.store.Close()
}

// close shuts all stores down.
// startOthers starts all stores but one.
func (h *harness) startOthers(running *machine) {
	for _, name := range h.names {
		if name != running.name {
			h.start(name)
		}
	}
}

func (h *harness) close() {
	h.clients.Close()
	for _, m := range h.machines {
		m.server.Close()
		m.pool.Close()
		m.store.Close()
	}
}

// update changes the table and sends it to all running stores.
func (h *harness) update(change func(table *cluster.Table)) {
	h.mu.Lock()
	next := *h.table
	next.Stores = slices.Clone(next.Stores)
	next.Partitions = slices.Clone(next.Partitions)
	for i := range next.Partitions {
		next.Partitions[i].Replicas = slices.Clone(next.Partitions[i].Replicas)
	}
	change(&next)
	next.Revision++
	h.table = &next
	h.mu.Unlock()
	for _, m := range h.machines {
		if m.stopped.Load() {
			continue
		}
		go m.store.ApplyTable(&next)
	}
}

// setView replaces a partition's replicas, all of them synced, under a new epoch.
func (h *harness) setView(id int, names ...string) {
	h.update(func(table *cluster.Table) {
		view := &table.Partitions[id]
		view.Epoch++
		view.Replicas = nil
		for _, name := range names {
			view.Replicas = append(view.Replicas, h.replica(name))
		}
	})
}

func (h *harness) currentTable() *cluster.Table {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.table
}

// rejectRequests makes the control plane reject all requests from now on.
func (h *harness) rejectRequests() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.rejecting = true
}

// RequestPartitionChange implements Control. It changes the table like the control plane does, but always at once.
func (h *harness) RequestPartitionChange(_ context.Context, request cluster.PartitionRequest) error {
	h.mu.Lock()
	h.requests = append(h.requests, request)
	view := h.table.Partitions[request.Partition]
	rejecting, suspects, onRequest := h.rejecting, h.suspects, h.onRequest
	h.mu.Unlock()
	if onRequest != nil {
		onRequest(request)
	}
	if rejecting || view.Epoch != request.Epoch || view.Replicas[0].Store != request.Store {
		return &rpc.Error{Code: rpc.CodeConflict}
	}
	switch {
	case request.Drop != "" && suspects:
		h.update(func(table *cluster.Table) {
			view := &table.Partitions[request.Partition]
			view.Replicas[view.IndexOf(request.Drop)].Suspected = true
		})
	case request.Drop != "":
		h.replace(request.Partition, request.Drop)
	case request.Synced != "":
		h.update(func(table *cluster.Table) {
			view := &table.Partitions[request.Partition]
			view.Epoch++
			replica := &view.Replicas[view.IndexOf(request.Synced)]
			replica.Synced, replica.Suspected = true, false
		})
	case request.Renew:
		h.update(func(table *cluster.Table) { table.Partitions[request.Partition].Epoch++ })
	case request.Handover:
		h.update(func(table *cluster.Table) {
			view := &table.Partitions[request.Partition]
			view.Epoch++
			view.Replicas[0], view.Replicas[1] = view.Replicas[1], view.Replicas[0]
		})
	}
	return nil
}

// hasRequest reports whether the control plane has got a request with a property.
func (h *harness) hasRequest(property func(cluster.PartitionRequest) bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.ContainsFunc(h.requests, property)
}

// replace replaces a replica by an unsynced running store that is not in the group, if there is one.
func (h *harness) replace(id int, dropped string) {
	h.update(func(table *cluster.Table) {
		view := &table.Partitions[id]
		for _, name := range h.names {
			if view.IndexOf(name) >= 0 || h.machines[name].stopped.Load() {
				continue
			}
			added := h.replica(name)
			added.Synced = false
			view.Epoch++
			view.Replicas[view.IndexOf(dropped)] = added
			return
		}
	})
}

// replaceUnsynced replaces a replica by an unsynced one on the given store, whether that store runs or not.
func (h *harness) replaceUnsynced(id int, dropped, added string) {
	h.update(func(table *cluster.Table) {
		view := &table.Partitions[id]
		replica := h.replica(added)
		replica.Synced = false
		view.Epoch++
		view.Replicas[view.IndexOf(dropped)] = replica
	})
}

func (h *harness) ReportFailure(context.Context, cluster.FailureReport) error { return nil }

// machineControl implements Control for the store of one machine.
type machineControl struct {
	*harness
	machine *machine
}

func (c *machineControl) LeaseRemaining() time.Duration {
	if c.leases.Load() && !c.machine.noLease.Load() {
		return cluster.LeaseDuration
	}
	return 0
}

func (h *harness) client() *client.Client {
	return client.New("z0", h.clients, h.currentTable, func(cluster.FailureReport) {})
}

// put stores a message by way of the client and returns its ID. A message with an order key is ordered.
func (h *harness) put(requestID, orderKey string, body string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	submission := message.Submission{RetentionMS: 90_000, Message: message.Message{
		Route: "r", Host: "h", Method: "POST", Target: "/x", RequestID: requestID, OrderKey: orderKey,
	}}
	return h.client().Put(ctx, submission, orderKey != "", []byte(body))
}

// putAt stores a message in the given partition by a call to the primary. requestID is also the message's ID.
func (h *harness) putAt(partition int, requestID string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	submission := message.Submission{RetentionMS: 90_000, Message: message.Message{Partition: partition, ID: requestID, RequestID: requestID}}
	primary, _ := h.currentTable().Partitions[partition].Primary()
	request := protocol.PutRequest{Submission: submission}
	_, err := h.clients.Get(h.address(primary.Store)).Call(ctx, protocol.MethodPut, request, []byte("x"), nil)
	return err
}

func (h *harness) mustPut(requestID, orderKey, body string) string {
	h.t.Helper()
	id, err := h.put(requestID, orderKey, body)
	assert.NilError(h.t, err)
	return id
}

func (h *harness) state(id string) (message.Outcome, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	return h.client().State(ctx, id)
}

func (h *harness) body(id string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	body, err := h.client().Body(ctx, id)
	return string(body), err
}

// primary returns the machine that the table names as the primary of a message's partition.
func (h *harness) primary(id string) *machine {
	replica, _ := h.currentTable().Partitions[h.partitionOf(id)].Primary()
	return h.machines[replica.Store]
}

// partitionOf returns the partition that a message's ID names.
func (h *harness) partitionOf(id string) int {
	h.t.Helper()
	partition, err := client.PartitionOf(id)
	assert.NilError(h.t, err)
	return partition
}

// backup returns the machine that the table names as the first backup of a partition.
func (h *harness) backup(partition int) *machine {
	return h.machines[h.currentTable().Partitions[partition].Replicas[1].Store]
}

// messageOf returns a message as it was submitted to the primary's engine.
func (h *harness) messageOf(id string) *message.Message {
	engine := h.primary(id).engine
	engine.mu.Lock()
	defer engine.mu.Unlock()
	for _, m := range engine.submitted {
		if m.ID == id {
			return m
		}
	}
	h.t.Fatalf("message %s was not submitted", id)
	return nil
}
