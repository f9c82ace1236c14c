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
	benchClients    = 64 // concurrent clients, each with one message in flight
	benchReplicas   = 2
	deliveryDelayMS = 3_600_000 // long enough that no message is due while the benchmark runs
	retentionMS     = 7_200_000
	benchPort       = "127.0.0.1:0"
)

// BenchmarkKeepMessage submits messages to a primary and its backup over loopback, with real files. It reports for one
// message: the processor time of the client and both stores together, the bytes and syncs per disk, and the memory per
// store for the index entry of the queued message.
func BenchmarkKeepMessage(b *testing.B) {
	pair := newStorePair(b)
	body := make([]byte, benchBodyBytes)
	before, cpuBefore := heapBytes(), processorTime()
	var sequence, rejected atomic.Int64
	b.SetParallelism(max(benchClients/runtime.GOMAXPROCS(0), 1))
	b.ResetTimer()
	b.RunParallel(func(parallel *testing.PB) {
		for parallel.Next() {
			submission := delayedSubmission(sequence.Add(1))
			rejected.Add(putUntilStored(pair.client, submission, body))
		}
	})
	b.StopTimer()
	b.ReportMetric(float64(rejected.Load()), "refused") // attempts rejected while a sync of a disk took too long
	messages := float64(b.N)
	b.ReportMetric(float64((processorTime()-cpuBefore).Microseconds())/messages, "cpu-us/msg")
	b.ReportMetric(float64(pair.syncs.Load())/messages/benchReplicas, "syncs/msg/disk")
	b.ReportMetric(float64(pair.written.Load())/messages/benchReplicas, "disk-bytes/msg/disk")
	b.ReportMetric(float64(int64(heapBytes())-int64(before))/messages/benchReplicas, "heap-bytes/msg/store")
}

// BenchmarkQueuedInEngine measures the processor time and memory that the delivery engine needs to queue a message that
// is not due yet. The message itself belongs to the store and is not counted.
func BenchmarkQueuedInEngine(b *testing.B) {
	messages := make([]*message.Message, b.N)
	for i := range messages {
		submission := delayedSubmission(int64(i))
		messages[i] = &submission.Message
		messages[i].Sequence = uint64(i + 1)
		messages[i].DueAt = time.Now().Add(deliveryDelayMS * time.Millisecond)
	}
	engine := delivery.New(delivery.Options{Name: "store", Zone: "a", Network: network.TCP{}, Owner: noopOwner{}})
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	before, cpuBefore := heapBytes(), processorTime()
	b.ResetTimer()
	go func() {
		engine.Run(ctx)
		close(ended)
	}()
	for _, queued := range messages {
		engine.Submit(queued, 0)
	}
	time.Sleep(time.Second) // time for the loop to accept the last messages
	b.StopTimer()
	b.ReportMetric(float64((processorTime()-cpuBefore).Microseconds())/float64(b.N), "cpu-us/msg")
	b.ReportMetric(float64(int64(heapBytes())-int64(before))/float64(b.N), "heap-bytes/msg")
	stop()
	<-ended
	runtime.KeepAlive(messages)
}

// BenchmarkRecoverIndex measures the processor time per message to open a store with 20,000 messages in its log, as
// after a restart.
func BenchmarkRecoverIndex(b *testing.B) {
	const messages = 20_000
	pair := newStorePair(b)
	for i := range messages {
		putUntilStored(pair.client, delayedSubmission(int64(i)), make([]byte, benchBodyBytes))
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

// putUntilStored submits a message until it is stored, and returns the number of rejected attempts.
func putUntilStored(stores *client.Client, submission message.Submission, body []byte) (rejected int64) {
	for {
		if _, err := stores.Put(context.Background(), submission, false, body); err == nil {
			return rejected
		}
		rejected++
	}
}

func delayedSubmission(number int64) message.Submission {
	return message.Submission{
		Message: message.Message{
			Route: "dossier-submit", Host: "intake.example", Method: "POST", Target: "/dossiers/submit",
			RequestID: fmt.Sprintf("request-%020d", number), ContentType: "application/json", ConfigVersion: 1,
		},
		DelayMS: deliveryDelayMS, RetentionMS: retentionMS,
	}
}

// storePair is a client with two stores: the primary of all partitions and the backup of all partitions.
type storePair struct {
	client  *client.Client
	stores  []*messagestore.Store // the primary and the backup
	table   *cluster.Table
	disks   []vfs.FS
	pool    *rpc.Pool
	syncs   atomic.Int64
	written atomic.Int64
}

func newStorePair(b *testing.B) *storePair {
	pair := &storePair{pool: rpc.NewPool(network.TCP{}), table: &cluster.Table{Revision: 1, ReplicationFactor: benchReplicas}}
	b.Cleanup(pair.pool.Close)
	pair.stores = []*messagestore.Store{pair.start(b, 0), pair.start(b, 1)}
	for id := range benchPartitions {
		pair.table.Partitions = append(pair.table.Partitions, cluster.Partition{ID: id, Epoch: 1, Replicas: []cluster.Replica{
			{Store: "store-0", DiskID: "disk-0", Synced: true}, {Store: "store-1", DiskID: "disk-1", Synced: true},
		}})
	}
	for _, store := range pair.stores {
		store.ApplyTable(pair.table)
	}
	pair.client = client.New("a", pair.pool, func() *cluster.Table { return pair.table }, func(cluster.FailureReport) {})
	return pair
}

func (p *storePair) options(number int) messagestore.Options {
	return messagestore.Options{
		Name: fmt.Sprintf("store-%d", number), DiskID: fmt.Sprintf("disk-%d", number), FS: p.disks[number], Pool: p.pool,
		Control: stubControl{}, Logger: zap.NewNop(), ReplicationFactor: benchReplicas, StatusRetention: time.Minute,
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
	store.Start(noopEngine{})
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

// countingDisk counts the bytes written and the syncs.
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

// noopEngine is a delivery engine that ignores all messages.
type noopEngine struct{}

func (noopEngine) Submit(*message.Message, int) {}
func (noopEngine) Release(int)                  {}
func (noopEngine) PausePartition(int)           {}
func (noopEngine) ResumePartition(int)          {}
func (noopEngine) InFlightOf(int) int           { return 0 }

// stubControl is a control plane that accepts every request, and whose lease is always valid.
type stubControl struct{}

func (stubControl) RequestPartitionChange(context.Context, cluster.PartitionRequest) error {
	return nil
}
func (stubControl) ReportFailure(context.Context, cluster.FailureReport) error { return nil }
func (stubControl) LeaseRemaining() time.Duration                              { return time.Second }

// noopOwner is an owner whose methods the benchmark does not use, as no message becomes due.
type noopOwner struct{}

func (noopOwner) Body(*message.Message) ([]byte, error)   { return nil, message.ErrNotFound }
func (noopOwner) MayDeliver(int) bool                     { return false }
func (noopOwner) Failed(*message.Message, int)            {}
func (noopOwner) Ended(*message.Message, message.Outcome) {}

// heapBytes returns the number of allocated heap bytes after a garbage collection.
func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var statistics runtime.MemStats
	runtime.ReadMemStats(&statistics)
	return statistics.HeapAlloc
}

// processorTime returns the user and system processor time that this process has used, or 0 if it is not available.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
