package cluster

// NewerThan tells whether a list was read after another one, which may be nil.
func (l *WorkerList) NewerThan(other *WorkerList) bool {
	if other == nil {
		return true
	}
	if l.Epoch != other.Epoch {
		return l.Epoch > other.Epoch
	}
	return l.Revision > other.Revision
}
