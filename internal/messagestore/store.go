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

// Options configure a Store.
type Options struct {
	Name              string
	DiskID            string
	FS                vfs.FS
	Pool              *rpc.Pool
	Server            *rpc.Server
	Control           Control
	Logger            *zap.Logger
	ReplicationFactor int           // disks that hold a message before it is acknowledged
	StatusRetention   time.Duration // how long an ended message can be asked for
	DiskBytes         int64         // how much the log may take; 0 for no limit
	CacheBytes        int64         // bodies of queued messages kept in memory
}

// Store keeps messages.
type Store struct {
	options Options
	log     *wal.Log
	logger  *zap.Logger

	mu          sync.Mutex
	engine      Engine
	table       *cluster.Table
	partitions  map[int]*partition
	changes     leadershipChanges      // not logged yet
	fences      sync.Map               // by partition ID: *gate
	replicators map[string]*replicator // by disk id
	lastReports map[string]time.Time   // by store: when it was last reported
	leaseGrants map[string]time.Time   // by store: until when it may deliver by a lease from this store
	cachedBytes int64                  // bytes of bodies in memory
	wake        chan struct{}
	context     context.Context
	cancel      context.CancelFunc
	background  sync.WaitGroup
}

// Open reads what the disk holds and registers the store's calls. The store leads nothing before the first table.
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
	options.Server.Handle(protocol.MethodPut, s.handlePut)
	options.Server.Handle(protocol.MethodState, s.handleState)
	options.Server.Handle(protocol.MethodBody, s.handleBody)
	options.Server.Handle(protocol.MethodReplicate, s.handleReplicate)
	options.Server.Handle(protocol.MethodInventory, s.handleInventory)
	options.Server.Handle(protocol.MethodOutcome, s.handleOutcome)
	return s, nil
}

// Start gives the store its delivery engine, and starts its background work.
func (s *Store) Start(engine Engine) {
	s.mu.Lock()
	s.engine = engine
	s.mu.Unlock()
	s.background.Go(s.maintain)
}

// Close ends the background work and closes the log.
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

// Holdings returns how many messages that have not ended this store holds, and how many of them it leads.
func (s *Store) Holdings() (queued, leading int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.partitions {
		for _, each := range p.entries {
			if each.outcome.State != message.Queued {
				continue
			}
			queued++
			if p.isPrimary {
				leading++
			}
		}
	}
	return queued, leading
}
