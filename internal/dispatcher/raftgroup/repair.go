// The replacement of lost replicas, and the handover of the replicas of a leaving dispatcher.

package raftgroup

import (
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// transferIntervalTicks is the least number of Raft ticks between two attempts to transfer the leadership of a group.
// The group rejects commands during an attempt.
const transferIntervalTicks = 30

// repairGroups repairs the groups that this node leads, at most Config.MaxRepairs at a time.
func (node *Node) repairGroups() {
	if !node.hasQuorum || node.assignment == nil {
		return
	}
	busy := 0
	for _, number := range node.groupNumbers() {
		g := node.groups[number]
		if !g.leads || busy >= node.config.MaxRepairs {
			continue
		}
		if isReconfiguring := len(g.configuration.GetVotersOutgoing()) > 0; isReconfiguring || node.repairGroup(g) {
			busy++
		}
	}
}

// repairGroup proposes the next change of the voters that a group needs, if any, and reports whether it did. Lost and
// leaving replicas are replaced; a node that leaves itself transfers its leadership first.
func (node *Node) repairGroup(g *group) bool {
	staying, lost, leaving := node.replicasByState(g)
	lost = append(lost, leaving...)
	if slices.Contains(leaving, g.voterID) { // the next leader continues the repair
		node.retryTransfer(g, lost)
		return false
	}
	missing := max(node.assignment.Replicas-len(staying), 0)
	added := chooseMembers(g.number, node.membersWithout(staying), staying, missing)
	var changes []*raftpb.ConfChangeSingle
	var voters []Voter
	for _, m := range added[:min(len(added), 1)] { // one at a time, so that the existing replicas stay a majority
		voter := Voter{ID: node.rng.Uint64() | 1, Host: m.NodeID}
		voters = append(voters, voter)
		changes = append(changes, &raftpb.ConfChangeSingle{Type: raftpb.ConfChangeAddNode.Enum(), NodeId: proto.Uint64(voter.ID)})
	}
	if len(lost) > 0 && (len(voters) > 0 || len(g.voters) > node.assignment.Replicas) {
		changes = append(changes, &raftpb.ConfChangeSingle{Type: raftpb.ConfChangeRemoveNode.Enum(), NodeId: proto.Uint64(lost[0])})
	}
	return len(changes) > 0 && g.proposeVoters(changes, voters) == nil
}

// replicasByState returns the members whose replicas of a group stay, the voter IDs of lost replicas, and those of
// replicas on leaving members.
func (node *Node) replicasByState(g *group) (staying []Member, lost, leaving []uint64) {
	for _, id := range slices.Sorted(maps.Keys(g.voters)) {
		host := g.voters[id]
		switch m, ok := node.members[host.Name]; {
		case !ok || m.Incarnation != host.Incarnation:
			lost = append(lost, id)
		case m.Leaving:
			leaving = append(leaving, id)
		default:
			staying = append(staying, m)
		}
	}
	return staying, lost, leaving
}

// membersWithout returns the members that can host a replica, without the excluded ones.
func (node *Node) membersWithout(excluded []Member) []Member {
	var available []Member
	for _, m := range node.members {
		isExcluded := slices.ContainsFunc(excluded, func(other Member) bool { return other.Name == m.Name })
		if m.Assignment == node.assignment.ID && !m.Leaving && !isExcluded {
			available = append(available, m)
		}
	}
	return available
}

// proposeVoters proposes a change of the group's voters. Its context carries the new voters with their hosts to all
// replicas.
func (g *group) proposeVoters(changes []*raftpb.ConfChangeSingle, added []Voter) error {
	context, err := cbor.Marshal(added)
	if err != nil {
		return err
	}
	return g.raftNode.ProposeConfChange(&raftpb.ConfChangeV2{
		Transition: raftpb.ConfChangeTransitionJointImplicit.Enum(),
		Changes:    changes,
		Context:    context,
	})
}

// retryTransfer tries to transfer the leadership of a group unless the last attempt was less than transferIntervalTicks
// ago.
func (node *Node) retryTransfer(g *group, lost []uint64) {
	if node.now < g.transferredAt+transferIntervalTicks*node.config.Tick {
		return
	}
	g.transferredAt = node.now
	node.transferLeadership(g, lost)
}

// transferLeadership transfers the leadership to the staying replica with the longest log. It ignores whether that
// replica was active recently, because Raft resets that information at the tick in which this is called.
func (node *Node) transferLeadership(g *group, lost []uint64) {
	best, match := uint64(0), uint64(0)
	for id, progress := range g.raftNode.Status().Progress {
		if id != g.voterID && !slices.Contains(lost, id) && (best == 0 || progress.Match > match || progress.Match == match && id < best) {
			best, match = id, progress.Match
		}
	}
	if best != 0 {
		g.raftNode.TransferLeader(best)
	}
}

// IsEvacuated reports whether this leaving node may stop: it has handed over all its replicas, or, for each one that it
// still has, no other node can take it and no other replica of its group is lost. Without an assignment or a quorum it
// reports true, because nothing can be handed over.
func (node *Node) IsEvacuated() bool {
	if node.assignment == nil || !node.hasQuorum {
		return true
	}
	for _, g := range node.groups {
		hasCandidate, hasLost := false, false
		for _, member := range node.members {
			hasCandidate = hasCandidate || !member.Leaving && member.Assignment == node.assignment.ID && !slices.ContainsFunc(slices.Collect(maps.Values(g.voters)), func(host NodeID) bool { return host.Name == member.Name })
		}
		for id, host := range g.voters {
			member, ok := node.members[host.Name]
			hasLost = hasLost || id != g.voterID && (!ok || member.Incarnation != host.Incarnation)
		}
		if hasCandidate || hasLost {
			return false
		}
	}
	return true
}
