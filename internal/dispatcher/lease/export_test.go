package lease

import (
	"maps"
	"slices"
)

// Clone copies a table, so that the explorer can continue from one state in several ways. It copies the records, but
// not the byte slices in them, which are never changed in place.
func (t *Table) Clone() *Table {
	out := New()
	out.lastEpoch, out.expiries = t.lastEpoch, slices.Clone(t.expiries)
	for k, r := range t.records {
		c := *r
		out.records[k] = &c
	}
	for o, keys := range t.keysByOwner {
		out.keysByOwner[o] = maps.Clone(keys)
	}
	return out
}

// Clone copies a lease.
func (l *Lease) Clone() *Lease { c := *l; return &c }

// Shape returns the fields of a lease that its further steps depend on.
func (l *Lease) Shape() []any {
	return []any{l.owner, l.Epoch, l.terms, l.phase, l.clientDone, l.attempt, l.pendingAttempt, l.intendedAt, l.unprovenSends, l.mayHaveRun, l.pending != nil}
}
