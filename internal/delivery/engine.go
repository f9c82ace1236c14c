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

// Owner stores the messages that an Engine delivers. The engine calls its methods without holding locks, and from
// several goroutines. The event loop calls MayDeliver too, so MayDeliver must not block; the other methods may block.
type Owner interface {
	// Body returns the body of a message. It is called once for each attempt. If it returns an error, the message is
	// tried again later.
	Body(m *message.Message) ([]byte, error)
	// MayDeliver reports whether attempts at messages of a partition may start now.
	MayDeliver(partition int) bool
	// Failed reports that a worker responded with status 500, and the number of such failures of the message so far.
	// The last failure that a route allows is reported by Ended alone.
	Failed(m *message.Message, failures int)
	// Ended reports how a message ended. It is called once for each message.
	Ended(m *message.Message, outcome message.Outcome)
}

// Options configure an Engine.
type Options struct {
	Name    string // the store's name, for logs
	Zone    string // the store's zone; its workers are preferred
	Network network.Network
	Owner   Owner
	Logger  *zap.Logger
	Seed    uint64 // of all random choices of the engine
	// DrainGrace is how long a message may still reach a worker after the engine has learned that the worker drains.
	DrainGrace time.Duration
	// CallerCount returns the number of callers that share the connections and slots of each worker. The event loop
	// calls it often, so it must not block. Nil means one caller.
	CallerCount func() int
}

// Engine delivers messages. It is created by New and started by Run. Messages may be submitted before Run is called.
// All methods are safe for concurrent use.
type Engine struct {
	options    Options
	logger     *zap.Logger
	started    time.Time
	events     eventQueue
	gates      *partitionGates
	ownerCalls sync.WaitGroup // goroutines that call the owner: attempts and notifications
	gauges     gauges

	// The event loop owns the following fields. Times are on the engine's clock.
	random          *rand.Rand // the order of draws is part of the behaviour
	timers          timerQueue
	table           *configuration.Table
	rateDivisor     int // divides the rate limit of each service; see cluster.Table.LimitDivisor
	backlog         *backlog
	services        map[string]*service
	endpoints       *endpointSet
	parkedRecheckAt map[int]time.Duration // by partition with parked messages: when to check it again
	ended           []endedMessage        // ended without an attempt in this turn; reported at its end
	nextExpiry      time.Duration         // no message expires earlier
	schedule        serviceSchedule
	lastFullSweep   time.Duration // when all services were last run
}

// New creates an engine. It starts no goroutine.
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
		rateDivisor:     1,
		backlog:         newBacklog(),
		services:        make(map[string]*service),
		parkedRecheckAt: make(map[int]time.Duration),
		nextExpiry:      never,
	}
	engine.events.wake = make(chan struct{}, 1)
	engine.endpoints = newEndpointSet(options)
	return engine
}

// Run delivers messages until the context ends. Then it starts no more attempts and waits for those in flight, which
// take up to the longest timeout of a route. It returns when the owner has been notified of their results. The event
// loop runs on the caller's goroutine.
func (e *Engine) Run(ctx context.Context) {
	e.loop(ctx)
	e.gates.pause()
	e.drainAttempts()
	e.endpoints.closeAll()
}

// SetConfiguration replaces the operator's configuration. A configuration that is older than the current one is
// ignored.
func (e *Engine) SetConfiguration(table *configuration.Table) {
	e.events.push(configurationChanged{table})
}

// SetWorkers replaces the list of workers. Once it has returned, no attempt is sent to a worker that drains or is not
// on the list.
func (e *Engine) SetWorkers(workers []cluster.Worker) {
	e.endpoints.publish(workers)
	e.events.push(workersChanged{})
}

// SetRateDivisor sets the number by which the rate limit of each service is divided to get this store's part of it
// (cluster.Table.LimitDivisor).
func (e *Engine) SetRateDivisor(divisor int) { e.events.push(rateDivisorChanged{max(divisor, 1)}) }

// Submit adds a committed message of a partition that this store leads. The failures are the number of responses with
// status 500 so far. If a released partition is reacquired, the owner submits its messages again in the order of their
// sequence numbers.
func (e *Engine) Submit(m *message.Message, failures int) {
	e.events.push(submitted{m, failures, e.gates.generation(m.Partition)})
}

// Release drops the queued messages of a partition that another store leads now. Once Release has returned, no attempt
// at them starts. Attempts in flight run to their end, and the owner is notified of their results.
func (e *Engine) Release(partition int) {
	e.events.push(released{partition, e.gates.release(partition)})
}

// Pause prevents attempts from starting until Resume is called. It takes effect before it returns.
func (e *Engine) Pause() { e.gates.pause() }

// Resume ends a pause of all partitions. Partitions that PausePartition has paused stay paused.
func (e *Engine) Resume() {
	e.gates.resume()
	e.events.push(resumed{})
}

// PausePartition prevents attempts of one partition from starting until ResumePartition is called. It takes effect
// before it returns.
func (e *Engine) PausePartition(partition int) { e.gates.pausePartition(partition) }

// ResumePartition ends a pause of one partition.
func (e *Engine) ResumePartition(partition int) {
	e.gates.resumePartition(partition)
	e.events.push(partitionResumed{partition})
}

// InFlight returns the number of attempts in flight: those that have started and whose result has not been reported to
// the owner yet.
func (e *Engine) InFlight() int { return e.gates.inFlight() }

// InFlightOf returns the number of attempts of one partition that are in flight.
func (e *Engine) InFlightOf(partition int) int { return e.gates.inFlightOf(partition) }

// now returns the time on the engine's clock. The clock starts above zero, because the decision module treats zero as
// "never".
func (e *Engine) now() time.Duration { return clockStart + time.Since(e.started) }

// clockTime converts a time to the engine's clock. The zero time stays zero.
func (e *Engine) clockTime(t time.Time) time.Duration {
	if t.IsZero() {
		return 0
	}
	return clockStart + t.Sub(e.started)
}

const (
	clockStart = time.Hour                // the time on the engine's clock at which the engine is created
	never      = time.Duration(1<<63 - 1) // later than any other time on the engine's clock
)
