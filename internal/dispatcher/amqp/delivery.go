package amqp

import (
	"context"
	"errors"
	"fmt"
	"log"
	"math"
	"strconv"
	"strings"
	"time"

	amqp "github.com/rabbitmq/amqp091-go"

	"gladepick/internal/decision"
	"gladepick/internal/dispatcher/clienthttp"
	"gladepick/internal/dispatcher/dispatch"
)

// Values of the type property of an answer: one per kind of answer, and one for messages that are not a valid job.
const (
	typeServed    = "served"
	typeRejected  = "refused"
	typeFailed    = "failed"
	typeMalformed = "malformed"
)

// delivery is a client's message and the session that received it, which must acknowledge it.
type delivery struct {
	amqp.Delivery
	session *session
}

// handleDelivery submits the job of a delivery. If a job with the same key is open or has an outcome, the delivery gets
// that job's answer instead. If the message is not a valid job, the delivery gets an answer with the reason.
func (a *Adapter) handleDelivery(d delivery) {
	j, err := a.readJob(&d.Delivery)
	if err != nil {
		a.rejectMalformed(d, err)
		return
	}
	name, keyed := a.outcomeName(j, d.Type)
	known := a.outcomes.lookupOrOpen(name, keyed, d)
	switch {
	case known.joined:
		a.counters.Redelivered.Add(1)
		return
	case known.answer != nil:
		a.counters.Redelivered.Add(1)
		go a.answer(d, *known.answer)
		return
	case known.lost: // the job was delivered before and may have run, but its outcome is no longer stored
		a.counters.Redelivered.Add(1)
		go a.answer(d, dispatch.Answer{Kind: dispatch.Failed})
		return
	}
	j.Reply = func(answer dispatch.Answer) {
		for _, waiting := range a.outcomes.complete(name, answer) {
			go a.answer(waiting, answer)
		}
	}
	a.submit(j, name)
}

// outcomeName returns the name under which a job's outcome is stored. keyed reports whether a second run of the job
// would have a second effect that only this package prevents.
func (a *Adapter) outcomeName(j *dispatch.Job, class string) (name string, keyed bool) {
	idempotency := a.node.Module.Classes[j.Class].Idempotency
	keyed = idempotency != decision.Idempotent && !(a.DurableJobs && idempotency == decision.Deduplicated)
	if j.IdempotencyKey == "" {
		return "\x00" + j.ID, keyed
	}
	return class + "\x00" + j.IdempotencyKey, keyed
}

// submit submits a job. If the job's deadline passed in the queue, or if the core does not accept the job, no worker
// has seen the job: submit rejects it, and the client can retry safely.
func (a *Adapter) submit(j *dispatch.Job, name string) {
	var err error
	if j.Timeout > 0 {
		err = a.Jobs.Submit(j)
	}
	rejected := dispatch.Answer{Kind: dispatch.Rejected, RetryAfter: a.limits.RetryAfter}
	switch {
	case errors.Is(err, dispatch.ErrDuplicateID): // the open job with this id is not affected
		a.counters.Malformed.Add(1)
		for _, waiting := range a.outcomes.complete(name, rejected) {
			go a.settle(waiting, typeMalformed, amqp.Table{"reason": err.Error()}, nil)
		}
	case err != nil || j.Timeout <= 0:
		j.Reply(rejected)
	}
}

// rejectMalformed answers a message that is not a valid job. If the message cannot be answered, it is rejected without
// requeue.
func (a *Adapter) rejectMalformed(d delivery, err error) {
	a.counters.Malformed.Add(1)
	if d.ReplyTo == "" || d.CorrelationId == "" {
		d.Reject(false)
		a.unsettled.Done()
		return
	}
	go a.settle(d, typeMalformed, amqp.Table{"reason": err.Error()}, nil)
}

// readJob validates a message and converts it to a job. Its error is sent to the client.
func (a *Adapter) readJob(m *amqp.Delivery) (*dispatch.Job, error) {
	j := &dispatch.Job{
		ID:             m.CorrelationId,
		IdempotencyKey: m.MessageId,
		Target:         "/" + m.Type,
		Body:           m.Body,
		Retry:          headerText(m, "x-retried") == "1",
	}
	if j.ID == "" || !clienthttp.IsHeaderSafe(j.ID) || !clienthttp.IsHeaderSafe(j.IdempotencyKey) || !clienthttp.IsHeaderSafe(m.Type) {
		return nil, errors.New("correlation-id is missing, or it, message-id or type cannot pass on as it is")
	}
	if int64(len(m.Body)) > a.limits.BodyBytes {
		return nil, fmt.Errorf("a body holds %d bytes at most", a.limits.BodyBytes)
	}
	tenant := headerText(m, "x-tenant-id")
	if err := clienthttp.AssignClassAndTenant(a.node, j, m.Type, tenant); err != nil {
		return nil, err
	}
	if err := readSubject(j, headerText(m, "x-subject")); err != nil {
		return nil, err
	}
	if err := readNumber(&j.Slots, m, "x-slots"); err != nil {
		return nil, err
	}
	if err := readNumber(&j.Memory, m, "x-memory"); err != nil {
		return nil, err
	}
	var err error
	if j.Timeout, err = clienthttp.ParseTimeout(m.Expiration, time.Millisecond, a.limits.MaxJobTimeout); err != nil {
		return nil, fmt.Errorf("expiration: %w", err)
	}
	if !m.Timestamp.IsZero() { // the timeout counts from the timestamp, which is in whole seconds and thus up to 1 s early
		left := time.Until(m.Timestamp.Add(time.Second)) + j.Timeout
		j.Timeout = min(j.Timeout, left)
	}
	j.Header = []dispatch.HeaderField{{Name: "X-Priority-Class", Value: m.Type}, {Name: "X-Tenant-Id", Value: tenant}}
	return j, nil
}

// headerText returns the value of a string header, or "" if the header is missing or has another type.
func headerText(m *amqp.Delivery, name string) string {
	text, _ := m.Headers[name].(string)
	return text
}

// readSubject sets a job's target and affinity key from its subject, if there is one.
func readSubject(j *dispatch.Job, subject string) error {
	if subject == "" {
		return nil
	}
	if !clienthttp.IsHeaderSafe(subject) || strings.ContainsAny(subject, "/?#") {
		return errors.New("x-subject cannot pass on as it is")
	}
	j.Target += "/" + subject
	j.AffinityKey = dispatch.AffinityKey(subject)
	return nil
}

// readNumber sets value to the number in a header. It leaves value unchanged if the header is missing.
func readNumber(value *float64, m *amqp.Delivery, name string) error {
	text := headerText(m, name)
	if text == "" {
		return nil
	}
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || !(v >= 0 && v < math.MaxInt32) {
		return fmt.Errorf("%s: %q is not a figure", name, text)
	}
	*value = v
	return nil
}

// answer sends a delivery its final answer and settles it.
func (a *Adapter) answer(d delivery, answer dispatch.Answer) {
	switch answer.Kind {
	case dispatch.Served:
		a.settle(d, typeServed, nil, answer.Result)
	case dispatch.Rejected:
		retryAfter := strconv.FormatFloat(answer.RetryAfter.Seconds(), 'f', 3, 64)
		a.settle(d, typeRejected, amqp.Table{"retry-after": retryAfter}, nil)
	default:
		a.settle(d, typeFailed, nil, nil)
	}
}

// settle publishes an answer and acknowledges the delivery after the broker has confirmed the answer. If that fails, it
// requeues the delivery, and the stored outcome gives the redelivery the same answer.
func (a *Adapter) settle(d delivery, kind string, header amqp.Table, body []byte) {
	defer a.unsettled.Done()
	if d.ReplyTo == "" {
		d.Ack(false)
		return
	}
	err := a.publishAnswer(d, amqp.Publishing{
		CorrelationId: d.CorrelationId,
		MessageId:     d.MessageId,
		Type:          kind,
		Headers:       header,
		Body:          body,
	})
	if err == nil {
		d.Ack(false) // if the acknowledgement is lost, the redelivery gets the stored outcome
		return
	}
	log.Printf("job %s: the broker did not confirm the answer (%v); the delivery is requeued", d.CorrelationId, err)
	d.Nack(false, true)
}

// errNotConfirmed is the error of an answer that the broker rejected with basic.nack.
var errNotConfirmed = errors.New("the broker sent basic.nack")

// publishAnswer publishes an answer and waits until the broker confirms it.
func (a *Adapter) publishAnswer(d delivery, p amqp.Publishing) error {
	confirm, err := d.session.answers.PublishWithDeferredConfirm("", d.ReplyTo, false, false, p)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), a.limits.ConfirmTimeout)
	defer cancel()
	ok, err := confirm.WaitContext(ctx)
	if err == nil && !ok {
		return errNotConfirmed
	}
	return err
}
