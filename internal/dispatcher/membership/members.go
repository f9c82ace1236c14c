// What this member knows of each member: alive, suspected, left.

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
	suspectedBy     []string      // who suspects it
	lastAnswerAt    time.Duration // its last answer to this member, direct or relayed
	lastHeardAt     time.Duration // its last datagram of any kind
	falseSuspicions int           // this member's suspicions of it that proved wrong, decaying
	investigation   *investigation
	hasAnswered     bool          // it has answered once at least
	recheckedAt     time.Duration // since when it is asked once more, as a proposal removes it
	isDisseminated  bool          // its suspicion has been spread: others believe it, and the member has to refute it
}

// isDoubtful tells whether a member is suspected, or was and could not be reached since.
func (x *member) isDoubtful() bool { return x.state == Suspected || x.state == Unknown }

// gossipEntry is a rumor to be spread; the one sent least often goes first.
type gossipEntry struct {
	memberName    string
	encoded       cbor.RawMessage
	transmissions int
}

// startSuspicion says that a member does not answer, to its jury alone: with a fifth of all datagrams lost most accusations are
// wrong, and the jury finds that out in half a second. Passed on at once, they and their refutations were nine tenths of
// all bytes.
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

// addSuspicion takes an accusation in, one that is meant for all or only for its jury.
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

// setState changes what a member is taken for.
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

// endInvestigation ends what this member does as an observer of x.
func (m *Machine) endInvestigation(x *member) {
	if x.investigation != nil {
		x.investigation = nil
		m.investigated = slices.DeleteFunc(m.investigated, func(y *member) bool { return x == y })
	}
}

// disseminateSelf spreads what this member says of itself.
func (m *Machine) disseminateSelf() {
	whole := m.self
	m.disseminate(rumor{Name: m.self.Name, Incarnation: m.self.Incarnation, Revision: m.self.Revision, State: Alive, Record: &whole})
}

// disseminate spreads a rumor; it replaces an older one of the same member.
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

// applyRevision takes in that a member has raised its number: it lives, and knows what was said before.
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

// refute says that this member is there, above what was said of it.
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

// applyRumor takes in what is said of a member.
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

// addMember puts a member, or a new life of one, into the table.
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
	// It would wait for a complete round otherwise.
	if m.ringPosition <= len(m.ring) {
		m.ring = slices.Insert(m.ring, m.ringPosition+m.rng.IntN(len(m.ring)-m.ringPosition+1), x)
	}
	return x
}

// endpointOf is the address at which this member reaches another.
func (m *Machine) endpointOf(r *Record) netip.AddrPort {
	if a, ok := m.config.AddressBook[r.Name]; ok {
		return a
	} else if m.config.LearnAddresses {
		return netip.AddrPort{} // none before it is heard
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

// MemberStatus is what this member knows of a member, itself included, as operators are shown it.
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

// Members returns all members that this one knows of, by zone and name.
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

// Addresses returns the addresses that a datagram of this fleet may come from.
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
