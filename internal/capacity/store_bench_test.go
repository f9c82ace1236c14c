package capacity_test

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"gladepick/internal/cluster"
	"gladepick/internal/delivery"
	"gladepick/internal/message"
	"gladepick/internal/messagestore"
	"gladepick/internal/messagestore/client"
	"gladepick/internal/network"
	"gladepick/internal/rpc"
	"gladepick/internal/vfs"
)

const (
	benchBodyBytes  = 3000 // about the mean of the standard mix of messages
	benchPartitions = 64
	benchClients    = 64 // messages on their way at once
	benchReplicas   = 2
	farDelayMS      = 3_600_000 // messages that are not due while the benchmark runs
	retentionMS     = 7_200_000
	benchPort       = "127.0.0.1:0"
)

// BenchmarkKeepMessage submits messages to a primary and its backup over loopback, on real files. Its figures are of one
// message on two disks: the client's and both stores' processor time, the bytes and syncs of each disk, and the memory
// of each store's index while the message is queued.
func BenchmarkKeepMessage(b *testing.B) {
	pair := newStorePair(b)
	body := make([]byte, benchBodyBytes)
	before, cpuBefore := heapBytes(), processorTime()
	var sequence, rejected atomic.Int64
	b.SetParallelism(max(benchClients/runtime.GOMAXPROCS(0), 1))
	b.ResetTimer()
	b.RunParallel(func(parallel *testing.PB) {
		for parallel.Next() {
			submission := farSubmission(sequence.Add(1))
			rejected.Add(putUntilStored(pair.client, submission, body))
		}
	})
	b.StopTimer()
	b.ReportMetric(float64(rejected.Load()), "refused") // while a disk takes too long for a sync
	messages := float64(b.N)
	b.ReportMetric(float64((processorTime()-cpuBefore).Microseconds())/messages, "cpu-us/msg")
	b.ReportMetric(float64(pair.syncs.Load())/messages/benchReplicas, "syncs/msg/disk")
	b.ReportMetric(float64(pair.written.Load())/messages/benchReplicas, "disk-bytes/msg/disk")
	b.ReportMetric(float64(int64(heapBytes())-int64(before))/messages/benchReplicas, "heap-bytes/msg/store")
}

// BenchmarkQueuedInEngine gives the delivery engine messages that are not due yet. The messages themselves belong to
// the store and are not counted.
func BenchmarkQueuedInEngine(b *testing.B) {
	messages := make([]*message.Message, b.N)
	for i := range messages {
		submission := farSubmission(int64(i))
		messages[i] = &submission.Message
		messages[i].Sequence = uint64(i + 1)
		messages[i].DueAt = time.Now().Add(farDelayMS * time.Millisecond)
	}
	engine := delivery.New(delivery.Options{Name: "store", Zone: "a", Network: network.TCP{}, Owner: idleOwner{}})
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	before, cpuBefore := heapBytes(), processorTime()
	b.ResetTimer()
	go func() {
		engine.Run(ctx)
		close(ended)
	}()
	for _, each := range messages {
		engine.Submit(each, 0)
	}
	time.Sleep(time.Second) // the loop takes the last messages in
	b.StopTimer()
	b.ReportMetric(float64((processorTime()-cpuBefore).Microseconds())/float64(b.N), "cpu-us/msg")
	b.ReportMetric(float64(int64(heapBytes())-int64(before))/float64(b.N), "heap-bytes/msg")
	stop()
	<-ended
	runtime.KeepAlive(messages)
}

// BenchmarkRecoverIndex opens a store whose log holds many messages, as after a restart.
func BenchmarkRecoverIndex(b *testing.B) {
	const messages = 20_000
	pair := newStorePair(b)
	for i := range messages {
		putUntilStored(pair.client, farSubmission(int64(i)), make([]byte, benchBodyBytes))
	}
	var used time.Duration
	b.ResetTimer()
	for range b.N {
		before := processorTime()
		options := pair.options(0)
		options.Server = rpc.NewServer(zap.NewNop())
		options.FS = pair.disks[0]
		reopened, err := messagestore.Open(options)
		assert.NilError(b, err)
		used += processorTime() - before
		assert.NilError(b, reopened.Close())
	}
	b.ReportMetric(float64(used.Microseconds())/float64(b.N)/messages, "cpu-us/msg")
}

// putUntilStored submits a message until it is stored, and returns how often it was rejected before.
func putUntilStored(stores *client.Client, submission message.Submission, body []byte) (rejected int64) {
	for {
		if _, err := stores.Put(context.Background(), submission, false, body); err == nil {
			return rejected
		}
		rejected++
	}
}

func farSubmission(number int64) message.Submission {
	return message.Submission{
		Message: message.Message{
			Route: "dossier-submit", Host: "intake.example", Method: "POST", Target: "/dossiers/submit",
			RequestID: fmt.Sprintf("request-%020d", number), ContentType: "application/json", ConfigVersion: 1,
		},
		DelayMS: farDelayMS, RetentionMS: retentionMS,
	}
}

// storePair is a primary of all partitions and their backup, with a client.
type storePair struct {
	client  *client.Client
	table   *cluster.Table
	disks   []vfs.FS
	pool    *rpc.Pool
	syncs   atomic.Int64
	written atomic.Int64
}

func newStorePair(b *testing.B) *storePair {
	pair := &storePair{pool: rpc.NewPool(network.TCP{}), table: &cluster.Table{Revision: 1, ReplicationFactor: benchReplicas}}
	b.Cleanup(pair.pool.Close)
	stores := []*messagestore.Store{pair.start(b, 0), pair.start(b, 1)}
	for id := range benchPartitions {
		pair.table.Partitions = append(pair.table.Partitions, cluster.Partition{ID: id, Epoch: 1, Replicas: []cluster.Replica{
			{Store: "store-0", DiskID: "disk-0", Synced: true}, {Store: "store-1", DiskID: "disk-1", Synced: true},
		}})
	}
	for _, store := range stores {
		store.ApplyTable(pair.table)
	}
	pair.client = client.New("a", pair.pool, func() *cluster.Table { return pair.table }, func(cluster.FailureReport) {})
	return pair
}

func (p *storePair) options(number int) messagestore.Options {
	return messagestore.Options{
		Name: fmt.Sprintf("store-%d", number), DiskID: fmt.Sprintf("disk-%d", number), FS: p.disks[number], Pool: p.pool,
		Control: steadyControl{}, Logger: zap.NewNop(), ReplicationFactor: benchReplicas, StatusRetention: time.Minute,
	}
}

func (p *storePair) start(b *testing.B, number int) *messagestore.Store {
	disk, err := vfs.OpenDirectory(b.TempDir())
	assert.NilError(b, err)
	p.disks = append(p.disks, countingDisk{FS: disk, pair: p})
	listener, err := network.TCP{}.Listen(benchPort)
	assert.NilError(b, err)
	options := p.options(number)
	options.Server = rpc.NewServer(zap.NewNop())
	store, err := messagestore.Open(options)
	assert.NilError(b, err)
	store.Start(idleEngine{})
	go func() { _ = options.Server.Serve(listener) }()
	b.Cleanup(func() {
		options.Server.Close()
		assert.NilError(b, store.Close())
	})
	p.table.Stores = append(p.table.Stores, cluster.StoreEntry{
		Name: options.Name, Zone: "a", Address: listener.Addr().(*net.TCPAddr).String(), DiskID: options.DiskID,
		State: cluster.StoreActive,
	})
	return store
}

// countingDisk counts what is written and synced.
type countingDisk struct {
	vfs.FS
	pair *storePair
}

func (d countingDisk) Create(name string) (vfs.File, error) {
	file, err := d.FS.Create(name)
	return countingFile{File: file, pair: d.pair}, err
}

type countingFile struct {
	vfs.File
	pair *storePair
}

func (f countingFile) WriteAt(data []byte, offset int64) (int, error) {
	f.pair.written.Add(int64(len(data)))
	return f.File.WriteAt(data, offset)
}

func (f countingFile) Sync() error {
	f.pair.syncs.Add(1)
	return f.File.Sync()
}

// idleEngine delivers nothing.
type idleEngine struct{}

func (idleEngine) Submit(*message.Message, int) {}
func (idleEngine) Release(int)                  {}
func (idleEngine) PausePartition(int)           {}
func (idleEngine) ResumePartition(int)          {}
func (idleEngine) InFlightOf(int) int           { return 0 }

// steadyControl is a control plane that is always there.
type steadyControl struct{}

func (steadyControl) RequestPartitionChange(context.Context, cluster.PartitionRequest) error {
	return nil
}
func (steadyControl) ReportFailure(context.Context, cluster.FailureReport) error { return nil }
func (steadyControl) LeaseRemaining() time.Duration                              { return time.Second }

// idleOwner is never asked.
type idleOwner struct{}

func (idleOwner) Body(*message.Message) ([]byte, error)   { return nil, message.ErrNotFound }
func (idleOwner) MayDeliver(int) bool                     { return false }
func (idleOwner) Failed(*message.Message, int)            {}
func (idleOwner) Ended(*message.Message, message.Outcome) {}

// heapBytes is what the heap holds after a collection.
func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var statistics runtime.MemStats
	runtime.ReadMemStats(&statistics)
	return statistics.HeapAlloc
}

// processorTime is what this process has used so far.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
