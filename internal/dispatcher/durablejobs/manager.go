// Package durablejobs makes jobs with an idempotency key survive the failure of the dispatcher that accepted them. It
// sits between the front ends and the core, and between the core and the transports. A job reaches the core after a
// quorum of replicas has committed its lease, an attempt reaches a worker after its intent is committed, and a client
// gets an outcome after the outcome is committed.
//
// The goroutine of Manager.Run owns the leases of this dispatcher (package lease) and its replicas (package raftgroup).
// Other goroutines access them only through Manager.post. peers.go has the connections to other dispatchers; each has
// two goroutines, which end with Run's context. The decision module admits jobs and chooses workers; the lease tables
// decide what the class of a job allows.
//
// Start reading at Manager.Submit and Manager.acquire (jobs.go); takeover.go takes over from dispatchers that have
// failed.
package durablejobs

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"gladepick/internal/decision"
	"gladepick/internal/dispatcher/config"
	"gladepick/internal/dispatcher/dispatch"
	"gladepick/internal/dispatcher/lease"
	"gladepick/internal/dispatcher/membership"
	"gladepick/internal/dispatcher/membership/transport"
	"gladepick/internal/dispatcher/raftgroup"
)

// Membership provides the current view of the dispatchers, and this dispatcher's incarnation in it.
type Membership interface {
	View(context.Context) (view membership.View, incarnation uint64, joined, quorum bool)
}

// ErrNotReady is returned by Submit while no durable job can be accepted: without a quorum or an assignment of the
// replicas, or with Limits.OpenJobs jobs open.
var ErrNotReady = errors.New("durable jobs are not available now")

// Counters count events since the start of the process.
type Counters struct {
	Acquired        atomic.Int64 // leases that this dispatcher acquired
	OwnedElsewhere  atomic.Int64 // commands for a job whose lease another dispatcher or request had
	AlreadyFinished atomic.Int64 // requests for a job whose outcome was already committed
	Rejected        atomic.Int64 // requests rejected with ErrNotReady
	TakenOver       atomic.Int64 // leases taken over from failed dispatchers
	Fenced          atomic.Int64 // commands rejected because another dispatcher has the lease
	Forbidden       atomic.Int64 // commands that the lease table forbade, such as sends outside the terms
	UnknownOutcome  atomic.Int64 // commands without a valid response before their deadline
	Dropped         atomic.Int64 // frames dropped: queue full, no connection, too large or unknown peer
}

// Manager runs the durable jobs of one dispatcher. Create it with New, then call Run.
type Manager struct {
	Counters Counters

	core    *dispatch.Core
	started chan struct{} // closed once Run has set core

	node      *config.Node
	options   *config.DurableJobs
	limits    config.Limits
	members   Membership
	replicas  *raftgroup.Node
	links     *peerLinks
	startedAt time.Time
	ended     chan struct{} // closed when Run returns

	mu    sync.Mutex
	queue []func()
	wake  chan struct{}

	// Only Run's goroutine accesses these, except the atomic ones:
	entries          map[*entry]bool
	entryByInnerJob  map[*dispatch.Job]*entry
	entryByClientJob map[*dispatch.Job]*entry
	entriesByKey     map[string][]*entry
	callbacks        map[uint64]func([]byte, error)
	incarnation      uint64
	view             membership.View
	missingSince     map[string]time.Duration // time at which an owner of open records was first missing from the view
	takingOver       map[int]bool
	expiredAt        time.Duration
	events           *transport.EventLog
	crashCounts      map[string]int
	isReady          atomic.Bool
	isLeaving        atomic.Bool
	openJobs         atomic.Int64
}

// New returns a manager with an open listener for the connections of other dispatchers.
func New(n *config.Node, members Membership) (*Manager, error) {
	settings := n.DurableJobs
	m := &Manager{node: n, options: settings, limits: n.Limits, members: members, startedAt: time.Now(), ended: make(chan struct{}), started: make(chan struct{}), wake: make(chan struct{}, 1),
		entries: map[*entry]bool{}, entryByInnerJob: map[*dispatch.Job]*entry{}, entryByClientJob: map[*dispatch.Job]*entry{}, entriesByKey: map[string][]*entry{}, callbacks: map[uint64]func([]byte, error){}, missingSince: map[string]time.Duration{},
		takingOver: map[int]bool{}, crashCounts: map[string]int{}}
	incarnation := rand.Uint64() | 1
	initialMembers := []string{n.Name}
	for _, peer := range settings.Peers {
		initialMembers = append(initialMembers, peer.Name)
	}
	var err error
	m.replicas, err = raftgroup.New(raftgroup.Config{Self: raftgroup.NodeID{Name: n.Name, Incarnation: incarnation}, InitialMembers: initialMembers, Groups: settings.Groups, Replicas: settings.Replicas,
		NewStateMachine: func(int) raftgroup.StateMachine { return &leaseMachine{lease.New()} }, Seed: n.Seed ^ incarnation}, m.now())
	if err != nil {
		return nil, fmt.Errorf("%s: %w", settings.Path, err)
	}
	if settings.Events != "" {
		if m.events, err = transport.OpenEventLog(settings.Events); err != nil {
			return nil, fmt.Errorf("%s: key promises.events: %w", settings.Path, err)
		}
	}
	if m.links, err = openLinks(n, greeting{Form: 1, Name: n.Name, Incarnation: incarnation, StartedAt: uint64(time.Now().UnixNano())}, &m.Counters.Dropped); err != nil {
		return nil, fmt.Errorf("%s: key promises.listen: %w", settings.Path, err)
	}
	return m, nil
}

// now returns the manager's monotonic time. unixMs returns the wall-clock time at the start plus the
// monotonic time since then, so that later steps of the wall clock have no effect.
func (m *Manager) now() time.Duration { return time.Hour + time.Since(m.startedAt) }
func (m *Manager) unixMs() int64      { return m.startedAt.Add(time.Since(m.startedAt)).UnixMilli() }

// post queues f for Run's goroutine. It never blocks. The queue is bounded by the number of open jobs.
func (m *Manager) post(f func()) {
	m.mu.Lock()
	m.queue = append(m.queue, f)
	m.mu.Unlock()
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// crashPoint kills or pauses the process if a fault-injection test has chosen this point in the settings.
func (m *Manager) crashPoint(name string) {
	if name == m.options.CrashAt {
		if m.crashCounts[name]++; m.crashCounts[name] == m.options.CrashOccurrence {
			m.logEvent(map[string]any{"crash": name})
			if m.options.CrashByStop {
				syscall.Kill(syscall.Getpid(), syscall.SIGSTOP)
				return
			}
			syscall.Kill(syscall.Getpid(), syscall.SIGKILL)
			select {}
		}
	}
}

// Run runs the manager until ctx ends. It submits the jobs to core.
func (m *Manager) Run(ctx context.Context, core *dispatch.Core) {
	m.core = core
	close(m.started)
	defer close(m.ended)
	go m.links.run(ctx, func(from raftgroup.NodeID, data []byte) {
		m.post(func() { m.carryOut(m.replicas.HandleFrame(m.now(), from, data)) })
	})
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	nextRound := m.now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.wake:
		case <-ticker.C:
			m.carryOut(m.replicas.Tick(m.now()))
			m.expire()
		}
		m.mu.Lock()
		queued := m.queue
		m.queue = nil
		m.mu.Unlock()
		for _, f := range queued {
			f()
		}
		if m.now() >= nextRound {
			nextRound = m.now() + m.limits.LeaseRoundInterval
			m.runRound(ctx)
		}
	}
}

// carryOut carries out the actions of this dispatcher's replicas.
func (m *Manager) carryOut(actions *raftgroup.Actions) {
	for _, frame := range actions.Send {
		m.links.send(frame.To, frame.Data)
	}
	for _, notice := range actions.Notices {
		slog.Info("copies", "text", notice)
		m.logEvent(map[string]any{"notice": notice})
	}
	results := slices.Clone(actions.Results) // a callback may call m.replicas, which reuses the slice
	for _, result := range results {
		if callback := m.callbacks[result.Token]; callback != nil {
			delete(m.callbacks, result.Token)
			callback(result.Data, result.Err)
		}
	}
}

// logEvent writes a line to the event log, if the settings name one.
func (m *Manager) logEvent(line map[string]any) {
	line["by"] = m.node.Name
	m.events.Write(line)
}

// owner returns the name of this dispatcher in the lease tables: its name and its membership incarnation.
func (m *Manager) owner() string { return m.node.Name + "." + strconv.FormatUint(m.incarnation, 10) }

// isDurable reports whether the jobs of a class are durable.
func (m *Manager) isDurable(class int) bool {
	return m.node.Module.Classes[class].Idempotency == decision.Deduplicated
}

// Shutdown announces that this dispatcher is leaving, and waits until its open jobs have ended and other dispatchers
// have taken its replicas or none is left to take them. It waits until ctx ends or for Limits.LeaseShutdownTimeout at
// most.
func (m *Manager) Shutdown(ctx context.Context) {
	m.isLeaving.Store(true)
	ctx, cancel := context.WithTimeout(ctx, m.limits.LeaseShutdownTimeout)
	defer cancel()
	type progress struct {
		openJobs    int
		isEvacuated bool
	}
	last := progress{}
	for startedAt := time.Now(); ; {
		current := make(chan progress, 1)
		m.post(func() { current <- progress{len(m.entries), m.replicas.IsEvacuated()} })
		select {
		case <-ctx.Done():
			slog.Warn("shutdown timed out with open jobs or replicas", "jobs", last.openJobs, "copies", !last.isEvacuated)
			return
		case <-m.ended:
			return
		case last = <-current:
			if last.openJobs == 0 && last.isEvacuated {
				slog.Info("all durable jobs and replicas are handed over", "after", time.Since(startedAt))
				return
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(m.limits.LeaseRoundInterval):
		}
	}
}
