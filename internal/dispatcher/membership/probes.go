// Probes: pings, jurors that ask for others, and answers that are overdue.

package membership

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// inquiry is what a juror does about an accused member.
type inquiry struct {
	began, asked, told time.Duration
	pings              int
}

type probe struct {
	who    *member
	life   uint64
	seq    uint32
	sent   time.Duration
	due    time.Duration // accused then
	helped bool          // relays were asked
	quiet  bool          // part of an inquiry: nobody is accused for it
}

// errand is a ping sent for somebody else.
type errand struct {
	to  netip.AddrPort
	seq uint32
	at  time.Duration
}

// probe pings the next member of this round.
func (m *Machine) probe() {
	for range len(m.ring) + 1 {
		if m.turn >= len(m.ring) {
			m.turn, m.ring = 0, m.ring[:0]
			for _, x := range m.table {
				if x.state != Left && x.state != Failed {
					m.ring = append(m.ring, x)
				}
			}
			slices.SortFunc(m.ring, func(a, b *member) int { return cmp.Compare(a.Name, b.Name) })
			m.rng.Shuffle(len(m.ring), func(i, k int) { m.ring[i], m.ring[k] = m.ring[k], m.ring[i] })
		}
		if len(m.ring) == 0 {
			return
		}
		x := m.ring[m.turn]
		m.turn++
		if x.state == Left || x.state == Failed || m.table[x.Name] != x || !x.addr.IsValid() {
			continue
		}
		p := &probe{who: x, life: x.Life, sent: m.now}
		// Whoever often accused it wrongly waits longer next time: its own link may be the bad one.
		p.due = m.now + m.cfg.Period*time.Duration(2+m.health)/2*time.Duration(1+min(x.wrong, 6))
		m.ping(x, p)
		return
	}
}

func (m *Machine) ping(x *member, p *probe) {
	p.seq = m.newSeq()
	m.probes[p.seq] = p
	m.send(x.addr, packet{Kind: ping, Seq: p.seq, For: x.Name, ForLife: x.Life})
}

// overdue looks for probes without an answer: relays are asked first, then the member is accused.
func (m *Machine) overdue() {
	for _, seq := range sortedKeys(m.probes) {
		p := m.probes[seq]
		help := p.sent + m.cfg.Period*2/5
		switch {
		case p.who.Life != p.life || p.who.state == Left || p.who.state == Failed || m.now-p.sent > 2*m.cfg.Bear:
			delete(m.probes, seq)
		case p.quiet:
		case m.now < help:
			m.soon(help)
		case !p.helped:
			p.helped = true
			m.send(p.who.addr, packet{Kind: ping, Seq: p.seq, For: p.who.Name, ForLife: p.who.Life}) // and once more itself
			for _, r := range m.some(relays, p.who) {
				m.send(r.addr, packet{Kind: ask, Seq: p.seq, For: p.who.Name, ForLife: p.who.Life})
			}
			m.soon(p.due)
		case m.now >= p.due:
			p.quiet = true // a late answer still counts
			m.health = min(m.health+1, mostHealth)
			m.accuse(p.who)
		default:
			m.soon(p.due)
		}
	}
}

// some are members at random that seem to be there.
func (m *Machine) some(n int, but *member) (out []*member) {
	if len(m.ring) == 0 {
		return nil
	}
	at := m.rng.IntN(len(m.ring))
	for i := range m.ring {
		x := m.ring[(at+i*7919)%len(m.ring)]
		if x != but && x.state == Alive && m.table[x.Name] == x && !slices.Contains(out, x) {
			if out = append(out, x); len(out) == n {
				break
			}
		}
		if i > 4*n+16 {
			break
		}
	}
	return out
}

// jury are the members that look into an accusation of x: the first of the view by a hash of both names, passing over
// those that are not there themselves.
func (m *Machine) jury(x *member) (out []string) {
	type ranked struct {
		name string
		rank uint64
	}
	var all []ranked
	for i := range m.view.Members {
		name := m.view.Members[i].Name
		if y := m.table[name]; name == x.Name || name != m.me.Name && (y == nil || y.state != Alive) {
			continue
		}
		all = append(all, ranked{name, xxhash.Sum64String(x.Name + "/" + name)})
	}
	slices.SortFunc(all, func(a, b ranked) int { return cmp.Compare(a.rank, b.rank) })
	for _, r := range all[:min(len(all), m.cfg.Jury)] {
		out = append(out, r.name)
	}
	return out
}

// juror goes on with an inquiry: it pings the member itself and through others, by turns, and tells who leads what came
// of it. Only an answer of the member ends it, or news of its own.
func (m *Machine) juror(x *member) {
	q := x.inquiry
	if x.state != Suspect && x.state != Unknown {
		m.drop(x)
		return
	}
	every := m.cfg.Period / 2
	if m.now >= q.asked+every {
		q.asked = m.now
		if q.pings++; q.pings == aloud { // now all should know, and it above all
			m.suspect(x, m.me.Name, q.began, true)
		}
		p := &probe{who: x, life: x.Life, sent: m.now, quiet: true}
		m.ping(x, p)
		for _, r := range m.some(1, x) {
			m.send(r.addr, packet{Kind: ask, Seq: p.seq, For: x.Name, ForLife: x.Life})
		}
	}
	m.soon(q.asked + every)
	age := m.now - q.began
	if m.now-m.sign > m.cfg.Bear/2 || q.pings < pings { // who hears nobody has nothing to say of one
		return
	}
	if m.now >= q.told+2*every {
		q.told = m.now
		for _, name := range m.leaders(2) {
			if name == m.me.Name {
				m.doubted(m.me.Name, x, age)
			} else if y := m.table[name]; y != nil {
				m.send(y.addr, packet{Kind: doubt, For: x.Name, ForLife: x.Life, ForNews: x.News, Num: uint32(age.Milliseconds())})
			}
		}
	}
}

// answer is a sign that x hears this member, and it x.
func (m *Machine) answer(x *member) {
	x.answered, x.met, m.sign = m.now, true, m.now
	m.view.heard(x.Name)
	if x.state == Suspect || x.state == Unknown {
		if slices.Contains(x.by, m.me.Name) {
			x.wrong = min(x.wrong+1, 6)
			x.by = slices.DeleteFunc(x.by, func(s string) bool { return s == m.me.Name })
		}
		m.set(x, Alive, "it answers")
	} else if x.wrong > 0 && m.rng.IntN(8) == 0 {
		x.wrong--
	}
}

// acked takes an answer to a ping in, direct or from a relay, or passes it on.
func (m *Machine) acked(p *packet, x *member) {
	if e, ok := m.errands[p.Seq]; ok {
		delete(m.errands, p.Seq)
		m.send(e.to, packet{Kind: ack, Seq: e.seq, For: p.From, ForLife: p.Life, ForNews: p.News})
		if x != nil {
			x.answered = m.now
		}
		return
	}
	q := m.probes[p.Seq]
	if q == nil {
		return
	}
	life, of := p.Life, p.From
	if p.For != "" {
		life, of = p.ForLife, p.For
		m.fresher(q.who, p.ForNews, "a relay reaches it")
		m.sign = m.now
	}
	if q.who.Name != of || q.life != life || q.who.Life != life {
		return
	}
	delete(m.probes, p.Seq)
	if !q.quiet && m.now < q.sent+m.cfg.Period && m.health > 0 {
		m.health--
	}
	m.answer(q.who)
}
