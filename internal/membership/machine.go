// Package membership says which dispatchers are there. A Machine is one member's
// state: it is handed datagrams, the time and what its operator wants, and gives
// back datagrams, changes, views and when it wants to be called next. It has no
// I/O, clock or goroutine, and the same events always give the same actions. This
// file owns what is known of each member: probes, accusations, the inquiry of a
// member's jury, refutation, leaving, lives. It must never take somebody for failed:
// that is said by a view (view.go) and by nothing else. docs/membership.md has the
// options weighed and the table of states.
package membership

import (
	"cmp"
	"errors"
	"fmt"
	"math/bits"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

// State is what a member is taken for.
type State uint8

// The states. Unknown is not failed: nobody could reach it, and too few could say so together.
const (
	Alive State = iota + 1
	Suspect
	Unknown
	Left
	Failed
)

func (s State) String() string {
	return [...]string{"none", "alive", "suspect", "unknown", "left", "failed"}[min(s, Failed)]
}

// Config is what a member is told. Times that are 0 get the default that Fill gives.
type Config struct {
	Name  string
	Zone  string
	At    netip.AddrPort // where the others reach it
	Life  uint64         // of this start; larger than that of any earlier one under this name
	Facts Facts
	Seeds []netip.AddrPort // whom to ask for the way in
	// Book has the addresses at which this member reaches the others, by name, where those that they tell of themselves
	// are not valid here. nil: what they tell.
	Book map[string]netip.AddrPort
	// Learn takes the address from which a member was heard for its own, if it is one of the seeds: where each member has
	// addresses of its own for the others, and no names to them.
	Learn bool
	Seed  uint64 // of its random numbers

	Period  time.Duration // between two probes
	Bear    time.Duration // a member may be silent for so long before its jury may say that it has failed
	Jury    int           // members that look into an accusation
	Found   time.Duration // so long a member looks for others before it founds a fleet of its own
	Hold    time.Duration // a change waits so long at most for others that are about to be ripe
	History int           // changes kept for members that are behind
}

// Fill puts the defaults in, and tells what cannot work.
func (c *Config) Fill() error {
	for _, f := range []struct {
		to   *time.Duration
		v    time.Duration
		name string
	}{{&c.Period, 500 * time.Millisecond, "period"}, {&c.Bear, 3 * time.Second, "bear"}, {&c.Found, 2 * time.Second, "found"},
		{&c.Hold, 3 * time.Second, "hold"}} {
		if *f.to = cmp.Or(*f.to, f.v); *f.to < 10*time.Millisecond || *f.to > 10*time.Minute {
			return fmt.Errorf("membership: %s: %v is not in 10ms to 10m", f.name, *f.to)
		}
	}
	c.Jury, c.History = cmp.Or(c.Jury, 7), cmp.Or(c.History, 16)
	if c.Jury < 1 || c.History < 1 {
		return errors.New("membership: jury and history are 1 or more")
	}
	return nil
}

// EventKind tells which fields of an Event count.
type EventKind uint8

// The events.
const (
	Tick  EventKind = iota + 1 // only the time
	Heard                      // From, Data: a datagram
	Say                        // Facts: what the others may read from now on
	Leave                      // this member goes
)

// Event is one thing that happened.
type Event struct {
	Kind  EventKind
	From  netip.AddrPort
	Data  []byte
	Facts Facts
}

// Out is a datagram to be sent.
type Out struct {
	To   netip.AddrPort
	Data []byte
}

// Change is a member that is taken for something else than before.
type Change struct {
	Name   string
	Life   uint64
	State  State
	Why    string // whose accusation, or what else led to it
	Joined bool   // it is new here
}

// Notice is something that this member's operator should know of.
type Notice struct {
	Kind string // paused, twice, superseded, expelled, founded, adopted
	Text string
}

// Actions are what follows from an event, in order. They are valid until the next call.
type Actions struct {
	Send    []Out
	Changes []Change
	Notices []Notice
	View    *View         // the new view, if there is one
	Next    time.Duration // when to call again at the latest, by the clock of the events
}

// Counters only grow.
type Counters struct {
	Sent      uint64 `json:"sent"` // datagrams
	SentBytes uint64 `json:"sent_bytes"`
	Heard     uint64 `json:"heard"`
	Foreign   uint64 `json:"foreign"` // torn, of another version, or with what cannot be
	Refuted   uint64 `json:"refuted"` // accusations of this member
	Accused   uint64 `json:"accused"` // its own
	Pauses    uint64 `json:"pauses"`
	Conflicts uint64 `json:"conflicts"` // its name was used elsewhere
}

type member struct {
	Record
	addr     netip.AddrPort
	state    State
	since    time.Duration
	by       []string      // who accuses it
	answered time.Duration // it last answered this member, directly or by a relay
	heard    time.Duration // its last datagram of any kind
	wrong    int           // this member's accusations of it that proved wrong, fading
	inquiry  *inquiry
	met      bool          // it has answered at all
	checked  time.Duration // since when it is asked once more, as a change takes it out
	public   bool          // its accusation has been passed on: others believe it, and it has to refute it
}

// inquiry is what a juror does about an accused member.
type inquiry struct {
	began, asked, told time.Duration
	pings              int
}

type probe struct {
	who    *member
	life   uint64
	seq    uint32
	sent   time.Duration
	due    time.Duration // accused then
	helped bool          // relays were asked
	quiet  bool          // part of an inquiry: nobody is accused for it
}

// errand is a ping sent for somebody else.
type errand struct {
	to  netip.AddrPort
	seq uint32
	at  time.Duration
}

// news is a rumour on its way; the one passed on least goes first.
type news struct {
	name string
	raw  cbor.RawMessage
	sent int
}

// Machine is one member. It is not safe for concurrent use.
type Machine struct {
	Counters Counters

	cfg      Config
	rng      *rand.Rand
	now      time.Duration
	next     time.Duration
	acts     Actions
	me       Record
	joined   bool // it is in the view
	leaving  time.Duration
	done     bool // it has left, or a later life has its name
	table    map[string]*member
	ring     []*member // whom to probe, in a random order made anew each round
	turn     int
	probeAt  time.Duration
	joinAt   time.Duration
	knockAt  time.Duration
	asked    int // seeds asked so far
	seq      uint32
	probes   map[uint32]*probe
	errands  map[uint32]errand
	gossip   []*news
	health   int           // 0 is well: its own probes come back in time
	sign     time.Duration // when somebody last answered this member
	born     time.Duration
	inquire  []*member
	suspects []*member
	told     map[string]time.Duration // when this member was last told of its conflict
	view     viewState
}

const (
	relays     = 3 // asked to ping for a member
	mostHealth = 8 // periods that an accusation may wait for the accuser's own health
	pings      = 6 // that a juror has sent in vain at least before its word counts
	aloud      = 5 // pings of a juror with which it tells all: after two, 300 members with a fifth of all lost sent 2 kB/s
	farewell   = 4 // periods that a member that leaves goes on answering
	spreads    = 3 // times the logarithm of the members, a rumour is passed on
)

// New makes a member. The time is that of the events.
func New(cfg Config, now time.Duration) (*Machine, error) {
	if err := cfg.Fill(); err != nil {
		return nil, err
	}
	at, err := cfg.At.MarshalBinary()
	if err != nil {
		return nil, err
	}
	m := &Machine{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, cfg.Life)), now: now, next: now, born: now, sign: now,
		me:    Record{Name: cfg.Name, Life: cfg.Life, Zone: cfg.Zone, At: at, Facts: cfg.Facts},
		table: map[string]*member{}, probes: map[uint32]*probe{}, errands: map[uint32]errand{}, told: map[string]time.Duration{}}
	if err := m.me.check(); err != nil {
		return nil, fmt.Errorf("membership: %w", err)
	}
	m.seq = m.rng.Uint32N(1 << 20)
	m.view.start()
	return m, nil
}

// Handle takes one event at the time now.
func (m *Machine) Handle(now time.Duration, ev Event) *Actions {
	m.acts = Actions{Send: m.acts.Send[:0], Changes: m.acts.Changes[:0], Notices: m.acts.Notices[:0]}
	m.now = max(now, m.now)
	if m.done {
		m.acts.Next = m.now + time.Hour
		return &m.acts
	}
	if late := m.now - m.next; late > m.cfg.Period*3/5 { // called so late, it was stopped itself
		m.paused(late)
	}
	switch ev.Kind {
	case Heard:
		m.hear(ev.From, ev.Data)
	case Say:
		m.me.Facts = ev.Facts
		m.me.News++
		m.sayMe()
	case Leave:
		if m.leaving == 0 {
			m.leaving = m.now
			m.pass(rumour{Name: m.me.Name, Life: m.me.Life, News: m.me.News, State: Left})
			for _, x := range m.some(relays, nil) { // told, not timed out
				m.send(x.addr, packet{Kind: ping, Seq: m.newSeq()})
			}
		}
	}
	if !m.done {
		m.work()
	}
	m.acts.Next = m.next
	return &m.acts
}

// paused is called when this member finds that it was stopped itself: what it did not hear says nothing of others.
func (m *Machine) paused(late time.Duration) {
	m.Counters.Pauses++
	m.notice("paused", "stood still for about %v; accuses nobody for a while", late.Round(time.Millisecond))
	clear(m.probes)
	m.probeAt, m.joinAt, m.sign = m.now+m.cfg.Period, m.now, m.now
	m.health = min(m.health+2, mostHealth)
	for _, x := range m.inquire {
		x.inquiry.began, x.inquiry.pings = m.now, 0
	}
	for _, x := range m.suspects { // the time that passed is not a time in which they were silent
		x.since = m.now
	}
	m.view.pause(m.now)
}

func (m *Machine) notice(kind, format string, v ...any) {
	m.acts.Notices = append(m.acts.Notices, Notice{kind, fmt.Sprintf(format, v...)})
}

func (m *Machine) newSeq() uint32 { m.seq++; return m.seq }

// work does all that is due, and finds out when something will be.
func (m *Machine) work() {
	if m.leaving > 0 && m.now >= m.leaving+farewell*m.cfg.Period {
		m.done = true
		return
	}
	m.next = m.now + m.cfg.Period
	m.soon(m.probeAt)
	if m.now >= m.probeAt {
		m.probe()
		m.probeAt = max(m.probeAt+m.cfg.Period, m.now+m.cfg.Period/2)
	}
	m.overdue()
	for _, x := range slices.Clone(m.inquire) {
		m.juror(x)
	}
	m.suspects = slices.DeleteFunc(m.suspects, func(x *member) bool { return x.state != Suspect })
	for _, x := range m.suspects {
		if ripe := x.since + m.cfg.Bear + 4*m.cfg.Period; m.now < ripe {
			m.soon(ripe)
		} else {
			m.set(x, Unknown, "nobody reaches it, and too few can say so together")
		}
	}
	if m.leaving == 0 && !m.joined && m.now >= m.joinAt {
		m.ask()
		m.joinAt = m.now + m.cfg.Period
	}
	if !m.joined {
		m.soon(m.joinAt)
	} else if m.now >= m.knockAt {
		m.knock()
	}
	m.agree()
	m.soon(m.probeAt)
	for seq, e := range m.errands {
		if m.now-e.at > 2*m.cfg.Bear {
			delete(m.errands, seq)
		}
	}
}

// soon sees to it that the machine is called by then.
func (m *Machine) soon(at time.Duration) {
	if at > m.now {
		m.next = min(m.next, at)
	}
}

// probe pings the next member of this round.
func (m *Machine) probe() {
	for range len(m.ring) + 1 {
		if m.turn >= len(m.ring) {
			m.turn, m.ring = 0, m.ring[:0]
			for _, x := range m.table {
				if x.state != Left && x.state != Failed {
					m.ring = append(m.ring, x)
				}
			}
			slices.SortFunc(m.ring, func(a, b *member) int { return cmp.Compare(a.Name, b.Name) })
			m.rng.Shuffle(len(m.ring), func(i, k int) { m.ring[i], m.ring[k] = m.ring[k], m.ring[i] })
		}
		if len(m.ring) == 0 {
			return
		}
		x := m.ring[m.turn]
		m.turn++
		if x.state == Left || x.state == Failed || m.table[x.Name] != x || !x.addr.IsValid() {
			continue
		}
		p := &probe{who: x, life: x.Life, sent: m.now}
		// Whoever often accused it wrongly waits longer next time: its own link may be the bad one.
		p.due = m.now + m.cfg.Period*time.Duration(2+m.health)/2*time.Duration(1+min(x.wrong, 6))
		m.ping(x, p)
		return
	}
}

func (m *Machine) ping(x *member, p *probe) {
	p.seq = m.newSeq()
	m.probes[p.seq] = p
	m.send(x.addr, packet{Kind: ping, Seq: p.seq, For: x.Name, ForLife: x.Life})
}

// overdue looks for probes without an answer: relays are asked first, then the member is accused.
func (m *Machine) overdue() {
	for _, seq := range sortedKeys(m.probes) {
		p := m.probes[seq]
		help := p.sent + m.cfg.Period*2/5
		switch {
		case p.who.Life != p.life || p.who.state == Left || p.who.state == Failed || m.now-p.sent > 2*m.cfg.Bear:
			delete(m.probes, seq)
		case p.quiet:
		case m.now < help:
			m.soon(help)
		case !p.helped:
			p.helped = true
			m.send(p.who.addr, packet{Kind: ping, Seq: p.seq, For: p.who.Name, ForLife: p.who.Life}) // and once more itself
			for _, r := range m.some(relays, p.who) {
				m.send(r.addr, packet{Kind: ask, Seq: p.seq, For: p.who.Name, ForLife: p.who.Life})
			}
			m.soon(p.due)
		case m.now >= p.due:
			p.quiet = true // a late answer still counts
			m.health = min(m.health+1, mostHealth)
			m.accuse(p.who)
		default:
			m.soon(p.due)
		}
	}
}

// some are members at random that seem to be there.
func (m *Machine) some(n int, but *member) (out []*member) {
	if len(m.ring) == 0 {
		return nil
	}
	at := m.rng.IntN(len(m.ring))
	for i := range m.ring {
		x := m.ring[(at+i*7919)%len(m.ring)]
		if x != but && x.state == Alive && m.table[x.Name] == x && !slices.Contains(out, x) {
			if out = append(out, x); len(out) == n {
				break
			}
		}
		if i > 4*n+16 {
			break
		}
	}
	return out
}

// accuse says that a member does not answer, to its jury alone: with a fifth of all datagrams lost most accusations are
// wrong, and the jury finds that out in half a second. Passed on at once, they and their refutations were nine tenths of
// all bytes.
func (m *Machine) accuse(x *member) {
	if x.state == Left || x.state == Failed {
		return
	}
	m.Counters.Accused++
	m.suspect(x, m.me.Name, m.now, false)
	for _, j := range m.jury(x) {
		if j != m.me.Name {
			m.send(m.table[j].addr, packet{Kind: inquire, For: x.Name, ForLife: x.Life, ForNews: x.News})
		}
	}
}

// suspect takes an accusation in, one that is meant for all or only for its jury.
func (m *Machine) suspect(x *member, by string, since time.Duration, public bool) {
	fresh := !slices.Contains(x.by, by)
	if x.state == Alive {
		x.since, x.by = since, nil
		m.set(x, Suspect, "accused by "+by)
		m.suspects = append(m.suspects, x)
	} else if x.state == Suspect && fresh {
		x.since = min(x.since, since)
	}
	if fresh && len(x.by) < 4 {
		x.by = append(x.by, by)
	}
	if public && !x.public {
		x.public = true
		m.pass(rumour{Name: x.Name, Life: x.Life, News: x.News, State: Suspect, By: by, AgeMs: uint32((m.now - x.since).Milliseconds())})
	}
	if x.inquiry == nil && slices.Contains(m.jury(x), m.me.Name) {
		x.inquiry = &inquiry{began: m.now}
		m.inquire = append(m.inquire, x)
		m.juror(x)
	}
}

// set changes what a member is taken for.
func (m *Machine) set(x *member, s State, why string) {
	if x.state == s {
		return
	}
	was := x.state
	x.state = s
	if s != Suspect {
		x.since = m.now
	}
	if s == Alive || s == Left || s == Failed {
		x.by, x.public = nil, false
		m.drop(x)
	}
	m.acts.Changes = append(m.acts.Changes, Change{Name: x.Name, Life: x.Life, State: s, Why: why, Joined: was == 0})
}

// drop ends an inquiry.
func (m *Machine) drop(x *member) {
	if x.inquiry != nil {
		x.inquiry = nil
		m.inquire = slices.DeleteFunc(m.inquire, func(y *member) bool { return x == y })
	}
}

// jury are the members that look into an accusation of x: the first of the view by a hash of both names, passing over
// those that are not there themselves.
func (m *Machine) jury(x *member) (out []string) {
	type ranked struct {
		name string
		rank uint64
	}
	var all []ranked
	for i := range m.view.Members {
		name := m.view.Members[i].Name
		if y := m.table[name]; name == x.Name || name != m.me.Name && (y == nil || y.state != Alive) {
			continue
		}
		all = append(all, ranked{name, xxhash.Sum64String(x.Name + "/" + name)})
	}
	slices.SortFunc(all, func(a, b ranked) int { return cmp.Compare(a.rank, b.rank) })
	for _, r := range all[:min(len(all), m.cfg.Jury)] {
		out = append(out, r.name)
	}
	return out
}

// juror goes on with an inquiry: it pings the member itself and through others, by turns, and tells who leads what came
// of it. Only an answer of the member ends it, or news of its own.
func (m *Machine) juror(x *member) {
	q := x.inquiry
	if x.state != Suspect && x.state != Unknown {
		m.drop(x)
		return
	}
	every := m.cfg.Period / 2
	if m.now >= q.asked+every {
		q.asked = m.now
		if q.pings++; q.pings == aloud { // now all should know, and it above all
			m.suspect(x, m.me.Name, q.began, true)
		}
		p := &probe{who: x, life: x.Life, sent: m.now, quiet: true}
		m.ping(x, p)
		for _, r := range m.some(1, x) {
			m.send(r.addr, packet{Kind: ask, Seq: p.seq, For: x.Name, ForLife: x.Life})
		}
	}
	m.soon(q.asked + every)
	age := m.now - q.began
	if m.now-m.sign > m.cfg.Bear/2 || q.pings < pings { // who hears nobody has nothing to say of one
		return
	}
	if m.now >= q.told+2*every {
		q.told = m.now
		for _, name := range m.leaders(2) {
			if name == m.me.Name {
				m.doubted(m.me.Name, x, age)
			} else if y := m.table[name]; y != nil {
				m.send(y.addr, packet{Kind: doubt, For: x.Name, ForLife: x.Life, ForNews: x.News, Num: uint32(age.Milliseconds())})
			}
		}
	}
}

// answer is a sign that x hears this member, and it x.
func (m *Machine) answer(x *member) {
	x.answered, x.met, m.sign = m.now, true, m.now
	m.view.heard(x.Name)
	if x.state == Suspect || x.state == Unknown {
		if slices.Contains(x.by, m.me.Name) {
			x.wrong = min(x.wrong+1, 6)
			x.by = slices.DeleteFunc(x.by, func(s string) bool { return s == m.me.Name })
		}
		m.set(x, Alive, "it answers")
	} else if x.wrong > 0 && m.rng.IntN(8) == 0 {
		x.wrong--
	}
}

// sayMe spreads what this member says of itself.
func (m *Machine) sayMe() {
	whole := m.me
	m.pass(rumour{Name: m.me.Name, Life: m.me.Life, News: m.me.News, State: Alive, Whole: &whole})
}

// pass puts a rumour on its way; it replaces an older one of the same member.
func (m *Machine) pass(r rumour) {
	raw := cbor.RawMessage(encode(r))
	for _, n := range m.gossip {
		if n.name == r.Name {
			n.raw, n.sent = raw, 0
			return
		}
	}
	m.gossip = append(m.gossip, &news{name: r.Name, raw: raw})
}

// send writes a datagram. What stands in it of others fills it up, first what concerns the one that it goes to.
func (m *Machine) send(to netip.AddrPort, p packet) {
	if !to.IsValid() {
		return
	}
	p.From, p.Life, p.News = m.me.Name, m.me.Life, m.me.News
	if p.View == (ViewID{}) {
		p.View = m.view.ViewID
	}
	body := encode(p)
	size := 1 + len(body)
	if p.Kind == ping || p.Kind == ack || p.Kind == ask {
		if x := m.table[p.For]; p.Kind == ping && x != nil && x.public && (x.state == Suspect || x.state == Unknown) {
			raw := encode(rumour{Name: x.Name, Life: x.Life, News: x.News, State: Suspect, By: m.me.Name, AgeMs: uint32((m.now - x.since).Milliseconds())})
			if size+len(raw)+1 <= Datagram {
				p.Rumours, size = append(p.Rumours, raw), size+len(raw)
			}
		}
		most := spreads * bits.Len(uint(len(m.table)+1))
		slices.SortStableFunc(m.gossip, func(a, b *news) int { return cmp.Compare(a.sent, b.sent) })
		for _, n := range m.gossip {
			if size+len(n.raw)+2 <= Datagram && len(p.Rumours) < 20 && n.name != p.For {
				p.Rumours, size = append(p.Rumours, n.raw), size+len(n.raw)
				n.sent++
			}
		}
		m.gossip = slices.DeleteFunc(m.gossip, func(n *news) bool { return n.sent >= most })
	}
	if len(p.Rumours) > 0 {
		body = encode(p)
	}
	data := append(append(make([]byte, 0, 1+len(body)), version), body...)
	if len(data) > Datagram {
		panic(fmt.Sprintf("membership: a datagram of %d bytes, kind %d", len(data), p.Kind)) // sizes are bounded where bodies are made
	}
	m.Counters.Sent++
	m.Counters.SentBytes += uint64(len(data))
	m.acts.Send = append(m.acts.Send, Out{To: to, Data: data})
}

// hear takes a datagram in.
func (m *Machine) hear(from netip.AddrPort, data []byte) {
	p, err := read(data)
	if err != nil {
		m.Counters.Foreign++
		return
	}
	m.Counters.Heard++
	if p.From == m.me.Name {
		m.twin(p, from)
		return
	}
	x := m.table[p.From]
	if x != nil && p.Life < x.Life || x != nil && p.Life == x.Life && (x.state == Left || x.state == Failed) {
		if p.Kind != over && m.now >= m.told[p.From]+m.cfg.Period { // it should know that this life has ended, or the one before
			m.told[p.From] = m.now
			m.send(from, packet{Kind: over, For: p.From, ForLife: x.Life, Num: elsewhere(x, from)})
		}
		return
	}
	if x != nil && p.Life == x.Life {
		x.heard = m.now
		if m.cfg.Learn && x.addr != from && slices.Contains(m.cfg.Seeds, from) {
			x.addr = from
		}
		m.fresher(x, p.News, "says something new of itself")
	}
	for _, raw := range p.Rumours {
		if r, err := readRumour(raw); err == nil {
			m.rumour(r)
		}
	}
	switch p.Kind {
	case ping:
		if p.For == "" || p.For == m.me.Name && p.ForLife <= m.me.Life {
			m.send(from, packet{Kind: ack, Seq: p.Seq})
		}
	case ask:
		if y := m.table[p.For]; y != nil && y.Life == p.ForLife {
			seq := m.newSeq()
			m.errands[seq] = errand{to: from, seq: p.Seq, at: m.now}
			m.send(y.addr, packet{Kind: ping, Seq: seq, For: y.Name, ForLife: y.Life})
		}
	case ack:
		m.acked(p, x)
	case inquire:
		if y := m.table[p.For]; y != nil && y.Life == p.ForLife && p.ForNews >= y.News && y.state <= Unknown {
			m.suspect(y, p.From, m.now, false)
		} else if p.For == m.me.Name && p.ForLife == m.me.Life {
			m.refute(p.ForNews)
		}
	case join:
		m.wants(p, from)
	case over:
		if p.For == m.me.Name {
			m.ended(p.ForLife, p.Num == 1)
		}
	default:
		m.viewPacket(p, from, x)
	}
	if p.View.After(m.view.ViewID) && p.Kind != commit {
		m.behind(from)
	}
}

// acked takes an answer to a ping in, direct or from a relay, or passes it on.
func (m *Machine) acked(p *packet, x *member) {
	if e, ok := m.errands[p.Seq]; ok {
		delete(m.errands, p.Seq)
		m.send(e.to, packet{Kind: ack, Seq: e.seq, For: p.From, ForLife: p.Life, ForNews: p.News})
		if x != nil {
			x.answered = m.now
		}
		return
	}
	q := m.probes[p.Seq]
	if q == nil {
		return
	}
	life, of := p.Life, p.From
	if p.For != "" {
		life, of = p.ForLife, p.For
		m.fresher(q.who, p.ForNews, "a relay reaches it")
		m.sign = m.now
	}
	if q.who.Name != of || q.life != life || q.who.Life != life {
		return
	}
	delete(m.probes, p.Seq)
	if !q.quiet && m.now < q.sent+m.cfg.Period && m.health > 0 {
		m.health--
	}
	m.answer(q.who)
}

// fresher takes in that a member has raised its number: it lives, and knows what was said before.
func (m *Machine) fresher(x *member, n uint32, why string) {
	if n <= x.News || x.state == Left || x.state == Failed {
		return
	}
	x.News = n
	if x.state == Suspect || x.state == Unknown {
		public := x.public
		if m.set(x, Alive, why); public {
			m.pass(rumour{Name: x.Name, Life: x.Life, News: x.News, State: Alive})
		}
	}
}

// refute says that this member is there, above what was said of it.
func (m *Machine) refute(n uint32) {
	if n >= m.me.News {
		m.Counters.Refuted++
		m.me.News = n + 1
		m.pass(rumour{Name: m.me.Name, Life: m.me.Life, News: m.me.News, State: Alive})
		for _, x := range m.some(relays, nil) {
			m.send(x.addr, packet{Kind: ping, Seq: m.newSeq()})
		}
	}
}

// rumour takes in what is said of somebody.
func (m *Machine) rumour(r *rumour) {
	if r.Name == m.me.Name {
		switch {
		case r.Life > m.me.Life:
			if r.Whole != nil {
				m.ended(r.Life, !slices.Equal(r.Whole.At, m.me.At))
			}
		case r.Life == m.me.Life && r.State == Suspect:
			m.refute(r.News)
		case r.Life == m.me.Life && r.News > m.me.News: // this process was put back to an earlier state
			m.refute(r.News)
		case r.Life == m.me.Life && r.State == Left && m.leaving == 0:
			m.renew("it was put back to before it left")
		}
		return
	}
	x := m.table[r.Name]
	switch {
	case x == nil || r.Life > x.Life:
		if r.State == Alive && r.Whole != nil {
			m.meet(*r.Whole)
			m.pass(*r)
		}
	case r.Life < x.Life || x.state == Left || x.state == Failed:
	case r.State == Alive && r.News > x.News:
		if x.News = r.News; r.Whole != nil {
			x.Facts = r.Whole.Facts
		}
		m.set(x, Alive, "it says so")
		m.pass(*r)
	case r.State == Suspect && r.News >= x.News:
		x.News = r.News
		m.suspect(x, r.By, m.now-time.Duration(r.AgeMs)*time.Millisecond, true)
	case r.State == Left:
		m.set(x, Left, "it said so")
		m.pass(*r)
	}
}

// meet puts a member, or a new life of one, into the table.
func (m *Machine) meet(r Record) *member {
	x := m.table[r.Name]
	switch {
	case x != nil && x.Life == r.Life:
		if r.News > x.News && x.state <= Unknown {
			x.Facts, x.At, x.addr, x.Zone = r.Facts, r.At, m.reach(&r), r.Zone
			m.fresher(x, r.News, "it says so")
		}
		return x
	case x != nil && x.Life > r.Life:
		return x
	case x != nil:
		m.drop(x)
	}
	x = &member{Record: r, addr: m.reach(&r)}
	m.table[r.Name] = x
	m.set(x, Alive, "it is new")
	// It may wait for a whole round otherwise.
	if m.turn <= len(m.ring) {
		m.ring = slices.Insert(m.ring, m.turn+m.rng.IntN(len(m.ring)-m.turn+1), x)
	}
	return x
}

// reach is the address at which this member reaches another.
func (m *Machine) reach(r *Record) netip.AddrPort {
	if a, ok := m.cfg.Book[r.Name]; ok {
		return a
	} else if m.cfg.Learn {
		return netip.AddrPort{} // none before it is heard
	}
	return r.Addr()
}

// wants is a member that wants in, or says so of itself again.
func (m *Machine) wants(p *packet, from netip.AddrPort) {
	list, err := readRecords(p.Body)
	if err != nil || len(list) != 1 || list[0].Name != p.From || list[0].Life != p.Life {
		m.Counters.Foreign++
		return
	}
	known := m.table[p.From] != nil && m.table[p.From].Life >= p.Life
	x := m.meet(list[0])
	if x.Life == p.Life && !known {
		m.pass(rumour{Name: x.Name, Life: x.Life, News: x.News, State: Alive, Whole: &x.Record})
	}
	x.heard = m.now
	if m.cfg.Learn && slices.Contains(m.cfg.Seeds, from) {
		x.addr = from
	}
	if p.Seq == 0 { // not passed on yet: those that lead should know of it
		for _, name := range m.leaders(2) {
			if y := m.table[name]; y != nil && y != x {
				m.send(y.addr, packet{Kind: join, Seq: 1, Body: p.Body, For: p.From})
			}
		}
	}
	m.send(from, packet{Kind: ping, Seq: m.newSeq()}) // it hears from this what the view is
}

// ask looks for the way in.
func (m *Machine) ask() {
	body := encode([]Record{m.me})
	var to []netip.AddrPort
	for _, x := range m.some(2, nil) {
		to = append(to, x.addr)
	}
	for range min(2, len(m.cfg.Seeds)) {
		to = append(to, m.cfg.Seeds[m.asked%len(m.cfg.Seeds)])
		m.asked++
	}
	for _, a := range to {
		if a != m.cfg.At {
			m.send(a, packet{Kind: join, Body: body})
		}
	}
}

// elsewhere tells, as a number for a datagram, whether a later life than that of a datagram's sender is there, at another
// address. At the same one it is the same place, started anew with a clock that was set back.
func elsewhere(x *member, from netip.AddrPort) uint32 {
	if x.addr != from && x.state <= Unknown {
		return 1
	}
	return 0
}

// knock asks a seed that is no member here now and then: two fleets that were founded apart find each other by it.
func (m *Machine) knock() {
	m.knockAt = m.now + 10*m.cfg.Period + time.Duration(m.rng.Int64N(int64(10*m.cfg.Period)))
	if len(m.cfg.Seeds) == 0 {
		return
	}
	a := m.cfg.Seeds[m.rng.IntN(len(m.cfg.Seeds))]
	for _, x := range m.table {
		if x.addr == a && x.state <= Unknown {
			return // it is probed as it is
		}
	}
	if a != m.cfg.At {
		m.send(a, packet{Kind: join, Seq: 1, Body: encode([]Record{m.me})})
	}
}

// twin is a datagram of somebody else under this member's own name: both are told, and the later life keeps it.
func (m *Machine) twin(p *packet, from netip.AddrPort) {
	if at, ok := m.told[""]; !ok || m.now >= at+10*m.cfg.Period {
		m.told[""] = m.now
		m.Counters.Conflicts++
		m.notice("twice", "%s runs at %v too", m.me.Name, from)
	}
	switch {
	case p.Life > m.me.Life:
		m.ended(p.Life, true)
	case p.Life < m.me.Life:
		m.send(from, packet{Kind: over, For: m.me.Name, ForLife: m.me.Life, Num: 1})
	default: // two copies of one process
		m.me.Life += 1 + xxhash.Sum64(m.me.At)%997
		m.renew("another copy of it runs")
	}
}

// ended is told to this member: its life is over, or a later one is known under its name, perhaps at another place.
func (m *Machine) ended(life uint64, elsewhere bool) {
	switch {
	case life < m.me.Life || m.leaving > 0:
	case elsewhere && life > m.me.Life:
		m.done = true
		m.notice("superseded", "a later start has the name %s; this one is a member no more", m.me.Name)
	default:
		m.me.Life = life
		m.renew("the others went on without it")
	}
}

// renew begins a new life: an ended one never comes back.
func (m *Machine) renew(why string) {
	m.me.Life++
	m.me.News = 0
	m.joined, m.joinAt = false, m.now
	m.notice("expelled", "%s; it comes back as life %d", why, m.me.Life)
	m.sayMe()
}

func sortedKeys[K cmp.Ordered, V any](in map[K]V) []K {
	out := make([]K, 0, len(in))
	for k := range in {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

// Seen is what this member knows of one, itself included.
type Seen struct {
	Name     string   `json:"name"`
	Zone     string   `json:"zone"`
	Life     uint64   `json:"life"`
	Address  string   `json:"address"`
	State    string   `json:"state"`
	SinceS   float64  `json:"since_s"`
	By       []string `json:"accused_by,omitempty"`
	InView   bool     `json:"in_view"`
	Weight   float32  `json:"weight"`
	Draining bool     `json:"draining"`
	Version  string   `json:"version"`
}

// Members are all that this member knows of, by zone and name.
func (m *Machine) Members() []Seen {
	see := func(r *Record, addr netip.AddrPort, state State, since time.Duration, by []string) Seen {
		return Seen{Name: r.Name, Zone: r.Zone, Life: r.Life, Address: addr.String(), State: state.String(), SinceS: (m.now - since).Seconds(),
			By: slices.Clone(by), InView: m.view.Has(r.Name, r.Life), Weight: r.Facts.Weight, Draining: r.Facts.Draining, Version: r.Facts.Version}
	}
	state := Alive
	if m.leaving > 0 || m.done {
		state = Left
	}
	out := []Seen{see(&m.me, m.cfg.At, state, m.born, nil)}
	for _, x := range m.table {
		out = append(out, see(&x.Record, x.addr, x.state, x.since, x.by))
	}
	slices.SortFunc(out, func(a, b Seen) int { return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Name, b.Name)) })
	return out
}

// Addresses are those that a datagram of this fleet may come from.
func (m *Machine) Addresses() map[netip.AddrPort]bool {
	out := map[netip.AddrPort]bool{}
	for _, a := range m.cfg.Seeds {
		out[a] = true
	}
	for _, x := range m.table {
		out[x.addr] = true
	}
	return out
}

// Name, Life, Joined and Health are this member's own.
func (m *Machine) Name() string { return m.me.Name }
func (m *Machine) Life() uint64 { return m.me.Life }
func (m *Machine) Joined() bool { return m.joined }
func (m *Machine) Health() int  { return m.health }
