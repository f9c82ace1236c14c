package lease

import (
	"maps"
	"slices"
)

// Clone copies a table, so that an explorer can go on from one state in several ways. Records are copied, what they point to is
// never changed in place.
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

// Shape is all of a lease that its steps depend on.
func (l *Lease) Shape() []any {
	return []any{l.owner, l.Epoch, l.terms, l.phase, l.clientDone, l.attempt, l.pendingAttempt, l.intendedAt, l.unprovenSends, l.mayHaveRun, l.pending != nil}
}
