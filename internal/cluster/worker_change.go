package cluster

import (
	"slices"
	"strings"
)

// WorkerChange leads from one version of the list of workers to a newer one.
type WorkerChange struct {
	From    WorkerVersion `json:"from"`
	To      WorkerVersion `json:"to"`
	Set     []Worker      `json:"set,omitempty"`     // new and changed entries, sorted by id
	Removed []string      `json:"removed,omitempty"` // ids of the removed entries, sorted
}

// Size returns the number of entries that the change sets or removes.
func (c *WorkerChange) Size() int { return len(c.Set) + len(c.Removed) }

// DiffWorkers returns the change that leads from one list to another. The entries of both must be sorted by id. The
// change omits an entry of both lists if same reports that its two versions are equal.
func DiffWorkers(from, to *WorkerList, same func(a, b Worker) bool) *WorkerChange {
	change := &WorkerChange{From: from.Version(), To: to.Version()}
	position := 0
	for _, worker := range to.Workers {
		for position < len(from.Workers) && from.Workers[position].ID < worker.ID {
			change.Removed = append(change.Removed, from.Workers[position].ID)
			position++
		}
		if position < len(from.Workers) && from.Workers[position].ID == worker.ID {
			if !same(from.Workers[position], worker) {
				change.Set = append(change.Set, worker)
			}
			position++
			continue
		}
		change.Set = append(change.Set, worker)
	}
	for _, worker := range from.Workers[min(position, len(from.Workers)):] {
		change.Removed = append(change.Removed, worker.ID)
	}
	return change
}

// Apply returns a new list with the change applied. If the change starts from another version, it returns the list
// itself and false. The list itself is not modified.
func (l *WorkerList) Apply(change *WorkerChange) (*WorkerList, bool) {
	if l == nil || l.Version() != change.From {
		return l, false
	}
	next := &WorkerList{
		Epoch: change.To.Epoch, Revision: change.To.Revision,
		Workers: make([]Worker, 0, len(l.Workers)+len(change.Set)),
	}
	set := change.Set
	for _, worker := range l.Workers {
		for len(set) > 0 && set[0].ID < worker.ID {
			next.Workers = append(next.Workers, set[0])
			set = set[1:]
		}
		if len(set) > 0 && set[0].ID == worker.ID {
			next.Workers = append(next.Workers, set[0])
			set = set[1:]
			continue
		}
		if _, removed := slices.BinarySearchFunc(change.Removed, worker.ID, strings.Compare); !removed {
			next.Workers = append(next.Workers, worker)
		}
	}
	next.Workers = append(next.Workers, set...)
	return next, true
}

// ApplyAll applies changes in order. It returns false if one of them starts from another version than the list reached
// so far.
func (l *WorkerList) ApplyAll(changes []WorkerChange) (*WorkerList, bool) {
	for i := range changes {
		next, applied := l.Apply(&changes[i])
		if !applied {
			return l, false
		}
		l = next
	}
	return l, true
}
