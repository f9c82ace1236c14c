package placement

import (
	"errors"
	"fmt"

	"gladepick/internal/cluster"
	"gladepick/internal/controlplane/controlstate"
)

// ErrUnknownStore means that the table lists no store of that name.
var ErrUnknownStore = errors.New("placement: no such store")

// TooFewStoresError means that too few active stores would stay beside the one that is to be emptied.
type TooFewStoresError struct {
	Remaining int // active stores beside it
	Needed    int // of them
}

// Error implements error.
func (e *TooFewStoresError) Error() string {
	return fmt.Sprintf("placement: %d active stores would remain, %d are needed", e.Remaining, e.Needed)
}

// StartRetire adds the job to empty a store. At least so many active stores must stay as are needed. It may be
// repeated; it fails with ErrUnknownStore or a TooFewStoresError, and then changes nothing.
func (b *Builder) StartRetire(store string, needed int) error {
	entry := b.store(store)
	if entry == nil {
		return ErrUnknownStore
	}
	if controlstate.FindJob(b.jobs, store, entry.DiskID) != nil {
		return nil
	}
	if remaining := b.activeStoresBeside(store); remaining < needed {
		return &TooFewStoresError{Remaining: remaining, Needed: needed}
	}
	b.jobs = append(b.jobs, controlstate.RetireJob{Store: store, DiskID: entry.DiskID})
	return nil
}

// continueRetire goes on emptying a store that has come back with another disk before it was emptied.
func (b *Builder) continueRetire(store, diskID string) {
	job := controlstate.NewestJob(b.jobs, store)
	if job != nil && !job.Completed && job.DiskID != diskID {
		b.jobs = append(b.jobs, controlstate.RetireJob{Store: store, DiskID: diskID})
	}
}

// ResumeRetire empties a store again that has come back with another disk while its operator waits for its end: it would
// be taken away with what it was given meanwhile.
func (b *Builder) ResumeRetire(store string) {
	job, entry := controlstate.NewestJob(b.jobs, store), b.store(store)
	if job != nil && job.Outdated(entry) {
		b.jobs = append(b.jobs, controlstate.RetireJob{Store: store, DiskID: entry.DiskID})
	}
}

// CompleteRetireJobs marks the jobs whose stores hold nothing any more, once every partition has all its replicas
// elsewhere.
func (b *Builder) CompleteRetireJobs() {
	for i := range b.jobs {
		job := &b.jobs[i]
		if !job.Completed && len(b.partitions) > 0 && b.holdsNothing(job) && b.complete() {
			job.Completed = true
		}
	}
}

// holdsNothing tells whether the disk of a job is a replica of no partition.
func (b *Builder) holdsNothing(job *controlstate.RetireJob) bool {
	for _, partition := range b.partitions {
		for _, replica := range partition.Replicas {
			if replica.Store == job.Store && replica.DiskID == job.DiskID {
				return false
			}
		}
	}
	return true
}

// activeStoresBeside counts the other stores that stay, also those that are about to stop for a while.
func (b *Builder) activeStoresBeside(store string) int {
	count := 0
	for _, entry := range b.stores {
		takesPart := entry.State == cluster.StoreActive || entry.State == cluster.StoreDraining
		if entry.Name != store && takesPart {
			count++
		}
	}
	return count
}
