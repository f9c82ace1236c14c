package lease

import "slices"

import "maps"

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

// Clone copies a hold.
func (h *Lease) Clone() *Lease { c := *h; return &c }

// Shape is all of a hold that its steps depend on.
func (h *Lease) Shape() []any {
	return []any{h.owner, h.Epoch, h.terms, h.phase, h.isAnswered, h.attempt, h.pendingAttempt, h.intendedAt, h.unprovenSends, h.mayHaveRun, h.pending != nil}
}
