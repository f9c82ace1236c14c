package soak

import "slices"

// Shrink looks for a smaller plan that still breaks a rule: it leaves out parts of the troubles and the bursts, first halves
// of them and at last single ones. breaks plays a plan and reports whether a rule was broken; it is called at most limit
// times.
func Shrink(plan *Plan, limit int, breaks func(smaller *Plan) bool) *Plan {
	s := &shrinking{best: plan, left: limit, breaks: breaks}
	s.shrink(len(plan.Troubles), func(plan *Plan, from, until int) {
		plan.Troubles = slices.Delete(slices.Clone(plan.Troubles), from, until)
	})
	s.shrink(len(plan.Bursts), func(plan *Plan, from, until int) {
		plan.Bursts = slices.Delete(slices.Clone(plan.Bursts), from, until)
	})
	return s.best
}

// shrinking is the state of Shrink.
type shrinking struct {
	best   *Plan
	left   int // plays that may follow
	breaks func(smaller *Plan) bool
}

// shrink leaves out parts of a list of the given length, as long as a rule stays broken. remove removes a part of the list
// from a copy of a plan.
func (s *shrinking) shrink(length int, remove func(plan *Plan, from, until int)) {
	for size := (length + 1) / 2; size >= 1; size /= 2 {
		for from := 0; from < length && s.left > 0; {
			until := min(from+size, length)
			smaller := *s.best
			remove(&smaller, from, until)
			s.left--
			if s.breaks(&smaller) {
				s.best = &smaller
				length -= until - from
			} else {
				from = until
			}
		}
	}
}
