package controlstate

import (
	"slices"

	"gladepick/internal/cluster"
	"gladepick/internal/configuration"
)

const (
	// MaxRememberedRequests is the number of accepted configuration requests whose digests are kept. A request that is
	// sent again is acknowledged while its digest is kept.
	MaxRememberedRequests = 2000

	maxConfigUpdates = 32 // number of updates that are kept, to send them instead of the whole configuration
	maxTableChanges  = 32 // number of table changes that are kept, to send them instead of the whole table
)

// State is one immutable version of the replicated state.
type State struct {
	Document *configuration.Document // nil before the first configuration
	Table    *cluster.Table
	Jobs     []RetireJob
	// LastChangeID is the id of the last table change that took effect. It is not part of snapshots.
	LastChangeID string
	// ForgottenBelow is a version of the configuration. Requests that are based on lower versions may have been
	// accepted and forgotten.
	ForgottenBelow uint64

	digests       []string              // digests of accepted configuration requests, oldest first
	bases         []uint64              // versions that these requests are based on, in the same order
	configUpdates []ConfigUpdate        // the newest updates, oldest first, without gaps up to Document
	tableChanges  []cluster.TableChange // the newest table changes, oldest first, without gaps up to Table
}

// ConfigUpdate is an update that led from one version of the configuration to the next.
type ConfigUpdate struct {
	Body []byte // as the operator sent it

	from, to uint64
}

// ConfigVersion returns the version of the configuration, or 0 if there is none.
func (s *State) ConfigVersion() uint64 {
	if s.Document == nil {
		return 0
	}
	return s.Document.Version()
}

// ConfigUpdatesSince returns the updates that lead from a version to the current one. It returns false if they are not
// known, or are at least as long as the configuration.
func (s *State) ConfigUpdatesSince(version uint64) ([]ConfigUpdate, bool) {
	size := 0
	for i := len(s.configUpdates) - 1; i >= 0; i-- {
		size += len(s.configUpdates[i].Body)
		if size >= len(s.Document.JSON()) {
			return nil, false
		}
		if s.configUpdates[i].from == version {
			return s.configUpdates[i:], true
		}
	}
	return nil, false
}

// TableChangesSince returns the changes that lead from an older revision of the table to the current one. It returns
// false if they are not known.
func (s *State) TableChangesSince(revision uint64) ([]cluster.TableChange, bool) {
	missing := s.Table.Revision - revision
	if revision == 0 || missing > uint64(len(s.tableChanges)) {
		return nil, false
	}
	return s.tableChanges[uint64(len(s.tableChanges))-missing:], true
}

// WithTableChange returns the state after a change of the table, or an unchanged copy if the change builds on another
// revision of the table.
func (s *State) WithTableChange(change *TableChange) *State {
	next := *s
	table, applied := next.Table.Apply(&change.TableChange)
	if !applied {
		return &next
	}
	next.Table = table
	next.tableChanges = appendBounded(next.tableChanges, change.TableChange, maxTableChanges)
	next.Jobs = mergeJobs(next.Jobs, change.Jobs)
	next.LastChangeID = change.ID
	return &next
}

// appendBounded returns a copy of the list with the value appended and the oldest values dropped, so that at most limit
// remain.
func appendBounded[Value any](list []Value, value Value, limit int) []Value {
	if len(list) >= limit {
		list = list[len(list)-limit+1:]
	}
	return append(slices.Clip(list), value)
}
