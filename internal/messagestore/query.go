package messagestore

import (
	"context"

	"gladepick/internal/message"
	"gladepick/internal/messagestore/protocol"
	"gladepick/internal/rpc"
)

func (s *Store) handleState(_ context.Context, call *rpc.Call) (any, []byte, error) {
	var request protocol.QueryRequest
	if err := call.Decode(&request); err != nil {
		return nil, nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	found, err := s.find(&request)
	if err != nil {
		return nil, nil, err
	}
	return found.outcome, nil, nil
}

func (s *Store) handleBody(_ context.Context, call *rpc.Call) (any, []byte, error) {
	var request protocol.QueryRequest
	if err := call.Decode(&request); err != nil {
		return nil, nil, err
	}
	s.mu.Lock()
	found, err := s.find(&request)
	if err != nil {
		s.mu.Unlock()
		return nil, nil, err
	}
	state, position, body := found.outcome.State, found.position, found.body
	s.mu.Unlock()
	if state == message.Completed {
		return nil, nil, &rpc.Error{Code: rpc.CodeNotFound, Message: "completed"}
	}
	if body == nil {
		if body, err = s.readBody(position); err != nil {
			return nil, nil, &rpc.Error{Code: rpc.CodeUnavailable, Message: err.Error()}
		}
	}
	return nil, body, nil
}

// find returns a message's entry. Only the word of a primary that nobody can have replaced counts that there is none. The
// caller holds the lock.
func (s *Store) find(request *protocol.QueryRequest) (*entry, error) {
	p := s.partitions[request.Partition]
	if p == nil || !p.isReplica {
		return nil, &rpc.Error{Code: rpc.CodeUnavailable, Message: "not a replica"}
	}
	found := p.entries[request.ID]
	if found == nil && s.isConfirmedPrimary(p) {
		return nil, &rpc.Error{Code: rpc.CodeNotFound}
	}
	if found == nil || found.message == nil && found.outcome.State == message.Queued {
		return nil, &rpc.Error{Code: rpc.CodeUnavailable, Message: "not held here"}
	}
	return found, nil
}
