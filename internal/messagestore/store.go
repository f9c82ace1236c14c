// Package messagestore keeps messages on a store's disk and on those of its partners.
//
// Messages are spread over partitions. A partition's replica group has a primary, which commits a message once every
// backup of its view has synced it, and hands committed messages to the delivery engine. The control plane decides
// who is primary; an epoch that grows with each of its decisions fences former primaries off.
package messagestore

import (
	"context"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"gladepick/internal/cluster"
	"gladepick/internal/message"
	"gladepick/internal/rpc"
	"gladepick/internal/vfs"
	"gladepick/internal/wal"
)

// Engine delivers the messages of the partitions that the store leads.
type Engine interface {
	Submit(m *message.Message, failures int)
	Release(partition int)
	PausePartition(partition int)
	ResumePartition(partition int)
	InFlightOf(partition int) int
}

// Control is the control plane as a store sees it.
type Control interface {
	// RequestPartitionChange asks for a change of a replica group that this store leads.
	RequestPartitionChange(ctx context.Context, ask cluster.PartitionRequest) error
	// FailureReport tells that a process can't be reached.
	ReportFailure(ctx context.Context, report cluster.FailureReport) error
	// LeaseRemaining returns for how long this process's lease surely still runs; 0 where it does not.
	LeaseRemaining() time.Duration
}

// Options configure a Store.
type Options struct {
	Name       string
	DiskID     string
	FS         vfs.FS
	Pool       *rpc.Pool
	Server     *rpc.Server
	Control    Control
	Logger     *zap.Logger
	Copies     int           // disks that hold a message before it is acknowledged
	StatusFor  time.Duration // how long an ended message can be asked for
	DiskBytes  int64         // how much the log may take; 0 for no limit
	CacheBytes int64         // bodies of queued messages kept in memory
}

// Store keeps messages.
type Store struct {
	options Options
	log     *wal.Log
	logger  *zap.Logger

	mu         sync.Mutex
	engine     Engine
	table      *cluster.Table
	partitions map[int]*partition
	changes    leadChanges          // not logged yet
	gates      sync.Map             // by partition ID: *gate
	peers      map[string]*peer     // by disk id
	reported   map[string]time.Time // by store: when it was last reported
	grants     map[string]time.Time // by store: until when it may deliver by a lease from this store
	cached     int64                // bytes of bodies in memory
	wake       chan struct{}
	context    context.Context
	cancel     context.CancelFunc
	background sync.WaitGroup
}

// Open reads what the disk holds and registers the store's calls. The store leads nothing before the first table.
func Open(options Options) (*Store, error) {
	s := &Store{
		options:    options,
		logger:     options.Logger,
		partitions: make(map[int]*partition),
		peers:      make(map[string]*peer),
		reported:   make(map[string]time.Time),
		grants:     make(map[string]time.Time),
		wake:       make(chan struct{}, 1),
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
		each.last += restartGap
	}
	options.Server.Handle(methodPut, s.handlePut)
	options.Server.Handle(methodState, s.handleState)
	options.Server.Handle(methodBody, s.handleBody)
	options.Server.Handle(methodReplicate, s.handleReplicate)
	options.Server.Handle(methodInventory, s.handleInventory)
	options.Server.Handle(methodOutcome, s.handleOutcome)
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

// Body implements the delivery engine's owner.
func (s *Store) Body(m *message.Message) ([]byte, error) {
	s.mu.Lock()
	found := s.partition(m.Partition).entries[m.ID]
	if found == nil {
		s.mu.Unlock()
		return nil, trace.Wrap(message.ErrNotFound)
	}
	body, position := found.body, found.position
	s.mu.Unlock()
	if body != nil {
		return body, nil
	}
	return s.readBody(position)
}

// readBody reads a message's body from the log.
func (s *Store) readBody(position wal.Position) ([]byte, error) {
	data, err := s.log.Read(position)
	if err != nil {
		return nil, trace.Wrap(err, "reading a message's body")
	}
	_, body, err := decodeRecord(data)
	return body, trace.Wrap(err)
}

// Failed implements the delivery engine's owner: a worker answered an attempt with a failure.
func (s *Store) Failed(m *message.Message, failures int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(m.Partition)
	found := p.entries[m.ID]
	if found == nil || found.ended() {
		return
	}
	found.failures = max(found.failures, failures)
	s.appendAndReplicate(p, &record{
		Kind: recordFailed, Partition: p.id, Epoch: p.epoch, ID: m.ID, Failures: failures,
	})
}

// Ended implements the delivery engine's owner: a message has ended.
func (s *Store) Ended(m *message.Message, outcome message.Outcome) {
	s.mu.Lock()
	p := s.partition(m.Partition)
	if !p.leading {
		s.mu.Unlock()
		s.tellPrimary(m, outcome)
		return
	}
	s.end(p, m.ID, outcome)
	s.mu.Unlock()
}

// end notes how a message ended and replicates it. The caller holds the lock.
func (s *Store) end(p *partition, id string, outcome message.Outcome) {
	found := p.entries[id]
	if found == nil || found.ended() {
		return
	}
	s.cached -= int64(len(found.body))
	ended := &record{
		Kind: recordEnded, Partition: p.id, Epoch: p.epoch, ID: id, Outcome: &outcome, EndedAt: time.Now(),
	}
	p.applyEnded(ended)
	s.appendAndReplicate(p, ended)
}

// appendAndReplicate logs a record that nobody waits for, and sends it to the backups. The caller holds the lock.
func (s *Store) appendAndReplicate(p *partition, r *record) {
	line, err := r.encode()
	if err != nil {
		s.logger.Error("encoding a record", zap.Error(err))
		return
	}
	if _, err := s.log.Append(line); err != nil {
		s.logger.Warn("appending a record", zap.Error(err))
	}
	for _, replica := range p.backups() {
		s.sendTo(p, replica, line, nil)
	}
}

// tellPrimary passes the end of an attempt that this store had out to the partition's present primary.
func (s *Store) tellPrimary(m *message.Message, outcome message.Outcome) {
	s.mu.Lock()
	address := s.primaryAddress(m.Partition)
	s.mu.Unlock()
	if address == "" {
		return
	}
	s.background.Go(func() {
		ctx, cancel := context.WithTimeout(s.context, outcomeTimeout)
		defer cancel()
		request := outcomeRequest{Partition: m.Partition, ID: m.ID, Outcome: outcome}
		if _, err := s.options.Pool.Get(address).Call(ctx, methodOutcome, request, nil, nil); err != nil {
			s.logger.Info("passing an outcome on", zap.String("message", m.ID), zap.Error(err))
		}
	})
}

// primaryAddress returns where another store that leads a partition listens. The caller holds the lock.
func (s *Store) primaryAddress(id int) string {
	if s.table == nil || id < 0 || id >= len(s.table.Partitions) {
		return ""
	}
	primary, found := s.table.Partitions[id].Primary()
	if !found || primary.Store == s.options.Name {
		return ""
	}
	entry := s.table.Store(primary.Store)
	if entry == nil {
		return ""
	}
	return entry.Address
}

func (s *Store) handleOutcome(_ context.Context, call *rpc.Call) (any, []byte, error) {
	var request outcomeRequest
	if err := call.Decode(&request); err != nil {
		return nil, nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partitions[request.Partition]
	if p == nil || !p.leading {
		return nil, nil, &rpc.Error{Code: rpc.CodeNotLeader}
	}
	s.end(p, request.ID, request.Outcome)
	return nil, nil, nil
}
