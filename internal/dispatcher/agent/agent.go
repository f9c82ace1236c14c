// Package agent keeps many dispatchers running on one machine, and answers
// questions about them.
//
// Agent owns the instances' processes: it starts, watches, drains and restarts
// them, and reads their counters at intervals. Server answers over HTTP on
// loopback; the functions for the command line are its client. A question about
// states and counters is answered with what was read last and never waits for an
// instance. Jobs pass by the agent.
//
// Each instance has a goroutine of its own, Agent.supervise, which alone starts
// and ends its process. What it shares with questions is under Agent.mu.
//
// Start reading at Agent.Run.
package agent

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"gladepick/internal/dispatcher/config"
	"gladepick/internal/dispatcher/dispatch"
)

// State is what an instance does. The numbers are the MIB's.
type State int

// The states.
const (
	Starting State = iota + 1 // its process runs and does not answer yet
	Up                        // it answers
	Draining                  // it was told to leave, and answers what it has
	Drained                   // it has left and stays away until it is started
	Waiting                   // its process ended by itself; a restart is due
)

// String returns the state's name.
func (s State) String() string {
	return [...]string{"", "starting", "up", "draining", "drained", "waiting"}[s]
}

// Status is what the agent knows of an instance.
type Status struct {
	Name     string           `json:"name"`
	Listen   string           `json:"listen"`
	State    State            `json:"state"`
	PID      int              `json:"pid"` // 0 without a process
	Restarts int              `json:"restarts"`
	Since    time.Time        `json:"since"`    // when its process started; zero without one
	LastEnd  string           `json:"last"`     // why its last process ended
	Counters []dispatch.Count `json:"counters"` // nil until its process has answered
}

// Agent supervises instances. Its exported fields are set by New; tests put their own functions in their place, before Run.
type Agent struct {
	// StartProcess starts an instance's process.
	StartProcess func(config.Instance) (Process, error)
	// FetchCounters reads the counters of the instance that listens at an address.
	FetchCounters func(ctx context.Context, listen string) ([]dispatch.Count, error)

	config    *config.Agent
	limits    config.AgentLimits
	started   time.Time
	instances []*instance // in the file's order

	mu sync.Mutex // guards what of the instances changes
}

// instance is one dispatcher that the agent keeps running.
type instance struct {
	config config.Instance
	wake   chan struct{} // a question has changed what is wanted

	// Under Agent.mu.
	status  Status
	process Process // nil without one
	wanted  bool    // it is to run
}

// New makes an agent for an operator's file.
func New(conf *config.Agent) *Agent {
	a := &Agent{config: conf, limits: conf.Limits, started: time.Now()}
	a.StartProcess = a.startChild
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	a.FetchCounters = func(ctx context.Context, listen string) (counts []dispatch.Count, err error) {
		return counts, fetchJSON(ctx, client, a.limits.ReplyBytes, http.MethodGet, "http://"+listen+"/counters", &counts)
	}
	for _, in := range conf.Instances {
		a.instances = append(a.instances, &instance{
			config: in,
			wake:   make(chan struct{}, 1),
			status: Status{Name: in.Name, Listen: in.Listen, State: Waiting},
			wanted: true,
		})
	}
	return a
}

// Run keeps the instances running until ctx ends, and then until each has left.
func (a *Agent) Run(ctx context.Context) {
	var running sync.WaitGroup
	for _, in := range a.instances {
		running.Go(func() { a.supervise(ctx, in) })
	}
	running.Wait()
}

// Uptime returns how long ago the agent was made.
func (a *Agent) Uptime() time.Duration { return time.Since(a.started) }

// Statuses returns what is known of the instances now, in the file's order. The caller may keep and change it.
func (a *Agent) Statuses() []Status {
	a.mu.Lock()
	defer a.mu.Unlock()
	statuses := make([]Status, len(a.instances))
	for i, in := range a.instances {
		statuses[i] = in.status
		statuses[i].Counters = slices.Clone(in.status.Counters)
	}
	return statuses
}

// Drain tells an instance to leave and to stay away; StartInstance brings it back.
func (a *Agent) Drain(name string) error { return a.setWanted(name, false) }

// StartInstance starts an instance that was drained.
func (a *Agent) StartInstance(name string) error { return a.setWanted(name, true) }

func (a *Agent) setWanted(name string, wanted bool) error {
	in, err := a.find(name)
	if err != nil {
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	in.wanted = wanted
	select {
	case in.wake <- struct{}{}:
	default:
	}
	return nil
}

// Reload passes a reload on to an instance. One that has not answered yet may not listen for the signal, which would end
// it.
func (a *Agent) Reload(name string) error {
	in, err := a.find(name)
	if err != nil {
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if in.process == nil || in.status.Counters == nil {
		return fmt.Errorf("instance %q is %v: it reads its configuration when it starts", name, in.status.State)
	}
	return in.process.Reload()
}

// find returns an instance by its name.
func (a *Agent) find(name string) (*instance, error) {
	for _, in := range a.instances {
		if in.config.Name == name {
			return in, nil
		}
	}
	return nil, fmt.Errorf("there is no instance %q", name)
}
