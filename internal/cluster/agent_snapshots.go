package cluster

import (
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"gladepick/internal/configuration"
)

// Config returns the configuration in force, or nil before the first one is known.
func (a *Agent) Config() *configuration.Document { return a.config.Load() }

// Table returns the cluster table, or nil before it is known.
func (a *Agent) Table() *Table { return a.table.Load() }

// Workers returns the list of workers, or nil before it is known.
func (a *Agent) Workers() *WorkerList { return a.workers.Load() }

// WorkerCount returns the number of entries of the list of workers. A process that is not a store knows only this
// number.
func (a *Agent) WorkerCount() int { return int(a.workerCount.Load()) }

// WorkersReadAt returns about when the control plane last read the list of workers; the zero time where it never
// did.
func (a *Agent) WorkersReadAt() time.Time { return loadTime(&a.workersReadAt) }

// UpToDate reports whether the snapshots were confirmed as current within the duration of a lease.
func (a *Agent) UpToDate() bool { return a.LeaseValid() }

// acceptConfig adopts a newer configuration, and reports whether there was one.
func (a *Agent) acceptConfig(request *SyncRequest, response *SyncResponse, body []byte) (bool, error) {
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

// readConfig returns the configuration of a response: the local document, the updated current one, or the parsed
// body.
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
		return nil, trace.CompareFailed("updates do not start at the configuration held here")
	}
	document := current
	for _, length := range response.ConfigUpdates {
		if length < 0 || length > len(body) {
			return nil, trace.BadParameter("update is longer than the body")
		}
		next, err := document.Update(body[:length])
		if err != nil {
			return nil, err
		}
		document, body = next, body[length:]
	}
	return document, nil
}

// SetLocalDocuments sets a function that returns a configuration which this process has already parsed, or nil, so
// that it is not parsed twice.
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

// acceptTable adopts a newer cluster table, and reports whether there was one.
func (a *Agent) acceptTable(table *Table) bool {
	if table == nil {
		return false
	}
	if current := a.table.Load(); current != nil && current.Revision >= table.Revision {
		return false
	}
	a.table.Store(table)
	return true
}

// acceptTableChanges applies the changes that the present table lacks, and reports whether there were some.
func (a *Agent) acceptTableChanges(changes []TableChange) bool {
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

// acceptWorkers adopts a newer list of workers, and reports whether there was one.
func (a *Agent) acceptWorkers(workers *WorkerList) bool {
	if workers == nil || !workers.NewerThan(a.workers.Load()) {
		return false
	}
	workers.ReadAt = time.Now()
	a.workers.Store(workers)
	return true
}

// acceptWorkerChanges applies changes that start at the present list, and reports whether they did.
func (a *Agent) acceptWorkerChanges(changes []WorkerChange) bool {
	if len(changes) == 0 {
		return false
	}
	workers, applied := a.workers.Load().ApplyAll(changes)
	return applied && a.acceptWorkers(workers)
}

// loadTime returns a stored time, or the zero time.
func loadTime(pointer *atomic.Pointer[time.Time]) time.Time {
	if value := pointer.Load(); value != nil {
		return *value
	}
	return time.Time{}
}
