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

// Play runs one timeline on real processes. The caller sets the exported fields before Run.
type Play struct {
	Program        string           // path of the dispatcher's binary
	Dir            string           // directory of the configurations, logs and event logs
	Host           int              // second octet of the addresses 127.Host.x.y; concurrent runs use different ones
	Settings       string           // a node's settings in the platform's JSON form, with limits.peers
	Period         time.Duration    // probe period of the membership
	FailureTimeout time.Duration    // how long a member may be silent before others take it for failed
	OnQuiet        func()           // called after the quiet span, while all processes still run
	DurableJobs    *DurableJobsPlay // workload of durable jobs; nil: the run has only the membership

	line       *Timeline
	nodes      []*node
	began      time.Time
	loss       atomic.Uint64    // share of datagrams lost, in units of 1/2^20
	double     atomic.Uint64    // share of datagrams duplicated, in units of 1/2^20
	delay      atomic.Int64     // in ms: the minimum in the upper bits, the maximum in the lower 16
	partitions []atomic.Bool    // at [from*Nodes+to]: nothing passes in that direction
	deaf       []atomic.Bool    // by node: it receives nothing
	relays     [][]*net.UDPConn // at [i][k]: the socket at which node i reaches node k
	wait       sync.WaitGroup
	world      *simulation.World
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
	Detected        []time.Duration // for each detected kill: until the last node that was up took the member for failed
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
func (p *Play) Run(line *Timeline) (*Result, error) {
	if err := line.Check(); err != nil {
		return nil, err
	}
	defer p.end()
	if err := p.prepare(line); err != nil {
		return nil, err
	}
	if p.DurableJobs != nil {
		if err := p.DurableJobs.begin(p); err != nil {
			return nil, err
		}
		defer p.DurableJobs.end()
	}
	if err := p.startNodes(); err != nil {
		return nil, err
	}
	kills, err := p.runSteps()
	if err != nil {
		return nil, err
	}
	p.awaitQuiet()
	if err := p.readEventLogs(); err != nil {
		return nil, err
	}
	return p.result(kills), nil
}

// prepare creates the world that holds the record, and the relays between the nodes.
func (p *Play) prepare(line *Timeline) error {
	p.line = line
	p.world = simulation.New(line.Nodes, 3, line.Seed)
	p.world.FailureTimeout = p.FailureTimeout - p.Period
	p.partitions = make([]atomic.Bool, line.Nodes*line.Nodes)
	p.deaf = make([]atomic.Bool, line.Nodes)
	return p.connect()
}

// startNodes starts all nodes except those that the timeline starts later.
func (p *Play) startNodes() error {
	p.began = time.Now()
	for i := range p.line.Nodes {
		p.nodes = append(p.nodes, &node{name: fmt.Sprintf("n%d", i)})
	}
	for i := range p.line.Nodes {
		if slices.Contains(p.line.Late, i) {
			continue
		}
		if err := p.start(i); err != nil {
			return err
		}
	}
	return nil
}

// runSteps runs the steps of the timeline, each at its time, and returns the kills.
func (p *Play) runSteps() ([]kill, error) {
	steps := slices.Clone(p.line.Steps)
	slices.SortStableFunc(steps, func(a, b Step) int { return int(1000 * (a.AtS - b.AtS)) })
	var kills []kill
	for _, s := range steps {
		time.Sleep(time.Until(p.began.Add(time.Duration(s.AtS * float64(time.Second)))))
		p.world.Now = time.Since(p.began)
		p.markFaults(s)
		for _, i := range s.Nodes {
			if s.Do == "kill" && p.nodes[i].process != nil {
				kills = append(kills, kill{node: i, at: p.world.Now})
			}
			if err := p.runStep(s, i); err != nil {
				return nil, err
			}
		}
		if err := p.runStepForAll(s); err != nil {
			return nil, err
		}
	}
	return kills, nil
}

// markFaults records that from now on some nodes may be taken for failed, and others no longer.
func (p *Play) markFaults(s Step) {
	for _, i := range s.Hurts {
		p.world.BeginFault(p.world.Nodes[i])
	}
	for _, i := range s.Eases {
		p.world.EndFault(p.world.Nodes[i])
	}
}

// runStepForAll runs the part of a step that concerns all nodes or links.
func (p *Play) runStepForAll(s Step) error {
	switch s.Do {
	case "heal":
		for i := range p.partitions {
			p.partitions[i].Store(false)
		}
	case "revive":
		return p.reviveAll()
	case "loss":
		p.loss.Store(uint64(s.Share * (1 << 20)))
	case "double":
		p.double.Store(uint64(s.Share * (1 << 20)))
	case "delay":
		p.delay.Store(int64(s.Ms[0])<<16 | int64(s.Ms[1]))
	}
	return nil
}

// reviveAll continues stopped processes and restarts those that have ended.
func (p *Play) reviveAll() error {
	for i, n := range p.nodes {
		n.process.Process.Signal(syscall.SIGCONT)
		select {
		case <-n.ended:
			if err := p.start(i); err != nil {
				return err
			}
		default:
		}
	}
	return nil
}

// awaitQuiet waits for the quiet span at the end of the timeline, within which the processes have to agree.
func (p *Play) awaitQuiet() {
	time.Sleep(time.Duration(p.line.QuietS * float64(time.Second)))
	p.world.Now = time.Since(p.began)
	if p.DurableJobs != nil {
		p.DurableJobs.awaitIdle()
	}
	if p.OnQuiet != nil {
		p.OnQuiet()
	}
}

// result audits the merged event logs.
func (p *Play) result(kills []kill) *Result {
	out := &Result{Violations: p.world.Audit(), FalseSuspicions: p.world.CountFalseSuspicions(), Views: p.world.CountViews(0, time.Hour), World: p.world}
	_, out.Agreed = p.world.AgreedView()
	for _, killed := range kills {
		if detected, known := p.detectedAfter(killed); known {
			out.Detected = append(out.Detected, detected)
		}
	}
	return out
}

// detectionWindow is how long after a kill a node's failure counts as detected.
const detectionWindow = 20 * time.Second

// detectedAfter returns how long after a kill the last node took the killed one for failed, and whether any node did.
func (p *Play) detectedAfter(killed kill) (last time.Duration, known bool) {
	name := p.nodes[killed.node].name
	for _, e := range p.world.Entries {
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
func (p *Play) address(i, k int) string { return fmt.Sprintf("127.%d.%d.%d:7400", p.Host, i+1, k+1) }

// runStep applies a step to node i.
func (p *Play) runStep(s Step, i int) error {
	n, w := p.nodes[i], p.world.Nodes[i]
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
		return p.start(i)
	case "kill":
		signal(syscall.SIGKILL)
		p.world.Kill(w)
	case "term":
		signal(syscall.SIGTERM)
		p.world.Kill(w)
	case "stop":
		signal(syscall.SIGSTOP)
		for_ := time.Duration(s.ForS * float64(time.Second))
		if for_ > p.world.FailureTimeout {
			p.world.BeginFault(w)
		}
		process := n.process
		p.wait.Go(func() {
			time.Sleep(for_)
			if process != nil {
				process.Process.Signal(syscall.SIGCONT)
			}
		})
		if for_ > p.world.FailureTimeout {
			w.Faults[len(w.Faults)-1].To = p.world.Now + for_
		}
	case "cut":
		for _, k := range s.To {
			p.partitions[i*p.line.Nodes+k].Store(true)
		}
	case "deaf", "hear":
		p.deaf[i].Store(s.Do == "deaf")
	case "rename":
		n.name, w.Name = s.As, s.As
	}
	return nil
}

// start writes the configuration files of node i and starts its process.
func (p *Play) start(i int) error {
	n, w := p.nodes[i], p.world.Nodes[i]
	conf, members := filepath.Join(p.Dir, fmt.Sprintf("node-%d.json", i)), filepath.Join(p.Dir, fmt.Sprintf("members-%d.toml", i))
	env := []string(nil)
	if p.DurableJobs != nil {
		env = p.DurableJobs.environmentOf(i)
	}
	text := fmt.Sprintf(`{"seed":"%x","limits":{"cores":1,"memory_mb":192,"sockets":1024},"settings":%s}`, p.line.Seed*1000+uint64(i),
		strings.Replace(p.Settings, `"zone":0`, fmt.Sprintf(`"zone":%d`, i%2), 1))
	var more strings.Builder
	fmt.Fprintf(&more, "[members]\nlisten = %q\nperiod_ms = %d\nbear_ms = %d\nevents = %q\n", p.address(i, i), p.Period.Milliseconds(), p.FailureTimeout.Milliseconds(), p.events(i))
	for k, other := range p.nodes {
		if k != i && !slices.ContainsFunc(p.nodes[:k], func(o *node) bool { return o.name == other.name }) && other.name != n.name {
			fmt.Fprintf(&more, "[[members.peer]]\nname = %q\naddress = %q\n", other.name, p.address(i, k))
		}
	}
	for path, text := range map[string]string{conf: text, members: more.String()} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			return err
		}
	}
	log, err := os.OpenFile(filepath.Join(p.Dir, fmt.Sprintf("node-%d.log", i)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	c := exec.Command(p.Program)
	c.Env = append(os.Environ(), "NODE_NAME="+n.name, "NODE_LISTEN="+fmt.Sprintf("127.%d.0.%d:5000", p.Host, i+1), "NODE_DISCOVERY=", "NODE_CONFIG="+conf, "NODE_MEMBERS="+members, "NODE_CAPTURE=", "NODE_AMQP=", "NODE_PROMISES=")
	c.Env = append(c.Env, env...)
	c.Stdout, c.Stderr = log, log
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	n.process, n.ended = c, make(chan struct{})
	n.starts++
	if err := c.Start(); err != nil {
		return err
	}
	over := n.ended
	go func() { c.Wait(); close(over) }()
	p.world.Now = time.Since(p.began)
	w.Up, w.StartedAt = true, p.world.Now
	p.world.EndFault(w)
	return nil
}

// events returns the path of node i's event log.
func (p *Play) events(i int) string { return filepath.Join(p.Dir, fmt.Sprintf("events-%d.jsonl", i)) }

// end kills the processes that the run started, waits for them, and closes the relays.
func (p *Play) end() {
	for _, n := range p.nodes {
		if n.process != nil {
			n.process.Process.Signal(syscall.SIGCONT)
			n.process.Process.Kill()
		}
	}
	for _, n := range p.nodes {
		if n.process != nil {
			<-n.ended
		}
	}
	for _, row := range p.relays {
		for _, c := range row {
			if c != nil {
				c.Close()
			}
		}
	}
	p.wait.Wait()
}
