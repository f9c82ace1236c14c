package cluster

import "time"

// WorkerList is the list of workers as it was last read from the platform. Revision grows with every change.
type WorkerList struct {
	Epoch    uint64    `json:"epoch"`    // epoch of the control group in which it was read
	Revision uint64    `json:"revision"` // grows within an epoch
	Workers  []Worker  `json:"workers"`
	ReadAt   time.Time `json:"-"` // local time at which this process received it
}

// Version returns the list's version; the zero value for a nil list.
func (l *WorkerList) Version() WorkerVersion {
	if l == nil {
		return WorkerVersion{}
	}
	return WorkerVersion{l.Epoch, l.Revision}
}

// NewerThan reports whether the list was read after another one, which may be nil.
func (l *WorkerList) NewerThan(other *WorkerList) bool {
	return other == nil || l.Version().NewerThan(other.Version())
}

// WorkerVersion is a version of the list of workers. The revisions of a new epoch begin anew.
type WorkerVersion struct {
	Epoch    uint64 `json:"epoch"`
	Revision uint64 `json:"revision"`
}

// NewerThan reports whether the version came after another one.
func (v WorkerVersion) NewerThan(other WorkerVersion) bool {
	if v.Epoch != other.Epoch {
		return v.Epoch > other.Epoch
	}
	return v.Revision > other.Revision
}
