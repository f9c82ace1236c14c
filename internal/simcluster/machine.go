package simcluster

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"gladepick/internal/systemnode"
	"gladepick/internal/vfs/memfs"
)

const (
	internalPort = 7240
	frontPort    = 8044
	readyPort    = 8045
	controlPort  = 8046

	classFront = "front"
	classStore = "store"

	terminationGrace        = 6 * time.Second // between SIGTERM and SIGKILL
	restartDelay            = time.Second     // between an unexpected exit and the restart of the process
	endedProcessDialTimeout = time.Second     // after which a connection attempt of an ended process fails
)

// FaultKind is a kind of fault that is injected into a machine.
type FaultKind string

// Kinds of faults. As an argument of endFaults, allFaults selects every kind.
const (
	allFaults        FaultKind = ""
	faultKill        FaultKind = "kill"
	faultPowerLoss   FaultKind = "power loss"
	faultDiskLoss    FaultKind = "wiped disk"
	faultTermination FaultKind = "SIGTERM"
	faultDisk        FaultKind = "disk"
	faultNetwork     FaultKind = "network"
	faultStart       FaultKind = "start"
	faultReplacement FaultKind = "replacement"
	faultRemoval     FaultKind = "removal"
)

// Machine is a simulated machine. It runs at most one process at a time.
type Machine struct {
	Name string
	Zone string

	cluster   *Cluster
	class     string
	ip        string
	disk      *memfs.Disk // nil if the machine has no disk
	bootstrap bool        // whether its next start bootstraps the system

	removed atomic.Bool // set by Remove; the machine never starts again
	mutex   sync.Mutex
	current *process
}

// process is one run of a machine's program.
type process struct {
	network       *processNetwork
	cancel        context.CancelFunc
	ended         chan struct{}
	stopRequested atomic.Bool // the end of the process is then not an UnexpectedExit
}

// program is a front or a store of internal/systemnode.
type program interface {
	Run(ctx context.Context) error
}

// Start starts the machine's process, and powers the machine on if it has lost power. It does nothing if a process is
// running.
func (m *Machine) Start() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.current != nil {
		return
	}
	m.cluster.network.PowerOn(m.ip)
	m.cluster.recorder.endFaults(m.Name, allFaults)
	m.cluster.recorder.addStart(m.Name)
	if !m.bootstrap {
		m.cluster.recorder.beginFault(m.Name, faultStart, false)
		m.cluster.recorder.endFaults(m.Name, faultStart)
	}
	ctx, cancel := context.WithCancel(context.Background())
	started := &process{
		network: &processNetwork{Network: m.cluster.network.Host(m.ip)},
		cancel:  cancel,
		ended:   make(chan struct{}),
	}
	options := systemnode.Options{
		Settings: m.settings(),
		Network:  started.network,
		Logger:   m.cluster.logger.With(zap.String("node", m.Name)),
		Seed:     m.cluster.random.uint64(),
	}
	if m.disk != nil {
		options.FS = m.disk.Mount()
	}
	m.bootstrap = false
	m.current = started
	m.cluster.processes.Go(func() { m.run(ctx, started, options) })
}

// run runs a process until it ends. If nothing has asked the process to stop, run records an UnexpectedExit and starts
// the machine again after restartDelay.
func (m *Machine) run(ctx context.Context, started *process, options systemnode.Options) {
	err := m.runProgram(ctx, options)
	close(started.ended)
	if started.stopRequested.Load() {
		return
	}
	m.cluster.recorder.write(func(history *History) {
		exit := UnexpectedExit{Machine: m.Name, At: m.cluster.recorder.now(), Reason: fmt.Sprint(err)}
		history.UnexpectedExits = append(history.UnexpectedExits, exit)
	})
	m.detach(started)
	time.Sleep(restartDelay)
	if !m.cluster.closing.Load() {
		m.Start()
	}
}

func (m *Machine) runProgram(ctx context.Context, options systemnode.Options) error {
	var node program
	var err error
	if m.class == classStore {
		node, err = systemnode.NewStore(options)
	} else {
		node, err = systemnode.NewFront(options)
	}
	if err != nil {
		return err
	}
	return node.Run(ctx)
}

// detach ends a process and releases its machine. Goroutines of the process that are still running reach neither the
// network nor the disk.
func (m *Machine) detach(stopped *process) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.current != stopped {
		return
	}
	stopped.stopRequested.Store(true)
	stopped.network.ended.Store(true)
	m.cluster.network.Kill(m.ip)
	if m.disk != nil {
		m.disk.Crash()
	}
	stopped.cancel()
	m.current = nil
}

func (m *Machine) process() *process {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.current
}

// Running reports whether the machine has a process.
func (m *Machine) Running() bool { return m.process() != nil }

// Kill ends the process at once, like SIGKILL. The disk keeps everything that was written, synced or not.
func (m *Machine) Kill() {
	m.cluster.recorder.beginFault(m.Name, faultKill, false)
	if running := m.process(); running != nil {
		m.detach(running)
	}
}

// LosePower powers the machine off at once. The disk may lose all, some or none of the writes that were not synced.
func (m *Machine) LosePower() {
	m.cluster.recorder.beginFault(m.Name, faultPowerLoss, false)
	if m.disk != nil {
		m.disk.PowerLoss()
	}
	m.cluster.network.PowerOff(m.ip)
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.current == nil {
		return
	}
	m.current.stopRequested.Store(true)
	m.current.network.ended.Store(true)
	m.current.cancel()
	m.current = nil
}

// LoseDisk powers the machine off at once and wipes its disk.
func (m *Machine) LoseDisk() {
	m.LosePower()
	m.cluster.recorder.beginFault(m.Name, faultDiskLoss, false)
	if m.disk != nil {
		m.disk.Wipe()
	}
}

// Terminate sends SIGTERM and waits until the process has ended. It kills the process after terminationGrace.
func (m *Machine) Terminate() {
	m.cluster.recorder.beginFault(m.Name, faultTermination, true)
	running := m.process()
	if running == nil {
		return
	}
	running.stopRequested.Store(true)
	running.cancel()
	select {
	case <-running.ended:
	case <-time.After(terminationGrace):
		m.cluster.t.Logf("%v: killing %s, which did not end within the grace period", m.cluster.recorder.now(), m.Name)
	}
	m.detach(running)
}

// StallDisk sets whether the disk's writes and syncs hang.
func (m *Machine) StallDisk(stalled bool) {
	m.recordDiskFault(stalled)
	m.disk.SetStalled(stalled)
}

// FillDisk sets whether the disk is full.
func (m *Machine) FillDisk(full bool) {
	m.recordDiskFault(full)
	m.disk.SetFull(full)
}

func (m *Machine) recordDiskFault(fault bool) {
	if fault {
		m.cluster.recorder.beginFault(m.Name, faultDisk, false)
		return
	}
	m.cluster.recorder.endFaults(m.Name, faultDisk)
}

func (m *Machine) address(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }
