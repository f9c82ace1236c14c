// Package simulation runs members in virtual time, on a network with loss, delay, duplicates and partitions by direction,
// with members that are paused, killed and started again. It measures and tests the membership at sizes that processes do
// not reach. A World owns the clock, the network and the record that Audit checks; it has no goroutines, and all chance
// comes from its seed.
package simulation

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"gladepick/internal/dispatcher/membership"
	"gladepick/internal/priorityqueue"
)

// Member is what is played: the machine, or a baseline.
type Member interface {
	Handle(now time.Duration, ev membership.Event) *membership.Actions
}

// Node is one place of the world, with the process that runs there now.
type Node struct {
	Name         string
	Zone         string
	Addr         netip.AddrPort
	Member       Member
	Up           bool
	Incarnation  uint64
	Started      time.Duration
	Ended        time.Duration // when it was killed or had left, if it is not up
	StoppedUntil time.Duration // until when it is stopped
	Deaf         bool          // it sends, and nothing reaches it
	Sent         uint64        // bytes, all lives
	Faults       []Span        // in which others may take it for failed: killed, stopped for longer than is borne, cut off
	waiting      []delivery
	since        time.Duration // when the stop began that is on
	wake         time.Duration
	number       int
}

// DatagramFault is what may be done to one datagram.
type DatagramFault uint8

// The faults of a datagram; DatagramFaults is their number.
const (
	NoFault DatagramFault = iota
	Dropped
	Duplicated
	Delayed // by a second
	DatagramFaults
)

// Span is a stretch of time; To is 0 while it lasts.
type Span struct{ From, To time.Duration }

type delivery struct {
	from netip.AddrPort
	data []byte
}

// Entry is one line of the record.
type Entry struct {
	At          time.Duration
	Node        int // who saw it
	Incarnation uint64
	Change      *membership.Change
	Notice      *membership.Notice
	View        *membership.View
}

// World is one play. All chance comes from its seed.
type World struct {
	Now            time.Duration
	Nodes          []*Node
	Loss           float64
	Duplicates     float64
	Delay          [2]time.Duration // of a datagram, from and to
	IsPartitioned  func(from, to *Node) bool
	Make           func(n *Node, seed uint64) (Member, error)
	Record         []Entry
	Quiet          bool                                        // changes to suspect and back are not recorded
	InjectFault    func(nth int, from, to *Node) DatagramFault // with the nth datagram of the play; nil: nothing is done to any
	Events         int                                         // handled so far
	FailureTimeout time.Duration                               // stops of up to this are no reason to take a member for failed

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
	datagram    *delivery // nil: its own time has come
	do          func()
}

// Before tells whether the event comes first; events of one moment come in the order in which they were set.
func (e event) Before(other event) bool {
	return e.at < other.at || e.at == other.at && e.order < other.order
}

// New makes a world of n nodes in some zones. Nobody is up yet.
func New(n, zones int, seed uint64) *World {
	w := &World{FailureTimeout: 3 * time.Second, rng: rand.New(rand.NewPCG(seed, 1)), Delay: [2]time.Duration{time.Millisecond, 5 * time.Millisecond}, byAddr: map[netip.AddrPort]*Node{}}
	for i := range n {
		a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(i >> 16), byte(i >> 8), byte(i)}), 7400)
		w.Nodes = append(w.Nodes, &Node{Name: fmt.Sprintf("n%d", i), Zone: fmt.Sprintf("z%d", i%zones), Addr: a, number: i})
		w.byAddr[a] = w.Nodes[i]
	}
	w.Make = func(n *Node, seed uint64) (Member, error) {
		return membership.New(membership.Config{Name: n.Name, Zone: n.Zone, Address: n.Addr, Incarnation: n.Incarnation, Seed: seed, Seeds: w.Seeds(5)}, w.Now)
	}
	return w
}

// Seeds are the addresses of the first n nodes.
func (w *World) Seeds(n int) (out []netip.AddrPort) {
	for _, x := range w.Nodes[:min(n, len(w.Nodes))] {
		out = append(out, x.Addr)
	}
	return out
}

func (w *World) push(e event) {
	w.order++
	e.order = w.order
	w.queue.Push(e)
}

// At does something at a time.
func (w *World) At(at time.Duration, do func()) { w.push(event{at: at, do: do}) }

// Start brings a process up.
func (w *World) Start(n *Node) {
	w.lastIncarnation += 1000
	n.Up, n.Incarnation, n.Started, n.StoppedUntil, n.waiting = true, w.lastIncarnation, w.Now, 0, nil
	w.EndFault(n)
	m, err := w.Make(n, w.rng.Uint64())
	if err != nil {
		panic(err)
	}
	n.Member = m
	w.handle(n, membership.Event{Kind: membership.Tick})
}

// Kill ends its process without notice.
func (w *World) Kill(n *Node) {
	if n.Up {
		n.Up, n.Member, n.Ended = false, nil, w.Now
		w.BeginFault(n)
	}
}

// BeginFault begins a span in which others may take a node for failed; EndFault ends it.
func (w *World) BeginFault(n *Node) { n.Faults = append(n.Faults, Span{From: w.Now}) }

// EndFault ends the spans that BeginFault began.
func (w *World) EndFault(n *Node) {
	for i := range n.Faults {
		if n.Faults[i].To == 0 {
			n.Faults[i].To = w.Now
		}
	}
}

// Stop pauses its process for a while; datagrams wait for it.
func (w *World) Stop(n *Node, d time.Duration) {
	if w.Now >= n.StoppedUntil {
		n.since = w.Now
	}
	n.StoppedUntil = max(n.StoppedUntil, w.Now+d)
	if n.StoppedUntil-n.since > w.FailureTimeout {
		w.BeginFault(n)
		w.At(n.StoppedUntil, func() { w.EndFault(n) })
	}
	life := n.Incarnation
	w.At(n.StoppedUntil, func() {
		if n.Up && n.Incarnation == life && w.Now >= n.StoppedUntil {
			mail := n.waiting
			n.waiting = nil
			for _, d := range mail {
				w.handle(n, membership.Event{Kind: membership.DatagramReceived, From: d.from, Data: d.data})
			}
			w.handle(n, membership.Event{Kind: membership.Tick})
		}
	})
}

// Deliver hands an event to a member, one of its operator's.
func (w *World) Deliver(n *Node, ev membership.Event) { w.handle(n, ev) }

// Run plays until a time.
func (w *World) Run(until time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= until {
		e := w.queue.Pop()
		w.Now = max(w.Now, e.at)
		switch n := e.node; {
		case e.do != nil:
			e.do()
		case !n.Up || e.datagram == nil && (n.Incarnation != e.incarnation || n.wake != e.at): // gone, or it wants to be called at another time now
		case w.Now < n.StoppedUntil:
			if e.datagram != nil && len(n.waiting) < 1000 {
				n.waiting = append(n.waiting, *e.datagram)
			}
		case e.datagram == nil:
			w.handle(n, membership.Event{Kind: membership.Tick})
		case !n.Deaf:
			w.handle(n, membership.Event{Kind: membership.DatagramReceived, From: e.datagram.from, Data: e.datagram.data})
		}
	}
	w.Now = max(w.Now, until)
}

// handle gives a member one event and carries out what follows.
func (w *World) handle(n *Node, ev membership.Event) {
	if !n.Up {
		return
	}
	w.Events++
	acts := n.Member.Handle(w.Now, ev)
	for _, o := range acts.Send {
		n.Sent += uint64(len(o.Data))
		to := w.byAddr[o.To]
		if to == nil || w.IsPartitioned != nil && w.IsPartitioned(n, to) {
			continue
		}
		m := NoFault
		if w.InjectFault != nil {
			m = w.InjectFault(w.datagramsSent, n, to)
		}
		w.datagramsSent++
		if m == Dropped {
			continue
		}
		for copies := 1 + count(m == Duplicated) + count(w.Duplicates > 0 && w.rng.Float64() < w.Duplicates); copies > 0; copies-- {
			if w.Loss > 0 && w.rng.Float64() < w.Loss {
				continue
			}
			d := time.Duration(count(m == Delayed))*time.Second + w.Delay[0] + time.Duration(w.rng.Int64N(int64(w.Delay[1]-w.Delay[0])+1))
			w.push(event{at: w.Now + d, node: to, datagram: &delivery{n.Addr, append([]byte(nil), o.Data...)}})
		}
	}
	for i := range acts.Changes {
		if c := acts.Changes[i]; !w.Quiet || c.State >= membership.Left {
			w.Record = append(w.Record, Entry{At: w.Now, Node: n.number, Incarnation: n.Incarnation, Change: &c})
		}
	}
	for i := range acts.Notices {
		c := acts.Notices[i]
		w.Record = append(w.Record, Entry{At: w.Now, Node: n.number, Incarnation: n.Incarnation, Notice: &c})
	}
	if acts.View != nil {
		w.Record = append(w.Record, Entry{At: w.Now, Node: n.number, Incarnation: n.Incarnation, View: acts.View})
	}
	if n.wake != acts.Next || n.wake <= w.Now {
		n.wake = acts.Next
		w.push(event{at: n.wake, node: n, incarnation: n.Incarnation})
	}
}

func count(yes bool) int {
	if yes {
		return 1
	}
	return 0
}
