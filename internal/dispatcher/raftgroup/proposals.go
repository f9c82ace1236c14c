// The routing of commands to their group's leader, of queries to a replica, and of the results back.

package raftgroup

import (
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// ErrUnknownOutcome is the result of a request without a reply before its deadline. A command may or may not have been
// applied, and may still be.
var ErrUnknownOutcome = errors.New("raftgroup: no reply before the deadline: the outcome is unknown")

// Result is the result of a command or a query. Token is the one that Propose or Query returned.
type Result struct {
	Token uint64
	Data  []byte
	Err   error
}

// pending is a command or a query of this node that has no result yet.
type pending struct {
	group    int
	data     []byte
	isQuery  bool
	deadline time.Duration
	resendAt time.Duration
	attempts int
}

// Propose sends a command to its group's leader, and resends it until a reply arrives or the time until has passed. It
// returns a token; the Result with that token has the reply, or ErrUnknownOutcome. A resent command may be applied more
// than once.
func (node *Node) Propose(now time.Duration, group int, command []byte, until time.Duration) (uint64, *Actions) {
	return node.startRequest(now, &pending{group: group, data: command, deadline: until})
}

// Query sends a query to any replica of a group. The answer may be stale.
func (node *Node) Query(now time.Duration, group int, query []byte, until time.Duration) (uint64, *Actions) {
	return node.startRequest(now, &pending{group: group, data: query, deadline: until, isQuery: true})
}

// startRequest registers a request under a random token and sends it.
func (node *Node) startRequest(now time.Duration, p *pending) (uint64, *Actions) {
	node.beginEvent(now)
	id := node.rng.Uint64() | 1
	node.pending[id] = p
	node.sendPending(id, p)
	return id, node.finishEvent()
}

// Cancel drops a pending request: it gets no Result. A command may still be applied.
func (node *Node) Cancel(token uint64) { delete(node.pending, token) }

// sendPending sends a request for the first time or again, and schedules the next time. It handles the request locally
// if this node has a suitable replica.
func (node *Node) sendPending(id uint64, p *pending) {
	p.resendAt = node.now + 4*node.config.Tick
	p.attempts++
	g := node.groups[p.group]
	if g != nil && p.isQuery && g.raftNode.BasicStatus().Lead != 0 { // without a leader, it may be a removed replica
		node.complete(id, g.machine.Query(p.data))
		return
	} else if g != nil && g.leads {
		node.proposeLocally(g, id, p.data)
		return
	}
	to, ok := node.leaders[p.group]
	if !ok || p.attempts > 1 { // the leader is unknown or did not reply: try the replicas in turn, each can redirect
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

// otherReplica returns another node that may have a replica of a group: the known hosts in turn, and every fourth time
// or without a known host any member.
func (node *Node) otherReplica(group, attempt int) (NodeID, bool) {
	var candidates []NodeID
	for _, p := range node.replicasOf[group] {
		if m, ok := node.members[p.Name]; ok && m.Incarnation == p.Incarnation && p != node.config.Self {
			candidates = append(candidates, p)
		}
	}
	if len(candidates) == 0 || attempt%4 == 0 {
		candidates = candidates[:0]
		for _, name := range slices.Sorted(maps.Keys(node.members)) {
			if m := node.members[name]; m.NodeID != node.config.Self {
				candidates = append(candidates, m.NodeID)
			}
		}
	}
	if len(candidates) == 0 {
		return NodeID{}, false
	}
	return candidates[attempt%len(candidates)], true
}

// proposeLocally proposes a command to a group that this node leads.
func (node *Node) proposeLocally(g *group, id uint64, command []byte) {
	data, err := cbor.Marshal(logEntry{ID: id, Data: command})
	if err != nil {
		panic(err)
	}
	if g.raftNode.Propose(data) != nil {
		delete(g.remoteCommands, id) // the proposer resends it
	}
}

// complete delivers the reply to a pending request. Later replies are ignored.
func (node *Node) complete(id uint64, reply []byte) {
	if node.pending[id] != nil {
		delete(node.pending, id)
		node.actions.Results = append(node.actions.Results, Result{Token: id, Data: reply})
	}
}

// HandleFrame handles a frame from another node. It drops invalid frames, frames for an earlier incarnation of this
// node, and frames of another assignment.
func (node *Node) HandleFrame(now time.Duration, from NodeID, data []byte) *Actions {
	node.beginEvent(now)
	var f frame
	if err := cbor.Unmarshal(data, &f); err != nil || f.Incarnation != node.config.Self.Incarnation {
		return node.finishEvent()
	}
	if f.Assignment != node.AssignmentID() && (f.Kind != assignmentFrame || node.assignment != nil) {
		if f.Assignment != 0 && node.assignment != nil && !node.reportedForeignNodes[from.Name] {
			// Two assignments exist because the operators' files name different initial members.
			node.reportedForeignNodes[from.Name] = true
			node.notice("other assignment: %v has assignment %x, this node has %x; check the peers in the settings of both", from, f.Assignment, node.assignment.ID)
		}
		return node.finishEvent()
	}
	g := node.groups[f.Group]
	switch f.Kind {
	case assignmentFrame:
		var received Assignment
		if cbor.Unmarshal(f.Data, &received) == nil && received.ID == f.Assignment && received.Groups > 0 && len(received.InitialVoters) == received.Groups {
			node.installAssignment(&received)
		}
	case removedFrame:
		if g != nil && g.voterID == f.VoterID {
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
		request := node.pending[f.ID]
		if request == nil || request.group != f.Group || len(f.Voters) == 0 {
			break
		}
		node.replicasOf[f.Group] = node.replicasOf[f.Group][:0]
		for _, voter := range f.Voters {
			node.replicasOf[f.Group] = append(node.replicasOf[f.Group], voter.Host)
		}
		if node.leaders[f.Group] = f.Voters[0].Host; request.attempts < 8 && f.Voters[0].Host != from && f.VoterID != 0 {
			request.attempts = 0
			node.sendPending(f.ID, request)
			request.attempts = 8 // later attempts wait for resendAt and try the replicas in turn
		}
	}
	return node.finishEvent()
}

// redirect answers a request with the known replicas of its group, the leader first.
func (node *Node) redirect(to NodeID, request frame, g *group) {
	reply := frame{Kind: redirectFrame, Group: request.Group, ID: request.ID}
	if g != nil {
		leader := g.raftNode.BasicStatus().Lead
		if host, ok := g.voters[leader]; ok {
			reply.VoterID, reply.Voters = leader, append(reply.Voters, Voter{ID: leader, Host: host})
		}
		for _, id := range slices.Sorted(maps.Keys(g.voters)) {
			if id != leader {
				reply.Voters = append(reply.Voters, Voter{ID: id, Host: g.voters[id]})
			}
		}
	} else {
		for _, host := range node.replicasOf[request.Group] {
			reply.Voters = append(reply.Voters, Voter{Host: host})
		}
	}
	node.send(to, reply)
}
