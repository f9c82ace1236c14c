package agent_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gladepick/internal/dispatcher/agent"
	"gladepick/internal/dispatcher/config"
	"gladepick/internal/dispatcher/dispatch"
)

var limits = config.AgentLimits{PollInterval: time.Second, RequestTimeout: 2 * time.Second, RestartBackoff: 100 * time.Millisecond, RestartBackoffMax: time.Second,
	StableAfter: 10 * time.Second, StopTimeout: 5 * time.Second, ReplyBytes: 1 << 20, DatagramBytes: 8 << 10, Variables: 64, RequestBytes: 1 << 10}

// process is a fake process that runs until it is killed, or for the duration linger after Terminate is called.
type process struct {
	end     chan error
	linger  time.Duration // negative: ignores Terminate
	killed  atomic.Bool
	reloads atomic.Int64
}

func (p *process) PID() int      { return 42 }
func (p *process) Wait() error   { return <-p.end }
func (p *process) Reload() error { p.reloads.Add(1); return nil }
func (p *process) Kill() error   { p.killed.Store(true); p.end <- errors.New("killed"); return nil }
func (p *process) Terminate() error {
	if p.linger >= 0 {
		time.AfterFunc(p.linger, func() { p.end <- nil })
	}
	return nil
}

// agentConfig returns the configuration of an agent with instances of these names.
func agentConfig(names ...string) *config.Agent {
	conf := &config.Agent{Community: "public", Limits: limits}
	for i, name := range names {
		conf.Instances = append(conf.Instances, config.Instance{Name: name, Listen: fmt.Sprint("127.0.0.1:", 5000+i)})
	}
	return conf
}

// allCounters returns a value for each counter.
func allCounters() (out []dispatch.Count) {
	for i, name := range dispatch.CounterNames {
		out = append(out, dispatch.Count{Name: name, Value: int64(100 + i)})
	}
	return out
}

// supervised is an agent with one instance, whose processes and counters the test controls.
type supervised struct {
	*agent.Agent
	t *testing.T

	mu      sync.Mutex // guards the fields below
	started []*process
	linger  time.Duration // process.linger of processes that start later
	answers bool          // the process answers a request for its counters
}

func newSupervised(t *testing.T) *supervised {
	s := &supervised{Agent: agent.New(agentConfig("n0")), t: t, linger: 3 * time.Second, answers: true}
	s.StartProcess = func(config.Instance) (agent.Process, error) {
		s.mu.Lock()
		defer s.mu.Unlock()
		p := &process{end: make(chan error, 1), linger: s.linger}
		s.started = append(s.started, p)
		return p, nil
	}
	s.FetchCounters = func(context.Context, string) ([]dispatch.Count, error) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if !s.answers {
			return nil, errors.New("refused")
		}
		return allCounters(), nil
	}
	return s
}

func (s *supervised) setAnswers(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answers = on
}

func (s *supervised) setLinger(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.linger = d
}

// expect checks the state, the restarts and the number of started processes once all other goroutines are blocked.
func (s *supervised) expect(what string, state agent.State, restarts, processes int) {
	s.t.Helper()
	synctest.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	if status := s.Statuses()[0]; status.State != state || status.Restarts != restarts || len(s.started) != processes {
		s.t.Errorf("%s: status %+v after %d started processes", what, status, len(s.started))
	}
}

// A crashed instance must be restarted, a drained one must stay stopped until it is started, and one that does not stop
// must be killed.
func TestInstancesAreRestartedDrainedAndKilled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSupervised(t)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan bool)
		go func() { s.Run(ctx); close(done) }()
		s.expect("started", agent.Up, 0, 1)
		if err := s.Reload("n0"); err != nil || s.started[0].reloads.Load() != 1 {
			t.Errorf("reload of an instance that is up: error %v, %d reloads", err, s.started[0].reloads.Load())
		}
		s.setAnswers(false)
		time.Sleep(1100 * time.Millisecond)
		s.expect("not answering", agent.Starting, 0, 1)
		s.setAnswers(true)
		s.started[0].end <- errors.New("exit status 2")
		s.expect("crashed", agent.Waiting, 1, 1)
		if s.Reload("n0") == nil || s.Reload("n9") == nil {
			t.Error("reload of an instance without a process returned no error")
		}
		if status := s.Statuses()[0]; status.LastEnd != "exit status 2" || status.PID != 0 {
			t.Errorf("status after the crash: %+v", status)
		}
		time.Sleep(limits.RestartBackoff)
		s.expect("restarted", agent.Up, 1, 2)
		if err := s.Drain("n0"); err != nil {
			t.Error(err)
		}
		s.expect("told to stop", agent.Draining, 1, 2)
		time.Sleep(time.Minute)
		s.expect("stopped", agent.Drained, 1, 2)
		s.setLinger(-1) // the next process ignores Terminate
		if err := s.StartInstance("n0"); err != nil || s.Drain("n9") == nil {
			t.Error("StartInstance did not find n0, or Drain found n9")
		}
		s.expect("started again", agent.Up, 1, 3)
		cancel()
		s.expect("agent ends", agent.Draining, 1, 3)
		<-done
		if !s.started[2].killed.Load() {
			t.Error("a process that does not stop was not killed")
		}
		s.expect("agent has ended", agent.Drained, 1, 3)
	})
}

// runAgent runs an agent whose instances answer until the test ends. It returns once the agent has stored the counters
// of the instances.
func runAgent(t *testing.T, names ...string) (*agent.Agent, *config.Agent) {
	conf := agentConfig(names...)
	a := agent.New(conf)
	fetched := make(chan bool, 100)
	a.StartProcess = func(config.Instance) (agent.Process, error) { return &process{end: make(chan error, 1)}, nil }
	a.FetchCounters = func(context.Context, string) ([]dispatch.Count, error) { fetched <- true; return allCounters(), nil }
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan bool)
	go func() { a.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	for range 2 * len(names) { // the second fetch begins after the result of the first is stored
		<-fetched
	}
	return a, conf
}

// Commands must reach the agent over a socket, and those for an unknown instance or without one must fail.
func TestCommandsOverLoopback(t *testing.T) {
	a, _ := runAgent(t, "n0", "n1")
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- a.Serve(ctx, l) }()
	runCommand := func(command string, names ...string) (string, error) {
		var out bytes.Buffer
		err := agent.Command(ctx, &out, l.Addr().String(), command, names)
		return out.String(), err
	}
	if s, err := runCommand("status"); err != nil || !strings.Contains(s, "n0") || !strings.Contains(s, "n1") || !strings.Contains(s, "up") {
		t.Errorf("status: %v\n%s", err, s)
	}
	if s, err := runCommand("counters", "n1"); err != nil || strings.Contains(s, "n0") || !regexp.MustCompile(`taken +100\n`).MatchString(s) {
		t.Errorf("counters: %v\n%s", err, s)
	}
	if _, err := runCommand("drain", "n1"); err != nil {
		t.Error(err)
	}
	for _, args := range [][]string{{"drain", "n9"}, {"drain"}, {"status", "n9"}} {
		if _, err := runCommand(args[0], args[1:]...); err == nil {
			t.Errorf("%v returned no error", args)
		}
	}
	cancel()
	if err := <-done; err != nil {
		t.Error(err)
	}
}
