// How a view reaches who is behind: told again, fetched, and in pieces.

package membership

import (
	"net/netip"
	"slices"
	"time"
)

type fetch struct {
	from  netip.AddrPort
	id    ViewID
	total uint32
	got   []Record
	parts map[uint32][]Record // come out of order
	at    time.Duration
	tries int
	more  int // the next part is asked for once so many members are there
}

// retell sends the last change to those that have not shown its number yet, a few times.
func (m *Machine) retell() {
	v := &m.view
	if v.tellLeft == 0 {
		return
	}
	if m.now >= v.tellAt {
		v.tellAt = m.now + resend
		v.tellLeft--
		for _, name := range sortedKeys(v.late) {
			if x := m.table[name]; x != nil {
				m.send(x.addr, packet{Kind: commit, View: v.tellID, Body: v.tell, Num: v.tellNum})
			}
		}
	}
	if v.tellLeft > 0 {
		m.soon(v.tellAt)
	}
}

// behind asks somebody that has a later view for it.
func (m *Machine) behind(from netip.AddrPort) {
	v := &m.view
	v.seen = m.now
	if v.fetch != nil || m.now < v.behindAt {
		return
	}
	v.behindAt = m.now + resend/2
	v.fetch = &fetch{from: from, at: m.now}
	m.send(from, packet{Kind: pull})
}

// viewPacket takes in what is about views.
func (m *Machine) viewPacket(p *packet, from netip.AddrPort, x *member) {
	v := &m.view
	same := p.View == v.ViewID
	voter := x != nil && v.place(p.From) >= 0
	switch p.Kind {
	case doubt:
		if y := m.table[p.For]; y != nil && same && voter && y.Life == p.ForLife && y.News == p.ForNews && y.state <= Unknown {
			if y.state == Alive { // the accusation has not come this far yet
				m.suspect(y, p.From, m.now-time.Duration(p.Num)*time.Millisecond, false)
			}
			m.doubted(p.From, y, time.Duration(p.Num)*time.Millisecond)
		}
	case pull:
		m.serve(p, from)
	case chunk:
		m.chunk(p, from)
	case commit:
		if p.View == v.ViewID {
			m.committed(step{p.View, p.Body, p.Num}, false)
			m.send(from, packet{Kind: ack}) // shows the number
		} else if !v.ViewID.After(p.View) {
			m.behind(from)
		}
	case prepare, accept:
		if !same || !voter {
			if v.ViewID.After(p.View) {
				m.send(from, packet{Kind: ack}) // it is behind, and sees it by this
			}
			return
		}
		m.voter(p, from)
	case promise, accepted:
		switch {
		case !same || !voter || v.ballot == 0:
		case v.ballot < p.Seq: // somebody else's ballot is ahead
			v.ballot, v.floor, v.backoff = 0, max(v.floor, p.Seq), m.now+time.Duration(m.rng.Int64N(int64(m.cfg.Period)))
		case v.ballot == p.Seq && v.first == (p.Kind == promise):
			if p.Kind == promise && len(p.Body) > 0 {
				if v.held[p.From] = string(p.Body); p.Num > v.best {
					v.best, v.body = p.Num, p.Body
				}
			}
			m.vote(p.From, p.Life, false)
		}
	case veto:
		if y := m.table[p.For]; same && voter && v.ballot == p.Seq && y != nil && y.Life == p.ForLife {
			v.ballot, v.vetoed[p.For], v.backoff = 0, m.now+m.cfg.Bear, m.now+resend
			delete(v.doubts, p.For)
		}
	}
	if !p.View.After(v.ViewID) && !v.ViewID.After(p.View) {
		delete(v.late, p.From)
	}
}

// voter answers a ballot.
func (m *Machine) voter(p *packet, from netip.AddrPort) {
	v := &m.view
	if p.Seq < v.promised {
		m.send(from, packet{Kind: promise, Seq: v.promised}) // it learns how far others are
		return
	}
	if p.Kind == prepare {
		v.promised = p.Seq
		m.send(from, packet{Kind: promise, Seq: p.Seq, Num: v.acceptedAt, Body: v.acceptedBody})
		return
	}
	c, err := readChange(p.Body)
	if err != nil {
		m.Counters.Foreign++
		return
	}
	waits := false
	for _, r := range c.Out { // nobody goes that this member hears; it asks once more, if it has not done so as a juror
		for i := r[0]; i <= r[1] && int(i) < len(v.Members) && p.Num == 0; i++ {
			gone := &v.Members[i]
			x := m.table[gone.Name]
			mine := gone.Name == m.me.Name && gone.Life == m.me.Life && m.leaving == 0
			if mine || x != nil && x.Life == gone.Life && x.met && m.now-x.answered < m.cfg.Bear/2 {
				m.send(from, packet{Kind: veto, Seq: p.Seq, For: gone.Name, ForLife: gone.Life})
				return
			}
			if x != nil && x.Life == gone.Life && x.state <= Unknown && (x.inquiry == nil || x.inquiry.pings < pings || m.now-x.inquiry.began < m.cfg.Bear) {
				if m.now >= x.checked+m.cfg.Bear {
					x.checked = m.now
				}
				if m.now < x.checked+2*resend { // it has that long to answer; the proposal comes again
					m.ping(x, &probe{who: x, life: x.Life, sent: m.now, quiet: true})
					waits = true
				}
			}
		}
	}
	if waits {
		return
	}
	v.promised, v.acceptedAt, v.acceptedBody = p.Seq, p.Seq, p.Body
	m.send(from, packet{Kind: accepted, Seq: p.Seq})
}

// serve gives somebody that is behind the changes that lead here, or the members one part after the other.
func (m *Machine) serve(p *packet, from netip.AddrPort) {
	v := &m.view
	if v.Number == 0 {
		return
	}
	if p.Seq == 0 {
		if i := slices.IndexFunc(v.history, func(s step) bool { return s.base == p.View }); i >= 0 {
			for _, s := range v.history[i:min(i+4, len(v.history))] {
				m.send(from, packet{Kind: commit, View: s.base, Body: s.body, Num: s.num})
			}
			return
		}
	}
	for at, n := int(p.Seq), 0; at < len(v.Members) && n < 8; n++ {
		first, list, size := at, []Record(nil), 1
		for ; at < len(v.Members); at++ {
			r := v.Members[at]
			if x := m.table[r.Name]; x != nil && x.Life == r.Life {
				r = x.Record // the newest of it
			}
			if k := len(encode(r)); size+k > longBody && len(list) > 0 {
				break
			} else {
				size += k
			}
			list = append(list, r)
		}
		m.send(from, packet{Kind: chunk, Seq: uint32(first), Num: uint32(len(v.Members)), Body: encode(list)})
	}
}

// chunk takes a part of a view in.
func (m *Machine) chunk(p *packet, from netip.AddrPort) {
	v := &m.view
	f := v.fetch
	if f == nil || !p.View.After(v.ViewID) {
		return
	}
	list, err := readRecords(p.Body)
	if err != nil || len(list) == 0 || p.Num > 1<<16 {
		m.Counters.Foreign++
		return
	}
	if f.id != p.View || f.total != p.Num {
		f.id, f.total, f.got, f.parts = p.View, p.Num, nil, map[uint32][]Record{}
	}
	if len(f.parts) < 64 {
		f.parts[p.Seq] = list
	}
	f.at, f.tries = m.now, 0
	for next := f.parts[uint32(len(f.got))]; next != nil; next = f.parts[uint32(len(f.got))] {
		delete(f.parts, uint32(len(f.got)))
		f.got = append(f.got, next...)
	}
	if len(f.got) < int(f.total) {
		if len(f.parts) == 0 && len(f.got) >= f.more {
			f.more = len(f.got) + 8 // some parts further on
			m.send(from, packet{Kind: pull, Seq: uint32(len(f.got))})
		}
		return
	}
	next := &View{ViewID: f.id, Members: f.got}
	v.fetch = nil
	if digest(next.ViewID, next.Members) != next.Digest {
		m.Counters.Foreign++
		return
	}
	v.history = nil
	m.adopt(next, "by a view that the others have gone on to", false)
}
