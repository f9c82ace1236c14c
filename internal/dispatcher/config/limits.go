package config

import (
	"fmt"
	"math"
	"runtime"
	"runtime/debug"
	"time"

	"gladepick/internal/decision"
)

// Limits holds every size, count and time that the parts work with. It is filled once at the start and handed down by
// value; no part has its own.
type Limits struct {
	Cores    float64 // processor share
	MemoryMB int     // MiB at which the platform ends the process
	Sockets  int     // descriptors in all; split into those of clients, workers and discovery

	ClientConns            int // client connections open at a time
	ClientConnsWithoutHead int // among them those whose first request's head is not complete yet
	SpareClientConns       int // so many more while others close that were asked to; so many rejected ones that still send
	WorkerConns            int // worker connections open at a time, idle ones included
	DiscoveryConns         int // calls to discovery open at a time

	BodyBytes       int64 // of a job's body
	AllBodiesBytes  int64 // of all clients' bodies held at a time
	HeadBytes       int   // of a message's head
	LineBytes       int   // of one line of a worker's answer
	WorkerListBytes int   // of one object of the watch on discovery
	Workers         int   // workers listed at a time
	OpenJobs        int   // jobs taken and not answered at a time
	QueuedEvents    int   // functions that wait for the core's goroutine
	TrailingBytes   int   // read at most of what follows a worker's last line

	AnswerReserve     time.Duration // kept free before a client's deadline for the answer's way back
	RetryAfter        time.Duration // told to a rejected client where the module names no time
	MaxJobTimeout     time.Duration // the longest that a client may ask for
	ConnectTimeout    time.Duration // of a connection to a worker
	WorkerIdleTimeout time.Duration // after it idle worker connections are closed
	ClientIdleTimeout time.Duration // after it idle client connections are closed
	ReadTimeout       time.Duration // of a client's head and body, from connecting on or from the head's first byte
	LingerTimeout     time.Duration // for how long what a client still sends behind an early answer is read and dropped
	LingerBytes       int64         // and how much of it at most
	TrailingTimeout   time.Duration // of the end of an answer behind its last line
	LateAnswerWindow  time.Duration // for how long a worker may send an answer a second time

	DiscoveryCallTimeout    time.Duration // of a call to discovery, up to its head
	DiscoverySilenceTimeout time.Duration // of a watch that says nothing
	DiscoveryBackoff        time.Duration // first delay, on average, after a call that has ended
	DiscoveryBackoffMax     time.Duration // up to which it doubles

	DrainGrace       time.Duration // after it no byte of a new request goes to a leaving worker
	DrainDelay       time.Duration // for how long the listener stays open after SIGTERM
	LastAcceptWindow time.Duration // for how long then what has already come there is let in
	LastAnswerWindow time.Duration // after SIGTERM, within which late jobs are answered: then the platform may kill

	OutcomeRetention     time.Duration // for how long outcomes of keyed jobs are remembered
	RetainedOutcomes     int           // how many of them at most
	RetainedOutcomeBytes int           // of their results together at most
	BrokerBackoff        time.Duration // first delay before a broker is called again
	BrokerBackoffMax     time.Duration // up to which it doubles
	ConfirmTimeout       time.Duration // of a broker's confirm of an answer

	CaptureQueueRows  int           // rows of each kind that wait for the recorder at most
	CaptureGroupRows  int           // rows that the recorder writes at a time
	CaptureRetryDelay time.Duration // after a disk that took nothing

	PeerDatagramsPerSecond        int           // read at most
	UnknownPeerDatagramsPerSecond int           // among them from addresses that are no member's
	QueuedPeerDatagrams           int           // that wait for the membership
	PeerBytesPerSecond            int           // sent to other dispatchers at most
	PeerLeaveTimeout              time.Duration // for how long the others are told that this one leaves

	ReplicaFrameBytes    int           // of one frame between dispatchers with replicas
	ReplicaQueueBytes    int           // of frames that wait for one of them; what is beyond is as good as lost
	ReplicaDialTimeout   time.Duration // of a connection to one of them, and of a frame
	ReplicaRetryDelay    time.Duration // after a connection that failed
	LeaseReserve         time.Duration // kept free before a client's deadline for the replicas' answer
	LeasePollInterval    time.Duration // between two looks at a job that another dispatcher has
	LeaseNotifyWindow    time.Duration // for how long after its deadline the replicas are told of an outcome
	LeaseTransferBatch   int           // leases of a dead dispatcher that one command moves
	LeaseSubmitBatch     int           // of those, jobs handed to the module in one LeaseRoundInterval
	LeaseRoundInterval   time.Duration // between two looks at who is gone
	LeaseShutdownTimeout time.Duration // for how long who leaves waits for others to get its replicas
	LeaseOrphanDelay     time.Duration // for how long a dispatcher is out of the view before its leases move
}

// The defaults of what the platform grants.
const (
	defaultCores    = 1.0
	defaultMemoryMB = 192
	defaultSockets  = 1024
)

// longestLateAnswer is how long the platform lets a process live after SIGTERM at most, but for Limits.DrainDelay.
const longestLateAnswer = 3 * time.Second

// deriveLimits fills Limits from what the platform grants and the settings say.
func (n *Node) deriveLimits(f *nodeFile) (err error) {
	cores, memoryMB, sockets := defaultCores, defaultMemoryMB, defaultSockets
	if v := f.Limits.Cores; v != nil {
		cores = *v
	}
	if v := f.Limits.MemoryMB; v != nil {
		memoryMB = *v
	}
	if v := f.Limits.Sockets; v != nil {
		sockets = *v
	}
	if n.Limits, err = newLimits(cores, memoryMB, sockets, &n.Module); err != nil {
		return err
	}
	n.Limits.ConnectTimeout = nanoseconds(f.Settings, n.Limits.ConnectTimeout, "limits", "connect_timeout")
	return nil
}

// newLimits derives the limits of a process that is granted so much.
func newLimits(cores float64, memoryMB, sockets int, s *decision.Settings) (Limits, error) {
	switch {
	case !(cores > 0 && cores <= 1024):
		return Limits{}, fmt.Errorf("limits.cores: %v is out of range", cores)
	case memoryMB < 32 || memoryMB > 1<<20:
		return Limits{}, fmt.Errorf("limits.memory_mb: %d is out of range (32 and more)", memoryMB)
	case sockets < 64:
		return Limits{}, fmt.Errorf("limits.sockets: %d is too few (64 and more)", sockets)
	}
	l := defaultLimits()
	l.Cores, l.MemoryMB, l.Sockets = cores, memoryMB, sockets
	l.splitSockets()
	l.splitMemory()
	if s.MaxRetryAfter > 0 {
		l.RetryAfter = min(l.RetryAfter, s.MaxRetryAfter)
	}
	if s.ConnIdle > 0 { // a fifth earlier than the machine at the other end
		l.WorkerIdleTimeout = s.ConnIdle - s.ConnIdle/5
	}
	if s.DrainGrace > 0 {
		l.DrainGrace = s.DrainGrace - s.DrainGrace/5
	}
	l.fitDiscovery(s)
	l.fitClasses(s.Classes)
	return l, nil
}

// defaultLimits returns what depends on nothing that the platform grants.
func defaultLimits() Limits {
	return Limits{
		DiscoveryConns: 4,

		BodyBytes:       64 << 10,
		HeadBytes:       16 << 10,
		LineBytes:       128 << 10,
		WorkerListBytes: 4 << 20,
		Workers:         20000,
		TrailingBytes:   4 << 10,

		AnswerReserve:     40 * time.Millisecond,
		RetryAfter:        50 * time.Millisecond,
		MaxJobTimeout:     5 * time.Minute,
		ConnectTimeout:    250 * time.Millisecond,
		WorkerIdleTimeout: 4 * time.Second,
		ClientIdleTimeout: 60 * time.Second,
		ReadTimeout:       2 * time.Second,
		LingerTimeout:     time.Second,
		LingerBytes:       4 << 20,
		TrailingTimeout:   250 * time.Millisecond,
		LateAnswerWindow:  100 * time.Millisecond,

		DiscoveryCallTimeout:    3500 * time.Millisecond,
		DiscoverySilenceTimeout: 3 * time.Second,
		DiscoveryBackoff:        300 * time.Millisecond,
		DiscoveryBackoffMax:     3 * time.Second,

		DrainGrace:       400 * time.Millisecond,
		DrainDelay:       600 * time.Millisecond,
		LastAcceptWindow: 20 * time.Millisecond,

		OutcomeRetention: 10 * time.Second,
		RetainedOutcomes: 4096,
		BrokerBackoff:    100 * time.Millisecond,
		BrokerBackoffMax: 5 * time.Second,
		ConfirmTimeout:   2 * time.Second,

		CaptureQueueRows:  4096,
		CaptureGroupRows:  4096,
		CaptureRetryDelay: time.Second,

		PeerDatagramsPerSecond:        20000,
		UnknownPeerDatagramsPerSecond: 200,
		QueuedPeerDatagrams:           1024,
		PeerBytesPerSecond:            256 << 10,
		PeerLeaveTimeout:              400 * time.Millisecond,

		ReplicaDialTimeout:   time.Second,
		ReplicaRetryDelay:    100 * time.Millisecond,
		LeaseReserve:         150 * time.Millisecond,
		LeasePollInterval:    40 * time.Millisecond,
		LeaseNotifyWindow:    10 * time.Second,
		LeaseTransferBatch:   64,
		LeaseSubmitBatch:     16,
		LeaseRoundInterval:   100 * time.Millisecond,
		LeaseShutdownTimeout: 15 * time.Second,
		LeaseOrphanDelay:     300 * time.Millisecond,
	}
}

// splitSockets divides the descriptors. A tenth stays for the listener, standard streams, the poller and what is just
// being closed; discovery has its few, and clients and workers share the rest by 5 to 4.
func (l *Limits) splitSockets() {
	shared := l.Sockets - l.Sockets/10 - l.DiscoveryConns
	l.ClientConns = shared * 5 / 9
	l.WorkerConns = shared * 4 / 9
	l.ClientConnsWithoutHead = shared / 6
	l.SpareClientConns = max(l.Sockets/40, 2)
}

// splitMemory bounds what is held. Bodies are counted by themselves; answers of half a body's size to all open jobs fit
// into a third of the memory.
func (l *Limits) splitMemory() {
	memory := l.MemoryMB << 20
	l.AllBodiesBytes = int64(l.MemoryMB) << 20 / 4
	l.RetainedOutcomeBytes = memory / 8
	l.ReplicaFrameBytes = min(16<<20, memory/8)
	l.ReplicaQueueBytes = memory / 16
	l.OpenJobs = max(min(l.ClientConns, memory/3/int(l.BodyBytes/2)), 16)
	l.QueuedEvents = 8 * l.OpenJobs
}

// fitDiscovery shortens the times of the watch on discovery to what the settings need.
func (l *Limits) fitDiscovery(s *decision.Settings) {
	// Lines of a watch come every 2 s: a shorter silence is none.
	const shortestSilence = 2500 * time.Millisecond
	if s.MaxDiscoverySilence > 0 { // a watch must be known to be broken well before its silence counts as news
		l.DiscoverySilenceTimeout = max(min(l.DiscoverySilenceTimeout, s.MaxDiscoverySilence/2), shortestSilence)
		l.DiscoveryBackoffMax = min(l.DiscoveryBackoffMax, s.MaxDiscoverySilence/3)
	}
	if s.Discovery == decision.DiscoveryPush && s.DrainGrace > 0 {
		// The agent on this machine answers at once or not at all, and what it holds counts as delivered: a call that it left
		// without an answer while discovery was down may not outlast the grace of a drain announced at its return.
		l.DiscoveryCallTimeout = max(l.DrainGrace/4, 50*time.Millisecond)
		l.DiscoverySilenceTimeout = min(l.DiscoverySilenceTimeout, shortestSilence)
		l.DiscoveryBackoff = min(l.DiscoveryBackoff, max(l.DrainGrace/8, 20*time.Millisecond))
		l.DiscoveryBackoffMax = l.DiscoveryBackoff
	}
}

// fitClasses fits the times that depend on the classes' windows and deadlines.
func (l *Limits) fitClasses(classes []decision.ClassSettings) {
	longest := time.Duration(0)
	for _, c := range classes {
		l.OutcomeRetention = max(l.OutcomeRetention, c.DedupWindow)
		longest = max(longest, c.Deadline)
	}
	if longest == 0 || longest > longestLateAnswer {
		longest = longestLateAnswer
	}
	l.LastAnswerWindow = longest + l.DrainDelay // the platform kills 0.1 s later at the earliest
}

// Apply makes the runtime keep to the limits on processors and memory. A memory limit set under the platform's own makes
// the collector work harder before the process is killed.
func (l *Limits) Apply() {
	runtime.GOMAXPROCS(max(int(math.Ceil(l.Cores)), 1))
	debug.SetMemoryLimit(int64(l.MemoryMB) << 20 * 3 / 4)
}
