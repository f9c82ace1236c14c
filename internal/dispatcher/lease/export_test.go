package lease

import "slices"

import "maps"

// Clone copies a table, so that an explorer can go on from one state in several ways. Records are copied, what they point to is
// never changed in place.
func (t *Table) Clone() *Table {
	out := New()
	out.last, out.dues = t.last, slices.Clone(t.dues)
	for k, r := range t.records {
		c := *r
		out.records[k] = &c
	}
	for o, keys := range t.owned {
		out.owned[o] = maps.Clone(keys)
	}
	return out
}

// Clone copies a hold.
func (h *Hold) Clone() *Hold { c := *h; return &c }

// Shape is all of a hold that its steps depend on.
func (h *Hold) Shape() []any {
	return []any{h.owner, h.Epoch, h.terms, h.phase, h.told, h.attempt, h.asks, h.intent, h.doubt, h.old, h.want != nil}
}
