// View transfer: commits are repeated until confirmed, and a member that is behind fetches changes or the whole view in
// chunks.

package membership

import (
	"net/netip"
	"slices"
	"time"
)

// viewTransfer is a fetch of a later view from another member.
type viewTransfer struct {
	from          netip.AddrPort
	id            ViewID
	total         uint32
	received      []Record
	outOfOrder    map[uint32][]Record // chunks that wait for an earlier one, by index of their first record
	lastChunkAt   time.Duration
	retries       int
	requestMoreAt int // number of received records from which on the next chunks are requested
}

// maxTransferRetries is how often this member repeats a request for chunks of a view to the same member.
const maxTransferRetries = 5

// resendCommit sends the last committed change to the members that have not confirmed it. commitResendsLeft bounds how
// often.
func (m *Machine) resendCommit() {
	v := &m.view
	if v.commitResendsLeft == 0 {
		return
	}
	if m.now >= v.commitResendAt {
		v.commitResendAt = m.now + resendInterval
		v.commitResendsLeft--
		for _, name := range sortedKeys(v.unconfirmed) {
			if peer := m.members[name]; peer != nil {
				m.send(peer.endpoint, packet{Kind: commit, View: v.commitBase, Body: v.commitBody, Number: v.commitNumber})
			}
		}
	}
	if v.commitResendsLeft > 0 {
		m.wakeBy(v.commitResendAt)
	}
}

// continueTransfer repeats the request for the next chunk if none has arrived for two resend intervals. It gives up
// after maxTransferRetries.
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
	if transfer.retries > maxTransferRetries { // the next packet with a later view starts a new transfer
		m.view.fetch = nil
		return
	}
	transfer.lastChunkAt = m.now
	m.send(transfer.from, packet{Kind: viewRequest, Sequence: uint32(len(transfer.received))})
	m.wakeBy(transfer.lastChunkAt + 2*resendInterval)
}

// requestView asks the sender of a packet with a later view for that view, unless a transfer is already running.
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

// handleViewPacket handles the packets about views: observers' reports, transfers and ballots. peer is the sender, or
// nil if it is not known.
func (m *Machine) handleViewPacket(p *packet, from netip.AddrPort, peer *member) {
	v := &m.view
	isSameView := p.View == v.ViewID
	isVoter := peer != nil && v.indexOf(p.From) >= 0
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
				m.send(from, packet{Kind: ack}) // shows the sender that its view is older
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

// handleSuspicionNotice records an observer's report. The report may arrive before the suspicion itself.
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

// handleCommit installs the next view if the commit applies to this member's view. If the commit applies to a later
// view, this member requests that view.
func (m *Machine) handleCommit(p *packet, from netip.AddrPort) {
	switch {
	case p.View == m.view.ViewID:
		m.applyCommit(viewChange{p.View, p.Body, p.Number}, false)
		m.send(from, packet{Kind: ack}) // confirms the view by its number
	case !m.view.ViewID.After(p.View):
		m.requestView(from)
	}
}

// sendView answers a request for a view. It sends up to 4 of the changes that follow the sender's view if they are
// still in the history, and otherwise up to 8 chunks of the member list.
func (m *Machine) sendView(p *packet, from netip.AddrPort) {
	v := &m.view
	if v.Number == 0 {
		return
	}
	if p.Sequence == 0 {
		if i := slices.IndexFunc(v.history, func(committed viewChange) bool { return committed.base == p.View }); i >= 0 {
			for _, committed := range v.history[i:min(i+4, len(v.history))] {
				m.send(from, packet{Kind: commit, View: committed.base, Body: committed.body, Number: committed.number})
			}
			return
		}
	}
	for index, chunks := int(p.Sequence), 0; index < len(v.Members) && chunks < 8; chunks++ {
		first, records, size := index, []Record(nil), 1
		for ; index < len(v.Members); index++ {
			r := v.Members[index]
			if peer := m.members[r.Name]; peer != nil && peer.Incarnation == r.Incarnation {
				r = peer.Record // may have a later revision
			}
			if recordSize := len(encodeCBOR(r)); size+recordSize > maxBodyBytes && len(records) > 0 {
				break
			} else {
				size += recordSize
			}
			records = append(records, r)
		}
		m.send(from, packet{Kind: viewChunk, Sequence: uint32(first), Number: uint32(len(v.Members)), Body: encodeCBOR(records)})
	}
}

// handleViewChunk adds a chunk to the view being fetched. It requests further chunks, and installs the view once it is
// complete and its digest is right.
func (m *Machine) handleViewChunk(p *packet, from netip.AddrPort) {
	v := &m.view
	transfer := v.fetch
	if transfer == nil || !p.View.After(v.ViewID) {
		return
	}
	records, err := decodeRecords(p.Body)
	if err != nil || len(records) == 0 || p.Number > 1<<16 {
		m.Counters.Malformed++
		return
	}
	if transfer.id != p.View || transfer.total != p.Number {
		transfer.id, transfer.total, transfer.received, transfer.outOfOrder = p.View, p.Number, nil, map[uint32][]Record{}
	}
	if len(transfer.outOfOrder) < 64 {
		transfer.outOfOrder[p.Sequence] = records
	}
	transfer.lastChunkAt, transfer.retries = m.now, 0
	for next := transfer.outOfOrder[uint32(len(transfer.received))]; next != nil; next = transfer.outOfOrder[uint32(len(transfer.received))] {
		delete(transfer.outOfOrder, uint32(len(transfer.received)))
		transfer.received = append(transfer.received, next...)
	}
	if len(transfer.received) < int(transfer.total) {
		if len(transfer.outOfOrder) == 0 && len(transfer.received) >= transfer.requestMoreAt {
			transfer.requestMoreAt = len(transfer.received) + 8 // request more after 8 further records
			m.send(from, packet{Kind: viewRequest, Sequence: uint32(len(transfer.received))})
		}
		return
	}
	next := &View{ViewID: transfer.id, Members: transfer.received}
	v.fetch = nil
	if digest(next.ViewID, next.Members) != next.Digest {
		m.Counters.Malformed++
		return
	}
	v.history = nil
	m.installView(next, "by a view that the others have gone on to", false)
}
