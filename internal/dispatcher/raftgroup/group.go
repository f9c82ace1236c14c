// One replica of a group: frames, the Raft log, snapshots and applied commands.

package raftgroup

import (
	"errors"
	"io"
	"log"
	"maps"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

type frameKind uint8

const (
	raftFrame        frameKind = iota + 1 // Group, Seat, For, Data
	proposeFrame                          // Group, ID, Data: a command
	resultFrame                           // ID, Data: its reply
	redirectFrame                         // Group, ID, Seats: ask one of these; the first leads, if Seat is his
	assignmentFrame                       // Data
	queryFrame                            // Group, ID, Data: a question
	queryResultFrame                      // ID, Data; redirect where there is no copy
	removedFrame                          // Group, Seat: that seat was given up
)

type frame struct {
	_          struct{} `cbor:",toarray"`
	Kind       frameKind
	Group      int
	Assignment uint64 // the sender's charter: what belongs to another founding is not taken in
	Memory     uint64 // copy that it is meant for
	Seat       uint64
	ID         uint64
	Data       []byte
	Seats      []Seat
}

type logEntry struct {
	_    struct{} `cbor:",toarray"`
	ID   uint64
	Data []byte
}

// group is this node's replica of a group.
type group struct {
	number         int
	seat           uint64
	raftNode       *raft.RawNode
	storage        *raft.MemoryStorage
	machine        StateMachine
	seats          map[uint64]NodeID
	configuration  *raftpb.ConfState
	applied        uint64
	snapshotIndex  uint64
	isReconfigured bool // the seats have changed since the last snapshot: a new replica starts from a snapshot that lists it
	leads          bool
	knowsCommitted bool              // it leads and has applied an entry of its own term: it knows every committed change of seats
	transferredAt  time.Duration     // when its leadership was last offered to another replica
	remoteCommands map[uint64]NodeID // the node that each command under way came from
}

// groupState is what a snapshot holds of a group.
type groupState struct {
	_     struct{} `cbor:",toarray"`
	Seats []Seat
	State []byte
}

var discardLogger = &raft.DefaultLogger{Logger: log.New(io.Discard, "", 0)}

// startGroup starts the Raft node of a group, in the place of an earlier one.
func (node *Node) startGroup(g *group) (err error) {
	g.raftNode, err = raft.NewRawNode(&raft.Config{ID: g.seat, ElectionTick: 10, HeartbeatTick: 2, Storage: g.storage, Applied: g.applied,
		MaxSizePerMsg: 64 << 10, MaxInflightMsgs: 128, MaxUncommittedEntriesSize: node.config.MaxUncommittedBytes, CheckQuorum: true, PreVote: true,
		DisableProposalForwarding: true, StepDownOnRemoval: true, Logger: discardLogger})
	if err == nil {
		node.groups[g.number] = g
	}
	return err
}

// encodeState returns the complete state of a group.
func (g *group) encodeState() ([]byte, error) {
	p := groupState{}
	for _, id := range slices.Sorted(maps.Keys(g.seats)) {
		p.Seats = append(p.Seats, Seat{ID: id, Place: g.seats[id]})
	}
	var err error
	if p.State, err = g.machine.Snapshot(); err != nil {
		return nil, err
	}
	return cbor.Marshal(p)
}

// stepRaft gives a message to the replica with the seat that it is for. A new seat begins empty; one that this node had and
// lost never comes back.
func (node *Node) stepRaft(from NodeID, f frame) {
	m := new(raftpb.Message)
	if proto.Unmarshal(f.Data, m) != nil || m.GetTo() != f.Seat {
		return
	}
	g := node.groups[f.Group]
	if g == nil || g.seat != f.Seat {
		if node.usedSeats[f.Seat] || node.assignment == nil || f.Group < 0 || f.Group >= node.assignment.Groups {
			return
		}
		fresh := node.newGroup(f.Group, f.Seat)
		if err := node.startGroup(fresh); err != nil {
			node.notice("group %d: %v", f.Group, err)
			return
		}
		g = fresh
	}
	if g.applied == 0 { // it has no snapshot yet, and knows only the senders of messages
		g.seats[m.GetFrom()] = from
	}
	if _, ok := g.seats[m.GetFrom()]; !ok && g.knowsCommitted { // the sender missed that it was removed
		node.send(from, frame{Kind: removedFrame, Group: f.Group, Seat: m.GetFrom()})
		return
	}
	g.raftNode.Step(m) // a message that cannot be applied counts as lost
}

// processReady carries out what a group's Raft node asks for, in the order that Raft requires: store, send, apply.
func (node *Node) processReady(g *group) {
	for g.raftNode.HasReady() && node.groups[g.number] == g {
		rd := g.raftNode.Ready()
		if rd.SoftState != nil {
			g.leads = rd.SoftState.RaftState == raft.StateLeader
			if p, ok := g.seats[rd.SoftState.Lead]; ok {
				node.leaders[g.number] = p
			}
			if !g.leads {
				g.knowsCommitted = false
				clear(g.remoteCommands)
			}
		}
		if !raft.IsEmptySnap(rd.Snapshot) {
			if err := g.restore(rd.Snapshot); err != nil {
				node.notice("group %d: a snapshot that cannot be taken in: %v", g.number, err)
				delete(node.groups, g.number)
				return
			}
		}
		if len(rd.Entries) > 0 {
			if err := g.storage.Append(rd.Entries); err != nil {
				node.notice("group %d: %v", g.number, err)
				delete(node.groups, g.number)
				return
			}
		}
		if !raft.IsEmptyHardState(rd.HardState) {
			g.storage.SetHardState(rd.HardState)
		}
		for _, m := range rd.Messages {
			to, ok := g.seats[m.GetTo()]
			if !ok {
				continue
			}
			if data, err := proto.Marshal(m); err == nil {
				node.send(to, frame{Kind: raftFrame, Group: g.number, Seat: m.GetTo(), Data: data})
			}
			if m.GetType() == raftpb.MsgSnap { // if it is lost, the leader's next probe shows it
				g.raftNode.ReportSnapshot(m.GetTo(), raft.SnapshotFinish)
			}
		}
		for _, e := range rd.CommittedEntries {
			node.apply(g, e)
		}
		g.raftNode.Advance(rd)
		node.takeSnapshot(g)
	}
}

func (g *group) restore(s *raftpb.Snapshot) error {
	var p groupState
	if err := cbor.Unmarshal(s.GetData(), &p); err != nil {
		return err
	}
	if err := g.machine.Restore(p.State); err != nil {
		return err
	}
	clear(g.seats)
	for _, seat := range p.Seats {
		g.seats[seat.ID] = seat.Place
	}
	g.applied = s.GetMetadata().GetIndex()
	g.snapshotIndex, g.configuration = g.applied, s.GetMetadata().GetConfState()
	return g.storage.ApplySnapshot(s)
}

func (node *Node) apply(g *group, e *raftpb.Entry) {
	g.applied = e.GetIndex()
	g.knowsCommitted = g.knowsCommitted || g.leads && e.GetTerm() == g.raftNode.BasicStatus().GetTerm()
	switch e.GetType() {
	case raftpb.EntryConfChangeV2:
		cc := new(raftpb.ConfChangeV2)
		if err := proto.Unmarshal(e.GetData(), cc); err != nil {
			panic(err) // a quorum has committed it
		}
		var seats []Seat
		if len(cc.GetContext()) > 0 && cbor.Unmarshal(cc.GetContext(), &seats) == nil {
			for _, s := range seats {
				g.seats[s.ID] = s.Place
			}
		}
		g.configuration, g.isReconfigured = g.raftNode.ApplyConfChange(cc), true
		for id, p := range g.seats { // seats in neither configuration are removed
			if !slices.Contains(g.configuration.GetVoters(), id) && !slices.Contains(g.configuration.GetVotersOutgoing(), id) {
				delete(g.seats, id)
				if id == g.seat {
					delete(node.groups, g.number)
				} else if g.leads {
					node.notice("group %d: the copy at %v is given up", g.number, p)
				}
			}
		}
		node.replicasOf[g.number] = node.replicasOf[g.number][:0]
		for _, id := range slices.Sorted(maps.Keys(g.seats)) {
			node.replicasOf[g.number] = append(node.replicasOf[g.number], g.seats[id])
		}
	case raftpb.EntryNormal:
		if len(e.GetData()) == 0 {
			return // a new leader's first entry
		}
		var x logEntry
		if err := cbor.Unmarshal(e.GetData(), &x); err != nil {
			panic(err)
		}
		reply := g.machine.Apply(x.Data)
		node.complete(x.ID, reply)
		if from, ok := g.remoteCommands[x.ID]; ok {
			delete(g.remoteCommands, x.ID)
			node.send(from, frame{Kind: resultFrame, ID: x.ID, Data: reply})
		}
	}
}

// takeSnapshot makes a snapshot after some entries, and drops most of the log that it replaces.
func (node *Node) takeSnapshot(g *group) {
	if !g.isReconfigured && g.applied < g.snapshotIndex+node.config.SnapshotInterval || node.groups[g.number] != g {
		return
	}
	data, err := g.encodeState()
	if err == nil {
		_, err = g.storage.CreateSnapshot(g.applied, g.configuration, data)
	}
	if err == nil && g.applied > node.config.SnapshotInterval/4 {
		err = g.storage.Compact(g.applied - node.config.SnapshotInterval/4) // a replica that is a little behind needs no snapshot
	}
	if err != nil && !errors.Is(err, raft.ErrCompacted) {
		node.notice("group %d: %v", g.number, err)
	}
	g.snapshotIndex, g.isReconfigured = g.applied, false
}
