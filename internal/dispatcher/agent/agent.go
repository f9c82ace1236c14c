// Package agent keeps many dispatchers running and tells about them. It owns
// their processes: it starts, watches, drains and restarts them, looks at
// their counters now and then, and answers questions on loopback. It must
// never take or decide a job, and a question never waits for an instance.
package agent

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/url"
	"os"
	"os/exec"
	"runtime"
	"slices"
	"strings"
	"sync"
	"syscall"
	"text/tabwriter"
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
	Draining                  // told to leave; it answers what it has
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
	PID      int              `json:"pid"`
	Restarts int              `json:"restarts"`
	Since    time.Time        `json:"since"` // when its process started; zero without one
	LastEnd  string           `json:"last"`  // why its last process ended
	Counters []dispatch.Count `json:"counters"`
}

// Process is a running instance.
type Process interface {
	PID() int
	Terminate() error
	Reload() error
	Kill() error
	Wait() error
}

// Agent supervises instances. Start and Look are set by New; tests put their own in their place.
type Agent struct {
	StartProcess  func(config.Instance) (Process, error)
	FetchCounters func(ctx context.Context, listen string) ([]dispatch.Count, error)

	conf  *config.Agent
	lim   config.AgentLimits
	birth time.Time
	mu    sync.Mutex
	all   []*instance
	done  sync.WaitGroup
}

type instance struct {
	config.Instance
	Status
	process Process
	wanted  bool
	wake    chan struct{} // something was asked of it
}

// New makes an agent for an operator's file.
func New(conf *config.Agent) *Agent {
	a := &Agent{conf: conf, lim: conf.Limits, birth: time.Now()}
	a.StartProcess = a.spawn
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	a.FetchCounters = func(ctx context.Context, listen string) (out []dispatch.Count, err error) {
		return out, ask(ctx, client, a.lim.ReplyBytes, http.MethodGet, "http://"+listen+"/counters", &out)
	}
	for _, in := range conf.Instances {
		a.all = append(a.all, &instance{Instance: in, wanted: true, wake: make(chan struct{}, 1),
			Status: Status{Name: in.Name, Listen: in.Listen, State: Waiting}})
	}
	return a
}

// Run keeps the instances running until ctx ends, and then until each has left.
func (a *Agent) Run(ctx context.Context) {
	for _, in := range a.all {
		a.done.Add(1)
		go func() {
			defer a.done.Done()
			a.keep(ctx, in)
		}()
	}
	a.done.Wait()
}

// Uptime is how long the agent has run.
func (a *Agent) Uptime() time.Duration { return time.Since(a.birth) }

// Statuses are copies, in the file's order.
func (a *Agent) Statuses() []Status {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := make([]Status, len(a.all))
	for i, in := range a.all {
		out[i] = in.Status
		out[i].Counters = slices.Clone(in.Status.Counters)
	}
	return out
}

// Drain tells an instance to leave and to stay away; Wanted brings it back.
func (a *Agent) Drain(name string) error { return a.want(name, false) }

// Wanted starts an instance that was drained.
func (a *Agent) StartInstance(name string) error { return a.want(name, true) }

// Reload passes a reload on to an instance. One that does not answer yet may not listen for the signal, which would
// end it.
func (a *Agent) Reload(name string) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, in := range a.all {
		switch {
		case in.Status.Name != name:
		case in.process == nil || in.Status.Counters == nil: // it has not answered yet
			return fmt.Errorf("instance %q is %v: it reads its configuration when it starts", name, in.State)
		default:
			return in.process.Reload()
		}
	}
	return fmt.Errorf("there is no instance %q", name)
}

func (a *Agent) want(name string, on bool) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, in := range a.all {
		if in.Status.Name == name {
			in.wanted = on
			select {
			case in.wake <- struct{}{}:
			default:
			}
			return nil
		}
	}
	return fmt.Errorf("there is no instance %q", name)
}

// keep is the life of one instance.
func (a *Agent) keep(ctx context.Context, in *instance) {
	// The kernel ends a child when the thread that started it ends, not the process: the thread stays as long as this.
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	pause := a.lim.RestartBackoff
	for ctx.Err() == nil {
		a.mu.Lock()
		wanted := in.wanted
		if !wanted {
			in.State = Drained
		}
		a.mu.Unlock()
		if !wanted {
			select {
			case <-ctx.Done():
			case <-in.wake:
			}
			continue
		}
		began := time.Now()
		p, err := a.StartProcess(in.Instance)
		if err == nil {
			a.set(in, func() {
				in.process, in.State, in.PID, in.Since, in.Status.Counters = p, Starting, p.PID(), began, nil
			})
			err = a.attend(ctx, in, p)
		}
		a.set(in, func() {
			in.process, in.PID, in.Since, in.State, in.LastEnd = nil, 0, time.Time{}, Waiting, "exited"
			if err != nil {
				in.LastEnd = err.Error()
			}
			if wanted = in.wanted; wanted && ctx.Err() == nil {
				in.Restarts++
			}
		})
		if !wanted || ctx.Err() != nil {
			continue
		}
		log.Printf("instance %s ended (%v); it starts again", in.Status.Name, err)
		if time.Since(began) > a.lim.StableAfter {
			pause = a.lim.RestartBackoff
		}
		select {
		case <-ctx.Done():
		case <-in.wake:
		case <-time.After(pause):
		}
		pause = min(2*pause, a.lim.RestartBackoffMax)
	}
	a.set(in, func() { in.State = Drained })
}

func (a *Agent) set(in *instance, f func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	f()
}

// attend watches a process to its end and looks at its counters meanwhile.
func (a *Agent) attend(ctx context.Context, in *instance, p Process) error {
	ended := make(chan error, 1)
	go func() { ended <- p.Wait() }()
	looks := time.NewTicker(a.lim.PollInterval)
	defer looks.Stop()
	leave := ctx.Done()
	var late <-chan time.Time
	tell := func() {
		a.set(in, func() { in.State = Draining })
		if err := p.Terminate(); err != nil && !errors.Is(err, os.ErrProcessDone) {
			log.Printf("instance %s: %v", in.Status.Name, err)
		}
		late = time.After(a.lim.StopTimeout)
	}
	a.look(ctx, in)
	for {
		select {
		case err := <-ended:
			return err
		case <-leave:
			leave = nil
			if late == nil {
				tell()
			}
		case <-in.wake:
			a.mu.Lock()
			wanted := in.wanted
			a.mu.Unlock()
			if !wanted && late == nil {
				tell()
			}
		case <-late: // it has had the time that its clients give it
			log.Printf("instance %s has not left in %v and is killed", in.Status.Name, a.lim.StopTimeout)
			p.Kill()
		case <-looks.C:
			a.look(ctx, in)
		}
	}
}

func (a *Agent) look(ctx context.Context, in *instance) {
	ctx, cancel := context.WithTimeout(ctx, a.lim.RequestTimeout)
	defer cancel()
	counts, err := a.FetchCounters(ctx, in.Instance.Listen)
	a.set(in, func() {
		if err == nil {
			in.Status.Counters = counts
		}
		switch {
		case in.State == Draining:
		case err == nil:
			in.State = Up
		default:
			in.State = Starting
		}
	})
}

// child is an instance's process.
type child struct{ *exec.Cmd }

func (c child) PID() int         { return c.Process.Pid }
func (c child) Terminate() error { return c.Process.Signal(syscall.SIGTERM) }
func (c child) Reload() error    { return c.Process.Signal(syscall.SIGHUP) }
func (c child) Kill() error      { return c.Process.Kill() }

func (a *Agent) spawn(in config.Instance) (Process, error) {
	program := a.conf.Program
	if program == "" {
		var err error
		if program, err = os.Executable(); err != nil {
			return nil, err
		}
	}
	c := exec.Command(program)
	c.Env = append(os.Environ(), "NODE_NAME="+in.Name, "NODE_LISTEN="+in.Listen, "NODE_DISCOVERY="+in.Discovery,
		"NODE_CONFIG="+in.Config, "NODE_AMQP="+in.AMQP, "NODE_CAPTURE="+in.Capture, "NODE_MEMBERS="+in.Members, "NODE_PROMISES="+in.Promises)
	c.Stdout, c.Stderr = os.Stdout, os.Stderr
	// A group of its own: what is typed at the agent's terminal reaches the instances through the agent only. And
	// none outlives an agent that was killed.
	c.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGTERM}
	return child{c}, c.Start()
}

// Serve answers questions on a loopback listener until ctx ends.
func (a *Agent) Serve(ctx context.Context, l net.Listener) error {
	srv := &http.Server{Handler: a.handler(), ReadTimeout: a.lim.RequestTimeout, WriteTimeout: a.lim.RequestTimeout}
	stop := context.AfterFunc(ctx, func() { srv.Close() })
	defer stop()
	if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func (a *Agent) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(a.Statuses())
	})
	for _, path := range []string{"/members", "/leases"} { // as the instance words it
		mux.HandleFunc("GET "+path, func(w http.ResponseWriter, r *http.Request) {
			listen, err := a.listens(r.FormValue("instance"))
			var answer json.RawMessage
			if err == nil {
				err = ask(r.Context(), caller(), a.lim.ReplyBytes, http.MethodGet, "http://"+listen+path+"?key="+url.QueryEscape(r.FormValue("key")), &answer)
			}
			if err != nil {
				http.Error(w, err.Error(), http.StatusBadGateway)
				return
			}
			w.Header().Set("Content-Type", "application/json")
			w.Write(answer)
		})
	}
	act := func(do func(string) error) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			r.Body = http.MaxBytesReader(w, r.Body, a.lim.RequestBytes)
			if err := do(r.FormValue("instance")); err != nil {
				http.Error(w, err.Error(), http.StatusNotFound)
				return
			}
			io.WriteString(w, "{}\n")
		}
	}
	mux.HandleFunc("POST /drain", act(a.Drain))
	mux.HandleFunc("POST /start", act(a.StartInstance))
	mux.HandleFunc("POST /reload", act(a.Reload))
	return mux
}

// listens is where an instance takes questions.
func (a *Agent) listens(name string) (string, error) {
	for _, in := range a.all {
		if in.Instance.Name == name {
			return in.Instance.Listen, nil
		}
	}
	return "", fmt.Errorf("there is no instance %q", name)
}

// Told asks for what an instance tells of itself at a path: through the agent at an address, or straight from the
// dispatcher that listens there, where no name is given.
func Query(ctx context.Context, address, path, name, key string) (answer json.RawMessage, err error) {
	question := url.Values{}
	if name != "" {
		question.Set("instance", name)
	}
	if key != "" {
		question.Set("key", key)
	}
	return answer, ask(ctx, caller(), 1<<24, http.MethodGet, "http://"+address+path+"?"+question.Encode(), &answer)
}

// ask makes one call and decodes its JSON answer.
func ask(ctx context.Context, client *http.Client, most int, method, where string, into any) error {
	req, err := http.NewRequestWithContext(ctx, method, where, nil)
	if err != nil {
		return err
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, int64(most)))
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return errors.New(strings.TrimSpace(string(body)))
	}
	return json.Unmarshal(body, into)
}

// Names are the instances of the agent at an address.
func InstanceNames(ctx context.Context, address string) (names []string, err error) {
	all, err := statuses(ctx, caller(), address)
	for _, s := range all {
		names = append(names, s.Name)
	}
	return names, err
}

// caller calls an agent once.
func caller() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}
}

// statuses are all instances of the agent at an address.
func statuses(ctx context.Context, client *http.Client, address string) (all []Status, err error) {
	return all, ask(ctx, client, 1<<24, http.MethodGet, "http://"+address+"/status", &all)
}

// Command asks the agent at an address on behalf of the command line: status, counters, drain, start or reload.
func Command(ctx context.Context, out io.Writer, address, command string, names []string) error {
	client := caller()
	if command == "drain" || command == "start" || command == "reload" {
		if len(names) == 0 {
			return fmt.Errorf("%s needs the names of instances", command)
		}
		for _, name := range names {
			var none struct{}
			if err := ask(ctx, client, 1<<16, http.MethodPost, "http://"+address+"/"+command+"?instance="+name, &none); err != nil {
				return fmt.Errorf("%s %s: %w", command, name, err)
			}
			fmt.Fprintf(out, "%s: %s\n", name, command)
		}
		return nil
	}
	all, err := statuses(ctx, client, address)
	if err != nil {
		return fmt.Errorf("the agent at %s: %w", address, err)
	}
	for _, name := range names {
		if !slices.ContainsFunc(all, func(s Status) bool { return s.Name == name }) {
			return fmt.Errorf("there is no instance %q", name)
		}
	}
	all = slices.DeleteFunc(all, func(s Status) bool { return len(names) > 0 && !slices.Contains(names, s.Name) })
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	if command == "counters" {
		fmt.Fprint(w, "COUNTER")
		for _, s := range all {
			fmt.Fprintf(w, "\t%s", s.Name)
		}
		fmt.Fprintln(w)
		for _, name := range dispatch.CounterNames {
			fmt.Fprint(w, name)
			for _, s := range all {
				fmt.Fprintf(w, "\t%s", CounterText(s, name))
			}
			fmt.Fprintln(w)
		}
		return w.Flush()
	}
	fmt.Fprintln(w, "INSTANCE\tSTATE\tPID\tRESTARTS\tLISTEN\tOPEN\tREADY\tLAST END")
	for _, s := range all {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%s\t%s\t%s\t%s\n", s.Name, s.State, s.PID, s.Restarts, s.Listen,
			CounterText(s, "open"), CounterText(s, "workers_ready"), s.LastEnd)
	}
	return w.Flush()
}

// Figure is a counter's value as text, a dash where it is not known.
func CounterText(s Status, name string) string {
	for _, c := range s.Counters {
		if c.Name == name {
			return fmt.Sprint(c.Value)
		}
	}
	return "-"
}
