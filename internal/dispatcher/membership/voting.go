// Votes on a change of the view: who may ask for one, and who promises what.

package membership

import (
	"cmp"
	"slices"
	"time"
)

type suspicionReport struct {
	age, receivedAt time.Duration
	incarnation     uint64
	revision        uint32
}

// doubted takes a juror's word in.
func (m *Machine) recordSuspicionReport(juror string, x *member, age time.Duration) {
	if m.view.suspicionReports[x.Name] == nil {
		m.view.suspicionReports[x.Name] = map[string]suspicionReport{}
	}
	m.view.suspicionReports[x.Name][juror] = suspicionReport{age: age, receivedAt: m.now, incarnation: x.Incarnation, revision: x.Revision}
}

// verdicts counts the jurors' words: it gives the members that have failed, and whether others are about to have.
func (m *Machine) failedMembers() (ripe []*member, waits bool) {
	v := &m.view
	for _, name := range sortedKeys(v.suspicionReports) {
		x := m.members[name]
		if x == nil || x.state != Suspected && x.state != Unknown || m.now < v.vetoedUntil[name] || v.indexOf(name) < 0 {
			delete(v.suspicionReports, name)
			delete(v.failedSince, name)
			continue
		}
		votes, close := 0, 0
		for juror, d := range v.suspicionReports[name] {
			y := m.members[juror]
			switch {
			case m.now-d.receivedAt > m.config.Period*13/5 || d.incarnation != x.Incarnation || d.revision != x.Revision: // a juror says it again each period
				delete(v.suspicionReports[name], juror)
			case juror != m.self.Name && (y == nil || y.state != Alive || v.indexOf(juror) < 0):
			case d.age >= m.config.FailureTimeout:
				votes++
			case d.age >= m.config.FailureTimeout*9/20: // a change waits for it
				close++
			}
		}
		need := min(m.config.ObserverCount, len(v.Members)-1)/2 + 1
		if votes >= need {
			ripe = append(ripe, x)
		} else if votes+close > 0 {
			waits = true
		}
	}
	return ripe, waits
}

// agree is called with every event: it leads where that is this member's turn.
func (m *Machine) coordinate() {
	v := &m.view
	if f := v.fetch; f != nil {
		if m.now < f.lastChunkAt+2*resendInterval {
			m.wakeBy(f.lastChunkAt + 2*resendInterval)
		} else if f.retries++; f.retries > 5 { // whoever is ahead is asked anew
			v.fetch = nil
		} else { // something was lost: from there on once more
			f.lastChunkAt = m.now
			m.send(f.from, packet{Kind: viewRequest, Sequence: uint32(len(f.received))})
			m.wakeBy(f.lastChunkAt + 2*resendInterval)
		}
	}
	if v.Number == 0 {
		m.bootstrap()
		return
	}
	m.resendCommit()
	if v.ballot != 0 {
		m.driveBallot()
		return
	}
	most := m.seesMajority()
	if !most {
		v.majoritySince = 0
	} else if v.majoritySince == 0 {
		v.majoritySince = m.now
	}
	lead := m.leaders(1)
	if m.leavingSince > 0 && m.now > m.leavingSince+leavePeriods*m.config.Period/2 || len(lead) == 0 || lead[0] != m.self.Name || !m.joined && !m.isRestartedVoter() || m.now < v.backoffUntil || !most {
		if m.now < v.backoffUntil {
			m.wakeBy(v.backoffUntil)
		}
		return
	}
	ripe, waits := m.failedMembers()
	for _, x := range ripe {
		if _, ok := v.failedSince[x.Name]; !ok {
			v.failedSince[x.Name] = m.now
		}
	}
	c := &change{}
	var failed, left []int
	since := m.now
	for _, x := range ripe {
		failed = append(failed, v.index[x.Name])
		since = min(since, v.failedSince[x.Name])
	}
	if since := v.majoritySince + 2*m.config.Period; m.now < since { // a cut has just ended: jurors are about to be answered
		failed = nil
		m.wakeBy(since)
	}
	if len(failed) > 0 && waits && m.now < since+m.config.BatchDelay {
		failed = nil
	}
	for i := range v.Members {
		if x := m.members[v.Members[i].Name]; x != nil && x.state == Left && x.Incarnation == v.Members[i].Incarnation {
			left = append(left, i)
		}
	}
	if len(v.suspicionReports) > 0 {
		m.wakeBy(m.now + resendInterval)
	}
	c.Left = joinRanges(left, maxRanges/2)
	c.Failed = joinRanges(failed, maxRanges-len(c.Left))
	m.addJoining(c)
	if len(c.Failed)+len(c.Left)+len(c.In) == 0 {
		return
	}
	// The first round is skipped by one member only, and never by one that may have forgotten what it did.
	v.isPreparing = v.ranked[0] != m.self.Name || !m.view.Contains(m.self.Name, m.self.Incarnation) || v.ballotAttempts > 0
	at := v.index[m.self.Name]
	v.ballot = uint32(v.ballotAttempts)*ballotsPerAttempt*2 + ballotsPerAttempt + uint32(at)%ballotsPerAttempt + 1
	if !v.isPreparing {
		v.ballot = 1
	}
	if v.isPreparing || v.promised > 0 || v.ballotFloor > 0 {
		v.isPreparing, v.ballot = true, max(v.ballot, v.promised+1, v.ballotFloor+1)
	}
	v.ownProposal, v.highestAccepted, v.votes, v.ballotStartedAt, v.ballotResendAt = encodeCBOR(c), 0, map[string]uint64{}, m.now, m.now
	v.proposal, v.acceptedProposals, v.isForced, v.majorityPromisedAt = v.ownProposal, map[string]string{}, false, 0
	v.ballotAttempts++
	m.driveBallot()
}

// ranges joins places that stand side by side.
func joinRanges(places []int, most int) (out [][2]uint32) {
	slices.Sort(places)
	for _, i := range places {
		if n := len(out); n > 0 && int(out[n-1][1]) == i-1 {
			out[n-1][1]++
		} else if n < most {
			out = append(out, [2]uint32{uint32(i), uint32(i)})
		} else {
			break
		}
	}
	return out
}

// heir tells whether this member stands in the view with an earlier life: it may vote, but has no memory.
func (m *Machine) isRestartedVoter() bool {
	i, ok := m.view.index[m.self.Name]
	return ok && m.view.Members[i].Incarnation < m.self.Incarnation
}

// admit puts members that want in into a change, as many as fit.
func (m *Machine) addJoining(c *change) {
	v := &m.view
	size := len(encodeCBOR(c))
	add := func(r Record) bool {
		n := len(encodeCBOR(r))
		if size+n > maxBodyBytes {
			return false
		}
		size += n
		c.In = append(c.In, r)
		return true
	}
	if !v.Contains(m.self.Name, m.self.Incarnation) && m.leavingSince == 0 {
		add(m.self)
	}
	if len(v.Members) == len(m.members)+1 && len(m.joiningMembers()) == 0 {
		return
	}
	for _, name := range m.joiningMembers() {
		if !add(m.members[name].Record) {
			return
		}
	}
}

// waiting are the members that are there and not in the view with the life they have.
func (m *Machine) joiningMembers() (out []string) {
	for name, x := range m.members {
		if x.state == Alive && !m.view.Contains(name, x.Incarnation) {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// press sends what is proposed, again where nothing came back.
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

// vote is this member's own voice as a voter, and that of others as they come in.
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

// promised ends the first round once a majority has promised; it tells whether it did. What was accepted before under the
// latest ballot may stand already, and then it has to be proposed again, whoever is there by now. It cannot stand if too
// few have accepted it, and then it is dropped: a cut that is over must not decide who goes.
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

func flag(b bool) int {
	if b {
		return 1
	}
	return 0
}
