// Package dispatch is the core of a dispatcher. It connects the fronts, which
// bring jobs, and the transports, which carry attempts to workers, with the
// decision module, which alone decides which worker takes a job and whether one
// is let in.
//
// The package owns the open jobs and their identifiers, the module's clock and
// timers, and the table of listed workers. It is responsible for these
// invariants, whatever the module does: a job gets one final answer, by its
// deadline; one attempt of a job is out at a time, unless the settings allow
// several; nothing is sent to a worker that is known to leave or for a client
// that has left. Connections, messages and wire formats are unknown here.
//
// One goroutine, Core.Run, owns the module and everything that has no lock or
// atomic type. All other goroutines (fronts, transports, discovery) hand it
// functions through a mailbox of bounded size: Core.post. What they may touch
// themselves is Core.ids under Core.mu, and the atomic fields of Core, Job,
// Attempt and workerState.
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

// clockOrigin is where the module's clock starts: workers that started before this process have times above zero too.
const clockOrigin = time.Hour

// idleWake is how long the core's goroutine sleeps at most while no timer is set.
const idleWake = time.Hour

// Core runs the decision module. Make it with New and start it with Run.
type Core struct {
	// Counters are those that New was given.
	Counters *Counters
	// Observer is shown what the core does; nil is none. Set it before Run and before the first Submit.
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

	// Of the core's goroutine alone.
	module       *decision.Dispatcher
	timers       priorityqueue.Queue[timer]
	timersSet    uint64
	jobs         map[decision.JobID]*Job
	lastJob      decision.JobID
	workers      map[decision.WorkerID]*workerState
	workerByName map[string]decision.WorkerID

	// Of all goroutines.
	openJobs     atomic.Int64
	workerCounts atomic.Pointer[[3]int] // by decision.State

	mu  sync.Mutex
	ids map[string]bool // of jobs that are open or still out at a worker
}

// New makes a core for a node. queues serves the workers that take their jobs from queues, which fixed names; it may be
// nil where there are none. The error is the module's: settings that it cannot work with.
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

// Run owns the module until ctx ends. The list of workers that the node knows from before comes first.
func (c *Core) Run(ctx context.Context) {
	defer close(c.ended)
	c.applyList(decision.ListCached, c.node.KnownWorkers.Workers)
	wake := time.NewTimer(0)
	defer wake.Stop()
	for {
		if len(c.timers) > 0 {
			wake.Reset(c.timers[0].at - c.now())
		} else {
			wake.Reset(idleWake)
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

// Wait returns when Run has ended.
func (c *Core) Wait() { <-c.ended }

// now is the module's clock: monotonic, whatever is done to the machine's calendar.
func (c *Core) now() time.Duration { return clockOrigin + time.Since(c.started) }

// Clock returns the core's clock, on which Event.At stands, and the calendar's time at that moment.
func (c *Core) Clock() (time.Duration, time.Time) { return c.now(), time.Now() }

// OpenJobs returns how many jobs have no answer yet.
func (c *Core) OpenJobs() int { return int(c.openJobs.Load()) }

// post hands a function to the core's goroutine. It blocks while the mailbox is full, which holds the sender back.
func (c *Core) post(f func()) {
	select {
	case c.mailbox <- f:
	case <-c.ended:
	}
}
