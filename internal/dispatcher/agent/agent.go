// Package agent supervises the dispatchers that run on one machine, and serves their status over HTTP.
//
// Agent owns the processes of the instances: it starts, monitors, drains and restarts them, and polls their counters.
// Agent.Serve is an HTTP server for loopback; Command, Query and InstanceNames are its clients for the command line. A
// request for states and counters returns the values of the last poll and never waits for an instance. Jobs do not pass
// through the agent.
//
// Each instance has a goroutine, Agent.supervise, and only it starts and ends the instance's process. Agent.mu guards
// the state that this goroutine shares with requests.
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

// State is the state of an instance. The values are those of the MIB.
type State int

// States of an instance.
const (
	Starting State = iota + 1 // the process runs but does not answer
	Up                        // the process runs and answers
	Draining                  // the process was asked to terminate and finishes its open jobs
	Drained                   // there is no process until the instance is started
	Waiting                   // the process ended unexpectedly and will be restarted
)

// String returns the state's name.
func (s State) String() string {
	return [...]string{"", "starting", "up", "draining", "drained", "waiting"}[s]
}

// Status is what the agent knows about an instance.
type Status struct {
	Name     string           `json:"name"`
	Listen   string           `json:"listen"`
	State    State            `json:"state"`
	PID      int              `json:"pid"` // 0 if there is no process
	Restarts int              `json:"restarts"`
	Since    time.Time        `json:"since"`    // start of the process; zero if there is none
	LastEnd  string           `json:"last"`     // why the last process ended
	Counters []dispatch.Count `json:"counters"` // of the last poll; nil until the process has answered
}

// Agent supervises instances. New sets the exported fields; tests may replace them before Run.
type Agent struct {
	// StartProcess starts the process of an instance.
	StartProcess func(config.Instance) (Process, error)
	// FetchCounters fetches the counters of the instance that listens at an address.
	FetchCounters func(ctx context.Context, listen string) ([]dispatch.Count, error)

	config    *config.Agent
	limits    config.AgentLimits
	started   time.Time
	instances []*instance // in the order of the configuration

	mu sync.Mutex // guards the changing fields of the instances
}

// instance is one dispatcher that the agent keeps running.
type instance struct {
	config config.Instance
	wake   chan struct{} // receives a value when wanted has been set

	// Guarded by Agent.mu.
	status  Status
	process Process // nil if there is no process
	wanted  bool    // the instance should run
}

// New returns an agent for the instances of a configuration.
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

// Run supervises the instances until ctx ends. It then stops them and returns once all processes have ended.
func (a *Agent) Run(ctx context.Context) {
	var running sync.WaitGroup
	for _, in := range a.instances {
		running.Go(func() { a.supervise(ctx, in) })
	}
	running.Wait()
}

// Uptime returns the time since New.
func (a *Agent) Uptime() time.Duration { return time.Since(a.started) }

// Statuses returns a copy of the current status of each instance, in the order of the configuration.
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

// Drain stops an instance, which then stays stopped until StartInstance.
func (a *Agent) Drain(name string) error { return a.setWanted(name, false) }

// StartInstance starts an instance that was drained.
func (a *Agent) StartInstance(name string) error { return a.setWanted(name, true) }

// setWanted sets whether an instance should run, and wakes its goroutine.
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

// Reload asks an instance to reload its configuration. It returns an error if the process has not answered yet: the
// process may not handle the signal yet, and the signal would then terminate it.
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

// find returns the instance with a name.
func (a *Agent) find(name string) (*instance, error) {
	for _, in := range a.instances {
		if in.config.Name == name {
			return in, nil
		}
	}
	return nil, fmt.Errorf("there is no instance %q", name)
}
