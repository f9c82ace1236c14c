// Package delivery hands committed messages to workers over HTTP/1.1 when they are due.
//
// An Engine keeps the messages that have not ended, in order by due time and by order key. One goroutine, the loop,
// owns all of that state; the exported methods post typed events to it and return at once. Which worker takes a
// message, and whether a message is tried again at once, is decided by the package decision: the loop keeps one
// decision.Dispatcher per service and carries out its actions. Attempts run in goroutines of their own.
package delivery

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"gladepick/internal/cluster"
	"gladepick/internal/configuration"
	"gladepick/internal/message"
	"gladepick/internal/network"
)

// Owner keeps the messages that an Engine delivers. Its methods are never called with locks of the engine held.
type Owner interface {
	// Body returns a message's body. It is asked once for each attempt.
	Body(m *message.Message) ([]byte, error)
	// MayDeliver tells whether deliveries of a partition may start now.
	MayDeliver(partition int) bool
	// Failed reports that a worker answered 500, and how often that has happened to the message by now. The last failure
	// that a route allows is reported by Ended alone.
	Failed(m *message.Message, failures int)
	// Ended reports once for each message how it ended.
	Ended(m *message.Message, outcome message.Outcome)
}

// Options are what an Engine is made of.
type Options struct {
	Name    string // the store's name, for logs
	Zone    string // the store's zone: its workers are preferred
	Network network.Network
	Owner   Owner
	Logger  *zap.Logger
	Seed    uint64
	// Drain is how long after a worker is known to leave a message may still reach it.
	Drain time.Duration
	// ConnectionShare tells by how many callers a worker's connections and slots are divided; nil means one.
	ConnectionShare func() int
}

// Engine delivers messages. Make it with New and start it with Run; messages may be submitted before that.
type Engine struct {
	options    Options
	logger     *zap.Logger
	started    time.Time
	events     eventQueue
	gates      *partitionGates
	ownerCalls sync.WaitGroup // goroutines that call the owner
	random     *rand.Rand
	gauges     gauges

	// What follows belongs to the loop.
	timers          timerQueue
	table           *configuration.Table
	deliverers      int
	backlog         *backlog
	services        map[string]*service
	endpoints       *endpointSet
	parkedRecheckAt map[int]time.Duration // partitions that may not deliver, with the time of their next look
	ended           []endedMessage        // collected in a turn of the loop, reported after it
	nextExpiry      time.Duration         // no queued message expires before
	schedule        serviceSchedule       // which services need a look
	lastFullSweep   time.Duration         // when all services were last looked at
}

// ending is a message that ended without an attempt.
type endedMessage struct {
	message *message.Message
	outcome message.Outcome
}

// New makes an engine.
func New(options Options) *Engine {
	if options.Logger == nil {
		options.Logger = zap.NewNop()
	}
	engine := &Engine{
		options:         options,
		logger:          options.Logger.With(zap.String("part", "delivery"), zap.String("store", options.Name)),
		started:         time.Now(),
		gates:           newPartitionGates(),
		random:          rand.New(rand.NewPCG(options.Seed, options.Seed+1)),
		deliverers:      1,
		backlog:         newBacklog(),
		services:        make(map[string]*service),
		parkedRecheckAt: make(map[int]time.Duration),
		nextExpiry:      never,
	}
	engine.events.wake = make(chan struct{}, 1)
	engine.endpoints = newEndpointSet(options)
	return engine
}

// Run delivers messages until the context ends. Then it starts no more attempts, waits for those in flight, which take
// up to the longest timeout of a route, and returns when the owner has been told of them.
func (e *Engine) Run(ctx context.Context) {
	e.loop(ctx)
	e.gates.pause()
	e.drainAttempts()
	e.endpoints.closeAll()
}

// SetConfiguration swaps the operator's configuration.
func (e *Engine) SetConfiguration(table *configuration.Table) {
	e.events.push(configurationChanged{table})
}

// SetWorkers swaps the list of workers.
func (e *Engine) SetWorkers(workers []cluster.Worker) {
	e.endpoints.publish(workers)
	e.events.push(workersChanged{})
}

// SetDeliverers tells by how many stores the services' rate ceilings are divided.
func (e *Engine) SetDeliverers(n int) { e.events.push(deliverersChanged{max(n, 1)}) }

// Submit hands in a committed message of a partition that this store leads, and how often it has failed so far.
func (e *Engine) Submit(m *message.Message, failures int) {
	e.events.push(submitted{m, failures, e.gates.generation(m.Partition)})
}

// Release forgets what is queued of a partition that is led elsewhere now. No attempt of it starts after Release has
// returned; those in flight go on, and the owner is told of their ends.
func (e *Engine) Release(partition int) {
	e.events.push(released{partition, e.gates.release(partition)})
}

// Pause lets no attempt start until Resume. It holds when it returns.
func (e *Engine) Pause() { e.gates.pause() }

// Resume ends a Pause.
func (e *Engine) Resume() {
	e.gates.resume()
	e.events.push(resumed{})
}

// PausePartition lets no attempt of a partition start until ResumePartition. It holds when it returns.
func (e *Engine) PausePartition(partition int) { e.gates.pausePartition(partition) }

// ResumePartition ends a PausePartition.
func (e *Engine) ResumePartition(partition int) {
	e.gates.resumePartition(partition)
	e.events.push(partitionResumed{partition})
}

// InFlight is how many attempts are out, or have ended without the owner knowing yet.
func (e *Engine) InFlight() int { return e.gates.inFlight() }

// InFlightOf is InFlight of one partition.
func (e *Engine) InFlightOf(partition int) int { return e.gates.inFlightOf(partition) }

// now is the engine's clock. It starts above zero, as the decision module takes zero for "never".
func (e *Engine) now() time.Duration { return clockStart + time.Since(e.started) }

// at converts a moment to the engine's clock.
func (e *Engine) at(moment time.Time) time.Duration {
	if moment.IsZero() {
		return 0
	}
	return clockStart + moment.Sub(e.started)
}

const (
	clockStart = time.Hour
	never      = time.Duration(1<<63 - 1)
)
