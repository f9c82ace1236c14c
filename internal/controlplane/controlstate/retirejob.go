package controlstate

import (
	"slices"

	"gladepick/internal/cluster"
)

// RetireJob is an operator's request to empty a store. It applies to one disk: if the store returns with another disk
// before it is emptied, a second job applies to that disk.
type RetireJob struct {
	Store     string `json:"store"`
	DiskID    string `json:"diskId"`
	Completed bool   `json:"completed,omitempty"`
}

// Outdated reports whether a store was emptied and has returned with another disk since. The store's entry may be nil.
func (j *RetireJob) Outdated(entry *cluster.StoreEntry) bool {
	return j.Completed && entry != nil && entry.DiskID != j.DiskID
}

// FindJob returns the retire job for a store's disk, or nil.
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

// mergeJobs returns the jobs after a change: each changed job replaces the job for the same store and disk, or is
// appended if there is none. The given lists stay unchanged.
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
