// Package client puts messages into the stores of a cluster and queries them, on behalf of an ingress process.
//
// For each message, a client picks a partition and calls the partition's primary. It retries while the caller has time
// and the message may still be stored under the same ID. Put distinguishes three results: the message is stored, it
// certainly is not (message.ErrNotStored), or its outcome is unknown.
//
// Invariants: Once a message may have reached a store, its ID and partition do not change, so that a store which
// already has the message recognizes a repeated put. ErrNotStored is returned only for messages that were sent to no
// store, or that every store rejected before logging them.
//
// The package starts no goroutines except for the timers of a put in flight. Client.mu guards what the client knows
// about the stores and is never held during a call. Start reading at Client.Put in put.go; routing.go picks partitions,
// health.go tracks which stores respond.
package client

import (
	"sync"
	"time"

	"gladepick/internal/cluster"
	"gladepick/internal/rpc"
)

// Client puts and queries messages. Its methods are safe for concurrent use.
type Client struct {
	zone   string
	pool   *rpc.Pool
	table  func() *cluster.Table
	report func(report cluster.FailureReport)

	mu             sync.Mutex
	putTimes       responseTimes        // response times of puts at all stores
	unhealthyUntil map[string]time.Time // by store: the store is avoided until then
	lastResponse   map[string]time.Time // by store: when it last answered a call
	routedTable    *cluster.Table       // the table that sameZone and otherZones were computed from
	sameZone       []int                // partitions with an active primary in this zone and no other preferred primary
	otherZones     []int                // all other partitions that have a primary and enough replicas
}

// New returns a client of the stores that the newest cluster table lists. The client prefers primaries in its own zone.
// table returns the newest table, or nil while none is known. The client calls report for a store that can't be reached
// when the store becomes unhealthy.
func New(zone string, pool *rpc.Pool, table func() *cluster.Table, report func(cluster.FailureReport)) *Client {
	return &Client{
		zone: zone, pool: pool, table: table, report: report,
		unhealthyUntil: make(map[string]time.Time), lastResponse: make(map[string]time.Time),
	}
}

// Ready reports whether a message could be stored now: at least one partition has a complete replica group.
func (c *Client) Ready() bool {
	table := c.table()
	if table == nil {
		return false
	}
	for _, view := range table.Partitions {
		if len(view.Replicas) >= table.ReplicationFactor {
			return true
		}
	}
	return false
}
