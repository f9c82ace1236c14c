// Package durablejobs makes jobs with a key outlive the dispatcher that took them. It stands between the fronts and the core,
// and between the core and the transports: a job reaches the core once its lease is committed by a quorum of replicas, an
// attempt reaches a worker once its intent is, and a client gets an outcome once that is.
//
// A Manager's goroutine (Run) owns the leases of this dispatcher (package lease) and its replicas (package raftgroup); other
// goroutines reach them by post alone. peers.go has the connections to other dispatchers, with two goroutines each that end
// with Run's context. Which worker takes a job, and whether it is admitted, is the decision module's decision; what a class
// allows is the lease tables'.
//
// Start reading at Manager.Submit and Manager.acquire (jobs.go); takeover.go takes over from dispatchers that have failed.
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

// Membership tells which dispatchers take part.
type Membership interface {
	View(context.Context) (v membership.View, life uint64, joined, quorum bool)
}

// ErrNotReady is the error of Submit while no job can be made durable: without a quorum, an assignment of the replicas, or room.
var ErrNotReady = errors.New("nothing can be promised now")

// Counters count since the start of the process.
type Counters struct {
	Acquired        atomic.Int64 // leases that this dispatcher got
	OwnedElsewhere  atomic.Int64 // jobs that another dispatcher or attempt held already
	AlreadyFinished atomic.Int64 // answered with an outcome that was committed before
	Rejected        atomic.Int64 // without a quorum, an assignment or room
	TakenOver       atomic.Int64 // taken over from failed dispatchers
	Fenced          atomic.Int64 // lost to another dispatcher
	Forbidden       atomic.Int64 // sends that the job's class forbade
	UnknownOutcome  atomic.Int64 // commands without an answer of a quorum in time
	Dropped         atomic.Int64 // frames without room in a queue or without a connection
}

// Manager is one dispatcher's part in durable jobs. Make it with New, then call Run.
type Manager struct {
	Counters Counters

	core    *dispatch.Core
	started chan struct{} // closed once the core is known

	node      *config.Node
	options   *config.DurableJobs
	limits    config.Limits
	members   Membership
	replicas  *raftgroup.Node
	links     *peerLinks
	startedAt time.Time
	ended     chan struct{}

	mu    sync.Mutex
	queue []func()
	wake  chan struct{}

	// Owned by Run's goroutine:
	entries          map[*entry]bool
	entryByInnerJob  map[*dispatch.Job]*entry
	entryByClientJob map[*dispatch.Job]*entry
	entriesByKey     map[string][]*entry
	callbacks        map[uint64]func([]byte, error)
	incarnation      uint64
	view             membership.View
	missingSince     map[string]time.Duration // owners that are not in the view, since when
	takingOver       map[int]bool
	expiredAt        time.Duration
	events           *transport.EventLog
	crashCounts      map[string]int
	isReady          atomic.Bool
	isLeaving        atomic.Bool
	openJobs         atomic.Int64
}

// New makes a manager, and opens its socket.
func New(n *config.Node, members Membership) (*Manager, error) {
	c := n.DurableJobs
	m := &Manager{node: n, options: c, limits: n.Limits, members: members, startedAt: time.Now(), ended: make(chan struct{}), started: make(chan struct{}), wake: make(chan struct{}, 1),
		entries: map[*entry]bool{}, entryByInnerJob: map[*dispatch.Job]*entry{}, entryByClientJob: map[*dispatch.Job]*entry{}, entriesByKey: map[string][]*entry{}, callbacks: map[uint64]func([]byte, error){}, missingSince: map[string]time.Duration{},
		takingOver: map[int]bool{}, crashCounts: map[string]int{}}
	copy := rand.Uint64() | 1
	founders := []string{n.Name}
	for _, p := range c.Peers {
		founders = append(founders, p.Name)
	}
	var err error
	m.replicas, err = raftgroup.New(raftgroup.Config{Self: raftgroup.NodeID{Name: n.Name, Memory: copy}, Founders: founders, Groups: c.Groups, Replicas: c.Replicas,
		NewStateMachine: func(int) raftgroup.StateMachine { return &leaseMachine{lease.New()} }, Seed: n.Seed ^ copy}, m.now())
	if err != nil {
		return nil, fmt.Errorf("%s: %w", c.Path, err)
	}
	if c.Events != "" {
		if m.events, err = transport.OpenEventLog(c.Events); err != nil {
			return nil, fmt.Errorf("%s: key promises.events: %w", c.Path, err)
		}
	}
	if m.links, err = openLinks(n, greeting{Form: 1, Name: n.Name, Memory: copy, StartedAt: uint64(time.Now().UnixNano())}, &m.Counters.Dropped); err != nil {
		return nil, fmt.Errorf("%s: key promises.listen: %w", c.Path, err)
	}
	return m, nil
}

// now is the manager's clock: monotonic. wall is Unix milliseconds by the calendar of the start and that clock, so that
// steps of the calendar change nothing later.
func (m *Manager) now() time.Duration { return time.Hour + time.Since(m.startedAt) }
func (m *Manager) wall() int64        { return m.startedAt.Add(time.Since(m.startedAt)).UnixMilli() }

// post has Run's goroutine call f. It never blocks: the queue is bounded by the open jobs.
func (m *Manager) post(f func()) {
	m.mu.Lock()
	m.queue = append(m.queue, f)
	m.mu.Unlock()
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// crashPoint is a place at which a test of faults may kill or pause the process.
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

// Run works until ctx ends. The core gets the jobs.
func (m *Manager) Run(ctx context.Context, core *dispatch.Core) {
	m.core = core
	close(m.started)
	defer close(m.ended)
	go m.links.run(ctx, func(from raftgroup.NodeID, data []byte) {
		m.post(func() { m.carryOut(m.replicas.HandleFrame(m.now(), from, data)) })
	})
	beat := time.NewTicker(10 * time.Millisecond)
	defer beat.Stop()
	round := m.now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.wake:
		case <-beat.C:
			m.carryOut(m.replicas.Tick(m.now()))
			m.expire()
		}
		m.mu.Lock()
		work := m.queue
		m.queue = nil
		m.mu.Unlock()
		for _, f := range work {
			f()
		}
		if m.now() >= round {
			round = m.now() + m.limits.LeaseRoundInterval
			m.runRound(ctx)
		}
	}
}

// carryOut carries out the actions of this dispatcher's replicas.
func (m *Manager) carryOut(acts *raftgroup.Actions) {
	for _, o := range acts.Send {
		m.links.send(o.To, o.Data)
	}
	for _, n := range acts.Notices {
		slog.Info("copies", "text", n)
		m.logEvent(map[string]any{"notice": n})
	}
	results := slices.Clone(acts.Results) // what follows from them calls the host again
	for _, r := range results {
		if f := m.callbacks[r.Token]; f != nil {
			delete(m.callbacks, r.Token)
			f(r.Data, r.Err)
		}
	}
}

// logEvent writes a line of the operator's log of events.
func (m *Manager) logEvent(line map[string]any) {
	line["by"] = m.node.Name
	m.events.Write(line)
}

// owner returns this dispatcher's name in the lease tables.
func (m *Manager) owner() string { return m.node.Name + "." + strconv.FormatUint(m.incarnation, 10) }

// isDurable tells whether jobs of a class are made durable.
func (m *Manager) isDurable(class int) bool {
	return m.node.Module.Classes[class].Idempotency == decision.Deduplicated
}

// Shutdown waits until this dispatcher's open jobs have ended and other dispatchers have its replicas: as long as ctx lasts,
// or until no dispatcher is left to get them.
func (m *Manager) Shutdown(ctx context.Context) {
	m.isLeaving.Store(true)
	ctx, done := context.WithTimeout(ctx, m.limits.LeaseShutdownTimeout)
	defer done()
	type hand struct {
		open  int
		moved bool
	}
	last := hand{}
	for began := time.Now(); ; {
		now := make(chan hand, 1)
		m.post(func() { now <- hand{len(m.entries), m.replicas.IsEvacuated()} })
		select {
		case <-ctx.Done():
			slog.Warn("leaving with something in hand", "jobs", last.open, "copies", !last.moved)
			return
		case <-m.ended:
			return
		case last = <-now:
			if last.open == 0 && last.moved {
				slog.Info("gave up what it had", "after", time.Since(began))
				return
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(m.limits.LeaseRoundInterval):
		}
	}
}
