package agent

import (
	"os"
	"os/exec"
	"syscall"

	"gladepick/internal/dispatcher/config"
)

// Process is a running instance.
type Process interface {
	PID() int
	Terminate() error // tells it to leave
	Reload() error    // tells it to read its configuration again
	Kill() error
	Wait() error // for its end, once
}

// child is an instance's process.
type child struct{ *exec.Cmd }

// PID returns the process's number.
func (c child) PID() int { return c.Process.Pid }

// Terminate sends SIGTERM.
func (c child) Terminate() error { return c.Process.Signal(syscall.SIGTERM) }

// Reload sends SIGHUP.
func (c child) Reload() error { return c.Process.Signal(syscall.SIGHUP) }

// Kill sends SIGKILL.
func (c child) Kill() error { return c.Process.Kill() }

// startChild starts an instance as a process of the agent's program.
func (a *Agent) startChild(in config.Instance) (Process, error) {
	program := a.config.Program
	if program == "" {
		var err error
		if program, err = os.Executable(); err != nil {
			return nil, err
		}
	}
	c := exec.Command(program)
	c.Env = append(os.Environ(),
		"NODE_NAME="+in.Name,
		"NODE_LISTEN="+in.Listen,
		"NODE_DISCOVERY="+in.Discovery,
		"NODE_CONFIG="+in.Config,
		"NODE_AMQP="+in.AMQP,
		"NODE_CAPTURE="+in.Capture,
		"NODE_MEMBERS="+in.Members,
		"NODE_PROMISES="+in.Promises,
	)
	c.Stdout, c.Stderr = os.Stdout, os.Stderr
	// A group of its own: what is typed at the agent's terminal reaches the instances through the agent only. And none
	// outlives an agent that was killed.
	c.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGTERM}
	return child{c}, c.Start()
}
