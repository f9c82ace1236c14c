// Views: which members the fleet consists of, by number, the same for all that have
// the number. This file owns the view, its changes and how a majority of one view
// agrees on the next: a ballot in two rounds, of which the first member by rank may
// skip the first. It must never let a change stand that a majority did not accept,
// nor count a vote of somebody for another life, view or place than it was given for.

package membership

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// View is a numbered list of members, in order of zone and name.
type View struct {
	ViewID
	Members []Record
}

// place finds a member by name.
func (v *View) place(name string) int {
	return slices.IndexFunc(v.Members, func(r Record) bool { return r.Name == name })
}

// Has tells whether a life of a member is in the view.
func (v *View) Has(name string, life uint64) bool {
	i := v.place(name)
	return i >= 0 && v.Members[i].Life == life
}

func order(a, b Record) int {
	return cmp.Or(strings.Compare(a.Zone, b.Zone), strings.Compare(a.Name, b.Name))
}

// after is the view that a change leads to.
func (v *View) after(c *change, heirs bool) (*View, error) {
	next := &View{ViewID: ViewID{Fleet: v.Fleet, Epoch: v.Epoch, Number: v.Number + 1}}
	out := make([]bool, len(v.Members))
	for _, r := range slices.Concat(c.Out, c.Left) {
		if r[0] > r[1] || int(r[1]) >= len(v.Members) {
			return nil, fmt.Errorf("places %v of %d members", r, len(v.Members))
		}
		for i := r[0]; i <= r[1]; i++ {
			out[i] = true
		}
	}
	for i, r := range v.Members {
		if !out[i] && !slices.ContainsFunc(c.In, func(in Record) bool { return in.Name == r.Name }) {
			next.Members = append(next.Members, r)
		}
	}
	for _, r := range c.In {
		if next.place(r.Name) >= 0 {
			return nil, fmt.Errorf("member %s comes twice", r.Name)
		}
		next.Members = append(next.Members, r)
	}
	slices.SortFunc(next.Members, order)
	if heirs { // the fleet is founded anew of what is left: another majority without a memory may do so elsewhere
		next.Epoch++
		next.Fleet = uint32(digest(next.ViewID, next.Members))
	}
	next.Digest = digest(next.ViewID, next.Members)
	return next, nil
}

// viewState is the view and what is under way to the next.
type viewState struct {
	View
	index  map[string]int // of Members
	ranked []string       // names, in the order in which they lead

	// As a voter, for the view after this one:
	promised, acceptedAt uint32
	acceptedBody         []byte

	// As the one that leads:
	doubts   map[string]map[string]doubted // by member, by juror
	ripe     map[string]time.Duration      // since when a member's jury has enough votes
	vetoed   map[string]time.Duration      // until when a member is not proposed to go
	ballot   uint32                        // 0: nothing is proposed
	first    bool                          // the first round of the ballot is under way
	body     []byte
	own      []byte            // what it would propose if it is free to
	best     uint32            // the latest ballot under which somebody has accepted something
	held     map[string]string // what voters have accepted, by name
	forced   bool              // it may stand already: nobody's veto counts
	floor    uint32            // some voter has promised so much
	enough   time.Duration     // when a majority had promised
	most     time.Duration     // since when more than half of the view seem to be there
	yes      map[string]uint64 // lives that promised or accepted, by name
	began    time.Duration
	again    time.Duration // when to send it again
	tries    int
	backoff  time.Duration
	behindAt time.Duration
	fetch    *fetch
	history  []step
	late     map[string]time.Duration // members that were sent a change and have not shown it yet
	tell     []byte
	tellID   ViewID
	tellNum  uint32
	tellAt   time.Duration
	tellLeft int
	seen     time.Duration // when somebody who has a later view was last heard
}

type step struct {
	base ViewID
	body []byte
	num  uint32
}

const (
	resend    = 150 * time.Millisecond
	longBody  = 170 // bytes of a change or of records in a datagram
	mostOut   = 12  // ranges in a change
	ballotLow = 1 << 12
)

func (v *viewState) start() {
	v.doubts, v.ripe, v.vetoed = map[string]map[string]doubted{}, map[string]time.Duration{}, map[string]time.Duration{}
	v.late, v.index = map[string]time.Duration{}, map[string]int{}
}

// pause forgets what depended on having been there.
func (v *viewState) pause(now time.Duration) {
	clear(v.doubts)
	clear(v.ripe)
	v.ballot, v.backoff, v.fetch = 0, now, nil
}

// heard takes in that a member is there after all.
func (v *viewState) heard(name string) { delete(v.ripe, name) }

// View is the last view that this member knows.
func (m *Machine) View() View {
	return View{ViewID: m.view.ViewID, Members: slices.Clone(m.view.Members)}
}

// Quorum tells whether this member's side has a majority of the view, as far as it can see.
func (m *Machine) Quorum() bool { return m.joined && m.most() }

// most tells whether more than half of the view seem to be there.
func (m *Machine) most() bool {
	n := 0
	for i := range m.view.Members {
		name := m.view.Members[i].Name
		if x := m.table[name]; name == m.me.Name || x != nil && x.state == Alive {
			n++
		}
	}
	return 2*n > len(m.view.Members)
}

// leaders are the first n by rank of those members of the view that seem to be there. The rank moves with the number.
func (m *Machine) leaders(n int) (out []string) {
	for _, name := range m.view.ranked {
		if x := m.table[name]; name == m.me.Name || x != nil && x.state == Alive {
			if out = append(out, name); len(out) == n {
				break
			}
		}
	}
	return out
}

// rank orders the members of a view; the first is the one that may propose without a first round.
func (v *viewState) rank() {
	ranks := make(map[string]uint64, len(v.Members))
	v.ranked = v.ranked[:0]
	for i := range v.Members {
		name := v.Members[i].Name
		ranks[name] = xxhash.Sum64String(fmt.Sprintf("%s/%d.%d", name, v.Epoch, v.Number/8))
		v.ranked = append(v.ranked, name)
	}
	slices.SortFunc(v.ranked, func(a, b string) int { return cmp.Or(cmp.Compare(ranks[a], ranks[b]), cmp.Compare(a, b)) })
}

// place and Has are those of the view, by the index: each datagram on views asks for its sender.
func (v *viewState) place(name string) int {
	if i, ok := v.index[name]; ok {
		return i
	}
	return -1
}

func (v *viewState) Has(name string, life uint64) bool {
	i := v.place(name)
	return i >= 0 && v.Members[i].Life == life
}

// committed goes over to the next view. Whoever led there tells the others.
func (m *Machine) committed(s step, tell bool) {
	v := &m.view
	c, err := readChange(s.body)
	var next *View
	if err == nil {
		next, err = v.after(c, s.num == 1)
	}
	if err != nil {
		m.Counters.Foreign++
		v.ballot = 0
		return
	}
	v.history = append(v.history, s)
	if len(v.history) > m.cfg.History {
		v.history = v.history[1:]
	}
	old := v.Members
	for _, r := range c.Left {
		for _, gone := range old[r[0] : r[1]+1] {
			if x := m.table[gone.Name]; x != nil && x.Life == gone.Life {
				m.set(x, Left, "it said so")
			}
		}
	}
	m.adopt(next, "by a change of the view", true)
	if tell {
		v.tell, v.tellID, v.tellNum, v.tellAt, v.tellLeft = s.body, s.base, s.num, m.now, 3
		clear(v.late)
		for _, list := range [][]Record{old, next.Members} {
			for i := range list {
				if list[i].Name != m.me.Name {
					v.late[list[i].Name] = m.now
				}
			}
		}
		m.retell()
	}
}

// adopt takes a view in. straight tells that a change led there from this member's own view.
func (m *Machine) adopt(next *View, why string, straight bool) {
	v := &m.view
	old, apart := v.Members, v.Fleet != 0 && v.Fleet != next.Fleet && !straight
	was := m.joined
	v.View = *next
	v.index = make(map[string]int, len(next.Members))
	for i := range next.Members {
		v.index[next.Members[i].Name] = i
	}
	v.rank()
	v.promised, v.acceptedAt, v.acceptedBody, v.ballot, v.tries, v.fetch, v.floor = 0, 0, nil, 0, 0, nil, 0
	clear(v.ripe)
	clear(v.late)
	clear(v.doubts) // a change may be old news by the time it comes: jurors' words from before it say nothing of now
	v.tellLeft = 0
	for i := range next.Members {
		if r := &next.Members[i]; r.Name != m.me.Name {
			m.meet(*r)
		}
	}
	for i := range old {
		r := &old[i]
		if x := m.table[r.Name]; x != nil && x.Life == r.Life && !v.Has(r.Name, r.Life) && !apart {
			delete(v.doubts, r.Name)
			if x.state != Left {
				m.set(x, Failed, why)
			}
		}
	}
	m.joined = v.Has(m.me.Name, m.me.Life)
	switch {
	case apart: // two fleets that were founded apart: nobody has failed for that
		m.notice("adopted", "there is another fleet, with view %v: it goes over to that", v.ViewID)
		m.joinAt = m.now
	case was && !m.joined && m.leaving == 0:
		m.ended(m.me.Life, false)
	}
	m.acts.View = &View{ViewID: v.ViewID, Members: slices.Clone(v.Members)}
}

// found begins a fleet: alone, if nobody was heard that has a view, nor anybody that comes first.
func (m *Machine) found() {
	if at := m.born + m.cfg.Found; m.now < at {
		m.soon(at)
		return
	}
	for _, x := range m.table {
		if x.state == Alive && x.Name < m.me.Name && m.now-x.heard < 4*m.cfg.Period {
			return // that one founds, or tells of one
		}
	}
	if seen := m.view.seen; m.leaving > 0 || seen > 0 && m.now < seen+m.cfg.Found { // it may have gone since
		return
	}
	v := &View{ViewID: ViewID{Fleet: uint32(xxhash.Sum64String(fmt.Sprint(m.me.Name, m.me.Life))), Epoch: 1, Number: 1}, Members: []Record{m.me}}
	v.Digest = digest(v.ViewID, v.Members)
	m.notice("founded", "nobody else is there: a fleet of one")
	m.adopt(v, "", false)
}
