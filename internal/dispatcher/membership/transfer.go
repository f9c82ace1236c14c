// How a view reaches who is behind: told again, fetched, and in pieces.

package membership

import (
	"net/netip"
	"slices"
	"time"
)

type viewTransfer struct {
	from          netip.AddrPort
	id            ViewID
	total         uint32
	received      []Record
	outOfOrder    map[uint32][]Record // come out of order
	lastChunkAt   time.Duration
	retries       int
	requestMoreAt int // the next part is asked for once so many members are there
}

// maxTransferRetries is how often a part of a view is asked for again at the same member.
const maxTransferRetries = 5

// resendCommit sends the last change to those that have not shown its number yet, a few times.
func (m *Machine) resendCommit() {
	v := &m.view
	if v.commitResendsLeft == 0 {
		return
	}
	if m.now >= v.commitResendAt {
		v.commitResendAt = m.now + resendInterval
		v.commitResendsLeft--
		for _, name := range sortedKeys(v.unconfirmed) {
			if x := m.members[name]; x != nil {
				m.send(x.endpoint, packet{Kind: commit, View: v.commitBase, Body: v.commitBody, Number: v.commitNumber})
			}
		}
	}
	if v.commitResendsLeft > 0 {
		m.wakeBy(v.commitResendAt)
	}
}

// continueTransfer asks once more for the next part of a view that stopped coming, and gives up after some times.
func (m *Machine) continueTransfer() {
	transfer := m.view.fetch
	if transfer == nil {
		return
	}
	if retryAt := transfer.lastChunkAt + 2*resendInterval; m.now < retryAt {
		m.wakeBy(retryAt)
		return
	}
	transfer.retries++
	if transfer.retries > maxTransferRetries { // whoever has a later view is asked anew
		m.view.fetch = nil
		return
	}
	transfer.lastChunkAt = m.now
	m.send(transfer.from, packet{Kind: viewRequest, Sequence: uint32(len(transfer.received))})
	m.wakeBy(transfer.lastChunkAt + 2*resendInterval)
}

// requestView asks somebody that has a later view for it.
func (m *Machine) requestView(from netip.AddrPort) {
	v := &m.view
	v.laterViewSeenAt = m.now
	if v.fetch != nil || m.now < v.nextFetchAt {
		return
	}
	v.nextFetchAt = m.now + resendInterval/2
	v.fetch = &viewTransfer{from: from, lastChunkAt: m.now}
	m.send(from, packet{Kind: viewRequest})
}

// handleViewPacket takes in what is about views.
func (m *Machine) handleViewPacket(p *packet, from netip.AddrPort, x *member) {
	v := &m.view
	same := p.View == v.ViewID
	voter := x != nil && v.indexOf(p.From) >= 0
	switch p.Kind {
	case suspicionNotice:
		if y := m.members[p.Subject]; y != nil && same && voter && y.Incarnation == p.SubjectIncarnation && y.Revision == p.SubjectRevision && y.state <= Unknown {
			if y.state == Alive { // the accusation has not come this far yet
				m.addSuspicion(y, p.From, m.now-time.Duration(p.Number)*time.Millisecond, false)
			}
			m.recordSuspicionReport(p.From, y, time.Duration(p.Number)*time.Millisecond)
		}
	case viewRequest:
		m.sendView(p, from)
	case viewChunk:
		m.handleViewChunk(p, from)
	case commit:
		if p.View == v.ViewID {
			m.applyCommit(viewChange{p.View, p.Body, p.Number}, false)
			m.send(from, packet{Kind: ack}) // shows the number
		} else if !v.ViewID.After(p.View) {
			m.requestView(from)
		}
	case prepare, accept:
		if !same || !voter {
			if v.ViewID.After(p.View) {
				m.send(from, packet{Kind: ack}) // it is behind, and sees it by this
			}
			return
		}
		m.handleBallot(p, from)
	case promise, accepted:
		switch {
		case !same || !voter || v.ballot == 0:
		case v.ballot < p.Sequence: // somebody else's ballot is ahead
			v.ballot, v.ballotFloor, v.backoffUntil = 0, max(v.ballotFloor, p.Sequence), m.now+time.Duration(m.rng.Int64N(int64(m.config.Period)))
		case v.ballot == p.Sequence && v.isPreparing == (p.Kind == promise):
			if p.Kind == promise && len(p.Body) > 0 {
				if v.acceptedProposals[p.From] = string(p.Body); p.Number > v.highestAccepted {
					v.highestAccepted, v.proposal = p.Number, p.Body
				}
			}
			m.recordVote(p.From, p.Incarnation, false)
		}
	case veto:
		if y := m.members[p.Subject]; same && voter && v.ballot == p.Sequence && y != nil && y.Incarnation == p.SubjectIncarnation {
			v.ballot, v.vetoedUntil[p.Subject], v.backoffUntil = 0, m.now+m.config.FailureTimeout, m.now+resendInterval
			delete(v.suspicionReports, p.Subject)
		}
	}
	if !p.View.After(v.ViewID) && !v.ViewID.After(p.View) {
		delete(v.unconfirmed, p.From)
	}
}

// handleBallot answers a ballot.
func (m *Machine) handleBallot(p *packet, from netip.AddrPort) {
	v := &m.view
	if p.Sequence < v.promised {
		m.send(from, packet{Kind: promise, Sequence: v.promised}) // it learns how far others are
		return
	}
	if p.Kind == prepare {
		v.promised = p.Sequence
		m.send(from, packet{Kind: promise, Sequence: p.Sequence, Number: v.acceptedAt, Body: v.acceptedBody})
		return
	}
	c, err := decodeChange(p.Body)
	if err != nil {
		m.Counters.Malformed++
		return
	}
	waits := false
	for _, r := range c.Failed { // nobody goes that this member hears; it asks once more, if it has not done so as a juror
		for i := r[0]; i <= r[1] && int(i) < len(v.Members) && p.Number == 0; i++ {
			gone := &v.Members[i]
			x := m.members[gone.Name]
			mine := gone.Name == m.self.Name && gone.Incarnation == m.self.Incarnation && m.leavingSince == 0
			if mine || x != nil && x.Incarnation == gone.Incarnation && x.hasAnswered && m.now-x.lastAnswerAt < m.config.FailureTimeout/2 {
				m.send(from, packet{Kind: veto, Sequence: p.Sequence, Subject: gone.Name, SubjectIncarnation: gone.Incarnation})
				return
			}
			if x != nil && x.Incarnation == gone.Incarnation && x.state <= Unknown && (x.investigation == nil || x.investigation.pings < minObserverPings || m.now-x.investigation.startedAt < m.config.FailureTimeout) {
				if m.now >= x.recheckedAt+m.config.FailureTimeout {
					x.recheckedAt = m.now
				}
				if m.now < x.recheckedAt+2*resendInterval { // it has that long to answer; the proposal comes again
					m.sendPing(x, &probe{target: x, incarnation: x.Incarnation, sentAt: m.now, isInvestigation: true})
					waits = true
				}
			}
		}
	}
	if waits {
		return
	}
	v.promised, v.acceptedAt, v.acceptedBody = p.Sequence, p.Sequence, p.Body
	m.send(from, packet{Kind: accepted, Sequence: p.Sequence})
}

// sendView gives somebody that is behind the changes that lead here, or the members one part after the other.
func (m *Machine) sendView(p *packet, from netip.AddrPort) {
	v := &m.view
	if v.Number == 0 {
		return
	}
	if p.Sequence == 0 {
		if i := slices.IndexFunc(v.history, func(s viewChange) bool { return s.base == p.View }); i >= 0 {
			for _, s := range v.history[i:min(i+4, len(v.history))] {
				m.send(from, packet{Kind: commit, View: s.base, Body: s.body, Number: s.number})
			}
			return
		}
	}
	for at, n := int(p.Sequence), 0; at < len(v.Members) && n < 8; n++ {
		first, list, size := at, []Record(nil), 1
		for ; at < len(v.Members); at++ {
			r := v.Members[at]
			if x := m.members[r.Name]; x != nil && x.Incarnation == r.Incarnation {
				r = x.Record // the newest of it
			}
			if k := len(encodeCBOR(r)); size+k > maxBodyBytes && len(list) > 0 {
				break
			} else {
				size += k
			}
			list = append(list, r)
		}
		m.send(from, packet{Kind: viewChunk, Sequence: uint32(first), Number: uint32(len(v.Members)), Body: encodeCBOR(list)})
	}
}

// handleViewChunk takes a part of a view in.
func (m *Machine) handleViewChunk(p *packet, from netip.AddrPort) {
	v := &m.view
	f := v.fetch
	if f == nil || !p.View.After(v.ViewID) {
		return
	}
	list, err := decodeRecords(p.Body)
	if err != nil || len(list) == 0 || p.Number > 1<<16 {
		m.Counters.Malformed++
		return
	}
	if f.id != p.View || f.total != p.Number {
		f.id, f.total, f.received, f.outOfOrder = p.View, p.Number, nil, map[uint32][]Record{}
	}
	if len(f.outOfOrder) < 64 {
		f.outOfOrder[p.Sequence] = list
	}
	f.lastChunkAt, f.retries = m.now, 0
	for next := f.outOfOrder[uint32(len(f.received))]; next != nil; next = f.outOfOrder[uint32(len(f.received))] {
		delete(f.outOfOrder, uint32(len(f.received)))
		f.received = append(f.received, next...)
	}
	if len(f.received) < int(f.total) {
		if len(f.outOfOrder) == 0 && len(f.received) >= f.requestMoreAt {
			f.requestMoreAt = len(f.received) + 8 // some parts further on
			m.send(from, packet{Kind: viewRequest, Sequence: uint32(len(f.received))})
		}
		return
	}
	next := &View{ViewID: f.id, Members: f.received}
	v.fetch = nil
	if digest(next.ViewID, next.Members) != next.Digest {
		m.Counters.Malformed++
		return
	}
	v.history = nil
	m.installView(next, "by a view that the others have gone on to", false)
}
