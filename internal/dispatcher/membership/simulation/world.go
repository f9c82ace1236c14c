// Package simulation runs members in virtual time. Its network loses, delays and duplicates datagrams and can be
// partitioned in one direction, and its members can be paused, killed and restarted. It tests and measures the
// membership at sizes that real processes cannot reach. A World owns the clock, the network and the record that
// Audit checks. It has no goroutines, and all its randomness comes from its seed.
package simulation

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"gladepick/internal/dispatcher/membership"
	"gladepick/internal/priorityqueue"
)

// Member is the state machine that runs at a node: a membership.Machine or a Baseline.
type Member interface {
	Handle(now time.Duration, ev membership.Event) *membership.Actions
}

// Node is an address in the simulated network and the process that runs there.
type Node struct {
	Name            string
	Zone            string
	Addr            netip.AddrPort
	Member          Member
	Up              bool
	Incarnation     uint64
	StartedAt       time.Duration
	EndedAt         time.Duration // when its process last ended
	PausedUntil     time.Duration // until when its process is paused
	ReceivesNothing bool          // it sends, but receives no datagrams
	Sent            uint64        // bytes sent by all incarnations
	// Faults are the spans in which others may declare the node failed: its process is killed, paused for longer than
	// FailureTimeout or partitioned.
	Faults      []Span
	waiting     []delivery    // datagrams that arrived during a pause
	pausedSince time.Duration // when the current pause began
	nextTick    time.Duration // time of the next tick
	index       int
}

// DatagramFault is a fault of a single datagram.
type DatagramFault uint8

// The faults of a datagram. DatagramFaults is their number, with NoFault.
const (
	NoFault DatagramFault = iota
	Dropped
	Duplicated
	Delayed // by 1 s
	DatagramFaults
)

// Span is a span of time. To is 0 while the span lasts.
type Span struct{ From, To time.Duration }

type delivery struct {
	from netip.AddrPort
	data []byte
}

// Entry is a change, a notice or a view that a node has reported. One of the three pointers is set.
type Entry struct {
	At          time.Duration
	Node        int // index in World.Nodes of the reporting node
	Incarnation uint64
	Change      *membership.Change
	Notice      *membership.Notice
	View        *membership.View
}

// World is a simulation run. The same seed and the same calls lead to the same run.
type World struct {
	Now        time.Duration
	Nodes      []*Node
	Loss       float64          // share of datagrams that are lost, 0 to 1
	Duplicates float64          // share of datagrams that arrive twice, 0 to 1
	Delay      [2]time.Duration // shortest and longest delay of a datagram
	// IsPartitioned reports whether datagrams between two nodes are lost. It may be nil.
	IsPartitioned func(from, to *Node) bool
	NewMember     func(n *Node, seed uint64) (Member, error) // returns the member for a start of a node
	Entries       []Entry                                    // the record: what the nodes have reported, in order
	// SkipSuspicions leaves changes to Alive, Suspected and Unknown out of Entries.
	SkipSuspicions bool
	// InjectFault chooses the fault of the nth datagram of the run, counted from 0. nil injects none.
	InjectFault func(nth int, from, to *Node) DatagramFault
	Events      int // events handled so far
	// FailureTimeout is the longest pause that does not count as a fault of the node.
	FailureTimeout time.Duration

	rng             *rand.Rand
	queue           priorityqueue.Queue[event]
	order           uint64
	datagramsSent   int
	byAddr          map[netip.AddrPort]*Node
	lastIncarnation uint64
}

type event struct {
	at          time.Duration
	order       uint64
	node        *Node
	incarnation uint64
	datagram    *delivery // nil: a tick, or do
	do          func()
}

// Before reports whether e runs before other. Events of the same time run in the order in which they were scheduled.
func (e event) Before(other event) bool {
	return e.at < other.at || e.at == other.at && e.order < other.order
}

// New returns a World of n nodes, spread evenly over the zones. No node is up yet.
func New(n, zones int, seed uint64) *World {
	w := &World{FailureTimeout: 3 * time.Second, rng: rand.New(rand.NewPCG(seed, 1)), Delay: [2]time.Duration{time.Millisecond, 5 * time.Millisecond}, byAddr: map[netip.AddrPort]*Node{}}
	for i := range n {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(i >> 16), byte(i >> 8), byte(i)}), 7400)
		w.Nodes = append(w.Nodes, &Node{Name: fmt.Sprintf("n%d", i), Zone: fmt.Sprintf("z%d", i%zones), Addr: address, index: i})
		w.byAddr[address] = w.Nodes[i]
	}
	w.NewMember = func(n *Node, seed uint64) (Member, error) {
		return membership.New(membership.Config{Name: n.Name, Zone: n.Zone, Address: n.Addr, Incarnation: n.Incarnation, Seed: seed, Seeds: w.Seeds(5)}, w.Now)
	}
	return w
}

// Seeds returns the addresses of the first n nodes.
func (w *World) Seeds(n int) (out []netip.AddrPort) {
	for _, node := range w.Nodes[:min(n, len(w.Nodes))] {
		out = append(out, node.Addr)
	}
	return out
}

func (w *World) push(e event) {
	w.order++
	e.order = w.order
	w.queue.Push(e)
}

// At schedules a call of do at a time.
func (w *World) At(at time.Duration, do func()) { w.push(event{at: at, do: do}) }

// Start starts a new incarnation of the process at a node.
func (w *World) Start(n *Node) {
	w.lastIncarnation += 1000
	n.Up, n.Incarnation, n.StartedAt, n.PausedUntil, n.waiting = true, w.lastIncarnation, w.Now, 0, nil
	w.EndFault(n)
	member, err := w.NewMember(n, w.rng.Uint64())
	if err != nil {
		panic(err)
	}
	n.Member = member
	w.handle(n, membership.Event{Kind: membership.Tick})
}

// Kill ends the process at a node without notice to other nodes.
func (w *World) Kill(n *Node) {
	if n.Up {
		n.Up, n.Member, n.EndedAt = false, nil, w.Now
		w.BeginFault(n)
	}
}

// BeginFault begins a span in which others may declare a node failed; EndFault ends it.
func (w *World) BeginFault(n *Node) { n.Faults = append(n.Faults, Span{From: w.Now}) }

// EndFault ends the spans that BeginFault began.
func (w *World) EndFault(n *Node) {
	for i := range n.Faults {
		if n.Faults[i].To == 0 {
			n.Faults[i].To = w.Now
		}
	}
}

// Pause pauses the process at a node. Up to 1000 datagrams wait until the pause ends.
func (w *World) Pause(n *Node, d time.Duration) {
	if w.Now >= n.PausedUntil {
		n.pausedSince = w.Now
	}
	n.PausedUntil = max(n.PausedUntil, w.Now+d)
	if n.PausedUntil-n.pausedSince > w.FailureTimeout {
		w.BeginFault(n)
		w.At(n.PausedUntil, func() { w.EndFault(n) })
	}
	incarnation := n.Incarnation
	w.At(n.PausedUntil, func() {
		if n.Up && n.Incarnation == incarnation && w.Now >= n.PausedUntil {
			datagrams := n.waiting
			n.waiting = nil
			for _, d := range datagrams {
				w.handle(n, membership.Event{Kind: membership.DatagramReceived, From: d.from, Data: d.data})
			}
			w.handle(n, membership.Event{Kind: membership.Tick})
		}
	})
}

// Deliver hands an event to a member, such as a command of its operator.
func (w *World) Deliver(n *Node, ev membership.Event) { w.handle(n, ev) }

// Run runs the simulation until a time.
func (w *World) Run(until time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= until {
		e := w.queue.Pop()
		w.Now = max(w.Now, e.at)
		switch n := e.node; {
		case e.do != nil:
			e.do()
		case !n.Up || e.datagram == nil && (n.Incarnation != e.incarnation || n.nextTick != e.at):
			// The process has ended, or has asked for a tick at another time since.
		case w.Now < n.PausedUntil:
			if e.datagram != nil && len(n.waiting) < 1000 {
				n.waiting = append(n.waiting, *e.datagram)
			}
		case e.datagram == nil:
			w.handle(n, membership.Event{Kind: membership.Tick})
		case !n.ReceivesNothing:
			w.handle(n, membership.Event{Kind: membership.DatagramReceived, From: e.datagram.from, Data: e.datagram.data})
		}
	}
	w.Now = max(w.Now, until)
}

// handle hands an event to a member and carries out the actions that it returns.
func (w *World) handle(n *Node, ev membership.Event) {
	if !n.Up {
		return
	}
	w.Events++
	actions := n.Member.Handle(w.Now, ev)
	for _, outgoing := range actions.Send {
		n.Sent += uint64(len(outgoing.Data))
		to := w.byAddr[outgoing.To]
		if to == nil || w.IsPartitioned != nil && w.IsPartitioned(n, to) {
			continue
		}
		fault := NoFault
		if w.InjectFault != nil {
			fault = w.InjectFault(w.datagramsSent, n, to)
		}
		w.datagramsSent++
		if fault == Dropped {
			continue
		}
		for copies := 1 + count(fault == Duplicated) + count(w.Duplicates > 0 && w.rng.Float64() < w.Duplicates); copies > 0; copies-- {
			if w.Loss > 0 && w.rng.Float64() < w.Loss {
				continue
			}
			delay := time.Duration(count(fault == Delayed))*time.Second + w.Delay[0] + time.Duration(w.rng.Int64N(int64(w.Delay[1]-w.Delay[0])+1))
			w.push(event{at: w.Now + delay, node: to, datagram: &delivery{n.Addr, append([]byte(nil), outgoing.Data...)}})
		}
	}
	for i := range actions.Changes {
		if c := actions.Changes[i]; !w.SkipSuspicions || c.State >= membership.Left {
			w.Entries = append(w.Entries, Entry{At: w.Now, Node: n.index, Incarnation: n.Incarnation, Change: &c})
		}
	}
	for i := range actions.Notices {
		c := actions.Notices[i]
		w.Entries = append(w.Entries, Entry{At: w.Now, Node: n.index, Incarnation: n.Incarnation, Notice: &c})
	}
	if actions.View != nil {
		w.Entries = append(w.Entries, Entry{At: w.Now, Node: n.index, Incarnation: n.Incarnation, View: actions.View})
	}
	if n.nextTick != actions.Next || n.nextTick <= w.Now {
		n.nextTick = actions.Next
		w.push(event{at: n.nextTick, node: n, incarnation: n.Incarnation})
	}
}

func count(value bool) int {
	if value {
		return 1
	}
	return 0
}
