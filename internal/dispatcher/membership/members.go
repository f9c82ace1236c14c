// The members as this one sees them: alive, suspected, left.

package membership

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
)

type member struct {
	Record
	addr     netip.AddrPort
	state    State
	since    time.Duration
	by       []string      // who accuses it
	answered time.Duration // it last answered this member, directly or by a relay
	heard    time.Duration // its last datagram of any kind
	wrong    int           // this member's accusations of it that proved wrong, fading
	inquiry  *inquiry
	met      bool          // it has answered at all
	checked  time.Duration // since when it is asked once more, as a change takes it out
	public   bool          // its accusation has been passed on: others believe it, and it has to refute it
}

// news is a rumour on its way; the one passed on least goes first.
type news struct {
	name string
	raw  cbor.RawMessage
	sent int
}

// accuse says that a member does not answer, to its jury alone: with a fifth of all datagrams lost most accusations are
// wrong, and the jury finds that out in half a second. Passed on at once, they and their refutations were nine tenths of
// all bytes.
func (m *Machine) accuse(x *member) {
	if x.state == Left || x.state == Failed {
		return
	}
	m.Counters.Accused++
	m.suspect(x, m.me.Name, m.now, false)
	for _, j := range m.jury(x) {
		if j != m.me.Name {
			m.send(m.table[j].addr, packet{Kind: inquire, For: x.Name, ForLife: x.Life, ForNews: x.News})
		}
	}
}

// suspect takes an accusation in, one that is meant for all or only for its jury.
func (m *Machine) suspect(x *member, by string, since time.Duration, public bool) {
	fresh := !slices.Contains(x.by, by)
	if x.state == Alive {
		x.since, x.by = since, nil
		m.set(x, Suspect, "accused by "+by)
		m.suspects = append(m.suspects, x)
	} else if x.state == Suspect && fresh {
		x.since = min(x.since, since)
	}
	if fresh && len(x.by) < 4 {
		x.by = append(x.by, by)
	}
	if public && !x.public {
		x.public = true
		m.pass(rumour{Name: x.Name, Life: x.Life, News: x.News, State: Suspect, By: by, AgeMs: uint32((m.now - x.since).Milliseconds())})
	}
	if x.inquiry == nil && slices.Contains(m.jury(x), m.me.Name) {
		x.inquiry = &inquiry{began: m.now}
		m.inquire = append(m.inquire, x)
		m.juror(x)
	}
}

// set changes what a member is taken for.
func (m *Machine) set(x *member, s State, why string) {
	if x.state == s {
		return
	}
	was := x.state
	x.state = s
	if s != Suspect {
		x.since = m.now
	}
	if s == Alive || s == Left || s == Failed {
		x.by, x.public = nil, false
		m.drop(x)
	}
	m.acts.Changes = append(m.acts.Changes, Change{Name: x.Name, Life: x.Life, State: s, Why: why, Joined: was == 0})
}

// drop ends an inquiry.
func (m *Machine) drop(x *member) {
	if x.inquiry != nil {
		x.inquiry = nil
		m.inquire = slices.DeleteFunc(m.inquire, func(y *member) bool { return x == y })
	}
}

// sayMe spreads what this member says of itself.
func (m *Machine) sayMe() {
	whole := m.me
	m.pass(rumour{Name: m.me.Name, Life: m.me.Life, News: m.me.News, State: Alive, Whole: &whole})
}

// pass puts a rumour on its way; it replaces an older one of the same member.
func (m *Machine) pass(r rumour) {
	raw := cbor.RawMessage(encode(r))
	for _, n := range m.gossip {
		if n.name == r.Name {
			n.raw, n.sent = raw, 0
			return
		}
	}
	m.gossip = append(m.gossip, &news{name: r.Name, raw: raw})
}

// fresher takes in that a member has raised its number: it lives, and knows what was said before.
func (m *Machine) fresher(x *member, n uint32, why string) {
	if n <= x.News || x.state == Left || x.state == Failed {
		return
	}
	x.News = n
	if x.state == Suspect || x.state == Unknown {
		public := x.public
		if m.set(x, Alive, why); public {
			m.pass(rumour{Name: x.Name, Life: x.Life, News: x.News, State: Alive})
		}
	}
}

// refute says that this member is there, above what was said of it.
func (m *Machine) refute(n uint32) {
	if n >= m.me.News {
		m.Counters.Refuted++
		m.me.News = n + 1
		m.pass(rumour{Name: m.me.Name, Life: m.me.Life, News: m.me.News, State: Alive})
		for _, x := range m.some(relays, nil) {
			m.send(x.addr, packet{Kind: ping, Seq: m.newSeq()})
		}
	}
}

// rumour takes in what is said of somebody.
func (m *Machine) rumour(r *rumour) {
	if r.Name == m.me.Name {
		switch {
		case r.Life > m.me.Life:
			if r.Whole != nil {
				m.ended(r.Life, !slices.Equal(r.Whole.At, m.me.At))
			}
		case r.Life == m.me.Life && r.State == Suspect:
			m.refute(r.News)
		case r.Life == m.me.Life && r.News > m.me.News: // this process was put back to an earlier state
			m.refute(r.News)
		case r.Life == m.me.Life && r.State == Left && m.leaving == 0:
			m.renew("it was put back to before it left")
		}
		return
	}
	x := m.table[r.Name]
	switch {
	case x == nil || r.Life > x.Life:
		if r.State == Alive && r.Whole != nil {
			m.meet(*r.Whole)
			m.pass(*r)
		}
	case r.Life < x.Life || x.state == Left || x.state == Failed:
	case r.State == Alive && r.News > x.News:
		if x.News = r.News; r.Whole != nil {
			x.Facts = r.Whole.Facts
		}
		m.set(x, Alive, "it says so")
		m.pass(*r)
	case r.State == Suspect && r.News >= x.News:
		x.News = r.News
		m.suspect(x, r.By, m.now-time.Duration(r.AgeMs)*time.Millisecond, true)
	case r.State == Left:
		m.set(x, Left, "it said so")
		m.pass(*r)
	}
}

// meet puts a member, or a new life of one, into the table.
func (m *Machine) meet(r Record) *member {
	x := m.table[r.Name]
	switch {
	case x != nil && x.Life == r.Life:
		if r.News > x.News && x.state <= Unknown {
			x.Facts, x.At, x.addr, x.Zone = r.Facts, r.At, m.reach(&r), r.Zone
			m.fresher(x, r.News, "it says so")
		}
		return x
	case x != nil && x.Life > r.Life:
		return x
	case x != nil:
		m.drop(x)
	}
	x = &member{Record: r, addr: m.reach(&r)}
	m.table[r.Name] = x
	m.set(x, Alive, "it is new")
	// It may wait for a whole round otherwise.
	if m.turn <= len(m.ring) {
		m.ring = slices.Insert(m.ring, m.turn+m.rng.IntN(len(m.ring)-m.turn+1), x)
	}
	return x
}

// reach is the address at which this member reaches another.
func (m *Machine) reach(r *Record) netip.AddrPort {
	if a, ok := m.cfg.Book[r.Name]; ok {
		return a
	} else if m.cfg.Learn {
		return netip.AddrPort{} // none before it is heard
	}
	return r.Addr()
}

func sortedKeys[K cmp.Ordered, V any](in map[K]V) []K {
	out := make([]K, 0, len(in))
	for k := range in {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

// Seen is what this member knows of one, itself included.
type Seen struct {
	Name     string   `json:"name"`
	Zone     string   `json:"zone"`
	Life     uint64   `json:"life"`
	Address  string   `json:"address"`
	State    string   `json:"state"`
	SinceS   float64  `json:"since_s"`
	By       []string `json:"accused_by,omitempty"`
	InView   bool     `json:"in_view"`
	Weight   float32  `json:"weight"`
	Draining bool     `json:"draining"`
	Version  string   `json:"version"`
}

// Members are all that this member knows of, by zone and name.
func (m *Machine) Members() []Seen {
	see := func(r *Record, addr netip.AddrPort, state State, since time.Duration, by []string) Seen {
		return Seen{Name: r.Name, Zone: r.Zone, Life: r.Life, Address: addr.String(), State: state.String(), SinceS: (m.now - since).Seconds(),
			By: slices.Clone(by), InView: m.view.Has(r.Name, r.Life), Weight: r.Facts.Weight, Draining: r.Facts.Draining, Version: r.Facts.Version}
	}
	state := Alive
	if m.leaving > 0 || m.done {
		state = Left
	}
	out := []Seen{see(&m.me, m.cfg.At, state, m.born, nil)}
	for _, x := range m.table {
		out = append(out, see(&x.Record, x.addr, x.state, x.since, x.by))
	}
	slices.SortFunc(out, func(a, b Seen) int { return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Name, b.Name)) })
	return out
}

// Addresses are those that a datagram of this fleet may come from.
func (m *Machine) Addresses() map[netip.AddrPort]bool {
	out := map[netip.AddrPort]bool{}
	for _, a := range m.cfg.Seeds {
		out[a] = true
	}
	for _, x := range m.table {
		out[x.addr] = true
	}
	return out
}
