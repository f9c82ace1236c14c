// The auditor: what the record of a play must not show, whatever faults the play injected.

package simulation

import (
	"fmt"
	"slices"
	"time"

	"gladepick/internal/dispatcher/membership"
)

// Audit returns the violations of the membership's guarantees: two views with one number, an incarnation that came back, a
// member that was alive and connected taken for failed, one that left taken for failed.
func (w *World) Audit() (faults []string) {
	type number struct {
		fleet, epoch uint32
		number       uint64
	}
	type seen struct {
		node int
		of   uint64
		name string
		life uint64
	}
	digests := map[number]uint64{}
	ended := map[seen]membership.State{}
	last := map[[2]uint64]membership.ViewID{}
	for _, e := range w.Record {
		at := fmt.Sprintf("%v %s", e.At.Round(time.Millisecond), w.Nodes[e.Node].Name)
		if v := e.View; v != nil {
			k := number{v.FleetID, v.Epoch, v.Number}
			if d, ok := digests[k]; ok && d != v.Digest {
				faults = append(faults, fmt.Sprintf("%s: view %d.%d is another one than elsewhere", at, v.Epoch, v.Number))
			}
			digests[k] = v.Digest
			me := [2]uint64{uint64(e.Node), e.Incarnation}
			if was, ok := last[me]; ok && !v.ViewID.After(was) {
				faults = append(faults, fmt.Sprintf("%s: view %v after %v", at, v.ViewID, was))
			}
			last[me] = v.ViewID
		}
		if c := e.Change; c != nil {
			k := seen{e.Node, e.Incarnation, c.Name, c.Incarnation}
			if was, ok := ended[k]; ok && c.State != was {
				faults = append(faults, fmt.Sprintf("%s: %s life %d is %v after it was %v", at, c.Name, c.Incarnation, c.State, was))
			}
			if c.State >= membership.Left {
				ended[k] = c.State
			}
			if c.State == membership.Failed && !w.isExplained(c.Name, c.Incarnation, e) {
				faults = append(faults, fmt.Sprintf("%s: %s life %d is taken for failed, and it is there", at, c.Name, c.Incarnation))
			}
		}
	}
	return faults
}

// isExplained tells whether a fault within the last 15 s, of a member or of the one that says so, may explain that it is
// taken for failed.
func (w *World) isExplained(name string, life uint64, e Entry) bool {
	i := slices.IndexFunc(w.Nodes, func(n *Node) bool { return n.Name == name })
	if i < 0 {
		return false
	}
	hasFault := func(n *Node) bool {
		return slices.ContainsFunc(n.Faults, func(s Span) bool { return s.From <= e.At && (s.To == 0 || s.To+15*time.Second >= e.At) })
	}
	n := w.Nodes[i]
	return hasFault(n) || hasFault(w.Nodes[e.Node]) || life < n.Incarnation && e.At >= n.Started
}

// FalseFailures counts the changes that suspect a member without a fault that would explain it.
func (w *World) FalseFailures() (accused int) {
	for _, e := range w.Record {
		if c := e.Change; c != nil && c.State == membership.Suspected && !w.isExplained(c.Name, c.Incarnation, e) {
			accused++
		}
	}
	return accused
}

// Agreed gives the view that all nodes that are up have, if they do, and whether it holds just them.
func (w *World) Agreed() (id membership.ViewID, ok bool) {
	last := map[int]*membership.View{}
	for _, e := range w.Record {
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

// ChangesOf gives, for each node that is up, how long after since it first took a member's life for a state.
func (w *World) ChangesOf(name string, life uint64, s membership.State, since time.Duration) (out []time.Duration) {
	done := map[int]bool{}
	for _, e := range w.Record {
		if c := e.Change; c != nil && c.Name == name && c.Incarnation == life && c.State == s && e.At >= since && !done[e.Node] {
			done[e.Node] = true
			out = append(out, e.At-since)
		}
	}
	slices.Sort(out)
	return out
}

// Views counts the different views in a stretch of the record.
func (w *World) Views(from, to time.Duration) int {
	ids := map[membership.ViewID]bool{}
	for _, e := range w.Record {
		if e.View != nil && e.At >= from && e.At < to {
			ids[e.View.ViewID] = true
		}
	}
	return len(ids)
}
