package messagestore

import (
	"context"
	"slices"

	"gladepick/internal/cluster"
	"gladepick/internal/message"
	"gladepick/internal/messagestore/protocol"
	"gladepick/internal/rpc"
)

// handleState answers with a message's state, as a message.Outcome.
func (s *Store) handleState(ctx context.Context, call *rpc.Call) (any, []byte, error) {
	var request protocol.QueryRequest
	if err := call.Decode(&request); err != nil {
		return nil, nil, err
	}
	s.mu.Lock()
	e, err := s.findEntry(&request)
	if err != nil {
		s.mu.Unlock()
		return nil, nil, err
	}
	outcome, ending := e.outcome, e.ending
	s.mu.Unlock()
	if outcome.State != message.Queued {
		if err := s.awaitOutcome(ctx, ending); err != nil {
			return nil, nil, unavailable(err)
		}
	}
	return outcome, nil, nil
}

// awaitOutcome waits until an outcome that a caller asks for is as durable as a message. ending is the write of the
// outcome, or nil if it is committed or if this store is a backup, which has the outcome from the primary.
func (s *Store) awaitOutcome(ctx context.Context, ending *pendingWrite) error {
	ctx, cancel := context.WithTimeout(ctx, commitOutcomeTimeout)
	defer cancel()
	if ending == nil {
		return s.log.Sync(ctx)
	}
	select {
	case <-ending.done:
		return ending.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// handleBody answers with the body of a message that has not completed.
func (s *Store) handleBody(ctx context.Context, call *rpc.Call) (any, []byte, error) {
	var request protocol.QueryRequest
	if err := call.Decode(&request); err != nil {
		return nil, nil, err
	}
	s.mu.Lock()
	e, err := s.findEntry(&request)
	if err != nil {
		s.mu.Unlock()
		return nil, nil, err
	}
	state, position, body, ending := e.outcome.State, e.position, e.body, e.ending
	s.mu.Unlock()
	if state == message.Completed {
		if err := s.awaitOutcome(ctx, ending); err != nil {
			return nil, nil, unavailable(err)
		}
		return nil, nil, errBodyDropped
	}
	if body == nil {
		if body, err = s.readBody(position); err != nil {
			return nil, nil, unavailable(err)
		}
	}
	return nil, body, nil
}

// findEntry returns a message's entry. Only a primary that has certainly not been replaced may answer that a message
// does not exist. All other replicas return an error that makes the client ask the next replica. The caller must hold
// s.mu.
func (s *Store) findEntry(request *protocol.QueryRequest) (*entry, error) {
	p := s.partitions[request.Partition]
	if p == nil || !p.isReplica {
		return nil, errNotReplica
	}
	e := p.entries[request.ID]
	if e == nil && s.isConfirmedPrimary(p) {
		return nil, errUnknownMessage
	}
	if e == nil || e.message == nil && !e.ended() || !e.ended() && p.mayLackOutcomes(s.options.DiskID) {
		return nil, errNotHeld
	}
	return e, nil
}

// mayLackOutcomes reports whether a message that this store calls queued may have ended by what other replicas know. The
// caller must hold Store.mu.
func (p *partition) mayLackOutcomes(diskID string) bool {
	if p.isPrimary {
		return p.catchUp != nil || p.collection != nil
	}
	return !slices.ContainsFunc(p.view.Replicas, func(replica cluster.Replica) bool {
		return replica.DiskID == diskID && replica.Synced
	})
}
