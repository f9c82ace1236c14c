// Package controlstate holds the state that the control group replicates: the configuration, the digests of
// accepted configuration requests, the cluster table and the retire jobs.
//
// Machine implements replication.StateMachine. A record of the log is a Change. Change.Encode, DecodeChange and the
// snapshots define formats on disk, which every later version must read; testdata holds examples. The machine is
// deterministic: after the same records, every member has the same state. Readers load the current State, which is
// immutable, from an atomic pointer. A mutex serialises changes. The package starts no goroutine. Start reading at
// State, then at Machine.Apply.
package controlstate

import (
	"sync"
	"sync/atomic"

	"github.com/gravitational/trace"

	"gladepick/internal/cluster"
	"gladepick/internal/configuration"
	"gladepick/internal/controlplane/syncutil"
)

// Machine is the replicated state machine. Every member applies the same changes in the order of the log.
type Machine struct {
	current  atomic.Pointer[State]
	changed  syncutil.Notifier
	prepared atomic.Pointer[preparedDocument]
	mutex    sync.Mutex          // serialises changes, and guards digests
	digests  map[string]struct{} // digests of accepted configuration requests
}

// preparedDocument is the document that was parsed when a configuration request was checked. Apply reuses it.
type preparedDocument struct {
	digest   string
	base     uint64
	document *configuration.Document
}

// NewMachine returns a machine without a configuration and with an empty table.
func NewMachine() *Machine {
	machine := &Machine{digests: map[string]struct{}{}}
	machine.current.Store(&State{Table: &cluster.Table{}})
	return machine
}

// Current returns the state after the last applied change.
func (m *Machine) Current() *State { return m.current.Load() }

// Changed returns a channel that is closed by the next change. A caller that gets the channel before it reads the state
// misses no change.
func (m *Machine) Changed() <-chan struct{} { return m.changed.Receive() }

// Prepare stores the document that results from a change, so that Apply need not parse it again. The document is used
// only if that change is applied before the next call of Prepare.
func (m *Machine) Prepare(change *ConfigChange, document *configuration.Document) {
	m.prepared.Store(&preparedDocument{digest: change.Digest, base: change.Base, document: document})
}

// Apply applies one record of the log.
func (m *Machine) Apply(record []byte) error {
	decoded, err := DecodeChange(record)
	if err != nil {
		return trace.Wrap(err)
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	next, err := m.next(decoded)
	if err != nil {
		return trace.Wrap(err)
	}
	m.current.Store(next)
	m.changed.Notify()
	return nil
}

// next returns the state after a change. The caller holds the lock.
func (m *Machine) next(change *Change) (*State, error) {
	current := m.current.Load()
	if change.Config == nil && change.Table != nil {
		return current.WithTableChange(change.Table), nil
	}
	next := *current
	if change.Config == nil {
		return &next, nil
	}
	err := m.applyConfig(&next, change.Config)
	return &next, err
}

// Accepted reports whether a configuration request was accepted and its digest is still remembered.
func (m *Machine) Accepted(digest string) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	_, found := m.digests[digest]
	return found
}

func (m *Machine) applyConfig(next *State, change *ConfigChange) error {
	if next.ConfigVersion() != change.Base {
		return nil // another request was applied first
	}
	document, err := m.documentOf(next.Document, change)
	if err != nil {
		return trace.Wrap(err)
	}
	if change.Update {
		update := ConfigUpdate{from: change.Base, to: document.Version(), Body: change.Body}
		next.configUpdates = appendBounded(next.configUpdates, update, maxConfigUpdates)
	} else {
		next.configUpdates = nil
	}
	next.Document = document
	m.remember(next, change)
	return nil
}

// documentOf returns the configuration that results from a change of the current one.
func (m *Machine) documentOf(current *configuration.Document, change *ConfigChange) (*configuration.Document, error) {
	prepared := m.prepared.Load()
	if prepared != nil && prepared.digest == change.Digest && prepared.base == change.Base {
		return prepared.document, nil
	}
	return NextDocument(current, change.Update, change.Body)
}

// NextDocument applies the body of a configuration request to the current configuration, which may be nil, and returns
// the resulting one. The error says what is wrong with the body.
func NextDocument(current *configuration.Document, update bool, body []byte) (*configuration.Document, error) {
	if update {
		return current.Update(body)
	}
	return configuration.ParseAfter(current, body)
}

// remember adds the digest of an accepted request, and evicts the oldest digest if there are already
// MaxRememberedRequests. The caller holds the lock.
func (m *Machine) remember(next *State, change *ConfigChange) {
	if _, found := m.digests[change.Digest]; found {
		return
	}
	if len(next.digests) >= MaxRememberedRequests {
		delete(m.digests, next.digests[0])
		next.ForgottenBelow = next.bases[0] + 1
	}
	next.digests = appendBounded(next.digests, change.Digest, MaxRememberedRequests)
	next.bases = appendBounded(next.bases, change.Base, MaxRememberedRequests)
	m.digests[change.Digest] = struct{}{}
}
