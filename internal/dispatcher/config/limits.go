package config

import (
	"fmt"
	"math"
	"runtime"
	"runtime/debug"
	"time"

	"gladepick/internal/decision"
)

// Limits holds every size, count and time that the other packages of the dispatcher use. It is filled once at the start
// and passed by value; the other packages define no limits of their own.
type Limits struct {
	Cores    float64 // processor share
	MemoryMB int     // MiB at which the platform kills the process
	Sockets  int     // file descriptors of the process, divided among clients, workers and discovery

	ClientConns            int // maximum number of open client connections
	ClientConnsWithoutHead int // of these, maximum number whose first request head is incomplete
	SpareClientConns       int // maximum beyond ClientConns while idle ones close; also of rejected ones still sending
	WorkerConns            int // maximum number of open connections to workers, idle ones included
	DiscoveryConns         int // maximum number of open calls to discovery

	BodyBytes       int64 // of a job's body
	AllBodiesBytes  int64 // of the bodies of all clients in memory
	HeadBytes       int   // of the head of an HTTP message
	LineBytes       int   // of one line of a worker's response
	WorkerListBytes int   // of one JSON object in the watch stream of discovery
	Workers         int   // maximum number of workers in the list
	OpenJobs        int   // maximum number of jobs accepted and not yet answered
	QueuedEvents    int   // maximum number of functions queued for the core's goroutine
	TrailingBytes   int   // maximum bytes read after the last line of a worker's response

	AnswerReserve     time.Duration // reserved before a client's deadline for sending the answer
	RetryAfter        time.Duration // for a rejected client if the decision module returns no time
	MaxJobTimeout     time.Duration // longest time-out that a client may request
	ConnectTimeout    time.Duration // of a connection attempt to a worker
	WorkerIdleTimeout time.Duration // after which an idle worker connection is closed
	ClientIdleTimeout time.Duration // after which an idle client connection is closed
	ReadTimeout       time.Duration // for a request's head and body, from the connect or the head's first byte
	LingerTimeout     time.Duration // how long a request is read and discarded after an early answer
	LingerBytes       int64         // maximum bytes read and discarded in that time
	TrailingTimeout   time.Duration // for the end of a worker's response after its last line
	LateAnswerWindow  time.Duration // how long a worker may send a duplicate response

	DiscoveryCallTimeout    time.Duration // of a call to discovery, until the response head is read
	DiscoverySilenceTimeout time.Duration // of a watch stream that sends nothing
	DiscoveryBackoff        time.Duration // average of the first delay after a call has ended
	DiscoveryBackoffMax     time.Duration // limit up to which that delay doubles

	DrainGrace       time.Duration // after which no byte of a new request is sent to a draining worker
	DrainDelay       time.Duration // how long the listener stays open after SIGTERM
	LastAcceptWindow time.Duration // after DrainDelay, how long connections in the backlog are accepted
	LastAnswerWindow time.Duration // after SIGTERM, for answering late jobs; then the platform may kill the process

	OutcomeRetention     time.Duration // how long the outcome of a job with an idempotency key is kept
	RetainedOutcomes     int           // maximum number of outcomes kept
	RetainedOutcomeBytes int           // maximum bytes of their results together
	BrokerBackoff        time.Duration // first delay before a reconnection to the broker
	BrokerBackoffMax     time.Duration // limit up to which that delay doubles
	ConfirmTimeout       time.Duration // for the broker to confirm a published answer

	CaptureQueueRows  int           // maximum number of rows of each kind queued for the recorder
	CaptureGroupRows  int           // rows that the recorder writes in one group
	CaptureRetryDelay time.Duration // after a failed write to the disk

	PeerDatagramsPerSecond        int           // maximum number read
	UnknownPeerDatagramsPerSecond int           // of these, maximum number from addresses that belong to no member
	QueuedPeerDatagrams           int           // maximum number queued for the membership
	PeerBytesPerSecond            int           // maximum sent to other dispatchers
	PeerLeaveTimeout              time.Duration // how long this dispatcher announces that it leaves

	ReplicaFrameBytes    int           // of one replication frame
	ReplicaQueueBytes    int           // of frames queued for one peer; frames beyond that are dropped, as if lost
	ReplicaDialTimeout   time.Duration // of a connection attempt to a peer, and of a frame
	ReplicaRetryDelay    time.Duration // after a failed connection to a peer
	LeaseReserve         time.Duration // reserved before a client's deadline for the replicas' reply
	LeasePollInterval    time.Duration // between two queries about a job that another dispatcher owns
	LeaseNotifyWindow    time.Duration // after a job's deadline, how long its outcome is proposed to the replicas
	LeaseTransferBatch   int           // maximum number of leases of a failed dispatcher that one command transfers
	LeaseSubmitBatch     int           // maximum number of their jobs submitted to the core in one LeaseRoundInterval
	LeaseRoundInterval   time.Duration // between two checks for failed dispatchers
	LeaseShutdownTimeout time.Duration // how long a leaving dispatcher waits for others to take over its replicas
	LeaseOrphanDelay     time.Duration // how long a dispatcher is missing from the view before its leases move
}

// The grants that apply if the platform's file sets none.
const (
	defaultCores    = 1.0
	defaultMemoryMB = 192
	defaultSockets  = 1024
)

// maxLastAnswerWindow is the longest Limits.LastAnswerWindow, not counting Limits.DrainDelay: the platform kills a
// process that runs longer after SIGTERM.
const maxLastAnswerWindow = 3 * time.Second

// deriveLimits derives n.Limits from the platform's grants and the settings.
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
	n.Limits.ConnectTimeout = durationSetting(f.Settings, n.Limits.ConnectTimeout, "limits", "connect_timeout")
	return nil
}

// newLimits derives the limits from the grants of processor cores, memory and sockets, and from the decision module's
// settings.
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
	if s.ConnIdle > 0 { // close a fifth earlier than the worker does
		l.WorkerIdleTimeout = s.ConnIdle - s.ConnIdle/5
	}
	if s.DrainGrace > 0 {
		l.DrainGrace = s.DrainGrace - s.DrainGrace/5
	}
	l.fitDiscovery(s)
	l.fitClasses(s.Classes)
	return l, nil
}

// defaultLimits returns the limits that do not depend on the platform's grants.
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

// splitSockets divides the file descriptors. A tenth is reserved for the listener, the standard streams, the poller and
// connections that are being closed. Discovery gets DiscoveryConns; clients and workers share the rest in the ratio 5
// to 4.
func (l *Limits) splitSockets() {
	shared := l.Sockets - l.Sockets/10 - l.DiscoveryConns
	l.ClientConns = shared * 5 / 9
	l.WorkerConns = shared * 4 / 9
	l.ClientConnsWithoutHead = shared / 6
	l.SpareClientConns = max(l.Sockets/40, 2)
}

// splitMemory divides the memory. Request bodies have a separate bound. Answers of half of BodyBytes to all open jobs
// fit into a third of the memory.
func (l *Limits) splitMemory() {
	memory := l.MemoryMB << 20
	l.AllBodiesBytes = int64(l.MemoryMB) << 20 / 4
	l.RetainedOutcomeBytes = memory / 8
	l.ReplicaFrameBytes = min(16<<20, memory/8)
	l.ReplicaQueueBytes = memory / 16
	l.OpenJobs = max(min(l.ClientConns, memory/3/int(l.BodyBytes/2)), 16)
	l.QueuedEvents = 8 * l.OpenJobs
}

// fitDiscovery shortens the times of the discovery watch as the settings require.
func (l *Limits) fitDiscovery(s *decision.Settings) {
	// A watch stream sends a line every 2 s, so a shorter silence is normal.
	const shortestSilence = 2500 * time.Millisecond
	if s.MaxDiscoverySilence > 0 { // a broken watch must be detected well before MaxDiscoverySilence has passed
		l.DiscoverySilenceTimeout = max(min(l.DiscoverySilenceTimeout, s.MaxDiscoverySilence/2), shortestSilence)
		l.DiscoveryBackoffMax = min(l.DiscoveryBackoffMax, s.MaxDiscoverySilence/3)
	}
	if s.Discovery == decision.DiscoveryPush && s.DrainGrace > 0 {
		// The discovery agent on this machine answers at once or not at all, and a list counts as delivered once the
		// agent has it. So a call that stays unanswered while discovery is down must time out within the grace of a
		// drain that is announced when discovery returns.
		l.DiscoveryCallTimeout = max(l.DrainGrace/4, 50*time.Millisecond)
		l.DiscoverySilenceTimeout = min(l.DiscoverySilenceTimeout, shortestSilence)
		l.DiscoveryBackoff = min(l.DiscoveryBackoff, max(l.DrainGrace/8, 20*time.Millisecond))
		l.DiscoveryBackoffMax = l.DiscoveryBackoff
	}
}

// fitClasses sets the times that depend on the deduplication windows and deadlines of the classes.
func (l *Limits) fitClasses(classes []decision.ClassSettings) {
	longest := time.Duration(0)
	for _, c := range classes {
		l.OutcomeRetention = max(l.OutcomeRetention, c.DedupWindow)
		longest = max(longest, c.Deadline)
	}
	if longest == 0 || longest > maxLastAnswerWindow {
		longest = maxLastAnswerWindow
	}
	l.LastAnswerWindow = longest + l.DrainDelay // the platform kills the process at least 0.1 s later
}

// Apply sets the Go runtime's limits on processors and memory. The memory limit is below the platform's, so the garbage
// collector works harder before the platform kills the process.
func (l *Limits) Apply() {
	runtime.GOMAXPROCS(max(int(math.Ceil(l.Cores)), 1))
	debug.SetMemoryLimit(int64(l.MemoryMB) << 20 * 3 / 4)
}
