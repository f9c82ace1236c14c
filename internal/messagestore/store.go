package messagestore

import (
	"context"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"gladepick/internal/cluster"
	"gladepick/internal/message"
	"gladepick/internal/messagestore/protocol"
	"gladepick/internal/rpc"
	"gladepick/internal/vfs"
	"gladepick/internal/wal"
)

// Options configures a Store. All fields but the limits are required.
type Options struct {
	Name              string // the store's name in the cluster table
	DiskID            string // the ID of the store's disk in the cluster table
	FS                vfs.FS // the directory of the log
	Pool              *rpc.Pool
	Server            *rpc.Server // Open registers the store's handlers here
	Control           Control
	Logger            *zap.Logger
	ReplicationFactor int           // least number of disks that hold a message before it is acknowledged
	StatusRetention   time.Duration // how long the state of an ended message can be queried
	DiskBytes         int64         // limit of the log's size on the disk; 0 for no limit
	CacheBytes        int64         // limit of the memory for the bodies of queued messages
}

// Store stores messages on a disk and replicates them. Its methods are safe for concurrent use.
type Store struct {
	options Options
	log     *wal.Log
	logger  *zap.Logger

	mu          sync.Mutex
	engine      Engine         // nil before Start
	table       *cluster.Table // the newest table applied; nil before the first
	partitions  map[int]*partition
	changes     leadershipChanges      // not logged yet
	fences      sync.Map               // by partition ID: *deliveryFence
	replicators map[string]*replicator // by disk ID
	lastReports map[string]time.Time   // by store: when it was last reported
	leaseGrants map[string]time.Time   // by store: end of the last lease known here that a backup granted to it
	cachedBytes int64                  // bytes of bodies in memory
	unsynced    []*pendingWrite        // outcomes that this store's disk has not synced yet
	syncWake    chan struct{}          // wakes syncInBackground; has room for one signal
	forgotten   time.Time              // end of the leases that a former process may have granted on this disk
	wake        chan struct{}          // wakes maintain; has room for one signal
	context     context.Context
	cancel      context.CancelFunc
	background  sync.WaitGroup
}

// Open loads the index from the disk and registers the store's handlers. The store is not the primary of any partition
// before Start and the first table. An error that wraps wal.ErrCorrupt means that the disk has lost data.
func Open(options Options) (*Store, error) {
	s := &Store{
		options:     options,
		logger:      options.Logger,
		partitions:  make(map[int]*partition),
		replicators: make(map[string]*replicator),
		lastReports: make(map[string]time.Time),
		leaseGrants: make(map[string]time.Time),
		syncWake:    make(chan struct{}, 1),
		wake:        make(chan struct{}, 1),
	}
	s.context, s.cancel = context.WithCancel(context.Background())
	log, err := wal.Open(
		wal.Options{FS: options.FS, Logger: options.Logger, SegmentBytes: segmentBytes(options.DiskBytes)},
		s.restore, s.replay,
	)
	if err != nil {
		s.cancel()
		return nil, trace.Wrap(err, "opening the message log")
	}
	s.log = log
	if len(s.partitions) > 0 {
		s.forgotten = time.Now().Add(backupLease)
	}
	for _, p := range s.partitions {
		p.lastSequence += restartGap
	}
	s.registerHandlers(options.Server)
	return s, nil
}

// registerHandlers registers the handlers for the calls of package protocol.
func (s *Store) registerHandlers(server *rpc.Server) {
	server.Handle(protocol.MethodPut, s.handlePut)
	server.Handle(protocol.MethodState, s.handleState)
	server.Handle(protocol.MethodBody, s.handleBody)
	server.Handle(protocol.MethodReplicate, s.handleReplicate)
	server.Handle(protocol.MethodInventory, s.handleInventory)
	server.Handle(protocol.MethodOutcome, s.handleOutcome)
	server.Handle(protocol.MethodRecords, s.handleRecords)
}

// Start sets the store's delivery engine and starts the background work. It must be called once, before the first
// table.
func (s *Store) Start(engine Engine) {
	s.mu.Lock()
	s.engine = engine
	s.mu.Unlock()
	s.background.Go(s.maintain)
	s.background.Go(s.syncInBackground)
}

// Close ends the background work, waits for it, and closes the log. Appended records are synced first.
func (s *Store) Close() error {
	s.cancel()
	s.background.Wait()
	return trace.Wrap(s.log.Close())
}

// DiskFailing reports whether the disk accepts no writes or takes too long for them.
func (s *Store) DiskFailing() bool { return s.log.Failing() }

// partition returns the state of a partition and creates it if it does not exist. The caller must hold s.mu.
func (s *Store) partition(id int) *partition {
	p := s.partitions[id]
	if p == nil {
		p = newPartition(id)
		s.partitions[id] = p
	}
	return p
}

// Stats counts what a store has on its disk, including messages for which it is only a backup.
type Stats struct {
	Queued          int   // messages that have not ended
	QueuedAsPrimary int   // queued messages in partitions that have this store as their primary
	DeadLetters     int   // messages that ended without success and are not expired
	Held            int   // queued messages that wait until other replicas have told which messages have ended
	Collecting      int   // partitions that rest while this store, their primary, collects their messages
	Fenced          int   // partitions that rest because a replica has rejected the epoch of this store, their primary
	LogBytes        int64 // size of the log on the disk, including its snapshot
}

// Stats returns the store's current figures.
func (s *Store) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := Stats{LogBytes: s.log.Size()}
	for _, p := range s.partitions {
		if p.catchUp != nil {
			stats.Held += len(p.catchUp.held)
		}
		if p.collection != nil {
			stats.Collecting++
		}
		if p.fenced {
			stats.Fenced++
		}
		for _, e := range p.entries {
			switch e.outcome.State {
			case message.Queued:
				stats.Queued++
				if p.isPrimary {
					stats.QueuedAsPrimary++
				}
			case message.DeadLetter:
				stats.DeadLetters++
			}
		}
	}
	return stats
}
