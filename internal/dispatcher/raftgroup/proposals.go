// Commands and queries: their way to the group's leader or a replica, and the way of the result back.

package raftgroup

import (
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// ErrUnknownOutcome is the result of a command that may or may not have been taken in.
var ErrUnknownOutcome = errors.New("replica: no quorum said in time what became of it")

// Result is the result of a command or a query.
type Result struct {
	Token uint64
	Data  []byte
	Err   error
}

// pending is a command or a query without a result.
type pending struct {
	group    int
	data     []byte
	isQuery  bool
	deadline time.Duration
	resendAt time.Duration
	attempts int
}

// Propose sends a command to its group. Its result carries the token: a reply, or ErrUnknownOutcome at the deadline.
func (node *Node) Propose(now time.Duration, group int, command []byte, until time.Duration) (uint64, *Actions) {
	return node.start(now, &pending{group: group, data: command, deadline: until})
}

// Query asks some replica of a group. The answer may be stale.
func (node *Node) Query(now time.Duration, group int, question []byte, until time.Duration) (uint64, *Actions) {
	return node.start(now, &pending{group: group, data: question, deadline: until, isQuery: true})
}

func (node *Node) start(now time.Duration, p *pending) (uint64, *Actions) {
	node.begin(now)
	id := node.rng.Uint64() | 1
	node.pending[id] = p
	node.sendPending(id, p)
	return id, node.end()
}

// Cancel gives a command up: it has no result any more.
func (node *Node) Cancel(token uint64) { delete(node.pending, token) }

// sendPending sends a command or a query, or sends it again.
func (node *Node) sendPending(id uint64, p *pending) {
	p.resendAt = node.now + 4*node.config.Tick
	p.attempts++
	g := node.groups[p.group]
	if g != nil && p.isQuery && g.raftNode.BasicStatus().Lead != 0 { // a replica without a leader may have been removed long ago
		node.complete(id, g.machine.Query(p.data))
		return
	} else if g != nil && g.leads {
		node.proposeLocally(g, id, p.data)
		return
	}
	to, ok := node.leaders[p.group]
	if !ok || p.attempts > 1 { // in turn: each replica knows the leader
		to, ok = node.otherReplica(p.group, p.attempts)
	}
	if ok {
		kind := proposeFrame
		if p.isQuery {
			kind = queryFrame
		}
		node.send(to, frame{Kind: kind, Group: p.group, ID: id, Data: p.data})
	}
}

// otherReplica returns a node that may have a replica of a group.
func (node *Node) otherReplica(n, try int) (NodeID, bool) {
	var to []NodeID
	for _, p := range node.replicasOf[n] {
		if m, ok := node.members[p.Name]; ok && m.Memory == p.Memory && p != node.config.Self {
			to = append(to, p)
		}
	}
	if len(to) == 0 || try%4 == 0 {
		to = to[:0]
		for _, name := range slices.Sorted(maps.Keys(node.members)) {
			if m := node.members[name]; m.NodeID != node.config.Self {
				to = append(to, m.NodeID)
			}
		}
	}
	if len(to) == 0 {
		return NodeID{}, false
	}
	return to[try%len(to)], true
}

// proposeLocally proposes a command to a group that this node leads.
func (node *Node) proposeLocally(g *group, id uint64, command []byte) {
	data, err := cbor.Marshal(logEntry{ID: id, Data: command})
	if err != nil {
		panic(err)
	}
	if g.raftNode.Propose(data) != nil {
		delete(g.remoteCommands, id) // the sender sends it again
	}
}

func (node *Node) complete(id uint64, reply []byte) {
	if node.pending[id] != nil {
		delete(node.pending, id)
		node.actions.Results = append(node.actions.Results, Result{Token: id, Data: reply})
	}
}

// HandleFrame takes in a frame that came from a node.
func (node *Node) HandleFrame(now time.Duration, from NodeID, data []byte) *Actions {
	node.begin(now)
	var f frame
	if err := cbor.Unmarshal(data, &f); err != nil || f.Memory != node.config.Self.Memory {
		return node.end()
	}
	if f.Assignment != node.AssignmentID() && (f.Kind != assignmentFrame || node.assignment != nil) {
		if f.Assignment != 0 && node.assignment != nil && !node.foreignNodes[from.Name] { // two assignments: the operators' files named different founders
			node.foreignNodes[from.Name] = true
			node.notice("apart: %v belongs to another founding, %x; this one to %x", from, f.Assignment, node.assignment.ID)
		}
		return node.end()
	}
	g := node.groups[f.Group]
	switch f.Kind {
	case assignmentFrame:
		var c Assignment
		if cbor.Unmarshal(f.Data, &c) == nil && c.ID == f.Assignment && c.Groups > 0 && len(c.Initial) == c.Groups {
			node.installAssignment(&c)
		}
	case removedFrame:
		if g != nil && g.seat == f.Seat {
			delete(node.groups, f.Group)
		}
	case raftFrame:
		node.stepRaft(from, f)
	case proposeFrame:
		if g != nil && g.leads {
			g.remoteCommands[f.ID] = from
			node.proposeLocally(g, f.ID, f.Data)
			break
		}
		node.redirect(from, f, g)
	case queryFrame:
		if g != nil && g.raftNode.BasicStatus().Lead != 0 {
			node.send(from, frame{Kind: queryResultFrame, ID: f.ID, Data: g.machine.Query(f.Data)})
			break
		}
		node.redirect(from, f, g)
	case resultFrame, queryResultFrame:
		node.complete(f.ID, f.Data)
	case redirectFrame:
		p := node.pending[f.ID]
		if p == nil || p.group != f.Group || len(f.Seats) == 0 {
			break
		}
		node.replicasOf[f.Group] = node.replicasOf[f.Group][:0]
		for _, s := range f.Seats {
			node.replicasOf[f.Group] = append(node.replicasOf[f.Group], s.Place)
		}
		if node.leaders[f.Group] = f.Seats[0].Place; p.attempts < 8 && f.Seats[0].Place != from && f.Seat != 0 {
			p.attempts = 0
			node.sendPending(f.ID, p)
			p.attempts = 8 // after that in turn, and not at once
		}
	}
	return node.end()
}

// redirect tells a node who has a replica of a group, the leader first.
func (node *Node) redirect(to NodeID, f frame, g *group) {
	out := frame{Kind: redirectFrame, Group: f.Group, ID: f.ID}
	if g != nil {
		lead := g.raftNode.BasicStatus().Lead
		if p, ok := g.seats[lead]; ok {
			out.Seat, out.Seats = lead, append(out.Seats, Seat{ID: lead, Place: p})
		}
		for _, id := range slices.Sorted(maps.Keys(g.seats)) {
			if id != lead {
				out.Seats = append(out.Seats, Seat{ID: id, Place: g.seats[id]})
			}
		}
	} else {
		for _, p := range node.replicasOf[f.Group] {
			out.Seats = append(out.Seats, Seat{Place: p})
		}
	}
	node.send(to, out)
}
