// Pings, observers that investigate a suspicion, and answers that are overdue.

package membership

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// investigation is what a juror does about an accused member.
type investigation struct {
	startedAt, lastPingAt, lastReportAt time.Duration
	pings                               int
}

// probe is a ping that has not been answered yet.
type probe struct {
	target          *member
	incarnation     uint64
	sequence        uint32
	sentAt          time.Duration
	dueAt           time.Duration // the member is suspected then
	isRelayed       bool          // relays were asked
	isInvestigation bool          // part of an investigation: nobody is suspected for it
}

// relayedPing is a ping sent for somebody else.
type relayedPing struct {
	to       netip.AddrPort
	sequence uint32
	sentAt   time.Duration
}

// probeNext pings the next member of this round.
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
		// Whoever often accused it wrongly waits longer next time: its own link may be the bad one.
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

// checkOverdueProbes looks for probes without an answer: relays are asked first, then the member is accused.
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
			m.send(p.target.endpoint, packet{Kind: ping, Sequence: p.sequence, Subject: p.target.Name, SubjectIncarnation: p.target.Incarnation}) // and once more itself
			for _, r := range m.randomAlive(indirectProbes, p.target) {
				m.send(r.endpoint, packet{Kind: pingRequest, Sequence: p.sequence, Subject: p.target.Name, SubjectIncarnation: p.target.Incarnation})
			}
			m.wakeBy(p.dueAt)
		case m.now >= p.dueAt:
			p.isInvestigation = true // a late answer still counts
			m.healthPenalty = min(m.healthPenalty+1, maxHealthPenalty)
			m.startSuspicion(p.target)
		default:
			m.wakeBy(p.dueAt)
		}
	}
}

// randomAlive are members at random that seem to be there.
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

// observersOf are the members that look into an accusation of x: the first of the view by a hash of both names, passing over
// those that are not there themselves.
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

// investigate goes on with an inquiry: it pings the member itself and through others, by turns, and tells who leads what came
// of it. Only an answer of the member ends it, or news of its own.
func (m *Machine) investigate(x *member) {
	q := x.investigation
	if x.state != Suspected && x.state != Unknown {
		m.endInvestigation(x)
		return
	}
	every := m.config.Period / 2
	if m.now >= q.lastPingAt+every {
		q.lastPingAt = m.now
		if q.pings++; q.pings == pingsBeforeDissemination { // now all should know, and it above all
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
	if m.now-m.lastSignAt > m.config.FailureTimeout/2 || q.pings < minObserverPings { // who hears nobody has nothing to say of one
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

// recordAnswer is a sign that x hears this member, and it x.
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

// handleAck takes an answer to a ping in, direct or from a relay, or passes it on.
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
