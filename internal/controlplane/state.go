package controlplane

import (
	"slices"
	"sync"
	"sync/atomic"

	"github.com/gravitational/trace"

	"gladepick/internal/cluster"
	"gladepick/internal/configuration"
	"gladepick/internal/controlplane/syncutil"
)

const (
	ordersRemembered  = 2000 // digests of accepted orders that are kept, to acknowledge an order sent again
	updatesRemembered = 32   // updates that are kept, to send them instead of the whole configuration
	// tableChangesRemembered is how many changes of the table are kept, to send them instead of the whole table.
	tableChangesRemembered = 32
)

// content is one immutable value of the replicated state.
type content struct {
	document *configuration.Document // nil before the first configuration
	updates  []appliedUpdate         // the newest updates, oldest first, without a gap up to the document
	orders   []string                // digests of accepted orders, oldest first
	bases    []uint64                // the versions that these orders built on, in the same order
	forgot   uint64                  // orders that built on lower versions may have been accepted and forgotten
	table    *cluster.Table
	changes  []cluster.TableChange // the newest changes of the table, oldest first, without a gap up to the table
	jobs     []retireJob
	changeID string // of the last change of the table that took effect; not part of snapshots
}

// appliedUpdate is an update that led from one version of the configuration to the next.
type appliedUpdate struct {
	from, to uint64
	body     []byte
}

func (c *content) version() uint64 {
	if c.document == nil {
		return 0
	}
	return c.document.Version()
}

// findJob returns the retire job of a store's disk, or nil.
func findJob(jobs []retireJob, store, diskID string) *retireJob {
	for i := range jobs {
		if jobs[i].Store == store && jobs[i].DiskID == diskID {
			return &jobs[i]
		}
	}
	return nil
}

// stateMachine is the replicated state. Changes are applied in the order of the log, alike on every member. Readers
// take the current content, which never changes.
type stateMachine struct {
	current  atomic.Pointer[content]
	changed  syncutil.Notifier
	prepared atomic.Pointer[preparedDocument]
	mutex    sync.Mutex // serialises changes
	orders   map[string]struct{}
}

// preparedDocument is a document that was read when its order was checked, so that it is not read again when the
// order is applied.
type preparedDocument struct {
	digest   string
	base     uint64
	document *configuration.Document
}

func newStateMachine() *stateMachine {
	machine := &stateMachine{orders: map[string]struct{}{}}
	machine.current.Store(&content{table: &cluster.Table{}})
	return machine
}

// Apply applies one change of the log.
func (s *stateMachine) Apply(record []byte) error {
	decoded, err := decodeChange(record)
	if err != nil {
		return trace.Wrap(err)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	current := s.current.Load()
	next := *current
	switch {
	case decoded.Order != nil:
		err = s.applyOrder(&next, decoded.Order)
	case decoded.Table != nil:
		applyTable(&next, decoded.Table)
	}
	if err != nil {
		return trace.Wrap(err)
	}
	s.current.Store(&next)
	s.changed.Notify()
	return nil
}

// accepted tells whether an order is among those taken.
func (s *stateMachine) accepted(digest string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	_, found := s.orders[digest]
	return found
}

func (s *stateMachine) applyOrder(next *content, order *orderChange) error {
	if next.version() != order.Base {
		return nil // another order was taken first
	}
	document, err := s.documentOf(next.document, order)
	if err != nil {
		return trace.Wrap(err)
	}
	if order.Update {
		update := appliedUpdate{from: order.Base, to: document.Version(), body: order.Body}
		next.updates = appendBounded(next.updates, update, updatesRemembered)
	} else {
		next.updates = nil
	}
	next.document = document
	s.remember(next, order)
	return nil
}

func (s *stateMachine) documentOf(current *configuration.Document, order *orderChange) (*configuration.Document, error) {
	prepared := s.prepared.Load()
	if prepared != nil && prepared.digest == order.Digest && prepared.base == order.Base {
		return prepared.document, nil
	}
	return readOrder(current, order.Update, order.Body)
}

// readOrder returns the configuration that an order leads to.
func readOrder(current *configuration.Document, update bool, body []byte) (*configuration.Document, error) {
	if update {
		return current.Update(body)
	}
	return configuration.ParseAfter(current, body)
}

// remember adds the digest of an accepted order, and forgets the oldest where there are many.
func (s *stateMachine) remember(next *content, order *orderChange) {
	if _, found := s.orders[order.Digest]; found {
		return
	}
	if len(next.orders) >= ordersRemembered {
		delete(s.orders, next.orders[0])
		next.forgot = next.bases[0] + 1
	}
	next.orders = appendBounded(next.orders, order.Digest, ordersRemembered)
	next.bases = appendBounded(next.bases, order.Base, ordersRemembered)
	s.orders[order.Digest] = struct{}{}
}

// appendBounded returns a list with one more value and at most limit ones, without changing the list given.
func appendBounded[Value any](list []Value, value Value, limit int) []Value {
	if len(list) >= limit {
		list = list[len(list)-limit+1:]
	}
	return append(slices.Clip(list), value)
}

func applyTable(next *content, change *tableChange) {
	table, applied := next.table.Apply(&change.TableChange)
	if !applied {
		return // it was computed from another table
	}
	next.table = table
	next.changes = appendBounded(next.changes, change.TableChange, tableChangesRemembered)
	next.jobs = mergeJobs(next.jobs, change.Jobs)
	next.changeID = change.ID
}

func mergeJobs(jobs, changed []retireJob) []retireJob {
	if len(changed) == 0 {
		return jobs
	}
	merged := slices.Clone(jobs)
	for _, job := range changed {
		if known := findJob(merged, job.Store, job.DiskID); known != nil {
			*known = job
			continue
		}
		merged = append(merged, job)
	}
	return merged
}
