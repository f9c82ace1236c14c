// Sending and receiving datagrams: gossip fills up outgoing ones, and incoming ones go to the handler of their kind.

package membership

import (
	"cmp"
	"fmt"
	"math/bits"
	"net/netip"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

// maxRumors is the maximum number of rumors in a datagram.
const maxRumors = 20

// send encodes a packet and queues it for sending. Pings, acks and ping requests carry rumors in the space that is
// left.
func (m *Machine) send(to netip.AddrPort, p packet) {
	if !to.IsValid() {
		return
	}
	p.From, p.Incarnation, p.Revision = m.self.Name, m.self.Incarnation, m.self.Revision
	if p.View == (ViewID{}) {
		p.View = m.view.ViewID
	}
	body := encodeCBOR(p)
	if p.Kind == ping || p.Kind == ack || p.Kind == pingRequest {
		m.addRumors(&p, 1+len(body))
	}
	if len(p.Rumors) > 0 {
		body = encodeCBOR(p)
	}
	data := append(append(make([]byte, 0, 1+len(body)), formatVersion), body...)
	if len(data) > MaxDatagramBytes { // the code that builds a body bounds its size
		panic(fmt.Sprintf("membership: a datagram of %d bytes, kind %d", len(data), p.Kind))
	}
	m.Counters.Sent++
	m.Counters.SentBytes += uint64(len(data))
	m.actions.Send = append(m.actions.Send, OutgoingDatagram{To: to, Data: data})
}

// addRumors adds rumors to a packet whose datagram has size bytes without them. The suspicion of the pinged member goes
// first, so that the member can refute it, then the rumors that were sent least often.
func (m *Machine) addRumors(p *packet, size int) {
	if own := m.suspicionOfReceiver(p); own != nil && size+len(own)+1 <= MaxDatagramBytes {
		p.Rumors = append(p.Rumors, own)
		size += len(own)
	}
	maxTransmissions := gossipFactor * bits.Len(uint(len(m.members)+1))
	slices.SortStableFunc(m.gossipQueue, func(a, b *gossipEntry) int { return cmp.Compare(a.transmissions, b.transmissions) })
	for _, entry := range m.gossipQueue {
		fits := size+len(entry.encoded)+2 <= MaxDatagramBytes && len(p.Rumors) < maxRumors
		if fits && entry.memberName != p.Subject {
			p.Rumors = append(p.Rumors, entry.encoded)
			size += len(entry.encoded)
			entry.transmissions++
		}
	}
	m.gossipQueue = slices.DeleteFunc(m.gossipQueue, func(entry *gossipEntry) bool { return entry.transmissions >= maxTransmissions })
}

// suspicionOfReceiver returns the encoded suspicion of the member that a ping goes to, or nil if no suspicion of it has
// been disseminated.
func (m *Machine) suspicionOfReceiver(p *packet) cbor.RawMessage {
	peer := m.members[p.Subject]
	if p.Kind != ping || peer == nil || !peer.isDisseminated || !peer.isDoubtful() {
		return nil
	}
	return encodeCBOR(rumor{
		Name: peer.Name, Incarnation: peer.Incarnation, Revision: peer.Revision, State: Suspected,
		SuspectedBy: m.self.Name, AgeMilliseconds: uint32((m.now - peer.stateSince).Milliseconds()),
	})
}

// handleDatagram decodes a datagram, applies its rumors and handles its packet.
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
	peer := m.members[p.From]
	if peer != nil && peer.hasEnded(p.Incarnation) {
		m.notifyEnded(p, peer, from)
		return
	}
	if peer != nil && p.Incarnation == peer.Incarnation {
		m.recordHeard(peer, p, from)
	}
	for _, raw := range p.Rumors {
		if r, err := decodeRumor(raw); err == nil {
			m.applyRumor(r)
		}
	}
	m.handlePacket(p, peer, from)
	if p.View.After(m.view.ViewID) && p.Kind != commit {
		m.requestView(from)
	}
}

// hasEnded reports whether an incarnation of a member has ended: a later one is known, or it has left or failed.
func (peer *member) hasEnded(incarnation uint64) bool {
	return incarnation < peer.Incarnation || incarnation == peer.Incarnation && (peer.state == Left || peer.state == Failed)
}

// notifyEnded tells the sender of a packet that its incarnation has ended, at most once a period.
func (m *Machine) notifyEnded(p *packet, peer *member, from netip.AddrPort) {
	if p.Kind == incarnationEnded || m.now < m.notifiedAt[p.From]+m.config.Period {
		return
	}
	m.notifiedAt[p.From] = m.now
	m.send(from, packet{Kind: incarnationEnded, Subject: p.From, SubjectIncarnation: peer.Incarnation, Number: isAtOtherAddress(peer, from)})
}

// recordHeard records what every packet shows of its sender: that it sends, from which address, and its revision.
func (m *Machine) recordHeard(peer *member, p *packet, from netip.AddrPort) {
	peer.lastHeardAt = m.now
	if m.config.LearnAddresses && peer.endpoint != from && slices.Contains(m.config.Seeds, from) {
		peer.endpoint = from
	}
	m.applyRevision(peer, p.Revision, "says something new of itself")
}

// handlePacket passes a packet to the handler of its kind. peer is nil if the sender is not known yet.
func (m *Machine) handlePacket(p *packet, peer *member, from netip.AddrPort) {
	switch p.Kind {
	case ping:
		if p.Subject == "" || p.Subject == m.self.Name && p.SubjectIncarnation <= m.self.Incarnation {
			m.send(from, packet{Kind: ack, Sequence: p.Sequence})
		}
	case pingRequest:
		m.relayPing(p, from)
	case ack:
		m.handleAck(p, peer)
	case investigateRequest:
		m.handleInvestigateRequest(p)
	case join:
		m.handleJoin(p, from)
	case incarnationEnded:
		if p.Subject == m.self.Name {
			m.handleIncarnationEnded(p.SubjectIncarnation, p.Number == 1)
		}
	default:
		m.handleViewPacket(p, from, peer)
	}
}

// relayPing pings a member on behalf of the sender of a ping request. handleAck forwards the answer.
func (m *Machine) relayPing(p *packet, from netip.AddrPort) {
	subject := m.members[p.Subject]
	if subject == nil || subject.Incarnation != p.SubjectIncarnation {
		return
	}
	sequence := m.nextSequence()
	m.relayedPings[sequence] = relayedPing{to: from, sequence: p.Sequence, sentAt: m.now}
	m.send(subject.endpoint, packet{Kind: ping, Sequence: sequence, Subject: subject.Name, SubjectIncarnation: subject.Incarnation})
}

// handleInvestigateRequest records that the sender suspects a member which this one observes. If the sender suspects
// this member itself, this member refutes it.
func (m *Machine) handleInvestigateRequest(p *packet) {
	subject := m.members[p.Subject]
	switch {
	case subject != nil && subject.Incarnation == p.SubjectIncarnation && p.SubjectRevision >= subject.Revision && subject.state <= Unknown:
		m.addSuspicion(subject, p.From, m.now, false)
	case p.Subject == m.self.Name && p.SubjectIncarnation == m.self.Incarnation:
		m.refute(p.SubjectRevision)
	}
}
