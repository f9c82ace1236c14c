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

	config            Config
	rng               *rand.Rand
	now               time.Duration
	wakeAt            time.Duration
	actions           Actions
	self              Record
	joined            bool // it is in the view
	leavingSince      time.Duration
	isEnded           bool // it has left, or a later life has its name
	members           map[string]*member
	ring              []*member // whom to probe, in a random order made anew each round
	ringPosition      int
	nextProbeAt       time.Duration
	nextJoinAt        time.Duration
	nextSeedContactAt time.Duration
	seedsAsked        int // seeds asked so far
	sequence          uint32
	probes            map[uint32]*probe
	relayedPings      map[uint32]relayedPing
	gossipQueue       []*gossipEntry
	healthPenalty     int           // 0 is well: its own probes come back in time
	lastSignAt        time.Duration // when somebody last answered this member
	startedAt         time.Duration
	investigated      []*member
	suspected         []*member
	notifiedAt        map[string]time.Duration // when this member was last told of its conflict
	view              viewState
}

const (
	indirectProbes           = 3 // asked to ping for a member
	maxHealthPenalty         = 8 // periods that an accusation may wait for the accuser's own health
	minObserverPings         = 6 // that a juror has sent in vain at least before its word counts
	pingsBeforeDissemination = 5 // pings of a juror with which it tells all: after two, 300 members with a fifth of all lost sent 2 kB/s
	leavePeriods             = 4 // periods that a member that leaves goes on answering
	gossipFactor             = 3 // times the logarithm of the members, a rumour is passed on
)

// New makes a member. The time is that of the events.
func New(cfg Config, now time.Duration) (*Machine, error) {
	if err := cfg.SetDefaults(); err != nil {
		return nil, err
	}
	at, err := cfg.Address.MarshalBinary()
	if err != nil {
		return nil, err
	}
	m := &Machine{config: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, cfg.Incarnation)), now: now, wakeAt: now, startedAt: now, lastSignAt: now,
		self:    Record{Name: cfg.Name, Incarnation: cfg.Incarnation, Zone: cfg.Zone, Address: at, Metadata: cfg.Metadata},
		members: map[string]*member{}, probes: map[uint32]*probe{}, relayedPings: map[uint32]relayedPing{}, notifiedAt: map[string]time.Duration{}}
	if err := m.self.check(); err != nil {
		return nil, fmt.Errorf("membership: %w", err)
	}
	m.sequence = m.rng.Uint32N(1 << 20)
	m.view.init()
	return m, nil
}

// Handle takes one event at the time now.
func (m *Machine) Handle(now time.Duration, ev Event) *Actions {
	m.actions = Actions{Send: m.actions.Send[:0], Changes: m.actions.Changes[:0], Notices: m.actions.Notices[:0]}
	m.now = max(now, m.now)
	if m.isEnded {
		m.actions.Next = m.now + time.Hour
		return &m.actions
	}
	if late := m.now - m.wakeAt; late > m.config.Period*3/5 { // called so late, it was stopped itself
		m.handlePause(late)
	}
	switch ev.Kind {
	case DatagramReceived:
		m.handleDatagram(ev.From, ev.Data)
	case MetadataChanged:
		m.self.Metadata = ev.Metadata
		m.self.Revision++
		m.disseminateSelf()
	case Leave:
		if m.leavingSince == 0 {
			m.leavingSince = m.now
			m.disseminate(rumor{Name: m.self.Name, Incarnation: m.self.Incarnation, Revision: m.self.Revision, State: Left})
			for _, x := range m.randomAlive(indirectProbes, nil) { // told, not timed out
				m.send(x.endpoint, packet{Kind: ping, Sequence: m.nextSequence()})
			}
		}
	}
	if !m.isEnded {
		m.runDue()
	}
	m.actions.Next = m.wakeAt
	return &m.actions
}

// paused is called when this member finds that it was stopped itself: what it did not hear says nothing of others.
func (m *Machine) handlePause(late time.Duration) {
	m.Counters.Pauses++
	m.notice("paused", "stood still for about %v; accuses nobody for a while", late.Round(time.Millisecond))
	clear(m.probes)
	m.nextProbeAt, m.nextJoinAt, m.lastSignAt = m.now+m.config.Period, m.now, m.now
	m.healthPenalty = min(m.healthPenalty+2, maxHealthPenalty)
	for _, x := range m.investigated {
		x.investigation.startedAt, x.investigation.pings = m.now, 0
	}
	for _, x := range m.suspected { // the time that passed is not a time in which they were silent
		x.stateSince = m.now
	}
	m.view.pause(m.now)
}

func (m *Machine) notice(kind, format string, v ...any) {
	m.actions.Notices = append(m.actions.Notices, Notice{kind, fmt.Sprintf(format, v...)})
}

func (m *Machine) nextSequence() uint32 { m.sequence++; return m.sequence }

// work does all that is due, and finds out when something will be.
func (m *Machine) runDue() {
	if m.leavingSince > 0 && m.now >= m.leavingSince+leavePeriods*m.config.Period {
		m.isEnded = true
		return
	}
	m.wakeAt = m.now + m.config.Period
	m.wakeBy(m.nextProbeAt)
	if m.now >= m.nextProbeAt {
		m.probeNext()
		m.nextProbeAt = max(m.nextProbeAt+m.config.Period, m.now+m.config.Period/2)
	}
	m.checkOverdueProbes()
	for _, x := range slices.Clone(m.investigated) {
		m.investigate(x)
	}
	m.suspected = slices.DeleteFunc(m.suspected, func(x *member) bool { return x.state != Suspected })
	for _, x := range m.suspected {
		if ripe := x.stateSince + m.config.FailureTimeout + 4*m.config.Period; m.now < ripe {
			m.wakeBy(ripe)
		} else {
			m.setState(x, Unknown, "nobody reaches it, and too few can say so together")
		}
	}
	if m.leavingSince == 0 && !m.joined && m.now >= m.nextJoinAt {
		m.sendJoin()
		m.nextJoinAt = m.now + m.config.Period
	}
	if !m.joined {
		m.wakeBy(m.nextJoinAt)
	} else if m.now >= m.nextSeedContactAt {
		m.contactSeed()
	}
	m.coordinate()
	m.wakeBy(m.nextProbeAt)
	for seq, e := range m.relayedPings {
		if m.now-e.sentAt > 2*m.config.FailureTimeout {
			delete(m.relayedPings, seq)
		}
	}
}

// soon sees to it that the machine is called by then.
func (m *Machine) wakeBy(at time.Duration) {
	if at > m.now {
		m.wakeAt = min(m.wakeAt, at)
	}
}

// Name returns this member's own name.
func (m *Machine) Name() string { return m.self.Name }

// Life returns which of its lives this member is in.
func (m *Machine) Incarnation() uint64 { return m.self.Incarnation }

// Joined tells whether this member has joined the others.
func (m *Machine) Joined() bool { return m.joined }

// Health returns how unwell this member is: 0 while its own probes come back in time.
func (m *Machine) Health() int { return m.healthPenalty }
