package amqp

import (
	"context"
	"errors"

	amqp "github.com/rabbitmq/amqp091-go"

	"gladepick/internal/decision"
	"gladepick/internal/dispatcher/dispatch"
)

// jobsConsumer is the consumer tag of the jobs queue.
const jobsConsumer = "jobs"

// Reasons for the end of a session other than an error of the library.
var (
	errClosed            = errors.New("closed")
	errConsumerCancelled = errors.New("the broker has cancelled the consumer")
	errRepliesCancelled  = errors.New("the broker has cancelled the reply queue")
)

// session is one connection to the broker. It has a channel for each flow of messages, so that none blocks another.
type session struct {
	conn     *amqp.Connection
	jobs     *amqp.Channel    // deliveries of jobs
	answers  *amqp.Channel    // answers to clients, with publisher confirms
	attempts *amqp.Channel    // attempts to workers, and their replies
	closed   chan *amqp.Error // receives a value when a channel is closed

	replyQueue string // queue for the replies of workers
	replies    <-chan amqp.Delivery
	returned   <-chan amqp.Return // attempts that the broker could not route to a queue
}

// openSession connects to the broker and sets up the session, except for the consumption of jobs.
func (a *Adapter) openSession() (*session, error) {
	conn, err := amqp.DialConfig(a.settings.URL, amqp.Config{
		Heartbeat:  a.limits.DiscoverySilenceTimeout,
		Dial:       a.Dial,
		Properties: amqp.Table{"product": "gladepick", "connection_name": a.node.Name},
	})
	if err != nil {
		return nil, err
	}
	s := &session{conn: conn, closed: make(chan *amqp.Error, 3)}
	if err := s.setUp(a); err != nil {
		conn.Close()
		return nil, err
	}
	return s, nil
}

// setUp opens the channels and consumes the queue for replies.
func (s *session) setUp(a *Adapter) (err error) {
	for _, channel := range []**amqp.Channel{&s.jobs, &s.answers, &s.attempts} {
		if *channel, err = s.conn.Channel(); err != nil {
			return err
		}
		// The library closes the Go channel of a notification. If several AMQP channels shared it, it would be closed
		// twice, which panics.
		notification := (*channel).NotifyClose(make(chan *amqp.Error, 1))
		go func() { s.closed <- <-notification }()
	}
	if err = s.jobs.Qos(a.settings.Prefetch, 0, false); err != nil {
		return err
	}
	if err = s.answers.Confirm(false); err != nil {
		return err
	}
	s.returned = s.attempts.NotifyReturn(make(chan amqp.Return, a.limits.OpenJobs))
	queue, err := s.attempts.QueueDeclare("", false, true, true, false, nil)
	if err != nil {
		return err
	}
	s.replyQueue = queue.Name
	s.replies, err = s.attempts.Consume(queue.Name, "", true, true, false, false, nil)
	return err
}

// serve opens one session and handles its messages until it ends.
func (a *Adapter) serve(ctx context.Context) error {
	s, err := a.openSession()
	if err != nil {
		return err
	}
	defer s.conn.Close()
	var jobs <-chan amqp.Delivery
	draining := a.draining
	select {
	case <-draining: // a session that opens during a drain only receives replies of workers
		draining = nil
	default:
		if jobs, err = s.jobs.Consume(a.settings.JobQueue, jobsConsumer, false, false, false, false, nil); err != nil {
			return err
		}
	}
	a.mu.Lock()
	a.session = s
	a.mu.Unlock()
	defer a.dropSession()
	return a.receive(ctx, s, jobs, draining)
}

// receive handles the messages and events of a session until it ends. draining is nil if jobs are not consumed any
// more.
func (a *Adapter) receive(ctx context.Context, s *session, jobs <-chan amqp.Delivery, draining chan struct{}) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case err := <-s.closed:
			if err == nil {
				return errClosed
			}
			return err
		case <-draining:
			draining = nil
			go s.jobs.Cancel(jobsConsumer, false)
		case m, ok := <-jobs:
			if !ok {
				jobs = nil // cancelled by a drain, or by the broker because the queue was deleted
				if draining != nil {
					return errConsumerCancelled
				}
				continue
			}
			a.unsettled.Add(1)
			a.handleDelivery(delivery{m, s})
		case m, ok := <-s.replies:
			if !ok {
				return errRepliesCancelled
			}
			a.readReply(m)
		case r, ok := <-s.returned:
			if attempt := a.resolve(r.CorrelationId); ok && attempt != nil { // not routed to a queue, so no worker saw it
				attempt.End(decision.ConnectFailed, decision.Load{}, nil)
			}
		}
	}
}

// dropSession removes the session and ends its attempts in flight with decision.Reset, because they may have run.
func (a *Adapter) dropSession() {
	a.mu.Lock()
	a.session = nil
	attempts := a.inFlight
	a.inFlight = map[string]*dispatch.Attempt{}
	a.mu.Unlock()
	for _, attempt := range attempts {
		attempt.End(decision.Reset, decision.Load{}, nil)
	}
}
