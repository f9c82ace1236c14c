// The coordinator counts the observers' reports, proposes the next change of the view and drives its ballot.

package membership

import (
	"slices"
	"time"
)

// suspicionReport is an observer's report on a suspected member: age is how long the member had not answered the
// observer when the report arrived at receivedAt.
type suspicionReport struct {
	age, receivedAt time.Duration
	incarnation     uint64
	revision        uint32
}

// recordSuspicionReport stores an observer's report that a member has not answered it for age. It replaces the
// observer's earlier report.
func (m *Machine) recordSuspicionReport(observer string, peer *member, age time.Duration) {
	if m.view.suspicionReports[peer.Name] == nil {
		m.view.suspicionReports[peer.Name] = map[string]suspicionReport{}
	}
	m.view.suspicionReports[peer.Name][observer] = suspicionReport{age: age, receivedAt: m.now, incarnation: peer.Incarnation, revision: peer.Revision}
}

// Limits on observers' reports, in fifths of the period and twentieths of the failure time-out.
const (
	reportLifetimeFifths   = 13 // of a period: an observer repeats its report each period
	almostFailedTwentieths = 9  // of the time-out: a change waits for a member that has not answered for this time
)

// failedMembers returns the members that a majority of their observers reports as failed, and whether other members are
// close to that. It drops reports on members that are no longer suspected, are not in the view, or whose removal was
// vetoed.
func (m *Machine) failedMembers() (failed []*member, othersAreClose bool) {
	v := &m.view
	for _, name := range sortedKeys(v.suspicionReports) {
		peer := m.members[name]
		if peer == nil || !peer.isDoubtful() || m.now < v.vetoedUntil[name] || v.indexOf(name) < 0 {
			delete(v.suspicionReports, name)
			delete(v.failedSince, name)
			continue
		}
		votes, almost := m.countReports(peer)
		needed := min(m.config.ObserverCount, len(v.Members)-1)/2 + 1
		if votes >= needed {
			failed = append(failed, peer)
		} else if votes+almost > 0 {
			othersAreClose = true
		}
	}
	return failed, othersAreClose
}

// countReports returns how many observers report that a member has not answered for the failure time-out, and how many
// are close to it. It drops reports that are old or about another incarnation or revision.
func (m *Machine) countReports(peer *member) (votes, almost int) {
	reports := m.view.suspicionReports[peer.Name]
	for observer, report := range reports {
		isOld := m.now-report.receivedAt > m.config.Period*reportLifetimeFifths/5
		switch {
		case isOld || report.incarnation != peer.Incarnation || report.revision != peer.Revision:
			delete(reports, observer)
		case !m.isPresent(observer):
		case report.age >= m.config.FailureTimeout:
			votes++
		case report.age >= m.config.FailureTimeout*almostFailedTwentieths/20:
			almost++
		}
	}
	return votes, almost
}

// isPresent reports whether a member is this one, or is alive and in the view.
func (m *Machine) isPresent(name string) bool {
	if name == m.self.Name {
		return true
	}
	peer := m.members[name]
	return peer != nil && peer.state == Alive && m.view.indexOf(name) >= 0
}

// coordinate runs with every event. It continues this member's view transfer and ballot, and proposes the next view if
// this member is the coordinator.
func (m *Machine) coordinate() {
	m.continueTransfer()
	if m.view.Number == 0 {
		m.bootstrap()
		return
	}
	m.resendCommit()
	if m.view.ballot != 0 {
		m.driveBallot()
		return
	}
	if seesMajority := m.noteMajority(); !seesMajority || !m.mayPropose() {
		m.wakeBy(m.view.backoffUntil)
		return
	}
	if proposed := m.nextChange(); !proposed.isEmpty() {
		m.startBallot(proposed)
	}
}

// noteMajority reports whether this member sees a majority of the view, and records since when.
func (m *Machine) noteMajority() bool {
	seesMajority := m.seesMajority()
	switch {
	case !seesMajority:
		m.view.majoritySince = 0
	case m.view.majoritySince == 0:
		m.view.majoritySince = m.now
	}
	return seesMajority
}

// mayPropose reports whether this member is the coordinator, has a vote and is not backing off.
func (m *Machine) mayPropose() bool {
	leaders := m.leaders(1)
	isFirst := len(leaders) > 0 && leaders[0] == m.self.Name
	isLeaving := m.leavingSince > 0 && m.now > m.leavingSince+leavePeriods*m.config.Period/2
	hasVote := m.joined || m.isRestartedVoter()
	return isFirst && !isLeaving && hasVote && m.now >= m.view.backoffUntil
}

// nextChange returns the change for the next view: the members that have failed, have left and are joining.
func (m *Machine) nextChange() *change {
	failed := m.removableMembers()
	left := m.leftMembers()
	if len(m.view.suspicionReports) > 0 {
		m.wakeBy(m.now + resendInterval)
	}
	next := &change{}
	next.Left = joinRanges(left, maxRanges/2)
	next.Failed = joinRanges(failed, maxRanges-len(next.Left))
	m.addJoining(next)
	return next
}

// removableMembers returns the indexes in the view of the failed members that may be removed now. A removal waits up to
// BatchDelay for members that are about to fail, so that one view removes them all. After a network partition has
// ended, it also waits for the observers' next reports.
func (m *Machine) removableMembers() []int {
	v := &m.view
	failed, othersAreClose := m.failedMembers()
	var indexes []int
	since := m.now
	for _, peer := range failed {
		if _, known := v.failedSince[peer.Name]; !known {
			v.failedSince[peer.Name] = m.now
		}
		indexes = append(indexes, v.index[peer.Name])
		since = min(since, v.failedSince[peer.Name])
	}
	if reportsAreNew := v.majoritySince + 2*m.config.Period; m.now < reportsAreNew {
		m.wakeBy(reportsAreNew)
		return nil
	}
	if othersAreClose && m.now < since+m.config.BatchDelay {
		return nil
	}
	return indexes
}

// leftMembers returns the indexes in the view of the members that have announced that they leave.
func (m *Machine) leftMembers() []int {
	var indexes []int
	for i := range m.view.Members {
		record := &m.view.Members[i]
		peer := m.members[record.Name]
		if peer != nil && peer.state == Left && peer.Incarnation == record.Incarnation {
			indexes = append(indexes, i)
		}
	}
	return indexes
}

// startBallot starts a ballot of this member on a change. Its number is higher than every number that this member has
// promised or learned from a voter.
func (m *Machine) startBallot(proposed *change) {
	v := &m.view
	highestKnown := max(v.promised, v.ballotFloor)
	v.isPreparing = highestKnown > 0 || !m.maySkipPrepare()
	v.ballot = firstBallot
	if v.isPreparing {
		v.ballot = m.ownBallot(highestKnown)
	}
	v.ownProposal = encodeCBOR(proposed)
	v.proposal = v.ownProposal
	v.highestAccepted = 0
	v.acceptedProposals = map[string]string{}
	v.isForced = false
	v.votes = map[string]uint64{}
	v.ballotStartedAt = m.now
	v.ballotResendAt = m.now
	v.majorityPromisedAt = 0
	v.ballotAttempts++
	m.driveBallot()
}

// maySkipPrepare reports whether this member may begin with accept. Only the first member by rank may, in its first
// attempt for the view, and only if its incarnation is in the view: a restarted one may have forgotten what it
// proposed.
func (m *Machine) maySkipPrepare() bool {
	v := &m.view
	return v.ranked[0] == m.self.Name && v.Contains(m.self.Name, m.self.Incarnation) && v.ballotAttempts == 0
}

// ownBallot returns a ballot number above the given one that no other member of the view uses.
func (m *Machine) ownBallot(above uint32) uint32 {
	const step = 2 * ballotsPerAttempt // between two numbers of one member
	v := &m.view
	ownIndex := uint32(v.index[m.self.Name])
	ballot := uint32(v.ballotAttempts)*step + ballotsPerAttempt + ownIndex%ballotsPerAttempt + 1
	if ballot <= above {
		ballot += ((above-ballot)/step + 1) * step
	}
	return ballot
}

// joinRanges merges neighbouring indexes into ranges. It returns the first limit ranges at most and drops the rest.
func joinRanges(indexes []int, limit int) (out [][2]uint32) {
	slices.Sort(indexes)
	for _, i := range indexes {
		if n := len(out); n > 0 && int(out[n-1][1]) == i-1 {
			out[n-1][1]++
		} else if n < limit {
			out = append(out, [2]uint32{uint32(i), uint32(i)})
		} else {
			break
		}
	}
	return out
}

// isRestartedVoter reports whether the view has an earlier incarnation of this member. The member may vote, but has
// lost the state of its earlier votes.
func (m *Machine) isRestartedVoter() bool {
	i, ok := m.view.index[m.self.Name]
	return ok && m.view.Members[i].Incarnation < m.self.Incarnation
}

// addJoining adds the joining members to a change, as many as fit into a datagram.
func (m *Machine) addJoining(next *change) {
	v := &m.view
	size := len(encodeCBOR(next))
	add := func(r Record) bool {
		recordSize := len(encodeCBOR(r))
		if size+recordSize > maxBodyBytes {
			return false
		}
		size += recordSize
		next.Joined = append(next.Joined, r)
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

// joiningMembers returns the sorted names of the members that are alive and whose incarnation is not in the view.
func (m *Machine) joiningMembers() (out []string) {
	for name, peer := range m.members {
		if peer.state == Alive && !m.view.Contains(name, peer.Incarnation) {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

func boolToInt(value bool) int {
	if value {
		return 1
	}
	return 0
}
