// Package workerlist keeps the platform's list of workers at one member of the control group.
//
// The primary reads the list from the platform (Reader.Step, Read) and announces its version with each heartbeat. A
// backup with an older list fetches the changes from the primary. Cache holds the newest list of this member and the
// changes that led to it, so that most processes receive changes instead of the whole list. Lists are immutable and
// replaced as a whole. Of two lists, the one with the higher epoch, then the higher revision, is the newer one.
//
// One mutex guards the cache. The package starts a goroutine for each fetch, and at most one fetch runs at a time.
// Start reading at Cache and Reader.
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

// Changed returns a channel that is closed at the next change of the list.
func (c *Cache) Changed() <-chan struct{} { return c.changed.Receive() }

// Load returns the list, which may be nil, and when it was last read from the platform.
func (c *Cache) Load() (*cluster.WorkerList, time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.list, c.readAt
}

// ChangesSince returns the changes from a version to the newest list, and false if they are not known.
func (c *Cache) ChangesSince(version cluster.WorkerVersion) ([]cluster.WorkerChange, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.history.since(version)
}

// replace replaces the list by a newer one and adds the change to the history. The caller holds the lock.
func (c *Cache) replace(next *cluster.WorkerList) {
	c.history.add(c.list, next)
	c.list = next
}

// RecordRead stores the workers that the primary has read from the platform in an epoch of the control group. The list
// gets a new revision only if something other than remaining warm-up times has changed.
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

// sameWorker reports whether two entries are equal except for the remaining warm-up time.
func sameWorker(a, b cluster.Worker) bool {
	a.WarmupRemainingMS, b.WarmupRemainingMS = 0, 0
	return a == b
}

// Adopt stores a list that was fetched from the primary if it is newer than the current one. readAt is when the primary
// read it from the platform.
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

// confirmUnchanged records that the primary has read the announced list from the platform at readAt. It returns false
// if this member has no list or an older one, and therefore has to fetch it.
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
