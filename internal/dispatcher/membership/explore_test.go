// Exploration of faults. Three members run through scenarios in which a member is killed, is paused or leaves, with a
// fault, or a pair of faults, at each datagram of the scenario. Random walks with a fixed seed go far beyond that.

package membership_test

import (
	"fmt"
	"hash/fnv"
	"os"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gladepick/internal/dispatcher/membership"
	"gladepick/internal/dispatcher/membership/simulation"
)

// scenario is what happens to the members, apart from the faults that the explorer injects.
type scenario struct {
	name string
	run  func(w *simulation.World)
}

var scenarios = []scenario{
	{"nothing", func(*simulation.World) {}},
	{"a kill", func(w *simulation.World) { w.Kill(w.Nodes[1]) }},
	{"a kill and a start", func(w *simulation.World) {
		w.Kill(w.Nodes[1])
		w.At(w.Now+700*time.Millisecond, func() { w.Start(w.Nodes[1]) })
	}},
	{"a short pause", func(w *simulation.World) { w.Pause(w.Nodes[1], 2900*time.Millisecond) }},
	{"a long pause", func(w *simulation.World) { w.Pause(w.Nodes[1], 6*time.Second) }},
	{"a leave", func(w *simulation.World) {
		w.Deliver(w.Nodes[1], membership.Event{Kind: membership.Leave})
		w.At(w.Now+2500*time.Millisecond, func() { w.Kill(w.Nodes[1]) })
	}},
}

// fault is a fault of the nth datagram of a scenario, or a pause of a member when that datagram is sent.
type fault struct {
	nth  int
	kind int // a simulation.DatagramFault; from DatagramFaults on, a pause of 2 s of node kind-DatagramFaults
}

const faultKinds = int(simulation.DatagramFaults) + 3

// runScenario runs a scenario with some faults. It returns the number of datagrams during the scenario, a hash of the
// record, and the violated invariants.
func runScenario(tested scenario, injected []fault) (datagrams int, hash uint64, violations []string) {
	w := simulation.New(3, 3, 1)
	for _, node := range w.Nodes {
		w.Start(node)
	}
	w.Run(5 * time.Second)
	firstDatagram := -1
	w.InjectFault = func(nth int, _, _ *simulation.Node) simulation.DatagramFault {
		if firstDatagram < 0 {
			firstDatagram = nth
		}
		datagrams = nth - firstDatagram
		for _, f := range injected {
			if f.nth != nth-firstDatagram {
				continue
			} else if f.kind < int(simulation.DatagramFaults) {
				return simulation.DatagramFault(f.kind)
			}
			if node := w.Nodes[f.kind-int(simulation.DatagramFaults)]; node.Up {
				w.Pause(node, 2*time.Second)
			}
		}
		return simulation.NoFault
	}
	tested.run(w)
	w.Run(w.Now + 8*time.Second)
	w.InjectFault = nil
	w.Run(w.Now + 12*time.Second)
	violations = w.Audit()
	if id, ok := w.AgreedView(); !ok {
		violations = append(violations, fmt.Sprintf("running nodes have no common view at the end (last view %v)", id))
	}
	h := fnv.New64a()
	for _, e := range w.Entries {
		fmt.Fprint(h, e.At, e.Node, e.Change, e.Notice)
		if e.View != nil {
			fmt.Fprint(h, e.View.ViewID)
		}
	}
	return datagrams, h.Sum64(), violations
}

// TestInvariantsHoldWithFaultAtEachDatagram guards against a fault at a particular moment that breaks an invariant. It
// runs each scenario with each fault at each third datagram of its 8 s. MEMBERSHIP_PAIRS=n takes every datagram and
// adds every nth of all pairs of faults.
func TestInvariantsHoldWithFaultAtEachDatagram(t *testing.T) {
	t.Parallel()
	every, _ := strconv.Atoi(os.Getenv("MEMBERSHIP_PAIRS"))
	for _, tested := range scenarios {
		t.Run(tested.name, func(t *testing.T) {
			t.Parallel()
			datagrams, _, violations := runScenario(tested, nil)
			if len(violations) > 0 {
				t.Fatal(violations)
			}
			step := 1
			if testing.Short() || every == 0 {
				step = 3 // every third datagram in CI
			}
			var singles []fault
			for nth := 0; nth <= datagrams; nth += step {
				for kind := 1; kind < faultKinds; kind++ {
					singles = append(singles, fault{nth, kind})
				}
			}
			runs, hashes := 0, map[uint64]bool{}
			var mu sync.Mutex
			check := func(injected ...fault) {
				_, hash, violations := runScenario(tested, injected)
				mu.Lock()
				defer mu.Unlock()
				runs++
				hashes[hash] = true
				if len(violations) > 0 {
					t.Errorf("faults %v: %v", injected, violations[:min(len(violations), 3)])
				}
			}
			for _, f := range singles {
				if check(f); t.Failed() {
					return
				}
			}
			if every > 0 {
				k := 0
				for i, f := range singles {
					for _, g := range singles[i+1:] {
						if k++; k%every == 0 {
							check(f, g)
						}
					}
					if t.Failed() {
						return
					}
				}
			}
			t.Logf("%d datagrams, %d runs, %d distinct records", datagrams, runs, len(hashes))
		})
	}
}

// TestMembersAgreeAfterRandomFaults guards against a sequence of faults after which the members do not agree. It
// injects random faults for a while, and then none.
func TestMembersAgreeAfterRandomFaults(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 9).Draw(t, "members")
		w := simulation.New(n, 1+n/3, rapid.Uint64().Draw(t, "seed"))
		for _, node := range w.Nodes {
			w.Start(node)
		}
		w.Run(8 * time.Second)
		var isolated []*simulation.Node
		heal := func() {
			w.IsPartitioned = nil
			for _, node := range isolated {
				if node.Up {
					w.EndFault(node)
				}
			}
			isolated = nil
		}
		for range rapid.IntRange(3, 14).Draw(t, "steps") {
			node := w.Nodes[rapid.IntRange(0, n-1).Draw(t, "node")]
			switch rapid.SampledFrom([]string{"kill", "start", "stop", "leave", "cut", "heal", "loss", "wait", "facts"}).Draw(t, "what") {
			case "kill":
				w.Kill(node)
			case "start":
				if !node.Up {
					w.Start(node)
				}
			case "stop":
				if node.Up {
					w.Pause(node, time.Duration(rapid.IntRange(100, 9000).Draw(t, "ms"))*time.Millisecond)
				}
			case "leave":
				if node.Up {
					w.Deliver(node, membership.Event{Kind: membership.Leave})
					incarnation := node.Incarnation
					w.At(w.Now+2200*time.Millisecond, func() {
						if node.Incarnation == incarnation {
							w.Kill(node)
						}
					})
				}
			case "facts":
				w.Deliver(node, membership.Event{Kind: membership.MetadataChanged, Metadata: membership.Metadata{Weight: 2}})
			case "cut": // nodes on a side without a majority of the latest view may be declared failed
				heal()
				side := map[*simulation.Node]bool{}
				for _, other := range w.Nodes {
					side[other] = rapid.Bool().Draw(t, "side")
				}
				w.IsPartitioned = func(from, to *simulation.Node) bool { return side[from] != side[to] }
				var last membership.View
				for _, other := range w.Nodes {
					if other.Up {
						if v := other.Member.(*membership.Machine).View(); v.ViewID.After(last.ViewID) {
							last = v
						}
					}
				}
				for _, other := range w.Nodes {
					reachable := 0
					for _, peer := range w.Nodes {
						if peer.Up && side[peer] == side[other] && last.Contains(peer.Name, peer.Member.(*membership.Machine).Incarnation()) {
							reachable++
						}
					}
					if 2*reachable <= len(last.Members) {
						w.BeginFault(other)
						isolated = append(isolated, other)
					}
				}
			case "heal":
				heal()
			case "loss":
				w.Loss = float64(rapid.IntRange(0, 30).Draw(t, "percent")) / 100
			}
			w.Run(w.Now + time.Duration(rapid.IntRange(0, 5000).Draw(t, "wait"))*time.Millisecond)
		}
		heal()
		w.Loss = 0
		w.Run(w.Now + 12*time.Second)
		for _, node := range w.Nodes {
			if !node.Up {
				w.Start(node)
			}
		}
		w.Run(w.Now + 40*time.Second)
		if violations := w.Audit(); len(violations) > 0 {
			t.Fatalf("%d violations: %v", len(violations), violations[:min(len(violations), 4)])
		}
		if id, ok := w.AgreedView(); !ok {
			var last []string
			for _, e := range w.Entries[max(0, len(w.Entries)-30):] {
				last = append(last, fmt.Sprintf("%v %s %v %v", e.At, w.Nodes[e.Node].Name, e.Change, e.Notice))
			}
			for _, node := range w.Nodes {
				m := node.Member.(*membership.Machine)
				last = append(last, fmt.Sprintf("%s: incarnation %d view %v joined %v quorum %v: %+v", node.Name, m.Incarnation(), m.View().ViewID, m.Joined(), m.Quorum(), m.Members()))
			}
			t.Fatalf("running nodes have no common view at the end (last view %v): %s", id, slices.Concat(last))
		}
	})
}

// FuzzReceivedDatagram guards against received datagrams that make a machine panic or amplify traffic.
func FuzzReceivedDatagram(f *testing.F) {
	w := simulation.New(3, 1, 1)
	var seen [][]byte
	newMember := w.NewMember
	w.NewMember = func(n *simulation.Node, seed uint64) (simulation.Member, error) {
		m, err := newMember(n, seed)
		return datagramRecorder{m, &seen}, err
	}
	for _, node := range w.Nodes {
		w.Start(node)
	}
	w.Run(4 * time.Second)
	w.Kill(w.Nodes[2])
	w.Run(12 * time.Second)
	for i, data := range seen {
		if i%7 == 0 {
			f.Add(data)
		}
	}
	f.Add([]byte{1, 0x8d})
	f.Fuzz(func(t *testing.T, data []byte) {
		w := simulation.New(3, 1, 1)
		for _, node := range w.Nodes {
			w.Start(node)
		}
		w.Run(3 * time.Second)
		m := w.Nodes[0].Member.(*membership.Machine)
		for range 3 {
			if acts := m.Handle(w.Now, membership.Event{Kind: membership.DatagramReceived, From: w.Nodes[1].Addr, Data: data}); len(acts.Send) > 40 {
				t.Errorf("%d datagrams sent in answer to one, want at most 40", len(acts.Send))
			}
		}
		w.Run(w.Now + time.Second)
	})
}

// datagramRecorder records the datagrams that a member receives.
type datagramRecorder struct {
	simulation.Member
	seen *[][]byte
}

func (s datagramRecorder) Handle(now time.Duration, ev membership.Event) *membership.Actions {
	if ev.Kind == membership.DatagramReceived {
		*s.seen = append(*s.seen, ev.Data)
	}
	return s.Member.Handle(now, ev)
}
