// Hosts in a network of the test's own, in virtual time: frames are lost, late, doubled and cut off, hosts are killed with all
// their memory, stopped, and started again. Raft draws its election times from the system's randomness, so that two runs
// differ in their order; what must hold is looked at in every copy and at every step, and does not hang on the order.

package raftgroup_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gladepick/internal/dispatcher/raftgroup"
	"gladepick/internal/priorityqueue"
)

// list is the machine that is copied: every command it was given, in order.
type list struct {
	play  *play
	group int
	items []string
}

func (l *list) Apply(c []byte) []byte {
	l.items = append(l.items, string(c))
	l.play.applied(l)
	return fmt.Append(nil, len(l.items))
}
func (l *list) Query([]byte) []byte { return fmt.Append(nil, len(l.items)) }
func (l *list) Snapshot() ([]byte, error) {
	var out []byte
	for _, s := range l.items {
		out = append(append(out, s...), 0)
	}
	return out, nil
}
func (l *list) Restore(data []byte) error {
	l.items = nil
	for len(data) > 0 {
		i := slices.Index(data, 0)
		l.items, data = append(l.items, string(data[:i])), data[i+1:]
	}
	l.play.applied(l)
	return nil
}

type host struct {
	*raftgroup.Node
	place   raftgroup.NodeID
	zone    string
	up      bool
	stopped time.Duration
	leaving bool
	waiting []mail
}

type mail struct {
	from raftgroup.NodeID
	data []byte
}

type event struct {
	at    time.Duration
	order int
	do    func()
}

// Before tells whether the event comes first; events of one moment come in the order in which they were set.
func (e event) Before(other event) bool {
	return e.at < other.at || e.at == other.at && e.order < other.order
}

type play struct {
	t      *testing.T
	rng    *rand.Rand
	now    time.Duration
	queue  priorityqueue.Queue[event]
	order  int
	hosts  []*host
	loss   float64
	cut    map[[2]int]bool
	stands map[int][]string // of each group, what was applied somewhere, by place
	told   map[string]int   // commands that had a reply: their group
	asked  int
	unsure int
	broken string
	relive bool // a seeded fault: who comes back without its memory says that it is the same as before
}

// applied holds a copy against what others have.
func (p *play) applied(l *list) {
	have := p.stands[l.group]
	for i, c := range l.items {
		if i >= len(have) {
			have = append(have, c)
		} else if have[i] != c && p.broken == "" {
			p.broken = fmt.Sprintf("%v: group %d has %q in place %d at one copy and %q at another", p.now, l.group, c, i, have[i])
		}
	}
	p.stands[l.group] = have
}

func newPlay(t *testing.T, n int, seed uint64) *play {
	p := &play{t: t, rng: rand.New(rand.NewPCG(seed, 7)), cut: map[[2]int]bool{}, stands: map[int][]string{}, told: map[string]int{}}
	for i := range n {
		p.hosts = append(p.hosts, &host{place: raftgroup.NodeID{Name: fmt.Sprintf("n%d", i)}, zone: fmt.Sprintf("z%d", i%3)})
		p.start(i)
	}
	p.every(10*time.Millisecond, func() {
		for _, h := range p.hosts {
			if h.up && p.now >= h.stopped {
				for _, m := range h.waiting {
					p.do(h, h.HandleFrame(p.now, m.from, m.data))
				}
				h.waiting = nil
				p.do(h, h.Tick(p.now))
			}
		}
	})
	p.every(200*time.Millisecond, p.view)
	return p
}

func (p *play) at(d time.Duration, do func()) {
	p.order++
	p.queue.Push(event{p.now + d, p.order, do})
}

func (p *play) every(d time.Duration, do func()) {
	p.at(d, func() { do(); p.every(d, do) })
}

func (p *play) run(d time.Duration) {
	until := p.now + d
	for p.queue[0].at <= until {
		e := p.queue.Pop()
		p.now = e.at
		e.do()
	}
	p.now = until
}

func (p *play) start(i int) {
	h := p.hosts[i]
	if h.place.Memory == 0 || !p.relive {
		h.place.Memory = p.rng.Uint64() | 1
	}
	var names []string
	for _, x := range p.hosts {
		names = append(names, x.place.Name)
	}
	for k := len(names); k < 5; k++ {
		names = append(names, fmt.Sprintf("n%d", k))
	}
	var err error
	h.Node, err = raftgroup.New(raftgroup.Config{Self: h.place, Founders: names[:5], Groups: 4, SnapshotInterval: 40, Seed: p.rng.Uint64(),
		NewStateMachine: func(g int) raftgroup.StateMachine { return &list{play: p, group: g} }}, p.now)
	if err != nil {
		p.t.Fatal(err)
	}
	h.up, h.stopped, h.waiting, h.leaving = true, 0, nil, false
}

// view tells every host who is there: as the membership would, those that are up and not cut off from most.
func (p *play) view() {
	for i, h := range p.hosts {
		if !h.up || p.now < h.stopped {
			continue
		}
		var there []raftgroup.Member
		for k, x := range p.hosts {
			if x.up && !p.cut[[2]int{i, k}] && !p.cut[[2]int{k, i}] {
				there = append(there, raftgroup.Member{NodeID: x.place, Zone: x.zone, Assignment: x.AssignmentID(), Leaving: x.leaving})
			}
		}
		p.do(h, h.SetMembers(p.now, there, 2*len(there) > len(p.hosts)))
	}
}

func (p *play) do(h *host, acts *raftgroup.Actions) {
	from := slices.Index(p.hosts, h)
	for _, o := range acts.Send {
		to := slices.IndexFunc(p.hosts, func(x *host) bool { return x.place.Name == o.To.Name })
		if p.cut[[2]int{from, to}] || p.rng.Float64() < p.loss {
			continue
		}
		data, place := slices.Clone(o.Data), h.place
		for copies := 1 + p.rng.IntN(20)/19; copies > 0; copies-- {
			p.at(time.Millisecond+time.Duration(p.rng.Int64N(int64(4*time.Millisecond))), func() {
				if x := p.hosts[to]; x.up && p.now >= x.stopped {
					p.do(x, x.HandleFrame(p.now, place, data))
				} else if x.up && len(x.waiting) < 500 {
					x.waiting = append(x.waiting, mail{place, data})
				}
			})
		}
	}
	for _, r := range acts.Results {
		if f := asks[r.Token]; f != nil {
			delete(asks, r.Token)
			f(r)
		}
	}
}

var asks = map[uint64]func(raftgroup.Result){}

// load brings commands in at random hosts, one each few milliseconds.
func (p *play) load(for_ time.Duration) {
	end := p.now + for_
	var next func()
	next = func() {
		if p.now >= end {
			return
		}
		p.at(time.Duration(1+p.rng.IntN(30))*time.Millisecond, next)
		h := p.hosts[p.rng.IntN(len(p.hosts))]
		if !h.up || p.now < h.stopped || !h.Ready() {
			return
		}
		p.asked++
		word := fmt.Sprintf("c%d", p.asked)
		g := h.GroupOf(word)
		token, acts := h.Propose(p.now, g, []byte(word), p.now+2*time.Second)
		asks[token] = func(r raftgroup.Result) {
			if r.Err != nil {
				p.unsure++
			} else {
				p.told[word] = g
			}
		}
		p.do(h, acts)
	}
	next()
}

// check looks for commands that had a reply and stand nowhere, and tells how many of the groups have all their copies.
func (p *play) check() (whole int) {
	for word, g := range p.told {
		if !slices.Contains(p.stands[g], word) && p.broken == "" {
			p.broken = fmt.Sprintf("%s of group %d had a reply and stands nowhere", word, g)
		}
	}
	for g := range 4 {
		longest := 0
		for _, h := range p.hosts {
			if m, _ := h.StateMachine(g); h.up && m != nil {
				longest = max(longest, len(m.(*list).items))
			}
		}
		copies := 0
		for _, h := range p.hosts {
			if m, _ := h.StateMachine(g); h.up && m != nil && len(m.(*list).items) == longest {
				copies++
			}
		}
		if copies >= 3 && longest == len(p.stands[g]) {
			whole++
		}
	}
	return whole
}

// Hosts die one after the other with all they know, are cut off, stopped and come back, five and nine of them.
func TestCopiesOutliveTheirPlaces(t *testing.T) {
	for seed := range uint64(6) {
		p := newPlay(t, 5+4*int(seed%2), seed)
		p.run(3 * time.Second)
		if !p.hosts[0].Ready() || p.hosts[4].Groups() != 4 {
			t.Fatalf("seed %d: not founded after 3 s", seed)
		}
		p.load(40 * time.Second)
		for range 6 {
			i := p.rng.IntN(len(p.hosts))
			switch p.rng.IntN(4) {
			case 0:
				p.hosts[i].up = false
				p.run(time.Duration(1+p.rng.IntN(3)) * time.Second)
				p.start(i)
			case 1:
				p.hosts[i].stopped = p.now + 3*time.Second
				p.run(4 * time.Second)
			case 2:
				for k := range p.hosts {
					p.cut[[2]int{i, k}], p.cut[[2]int{k, i}] = k != i, k != i && p.rng.IntN(2) == 0
				}
				p.run(3 * time.Second)
				clear(p.cut)
			case 3:
				p.loss = 0.2
				p.run(3 * time.Second)
				p.loss = 0
			}
			p.run(3 * time.Second) // the copies are restored: then another may go
		}
		p.run(30 * time.Second)
		whole := p.check()
		if p.broken != "" || whole < 4 || len(p.told) < p.asked/2 {
			t.Errorf("seed %d: %s; %d of 4 groups whole, %d of %d commands had a reply, %d unsure", seed, p.broken, whole, len(p.told), p.asked, p.unsure)
		}
	}
}

// Who leaves gives its copies up first: all hosts are restarted one after the other, and no command is lost though every
// memory that was there at the founding has gone.
func TestLeavingGivesCopiesUp(t *testing.T) {
	p := newPlay(t, 5, 11)
	p.run(3 * time.Second)
	p.load(60 * time.Second)
	for i := range p.hosts {
		p.hosts[i].leaving = true
		for k := 0; k < 100 && !p.hosts[i].IsEvacuated(); k++ {
			p.run(200 * time.Millisecond)
		}
		if !p.hosts[i].IsEvacuated() {
			t.Errorf("n%d has copies after 20 s", i)
		}
		p.hosts[i].up = false
		p.run(300 * time.Millisecond)
		p.start(i)
		p.run(time.Second)
	}
	p.run(70 * time.Second) // the load has ended by then
	if whole := p.check(); p.broken != "" || whole < 4 || p.unsure > p.asked/20 {
		t.Errorf("%s; %d of 4 groups whole, %d of %d commands unsure", p.broken, whole, p.unsure, p.asked)
	}
}

// Three of five die with their memories: their groups stand still, and nothing is made up. What comes back is blank, and does
// not vote for what it has forgotten.
func TestLostQuorumStandsStill(t *testing.T) {
	p := newPlay(t, 5, 12)
	p.run(3 * time.Second)
	p.load(4 * time.Second)
	p.run(5 * time.Second)
	was := map[int]int{}
	for g := range 4 {
		was[g] = len(p.stands[g])
	}
	for i := range 3 {
		p.hosts[i].up = false
	}
	p.run(time.Second)
	for i := range 3 {
		p.start(i)
	}
	p.run(10 * time.Second)
	p.load(5 * time.Second)
	p.run(10 * time.Second)
	stands := 0
	for g := range 4 {
		copies := 0
		for _, h := range p.hosts[3:] {
			if m, _ := h.StateMachine(g); m != nil {
				copies++
			}
		}
		if copies < 2 && len(p.stands[g]) != was[g] {
			t.Errorf("group %d lost its quorum with its memory, and went on", g)
		}
		stands += len(p.stands[g]) - was[g]
	}
	if p.check(); p.broken != "" {
		t.Error(p.broken)
	}
}

// Files that name different dispatchers can found two fleets. What one of them sends is never taken in by the other: its copies
// would take the place of those that are there.
func TestAnotherFoundingIsNotHeard(t *testing.T) {
	make_ := func(name string, founders ...string) *raftgroup.Node {
		h, err := raftgroup.New(raftgroup.Config{Self: raftgroup.NodeID{Name: name, Memory: uint64(name[0])}, Founders: founders, Groups: 1, Seed: 1,
			NewStateMachine: func(g int) raftgroup.StateMachine { return &list{play: &play{stands: map[int][]string{}}} }}, 0)
		if err != nil {
			t.Fatal(err)
		}
		return h
	}
	member := func(h *raftgroup.Node, name string) raftgroup.Member {
		return raftgroup.Member{NodeID: raftgroup.NodeID{Name: name, Memory: uint64(name[0])}, Assignment: h.AssignmentID()}
	}
	a, alone := make_("a", "a", "b"), make_("b", "b")
	alone.SetMembers(0, []raftgroup.Member{member(alone, "b")}, true)
	if a.SetMembers(0, []raftgroup.Member{member(a, "a"), {NodeID: raftgroup.NodeID{Name: "b", Memory: 'b'}}}, true); a.AssignmentID() == 0 || alone.AssignmentID() == 0 || a.AssignmentID() == alone.AssignmentID() {
		t.Fatalf("foundings %x and %x", a.AssignmentID(), alone.AssignmentID())
	}
	was, frames, notices := fmt.Sprint(alone.Status()), 0, 0
	for now := time.Duration(0); now < 3*time.Second; now += 10 * time.Millisecond {
		for _, o := range a.Tick(now).Send {
			frames++
			notices += len(alone.HandleFrame(now, raftgroup.NodeID{Name: "a", Memory: 'a'}, o.Data).Notices)
		}
	}
	if got := fmt.Sprint(alone.Status()); frames == 0 || notices != 1 || got != was {
		t.Errorf("after %d frames and %d notices its groups are %s, they were %s", frames, notices, got, was)
	}
}

// The same with hosts that come back without their memory and say that they are who they were: Raft finds its log shorter
// than what it has said, or commands that had a reply are lost, or copies differ. One of these is seen.
func TestForgottenVotesAreSeen(t *testing.T) {
	for seed := range uint64(20) {
		if forgets(t, 100+seed) {
			return
		}
	}
	t.Error("twenty plays with votes by who has forgotten them show nothing")
}

func forgets(t *testing.T, seed uint64) (seen bool) {
	p := newPlay(t, 5, seed)
	p.relive = true
	defer func() { seen = seen || recover() != nil }()
	p.run(3 * time.Second)
	p.load(30 * time.Second)
	for range 8 {
		p.run(time.Second)
		x := p.rng.Perm(5)
		for _, i := range x[:2] {
			p.hosts[i].up = false
		}
		p.run(50 * time.Millisecond)
		for _, i := range x[:2] {
			p.start(i)
		}
	}
	p.run(5 * time.Second)
	p.check()
	return p.broken != ""
}
