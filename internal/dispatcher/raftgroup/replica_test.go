// Nodes in a simulated network and in virtual time. Frames are lost, delayed, duplicated and blocked; nodes crash and
// lose their memory, pause, and restart. Raft draws its election time-outs from the system's randomness, so two runs
// differ in the order of events. The invariants are checked on every replica at every step and do not depend on that
// order.

package raftgroup_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gladepick/internal/dispatcher/raftgroup"
	"gladepick/internal/priorityqueue"
)

// commandLog is the replicated state machine: the list of all applied commands.
type commandLog struct {
	simulation *simulation
	group      int
	commands   []string
}

func (l *commandLog) Apply(command []byte) []byte {
	l.commands = append(l.commands, string(command))
	l.simulation.checkApplied(l)
	return fmt.Append(nil, len(l.commands))
}
func (l *commandLog) Query([]byte) []byte { return fmt.Append(nil, len(l.commands)) }
func (l *commandLog) Snapshot() ([]byte, error) {
	var out []byte
	for _, command := range l.commands {
		out = append(append(out, command...), 0)
	}
	return out, nil
}
func (l *commandLog) Restore(data []byte) error {
	l.commands = nil
	for len(data) > 0 {
		i := slices.Index(data, 0)
		l.commands, data = append(l.commands, string(data[:i])), data[i+1:]
	}
	l.simulation.checkApplied(l)
	return nil
}

// testNode is a node of the simulation.
type testNode struct {
	*raftgroup.Node
	id          raftgroup.NodeID
	zone        string
	isRunning   bool
	pausedUntil time.Duration
	isLeaving   bool
	heldFrames  []heldFrame
}

// heldFrame is a frame that arrived while its receiver was paused.
type heldFrame struct {
	from raftgroup.NodeID
	data []byte
}

// event is a function call that is due at a virtual time.
type event struct {
	at     time.Duration
	order  int
	action func()
}

// Before reports whether the event is due first. Events with the same time run in the order in which they were
// scheduled.
func (e event) Before(other event) bool {
	return e.at < other.at || e.at == other.at && e.order < other.order
}

// simulation is a cluster of nodes with its network, its event queue and the state of the invariants.
type simulation struct {
	t                  *testing.T
	rng                *rand.Rand
	now                time.Duration
	queue              priorityqueue.Queue[event]
	order              int
	nodes              []*testNode
	frameLoss          float64
	blocked            map[[2]int]bool
	committed          map[int][]string // by group, the commands that any replica has applied, in order
	acknowledged       map[string]int   // the group of each command that had a reply
	proposed           int
	unknownOutcomes    int
	violation          string
	reusesIncarnations bool // injected fault: a node keeps its incarnation when it restarts without its memory
}

// checkApplied compares the commands of a replica with those that other replicas of its group have applied.
func (sim *simulation) checkApplied(machine *commandLog) {
	longest := sim.committed[machine.group]
	for i, command := range machine.commands {
		if i >= len(longest) {
			longest = append(longest, command)
		} else if longest[i] != command && sim.violation == "" {
			sim.violation = fmt.Sprintf("%v: group %d has command %q at index %d on one replica and %q on another", sim.now, machine.group, command, i, longest[i])
		}
	}
	sim.committed[machine.group] = longest
}

func newSimulation(t *testing.T, n int, seed uint64) *simulation {
	sim := &simulation{t: t, rng: rand.New(rand.NewPCG(seed, 7)), blocked: map[[2]int]bool{}, committed: map[int][]string{}, acknowledged: map[string]int{}}
	for i := range n {
		sim.nodes = append(sim.nodes, &testNode{id: raftgroup.NodeID{Name: fmt.Sprintf("n%d", i)}, zone: fmt.Sprintf("z%d", i%3)})
		sim.start(i)
	}
	sim.every(10*time.Millisecond, func() {
		for _, node := range sim.nodes {
			if node.isRunning && sim.now >= node.pausedUntil {
				for _, frame := range node.heldFrames {
					sim.carryOut(node, node.HandleFrame(sim.now, frame.from, frame.data))
				}
				node.heldFrames = nil
				sim.carryOut(node, node.Tick(sim.now))
			}
		}
	})
	sim.every(200*time.Millisecond, sim.updateMembers)
	return sim
}

func (sim *simulation) schedule(delay time.Duration, action func()) {
	sim.order++
	sim.queue.Push(event{sim.now + delay, sim.order, action})
}

func (sim *simulation) every(interval time.Duration, action func()) {
	sim.schedule(interval, func() { action(); sim.every(interval, action) })
}

func (sim *simulation) run(duration time.Duration) {
	until := sim.now + duration
	for sim.queue[0].at <= until {
		e := sim.queue.Pop()
		sim.now = e.at
		e.action()
	}
	sim.now = until
}

func (sim *simulation) start(i int) {
	node := sim.nodes[i]
	if node.id.Incarnation == 0 || !sim.reusesIncarnations {
		node.id.Incarnation = sim.rng.Uint64() | 1
	}
	var initialMembers []string
	for _, other := range sim.nodes {
		initialMembers = append(initialMembers, other.id.Name)
	}
	for k := len(initialMembers); k < 5; k++ {
		initialMembers = append(initialMembers, fmt.Sprintf("n%d", k))
	}
	var err error
	node.Node, err = raftgroup.New(raftgroup.Config{Self: node.id, InitialMembers: initialMembers[:5], Groups: 4, SnapshotInterval: 40, Seed: sim.rng.Uint64(),
		NewStateMachine: func(g int) raftgroup.StateMachine { return &commandLog{simulation: sim, group: g} }}, sim.now)
	if err != nil {
		sim.t.Fatal(err)
	}
	node.isRunning, node.pausedUntil, node.heldFrames, node.isLeaving = true, 0, nil, false
}

// updateMembers passes each running node its members, as the membership would: the running nodes that it is connected
// to in both directions.
func (sim *simulation) updateMembers() {
	for i, node := range sim.nodes {
		if !node.isRunning || sim.now < node.pausedUntil {
			continue
		}
		var members []raftgroup.Member
		for k, other := range sim.nodes {
			if other.isRunning && !sim.blocked[[2]int{i, k}] && !sim.blocked[[2]int{k, i}] {
				members = append(members, raftgroup.Member{NodeID: other.id, Zone: other.zone, Assignment: other.AssignmentID(), Leaving: other.isLeaving})
			}
		}
		sim.carryOut(node, node.SetMembers(sim.now, members, 2*len(members) > len(sim.nodes)))
	}
}

// carryOut sends the frames of a node through the network and delivers its results.
func (sim *simulation) carryOut(node *testNode, actions *raftgroup.Actions) {
	from := slices.Index(sim.nodes, node)
	for _, frame := range actions.Send {
		to := slices.IndexFunc(sim.nodes, func(receiver *testNode) bool { return receiver.id.Name == frame.To.Name })
		if sim.blocked[[2]int{from, to}] || sim.rng.Float64() < sim.frameLoss {
			continue
		}
		data, id := slices.Clone(frame.Data), node.id
		for copies := 1 + sim.rng.IntN(20)/19; copies > 0; copies-- {
			sim.schedule(time.Millisecond+time.Duration(sim.rng.Int64N(int64(4*time.Millisecond))), func() {
				if receiver := sim.nodes[to]; receiver.isRunning && sim.now >= receiver.pausedUntil {
					sim.carryOut(receiver, receiver.HandleFrame(sim.now, id, data))
				} else if receiver.isRunning && len(receiver.heldFrames) < 500 {
					receiver.heldFrames = append(receiver.heldFrames, heldFrame{id, data})
				}
			})
		}
	}
	for _, r := range actions.Results {
		if handle := resultHandlers[r.Token]; handle != nil {
			delete(resultHandlers, r.Token)
			handle(r)
		}
	}
}

// resultHandlers has the handler of each pending proposal, by token.
var resultHandlers = map[uint64]func(raftgroup.Result){}

// propose proposes a command on a random node every 1 to 30 ms for a duration.
func (sim *simulation) propose(duration time.Duration) {
	end := sim.now + duration
	var next func()
	next = func() {
		if sim.now >= end {
			return
		}
		sim.schedule(time.Duration(1+sim.rng.IntN(30))*time.Millisecond, next)
		node := sim.nodes[sim.rng.IntN(len(sim.nodes))]
		if !node.isRunning || sim.now < node.pausedUntil || !node.Ready() {
			return
		}
		sim.proposed++
		command := fmt.Sprintf("c%d", sim.proposed)
		g := node.GroupOf(command)
		token, actions := node.Propose(sim.now, g, []byte(command), sim.now+2*time.Second)
		resultHandlers[token] = func(r raftgroup.Result) {
			if r.Err != nil {
				sim.unknownOutcomes++
			} else {
				sim.acknowledged[command] = g
			}
		}
		sim.carryOut(node, actions)
	}
	next()
}

// check looks for commands that had a reply and that no replica has applied. It returns the number of groups with at
// least 3 complete replicas.
func (sim *simulation) check() (complete int) {
	for command, g := range sim.acknowledged {
		if !slices.Contains(sim.committed[g], command) && sim.violation == "" {
			sim.violation = fmt.Sprintf("command %s of group %d had a reply, and no replica has applied it", command, g)
		}
	}
	for g := range 4 {
		longest := 0
		for _, node := range sim.nodes {
			if m, _ := node.StateMachine(g); node.isRunning && m != nil {
				longest = max(longest, len(m.(*commandLog).commands))
			}
		}
		completeReplicas := 0
		for _, node := range sim.nodes {
			if m, _ := node.StateMachine(g); node.isRunning && m != nil && len(m.(*commandLog).commands) == longest {
				completeReplicas++
			}
		}
		if completeReplicas >= 3 && longest == len(sim.committed[g]) {
			complete++
		}
	}
	return complete
}

// Guards against acknowledged commands being lost, and replicas diverging, when 5 or 9 nodes crash, pause or are cut
// off one after the other, or frames are lost.
func TestCommandsSurviveCrashesPausesAndPartitions(t *testing.T) {
	for seed := range uint64(6) {
		sim := newSimulation(t, 5+4*int(seed%2), seed)
		sim.run(3 * time.Second)
		if !sim.nodes[0].Ready() || sim.nodes[4].Groups() != 4 {
			t.Fatalf("seed %d: the cluster has no assignment after 3 s", seed)
		}
		sim.propose(40 * time.Second)
		for range 6 {
			i := sim.rng.IntN(len(sim.nodes))
			switch sim.rng.IntN(4) {
			case 0:
				sim.nodes[i].isRunning = false
				sim.run(time.Duration(1+sim.rng.IntN(3)) * time.Second)
				sim.start(i)
			case 1:
				sim.nodes[i].pausedUntil = sim.now + 3*time.Second
				sim.run(4 * time.Second)
			case 2:
				for k := range sim.nodes {
					sim.blocked[[2]int{i, k}], sim.blocked[[2]int{k, i}] = k != i, k != i && sim.rng.IntN(2) == 0
				}
				sim.run(3 * time.Second)
				clear(sim.blocked)
			case 3:
				sim.frameLoss = 0.2
				sim.run(3 * time.Second)
				sim.frameLoss = 0
			}
			sim.run(3 * time.Second) // the lost replicas are replaced before the next fault
		}
		sim.run(30 * time.Second)
		complete := sim.check()
		if sim.violation != "" || complete < 4 || len(sim.acknowledged) < sim.proposed/2 {
			t.Errorf("seed %d: %s; %d of 4 groups are complete, %d of %d commands had a reply, %d have an unknown outcome", seed, sim.violation, complete, len(sim.acknowledged), sim.proposed, sim.unknownOutcomes)
		}
	}
}

// Guards against a leaving node stopping before others have its replicas. All nodes restart one after the other, so
// that no initial replica is left, and no command may be lost.
func TestRollingRestartLosesNoCommand(t *testing.T) {
	sim := newSimulation(t, 5, 11)
	sim.run(3 * time.Second)
	sim.propose(60 * time.Second)
	for i := range sim.nodes {
		sim.nodes[i].isLeaving = true
		for k := 0; k < 100 && !sim.nodes[i].IsEvacuated(); k++ {
			sim.run(200 * time.Millisecond)
		}
		if !sim.nodes[i].IsEvacuated() {
			t.Errorf("n%d still has replicas 20 s after it began to leave", i)
		}
		sim.nodes[i].isRunning = false
		sim.run(300 * time.Millisecond)
		sim.start(i)
		sim.run(time.Second)
	}
	sim.run(70 * time.Second) // the proposals have ended by then
	if complete := sim.check(); sim.violation != "" || complete < 4 || sim.unknownOutcomes > sim.proposed/20 {
		t.Errorf("%s; %d of 4 groups are complete, %d of %d commands have an unknown outcome", sim.violation, complete, sim.unknownOutcomes, sim.proposed)
	}
}

// Guards against a group that commits after it lost its quorum. Three of five nodes restart without their memory; they
// restart empty and must not vote in place of the replicas that they have lost.
func TestGroupWithoutQuorumStops(t *testing.T) {
	sim := newSimulation(t, 5, 12)
	sim.run(3 * time.Second)
	sim.propose(4 * time.Second)
	sim.run(5 * time.Second)
	before := map[int]int{}
	for g := range 4 {
		before[g] = len(sim.committed[g])
	}
	for i := range 3 {
		sim.nodes[i].isRunning = false
	}
	sim.run(time.Second)
	for i := range 3 {
		sim.start(i)
	}
	sim.run(10 * time.Second)
	sim.propose(5 * time.Second)
	sim.run(10 * time.Second)
	committed := 0
	for g := range 4 {
		replicas := 0
		for _, node := range sim.nodes[3:] {
			if m, _ := node.StateMachine(g); m != nil {
				replicas++
			}
		}
		if replicas < 2 && len(sim.committed[g]) != before[g] {
			t.Errorf("group %d lost its quorum and still committed commands", g)
		}
		committed += len(sim.committed[g]) - before[g]
	}
	if sim.check(); sim.violation != "" {
		t.Error(sim.violation)
	}
}

// Guards against nodes of two clusters mixing their groups. Two assignments arise if the operators' files name
// different initial members; frames of the other cluster would replace existing replicas.
func TestFramesOfAnotherAssignmentAreDropped(t *testing.T) {
	newNode := func(name string, initialMembers ...string) *raftgroup.Node {
		node, err := raftgroup.New(raftgroup.Config{Self: raftgroup.NodeID{Name: name, Incarnation: uint64(name[0])}, InitialMembers: initialMembers, Groups: 1, Seed: 1,
			NewStateMachine: func(g int) raftgroup.StateMachine {
				return &commandLog{simulation: &simulation{committed: map[int][]string{}}}
			}}, 0)
		if err != nil {
			t.Fatal(err)
		}
		return node
	}
	member := func(node *raftgroup.Node, name string) raftgroup.Member {
		return raftgroup.Member{NodeID: raftgroup.NodeID{Name: name, Incarnation: uint64(name[0])}, Assignment: node.AssignmentID()}
	}
	a, other := newNode("a", "a", "b"), newNode("b", "b")
	other.SetMembers(0, []raftgroup.Member{member(other, "b")}, true)
	if a.SetMembers(0, []raftgroup.Member{member(a, "a"), {NodeID: raftgroup.NodeID{Name: "b", Incarnation: 'b'}}}, true); a.AssignmentID() == 0 || other.AssignmentID() == 0 || a.AssignmentID() == other.AssignmentID() {
		t.Fatalf("the assignments are %x and %x, they must be set and differ", a.AssignmentID(), other.AssignmentID())
	}
	before, frames, notices := fmt.Sprint(other.Status()), 0, 0
	for now := time.Duration(0); now < 3*time.Second; now += 10 * time.Millisecond {
		for _, frame := range a.Tick(now).Send {
			frames++
			notices += len(other.HandleFrame(now, raftgroup.NodeID{Name: "a", Incarnation: 'a'}, frame.Data).Notices)
		}
	}
	if got := fmt.Sprint(other.Status()); frames == 0 || notices != 1 || got != before {
		t.Errorf("after %d frames of another assignment there are %d notices, and the groups are %s; before: %s", frames, notices, got, before)
	}
}

// Guards against checks that detect nothing. Nodes restart without their memory under their old incarnation, which must
// show at least once: Raft panics because its log is shorter than what it acknowledged, a command with a reply is lost,
// or replicas diverge.
func TestReusedIncarnationIsDetected(t *testing.T) {
	for seed := range uint64(20) {
		if violatesWithReusedIncarnations(t, 100+seed) {
			return
		}
	}
	t.Error("20 simulations in which nodes forget their votes violate no invariant")
}

// violatesWithReusedIncarnations reports whether a simulation with reused incarnations violates an invariant or panics.
func violatesWithReusedIncarnations(t *testing.T, seed uint64) (detected bool) {
	sim := newSimulation(t, 5, seed)
	sim.reusesIncarnations = true
	defer func() { detected = detected || recover() != nil }()
	sim.run(3 * time.Second)
	sim.propose(30 * time.Second)
	for range 8 {
		sim.run(time.Second)
		restarted := sim.rng.Perm(5)
		for _, i := range restarted[:2] {
			sim.nodes[i].isRunning = false
		}
		sim.run(50 * time.Millisecond)
		for _, i := range restarted[:2] {
			sim.start(i)
		}
	}
	sim.run(5 * time.Second)
	sim.check()
	return sim.violation != ""
}
