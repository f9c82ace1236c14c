// The auditor: what the record of a play must not hold, whatever happened in it. It
// reads the record and the troubles that the play itself brought, and judges nothing by
// the clock of the machine it runs on.

package simulation

import (
	"fmt"
	"slices"
	"time"

	"gladepick/internal/dispatcher/membership"
)

// Audit names what breaks a promise: two views of one number, a life that came back, a living and connected member taken
// for failed, one that left taken for failed.
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
			me := [2]uint64{uint64(e.Node), e.Life}
			if was, ok := last[me]; ok && !v.ViewID.After(was) {
				faults = append(faults, fmt.Sprintf("%s: view %v after %v", at, v.ViewID, was))
			}
			last[me] = v.ViewID
		}
		if c := e.Change; c != nil {
			k := seen{e.Node, e.Life, c.Name, c.Incarnation}
			if was, ok := ended[k]; ok && c.State != was {
				faults = append(faults, fmt.Sprintf("%s: %s life %d is %v after it was %v", at, c.Name, c.Incarnation, c.State, was))
			}
			if c.State >= membership.Left {
				ended[k] = c.State
			}
			if c.State == membership.Failed && !w.excused(c.Name, c.Incarnation, e) {
				faults = append(faults, fmt.Sprintf("%s: %s life %d is taken for failed, and it is there", at, c.Name, c.Incarnation))
			}
		}
	}
	return faults
}

// excused tells whether something had happened to a member, or to who says so, that may make it fail: within 15 s before.
func (w *World) excused(name string, life uint64, e Entry) bool {
	i := slices.IndexFunc(w.Nodes, func(n *Node) bool { return n.Name == name })
	if i < 0 {
		return false
	}
	hurt := func(n *Node) bool {
		return slices.ContainsFunc(n.Trouble, func(s Span) bool { return s.From <= e.At && (s.To == 0 || s.To+15*time.Second >= e.At) })
	}
	n := w.Nodes[i]
	return hurt(n) || hurt(w.Nodes[e.Node]) || life < n.Life && e.At >= n.Started
}

// Wrong counts, among the changes, who was accused though it was there.
func (w *World) Wrong() (accused int) {
	for _, e := range w.Record {
		if c := e.Change; c != nil && c.State == membership.Suspected && !w.excused(c.Name, c.Incarnation, e) {
			accused++
		}
	}
	return accused
}

// Agreed gives the view that all nodes that are up have, if they do, and whether it holds just them.
func (w *World) Agreed() (id membership.ViewID, ok bool) {
	last := map[int]*membership.View{}
	for _, e := range w.Record {
		if e.View != nil && w.Nodes[e.Node].Life == e.Life {
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

// When gives, for each node that is up, how long after since it first took a member's life for a state.
func (w *World) When(name string, life uint64, s membership.State, since time.Duration) (out []time.Duration) {
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
