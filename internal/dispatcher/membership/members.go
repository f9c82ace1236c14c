// The table of members: the state of each as this member sees it, and the rumors that spread it.

package membership

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// member is another member as this one sees it.
type member struct {
	Record
	endpoint        netip.AddrPort
	state           State
	stateSince      time.Duration
	suspectedBy     []string      // names of up to 4 members that suspect it
	lastAnswerAt    time.Duration // its last answer to this member, direct or relayed
	lastHeardAt     time.Duration // its last datagram of any kind
	falseSuspicions int           // this member's suspicions of it that proved wrong, decaying
	investigation   *investigation
	hasAnswered     bool          // it has answered at least once
	recheckedAt     time.Duration // when recheck began to ping it again
	isDisseminated  bool          // its suspicion has been spread; other members hold it, and this one has to refute it
}

// isDoubtful reports whether a member is suspected, or was suspected and has not been reached since.
func (x *member) isDoubtful() bool { return x.state == Suspected || x.state == Unknown }

// gossipEntry is a rumor to be spread. The entry that was sent least often goes first.
type gossipEntry struct {
	memberName    string
	encoded       cbor.RawMessage
	transmissions int
}

// startSuspicion suspects a member that does not answer and tells only its observers. At 20% loss most suspicions are
// wrong, and the observers find that out within half a second. When suspicions were gossiped at once, they and their
// refutations made up nine tenths of all bytes.
func (m *Machine) startSuspicion(x *member) {
	if x.state == Left || x.state == Failed {
		return
	}
	m.Counters.Suspicions++
	m.addSuspicion(x, m.self.Name, m.now, false)
	for _, j := range m.observersOf(x) {
		if j != m.self.Name {
			m.send(m.members[j].endpoint, packet{Kind: investigateRequest, Subject: x.Name, SubjectIncarnation: x.Incarnation, SubjectRevision: x.Revision})
		}
	}
}

// addSuspicion records that the member by has suspected x since a time, and begins an investigation if this member is
// an observer of x. A public suspicion is spread to all members, any other one is for the observers alone.
func (m *Machine) addSuspicion(x *member, by string, since time.Duration, public bool) {
	fresh := !slices.Contains(x.suspectedBy, by)
	if x.state == Alive {
		x.stateSince, x.suspectedBy = since, nil
		m.setState(x, Suspected, "accused by "+by)
		m.suspected = append(m.suspected, x)
	} else if x.state == Suspected && fresh {
		x.stateSince = min(x.stateSince, since)
	}
	if fresh && len(x.suspectedBy) < 4 {
		x.suspectedBy = append(x.suspectedBy, by)
	}
	if public && !x.isDisseminated {
		x.isDisseminated = true
		m.disseminate(rumor{Name: x.Name, Incarnation: x.Incarnation, Revision: x.Revision, State: Suspected, SuspectedBy: by, AgeMilliseconds: uint32((m.now - x.stateSince).Milliseconds())})
	}
	if x.investigation == nil && slices.Contains(m.observersOf(x), m.self.Name) {
		x.investigation = &investigation{startedAt: m.now}
		m.investigated = append(m.investigated, x)
		m.investigate(x)
	}
}

// setState changes a member's state and reports the change with its reason.
func (m *Machine) setState(x *member, s State, why string) {
	if x.state == s {
		return
	}
	was := x.state
	x.state = s
	if s != Suspected {
		x.stateSince = m.now
	}
	if s == Alive || s == Left || s == Failed {
		x.suspectedBy, x.isDisseminated = nil, false
		m.endInvestigation(x)
	}
	m.actions.Changes = append(m.actions.Changes, Change{Name: x.Name, Incarnation: x.Incarnation, State: s, Reason: why, Joined: was == 0})
}

// endInvestigation ends this member's investigation of x, if there is one.
func (m *Machine) endInvestigation(x *member) {
	if x.investigation != nil {
		x.investigation = nil
		m.investigated = slices.DeleteFunc(m.investigated, func(y *member) bool { return x == y })
	}
}

// disseminateSelf spreads this member's record.
func (m *Machine) disseminateSelf() {
	whole := m.self
	m.disseminate(rumor{Name: m.self.Name, Incarnation: m.self.Incarnation, Revision: m.self.Revision, State: Alive, Record: &whole})
}

// disseminate queues a rumor for gossip. It replaces an older rumor about the same member.
func (m *Machine) disseminate(r rumor) {
	raw := cbor.RawMessage(encodeCBOR(r))
	for _, n := range m.gossipQueue {
		if n.memberName == r.Name {
			n.encoded, n.transmissions = raw, 0
			return
		}
	}
	m.gossipQueue = append(m.gossipQueue, &gossipEntry{memberName: r.Name, encoded: raw})
}

// applyRevision records that a member has raised its revision. The member is alive and has refuted every suspicion of
// an earlier revision.
func (m *Machine) applyRevision(x *member, n uint32, why string) {
	if n <= x.Revision || x.state == Left || x.state == Failed {
		return
	}
	x.Revision = n
	if x.state == Suspected || x.state == Unknown {
		public := x.isDisseminated
		if m.setState(x, Alive, why); public {
			m.disseminate(rumor{Name: x.Name, Incarnation: x.Incarnation, Revision: x.Revision, State: Alive})
		}
	}
}

// refute raises this member's revision above n, that of a suspicion, and spreads that this member is alive.
func (m *Machine) refute(n uint32) {
	if n >= m.self.Revision {
		m.Counters.Refuted++
		m.self.Revision = n + 1
		m.disseminate(rumor{Name: m.self.Name, Incarnation: m.self.Incarnation, Revision: m.self.Revision, State: Alive})
		for _, x := range m.randomAlive(indirectProbes, nil) {
			m.send(x.endpoint, packet{Kind: ping, Sequence: m.nextSequence()})
		}
	}
}

// applyRumor applies a rumor to the table of members, and spreads it further if it is new. A rumor about this member
// itself is refuted, or ends its incarnation.
func (m *Machine) applyRumor(r *rumor) {
	if r.Name == m.self.Name {
		switch {
		case r.Incarnation > m.self.Incarnation:
			if r.Record != nil {
				m.handleIncarnationEnded(r.Incarnation, !slices.Equal(r.Record.Address, m.self.Address))
			}
		case r.Incarnation == m.self.Incarnation && r.State == Suspected:
			m.refute(r.Revision)
		case r.Incarnation == m.self.Incarnation && r.Revision > m.self.Revision: // this process was restored to an earlier state
			m.refute(r.Revision)
		case r.Incarnation == m.self.Incarnation && r.State == Left && m.leavingSince == 0:
			m.startNewIncarnation("it was put back to before it left")
		}
		return
	}
	x := m.members[r.Name]
	switch {
	case x == nil || r.Incarnation > x.Incarnation:
		if r.State == Alive && r.Record != nil {
			m.addMember(*r.Record)
			m.disseminate(*r)
		}
	case r.Incarnation < x.Incarnation || x.state == Left || x.state == Failed:
	case r.State == Alive && r.Revision > x.Revision:
		if x.Revision = r.Revision; r.Record != nil {
			x.Metadata = r.Record.Metadata
		}
		m.setState(x, Alive, "it says so")
		m.disseminate(*r)
	case r.State == Suspected && r.Revision >= x.Revision:
		x.Revision = r.Revision
		m.addSuspicion(x, r.SuspectedBy, m.now-time.Duration(r.AgeMilliseconds)*time.Millisecond, true)
	case r.State == Left:
		m.setState(x, Left, "it said so")
		m.disseminate(*r)
	}
}

// addMember adds a member, or a new incarnation of one, to the table. It returns the table's entry, whose incarnation
// may be later than that of r.
func (m *Machine) addMember(r Record) *member {
	x := m.members[r.Name]
	switch {
	case x != nil && x.Incarnation == r.Incarnation:
		if r.Revision > x.Revision && x.state <= Unknown {
			x.Metadata, x.Address, x.endpoint, x.Zone = r.Metadata, r.Address, m.endpointOf(&r), r.Zone
			m.applyRevision(x, r.Revision, "it says so")
		}
		return x
	case x != nil && x.Incarnation > r.Incarnation:
		return x
	case x != nil:
		m.endInvestigation(x)
	}
	x = &member{Record: r, endpoint: m.endpointOf(&r)}
	m.members[r.Name] = x
	m.setState(x, Alive, "it is new")
	// Inserted into the rest of this round, the member does not wait for the next round to be probed.
	if m.ringPosition <= len(m.ring) {
		m.ring = slices.Insert(m.ring, m.ringPosition+m.rng.IntN(len(m.ring)-m.ringPosition+1), x)
	}
	return x
}

// endpointOf returns the address at which this member reaches another.
func (m *Machine) endpointOf(r *Record) netip.AddrPort {
	if a, ok := m.config.AddressBook[r.Name]; ok {
		return a
	} else if m.config.LearnAddresses {
		return netip.AddrPort{} // unknown until the member is heard
	}
	return r.AddrPort()
}

func sortedKeys[K cmp.Ordered, V any](in map[K]V) []K {
	out := make([]K, 0, len(in))
	for k := range in {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

// MemberStatus is the state of a member as shown to operators.
type MemberStatus struct {
	Name         string   `json:"name"`
	Zone         string   `json:"zone"`
	Incarnation  uint64   `json:"life"`
	Address      string   `json:"address"`
	State        string   `json:"state"`
	SinceSeconds float64  `json:"since_s"`
	SuspectedBy  []string `json:"accused_by,omitempty"`
	InView       bool     `json:"in_view"`
	Weight       float32  `json:"weight"`
	Draining     bool     `json:"draining"`
	Version      string   `json:"version"`
}

// Members returns the status of this member and of all others that it knows, ordered by zone and name.
func (m *Machine) Members() []MemberStatus {
	see := func(r *Record, addr netip.AddrPort, state State, since time.Duration, by []string) MemberStatus {
		return MemberStatus{Name: r.Name, Zone: r.Zone, Incarnation: r.Incarnation, Address: addr.String(), State: state.String(), SinceSeconds: (m.now - since).Seconds(),
			SuspectedBy: slices.Clone(by), InView: m.view.Contains(r.Name, r.Incarnation), Weight: r.Metadata.Weight, Draining: r.Metadata.Draining, Version: r.Metadata.Version}
	}
	state := Alive
	if m.leavingSince > 0 || m.isEnded {
		state = Left
	}
	out := []MemberStatus{see(&m.self, m.config.Address, state, m.startedAt, nil)}
	for _, x := range m.members {
		out = append(out, see(&x.Record, x.endpoint, x.state, x.stateSince, x.suspectedBy))
	}
	slices.SortFunc(out, func(a, b MemberStatus) int { return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Name, b.Name)) })
	return out
}

// Addresses returns the addresses from which datagrams of this fleet may come: those of seeds and known members.
func (m *Machine) Addresses() map[netip.AddrPort]bool {
	out := map[netip.AddrPort]bool{}
	for _, a := range m.config.Seeds {
		out[a] = true
	}
	for _, x := range m.members {
		out[x.endpoint] = true
	}
	return out
}
