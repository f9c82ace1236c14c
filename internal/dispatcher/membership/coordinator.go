// How members agree on the next view: the coordinator counts reports, proposes a change and drives its ballot.

package membership

import (
	"slices"
	"time"
)

// suspicionReport is what an observer has said of a member.
type suspicionReport struct {
	age, receivedAt time.Duration
	incarnation     uint64
	revision        uint32
}

// recordSuspicionReport keeps an observer's report that a member has not answered it for some time.
func (m *Machine) recordSuspicionReport(observer string, x *member, age time.Duration) {
	if m.view.suspicionReports[x.Name] == nil {
		m.view.suspicionReports[x.Name] = map[string]suspicionReport{}
	}
	m.view.suspicionReports[x.Name][observer] = suspicionReport{age: age, receivedAt: m.now, incarnation: x.Incarnation, revision: x.Revision}
}

// The ages at which an observer's report counts, in twentieths and fifths of the settings' times.
const (
	reportLifetimeFifths   = 13 // of a period: an observer reports again each period
	almostFailedTwentieths = 9  // of the time-out: a change waits for a member that is as close to it as that
)

// failedMembers counts the observers' reports. It returns the members that have failed, and whether others are about to.
func (m *Machine) failedMembers() (failed []*member, othersAreClose bool) {
	v := &m.view
	for _, name := range sortedKeys(v.suspicionReports) {
		x := m.members[name]
		if x == nil || !x.isDoubtful() || m.now < v.vetoedUntil[name] || v.indexOf(name) < 0 {
			delete(v.suspicionReports, name)
			delete(v.failedSince, name)
			continue
		}
		votes, almost := m.countReports(x)
		needed := min(m.config.ObserverCount, len(v.Members)-1)/2 + 1
		if votes >= needed {
			failed = append(failed, x)
		} else if votes+almost > 0 {
			othersAreClose = true
		}
	}
	return failed, othersAreClose
}

// countReports returns how many observers say that a member did not answer for the time-out, and how many are close to
// saying so. It drops reports that are old or about another incarnation or revision.
func (m *Machine) countReports(x *member) (votes, almost int) {
	reports := m.view.suspicionReports[x.Name]
	for observer, report := range reports {
		isOld := m.now-report.receivedAt > m.config.Period*reportLifetimeFifths/5
		switch {
		case isOld || report.incarnation != x.Incarnation || report.revision != x.Revision:
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

// isPresent tells whether a member is this one, or alive and in the view.
func (m *Machine) isPresent(name string) bool {
	if name == m.self.Name {
		return true
	}
	x := m.members[name]
	return x != nil && x.state == Alive && m.view.indexOf(name) >= 0
}

// coordinate is called with every event. It keeps a transfer and a ballot of this member going, and proposes the next
// view where it is this member's turn to coordinate.
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

// noteMajority tells whether this member sees a majority of the view, and remembers since when.
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

// mayPropose tells whether it is this member's turn to propose a change of the view.
func (m *Machine) mayPropose() bool {
	leaders := m.leaders(1)
	isFirst := len(leaders) > 0 && leaders[0] == m.self.Name
	isLeaving := m.leavingSince > 0 && m.now > m.leavingSince+leavePeriods*m.config.Period/2
	hasVote := m.joined || m.isRestartedVoter()
	return isFirst && !isLeaving && hasVote && m.now >= m.view.backoffUntil
}

// nextChange collects what the next view is to change: members that have failed, that have left, and that join.
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

// removableMembers returns the places of the members that have failed and may be removed now. Removals wait for others
// that are about to fail, and after the end of a network partition for the observers' next reports.
func (m *Machine) removableMembers() []int {
	v := &m.view
	failed, othersAreClose := m.failedMembers()
	var places []int
	since := m.now
	for _, x := range failed {
		if _, known := v.failedSince[x.Name]; !known {
			v.failedSince[x.Name] = m.now
		}
		places = append(places, v.index[x.Name])
		since = min(since, v.failedSince[x.Name])
	}
	if reportsAreNew := v.majoritySince + 2*m.config.Period; m.now < reportsAreNew {
		m.wakeBy(reportsAreNew)
		return nil
	}
	if othersAreClose && m.now < since+m.config.BatchDelay {
		return nil
	}
	return places
}

// leftMembers returns the places of the members that have said that they leave.
func (m *Machine) leftMembers() []int {
	var places []int
	for i := range m.view.Members {
		record := &m.view.Members[i]
		x := m.members[record.Name]
		if x != nil && x.state == Left && x.Incarnation == record.Incarnation {
			places = append(places, i)
		}
	}
	return places
}

// startBallot proposes a change under a ballot of this member's own.
func (m *Machine) startBallot(proposed *change) {
	v := &m.view
	v.isPreparing = !m.maySkipPrepare()
	v.ballot = 1
	if v.isPreparing {
		v.ballot = m.ownBallot()
	}
	if v.isPreparing || v.promised > 0 || v.ballotFloor > 0 {
		v.isPreparing = true
		v.ballot = max(v.ballot, v.promised+1, v.ballotFloor+1)
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

// maySkipPrepare tells whether this member may begin with accept: one member of a view only, in its first attempt, and
// never one that may have forgotten what it did.
func (m *Machine) maySkipPrepare() bool {
	v := &m.view
	return v.ranked[0] == m.self.Name && v.Contains(m.self.Name, m.self.Incarnation) && v.ballotAttempts == 0
}

// ownBallot returns a ballot that no other member of the view uses.
func (m *Machine) ownBallot() uint32 {
	v := &m.view
	place := uint32(v.index[m.self.Name])
	return uint32(v.ballotAttempts)*ballotsPerAttempt*2 + ballotsPerAttempt + place%ballotsPerAttempt + 1
}

// joinRanges joins neighbouring places to ranges, limit of them at most.
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

// isRestartedVoter tells whether the view has an earlier incarnation of this member: it may vote, but has no memory.
func (m *Machine) isRestartedVoter() bool {
	i, ok := m.view.index[m.self.Name]
	return ok && m.view.Members[i].Incarnation < m.self.Incarnation
}

// addJoining puts members that join into a change, as many as fit into a datagram.
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

// joiningMembers returns the members that are alive and not in the view with their incarnation, by name.
func (m *Machine) joiningMembers() (out []string) {
	for name, x := range m.members {
		if x.state == Alive && !m.view.Contains(name, x.Incarnation) {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

func flag(b bool) int {
	if b {
		return 1
	}
	return 0
}
