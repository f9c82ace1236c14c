// Ballots: members agree on the next view by prepare and accept, as in single-decree Paxos. A ballot needs the votes of
// a majority of the current view.

package membership

import (
	"cmp"
	"net/netip"
	"time"
)

// driveBallot sends the proposal to the voters and repeats it to those that have not answered. It gives up after 2 s.
func (m *Machine) driveBallot() {
	v := &m.view
	if m.now >= v.ballotStartedAt+2*time.Second { // too few voters answer; another member may reach more of them
		v.ballot, v.backoffUntil = 0, m.now+m.config.Period/2+time.Duration(m.rng.Int64N(int64(m.config.Period)))
		return
	}
	if m.now >= v.ballotResendAt {
		v.ballotResendAt = m.now + resendInterval
		if _, ok := v.votes[m.self.Name]; !ok {
			m.recordVote(m.self.Name, m.self.Incarnation, true)
			if v.ballot == 0 { // this member's vote completed the ballot, or a later ballot ended it
				return
			}
		}
		if v.isPreparing && m.finishPrepare() {
			return
		}
		p := packet{Kind: accept, Sequence: v.ballot, Body: v.proposal, Number: uint32(boolToInt(v.isForced))}
		if v.isPreparing {
			p = packet{Kind: prepare, Sequence: v.ballot}
		}
		for i := range v.Members {
			name := v.Members[i].Name
			if _, ok := v.votes[name]; !ok && name != m.self.Name && m.members[name] != nil && m.members[name].state <= Suspected {
				m.send(m.members[name].endpoint, p)
			}
		}
	}
	m.wakeBy(v.ballotResendAt)
}

// recordVote counts a vote for this member's ballot. When a majority has voted, it ends the prepare phase or commits
// the proposal. isOwn marks this member's own vote, which also updates its state as a voter.
func (m *Machine) recordVote(name string, incarnation uint64, isOwn bool) {
	v := &m.view
	if isOwn {
		if v.ballot < v.promised {
			v.ballot, v.backoffUntil = 0, m.now+m.config.Period
			return
		}
		v.promised = v.ballot
		if v.isPreparing && v.acceptedAt > 0 {
			v.acceptedProposals[name] = string(v.acceptedBody)
			if v.acceptedAt > v.highestAccepted {
				v.highestAccepted, v.proposal = v.acceptedAt, v.acceptedBody
			}
		}
		if !v.isPreparing {
			v.acceptedAt, v.acceptedBody = v.ballot, v.proposal
		}
	}
	v.votes[name] = incarnation
	if v.isPreparing {
		m.finishPrepare()
		return
	}
	if 2*len(v.votes) <= len(v.Members) {
		return
	}
	beginsEpoch := uint32(0)
	for name, incarnation := range v.votes {
		if !v.Contains(name, incarnation) {
			beginsEpoch = 1
		}
	}
	m.applyCommit(viewChange{v.ViewID, v.proposal, beginsEpoch}, true)
}

// finishPrepare ends the prepare phase once a majority has promised, and reports whether it did. The proposal that was
// accepted under the highest ballot may already be committed. This member then has to propose it again, even if the
// members that it removes are alive by now. If too few voters have accepted it for a commit, this member drops it and
// proposes its own change: a network partition that has ended must not decide who is removed.
func (m *Machine) finishPrepare() bool {
	v := &m.view
	viewSize := len(v.Members)
	if 2*len(v.votes) <= viewSize {
		return false
	}
	if v.highestAccepted > 0 {
		acceptances := 0
		for _, body := range v.acceptedProposals {
			if body == string(v.proposal) {
				acceptances++
			}
		}
		if 2*(acceptances+viewSize-len(v.votes)) <= viewSize {
			v.proposal = v.ownProposal
		} else if v.majorityPromisedAt = cmp.Or(v.majorityPromisedAt, m.now); m.now < v.majorityPromisedAt+3*resendInterval {
			// Further promises may show whether the proposal is committed.
			return false
		} else {
			v.isForced = true
		}
	}
	v.isPreparing, v.votes, v.ballotResendAt = false, map[string]uint64{}, m.now
	m.driveBallot()
	return true
}

// handleVote handles a voter's answer to this member's ballot.
func (m *Machine) handleVote(p *packet) {
	v := &m.view
	switch {
	case v.ballot < p.Sequence: // the voter has promised a higher ballot
		v.ballot = 0
		v.ballotFloor = max(v.ballotFloor, p.Sequence)
		v.backoffUntil = m.now + time.Duration(m.rng.Int64N(int64(m.config.Period)))
	case v.ballot == p.Sequence && v.isPreparing == (p.Kind == promise):
		if p.Kind == promise && len(p.Body) > 0 {
			m.recordAccepted(p)
		}
		m.recordVote(p.From, p.Incarnation, false)
	}
}

// recordAccepted records the proposal that a voter has accepted before. The one with the highest ballot becomes the
// proposal of this ballot.
func (m *Machine) recordAccepted(p *packet) {
	v := &m.view
	v.acceptedProposals[p.From] = string(p.Body)
	if p.Number > v.highestAccepted {
		v.highestAccepted = p.Number
		v.proposal = p.Body
	}
}

// handleVeto abandons the ballot because a voter still receives answers from a member that it would remove. The member
// is not proposed for removal again until the time-out has passed.
func (m *Machine) handleVeto(p *packet) {
	v := &m.view
	subject := m.members[p.Subject]
	if subject == nil || subject.Incarnation != p.SubjectIncarnation {
		return
	}
	v.ballot = 0
	v.vetoedUntil[p.Subject] = m.now + m.config.FailureTimeout
	v.backoffUntil = m.now + resendInterval
	delete(v.suspicionReports, p.Subject)
}

// handleBallot answers another member's prepare or accept, as a voter.
func (m *Machine) handleBallot(p *packet, from netip.AddrPort) {
	v := &m.view
	if p.Sequence < v.promised {
		m.send(from, packet{Kind: promise, Sequence: v.promised}) // tells the sender the highest ballot
		return
	}
	if p.Kind == prepare {
		v.promised = p.Sequence
		m.send(from, packet{Kind: promise, Sequence: p.Sequence, Number: v.acceptedAt, Body: v.acceptedBody})
		return
	}
	proposed, err := decodeChange(p.Body)
	if err != nil {
		m.Counters.Malformed++
		return
	}
	isForced := p.Number != 0
	if !isForced && !m.agreesToRemovals(proposed, p, from) {
		return
	}
	v.promised, v.acceptedAt, v.acceptedBody = p.Sequence, p.Sequence, p.Body
	m.send(from, packet{Kind: accepted, Sequence: p.Sequence})
}

// agreesToRemovals reports whether this member, as a voter, agrees that the members which a proposal removes have
// failed. It vetoes the removal of a member that answers it. It pings a member that it has not investigated and
// withholds its vote meanwhile; the proposer repeats the proposal.
func (m *Machine) agreesToRemovals(proposed *change, p *packet, from netip.AddrPort) bool {
	v := &m.view
	isWaiting := false
	for _, indexes := range proposed.Failed {
		for i := indexes[0]; i <= indexes[1] && int(i) < len(v.Members); i++ {
			removed := &v.Members[i]
			peer := m.members[removed.Name]
			if peer != nil && peer.Incarnation != removed.Incarnation {
				peer = nil
			}
			if m.isSelf(removed) || peer != nil && m.wasAnsweredBy(peer) {
				m.send(from, packet{Kind: veto, Sequence: p.Sequence, Subject: removed.Name, SubjectIncarnation: removed.Incarnation})
				return false
			}
			if peer != nil && m.recheck(peer) {
				isWaiting = true
			}
		}
	}
	return !isWaiting
}

// isSelf reports whether a record is of this member's incarnation and this member is not leaving.
func (m *Machine) isSelf(record *Record) bool {
	return record.Name == m.self.Name && record.Incarnation == m.self.Incarnation && m.leavingSince == 0
}

// wasAnsweredBy reports whether a member has answered this one within half of the failure time-out.
func (m *Machine) wasAnsweredBy(peer *member) bool {
	return peer.hasAnswered && m.now-peer.lastAnswerAt < m.config.FailureTimeout/2
}

// recheck pings a member again if this one has not investigated it for the whole failure time-out. It reports whether
// this member still waits for the answer.
func (m *Machine) recheck(peer *member) bool {
	isInvestigated := peer.investigation != nil && peer.investigation.pings >= minObserverPings &&
		m.now-peer.investigation.startedAt >= m.config.FailureTimeout
	if peer.state > Unknown || isInvestigated {
		return false
	}
	if m.now >= peer.recheckedAt+m.config.FailureTimeout {
		peer.recheckedAt = m.now
	}
	if m.now >= peer.recheckedAt+2*resendInterval {
		return false
	}
	m.sendPing(peer, &probe{target: peer, incarnation: peer.Incarnation, sentAt: m.now, isInvestigation: true})
	return true
}
