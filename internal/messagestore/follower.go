package messagestore

import (
	"context"
	"time"

	"gladepick/internal/messagestore/protocol"
	"gladepick/internal/rpc"
)

// handleReplicate takes records from a primary: it refuses those of older epochs, logs and syncs the others, and
// only then answers.
func (s *Store) handleReplicate(ctx context.Context, call *rpc.Call) (any, []byte, error) {
	var request protocol.ReplicateRequest
	if err := call.Decode(&request); err != nil {
		return nil, nil, err
	}
	response, err := s.appendReceived(&request, call.Body)
	if err != nil {
		return nil, nil, err
	}
	if err := s.log.Sync(ctx); err != nil {
		return nil, nil, &rpc.Error{Code: rpc.CodeUnavailable, Message: err.Error()}
	}
	return response, nil, nil
}

// takeRecords logs and applies the records of a call, without waiting for the disk.
func (s *Store) appendReceived(request *protocol.ReplicateRequest, body []byte) (*protocol.ReplicateResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkDiskID(request.TargetDiskID); err != nil {
		return nil, err
	}
	s.recordLeaseGrants(request, time.Now())
	response := &protocol.ReplicateResponse{}
	for _, item := range request.Records {
		if item.Length < 0 || item.Length > len(body) {
			return nil, &rpc.Error{Code: rpc.CodeInvalid, Message: "records do not fit the body"}
		}
		data := body[:item.Length]
		body = body[item.Length:]
		if !s.adoptEpoch(item.Partition, item.Epoch) {
			response.Rejected = append(response.Rejected, item.Partition)
			continue
		}
		if err := s.appendReceivedRecord(item, data); err != nil {
			return nil, err
		}
	}
	return response, nil
}

// checkTarget refuses a call that is meant for another disk at this address.
func (s *Store) checkDiskID(diskID string) error {
	if diskID == s.options.DiskID {
		return nil
	}
	return &rpc.Error{Code: rpc.CodeConflict, Message: "another disk is here: " + s.options.DiskID}
}

// mayFollow tells whether records of an epoch may be taken from a primary, and adopts a newer one.
func (s *Store) adoptEpoch(id int, epoch uint64) bool {
	p := s.partition(id)
	if epoch < p.epoch || p.isPrimary && epoch == p.epoch {
		return false
	}
	if p.isPrimary {
		s.stepDown(p)
	}
	p.epoch = epoch
	return true
}

func (s *Store) appendReceivedRecord(item protocol.RecordHeader, data []byte) error {
	decoded, _, err := decodeRecord(data)
	if err != nil || decoded.Partition != item.Partition {
		return &rpc.Error{Code: rpc.CodeInvalid, Message: "unreadable record"}
	}
	if decoded.Kind == recordForget {
		return &rpc.Error{Code: rpc.CodeInvalid, Message: "a record that replicas do not send"}
	}
	position, err := s.log.Append(data)
	if err != nil {
		return &rpc.Error{Code: rpc.CodeUnavailable, Message: err.Error()}
	}
	s.partition(item.Partition).apply(decoded, position)
	return nil
}
