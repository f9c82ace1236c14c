// The assignment: which dispatchers hold the first replicas of each group.

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

// Assignment says which seats the groups began with. Nodes of different assignments reject each other's frames.
type Assignment struct {
	_        struct{} `cbor:",toarray"`
	ID       uint64
	Groups   int
	Replicas int
	Initial  [][]Seat // the seats of each group
}

// Seat is a vote in a group. Its ID is given once.
type Seat struct {
	_     struct{} `cbor:",toarray"`
	ID    uint64
	Place NodeID
}

// AssignmentID returns the number of this node's assignment; 0 where it has none yet.
func (node *Node) AssignmentID() uint64 {
	if node.assignment == nil {
		return 0
	}
	return node.assignment.ID
}

// bootstrap makes the assignment, where that is this node's role and all founders take part and have none.
func (node *Node) bootstrap() {
	if node.assignment != nil || !node.hasQuorum || len(node.config.Founders) == 0 || node.config.Self.Name != slices.Min(node.config.Founders) {
		return
	}
	var all []Member
	for _, name := range node.config.Founders {
		m, ok := node.members[name]
		if !ok || m.Assignment != 0 {
			return
		}
		all = append(all, m)
	}
	c := &Assignment{ID: node.rng.Uint64() | 1, Groups: node.config.Groups, Replicas: min(node.config.Replicas, len(all))}
	for n := range c.Groups {
		var seats []Seat
		for _, m := range chooseMembers(n, all, nil, c.Replicas) {
			seats = append(seats, Seat{ID: node.rng.Uint64() | 1, Place: m.NodeID})
		}
		c.Initial = append(c.Initial, seats)
	}
	node.notice("founded: charter %x, %d groups of %d copies", c.ID, c.Groups, c.Replicas)
	node.installAssignment(c)
	for _, m := range all {
		if m.Name != node.config.Self.Name {
			node.send(m.NodeID, frame{Kind: assignmentFrame, Data: c.encode()})
		}
	}
}

func (c *Assignment) encode() []byte {
	data, err := cbor.Marshal(c)
	if err != nil {
		panic(err)
	}
	return data
}

// chooseMembers chooses members for a group by rendezvous hashing, from the zones with the fewest replicas first; those that
// stay count in their zones.
func chooseMembers(n int, members []Member, stay []Member, count int) []Member {
	rank := func(m Member) uint64 { return xxhash.Sum64String(fmt.Sprintf("%d/%s", n, m.Name)) }
	rest := slices.Clone(members)
	slices.SortFunc(rest, func(a, b Member) int { return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a.Name, b.Name)) })
	zones := map[string]int{}
	for _, m := range stay {
		zones[m.Zone]++
	}
	var out []Member
	for len(out) < count && len(rest) > 0 {
		best := 0
		for i, m := range rest {
			if zones[m.Zone] < zones[rest[best].Zone] {
				best = i
			}
		}
		zones[rest[best].Zone]++
		out = append(out, rest[best])
		rest = slices.Delete(rest, best, best+1)
	}
	return out
}

// installAssignment takes an assignment in. The groups in which it gives this node a seat begin here, once.
func (node *Node) installAssignment(c *Assignment) {
	node.assignment = c
	for n, seats := range c.Initial {
		first := make(map[uint64]NodeID, len(seats))
		voters := make([]uint64, 0, len(seats))
		mine := uint64(0)
		for _, s := range seats {
			first[s.ID], voters = s.Place, append(voters, s.ID)
			node.replicasOf[n] = append(node.replicasOf[n], s.Place)
			if s.Place == node.config.Self {
				mine = s.ID
			}
		}
		if mine == 0 || node.usedSeats[mine] {
			continue
		}
		g := node.newGroup(n, mine)
		g.seats = first
		data, err := g.encodeState()
		if err == nil {
			err = g.storage.ApplySnapshot(&raftpb.Snapshot{Data: data, Metadata: &raftpb.SnapshotMetadata{Index: proto.Uint64(1), Term: proto.Uint64(1),
				ConfState: &raftpb.ConfState{Voters: voters}}})
		}
		g.applied, g.snapshotIndex, g.configuration = 1, 1, &raftpb.ConfState{Voters: voters}
		if err == nil {
			err = node.startGroup(g)
		}
		if err != nil {
			node.notice("group %d cannot begin: %v", n, err)
		}
	}
}

func (node *Node) newGroup(n int, seat uint64) *group {
	node.usedSeats[seat] = true
	return &group{number: n, seat: seat, storage: raft.NewMemoryStorage(), machine: node.config.NewStateMachine(n), seats: map[uint64]NodeID{}, configuration: &raftpb.ConfState{},
		remoteCommands: map[uint64]NodeID{}}
}
