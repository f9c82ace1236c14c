// The charter: which copies hold which group, and how it changes.

package raftgroup

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

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

// Charter is the number of the founding that this host belongs to; 0: none yet.
func (h *Host) Charter() uint64 {
	if h.charter == nil {
		return 0
	}
	return h.charter.ID
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
