// The explorer: three members, and every place at which one fault, or each pair of two, can fall into a stretch in
// which a member is killed, is stopped or leaves. And walks far beyond that at random, always the same ones.

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

// drama is what happens in a stretch, without the faults that the explorer adds.
type drama struct {
	name string
	do   func(w *simulation.World)
}

var dramas = []drama{
	{"nothing", func(*simulation.World) {}},
	{"a kill", func(w *simulation.World) { w.Kill(w.Nodes[1]) }},
	{"a kill and a start", func(w *simulation.World) {
		w.Kill(w.Nodes[1])
		w.At(w.Now+700*time.Millisecond, func() { w.Start(w.Nodes[1]) })
	}},
	{"a short stop", func(w *simulation.World) { w.Stop(w.Nodes[1], 2900*time.Millisecond) }},
	{"a long stop", func(w *simulation.World) { w.Stop(w.Nodes[1], 6*time.Second) }},
	{"a leave", func(w *simulation.World) {
		w.Deliver(w.Nodes[1], membership.Event{Kind: membership.Leave})
		w.At(w.Now+2500*time.Millisecond, func() { w.Kill(w.Nodes[1]) })
	}},
}

// fault is one thing at one place: a mischief with the nth datagram, or a stop of a member when it is sent.
type fault struct {
	nth  int
	what int // a mischief, or beyond them a stop of 2 s of member what-Mischiefs
}

const faults = int(simulation.DatagramFaults) + 3

// explored plays a drama with some faults; it gives how many datagrams the stretch had, and a sum of the record.
func explored(d drama, list []fault) (datagrams int, sum uint64, bad []string) {
	w := simulation.New(3, 3, 1)
	for _, x := range w.Nodes {
		w.Start(x)
	}
	w.Run(5 * time.Second)
	first := -1
	w.InjectFault = func(nth int, _, _ *simulation.Node) simulation.DatagramFault {
		if first < 0 {
			first = nth
		}
		datagrams = nth - first
		for _, f := range list {
			if f.nth != nth-first {
				continue
			} else if f.what < int(simulation.DatagramFaults) {
				return simulation.DatagramFault(f.what)
			}
			if x := w.Nodes[f.what-int(simulation.DatagramFaults)]; x.Up {
				w.Stop(x, 2*time.Second)
			}
		}
		return simulation.NoFault
	}
	d.do(w)
	w.Run(w.Now + 8*time.Second)
	w.InjectFault = nil
	w.Run(w.Now + 12*time.Second)
	bad = w.Audit()
	if id, ok := w.Agreed(); !ok {
		bad = append(bad, fmt.Sprintf("no agreement at the end (%v)", id))
	}
	h := fnv.New64a()
	for _, e := range w.Record {
		fmt.Fprint(h, e.At, e.Node, e.Change, e.Notice)
		if e.View != nil {
			fmt.Fprint(h, e.View.ViewID)
		}
	}
	return datagrams, h.Sum64(), bad
}

// TestEveryPlaceOfAFault plays each drama with each fault at each datagram of its 8 s. MEMBERSHIP_PAIRS=n adds every
// nth of all pairs of faults.
func TestEveryPlaceOfAFault(t *testing.T) {
	t.Parallel()
	every, _ := strconv.Atoi(os.Getenv("MEMBERSHIP_PAIRS"))
	for _, d := range dramas {
		t.Run(d.name, func(t *testing.T) {
			t.Parallel()
			n, _, bad := explored(d, nil)
			if len(bad) > 0 {
				t.Fatal(bad)
			}
			step := 1
			if testing.Short() || every == 0 {
				step = 3 // each third place in CI
			}
			var one []fault
			for nth := 0; nth <= n; nth += step {
				for what := 1; what < faults; what++ {
					one = append(one, fault{nth, what})
				}
			}
			runs, sums := 0, map[uint64]bool{}
			var mu sync.Mutex
			check := func(list ...fault) {
				_, sum, bad := explored(d, list)
				mu.Lock()
				defer mu.Unlock()
				runs++
				sums[sum] = true
				if len(bad) > 0 {
					t.Errorf("faults %v: %v", list, bad[:min(len(bad), 3)])
				}
			}
			for _, f := range one {
				if check(f); t.Failed() {
					return
				}
			}
			if every > 0 {
				k := 0
				for i, f := range one {
					for _, g := range one[i+1:] {
						if k++; k%every == 0 {
							check(f, g)
						}
					}
					if t.Failed() {
						return
					}
				}
			}
			t.Logf("%d datagrams, %d plays, %d different records", n, runs, len(sums))
		})
	}
}

// TestWalks lets anything happen to some members for a while; then all is quiet, and they must agree.
func TestWalks(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 9).Draw(t, "members")
		w := simulation.New(n, 1+n/3, rapid.Uint64().Draw(t, "seed"))
		for _, x := range w.Nodes {
			w.Start(x)
		}
		w.Run(8 * time.Second)
		var hurt []*simulation.Node
		heal := func() {
			w.IsPartitioned = nil
			for _, x := range hurt {
				if x.Up {
					w.EndFault(x)
				}
			}
			hurt = nil
		}
		for range rapid.IntRange(3, 14).Draw(t, "steps") {
			x := w.Nodes[rapid.IntRange(0, n-1).Draw(t, "node")]
			switch rapid.SampledFrom([]string{"kill", "start", "stop", "leave", "cut", "heal", "loss", "wait", "facts"}).Draw(t, "what") {
			case "kill":
				w.Kill(x)
			case "start":
				if !x.Up {
					w.Start(x)
				}
			case "stop":
				if x.Up {
					w.Stop(x, time.Duration(rapid.IntRange(100, 9000).Draw(t, "ms"))*time.Millisecond)
				}
			case "leave":
				if x.Up {
					w.Deliver(x, membership.Event{Kind: membership.Leave})
					life := x.Incarnation
					w.At(w.Now+2200*time.Millisecond, func() {
						if x.Incarnation == life {
							w.Kill(x)
						}
					})
				}
			case "facts":
				w.Deliver(x, membership.Event{Kind: membership.MetadataChanged, Metadata: membership.Metadata{Weight: 2}})
			case "cut": // who is not on the side with more than half of the latest view may be taken for failed
				heal()
				side := map[*simulation.Node]bool{}
				for _, y := range w.Nodes {
					side[y] = rapid.Bool().Draw(t, "side")
				}
				w.IsPartitioned = func(from, to *simulation.Node) bool { return side[from] != side[to] }
				var last membership.View
				for _, y := range w.Nodes {
					if y.Up {
						if v := y.Member.(*membership.Machine).View(); v.ViewID.After(last.ViewID) {
							last = v
						}
					}
				}
				for _, y := range w.Nodes {
					same := 0
					for _, z := range w.Nodes {
						if z.Up && side[z] == side[y] && last.Contains(z.Name, z.Member.(*membership.Machine).Incarnation()) {
							same++
						}
					}
					if 2*same <= len(last.Members) {
						w.BeginFault(y)
						hurt = append(hurt, y)
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
		for _, x := range w.Nodes {
			if !x.Up {
				w.Start(x)
			}
		}
		w.Run(w.Now + 40*time.Second)
		if bad := w.Audit(); len(bad) > 0 {
			t.Fatalf("%d faults: %v", len(bad), bad[:min(len(bad), 4)])
		}
		if id, ok := w.Agreed(); !ok {
			var last []string
			for _, e := range w.Record[max(0, len(w.Record)-30):] {
				last = append(last, fmt.Sprintf("%v %s %v %v", e.At, w.Nodes[e.Node].Name, e.Change, e.Notice))
			}
			for _, x := range w.Nodes {
				m := x.Member.(*membership.Machine)
				last = append(last, fmt.Sprintf("%s life %d view %v joined %v quorum %v: %+v", x.Name, m.Incarnation(), m.View().ViewID, m.Joined(), m.Quorum(), m.Members()))
			}
			t.Fatalf("no agreement at the end (%v): %s", id, slices.Concat(last))
		}
	})
}

// Whatever comes in, a machine neither panics nor sends more than a bounded answer.
func FuzzHeard(f *testing.F) {
	w := simulation.New(3, 1, 1)
	var seen [][]byte
	make_ := w.Make
	w.Make = func(n *simulation.Node, seed uint64) (simulation.Member, error) {
		m, err := make_(n, seed)
		return spy{m, &seen}, err
	}
	for _, x := range w.Nodes {
		w.Start(x)
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
		for _, x := range w.Nodes {
			w.Start(x)
		}
		w.Run(3 * time.Second)
		m := w.Nodes[0].Member.(*membership.Machine)
		for range 3 {
			if acts := m.Handle(w.Now, membership.Event{Kind: membership.DatagramReceived, From: w.Nodes[1].Addr, Data: data}); len(acts.Send) > 40 {
				t.Errorf("%d datagrams for one", len(acts.Send))
			}
		}
		w.Run(w.Now + time.Second)
	})
}

// spy keeps what a member hears.
type spy struct {
	simulation.Member
	seen *[][]byte
}

func (s spy) Handle(now time.Duration, ev membership.Event) *membership.Actions {
	if ev.Kind == membership.DatagramReceived {
		*s.seen = append(*s.seen, ev.Data)
	}
	return s.Member.Handle(now, ev)
}
