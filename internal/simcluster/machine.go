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

	grace        = 6 * time.Second // between SIGTERM and SIGKILL
	restartPause = time.Second     // after a process has ended by itself
	deadDialTime = time.Second     // until a connection attempt of an ended process fails
)

// FaultKind is what was done to a machine.
type FaultKind string

// Kinds of faults. allFaults stands for every kind where faults end.
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

// Machine is a simulated machine, which runs one process at a time.
type Machine struct {
	Name string
	Zone string

	cluster   *Cluster
	class     string
	ip        string
	disk      *memfs.Disk // nil without a disk
	bootstrap bool        // its next start bootstraps the system

	removed atomic.Bool // for good
	mutex   sync.Mutex
	current *process
}

// process is one run of a machine's program.
type process struct {
	network  *processNetwork
	cancel   context.CancelFunc
	ended    chan struct{}
	notified atomic.Bool // asked to end, so that its end is no unexpected exit
}

// program is a front or a store.
type program interface {
	Run(ctx context.Context) error
}

// Start starts the machine's process, and the machine itself where it had no power.
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

// run runs a process until it ends. A process that was not stopped is recorded as an unexpected exit, and
// restarted after restartPause.
func (m *Machine) run(ctx context.Context, started *process, options systemnode.Options) {
	err := m.runProgram(ctx, options)
	close(started.ended)
	if started.notified.Load() {
		return
	}
	m.cluster.recorder.write(func(history *History) {
		end := UnexpectedExit{Machine: m.Name, At: m.cluster.recorder.now(), Reason: fmt.Sprint(err)}
		history.UnexpectedExits = append(history.UnexpectedExits, end)
	})
	m.detach(started)
	time.Sleep(restartPause)
	if !m.cluster.closing.Load() {
		m.Start()
	}
}

func (m *Machine) runProgram(ctx context.Context, options systemnode.Options) error {
	var made program
	var err error
	if m.class == classStore {
		made, err = systemnode.NewStore(options)
	} else {
		made, err = systemnode.NewFront(options)
	}
	if err != nil {
		return err
	}
	return made.Run(ctx)
}

// detach cuts a process off from its machine, as its end does: what is left of its goroutines can reach neither
// network nor disk.
func (m *Machine) detach(ending *process) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.current != ending {
		return
	}
	ending.notified.Store(true)
	ending.network.dead.Store(true)
	m.cluster.network.Kill(m.ip)
	if m.disk != nil {
		m.disk.Crash()
	}
	ending.cancel()
	m.current = nil
}

func (m *Machine) process() *process {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.current
}

// Running tells whether the machine has a process.
func (m *Machine) Running() bool { return m.process() != nil }

// Kill ends the process at once. The disk keeps what was written.
func (m *Machine) Kill() {
	m.cluster.recorder.beginFault(m.Name, faultKill, false)
	if running := m.process(); running != nil {
		m.detach(running)
	}
}

// LosePower ends the machine at once. The disk loses all, some or nothing of what was not synced.
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
	m.current.notified.Store(true)
	m.current.network.dead.Store(true)
	m.current.cancel()
	m.current = nil
}

// LoseDisk ends the machine at once, and wipes its disk.
func (m *Machine) LoseDisk() {
	m.LosePower()
	m.cluster.recorder.beginFault(m.Name, faultDiskLoss, false)
	if m.disk != nil {
		m.disk.Wipe()
	}
}

// Terminate sends SIGTERM and waits until the process has ended; after the grace period it is killed.
func (m *Machine) Terminate() {
	m.cluster.recorder.beginFault(m.Name, faultTermination, true)
	running := m.process()
	if running == nil {
		return
	}
	running.notified.Store(true)
	running.cancel()
	select {
	case <-running.ended:
	case <-time.After(grace):
		m.cluster.t.Logf("%v: %s was still running after the grace", m.cluster.recorder.now(), m.Name)
	}
	m.detach(running)
}

// StallDisk makes the disk hang, or ends that.
func (m *Machine) StallDisk(stalled bool) {
	m.recordDiskFault(stalled)
	m.disk.SetStalled(stalled)
}

// FillDisk makes the disk run full, or gives it room again.
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
