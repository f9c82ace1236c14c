// Probing: pings, overdue answers, and the observers' investigations of suspicions.

package membership

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// investigation is the state of an observer's investigation of a suspected member.
type investigation struct {
	startedAt, lastPingAt, lastReportAt time.Duration
	pings                               int
}

// probe is a ping that has not been answered.
type probe struct {
	target          *member
	incarnation     uint64
	sequence        uint32
	sentAt          time.Duration
	dueAt           time.Duration // when the member is suspected if it has not answered
	isRelayed       bool          // relays have been asked to ping the member
	isInvestigation bool          // part of an investigation or already overdue; no suspicion follows from it
}

// relayedPing is a ping sent on behalf of another member, which gets the answer under its own sequence number.
type relayedPing struct {
	to       netip.AddrPort
	sequence uint32
	sentAt   time.Duration
}

// probeNext pings the next member of this round. It shuffles the members anew when a round is complete.
func (m *Machine) probeNext() {
	for range len(m.probeOrder) + 1 {
		if m.probePosition >= len(m.probeOrder) {
			m.probePosition, m.probeOrder = 0, m.probeOrder[:0]
			for _, peer := range m.members {
				if peer.state != Left && peer.state != Failed {
					m.probeOrder = append(m.probeOrder, peer)
				}
			}
			slices.SortFunc(m.probeOrder, func(a, b *member) int { return cmp.Compare(a.Name, b.Name) })
			m.rng.Shuffle(len(m.probeOrder), func(i, j int) { m.probeOrder[i], m.probeOrder[j] = m.probeOrder[j], m.probeOrder[i] })
		}
		if len(m.probeOrder) == 0 {
			return
		}
		peer := m.probeOrder[m.probePosition]
		m.probePosition++
		if peer.state == Left || peer.state == Failed || m.members[peer.Name] != peer || !peer.endpoint.IsValid() {
			continue
		}
		p := &probe{target: peer, incarnation: peer.Incarnation, sentAt: m.now}
		// After wrong suspicions of a member this one waits longer for its answer: the link of this member may be bad.
		p.dueAt = m.now + m.config.Period*time.Duration(2+m.healthPenalty)/2*time.Duration(1+min(peer.falseSuspicions, 6))
		m.sendPing(peer, p)
		return
	}
}

func (m *Machine) sendPing(peer *member, p *probe) {
	p.sequence = m.nextSequence()
	m.probes[p.sequence] = p
	m.send(peer.endpoint, packet{Kind: ping, Sequence: p.sequence, Subject: peer.Name, SubjectIncarnation: peer.Incarnation})
}

// checkOverdueProbes handles probes without an answer. After two fifths of a period it asks relays to ping the member,
// and from dueAt on it suspects the member.
func (m *Machine) checkOverdueProbes() {
	for _, seq := range sortedKeys(m.probes) {
		p := m.probes[seq]
		askRelaysAt := p.sentAt + m.config.Period*2/5
		switch {
		case p.target.Incarnation != p.incarnation || p.target.state == Left || p.target.state == Failed || m.now-p.sentAt > 2*m.config.FailureTimeout:
			delete(m.probes, seq)
		case p.isInvestigation:
		case m.now < askRelaysAt:
			m.wakeBy(askRelaysAt)
		case !p.isRelayed:
			p.isRelayed = true
			// One more direct ping.
			m.send(p.target.endpoint, packet{Kind: ping, Sequence: p.sequence, Subject: p.target.Name, SubjectIncarnation: p.target.Incarnation})
			for _, r := range m.randomAlive(indirectProbes, p.target) {
				m.send(r.endpoint, packet{Kind: pingRequest, Sequence: p.sequence, Subject: p.target.Name, SubjectIncarnation: p.target.Incarnation})
			}
			m.wakeBy(p.dueAt)
		case m.now >= p.dueAt:
			p.isInvestigation = true // a late answer still ends the suspicion
			m.healthPenalty = min(m.healthPenalty+1, maxHealthPenalty)
			m.startSuspicion(p.target)
		default:
			m.wakeBy(p.dueAt)
		}
	}
}

// randomAlive returns up to n random members that are alive, excluding the member except.
func (m *Machine) randomAlive(n int, except *member) (out []*member) {
	if len(m.probeOrder) == 0 {
		return nil
	}
	start := m.rng.IntN(len(m.probeOrder))
	for i := range m.probeOrder {
		peer := m.probeOrder[(start+i*7919)%len(m.probeOrder)]
		if peer != except && peer.state == Alive && m.members[peer.Name] == peer && !slices.Contains(out, peer) {
			if out = append(out, peer); len(out) == n {
				break
			}
		}
		if i > 4*n+16 {
			break
		}
	}
	return out
}

// observersOf returns the names of the members that investigate a suspicion of peer: the first ObserverCount members of
// the view, ordered by a hash of both names, without those that are not alive themselves.
func (m *Machine) observersOf(peer *member) (out []string) {
	type ranked struct {
		name string
		rank uint64
	}
	var candidates []ranked
	for i := range m.view.Members {
		name := m.view.Members[i].Name
		if other := m.members[name]; name == peer.Name || name != m.self.Name && (other == nil || other.state != Alive) {
			continue
		}
		candidates = append(candidates, ranked{name, xxhash.Sum64String(peer.Name + "/" + name)})
	}
	slices.SortFunc(candidates, func(a, b ranked) int { return cmp.Compare(a.rank, b.rank) })
	for _, r := range candidates[:min(len(candidates), m.config.ObserverCount)] {
		out = append(out, r.name)
	}
	return out
}

// investigate continues this member's investigation of peer as an observer. Twice a period it pings peer directly and
// through a relay. Once a period it reports to the first two leaders that peer does not answer. The investigation ends
// when peer answers, raises its revision, leaves or is removed.
func (m *Machine) investigate(peer *member) {
	inquiry := peer.investigation
	if peer.state != Suspected && peer.state != Unknown {
		m.endInvestigation(peer)
		return
	}
	pingInterval := m.config.Period / 2
	if m.now >= inquiry.lastPingAt+pingInterval {
		inquiry.lastPingAt = m.now
		if inquiry.pings++; inquiry.pings == pingsBeforeDissemination { // spread to all members, so that peer can refute it
			m.addSuspicion(peer, m.self.Name, inquiry.startedAt, true)
		}
		p := &probe{target: peer, incarnation: peer.Incarnation, sentAt: m.now, isInvestigation: true}
		m.sendPing(peer, p)
		for _, r := range m.randomAlive(1, peer) {
			m.send(r.endpoint, packet{Kind: pingRequest, Sequence: p.sequence, Subject: peer.Name, SubjectIncarnation: peer.Incarnation})
		}
	}
	m.wakeBy(inquiry.lastPingAt + pingInterval)
	age := m.now - inquiry.startedAt
	// A member that gets no answer from any other cannot tell whether peer has failed.
	if m.now-m.lastAnyAnswerAt > m.config.FailureTimeout/2 || inquiry.pings < minObserverPings {
		return
	}
	if m.now >= inquiry.lastReportAt+2*pingInterval {
		inquiry.lastReportAt = m.now
		for _, name := range m.leaders(2) {
			if name == m.self.Name {
				m.recordSuspicionReport(m.self.Name, peer, age)
			} else if leader := m.members[name]; leader != nil {
				m.send(leader.endpoint, packet{Kind: suspicionNotice, Subject: peer.Name, SubjectIncarnation: peer.Incarnation, SubjectRevision: peer.Revision, Number: uint32(age.Milliseconds())})
			}
		}
	}
}

// recordAnswer records that peer has answered this member, which ends this member's suspicion of it.
func (m *Machine) recordAnswer(peer *member) {
	peer.lastAnswerAt, peer.hasAnswered, m.lastAnyAnswerAt = m.now, true, m.now
	m.view.clearFailedSince(peer.Name)
	if peer.state == Suspected || peer.state == Unknown {
		if slices.Contains(peer.suspectedBy, m.self.Name) {
			peer.falseSuspicions = min(peer.falseSuspicions+1, 6)
			peer.suspectedBy = slices.DeleteFunc(peer.suspectedBy, func(s string) bool { return s == m.self.Name })
		}
		m.setState(peer, Alive, "it answers")
	} else if peer.falseSuspicions > 0 && m.rng.IntN(8) == 0 {
		peer.falseSuspicions--
	}
}

// handleAck handles an answer to a ping, either direct or from a relay. If this member was the relay, it passes the
// answer on.
func (m *Machine) handleAck(p *packet, peer *member) {
	if relayed, ok := m.relayedPings[p.Sequence]; ok {
		delete(m.relayedPings, p.Sequence)
		m.send(relayed.to, packet{Kind: ack, Sequence: relayed.sequence, Subject: p.From, SubjectIncarnation: p.Incarnation, SubjectRevision: p.Revision})
		if peer != nil {
			peer.lastAnswerAt = m.now
		}
		return
	}
	pending := m.probes[p.Sequence]
	if pending == nil {
		return
	}
	ackedIncarnation, ackedName := p.Incarnation, p.From
	if p.Subject != "" {
		ackedIncarnation, ackedName = p.SubjectIncarnation, p.Subject
		m.applyRevision(pending.target, p.SubjectRevision, "a relay reaches it")
		m.lastAnyAnswerAt = m.now
	}
	if pending.target.Name != ackedName || pending.incarnation != ackedIncarnation || pending.target.Incarnation != ackedIncarnation {
		return
	}
	delete(m.probes, p.Sequence)
	if !pending.isInvestigation && m.now < pending.sentAt+m.config.Period && m.healthPenalty > 0 {
		m.healthPenalty--
	}
	m.recordAnswer(pending.target)
}
