// Views: numbered lists of members. All members that have a view of one number have the same list. A view is installed
// only if a majority of the view before it has accepted it. A vote counts only for the incarnation, the view and the
// index that it was given for.

package membership

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// View is a numbered list of members, in order of zone and name.
type View struct {
	ViewID
	Members []Record
}

// indexOf returns the index of the member with a name, or -1.
func (v *View) indexOf(name string) int {
	return slices.IndexFunc(v.Members, func(r Record) bool { return r.Name == name })
}

// Contains reports whether an incarnation of a member is in the view.
func (v *View) Contains(name string, incarnation uint64) bool {
	i := v.indexOf(name)
	return i >= 0 && v.Members[i].Incarnation == incarnation
}

func compareRecords(a, b Record) int {
	return cmp.Or(strings.Compare(a.Zone, b.Zone), strings.Compare(a.Name, b.Name))
}

// after returns the view that a change leads to, or an error if the change does not apply to v. beginsEpoch starts a
// new epoch.
func (v *View) after(proposed *change, beginsEpoch bool) (*View, error) {
	next := &View{ViewID: ViewID{FleetID: v.FleetID, Epoch: v.Epoch, Number: v.Number + 1}}
	removed := make([]bool, len(v.Members))
	for _, r := range slices.Concat(proposed.Failed, proposed.Left) {
		if r[0] > r[1] || int(r[1]) >= len(v.Members) {
			return nil, fmt.Errorf("indexes %v are not a range of a view of %d members", r, len(v.Members))
		}
		for i := r[0]; i <= r[1]; i++ {
			removed[i] = true
		}
	}
	for i, r := range v.Members {
		if !removed[i] && !slices.ContainsFunc(proposed.Joined, func(in Record) bool { return in.Name == r.Name }) {
			next.Members = append(next.Members, r)
		}
	}
	for _, r := range proposed.Joined {
		if next.indexOf(r.Name) >= 0 {
			return nil, fmt.Errorf("member %s is added twice", r.Name)
		}
		next.Members = append(next.Members, r)
	}
	slices.SortFunc(next.Members, compareRecords)
	// A new FleetID: another majority of members that lost their state may found the fleet anew elsewhere.
	if beginsEpoch {
		next.Epoch++
		next.FleetID = uint32(digest(next.ViewID, next.Members))
	}
	next.Digest = digest(next.ViewID, next.Members)
	return next, nil
}

// viewState is the current view and the state of the agreement on the next one.
type viewState struct {
	View
	index  map[string]int // of Members
	ranked []string       // names, in the order in which they lead

	// State as a voter, on ballots for the next view.
	promised, acceptedAt uint32
	acceptedBody         []byte

	// State as the coordinator and proposer.
	suspicionReports   map[string]map[string]suspicionReport // by member, then by observer
	failedSince        map[string]time.Duration              // since when enough observers report a member
	vetoedUntil        map[string]time.Duration              // until when no removal of a member is proposed
	ballot             uint32                                // number of the ballot that runs; 0: none
	isPreparing        bool                                  // the ballot is in its prepare phase
	proposal           []byte
	ownProposal        []byte            // this member's change, proposed unless an earlier proposal may be committed
	highestAccepted    uint32            // highest ballot under which a voter has accepted a proposal
	acceptedProposals  map[string]string // proposals that voters have accepted before, by voter
	isForced           bool              // the proposal may already be committed; voters do not veto it
	ballotFloor        uint32            // highest ballot that a voter has promised
	majorityPromisedAt time.Duration     // when a majority had promised this ballot
	majoritySince      time.Duration     // since when this member sees a majority of the view; 0: it does not
	votes              map[string]uint64 // incarnations of the voters that promised or accepted, by name
	ballotStartedAt    time.Duration
	ballotResendAt     time.Duration
	ballotAttempts     int
	backoffUntil       time.Duration
	nextFetchAt        time.Duration
	fetch              *viewTransfer
	history            []viewChange
	unconfirmed        map[string]time.Duration // members that have not confirmed the last commit
	commitBody         []byte
	commitBase         ViewID
	commitNumber       uint32
	commitResendAt     time.Duration
	commitResendsLeft  int
	laterViewSeenAt    time.Duration // when a packet with a later view last arrived
}

// viewChange is a committed change: its encoded body and the view that it applies to. number is 1 if it begins an
// epoch.
type viewChange struct {
	base   ViewID
	body   []byte
	number uint32
}

const (
	resendInterval    = 150 * time.Millisecond
	maxBodyBytes      = 170 // bytes of the encoded change or records in a datagram
	maxRanges         = 12  // ranges of removed members in a change
	firstBallot       = 1   // of the first member by rank, which may begin with accept
	ballotsPerAttempt = 1 << 12
)

func (v *viewState) init() {
	v.suspicionReports, v.failedSince, v.vetoedUntil = map[string]map[string]suspicionReport{}, map[string]time.Duration{}, map[string]time.Duration{}
	v.unconfirmed, v.index = map[string]time.Duration{}, map[string]int{}
}

// resetAfterPause drops the reports and the ballot, which depend on this process having run without a pause.
func (v *viewState) resetAfterPause(now time.Duration) {
	clear(v.suspicionReports)
	clear(v.failedSince)
	v.ballot, v.backoffUntil, v.fetch = 0, now, nil
}

// clearFailedSince records that a member has answered, and so no longer counts as failed.
func (v *viewState) clearFailedSince(name string) { delete(v.failedSince, name) }

// View returns a copy of this member's current view.
func (m *Machine) View() View {
	return View{ViewID: m.view.ViewID, Members: slices.Clone(m.view.Members)}
}

// Quorum reports whether this member is in its view and sees a majority of it.
func (m *Machine) Quorum() bool { return m.joined && m.seesMajority() }

// seesMajority reports whether more than half of the view's members, including this one, are alive as this member sees
// them.
func (m *Machine) seesMajority() bool {
	n := 0
	for i := range m.view.Members {
		name := m.view.Members[i].Name
		if peer := m.members[name]; name == m.self.Name || peer != nil && peer.state == Alive {
			n++
		}
	}
	return 2*n > len(m.view.Members)
}

// leaders returns the first n members of the view by rank that are alive, including this one. The first one is the
// coordinator. The rank changes every 8 views.
func (m *Machine) leaders(n int) (out []string) {
	for _, name := range m.view.ranked {
		if peer := m.members[name]; name == m.self.Name || peer != nil && peer.state == Alive {
			if out = append(out, name); len(out) == n {
				break
			}
		}
	}
	return out
}

// rank orders the members of the view by a hash. The first one may propose without a prepare phase.
func (v *viewState) rank() {
	ranks := make(map[string]uint64, len(v.Members))
	v.ranked = v.ranked[:0]
	for i := range v.Members {
		name := v.Members[i].Name
		ranks[name] = xxhash.Sum64String(fmt.Sprintf("%s/%d.%d", name, v.Epoch, v.Number/8))
		v.ranked = append(v.ranked, name)
	}
	slices.SortFunc(v.ranked, func(a, b string) int { return cmp.Or(cmp.Compare(ranks[a], ranks[b]), cmp.Compare(a, b)) })
}

// indexOf and Contains do the same as those of View. They use the index, because each packet about views looks its
// sender up.
func (v *viewState) indexOf(name string) int {
	if i, ok := v.index[name]; ok {
		return i
	}
	return -1
}

func (v *viewState) Contains(name string, incarnation uint64) bool {
	i := v.indexOf(name)
	return i >= 0 && v.Members[i].Incarnation == incarnation
}

// applyCommit installs the view that a committed change leads to. isProposer is set at the proposer, which sends the
// commit to the members of both views.
func (m *Machine) applyCommit(committed viewChange, isProposer bool) {
	v := &m.view
	applied, err := decodeChange(committed.body)
	var next *View
	if err == nil {
		next, err = v.after(applied, committed.number == 1)
	}
	if err != nil {
		m.Counters.Malformed++
		v.ballot = 0
		return
	}
	v.history = append(v.history, committed)
	if len(v.history) > m.config.History {
		v.history = v.history[1:]
	}
	oldMembers := v.Members
	for _, r := range applied.Left {
		for _, left := range oldMembers[r[0] : r[1]+1] {
			if peer := m.members[left.Name]; peer != nil && peer.Incarnation == left.Incarnation {
				m.setState(peer, Left, "it said so")
			}
		}
	}
	m.installView(next, "by a change of the view", true)
	if isProposer {
		v.commitBody, v.commitBase, v.commitNumber, v.commitResendAt, v.commitResendsLeft = committed.body, committed.base, committed.number, m.now, 3
		clear(v.unconfirmed)
		for _, list := range [][]Record{oldMembers, next.Members} {
			for i := range list {
				if list[i].Name != m.self.Name {
					v.unconfirmed[list[i].Name] = m.now
				}
			}
		}
		m.resendCommit()
	}
}

// installView makes next the current view. isSuccessor reports that a change of this member's previous view led to it.
// reason is reported for members that are no longer in the view.
func (m *Machine) installView(next *View, reason string, isSuccessor bool) {
	v := &m.view
	oldMembers, isOtherFleet := v.Members, v.FleetID != 0 && v.FleetID != next.FleetID && !isSuccessor
	wasJoined := m.joined
	v.View = *next
	v.index = make(map[string]int, len(next.Members))
	for i := range next.Members {
		v.index[next.Members[i].Name] = i
	}
	v.rank()
	v.promised, v.acceptedAt, v.acceptedBody, v.ballot, v.ballotAttempts, v.fetch, v.ballotFloor = 0, 0, nil, 0, 0, nil, 0
	clear(v.failedSince)
	clear(v.unconfirmed)
	// A change may arrive late: observers' reports from before it say nothing about the present.
	clear(v.suspicionReports)
	v.commitResendsLeft = 0
	for i := range next.Members {
		if r := &next.Members[i]; r.Name != m.self.Name {
			m.addMember(*r)
		}
	}
	for i := range oldMembers {
		r := &oldMembers[i]
		if peer := m.members[r.Name]; peer != nil && peer.Incarnation == r.Incarnation && !v.Contains(r.Name, r.Incarnation) && !isOtherFleet {
			delete(v.suspicionReports, r.Name)
			if peer.state != Left {
				m.setState(peer, Failed, reason)
			}
		}
	}
	m.joined = v.Contains(m.self.Name, m.self.Incarnation)
	switch {
	case isOtherFleet: // the fleets were founded separately: no member has failed by the change
		m.notice("adopted", "there is another fleet, with view %v: it goes over to that", v.ViewID)
		m.nextJoinAt = m.now
	case wasJoined && !m.joined && m.leavingSince == 0:
		m.handleIncarnationEnded(m.self.Incarnation, false)
	}
	m.actions.View = &View{ViewID: v.ViewID, Members: slices.Clone(v.Members)}
}

// bootstrap founds a fleet of this member alone if BootstrapTimeout has passed without a view. It waits longer while it
// receives datagrams from a member with a view, or from one whose name sorts before its own.
func (m *Machine) bootstrap() {
	if at := m.startedAt + m.config.BootstrapTimeout; m.now < at {
		m.wakeBy(at)
		return
	}
	for _, peer := range m.members {
		if peer.state == Alive && peer.Name < m.self.Name && m.now-peer.lastHeardAt < 4*m.config.Period {
			return // that member founds the fleet, or passes a view on
		}
	}
	// The member with a view may be gone after the time-out.
	if seen := m.view.laterViewSeenAt; m.leavingSince > 0 || seen > 0 && m.now < seen+m.config.BootstrapTimeout {
		return
	}
	v := &View{ViewID: ViewID{FleetID: uint32(xxhash.Sum64String(fmt.Sprint(m.self.Name, m.self.Incarnation))), Epoch: 1, Number: 1}, Members: []Record{m.self}}
	v.Digest = digest(v.ViewID, v.Members)
	m.notice("founded", "nobody else is there: a fleet of one")
	m.installView(v, "", false)
}
