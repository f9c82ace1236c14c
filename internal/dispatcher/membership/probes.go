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
	for range len(m.ring) + 1 {
		if m.ringPosition >= len(m.ring) {
			m.ringPosition, m.ring = 0, m.ring[:0]
			for _, x := range m.members {
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
		x := m.ring[m.ringPosition]
		m.ringPosition++
		if x.state == Left || x.state == Failed || m.members[x.Name] != x || !x.endpoint.IsValid() {
			continue
		}
		p := &probe{target: x, incarnation: x.Incarnation, sentAt: m.now}
		// After wrong suspicions of a member this one waits longer for its answer: the link of this member may be bad.
		p.dueAt = m.now + m.config.Period*time.Duration(2+m.healthPenalty)/2*time.Duration(1+min(x.falseSuspicions, 6))
		m.sendPing(x, p)
		return
	}
}

func (m *Machine) sendPing(x *member, p *probe) {
	p.sequence = m.nextSequence()
	m.probes[p.sequence] = p
	m.send(x.endpoint, packet{Kind: ping, Sequence: p.sequence, Subject: x.Name, SubjectIncarnation: x.Incarnation})
}

// checkOverdueProbes handles probes without an answer. After two fifths of a period it asks relays to ping the member,
// and from dueAt on it suspects the member.
func (m *Machine) checkOverdueProbes() {
	for _, seq := range sortedKeys(m.probes) {
		p := m.probes[seq]
		help := p.sentAt + m.config.Period*2/5
		switch {
		case p.target.Incarnation != p.incarnation || p.target.state == Left || p.target.state == Failed || m.now-p.sentAt > 2*m.config.FailureTimeout:
			delete(m.probes, seq)
		case p.isInvestigation:
		case m.now < help:
			m.wakeBy(help)
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

// randomAlive returns up to n random members that are alive, without except.
func (m *Machine) randomAlive(n int, but *member) (out []*member) {
	if len(m.ring) == 0 {
		return nil
	}
	at := m.rng.IntN(len(m.ring))
	for i := range m.ring {
		x := m.ring[(at+i*7919)%len(m.ring)]
		if x != but && x.state == Alive && m.members[x.Name] == x && !slices.Contains(out, x) {
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

// observersOf returns the names of the members that investigate a suspicion of x: the first ObserverCount members of
// the view, ordered by a hash of both names, without those that are not alive themselves.
func (m *Machine) observersOf(x *member) (out []string) {
	type ranked struct {
		name string
		rank uint64
	}
	var all []ranked
	for i := range m.view.Members {
		name := m.view.Members[i].Name
		if y := m.members[name]; name == x.Name || name != m.self.Name && (y == nil || y.state != Alive) {
			continue
		}
		all = append(all, ranked{name, xxhash.Sum64String(x.Name + "/" + name)})
	}
	slices.SortFunc(all, func(a, b ranked) int { return cmp.Compare(a.rank, b.rank) })
	for _, r := range all[:min(len(all), m.config.ObserverCount)] {
		out = append(out, r.name)
	}
	return out
}

// investigate continues this member's investigation of x as an observer. Twice a period it pings x directly and through
// a relay. Once a period it reports the silence of x to the first two leaders. Only an answer of x or a new revision
// ends the investigation, or that x has left or was removed.
func (m *Machine) investigate(x *member) {
	q := x.investigation
	if x.state != Suspected && x.state != Unknown {
		m.endInvestigation(x)
		return
	}
	every := m.config.Period / 2
	if m.now >= q.lastPingAt+every {
		q.lastPingAt = m.now
		if q.pings++; q.pings == pingsBeforeDissemination { // tell all members, so that x can refute it
			m.addSuspicion(x, m.self.Name, q.startedAt, true)
		}
		p := &probe{target: x, incarnation: x.Incarnation, sentAt: m.now, isInvestigation: true}
		m.sendPing(x, p)
		for _, r := range m.randomAlive(1, x) {
			m.send(r.endpoint, packet{Kind: pingRequest, Sequence: p.sequence, Subject: x.Name, SubjectIncarnation: x.Incarnation})
		}
	}
	m.wakeBy(q.lastPingAt + every)
	age := m.now - q.startedAt
	// A member that hears no other cannot judge x.
	if m.now-m.lastSignAt > m.config.FailureTimeout/2 || q.pings < minObserverPings {
		return
	}
	if m.now >= q.lastReportAt+2*every {
		q.lastReportAt = m.now
		for _, name := range m.leaders(2) {
			if name == m.self.Name {
				m.recordSuspicionReport(m.self.Name, x, age)
			} else if y := m.members[name]; y != nil {
				m.send(y.endpoint, packet{Kind: suspicionNotice, Subject: x.Name, SubjectIncarnation: x.Incarnation, SubjectRevision: x.Revision, Number: uint32(age.Milliseconds())})
			}
		}
	}
}

// recordAnswer records that x has answered this member, which ends this member's suspicion of it.
func (m *Machine) recordAnswer(x *member) {
	x.lastAnswerAt, x.hasAnswered, m.lastSignAt = m.now, true, m.now
	m.view.recordHeard(x.Name)
	if x.state == Suspected || x.state == Unknown {
		if slices.Contains(x.suspectedBy, m.self.Name) {
			x.falseSuspicions = min(x.falseSuspicions+1, 6)
			x.suspectedBy = slices.DeleteFunc(x.suspectedBy, func(s string) bool { return s == m.self.Name })
		}
		m.setState(x, Alive, "it answers")
	} else if x.falseSuspicions > 0 && m.rng.IntN(8) == 0 {
		x.falseSuspicions--
	}
}

// handleAck handles an answer to a ping, either direct or from a relay. If this member was the relay, it passes the
// answer on.
func (m *Machine) handleAck(p *packet, x *member) {
	if e, ok := m.relayedPings[p.Sequence]; ok {
		delete(m.relayedPings, p.Sequence)
		m.send(e.to, packet{Kind: ack, Sequence: e.sequence, Subject: p.From, SubjectIncarnation: p.Incarnation, SubjectRevision: p.Revision})
		if x != nil {
			x.lastAnswerAt = m.now
		}
		return
	}
	q := m.probes[p.Sequence]
	if q == nil {
		return
	}
	life, of := p.Incarnation, p.From
	if p.Subject != "" {
		life, of = p.SubjectIncarnation, p.Subject
		m.applyRevision(q.target, p.SubjectRevision, "a relay reaches it")
		m.lastSignAt = m.now
	}
	if q.target.Name != of || q.incarnation != life || q.target.Incarnation != life {
		return
	}
	delete(m.probes, p.Sequence)
	if !q.isInvestigation && m.now < q.sentAt+m.config.Period && m.healthPenalty > 0 {
		m.healthPenalty--
	}
	m.recordAnswer(q.target)
}
