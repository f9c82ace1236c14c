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

// Owner keeps the messages that an Engine delivers. Its methods are called without locks of the engine, and from several
// goroutines. MayDeliver is also called by the event loop, so it returns at once; the others may take their time.
type Owner interface {
	// Body returns a message's body. It is called once for each attempt; after an error the message is tried again later.
	Body(m *message.Message) ([]byte, error)
	// MayDeliver tells whether deliveries of a partition may start now.
	MayDeliver(partition int) bool
	// Failed reports that a worker answered 500, and how often that has happened to the message by now. The last failure
	// that a route allows is reported by Ended alone.
	Failed(m *message.Message, failures int)
	// Ended reports once for each message how it ended.
	Ended(m *message.Message, outcome message.Outcome)
}

// Options configure an Engine.
type Options struct {
	Name    string // the store's name, for logs
	Zone    string // the store's zone, whose workers are preferred
	Network network.Network
	Owner   Owner
	Logger  *zap.Logger
	Seed    uint64 // of all random choices
	// Drain is how long after a worker is known to drain a message may still reach it.
	Drain time.Duration
	// ConnectionShare returns the number of callers among which a worker's connections and slots are divided. The event
	// loop calls it often. Nil means one.
	ConnectionShare func() int
}

// Engine delivers messages. Make it with New and start it with Run; messages may be submitted before that. All methods may
// be called at any time, by any goroutine.
type Engine struct {
	options    Options
	logger     *zap.Logger
	started    time.Time
	events     eventQueue
	gates      *partitionGates
	ownerCalls sync.WaitGroup // goroutines that call the owner: attempts and notifications
	gauges     gauges

	// What follows belongs to the event loop. Times are on the engine's clock.
	random          *rand.Rand // the order of draws is part of the behaviour
	timers          timerQueue
	table           *configuration.Table
	rateDivisor     int // a service's rate limit is divided by it; see cluster.Table.LimitDivisor
	backlog         *backlog
	services        map[string]*service
	endpoints       *endpointSet
	parkedRecheckAt map[int]time.Duration // when to recheck the partitions that have parked messages
	ended           []endedMessage        // collected in a turn, reported at its end
	nextExpiry      time.Duration         // no message expires before
	schedule        serviceSchedule
	lastFullSweep   time.Duration // when all services were run last
}

// New makes an engine. It starts no goroutine.
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

// Run delivers messages until the context ends. Then it starts no more attempts, waits for those in flight, which take
// up to the longest timeout of a route, and returns when the owner has been notified of their results. The event loop runs
// on the caller's goroutine.
func (e *Engine) Run(ctx context.Context) {
	e.loop(ctx)
	e.gates.pause()
	e.drainAttempts()
	e.endpoints.closeAll()
}

// SetConfiguration replaces the operator's configuration. An older version than the present one is ignored.
func (e *Engine) SetConfiguration(table *configuration.Table) {
	e.events.push(configurationChanged{table})
}

// SetWorkers replaces the list of workers. No attempt is sent to a worker that drains or is missing once it has returned.
func (e *Engine) SetWorkers(workers []cluster.Worker) {
	e.endpoints.publish(workers)
	e.events.push(workersChanged{})
}

// SetDeliverers sets the divisor by which this store's part of each rate limit is computed (cluster.Table.LimitDivisor).
func (e *Engine) SetDeliverers(n int) { e.events.push(rateDivisorChanged{max(n, 1)}) }

// Submit hands in a committed message of a partition that this store leads, and how often workers have answered 500 to it
// so far.
// After a Release, the messages of a partition that comes back are submitted again in the order of their sequence numbers.
func (e *Engine) Submit(m *message.Message, failures int) {
	e.events.push(submitted{m, failures, e.gates.generation(m.Partition)})
}

// Release drops the queued messages of a partition that is led elsewhere now. No attempt of them starts after Release has
// returned; those in flight go on, and the owner is notified of their results.
func (e *Engine) Release(partition int) {
	e.events.push(released{partition, e.gates.release(partition)})
}

// Pause lets no attempt start until Resume. It is in force when it returns.
func (e *Engine) Pause() { e.gates.pause() }

// Resume ends a Pause.
func (e *Engine) Resume() {
	e.gates.resume()
	e.events.push(resumed{})
}

// PausePartition lets no attempt of a partition start until ResumePartition. It is in force when it returns.
func (e *Engine) PausePartition(partition int) { e.gates.pausePartition(partition) }

// ResumePartition ends a PausePartition.
func (e *Engine) ResumePartition(partition int) {
	e.gates.resumePartition(partition)
	e.events.push(partitionResumed{partition})
}

// InFlight is the number of attempts that have started and of whose result the owner has not been notified yet.
func (e *Engine) InFlight() int { return e.gates.inFlight() }

// InFlightOf is InFlight of one partition.
func (e *Engine) InFlightOf(partition int) int { return e.gates.inFlightOf(partition) }

// now is the time on the engine's clock. It starts above zero, as the decision module takes zero for "never".
func (e *Engine) now() time.Duration { return clockStart + time.Since(e.started) }

// at converts a time to the engine's clock. The zero time stays zero.
func (e *Engine) at(moment time.Time) time.Duration {
	if moment.IsZero() {
		return 0
	}
	return clockStart + moment.Sub(e.started)
}

const (
	clockStart = time.Hour                // on the engine's clock, when the engine is made
	never      = time.Duration(1<<63 - 1) // later than all times on the engine's clock
)
