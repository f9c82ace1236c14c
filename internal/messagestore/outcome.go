package messagestore

import (
	"context"

	"go.uber.org/zap"

	"gladepick/internal/message"
	"gladepick/internal/messagestore/protocol"
	"gladepick/internal/rpc"
)

// forwardOutcome sends the outcome of a message to the partition's current primary, if this store ceased to be the
// primary during the attempt. It tries once; if that fails, the message runs again.
func (s *Store) forwardOutcome(m *message.Message, outcome message.Outcome) {
	s.mu.Lock()
	address := s.primaryAddress(m.Partition)
	s.mu.Unlock()
	if address == "" {
		return
	}
	s.background.Go(func() {
		ctx, cancel := context.WithTimeout(s.context, outcomeTimeout)
		defer cancel()
		request := protocol.OutcomeRequest{Partition: m.Partition, ID: m.ID, Outcome: outcome}
		if _, err := s.options.Pool.Get(address).Call(ctx, protocol.MethodOutcome, request, nil, nil); err != nil {
			s.logger.Info("forwarding an outcome failed", zap.String("message", m.ID), zap.Error(err))
		}
	})
}

// primaryAddress returns the address of a partition's primary, or "" if none is known or this store is the primary. The
// caller must hold s.mu.
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

// handleOutcome records the outcome of an attempt that a former primary had in flight.
func (s *Store) handleOutcome(_ context.Context, call *rpc.Call) (any, []byte, error) {
	var request protocol.OutcomeRequest
	if err := call.Decode(&request); err != nil {
		return nil, nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partitions[request.Partition]
	if p == nil || !p.isPrimary {
		return nil, nil, errNotPrimary
	}
	s.endMessage(p, request.ID, request.Outcome)
	return nil, nil, nil
}
