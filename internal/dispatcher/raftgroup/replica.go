// Package raftgroup keeps copies of state machines on several dispatchers. A Host is one
// dispatcher's part: placement groups, each a Raft group (go.etcd.io/raft) on a few of
// them. Like the membership it has no I/O, clock or goroutine: frames, times and who is
// there go in, frames and results come out. This file owns who holds a copy of what,
// how the first copies are founded, how a lost one is replaced, and the way of a
// command to its group's leader and back. It must never let a copy vote with a memory
// that it hasn't got: each memory is a Place of its own, each seat in a group has a
// number that is given once, and nothing starts with a seat that it had before.
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

// Place is a dispatcher with the memory that it has: after that is lost, Copy is another number.
type Place struct {
	_    struct{} `cbor:",toarray"`
	Name string
	Copy uint64
}

// String returns the dispatcher's name and the number of its copy.
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

// Out is a frame for somebody.
type Out struct {
	To   Place
	Data []byte
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
