package client

import (
	"context"
	"errors"
	"time"

	"gladepick/internal/cluster"
	"gladepick/internal/rpc"
)

// unhealthyDuration is for how long a store that could not be reached gets nothing that can go elsewhere.
const unhealthyDuration = time.Second

// responseTimeout is after how long without an answer to a put a store counts as unhealthy.
func (c *Client) responseTimeout() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.putTimes.timeout()
}

// recordPut notes that a store has stored a message, and how long that took.
func (c *Client) recordPut(entry *cluster.StoreEntry, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastResponse[entry.Name] = time.Now()
	c.putTimes.record(took)
}

// recordResponse notes that a store has answered a call.
func (c *Client) recordResponse(entry *cluster.StoreEntry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastResponse[entry.Name] = time.Now()
}

// respondedSince tells whether a store has answered any call since a moment: one that has may wait for a backup.
func (c *Client) respondedSince(entry *cluster.StoreEntry, since time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastResponse[entry.Name].After(since)
}

// respondsNow asks a store whether it is there, and tells whether it has answered in time. Any answer counts, also a refusal.
func (c *Client) respondsNow(ctx context.Context, entry *cluster.StoreEntry, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	_, err := c.pool.Get(entry.Address).Call(ctx, cluster.MethodPing, struct{}{}, nil, nil)
	if errors.Is(err, rpc.ErrNotSent) || errors.Is(err, rpc.ErrResponseLost) {
		return false
	}
	c.recordResponse(entry)
	return true
}

// markUnhealthy notes that a store can't be reached, and reports it where it was not unhealthy before. refused tells that its
// process has surely ended.
func (c *Client) markUnhealthy(entry *cluster.StoreEntry, refused bool) {
	c.mu.Lock()
	last := c.unhealthyUntil[entry.Name]
	c.unhealthyUntil[entry.Name] = time.Now().Add(unhealthyDuration)
	c.mu.Unlock()
	if time.Now().After(last) {
		c.report(cluster.FailureReport{Node: entry.Name, Address: entry.Address, Refused: refused})
	}
}
