package client

import (
	"hash/fnv"
	"math/rand/v2"
	"time"

	"gladepick/internal/cluster"
)

// pickPlacement picks a partition for a message: that of the order key if the message is ordered, otherwise a random
// one with a healthy primary, preferably in this zone. It returns nil if there is none.
func (c *Client) pickPlacement(orderKey string, ordered bool) *placement {
	table := c.table()
	if table == nil || len(table.Partitions) == 0 {
		return nil
	}
	if ordered {
		return newPlacement(partitionOfOrderKey(orderKey, len(table.Partitions)))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.classifyPartitions(table)
	for _, candidates := range [][]int{c.sameZone, c.otherZones} {
		if id, found := c.pickHealthy(table, candidates); found {
			return newPlacement(id)
		}
	}
	return nil
}

// partitionOfOrderKey returns the partition of all ordered messages with the given key. All processes must agree on it,
// so the function never changes: 64-bit FNV-1a, modulo the number of partitions.
func partitionOfOrderKey(orderKey string, partitions int) int {
	hash := fnv.New64a()
	hash.Write([]byte(orderKey))
	return int(hash.Sum64() % uint64(partitions))
}

// newPlacement returns a placement in a partition with a new ID.
func newPlacement(partition int) *placement {
	return &placement{partition: partition, id: newMessageID(partition)}
}

// classifyPartitions sets sameZone and otherZones by a table, unless it has done so before. It leaves out partitions
// whose replica group is incomplete or recovers its messages, as these accept none. The caller must hold c.mu.
func (c *Client) classifyPartitions(table *cluster.Table) {
	if c.routedTable == table {
		return
	}
	c.routedTable, c.sameZone, c.otherZones = table, nil, nil
	for _, view := range table.Partitions {
		primary, found := view.Primary()
		entry := table.Store(primary.Store)
		if !found || !primary.Synced || entry == nil || len(view.Replicas) < table.ReplicationFactor {
			continue
		}
		if entry.Zone == c.zone && entry.State == cluster.StoreActive && view.PreferredPrimary == "" {
			c.sameZone = append(c.sameZone, view.ID)
		} else {
			c.otherZones = append(c.otherZones, view.ID)
		}
	}
}

// pickHealthy picks a random candidate whose primary is neither unhealthy to this client nor marked as unresponsive in
// the table. The caller must hold c.mu.
func (c *Client) pickHealthy(table *cluster.Table, candidates []int) (int, bool) {
	if len(candidates) == 0 {
		return 0, false
	}
	first := rand.IntN(len(candidates))
	now := time.Now()
	for i := range candidates {
		id := candidates[(first+i)%len(candidates)]
		primary, _ := table.Partitions[id].Primary()
		entry := table.Store(primary.Store)
		if now.After(c.unhealthyUntil[primary.Store]) && entry != nil && !entry.Unresponsive {
			return id, true
		}
	}
	return 0, false
}

// primary returns the store that is a partition's primary by the newest table, or nil if there is none.
func (c *Client) primary(id int) *cluster.StoreEntry {
	table := c.table()
	if table == nil || id < 0 || id >= len(table.Partitions) {
		return nil
	}
	replica, found := table.Partitions[id].Primary()
	if !found {
		return nil
	}
	return table.Store(replica.Store)
}
