// Package dispatch is the core of a dispatcher. It connects the fronts, which
// accept jobs from clients, and the transports, which send attempts to workers,
// with the decision module. The module alone admits jobs and chooses the worker
// for each.
//
// The package owns the open jobs and their identifiers, the module's clock and
// timers, and the table of listed workers. It enforces these invariants
// regardless of what the module does: a job gets one final answer, by its
// deadline; at most one attempt of a job is in flight, unless the settings allow
// parallel attempts; nothing is sent to a worker that is known to be leaving, or
// for a client that has disconnected. The package knows nothing of connections,
// messages and wire formats.
//
// One goroutine, Core.Run, owns the module and all state that is neither atomic
// nor under a lock. All other goroutines (fronts, transports, discovery) pass it
// functions through a bounded mailbox, with Core.post. They themselves access only
// Core.ids, under Core.mu, and the atomic fields of Core, Job, Attempt and
// workerState.
//
// Start reading at Core.Submit, and follow a job through Core.handle and
// Core.endAttempt to Core.reply.
package dispatch

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"gladepick/internal/decision"
	"gladepick/internal/dispatcher/config"
	"gladepick/internal/priorityqueue"
)

// clockOrigin is the time at which the module's clock starts. It is above zero so that workers that started before this
// process have start times above zero too; 0 means unknown.
const clockOrigin = time.Hour

// maxIdleSleep bounds how long the core's goroutine sleeps if no timer is set.
const maxIdleSleep = time.Hour

// Core runs the decision module. Create it with New and start it with Run.
type Core struct {
	// Counters holds the counters that were passed to New.
	Counters *Counters
	// Observer receives the core's events; nil means none. Set it before Run and before the first Submit.
	Observer Observer

	limits         config.Limits
	node           *config.Node
	transport      Transport
	queueTransport Transport
	watcher        ListWatcher
	fixedWorkers   []config.Worker

	mailbox chan func()
	ended   chan struct{} // closed when Run has ended
	started time.Time

	// Accessed only by the core's goroutine.
	module       *decision.Dispatcher
	timers       priorityqueue.Queue[timer]
	timersSet    uint64
	jobs         map[decision.JobID]*Job
	lastJob      decision.JobID
	workers      map[decision.WorkerID]*workerState
	workerByName map[string]decision.WorkerID

	// Accessed by any goroutine.
	openJobs     atomic.Int64
	workerCounts atomic.Pointer[[3]int] // by decision.State

	mu  sync.Mutex
	ids map[string]bool // identifiers of the jobs that are open or still have an attempt in flight
}

// New creates a core for a node. fixed lists the workers that take their jobs from queues, and queues is the transport
// to them. queues may be nil if fixed is empty. New returns an error if the module does not accept the settings.
func New(
	n *config.Node, counters *Counters, transport, queues Transport, watcher ListWatcher, fixed []config.Worker,
) (*Core, error) {
	module, err := decision.New(n.Module, n.Seed)
	if err != nil {
		return nil, err
	}
	c := &Core{
		Counters:       counters,
		limits:         n.Limits,
		node:           n,
		transport:      transport,
		queueTransport: queues,
		watcher:        watcher,
		fixedWorkers:   fixed,
		mailbox:        make(chan func(), n.Limits.QueuedEvents),
		ended:          make(chan struct{}),
		started:        time.Now(),
		module:         module,
		jobs:           map[decision.JobID]*Job{},
		workers:        map[decision.WorkerID]*workerState{},
		workerByName:   map[string]decision.WorkerID{},
		ids:            map[string]bool{},
	}
	c.workerCounts.Store(&[3]int{})
	return c, nil
}

// Run runs the core until ctx is done. It first applies the list of workers that the node has cached from an earlier
// run.
func (c *Core) Run(ctx context.Context) {
	defer close(c.ended)
	c.applyList(decision.ListCached, c.node.KnownWorkers.Workers)
	wake := time.NewTimer(0)
	defer wake.Stop()
	for {
		if len(c.timers) > 0 {
			wake.Reset(c.timers[0].at - c.now())
		} else {
			wake.Reset(maxIdleSleep)
		}
		select {
		case <-ctx.Done():
			return
		case f := <-c.mailbox:
			f()
		case <-wake.C:
		}
		c.runDueTimers()
	}
}

// Wait blocks until Run has returned.
func (c *Core) Wait() { <-c.ended }

// now returns the time on the module's clock. The clock is monotonic: steps of the wall clock do not affect it.
func (c *Core) now() time.Duration { return clockOrigin + time.Since(c.started) }

// Clock returns the current time on the core's clock, which Event.At uses, and the wall-clock time at that moment.
func (c *Core) Clock() (time.Duration, time.Time) { return c.now(), time.Now() }

// OpenJobs returns the number of jobs without an answer.
func (c *Core) OpenJobs() int { return int(c.openJobs.Load()) }

// post queues a function for the core's goroutine. It blocks while the mailbox is full, which applies backpressure to
// the caller. Once Run has returned it drops the function.
func (c *Core) post(f func()) {
	select {
	case c.mailbox <- f:
	case <-c.ended:
	}
}
