package messagestore

import (
	"context"
	"errors"
	"time"

	"gladepick/internal/message"
	"gladepick/internal/rpc"
	"gladepick/internal/wal"
)

// errStepDown ends a write whose partition is led elsewhere now: its outcome is not known here.
var errStepDown = errors.New("the partition has a new primary")

// pendingWrite is a message that waits for replicas.
type pendingWrite struct {
	id     string
	entry  *entry
	line   []byte          // the record's line
	body   []byte          // the record's body
	local  bool            // synced on this store's disk
	synced map[string]bool // by disk id: synced there
	sent   map[string]bool // by disk id: on its way there
	done   chan struct{}   // closed when committed or given up
	err    error           // set before done is closed
}

func (s *Store) handlePut(ctx context.Context, call *rpc.Call) (any, []byte, error) {
	var request putRequest
	if err := call.Decode(&request); err != nil {
		return nil, nil, err
	}
	write, isNew, err := s.accept(&request.Submission, call.Body)
	if err != nil || write == nil {
		return nil, nil, err
	}
	if isNew {
		s.syncLocally(ctx, write, request.Message.Partition)
	}
	select {
	case <-write.done:
		if write.err != nil {
			return nil, nil, &rpc.Error{Code: rpc.CodeInternal, Message: write.err.Error()}
		}
		return nil, nil, nil
	case <-ctx.Done():
		return nil, nil, &rpc.Error{Code: rpc.CodeInternal, Message: "replicas have not answered in time"}
	}
}

// accept numbers a message, logs it and sends it to the backups. It returns the write to wait for, or nil where the
// message was committed before: fronts hand a message in again when an answer was lost.
func (s *Store) accept(submission *message.Submission, body []byte) (*pendingWrite, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partitions[submission.Message.Partition]
	if p == nil || !p.leading {
		return nil, false, &rpc.Error{Code: rpc.CodeNotLeader}
	}
	if found := p.entries[submission.Message.ID]; found != nil {
		return found.pending, false, nil
	}
	if len(p.view.Replicas) < s.options.Copies || s.log.Failing() || s.diskFull() || s.backupSilent(p) {
		return nil, false, &rpc.Error{Code: rpc.CodeUnavailable, Message: "too few disks for another message"}
	}
	accepted := s.number(p, submission)
	r := &record{Kind: recordAccepted, Partition: p.id, Epoch: p.epoch, Message: accepted}
	line, err := r.encode()
	if err != nil {
		return nil, false, err
	}
	position, err := s.log.AppendParts(line, body)
	if err != nil {
		return nil, false, &rpc.Error{Code: rpc.CodeUnavailable, Message: err.Error()}
	}
	write := s.addPending(p, accepted, position, line, body)
	s.sendPending(p, write)
	return write, true, nil
}

// backupSilent tells whether a backup does not answer: a message that can go elsewhere should not wait for it. The
// caller holds the lock.
func (s *Store) backupSilent(p *partition) bool {
	for _, replica := range p.backups() {
		if s.peer(replica).silent() {
			return true
		}
	}
	return false
}

// number gives a message its place in the partition's order and its absolute times.
func (s *Store) number(p *partition, submission *message.Submission) *message.Message {
	accepted := submission.Message
	p.last = max(p.last+1, p.epoch<<epochShift+1)
	accepted.Sequence = p.last
	now := time.Now()
	accepted.DueAt = now.Add(time.Duration(submission.DelayMS) * time.Millisecond)
	accepted.ExpiresAt = now.Add(time.Duration(submission.RetentionMS) * time.Millisecond)
	return &accepted
}

func (s *Store) addPending(
	p *partition, accepted *message.Message, position wal.Position, line, body []byte,
) *pendingWrite {
	added := &entry{
		message: accepted, position: position, outcome: message.Outcome{State: message.Queued},
	}
	if s.cached < s.options.CacheBytes {
		added.body = body
		s.cached += int64(len(body))
	}
	write := &pendingWrite{
		id: accepted.ID, entry: added, line: line, body: body,
		synced: make(map[string]bool), sent: make(map[string]bool), done: make(chan struct{}),
	}
	added.pending = write
	p.entries[accepted.ID] = added
	p.pending[write] = true
	return write
}

// sendPending sends a waiting write to every backup that it has not gone to. The caller holds the lock.
func (s *Store) sendPending(p *partition, write *pendingWrite) {
	for _, replica := range p.backups() {
		if write.synced[replica.DiskID] || write.sent[replica.DiskID] {
			continue
		}
		write.sent[replica.DiskID] = true
		s.sendTo(p, replica, write.line, write)
	}
}

// syncLocally waits for this store's disk.
func (s *Store) syncLocally(ctx context.Context, write *pendingWrite, id int) {
	err := s.log.Sync(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(id)
	if err != nil {
		if ctx.Err() == nil {
			s.giveUp(p, write, err)
		}
		return
	}
	write.local = true
	s.commitIfSynced(p, write)
}

// commitIfSynced commits a write that all disks of the view hold. The caller holds the lock.
func (s *Store) commitIfSynced(p *partition, write *pendingWrite) {
	if !p.pending[write] || !p.leading || !write.local || len(p.view.Replicas) < s.options.Copies {
		return
	}
	for _, replica := range p.backups() {
		if !write.synced[replica.DiskID] {
			return
		}
	}
	delete(p.pending, write)
	write.entry.pending = nil
	write.line, write.body = nil, nil
	close(write.done)
	s.engine.Submit(write.entry.message, write.entry.failures)
}

// giveUp ends a write whose record this store's disk does not hold. The caller holds the lock.
func (s *Store) giveUp(p *partition, write *pendingWrite, err error) {
	if !p.pending[write] {
		return
	}
	delete(p.pending, write)
	s.cached -= int64(len(write.entry.body))
	delete(p.entries, write.id)
	write.err = err
	close(write.done)
}
