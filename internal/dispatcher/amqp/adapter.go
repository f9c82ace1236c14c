// Package amqp connects a dispatcher with a broker over AMQP 0-9-1. It is both a front, which consumes jobs from a
// queue and publishes the answers to the reply queues of the clients, and a transport, which publishes attempts to the
// queues of the workers.
//
// Adapter owns the session with the broker, the attempts that are in flight, and the recent outcomes of jobs. It keeps
// these invariants:
//
//   - A delivery is acknowledged only after the broker has confirmed its answer.
//   - A redelivery by the broker does not run a keyed job a second time.
//   - If a channel is lost, the outcome of a published attempt is unknown: it may have run.
//   - A late reply does not change an answer that was sent.
//
// The goroutine of Run opens a session and receives from it. Each delivery is settled, and each attempt published, on a
// goroutine of its own. These goroutines share the session and the attempts under Adapter.mu, and the outcomes under
// outcomes.mu.
//
// Start reading at Adapter.serve.
package amqp

import (
	"context"
	"errors"
	"log"
	"net"
	"sync"
	"sync/atomic"
	"time"

	amqp "github.com/rabbitmq/amqp091-go"

	"gladepick/internal/dispatcher/config"
	"gladepick/internal/dispatcher/dispatch"
)

// Adapter is the front and the transport for one broker. Its exported fields must be set before Run.
type Adapter struct {
	// Jobs receives the jobs of the clients.
	Jobs dispatch.Submitter
	// DurableJobs reports whether keyed jobs survive their dispatcher: their replicas then detect the redelivery of a job
	// whose outcome is not stored here.
	DurableJobs bool
	// Dial opens a connection to the broker. Tests replace it.
	Dial func(network, address string) (net.Conn, error)

	node      *config.Node
	settings  *config.AMQP
	limits    config.Limits
	counters  *dispatch.Counters
	outcomes  *outcomes
	unsettled sync.WaitGroup // deliveries without an acknowledgement
	draining  chan struct{}
	drainOnce sync.Once
	published atomic.Uint64 // number of attempts so far; makes correlation ids unique

	mu       sync.Mutex
	session  *session                     // nil while there is no session
	inFlight map[string]*dispatch.Attempt // by correlation id
}

// New returns an adapter for a node whose settings have a broker. counters are those of the core.
func New(n *config.Node, counters *dispatch.Counters) *Adapter {
	return &Adapter{
		Dial:     amqp.DefaultDial(n.Limits.DiscoveryCallTimeout),
		node:     n,
		settings: n.AMQP,
		limits:   n.Limits,
		counters: counters,
		outcomes: newOutcomes(n.Limits),
		draining: make(chan struct{}),
		inFlight: map[string]*dispatch.Attempt{},
	}
}

// Workers returns the workers of the broker's settings in the form in which discovery lists workers.
func (a *Adapter) Workers() (workers []config.Worker) {
	for _, w := range a.settings.Workers {
		workers = append(workers, config.Worker{
			ID:      w.ID,
			Address: "amqp:" + w.Queue,
			Queue:   w.Queue,
			Zone:    w.Zone,
			Kind:    w.Kind,
			Cell:    w.Cell,
			State:   "ready",
			Weight:  1,
		})
	}
	return workers
}

// Run keeps a session with the broker open until ctx ends. It reconnects with exponential backoff.
func (a *Adapter) Run(ctx context.Context) {
	for backoff := a.limits.BrokerBackoff; ctx.Err() == nil; {
		began := time.Now()
		err := a.serve(ctx)
		if ctx.Err() != nil {
			return
		}
		if time.Since(began) > a.limits.BrokerBackoffMax { // the session was stable
			backoff = a.limits.BrokerBackoff
		}
		log.Printf("AMQP session ended: %v", err)
		select {
		case <-ctx.Done():
		case <-time.After(backoff):
		}
		backoff = min(2*backoff, a.limits.BrokerBackoffMax)
	}
}

// Drain stops the consumption of jobs. Deliveries that were received are still answered; Wait waits for them.
func (a *Adapter) Drain() { a.drainOnce.Do(func() { close(a.draining) }) }

// Wait waits until every received delivery has been answered and acknowledged. It returns an error if ctx ends before.
func (a *Adapter) Wait(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		a.unsettled.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return errors.New("not all deliveries were answered in time")
	}
}
