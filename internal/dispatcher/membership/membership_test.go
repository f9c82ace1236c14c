// Members in virtual time: what happens to them, and what their record must show at the end. No clock of the machine
// plays a part, and every run is the same.

package membership_test

import (
	"flag"
	"slices"
	"testing"
	"time"

	"gladepick/internal/dispatcher/membership"
	"gladepick/internal/dispatcher/membership/simulation"
)

func init() { flag.Set("rapid.seed", "20261201") } // the same steps in every run

// up is a world of n nodes that have found each other.
func up(t *testing.T, n, zones int, seed uint64) *simulation.World {
	t.Helper()
	w := simulation.New(n, zones, seed)
	for i, x := range w.Nodes {
		w.At(time.Duration(i)*20*time.Millisecond, func() { w.Start(x) })
	}
	w.Run(20*time.Second + time.Duration(n)*50*time.Millisecond)
	if id, ok := w.Agreed(); !ok {
		t.Fatalf("%d nodes have not found each other after %v (%v)", n, w.Now, id)
	}
	return w
}

func audit(t *testing.T, w *simulation.World) {
	t.Helper()
	for i, f := range w.Audit() {
		if i < 10 {
			t.Error(f)
		}
	}
}

// settle runs a quiet stretch, after which all that are up must have one view of themselves.
func settle(t *testing.T, w *simulation.World) {
	t.Helper()
	w.Run(w.Now + 30*time.Second)
	if id, ok := w.Agreed(); !ok {
		t.Errorf("no agreement 30 s after the last trouble (last view %v)", id)
		for _, e := range w.Record[max(0, len(w.Record)-12):] {
			t.Logf("%v %s: %+v %+v", e.At, w.Nodes[e.Node].Name, e.Change, e.Notice)
		}
	}
	audit(t, w)
}

func TestACrashIsToldToAllInOneView(t *testing.T) {
	t.Parallel()
	for _, n := range []int{3, 9, 60} {
		w := up(t, n, 3, 1)
		var first, last []time.Duration
		for k := range 5 {
			x := w.Nodes[(n/2+7*k)%n]
			life, at := x.Incarnation, w.Now
			w.Kill(x)
			w.Run(w.Now + 12*time.Second)
			failed := w.ChangesOf(x.Name, life, membership.Failed, at)
			if len(failed) != n-1 || failed[0] < 3*time.Second {
				t.Fatalf("%d members: failed is known to %d, from %v on", n, len(failed), failed)
			}
			first, last = append(first, w.ChangesOf(x.Name, life, membership.Suspected, at)[0]), append(last, failed[n-2])
			if got := w.Views(at, w.Now); got != 1 {
				t.Errorf("%d members: %d views for one crash", n, got)
			}
			w.Start(x)
			settle(t, w)
		}
		slices.Sort(first)
		slices.Sort(last)
		t.Logf("%d members, 5 crashes: suspected by somebody after %v, failed for all after %v", n, first, last)
		if first[0] > 1500*time.Millisecond || first[2] > 2500*time.Millisecond || last[2] > 7*time.Second || last[4] > 9*time.Second {
			t.Errorf("%d members: suspected after %v, failed for all after %v", n, first, last)
		}
	}
}

func TestNobodyThereIsTakenForFailed(t *testing.T) {
	t.Parallel()
	for name, trouble := range map[string]func(w *simulation.World){
		"loss":   func(w *simulation.World) { w.Loss = 0.2 },
		"loss30": func(w *simulation.World) { w.Loss = 0.3 },
		"delays": func(w *simulation.World) {
			w.Delay, w.Duplicates = [2]time.Duration{time.Millisecond, 500 * time.Millisecond}, 0.2
		},
		"pauses": func(w *simulation.World) {
			w.Loss = 0.05
			for i := range 60 {
				x := w.Nodes[i*5%len(w.Nodes)]
				w.At(w.Now+time.Duration(i)*2*time.Second, func() { w.Stop(x, []time.Duration{500 * time.Millisecond, 3 * time.Second}[i%2]) })
			}
		},
		"all stopped in turns": func(w *simulation.World) {
			for i := range 4 * len(w.Nodes) {
				x := w.Nodes[i%len(w.Nodes)]
				w.At(w.Now+time.Duration(i)*700*time.Millisecond, func() { w.Stop(x, 2500*time.Millisecond) })
			}
		},
		"one way": func(w *simulation.World) {
			a, b := w.Nodes[0], w.Nodes[1]
			w.IsPartitioned = func(from, to *simulation.Node) bool { return from == a && to == b }
		},
		"one link": func(w *simulation.World) {
			a, b := w.Nodes[0], w.Nodes[1]
			w.IsPartitioned = func(from, to *simulation.Node) bool { return from == a && to == b || from == b && to == a }
		},
		"a bad member": func(w *simulation.World) { // half of what it sends and gets is lost
			n := 0
			w.IsPartitioned = func(from, to *simulation.Node) bool { n++; return (from == w.Nodes[2] || to == w.Nodes[2]) && n%2 == 0 }
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := up(t, 15, 3, 2)
			trouble(w)
			w.Run(w.Now + time.Minute)
			w.Loss, w.IsPartitioned, w.Duplicates, w.Delay = 0, nil, 0, [2]time.Duration{time.Millisecond, 5 * time.Millisecond}
			settle(t, w)
			for _, e := range w.Record {
				if e.Change != nil && e.Change.State == membership.Failed {
					t.Fatalf("%v: %s takes %s for failed", e.At, w.Nodes[e.Node].Name, e.Change.Name)
				}
			}
		})
	}
}

// A chain in which neighbours alone hear each other: too few hear the ends to say anything of the others, and nobody
// fails.
func TestAChain(t *testing.T) {
	t.Parallel()
	w := up(t, 5, 1, 3)
	w.IsPartitioned = func(from, to *simulation.Node) bool {
		i, k := slices.Index(w.Nodes, from), slices.Index(w.Nodes, to)
		return i-k > 1 || k-i > 1
	}
	w.Run(w.Now + time.Minute)
	for _, e := range w.Record {
		if e.Change != nil && e.Change.State == membership.Failed {
			t.Errorf("%v: %s takes %s for failed", e.At, w.Nodes[e.Node].Name, e.Change.Name)
		}
	}
	w.IsPartitioned = nil
	settle(t, w)
}

// A cut of three and two: the larger side goes on, the smaller knows that it is one and says of nobody that he has
// failed.
func TestACutAndItsEnd(t *testing.T) {
	t.Parallel()
	for _, small := range []int{1, 2} {
		w := up(t, 5, 1, uint64(small))
		side := func(n *simulation.Node) bool { return slices.Index(w.Nodes, n) < small }
		for _, n := range w.Nodes[:small] {
			w.BeginFault(n)
		}
		w.IsPartitioned = func(from, to *simulation.Node) bool { return side(from) != side(to) }
		began := w.Now
		w.Run(w.Now + 20*time.Second)
		for i, n := range w.Nodes {
			m := n.Member.(*membership.Machine)
			if v := m.View(); m.Quorum() != (i >= small) || i >= small && len(v.Members) != 5-small || i < small && len(v.Members) != 5 {
				t.Errorf("%s: quorum %v, view %v of %d", n.Name, m.Quorum(), v.ViewID, len(v.Members))
			}
		}
		for _, e := range w.Record {
			if c := e.Change; c != nil && c.State == membership.Failed && e.At > began && e.Node < small {
				t.Errorf("%s, on the smaller side, takes %s for failed", w.Nodes[e.Node].Name, c.Name)
			}
		}
		w.IsPartitioned = nil
		for _, n := range w.Nodes[:small] {
			w.EndFault(n)
		}
		settle(t, w)
	}
}

func TestLeavingIsTold(t *testing.T) {
	t.Parallel()
	w := up(t, 9, 3, 4)
	x := w.Nodes[4]
	life, at := x.Incarnation, w.Now
	w.Deliver(x, membership.Event{Kind: membership.Leave})
	w.Run(w.Now + 3*time.Second)
	w.Kill(x)
	left := w.ChangesOf(x.Name, life, membership.Left, at)
	if len(left) != 8 || left[7] > 2*time.Second || len(w.ChangesOf(x.Name, life, membership.Failed, at)) > 0 {
		t.Errorf("known to %d, %v; failed for %d", len(left), left, len(w.ChangesOf(x.Name, life, membership.Failed, at)))
	}
	settle(t, w)
}

// Two thirds are killed at once and come back within a second, cold: no majority has a memory, and yet they find
// together.
func TestTwoThirdsStartAnew(t *testing.T) {
	t.Parallel()
	for _, n := range []int{3, 9, 24} {
		w := up(t, n, 3, 5)
		for _, x := range w.Nodes[:n*2/3] {
			w.Kill(x)
		}
		w.Run(w.Now + 800*time.Millisecond)
		for _, x := range w.Nodes[:n*2/3] {
			w.Start(x)
		}
		settle(t, w)
	}
}

func TestALongStopAndADeafMember(t *testing.T) {
	t.Parallel()
	w := up(t, 9, 3, 6)
	x, at, life := w.Nodes[3], w.Now, w.Nodes[3].Incarnation
	w.Stop(x, 30*time.Second)
	w.Run(w.Now + 20*time.Second)
	if got := len(w.ChangesOf(x.Name, life, membership.Failed, at)); got != 8 {
		t.Errorf("stopped for 20 s, it has failed for %d of 8", got)
	}
	w.Run(w.Now + 10*time.Second)
	settle(t, w)
	y, at := w.Nodes[5], w.Now
	y.Deaf = true
	w.BeginFault(y)
	w.Run(w.Now + 20*time.Second)
	if got := len(w.ChangesOf(y.Name, y.Incarnation, membership.Failed, at)); got != 8 {
		t.Errorf("sending and hearing nothing, it has failed for %d of 8", got)
	}
	for _, e := range w.Record {
		if c := e.Change; c != nil && c.State == membership.Failed && e.At > at && c.Name != y.Name {
			t.Errorf("%s is taken for failed by %s, on a deaf member's word", c.Name, w.Nodes[e.Node].Name)
		}
	}
	y.Deaf = false
	w.EndFault(y)
	settle(t, w)
}

// One name at two places: both are told, the later start keeps it, and neither comes and goes.
func TestOneNameTwice(t *testing.T) {
	t.Parallel()
	w := up(t, 6, 3, 7)
	a, b := w.Nodes[2], w.Nodes[5]
	w.Kill(b)
	w.Run(w.Now + 15*time.Second)
	b.Name = a.Name
	w.Start(b)
	w.Run(w.Now + 20*time.Second)
	notices := map[int]map[string]int{}
	for _, e := range w.Record {
		if e.Notice != nil {
			if notices[e.Node] == nil {
				notices[e.Node] = map[string]int{}
			}
			notices[e.Node][e.Notice.Kind]++
		}
	}
	if notices[2]["superseded"] != 1 || notices[2]["expelled"] > 0 || notices[5]["expelled"] > 0 {
		t.Errorf("notices: %v", notices)
	}
	if v := b.Member.(*membership.Machine).View(); !v.Contains(b.Name, b.Incarnation) || len(v.Members) != 5 {
		t.Errorf("view %+v", v)
	}
}

func TestSeedsThatAreDead(t *testing.T) {
	t.Parallel()
	w := simulation.New(4, 1, 8)
	w.Make = func(n *simulation.Node, seed uint64) (simulation.Member, error) {
		return membership.New(membership.Config{Name: n.Name, Zone: n.Zone, Address: n.Addr, Incarnation: n.Incarnation, Seed: seed, Seeds: w.Seeds(2)}, w.Now)
	}
	w.Start(w.Nodes[2])
	w.Run(10 * time.Second) // alone
	if v := w.Nodes[2].Member.(*membership.Machine).View(); len(v.Members) != 1 {
		t.Errorf("with dead seeds it is in %+v", v)
	}
	w.Start(w.Nodes[0]) // a seed comes back, and another that knows only the seeds
	w.Start(w.Nodes[3])
	settle(t, w)
}

// A zone of thirds is lost and comes back: one change of the view each way is the aim.
func TestAZoneIsLostInOneView(t *testing.T) {
	t.Parallel()
	w := up(t, 60, 3, 9)
	at := w.Now
	for i := 0; i < 60; i += 3 {
		w.Kill(w.Nodes[i])
	}
	w.Run(w.Now + 15*time.Second)
	if got := w.Views(at, w.Now); got != 1 {
		t.Errorf("%d views for a zone lost", got)
	}
	settle(t, w)
	for i := 0; i < 60; i += 3 {
		w.Start(w.Nodes[i])
	}
	settle(t, w)
}

func TestRollingRestartAndGrowth(t *testing.T) {
	t.Parallel()
	w := up(t, 30, 3, 10)
	for i := range 10 { // a tenth at a time
		for _, x := range w.Nodes[3*i : 3*i+3] {
			w.Deliver(x, membership.Event{Kind: membership.Leave})
		}
		w.Run(w.Now + 2500*time.Millisecond)
		for _, x := range w.Nodes[3*i : 3*i+3] {
			w.Kill(x)
			w.Start(x)
		}
	}
	settle(t, w)
	w = simulation.New(100, 3, 11)
	for i, x := range w.Nodes {
		w.At(time.Duration(max(i-2, 0))*100*time.Millisecond, func() { w.Start(x) })
	}
	w.Run(10 * time.Second)
	settle(t, w)
}

// News that is on its way when a life ends must not bring it back, however new it says it is; nor may a member that
// left be taken for failed or accused.
func TestAnEndedLifeStaysOver(t *testing.T) {
	t.Parallel()
	for _, end := range []membership.State{membership.Failed, membership.Left} {
		w := up(t, 5, 1, 12)
		x, y, z := w.Nodes[1], w.Nodes[0], w.Nodes[2]
		life := x.Incarnation
		if end == membership.Left {
			w.Deliver(x, membership.Event{Kind: membership.Leave})
			w.Run(w.Now + 2500*time.Millisecond)
		}
		w.Kill(x)
		w.Run(w.Now + 12*time.Second)
		id := z.Member.(*membership.Machine).View().ViewID
		for _, s := range []membership.State{membership.Alive, membership.Suspected, membership.Left} {
			w.Deliver(y, membership.Event{Kind: membership.DatagramReceived, From: z.Addr, Data: membership.Forged(z.Name, z.Incarnation, id, x.Name, life, 99, s)})
			for _, seen := range y.Member.(*membership.Machine).Members() {
				if seen.Name == x.Name && seen.State != end.String() {
					t.Errorf("%v, then %v with later news: it is %s", end, s, seen.State)
				}
			}
		}
		settle(t, w)
	}
}

// A member that was stopped itself hears first: what it did not hear meanwhile says nothing of the others.
func TestAStoppedMemberAccusesNobody(t *testing.T) {
	t.Parallel()
	w := up(t, 12, 3, 13)
	for k := range 12 {
		x := w.Nodes[k]
		at := w.Now + 2900*time.Millisecond
		w.Stop(x, 2900*time.Millisecond)
		w.Run(w.Now + 10*time.Second)
		paused := false
		for _, e := range w.Record {
			if e.Node != k || e.At < at {
				continue
			}
			if paused = paused || e.Notice != nil && e.Notice.Kind == "paused"; e.Change != nil && e.Change.State == membership.Suspected {
				t.Errorf("%s, stopped till %v, accuses %s at %v", x.Name, at, e.Change.Name, e.At)
			}
		}
		if !paused {
			t.Errorf("%s does not say that it was stopped", x.Name)
		}
	}
	audit(t, w)
}

// A cut of four and five, in which one of the five leaves: the five go on without it, and then there are four and four,
// and no majority. When the cut ended the four took over the later view and still had their jurors' words on the
// others, and a voter from there that had not probed them of late agreed.
func TestOldWordsDoNotCountAfterACut(t *testing.T) {
	t.Parallel()
	for seed := range uint64(12) {
		w := up(t, 9, 4, 100+seed)
		side := func(n *simulation.Node) bool { return slices.Contains([]int{1, 4, 6, 7, 8}, slices.Index(w.Nodes, n)) }
		w.IsPartitioned = func(from, to *simulation.Node) bool { return side(from) != side(to) }
		w.Run(w.Now + 20*time.Millisecond)
		w.Deliver(w.Nodes[7], membership.Event{Kind: membership.Leave})
		w.Run(w.Now + 2200*time.Millisecond)
		w.Kill(w.Nodes[7])
		w.Run(w.Now + time.Duration(9+seed)*time.Second)
		w.IsPartitioned = nil
		settle(t, w)
	}
}
