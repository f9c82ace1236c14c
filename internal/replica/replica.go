// Package replica keeps copies of state machines on several dispatchers. A Host is one
// dispatcher's part: placement groups, each a Raft group (go.etcd.io/raft) on a few of
// them. Like the membership it has no I/O, clock or goroutine: frames, times and who is
// there go in, frames and results come out. This file owns who holds a copy of what,
// how the first copies are founded, how a lost one is replaced, and the way of a
// command to its group's leader and back. It must never let a copy vote with a memory
// that it hasn't got: each memory is a Place of its own, each seat in a group has a
// number that is given once, and nothing starts with a seat that it had before.
package replica

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"log"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// Place is a dispatcher with the memory that it has: after that is lost, Copy is another number.
type Place struct {
	_    struct{} `cbor:",toarray"`
	Name string
	Copy uint64
}

func (p Place) String() string { return fmt.Sprintf("%s.%x", p.Name, p.Copy) }

// Member is somebody who is there, as the membership's view and his own word say.
type Member struct {
	Place
	Zone    string
	Charter uint64 // that he has; 0: he is blank
	Leaving bool   // he gives his copies up
}

// Machine is what is copied. It must come to the same from the same commands.
type Machine interface {
	Apply(command []byte) (reply []byte)
	Look(question []byte) (answer []byte) // changes nothing, and may be behind
	Snapshot() ([]byte, error)
	Restore([]byte) error
}

// Config is what a host is told. Counts that are 0 get the default that New gives.
type Config struct {
	Self     Place
	Founders []string // by name; the first by order founds once all are there and blank
	Groups   int      // placement groups; fixed by the founding
	Copies   int      // of each group
	Machine  func(group int) Machine
	Seed     uint64
	Tick     time.Duration // Raft's; a leader is missed after 10 to 20 of them
	Compact  uint64        // entries between two snapshots
	Repair   int           // groups that are given another copy at a time, by this host
	Uncommit uint64        // bytes that wait for a quorum, a group; beyond, commands are turned away
}

// Charter is how the copies were founded. Whoever has another one belongs to another founding.
type Charter struct {
	_      struct{} `cbor:",toarray"`
	ID     uint64
	Groups int
	Copies int
	First  [][]Seat // of each group
}

// Seat is a voice in a group, given once.
type Seat struct {
	_     struct{} `cbor:",toarray"`
	ID    uint64
	Place Place
}

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

// Out is a frame for somebody.
type Out struct {
	To   Place
	Data []byte
}

// ErrUnsure is the result of a command that may or may not have been taken in.
var ErrUnsure = errors.New("replica: no quorum said in time what became of it")

// Result is what came of a command or a question.
type Result struct {
	Token uint64
	Data  []byte
	Err   error
}

// Actions are what follows from an event. They are valid until the next call.
type Actions struct {
	Send    []Out
	Results []Result
	Notices []string
}

// Host is one dispatcher's part. It is not safe for concurrent use.
type Host struct {
	cfg     Config
	rng     *rand.Rand
	now     time.Duration
	ticked  time.Duration
	checked time.Duration
	acts    Actions
	charter *Charter
	groups  map[int]*group
	used    map[uint64]bool // seats that were here once
	seen    map[string]Member
	quorum  bool
	lead    map[int]Place   // who leads a group, as far as is known
	where   map[int][]Place // who has a copy of it
	pending map[uint64]*pending
	apart   map[string]bool // whose other founding was told of
}

type pending struct {
	group    int
	data     []byte
	question bool
	until    time.Duration
	again    time.Duration
	tries    int
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

// New makes a host. It is blank until there is a charter.
func New(cfg Config, now time.Duration) (*Host, error) {
	cfg.Groups, cfg.Copies, cfg.Tick = cmp.Or(cfg.Groups, 16), cmp.Or(cfg.Copies, 3), cmp.Or(cfg.Tick, 50*time.Millisecond)
	cfg.Compact, cfg.Repair, cfg.Uncommit = cmp.Or(cfg.Compact, 2000), cmp.Or(cfg.Repair, 2), cmp.Or(cfg.Uncommit, 4<<20)
	if cfg.Self.Name == "" || cfg.Self.Copy == 0 || cfg.Machine == nil || cfg.Groups < 1 || cfg.Groups > 1<<12 || cfg.Copies < 1 || cfg.Copies > 9 {
		return nil, errors.New("replica: a name, a copy, a machine, 1 to 4096 groups and 1 to 9 copies are needed")
	}
	return &Host{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, cfg.Self.Copy)), now: now, ticked: now, checked: now, groups: map[int]*group{},
		used: map[uint64]bool{}, seen: map[string]Member{}, lead: map[int]Place{}, where: map[int][]Place{}, apart: map[string]bool{}, pending: map[uint64]*pending{}}, nil
}

// begin starts an event; end gives what follows from it.
func (h *Host) begin(now time.Duration) {
	h.now = max(now, h.now)
	h.acts = Actions{Send: h.acts.Send[:0], Results: h.acts.Results[:0], Notices: h.acts.Notices[:0]}
}

func (h *Host) end() *Actions {
	for _, n := range h.numbers() {
		if g := h.groups[n]; g != nil {
			h.ready(g)
		}
	}
	return &h.acts
}

func (h *Host) numbers() []int {
	out := make([]int, 0, len(h.groups))
	for n := range h.groups {
		out = append(out, n)
	}
	slices.Sort(out)
	return out
}

func (h *Host) notice(format string, v ...any) {
	h.acts.Notices = append(h.acts.Notices, fmt.Sprintf(format, v...))
}

func (h *Host) send(to Place, f frame) {
	f.For, f.Of = to.Copy, h.Charter()
	data, err := cbor.Marshal(f)
	if err != nil {
		panic(err) // nothing in a frame can fail
	}
	h.acts.Send = append(h.acts.Send, Out{to, data})
}

// Charter is the number of the founding that this host belongs to; 0: none yet.
func (h *Host) Charter() uint64 {
	if h.charter == nil {
		return 0
	}
	return h.charter.ID
}

// Ready tells whether this host may bring commands in.
func (h *Host) Ready() bool { return h.charter != nil && h.quorum }

// Groups is the number of groups, 0 before the founding.
func (h *Host) Groups() int {
	if h.charter == nil {
		return 0
	}
	return h.charter.Groups
}

// Group is that of a key, alike at all.
func (h *Host) Group(key string) int {
	return int(xxhash.Sum64String(key) % uint64(max(h.Groups(), 1)))
}

// Machine is this host's own copy of a group, and whether it leads there.
func (h *Host) Machine(n int) (m Machine, leads bool) {
	if g := h.groups[n]; g != nil {
		return g.machine, g.leads
	}
	return nil, false
}

// See takes in who is there: the members of a stable view that have said which memory they have.
func (h *Host) See(now time.Duration, members []Member, quorum bool) *Actions {
	h.begin(now)
	h.quorum = quorum
	clear(h.seen)
	for _, m := range members {
		h.seen[m.Name] = m
		if h.charter != nil && m.Charter == 0 && m.Name != h.cfg.Self.Name {
			h.send(m.Place, frame{Kind: charterWord, Data: h.charter.bytes()})
		}
	}
	h.found()
	return h.end()
}

// found makes the charter, where this host is the one to do it and all are there and blank.
func (h *Host) found() {
	if h.charter != nil || !h.quorum || len(h.cfg.Founders) == 0 || h.cfg.Self.Name != slices.Min(h.cfg.Founders) {
		return
	}
	var all []Member
	for _, name := range h.cfg.Founders {
		m, ok := h.seen[name]
		if !ok || m.Charter != 0 {
			return
		}
		all = append(all, m)
	}
	c := &Charter{ID: h.rng.Uint64() | 1, Groups: h.cfg.Groups, Copies: min(h.cfg.Copies, len(all))}
	for n := range c.Groups {
		var seats []Seat
		for _, m := range spread(n, all, nil, c.Copies) {
			seats = append(seats, Seat{ID: h.rng.Uint64() | 1, Place: m.Place})
		}
		c.First = append(c.First, seats)
	}
	h.notice("founded: charter %x, %d groups of %d copies", c.ID, c.Groups, c.Copies)
	h.install(c)
	for _, m := range all {
		if m.Name != h.cfg.Self.Name {
			h.send(m.Place, frame{Kind: charterWord, Data: c.bytes()})
		}
	}
}

func (c *Charter) bytes() []byte {
	data, err := cbor.Marshal(c)
	if err != nil {
		panic(err)
	}
	return data
}

// spread chooses members for a group by rendezvous, one zone after the other as long as there are more: those that
// stay have their zones taken.
func spread(n int, members []Member, stay []Member, count int) []Member {
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

// install takes a charter in. What this place has a seat in by it begins here, once.
func (h *Host) install(c *Charter) {
	h.charter = c
	for n, seats := range c.First {
		first := make(map[uint64]Place, len(seats))
		voters := make([]uint64, 0, len(seats))
		mine := uint64(0)
		for _, s := range seats {
			first[s.ID], voters = s.Place, append(voters, s.ID)
			h.where[n] = append(h.where[n], s.Place)
			if s.Place == h.cfg.Self {
				mine = s.ID
			}
		}
		if mine == 0 || h.used[mine] {
			continue
		}
		g := h.open(n, mine)
		g.seats = first
		data, err := g.picture()
		if err == nil {
			err = g.store.ApplySnapshot(&raftpb.Snapshot{Data: data, Metadata: &raftpb.SnapshotMetadata{Index: proto.Uint64(1), Term: proto.Uint64(1),
				ConfState: &raftpb.ConfState{Voters: voters}}})
		}
		g.applied, g.snapped, g.conf = 1, 1, &raftpb.ConfState{Voters: voters}
		if err == nil {
			err = h.run(g)
		}
		if err != nil {
			h.notice("group %d cannot begin: %v", n, err)
		}
	}
}

func (h *Host) open(n int, seat uint64) *group {
	h.used[seat] = true
	return &group{number: n, seat: seat, store: raft.NewMemoryStorage(), machine: h.cfg.Machine(n), seats: map[uint64]Place{}, conf: &raftpb.ConfState{},
		remote: map[uint64]Place{}}
}

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

// Tick lets time pass.
func (h *Host) Tick(now time.Duration) *Actions {
	h.begin(now)
	steps := 0
	for ; h.now >= h.ticked+h.cfg.Tick; h.ticked += h.cfg.Tick {
		if steps++; steps <= 3 { // a host that stood still does not run for office at once
			for _, n := range h.numbers() {
				h.groups[n].raw.Tick()
			}
		}
	}
	for _, id := range slices.Sorted(maps.Keys(h.pending)) {
		if p := h.pending[id]; h.now >= p.until {
			delete(h.pending, id)
			h.acts.Results = append(h.acts.Results, Result{Token: id, Err: ErrUnsure})
		} else if h.now >= p.again {
			h.carry(id, p)
		}
	}
	if h.now >= h.checked+10*h.cfg.Tick {
		h.checked = h.now
		h.found()
		h.repair()
	}
	return h.end()
}

// repair replaces copies that are lost in the groups that this host leads, a few at a time.
func (h *Host) repair() {
	if !h.quorum || h.charter == nil {
		return
	}
	busy := 0
	for _, n := range h.numbers() {
		g := h.groups[n]
		if !g.leads || busy >= h.cfg.Repair {
			continue
		}
		if len(g.conf.GetVotersOutgoing()) > 0 { // a change is under way
			busy++
			continue
		}
		var stay []Member
		var lost, leaving []uint64
		for _, id := range slices.Sorted(maps.Keys(g.seats)) {
			p := g.seats[id]
			switch m, ok := h.seen[p.Name]; {
			case !ok || m.Copy != p.Copy:
				lost = append(lost, id)
			case m.Leaving:
				leaving = append(leaving, id)
			default:
				stay = append(stay, m)
			}
		}
		if lost = append(lost, leaving...); slices.Contains(leaving, g.seat) { // another leads, and goes on with this
			if h.now >= g.handed+30*h.cfg.Tick { // commands are turned away while it is tried
				g.handed = h.now
				h.hand(g, lost)
			}
			continue
		}
		var free []Member
		for _, m := range h.seen {
			if m.Charter == h.charter.ID && !m.Leaving && !slices.ContainsFunc(stay, func(s Member) bool { return s.Name == m.Name }) {
				free = append(free, m)
			}
		}
		want := h.charter.Copies - len(stay)
		fresh := spread(n, free, stay, max(want, 0))
		var changes []*raftpb.ConfChangeSingle
		var seats []Seat
		for _, m := range fresh[:min(len(fresh), 1)] { // one at a time: what there is stays a majority
			s := Seat{ID: h.rng.Uint64() | 1, Place: m.Place}
			seats = append(seats, s)
			changes = append(changes, &raftpb.ConfChangeSingle{Type: raftpb.ConfChangeAddNode.Enum(), NodeId: proto.Uint64(s.ID)})
		}
		if len(lost) > 0 && (len(seats) > 0 || len(g.seats) > h.charter.Copies) {
			changes = append(changes, &raftpb.ConfChangeSingle{Type: raftpb.ConfChangeRemoveNode.Enum(), NodeId: proto.Uint64(lost[0])})
		}
		if len(changes) == 0 {
			continue
		}
		context, err := cbor.Marshal(seats)
		if err == nil {
			err = g.raw.ProposeConfChange(&raftpb.ConfChangeV2{Transition: raftpb.ConfChangeTransitionJointImplicit.Enum(), Changes: changes, Context: context})
		}
		if err == nil {
			busy++
		}
	}
}

// hand gives the lead of a group to the copy that is furthest among those that stay. Whether it has answered lately is not asked:
// Raft forgets that at the very tick at which this is called.
func (h *Host) hand(g *group, lost []uint64) {
	best, match := uint64(0), uint64(0)
	for id, pr := range g.raw.Status().Progress {
		if id != g.seat && !slices.Contains(lost, id) && (best == 0 || pr.Match > match || pr.Match == match && id < best) {
			best, match = id, pr.Match
		}
	}
	if best != 0 {
		g.raw.TransferLeader(best)
	}
}

// Propose brings a command to its group. Its result comes by the token: a reply, or ErrUnsure at the deadline.
func (h *Host) Propose(now time.Duration, group int, command []byte, until time.Duration) (uint64, *Actions) {
	return h.ask(now, &pending{group: group, data: command, until: until})
}

// Look brings a question to some copy of a group. The answer may be behind.
func (h *Host) Look(now time.Duration, group int, question []byte, until time.Duration) (uint64, *Actions) {
	return h.ask(now, &pending{group: group, data: question, until: until, question: true})
}

func (h *Host) ask(now time.Duration, p *pending) (uint64, *Actions) {
	h.begin(now)
	id := h.rng.Uint64() | 1
	h.pending[id] = p
	h.carry(id, p)
	return id, h.end()
}

// Drop gives a command up: no result comes of it any more.
func (h *Host) Drop(token uint64) { delete(h.pending, token) }

// carry sends a command on its way, or once more.
func (h *Host) carry(id uint64, p *pending) {
	p.again = h.now + 4*h.cfg.Tick
	p.tries++
	g := h.groups[p.group]
	if g != nil && p.question && g.raw.BasicStatus().Lead != 0 { // a copy that hears no leader may have been given up long ago
		h.settle(id, g.machine.Look(p.data))
		return
	} else if g != nil && g.leads {
		h.enter(g, id, p.data)
		return
	}
	to, ok := h.lead[p.group]
	if !ok || p.tries > 1 { // by turns: whoever has a copy knows who leads
		to, ok = h.guess(p.group, p.tries)
	}
	if ok {
		kind := propose
		if p.question {
			kind = look
		}
		h.send(to, frame{Kind: kind, Group: p.group, ID: id, Data: p.data})
	}
}

// guess is somebody who may have a copy of a group.
func (h *Host) guess(n, try int) (Place, bool) {
	var to []Place
	for _, p := range h.where[n] {
		if m, ok := h.seen[p.Name]; ok && m.Copy == p.Copy && p != h.cfg.Self {
			to = append(to, p)
		}
	}
	if len(to) == 0 || try%4 == 0 {
		to = to[:0]
		for _, name := range slices.Sorted(maps.Keys(h.seen)) {
			if m := h.seen[name]; m.Place != h.cfg.Self {
				to = append(to, m.Place)
			}
		}
	}
	if len(to) == 0 {
		return Place{}, false
	}
	return to[try%len(to)], true
}

// enter gives a command to the group that this host leads.
func (h *Host) enter(g *group, id uint64, command []byte) {
	data, err := cbor.Marshal(entry{ID: id, Data: command})
	if err != nil {
		panic(err)
	}
	if g.raw.Propose(data) != nil {
		delete(g.remote, id) // it comes again
	}
}

func (h *Host) settle(id uint64, reply []byte) {
	if h.pending[id] != nil {
		delete(h.pending, id)
		h.acts.Results = append(h.acts.Results, Result{Token: id, Data: reply})
	}
}

// Hear takes a frame in. From is who the carrier says sent it.
func (h *Host) Hear(now time.Duration, from Place, data []byte) *Actions {
	h.begin(now)
	var f frame
	if err := cbor.Unmarshal(data, &f); err != nil || f.For != h.cfg.Self.Copy {
		return h.end()
	}
	if f.Of != h.Charter() && (f.Kind != charterWord || h.charter != nil) {
		if f.Of != 0 && h.charter != nil && !h.apart[from.Name] { // two foundings: their operators' files named others
			h.apart[from.Name] = true
			h.notice("apart: %v belongs to another founding, %x; this one to %x", from, f.Of, h.charter.ID)
		}
		return h.end()
	}
	g := h.groups[f.Group]
	switch f.Kind {
	case charterWord:
		var c Charter
		if cbor.Unmarshal(f.Data, &c) == nil && c.ID == f.Of && c.Groups > 0 && len(c.First) == c.Groups {
			h.install(&c)
		}
	case gone:
		if g != nil && g.seat == f.Seat {
			delete(h.groups, f.Group)
		}
	case raftFrame:
		h.raft(from, f)
	case propose:
		if g != nil && g.leads {
			g.remote[f.ID] = from
			h.enter(g, f.ID, f.Data)
			break
		}
		h.redirect(from, f, g)
	case look:
		if g != nil && g.raw.BasicStatus().Lead != 0 {
			h.send(from, frame{Kind: looked, ID: f.ID, Data: g.machine.Look(f.Data)})
			break
		}
		h.redirect(from, f, g)
	case result, looked:
		h.settle(f.ID, f.Data)
	case redirect:
		p := h.pending[f.ID]
		if p == nil || p.group != f.Group || len(f.Seats) == 0 {
			break
		}
		h.where[f.Group] = h.where[f.Group][:0]
		for _, s := range f.Seats {
			h.where[f.Group] = append(h.where[f.Group], s.Place)
		}
		if h.lead[f.Group] = f.Seats[0].Place; p.tries < 8 && f.Seats[0].Place != from && f.Seat != 0 {
			p.tries = 0
			h.carry(f.ID, p)
			p.tries = 8 // after that by turns, and not at once
		}
	}
	return h.end()
}

// redirect tells somebody who has a copy of a group, who leads first.
func (h *Host) redirect(to Place, f frame, g *group) {
	out := frame{Kind: redirect, Group: f.Group, ID: f.ID}
	if g != nil {
		lead := g.raw.BasicStatus().Lead
		if p, ok := g.seats[lead]; ok {
			out.Seat, out.Seats = lead, append(out.Seats, Seat{ID: lead, Place: p})
		}
		for _, id := range slices.Sorted(maps.Keys(g.seats)) {
			if id != lead {
				out.Seats = append(out.Seats, Seat{ID: id, Place: g.seats[id]})
			}
		}
	} else {
		for _, p := range h.where[f.Group] {
			out.Seats = append(out.Seats, Seat{Place: p})
		}
	}
	h.send(to, out)
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

// Seen is a group as this host knows it.
type Seen struct {
	Group  int      `json:"group"`
	Leads  bool     `json:"leads"`
	Leader string   `json:"leader"`
	Term   uint64   `json:"term"`
	Index  uint64   `json:"index"`
	Copies []string `json:"copies"` // name.memory, and how many entries each is behind where this host leads
	Behind []uint64 `json:"behind,omitempty"`
	Lost   int      `json:"lost"` // copies whose place is not there
}

// Moved tells whether this host, which leaves, has no copy that somebody else should get first: every one is given up, or
// nobody is left to get it and the other copies are all there.
func (h *Host) Moved() bool {
	if h.charter == nil || !h.quorum {
		return true
	}
	for _, g := range h.groups {
		spare, lost := false, false
		for _, m := range h.seen {
			spare = spare || !m.Leaving && m.Charter == h.charter.ID && !slices.ContainsFunc(slices.Collect(maps.Values(g.seats)), func(p Place) bool { return p.Name == m.Name })
		}
		for id, p := range g.seats {
			m, ok := h.seen[p.Name]
			lost = lost || id != g.seat && (!ok || m.Copy != p.Copy)
		}
		if spare || lost {
			return false
		}
	}
	return true
}

// Status is of the groups that have a copy here.
func (h *Host) Status() (out []Seen) {
	for _, n := range h.numbers() {
		g := h.groups[n]
		st := g.raw.Status()
		s := Seen{Group: n, Leads: g.leads, Leader: g.seats[st.Lead].Name, Term: st.GetTerm(), Index: g.applied}
		for _, id := range slices.Sorted(maps.Keys(g.seats)) {
			p := g.seats[id]
			s.Copies = append(s.Copies, p.String())
			if m, ok := h.seen[p.Name]; !ok || m.Copy != p.Copy {
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
