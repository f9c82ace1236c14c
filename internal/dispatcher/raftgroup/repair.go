// How lost replicas are replaced, and how a leaving dispatcher gives its replicas away.

package raftgroup

import (
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// transferIntervalTicks is how many ticks of Raft lie between two attempts to transfer a group's leadership. Commands are
// rejected during each.
const transferIntervalTicks = 30

// repairGroups replaces lost replicas in the groups that this node leads, a few at a time.
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

// repairGroup proposes one change of the seats of a group where it needs one, and tells whether it did.
func (node *Node) repairGroup(g *group) bool {
	staying, lost, leaving := node.replicasByState(g)
	lost = append(lost, leaving...)
	if slices.Contains(leaving, g.seat) { // the next leader goes on with the repair
		node.retryTransfer(g, lost)
		return false
	}
	missing := max(node.assignment.Replicas-len(staying), 0)
	added := chooseMembers(g.number, node.membersWithout(staying), staying, missing)
	var changes []*raftpb.ConfChangeSingle
	var seats []Seat
	for _, m := range added[:min(len(added), 1)] { // one at a time: the existing replicas stay a majority
		seat := Seat{ID: node.rng.Uint64() | 1, Place: m.NodeID}
		seats = append(seats, seat)
		changes = append(changes, &raftpb.ConfChangeSingle{Type: raftpb.ConfChangeAddNode.Enum(), NodeId: proto.Uint64(seat.ID)})
	}
	if len(lost) > 0 && (len(seats) > 0 || len(g.seats) > node.assignment.Replicas) {
		changes = append(changes, &raftpb.ConfChangeSingle{Type: raftpb.ConfChangeRemoveNode.Enum(), NodeId: proto.Uint64(lost[0])})
	}
	return len(changes) > 0 && g.proposeSeats(changes, seats) == nil
}

// replicasByState returns the members whose replicas of a group stay, and the seats that are lost and that are leaving.
func (node *Node) replicasByState(g *group) (staying []Member, lost, leaving []uint64) {
	for _, id := range slices.Sorted(maps.Keys(g.seats)) {
		place := g.seats[id]
		switch m, ok := node.members[place.Name]; {
		case !ok || m.Memory != place.Memory:
			lost = append(lost, id)
		case m.Leaving:
			leaving = append(leaving, id)
		default:
			staying = append(staying, m)
		}
	}
	return staying, lost, leaving
}

// membersWithout returns the members that can take a replica and are not among those given.
func (node *Node) membersWithout(excluded []Member) []Member {
	var free []Member
	for _, m := range node.members {
		isExcluded := slices.ContainsFunc(excluded, func(other Member) bool { return other.Name == m.Name })
		if m.Assignment == node.assignment.ID && !m.Leaving && !isExcluded {
			free = append(free, m)
		}
	}
	return free
}

// proposeSeats proposes a change of the group's seats. The context tells all replicas where the new seats are.
func (g *group) proposeSeats(changes []*raftpb.ConfChangeSingle, seats []Seat) error {
	context, err := cbor.Marshal(seats)
	if err != nil {
		return err
	}
	return g.raftNode.ProposeConfChange(&raftpb.ConfChangeV2{
		Transition: raftpb.ConfChangeTransitionJointImplicit.Enum(),
		Changes:    changes,
		Context:    context,
	})
}

// retryTransfer tries to transfer the leadership of a group, where the last attempt was some time ago.
func (node *Node) retryTransfer(g *group, lost []uint64) {
	if node.now < g.transferredAt+transferIntervalTicks*node.config.Tick {
		return
	}
	g.transferredAt = node.now
	node.transferLeadership(g, lost)
}

// transferLeadership makes the replica with the longest log among those that stay the leader. Whether it has answered lately
// does not count: Raft forgets that at the very tick at which this is called.
func (node *Node) transferLeadership(g *group, lost []uint64) {
	best, match := uint64(0), uint64(0)
	for id, pr := range g.raftNode.Status().Progress {
		if id != g.seat && !slices.Contains(lost, id) && (best == 0 || pr.Match > match || pr.Match == match && id < best) {
			best, match = id, pr.Match
		}
	}
	if best != 0 {
		g.raftNode.TransferLeader(best)
	}
}

// IsEvacuated tells whether this node, which leaves, has no replica that another node should get first: each is given up, or
// no node is left to get it and its other replicas are complete.
func (node *Node) IsEvacuated() bool {
	if node.assignment == nil || !node.hasQuorum {
		return true
	}
	for _, g := range node.groups {
		spare, lost := false, false
		for _, m := range node.members {
			spare = spare || !m.Leaving && m.Assignment == node.assignment.ID && !slices.ContainsFunc(slices.Collect(maps.Values(g.seats)), func(p NodeID) bool { return p.Name == m.Name })
		}
		for id, p := range g.seats {
			m, ok := node.members[p.Name]
			lost = lost || id != g.seat && (!ok || m.Memory != p.Memory)
		}
		if spare || lost {
			return false
		}
	}
	return true
}
