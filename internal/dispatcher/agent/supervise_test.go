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

// process is one that runs until it is told to end, and then for as long as it likes.
type process struct {
	end     chan error
	linger  time.Duration
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

// agentConfig is an agent's file with instances of these names.
func agentConfig(names ...string) *config.Agent {
	conf := &config.Agent{Community: "public", Limits: limits}
	for i, name := range names {
		conf.Instances = append(conf.Instances, config.Instance{Name: name, Listen: fmt.Sprint("127.0.0.1:", 5000+i)})
	}
	return conf
}

// allCounters has a value for each counter.
func allCounters() (out []dispatch.Count) {
	for i, name := range dispatch.CounterNames {
		out = append(out, dispatch.Count{Name: name, Value: int64(100 + i)})
	}
	return out
}

// supervised is an agent with one instance, whose processes and answers are the test's.
type supervised struct {
	*agent.Agent
	t *testing.T

	mu      sync.Mutex // guards what the agent and the test share
	started []*process
	linger  time.Duration // of the processes to come; negative: they do not listen
	answers bool          // the process answers when its counters are read
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

// expect checks the instance once all goroutines wait.
func (s *supervised) expect(what string, state agent.State, restarts, processes int) {
	s.t.Helper()
	synctest.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	if status := s.Statuses()[0]; status.State != state || status.Restarts != restarts || len(s.started) != processes {
		s.t.Errorf("%s: %+v with %d processes", what, status, len(s.started))
	}
}

func TestAgentKeepsInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSupervised(t)
		ctx, cancel := context.WithCancel(context.Background())
		over := make(chan bool)
		go func() { s.Run(ctx); close(over) }()
		s.expect("started", agent.Up, 0, 1)
		if err := s.Reload("n0"); err != nil || s.started[0].reloads.Load() != 1 {
			t.Errorf("a reload of one that is up: %v, %d reloads", err, s.started[0].reloads.Load())
		}
		s.setAnswers(false)
		time.Sleep(1100 * time.Millisecond)
		s.expect("silent", agent.Starting, 0, 1)
		s.setAnswers(true)
		s.started[0].end <- errors.New("exit status 2")
		s.expect("crashed", agent.Waiting, 1, 1)
		if s.Reload("n0") == nil || s.Reload("n9") == nil {
			t.Error("a reload went to a process that is not there")
		}
		if status := s.Statuses()[0]; status.LastEnd != "exit status 2" || status.PID != 0 {
			t.Errorf("after its crash: %+v", status)
		}
		time.Sleep(limits.RestartBackoff)
		s.expect("again", agent.Up, 1, 2)
		if err := s.Drain("n0"); err != nil {
			t.Error(err)
		}
		s.expect("told to leave", agent.Draining, 1, 2)
		time.Sleep(time.Minute)
		s.expect("left", agent.Drained, 1, 2)
		s.setLinger(-1) // the next one does not listen
		if err := s.StartInstance("n0"); err != nil || s.Drain("n9") == nil {
			t.Error("an instance that is there is not found, or one that is not is")
		}
		s.expect("back", agent.Up, 1, 3)
		cancel()
		s.expect("leaving", agent.Draining, 1, 3)
		<-over
		if !s.started[2].killed.Load() {
			t.Error("an instance that does not leave was not killed")
		}
		s.expect("over", agent.Drained, 1, 3)
	})
}

// running is an agent whose instances answer, and that is asked over real loopback sockets.
func running(t *testing.T, names ...string) (*agent.Agent, *config.Agent) {
	conf := agentConfig(names...)
	a := agent.New(conf)
	looked := make(chan bool, 100)
	a.StartProcess = func(config.Instance) (agent.Process, error) { return &process{end: make(chan error, 1)}, nil }
	a.FetchCounters = func(context.Context, string) ([]dispatch.Count, error) { looked <- true; return allCounters(), nil }
	ctx, cancel := context.WithCancel(context.Background())
	over := make(chan bool)
	go func() { a.Run(ctx); close(over) }()
	t.Cleanup(func() { cancel(); <-over })
	for range 2 * len(names) { // the second look begins once the first has been noted
		<-looked
	}
	return a, conf
}

func TestCommandLine(t *testing.T) {
	a, _ := running(t, "n0", "n1")
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- a.Serve(ctx, l) }()
	say := func(command string, names ...string) (string, error) {
		var out bytes.Buffer
		err := agent.Command(ctx, &out, l.Addr().String(), command, names)
		return out.String(), err
	}
	if s, err := say("status"); err != nil || !strings.Contains(s, "n0") || !strings.Contains(s, "n1") || !strings.Contains(s, "up") {
		t.Errorf("status: %v\n%s", err, s)
	}
	if s, err := say("counters", "n1"); err != nil || strings.Contains(s, "n0") || !regexp.MustCompile(`taken +100\n`).MatchString(s) {
		t.Errorf("counters: %v\n%s", err, s)
	}
	if _, err := say("drain", "n1"); err != nil {
		t.Error(err)
	}
	for _, wrong := range [][]string{{"drain", "n9"}, {"drain"}, {"status", "n9"}} {
		if _, err := say(wrong[0], wrong[1:]...); err == nil {
			t.Errorf("%v is no error", wrong)
		}
	}
	cancel()
	if err := <-done; err != nil {
		t.Error(err)
	}
}
