package client

import (
	"context"
	"errors"
	"time"

	"gladepick/internal/cluster"
	"gladepick/internal/rpc"
)

// unhealthyDuration is how long a store that could not be reached gets no messages that can go to other stores.
const unhealthyDuration = time.Second

// responseTimeout returns the time without an answer to a put after which a store counts as unhealthy.
func (c *Client) responseTimeout() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.putTimes.timeout()
}

// recordPut records that a store has stored a message, and how long the call took.
func (c *Client) recordPut(entry *cluster.StoreEntry, elapsed time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastResponse[entry.Name] = time.Now()
	c.putTimes.record(elapsed)
}

// recordResponse records that a store has answered a call.
func (c *Client) recordResponse(entry *cluster.StoreEntry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastResponse[entry.Name] = time.Now()
}

// respondedSince reports whether a store has answered any call since the given time. A store that has, but does not
// answer a put, may be waiting for a backup.
func (c *Client) respondedSince(entry *cluster.StoreEntry, since time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastResponse[entry.Name].After(since)
}

// respondsNow pings a store and reports whether it answered within timeout. Any answer counts, including an error.
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

// markUnhealthy records that a store can't be reached, and reports it unless it was unhealthy already. refused means
// that the store's process has certainly ended.
func (c *Client) markUnhealthy(entry *cluster.StoreEntry, refused bool) {
	c.mu.Lock()
	until := c.unhealthyUntil[entry.Name]
	c.unhealthyUntil[entry.Name] = time.Now().Add(unhealthyDuration)
	c.mu.Unlock()
	if time.Now().After(until) {
		c.report(cluster.FailureReport{Node: entry.Name, Address: entry.Address, Refused: refused})
	}
}
