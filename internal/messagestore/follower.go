package messagestore

import (
	"context"
	"time"

	"gladepick/internal/messagestore/protocol"
	"gladepick/internal/messagestore/record"
	"gladepick/internal/rpc"
)

// handleReplicate stores records from a primary. It rejects records of older epochs, appends the others to the log, and
// answers once they are synced.
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
		return nil, nil, unavailable(err)
	}
	return response, nil, nil
}

// appendReceived appends the records of a call to the log and applies them to the index, without waiting for the disk.
func (s *Store) appendReceived(request *protocol.ReplicateRequest, body []byte) (*protocol.ReplicateResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkDiskID(request.TargetDiskID); err != nil {
		return nil, err
	}
	s.recordLeaseGrants(request, time.Now())
	response := &protocol.ReplicateResponse{}
	for _, header := range request.Records {
		if header.Length < 0 || header.Length > len(body) {
			return nil, errRecordLengths
		}
		data := body[:header.Length]
		body = body[header.Length:]
		if !s.adoptEpoch(header.Partition, header.Epoch) {
			response.Rejected = append(response.Rejected, header.Partition)
			continue
		}
		if err := s.appendReceivedRecord(header, data); err != nil {
			return nil, err
		}
	}
	return response, nil
}

// checkDiskID returns an error if a call is meant for another disk at this address.
func (s *Store) checkDiskID(diskID string) error {
	if diskID == s.options.DiskID {
		return nil
	}
	return &rpc.Error{Code: rpc.CodeConflict, Message: "call is for another disk, this store has disk " + s.options.DiskID}
}

// adoptEpoch reports whether records of an epoch may be accepted from a primary, and adopts the epoch if it is newer.
// It rejects an older epoch, and the current epoch while this store is the primary. The caller must hold s.mu.
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

// appendReceivedRecord appends one record to the log and applies it to the index. The caller must hold s.mu.
func (s *Store) appendReceivedRecord(header protocol.RecordHeader, data []byte) error {
	decoded, _, err := record.Decode(data)
	if err != nil || decoded.Partition != header.Partition {
		return errUnreadableRecord
	}
	if decoded.Kind == record.Forget || decoded.Kind == record.Settled {
		return errLocalRecord
	}
	position, err := s.log.Append(data)
	if err != nil {
		return unavailable(err)
	}
	s.partition(header.Partition).apply(decoded, position)
	return nil
}
