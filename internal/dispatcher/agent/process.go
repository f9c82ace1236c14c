package agent

import (
	"os"
	"os/exec"
	"syscall"

	"gladepick/internal/dispatcher/config"
)

// Process is the process of a running instance.
type Process interface {
	PID() int
	Terminate() error // asks it to finish its open jobs and exit
	Reload() error    // asks it to reload its configuration
	Kill() error
	Wait() error // waits until it has ended; called once
}

// child is a Process that is a child of the agent.
type child struct{ *exec.Cmd }

// PID returns the process id.
func (c child) PID() int { return c.Process.Pid }

// Terminate sends SIGTERM.
func (c child) Terminate() error { return c.Process.Signal(syscall.SIGTERM) }

// Reload sends SIGHUP.
func (c child) Reload() error { return c.Process.Signal(syscall.SIGHUP) }

// Kill sends SIGKILL.
func (c child) Kill() error { return c.Process.Kill() }

// startChild starts an instance as a child process. It runs the configured program, or the agent's own executable if
// none is configured, with the instance's settings in the environment.
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
	// A process group of its own keeps signals from the agent's terminal (such as Ctrl-C) away from the instance, which
	// must receive signals only from the agent. Pdeathsig stops the instance if the agent is killed.
	c.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGTERM}
	return child{c}, c.Start()
}
