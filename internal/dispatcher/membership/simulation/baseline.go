// Two baselines to compare the membership with. One is SWIM as published (Das, Gupta, Motivala, DSN 2002): a probe a
// period, relays, suspicion for a fixed time, and gossip on the probes. The other one is heartbeats from all to all
// with a fixed time-out. No program runs them.

package simulation

import (
	"encoding/binary"
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"

	"gladepick/internal/dispatcher/membership"
)

// Baseline is a member of either protocol. Members are identified by their index in World.Nodes, and the list of
// members is fixed from the start.
type Baseline struct {
	world       *World
	node        *Node
	rng         *rand.Rand
	period      time.Duration
	timeout     time.Duration // heartbeats: time without one until failed; SWIM: time from suspected to failed
	heartbeats  bool          // heartbeats from all to all; false: SWIM
	state       []membership.State
	lastHeardAt []time.Duration
	incarnation []uint32
	failAt      []time.Duration
	probeOrder  []int
	probed      int // the member that is probed in this period, or -1
	relaysAsked bool
	acked       bool
	nextProbeAt time.Duration
	probedAt    time.Duration
	gossip      []gossip
	actions     membership.Actions
}

type gossip struct {
	member, transmissions int
}

// NewBaseline returns a member at a node that runs heartbeats if heartbeats is set, and otherwise SWIM.
func NewBaseline(world *World, node *Node, seed uint64, heartbeats bool, period, timeout time.Duration) *Baseline {
	b := &Baseline{world: world, node: node, rng: rand.New(rand.NewPCG(seed, 3)), period: period, timeout: timeout, heartbeats: heartbeats, probed: -1,
		state: make([]membership.State, len(world.Nodes)), lastHeardAt: make([]time.Duration, len(world.Nodes)), incarnation: make([]uint32, len(world.Nodes)), failAt: make([]time.Duration, len(world.Nodes))}
	for i := range b.state {
		b.state[i], b.lastHeardAt[i] = membership.Alive, world.Now
	}
	b.nextProbeAt = world.Now + time.Duration(b.rng.Int64N(int64(period)))
	return b
}

const (
	kindPing = iota + 1
	kindAck
	kindPingRequest
	kindRelayedPing // a ping on behalf of the member whose index is x
	kindHeartbeat
)

func (b *Baseline) setState(i int, s membership.State) {
	if b.state[i] != s {
		b.state[i] = s
		b.actions.Changes = append(b.actions.Changes, membership.Change{Name: b.world.Nodes[i].Name, Incarnation: b.world.Nodes[i].Incarnation, State: s})
		if !b.heartbeats {
			b.recordChange(i)
		}
	}
}

func (b *Baseline) recordChange(i int) {
	b.gossip = slices.DeleteFunc(b.gossip, func(g gossip) bool { return g.member == i })
	b.gossip = append(b.gossip, gossip{member: i})
}

// send sends a datagram with its kind, the sender and two numbers. SWIM adds as much gossip as fits into
// membership.MaxDatagramBytes, at 8 bytes a member.
func (b *Baseline) send(to, kind, x, y int) {
	data := binary.LittleEndian.AppendUint16([]byte{byte(kind)}, uint16(b.node.index))
	data = binary.LittleEndian.AppendUint16(data, uint16(x))
	data = binary.LittleEndian.AppendUint16(data, uint16(y))
	if kind == kindHeartbeat {
		data = append(data, make([]byte, 33)...) // the size of a membership datagram without rumors
	} else {
		maxTransmissions := 3 * bits.Len(uint(len(b.state)))
		slices.SortStableFunc(b.gossip, func(a, c gossip) int { return a.transmissions - c.transmissions })
		for k := range b.gossip {
			if g := &b.gossip[k]; len(data)+8 <= membership.MaxDatagramBytes {
				data = binary.LittleEndian.AppendUint16(data, uint16(g.member))
				data = append(data, byte(b.state[g.member]), 0)
				data = binary.LittleEndian.AppendUint32(data, b.incarnation[g.member])
				g.transmissions++
			}
		}
		b.gossip = slices.DeleteFunc(b.gossip, func(g gossip) bool { return g.transmissions >= maxTransmissions })
	}
	b.actions.Send = append(b.actions.Send, membership.OutgoingDatagram{To: b.world.Nodes[to].Addr, Data: data})
}

// Handle handles an event and returns the actions that follow.
func (b *Baseline) Handle(now time.Duration, ev membership.Event) *membership.Actions {
	b.actions = membership.Actions{Send: b.actions.Send[:0], Changes: b.actions.Changes[:0]}
	if ev.Kind == membership.DatagramReceived {
		b.handleDatagram(now, ev.Data)
	}
	if b.heartbeats {
		b.runHeartbeats(now)
	} else {
		b.runSWIM(now)
	}
	return &b.actions
}

func (b *Baseline) runHeartbeats(now time.Duration) {
	if now >= b.nextProbeAt {
		b.nextProbeAt += b.period
		for i := range b.state {
			if i != b.node.index {
				b.send(i, kindHeartbeat, 0, 0)
				if now-b.lastHeardAt[i] > b.timeout {
					b.setState(i, membership.Failed)
				}
			}
		}
	}
	b.actions.Next = b.nextProbeAt
}

func (b *Baseline) runSWIM(now time.Duration) {
	for i, s := range b.state {
		if s == membership.Suspected && now >= b.failAt[i] {
			b.setState(i, membership.Failed)
		}
	}
	if b.probed >= 0 && !b.acked && !b.relaysAsked && now >= b.probedAt+b.period*2/5 {
		b.relaysAsked = true
		for range 3 {
			if r := b.rng.IntN(len(b.state)); r != b.node.index && r != b.probed && b.state[r] == membership.Alive {
				b.send(r, kindPingRequest, b.probed, 0)
			}
		}
	}
	if now >= b.nextProbeAt {
		if b.probed >= 0 && !b.acked && b.state[b.probed] == membership.Alive {
			b.failAt[b.probed] = now + b.timeout
			b.setState(b.probed, membership.Suspected)
		}
		b.nextProbeAt += b.period
		b.probed, b.relaysAsked, b.acked, b.probedAt = -1, false, false, now
		for range 2 * len(b.state) {
			if len(b.probeOrder) == 0 {
				b.probeOrder = b.rng.Perm(len(b.state))
			}
			i := b.probeOrder[0]
			if b.probeOrder = b.probeOrder[1:]; i != b.node.index && b.state[i] != membership.Failed {
				b.probed = i
				b.send(i, kindPing, 0, 0)
				break
			}
		}
	}
	b.actions.Next = b.nextProbeAt
	if b.probed >= 0 && !b.relaysAsked {
		b.actions.Next = min(b.actions.Next, max(b.probedAt+b.period*2/5, now+time.Millisecond))
	}
	for i, s := range b.state {
		if s == membership.Suspected {
			b.actions.Next = min(b.actions.Next, max(b.failAt[i], now+time.Millisecond))
		}
	}
}

func (b *Baseline) handleDatagram(now time.Duration, data []byte) {
	kind, from := int(data[0]), int(binary.LittleEndian.Uint16(data[1:]))
	x, y := int(binary.LittleEndian.Uint16(data[3:])), int(binary.LittleEndian.Uint16(data[5:]))
	b.lastHeardAt[from] = now
	if kind == kindHeartbeat {
		if b.state[from] == membership.Failed {
			b.setState(from, membership.Alive)
		}
		return
	}
	for rest := data[7:]; len(rest) >= 8; rest = rest[8:] {
		i, s, incarnation := int(binary.LittleEndian.Uint16(rest)), membership.State(rest[2]), binary.LittleEndian.Uint32(rest[4:])
		switch {
		case i == b.node.index:
			if s != membership.Alive && incarnation >= b.incarnation[i] {
				b.incarnation[i] = incarnation + 1
				b.recordChange(i)
			}
		case s == membership.Failed && b.state[i] != s, s == membership.Alive && incarnation > b.incarnation[i] && b.state[i] != membership.Failed,
			s == membership.Suspected && incarnation >= b.incarnation[i] && b.state[i] == membership.Alive:
			if b.incarnation[i] = max(incarnation, b.incarnation[i]); s == membership.Suspected {
				b.failAt[i] = now + b.timeout
			}
			b.setState(i, s)
		}
	}
	switch kind {
	case kindPing:
		b.send(from, kindAck, b.node.index, 0)
	case kindPingRequest:
		b.send(x, kindRelayedPing, from, 0)
	case kindRelayedPing:
		b.send(from, kindAck, b.node.index, x+1)
	case kindAck:
		if y > 0 { // forwards a relayed ack to the member that asked for it
			b.send(y-1, kindAck, x, 0)
		} else if x == b.probed {
			b.acked = true
		}
	}
}

var _ Member = (*Baseline)(nil)
