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

// handleViewPacket takes in what is about views: reports of observers, transfers, and ballots.
func (m *Machine) handleViewPacket(p *packet, from netip.AddrPort, x *member) {
	v := &m.view
	isSameView := p.View == v.ViewID
	isVoter := x != nil && v.indexOf(p.From) >= 0
	switch p.Kind {
	case suspicionNotice:
		if isSameView && isVoter {
			m.handleSuspicionNotice(p)
		}
	case viewRequest:
		m.sendView(p, from)
	case viewChunk:
		m.handleViewChunk(p, from)
	case commit:
		m.handleCommit(p, from)
	case prepare, accept:
		if !isSameView || !isVoter {
			if v.ViewID.After(p.View) {
				m.send(from, packet{Kind: ack}) // its view is older, as it sees by this
			}
			return
		}
		m.handleBallot(p, from)
	case promise, accepted:
		if isSameView && isVoter && v.ballot != 0 {
			m.handleVote(p)
		}
	case veto:
		if isSameView && isVoter && v.ballot == p.Sequence {
			m.handleVeto(p)
		}
	}
	if !p.View.After(v.ViewID) && !v.ViewID.After(p.View) {
		delete(v.unconfirmed, p.From)
	}
}

// handleSuspicionNotice takes an observer's report in. It may come before the suspicion itself.
func (m *Machine) handleSuspicionNotice(p *packet) {
	subject := m.members[p.Subject]
	if subject == nil || subject.Incarnation != p.SubjectIncarnation || subject.Revision != p.SubjectRevision || subject.state > Unknown {
		return
	}
	age := time.Duration(p.Number) * time.Millisecond
	if subject.state == Alive {
		m.addSuspicion(subject, p.From, m.now-age, false)
	}
	m.recordSuspicionReport(p.From, subject, age)
}

// handleCommit installs the next view where the commit leads there from this member's own, and asks for it where it does not.
func (m *Machine) handleCommit(p *packet, from netip.AddrPort) {
	switch {
	case p.View == m.view.ViewID:
		m.applyCommit(viewChange{p.View, p.Body, p.Number}, false)
		m.send(from, packet{Kind: ack}) // it shows the number of the view
	case !m.view.ViewID.After(p.View):
		m.requestView(from)
	}
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
