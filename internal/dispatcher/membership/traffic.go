// Packets sent and heard, how a member joins, and how its life ends.

package membership

import (
	"cmp"
	"fmt"
	"math/bits"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// send writes a datagram. What stands in it of others fills it up, first what concerns the one that it goes to.
func (m *Machine) send(to netip.AddrPort, p packet) {
	if !to.IsValid() {
		return
	}
	p.From, p.Life, p.News = m.me.Name, m.me.Life, m.me.News
	if p.View == (ViewID{}) {
		p.View = m.view.ViewID
	}
	body := encode(p)
	size := 1 + len(body)
	if p.Kind == ping || p.Kind == ack || p.Kind == ask {
		if x := m.table[p.For]; p.Kind == ping && x != nil && x.public && (x.state == Suspect || x.state == Unknown) {
			raw := encode(rumour{Name: x.Name, Life: x.Life, News: x.News, State: Suspect, By: m.me.Name, AgeMs: uint32((m.now - x.since).Milliseconds())})
			if size+len(raw)+1 <= Datagram {
				p.Rumours, size = append(p.Rumours, raw), size+len(raw)
			}
		}
		most := spreads * bits.Len(uint(len(m.table)+1))
		slices.SortStableFunc(m.gossip, func(a, b *news) int { return cmp.Compare(a.sent, b.sent) })
		for _, n := range m.gossip {
			if size+len(n.raw)+2 <= Datagram && len(p.Rumours) < 20 && n.name != p.For {
				p.Rumours, size = append(p.Rumours, n.raw), size+len(n.raw)
				n.sent++
			}
		}
		m.gossip = slices.DeleteFunc(m.gossip, func(n *news) bool { return n.sent >= most })
	}
	if len(p.Rumours) > 0 {
		body = encode(p)
	}
	data := append(append(make([]byte, 0, 1+len(body)), version), body...)
	if len(data) > Datagram {
		panic(fmt.Sprintf("membership: a datagram of %d bytes, kind %d", len(data), p.Kind)) // sizes are bounded where bodies are made
	}
	m.Counters.Sent++
	m.Counters.SentBytes += uint64(len(data))
	m.acts.Send = append(m.acts.Send, Out{To: to, Data: data})
}

// hear takes a datagram in.
func (m *Machine) hear(from netip.AddrPort, data []byte) {
	p, err := read(data)
	if err != nil {
		m.Counters.Foreign++
		return
	}
	m.Counters.Heard++
	if p.From == m.me.Name {
		m.twin(p, from)
		return
	}
	x := m.table[p.From]
	if x != nil && p.Life < x.Life || x != nil && p.Life == x.Life && (x.state == Left || x.state == Failed) {
		if p.Kind != over && m.now >= m.told[p.From]+m.cfg.Period { // it should know that this life has ended, or the one before
			m.told[p.From] = m.now
			m.send(from, packet{Kind: over, For: p.From, ForLife: x.Life, Num: elsewhere(x, from)})
		}
		return
	}
	if x != nil && p.Life == x.Life {
		x.heard = m.now
		if m.cfg.Learn && x.addr != from && slices.Contains(m.cfg.Seeds, from) {
			x.addr = from
		}
		m.fresher(x, p.News, "says something new of itself")
	}
	for _, raw := range p.Rumours {
		if r, err := readRumour(raw); err == nil {
			m.rumour(r)
		}
	}
	switch p.Kind {
	case ping:
		if p.For == "" || p.For == m.me.Name && p.ForLife <= m.me.Life {
			m.send(from, packet{Kind: ack, Seq: p.Seq})
		}
	case ask:
		if y := m.table[p.For]; y != nil && y.Life == p.ForLife {
			seq := m.newSeq()
			m.errands[seq] = errand{to: from, seq: p.Seq, at: m.now}
			m.send(y.addr, packet{Kind: ping, Seq: seq, For: y.Name, ForLife: y.Life})
		}
	case ack:
		m.acked(p, x)
	case inquire:
		if y := m.table[p.For]; y != nil && y.Life == p.ForLife && p.ForNews >= y.News && y.state <= Unknown {
			m.suspect(y, p.From, m.now, false)
		} else if p.For == m.me.Name && p.ForLife == m.me.Life {
			m.refute(p.ForNews)
		}
	case join:
		m.wants(p, from)
	case over:
		if p.For == m.me.Name {
			m.ended(p.ForLife, p.Num == 1)
		}
	default:
		m.viewPacket(p, from, x)
	}
	if p.View.After(m.view.ViewID) && p.Kind != commit {
		m.behind(from)
	}
}

// wants is a member that wants in, or says so of itself again.
func (m *Machine) wants(p *packet, from netip.AddrPort) {
	list, err := readRecords(p.Body)
	if err != nil || len(list) != 1 || list[0].Name != p.From || list[0].Life != p.Life {
		m.Counters.Foreign++
		return
	}
	known := m.table[p.From] != nil && m.table[p.From].Life >= p.Life
	x := m.meet(list[0])
	if x.Life == p.Life && !known {
		m.pass(rumour{Name: x.Name, Life: x.Life, News: x.News, State: Alive, Whole: &x.Record})
	}
	x.heard = m.now
	if m.cfg.Learn && slices.Contains(m.cfg.Seeds, from) {
		x.addr = from
	}
	if p.Seq == 0 { // not passed on yet: those that lead should know of it
		for _, name := range m.leaders(2) {
			if y := m.table[name]; y != nil && y != x {
				m.send(y.addr, packet{Kind: join, Seq: 1, Body: p.Body, For: p.From})
			}
		}
	}
	m.send(from, packet{Kind: ping, Seq: m.newSeq()}) // it hears from this what the view is
}

// ask looks for the way in.
func (m *Machine) ask() {
	body := encode([]Record{m.me})
	var to []netip.AddrPort
	for _, x := range m.some(2, nil) {
		to = append(to, x.addr)
	}
	for range min(2, len(m.cfg.Seeds)) {
		to = append(to, m.cfg.Seeds[m.asked%len(m.cfg.Seeds)])
		m.asked++
	}
	for _, a := range to {
		if a != m.cfg.At {
			m.send(a, packet{Kind: join, Body: body})
		}
	}
}

// elsewhere tells, as a number for a datagram, whether a later life than that of a datagram's sender is there, at another
// address. At the same one it is the same place, started anew with a clock that was set back.
func elsewhere(x *member, from netip.AddrPort) uint32 {
	if x.addr != from && x.state <= Unknown {
		return 1
	}
	return 0
}

// knock asks a seed that is no member here now and then: two fleets that were founded apart find each other by it.
func (m *Machine) knock() {
	m.knockAt = m.now + 10*m.cfg.Period + time.Duration(m.rng.Int64N(int64(10*m.cfg.Period)))
	if len(m.cfg.Seeds) == 0 {
		return
	}
	a := m.cfg.Seeds[m.rng.IntN(len(m.cfg.Seeds))]
	for _, x := range m.table {
		if x.addr == a && x.state <= Unknown {
			return // it is probed as it is
		}
	}
	if a != m.cfg.At {
		m.send(a, packet{Kind: join, Seq: 1, Body: encode([]Record{m.me})})
	}
}

// twin is a datagram of somebody else under this member's own name: both are told, and the later life keeps it.
func (m *Machine) twin(p *packet, from netip.AddrPort) {
	if at, ok := m.told[""]; !ok || m.now >= at+10*m.cfg.Period {
		m.told[""] = m.now
		m.Counters.Conflicts++
		m.notice("twice", "%s runs at %v too", m.me.Name, from)
	}
	switch {
	case p.Life > m.me.Life:
		m.ended(p.Life, true)
	case p.Life < m.me.Life:
		m.send(from, packet{Kind: over, For: m.me.Name, ForLife: m.me.Life, Num: 1})
	default: // two copies of one process
		m.me.Life += 1 + xxhash.Sum64(m.me.At)%997
		m.renew("another copy of it runs")
	}
}

// ended is told to this member: its life is over, or a later one is known under its name, perhaps at another place.
func (m *Machine) ended(life uint64, elsewhere bool) {
	switch {
	case life < m.me.Life || m.leaving > 0:
	case elsewhere && life > m.me.Life:
		m.done = true
		m.notice("superseded", "a later start has the name %s; this one is a member no more", m.me.Name)
	default:
		m.me.Life = life
		m.renew("the others went on without it")
	}
}

// renew begins a new life: an ended one never comes back.
func (m *Machine) renew(why string) {
	m.me.Life++
	m.me.News = 0
	m.joined, m.joinAt = false, m.now
	m.notice("expelled", "%s; it comes back as life %d", why, m.me.Life)
	m.sayMe()
}
