package amqp

import (
	"context"
	"errors"

	amqp "github.com/rabbitmq/amqp091-go"

	"gladepick/internal/decision"
	"gladepick/internal/dispatcher/dispatch"
)

// jobsConsumer is the tag under which jobs are consumed.
const jobsConsumer = "jobs"

// Why a session ends, where it is not the library's error.
var (
	errClosed            = errors.New("closed")
	errConsumerCancelled = errors.New("the broker has cancelled the consumer")
	errRepliesCancelled  = errors.New("the broker has cancelled the reply queue")
)

// session is one connection to the broker, with a channel for each direction so that none blocks another.
type session struct {
	conn     *amqp.Connection
	jobs     *amqp.Channel    // deliveries of jobs
	answers  *amqp.Channel    // to clients, with confirms
	attempts *amqp.Channel    // to workers, and their replies
	lost     chan *amqp.Error // gets a value for each channel that is closed

	replyQueue string // that workers answer to
	replies    <-chan amqp.Delivery
	returned   <-chan amqp.Return // attempts that no queue took
}

// openSession connects to the broker and sets up everything but the consumption of jobs.
func (a *Adapter) openSession() (*session, error) {
	conn, err := amqp.DialConfig(a.operator.URL, amqp.Config{
		Heartbeat:  a.limits.DiscoverySilenceTimeout,
		Dial:       a.Dial,
		Properties: amqp.Table{"product": "gladepick", "connection_name": a.node.Name},
	})
	if err != nil {
		return nil, err
	}
	s := &session{conn: conn, lost: make(chan *amqp.Error, 3)}
	if err := s.setUp(a); err != nil {
		conn.Close()
		return nil, err
	}
	return s, nil
}

// setUp opens the channels and the queue for replies.
func (s *session) setUp(a *Adapter) (err error) {
	for _, channel := range []**amqp.Channel{&s.jobs, &s.answers, &s.attempts} {
		if *channel, err = s.conn.Channel(); err != nil {
			return err
		}
		// The library closes each channel of notifications: one shared by several would be closed twice, which panics.
		closed := (*channel).NotifyClose(make(chan *amqp.Error, 1))
		go func() { s.lost <- <-closed }()
	}
	if err = s.jobs.Qos(a.operator.Prefetch, 0, false); err != nil {
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

// serve opens one session and runs it to its end.
func (a *Adapter) serve(ctx context.Context) error {
	s, err := a.openSession()
	if err != nil {
		return err
	}
	defer s.conn.Close()
	var jobs <-chan amqp.Delivery
	draining := a.draining
	select {
	case <-draining: // a session that comes up late only brings workers' answers home
		draining = nil
	default:
		if jobs, err = s.jobs.Consume(a.operator.JobQueue, jobsConsumer, false, false, false, false, nil); err != nil {
			return err
		}
	}
	a.mu.Lock()
	a.session = s
	a.mu.Unlock()
	defer a.dropSession()
	return a.relay(ctx, s, jobs, draining)
}

// relay takes what comes in a session until it ends. draining is nil once jobs are taken no more.
func (a *Adapter) relay(ctx context.Context, s *session, jobs <-chan amqp.Delivery, draining chan struct{}) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case err := <-s.lost:
			if err == nil {
				return errClosed
			}
			return err
		case <-draining:
			draining = nil
			go s.jobs.Cancel(jobsConsumer, false)
		case m, ok := <-jobs:
			if !ok {
				jobs = nil // cancelled, by this side or by the broker when the queue was deleted
				if draining != nil {
					return errConsumerCancelled
				}
				continue
			}
			a.unsettled.Add(1)
			a.take(delivery{m, s})
		case m, ok := <-s.replies:
			if !ok {
				return errRepliesCancelled
			}
			a.readReply(m)
		case r, ok := <-s.returned:
			if attempt := a.resolve(r.CorrelationId); ok && attempt != nil { // no queue took it: no worker can have seen it
				attempt.End(decision.ConnectFailed, decision.Load{}, nil)
			}
		}
	}
}

// dropSession ends a session. Attempts that were published and have no outcome may have run.
func (a *Adapter) dropSession() {
	a.mu.Lock()
	a.session = nil
	lost := a.inFlight
	a.inFlight = map[string]*dispatch.Attempt{}
	a.mu.Unlock()
	for _, attempt := range lost {
		attempt.End(decision.Reset, decision.Load{}, nil)
	}
}
