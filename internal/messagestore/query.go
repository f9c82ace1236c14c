package messagestore

import (
	"context"

	"gladepick/internal/message"
	"gladepick/internal/messagestore/protocol"
	"gladepick/internal/rpc"
)

// handleState answers with a message's state, as a message.Outcome.
func (s *Store) handleState(_ context.Context, call *rpc.Call) (any, []byte, error) {
	var request protocol.QueryRequest
	if err := call.Decode(&request); err != nil {
		return nil, nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	e, err := s.findEntry(&request)
	if err != nil {
		return nil, nil, err
	}
	return e.outcome, nil, nil
}

// handleBody answers with the body of a message that has not completed.
func (s *Store) handleBody(_ context.Context, call *rpc.Call) (any, []byte, error) {
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
	state, position, body := e.outcome.State, e.position, e.body
	s.mu.Unlock()
	if state == message.Completed {
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
	if e == nil || e.message == nil && e.outcome.State == message.Queued {
		return nil, errNotHeld
	}
	return e, nil
}
