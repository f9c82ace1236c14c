package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/gravitational/trace"
)

// Roles of machines, as in deploy/system.toml.
const (
	roleFront = "front"
	roleStore = "store"
)

// terminationGrace is how long a process has to end after SIGTERM; see grace-s in the settings.
const terminationGrace = 7 * time.Second

// machineNames returns the names of the machines of a role.
func machineNames(role string, count int) []string {
	names := make([]string, count)
	for i := range names {
		names[i] = fmt.Sprintf("%s-%d", role, i+1)
	}
	return names
}

// machine is one process and its disk. mutex guards the fields below it.
type machine struct {
	deployment *deployment
	name       string
	role       string
	zone       string
	ip         string

	mutex    sync.Mutex
	started  int // how often the process was started
	process  *exec.Cmd
	exited   chan struct{} // closed when the process has ended
	expected bool          // the process has been told to end
}

func (m *machine) address(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }
func (m *machine) folder() string          { return filepath.Join(m.deployment.folder, m.name) }
func (m *machine) disk() string            { return filepath.Join(m.folder(), "data") }

// start starts the process with the command of deploy/system.toml. Only the first start is a bootstrap.
func (m *machine) start() error {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if err := os.MkdirAll(m.disk(), 0o755); err != nil {
		return trace.Wrap(err)
	}
	settings, err := m.writeSettings(m.started == 0)
	if err != nil {
		return trace.Wrap(err)
	}
	logFile, err := os.OpenFile(filepath.Join(m.folder(), "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return trace.Wrap(err)
	}
	process := exec.Command(m.deployment.program, m.role)
	process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "GLADEPICK_SETTINGS=" + settings}
	process.Stdout, process.Stderr = logFile, logFile
	if err := process.Start(); err != nil {
		_ = logFile.Close()
		return trace.Wrap(err)
	}
	m.started++
	m.expected = false
	exited := make(chan struct{})
	m.process, m.exited = process, exited
	go func() {
		err := process.Wait()
		_ = logFile.Close()
		m.recordExit(process, err)
		close(exited)
	}()
	return nil
}

// recordExit records the end of a process that nobody has asked for.
func (m *machine) recordExit(process *exec.Cmd, err error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.process != process || m.expected {
		return
	}
	reason := "exit code 0"
	if err != nil {
		reason = err.Error()
	}
	recorder := m.deployment.recorder
	at := recorder.now()
	recorder.write(func(history *History) {
		history.Exits = append(history.Exits, Exit{Machine: m.name, At: at, Reason: reason})
	})
}

// signal sends a signal to the process. ends tells that the process is to end by it.
func (m *machine) signal(signal syscall.Signal, ends bool) chan struct{} {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.process == nil {
		return nil
	}
	m.expected = m.expected || ends
	_ = m.process.Process.Signal(signal) // fails if the process has ended
	return m.exited
}

// kill ends the process with SIGKILL and waits for its end.
func (m *machine) kill() {
	if exited := m.signal(syscall.SIGKILL, true); exited != nil {
		<-exited
	}
}

// terminate ends the process with SIGTERM, and kills it if it takes longer than terminationGrace.
func (m *machine) terminate() {
	exited := m.signal(syscall.SIGTERM, true)
	if exited == nil {
		return
	}
	select {
	case <-exited:
	case <-time.After(terminationGrace):
		m.kill()
	}
}

// loseDisk removes everything on the machine's disk. The process must not run.
func (m *machine) loseDisk() error { return trace.Wrap(os.RemoveAll(m.disk())) }
