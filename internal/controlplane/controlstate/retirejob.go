package controlstate

import (
	"slices"

	"gladepick/internal/cluster"
)

// RetireJob is an operator's order to empty a store. It holds for one disk; where the store comes back with another one
// before the order is carried out, a further job holds for that one.
type RetireJob struct {
	Store     string `json:"store"`
	DiskID    string `json:"diskId"`
	Completed bool   `json:"completed,omitempty"`
}

// Outdated tells whether a store was emptied, and has come back with another disk since. Its entry may be nil.
func (j *RetireJob) Outdated(entry *cluster.StoreEntry) bool {
	return j.Completed && entry != nil && entry.DiskID != j.DiskID
}

// FindJob returns the retire job of a store's disk, or nil.
func FindJob(jobs []RetireJob, store, diskID string) *RetireJob {
	for i := range jobs {
		if jobs[i].Store == store && jobs[i].DiskID == diskID {
			return &jobs[i]
		}
	}
	return nil
}

// NewestJob returns the newest retire job for a store, or nil.
func NewestJob(jobs []RetireJob, store string) *RetireJob {
	for i := len(jobs) - 1; i >= 0; i-- {
		if jobs[i].Store == store {
			return &jobs[i]
		}
	}
	return nil
}

// mergeJobs returns the jobs with the changed ones in the place of those of the same disks.
func mergeJobs(jobs, changed []RetireJob) []RetireJob {
	if len(changed) == 0 {
		return jobs
	}
	merged := slices.Clone(jobs)
	for _, job := range changed {
		if known := FindJob(merged, job.Store, job.DiskID); known != nil {
			*known = job
			continue
		}
		merged = append(merged, job)
	}
	return merged
}
