// Views: which members the fleet consists of, by number, the same for all that have
// the number. This file owns the view, its changes and how a majority of one view
// agrees on the next: a ballot in two rounds, of which the first member by rank may
// skip the first. It must never let a change stand that a majority did not accept,
// nor count a vote of somebody for another life, view or place than it was given for.

package membership

import (
	"cmp"
	"fmt"
	"net/netip"
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

type doubted struct {
	age, at time.Duration
	life    uint64
	news    uint32
}

type step struct {
	base ViewID
	body []byte
	num  uint32
}

type fetch struct {
	from  netip.AddrPort
	id    ViewID
	total uint32
	got   []Record
	parts map[uint32][]Record // come out of order
	at    time.Duration
	tries int
	more  int // the next part is asked for once so many members are there
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

// doubted takes a juror's word in.
func (m *Machine) doubted(juror string, x *member, age time.Duration) {
	if m.view.doubts[x.Name] == nil {
		m.view.doubts[x.Name] = map[string]doubted{}
	}
	m.view.doubts[x.Name][juror] = doubted{age: age, at: m.now, life: x.Life, news: x.News}
}

// verdicts counts the jurors' words: it gives the members that have failed, and whether others are about to have.
func (m *Machine) verdicts() (ripe []*member, waits bool) {
	v := &m.view
	for _, name := range sortedKeys(v.doubts) {
		x := m.table[name]
		if x == nil || x.state != Suspect && x.state != Unknown || m.now < v.vetoed[name] || v.place(name) < 0 {
			delete(v.doubts, name)
			delete(v.ripe, name)
			continue
		}
		votes, close := 0, 0
		for juror, d := range v.doubts[name] {
			y := m.table[juror]
			switch {
			case m.now-d.at > m.cfg.Period*13/5 || d.life != x.Life || d.news != x.News: // a juror says it again each period
				delete(v.doubts[name], juror)
			case juror != m.me.Name && (y == nil || y.state != Alive || v.place(juror) < 0):
			case d.age >= m.cfg.Bear:
				votes++
			case d.age >= m.cfg.Bear*9/20: // a change waits for it
				close++
			}
		}
		need := min(m.cfg.Jury, len(v.Members)-1)/2 + 1
		if votes >= need {
			ripe = append(ripe, x)
		} else if votes+close > 0 {
			waits = true
		}
	}
	return ripe, waits
}

// agree is called with every event: it leads where that is this member's turn.
func (m *Machine) agree() {
	v := &m.view
	if f := v.fetch; f != nil {
		if m.now < f.at+2*resend {
			m.soon(f.at + 2*resend)
		} else if f.tries++; f.tries > 5 { // whoever is ahead is asked anew
			v.fetch = nil
		} else { // something was lost: from there on once more
			f.at = m.now
			m.send(f.from, packet{Kind: pull, Seq: uint32(len(f.got))})
			m.soon(f.at + 2*resend)
		}
	}
	if v.Number == 0 {
		m.found()
		return
	}
	m.retell()
	if v.ballot != 0 {
		m.press()
		return
	}
	most := m.most()
	if !most {
		v.most = 0
	} else if v.most == 0 {
		v.most = m.now
	}
	lead := m.leaders(1)
	if m.leaving > 0 && m.now > m.leaving+farewell*m.cfg.Period/2 || len(lead) == 0 || lead[0] != m.me.Name || !m.joined && !m.heir() || m.now < v.backoff || !most {
		if m.now < v.backoff {
			m.soon(v.backoff)
		}
		return
	}
	ripe, waits := m.verdicts()
	for _, x := range ripe {
		if _, ok := v.ripe[x.Name]; !ok {
			v.ripe[x.Name] = m.now
		}
	}
	c := &change{}
	var failed, left []int
	since := m.now
	for _, x := range ripe {
		failed = append(failed, v.index[x.Name])
		since = min(since, v.ripe[x.Name])
	}
	if since := v.most + 2*m.cfg.Period; m.now < since { // a cut has just ended: jurors are about to be answered
		failed = nil
		m.soon(since)
	}
	if len(failed) > 0 && waits && m.now < since+m.cfg.Hold {
		failed = nil
	}
	for i := range v.Members {
		if x := m.table[v.Members[i].Name]; x != nil && x.state == Left && x.Life == v.Members[i].Life {
			left = append(left, i)
		}
	}
	if len(v.doubts) > 0 {
		m.soon(m.now + resend)
	}
	c.Left = ranges(left, mostOut/2)
	c.Out = ranges(failed, mostOut-len(c.Left))
	m.admit(c)
	if len(c.Out)+len(c.Left)+len(c.In) == 0 {
		return
	}
	// The first round is skipped by one member only, and never by one that may have forgotten what it did.
	v.first = v.ranked[0] != m.me.Name || !m.view.Has(m.me.Name, m.me.Life) || v.tries > 0
	at := v.index[m.me.Name]
	v.ballot = uint32(v.tries)*ballotLow*2 + ballotLow + uint32(at)%ballotLow + 1
	if !v.first {
		v.ballot = 1
	}
	if v.first || v.promised > 0 || v.floor > 0 {
		v.first, v.ballot = true, max(v.ballot, v.promised+1, v.floor+1)
	}
	v.own, v.best, v.yes, v.began, v.again = encode(c), 0, map[string]uint64{}, m.now, m.now
	v.body, v.held, v.forced, v.enough = v.own, map[string]string{}, false, 0
	v.tries++
	m.press()
}

// ranges joins places that stand side by side.
func ranges(places []int, most int) (out [][2]uint32) {
	slices.Sort(places)
	for _, i := range places {
		if n := len(out); n > 0 && int(out[n-1][1]) == i-1 {
			out[n-1][1]++
		} else if n < most {
			out = append(out, [2]uint32{uint32(i), uint32(i)})
		} else {
			break
		}
	}
	return out
}

// heir tells whether this member stands in the view with an earlier life: it may vote, but has no memory.
func (m *Machine) heir() bool {
	i, ok := m.view.index[m.me.Name]
	return ok && m.view.Members[i].Life < m.me.Life
}

// admit puts members that want in into a change, as many as fit.
func (m *Machine) admit(c *change) {
	v := &m.view
	size := len(encode(c))
	add := func(r Record) bool {
		n := len(encode(r))
		if size+n > longBody {
			return false
		}
		size += n
		c.In = append(c.In, r)
		return true
	}
	if !v.Has(m.me.Name, m.me.Life) && m.leaving == 0 {
		add(m.me)
	}
	if len(v.Members) == len(m.table)+1 && len(m.waiting()) == 0 {
		return
	}
	for _, name := range m.waiting() {
		if !add(m.table[name].Record) {
			return
		}
	}
}

// waiting are the members that are there and not in the view with the life they have.
func (m *Machine) waiting() (out []string) {
	for name, x := range m.table {
		if x.state == Alive && !m.view.Has(name, x.Life) {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
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

// press sends what is proposed, again where nothing came back.
func (m *Machine) press() {
	v := &m.view
	if m.now >= v.began+2*time.Second { // too few answer: another may have more luck, or this one later
		v.ballot, v.backoff = 0, m.now+m.cfg.Period/2+time.Duration(m.rng.Int64N(int64(m.cfg.Period)))
		return
	}
	if m.now >= v.again {
		v.again = m.now + resend
		if _, ok := v.yes[m.me.Name]; !ok {
			m.vote(m.me.Name, m.me.Life, true)
			if v.ballot == 0 { // that was enough
				return
			}
		}
		if v.first && m.promised() {
			return
		}
		p := packet{Kind: accept, Seq: v.ballot, Body: v.body, Num: uint32(bit(v.forced))}
		if v.first {
			p = packet{Kind: prepare, Seq: v.ballot}
		}
		for i := range v.Members {
			name := v.Members[i].Name
			if _, ok := v.yes[name]; !ok && name != m.me.Name && m.table[name] != nil && m.table[name].state <= Suspect {
				m.send(m.table[name].addr, p)
			}
		}
	}
	m.soon(v.again)
}

// vote is this member's own voice as a voter, and that of others as they come in.
func (m *Machine) vote(name string, life uint64, own bool) {
	v := &m.view
	if own {
		if v.ballot < v.promised {
			v.ballot, v.backoff = 0, m.now+m.cfg.Period
			return
		}
		v.promised = v.ballot
		if v.first && v.acceptedAt > 0 {
			v.held[name] = string(v.acceptedBody)
			if v.acceptedAt > v.best {
				v.best, v.body = v.acceptedAt, v.acceptedBody
			}
		}
		if !v.first {
			v.acceptedAt, v.acceptedBody = v.ballot, v.body
		}
	}
	v.yes[name] = life
	if v.first {
		m.promised()
		return
	}
	if 2*len(v.yes) <= len(v.Members) {
		return
	}
	num := uint32(0)
	for name, life := range v.yes {
		if !v.Has(name, life) {
			num = 1
		}
	}
	m.committed(step{v.ViewID, v.body, num}, true)
}

// promised ends the first round once a majority has promised; it tells whether it did. What was accepted before under the
// latest ballot may stand already, and then it has to be proposed again, whoever is there by now. It cannot stand if too
// few have accepted it, and then it is dropped: a cut that is over must not decide who goes.
func (m *Machine) promised() bool {
	v := &m.view
	n := len(v.Members)
	if 2*len(v.yes) <= n {
		return false
	}
	if v.best > 0 {
		same := 0
		for _, body := range v.held {
			if body == string(v.body) {
				same++
			}
		}
		if 2*(same+n-len(v.yes)) <= n {
			v.body = v.own
		} else if v.enough = cmp.Or(v.enough, m.now); m.now < v.enough+3*resend { // more promises may show it
			return false
		} else {
			v.forced = true
		}
	}
	v.first, v.yes, v.again = false, map[string]uint64{}, m.now
	m.press()
	return true
}

func bit(b bool) int {
	if b {
		return 1
	}
	return 0
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

// retell sends the last change to those that have not shown its number yet, a few times.
func (m *Machine) retell() {
	v := &m.view
	if v.tellLeft == 0 {
		return
	}
	if m.now >= v.tellAt {
		v.tellAt = m.now + resend
		v.tellLeft--
		for _, name := range sortedKeys(v.late) {
			if x := m.table[name]; x != nil {
				m.send(x.addr, packet{Kind: commit, View: v.tellID, Body: v.tell, Num: v.tellNum})
			}
		}
	}
	if v.tellLeft > 0 {
		m.soon(v.tellAt)
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

// behind asks somebody that has a later view for it.
func (m *Machine) behind(from netip.AddrPort) {
	v := &m.view
	v.seen = m.now
	if v.fetch != nil || m.now < v.behindAt {
		return
	}
	v.behindAt = m.now + resend/2
	v.fetch = &fetch{from: from, at: m.now}
	m.send(from, packet{Kind: pull})
}

// viewPacket takes in what is about views.
func (m *Machine) viewPacket(p *packet, from netip.AddrPort, x *member) {
	v := &m.view
	same := p.View == v.ViewID
	voter := x != nil && v.place(p.From) >= 0
	switch p.Kind {
	case doubt:
		if y := m.table[p.For]; y != nil && same && voter && y.Life == p.ForLife && y.News == p.ForNews && y.state <= Unknown {
			if y.state == Alive { // the accusation has not come this far yet
				m.suspect(y, p.From, m.now-time.Duration(p.Num)*time.Millisecond, false)
			}
			m.doubted(p.From, y, time.Duration(p.Num)*time.Millisecond)
		}
	case pull:
		m.serve(p, from)
	case chunk:
		m.chunk(p, from)
	case commit:
		if p.View == v.ViewID {
			m.committed(step{p.View, p.Body, p.Num}, false)
			m.send(from, packet{Kind: ack}) // shows the number
		} else if !v.ViewID.After(p.View) {
			m.behind(from)
		}
	case prepare, accept:
		if !same || !voter {
			if v.ViewID.After(p.View) {
				m.send(from, packet{Kind: ack}) // it is behind, and sees it by this
			}
			return
		}
		m.voter(p, from)
	case promise, accepted:
		switch {
		case !same || !voter || v.ballot == 0:
		case v.ballot < p.Seq: // somebody else's ballot is ahead
			v.ballot, v.floor, v.backoff = 0, max(v.floor, p.Seq), m.now+time.Duration(m.rng.Int64N(int64(m.cfg.Period)))
		case v.ballot == p.Seq && v.first == (p.Kind == promise):
			if p.Kind == promise && len(p.Body) > 0 {
				if v.held[p.From] = string(p.Body); p.Num > v.best {
					v.best, v.body = p.Num, p.Body
				}
			}
			m.vote(p.From, p.Life, false)
		}
	case veto:
		if y := m.table[p.For]; same && voter && v.ballot == p.Seq && y != nil && y.Life == p.ForLife {
			v.ballot, v.vetoed[p.For], v.backoff = 0, m.now+m.cfg.Bear, m.now+resend
			delete(v.doubts, p.For)
		}
	}
	if !p.View.After(v.ViewID) && !v.ViewID.After(p.View) {
		delete(v.late, p.From)
	}
}

// voter answers a ballot.
func (m *Machine) voter(p *packet, from netip.AddrPort) {
	v := &m.view
	if p.Seq < v.promised {
		m.send(from, packet{Kind: promise, Seq: v.promised}) // it learns how far others are
		return
	}
	if p.Kind == prepare {
		v.promised = p.Seq
		m.send(from, packet{Kind: promise, Seq: p.Seq, Num: v.acceptedAt, Body: v.acceptedBody})
		return
	}
	c, err := readChange(p.Body)
	if err != nil {
		m.Counters.Foreign++
		return
	}
	waits := false
	for _, r := range c.Out { // nobody goes that this member hears; it asks once more, if it has not done so as a juror
		for i := r[0]; i <= r[1] && int(i) < len(v.Members) && p.Num == 0; i++ {
			gone := &v.Members[i]
			x := m.table[gone.Name]
			mine := gone.Name == m.me.Name && gone.Life == m.me.Life && m.leaving == 0
			if mine || x != nil && x.Life == gone.Life && x.met && m.now-x.answered < m.cfg.Bear/2 {
				m.send(from, packet{Kind: veto, Seq: p.Seq, For: gone.Name, ForLife: gone.Life})
				return
			}
			if x != nil && x.Life == gone.Life && x.state <= Unknown && (x.inquiry == nil || x.inquiry.pings < pings || m.now-x.inquiry.began < m.cfg.Bear) {
				if m.now >= x.checked+m.cfg.Bear {
					x.checked = m.now
				}
				if m.now < x.checked+2*resend { // it has that long to answer; the proposal comes again
					m.ping(x, &probe{who: x, life: x.Life, sent: m.now, quiet: true})
					waits = true
				}
			}
		}
	}
	if waits {
		return
	}
	v.promised, v.acceptedAt, v.acceptedBody = p.Seq, p.Seq, p.Body
	m.send(from, packet{Kind: accepted, Seq: p.Seq})
}

// serve gives somebody that is behind the changes that lead here, or the members one part after the other.
func (m *Machine) serve(p *packet, from netip.AddrPort) {
	v := &m.view
	if v.Number == 0 {
		return
	}
	if p.Seq == 0 {
		if i := slices.IndexFunc(v.history, func(s step) bool { return s.base == p.View }); i >= 0 {
			for _, s := range v.history[i:min(i+4, len(v.history))] {
				m.send(from, packet{Kind: commit, View: s.base, Body: s.body, Num: s.num})
			}
			return
		}
	}
	for at, n := int(p.Seq), 0; at < len(v.Members) && n < 8; n++ {
		first, list, size := at, []Record(nil), 1
		for ; at < len(v.Members); at++ {
			r := v.Members[at]
			if x := m.table[r.Name]; x != nil && x.Life == r.Life {
				r = x.Record // the newest of it
			}
			if k := len(encode(r)); size+k > longBody && len(list) > 0 {
				break
			} else {
				size += k
			}
			list = append(list, r)
		}
		m.send(from, packet{Kind: chunk, Seq: uint32(first), Num: uint32(len(v.Members)), Body: encode(list)})
	}
}

// chunk takes a part of a view in.
func (m *Machine) chunk(p *packet, from netip.AddrPort) {
	v := &m.view
	f := v.fetch
	if f == nil || !p.View.After(v.ViewID) {
		return
	}
	list, err := readRecords(p.Body)
	if err != nil || len(list) == 0 || p.Num > 1<<16 {
		m.Counters.Foreign++
		return
	}
	if f.id != p.View || f.total != p.Num {
		f.id, f.total, f.got, f.parts = p.View, p.Num, nil, map[uint32][]Record{}
	}
	if len(f.parts) < 64 {
		f.parts[p.Seq] = list
	}
	f.at, f.tries = m.now, 0
	for next := f.parts[uint32(len(f.got))]; next != nil; next = f.parts[uint32(len(f.got))] {
		delete(f.parts, uint32(len(f.got)))
		f.got = append(f.got, next...)
	}
	if len(f.got) < int(f.total) {
		if len(f.parts) == 0 && len(f.got) >= f.more {
			f.more = len(f.got) + 8 // some parts further on
			m.send(from, packet{Kind: pull, Seq: uint32(len(f.got))})
		}
		return
	}
	next := &View{ViewID: f.id, Members: f.got}
	v.fetch = nil
	if digest(next.ViewID, next.Members) != next.Digest {
		m.Counters.Foreign++
		return
	}
	v.history = nil
	m.adopt(next, "by a view that the others have gone on to", false)
}
