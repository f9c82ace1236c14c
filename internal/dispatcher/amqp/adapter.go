// Package amqp connects a dispatcher with a broker over AMQP 0-9-1. It is a front,
// which takes jobs from a queue and answers them to their reply queues, and a
// transport, which carries attempts to workers that take theirs from queues.
//
// Adapter owns the one session with the broker, the attempts that are out at
// queues, and the outcomes of keyed jobs, which it remembers for a while. It is
// responsible for these invariants: a delivery is acknowledged only once the
// broker has confirmed its answer; a key has no second effect because a broker
// delivered twice; a lost channel proves nothing about an attempt that was
// published; and what comes late changes no answer that was given.
//
// Run's goroutine owns a session and reads from it. Each delivery is settled, and
// each attempt published, on a goroutine of its own; they share the session and
// the attempts under Adapter.mu, and the outcomes under outcomes.mu.
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

// Adapter is the front and the transport that speak to one broker. Its exported fields are set before Run.
type Adapter struct {
	// Jobs takes the jobs.
	Jobs dispatch.Submitter
	// Durable tells that keyed jobs outlive their dispatcher: their replicas know of a redelivered one what the outcomes
	// remembered here do not.
	Durable bool
	// Dial opens a connection; tests put their own in its place.
	Dial func(network, address string) (net.Conn, error)

	node      *config.Node
	operator  *config.AMQP
	limits    config.Limits
	counters  *dispatch.Counters
	outcomes  *outcomes
	unsettled sync.WaitGroup // deliveries
	draining  chan struct{}
	drainOnce sync.Once
	published atomic.Uint64 // attempts so far

	mu       sync.Mutex
	session  *session                     // nil: there is none now
	inFlight map[string]*dispatch.Attempt // by correlation id
}

// New makes an adapter for a node whose settings have a broker. counters are the core's.
func New(n *config.Node, counters *dispatch.Counters) *Adapter {
	return &Adapter{
		Dial:     amqp.DefaultDial(n.Limits.DiscoveryCallTimeout),
		node:     n,
		operator: n.AMQP,
		limits:   n.Limits,
		counters: counters,
		outcomes: newOutcomes(n.Limits),
		draining: make(chan struct{}),
		inFlight: map[string]*dispatch.Attempt{},
	}
}

// Workers returns the operator's workers in the form of discovery's list.
func (a *Adapter) Workers() (workers []config.Worker) {
	for _, w := range a.operator.Workers {
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

// Run keeps a session with the broker until ctx ends.
func (a *Adapter) Run(ctx context.Context) {
	for backoff := a.limits.BrokerBackoff; ctx.Err() == nil; {
		began := time.Now()
		err := a.serve(ctx)
		if ctx.Err() != nil {
			return
		}
		if time.Since(began) > a.limits.BrokerBackoffMax { // it had come up and held
			backoff = a.limits.BrokerBackoff
		}
		log.Printf("the session with the broker has ended: %v", err)
		select {
		case <-ctx.Done():
		case <-time.After(backoff):
		}
		backoff = min(2*backoff, a.limits.BrokerBackoffMax)
	}
}

// Drain stops taking jobs. What was taken is still answered; Wait waits for that.
func (a *Adapter) Drain() { a.drainOnce.Do(func() { close(a.draining) }) }

// Wait waits until every delivery that was taken has been answered and acknowledged. Its error says that ctx ended first.
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
		return errors.New("deliveries are left unanswered")
	}
}
