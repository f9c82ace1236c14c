// Package membership tells which dispatchers are there. A Machine is the state of one member, without I/O, clock or
// goroutine: it is handed datagrams, the time and its operator's wishes, and returns datagrams, changes, views and the time
// of its next call. The same events always lead to the same actions.
//
// A member is suspected when it does not answer a ping, directly or through others (SWIM). A suspicion goes to the
// member's observers, some members chosen by a hash of the names, who ping it themselves and report to the coordinator.
// Nobody is removed by a suspicion alone: a member has failed when a view says so, and the views are agreed on by a
// majority, each by a ballot of prepare and accept.
//
// Start reading at Machine.Handle (machine.go): probes.go pings and investigates, members.go keeps what is known of each
// member, gossip in traffic.go spreads it, coordinator.go and ballot.go agree on the next view, transfer.go brings views to
// members that are behind, packet.go encodes datagrams. docs/membership-design.md weighs the alternatives and has the table
// of states.
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
	isEnded           bool // it has left, or a later incarnation has its name
	members           map[string]*member
	ring              []*member // members to ping, in a random order that is drawn anew each round
	ringPosition      int
	nextProbeAt       time.Duration
	nextJoinAt        time.Duration
	nextSeedContactAt time.Duration
	seedsAsked        int // seeds asked so far
	sequence          uint32
	probes            map[uint32]*probe
	relayedPings      map[uint32]relayedPing
	gossipQueue       []*gossipEntry
	healthPenalty     int           // 0 is healthy: its own probes are answered in time
	lastSignAt        time.Duration // when this member was last answered by anybody
	startedAt         time.Duration
	investigated      []*member
	suspected         []*member
	notifiedAt        map[string]time.Duration // when a member was last told that its incarnation has ended
	view              viewState
}

const (
	indirectProbes           = 3 // members asked to ping another one for this member
	maxHealthPenalty         = 8 // periods by which a suspicion may wait for the health of the member that has it
	minObserverPings         = 6 // unanswered pings of an observer before its report counts
	pingsBeforeDissemination = 5 // pings of an observer before it spreads the suspicion: with two, 300 members that lost a fifth of all datagrams sent 2 kB/s
	leavePeriods             = 4 // periods for which a leaving member still answers
	gossipFactor             = 3 // times the logarithm of the number of members that a rumor is sent
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
	if late := m.now - m.wakeAt; late > m.config.Period*3/5 { // called as late as this, the process itself was stopped
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
			for _, x := range m.randomAlive(indirectProbes, nil) { // they hear of it, so that nobody has to suspect it
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

// handlePause is called when this member finds that its process was stopped: what it missed says nothing about others.
func (m *Machine) handlePause(late time.Duration) {
	m.Counters.Pauses++
	m.notice("paused", "stood still for about %v; accuses nobody for a while", late.Round(time.Millisecond))
	clear(m.probes)
	m.nextProbeAt, m.nextJoinAt, m.lastSignAt = m.now+m.config.Period, m.now, m.now
	m.healthPenalty = min(m.healthPenalty+2, maxHealthPenalty)
	for _, x := range m.investigated {
		x.investigation.startedAt, x.investigation.pings = m.now, 0
	}
	for _, x := range m.suspected { // the time of the pause does not count as theirs without an answer
		x.stateSince = m.now
	}
	m.view.pause(m.now)
}

func (m *Machine) notice(kind, format string, v ...any) {
	m.actions.Notices = append(m.actions.Notices, Notice{kind, fmt.Sprintf(format, v...)})
}

func (m *Machine) nextSequence() uint32 { m.sequence++; return m.sequence }

// runDue does all that is due, and finds out when the next thing will be.
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

// wakeBy has the machine called at the latest then.
func (m *Machine) wakeBy(at time.Duration) {
	if at > m.now {
		m.wakeAt = min(m.wakeAt, at)
	}
}

// Name returns this member's own name.
func (m *Machine) Name() string { return m.self.Name }

// Incarnation returns the number of this start of the member; a later start has a larger number.
func (m *Machine) Incarnation() uint64 { return m.self.Incarnation }

// Joined tells whether this member has joined the others.
func (m *Machine) Joined() bool { return m.joined }

// Health returns how unhealthy this member is: 0 while its own probes are answered in time, 8 at most.
func (m *Machine) Health() int { return m.healthPenalty }
