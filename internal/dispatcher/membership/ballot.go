// How a ballot runs: prepare and accept, as in single-decree Paxos, with votes of a majority of the view.

package membership

import (
	"cmp"
	"time"
)

// driveBallot sends the proposal to the voters, and again to those that have not answered.
func (m *Machine) driveBallot() {
	v := &m.view
	if m.now >= v.ballotStartedAt+2*time.Second { // too few answer: another may have more luck, or this one later
		v.ballot, v.backoffUntil = 0, m.now+m.config.Period/2+time.Duration(m.rng.Int64N(int64(m.config.Period)))
		return
	}
	if m.now >= v.ballotResendAt {
		v.ballotResendAt = m.now + resendInterval
		if _, ok := v.votes[m.self.Name]; !ok {
			m.recordVote(m.self.Name, m.self.Incarnation, true)
			if v.ballot == 0 { // that was enough
				return
			}
		}
		if v.isPreparing && m.finishPrepare() {
			return
		}
		p := packet{Kind: accept, Sequence: v.ballot, Body: v.proposal, Number: uint32(flag(v.isForced))}
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

// recordVote takes a vote in, this member's own or another's.
func (m *Machine) recordVote(name string, life uint64, own bool) {
	v := &m.view
	if own {
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
	v.votes[name] = life
	if v.isPreparing {
		m.finishPrepare()
		return
	}
	if 2*len(v.votes) <= len(v.Members) {
		return
	}
	num := uint32(0)
	for name, life := range v.votes {
		if !v.Contains(name, life) {
			num = 1
		}
	}
	m.applyCommit(viewChange{v.ViewID, v.proposal, num}, true)
}

// finishPrepare ends the prepare phase once a majority has promised, and tells whether it did. A proposal that was accepted
// before under the highest ballot may be committed already, and then it has to be proposed again, whoever is alive by now.
// It cannot be committed if too few have accepted it, and then it is dropped: a network partition that has ended must not
// decide who is removed.
func (m *Machine) finishPrepare() bool {
	v := &m.view
	n := len(v.Members)
	if 2*len(v.votes) <= n {
		return false
	}
	if v.highestAccepted > 0 {
		same := 0
		for _, body := range v.acceptedProposals {
			if body == string(v.proposal) {
				same++
			}
		}
		if 2*(same+n-len(v.votes)) <= n {
			v.proposal = v.ownProposal
		} else if v.majorityPromisedAt = cmp.Or(v.majorityPromisedAt, m.now); m.now < v.majorityPromisedAt+3*resendInterval { // more promises may show it
			return false
		} else {
			v.isForced = true
		}
	}
	v.isPreparing, v.votes, v.ballotResendAt = false, map[string]uint64{}, m.now
	m.driveBallot()
	return true
}
