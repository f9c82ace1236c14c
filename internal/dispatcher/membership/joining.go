// Joining, the merging of fleets that were founded separately, and the end of an incarnation.

package membership

import (
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// handleJoin handles a request to join, or a member's repeated announcement of itself. It passes a new request on to
// the leaders and pings the sender, which learns the current view from that.
func (m *Machine) handleJoin(p *packet, from netip.AddrPort) {
	records, err := decodeRecords(p.Body)
	if err != nil || len(records) != 1 || records[0].Name != p.From || records[0].Incarnation != p.Incarnation {
		m.Counters.Malformed++
		return
	}
	known := m.members[p.From] != nil && m.members[p.From].Incarnation >= p.Incarnation
	peer := m.addMember(records[0])
	if peer.Incarnation == p.Incarnation && !known {
		m.disseminate(rumor{Name: peer.Name, Incarnation: peer.Incarnation, Revision: peer.Revision, State: Alive, Record: &peer.Record})
	}
	peer.lastHeardAt = m.now
	if m.config.LearnAddresses && slices.Contains(m.config.Seeds, from) {
		peer.endpoint = from
	}
	if p.Sequence == 0 { // not passed on yet
		for _, name := range m.leaders(2) {
			if leader := m.members[name]; leader != nil && leader != peer {
				m.send(leader.endpoint, packet{Kind: join, Sequence: 1, Body: p.Body, Subject: p.From})
			}
		}
	}
	m.send(from, packet{Kind: ping, Sequence: m.nextSequence()}) // carries the ID of this member's view
}

// sendJoin sends a request to join to two known members and to the next two seeds.
func (m *Machine) sendJoin() {
	body := encodeCBOR([]Record{m.self})
	var targets []netip.AddrPort
	for _, peer := range m.randomAlive(2, nil) {
		targets = append(targets, peer.endpoint)
	}
	for range min(2, len(m.config.Seeds)) {
		targets = append(targets, m.config.Seeds[m.seedsAsked%len(m.config.Seeds)])
		m.seedsAsked++
	}
	for _, address := range targets {
		if address != m.config.Address {
			m.send(address, packet{Kind: join, Body: body})
		}
	}
}

// isAtOtherAddress returns 1 if the known incarnation of a datagram's sender is present at another address than from,
// and otherwise 0. At the same address, the sender is that member restarted after its clock was set back.
func isAtOtherAddress(peer *member, from netip.AddrPort) uint32 {
	if peer.endpoint != from && peer.state <= Unknown {
		return 1
	}
	return 0
}

// contactSeed sends a join to a random seed that is not a member, every 10 to 20 periods. Two fleets that were founded
// separately find each other by it.
func (m *Machine) contactSeed() {
	m.nextSeedContactAt = m.now + 10*m.config.Period + time.Duration(m.rng.Int64N(int64(10*m.config.Period)))
	if len(m.config.Seeds) == 0 {
		return
	}
	seed := m.config.Seeds[m.rng.IntN(len(m.config.Seeds))]
	for _, peer := range m.members {
		if peer.endpoint == seed && peer.state <= Unknown {
			return // it is probed anyway
		}
	}
	if seed != m.config.Address {
		m.send(seed, packet{Kind: join, Sequence: 1, Body: encodeCBOR([]Record{m.self})})
	}
}

// handleNameConflict handles a datagram of another process that uses this member's name. Both operators are notified,
// and the later incarnation keeps the name.
func (m *Machine) handleNameConflict(p *packet, from netip.AddrPort) {
	if at, ok := m.notifiedAt[""]; !ok || m.now >= at+10*m.config.Period {
		m.notifiedAt[""] = m.now
		m.Counters.Conflicts++
		m.notice("twice", "%s runs at %v too", m.self.Name, from)
	}
	switch {
	case p.Incarnation > m.self.Incarnation:
		m.handleIncarnationEnded(p.Incarnation, true)
	case p.Incarnation < m.self.Incarnation:
		m.send(from, packet{Kind: incarnationEnded, Subject: m.self.Name, SubjectIncarnation: m.self.Incarnation, Number: 1})
	default: // two copies of one process
		m.self.Incarnation += 1 + xxhash.Sum64(m.self.Address)%997
		m.startNewIncarnation("another copy of it runs")
	}
}

// handleIncarnationEnded handles the news that this member's incarnation has ended, or that a later one has its name.
// If the later one runs elsewhere, this member ends. Otherwise it joins again with a new incarnation. News of an
// earlier incarnation is ignored.
func (m *Machine) handleIncarnationEnded(incarnation uint64, elsewhere bool) {
	switch {
	case incarnation < m.self.Incarnation || m.leavingSince > 0:
	case elsewhere && incarnation > m.self.Incarnation:
		m.isEnded = true
		m.notice("superseded", "a later start has the name %s; this one is a member no more", m.self.Name)
	default:
		m.self.Incarnation = incarnation
		m.startNewIncarnation("the others went on without it")
	}
}

// startNewIncarnation makes this member join again under its next incarnation. An ended incarnation never becomes a
// member again.
func (m *Machine) startNewIncarnation(reason string) {
	m.self.Incarnation++
	m.self.Revision = 0
	m.joined, m.nextJoinAt = false, m.now
	m.notice("expelled", "%s; it comes back as life %d", reason, m.self.Incarnation)
	m.disseminateSelf()
}
