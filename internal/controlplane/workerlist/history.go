package workerlist

import "gladepick/internal/cluster"

const (
	// maxHistoryChanges bounds the number of changes that are kept for processes that hold an older version of the list.
	maxHistoryChanges = 256
	// historyFraction bounds the entries of these changes to 1/historyFraction of the list's entries. Beyond that, the
	// whole list is sent.
	historyFraction = 2
)

// history holds the latest changes of the list of workers, the oldest first. Each change starts at the version at which
// the one before ends. The zero value is an empty history.
type history struct {
	changes []cluster.WorkerChange
	entries int // sum of the sizes of all changes
}

// add appends the change between two consecutive lists and removes the oldest changes beyond the bounds. It clears the
// history if there is no earlier list.
func (h *history) add(from, to *cluster.WorkerList) {
	if from == nil {
		*h = history{}
		return
	}
	change := cluster.DiffWorkers(from, to, sameWorker)
	h.changes = append(h.changes, *change)
	h.entries += change.Size()
	for len(h.changes) > maxHistoryChanges || len(h.changes) > 0 && h.entries > len(to.Workers)/historyFraction {
		h.entries -= h.changes[0].Size()
		h.changes = h.changes[1:]
	}
}

// since returns the changes from a version to the newest one, and false if they are not known.
func (h *history) since(version cluster.WorkerVersion) ([]cluster.WorkerChange, bool) {
	for i := len(h.changes) - 1; i >= 0; i-- {
		if h.changes[i].From == version {
			return h.changes[i:], true
		}
	}
	return nil, false
}
