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
func (peer *member) isDoubtful() bool { return peer.state == Suspected || peer.state == Unknown }

// gossipEntry is a rumor to be spread. The entry that was sent least often goes first.
type gossipEntry struct {
	memberName    string
	encoded       cbor.RawMessage
	transmissions int
}

// startSuspicion suspects a member that does not answer and notifies only its observers. At 20% loss most suspicions
// are wrong, and the observers detect that within half a second. When suspicions were gossiped at once, they and their
// refutations made up nine tenths of all bytes.
func (m *Machine) startSuspicion(peer *member) {
	if peer.state == Left || peer.state == Failed {
		return
	}
	m.Counters.Suspicions++
	m.addSuspicion(peer, m.self.Name, m.now, false)
	for _, observer := range m.observersOf(peer) {
		if observer != m.self.Name {
			m.send(m.members[observer].endpoint, packet{Kind: investigateRequest, Subject: peer.Name, SubjectIncarnation: peer.Incarnation, SubjectRevision: peer.Revision})
		}
	}
}

// addSuspicion records that the member by has suspected peer since a time, and begins an investigation if this member
// is an observer of peer. If isPublic is set, the suspicion is spread to all members, otherwise it is for the observers
// alone.
func (m *Machine) addSuspicion(peer *member, by string, since time.Duration, isPublic bool) {
	isNewReporter := !slices.Contains(peer.suspectedBy, by)
	if peer.state == Alive {
		peer.stateSince, peer.suspectedBy = since, nil
		m.setState(peer, Suspected, "accused by "+by)
		m.suspected = append(m.suspected, peer)
	} else if peer.state == Suspected && isNewReporter {
		peer.stateSince = min(peer.stateSince, since)
	}
	if isNewReporter && len(peer.suspectedBy) < 4 {
		peer.suspectedBy = append(peer.suspectedBy, by)
	}
	if isPublic && !peer.isDisseminated {
		peer.isDisseminated = true
		m.disseminate(rumor{Name: peer.Name, Incarnation: peer.Incarnation, Revision: peer.Revision, State: Suspected, SuspectedBy: by, AgeMilliseconds: uint32((m.now - peer.stateSince).Milliseconds())})
	}
	if peer.investigation == nil && slices.Contains(m.observersOf(peer), m.self.Name) {
		peer.investigation = &investigation{startedAt: m.now}
		m.investigated = append(m.investigated, peer)
		m.investigate(peer)
	}
}

// setState changes a member's state and reports the change with its reason.
func (m *Machine) setState(peer *member, newState State, reason string) {
	if peer.state == newState {
		return
	}
	previous := peer.state
	peer.state = newState
	if newState != Suspected {
		peer.stateSince = m.now
	}
	if newState == Alive || newState == Left || newState == Failed {
		peer.suspectedBy, peer.isDisseminated = nil, false
		m.endInvestigation(peer)
	}
	m.actions.Changes = append(m.actions.Changes, Change{Name: peer.Name, Incarnation: peer.Incarnation, State: newState, Reason: reason, IsNew: previous == 0})
}

// endInvestigation ends this member's investigation of peer, if there is one.
func (m *Machine) endInvestigation(peer *member) {
	if peer.investigation != nil {
		peer.investigation = nil
		m.investigated = slices.DeleteFunc(m.investigated, func(other *member) bool { return peer == other })
	}
}

// disseminateSelf spreads this member's record.
func (m *Machine) disseminateSelf() {
	record := m.self
	m.disseminate(rumor{Name: m.self.Name, Incarnation: m.self.Incarnation, Revision: m.self.Revision, State: Alive, Record: &record})
}

// disseminate queues a rumor for gossip. It replaces an older rumor about the same member.
func (m *Machine) disseminate(r rumor) {
	body := cbor.RawMessage(encodeCBOR(r))
	for _, entry := range m.gossipQueue {
		if entry.memberName == r.Name {
			entry.encoded, entry.transmissions = body, 0
			return
		}
	}
	m.gossipQueue = append(m.gossipQueue, &gossipEntry{memberName: r.Name, encoded: body})
}

// applyRevision records that a member has raised its revision. The member is alive and has refuted every suspicion of
// an earlier revision.
func (m *Machine) applyRevision(peer *member, revision uint32, reason string) {
	if revision <= peer.Revision || peer.state == Left || peer.state == Failed {
		return
	}
	peer.Revision = revision
	if peer.state == Suspected || peer.state == Unknown {
		wasDisseminated := peer.isDisseminated
		if m.setState(peer, Alive, reason); wasDisseminated {
			m.disseminate(rumor{Name: peer.Name, Incarnation: peer.Incarnation, Revision: peer.Revision, State: Alive})
		}
	}
}

// refute raises this member's revision above that of a suspicion, and spreads that this member is alive.
func (m *Machine) refute(revision uint32) {
	if revision >= m.self.Revision {
		m.Counters.Refuted++
		m.self.Revision = revision + 1
		m.disseminate(rumor{Name: m.self.Name, Incarnation: m.self.Incarnation, Revision: m.self.Revision, State: Alive})
		for _, peer := range m.randomAlive(indirectProbes, nil) {
			m.send(peer.endpoint, packet{Kind: ping, Sequence: m.nextSequence()})
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
		case r.Incarnation == m.self.Incarnation && r.Revision > m.self.Revision:
			// This process was restored to an earlier state.
			m.refute(r.Revision)
		case r.Incarnation == m.self.Incarnation && r.State == Left && m.leavingSince == 0:
			m.startNewIncarnation("it was put back to before it left")
		}
		return
	}
	peer := m.members[r.Name]
	switch {
	case peer == nil || r.Incarnation > peer.Incarnation:
		if r.State == Alive && r.Record != nil {
			m.addMember(*r.Record)
			m.disseminate(*r)
		}
	case r.Incarnation < peer.Incarnation || peer.state == Left || peer.state == Failed:
	case r.State == Alive && r.Revision > peer.Revision:
		if peer.Revision = r.Revision; r.Record != nil {
			peer.Metadata = r.Record.Metadata
		}
		m.setState(peer, Alive, "it says so")
		m.disseminate(*r)
	case r.State == Suspected && r.Revision >= peer.Revision:
		peer.Revision = r.Revision
		m.addSuspicion(peer, r.SuspectedBy, m.now-time.Duration(r.AgeMilliseconds)*time.Millisecond, true)
	case r.State == Left:
		m.setState(peer, Left, "it said so")
		m.disseminate(*r)
	}
}

// addMember adds a member, or a new incarnation of one, to the table. It returns the table's entry, whose incarnation
// may be later than that of r.
func (m *Machine) addMember(r Record) *member {
	peer := m.members[r.Name]
	switch {
	case peer != nil && peer.Incarnation == r.Incarnation:
		if r.Revision > peer.Revision && peer.state <= Unknown {
			peer.Metadata, peer.Address, peer.endpoint, peer.Zone = r.Metadata, r.Address, m.endpointOf(&r), r.Zone
			m.applyRevision(peer, r.Revision, "it says so")
		}
		return peer
	case peer != nil && peer.Incarnation > r.Incarnation:
		return peer
	case peer != nil:
		m.endInvestigation(peer)
	}
	peer = &member{Record: r, endpoint: m.endpointOf(&r)}
	m.members[r.Name] = peer
	m.setState(peer, Alive, "it is new")
	// Inserted into the rest of this round, the member does not wait for the next round to be probed.
	if m.probePosition <= len(m.probeOrder) {
		m.probeOrder = slices.Insert(m.probeOrder, m.probePosition+m.rng.IntN(len(m.probeOrder)-m.probePosition+1), peer)
	}
	return peer
}

// endpointOf returns the address at which this member reaches another.
func (m *Machine) endpointOf(r *Record) netip.AddrPort {
	if address, ok := m.config.AddressBook[r.Name]; ok {
		return address
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
	status := func(r *Record, addr netip.AddrPort, state State, since time.Duration, by []string) MemberStatus {
		return MemberStatus{Name: r.Name, Zone: r.Zone, Incarnation: r.Incarnation, Address: addr.String(), State: state.String(), SinceSeconds: (m.now - since).Seconds(),
			SuspectedBy: slices.Clone(by), InView: m.view.Contains(r.Name, r.Incarnation), Weight: r.Metadata.Weight, Draining: r.Metadata.Draining, Version: r.Metadata.Version}
	}
	state := Alive
	if m.leavingSince > 0 || m.isEnded {
		state = Left
	}
	out := []MemberStatus{status(&m.self, m.config.Address, state, m.startedAt, nil)}
	for _, peer := range m.members {
		out = append(out, status(&peer.Record, peer.endpoint, peer.state, peer.stateSince, peer.suspectedBy))
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
	for _, peer := range m.members {
		out[peer.endpoint] = true
	}
	return out
}
