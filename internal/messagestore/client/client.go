// Package client stores messages at the stores of a cluster and asks for them, on behalf of an ingress process.
//
// A client picks a partition for each message, calls the partition's primary, and calls again while the caller has time and
// the message may still be stored under the same ID. Put tells apart what the caller has to know: a message that is stored, one
// that surely is not (message.ErrNotStored), and one whose fate is unknown.
//
// Invariants: once a message may have reached a store, its ID and partition stay, so that a store that has it already takes
// a repeated put for the same message; ErrNotStored is returned only for messages that no store was sent, or that every store rejected before logging them.
//
// The package starts no goroutines but the timers of a put that is out. Client.mu guards what is learnt of the stores and is
// never held during a call. Start reading at Client.Put in put.go; routing.go picks partitions, health.go remembers which
// stores answer.
package client

import (
	"sync"
	"time"

	"gladepick/internal/cluster"
	"gladepick/internal/rpc"
)

// Client stores messages and asks for them. Its methods are safe for concurrent use.
type Client struct {
	zone   string
	pool   *rpc.Pool
	table  func() *cluster.Table
	report func(report cluster.FailureReport)

	mu             sync.Mutex
	putTimes       responseTimes        // of puts, by all stores
	unhealthyUntil map[string]time.Time // by store: not preferred until then
	lastResponse   map[string]time.Time // by store: when it last answered a call
	routedTable    *cluster.Table       // the table that sameZone and otherZones were made from
	sameZone       []int                // partitions whose primary is active in this zone and shall stay the primary
	otherZones     []int                // all other partitions that have a primary
}

// New returns a client of the stores that a table lists. It prefers primaries in its own zone. The table may be nil as long as
// none is known. A store that can't be reached is reported when it becomes unhealthy.
func New(zone string, pool *rpc.Pool, table func() *cluster.Table, report func(cluster.FailureReport)) *Client {
	return &Client{
		zone: zone, pool: pool, table: table, report: report,
		unhealthyUntil: make(map[string]time.Time), lastResponse: make(map[string]time.Time),
	}
}

// Ready tells whether a message could be stored now: a partition has a complete replica group.
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
