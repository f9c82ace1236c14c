// One replica of a group: its frames, its Raft log, its snapshots and the commands it applies.

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

// frameKind is the kind of content of a frame. Its numbers travel between dispatchers of different versions.
type frameKind uint8

const (
	raftFrame        frameKind = iota + 1 // a Raft message: Group, VoterID (the receiver), Data
	proposeFrame                          // a command for the group's leader: Group, ID, Data
	resultFrame                           // the reply to a command: ID, Data
	redirectFrame                         // where to resend a request: Group, ID, Voters, VoterID (of the leader)
	assignmentFrame                       // an Assignment: Data
	queryFrame                            // a query for any replica: Group, ID, Data
	queryResultFrame                      // the answer to a query: ID, Data
	removedFrame                          // the voter has been removed from the group: Group, VoterID
)

// frame is one message between nodes. The fields that a kind uses are listed at the kind; the others are zero.
type frame struct {
	_           struct{} `cbor:",toarray"`
	Kind        frameKind
	Group       int
	Assignment  uint64 // the sender's assignment ID; a receiver with another one drops the frame
	Incarnation uint64 // of the receiver; a receiver that has restarted since drops the frame
	VoterID     uint64
	ID          uint64
	Data        []byte
	Voters      []Voter
}

// logEntry is a command in the Raft log, with the ID under which its proposer waits for the reply.
type logEntry struct {
	_    struct{} `cbor:",toarray"`
	ID   uint64
	Data []byte
}

// group is this node's replica of a group.
type group struct {
	number         int
	voterID        uint64
	raftNode       *raft.RawNode
	storage        *raft.MemoryStorage
	machine        StateMachine
	voters         map[uint64]NodeID
	configuration  *raftpb.ConfState
	applied        uint64
	snapshotIndex  uint64
	isReconfigured bool // the voters have changed since the last snapshot; a new voter needs one that lists it
	leads          bool
	knowsCommitted bool              // it leads and, with an entry of its term applied, knows all committed voters
	transferredAt  time.Duration     // when this node last tried to transfer the leadership
	remoteCommands map[uint64]NodeID // the proposers of commands in flight from other nodes, by command ID
}

// groupState is the content of a Raft snapshot: the voters and the state machine's snapshot.
type groupState struct {
	_      struct{} `cbor:",toarray"`
	Voters []Voter
	State  []byte
}

// discardLogger drops the Raft library's own log lines; the node reports through Actions.Notices.
var discardLogger = &raft.DefaultLogger{Logger: log.New(io.Discard, "", 0)}

// startGroup starts the Raft node of a replica and registers it, replacing an earlier replica of the same group.
func (node *Node) startGroup(g *group) (err error) {
	g.raftNode, err = raft.NewRawNode(&raft.Config{ID: g.voterID, ElectionTick: 10, HeartbeatTick: 2, Storage: g.storage, Applied: g.applied,
		MaxSizePerMsg: 64 << 10, MaxInflightMsgs: 128, MaxUncommittedEntriesSize: node.config.MaxUncommittedBytes, CheckQuorum: true, PreVote: true,
		DisableProposalForwarding: true, StepDownOnRemoval: true, Logger: discardLogger})
	if err == nil {
		node.groups[g.number] = g
	}
	return err
}

// encodeState returns the encoded groupState of the replica.
func (g *group) encodeState() ([]byte, error) {
	state := groupState{}
	for _, id := range slices.Sorted(maps.Keys(g.voters)) {
		state.Voters = append(state.Voters, Voter{ID: id, Host: g.voters[id]})
	}
	var err error
	if state.State, err = g.machine.Snapshot(); err != nil {
		return nil, err
	}
	return cbor.Marshal(state)
}

// stepRaft passes a Raft message to the replica that it addresses. A message for an unknown voter ID creates an empty
// replica; a message for a voter ID that this node had before is dropped, because its log and votes are lost.
func (node *Node) stepRaft(from NodeID, f frame) {
	message := new(raftpb.Message)
	if proto.Unmarshal(f.Data, message) != nil || message.GetTo() != f.VoterID {
		return
	}
	g := node.groups[f.Group]
	if g == nil || g.voterID != f.VoterID {
		if node.usedVoterIDs[f.VoterID] || node.assignment == nil || f.Group < 0 || f.Group >= node.assignment.Groups {
			return
		}
		created := node.newGroup(f.Group, f.VoterID)
		if err := node.startGroup(created); err != nil {
			node.notice("group %d: %v", f.Group, err)
			return
		}
		g = created
	}
	if g.applied == 0 { // without a snapshot the replica knows only the voters that send to it
		g.voters[message.GetFrom()] = from
	}
	if _, ok := g.voters[message.GetFrom()]; !ok && g.knowsCommitted { // the sender missed its removal
		node.send(from, frame{Kind: removedFrame, Group: f.Group, VoterID: message.GetFrom()})
		return
	}
	g.raftNode.Step(message) // an error is ignored: Raft tolerates lost messages
}

// processReady handles the group's Raft Ready states in the order that Raft requires: store, send, apply.
func (node *Node) processReady(g *group) {
	for g.raftNode.HasReady() && node.groups[g.number] == g {
		ready := g.raftNode.Ready()
		if ready.SoftState != nil {
			g.leads = ready.SoftState.RaftState == raft.StateLeader
			if host, ok := g.voters[ready.SoftState.Lead]; ok {
				node.leaders[g.number] = host
			}
			if !g.leads {
				g.knowsCommitted = false
				clear(g.remoteCommands)
			}
		}
		if !raft.IsEmptySnap(ready.Snapshot) {
			if err := g.restore(ready.Snapshot); err != nil {
				node.notice("group %d: restoring a snapshot: %v", g.number, err)
				delete(node.groups, g.number)
				return
			}
		}
		if len(ready.Entries) > 0 {
			if err := g.storage.Append(ready.Entries); err != nil {
				node.notice("group %d: %v", g.number, err)
				delete(node.groups, g.number)
				return
			}
		}
		if !raft.IsEmptyHardState(ready.HardState) {
			g.storage.SetHardState(ready.HardState)
		}
		for _, message := range ready.Messages {
			to, ok := g.voters[message.GetTo()]
			if !ok {
				continue
			}
			if data, err := proto.Marshal(message); err == nil {
				node.send(to, frame{Kind: raftFrame, Group: g.number, VoterID: message.GetTo(), Data: data})
			}
			if message.GetType() == raftpb.MsgSnap { // if it is lost, the leader's next probe detects that
				g.raftNode.ReportSnapshot(message.GetTo(), raft.SnapshotFinish)
			}
		}
		for _, entry := range ready.CommittedEntries {
			node.apply(g, entry)
		}
		g.raftNode.Advance(ready)
		node.takeSnapshot(g)
	}
}

// restore replaces the replica's state by that of a snapshot.
func (g *group) restore(snapshot *raftpb.Snapshot) error {
	var state groupState
	if err := cbor.Unmarshal(snapshot.GetData(), &state); err != nil {
		return err
	}
	if err := g.machine.Restore(state.State); err != nil {
		return err
	}
	clear(g.voters)
	for _, voter := range state.Voters {
		g.voters[voter.ID] = voter.Host
	}
	g.applied = snapshot.GetMetadata().GetIndex()
	g.snapshotIndex, g.configuration = g.applied, snapshot.GetMetadata().GetConfState()
	return g.storage.ApplySnapshot(snapshot)
}

// apply applies a committed entry: a change of voters, or a command, whose reply goes to its proposer.
func (node *Node) apply(g *group, entry *raftpb.Entry) {
	g.applied = entry.GetIndex()
	g.knowsCommitted = g.knowsCommitted || g.leads && entry.GetTerm() == g.raftNode.BasicStatus().GetTerm()
	switch entry.GetType() {
	case raftpb.EntryConfChangeV2:
		change := new(raftpb.ConfChangeV2)
		if err := proto.Unmarshal(entry.GetData(), change); err != nil {
			panic(err) // committed entries are valid; skipping one would make the replicas diverge
		}
		var voters []Voter
		if len(change.GetContext()) > 0 && cbor.Unmarshal(change.GetContext(), &voters) == nil {
			for _, voter := range voters {
				g.voters[voter.ID] = voter.Host
			}
		}
		g.configuration, g.isReconfigured = g.raftNode.ApplyConfChange(change), true
		for id, host := range g.voters { // a voter in neither the new nor the outgoing configuration has been removed
			if !slices.Contains(g.configuration.GetVoters(), id) && !slices.Contains(g.configuration.GetVotersOutgoing(), id) {
				delete(g.voters, id)
				if id == g.voterID {
					delete(node.groups, g.number)
				} else if g.leads {
					node.notice("group %d: the replica on %v is removed", g.number, host)
				}
			}
		}
		node.replicasOf[g.number] = node.replicasOf[g.number][:0]
		for _, id := range slices.Sorted(maps.Keys(g.voters)) {
			node.replicasOf[g.number] = append(node.replicasOf[g.number], g.voters[id])
		}
	case raftpb.EntryNormal:
		if len(entry.GetData()) == 0 {
			return // the empty entry that a new leader appends
		}
		var command logEntry
		if err := cbor.Unmarshal(entry.GetData(), &command); err != nil {
			panic(err)
		}
		reply := g.machine.Apply(command.Data)
		node.complete(command.ID, reply)
		if from, ok := g.remoteCommands[command.ID]; ok {
			delete(g.remoteCommands, command.ID)
			node.send(from, frame{Kind: resultFrame, ID: command.ID, Data: reply})
		}
	}
}

// takeSnapshot makes a snapshot after every SnapshotInterval entries and after each change of voters. It compacts the
// log up to a quarter of that interval before the snapshot.
func (node *Node) takeSnapshot(g *group) {
	if !g.isReconfigured && g.applied < g.snapshotIndex+node.config.SnapshotInterval || node.groups[g.number] != g {
		return
	}
	data, err := g.encodeState()
	if err == nil {
		_, err = g.storage.CreateSnapshot(g.applied, g.configuration, data)
	}
	if err == nil && g.applied > node.config.SnapshotInterval/4 {
		err = g.storage.Compact(g.applied - node.config.SnapshotInterval/4) // spares lagging replicas a snapshot
	}
	if err != nil && !errors.Is(err, raft.ErrCompacted) {
		node.notice("group %d: %v", g.number, err)
	}
	g.snapshotIndex, g.isReconfigured = g.applied, false
}
