// Package workerlist keeps the platform's list of workers at one member of the control group.
//
// The primary reads the list from the platform (Reader.Step, Read) and announces its version with each heartbeat; a
// backup that holds another one fetches what is missing. Cache holds the newest list of this member and the changes that
// led to it, so that most processes are sent changes and not the list. Lists are immutable and are replaced as a whole;
// of two, the one with the higher epoch and revision is the newer one.
//
// One mutex guards the cache. The package starts a goroutine for each fetch, at most one at a time. Start reading at
// Cache and Reader.
package workerlist

import (
	"slices"
	"sync"
	"time"

	"gladepick/internal/cluster"
	"gladepick/internal/controlplane/syncutil"
)

// Cache holds the newest list of workers that this member knows. The zero value is ready to use.
type Cache struct {
	mutex   sync.Mutex
	list    *cluster.WorkerList
	history history
	readAt  time.Time
	changed syncutil.Notifier
}

// Changed returns a channel that is closed by the next change of the list.
func (c *Cache) Changed() <-chan struct{} { return c.changed.Receive() }

// Load returns the list, which may be nil, and when it was last read from the platform.
func (c *Cache) Load() (*cluster.WorkerList, time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.list, c.readAt
}

// ChangesSince returns the changes that lead from a version to the newest list, and false where they are not known.
func (c *Cache) ChangesSince(version cluster.WorkerVersion) ([]cluster.WorkerChange, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.history.since(version)
}

// replace puts a newer list in the place of the one held. The caller holds the lock.
func (c *Cache) replace(next *cluster.WorkerList) {
	c.history.add(c.list, next)
	c.list = next
}

// RecordRead takes in what the primary has read from the platform in an epoch of the control group. The list gets a new
// revision only where something has changed that matters for a choice between workers.
func (c *Cache) RecordRead(epoch uint64, workers []cluster.Worker, now time.Time) {
	c.mutex.Lock()
	c.readAt = now
	known := c.list
	if known != nil && known.Epoch == epoch && slices.EqualFunc(known.Workers, workers, sameWorker) {
		c.mutex.Unlock()
		return
	}
	next := &cluster.WorkerList{Epoch: epoch, Revision: 1, Workers: workers, ReadAt: now}
	if known != nil && known.Epoch == epoch {
		next.Revision = known.Revision + 1
	}
	c.replace(next)
	c.mutex.Unlock()
	c.changed.Notify()
}

// sameWorker compares two entries apart from the time that is left for warming up.
func sameWorker(a, b cluster.Worker) bool {
	a.WarmupRemainingMS, b.WarmupRemainingMS = 0, 0
	return a == b
}

// Adopt takes over a list that the primary has read, where it is newer.
func (c *Cache) Adopt(list *cluster.WorkerList, readAt time.Time) {
	c.mutex.Lock()
	if !list.NewerThan(c.list) {
		c.mutex.Unlock()
		return
	}
	list.ReadAt = readAt
	c.replace(list)
	c.readAt = readAt
	c.mutex.Unlock()
	c.changed.Notify()
}

// confirmUnchanged notes that the list was read again and found unchanged. It returns false where the list here is
// older.
func (c *Cache) confirmUnchanged(announced *announcement, readAt time.Time) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	offered := cluster.WorkerVersion{Epoch: announced.Epoch, Revision: announced.Revision}
	if c.list == nil || c.list.Version() != offered {
		return c.list != nil && !offered.NewerThan(c.list.Version())
	}
	if readAt.After(c.readAt) {
		c.readAt = readAt
	}
	return true
}
