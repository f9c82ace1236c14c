// Package raftgroup replicates state machines on several dispatchers. A Node is one dispatcher's part of placement groups, each
// a Raft group (go.etcd.io/raft) of a few dispatchers. It has no I/O, clock or goroutine: frames, times and members go in,
// frames and results come out.
//
// State is in memory only, so a replica must never vote with a memory that it has lost: each memory is a NodeID of its own,
// each seat in a group has a number that is given once, and no replica starts with a seat that it had before.
//
// Start reading at Node.Tick and Node.HandleFrame. node.go has the interface, assignment.go the bootstrap, repair.go how lost
// replicas are replaced, group.go what Raft asks for, proposals.go the way of a command to its group's leader and back.
package raftgroup

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

// NodeID is a dispatcher with the memory that it has: after that is lost, Memory is another number.
type NodeID struct {
	_      struct{} `cbor:",toarray"`
	Name   string
	Memory uint64
}

// String returns the dispatcher's name and the number of its copy.
func (p NodeID) String() string { return fmt.Sprintf("%s.%x", p.Name, p.Memory) }

// Member is a dispatcher that takes part, by the membership's view and by what it says of itself.
type Member struct {
	NodeID
	Zone       string
	Assignment uint64 // the assignment that it has; 0 where it has none
	Leaving    bool   // it gives its replicas up
}

// StateMachine is what is replicated. The same commands must lead to the same state.
type StateMachine interface {
	Apply(command []byte) (reply []byte)
	Query(question []byte) (answer []byte) // changes nothing, and may be behind
	Snapshot() ([]byte, error)
	Restore([]byte) error
}

// Config configures a node. Counts that are 0 get the default that New gives.
type Config struct {
	Self                NodeID
	Founders            []string // by name; the first by order makes the assignment once all take part and have none
	Groups              int      // placement groups; fixed by the assignment
	Replicas            int      // of each group
	NewStateMachine     func(group int) StateMachine
	Seed                uint64
	Tick                time.Duration // Raft's tick; an election begins 10 to 20 of them after the leader was last heard
	SnapshotInterval    uint64        // log entries between two snapshots
	MaxRepairs          int           // groups that this node repairs at a time
	MaxUncommittedBytes uint64        // bytes a group that wait for a quorum; beyond that, commands are rejected
}

// OutgoingFrame is a frame to be sent.
type OutgoingFrame struct {
	To   NodeID
	Data []byte
}

// Actions are what follows from an event. They are valid until the next call.
type Actions struct {
	Send    []OutgoingFrame
	Results []Result
	Notices []string
}

// Node is one dispatcher's part of all groups. It is not safe for concurrent use.
type Node struct {
	config       Config
	rng          *rand.Rand
	now          time.Duration
	tickedAt     time.Duration
	checkedAt    time.Duration
	actions      Actions
	assignment   *Assignment
	groups       map[int]*group
	usedSeats    map[uint64]bool // seats that this node had once
	members      map[string]Member
	hasQuorum    bool
	leaders      map[int]NodeID   // the leader of a group, as far as is known
	replicasOf   map[int][]NodeID // the nodes that have a replica of a group
	pending      map[uint64]*pending
	foreignNodes map[string]bool // nodes of another assignment that a notice has told of
}

// New makes a node. It has no groups until there is an assignment.
func New(cfg Config, now time.Duration) (*Node, error) {
	cfg.Groups, cfg.Replicas, cfg.Tick = cmp.Or(cfg.Groups, 16), cmp.Or(cfg.Replicas, 3), cmp.Or(cfg.Tick, 50*time.Millisecond)
	cfg.SnapshotInterval, cfg.MaxRepairs, cfg.MaxUncommittedBytes = cmp.Or(cfg.SnapshotInterval, 2000), cmp.Or(cfg.MaxRepairs, 2), cmp.Or(cfg.MaxUncommittedBytes, 4<<20)
	if cfg.Self.Name == "" || cfg.Self.Memory == 0 || cfg.NewStateMachine == nil || cfg.Groups < 1 || cfg.Groups > 1<<12 || cfg.Replicas < 1 || cfg.Replicas > 9 {
		return nil, errors.New("replica: a name, a copy, a machine, 1 to 4096 groups and 1 to 9 copies are needed")
	}
	return &Node{config: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, cfg.Self.Memory)), now: now, tickedAt: now, checkedAt: now, groups: map[int]*group{},
		usedSeats: map[uint64]bool{}, members: map[string]Member{}, leaders: map[int]NodeID{}, replicasOf: map[int][]NodeID{}, foreignNodes: map[string]bool{}, pending: map[uint64]*pending{}}, nil
}

// begin starts an event; end returns what follows from it.
func (node *Node) begin(now time.Duration) {
	node.now = max(now, node.now)
	node.actions = Actions{Send: node.actions.Send[:0], Results: node.actions.Results[:0], Notices: node.actions.Notices[:0]}
}

func (node *Node) end() *Actions {
	for _, n := range node.groupNumbers() {
		if g := node.groups[n]; g != nil {
			node.processReady(g)
		}
	}
	return &node.actions
}

func (node *Node) groupNumbers() []int {
	out := make([]int, 0, len(node.groups))
	for n := range node.groups {
		out = append(out, n)
	}
	slices.Sort(out)
	return out
}

func (node *Node) notice(format string, v ...any) {
	node.actions.Notices = append(node.actions.Notices, fmt.Sprintf(format, v...))
}

func (node *Node) send(to NodeID, f frame) {
	f.Memory, f.Assignment = to.Memory, node.AssignmentID()
	data, err := cbor.Marshal(f)
	if err != nil {
		panic(err) // nothing in a frame can fail
	}
	node.actions.Send = append(node.actions.Send, OutgoingFrame{to, data})
}

// Ready tells whether this node can propose commands.
func (node *Node) Ready() bool { return node.assignment != nil && node.hasQuorum }

// Groups returns the number of groups, 0 before there is an assignment.
func (node *Node) Groups() int {
	if node.assignment == nil {
		return 0
	}
	return node.assignment.Groups
}

// GroupOf returns the group of a key, the same at all nodes.
func (node *Node) GroupOf(key string) int {
	return int(xxhash.Sum64String(key) % uint64(max(node.Groups(), 1)))
}

// StateMachine returns this node's own replica of a group, and whether it leads the group.
func (node *Node) StateMachine(n int) (m StateMachine, leads bool) {
	if g := node.groups[n]; g != nil {
		return g.machine, g.leads
	}
	return nil, false
}

// SetMembers takes in who takes part: the members of a stable view that have said which memory they have.
func (node *Node) SetMembers(now time.Duration, members []Member, quorum bool) *Actions {
	node.begin(now)
	node.hasQuorum = quorum
	clear(node.members)
	for _, m := range members {
		node.members[m.Name] = m
		if node.assignment != nil && m.Assignment == 0 && m.Name != node.config.Self.Name {
			node.send(m.NodeID, frame{Kind: assignmentFrame, Data: node.assignment.encode()})
		}
	}
	node.bootstrap()
	return node.end()
}

// Tick advances the clock.
func (node *Node) Tick(now time.Duration) *Actions {
	node.begin(now)
	steps := 0
	for ; node.now >= node.tickedAt+node.config.Tick; node.tickedAt += node.config.Tick {
		if steps++; steps <= 3 { // after a pause of the process it does not start an election at once
			for _, n := range node.groupNumbers() {
				node.groups[n].raftNode.Tick()
			}
		}
	}
	for _, id := range slices.Sorted(maps.Keys(node.pending)) {
		if p := node.pending[id]; node.now >= p.deadline {
			delete(node.pending, id)
			node.actions.Results = append(node.actions.Results, Result{Token: id, Err: ErrUnknownOutcome})
		} else if node.now >= p.resendAt {
			node.sendPending(id, p)
		}
	}
	if node.now >= node.checkedAt+10*node.config.Tick {
		node.checkedAt = node.now
		node.bootstrap()
		node.repairGroups()
	}
	return node.end()
}

// GroupStatus is a group as this node knows it.
type GroupStatus struct {
	Group    int      `json:"group"`
	Leads    bool     `json:"leads"`
	Leader   string   `json:"leader"`
	Term     uint64   `json:"term"`
	Index    uint64   `json:"index"`
	Replicas []string `json:"copies"` // name.memory, and how many entries each is behind where this node leads
	Behind   []uint64 `json:"behind,omitempty"`
	Lost     int      `json:"lost"` // replicas whose node does not take part
}

// Status returns the groups that have a replica here.
func (node *Node) Status() (out []GroupStatus) {
	for _, n := range node.groupNumbers() {
		g := node.groups[n]
		st := g.raftNode.Status()
		s := GroupStatus{Group: n, Leads: g.leads, Leader: g.seats[st.Lead].Name, Term: st.GetTerm(), Index: g.applied}
		for _, id := range slices.Sorted(maps.Keys(g.seats)) {
			p := g.seats[id]
			s.Replicas = append(s.Replicas, p.String())
			if m, ok := node.members[p.Name]; !ok || m.Memory != p.Memory {
				s.Lost++
			}
			if pr, ok := st.Progress[id]; ok {
				s.Behind = append(s.Behind, st.GetCommit()-min(pr.Match, st.GetCommit()))
			}
		}
		out = append(out, s)
	}
	return out
}
