package cluster

import "time"

// WorkerList is the list of workers as the control group last read it from the platform.
type WorkerList struct {
	Epoch    uint64    `json:"epoch"`    // epoch of the control group in which the list was read
	Revision uint64    `json:"revision"` // grows with every change within an epoch
	Workers  []Worker  `json:"workers"`
	ReadAt   time.Time `json:"-"` // local time at which this process received it
}

// Version returns the version of the list, or the zero value for a nil list.
func (l *WorkerList) Version() WorkerVersion {
	if l == nil {
		return WorkerVersion{}
	}
	return WorkerVersion{l.Epoch, l.Revision}
}

// NewerThan reports whether the list's version is newer than that of another list, or the other list is nil.
func (l *WorkerList) NewerThan(other *WorkerList) bool {
	return other == nil || l.Version().NewerThan(other.Version())
}

// WorkerVersion is the version of a list of workers. Revisions start again in each epoch.
type WorkerVersion struct {
	Epoch    uint64 `json:"epoch"`
	Revision uint64 `json:"revision"`
}

// NewerThan reports whether the version is newer than another one. The epochs are compared first, then the revisions.
func (v WorkerVersion) NewerThan(other WorkerVersion) bool {
	if v.Epoch != other.Epoch {
		return v.Epoch > other.Epoch
	}
	return v.Revision > other.Revision
}
