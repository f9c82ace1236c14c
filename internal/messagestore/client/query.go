package client

import (
	"context"
	"errors"
	"time"

	"github.com/gravitational/trace"

	"gladepick/internal/message"
	"gladepick/internal/messagestore/protocol"
	"gladepick/internal/rpc"
)

// queryTimeout limits the call of a query to one replica.
const queryTimeout = 600 * time.Millisecond

// State returns a message's state. The error wraps message.ErrNotFound if the message does not exist.
func (c *Client) State(ctx context.Context, id string) (message.Outcome, error) {
	var outcome message.Outcome
	_, err := c.query(ctx, protocol.MethodState, id, &outcome)
	return outcome, err
}

// Body returns a message's body. The error wraps message.ErrBodyNotFound if the body is not stored or no longer stored.
func (c *Client) Body(ctx context.Context, id string) ([]byte, error) {
	body, err := c.query(ctx, protocol.MethodBody, id, nil)
	if errors.Is(err, message.ErrNotFound) {
		return nil, trace.Wrap(message.ErrBodyNotFound)
	}
	return body, err
}

// query asks the replicas of the message's partition until one knows the answer or the caller's context ends.
func (c *Client) query(ctx context.Context, method, id string, result any) ([]byte, error) {
	partition, err := PartitionOf(id)
	if err != nil {
		return nil, trace.Wrap(message.ErrNotFound)
	}
	for {
		body, err := c.queryReplicas(ctx, method, partition, id, result)
		if err == nil || errors.Is(err, message.ErrNotFound) || !waitForRetry(ctx) {
			return body, err
		}
	}
}

// queryReplicas asks each of the partition's replicas once, the primary first, until one knows the answer.
func (c *Client) queryReplicas(ctx context.Context, method string, partition int, id string, result any) ([]byte, error) {
	table := c.table()
	if table == nil {
		return nil, errNoTable
	}
	if partition >= len(table.Partitions) {
		return nil, trace.Wrap(message.ErrNotFound)
	}
	lastErr := errNoReplica
	for _, replica := range table.Partitions[partition].Replicas {
		entry := table.Store(replica.Store)
		if entry == nil {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, queryTimeout)
		request := protocol.QueryRequest{Partition: partition, ID: id}
		body, err := c.pool.Get(entry.Address).Call(callCtx, method, request, nil, result)
		cancel()
		if err == nil {
			return body, nil
		}
		if rpc.CodeOf(err) == rpc.CodeNotFound {
			return nil, trace.Wrap(message.ErrNotFound)
		}
		lastErr = err
	}
	return nil, trace.Wrap(lastErr)
}
