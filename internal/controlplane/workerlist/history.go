package workerlist

import "gladepick/internal/cluster"

const (
	// maxHistoryChanges bounds the changes of the list of workers that are kept for processes that hold an older version.
	maxHistoryChanges = 256
	// historyFraction bounds their entries: more than this part of the list's travel as the whole list.
	historyFraction = 2
)

// history holds the latest changes of the list of workers, the oldest first. Each starts where the one before
// ends. The zero value is an empty history.
type history struct {
	changes []cluster.WorkerChange
	entries int // that all changes touch
}

// add takes in the change between two lists that follow each other.
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

// since returns the changes that lead from a version to the newest one, and false where they are not known.
func (h *history) since(version cluster.WorkerVersion) ([]cluster.WorkerChange, bool) {
	for i := len(h.changes) - 1; i >= 0; i-- {
		if h.changes[i].From == version {
			return h.changes[i:], true
		}
	}
	return nil, false
}
