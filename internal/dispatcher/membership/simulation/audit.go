// The audit of a run's record. Its invariants hold whatever faults the run injects.

package simulation

import (
	"fmt"
	"slices"
	"time"

	"gladepick/internal/dispatcher/membership"
)

// Audit returns the violations of the membership's guarantees: two views with the same number, an earlier view after a
// later one, an ended incarnation that changed its state, or a member declared failed that was alive and connected.
func (w *World) Audit() (violations []string) {
	type viewNumber struct {
		fleet, epoch uint32
		viewNumber   uint64
	}
	type observation struct {
		observer            int
		observerIncarnation uint64
		name                string
		incarnation         uint64
	}
	digests := map[viewNumber]uint64{}
	ended := map[observation]membership.State{}
	last := map[[2]uint64]membership.ViewID{}
	for _, e := range w.Entries {
		at := fmt.Sprintf("%v %s", e.At.Round(time.Millisecond), w.Nodes[e.Node].Name)
		if v := e.View; v != nil {
			key := viewNumber{v.FleetID, v.Epoch, v.Number}
			if digest, ok := digests[key]; ok && digest != v.Digest {
				violations = append(violations, fmt.Sprintf("%s: view %d.%d has another digest than at another node", at, v.Epoch, v.Number))
			}
			digests[key] = v.Digest
			reporter := [2]uint64{uint64(e.Node), e.Incarnation}
			if previous, ok := last[reporter]; ok && !v.ViewID.After(previous) {
				violations = append(violations, fmt.Sprintf("%s: view %v is installed after %v", at, v.ViewID, previous))
			}
			last[reporter] = v.ViewID
		}
		if c := e.Change; c != nil {
			key := observation{e.Node, e.Incarnation, c.Name, c.Incarnation}
			if previous, ok := ended[key]; ok && c.State != previous {
				violations = append(violations, fmt.Sprintf("%s: %s with incarnation %d is %v after it was %v", at, c.Name, c.Incarnation, c.State, previous))
			}
			if c.State >= membership.Left {
				ended[key] = c.State
			}
			if c.State == membership.Failed && !w.isExplained(c.Name, c.Incarnation, e) {
				violations = append(violations, fmt.Sprintf("%s: %s with incarnation %d is taken for failed though it is alive", at, c.Name, c.Incarnation))
			}
		}
	}
	return violations
}

// isExplained reports whether a fault may explain the change of a member's state in an entry: one of the member or of
// the reporting node that lasted within the 15 s before it, or a restart of the member.
func (w *World) isExplained(name string, incarnation uint64, e Entry) bool {
	i := slices.IndexFunc(w.Nodes, func(n *Node) bool { return n.Name == name })
	if i < 0 {
		return false
	}
	hasFault := func(n *Node) bool {
		return slices.ContainsFunc(n.Faults, func(s Span) bool { return s.From <= e.At && (s.To == 0 || s.To+15*time.Second >= e.At) })
	}
	n := w.Nodes[i]
	return hasFault(n) || hasFault(w.Nodes[e.Node]) || incarnation < n.Incarnation && e.At >= n.StartedAt
}

// CountFalseSuspicions returns the number of suspicions that no fault explains.
func (w *World) CountFalseSuspicions() (count int) {
	for _, e := range w.Entries {
		if c := e.Change; c != nil && c.State == membership.Suspected && !w.isExplained(c.Name, c.Incarnation, e) {
			count++
		}
	}
	return count
}

// AgreedView returns the view that all running nodes have. ok reports whether they have the same view and it contains
// exactly these nodes.
func (w *World) AgreedView() (id membership.ViewID, ok bool) {
	last := map[int]*membership.View{}
	for _, e := range w.Entries {
		if e.View != nil && w.Nodes[e.Node].Incarnation == e.Incarnation {
			last[e.Node] = e.View
		}
	}
	up := 0
	for i, n := range w.Nodes {
		if !n.Up {
			continue
		}
		up++
		v := last[i]
		if v == nil || id != (membership.ViewID{}) && v.ViewID != id {
			return id, false
		}
		id = v.ViewID
	}
	for i, n := range w.Nodes {
		if n.Up && (len(last[i].Members) != up || !slices.ContainsFunc(last[i].Members, func(r membership.Record) bool { return r.Name == n.Name })) {
			return id, false
		}
	}
	return id, up > 0
}

// ChangeDelays returns, for each node that has reported it, the time from since to the first change of an incarnation
// of a member to a state, in ascending order.
func (w *World) ChangeDelays(name string, incarnation uint64, state membership.State, since time.Duration) (delays []time.Duration) {
	counted := map[int]bool{}
	for _, e := range w.Entries {
		if c := e.Change; c != nil && c.Name == name && c.Incarnation == incarnation && c.State == state && e.At >= since && !counted[e.Node] {
			counted[e.Node] = true
			delays = append(delays, e.At-since)
		}
	}
	slices.Sort(delays)
	return delays
}

// CountViews returns the number of distinct views in the entries between the times from (inclusive) and to (exclusive).
func (w *World) CountViews(from, to time.Duration) int {
	ids := map[membership.ViewID]bool{}
	for _, e := range w.Entries {
		if e.View != nil && e.At >= from && e.At < to {
			ids[e.View.ViewID] = true
		}
	}
	return len(ids)
}
