// Package faultinjection runs real processes of the dispatcher on loopback and injects faults between them. It starts them,
// joins each pair by a relay that drops, delays, duplicates and partitions by direction, sends signals by process id, follows
// a timeline, and reads the processes' own event logs afterwards. It ends the processes that it started and no others. No
// verdict depends on a clock: safety is read from the logs, liveness from the state after a quiet span.
package faultinjection

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"gladepick/internal/dispatcher/membership"
	"gladepick/internal/dispatcher/membership/simulation"
)

// Step is one thing that is done to some nodes at a time.
type Step struct {
	AtS   float64 `json:"at_s"`
	Do    string  `json:"do"` // start, kill, term, stop, cut, heal, loss, delay, double, deaf, hear, rename, revive
	Nodes []int   `json:"nodes,omitempty"`
	To    []int   `json:"to,omitempty"`    // cut: what goes from Nodes to these is lost
	ForS  float64 `json:"for_s,omitempty"` // stop
	Share float64 `json:"share,omitempty"` // loss, double
	Ms    [2]int  `json:"ms,omitempty"`    // delay
	Hurts []int   `json:"hurts,omitempty"` // nodes that others may take for failed from here on
	Eases []int   `json:"eases,omitempty"` // and no longer
	As    string  `json:"as,omitempty"`    // rename: the name it is started under next time
}

// Timeline is a play: a file of it can be given to `make faults`.
type Timeline struct {
	Kind   string  `json:"kind"`
	Nodes  int     `json:"nodes"`
	Seed   uint64  `json:"seed"`
	QuietS float64 `json:"quiet_s"`        // after the last step, before the end is looked at
	Late   []int   `json:"late,omitempty"` // nodes that are not started at the beginning
	Steps  []Step  `json:"steps"`
}

// Check tells what cannot be played.
func (t *Timeline) Check() error {
	if t.Nodes < 1 || t.Nodes > 60 || t.QuietS < 0 || t.QuietS > 120 || len(t.Steps) > 1000 {
		return errors.New("nodes are 1 to 60, quiet_s 0 to 120, steps 1000 at most")
	}
	known := []string{"start", "kill", "term", "stop", "cut", "heal", "loss", "delay", "double", "deaf", "hear", "rename", "revive"}
	for i, s := range t.Steps {
		switch {
		case !slices.Contains(known, s.Do):
			return fmt.Errorf("steps.%d.do: %q is none of %s", i, s.Do, strings.Join(known, ", "))
		case !(s.AtS >= 0 && s.AtS <= 300) || !(s.ForS >= 0 && s.ForS <= 120):
			return fmt.Errorf("steps.%d: at_s is 0 to 300, for_s 0 to 120", i)
		case !(s.Share >= 0 && s.Share <= 1) || s.Ms[0] < 0 || s.Ms[1] < s.Ms[0] || s.Ms[1] > 5000:
			return fmt.Errorf("steps.%d: share is 0 to 1, ms from and to up to 5000", i)
		}
		for _, n := range slices.Concat(s.Nodes, s.To, s.Hurts, s.Eases) {
			if n < 0 || n >= t.Nodes {
				return fmt.Errorf("steps.%d: node %d of %d", i, n, t.Nodes)
			}
		}
	}
	return nil
}

// Play is one timeline on real processes.
type Play struct {
	Program        string // bin/gladepick
	Dir            string // of configurations, logs and records
	Host           int    // 127.host.x.y: plays side by side keep apart
	Settings       string // a node's settings in the platform's form, with limits.peers
	Period         time.Duration
	FailureTimeout time.Duration
	OnQuiet        func()           // called after the quiet stretch, while all still run
	DurableJobs    *DurableJobsPlay // jobs are taken for keeps, and clients and workers are played; nil: only the membership is

	line       *Timeline
	nodes      []*node
	began      time.Time
	loss       atomic.Uint64 // of 1<<20
	double     atomic.Uint64
	delay      atomic.Int64 // from, in ms, above 16 bits of to
	partitions []atomic.Bool
	deaf       []atomic.Bool
	relays     [][]*net.UDPConn
	wait       sync.WaitGroup
	world      *simulation.World
}

type node struct {
	name    string
	process *exec.Cmd
	ended   chan struct{}
	starts  int
}

// Result is what came of a play.
type Result struct {
	Violations      []string        // promises that were broken
	FalseSuspicions int             // accusations of members that were there
	Detected        []time.Duration // from a kill until all that were up had it for failed
	Views           int
	Agreed          bool
	World           *simulation.World
}

// Run plays a timeline to its end. Everything it started has ended when it returns.
func (p *Play) Run(line *Timeline) (*Result, error) {
	if err := line.Check(); err != nil {
		return nil, err
	}
	p.line = line
	p.world = simulation.New(line.Nodes, 3, line.Seed)
	p.world.FailureTimeout = p.FailureTimeout - p.Period
	p.partitions, p.deaf = make([]atomic.Bool, line.Nodes*line.Nodes), make([]atomic.Bool, line.Nodes)
	defer p.end()
	if err := p.connect(); err != nil {
		return nil, err
	}
	if p.DurableJobs != nil {
		if err := p.DurableJobs.begin(p); err != nil {
			return nil, err
		}
		defer p.DurableJobs.end()
	}
	p.began = time.Now()
	for i := range line.Nodes {
		p.nodes = append(p.nodes, &node{name: fmt.Sprintf("n%d", i)})
	}
	for i := range line.Nodes {
		if !slices.Contains(line.Late, i) {
			if err := p.start(i); err != nil {
				return nil, err
			}
		}
	}
	steps := slices.Clone(line.Steps)
	slices.SortStableFunc(steps, func(a, b Step) int { return int(1000 * (a.AtS - b.AtS)) })
	type killed struct {
		node int
		life uint64
		at   time.Duration
	}
	var kills []killed
	for _, s := range steps {
		time.Sleep(time.Until(p.began.Add(time.Duration(s.AtS * float64(time.Second)))))
		p.world.Now = time.Since(p.began)
		for _, i := range s.Hurts {
			p.world.BeginFault(p.world.Nodes[i])
		}
		for _, i := range s.Eases {
			p.world.EndFault(p.world.Nodes[i])
		}
		for _, i := range s.Nodes {
			if s.Do == "kill" && p.nodes[i].process != nil {
				kills = append(kills, killed{i, 0, p.world.Now})
			}
			if err := p.runStep(s, i); err != nil {
				return nil, err
			}
		}
		switch s.Do {
		case "heal":
			for i := range p.partitions {
				p.partitions[i].Store(false)
			}
		case "revive": // whoever has ended or stopped by himself goes on
			for i, n := range p.nodes {
				n.process.Process.Signal(syscall.SIGCONT)
				select {
				case <-n.ended:
					if err := p.start(i); err != nil {
						return nil, err
					}
				default:
				}
			}
		case "loss":
			p.loss.Store(uint64(s.Share * (1 << 20)))
		case "double":
			p.double.Store(uint64(s.Share * (1 << 20)))
		case "delay":
			p.delay.Store(int64(s.Ms[0])<<16 | int64(s.Ms[1]))
		}
	}
	time.Sleep(time.Duration(line.QuietS * float64(time.Second)))
	p.world.Now = time.Since(p.began)
	if p.DurableJobs != nil {
		p.DurableJobs.awaitIdle()
	}
	if p.OnQuiet != nil {
		p.OnQuiet()
	}
	if err := p.readEventLogs(); err != nil {
		return nil, err
	}
	out := &Result{Violations: p.world.Audit(), FalseSuspicions: p.world.FalseFailures(), Views: p.world.Views(0, time.Hour), World: p.world}
	_, out.Agreed = p.world.Agreed()
	for _, k := range kills {
		first, last := time.Duration(0), time.Duration(0)
		for _, e := range p.world.Record {
			if c := e.Change; c != nil && c.Name == p.nodes[k.node].name && c.State == membership.Failed && e.At >= k.at && e.At < k.at+20*time.Second {
				first, last = max(first, 1), max(last, e.At-k.at)
			}
		}
		if first > 0 {
			out.Detected = append(out.Detected, last)
		}
	}
	return out, nil
}

// address is the address at which node i reaches node k; with itself it is where it listens.
func (p *Play) address(i, k int) string { return fmt.Sprintf("127.%d.%d.%d:7400", p.Host, i+1, k+1) }

// connect brings the relays up: a socket for each node and each other one that it reaches there.
func (p *Play) connect() error {
	n := p.line.Nodes
	p.relays = make([][]*net.UDPConn, n)
	for i := range n {
		p.relays[i] = make([]*net.UDPConn, n)
		for k := range n {
			if i != k {
				a, err := net.ResolveUDPAddr("udp", p.address(i, k))
				if err != nil {
					return err
				}
				if p.relays[i][k], err = net.ListenUDP("udp", a); err != nil {
					return err
				}
			}
		}
	}
	for i := range n {
		for k := range n {
			if i != k {
				p.wait.Go(func() { p.relay(i, k) })
			}
		}
	}
	return nil
}

// relay carries what node i sends to node k: it comes out of the socket at which k knows i.
func (p *Play) relay(i, k int) {
	to, _ := netip.ParseAddrPort(p.address(k, k))
	buffer := make([]byte, 2048)
	rng := rand.New(rand.NewPCG(p.line.Seed, uint64(i*1000+k)))
	for {
		n, _, err := p.relays[i][k].ReadFromUDPAddrPort(buffer)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		if p.partitions[i*p.line.Nodes+k].Load() || p.deaf[k].Load() {
			continue
		}
		for copies := 1 + hit(rng, p.double.Load()); copies > 0; copies-- {
			if hit(rng, p.loss.Load()) == 1 {
				continue
			}
			d := p.delay.Load()
			from, upTo := d>>16, d&0xffff
			if upTo == 0 {
				p.relays[k][i].WriteToUDPAddrPort(buffer[:n], to)
				continue
			}
			data := append([]byte(nil), buffer[:n]...)
			time.AfterFunc(time.Duration(from+rng.Int64N(upTo-from+1))*time.Millisecond, func() { p.relays[k][i].WriteToUDPAddrPort(data, to) })
		}
	}
}

func hit(rng *rand.Rand, share uint64) int {
	if share > 0 && rng.Uint64N(1<<20) < share {
		return 1
	}
	return 0
}

// runStep does a step to one node.
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
			case <-time.After(20 * time.Second): // who leaves may wait for others to get his copies
				return fmt.Errorf("%s has not ended before its start", n.name)
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

// start runs the program for a node, with a file of its own for everything that it is told.
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
	w.Up, w.Started = true, p.world.Now
	p.world.EndFault(w)
	return nil
}

func (p *Play) events(i int) string { return filepath.Join(p.Dir, fmt.Sprintf("events-%d.jsonl", i)) }

// end ends all that was started.
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

// readEventLogs puts the processes' records together, in the order of the machine's clock, for the auditor.
func (p *Play) readEventLogs() error {
	for i, w := range p.world.Nodes {
		f, err := os.Open(p.events(i))
		if errors.Is(err, os.ErrNotExist) && p.nodes[i].starts == 0 {
			continue
		} else if err != nil {
			return err
		}
		life := uint64(0)
		in := bufio.NewScanner(f)
		in.Buffer(nil, 1<<20)
		for in.Scan() {
			var l struct {
				At                 int64
				Life, Start, Of    uint64
				Member, State, Why string
				Notice, Text       string
				View               uint64
				Epoch, Fleet       uint32
				Digest             string
				Members            []string
			}
			if json.Unmarshal(in.Bytes(), &l) != nil {
				continue // a line that a kill cut off
			}
			e := simulation.Entry{At: time.Unix(0, l.At).Sub(p.began), Node: i}
			switch {
			case l.Start > 0:
				life, w.Incarnation = l.Start, l.Start
				continue
			case l.Notice != "":
				e.Notice = &membership.Notice{Kind: l.Notice, Text: l.Text}
			case l.Digest != "":
				d, _ := strconv.ParseUint(l.Digest, 16, 64)
				e.View = &membership.View{ViewID: membership.ViewID{FleetID: l.Fleet, Epoch: l.Epoch, Number: l.View, Digest: d}}
				for _, id := range l.Members {
					name, number, _ := strings.Cut(id, ".")
					v, _ := strconv.ParseUint(number, 10, 64)
					e.View.Members = append(e.View.Members, membership.Record{Name: name, Incarnation: v})
				}
			default:
				state := membership.Alive
				for s := membership.Alive; s <= membership.Failed; s++ {
					if s.String() == l.State {
						state = s
					}
				}
				e.Change = &membership.Change{Name: l.Member, Incarnation: l.Of, State: state, Reason: l.Why}
			}
			e.Incarnation = life
			p.world.Record = append(p.world.Record, e)
		}
		f.Close()
	}
	slices.SortStableFunc(p.world.Record, func(a, b simulation.Entry) int { return int(a.At - b.At) })
	return nil
}
