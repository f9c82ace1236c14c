// Two baselines for the same world, written from their papers: SWIM (Das, Gupta, Motivala, DSN 2002: a probe a period,
// relays, suspicion for a fixed time, gossip on the probes) and heartbeats of all to all with a fixed time-out. They are
// for comparison only and take part in no program.

package simulation

import (
	"encoding/binary"
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"

	"gladepick/internal/dispatcher/membership"
)

// Baseline is one member of either kind. Members are known by number: who is in the world is given from the start.
type Baseline struct {
	w        *World
	n        *Node
	rng      *rand.Rand
	period   time.Duration
	patience time.Duration // heartbeats: until failed; SWIM: from suspect to failed
	all      bool          // heartbeats of all to all
	state    []membership.State
	heard    []time.Duration
	inc      []uint32
	due      []time.Duration
	ring     []int
	probed   int // who is probed now, -1 for none
	asked    bool
	acked    bool
	probeAt  time.Duration
	since    time.Duration
	gossip   []gossip
	acts     membership.Actions
}

type gossip struct {
	who, sent int
}

// NewBaseline makes a member; all stands for heartbeats.
func NewBaseline(w *World, n *Node, seed uint64, all bool, period, patience time.Duration) *Baseline {
	b := &Baseline{w: w, n: n, rng: rand.New(rand.NewPCG(seed, 3)), period: period, patience: patience, all: all, probed: -1,
		state: make([]membership.State, len(w.Nodes)), heard: make([]time.Duration, len(w.Nodes)), inc: make([]uint32, len(w.Nodes)), due: make([]time.Duration, len(w.Nodes))}
	for i := range b.state {
		b.state[i], b.heard[i] = membership.Alive, w.Now
	}
	b.probeAt = w.Now + time.Duration(b.rng.Int64N(int64(period)))
	return b
}

const (
	bPing = iota + 1
	bAck
	bAsk
	bRelay // ping for somebody else: who asked stands in it
	bBeat
)

func (b *Baseline) set(i int, s membership.State) {
	if b.state[i] != s {
		b.state[i] = s
		b.acts.Changes = append(b.acts.Changes, membership.Change{Name: b.w.Nodes[i].Name, Incarnation: b.w.Nodes[i].Incarnation, State: s})
		if !b.all {
			b.recordChange(i)
		}
	}
}

func (b *Baseline) recordChange(i int) {
	b.gossip = slices.DeleteFunc(b.gossip, func(g gossip) bool { return g.who == i })
	b.gossip = append(b.gossip, gossip{who: i})
}

// send writes kind, sender, two numbers and as much gossip as fits into 256 bytes, at 8 bytes a member.
func (b *Baseline) send(to, kind, x, y int) {
	data := binary.LittleEndian.AppendUint16([]byte{byte(kind)}, uint16(b.n.number))
	data = binary.LittleEndian.AppendUint16(data, uint16(x))
	data = binary.LittleEndian.AppendUint16(data, uint16(y))
	if kind == bBeat {
		data = append(data, make([]byte, 33)...) // as long as a datagram of the membership without rumours
	} else {
		most := 3 * bits.Len(uint(len(b.state)))
		slices.SortStableFunc(b.gossip, func(a, c gossip) int { return a.sent - c.sent })
		for k := range b.gossip {
			if g := &b.gossip[k]; len(data)+8 <= membership.MaxDatagramBytes {
				data = binary.LittleEndian.AppendUint16(data, uint16(g.who))
				data = append(data, byte(b.state[g.who]), 0)
				data = binary.LittleEndian.AppendUint32(data, b.inc[g.who])
				g.sent++
			}
		}
		b.gossip = slices.DeleteFunc(b.gossip, func(g gossip) bool { return g.sent >= most })
	}
	b.acts.Send = append(b.acts.Send, membership.OutgoingDatagram{To: b.w.Nodes[to].Addr, Data: data})
}

// Handle takes one event.
func (b *Baseline) Handle(now time.Duration, ev membership.Event) *membership.Actions {
	b.acts = membership.Actions{Send: b.acts.Send[:0], Changes: b.acts.Changes[:0]}
	if ev.Kind == membership.DatagramReceived {
		b.handleDatagram(now, ev.Data)
	}
	if b.all {
		b.runHeartbeats(now)
	} else {
		b.runSWIM(now)
	}
	return &b.acts
}

func (b *Baseline) runHeartbeats(now time.Duration) {
	if now >= b.probeAt {
		b.probeAt += b.period
		for i := range b.state {
			if i != b.n.number {
				b.send(i, bBeat, 0, 0)
				if now-b.heard[i] > b.patience {
					b.set(i, membership.Failed)
				}
			}
		}
	}
	b.acts.Next = b.probeAt
}

func (b *Baseline) runSWIM(now time.Duration) {
	for i, s := range b.state {
		if s == membership.Suspected && now >= b.due[i] {
			b.set(i, membership.Failed)
		}
	}
	if b.probed >= 0 && !b.acked && !b.asked && now >= b.since+b.period*2/5 {
		b.asked = true
		for range 3 {
			if r := b.rng.IntN(len(b.state)); r != b.n.number && r != b.probed && b.state[r] == membership.Alive {
				b.send(r, bAsk, b.probed, 0)
			}
		}
	}
	if now >= b.probeAt {
		if b.probed >= 0 && !b.acked && b.state[b.probed] == membership.Alive {
			b.due[b.probed] = now + b.patience
			b.set(b.probed, membership.Suspected)
		}
		b.probeAt += b.period
		b.probed, b.asked, b.acked, b.since = -1, false, false, now
		for range 2 * len(b.state) {
			if len(b.ring) == 0 {
				b.ring = b.rng.Perm(len(b.state))
			}
			i := b.ring[0]
			if b.ring = b.ring[1:]; i != b.n.number && b.state[i] != membership.Failed {
				b.probed = i
				b.send(i, bPing, 0, 0)
				break
			}
		}
	}
	b.acts.Next = b.probeAt
	if b.probed >= 0 && !b.asked {
		b.acts.Next = min(b.acts.Next, max(b.since+b.period*2/5, now+time.Millisecond))
	}
	for i, s := range b.state {
		if s == membership.Suspected {
			b.acts.Next = min(b.acts.Next, max(b.due[i], now+time.Millisecond))
		}
	}
}

func (b *Baseline) handleDatagram(now time.Duration, data []byte) {
	kind, from := int(data[0]), int(binary.LittleEndian.Uint16(data[1:]))
	x, y := int(binary.LittleEndian.Uint16(data[3:])), int(binary.LittleEndian.Uint16(data[5:]))
	b.heard[from] = now
	if kind == bBeat {
		if b.state[from] == membership.Failed {
			b.set(from, membership.Alive)
		}
		return
	}
	for rest := data[7:]; len(rest) >= 8; rest = rest[8:] {
		i, s, inc := int(binary.LittleEndian.Uint16(rest)), membership.State(rest[2]), binary.LittleEndian.Uint32(rest[4:])
		switch {
		case i == b.n.number:
			if s != membership.Alive && inc >= b.inc[i] {
				b.inc[i] = inc + 1
				b.recordChange(i)
			}
		case s == membership.Failed && b.state[i] != s, s == membership.Alive && inc > b.inc[i] && b.state[i] != membership.Failed,
			s == membership.Suspected && inc >= b.inc[i] && b.state[i] == membership.Alive:
			if b.inc[i] = max(inc, b.inc[i]); s == membership.Suspected {
				b.due[i] = now + b.patience
			}
			b.set(i, s)
		}
	}
	switch kind {
	case bPing:
		b.send(from, bAck, b.n.number, 0)
	case bAsk:
		b.send(x, bRelay, from, 0)
	case bRelay:
		b.send(from, bAck, b.n.number, x+1)
	case bAck:
		if y > 0 { // for whom it was asked
			b.send(y-1, bAck, x, 0)
		} else if x == b.probed {
			b.acked = true
		}
	}
}

var _ Member = (*Baseline)(nil)
