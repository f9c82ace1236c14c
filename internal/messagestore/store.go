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

// Options configure a Store. All but the limits are required.
type Options struct {
	Name              string // by which the cluster table lists the store
	DiskID            string // by which the cluster table lists the store's disk
	FS                vfs.FS // the directory of the log
	Pool              *rpc.Pool
	Server            *rpc.Server // gets the store's handlers
	Control           Control
	Logger            *zap.Logger
	ReplicationFactor int           // disks that hold a message before it is acknowledged
	StatusRetention   time.Duration // how long an ended message can be asked for
	DiskBytes         int64         // how much the log may take; 0 for no limit
	CacheBytes        int64         // how much the bodies of queued messages may take in memory
}

// Store keeps messages on a disk and replicates them. Its methods are safe for concurrent use.
type Store struct {
	options Options
	log     *wal.Log
	logger  *zap.Logger

	mu          sync.Mutex
	engine      Engine         // nil before Start
	table       *cluster.Table // the newest applied; nil before the first
	partitions  map[int]*partition
	changes     leadershipChanges      // not logged yet
	fences      sync.Map               // by partition ID: *deliveryFence
	replicators map[string]*replicator // by disk ID
	lastReports map[string]time.Time   // by store: when it was last reported
	leaseGrants map[string]time.Time   // by store: when the last lease that lets it deliver ends, as far as this store knows
	cachedBytes int64                  // bytes of bodies in memory
	wake        chan struct{}          // to maintain; holds one signal at the most
	context     context.Context
	cancel      context.CancelFunc
	background  sync.WaitGroup
}

// Open reads what the disk holds and registers the store's handlers. The store is no partition's primary before Start and the
// first table. An error that is wal.ErrCorrupt means that the disk has lost data.
func Open(options Options) (*Store, error) {
	s := &Store{
		options:     options,
		logger:      options.Logger,
		partitions:  make(map[int]*partition),
		replicators: make(map[string]*replicator),
		lastReports: make(map[string]time.Time),
		leaseGrants: make(map[string]time.Time),
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
	for _, each := range s.partitions {
		each.lastSequence += restartGap
	}
	s.registerHandlers(options.Server)
	return s, nil
}

// registerHandlers has a server answer the calls of package protocol.
func (s *Store) registerHandlers(server *rpc.Server) {
	server.Handle(protocol.MethodPut, s.handlePut)
	server.Handle(protocol.MethodState, s.handleState)
	server.Handle(protocol.MethodBody, s.handleBody)
	server.Handle(protocol.MethodReplicate, s.handleReplicate)
	server.Handle(protocol.MethodInventory, s.handleInventory)
	server.Handle(protocol.MethodOutcome, s.handleOutcome)
}

// Start gives the store its delivery engine and starts its background work. It is called once, before the first table.
func (s *Store) Start(engine Engine) {
	s.mu.Lock()
	s.engine = engine
	s.mu.Unlock()
	s.background.Go(s.maintain)
}

// Close ends the background work, waits for it, and closes the log. What was appended is synced.
func (s *Store) Close() error {
	s.cancel()
	s.background.Wait()
	return trace.Wrap(s.log.Close())
}

// DiskFailing tells whether the disk takes no writes or takes far too long for them.
func (s *Store) DiskFailing() bool { return s.log.Failing() }

// partition returns what is held of a partition, made where nothing is. The caller holds the lock.
func (s *Store) partition(id int) *partition {
	found := s.partitions[id]
	if found == nil {
		found = newPartition(id)
		s.partitions[id] = found
	}
	return found
}

// Holdings are figures about what a store holds, replicas of other stores' messages among it.
type Holdings struct {
	Queued      int   // messages that have not ended
	Led         int   // those of them in partitions whose primary the store is
	DeadLetters int   // messages that ended without success, until they are forgotten
	LogBytes    int64 // of the log on the disk, with its snapshot
}

// Holdings returns what this store holds now.
func (s *Store) Holdings() Holdings {
	s.mu.Lock()
	defer s.mu.Unlock()
	holdings := Holdings{LogBytes: s.log.Size()}
	for _, p := range s.partitions {
		for _, each := range p.entries {
			switch each.outcome.State {
			case message.Queued:
				holdings.Queued++
				if p.isPrimary {
					holdings.Led++
				}
			case message.DeadLetter:
				holdings.DeadLetters++
			}
		}
	}
	return holdings
}
