// How a member joins, how fleets that were founded apart find each other, and how an incarnation ends.

package membership

import (
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// handleJoin is a member that wants in, or says so of itself again.
func (m *Machine) handleJoin(p *packet, from netip.AddrPort) {
	list, err := decodeRecords(p.Body)
	if err != nil || len(list) != 1 || list[0].Name != p.From || list[0].Incarnation != p.Incarnation {
		m.Counters.Malformed++
		return
	}
	known := m.members[p.From] != nil && m.members[p.From].Incarnation >= p.Incarnation
	x := m.addMember(list[0])
	if x.Incarnation == p.Incarnation && !known {
		m.disseminate(rumor{Name: x.Name, Incarnation: x.Incarnation, Revision: x.Revision, State: Alive, Record: &x.Record})
	}
	x.lastHeardAt = m.now
	if m.config.LearnAddresses && slices.Contains(m.config.Seeds, from) {
		x.endpoint = from
	}
	if p.Sequence == 0 { // not passed on yet: those that lead should know of it
		for _, name := range m.leaders(2) {
			if y := m.members[name]; y != nil && y != x {
				m.send(y.endpoint, packet{Kind: join, Sequence: 1, Body: p.Body, Subject: p.From})
			}
		}
	}
	m.send(from, packet{Kind: ping, Sequence: m.nextSequence()}) // it hears from this what the view is
}

// sendJoin looks for the way in.
func (m *Machine) sendJoin() {
	body := encodeCBOR([]Record{m.self})
	var to []netip.AddrPort
	for _, x := range m.randomAlive(2, nil) {
		to = append(to, x.endpoint)
	}
	for range min(2, len(m.config.Seeds)) {
		to = append(to, m.config.Seeds[m.seedsAsked%len(m.config.Seeds)])
		m.seedsAsked++
	}
	for _, a := range to {
		if a != m.config.Address {
			m.send(a, packet{Kind: join, Body: body})
		}
	}
}

// isAtOtherAddress tells, as a number for a datagram, whether a later life than that of a datagram's sender is there, at another
// address. At the same one it is the same place, started anew with a clock that was set back.
func isAtOtherAddress(x *member, from netip.AddrPort) uint32 {
	if x.endpoint != from && x.state <= Unknown {
		return 1
	}
	return 0
}

// contactSeed asks a seed that is no member here now and then: two fleets that were founded apart find each other by it.
func (m *Machine) contactSeed() {
	m.nextSeedContactAt = m.now + 10*m.config.Period + time.Duration(m.rng.Int64N(int64(10*m.config.Period)))
	if len(m.config.Seeds) == 0 {
		return
	}
	a := m.config.Seeds[m.rng.IntN(len(m.config.Seeds))]
	for _, x := range m.members {
		if x.endpoint == a && x.state <= Unknown {
			return // it is probed as it is
		}
	}
	if a != m.config.Address {
		m.send(a, packet{Kind: join, Sequence: 1, Body: encodeCBOR([]Record{m.self})})
	}
}

// handleNameConflict is a datagram of somebody else under this member's own name: both are told, and the later life keeps it.
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

// handleIncarnationEnded is told to this member: its life is over, or a later one is known under its name, perhaps at another place.
func (m *Machine) handleIncarnationEnded(life uint64, elsewhere bool) {
	switch {
	case life < m.self.Incarnation || m.leavingSince > 0:
	case elsewhere && life > m.self.Incarnation:
		m.isEnded = true
		m.notice("superseded", "a later start has the name %s; this one is a member no more", m.self.Name)
	default:
		m.self.Incarnation = life
		m.startNewIncarnation("the others went on without it")
	}
}

// startNewIncarnation begins a new life: an ended one never comes back.
func (m *Machine) startNewIncarnation(why string) {
	m.self.Incarnation++
	m.self.Revision = 0
	m.joined, m.nextJoinAt = false, m.now
	m.notice("expelled", "%s; it comes back as life %d", why, m.self.Incarnation)
	m.disseminateSelf()
}
