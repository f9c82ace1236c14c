// Package raftgroup replicates state machines on several dispatchers. Keys are spread over a fixed number of placement
// groups; each is a Raft group (go.etcd.io/raft) with replicas on a few dispatchers. A Node runs all replicas of one
// dispatcher. It does no I/O and has no clock and no goroutine: the caller passes in frames, times and members, and
// carries out the returned Actions.
//
// State is in memory only. After a restart a replica has forgotten its log and its votes, and must not vote as if it
// had not. Each start of the process therefore has its own NodeID, a voter ID is never reused, and a node never starts
// a replica under a voter ID that it had before.
//
// Start reading at Node.Tick and Node.HandleFrame. node.go has the interface, assignment.go the bootstrap, repair.go
// the replacement of lost replicas, group.go the handling of Raft's output, proposals.go the routing of commands and
// queries.
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

// NodeID identifies one run of a dispatcher's process. Incarnation is random and changes with each start, when the
// state in memory is lost.
type NodeID struct {
	_           struct{} `cbor:",toarray"`
	Name        string
	Incarnation uint64
}

// String returns the dispatcher's name and its incarnation in hexadecimal, as shown to operators.
func (p NodeID) String() string { return fmt.Sprintf("%s.%x", p.Name, p.Incarnation) }

// Member is a dispatcher in the membership's view, with what it has announced about itself.
type Member struct {
	NodeID
	Zone       string
	Assignment uint64 // ID of its assignment; 0: none
	Leaving    bool   // it is shutting down and hands its replicas over
}

// StateMachine is the replicated state of a group. Apply must be deterministic: the same commands in the same order
// lead to the same state and the same replies.
type StateMachine interface {
	Apply(command []byte) (reply []byte)
	Query(query []byte) (answer []byte) // must not change the state; the replica may lag behind the leader
	Snapshot() ([]byte, error)
	Restore([]byte) error
}

// Config configures a node. New replaces zero values of Groups, Replicas, Tick, SnapshotInterval, MaxRepairs and
// MaxUncommittedBytes by defaults.
type Config struct {
	Self                NodeID
	InitialMembers      []string // names; the one that sorts first makes the assignment
	Groups              int      // number of placement groups; fixed by the assignment
	Replicas            int      // of each group
	NewStateMachine     func(group int) StateMachine
	Seed                uint64
	Tick                time.Duration // Raft's tick; the election time-out is 10 to 20 ticks
	SnapshotInterval    uint64        // log entries between two snapshots
	MaxRepairs          int           // groups that this node repairs at the same time
	MaxUncommittedBytes uint64        // uncommitted bytes per group; beyond that, the leader rejects commands
}

// OutgoingFrame is an encoded frame and the node to send it to.
type OutgoingFrame struct {
	To   NodeID
	Data []byte
}

// Actions are what the caller has to do after an event: send frames, deliver results and log notices. They are valid
// until the next call of a method of the Node.
type Actions struct {
	Send    []OutgoingFrame
	Results []Result
	Notices []string
}

// Node runs a dispatcher's replicas of all groups. It is not safe for concurrent use.
type Node struct {
	config               Config
	rng                  *rand.Rand
	now                  time.Duration
	tickedAt             time.Duration
	checkedAt            time.Duration
	actions              Actions
	assignment           *Assignment
	groups               map[int]*group
	usedVoterIDs         map[uint64]bool // voter IDs of all replicas that this node has ever started
	members              map[string]Member
	hasQuorum            bool
	leaders              map[int]NodeID   // last known leader, by group
	replicasOf           map[int][]NodeID // last known hosts of the replicas, by group
	pending              map[uint64]*pending
	reportedForeignNodes map[string]bool // names of nodes with another assignment for which there was a notice
}

// New returns a node. It has no groups until it makes or receives an assignment.
func New(cfg Config, now time.Duration) (*Node, error) {
	cfg.Groups, cfg.Replicas, cfg.Tick = cmp.Or(cfg.Groups, 16), cmp.Or(cfg.Replicas, 3), cmp.Or(cfg.Tick, 50*time.Millisecond)
	cfg.SnapshotInterval, cfg.MaxRepairs, cfg.MaxUncommittedBytes = cmp.Or(cfg.SnapshotInterval, 2000), cmp.Or(cfg.MaxRepairs, 2), cmp.Or(cfg.MaxUncommittedBytes, 4<<20)
	if cfg.Self.Name == "" || cfg.Self.Incarnation == 0 || cfg.NewStateMachine == nil || cfg.Groups < 1 || cfg.Groups > 1<<12 || cfg.Replicas < 1 || cfg.Replicas > 9 {
		return nil, errors.New("raftgroup: a config needs a name, an incarnation, a state machine, 1 to 4096 groups and 1 to 9 replicas")
	}
	return &Node{config: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, cfg.Self.Incarnation)), now: now, tickedAt: now, checkedAt: now, groups: map[int]*group{},
		usedVoterIDs: map[uint64]bool{}, members: map[string]Member{}, leaders: map[int]NodeID{}, replicasOf: map[int][]NodeID{}, reportedForeignNodes: map[string]bool{}, pending: map[uint64]*pending{}}, nil
}

// beginEvent starts the handling of an event at a time; finishEvent returns the actions that follow from it.
func (node *Node) beginEvent(now time.Duration) {
	node.now = max(now, node.now)
	node.actions = Actions{Send: node.actions.Send[:0], Results: node.actions.Results[:0], Notices: node.actions.Notices[:0]}
}

func (node *Node) finishEvent() *Actions {
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
	f.Incarnation, f.Assignment = to.Incarnation, node.AssignmentID()
	data, err := cbor.Marshal(f)
	if err != nil {
		panic(err) // unreachable: every field of a frame can be encoded
	}
	node.actions.Send = append(node.actions.Send, OutgoingFrame{to, data})
}

// Ready reports whether this node has an assignment and is in a quorum of the members, so that commands can be
// proposed.
func (node *Node) Ready() bool { return node.assignment != nil && node.hasQuorum }

// Groups returns the number of groups, or 0 before there is an assignment.
func (node *Node) Groups() int {
	if node.assignment == nil {
		return 0
	}
	return node.assignment.Groups
}

// GroupOf returns the group of a key. All nodes return the same.
func (node *Node) GroupOf(key string) int {
	return int(xxhash.Sum64String(key) % uint64(max(node.Groups(), 1)))
}

// StateMachine returns the state machine of this node's replica of a group, nil without a replica, and whether this
// node leads the group.
func (node *Node) StateMachine(n int) (m StateMachine, leads bool) {
	if g := node.groups[n]; g != nil {
		return g.machine, g.leads
	}
	return nil, false
}

// SetMembers sets the members: those of a stable membership view that have announced their incarnation. quorum reports
// whether the view has a quorum. The node sends its assignment to members that have none.
func (node *Node) SetMembers(now time.Duration, members []Member, quorum bool) *Actions {
	node.beginEvent(now)
	node.hasQuorum = quorum
	clear(node.members)
	for _, m := range members {
		node.members[m.Name] = m
		if node.assignment != nil && m.Assignment == 0 && m.Name != node.config.Self.Name {
			node.send(m.NodeID, frame{Kind: assignmentFrame, Data: node.assignment.encode()})
		}
	}
	node.bootstrap()
	return node.finishEvent()
}

// Tick advances the clock: it ticks the Raft nodes, resends or times out pending requests, and repairs groups.
func (node *Node) Tick(now time.Duration) *Actions {
	node.beginEvent(now)
	steps := 0
	for ; node.now >= node.tickedAt+node.config.Tick; node.tickedAt += node.config.Tick {
		if steps++; steps <= 3 { // after a pause of the process, no election at once
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
	return node.finishEvent()
}

// GroupStatus is the state of a group as known by this node. lease.GroupStatus must have the same fields.
type GroupStatus struct {
	Group    int      `json:"group"`
	Leads    bool     `json:"leads"`
	Leader   string   `json:"leader"`
	Term     uint64   `json:"term"`
	Index    uint64   `json:"index"`
	Replicas []string `json:"copies"`           // hosts as name.incarnation
	Behind   []uint64 `json:"behind,omitempty"` // entries that each replica lags; only on the leader
	Lost     int      `json:"lost"`             // replicas whose node is not in the view
}

// Status returns the state of each group that has a replica on this node.
func (node *Node) Status() (out []GroupStatus) {
	for _, n := range node.groupNumbers() {
		g := node.groups[n]
		raftStatus := g.raftNode.Status()
		status := GroupStatus{Group: n, Leads: g.leads, Leader: g.voters[raftStatus.Lead].Name, Term: raftStatus.GetTerm(), Index: g.applied}
		for _, id := range slices.Sorted(maps.Keys(g.voters)) {
			host := g.voters[id]
			status.Replicas = append(status.Replicas, host.String())
			if member, ok := node.members[host.Name]; !ok || member.Incarnation != host.Incarnation {
				status.Lost++
			}
			if progress, ok := raftStatus.Progress[id]; ok {
				status.Behind = append(status.Behind, raftStatus.GetCommit()-min(progress.Match, raftStatus.GetCommit()))
			}
		}
		out = append(out, status)
	}
	return out
}
