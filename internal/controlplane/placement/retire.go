package placement

import (
	"errors"
	"fmt"

	"gladepick/internal/cluster"
	"gladepick/internal/controlplane/controlstate"
)

// ErrUnknownStore means that the table lists no store of the given name.
var ErrUnknownStore = errors.New("placement: no such store")

// TooFewStoresError means that too few active stores would remain beside the store that is to be retired.
type TooFewStoresError struct {
	Remaining int // active stores that would remain
	Needed    int // active stores that must remain
}

// Error implements error.
func (e *TooFewStoresError) Error() string {
	return fmt.Sprintf("placement: %d active stores would remain, %d are needed", e.Remaining, e.Needed)
}

// StartRetire adds a job that moves all data off a store. At least needed active stores must remain. The call may be
// repeated. If it fails, it returns ErrUnknownStore or a *TooFewStoresError and changes nothing.
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

// continueRetire adds a job for the new disk of a store that came back with another disk before its retire job
// completed.
func (b *Builder) continueRetire(store, diskID string) {
	job := controlstate.NewestJob(b.jobs, store)
	if job != nil && !job.Completed && job.DiskID != diskID {
		b.jobs = append(b.jobs, controlstate.RetireJob{Store: store, DiskID: diskID})
	}
}

// ResumeRetire retires a store again if it has returned with another disk after its job completed, while the operator
// still waits for the result. Otherwise, the operator would remove the machine together with the data that it has
// received since then.
func (b *Builder) ResumeRetire(store string) {
	job, entry := controlstate.NewestJob(b.jobs, store), b.store(store)
	if job != nil && job.Outdated(entry) {
		b.jobs = append(b.jobs, controlstate.RetireJob{Store: store, DiskID: entry.DiskID})
	}
}

// CompleteRetireJobs marks a job as completed once the disk that it retires holds no replica and every partition has
// all its replicas elsewhere.
func (b *Builder) CompleteRetireJobs() {
	for i := range b.jobs {
		job := &b.jobs[i]
		if !job.Completed && len(b.partitions) > 0 && b.holdsNothing(job) && b.complete() {
			job.Completed = true
		}
	}
}

// holdsNothing reports whether the disk of a job holds no replica of any partition.
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

// activeStoresBeside returns the number of other stores that are active or draining. A draining store counts because it
// stops only temporarily.
func (b *Builder) activeStoresBeside(store string) int {
	count := 0
	for _, entry := range b.stores {
		remains := entry.State == cluster.StoreActive || entry.State == cluster.StoreDraining
		if entry.Name != store && remains {
			count++
		}
	}
	return count
}
