// The assignment of the initial replicas of each group to dispatchers.

package raftgroup

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// Assignment holds the initial voters of all groups. One node makes it, once, and every node keeps it unchanged. Nodes
// with different assignments reject each other's frames.
type Assignment struct {
	_             struct{} `cbor:",toarray"`
	ID            uint64   // random, never 0
	Groups        int
	Replicas      int       // of each group
	InitialVoters [][]Voter // indexed by group
}

// Voter is one voting replica of a group and the node that hosts it. A voter ID is never reused: a node that gets a
// replica of the same group again gets it under another ID.
type Voter struct {
	_    struct{} `cbor:",toarray"`
	ID   uint64
	Host NodeID
}

// AssignmentID returns the ID of this node's assignment, or 0 if it has none yet.
func (node *Node) AssignmentID() uint64 {
	if node.assignment == nil {
		return 0
	}
	return node.assignment.ID
}

// bootstrap makes the assignment and sends it to the initial members. It does so only on the initial member whose name
// sorts first, and only while all initial members are in the view and none has an assignment.
func (node *Node) bootstrap() {
	if node.assignment != nil || !node.hasQuorum || len(node.config.InitialMembers) == 0 || node.config.Self.Name != slices.Min(node.config.InitialMembers) {
		return
	}
	var initial []Member
	for _, name := range node.config.InitialMembers {
		m, ok := node.members[name]
		if !ok || m.Assignment != 0 {
			return
		}
		initial = append(initial, m)
	}
	created := &Assignment{ID: node.rng.Uint64() | 1, Groups: node.config.Groups, Replicas: min(node.config.Replicas, len(initial))}
	for n := range created.Groups {
		var voters []Voter
		for _, m := range chooseMembers(n, initial, nil, created.Replicas) {
			voters = append(voters, Voter{ID: node.rng.Uint64() | 1, Host: m.NodeID})
		}
		created.InitialVoters = append(created.InitialVoters, voters)
	}
	node.notice("founded: assignment %x, %d groups of %d replicas", created.ID, created.Groups, created.Replicas)
	node.installAssignment(created)
	for _, m := range initial {
		if m.Name != node.config.Self.Name {
			node.send(m.NodeID, frame{Kind: assignmentFrame, Data: created.encode()})
		}
	}
}

func (a *Assignment) encode() []byte {
	data, err := cbor.Marshal(a)
	if err != nil {
		panic(err)
	}
	return data
}

// chooseMembers returns up to count of the members for new replicas of a group. It takes from the zone with the fewest
// replicas first, counting the staying members, and orders members within a zone by rendezvous hashing.
func chooseMembers(group int, members []Member, staying []Member, count int) []Member {
	rank := func(m Member) uint64 { return xxhash.Sum64String(fmt.Sprintf("%d/%s", group, m.Name)) }
	candidates := slices.Clone(members)
	slices.SortFunc(candidates, func(a, b Member) int { return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a.Name, b.Name)) })
	replicasInZone := map[string]int{}
	for _, m := range staying {
		replicasInZone[m.Zone]++
	}
	var chosen []Member
	for len(chosen) < count && len(candidates) > 0 {
		best := 0
		for i, m := range candidates {
			if replicasInZone[m.Zone] < replicasInZone[candidates[best].Zone] {
				best = i
			}
		}
		replicasInZone[candidates[best].Zone]++
		chosen = append(chosen, candidates[best])
		candidates = slices.Delete(candidates, best, best+1)
	}
	return chosen
}

// installAssignment adopts an assignment and starts a replica of each group that has a voter on this node. A voter that
// this node has started before is not started again.
func (node *Node) installAssignment(adopted *Assignment) {
	node.assignment = adopted
	for n, voters := range adopted.InitialVoters {
		hosts := make(map[uint64]NodeID, len(voters))
		voterIDs := make([]uint64, 0, len(voters))
		ownVoterID := uint64(0)
		for _, voter := range voters {
			hosts[voter.ID], voterIDs = voter.Host, append(voterIDs, voter.ID)
			node.replicasOf[n] = append(node.replicasOf[n], voter.Host)
			if voter.Host == node.config.Self {
				ownVoterID = voter.ID
			}
		}
		if ownVoterID == 0 || node.usedVoterIDs[ownVoterID] {
			continue
		}
		g := node.newGroup(n, ownVoterID)
		g.voters = hosts
		data, err := g.encodeState()
		if err == nil {
			err = g.storage.ApplySnapshot(&raftpb.Snapshot{Data: data, Metadata: &raftpb.SnapshotMetadata{Index: proto.Uint64(1), Term: proto.Uint64(1),
				ConfState: &raftpb.ConfState{Voters: voterIDs}}})
		}
		g.applied, g.snapshotIndex, g.configuration = 1, 1, &raftpb.ConfState{Voters: voterIDs}
		if err == nil {
			err = node.startGroup(g)
		}
		if err != nil {
			node.notice("group %d: starting the replica: %v", n, err)
		}
	}
}

// newGroup returns an empty replica with a voter ID, and marks that ID as used.
func (node *Node) newGroup(groupNumber int, voterID uint64) *group {
	node.usedVoterIDs[voterID] = true
	return &group{number: groupNumber, voterID: voterID, storage: raft.NewMemoryStorage(), machine: node.config.NewStateMachine(groupNumber), voters: map[uint64]NodeID{}, configuration: &raftpb.ConfState{},
		remoteCommands: map[uint64]NodeID{}}
}
