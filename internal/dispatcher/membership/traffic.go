// Datagrams in and out, how a member joins, and how an incarnation ends.

package membership

import (
	"cmp"
	"fmt"
	"math/bits"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// send writes a datagram. What stands in it of others fills it up, first what concerns the one that it goes to.
func (m *Machine) send(to netip.AddrPort, p packet) {
	if !to.IsValid() {
		return
	}
	p.From, p.Incarnation, p.Revision = m.self.Name, m.self.Incarnation, m.self.Revision
	if p.View == (ViewID{}) {
		p.View = m.view.ViewID
	}
	body := encodeCBOR(p)
	size := 1 + len(body)
	if p.Kind == ping || p.Kind == ack || p.Kind == pingRequest {
		if x := m.members[p.Subject]; p.Kind == ping && x != nil && x.isDisseminated && (x.state == Suspected || x.state == Unknown) {
			raw := encodeCBOR(rumor{Name: x.Name, Incarnation: x.Incarnation, Revision: x.Revision, State: Suspected, SuspectedBy: m.self.Name, AgeMilliseconds: uint32((m.now - x.stateSince).Milliseconds())})
			if size+len(raw)+1 <= MaxDatagramBytes {
				p.Rumors, size = append(p.Rumors, raw), size+len(raw)
			}
		}
		most := gossipFactor * bits.Len(uint(len(m.members)+1))
		slices.SortStableFunc(m.gossipQueue, func(a, b *gossipEntry) int { return cmp.Compare(a.transmissions, b.transmissions) })
		for _, n := range m.gossipQueue {
			if size+len(n.encoded)+2 <= MaxDatagramBytes && len(p.Rumors) < 20 && n.memberName != p.Subject {
				p.Rumors, size = append(p.Rumors, n.encoded), size+len(n.encoded)
				n.transmissions++
			}
		}
		m.gossipQueue = slices.DeleteFunc(m.gossipQueue, func(n *gossipEntry) bool { return n.transmissions >= most })
	}
	if len(p.Rumors) > 0 {
		body = encodeCBOR(p)
	}
	data := append(append(make([]byte, 0, 1+len(body)), formatVersion), body...)
	if len(data) > MaxDatagramBytes {
		panic(fmt.Sprintf("membership: a datagram of %d bytes, kind %d", len(data), p.Kind)) // sizes are bounded where bodies are made
	}
	m.Counters.Sent++
	m.Counters.SentBytes += uint64(len(data))
	m.actions.Send = append(m.actions.Send, OutgoingDatagram{To: to, Data: data})
}

// handleDatagram takes a datagram in.
func (m *Machine) handleDatagram(from netip.AddrPort, data []byte) {
	p, err := decodePacket(data)
	if err != nil {
		m.Counters.Malformed++
		return
	}
	m.Counters.Received++
	if p.From == m.self.Name {
		m.handleNameConflict(p, from)
		return
	}
	x := m.members[p.From]
	if x != nil && p.Incarnation < x.Incarnation || x != nil && p.Incarnation == x.Incarnation && (x.state == Left || x.state == Failed) {
		if p.Kind != incarnationEnded && m.now >= m.notifiedAt[p.From]+m.config.Period { // it should know that this life has ended, or the one before
			m.notifiedAt[p.From] = m.now
			m.send(from, packet{Kind: incarnationEnded, Subject: p.From, SubjectIncarnation: x.Incarnation, Number: isAtOtherAddress(x, from)})
		}
		return
	}
	if x != nil && p.Incarnation == x.Incarnation {
		x.lastHeardAt = m.now
		if m.config.LearnAddresses && x.endpoint != from && slices.Contains(m.config.Seeds, from) {
			x.endpoint = from
		}
		m.applyRevision(x, p.Revision, "says something new of itself")
	}
	for _, raw := range p.Rumors {
		if r, err := decodeRumor(raw); err == nil {
			m.applyRumor(r)
		}
	}
	switch p.Kind {
	case ping:
		if p.Subject == "" || p.Subject == m.self.Name && p.SubjectIncarnation <= m.self.Incarnation {
			m.send(from, packet{Kind: ack, Sequence: p.Sequence})
		}
	case pingRequest:
		if y := m.members[p.Subject]; y != nil && y.Incarnation == p.SubjectIncarnation {
			seq := m.nextSequence()
			m.relayedPings[seq] = relayedPing{to: from, sequence: p.Sequence, sentAt: m.now}
			m.send(y.endpoint, packet{Kind: ping, Sequence: seq, Subject: y.Name, SubjectIncarnation: y.Incarnation})
		}
	case ack:
		m.handleAck(p, x)
	case investigateRequest:
		if y := m.members[p.Subject]; y != nil && y.Incarnation == p.SubjectIncarnation && p.SubjectRevision >= y.Revision && y.state <= Unknown {
			m.addSuspicion(y, p.From, m.now, false)
		} else if p.Subject == m.self.Name && p.SubjectIncarnation == m.self.Incarnation {
			m.refute(p.SubjectRevision)
		}
	case join:
		m.handleJoin(p, from)
	case incarnationEnded:
		if p.Subject == m.self.Name {
			m.handleIncarnationEnded(p.SubjectIncarnation, p.Number == 1)
		}
	default:
		m.handleViewPacket(p, from, x)
	}
	if p.View.After(m.view.ViewID) && p.Kind != commit {
		m.requestView(from)
	}
}

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
