// Views: numbered lists of the members, the same at all members that have the number. No view is installed that a
// majority of the one before did not accept, and a vote counts for the incarnation, view and place alone that it was given for.

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

// indexOf finds a member by name.
func (v *View) indexOf(name string) int {
	return slices.IndexFunc(v.Members, func(r Record) bool { return r.Name == name })
}

// Contains tells whether a life of a member is in the view.
func (v *View) Contains(name string, life uint64) bool {
	i := v.indexOf(name)
	return i >= 0 && v.Members[i].Incarnation == life
}

func compareRecords(a, b Record) int {
	return cmp.Or(strings.Compare(a.Zone, b.Zone), strings.Compare(a.Name, b.Name))
}

// after is the view that a change leads to.
func (v *View) after(c *change, heirs bool) (*View, error) {
	next := &View{ViewID: ViewID{FleetID: v.FleetID, Epoch: v.Epoch, Number: v.Number + 1}}
	out := make([]bool, len(v.Members))
	for _, r := range slices.Concat(c.Failed, c.Left) {
		if r[0] > r[1] || int(r[1]) >= len(v.Members) {
			return nil, fmt.Errorf("places %v of %d members", r, len(v.Members))
		}
		for i := r[0]; i <= r[1]; i++ {
			out[i] = true
		}
	}
	for i, r := range v.Members {
		if !out[i] && !slices.ContainsFunc(c.In, func(in Record) bool { return in.Name == r.Name }) {
			next.Members = append(next.Members, r)
		}
	}
	for _, r := range c.In {
		if next.indexOf(r.Name) >= 0 {
			return nil, fmt.Errorf("member %s comes twice", r.Name)
		}
		next.Members = append(next.Members, r)
	}
	slices.SortFunc(next.Members, compareRecords)
	if heirs { // the fleet is founded anew of what is left: another majority without a memory may do so elsewhere
		next.Epoch++
		next.FleetID = uint32(digest(next.ViewID, next.Members))
	}
	next.Digest = digest(next.ViewID, next.Members)
	return next, nil
}

// viewState is the view and what is under way to the next.
type viewState struct {
	View
	index  map[string]int // of Members
	ranked []string       // names, in the order in which they lead

	// As a voter, for the view after this one:
	promised, acceptedAt uint32
	acceptedBody         []byte

	// As the one that leads:
	suspicionReports   map[string]map[string]suspicionReport // by member, by juror
	failedSince        map[string]time.Duration              // since when a member's jury has enough votes
	vetoedUntil        map[string]time.Duration              // until when a member is not proposed to go
	ballot             uint32                                // 0: nothing is proposed
	isPreparing        bool                                  // the first round of the ballot is under way
	proposal           []byte
	ownProposal        []byte            // what it would propose if it is free to
	highestAccepted    uint32            // the latest ballot under which somebody has accepted something
	acceptedProposals  map[string]string // what voters have accepted, by name
	isForced           bool              // it may stand already: nobody's veto counts
	ballotFloor        uint32            // some voter has promised so much
	majorityPromisedAt time.Duration     // when a majority had promised
	majoritySince      time.Duration     // since when more than half of the view seem to be there
	votes              map[string]uint64 // lives that promised or accepted, by name
	ballotStartedAt    time.Duration
	ballotResendAt     time.Duration // when to send it again
	ballotAttempts     int
	backoffUntil       time.Duration
	nextFetchAt        time.Duration
	fetch              *viewTransfer
	history            []viewChange
	unconfirmed        map[string]time.Duration // members that were sent a change and have not shown it yet
	commitBody         []byte
	commitBase         ViewID
	commitNumber       uint32
	commitResendAt     time.Duration
	commitResendsLeft  int
	laterViewSeenAt    time.Duration // when somebody who has a later view was last heard
}

type viewChange struct {
	base   ViewID
	body   []byte
	number uint32
}

const (
	resendInterval    = 150 * time.Millisecond
	maxBodyBytes      = 170 // bytes of a change or of records in a datagram
	maxRanges         = 12  // ranges in a change
	ballotsPerAttempt = 1 << 12
)

func (v *viewState) init() {
	v.suspicionReports, v.failedSince, v.vetoedUntil = map[string]map[string]suspicionReport{}, map[string]time.Duration{}, map[string]time.Duration{}
	v.unconfirmed, v.index = map[string]time.Duration{}, map[string]int{}
}

// pause forgets what depended on having been there.
func (v *viewState) pause(now time.Duration) {
	clear(v.suspicionReports)
	clear(v.failedSince)
	v.ballot, v.backoffUntil, v.fetch = 0, now, nil
}

// recordHeard takes in that a member is there after all.
func (v *viewState) recordHeard(name string) { delete(v.failedSince, name) }

// View is the last view that this member knows.
func (m *Machine) View() View {
	return View{ViewID: m.view.ViewID, Members: slices.Clone(m.view.Members)}
}

// Quorum tells whether this member's side has a majority of the view, as far as it can see.
func (m *Machine) Quorum() bool { return m.joined && m.seesMajority() }

// seesMajority tells whether more than half of the view seem to be there.
func (m *Machine) seesMajority() bool {
	n := 0
	for i := range m.view.Members {
		name := m.view.Members[i].Name
		if x := m.members[name]; name == m.self.Name || x != nil && x.state == Alive {
			n++
		}
	}
	return 2*n > len(m.view.Members)
}

// leaders are the first n by rank of those members of the view that seem to be there. The rank moves with the number.
func (m *Machine) leaders(n int) (out []string) {
	for _, name := range m.view.ranked {
		if x := m.members[name]; name == m.self.Name || x != nil && x.state == Alive {
			if out = append(out, name); len(out) == n {
				break
			}
		}
	}
	return out
}

// rank orders the members of a view; the first is the one that may propose without a first round.
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

// indexOf and Has are those of the view, by the index: each datagram on views asks for its sender.
func (v *viewState) indexOf(name string) int {
	if i, ok := v.index[name]; ok {
		return i
	}
	return -1
}

func (v *viewState) Contains(name string, life uint64) bool {
	i := v.indexOf(name)
	return i >= 0 && v.Members[i].Incarnation == life
}

// applyCommit goes over to the next view. Whoever led there tells the others.
func (m *Machine) applyCommit(s viewChange, tell bool) {
	v := &m.view
	c, err := decodeChange(s.body)
	var next *View
	if err == nil {
		next, err = v.after(c, s.number == 1)
	}
	if err != nil {
		m.Counters.Malformed++
		v.ballot = 0
		return
	}
	v.history = append(v.history, s)
	if len(v.history) > m.config.History {
		v.history = v.history[1:]
	}
	old := v.Members
	for _, r := range c.Left {
		for _, gone := range old[r[0] : r[1]+1] {
			if x := m.members[gone.Name]; x != nil && x.Incarnation == gone.Incarnation {
				m.setState(x, Left, "it said so")
			}
		}
	}
	m.installView(next, "by a change of the view", true)
	if tell {
		v.commitBody, v.commitBase, v.commitNumber, v.commitResendAt, v.commitResendsLeft = s.body, s.base, s.number, m.now, 3
		clear(v.unconfirmed)
		for _, list := range [][]Record{old, next.Members} {
			for i := range list {
				if list[i].Name != m.self.Name {
					v.unconfirmed[list[i].Name] = m.now
				}
			}
		}
		m.resendCommit()
	}
}

// installView takes a view in. straight tells that a change led there from this member's own view.
func (m *Machine) installView(next *View, why string, straight bool) {
	v := &m.view
	old, apart := v.Members, v.FleetID != 0 && v.FleetID != next.FleetID && !straight
	was := m.joined
	v.View = *next
	v.index = make(map[string]int, len(next.Members))
	for i := range next.Members {
		v.index[next.Members[i].Name] = i
	}
	v.rank()
	v.promised, v.acceptedAt, v.acceptedBody, v.ballot, v.ballotAttempts, v.fetch, v.ballotFloor = 0, 0, nil, 0, 0, nil, 0
	clear(v.failedSince)
	clear(v.unconfirmed)
	clear(v.suspicionReports) // a change may be old news by the time it comes: jurors' words from before it say nothing of now
	v.commitResendsLeft = 0
	for i := range next.Members {
		if r := &next.Members[i]; r.Name != m.self.Name {
			m.addMember(*r)
		}
	}
	for i := range old {
		r := &old[i]
		if x := m.members[r.Name]; x != nil && x.Incarnation == r.Incarnation && !v.Contains(r.Name, r.Incarnation) && !apart {
			delete(v.suspicionReports, r.Name)
			if x.state != Left {
				m.setState(x, Failed, why)
			}
		}
	}
	m.joined = v.Contains(m.self.Name, m.self.Incarnation)
	switch {
	case apart: // two fleets that were founded apart: nobody has failed for that
		m.notice("adopted", "there is another fleet, with view %v: it goes over to that", v.ViewID)
		m.nextJoinAt = m.now
	case was && !m.joined && m.leavingSince == 0:
		m.handleIncarnationEnded(m.self.Incarnation, false)
	}
	m.actions.View = &View{ViewID: v.ViewID, Members: slices.Clone(v.Members)}
}

// bootstrap begins a fleet: alone, if nobody was heard that has a view, nor anybody that comes first.
func (m *Machine) bootstrap() {
	if at := m.startedAt + m.config.BootstrapTimeout; m.now < at {
		m.wakeBy(at)
		return
	}
	for _, x := range m.members {
		if x.state == Alive && x.Name < m.self.Name && m.now-x.lastHeardAt < 4*m.config.Period {
			return // that one founds, or tells of one
		}
	}
	if seen := m.view.laterViewSeenAt; m.leavingSince > 0 || seen > 0 && m.now < seen+m.config.BootstrapTimeout { // it may have gone since
		return
	}
	v := &View{ViewID: ViewID{FleetID: uint32(xxhash.Sum64String(fmt.Sprint(m.self.Name, m.self.Incarnation))), Epoch: 1, Number: 1}, Members: []Record{m.self}}
	v.Digest = digest(v.ViewID, v.Members)
	m.notice("founded", "nobody else is there: a fleet of one")
	m.installView(v, "", false)
}
