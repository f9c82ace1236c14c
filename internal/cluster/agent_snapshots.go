package cluster

import (
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"gladepick/internal/configuration"
)

// Config returns the current configuration, or nil before the first one is known.
func (a *Agent) Config() *configuration.Document { return a.config.Load() }

// Table returns the cluster table, or nil before it is known.
func (a *Agent) Table() *Table { return a.table.Load() }

// Workers returns the list of workers, or nil before it is known.
func (a *Agent) Workers() *WorkerList { return a.workers.Load() }

// WorkerCount returns the number of entries in the list of workers. A process that is not a store receives only this
// number, not the list.
func (a *Agent) WorkerCount() int { return int(a.workerCount.Load()) }

// WorkersReadAt returns approximately when the control plane last read the list of workers, or the zero time if it
// never did.
func (a *Agent) WorkersReadAt() time.Time { return loadTime(&a.workersReadAt) }

// UpToDate reports whether a member confirmed the snapshots as current within the last LeaseDuration.
func (a *Agent) UpToDate() bool { return a.LeaseValid() }

// applyConfig stores the configuration of a response if it is newer, and reports whether it was.
func (a *Agent) applyConfig(request *SyncRequest, response *SyncResponse, body []byte) (bool, error) {
	current := a.config.Load()
	if response.ConfigVersion == 0 || current != nil && current.Version() >= response.ConfigVersion {
		return false, nil
	}
	document, err := a.readConfig(current, request, response, body)
	if err != nil {
		return false, trace.Wrap(err, "reading configuration %d", response.ConfigVersion)
	}
	a.config.Store(document)
	return true, nil
}

// readConfig returns the configuration of a response: the local document of that version, the current document with the
// updates in the body applied, or the parsed body.
func (a *Agent) readConfig(
	current *configuration.Document, request *SyncRequest, response *SyncResponse, body []byte,
) (*configuration.Document, error) {
	if document := a.localDocument(response.ConfigVersion); document != nil {
		return document, nil
	}
	if len(response.ConfigUpdates) == 0 {
		return configuration.ParseAfter(current, body)
	}
	if current == nil || current.Version() != request.ConfigVersion {
		return nil, trace.CompareFailed("updates do not apply to the current configuration version")
	}
	document := current
	for _, length := range response.ConfigUpdates {
		if length < 0 || length > len(body) {
			return nil, trace.BadParameter("update has a negative length or exceeds the body")
		}
		next, err := document.Update(body[:length])
		if err != nil {
			return nil, err
		}
		document, body = next, body[length:]
	}
	return document, nil
}

// SetLocalDocuments sets a function that returns the configuration of a version if this process has already parsed it,
// and nil otherwise. The agent then does not parse it again.
func (a *Agent) SetLocalDocuments(documents func(version uint64) *configuration.Document) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.localDocuments = documents
}

func (a *Agent) localDocument(version uint64) *configuration.Document {
	a.mutex.Lock()
	documents := a.localDocuments
	a.mutex.Unlock()
	if documents == nil {
		return nil
	}
	return documents(version)
}

// applyTable stores a cluster table if it is newer, and reports whether it was. The table may be nil.
func (a *Agent) applyTable(table *Table) bool {
	if table == nil {
		return false
	}
	if current := a.table.Load(); current != nil && current.Revision >= table.Revision {
		return false
	}
	a.table.Store(table)
	return true
}

// applyTableChanges applies those changes whose base is the current table, in order, and reports whether there were
// any.
func (a *Agent) applyTableChanges(changes []TableChange) bool {
	before := a.table.Load()
	if before == nil {
		return false
	}
	table := before
	for i := range changes {
		table, _ = table.Apply(&changes[i])
	}
	a.table.Store(table)
	return table != before
}

// applyWorkers stores a list of workers if it is newer, and reports whether it was. The list may be nil.
func (a *Agent) applyWorkers(workers *WorkerList) bool {
	if workers == nil || !workers.NewerThan(a.workers.Load()) {
		return false
	}
	workers.ReadAt = time.Now()
	a.workers.Store(workers)
	return true
}

// applyWorkerChanges applies changes to the current list, and reports whether the list has changed. It applies none of
// them if any change starts from another version.
func (a *Agent) applyWorkerChanges(changes []WorkerChange) bool {
	if len(changes) == 0 {
		return false
	}
	workers, applied := a.workers.Load().ApplyAll(changes)
	return applied && a.applyWorkers(workers)
}

// loadTime returns a stored time, or the zero time.
func loadTime(pointer *atomic.Pointer[time.Time]) time.Time {
	if value := pointer.Load(); value != nil {
		return *value
	}
	return time.Time{}
}
