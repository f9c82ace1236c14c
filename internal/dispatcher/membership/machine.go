// Package membership determines which dispatchers are members of a fleet. A Machine is the state machine of one member,
// without I/O, clock or goroutines. It takes datagrams, the time and its operator's commands, and returns datagrams,
// changes of members, views and the time of its next call. The same events always lead to the same actions.
//
// A member is suspected if it answers neither a ping nor the pings of relays (SWIM). The suspicion goes to the member's
// observers, a few members chosen by a hash of the names, which ping it themselves and report to the coordinator. A
// suspicion alone removes no member: a member has failed if a view without it is installed. A majority agrees on each
// view in a ballot of prepare and accept.
//
// Start reading at Machine.Handle (machine.go). probes.go pings and investigates, members.go holds the state of each
// member, datagrams.go sends and receives datagrams and their gossip, coordinator.go and ballot.go agree on the next
// view, transfer.go brings views to members that are behind, and packet.go encodes datagrams. docs/membership-design.md
// weighs the alternatives and has the table of states.
package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Machine is the state machine of one member. It is not safe for concurrent use.
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
	probeOrder        []*member // members to ping, shuffled at the start of each round
	probePosition     int
	nextProbeAt       time.Duration
	nextJoinAt        time.Duration
	nextSeedContactAt time.Duration
	seedsAsked        int // joins sent to seeds so far
	sequence          uint32
	probes            map[uint32]*probe
	relayedPings      map[uint32]relayedPing
	gossipQueue       []*gossipEntry
	healthPenalty     int           // 0 is healthy: its own probes are answered in time
	lastAnyAnswerAt   time.Duration // when any member last answered this one
	startedAt         time.Duration
	investigated      []*member
	suspected         []*member
	// notifiedAt is when a name was last notified that its incarnation has ended. Key "" is for the last report of a name
	// conflict.
	notifiedAt map[string]time.Duration
	view       viewState
}

const (
	indirectProbes   = 3 // relays that are asked to ping another member
	maxHealthPenalty = 8 // maximum of Machine.healthPenalty; a point delays suspicions by half a period or more
	minObserverPings = 6 // unanswered pings of an observer before its report counts
	// Pings of an observer before it spreads the suspicion; with 2, each of 300 members sent 2 kB/s at 20% loss.
	pingsBeforeDissemination = 5
	leavePeriods             = 4 // periods for which a leaving member still answers
	gossipFactor             = 3 // a rumor is sent this many times the binary logarithm of the number of members
)

// New returns a member that starts at the time now, which is of the same clock as the events. It returns an error if
// the configuration is invalid.
func New(cfg Config, now time.Duration) (*Machine, error) {
	if err := cfg.SetDefaults(); err != nil {
		return nil, err
	}
	address, err := cfg.Address.MarshalBinary()
	if err != nil {
		return nil, err
	}
	m := &Machine{config: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, cfg.Incarnation)), now: now, wakeAt: now, startedAt: now, lastAnyAnswerAt: now,
		self:    Record{Name: cfg.Name, Incarnation: cfg.Incarnation, Zone: cfg.Zone, Address: address, Metadata: cfg.Metadata},
		members: map[string]*member{}, probes: map[uint32]*probe{}, relayedPings: map[uint32]relayedPing{}, notifiedAt: map[string]time.Duration{}}
	if err := m.self.check(); err != nil {
		return nil, fmt.Errorf("membership: %w", err)
	}
	m.sequence = m.rng.Uint32N(1 << 20)
	m.view.init()
	return m, nil
}

// Handle handles an event at the time now and returns the actions that follow.
func (m *Machine) Handle(now time.Duration, ev Event) *Actions {
	m.actions = Actions{Send: m.actions.Send[:0], Changes: m.actions.Changes[:0], Notices: m.actions.Notices[:0]}
	m.now = max(now, m.now)
	if m.isEnded {
		m.actions.Next = m.now + time.Hour
		return &m.actions
	}
	if late := m.now - m.wakeAt; late > m.config.Period*3/5 { // a call this late means that this process was paused
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
			// Spread the news, so that no member suspects this one.
			for _, peer := range m.randomAlive(indirectProbes, nil) {
				m.send(peer.endpoint, packet{Kind: ping, Sequence: m.nextSequence()})
			}
		}
	}
	if !m.isEnded {
		m.runDue()
	}
	m.actions.Next = m.wakeAt
	return &m.actions
}

// handlePause discards this member's probes and observations after its own process was paused: answers that it missed
// meanwhile are no evidence against other members.
func (m *Machine) handlePause(late time.Duration) {
	m.Counters.Pauses++
	m.notice("paused", "stood still for about %v; accuses nobody for a while", late.Round(time.Millisecond))
	clear(m.probes)
	m.nextProbeAt, m.nextJoinAt, m.lastAnyAnswerAt = m.now+m.config.Period, m.now, m.now
	m.healthPenalty = min(m.healthPenalty+2, maxHealthPenalty)
	for _, peer := range m.investigated {
		peer.investigation.startedAt, peer.investigation.pings = m.now, 0
	}
	for _, peer := range m.suspected { // the pause does not count as time in which they did not answer
		peer.stateSince = m.now
	}
	m.view.resetAfterPause(m.now)
}

func (m *Machine) notice(kind, format string, args ...any) {
	m.actions.Notices = append(m.actions.Notices, Notice{kind, fmt.Sprintf(format, args...)})
}

func (m *Machine) nextSequence() uint32 { m.sequence++; return m.sequence }

// runDue runs everything that is due and sets wakeAt to when the next work is due.
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
	for _, peer := range slices.Clone(m.investigated) {
		m.investigate(peer)
	}
	m.suspected = slices.DeleteFunc(m.suspected, func(peer *member) bool { return peer.state != Suspected })
	for _, peer := range m.suspected {
		if unknownAt := peer.stateSince + m.config.FailureTimeout + 4*m.config.Period; m.now < unknownAt {
			m.wakeBy(unknownAt)
		} else {
			m.setState(peer, Unknown, "nobody reaches it, and too few can say so together")
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
	for seq, relayed := range m.relayedPings {
		if m.now-relayed.sentAt > 2*m.config.FailureTimeout {
			delete(m.relayedPings, seq)
		}
	}
}

// wakeBy makes the caller call Handle again no later than the time at.
func (m *Machine) wakeBy(at time.Duration) {
	if at > m.now {
		m.wakeAt = min(m.wakeAt, at)
	}
}

// Name returns this member's own name.
func (m *Machine) Name() string { return m.self.Name }

// Incarnation returns the number of this start of the member; a later start has a larger number.
func (m *Machine) Incarnation() uint64 { return m.self.Incarnation }

// Joined reports whether this member's incarnation is in its view.
func (m *Machine) Joined() bool { return m.joined }

// Health returns this member's health penalty: 0 while its probes are answered in time, at most 8.
func (m *Machine) Health() int { return m.healthPenalty }
