package messagestore

import (
	"context"

	"gladepick/internal/messagestore/protocol"
	"gladepick/internal/rpc"
	"gladepick/internal/wal"
)

// handleRecords answers a primary that collects messages with their accepted records, up to about batchBytes.
func (s *Store) handleRecords(_ context.Context, call *rpc.Call) (any, []byte, error) {
	var request protocol.RecordsRequest
	if err := call.Decode(&request); err != nil {
		return nil, nil, err
	}
	response := &protocol.RecordsResponse{}
	var body []byte
	for _, id := range request.IDs {
		encoded, err := s.acceptedRecord(&request, id)
		if err != nil {
			return nil, nil, err
		}
		if len(body) > 0 && len(body)+len(encoded) > batchBytes {
			break
		}
		response.Handled++
		if len(encoded) > 0 {
			header := protocol.RecordHeader{Partition: request.Partition, Epoch: request.Epoch, Length: len(encoded)}
			response.Records = append(response.Records, header)
			body = append(body, encoded...)
		}
	}
	return response, body, nil
}

// acceptedRecord returns the accepted record of a message with its body, or nothing if the message's details are no longer
// stored.
func (s *Store) acceptedRecord(request *protocol.RecordsRequest, id string) ([]byte, error) {
	line, position, err := s.encodeAccepted(request, id)
	if err != nil || line == nil {
		return nil, err
	}
	body, err := s.readBody(position)
	if err != nil {
		return nil, unavailable(err)
	}
	return append(line, body...), nil
}

// encodeAccepted returns the line of a message's accepted record and the position of its body.
func (s *Store) encodeAccepted(request *protocol.RecordsRequest, id string) ([]byte, wal.Position, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkDiskID(request.TargetDiskID); err != nil {
		return nil, wal.Position{}, err
	}
	p := s.partition(request.Partition)
	if !s.adoptEpoch(request.Partition, request.Epoch) {
		return nil, wal.Position{}, errStaleEpoch
	}
	e := p.entries[id]
	if e == nil || e.message == nil {
		return nil, wal.Position{}, nil
	}
	line, err := p.acceptedRecord(e).Encode()
	return line, e.position, err
}
