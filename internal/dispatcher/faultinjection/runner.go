// Package faultinjection runs real dispatcher processes on loopback and injects faults between them. It connects each
// pair by a relay that drops, delays, duplicates and partitions by direction, and sends signals by process id. The
// faults follow a timeline; afterwards the package reads the event logs of the processes. It ends only the processes
// that it started. No verdict depends on a clock: safety is read from the logs, liveness from the state after a quiet
// span.
package faultinjection

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"gladepick/internal/dispatcher/membership"
	"gladepick/internal/dispatcher/membership/simulation"
)

// Runner runs one timeline on real processes. The caller sets the exported fields before Run.
type Runner struct {
	Program        string           // path of the dispatcher's binary
	Dir            string           // directory of the configurations, logs and event logs
	Host           int              // second octet of the addresses 127.Host.x.y; concurrent runs use different ones
	Settings       string           // a node's settings in the platform's JSON form, with limits.peers
	Period         time.Duration    // probe period of the membership
	FailureTimeout time.Duration    // how long a member may send no answer before others declare it failed
	OnQuiet        func()           // called after the quiet span, while all processes still run
	DurableJobs    *DurableWorkload // workload of durable jobs; nil: the run has only the membership

	timeline    *Timeline
	nodes       []*node
	startedAt   time.Time
	loss        atomic.Uint64    // share of datagrams lost, in units of 1/2^20
	duplication atomic.Uint64    // share of datagrams duplicated, in units of 1/2^20
	delay       atomic.Int64     // in ms: the minimum in the upper bits, the maximum in the lower 16
	partitions  []atomic.Bool    // at [from*Nodes+to]: nothing passes in that direction
	deaf        []atomic.Bool    // by node: it receives nothing
	relays      [][]*net.UDPConn // at [i][k]: the socket at which node i reaches node k
	tasks       sync.WaitGroup
	world       *simulation.World
}

type node struct {
	name    string
	process *exec.Cmd
	ended   chan struct{}
	starts  int
}

// Result is the outcome of a run.
type Result struct {
	Violations      []string        // violated invariants
	FalseSuspicions int             // suspicions that no fault explains
	DetectionTimes  []time.Duration // for each detected kill: until the last node that was up declared the member failed
	Views           int             // distinct views in the event logs
	Agreed          bool            // all nodes ended with the same view
	World           *simulation.World
}

// kill is one SIGKILL of a run: the node and the time since the start.
type kill struct {
	node int
	at   time.Duration
}

// Run runs a timeline to its end and audits the event logs. When it returns, every process that it started has ended.
func (r *Runner) Run(timeline *Timeline) (*Result, error) {
	if err := timeline.Check(); err != nil {
		return nil, err
	}
	defer r.stop()
	if err := r.prepare(timeline); err != nil {
		return nil, err
	}
	if r.DurableJobs != nil {
		if err := r.DurableJobs.start(r); err != nil {
			return nil, err
		}
		defer r.DurableJobs.stop()
	}
	if err := r.startNodes(); err != nil {
		return nil, err
	}
	kills, err := r.runSteps()
	if err != nil {
		return nil, err
	}
	r.awaitQuiet()
	if err := r.readEventLogs(); err != nil {
		return nil, err
	}
	return r.audit(kills), nil
}

// prepare creates the world that holds the record, and the relays between the nodes.
func (r *Runner) prepare(timeline *Timeline) error {
	r.timeline = timeline
	r.world = simulation.New(timeline.Nodes, 3, timeline.Seed)
	r.world.FailureTimeout = r.FailureTimeout - r.Period
	r.partitions = make([]atomic.Bool, timeline.Nodes*timeline.Nodes)
	r.deaf = make([]atomic.Bool, timeline.Nodes)
	return r.openRelays()
}

// startNodes starts all nodes except those that the timeline starts later.
func (r *Runner) startNodes() error {
	r.startedAt = time.Now()
	for i := range r.timeline.Nodes {
		r.nodes = append(r.nodes, &node{name: fmt.Sprintf("n%d", i)})
	}
	for i := range r.timeline.Nodes {
		if slices.Contains(r.timeline.StartLater, i) {
			continue
		}
		if err := r.startNode(i); err != nil {
			return err
		}
	}
	return nil
}

// runSteps runs the steps of the timeline, each at its time, and returns the kills.
func (r *Runner) runSteps() ([]kill, error) {
	steps := slices.Clone(r.timeline.Steps)
	slices.SortStableFunc(steps, func(a, b Step) int { return int(1000 * (a.AtS - b.AtS)) })
	var kills []kill
	for _, s := range steps {
		time.Sleep(time.Until(r.startedAt.Add(time.Duration(s.AtS * float64(time.Second)))))
		r.world.Now = time.Since(r.startedAt)
		r.markFaults(s)
		for _, i := range s.Nodes {
			if s.Do == "kill" && r.nodes[i].process != nil {
				kills = append(kills, kill{node: i, at: r.world.Now})
			}
			if err := r.runNodeStep(s, i); err != nil {
				return nil, err
			}
		}
		if err := r.runGlobalStep(s); err != nil {
			return nil, err
		}
	}
	return kills, nil
}

// markFaults records that from now on some nodes may be declared failed, and others no longer.
func (r *Runner) markFaults(s Step) {
	for _, i := range s.FaultBegins {
		r.world.BeginFault(r.world.Nodes[i])
	}
	for _, i := range s.FaultEnds {
		r.world.EndFault(r.world.Nodes[i])
	}
}

// runGlobalStep runs the part of a step that concerns all nodes or links.
func (r *Runner) runGlobalStep(s Step) error {
	switch s.Do {
	case "heal":
		for i := range r.partitions {
			r.partitions[i].Store(false)
		}
	case "revive":
		return r.reviveAll()
	case "loss":
		r.loss.Store(uint64(s.Share * (1 << 20)))
	case "double":
		r.duplication.Store(uint64(s.Share * (1 << 20)))
	case "delay":
		r.delay.Store(int64(s.Ms[0])<<16 | int64(s.Ms[1]))
	}
	return nil
}

// reviveAll continues stopped processes and restarts those that have ended.
func (r *Runner) reviveAll() error {
	for i, n := range r.nodes {
		n.process.Process.Signal(syscall.SIGCONT)
		select {
		case <-n.ended:
			if err := r.startNode(i); err != nil {
				return err
			}
		default:
		}
	}
	return nil
}

// awaitQuiet waits for the quiet span at the end of the timeline, within which the processes have to agree.
func (r *Runner) awaitQuiet() {
	time.Sleep(time.Duration(r.timeline.QuietS * float64(time.Second)))
	r.world.Now = time.Since(r.startedAt)
	if r.DurableJobs != nil {
		r.DurableJobs.checkOutcomes()
	}
	if r.OnQuiet != nil {
		r.OnQuiet()
	}
}

// audit checks the merged event logs and returns the result of the run.
func (r *Runner) audit(kills []kill) *Result {
	result := &Result{Violations: r.world.Audit(), FalseSuspicions: r.world.CountFalseSuspicions(), Views: r.world.CountViews(0, time.Hour), World: r.world}
	_, result.Agreed = r.world.AgreedView()
	for _, killed := range kills {
		if detected, known := r.detectionTime(killed); known {
			result.DetectionTimes = append(result.DetectionTimes, detected)
		}
	}
	return result
}

// detectionWindow is how long after a kill a node's failure counts as detected.
const detectionWindow = 20 * time.Second

// detectionTime returns how long after a kill the last node declared the killed one failed, and whether any node did.
func (r *Runner) detectionTime(killed kill) (last time.Duration, known bool) {
	name := r.nodes[killed.node].name
	for _, e := range r.world.Entries {
		c := e.Change
		if c == nil || c.Name != name || c.State != membership.Failed {
			continue
		}
		if e.At >= killed.at && e.At < killed.at+detectionWindow {
			known = true
			last = max(last, e.At-killed.at)
		}
	}
	return last, known
}

// address returns the address at which node i reaches node k; address(i, i) is where node i listens.
func (r *Runner) address(i, k int) string { return fmt.Sprintf("127.%d.%d.%d:7400", r.Host, i+1, k+1) }

// runNodeStep applies a step to node i.
func (r *Runner) runNodeStep(s Step, i int) error {
	n, w := r.nodes[i], r.world.Nodes[i]
	signal := func(sig syscall.Signal) {
		if n.process != nil {
			n.process.Process.Signal(sig)
		}
	}
	switch s.Do {
	case "start":
		if n.process != nil {
			select {
			case <-n.ended:
			case <-time.After(20 * time.Second): // a leaving node may wait until others hold its replicas
				return fmt.Errorf("%s has not ended within 20 s, so it cannot start again", n.name)
			}
		}
		return r.startNode(i)
	case "kill":
		signal(syscall.SIGKILL)
		r.world.Kill(w)
	case "term":
		signal(syscall.SIGTERM)
		r.world.Kill(w)
	case "stop":
		signal(syscall.SIGSTOP)
		duration := time.Duration(s.ForS * float64(time.Second))
		if duration > r.world.FailureTimeout {
			r.world.BeginFault(w)
		}
		process := n.process
		r.tasks.Go(func() {
			time.Sleep(duration)
			if process != nil {
				process.Process.Signal(syscall.SIGCONT)
			}
		})
		if duration > r.world.FailureTimeout {
			w.Faults[len(w.Faults)-1].To = r.world.Now + duration
		}
	case "cut":
		for _, k := range s.To {
			r.partitions[i*r.timeline.Nodes+k].Store(true)
		}
	case "deaf", "hear":
		r.deaf[i].Store(s.Do == "deaf")
	case "rename":
		n.name, w.Name = s.As, s.As
	}
	return nil
}

// startNode writes the configuration files of node i and starts its process.
func (r *Runner) startNode(i int) error {
	n, w := r.nodes[i], r.world.Nodes[i]
	config, members := filepath.Join(r.Dir, fmt.Sprintf("node-%d.json", i)), filepath.Join(r.Dir, fmt.Sprintf("members-%d.toml", i))
	env := []string(nil)
	if r.DurableJobs != nil {
		env = r.DurableJobs.environment(i)
	}
	text := fmt.Sprintf(`{"seed":"%x","limits":{"cores":1,"memory_mb":192,"sockets":1024},"settings":%s}`, r.timeline.Seed*1000+uint64(i),
		strings.Replace(r.Settings, `"zone":0`, fmt.Sprintf(`"zone":%d`, i%2), 1))
	var membersText strings.Builder
	fmt.Fprintf(&membersText, "[members]\nlisten = %q\nperiod_ms = %d\nbear_ms = %d\nevents = %q\n", r.address(i, i), r.Period.Milliseconds(), r.FailureTimeout.Milliseconds(), r.events(i))
	for k, other := range r.nodes {
		if k != i && !slices.ContainsFunc(r.nodes[:k], func(o *node) bool { return o.name == other.name }) && other.name != n.name {
			fmt.Fprintf(&membersText, "[[members.peer]]\nname = %q\naddress = %q\n", other.name, r.address(i, k))
		}
	}
	for path, text := range map[string]string{config: text, members: membersText.String()} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			return err
		}
	}
	log, err := os.OpenFile(filepath.Join(r.Dir, fmt.Sprintf("node-%d.log", i)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(r.Program)
	cmd.Env = append(os.Environ(), "NODE_NAME="+n.name, "NODE_LISTEN="+fmt.Sprintf("127.%d.0.%d:5000", r.Host, i+1), "NODE_DISCOVERY=", "NODE_CONFIG="+config, "NODE_MEMBERS="+members, "NODE_CAPTURE=", "NODE_AMQP=", "NODE_PROMISES=")
	cmd.Env = append(cmd.Env, env...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	n.process, n.ended = cmd, make(chan struct{})
	n.starts++
	if err := cmd.Start(); err != nil {
		return err
	}
	done := n.ended
	go func() { cmd.Wait(); close(done) }()
	r.world.Now = time.Since(r.startedAt)
	w.Up, w.StartedAt = true, r.world.Now
	r.world.EndFault(w)
	return nil
}

// events returns the path of node i's event log.
func (r *Runner) events(i int) string { return filepath.Join(r.Dir, fmt.Sprintf("events-%d.jsonl", i)) }

// stop kills the processes that the run started, waits for them, and closes the relays.
func (r *Runner) stop() {
	for _, n := range r.nodes {
		if n.process != nil {
			n.process.Process.Signal(syscall.SIGCONT)
			n.process.Process.Kill()
		}
	}
	for _, n := range r.nodes {
		if n.process != nil {
			<-n.ended
		}
	}
	for _, row := range r.relays {
		for _, c := range row {
			if c != nil {
				c.Close()
			}
		}
	}
	r.tasks.Wait()
}
