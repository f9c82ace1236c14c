// Package amqp is the second front and the second floor: it takes jobs from a
// broker's queue, answers them to their reply queues, and carries attempts to
// workers that take theirs from queues. It owns the connection to the broker
// and the ledger of keyed outcomes. A delivery is acked only once the broker
// has confirmed its answer. This package must never send a key's effect twice
// because a broker delivered twice, take a lost channel as proof that nothing
// ran, or let what comes late change an answer that was given.
package amqp

import (
	"container/list"
	"context"
	"errors"
	"fmt"
	"log"
	"math"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	amqp "github.com/rabbitmq/amqp091-go"

	"gladepick/internal/decision"
	"gladepick/internal/dispatcher/clienthttp"
	"gladepick/internal/dispatcher/config"
	"gladepick/internal/dispatcher/dispatch"
)

// The answer's type property, one for each verdict and one for messages that are no job.
const (
	typeServed    = "served"
	typeRefused   = "refused"
	typeFailed    = "failed"
	typeMalformed = "malformed"
)

// Desk holds both sides that speak to one broker.
type Adapter struct {
	Jobs    dispatch.Submitter                              // set before Run
	Durable bool                                            // keyed jobs are taken for keeps: the copies know of a redelivered one what the ledger doesn't
	Dial    func(network, address string) (net.Conn, error) // tests put their own in its place

	node     *config.Node
	conf     *config.AMQP
	lim      config.Limits
	counters *dispatch.Counters
	ledger   ledger
	busy     sync.WaitGroup // deliveries that are not settled
	leaving  chan struct{}
	leave    sync.Once

	mu      sync.Mutex
	now     *session
	pending map[string]*dispatch.Attempt // attempts at workers, by their correlation id
	sends   atomic.Uint64
}

// session is one connection to the broker, with a channel for each direction so that none blocks another.
type session struct {
	conn          *amqp.Connection
	in, out, back *amqp.Channel
	replies       string // the queue that workers answer to
}

// New makes a desk for a node whose settings have one.
func New(n *config.Node, counters *dispatch.Counters) *Adapter {
	d := &Adapter{node: n, conf: n.AMQP, lim: n.Limits, counters: counters, pending: map[string]*dispatch.Attempt{},
		leaving: make(chan struct{}), Dial: amqp.DefaultDial(n.Limits.DiscoveryCallTimeout)}
	d.ledger = ledger{keep: d.lim.OutcomeRetention, most: d.lim.RetainedOutcomes, bytes: d.lim.RetainedOutcomeBytes,
		pages: map[string]*page{}, done: list.New()}
	return d
}

// Workers are the operator's workers in the form of the roster.
func (d *Adapter) Workers() (out []config.Worker) {
	for _, w := range d.conf.Workers {
		out = append(out, config.Worker{ID: w.ID, Address: "amqp:" + w.Queue, Queue: w.Queue, Zone: w.Zone, Kind: w.Kind,
			Cell: w.Cell, State: "ready", Weight: 1})
	}
	return out
}

// Run keeps a session with the broker until ctx ends.
func (d *Adapter) Run(ctx context.Context) {
	for pause := d.lim.BrokerBackoff; ctx.Err() == nil; {
		began := time.Now()
		err := d.serve(ctx)
		if ctx.Err() != nil {
			return
		}
		if time.Since(began) > d.lim.BrokerBackoffMax { // it had come up and held
			pause = d.lim.BrokerBackoff
		}
		log.Printf("the session with the broker has ended: %v", err)
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
		pause = min(2*pause, d.lim.BrokerBackoffMax)
	}
}

// Leave stops taking jobs. What was taken is still answered; Settled waits for that.
func (d *Adapter) Drain() { d.leave.Do(func() { close(d.leaving) }) }

// Settled waits until every delivery that was taken has been answered and acked, or ctx ends.
func (d *Adapter) Wait(ctx context.Context) error {
	done := make(chan struct{})
	go func() { d.busy.Wait(); close(done) }()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return errors.New("deliveries are left unanswered")
	}
}

// serve opens one session and runs it to its end.
func (d *Adapter) serve(ctx context.Context) error {
	conn, err := amqp.DialConfig(d.conf.URL, amqp.Config{Heartbeat: d.lim.DiscoverySilenceTimeout, Dial: d.Dial,
		Properties: amqp.Table{"product": "gladepick", "connection_name": d.node.Name}})
	if err != nil {
		return err
	}
	defer conn.Close()
	s := &session{conn: conn}
	lost := make(chan *amqp.Error, 3)
	for _, ch := range []**amqp.Channel{&s.in, &s.out, &s.back} {
		if *ch, err = conn.Channel(); err != nil {
			return err
		}
		// The library closes each notice: one shared by several channels would be closed twice, which panics.
		notice := (*ch).NotifyClose(make(chan *amqp.Error, 1))
		go func() { lost <- <-notice }()
	}
	if err = s.in.Qos(d.conf.Prefetch, 0, false); err != nil {
		return err
	}
	if err = s.out.Confirm(false); err != nil {
		return err
	}
	returned := s.back.NotifyReturn(make(chan amqp.Return, d.lim.OpenJobs))
	queue, err := s.back.QueueDeclare("", false, true, true, false, nil)
	if err != nil {
		return err
	}
	s.replies = queue.Name
	replies, err := s.back.Consume(queue.Name, "", true, true, false, false, nil)
	if err != nil {
		return err
	}
	const tag = "jobs"
	var jobs <-chan amqp.Delivery
	leaving := d.leaving
	select {
	case <-leaving: // a session that comes up late only brings workers' answers home
		leaving = nil
	default:
		if jobs, err = s.in.Consume(d.conf.Jobs, tag, false, false, false, false, nil); err != nil {
			return err
		}
	}
	d.mu.Lock()
	d.now = s
	d.mu.Unlock()
	defer d.drop(s)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case e := <-lost:
			if e == nil {
				return errors.New("closed")
			}
			return e
		case <-leaving:
			leaving = nil
			go s.in.Cancel(tag, false)
		case m, ok := <-jobs:
			if !ok {
				jobs = nil // cancelled, by us or by the broker when the queue was deleted
				if leaving != nil {
					return errors.New("the broker has cancelled the consumer")
				}
				continue
			}
			d.busy.Add(1)
			d.take(s, m)
		case m, ok := <-replies:
			if !ok {
				return errors.New("the broker has cancelled the reply queue")
			}
			d.hear(m)
		case r, ok := <-returned:
			if a := d.resolve(r.CorrelationId); ok && a != nil { // no queue took it: no worker can have seen it
				a.End(decision.ConnectFailed, decision.Load{}, nil)
			}
		}
	}
}

// drop ends a session. What it had published and not heard of may have run.
func (d *Adapter) drop(s *session) {
	d.mu.Lock()
	d.now = nil
	lost := d.pending
	d.pending = map[string]*dispatch.Attempt{}
	d.mu.Unlock()
	for _, a := range lost {
		a.End(decision.Reset, decision.Load{}, nil)
	}
}

// parcel is a delivery and the session that its ack belongs to.
type parcel struct {
	amqp.Delivery
	from *session
}

// take makes a job of a delivery, or joins it to the one of its key, or says what is wrong with it.
func (d *Adapter) take(s *session, m amqp.Delivery) {
	p := parcel{m, s}
	j, err := d.read(&m)
	if err != nil {
		d.counters.Malformed.Add(1)
		if m.ReplyTo == "" || m.CorrelationId == "" { // nobody can be told
			m.Reject(false)
			d.busy.Done()
			return
		}
		go d.settle(p, typeMalformed, amqp.Table{"reason": err.Error()}, nil)
		return
	}
	effect := d.node.Module.Classes[j.Class].Idempotency
	keyed := effect != decision.Idempotent && !(d.Durable && effect == decision.Deduplicated)
	name := m.Type + "\x00" + j.IdempotencyKey
	if j.IdempotencyKey == "" {
		name = "\x00" + j.ID
	}
	past := d.ledger.enter(name, keyed, p)
	switch {
	case past.joined:
		d.counters.Redelivered.Add(1)
		return
	case past.answer != nil:
		d.counters.Redelivered.Add(1)
		go d.answer(p, *past.answer)
		return
	case past.unknown: // it came before and may have run, but what became of it is not known here any more
		d.counters.Redelivered.Add(1)
		go d.answer(p, dispatch.Answer{Kind: dispatch.Failed})
		return
	}
	j.Reply = func(a dispatch.Answer) {
		for _, p := range d.ledger.close(name, a) {
			go d.answer(p, a)
		}
	}
	// A client that left while its job waited in the queue, or no room: it is sent nowhere, so trying again is harmless.
	var refused error
	if j.Timeout > 0 {
		refused = d.Jobs.Submit(j)
	}
	switch none := (dispatch.Answer{Kind: dispatch.Rejected, RetryAfter: d.lim.RetryAfter}); {
	case errors.Is(refused, dispatch.ErrDuplicateID): // another job has this id: that one goes on as if nothing had come
		d.counters.Malformed.Add(1)
		for _, p := range d.ledger.close(name, none) {
			go d.settle(p, typeMalformed, amqp.Table{"reason": refused.Error()}, nil)
		}
	case refused != nil || j.Timeout <= 0:
		j.Reply(none)
	}
}

// read checks a message and takes out what decisions need.
func (d *Adapter) read(m *amqp.Delivery) (*dispatch.Job, error) {
	text := func(key string) string { s, _ := m.Headers[key].(string); return s }
	j := &dispatch.Job{ID: m.CorrelationId, IdempotencyKey: m.MessageId, Target: "/" + m.Type, Body: m.Body, Retry: text("x-retried") == "1"}
	if j.ID == "" || !clienthttp.IsHeaderSafe(j.ID) || !clienthttp.IsHeaderSafe(j.IdempotencyKey) || !clienthttp.IsHeaderSafe(m.Type) {
		return nil, errors.New("correlation-id is missing, or it, message-id or type cannot pass on as it is")
	}
	if int64(len(m.Body)) > d.lim.BodyBytes {
		return nil, fmt.Errorf("a body holds %d bytes at most", d.lim.BodyBytes)
	}
	if err := clienthttp.AssignClassAndTenant(d.node, j, m.Type, text("x-tenant-id")); err != nil {
		return nil, err
	}
	if subject := text("x-subject"); subject != "" {
		if !clienthttp.IsHeaderSafe(subject) || strings.ContainsAny(subject, "/?#") {
			return nil, errors.New("x-subject cannot pass on as it is")
		}
		j.Target += "/" + subject
		j.AffinityKey = dispatch.AffinityKey(subject)
	}
	for key, to := range map[string]*float64{"x-slots": &j.Slots, "x-memory": &j.Memory} {
		if s := text(key); s != "" {
			v, err := strconv.ParseFloat(s, 64)
			if err != nil || !(v >= 0 && v < math.MaxInt32) {
				return nil, fmt.Errorf("%s: %q is not a figure", key, s)
			}
			*to = v
		}
	}
	var err error
	if j.Timeout, err = clienthttp.ParseTimeout(m.Expiration, time.Millisecond, d.lim.MaxJobTimeout); err != nil {
		return nil, fmt.Errorf("expiration: %w", err)
	}
	if !m.Timestamp.IsZero() { // it counts from when the client sent it; the stamp has whole seconds only
		left := time.Until(m.Timestamp.Add(time.Second)) + j.Timeout
		j.Timeout = min(j.Timeout, left)
	}
	j.Header = []dispatch.HeaderField{{Name: "X-Priority-Class", Value: m.Type}, {Name: "X-Tenant-Id", Value: text("x-tenant-id")}}
	return j, nil
}

// answer words a final answer.
func (d *Adapter) answer(p parcel, a dispatch.Answer) {
	switch a.Kind {
	case dispatch.Served:
		d.settle(p, typeServed, nil, a.Result)
	case dispatch.Rejected:
		d.settle(p, typeRefused, amqp.Table{"retry-after": strconv.FormatFloat(a.RetryAfter.Seconds(), 'f', 3, 64)}, nil)
	default:
		d.settle(p, typeFailed, nil, nil)
	}
}

// settle publishes an answer and acks the delivery once the broker has confirmed it. Where that fails the broker
// delivers again, and the ledger gives the same answer.
func (d *Adapter) settle(p parcel, kind string, head amqp.Table, body []byte) {
	defer d.busy.Done()
	if p.ReplyTo == "" {
		p.Ack(false)
		return
	}
	sent, err := p.from.out.PublishWithDeferredConfirm("", p.ReplyTo, false, false, amqp.Publishing{
		CorrelationId: p.CorrelationId, MessageId: p.MessageId, Type: kind, Headers: head, Body: body})
	if err == nil {
		ctx, cancel := context.WithTimeout(context.Background(), d.lim.ConfirmTimeout)
		defer cancel()
		var ok bool
		if ok, err = sent.WaitContext(ctx); err == nil && ok {
			p.Ack(false) // a late or lost ack changes nothing: a redelivery meets the ledger
			return
		}
	}
	log.Printf("job %s: its answer is not confirmed (%v); the broker will deliver it again", p.CorrelationId, err)
	p.Nack(false, true)
}
