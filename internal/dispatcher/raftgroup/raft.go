// The raft group of one copy: frames, logs, snapshots and applied commands.

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
	raftFrame   frameKind = iota + 1 // Group, Seat, For, Data
	propose                          // Group, ID, Data: a command
	result                           // ID, Data: its reply
	redirect                         // Group, ID, Seats: ask one of these; the first leads, if Seat is his
	charterWord                      // Data
	look                             // Group, ID, Data: a question
	looked                           // ID, Data; redirect where there is no copy
	gone                             // Group, Seat: that seat was given up
)

type frame struct {
	_     struct{} `cbor:",toarray"`
	Kind  frameKind
	Group int
	Of    uint64 // the sender's charter: what belongs to another founding is not taken in
	For   uint64 // copy that it is meant for
	Seat  uint64
	ID    uint64
	Data  []byte
	Seats []Seat
}

type entry struct {
	_    struct{} `cbor:",toarray"`
	ID   uint64
	Data []byte
}

// group is this host's copy of one.
type group struct {
	number  int
	seat    uint64
	raw     *raft.RawNode
	store   *raft.MemoryStorage
	machine Machine
	seats   map[uint64]Place
	conf    *raftpb.ConfState
	applied uint64
	snapped uint64
	changed bool // its seats, since the last snapshot: whoever is new starts from one that has him
	leads   bool
	settled bool             // it leads, and has applied an entry of its own term: it knows every change of seats that stands
	handed  time.Duration    // when its lead was last offered to another copy
	remote  map[uint64]Place // whose command it is, while it is under way
}

// picture is the state of a group as a snapshot has it.
type picture struct {
	_     struct{} `cbor:",toarray"`
	Seats []Seat
	State []byte
}

var quiet = &raft.DefaultLogger{Logger: log.New(io.Discard, "", 0)}

// run starts the Raft node of a group and puts it in the place of what was there.
func (h *Host) run(g *group) (err error) {
	g.raw, err = raft.NewRawNode(&raft.Config{ID: g.seat, ElectionTick: 10, HeartbeatTick: 2, Storage: g.store, Applied: g.applied,
		MaxSizePerMsg: 64 << 10, MaxInflightMsgs: 128, MaxUncommittedEntriesSize: h.cfg.Uncommit, CheckQuorum: true, PreVote: true,
		DisableProposalForwarding: true, StepDownOnRemoval: true, Logger: quiet})
	if err == nil {
		h.groups[g.number] = g
	}
	return err
}

// picture is the whole state of a group.
func (g *group) picture() ([]byte, error) {
	p := picture{}
	for _, id := range slices.Sorted(maps.Keys(g.seats)) {
		p.Seats = append(p.Seats, Seat{ID: id, Place: g.seats[id]})
	}
	var err error
	if p.State, err = g.machine.Snapshot(); err != nil {
		return nil, err
	}
	return cbor.Marshal(p)
}

// raft gives a message to the copy with the seat that it is for. A seat that is new begins empty; one that was here once
// and is gone never comes back.
func (h *Host) raft(from Place, f frame) {
	m := new(raftpb.Message)
	if proto.Unmarshal(f.Data, m) != nil || m.GetTo() != f.Seat {
		return
	}
	g := h.groups[f.Group]
	if g == nil || g.seat != f.Seat {
		if h.used[f.Seat] || h.charter == nil || f.Group < 0 || f.Group >= h.charter.Groups {
			return
		}
		fresh := h.open(f.Group, f.Seat)
		if err := h.run(fresh); err != nil {
			h.notice("group %d: %v", f.Group, err)
			return
		}
		g = fresh
	}
	if g.applied == 0 { // it has no snapshot yet, and knows nobody but who speaks to it
		g.seats[m.GetFrom()] = from
	}
	if _, ok := g.seats[m.GetFrom()]; !ok && g.settled { // it missed that it was given up
		h.send(from, frame{Kind: gone, Group: f.Group, Seat: m.GetFrom()})
		return
	}
	g.raw.Step(m) // what cannot be taken in is as good as lost
}

// ready carries out what a group's Raft node asks for, in its order: kept first, then sent, then applied.
func (h *Host) ready(g *group) {
	for g.raw.HasReady() && h.groups[g.number] == g {
		rd := g.raw.Ready()
		if rd.SoftState != nil {
			g.leads = rd.SoftState.RaftState == raft.StateLeader
			if p, ok := g.seats[rd.SoftState.Lead]; ok {
				h.lead[g.number] = p
			}
			if !g.leads {
				g.settled = false
				clear(g.remote)
			}
		}
		if !raft.IsEmptySnap(rd.Snapshot) {
			if err := g.restore(rd.Snapshot); err != nil {
				h.notice("group %d: a snapshot that cannot be taken in: %v", g.number, err)
				delete(h.groups, g.number)
				return
			}
		}
		if len(rd.Entries) > 0 {
			if err := g.store.Append(rd.Entries); err != nil {
				h.notice("group %d: %v", g.number, err)
				delete(h.groups, g.number)
				return
			}
		}
		if !raft.IsEmptyHardState(rd.HardState) {
			g.store.SetHardState(rd.HardState)
		}
		for _, m := range rd.Messages {
			to, ok := g.seats[m.GetTo()]
			if !ok {
				continue
			}
			if data, err := proto.Marshal(m); err == nil {
				h.send(to, frame{Kind: raftFrame, Group: g.number, Seat: m.GetTo(), Data: data})
			}
			if m.GetType() == raftpb.MsgSnap { // if it is lost, the next probe shows it
				g.raw.ReportSnapshot(m.GetTo(), raft.SnapshotFinish)
			}
		}
		for _, e := range rd.CommittedEntries {
			h.apply(g, e)
		}
		g.raw.Advance(rd)
		h.compact(g)
	}
}

func (g *group) restore(s *raftpb.Snapshot) error {
	var p picture
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
	g.snapped, g.conf = g.applied, s.GetMetadata().GetConfState()
	return g.store.ApplySnapshot(s)
}

func (h *Host) apply(g *group, e *raftpb.Entry) {
	g.applied = e.GetIndex()
	g.settled = g.settled || g.leads && e.GetTerm() == g.raw.BasicStatus().GetTerm()
	switch e.GetType() {
	case raftpb.EntryConfChangeV2:
		cc := new(raftpb.ConfChangeV2)
		if err := proto.Unmarshal(e.GetData(), cc); err != nil {
			panic(err) // a quorum agreed on it
		}
		var seats []Seat
		if len(cc.GetContext()) > 0 && cbor.Unmarshal(cc.GetContext(), &seats) == nil {
			for _, s := range seats {
				g.seats[s.ID] = s.Place
			}
		}
		g.conf, g.changed = g.raw.ApplyConfChange(cc), true
		for id, p := range g.seats { // who is in neither configuration has gone
			if !slices.Contains(g.conf.GetVoters(), id) && !slices.Contains(g.conf.GetVotersOutgoing(), id) {
				delete(g.seats, id)
				if id == g.seat {
					delete(h.groups, g.number)
				} else if g.leads {
					h.notice("group %d: the copy at %v is given up", g.number, p)
				}
			}
		}
		h.where[g.number] = h.where[g.number][:0]
		for _, id := range slices.Sorted(maps.Keys(g.seats)) {
			h.where[g.number] = append(h.where[g.number], g.seats[id])
		}
	case raftpb.EntryNormal:
		if len(e.GetData()) == 0 {
			return // a leader's first
		}
		var x entry
		if err := cbor.Unmarshal(e.GetData(), &x); err != nil {
			panic(err)
		}
		reply := g.machine.Apply(x.Data)
		h.settle(x.ID, reply)
		if from, ok := g.remote[x.ID]; ok {
			delete(g.remote, x.ID)
			h.send(from, frame{Kind: result, ID: x.ID, Data: reply})
		}
	}
}

// compact makes a snapshot now and then and drops most of what it stands for.
func (h *Host) compact(g *group) {
	if !g.changed && g.applied < g.snapped+h.cfg.Compact || h.groups[g.number] != g {
		return
	}
	data, err := g.picture()
	if err == nil {
		_, err = g.store.CreateSnapshot(g.applied, g.conf, data)
	}
	if err == nil && g.applied > h.cfg.Compact/4 {
		err = g.store.Compact(g.applied - h.cfg.Compact/4) // a copy that is a little behind needs no snapshot
	}
	if err != nil && !errors.Is(err, raft.ErrCompacted) {
		h.notice("group %d: %v", g.number, err)
	}
	g.snapped, g.changed = g.applied, false
}
