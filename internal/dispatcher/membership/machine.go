// Package membership says which dispatchers are there. A Machine is one member's
// state: it is handed datagrams, the time and what its operator wants, and gives
// back datagrams, changes, views and when it wants to be called next. It has no
// I/O, clock or goroutine, and the same events always give the same actions. This
// file owns what is known of each member: probes, accusations, the inquiry of a
// member's jury, refutation, leaving, lives. It must never take somebody for failed:
// that is said by a view (view.go) and by nothing else. docs/membership-design.md has the
// options weighed and the table of states.
package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

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

// Name returns this member's own name.
func (m *Machine) Name() string { return m.me.Name }

// Life returns which of its lives this member is in.
func (m *Machine) Life() uint64 { return m.me.Life }

// Joined tells whether this member has joined the others.
func (m *Machine) Joined() bool { return m.joined }

// Health returns how unwell this member is: 0 while its own probes come back in time.
func (m *Machine) Health() int { return m.health }
