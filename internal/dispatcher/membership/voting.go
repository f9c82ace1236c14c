// Votes on a change of the view: who may ask for one, and who promises what.

package membership

import (
	"cmp"
	"slices"
	"time"
)

type doubted struct {
	age, at time.Duration
	life    uint64
	news    uint32
}

// doubted takes a juror's word in.
func (m *Machine) doubted(juror string, x *member, age time.Duration) {
	if m.view.doubts[x.Name] == nil {
		m.view.doubts[x.Name] = map[string]doubted{}
	}
	m.view.doubts[x.Name][juror] = doubted{age: age, at: m.now, life: x.Life, news: x.News}
}

// verdicts counts the jurors' words: it gives the members that have failed, and whether others are about to have.
func (m *Machine) verdicts() (ripe []*member, waits bool) {
	v := &m.view
	for _, name := range sortedKeys(v.doubts) {
		x := m.table[name]
		if x == nil || x.state != Suspect && x.state != Unknown || m.now < v.vetoed[name] || v.place(name) < 0 {
			delete(v.doubts, name)
			delete(v.ripe, name)
			continue
		}
		votes, close := 0, 0
		for juror, d := range v.doubts[name] {
			y := m.table[juror]
			switch {
			case m.now-d.at > m.cfg.Period*13/5 || d.life != x.Life || d.news != x.News: // a juror says it again each period
				delete(v.doubts[name], juror)
			case juror != m.me.Name && (y == nil || y.state != Alive || v.place(juror) < 0):
			case d.age >= m.cfg.Bear:
				votes++
			case d.age >= m.cfg.Bear*9/20: // a change waits for it
				close++
			}
		}
		need := min(m.cfg.Jury, len(v.Members)-1)/2 + 1
		if votes >= need {
			ripe = append(ripe, x)
		} else if votes+close > 0 {
			waits = true
		}
	}
	return ripe, waits
}

// agree is called with every event: it leads where that is this member's turn.
func (m *Machine) agree() {
	v := &m.view
	if f := v.fetch; f != nil {
		if m.now < f.at+2*resend {
			m.soon(f.at + 2*resend)
		} else if f.tries++; f.tries > 5 { // whoever is ahead is asked anew
			v.fetch = nil
		} else { // something was lost: from there on once more
			f.at = m.now
			m.send(f.from, packet{Kind: pull, Seq: uint32(len(f.got))})
			m.soon(f.at + 2*resend)
		}
	}
	if v.Number == 0 {
		m.found()
		return
	}
	m.retell()
	if v.ballot != 0 {
		m.press()
		return
	}
	most := m.most()
	if !most {
		v.most = 0
	} else if v.most == 0 {
		v.most = m.now
	}
	lead := m.leaders(1)
	if m.leaving > 0 && m.now > m.leaving+farewell*m.cfg.Period/2 || len(lead) == 0 || lead[0] != m.me.Name || !m.joined && !m.heir() || m.now < v.backoff || !most {
		if m.now < v.backoff {
			m.soon(v.backoff)
		}
		return
	}
	ripe, waits := m.verdicts()
	for _, x := range ripe {
		if _, ok := v.ripe[x.Name]; !ok {
			v.ripe[x.Name] = m.now
		}
	}
	c := &change{}
	var failed, left []int
	since := m.now
	for _, x := range ripe {
		failed = append(failed, v.index[x.Name])
		since = min(since, v.ripe[x.Name])
	}
	if since := v.most + 2*m.cfg.Period; m.now < since { // a cut has just ended: jurors are about to be answered
		failed = nil
		m.soon(since)
	}
	if len(failed) > 0 && waits && m.now < since+m.cfg.Hold {
		failed = nil
	}
	for i := range v.Members {
		if x := m.table[v.Members[i].Name]; x != nil && x.state == Left && x.Life == v.Members[i].Life {
			left = append(left, i)
		}
	}
	if len(v.doubts) > 0 {
		m.soon(m.now + resend)
	}
	c.Left = ranges(left, mostOut/2)
	c.Out = ranges(failed, mostOut-len(c.Left))
	m.admit(c)
	if len(c.Out)+len(c.Left)+len(c.In) == 0 {
		return
	}
	// The first round is skipped by one member only, and never by one that may have forgotten what it did.
	v.first = v.ranked[0] != m.me.Name || !m.view.Has(m.me.Name, m.me.Life) || v.tries > 0
	at := v.index[m.me.Name]
	v.ballot = uint32(v.tries)*ballotLow*2 + ballotLow + uint32(at)%ballotLow + 1
	if !v.first {
		v.ballot = 1
	}
	if v.first || v.promised > 0 || v.floor > 0 {
		v.first, v.ballot = true, max(v.ballot, v.promised+1, v.floor+1)
	}
	v.own, v.best, v.yes, v.began, v.again = encode(c), 0, map[string]uint64{}, m.now, m.now
	v.body, v.held, v.forced, v.enough = v.own, map[string]string{}, false, 0
	v.tries++
	m.press()
}

// ranges joins places that stand side by side.
func ranges(places []int, most int) (out [][2]uint32) {
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

// heir tells whether this member stands in the view with an earlier life: it may vote, but has no memory.
func (m *Machine) heir() bool {
	i, ok := m.view.index[m.me.Name]
	return ok && m.view.Members[i].Life < m.me.Life
}

// admit puts members that want in into a change, as many as fit.
func (m *Machine) admit(c *change) {
	v := &m.view
	size := len(encode(c))
	add := func(r Record) bool {
		n := len(encode(r))
		if size+n > longBody {
			return false
		}
		size += n
		c.In = append(c.In, r)
		return true
	}
	if !v.Has(m.me.Name, m.me.Life) && m.leaving == 0 {
		add(m.me)
	}
	if len(v.Members) == len(m.table)+1 && len(m.waiting()) == 0 {
		return
	}
	for _, name := range m.waiting() {
		if !add(m.table[name].Record) {
			return
		}
	}
}

// waiting are the members that are there and not in the view with the life they have.
func (m *Machine) waiting() (out []string) {
	for name, x := range m.table {
		if x.state == Alive && !m.view.Has(name, x.Life) {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// press sends what is proposed, again where nothing came back.
func (m *Machine) press() {
	v := &m.view
	if m.now >= v.began+2*time.Second { // too few answer: another may have more luck, or this one later
		v.ballot, v.backoff = 0, m.now+m.cfg.Period/2+time.Duration(m.rng.Int64N(int64(m.cfg.Period)))
		return
	}
	if m.now >= v.again {
		v.again = m.now + resend
		if _, ok := v.yes[m.me.Name]; !ok {
			m.vote(m.me.Name, m.me.Life, true)
			if v.ballot == 0 { // that was enough
				return
			}
		}
		if v.first && m.promised() {
			return
		}
		p := packet{Kind: accept, Seq: v.ballot, Body: v.body, Num: uint32(bit(v.forced))}
		if v.first {
			p = packet{Kind: prepare, Seq: v.ballot}
		}
		for i := range v.Members {
			name := v.Members[i].Name
			if _, ok := v.yes[name]; !ok && name != m.me.Name && m.table[name] != nil && m.table[name].state <= Suspect {
				m.send(m.table[name].addr, p)
			}
		}
	}
	m.soon(v.again)
}

// vote is this member's own voice as a voter, and that of others as they come in.
func (m *Machine) vote(name string, life uint64, own bool) {
	v := &m.view
	if own {
		if v.ballot < v.promised {
			v.ballot, v.backoff = 0, m.now+m.cfg.Period
			return
		}
		v.promised = v.ballot
		if v.first && v.acceptedAt > 0 {
			v.held[name] = string(v.acceptedBody)
			if v.acceptedAt > v.best {
				v.best, v.body = v.acceptedAt, v.acceptedBody
			}
		}
		if !v.first {
			v.acceptedAt, v.acceptedBody = v.ballot, v.body
		}
	}
	v.yes[name] = life
	if v.first {
		m.promised()
		return
	}
	if 2*len(v.yes) <= len(v.Members) {
		return
	}
	num := uint32(0)
	for name, life := range v.yes {
		if !v.Has(name, life) {
			num = 1
		}
	}
	m.committed(step{v.ViewID, v.body, num}, true)
}

// promised ends the first round once a majority has promised; it tells whether it did. What was accepted before under the
// latest ballot may stand already, and then it has to be proposed again, whoever is there by now. It cannot stand if too
// few have accepted it, and then it is dropped: a cut that is over must not decide who goes.
func (m *Machine) promised() bool {
	v := &m.view
	n := len(v.Members)
	if 2*len(v.yes) <= n {
		return false
	}
	if v.best > 0 {
		same := 0
		for _, body := range v.held {
			if body == string(v.body) {
				same++
			}
		}
		if 2*(same+n-len(v.yes)) <= n {
			v.body = v.own
		} else if v.enough = cmp.Or(v.enough, m.now); m.now < v.enough+3*resend { // more promises may show it
			return false
		} else {
			v.forced = true
		}
	}
	v.first, v.yes, v.again = false, map[string]uint64{}, m.now
	m.press()
	return true
}

func bit(b bool) int {
	if b {
		return 1
	}
	return 0
}
