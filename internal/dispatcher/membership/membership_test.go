// Tests of members in virtual time: each injects faults and checks the record at the end. They read no real clock, and
// every run is the same.

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

// startNodes returns a world of n running nodes that have one view.
func startNodes(t *testing.T, n, zones int, seed uint64) *simulation.World {
	t.Helper()
	w := simulation.New(n, zones, seed)
	for i, node := range w.Nodes {
		w.At(time.Duration(i)*20*time.Millisecond, func() { w.Start(node) })
	}
	w.Run(20*time.Second + time.Duration(n)*50*time.Millisecond)
	if id, ok := w.AgreedView(); !ok {
		t.Fatalf("%d nodes have no common view after %v (last view %v)", n, w.Now, id)
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

// settle runs 30 s without faults and checks that the running nodes then have one view, of exactly these nodes. It also
// audits the record.
func settle(t *testing.T, w *simulation.World) {
	t.Helper()
	w.Run(w.Now + 30*time.Second)
	if id, ok := w.AgreedView(); !ok {
		t.Errorf("no common view 30 s after the last fault (last view %v)", id)
		for _, e := range w.Entries[max(0, len(w.Entries)-12):] {
			t.Logf("%v %s: %+v %+v", e.At, w.Nodes[e.Node].Name, e.Change, e.Notice)
		}
	}
	audit(t, w)
}

func TestCrashReachesAllMembersInOneView(t *testing.T) {
	t.Parallel()
	for _, n := range []int{3, 9, 60} {
		w := startNodes(t, n, 3, 1)
		var first, last []time.Duration
		for k := range 5 {
			node := w.Nodes[(n/2+7*k)%n]
			incarnation, killedAt := node.Incarnation, w.Now
			w.Kill(node)
			w.Run(w.Now + 12*time.Second)
			failed := w.ChangeDelays(node.Name, incarnation, membership.Failed, killedAt)
			if len(failed) != n-1 || failed[0] < 3*time.Second {
				t.Fatalf("%d members: %d know of the failure, after %v", n, len(failed), failed)
			}
			first, last = append(first, w.ChangeDelays(node.Name, incarnation, membership.Suspected, killedAt)[0]), append(last, failed[n-2])
			if got := w.CountViews(killedAt, w.Now); got != 1 {
				t.Errorf("%d members: %d views for one crash", n, got)
			}
			w.Start(node)
			settle(t, w)
		}
		slices.Sort(first)
		slices.Sort(last)
		t.Logf("%d members, 5 crashes: first suspicion after %v, failed at all members after %v", n, first, last)
		if first[0] > 1500*time.Millisecond || first[2] > 2500*time.Millisecond || last[2] > 7*time.Second || last[4] > 9*time.Second {
			t.Errorf("%d members: first suspicion after %v, failed at all members after %v", n, first, last)
		}
	}
}

func TestNoLiveMemberIsTakenForFailed(t *testing.T) {
	t.Parallel()
	for name, inject := range map[string]func(w *simulation.World){
		"loss":   func(w *simulation.World) { w.Loss = 0.2 },
		"loss30": func(w *simulation.World) { w.Loss = 0.3 },
		"delays": func(w *simulation.World) {
			w.Delay, w.Duplicates = [2]time.Duration{time.Millisecond, 500 * time.Millisecond}, 0.2
		},
		"pauses": func(w *simulation.World) {
			w.Loss = 0.05
			for i := range 60 {
				node := w.Nodes[i*5%len(w.Nodes)]
				w.At(w.Now+time.Duration(i)*2*time.Second, func() { w.Pause(node, []time.Duration{500 * time.Millisecond, 3 * time.Second}[i%2]) })
			}
		},
		"all paused in turn": func(w *simulation.World) {
			for i := range 4 * len(w.Nodes) {
				node := w.Nodes[i%len(w.Nodes)]
				w.At(w.Now+time.Duration(i)*700*time.Millisecond, func() { w.Pause(node, 2500*time.Millisecond) })
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
		"a bad member": func(w *simulation.World) { // it loses half of the datagrams that it sends and receives
			n := 0
			w.IsPartitioned = func(from, to *simulation.Node) bool { n++; return (from == w.Nodes[2] || to == w.Nodes[2]) && n%2 == 0 }
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := startNodes(t, 15, 3, 2)
			inject(w)
			w.Run(w.Now + time.Minute)
			w.Loss, w.IsPartitioned, w.Duplicates, w.Delay = 0, nil, 0, [2]time.Duration{time.Millisecond, 5 * time.Millisecond}
			settle(t, w)
			for _, e := range w.Entries {
				if e.Change != nil && e.Change.State == membership.Failed {
					t.Fatalf("%v: %s takes %s for failed", e.At, w.Nodes[e.Node].Name, e.Change.Name)
				}
			}
		})
	}
}

// Only neighbours in a chain of members reach each other. Too few members lose contact with the same member, and none
// may be declared failed.
func TestPartialConnectivityRemovesNoMember(t *testing.T) {
	t.Parallel()
	w := startNodes(t, 5, 1, 3)
	w.IsPartitioned = func(from, to *simulation.Node) bool {
		i, k := slices.Index(w.Nodes, from), slices.Index(w.Nodes, to)
		return i-k > 1 || k-i > 1
	}
	w.Run(w.Now + time.Minute)
	for _, e := range w.Entries {
		if e.Change != nil && e.Change.State == membership.Failed {
			t.Errorf("%v: %s takes %s for failed", e.At, w.Nodes[e.Node].Name, e.Change.Name)
		}
	}
	w.IsPartitioned = nil
	settle(t, w)
}

// In a partition the larger side continues with a view of its own. The smaller side knows that it has no quorum and
// declares no member failed.
func TestMinorityRemovesNoMemberInPartition(t *testing.T) {
	t.Parallel()
	for _, small := range []int{1, 2} {
		w := startNodes(t, 5, 1, uint64(small))
		side := func(n *simulation.Node) bool { return slices.Index(w.Nodes, n) < small }
		for _, n := range w.Nodes[:small] {
			w.BeginFault(n)
		}
		w.IsPartitioned = func(from, to *simulation.Node) bool { return side(from) != side(to) }
		partitionedAt := w.Now
		w.Run(w.Now + 20*time.Second)
		for i, n := range w.Nodes {
			m := n.Member.(*membership.Machine)
			if v := m.View(); m.Quorum() != (i >= small) || i >= small && len(v.Members) != 5-small || i < small && len(v.Members) != 5 {
				t.Errorf("%s: quorum %v, view %v of %d", n.Name, m.Quorum(), v.ViewID, len(v.Members))
			}
		}
		for _, e := range w.Entries {
			if c := e.Change; c != nil && c.State == membership.Failed && e.At > partitionedAt && e.Node < small {
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

func TestLeaveIsNotTakenForFailure(t *testing.T) {
	t.Parallel()
	w := startNodes(t, 9, 3, 4)
	node := w.Nodes[4]
	incarnation, leftAt := node.Incarnation, w.Now
	w.Deliver(node, membership.Event{Kind: membership.Leave})
	w.Run(w.Now + 3*time.Second)
	w.Kill(node)
	left := w.ChangeDelays(node.Name, incarnation, membership.Left, leftAt)
	if len(left) != 8 || left[7] > 2*time.Second || len(w.ChangeDelays(node.Name, incarnation, membership.Failed, leftAt)) > 0 {
		t.Errorf("the leave is known to %d members after %v, want 8; taken for failed by %d", len(left), left, len(w.ChangeDelays(node.Name, incarnation, membership.Failed, leftAt)))
	}
	settle(t, w)
}

// Two thirds of the members are killed at once and restart within a second without their state. No majority has kept
// its state, and yet the members must agree on a view.
func TestMembersAgreeAfterRestartOfMajority(t *testing.T) {
	t.Parallel()
	for _, n := range []int{3, 9, 24} {
		w := startNodes(t, n, 3, 5)
		for _, node := range w.Nodes[:n*2/3] {
			w.Kill(node)
		}
		w.Run(w.Now + 800*time.Millisecond)
		for _, node := range w.Nodes[:n*2/3] {
			w.Start(node)
		}
		settle(t, w)
	}
}

func TestPausedOrDeafMemberIsRemoved(t *testing.T) {
	t.Parallel()
	w := startNodes(t, 9, 3, 6)
	node, at, incarnation := w.Nodes[3], w.Now, w.Nodes[3].Incarnation
	w.Pause(node, 30*time.Second)
	w.Run(w.Now + 20*time.Second)
	if got := len(w.ChangeDelays(node.Name, incarnation, membership.Failed, at)); got != 8 {
		t.Errorf("paused for 20 s, it is taken for failed by %d of 8 members", got)
	}
	w.Run(w.Now + 10*time.Second)
	settle(t, w)
	deaf, at := w.Nodes[5], w.Now
	deaf.ReceivesNothing = true
	w.BeginFault(deaf)
	w.Run(w.Now + 20*time.Second)
	if got := len(w.ChangeDelays(deaf.Name, deaf.Incarnation, membership.Failed, at)); got != 8 {
		t.Errorf("sending but receiving nothing, it is taken for failed by %d of 8 members", got)
	}
	for _, e := range w.Entries {
		if c := e.Change; c != nil && c.State == membership.Failed && e.At > at && c.Name != deaf.Name {
			t.Errorf("%s is taken for failed by %s after a report of the deaf member", c.Name, w.Nodes[e.Node].Name)
		}
	}
	deaf.ReceivesNothing = false
	w.EndFault(deaf)
	settle(t, w)
}

// Two processes run under one name: the later start keeps the name, the earlier one is superseded once, and neither is
// removed and joins again.
func TestDuplicateNameRemovesOnlyEarlierStart(t *testing.T) {
	t.Parallel()
	w := startNodes(t, 6, 3, 7)
	a, b := w.Nodes[2], w.Nodes[5]
	w.Kill(b)
	w.Run(w.Now + 15*time.Second)
	b.Name = a.Name
	w.Start(b)
	w.Run(w.Now + 20*time.Second)
	notices := map[int]map[string]int{}
	for _, e := range w.Entries {
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

func TestDeadSeedsDoNotPreventJoining(t *testing.T) {
	t.Parallel()
	w := simulation.New(4, 1, 8)
	w.NewMember = func(n *simulation.Node, seed uint64) (simulation.Member, error) {
		return membership.New(membership.Config{Name: n.Name, Zone: n.Zone, Address: n.Addr, Incarnation: n.Incarnation, Seed: seed, Seeds: w.Seeds(2)}, w.Now)
	}
	w.Start(w.Nodes[2])
	w.Run(10 * time.Second) // without another member
	if v := w.Nodes[2].Member.(*membership.Machine).View(); len(v.Members) != 1 {
		t.Errorf("with dead seeds its view is %+v, want one member", v)
	}
	w.Start(w.Nodes[0]) // a seed, and then a node that knows only the seeds
	w.Start(w.Nodes[3])
	settle(t, w)
}

// One zone of three is lost and returns. Each of the two should need only one change of the view; the test checks this
// for the loss.
func TestZoneLossNeedsOneView(t *testing.T) {
	t.Parallel()
	w := startNodes(t, 60, 3, 9)
	lostAt := w.Now
	for i := 0; i < 60; i += 3 {
		w.Kill(w.Nodes[i])
	}
	w.Run(w.Now + 15*time.Second)
	if got := w.CountViews(lostAt, w.Now); got != 1 {
		t.Errorf("%d views for the loss of a zone, want 1", got)
	}
	settle(t, w)
	for i := 0; i < 60; i += 3 {
		w.Start(w.Nodes[i])
	}
	settle(t, w)
}

func TestMembersAgreeAfterRollingRestartAndGrowth(t *testing.T) {
	t.Parallel()
	w := startNodes(t, 30, 3, 10)
	for i := range 10 { // a tenth at a time
		for _, node := range w.Nodes[3*i : 3*i+3] {
			w.Deliver(node, membership.Event{Kind: membership.Leave})
		}
		w.Run(w.Now + 2500*time.Millisecond)
		for _, node := range w.Nodes[3*i : 3*i+3] {
			w.Kill(node)
			w.Start(node)
		}
	}
	settle(t, w)
	w = simulation.New(100, 3, 11)
	for i, node := range w.Nodes {
		w.At(time.Duration(max(i-2, 0))*100*time.Millisecond, func() { w.Start(node) })
	}
	w.Run(10 * time.Second)
	settle(t, w)
}

// A rumor that arrives after an incarnation has ended must not revive it, however high its revision. A member that left
// must not be suspected or declared failed either.
func TestLateRumorDoesNotReviveEndedIncarnation(t *testing.T) {
	t.Parallel()
	for _, end := range []membership.State{membership.Failed, membership.Left} {
		w := startNodes(t, 5, 1, 12)
		node, receiver, sender := w.Nodes[1], w.Nodes[0], w.Nodes[2]
		incarnation := node.Incarnation
		if end == membership.Left {
			w.Deliver(node, membership.Event{Kind: membership.Leave})
			w.Run(w.Now + 2500*time.Millisecond)
		}
		w.Kill(node)
		w.Run(w.Now + 12*time.Second)
		id := sender.Member.(*membership.Machine).View().ViewID
		for _, state := range []membership.State{membership.Alive, membership.Suspected, membership.Left} {
			w.Deliver(receiver, membership.Event{Kind: membership.DatagramReceived, From: sender.Addr, Data: membership.EncodeRumorPing(sender.Name, sender.Incarnation, id, node.Name, incarnation, 99, state)})
			for _, seen := range receiver.Member.(*membership.Machine).Members() {
				if seen.Name == node.Name && seen.State != end.String() {
					t.Errorf("%v, then a rumor of %v with a higher revision: it is %s", end, state, seen.State)
				}
			}
		}
		settle(t, w)
	}
}

// A member that was paused must not suspect others at once: datagrams that it missed during the pause are no
// evidence against them.
func TestPausedMemberSuspectsNoOther(t *testing.T) {
	t.Parallel()
	w := startNodes(t, 12, 3, 13)
	for k := range 12 {
		node := w.Nodes[k]
		pauseEnd := w.Now + 2900*time.Millisecond
		w.Pause(node, 2900*time.Millisecond)
		w.Run(w.Now + 10*time.Second)
		paused := false
		for _, e := range w.Entries {
			if e.Node != k || e.At < pauseEnd {
				continue
			}
			if paused = paused || e.Notice != nil && e.Notice.Kind == "paused"; e.Change != nil && e.Change.State == membership.Suspected {
				t.Errorf("%s, paused until %v, suspects %s at %v", node.Name, pauseEnd, e.Change.Name, e.At)
			}
		}
		if !paused {
			t.Errorf("%s gives no notice of its pause", node.Name)
		}
	}
	audit(t, w)
}

// A partition of four and five members, in which one of the five leaves. The five install a view without it, and then
// the sides are four and four without a majority. After the partition the first four once installed the later view,
// still counted their observers' reports from during the partition, and a voter of the other side that had not probed
// the reported members lately agreed to remove them.
func TestStaleReportsDoNotCountAfterPartition(t *testing.T) {
	t.Parallel()
	for seed := range uint64(12) {
		w := startNodes(t, 9, 4, 100+seed)
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
